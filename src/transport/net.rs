//! The sockets of the event loop: waiting, reading, writing and closing, for inbound and outbound connections.

use super::connection::{Connection, Role, WriteProgress};
use super::counts::TransportCounts;
use super::listeners::{Listeners, KEY_FIRST_CONNECTION, KEY_PEER, KEY_PUBLIC};
use super::messages::{ConnectionId, Incoming, Origin};
use super::outbound::Destination;
use super::readiness::{Interest, Readiness, Ready};
use crate::constants::{INBOUND_SOCKET_SHARE, READ_BUFFER_BYTES};
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::time::{Duration, Instant};

/// Key that identifies a connection in the poller; never reused.
pub(super) type ConnectionKey = usize;

/// The connection has been closed. The call it carried, if any, has been reported as unanswered.
#[derive(Debug)]
pub(super) struct Closed;

/// All sockets of the process.
pub struct Transport {
    pub(super) readiness: Readiness,
    pub(super) listeners: Listeners,
    pub(super) connections: HashMap<ConnectionKey, Connection>,
    next_key: ConnectionKey,
    pub(super) inbound: HashMap<ConnectionId, ConnectionKey>,
    pub(super) next_connection_id: ConnectionId,
    /// Maximum number of inbound connections; once it is reached, new connections of users and workers are
    /// dropped.
    pub(super) inbound_max: usize,
    pub(super) destinations: Vec<Destination>,
    pub(super) next_sweep_at: Instant,
    pub(super) incoming: Vec<Incoming>,
    scratch: Vec<u8>,
    pub(super) counts: TransportCounts,
}

impl Transport {
    /// Opens the listeners. `targets` are the destinations of calls; `sockets` is the limit of open sockets.
    pub fn new(
        public: SocketAddrV4,
        peer: SocketAddrV4,
        targets: Vec<SocketAddrV4>,
        sockets: usize,
    ) -> io::Result<Transport> {
        let readiness = Readiness::new()?;
        Ok(Transport {
            listeners: Listeners::open(public, peer, &readiness)?,
            readiness,
            connections: HashMap::new(),
            next_key: KEY_FIRST_CONNECTION,
            inbound: HashMap::new(),
            next_connection_id: 1,
            inbound_max: (sockets as f64 * INBOUND_SOCKET_SHARE) as usize,
            destinations: targets.into_iter().map(Destination::new).collect(),
            next_sweep_at: Instant::now(),
            incoming: Vec::new(),
            scratch: vec![0; READ_BUFFER_BYTES],
            counts: TransportCounts::default(),
        })
    }

    /// Address that users and workers connect to.
    pub fn public_address(&self) -> io::Result<SocketAddr> {
        self.listeners.public_address()
    }

    /// Counts since the start of the process; the size of the buffers is that of the last sweep.
    pub fn counts(&self) -> TransportCounts {
        TransportCounts { connections: self.connections.len() as u64, ..self.counts }
    }

    /// Whether something has arrived that [`Transport::poll`] has not returned yet.
    pub fn has_incoming(&self) -> bool {
        !self.incoming.is_empty()
    }

    /// Waits until a socket is ready or `wait` has passed, and returns what has arrived.
    pub fn poll(&mut self, wait: Duration) -> io::Result<Vec<Incoming>> {
        let ready = self.readiness.wait(wait)?;
        self.counts.waits += 1;
        self.counts.waits_without_event += u64::from(ready.is_empty());
        for socket in ready {
            match socket.key {
                KEY_PUBLIC => self.accept(Origin::Public),
                KEY_PEER => self.accept(Origin::Peer),
                _ => self.handle_ready(socket),
            }
        }
        self.sweep_if_due(Instant::now());
        Ok(std::mem::take(&mut self.incoming))
    }

    /// Writes to and reads from a ready connection, unless it was closed while an earlier socket of the
    /// same wait was handled.
    fn handle_ready(&mut self, socket: Ready) {
        if !self.connections.contains_key(&socket.key) {
            return;
        }
        if socket.writable && self.flush(socket.key).is_err() {
            return;
        }
        if socket.readable && self.read(socket.key).is_err() {
            return;
        }
        self.update_interest(socket.key);
    }

    /// Registers a new connection with the poller and stores it.
    pub(super) fn add_connection(
        &mut self,
        stream: TcpStream,
        role: Role,
        interest: Interest,
    ) -> Option<ConnectionKey> {
        let key = self.next_key;
        self.next_key += 1;
        self.readiness.add(&stream, key, interest).ok()?;
        self.connections.insert(key, Connection::new(stream, role, interest));
        Some(key)
    }

    /// Tells the poller what to watch a connection for, if that has changed.
    pub(super) fn update_interest(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        let wanted = connection.wanted_interest();
        if wanted != connection.interest {
            connection.interest = wanted;
            self.counts.interest_changes += 1;
            let _ = self.readiness.modify(&connection.stream, key, wanted);
        }
    }

    /// Sends pending output, then closes the connection if it is marked to be closed.
    pub(super) fn flush(&mut self, key: ConnectionKey) -> Result<(), Closed> {
        let connection = self.connections.get_mut(&key).ok_or(Closed)?;
        match connection.write_output(&mut self.counts) {
            Ok(WriteProgress::Blocked) => Ok(()),
            Ok(WriteProgress::Complete) if !connection.closes_after_output() => Ok(()),
            Ok(WriteProgress::Complete) | Err(_) => Err(self.close(key)),
        }
    }

    /// Reads the available input and handles the message that it completes.
    fn read(&mut self, key: ConnectionKey) -> Result<(), Closed> {
        let connection = self.connections.get_mut(&key).ok_or(Closed)?;
        let is_inbound = connection.is_inbound();
        if connection.read_input(&mut self.scratch, &mut self.counts).is_err() {
            return Err(self.close(key));
        }
        match is_inbound {
            true => self.receive_request(key),
            false => self.receive_response(key),
        }
    }

    /// Closes a connection. An outbound one reports its call as unanswered.
    pub(super) fn close(&mut self, key: ConnectionKey) -> Closed {
        let Some(connection) = self.connections.remove(&key) else {
            return Closed;
        };
        self.counts.closes += 1;
        let _ = self.readiness.remove(&connection.stream);
        match connection.role {
            Role::Inbound(inbound) => {
                self.inbound.remove(&inbound.id);
            }
            Role::Outbound(outbound) => self.on_outbound_closed(key, outbound),
        }
        Closed
    }
}
