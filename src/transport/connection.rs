//! One connection with its buffers, inbound or outbound.
//!
//! A connection reads, writes and keeps its own state. [`Transport`](super::Transport) closes it and
//! reports calls that end without a response.

use super::counts::TransportCounts;
use super::http::{self, HttpError};
use super::messages::{CallId, ConnectionId, Origin, Target};
use super::readiness::Interest;
use crate::constants::{
    HTTP_HEAD_BYTES_MAX, HTTP_REQUEST_BODY_BYTES_MAX, HTTP_RESPONSE_BODY_BYTES_MAX,
    READ_BUFFER_BYTES,
};
use crate::protocol::users::ErrorResponse;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::Instant;

/// Interim response to a client that waits for it before sending the body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A TCP connection with its buffers.
pub(super) struct Connection {
    pub stream: TcpStream,
    pub role: Role,
    /// Bytes received but not yet parsed.
    pub input: Vec<u8>,
    /// Bytes to send; the first `written` of them have been sent.
    pub output: Vec<u8>,
    written: usize,
    /// What the poller watches the connection for.
    pub interest: Interest,
    /// Start of the current timeout: when a request began to arrive or was sent, or when the connection
    /// became idle.
    pub timeout_start: Instant,
    /// The remote side has closed its sending direction, or its input is no longer read.
    pub is_read_closed: bool,
}

/// Which side sends requests.
pub(super) enum Role {
    Inbound(Inbound),
    Outbound(Outbound),
}

/// State of a connection on which the remote side sends requests.
pub(super) struct Inbound {
    pub id: ConnectionId,
    pub origin: Origin,
    /// A request has been received and not answered yet.
    pub has_pending_request: bool,
    /// The client asked to keep the connection open after the current request.
    pub keep_alive: bool,
    /// Close the connection once no request is pending and all output has been sent.
    pub closes_after_output: bool,
}

/// State of a connection on which this process sends requests.
pub(super) struct Outbound {
    pub target: Target,
    /// The call that waits for its response.
    pub call: Option<CallInFlight>,
    pub is_connecting: bool,
}

/// A call assigned to a connection.
pub(super) struct CallInFlight {
    pub id: CallId,
    pub deadline: Instant,
}

/// Result of writing the pending output.
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
            timeout_start: Instant::now(),
            is_read_closed: false,
        }
    }

    /// Sends pending output until the socket would block.
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

    /// Checks whether connecting succeeded. The result is available once the socket is first writable.
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

    /// Reads the available input, using `scratch` as the read buffer. Also fails if the input grows beyond
    /// the size limit of the largest message.
    pub(super) fn read_input(
        &mut self,
        scratch: &mut [u8],
        counts: &mut TransportCounts,
    ) -> io::Result<()> {
        loop {
            counts.reads += 1;
            let length = match self.stream.read(scratch) {
                Ok(0) => {
                    self.is_read_closed = true;
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
            // A read that does not fill the buffer has drained the socket; another one would block.
            if length < scratch.len() || self.has_enough_input() {
                return Ok(());
            }
        }
    }

    fn append_input(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.input.is_empty() && self.is_inbound() {
            self.timeout_start = Instant::now();
        }
        self.input.extend_from_slice(bytes);
        if self.input.len() > HTTP_RESPONSE_BODY_BYTES_MAX + HTTP_HEAD_BYTES_MAX {
            return Err(io::ErrorKind::InvalidData.into());
        }
        Ok(())
    }

    /// Whether the input exceeds the size of any single request, so that it is parsed before more is read.
    fn has_enough_input(&self) -> bool {
        self.is_inbound() && self.input.len() > HTTP_REQUEST_BODY_BYTES_MAX + HTTP_HEAD_BYTES_MAX
    }

    pub(super) fn is_inbound(&self) -> bool {
        matches!(self.role, Role::Inbound(_))
    }

    /// Whether to close the connection once its output has been sent: this was requested and no request is
    /// pending.
    pub(super) fn closes_after_output(&self) -> bool {
        match &self.role {
            Role::Inbound(inbound) => inbound.closes_after_output && !inbound.has_pending_request,
            Role::Outbound(_) => false,
        }
    }

    /// What the poller should watch the connection for.
    pub(super) fn wanted_interest(&self) -> Interest {
        let has_output = self.written < self.output.len();
        match &self.role {
            Role::Inbound(inbound) => {
                // Backpressure: while a request is pending, at most about a chunk of further input is read.
                let accepts_input =
                    !inbound.has_pending_request || self.input.len() < READ_BUFFER_BYTES;
                Interest { read: !self.is_read_closed && accepts_input, write: has_output }
            }
            Role::Outbound(outbound) => {
                Interest { read: true, write: has_output || outbound.is_connecting }
            }
        }
    }

    /// Writes the response to the pending request; returns false if there is none.
    pub(super) fn write_response(
        &mut self,
        status: u16,
        retry_after_s: Option<u64>,
        body: &[u8],
    ) -> bool {
        let Role::Inbound(inbound) = &mut self.role else {
            return false;
        };
        if !inbound.has_pending_request {
            return false;
        }
        inbound.has_pending_request = false;
        let keep_alive = inbound.keep_alive && !inbound.closes_after_output && !self.is_read_closed;
        inbound.closes_after_output = !keep_alive;
        self.timeout_start = Instant::now();
        http::write_response(&mut self.output, status, retry_after_s, body, keep_alive);
        true
    }

    /// Rejects input that is not an acceptable request and closes the connection after the response.
    pub(super) fn reject(&mut self, status: u16, reason: &str) {
        if let Role::Inbound(inbound) = &mut self.role {
            inbound.closes_after_output = true;
        }
        self.is_read_closed = true;
        self.input = Vec::new();
        let body = serde_json::to_vec(&ErrorResponse { error: reason }).unwrap_or_default();
        http::write_response(&mut self.output, status, None, &body, false);
    }

    /// Rejects input that the parser did not accept, with the parser's status and reason.
    pub(super) fn reject_malformed(&mut self, error: HttpError) {
        self.reject(error.status(), &error.to_string());
    }

    /// Writes the interim response that tells the client to send the request body.
    pub(super) fn write_continue(&mut self) {
        self.output.extend_from_slice(CONTINUE);
    }

    /// Bytes allocated for the buffers.
    pub(super) fn buffered_bytes(&self) -> u64 {
        (self.input.capacity() + self.output.capacity()) as u64
    }
}
