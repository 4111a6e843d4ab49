//! Gang scheduling: where and when a gang starts, and its retries.

/// Milliseconds that each further machine is taken to delay the start of a gang: its start goes out
/// with the response to its heartbeat, and the last one decides.
pub const GANG_START_DELAY_PER_MACHINE_MS: u64 = 150;
/// Milliseconds by which a gang's start may be later than the earliest possible, to look for places on
/// fewer machines.
pub const GANG_PATIENCE_MS: [u64; 4] = [0, 500, 1_000, 2_000];
/// Share of the time that a gang's tasks wait for each other by which their expected starts may
/// differ: estimates of image fetches are off by a third.
pub const GANG_SPREAD_SHARE: f64 = 0.6;
/// Milliseconds between two scans for gangs that can't become complete.
pub const GANG_SCAN_MS: u64 = 500;
/// Backoff in milliseconds between the starts of a gang's attempts once two have failed before all
/// tasks ran, doubled each time.
pub const GANG_RETRY_BACKOFF_MS: u64 = 1_000;
/// Longest such backoff in milliseconds.
pub const GANG_RETRY_BACKOFF_MAX_MS: u64 = 30_000;
/// Machines on which a gang failed that it avoids while it is suspected to fail anywhere; beyond
/// these it may try every machine again.
pub const GANG_AVOID_MAX: usize = 6;
