#!/usr/bin/env bash
# Builds the stand-ins of all cases. They are Python scripts that need only its standard library, so this checks that
# they can be run: the build of the deploy file builds the program itself.
set -euo pipefail
cd "$(dirname "$0")"
python3 - common/standin.py [1-3]/scenario.py <<'PY'
import ast
import sys

assert sys.version_info >= (3, 10), "Python 3.10 or newer is needed"
for path in sys.argv[1:]:
    with open(path) as file:
        ast.parse(file.read(), path)
PY
echo "the stand-ins are ready"
