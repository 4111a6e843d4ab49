//! The poll loop's sockets: listeners, inbound connections, pooled outbound ones.

use super::counts::TransportCounts;
use super::http;
use super::readiness::{Interest, Readiness};
use crate::constants::{
    CROWDED_SHARE, HTTP_BODY_MAX, HTTP_HEAD_MAX, HTTP_IDLE_CROWDED_MS, HTTP_IDLE_MS,
    HTTP_REPLY_MAX, HTTP_REQUEST_MS, INBOUND_SOCKET_SHARE, LISTEN_BACKLOG, OUTBOUND_PER_TARGET,
    OUTBOUND_QUEUE, READ_CHUNK, SWEEP_MS,
};
use socket2::{Domain, SockAddr, Socket, Type};
use std::collections::{HashMap, VecDeque};
use std::io::{self, Read, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Names an inbound connection; never used twice.
pub type ConnectionId = u64;
/// Names an outbound call; chosen by the caller.
pub type CallId = u64;
/// Index of a place that calls go to.
pub type Target = usize;

/// Which listener a request came through.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// Users, workers and health checks.
    Public,
    /// Other controllers.
    Peer,
}

/// An outbound request.
#[derive(Debug, Clone)]
pub struct Call {
    /// Name of the call, chosen by the caller.
    pub id: CallId,
    /// Where it goes.
    pub target: Target,
    /// HTTP method.
    pub method: &'static str,
    /// Path with its query.
    pub path: String,
    /// Body; may be empty.
    pub body: Vec<u8>,
    /// Milliseconds after which it counts as unanswered.
    pub timeout_ms: u64,
}

/// What came in.
#[derive(Debug)]
pub enum Incoming {
    /// A whole request came in.
    Request {
        /// The connection to answer on.
        connection: ConnectionId,
        /// The listener it came through.
        origin: Origin,
        /// The request.
        request: http::Request,
    },
    /// `None`: no answer; the request may have been carried out, or may be later.
    Reply {
        /// The call that it answers.
        call: CallId,
        /// The reply, or none.
        reply: Option<http::Response>,
    },
}

enum Role {
    Inbound { id: ConnectionId, origin: Origin, busy: bool, keep_alive: bool, close: bool },
    Outbound { target: Target, call: Option<(CallId, Instant)>, connecting: bool },
}

struct Conn {
    stream: TcpStream,
    role: Role,
    input: Vec<u8>,
    output: Vec<u8>,
    written: usize,
    interest: Interest,
    /// When the current request began to arrive, or the connection fell idle.
    since: Instant,
    ended: bool,
}

const KEY_PUBLIC: usize = 0;
const KEY_PEER: usize = 1;
const KEY_FIRST: usize = 2;

/// All sockets of the process.
pub struct Net {
    readiness: Readiness,
    public: TcpListener,
    peer: TcpListener,
    conns: HashMap<usize, Conn>,
    inbound: HashMap<ConnectionId, usize>,
    next_key: usize,
    next_conn: ConnectionId,
    targets: Vec<SocketAddrV4>,
    pooled: Vec<Vec<usize>>,
    open: Vec<usize>,
    queued: Vec<VecDeque<(Call, Instant)>>,
    inbound_max: usize,
    sweep_at: Instant,
    incoming: Vec<Incoming>,
    scratch: Vec<u8>,
    counts: TransportCounts,
}

fn listen(addr: SocketAddrV4) -> io::Result<TcpListener> {
    let s = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    s.set_reuse_address(true)?;
    s.set_nonblocking(true)?;
    s.bind(&SockAddr::from(addr))?;
    s.listen(LISTEN_BACKLOG)?;
    Ok(s.into())
}

