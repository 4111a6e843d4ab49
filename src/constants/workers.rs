//! Heartbeats and leases of workers, and the detection of machines that answers don't reach.

use super::state_service::{FRESH_READ_PERIOD_MS, STATE_TIMEOUT_MS};

/// Share of the heartbeat period by which a heartbeat may come early or late (protocol).
pub const HEARTBEAT_JITTER: f64 = 0.25;
/// Share by which a steady clock may be off, doubled for two clocks (protocol: 0.05%).
pub const CLOCK_DRIFT: f64 = 0.001;
/// Milliseconds added whenever a worker's lease is taken to have expired: covers packet
/// delay and coarse timers.
pub const LEASE_MARGIN_MS: u64 = 1_500;
/// Milliseconds added where `cancel_s` must hold without the state service: a lease counts from
/// when a heartbeat was sent, so only clocks and timers are to be covered.
pub const CANCEL_MARGIN_MS: u64 = 1_000;
/// Milliseconds for which what is known of cancellations is recent enough to order a start: one
/// read period and the longest wait for a response, so that a start waits for nothing while
/// the store answers at all.
pub const START_READ_AGE_MAX_MS: u64 = FRESH_READ_PERIOD_MS + STATE_TIMEOUT_MS + 100;
/// Milliseconds without a read of the store after which a leader asks its peers which jobs have ended:
/// one read period and the latency of most slow responses, so that a healthy store causes no such query.
pub const ISOLATION_QUERY_AFTER_MS: u64 = FRESH_READ_PERIOD_MS + 300;
/// Ended jobs that a controller names to a peer at most. Far more than users cancel in the longest
/// outage that leases outlive; beyond it, leases count from the last read alone.
pub const ENDED_JOBS_NAMED_MAX: usize = 4_096;
/// Milliseconds between two scans for expired leases: far less than a lease, and more than a batch of
/// commands takes, since a scan visits every machine.
pub const LEASE_SCAN_MS: u64 = 100;
/// Longest time in milliseconds that the response to a heartbeat waits for a commit that
/// may add commands to it; a worker gives up after 4 s.
pub const HEARTBEAT_HOLD_MS: u64 = 400;
/// Seconds that a worker waits for a response (protocol).
pub const WORKER_TIMEOUT_S: f64 = 4.0;
/// Seconds before a worker tries the next controller (protocol).
pub const WORKER_RETRY_S: f64 = 1.0;
/// Silent machines are judged one by one only if they are no more than one in so many; more of them
/// point to a network partition.
pub const SILENT_MINORITY_DIVISOR: usize = 6;
/// Heartbeat periods of silence after which a machine gets no new tasks.
pub const SILENT_PERIODS: f64 = 2.2;

/// Signs in a row that our responses do not reach a machine, after which it counts as unreachable: one
/// may be a duplicate of an old heartbeat or a response that came too late.
pub const UNREACHABLE_SIGNS: u32 = 3;
/// Signs that an incarnation which ended in spite of a recent response counts for.
pub const UNREACHABLE_SESSION_SIGNS: u32 = 2;
/// Leases without a further sign after which a machine no longer counts as unreachable: one that
/// no response reaches begins a new incarnation with every lease.
pub const UNREACHABLE_CALM_LEASES: f64 = 1.3;

/// Seconds of `grace_s` beyond a task's `checkpoint_cost_s`: a machine may be slow.
pub const GRACE_EXTRA_S: f64 = 1.0;

/// Milliseconds between two summary lines of the leader in the log.
pub const STATUS_LOG_PERIOD_MS: u64 = 10_000;
