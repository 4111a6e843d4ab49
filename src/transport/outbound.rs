//! Outbound calls. Each target has a small pool of connections, which stay open between calls, and a
//! queue of calls that wait for a free connection. A connection carries one call at a time.

use super::connection::{CallInFlight, Outbound, Role};
use super::http;
use super::messages::{Call, CallId, Incoming, Target};
use super::net::{Closed, ConnectionKey, Transport};
use super::readiness::Interest;
use crate::constants::{OUTBOUND_CONNECTIONS_PER_TARGET, OUTBOUND_QUEUE_MAX};
use rustix::io::Errno;
use socket2::{Domain, SockAddr, Socket, Type};
use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddrV4, TcpStream};
use std::time::{Duration, Instant};

/// A target with its pool of connections and its queue.
pub(super) struct Destination {
    address: SocketAddrV4,
    /// Open connections without a call.
    idle: Vec<ConnectionKey>,
    /// Number of all open connections.
    open: usize,
    queue: VecDeque<QueuedCall>,
}

/// A call that waits for a connection.
struct QueuedCall {
    call: Call,
    deadline: Instant,
}

impl Destination {
    /// Creates a destination without connections.
    pub(super) fn new(address: SocketAddrV4) -> Destination {
        Destination { address, idle: Vec::new(), open: 0, queue: VecDeque::new() }
    }

    /// Removes the calls from the queue whose deadline has passed, and returns their identifiers.
    pub(super) fn remove_expired_calls(&mut self, now: Instant) -> Vec<CallId> {
        let is_expired = |queued: &QueuedCall| queued.deadline <= now;
        let expired = self.queue.iter().filter(|queued| is_expired(queued));
        let expired = expired.map(|queued| queued.call.id).collect();
        self.queue.retain(|queued| !is_expired(queued));
        expired
    }
}

impl Transport {
    /// Sends a request; [`Transport::poll`] returns its response.
    pub fn call(&mut self, call: Call) {
        let deadline = Instant::now() + Duration::from_millis(call.timeout_ms);
        if let Some(key) = self.pop_idle_connection(call.target) {
            return self.send(key, call, deadline);
        }
        if self.destinations[call.target].open >= OUTBOUND_CONNECTIONS_PER_TARGET {
            return self.enqueue(QueuedCall { call, deadline });
        }
        match self.connect(call.target) {
            Some(key) => self.send(key, call, deadline),
            None => self.report_unanswered(call.id),
        }
    }

    fn pop_idle_connection(&mut self, target: Target) -> Option<ConnectionKey> {
        while let Some(key) = self.destinations[target].idle.pop() {
            if self.connections.contains_key(&key) {
                return Some(key);
            }
        }
        None
    }

    fn enqueue(&mut self, queued: QueuedCall) {
        let queue = &mut self.destinations[queued.call.target].queue;
        if queue.len() < OUTBOUND_QUEUE_MAX {
            queue.push_back(queued);
        } else {
            self.report_unanswered(queued.call.id);
        }
    }

    /// Removes the next call from the queue whose deadline has not passed; earlier ones are reported as
    /// unanswered.
    fn pop_queued_call(&mut self, target: Target) -> Option<QueuedCall> {
        let now = Instant::now();
        while let Some(queued) = self.destinations[target].queue.pop_front() {
            if queued.deadline > now {
                return Some(queued);
            }
            self.report_unanswered(queued.call.id);
        }
        None
    }

    pub(super) fn report_unanswered(&mut self, call: CallId) {
        self.incoming.push(Incoming::Response { call, response: None });
    }

    fn connect(&mut self, target: Target) -> Option<ConnectionKey> {
        self.counts.connects += 1;
        let stream = start_connecting(self.destinations[target].address).ok()?;
        let role = Role::Outbound(Outbound { target, call: None, is_connecting: true });
        let key = self.add_connection(stream, role, Interest::BOTH)?;
        self.destinations[target].open += 1;
        Some(key)
    }

    fn send(&mut self, key: ConnectionKey, call: Call, deadline: Instant) {
        let host = self.destinations[call.target].address.to_string();
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        let Role::Outbound(outbound) = &mut connection.role else {
            return;
        };
        outbound.call = Some(CallInFlight { id: call.id, deadline });
        http::write_request(&mut connection.output, call.method, &call.path, &host, &call.body);
        connection.timeout_start = Instant::now();
        if outbound.is_connecting || self.flush(key).is_ok() {
            self.update_interest(key);
        }
    }

    /// Handles the response to a connection's call once it is complete.
    pub(super) fn receive_response(&mut self, key: ConnectionKey) -> Result<(), Closed> {
        let connection = self.connections.get_mut(&key).ok_or(Closed)?;
        let Role::Outbound(outbound) = &connection.role else {
            return Ok(());
        };
        if outbound.call.is_none() {
            // The target sent bytes without a request, or closed an idle connection.
            return Err(self.close(key));
        }
        match http::take_response(&mut connection.input, connection.is_read_closed) {
            Ok(Some(response)) => self.finish_call(key, response),
            Ok(None) if !connection.is_read_closed => Ok(()),
            Ok(None) | Err(_) => Err(self.close(key)),
        }
    }

    /// Reports a response and reuses its connection for the next queued call if possible.
    fn finish_call(&mut self, key: ConnectionKey, response: http::Response) -> Result<(), Closed> {
        let connection = self.connections.get_mut(&key).ok_or(Closed)?;
        let Role::Outbound(outbound) = &mut connection.role else {
            return Ok(());
        };
        let (target, Some(call)) = (outbound.target, outbound.call.take()) else {
            return Ok(());
        };
        self.counts.replies += 1;
        self.counts.record_body_size(response.body.len());
        let is_reusable =
            response.keep_alive && !connection.is_read_closed && connection.input.is_empty();
        connection.input = Vec::new();
        connection.timeout_start = Instant::now();
        self.incoming.push(Incoming::Response { call: call.id, response: Some(response) });
        if !is_reusable {
            return Err(self.close(key));
        }
        match self.pop_queued_call(target) {
            Some(queued) => self.send(key, queued.call, queued.deadline),
            None => self.destinations[target].idle.push(key),
        }
        // Sending the next call may have failed and closed the connection.
        self.connections.contains_key(&key).then_some(()).ok_or(Closed)
    }

    /// Reports the call of a closed connection as unanswered, and starts the next queued call on another
    /// connection.
    pub(super) fn on_outbound_closed(&mut self, key: ConnectionKey, outbound: Outbound) {
        let destination = &mut self.destinations[outbound.target];
        destination.open -= 1;
        destination.idle.retain(|idle| *idle != key);
        if let Some(call) = outbound.call {
            self.report_unanswered(call.id);
        }
        if let Some(queued) = self.pop_queued_call(outbound.target) {
            self.call(queued.call);
        }
    }
}

/// Starts a non-blocking connect. Its result is available once the socket is writable.
fn start_connecting(address: SocketAddrV4) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    let _ = socket.set_tcp_nodelay(true);
    match socket.connect(&SockAddr::from(address)) {
        Err(error) if !is_connect_in_progress(&error) => Err(error),
        Ok(()) | Err(_) => Ok(socket.into()),
    }
}

fn is_connect_in_progress(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::WouldBlock
        || error.raw_os_error() == Some(Errno::INPROGRESS.raw_os_error())
}

#[cfg(test)]
mod tests;
