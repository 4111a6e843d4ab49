//! Shares of the socket limit, the listeners' backlog and the timing of the poll loop.

/// Share of the socket limit that inbound user-facing connections may use; the rest
/// stays free for the state service, the cloud, peers and the listeners themselves.
pub const INBOUND_SOCKET_SHARE: f64 = 0.85;
/// Connections kept to one target; requests beyond wait for a free one.
pub const OUTBOUND_CONNECTIONS_PER_TARGET: usize = 12;
/// Requests waiting for an outbound connection; more fail at once.
pub const OUTBOUND_QUEUE_MAX: usize = 512;
/// Pending connections the kernel may hold for a listener: after a change of leader all workers
/// come over at once, thousands of them; the kernel bounds it further.
pub const LISTEN_BACKLOG: i32 = 16_384;
/// Milliseconds between sweeps for idle and overdue connections.
pub const SWEEP_MS: u64 = 250;
/// Milliseconds between two lines in the log of what was done: as often as the leader's
/// summary.
pub const METRICS_LOG_PERIOD_MS: u64 = 10_000;
/// Longest wait of the poll loop in milliseconds, so that timers stay live.
pub const POLL_MAX_MS: u64 = 100;

/// The same while writes or submissions wait for something that no message tells of.
pub const POLL_SOON_MS: u64 = 10;
