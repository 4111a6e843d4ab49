//! Constants of the rebuild, each with its unit and its reason.

/// Terms left free between the highest one that any source knows and the term of a rebuild. Terms
/// that were taken in the lost part of the history are below it, so that attempts, rental names and
/// tokens made from them are never made again: at one election a second this covers 18 hours.
pub const TERM_GAP: u64 = 1 << 16;

/// Highest term that is believed when a worker shows it as its token. Attempt numbers hold the term
/// above 26 bits, so that terms have 38; a token beyond half of these is no term.
pub const TERM_BELIEVED_MAX: u64 = 1 << 37;

/// Bytes of a value that are kept for its framing beside the records in it.
pub const VALUE_FRAME_BYTES: usize = 64;

/// Conditions that a transaction may have for each change (protocol).
pub const CONDITIONS_PER_CHANGE: usize = 4;

/// Bytes of a transaction's changes: the protocol's 64 KiB less room for conditions and names.
pub const TRANSACTION_BYTES: usize = 48 * 1024;

/// Maximum size of a decompressed snapshot in bytes. A hundred thousand tasks take about 10 MB; the
/// limit keeps a damaged length from exhausting the memory.
pub const SNAPSHOT_BYTES_MAX: u64 = 256 * 1024 * 1024;

/// Milliseconds by which the time of a snapshot may be ahead of the local clock. Clocks commonly
/// differ by a few seconds; a larger difference means a wrong clock or a forged file.
pub const SNAPSHOT_CLOCK_SKEW_MAX_MS: u64 = 5 * 60 * 1000;
