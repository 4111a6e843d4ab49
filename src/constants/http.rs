//! Size limits of HTTP messages, and timeouts and sizes for the connections that carry them.

/// Maximum bytes of a request or status line together with all header lines; a longer request is answered
/// with 431.
pub const HTTP_HEAD_BYTES_MAX: usize = 16 * 1024;
/// Maximum bytes of a request body, as given by the protocol; a longer one is answered with 413.
pub const HTTP_REQUEST_BODY_BYTES_MAX: usize = 64 * 1024;
/// Maximum bytes of a response body from the state service, the cloud or a peer. The protocol does not
/// limit the response to a watch; this bound is well below the smallest memory limit of a controller.
pub const HTTP_RESPONSE_BODY_BYTES_MAX: usize = 24 * 1024 * 1024;
/// Maximum number of header lines in a message. Clients send far fewer; this bounds the parser's work.
pub const HTTP_HEADERS_MAX: usize = 100;
/// Milliseconds in which a client must complete a request that it has begun to send, and in which it must
/// read the response.
pub const HTTP_REQUEST_TIMEOUT_MS: u64 = 10_000;
/// Milliseconds after which an idle connection is closed. Users poll every 5 s and workers send heartbeats
/// more often, so that a connection in use is not closed.
pub const HTTP_IDLE_TIMEOUT_MS: u64 = 60_000;
/// Milliseconds after which an idle inbound connection is closed while the number of inbound connections is
/// near its limit. After a network partition a whole fleet reconnects while its broken connections are still
/// open here; they must not cause the new ones to be rejected.
pub const HTTP_IDLE_TIMEOUT_NEAR_LIMIT_MS: u64 = 15_000;
/// Share of the limit of inbound connections from which on [`HTTP_IDLE_TIMEOUT_NEAR_LIMIT_MS`] applies.
pub const INBOUND_NEAR_LIMIT_SHARE: f64 = 0.8;
/// Maximum number of ready sockets that one wait of the event loop returns. After a change of leader the
/// sockets of a whole fleet may be ready at once; the kernel returns the others in the next waits, in turn.
pub const READY_SOCKETS_PER_WAIT_MAX: usize = 1_024;
/// Maximum bytes read from a socket by one system call; a request or response normally fits.
pub const READ_BUFFER_BYTES: usize = 16 * 1024;
