//! Waiting for socket readiness: the `polling` crate, with fewer system calls per wait on Linux.
//!
//! `Poller::wait` makes five system calls: besides the wait itself it sets a timer, re-arms its interest
//! in that timer and in notifications from other threads, and clears the notifications. A
//! single-threaded program that waits with a timeout needs only the wait. On Linux the poller is an
//! epoll instance, so this module waits on its file descriptor directly; sockets are still registered
//! through the poller.

use polling::{Event, PollMode, Poller};
use std::io;
use std::net::TcpStream;
use std::os::fd::{AsFd, AsRawFd};
use std::time::Duration;

/// A socket that is ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ready {
    /// The key under which the socket was added.
    pub key: usize,
    /// Reading would not block. It may return the end of the stream or an error.
    pub readable: bool,
    /// Writing would not block. It may return an error.
    pub writable: bool,
}

/// What a socket is watched for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Interest {
    /// Report when the socket can be read.
    pub read: bool,
    /// Report when the socket can be written.
    pub write: bool,
}

impl Interest {
    /// Reading only.
    pub const READ: Interest = Interest { read: true, write: false };
    /// Reading and writing.
    pub const BOTH: Interest = Interest { read: true, write: true };

    fn event(self, key: usize) -> Event {
        Event::new(key, self.read, self.write)
    }
}

/// The poller and its buffer of events.
pub struct Readiness {
    poller: Poller,
    events: wait::Events,
}

impl Readiness {
    /// Creates a poller without sockets; fails where level-triggered polling is not supported.
    pub fn new() -> io::Result<Readiness> {
        let poller = Poller::new()?;
        if !poller.supports_level() {
            return Err(io::Error::new(io::ErrorKind::Unsupported, "no level-triggered polling"));
        }
        Ok(Readiness { poller, events: wait::Events::default() })
    }

    /// Watches a socket, which must be removed before it is closed.
    pub fn add(&self, socket: &impl AsRawFd, key: usize, interest: Interest) -> io::Result<()> {
        // SAFETY: callers remove every socket before closing it, or keep it open for as long as the
        // poller exists.
        unsafe {
            self.poller.add_with_mode(socket.as_raw_fd(), interest.event(key), PollMode::Level)
        }
    }

    /// Changes what a socket is watched for.
    pub fn modify(&self, socket: impl AsFd, key: usize, interest: Interest) -> io::Result<()> {
        self.poller.modify_with_mode(socket, interest.event(key), PollMode::Level)
    }

    /// Stops watching a socket.
    pub fn remove(&self, socket: &TcpStream) -> io::Result<()> {
        self.poller.delete(socket)
    }

    /// Waits until a socket is ready or the timeout has passed, and returns the ready sockets. A signal
    /// ends the wait early with none ready.
    pub fn wait(&mut self, timeout: Duration) -> io::Result<Vec<Ready>> {
        wait::wait(&self.poller, &mut self.events, timeout)
    }
}

#[cfg(target_os = "linux")]
mod wait {
    use super::{io, Duration, Poller, Ready};
    use crate::constants::READY_SOCKETS_PER_WAIT_MAX;
    use rustix::buffer::spare_capacity;
    use rustix::event::epoll::{self, EventFlags};
    use rustix::event::Timespec;
    use rustix::io::Errno;

    /// Buffer for the events of one wait.
    pub(super) struct Events(Vec<epoll::Event>);

    impl Default for Events {
        fn default() -> Events {
            Events(Vec::with_capacity(READY_SOCKETS_PER_WAIT_MAX))
        }
    }

    pub(super) fn wait(
        poller: &Poller,
        events: &mut Events,
        timeout: Duration,
    ) -> io::Result<Vec<Ready>> {
        let events = &mut events.0;
        events.clear();
        let timeout = Timespec::try_from(timeout).unwrap_or_default();
        match epoll::wait(poller, spare_capacity(events), Some(&timeout)) {
            Ok(_) | Err(Errno::INTR) => Ok(events.iter().map(ready).collect()),
            Err(error) => Err(error.into()),
        }
    }

    fn ready(event: &epoll::Event) -> Ready {
        let flags = event.flags;
        // A broken connection is reported as readable and writable, so that the next operation on it
        // returns the error.
        let broken = EventFlags::HUP | EventFlags::ERR;
        Ready {
            key: event.data.u64() as usize,
            readable: flags.intersects(EventFlags::IN | EventFlags::PRI | broken),
            writable: flags.intersects(EventFlags::OUT | broken),
        }
    }
}

#[cfg(not(target_os = "linux"))]
mod wait {
    use super::{io, Duration, Poller, Ready};

    /// Buffer for the events of one wait.
    #[derive(Default)]
    pub(super) struct Events(polling::Events);

    pub(super) fn wait(
        poller: &Poller,
        events: &mut Events,
        timeout: Duration,
    ) -> io::Result<Vec<Ready>> {
        let events = &mut events.0;
        events.clear();
        match poller.wait(events, Some(timeout)) {
            Err(error) if error.kind() != io::ErrorKind::Interrupted => return Err(error),
            _ => {}
        }
        let ready =
            |e: polling::Event| Ready { key: e.key, readable: e.readable, writable: e.writable };
        Ok(events.iter().map(ready).collect())
    }
}
