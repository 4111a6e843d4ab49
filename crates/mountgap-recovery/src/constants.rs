//! Constants of the recovery, each with its unit and reason.

/// Terms that a rebuild skips above the highest term that any source knows. Terms that were taken
/// in the lost part of the history are then below the term of the rebuild, so that the attempts,
/// rental names and fencing tokens derived from them are never reused. At one election a second
/// this covers 18 hours.
pub const REBUILD_TERM_MARGIN: u64 = 1 << 16;

/// Highest term that is accepted from a worker's fencing token. An attempt number holds the term
/// above its low 26 bits, which leaves the term 38 bits; a token in the upper half of that range is
/// not plausible.
pub const PLAUSIBLE_TERM_MAX: u64 = 1 << 37;

/// Bytes of a value that are reserved for the JSON around its entries.
pub const VALUE_OVERHEAD_BYTES: usize = 64;

/// Conditions that the protocol of the state service allows for each change of a transaction.
pub const CONDITIONS_PER_CHANGE: usize = 4;

/// Bytes of a transaction's changes: the protocol's 64 KiB minus a reserve for conditions and
/// the names of JSON fields.
pub const TRANSACTION_BYTES_MAX: usize = 48 * 1024;

/// Maximum size of a decompressed snapshot in bytes. A hundred thousand tasks take about 10 MB; the
/// limit keeps a damaged length from exhausting the memory.
pub const SNAPSHOT_BYTES_MAX: u64 = 256 * 1024 * 1024;

/// Milliseconds by which the time of a snapshot may be ahead of the local clock. Clocks commonly
/// differ by a few seconds; a larger difference means a wrong clock or a forged file.
pub const SNAPSHOT_CLOCK_SKEW_MAX_MS: u64 = 5 * 60 * 1000;
