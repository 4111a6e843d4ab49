//! Connections that others open: admission, requests and answers.

use super::connection::{Inbound, Role};
use super::http;
use super::messages::{ConnectionId, Incoming, Origin};
use super::net::{Closed, ConnectionKey, Transport};
use super::readiness::Interest;
use crate::constants::{HTTP_BODY_MAX, HTTP_HEAD_MAX};
use std::io;
use std::net::TcpStream;
use std::time::Instant;

impl Transport {
    /// Takes every connection that waits at a listener.
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
            // Dropped at once: the balancer then tries another controller.
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
            is_busy: false,
            keep_alive: true,
            closes_after_output: false,
        });
        if let Some(key) = self.add(stream, role, Interest::READ) {
            self.inbound.insert(id, key);
        }
    }

    /// Takes the next request of a connection, unless one waits for its answer still.
    pub(super) fn take_request(&mut self, key: ConnectionKey) -> Result<(), Closed> {
        let connection = self.connections.get_mut(&key).ok_or(Closed)?;
        let Role::Inbound(inbound) = &mut connection.role else {
            return Ok(());
        };
        if inbound.is_busy {
            // Half-closed: the answer is still written.
            inbound.closes_after_output |= connection.is_ended && connection.input.is_empty();
            return Ok(());
        }
        match http::take_request(&mut connection.input, body_limit(inbound.origin)) {
            Ok(Some(request)) => {
                self.counts.requests += 1;
                self.counts.record_message(request.body.len());
                inbound.is_busy = true;
                inbound.keep_alive = request.keep_alive;
                connection.since = Instant::now();
                if connection.input.is_empty() {
                    connection.input = Vec::new();
                }
                let (connection, origin) = (inbound.id, inbound.origin);
                self.incoming.push(Incoming::Request { connection, origin, request });
                Ok(())
            }
            Ok(None) if connection.is_ended && connection.output.is_empty() => Err(self.close(key)),
            Ok(None) if connection.is_ended => {
                inbound.closes_after_output = true;
                Ok(())
            }
            Ok(None) if http::wants_continue(&connection.input) => {
                connection.write_continue();
                self.flush(key)
            }
            Ok(None) => Ok(()),
            Err(error) => {
                connection.refuse_malformed(error);
                self.flush(key)
            }
        }
    }

    /// Answers a request; the connection may be gone by now. `retry_after_s` are seconds after which
    /// the client may come back.
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
        if !connection.answer(status, retry_after_s, body) {
            return;
        }
        // The next request may have come already.
        if self.flush(key).is_ok() && self.take_request(key).is_ok() {
            self.update_interest(key);
        }
    }
}

/// Most bytes of a request's body. A user's request that a peer passes on is a little longer than it
/// was from the user.
fn body_limit(origin: Origin) -> usize {
    match origin {
        Origin::Public => HTTP_BODY_MAX,
        Origin::Peer => HTTP_BODY_MAX + HTTP_HEAD_MAX,
    }
}