impl Net {
    /// Opens the listeners.
    pub fn new(
        public: SocketAddrV4,
        peer: SocketAddrV4,
        targets: Vec<SocketAddrV4>,
        sockets: usize,
    ) -> io::Result<Net> {
        let readiness = Readiness::new()?;
        let (public, peer) = (listen(public)?, listen(peer)?);
        readiness.add(&public, KEY_PUBLIC, Interest::READ)?;
        readiness.add(&peer, KEY_PEER, Interest::READ)?;
        let n = targets.len();
        Ok(Net {
            readiness,
            public,
            peer,
            conns: HashMap::new(),
            inbound: HashMap::new(),
            next_key: KEY_FIRST,
            next_conn: 1,
            targets,
            pooled: vec![Vec::new(); n],
            open: vec![0; n],
            queued: (0..n).map(|_| VecDeque::new()).collect(),
            inbound_max: (sockets as f64 * INBOUND_SOCKET_SHARE) as usize,
            sweep_at: Instant::now(),
            incoming: Vec::new(),
            scratch: vec![0; READ_CHUNK],
            counts: TransportCounts::default(),
        })
    }

    /// Where users and workers connect.
    pub fn public_address(&self) -> io::Result<std::net::SocketAddr> {
        self.public.local_addr()
    }

