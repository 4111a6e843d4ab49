//! Size limits of HTTP messages, and timeouts and sizes for the connections that carry them.

/// Maximum bytes of a request or status line together with all header lines; a longer request is answered
/// with 431.
pub const HTTP_HEAD_MAX: usize = 16 * 1024;
/// Maximum bytes of a request body, as given by the protocol; a longer one is answered with 413.
pub const HTTP_BODY_MAX: usize = 64 * 1024;
/// Maximum bytes of a response body from the state service, the cloud or a peer. The protocol does not
/// limit the response to a watch; this bound is well below the smallest memory limit of a controller.
pub const HTTP_REPLY_MAX: usize = 24 * 1024 * 1024;
/// Maximum number of header lines in a message. Clients send far fewer; this bounds the parser's work.
pub const HTTP_HEADERS_MAX: usize = 100;
/// Milliseconds in which a client must complete a request that it has begun to send, and must read the
/// response.
pub const HTTP_REQUEST_MS: u64 = 10_000;
/// Milliseconds for which an idle connection stays open. Users poll every 5 s and workers send heartbeats
/// more often, so that a connection in use is not closed.
pub const HTTP_IDLE_MS: u64 = 60_000;
/// The same for inbound connections while nearly all that are allowed are open: after a network partition a
/// whole fleet reconnects while its broken connections are still open, and these must not cause the new
/// ones to be rejected.
pub const HTTP_IDLE_CROWDED_MS: u64 = 15_000;
/// Share of the allowed inbound connections from which on [`HTTP_IDLE_CROWDED_MS`] applies.
pub const CROWDED_SHARE: f64 = 0.8;
/// Maximum number of ready sockets that one wait of the event loop returns. After a change of leader the
/// sockets of a whole fleet may be ready at once; the kernel returns the others in the next waits, in turn.
pub const READY_PER_WAIT: usize = 1_024;
/// Maximum bytes read from a socket by one system call; a request or response normally fits.
pub const READ_CHUNK: usize = 16 * 1024;
