//! Worker heartbeats and leases, and the detection of machines that responses don't reach.

use super::state_service::{FRESH_READ_PERIOD_MS, STATE_TIMEOUT_MS};

/// Share of the heartbeat period by which a heartbeat may arrive early or late (protocol).
pub const HEARTBEAT_JITTER_SHARE: f64 = 0.25;
/// Share by which two monotonic clocks may run apart (protocol: each is off by 0.05% at the most).
pub const CLOCK_DRIFT_SHARE: f64 = 0.001;
/// Milliseconds added to a worker's lease before it is considered expired: covers packet delay and coarse
/// timers.
pub const WORKER_LEASE_MARGIN_MS: u64 = 1_500;
/// Milliseconds added to a worker's lease where cancelled tasks must be gone within `cancel_s` without the
/// state service: the lease starts when a heartbeat is sent, so only clocks and timers need a margin.
pub const CANCEL_MARGIN_MS: u64 = 1_000;
/// Maximum age in milliseconds that the controller's knowledge of cancellations may have when a start command
/// is sent: one read period and the longest wait for a response, so that no start is delayed while the store
/// answers at all.
pub const START_READ_AGE_MAX_MS: u64 = FRESH_READ_PERIOD_MS + STATE_TIMEOUT_MS + 100;
/// Milliseconds without a read of the store after which a leader asks its peers which jobs have ended:
/// one read period and the latency of most slow responses, so that no query is sent while the store is healthy.
pub const ISOLATION_QUERY_AFTER_MS: u64 = FRESH_READ_PERIOD_MS + 300;
/// Most ended jobs that a controller names to a peer in one message: far more than users cancel in the longest
/// outage during which leases are renewed. With more of them, leases depend on the last read of the store alone.
pub const ENDED_JOBS_NAMED_MAX: usize = 4_096;
/// Least milliseconds between two scans for expired leases: far less than a lease, and more than a batch of
/// commands takes, since a scan visits every machine.
pub const WORKER_LEASE_SCAN_MS: u64 = 100;
/// Longest time in milliseconds that the response to a heartbeat waits for a transaction that may add commands
/// to it; well below [`WORKER_TIMEOUT_S`].
pub const HEARTBEAT_HOLD_MAX_MS: u64 = 400;
/// Seconds that a worker waits for the response to a heartbeat (protocol).
pub const WORKER_TIMEOUT_S: f64 = 4.0;
/// Seconds between a worker's failed attempt and its attempt at the next controller (protocol).
pub const WORKER_RETRY_S: f64 = 1.0;
/// Silent machines are considered lost individually only if they are no more than one in this many of all; a
/// larger part suggests a network partition.
pub const SILENT_MINORITY_DIVISOR: usize = 6;
/// Heartbeat periods without a heartbeat after which a machine counts as silent and gets no new tasks.
pub const SILENT_AFTER_PERIODS: f64 = 2.2;

/// Signs in a row that responses do not reach a machine, after which it counts as unreachable: a single sign
/// may come from a duplicate of an old heartbeat or from a response that arrived too late.
pub const UNREACHABLE_AFTER_SIGNS: u32 = 3;
/// Number of signs, towards [`UNREACHABLE_AFTER_SIGNS`], that a new incarnation of a worker counts for if the
/// last heartbeat was answered.
pub const NEW_INCARNATION_SIGNS: u32 = 2;
/// Worker leases without a further sign after which a machine no longer counts as unreachable. A machine that
/// no response reaches begins a new incarnation, which is such a sign, with every lease.
pub const UNREACHABLE_RESET_LEASES: f64 = 1.3;

/// Seconds that `grace_s` of a stop exceeds the task's `checkpoint_cost_s` by, since a machine may be slow.
pub const GRACE_EXTRA_S: f64 = 1.0;

/// Milliseconds between two summary lines in the leader's log.
pub const SUMMARY_LOG_PERIOD_MS: u64 = 10_000;
