//! The sender of a user's request, who waits for the response.

use super::interface::ConnectionId;

/// The connection on which a user's request came in, directly or through a peer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Requester {
    connection: ConnectionId,
    relayed: bool,
    received_at: u64,
}

impl Requester {
    /// A client connected to this controller. `now` is in milliseconds of the monotonic clock.
    pub(super) fn direct(connection: ConnectionId, now: u64) -> Requester {
        Requester { connection, relayed: false, received_at: now }
    }

    /// A peer that has relayed the request of its client.
    pub(super) fn relayed(connection: ConnectionId, now: u64) -> Requester {
        Requester { connection, relayed: true, received_at: now }
    }

    /// The connection to answer on.
    pub(super) fn connection(self) -> ConnectionId {
        self.connection
    }

    /// Whether the request was relayed by a peer, which passes the response on to its client.
    pub(super) fn is_relayed(self) -> bool {
        self.relayed
    }

    /// When this controller received the request.
    pub(super) fn received_at(self) -> u64 {
        self.received_at
    }
}
