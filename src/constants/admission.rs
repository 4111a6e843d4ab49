//! Bounds on users' requests that wait, and when a refused one may come again.

/// User requests taken from one batch; those beyond are answered 503 at once, so
/// that heartbeats and decisions keep their turn.
pub const BATCH_USER_MAX: usize = 256;
/// User requests waiting for the state service; more are answered 503 at once.
pub const USER_WAIT_MAX: usize = 2_000;
/// Seconds of `Retry-After` when something the service depends on is missing.
pub const RETRY_AFTER_S: u64 = 1;
/// Seconds of `Retry-After` when the queue is full: lets a burst pass.
pub const RETRY_AFTER_BUSY_S: u64 = 2;
