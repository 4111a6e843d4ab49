#!/usr/bin/env bash
# Builds the stand-ins of the second review, which use the standard library only. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/stage-2/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = base ] && continue
    rustc --edition 2021 -O -A dead_code -o "target/review-2/$name" "$source"
done
