//! Limits on pending users' requests, and the delays after which rejected ones may be retried.

/// User requests handled from one batch of commands. Others are answered 503 at once, so that
/// heartbeats and scheduling aren't delayed.
pub const USER_REQUESTS_PER_BATCH_MAX: usize = 256;
/// User requests that may wait for the state service; others are answered 503 at once.
pub const WAITING_USER_REQUESTS_MAX: usize = 2_000;
/// Seconds of `Retry-After` when a dependency such as the state service is unavailable.
pub const RETRY_AFTER_S: u64 = 1;
/// Seconds of `Retry-After` when too many requests wait: long enough for a burst to pass.
pub const RETRY_AFTER_OVERLOAD_S: u64 = 2;
