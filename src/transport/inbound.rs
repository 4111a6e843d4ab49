//! Inbound connections: accepting them, reading requests and sending responses.

use super::connection::{Inbound, Role};
use super::http;
use super::messages::{ConnectionId, Incoming, Origin};
use super::net::{Closed, ConnectionKey, Transport};
use super::readiness::Interest;
use crate::constants::{HTTP_HEAD_BYTES_MAX, HTTP_REQUEST_BODY_BYTES_MAX};
use std::io;
use std::net::TcpStream;
use std::time::Instant;

impl Transport {
    /// Accepts all pending connections of a listener.
    pub(super) fn accept(&mut self, origin: Origin) {
        loop {
            self.counts.accepts += 1;
            match self.listeners.accept(origin) {
                Ok(stream) => self.admit(stream, origin),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => {
                    self.counts.accepts_empty += 1;
                    return;
                }
            }
        }
    }

    fn admit(&mut self, stream: TcpStream, origin: Origin) {
        if origin == Origin::Public && self.inbound.len() >= self.inbound_max {
            // Dropped immediately, so that the load balancer tries another controller.
            return;
        }
        if stream.set_nonblocking(true).is_err() {
            return;
        }
        let _ = stream.set_nodelay(true);
        let id = self.next_connection_id;
        self.next_connection_id += 1;
        let role = Role::Inbound(Inbound {
            id,
            origin,
            has_pending_request: false,
            keep_alive: true,
            closes_after_output: false,
        });
        if let Some(key) = self.add_connection(stream, role, Interest::READ) {
            self.inbound.insert(id, key);
        }
    }

    /// Handles the next request of a connection, unless an earlier one is still pending.
    pub(super) fn receive_request(&mut self, key: ConnectionKey) -> Result<(), Closed> {
        let connection = self.connections.get_mut(&key).ok_or(Closed)?;
        let Role::Inbound(inbound) = &mut connection.role else {
            return Ok(());
        };
        if inbound.has_pending_request {
            // The client has closed its sending direction only: the response is still sent.
            inbound.closes_after_output |= connection.is_read_closed && connection.input.is_empty();
            return Ok(());
        }
        match http::take_request(&mut connection.input, body_limit(inbound.origin)) {
            Ok(Some(request)) => {
                self.counts.requests += 1;
                self.counts.record_body_size(request.body.len());
                inbound.has_pending_request = true;
                inbound.keep_alive = request.keep_alive;
                connection.timeout_start = Instant::now();
                if connection.input.is_empty() {
                    connection.input = Vec::new();
                }
                let (connection, origin) = (inbound.id, inbound.origin);
                self.incoming.push(Incoming::Request { connection, origin, request });
                Ok(())
            }
            Ok(None) if connection.is_read_closed && connection.output.is_empty() => {
                Err(self.close(key))
            }
            Ok(None) if connection.is_read_closed => {
                inbound.closes_after_output = true;
                Ok(())
            }
            Ok(None) if http::wants_continue(&connection.input) => {
                connection.write_continue();
                self.flush(key)
            }
            Ok(None) => Ok(()),
            Err(error) => {
                connection.reject_malformed(error);
                self.flush(key)
            }
        }
    }

    /// Sends the response to a request, unless its connection has been closed. `retry_after_s` is the value
    /// of the `Retry-After` header in seconds.
    pub fn respond(
        &mut self,
        id: ConnectionId,
        status: u16,
        retry_after_s: Option<u64>,
        body: &[u8],
    ) {
        let Some(&key) = self.inbound.get(&id) else {
            return;
        };
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        if !connection.write_response(status, retry_after_s, body) {
            return;
        }
        // The next request may have arrived already.
        if self.flush(key).is_ok() && self.receive_request(key).is_ok() {
            self.update_interest(key);
        }
    }
}

/// Largest request body in bytes. A user's request that another controller relays is slightly longer than
/// the original.
fn body_limit(origin: Origin) -> usize {
    match origin {
        Origin::Public => HTTP_REQUEST_BODY_BYTES_MAX,
        Origin::Peer => HTTP_REQUEST_BODY_BYTES_MAX + HTTP_HEAD_BYTES_MAX,
    }
}
