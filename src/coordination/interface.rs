//! The interface of the core: commands and clock readings go in, effects come out.

use crate::protocol::http::Response;
use crate::protocol::routes::{HEALTH_PATH, HEARTBEAT_PATH};

/// Readings of the monotonic clock and the wall clock, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Clock {
    /// Monotonic clock; only differences are meaningful.
    pub monotonic_ms: u64,
    /// Wall clock: milliseconds since the Unix epoch, which may be wrong and may jump.
    pub wall_ms: u64,
}

/// Identifies an inbound connection.
pub type ConnectionId = u64;
/// Identifies an outbound call.
pub type CallId = u64;

/// The destination of an outbound call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Service {
    /// The state service.
    State,
    /// The cloud.
    Cloud,
    /// Another controller, by its index in the settings' list of peers.
    Peer(usize),
}

/// An input of the core.
#[derive(Debug)]
pub enum Command {
    /// A request from users, workers or health checks.
    Public {
        /// The connection to answer on.
        connection: ConnectionId,
        /// HTTP method.
        method: String,
        /// Path with its query.
        path: String,
        /// Body; may be empty.
        body: Vec<u8>,
    },
    /// A request from another controller.
    Peer {
        /// The connection to answer on.
        connection: ConnectionId,
        /// HTTP method.
        method: String,
        /// Path with its query.
        path: String,
        /// Body; may be empty.
        body: Vec<u8>,
    },
    /// The reply to a call.
    Response {
        /// The call that was answered.
        call: CallId,
        /// The response. `None` if there was none: the request may have been carried out, or may
        /// still be.
        response: Option<Response>,
    },
}

/// The order in which the commands of a batch are handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum CommandPriority {
    /// Workers' heartbeats and health checks.
    Heartbeat,
    /// Replies to calls, and requests from other controllers.
    Internal,
    /// Users' requests.
    User,
}

impl Command {
    pub(super) fn priority(&self) -> CommandPriority {
        match self {
            Command::Public { path, .. } if path == HEARTBEAT_PATH || path == HEALTH_PATH => {
                CommandPriority::Heartbeat
            }
            Command::Response { .. } | Command::Peer { .. } => CommandPriority::Internal,
            Command::Public { .. } => CommandPriority::User,
        }
    }
}

/// An output of the core.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Responds to an inbound request.
    Respond {
        /// The connection on which the request came.
        connection: ConnectionId,
        /// HTTP status.
        status: u16,
        /// Value of the `Retry-After` header in seconds, if it is to be sent.
        retry_after_s: Option<u64>,
        /// Body; may be empty.
        body: Vec<u8>,
    },
    /// Sends a request; the reply is passed back as [`Command::Response`].
    Call {
        /// Identifies the call in its reply.
        id: CallId,
        /// The destination.
        service: Service,
        /// HTTP method.
        method: &'static str,
        /// Path with its query.
        path: String,
        /// Body; may be empty.
        body: Vec<u8>,
        /// Milliseconds after which the call counts as unanswered.
        timeout_ms: u64,
    },
}
