//! The poll loop's sockets: waiting, reading, writing and closing, for connections of either side.

use super::connection::{Connection, Role, WriteProgress};
use super::counts::TransportCounts;
use super::listeners::{Listeners, KEY_FIRST_CONNECTION, KEY_PEER, KEY_PUBLIC};
use super::messages::{ConnectionId, Incoming, Origin};
use super::outbound::Destination;
use super::readiness::{Interest, Readiness, Ready};
use crate::constants::{INBOUND_SOCKET_SHARE, READ_CHUNK};
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::time::{Duration, Instant};

/// Key under which the poller reports a connection; never used twice.
pub(super) type ConnectionKey = usize;

/// The connection was closed meanwhile; whoever waited for it was told.
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
    /// Most inbound connections that are kept open for users and workers.
    pub(super) inbound_max: usize,
    pub(super) destinations: Vec<Destination>,
    pub(super) next_sweep_at: Instant,
    pub(super) incoming: Vec<Incoming>,
    scratch: Vec<u8>,
    pub(super) counts: TransportCounts,
}

impl Transport {
    /// Opens the listeners. `targets` are the places that calls go to; `sockets` may be open at most.
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
            scratch: vec![0; READ_CHUNK],
            counts: TransportCounts::default(),
        })
    }

    /// Where users and workers connect.
    pub fn public_address(&self) -> io::Result<SocketAddr> {
        self.listeners.public_address()
    }

    /// What was done so far; what the buffers hold is as of the last sweep.
    pub fn counts(&self) -> TransportCounts {
        TransportCounts { connections: self.connections.len() as u64, ..self.counts }
    }

    /// Whether something came in that [`Transport::poll`] has not given yet.
    pub fn has_incoming(&self) -> bool {
        !self.incoming.is_empty()
    }

    /// Waits for sockets or for the time to pass; gives what came in.
    pub fn poll(&mut self, wait: Duration) -> io::Result<Vec<Incoming>> {
        let ready = self.readiness.wait(wait)?;
        self.counts.waits += 1;
        self.counts.waits_without_event += u64::from(ready.is_empty());
        for socket in ready {
            match socket.key {
                KEY_PUBLIC => self.accept(Origin::Public),
                KEY_PEER => self.accept(Origin::Peer),
                _ => self.serve(socket),
            }
        }
        self.sweep_if_due(Instant::now());
        Ok(std::mem::take(&mut self.incoming))
    }

    /// Writes and reads a connection that is ready, unless an earlier one's end has closed it.
    fn serve(&mut self, socket: Ready) {
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

    /// Has a new connection watched and keeps it.
    pub(super) fn add(
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

    /// Sends what waits, and closes the connection if it was to be closed after that.
    pub(super) fn flush(&mut self, key: ConnectionKey) -> Result<(), Closed> {
        let connection = self.connections.get_mut(&key).ok_or(Closed)?;
        match connection.write_output(&mut self.counts) {
            Ok(WriteProgress::Blocked) => Ok(()),
            Ok(WriteProgress::Complete) if !connection.closes_after_output() => Ok(()),
            Ok(WriteProgress::Complete) | Err(_) => Err(self.close(key)),
        }
    }

    /// Reads what there is, and takes the message that it completes.
    fn read(&mut self, key: ConnectionKey) -> Result<(), Closed> {
        let connection = self.connections.get_mut(&key).ok_or(Closed)?;
        let is_inbound = connection.is_inbound();
        if connection.read_input(&mut self.scratch, &mut self.counts).is_err() {
            return Err(self.close(key));
        }
        match is_inbound {
            true => self.take_request(key),
            false => self.take_reply(key),
        }
    }

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
            Role::Outbound(outbound) => self.release(key, outbound),
        }
        Closed
    }
}
