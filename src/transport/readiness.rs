//! Waiting until sockets are ready: `polling`, with a shorter wait on Linux.
//!
//! `Poller::wait` makes five system calls: it sets a timer, renews its interest in that timer and
//! in notifications of other threads, and clears the latter. A program of one thread that gives
//! a timeout needs one of the five. On Linux the poller is an epoll instance, so the wait
//! is made on its descriptor directly; what sockets are watched for stays with the poller.

use polling::{Event, PollMode, Poller};
use std::io;
use std::net::TcpStream;
use std::os::fd::{AsFd, AsRawFd};
use std::time::Duration;

/// A socket that is ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ready {
    /// The key under which it was added.
    pub key: usize,
    /// Reading would not block. It may find the end of the stream or an error.
    pub readable: bool,
    /// Writing would not block. It may find an error.
    pub writable: bool,
}

/// What a socket is watched for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Interest {
    /// Report when it can be read.
    pub read: bool,
    /// Report when it can be written.
    pub write: bool,
}

impl Interest {
    /// Reading alone.
    pub const READ: Interest = Interest { read: true, write: false };
    /// Both directions.
    pub const BOTH: Interest = Interest { read: true, write: true };

    fn event(self, key: usize) -> Event {
        Event::new(key, self.read, self.write)
    }
}

/// The poller with the sockets that were ready last.
pub struct Readiness {
    poller: Poller,
    events: wait::Events,
}

impl Readiness {
    /// A poller that watches nothing yet.
    pub fn new() -> io::Result<Readiness> {
        let poller = Poller::new()?;
        if !poller.supports_level() {
            return Err(io::Error::new(io::ErrorKind::Unsupported, "no level-triggered polling"));
        }
        Ok(Readiness { poller, events: wait::Events::default() })
    }

    /// Watches a socket. It must be removed before it is closed.
    pub fn add(&self, socket: &impl AsRawFd, key: usize, interest: Interest) -> io::Result<()> {
        // SAFETY: callers remove every socket before they close it, or keep it for as long as
        // the poller lives.
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

    /// Waits for a socket or for the time to pass; gives what is ready. A signal ends the wait
    /// early with nothing ready.
    pub fn wait(&mut self, timeout: Duration) -> io::Result<Vec<Ready>> {
        wait::wait(&self.poller, &mut self.events, timeout)
    }
}

#[cfg(target_os = "linux")]
mod wait {
    use super::{io, Duration, Poller, Ready};
    use crate::constants::READY_PER_WAIT;
    use rustix::buffer::spare_capacity;
    use rustix::event::epoll::{self, EventFlags};
    use rustix::event::Timespec;
    use rustix::io::Errno;

    /// Room for what one wait reports.
    pub(super) struct Events(Vec<epoll::Event>);

    impl Default for Events {
        fn default() -> Events {
            Events(Vec::with_capacity(READY_PER_WAIT))
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
        // A connection that broke is reported both ways, so that whoever uses it next finds out.
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

    /// Room for what one wait reports.
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
