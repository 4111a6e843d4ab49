//! The listening sockets: one for users, workers and health checks, one for other controllers.

use super::messages::Origin;
use super::readiness::{Interest, Readiness};
use crate::constants::LISTEN_BACKLOG;
use socket2::{Domain, SockAddr, Socket, Type};
use std::io;
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};

/// Key under which the poller reports the public listener.
pub(super) const KEY_PUBLIC: usize = 0;
/// Key under which the poller reports the listener for other controllers.
pub(super) const KEY_PEER: usize = 1;
/// First key of a connection.
pub(super) const KEY_FIRST_CONNECTION: usize = 2;

/// The public listener and the one for other controllers.
pub(super) struct Listeners {
    public: TcpListener,
    peer: TcpListener,
}

impl Listeners {
    /// Opens both listeners and registers them with the poller.
    pub(super) fn open(
        public: SocketAddrV4,
        peer: SocketAddrV4,
        readiness: &Readiness,
    ) -> io::Result<Listeners> {
        let listeners = Listeners { public: listen(public)?, peer: listen(peer)? };
        readiness.add(&listeners.public, KEY_PUBLIC, Interest::READ)?;
        readiness.add(&listeners.peer, KEY_PEER, Interest::READ)?;
        Ok(listeners)
    }

    /// Accepts a pending connection; fails with `WouldBlock` if there is none.
    pub(super) fn accept(&self, origin: Origin) -> io::Result<TcpStream> {
        let listener = match origin {
            Origin::Public => &self.public,
            Origin::Peer => &self.peer,
        };
        listener.accept().map(|(stream, _)| stream)
    }

    /// Address that users and workers connect to.
    pub(super) fn public_address(&self) -> io::Result<SocketAddr> {
        self.public.local_addr()
    }
}

fn listen(address: SocketAddrV4) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&SockAddr::from(address))?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(socket.into())
}
