//! Limits on sockets and connections, and the timing of the event loop.

/// Share of the socket limit that inbound connections from users and workers may use; the rest is reserved
/// for the listeners and for connections with the state service, the cloud and peers.
pub const INBOUND_SOCKET_SHARE: f64 = 0.85;
/// Maximum number of connections to one target; further requests to it are queued.
pub const OUTBOUND_CONNECTIONS_PER_TARGET: usize = 12;
/// Maximum number of requests queued for a connection to one target; further ones fail at once.
pub const OUTBOUND_QUEUE_MAX: usize = 512;
/// Maximum number of connections that a listener has not yet accepted: after a change of leader thousands of
/// workers connect at once. The kernel may apply a lower limit.
pub const LISTEN_BACKLOG: i32 = 16_384;
/// Milliseconds between two scans for idle connections and for those past their deadlines.
pub const SWEEP_PERIOD_MS: u64 = 250;
/// Milliseconds between two lines with work counters in the log; as often as the leader's summary, see
/// [`SUMMARY_LOG_PERIOD_MS`](super::SUMMARY_LOG_PERIOD_MS).
pub const METRICS_LOG_PERIOD_MS: u64 = 10_000;
/// Longest time in milliseconds that the event loop waits for a socket; bounds how late a timer runs.
pub const EVENT_WAIT_MAX_MS: u64 = 100;
/// Milliseconds after which the event loop checks again for overdue work that waits for an event of unknown
/// time; also the time by which the timer of a deferred response is later than the response's deadline.
pub const OVERDUE_WORK_RECHECK_MS: u64 = 10;
