//! Limits and timeouts of HTTP messages and connections.

/// Bytes of a request line or response line and all header lines; more is answered 431.
pub const HTTP_HEAD_MAX: usize = 16 * 1024;
/// Bytes of a request body: the protocol's limit of 64 KiB; more is answered 413.
pub const HTTP_BODY_MAX: usize = 64 * 1024;
/// Bytes of a body between controllers or from the state service. Watches have no
/// size limit in the protocol; this bounds memory well under the smallest limit seen.
pub const HTTP_REPLY_MAX: usize = 24 * 1024 * 1024;
/// Header lines in one message; far above what clients send, bounds the parser's work.
pub const HTTP_HEADERS_MAX: usize = 100;
/// Milliseconds a connection may take to complete a request it has begun.
pub const HTTP_REQUEST_MS: u64 = 10_000;
/// Milliseconds an inbound connection may stay open with nothing to do. Users poll
/// every 5 s and workers report more often.
pub const HTTP_IDLE_MS: u64 = 60_000;
/// The same while nearly all inbound connections are taken: after a cut a fleet opens its
/// connections anew while the old ones still hang, and must not be refused for them.
pub const HTTP_IDLE_CROWDED_MS: u64 = 15_000;
/// Share of the inbound connections from which on they are nearly all taken.
pub const CROWDED_SHARE: f64 = 0.8;
/// Sockets that one wait reports: those beyond are reported by the next one. A change of leader makes
/// a whole fleet ready at once, and the kernel hands the rest out in turn.
pub const READY_PER_WAIT: usize = 1_024;
/// Bytes read from one socket at a time; one request or response normally fits.
pub const READ_CHUNK: usize = 16 * 1024;
