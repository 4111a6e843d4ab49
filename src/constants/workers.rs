//! Heartbeats and leases of workers, and the detection of machines that answers don't reach.

use super::state_service::{READ_PERIOD_MS, STATE_CALL_MS};

/// Share of the report period by which a report may come early or late (protocol).
pub const REPORT_JITTER: f64 = 0.25;
/// Share by which a steady clock may be off, doubled for two clocks (protocol: 0.05%).
pub const CLOCK_DRIFT: f64 = 0.001;
/// Milliseconds added whenever a worker's lease is taken to be over: covers packet
/// delay and coarse timers.
pub const LEASE_MARGIN_MS: u64 = 1_500;
/// Milliseconds added where `cancel_s` must hold without the state service: a lease counts from
/// when a report was sent, so only clocks and timers are to be covered.
pub const CANCEL_MARGIN_MS: u64 = 1_000;
/// Milliseconds for which what is known of cancellations is recent enough to order a start: one
/// period of reads and the longest wait for an answer, so that a start waits for nothing while
/// the state service answers at all.
pub const START_READ_AGE_MAX_MS: u64 = READ_PERIOD_MS + STATE_CALL_MS + 100;
/// Milliseconds without a read of the store after which a leader asks its peers for ends: one
/// period of reads and an answer as slow as most slow ones, so that a quiet day asks nothing.
pub const ISOLATED_ASK_MS: u64 = READ_PERIOD_MS + 300;
/// Ends that a controller names to a peer at most. Far more than users cancel in the longest
/// outage that leases outlive; beyond it, leases count from the last read alone.
pub const ENDS_NAMED_MAX: usize = 4_096;
/// Milliseconds between two looks for leases that have run out: far less than a lease, and more
/// than a batch of commands takes, since it looks at every machine.
pub const LEASE_SCAN_MS: u64 = 100;
/// Longest time in milliseconds that the answer to a report waits for a commit that
/// may add commands to it; a worker gives up after 4 s.
pub const REPORT_HOLD_MS: u64 = 400;
/// Seconds that a worker waits for an answer (protocol).
pub const WORKER_WAIT_S: f64 = 4.0;
/// Seconds before a worker tries the next controller (protocol).
pub const WORKER_RETRY_S: f64 = 1.0;
/// Silent machines are taken one by one only if they are no more than one in so many.
pub const SILENT_FEW: usize = 6;
/// Report periods of silence after which a machine gets no new tasks.
pub const SILENT_PERIODS: f64 = 2.2;

/// Signs in a row that our answers do not reach a machine, after which it is held for deaf: one
/// may be a copy of an old report or an answer that came too late.
pub const UNREACHABLE_SIGNS: u32 = 3;
/// Signs that a session which ended in spite of a recent answer counts for.
pub const UNREACHABLE_SESSION_SIGNS: u32 = 2;
/// Leases without a further sign after which a machine is no longer held for deaf: one that
/// no answer reaches begins a new session with every lease.
pub const UNREACHABLE_CALM_LEASES: f64 = 1.3;

/// Seconds of `grace_s` beyond a task's `checkpoint_cost_s`: a machine may be slow.
pub const GRACE_EXTRA_S: f64 = 1.0;

/// Milliseconds between two lines of the leader on how things stand.
pub const STATUS_LOG_PERIOD_MS: u64 = 10_000;