    /// What was done so far; what the buffers hold is as of the last sweep.
    pub fn counts(&self) -> TransportCounts {
        TransportCounts { connections: self.conns.len() as u64, ..self.counts }
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
                key => self.ready(key, socket.readable, socket.writable),
            }
        }
        let now = Instant::now();
        if now >= self.sweep_at {
            self.sweep_at = now + Duration::from_millis(SWEEP_MS);
            self.sweep(now);
        }
        Ok(std::mem::take(&mut self.incoming))
    }

    fn accept(&mut self, origin: Origin) {
        loop {
            let l = match origin {
                Origin::Public => &self.public,
                Origin::Peer => &self.peer,
            };
            self.counts.accepts += 1;
            let stream = match l.accept() {
                Ok((s, _)) => s,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(_) => {
                    self.counts.accepts_empty += 1;
                    return;
                }
            };
            if origin == Origin::Public && self.inbound.len() >= self.inbound_max {
                // Dropped at once: the balancer then tries another controller.
                continue;
            }
            if stream.set_nonblocking(true).is_err() {
                continue;
            }
            let _ = stream.set_nodelay(true);
            let id = self.next_conn;
            self.next_conn += 1;
            let role = Role::Inbound { id, origin, busy: false, keep_alive: true, close: false };
            if let Some(key) = self.add(stream, role, Interest::READ) {
                self.inbound.insert(id, key);
            }
        }
    }

    fn add(&mut self, stream: TcpStream, role: Role, interest: Interest) -> Option<usize> {
        let key = self.next_key;
        self.next_key += 1;
        self.readiness.add(&stream, key, interest).ok()?;
        let connection = Conn {
            stream,
            role,
            input: Vec::new(),
            output: Vec::new(),
            written: 0,
            interest,
            since: Instant::now(),
            ended: false,
        };
        self.conns.insert(key, connection);
        Some(key)
    }

    fn set_interest(&mut self, key: usize) {
        let Some(connection) = self.conns.get_mut(&key) else {
            return;
        };
        let write = connection.written < connection.output.len()
            || matches!(connection.role, Role::Outbound { connecting: true, .. });
        // A client that sends more while it waits for an answer is read later.
        let read = match &connection.role {
            Role::Inbound { busy, .. } => {
                !connection.ended && (!busy || connection.input.len() < READ_CHUNK)
            }
            Role::Outbound { .. } => true,
        };
        let want = Interest { read, write };
        if want != connection.interest {
            connection.interest = want;
            self.counts.interest_changes += 1;
            let _ = self.readiness.modify(&connection.stream, key, want);
        }
    }

    fn ready(&mut self, key: usize, readable: bool, writable: bool) {
        if !self.conns.contains_key(&key) {
            return;
        }
        if writable && !self.flush(key) {
            return;
        }
        if readable && !self.read(key) {
            return;
        }
        self.set_interest(key);
    }

    /// Writes what is waiting; false if the connection is gone.
    fn flush(&mut self, key: usize) -> bool {
        let Some(connection) = self.conns.get_mut(&key) else {
            return false;
        };
        if let Role::Outbound { connecting, .. } = &mut connection.role {
            if *connecting {
                if !matches!(connection.stream.take_error(), Ok(None)) {
                    self.close(key);
                    return false;
                }
                *connecting = false;
            }
        }
        while connection.written < connection.output.len() {
            self.counts.writes += 1;
            match connection.stream.write(&connection.output[connection.written..]) {
                Ok(0) => {
                    self.close(key);
                    return false;
                }
                Ok(n) => {
                    connection.written += n;
                    self.counts.bytes_written += n as u64;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return true,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => {
                    self.close(key);
                    return false;
                }
            }
        }
        connection.output = Vec::new();
        connection.written = 0;
        if let Role::Inbound { busy: false, close: true, .. } = connection.role {
            self.close(key);
            return false;
        }
        true
    }

    /// Reads what there is; false if the connection is gone.
    fn read(&mut self, key: usize) -> bool {
        loop {
            let Some(connection) = self.conns.get_mut(&key) else {
                return false;
            };
            self.counts.reads += 1;
            match connection.stream.read(&mut self.scratch) {
                Ok(0) => {
                    connection.ended = true;
                    break;
                }
                Ok(n) => {
                    self.counts.bytes_read += n as u64;
                    if connection.input.is_empty()
                        && matches!(connection.role, Role::Inbound { .. })
                    {
                        connection.since = Instant::now();
                    }
                    connection.input.extend_from_slice(&self.scratch[..n]);
                    if connection.input.len() > HTTP_REPLY_MAX + HTTP_HEAD_MAX {
                        self.close(key);
                        return false;
                    }
                    if n < self.scratch.len() {
                        break;
                    }
                    if matches!(connection.role, Role::Inbound { .. })
                        && connection.input.len() > HTTP_BODY_MAX + HTTP_HEAD_MAX
                    {
                        break;
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.counts.reads_empty += 1;
                    break;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => {
                    self.close(key);
                    return false;
                }
            }
        }
        match self.conns.get(&key).map(|c| matches!(c.role, Role::Inbound { .. })) {
            Some(true) => self.take_requests(key),
            Some(false) => self.take_replies(key),
            None => false,
        }
    }

    fn take_requests(&mut self, key: usize) -> bool {
        let Some(connection) = self.conns.get_mut(&key) else {
            return false;
        };
        let Role::Inbound { id, origin, busy, keep_alive, close } = &mut connection.role else {
            return true;
        };
        if *busy {
            if connection.ended && connection.input.is_empty() {
                // Half-closed: the answer is still written.
                *close = true;
            }
            return true;
        }
        match http::take_request(
            &mut connection.input,
            match origin {
                Origin::Public => HTTP_BODY_MAX,
                Origin::Peer => HTTP_BODY_MAX + HTTP_HEAD_MAX,
            },
        ) {
            Ok(Some(request)) => {
                self.counts.requests += 1;
                let bytes = request.body.len() as u64;
                self.counts.largest_message = self.counts.largest_message.max(bytes);
                *busy = true;
                *keep_alive = request.keep_alive;
                connection.since = Instant::now();
                if connection.input.is_empty() {
                    connection.input = Vec::new();
                }
                self.incoming.push(Incoming::Request { connection: *id, origin: *origin, request });
                true
            }
            Ok(None) if connection.ended => {
                if connection.output.is_empty() {
                    self.close(key);
                    return false;
                }
                *close = true;
                true
            }
            Ok(None) => {
                if http::wants_continue(&connection.input) {
                    connection.output.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
                    return self.flush(key);
                }
                true
            }
            Err(e) => {
                *close = true;
                connection.ended = true;
                connection.input = Vec::new();
                let body = crate::protocol::users::ErrorResponse { error: e.reason };
                let body = serde_json::to_vec(&body).unwrap_or_default();
                http::write_response(&mut connection.output, e.status, None, &body, false);
                self.flush(key)
            }
        }
    }

    /// Answers a request; the connection may be gone by now.
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
        let Some(connection) = self.conns.get_mut(&key) else {
            return;
        };
        let Role::Inbound { busy, keep_alive, close, .. } = &mut connection.role else {
            return;
        };
        if !*busy {
            return;
        }
        *busy = false;
        let keep = *keep_alive && !*close && !connection.ended;
        *close = !keep;
        connection.since = Instant::now();
        http::write_response(&mut connection.output, status, retry_after_s, body, keep);
        if self.flush(key) && self.take_requests(key) {
            self.set_interest(key);
        }
    }

    /// Sends a request; its reply comes from [`Net::poll`].
    pub fn call(&mut self, call: Call) {
        let deadline = Instant::now() + Duration::from_millis(call.timeout_ms);
        let target = call.target;
        while let Some(key) = self.pooled[target].pop() {
            if self.conns.contains_key(&key) {
                self.send(key, call, deadline);
                return;
            }
        }
        if self.open[target] < OUTBOUND_PER_TARGET {
            if let Some(key) = self.connect(target) {
                self.send(key, call, deadline);
                return;
            }
            self.incoming.push(Incoming::Reply { call: call.id, reply: None });
        } else if self.queued[target].len() < OUTBOUND_QUEUE {
            self.queued[target].push_back((call, deadline));
        } else {
            self.incoming.push(Incoming::Reply { call: call.id, reply: None });
        }
    }

    fn connect(&mut self, target: Target) -> Option<usize> {
        self.counts.connects += 1;
        let s = Socket::new(Domain::IPV4, Type::STREAM, None).ok()?;
        s.set_nonblocking(true).ok()?;
        let _ = s.set_tcp_nodelay(true);
        match s.connect(&SockAddr::from(self.targets[target])) {
            Ok(()) => {}
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) if e.raw_os_error() == Some(libc_einprogress()) => {}
            Err(_) => return None,
        }
        let role = Role::Outbound { target, call: None, connecting: true };
        let key = self.add(s.into(), role, Interest::BOTH)?;
        self.open[target] += 1;
        Some(key)
    }

    fn send(&mut self, key: usize, call: Call, deadline: Instant) {
        let host = self.targets[call.target].to_string();
        let Some(connection) = self.conns.get_mut(&key) else {
            return;
        };
        let Role::Outbound { call: slot, connecting, .. } = &mut connection.role else {
            return;
        };
        *slot = Some((call.id, deadline));
        http::write_request(&mut connection.output, call.method, &call.path, &host, &call.body);
        connection.since = Instant::now();
        if *connecting || self.flush(key) {
            self.set_interest(key);
        }
    }

    fn take_replies(&mut self, key: usize) -> bool {
        let Some(connection) = self.conns.get_mut(&key) else {
            return false;
        };
        let Role::Outbound { target, call, .. } = &mut connection.role else {
            return true;
        };
        let target = *target;
        let Some((id, _)) = *call else {
            // Bytes or an end that nobody asked for.
            self.close(key);
            return false;
        };
        match http::take_response(&mut connection.input, connection.ended) {
            Ok(Some(r)) => {
                self.counts.replies += 1;
                let bytes = r.body.len() as u64;
                self.counts.largest_message = self.counts.largest_message.max(bytes);
                *call = None;
                let keep = r.keep_alive && !connection.ended && connection.input.is_empty();
                connection.input = Vec::new();
                connection.since = Instant::now();
                self.incoming.push(Incoming::Reply { call: id, reply: Some(r) });
                if !keep {
                    self.close(key);
                    return false;
                }
                match self.next_queued(target) {
                    Some((call, deadline)) => self.send(key, call, deadline),
                    None => self.pooled[target].push(key),
                }
                self.conns.contains_key(&key)
            }
            Ok(None) if !connection.ended => true,
            Ok(None) | Err(_) => {
                self.close(key);
                false
            }
        }
    }

    fn next_queued(&mut self, target: Target) -> Option<(Call, Instant)> {
        let now = Instant::now();
        while let Some((call, deadline)) = self.queued[target].pop_front() {
            if deadline > now {
                return Some((call, deadline));
            }
            self.incoming.push(Incoming::Reply { call: call.id, reply: None });
        }
        None
    }

    fn close(&mut self, key: usize) {
        let Some(connection) = self.conns.remove(&key) else {
            return;
        };
        self.counts.closes += 1;
        let _ = self.readiness.remove(&connection.stream);
        match connection.role {
            Role::Inbound { id, .. } => {
                self.inbound.remove(&id);
            }
            Role::Outbound { target, call, .. } => {
                self.open[target] -= 1;
                self.pooled[target].retain(|k| *k != key);
                if let Some((id, _)) = call {
                    self.incoming.push(Incoming::Reply { call: id, reply: None });
                }
                if let Some((call, _)) = self.next_queued(target) {
                    self.call(call);
                }
            }
        }
    }

    fn sweep(&mut self, now: Instant) {
        let over = |since: Instant, ms: u64| now.duration_since(since) > Duration::from_millis(ms);
        let crowded = self.inbound.len() as f64 >= self.inbound_max as f64 * CROWDED_SHARE;
        let idle_ms = if crowded { HTTP_IDLE_CROWDED_MS } else { HTTP_IDLE_MS };
        let mut slow = Vec::new();
        let mut gone = Vec::new();
        self.counts.buffered_bytes = 0;
        for (key, connection) in &self.conns {
            let held = connection.input.capacity() + connection.output.capacity();
            self.counts.buffered_bytes += held as u64;
            match &connection.role {
                Role::Inbound { busy: true, .. } => {}
                Role::Inbound { .. } if !connection.output.is_empty() => {
                    if over(connection.since, HTTP_REQUEST_MS) {
                        gone.push(*key);
                    }
                }
                Role::Inbound { .. } if !connection.input.is_empty() => {
                    if over(connection.since, HTTP_REQUEST_MS) {
                        slow.push(*key);
                    }
                }
                Role::Inbound { .. } => {
                    if over(connection.since, idle_ms) {
                        gone.push(*key);
                    }
                }
                Role::Outbound { call: Some((_, deadline)), .. } => {
                    if now >= *deadline {
                        gone.push(*key);
                    }
                }
                Role::Outbound { call: None, .. } => {
                    if over(connection.since, HTTP_IDLE_MS) {
                        gone.push(*key);
                    }
                }
            }
        }
        for key in slow {
            if let Some(connection) = self.conns.get_mut(&key) {
                connection.input = Vec::new();
                connection.ended = true;
                if let Role::Inbound { close, .. } = &mut connection.role {
                    *close = true;
                }
                http::write_response(
                    &mut connection.output,
                    408,
                    None,
                    b"{\"error\":\"too slow\"}",
                    false,
                );
                self.flush(key);
            }
        }
        for key in gone {
            self.close(key);
        }
        for target in 0..self.targets.len() {
            let late: Vec<CallId> = self.queued[target]
                .iter()
                .filter(|(_, deadline)| *deadline <= now)
                .map(|(call, _)| call.id)
                .collect();
            self.queued[target].retain(|(_, deadline)| *deadline > now);
            for call in late {
                self.incoming.push(Incoming::Reply { call, reply: None });
            }
        }
    }

    /// Whether something came in that [`Net::poll`] has not given yet.
    pub fn has_incoming(&self) -> bool {
        !self.incoming.is_empty()
    }
}

/// `EINPROGRESS` on Linux: a connection attempt that goes on.
fn libc_einprogress() -> i32 {
    115
}
