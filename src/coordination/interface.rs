//! What goes into the core and what comes out of it: commands, effects and clocks.

use crate::protocol::http::Response;
use crate::protocol::routes::{HEALTH_PATH, HEARTBEAT_PATH};

/// Two clocks in milliseconds: steady, and time of day.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Clock {
    /// Steady clock: only differences mean anything.
    pub monotonic_ms: u64,
    /// Time of day, which may be off and step.
    pub wall_ms: u64,
}

/// Identifies an inbound connection.
pub type ConnectionId = u64;
/// Identifies an outbound call.
pub type CallId = u64;

/// Where a call goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Service {
    /// The state service.
    State,
    /// The cloud.
    Cloud,
    /// Another controller, by its place in the settings.
    Peer(usize),
}

/// What comes in.
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
    /// The answer to a call; `None`: no answer, it may have been carried out or may be later.
    Reply {
        /// The call that it answers.
        call: CallId,
        /// The answer, or none.
        reply: Option<Response>,
    },
}

/// The order in which the commands of a batch are handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum CommandPriority {
    /// Workers' heartbeats and health checks.
    Heartbeat,
    /// Answers to calls and requests of other controllers.
    Decision,
    /// Users' requests.
    User,
}

impl Command {
    pub(super) fn priority(&self) -> CommandPriority {
        match self {
            Command::Public { path, .. } if path == HEARTBEAT_PATH || path == HEALTH_PATH => {
                CommandPriority::Heartbeat
            }
            Command::Reply { .. } | Command::Peer { .. } => CommandPriority::Decision,
            Command::Public { .. } => CommandPriority::User,
        }
    }
}

/// What goes out.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Answers a request.
    Respond {
        /// The connection it came on.
        connection: ConnectionId,
        /// HTTP status.
        status: u16,
        /// Seconds after which the client may come back.
        retry_after_s: Option<u64>,
        /// Body.
        body: Vec<u8>,
    },
    /// Sends a request; its reply comes back as [`Command::Reply`].
    Call {
        /// Name of the call.
        id: CallId,
        /// Where it goes.
        service: Service,
        /// HTTP method.
        method: &'static str,
        /// Path with its query.
        path: String,
        /// Body; may be empty.
        body: Vec<u8>,
        /// Milliseconds after which it counts as unanswered.
        timeout_ms: u64,
    },
}
