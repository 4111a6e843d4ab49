//! Who waits for the answer to a request.

use super::interface::ConnectionId;

/// Who waits for the answer to a user's request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Requester {
    connection: ConnectionId,
    relayed: bool,
    since: u64,
}

impl Requester {
    /// A client that is connected to this controller, at a time on the steady clock in milliseconds.
    pub(super) fn direct(connection: ConnectionId, now: u64) -> Requester {
        Requester { connection, relayed: false, since: now }
    }

    /// A client of a peer that has passed the request on.
    pub(super) fn relayed(connection: ConnectionId, now: u64) -> Requester {
        Requester { connection, relayed: true, since: now }
    }

    /// The connection to answer on.
    pub(super) fn connection(self) -> ConnectionId {
        self.connection
    }

    /// A peer passes the answer on.
    pub(super) fn is_relayed(self) -> bool {
        self.relayed
    }

    /// When the request came.
    pub(super) fn since(self) -> u64 {
        self.since
    }
}
