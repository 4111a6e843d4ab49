//! Gang scheduling: the start of a gang's tasks on several machines, and its retries.

/// Milliseconds by which each further machine is expected to delay the start of a gang: every machine
/// gets its start command with the response to its next heartbeat, and the gang runs once the last has.
pub const GANG_START_DELAY_PER_MACHINE_MS: u64 = 150;
/// Delays in milliseconds after a gang's earliest possible start, for each of which the planner looks for
/// an allocation: a later start may need fewer machines.
pub const GANG_START_DELAYS_MS: [u64; 4] = [0, 500, 1_000, 2_000];
/// Largest difference between the expected starts of a gang's tasks, as a share of the time for which
/// they wait for each other: estimated image fetch times are off by a third.
pub const GANG_START_SPREAD_SHARE_MAX: f64 = 0.6;
/// Milliseconds between two scans for gangs that can't become complete.
pub const GANG_SCAN_PERIOD_MS: u64 = 500;
/// Base in milliseconds of the exponential backoff after a gang's attempt that fails before all tasks run,
/// counted from the start of that attempt. After a failed first attempt there is no backoff.
pub const GANG_RETRY_BACKOFF_MS: u64 = 1_000;
/// Maximum in milliseconds of the backoff whose base is [`GANG_RETRY_BACKOFF_MS`].
pub const GANG_RETRY_BACKOFF_MAX_MS: u64 = 30_000;
