//! One connection with its buffers, whichever side opened it.
//!
//! It reads, writes and keeps its own state. Whether it is closed, and who is told, is for
//! [`Transport`](super::Transport).

use super::counts::TransportCounts;
use super::http::{self, HttpError};
use super::messages::{CallId, ConnectionId, Origin, Target};
use super::readiness::Interest;
use crate::constants::{HTTP_BODY_MAX, HTTP_HEAD_MAX, HTTP_REPLY_MAX, READ_CHUNK};
use crate::protocol::users::ErrorResponse;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::Instant;

/// Interim answer to a client that waits for it before it sends its body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A connection.
pub(super) struct Connection {
    pub stream: TcpStream,
    pub role: Role,
    /// Bytes received and not yet taken as a message.
    pub input: Vec<u8>,
    /// Bytes to send, of which the first `written` are sent.
    pub output: Vec<u8>,
    written: usize,
    /// What the poller watches it for.
    pub interest: Interest,
    /// When the current request began to arrive, or the connection fell idle.
    pub since: Instant,
    /// The other side sends nothing more, or nothing more is read of it.
    pub is_ended: bool,
}

/// Which side sends the requests.
pub(super) enum Role {
    Inbound(Inbound),
    Outbound(Outbound),
}

/// The other side sends requests.
pub(super) struct Inbound {
    pub id: ConnectionId,
    pub origin: Origin,
    /// A request was taken and is not answered yet.
    pub is_busy: bool,
    /// The client keeps the connection open after the answer to the current request.
    pub keep_alive: bool,
    /// It is closed once no request waits for an answer and all output is sent.
    pub closes_after_output: bool,
}

/// We send requests.
pub(super) struct Outbound {
    pub target: Target,
    /// The call that waits for its reply.
    pub call: Option<CallInFlight>,
    pub is_connecting: bool,
}

/// A call that was sent.
pub(super) struct CallInFlight {
    pub id: CallId,
    pub deadline: Instant,
}

/// How far the output has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteProgress {
    Complete,
    Blocked,
}

impl Connection {
    pub(super) fn new(stream: TcpStream, role: Role, interest: Interest) -> Connection {
        Connection {
            stream,
            role,
            input: Vec::new(),
            output: Vec::new(),
            written: 0,
            interest,
            since: Instant::now(),
            is_ended: false,
        }
    }

    /// Sends what waits, as far as the socket takes it.
    pub(super) fn write_output(
        &mut self,
        counts: &mut TransportCounts,
    ) -> io::Result<WriteProgress> {
        self.finish_connecting()?;
        while self.written < self.output.len() {
            counts.writes += 1;
            match self.stream.write(&self.output[self.written..]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(length) => {
                    self.written += length;
                    counts.bytes_written += length as u64;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return Ok(WriteProgress::Blocked);
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        self.output = Vec::new();
        self.written = 0;
        Ok(WriteProgress::Complete)
    }

    /// The first time that a new connection can be written it is known whether it came about.
    fn finish_connecting(&mut self) -> io::Result<()> {
        let Role::Outbound(outbound) = &mut self.role else {
            return Ok(());
        };
        if !outbound.is_connecting {
            return Ok(());
        }
        if let Some(error) = self.stream.take_error()? {
            return Err(error);
        }
        outbound.is_connecting = false;
        Ok(())
    }

    /// Reads what there is, through `scratch`; fails too if that is more than any message may have.
    pub(super) fn read_input(
        &mut self,
        scratch: &mut [u8],
        counts: &mut TransportCounts,
    ) -> io::Result<()> {
        loop {
            counts.reads += 1;
            let length = match self.stream.read(scratch) {
                Ok(0) => {
                    self.is_ended = true;
                    return Ok(());
                }
                Ok(length) => length,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    counts.reads_empty += 1;
                    return Ok(());
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) => return Err(error),
            };
            counts.bytes_read += length as u64;
            self.append_input(&scratch[..length])?;
            // A read that did not fill the buffer has emptied the socket: another one would find nothing.
            if length < scratch.len() || self.has_enough_input() {
                return Ok(());
            }
        }
    }

    fn append_input(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.input.is_empty() && self.is_inbound() {
            self.since = Instant::now();
        }
        self.input.extend_from_slice(bytes);
        if self.input.len() > HTTP_REPLY_MAX + HTTP_HEAD_MAX {
            return Err(io::ErrorKind::InvalidData.into());
        }
        Ok(())
    }

    /// More than any request may have: the parser decides before more is read.
    fn has_enough_input(&self) -> bool {
        self.is_inbound() && self.input.len() > HTTP_BODY_MAX + HTTP_HEAD_MAX
    }

    pub(super) fn is_inbound(&self) -> bool {
        matches!(self.role, Role::Inbound(_))
    }

    /// Whether it was to be closed once its output is sent, and no request waits for an answer.
    pub(super) fn closes_after_output(&self) -> bool {
        match &self.role {
            Role::Inbound(inbound) => inbound.closes_after_output && !inbound.is_busy,
            Role::Outbound(_) => false,
        }
    }

    /// What the poller should watch it for.
    pub(super) fn wanted_interest(&self) -> Interest {
        let has_output = self.written < self.output.len();
        match &self.role {
            Role::Inbound(inbound) => {
                // A client that sends more while it waits for an answer is read later.
                let has_room = !inbound.is_busy || self.input.len() < READ_CHUNK;
                Interest { read: !self.is_ended && has_room, write: has_output }
            }
            Role::Outbound(outbound) => {
                Interest { read: true, write: has_output || outbound.is_connecting }
            }
        }
    }

    /// Writes the answer to the request that waits for one; false if none does.
    pub(super) fn answer(&mut self, status: u16, retry_after_s: Option<u64>, body: &[u8]) -> bool {
        let Role::Inbound(inbound) = &mut self.role else {
            return false;
        };
        if !inbound.is_busy {
            return false;
        }
        inbound.is_busy = false;
        let keep_alive = inbound.keep_alive && !inbound.closes_after_output && !self.is_ended;
        inbound.closes_after_output = !keep_alive;
        self.since = Instant::now();
        http::write_response(&mut self.output, status, retry_after_s, body, keep_alive);
        true
    }

    /// Answers bytes that are no request, and ends the connection with that.
    pub(super) fn refuse(&mut self, status: u16, reason: &str) {
        if let Role::Inbound(inbound) = &mut self.role {
            inbound.closes_after_output = true;
        }
        self.is_ended = true;
        self.input = Vec::new();
        let body = serde_json::to_vec(&ErrorResponse { error: reason }).unwrap_or_default();
        http::write_response(&mut self.output, status, None, &body, false);
    }

    /// The same with the status and the reason of the parser.
    pub(super) fn refuse_malformed(&mut self, error: HttpError) {
        self.refuse(error.status(), &error.to_string());
    }

    /// Tells the client to send the body of its request.
    pub(super) fn write_continue(&mut self) {
        self.output.extend_from_slice(CONTINUE);
    }

    /// Bytes that its buffers hold.
    pub(super) fn buffered_bytes(&self) -> u64 {
        (self.input.capacity() + self.output.capacity()) as u64
    }
}
