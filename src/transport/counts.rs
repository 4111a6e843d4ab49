//! Counts of the transport's system calls, messages and bytes.

use serde::Serialize;

/// Counts since the start of the process, and the current number of connections and size of buffers.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct TransportCounts {
    /// Waits for readiness.
    pub waits: u64,
    /// Waits that ended without a ready socket.
    pub waits_without_event: u64,
    /// Reads from sockets.
    pub reads: u64,
    /// Reads that would have blocked.
    pub reads_empty: u64,
    /// Writes to sockets.
    pub writes: u64,
    /// Attempts to accept a connection.
    pub accepts: u64,
    /// Attempts to accept that found no connection or failed.
    pub accepts_empty: u64,
    /// Attempts to connect to the state service, the cloud and other controllers.
    pub connects: u64,
    /// Connections closed by either side.
    pub closes: u64,
    /// Changes of what the poller watches a connection for.
    pub interest_changes: u64,
    /// Complete requests received.
    pub requests: u64,
    /// Complete responses received.
    pub replies: u64,
    /// Bytes read from sockets.
    pub bytes_read: u64,
    /// Bytes written to sockets.
    pub bytes_written: u64,
    /// The largest body of a message received, in bytes.
    pub largest_message: u64,
    /// Connections that are open now.
    pub connections: u64,
    /// Bytes allocated for the buffers of open connections, as of the last sweep.
    pub buffered_bytes: u64,
}

impl TransportCounts {
    /// Updates the size of the largest message body.
    pub(super) fn record_body_size(&mut self, body_bytes: usize) {
        self.largest_message = self.largest_message.max(body_bytes as u64);
    }

    /// Counts between an earlier reading and this one. Connections, buffers and the largest message are
    /// kept as they are now.
    pub fn since(&self, earlier: &TransportCounts) -> TransportCounts {
        TransportCounts {
            waits: self.waits - earlier.waits,
            waits_without_event: self.waits_without_event - earlier.waits_without_event,
            reads: self.reads - earlier.reads,
            reads_empty: self.reads_empty - earlier.reads_empty,
            writes: self.writes - earlier.writes,
            accepts: self.accepts - earlier.accepts,
            accepts_empty: self.accepts_empty - earlier.accepts_empty,
            connects: self.connects - earlier.connects,
            closes: self.closes - earlier.closes,
            interest_changes: self.interest_changes - earlier.interest_changes,
            requests: self.requests - earlier.requests,
            replies: self.replies - earlier.replies,
            bytes_read: self.bytes_read - earlier.bytes_read,
            bytes_written: self.bytes_written - earlier.bytes_written,
            largest_message: self.largest_message,
            connections: self.connections,
            buffered_bytes: self.buffered_bytes,
        }
    }
}
