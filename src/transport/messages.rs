//! Types exchanged between the transport and its caller.

use super::http;

/// Identifier of an inbound connection; never reused.
pub type ConnectionId = u64;
/// Identifier of an outbound call; chosen by the caller.
pub type CallId = u64;
/// Index of a destination in the list given to [`Transport::new`](super::Transport::new).
pub type Target = usize;

/// The listener through which a request arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// Users, workers and health checks.
    Public,
    /// Other controllers.
    Peer,
}

/// An outbound request.
#[derive(Debug, Clone)]
pub struct Call {
    /// Identifier of the call, chosen by the caller.
    pub id: CallId,
    /// Destination of the call.
    pub target: Target,
    /// HTTP method.
    pub method: &'static str,
    /// Path, including the query.
    pub path: String,
    /// Body; may be empty.
    pub body: Vec<u8>,
    /// Milliseconds after which the call counts as unanswered.
    pub timeout_ms: u64,
}

/// A message received, or the failure of a call.
#[derive(Debug)]
pub enum Incoming {
    /// A complete request.
    Request {
        /// The connection to respond on.
        connection: ConnectionId,
        /// The listener through which the request arrived.
        origin: Origin,
        /// The request.
        request: http::Request,
    },
    /// The end of a call, with or without a response.
    Response {
        /// The call that has ended.
        call: CallId,
        /// The response. Without one the request may still have been executed, or may be executed later.
        response: Option<http::Response>,
    },
}
