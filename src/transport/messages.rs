//! What goes between the transport and its user.

use super::http;

/// Names an inbound connection; never used twice.
pub type ConnectionId = u64;
/// Names an outbound call; chosen by the caller.
pub type CallId = u64;
/// Index of a place that calls go to.
pub type Target = usize;

/// Which listener a request came through.
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
    /// Name of the call, chosen by the caller.
    pub id: CallId,
    /// Where it goes.
    pub target: Target,
    /// HTTP method.
    pub method: &'static str,
    /// Path with its query.
    pub path: String,
    /// Body; may be empty.
    pub body: Vec<u8>,
    /// Milliseconds after which it counts as unanswered.
    pub timeout_ms: u64,
}

/// What came in.
#[derive(Debug)]
pub enum Incoming {
    /// A whole request came in.
    Request {
        /// The connection to answer on.
        connection: ConnectionId,
        /// The listener it came through.
        origin: Origin,
        /// The request.
        request: http::Request,
    },
    /// `None`: no answer; the request may have been carried out, or may be later.
    Reply {
        /// The call that it answers.
        call: CallId,
        /// The reply, or none.
        reply: Option<http::Response>,
    },
}
