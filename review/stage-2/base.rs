//! Stand-ins for the platform, after the users' pages: state service, cloud, workers and users, and the
//! controllers as processes. Only the standard library is used. Each case of the review starts from here.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

// ---------------------------------------------------------------- JSON

/// A JSON value. Numbers keep their text, so that large integers stay exact.
#[derive(Clone, Debug, PartialEq)]
pub enum J {
    Null,
    Bool(bool),
    Num(String),
    Str(String),
    Arr(Vec<J>),
    Obj(Vec<(String, J)>),
}

impl J {
    pub fn get(&self, name: &str) -> &J {
        match self {
            J::Obj(fields) => {
                fields.iter().find(|(key, _)| key == name).map_or(&J::Null, |(_, value)| value)
            }
            _ => &J::Null,
        }
    }
    pub fn str(&self) -> &str {
        match self {
            J::Str(text) => text,
            _ => "",
        }
    }
    pub fn u64(&self) -> Option<u64> {
        match self {
            J::Num(text) => {
                text.parse().ok().or_else(|| text.parse::<f64>().ok().map(|number| number as u64))
            }
            _ => None,
        }
    }
    pub fn f64(&self) -> f64 {
        match self {
            J::Num(text) => text.parse().unwrap_or(0.0),
            _ => 0.0,
        }
    }
    pub fn arr(&self) -> &[J] {
        match self {
            J::Arr(items) => items,
            _ => &[],
        }
    }
    pub fn text(&self) -> String {
        match self {
            J::Null => "null".into(),
            J::Bool(value) => value.to_string(),
            J::Num(text) => text.clone(),
            J::Str(text) => quote(text),
            J::Arr(items) => {
                format!("[{}]", items.iter().map(J::text).collect::<Vec<_>>().join(","))
            }
            J::Obj(fields) => {
                let fields: Vec<String> =
                    fields.iter().map(|(key, value)| format!("{}:{}", quote(key), value.text())).collect();
                format!("{{{}}}", fields.join(","))
            }
        }
    }
}

pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

pub fn parse(text: &str) -> J {
    Parser { bytes: text.as_bytes(), at: 0 }.value().unwrap_or(J::Null)
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip(&mut self) {
        while self.at < self.bytes.len() && self.bytes[self.at].is_ascii_whitespace() {
            self.at += 1;
        }
    }
    fn peek(&mut self) -> Option<u8> {
        self.skip();
        self.bytes.get(self.at).copied()
    }
    fn value(&mut self) -> Option<J> {
        match self.peek()? {
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                loop {
                    match self.peek()? {
                        b'}' => {
                            self.at += 1;
                            return Some(J::Obj(fields));
                        }
                        b',' => self.at += 1,
                        _ => {
                            let key = self.string()?;
                            if self.peek()? != b':' {
                                return None;
                            }
                            self.at += 1;
                            fields.push((key, self.value()?));
                        }
                    }
                }
            }
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                loop {
                    match self.peek()? {
                        b']' => {
                            self.at += 1;
                            return Some(J::Arr(items));
                        }
                        b',' => self.at += 1,
                        _ => items.push(self.value()?),
                    }
                }
            }
            b'"' => Some(J::Str(self.string()?)),
            b't' => self.word("true", J::Bool(true)),
            b'f' => self.word("false", J::Bool(false)),
            b'n' => self.word("null", J::Null),
            _ => {
                let start = self.at;
                while self.at < self.bytes.len()
                    && matches!(self.bytes[self.at], b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E')
                {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                (!text.is_empty()).then(|| J::Num(text.into()))
            }
        }
    }
    fn word(&mut self, word: &str, value: J) -> Option<J> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }
    fn string(&mut self) -> Option<String> {
        if self.peek()? != b'"' {
            return None;
        }
        self.at += 1;
        let mut out = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'u' => {
                            let digits = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            self.at += 4;
                            let mut buffer = [0; 4];
                            let c = char::from_u32(code).unwrap_or('?');
                            out.extend_from_slice(c.encode_utf8(&mut buffer).as_bytes());
                        }
                        other => out.push(other),
                    }
                }
                other => out.push(other),
            }
        }
    }
}

// ---------------------------------------------------------------- HTTP

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub body: J,
    pub body_bytes: usize,
}

/// Reads one message: first line and body. None if the connection ends before.
fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<(String, Vec<u8>, bool)> {
    let mut chunk = [0; 16384];
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).to_string();
            let mut lines = head.split("\r\n");
            let first = lines.next().unwrap_or("").to_string();
            let (mut length, mut close) = (0, false);
            for line in lines {
                let (name, value) = line.split_once(':').unwrap_or((line, ""));
                if name.eq_ignore_ascii_case("content-length") {
                    length = value.trim().parse().unwrap_or(0);
                }
                if name.eq_ignore_ascii_case("connection") {
                    close = value.trim().eq_ignore_ascii_case("close");
                }
            }
            if buffer.len() >= end + 4 + length {
                let body = buffer[end + 4..end + 4 + length].to_vec();
                buffer.drain(..end + 4 + length);
                return Some((first, body, close));
            }
        }
        match stream.read(&mut chunk) {
            Ok(count) if count > 0 => buffer.extend_from_slice(&chunk[..count]),
            _ => return None,
        }
    }
}

/// A link from one controller to one service. While it is held, requests and answers wait and are delivered in
/// order afterwards.
#[derive(Default)]
pub struct Link {
    pub held: AtomicBool,
    pub refused: AtomicBool,
}

impl Link {
    fn wait(&self) {
        while self.held.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(2));
        }
    }
}

pub type Handler = Arc<dyn Fn(&Request) -> (u16, String) + Send + Sync>;

pub fn serve(listener: TcpListener, link: Arc<Link>, handler: Handler) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (link, handler) = (link.clone(), handler.clone());
            thread::spawn(move || {
                let mut stream = stream;
                let _ = stream.set_nodelay(true);
                let mut buffer = Vec::new();
                while let Some((first, body, close)) = read_message(&mut stream, &mut buffer) {
                    link.wait();
                    let mut parts = first.split(' ');
                    let method = parts.next().unwrap_or("").to_string();
                    let target = parts.next().unwrap_or("").to_string();
                    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
                    let query = query
                        .split('&')
                        .filter_map(|pair| pair.split_once('='))
                        .map(|(key, value)| (key.to_string(), value.to_string()))
                        .collect();
                    let request = Request {
                        method,
                        path: path.to_string(),
                        query,
                        body: parse(&String::from_utf8_lossy(&body)),
                        body_bytes: body.len(),
                    };
                    let (status, answer) = handler(&request);
                    link.wait();
                    let out = format!(
                        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{answer}",
                        answer.len()
                    );
                    if stream.write_all(out.as_bytes()).is_err() || close {
                        return;
                    }
                }
            });
        }
    });
}

/// Sends a request on a new connection; none without a response in time.
pub fn send(address: &str, method: &str, path: &str, body: &str, timeout: Duration) -> Option<(u16, J)> {
    send_on(&mut None, address, method, path, body, timeout)
}

/// Sends a request on an open connection, or on a new one that stays open if it is answered in time.
pub fn send_on(
    kept: &mut Option<TcpStream>,
    address: &str,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, J)> {
    let end = Instant::now() + timeout;
    let mut stream = match kept.take() {
        Some(stream) => stream,
        None => TcpStream::connect_timeout(&address.parse().ok()?, timeout).ok()?,
    };
    let _ = stream.set_nodelay(true);
    let out = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(out.as_bytes()).ok()?;
    let left = end.checked_duration_since(Instant::now())?;
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1)))).ok()?;
    let mut buffer = Vec::new();
    let (first, body, close) = read_message(&mut stream, &mut buffer)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    if !close {
        *kept = Some(stream);
    }
    Some((status, parse(&String::from_utf8_lossy(&body))))
}

pub fn free_listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

pub fn address_of(listener: &TcpListener) -> String {
    listener.local_addr().expect("bound").to_string()
}

/// Addresses below the range of outgoing connections, free at the moment.
pub fn free_addresses(count: usize) -> Vec<String> {
    let mut port = 10_000 + (std::process::id() * 37 % 20_000) as u16;
    let mut found = Vec::new();
    while found.len() < count {
        port = if port >= 31_000 { 10_000 } else { port + 1 };
        let address = format!("127.0.0.1:{port}");
        if TcpListener::bind(&address).is_ok() {
            found.push(address);
        }
    }
    found
}

// ---------------------------------------------------------------- Record

/// Writes record.txt: what was sent, answered and run, with seconds since the start.
pub struct Record {
    start: Instant,
    file: Mutex<std::fs::File>,
}

impl Record {
    pub fn new(path: &str) -> Arc<Record> {
        let file = Mutex::new(std::fs::File::create(path).expect("record.txt can be written"));
        Arc::new(Record { start: Instant::now(), file })
    }
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {text}", self.now());
    }
}

// ---------------------------------------------------------------- State service

struct Key {
    value: String,
    stamp: u64,
    lease: Option<u64>,
}

struct Store {
    keys: BTreeMap<String, Key>,
    revision: u64,
    /// Revision, key, and value if it was written.
    changes: Vec<(u64, String, Option<String>)>,
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

pub struct StateLimits {
    pub value_bytes: usize,
    pub txn_ops: usize,
}

pub struct StateService {
    store: Mutex<Store>,
    changed: Condvar,
    record: Arc<Record>,
    pub limits: Mutex<StateLimits>,
    /// Whether the service is down for all: 503, and open watches wait.
    pub down: AtomicBool,
    pub latency_ms: AtomicU64,
}

impl StateService {
    pub fn new(record: Arc<Record>, limits: StateLimits) -> Arc<StateService> {
        let store = Store {
            keys: BTreeMap::new(),
            revision: 0,
            changes: Vec::new(),
            leases: HashMap::new(),
            next_lease: 0,
        };
        let service = Arc::new(StateService {
            store: Mutex::new(store),
            changed: Condvar::new(),
            record,
            limits: Mutex::new(limits),
            down: AtomicBool::new(false),
            latency_ms: AtomicU64::new(4),
        });
        let expiring = service.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(20));
            expiring.expire();
        });
        service
    }

    fn expire(&self) {
        let mut store = self.store.lock().unwrap();
        let now = Instant::now();
        if self.down.load(Ordering::SeqCst) {
            // After an outage, every lease has its full time again.
            store.leases.values_mut().for_each(|(life, ends)| *ends = now + *life);
            return;
        }
        let ended: Vec<u64> =
            store.leases.iter().filter(|(_, (_, ends))| *ends < now).map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(&mut store, id, "expired");
        }
    }

    fn end_lease(&self, store: &mut Store, id: u64, why: &str) {
        store.leases.remove(&id);
        let keys: Vec<String> = store
            .keys
            .iter()
            .filter(|(_, key)| key.lease == Some(id))
            .map(|(name, _)| name.clone())
            .collect();
        self.record.line(&format!("state: lease {id} {why}, removes {keys:?}"));
        for key in keys {
            store.revision += 1;
            let revision = store.revision;
            store.keys.remove(&key);
            store.changes.push((revision, key, None));
        }
        self.changed.notify_all();
    }

    /// Loses all data, as GROWTH.md names it.
    pub fn wipe(&self) {
        self.record.line("state: all data is lost");
        let mut store = self.store.lock().unwrap();
        store.keys.clear();
        store.changes.clear();
        store.leases.clear();
        store.revision = 0;
        self.changed.notify_all();
    }

    /// The value of a key, as JSON.
    pub fn value(&self, key: &str) -> J {
        self.store.lock().unwrap().keys.get(key).map_or(J::Null, |key| parse(&key.value))
    }

    /// Serves one controller, whose name is used in the record.
    pub fn serve_controller(self: &Arc<Self>, name: String, link: Arc<Link>) -> String {
        let listener = free_listener();
        let address = address_of(&listener);
        let (service, for_handler) = (self.clone(), link.clone());
        let handler: Handler = Arc::new(move |request| service.handle(&name, request, &for_handler));
        serve(listener, link, handler);
        address
    }

    fn handle(&self, who: &str, request: &Request, link: &Link) -> (u16, String) {
        let unavailable =
            || self.down.load(Ordering::SeqCst) || link.refused.load(Ordering::SeqCst);
        if unavailable() {
            return (503, "{\"error\":\"unavailable\"}".into());
        }
        thread::sleep(Duration::from_millis(self.latency_ms.load(Ordering::SeqCst)));
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/commit") => self.commit(who, request),
            ("GET", "/changes") => self.watch(request, &unavailable),
            ("GET", "/store") => self.list(request),
            ("POST", "/holds") => {
                let life = Duration::from_millis(request.body.get("life_ms").u64().unwrap_or(1000));
                let mut store = self.store.lock().unwrap();
                store.next_lease += 1;
                let id = store.next_lease;
                store.leases.insert(id, (life, Instant::now() + life));
                self.record.line(&format!("state: {who} gets lease {id} of {life:?}"));
                (200, format!("{{\"tenancy\":{id}}}"))
            }
            (method, path) if path.starts_with("/holds/") => {
                let id = path[7..].trim_end_matches("/renew").parse().unwrap_or(0);
                let mut store = self.store.lock().unwrap();
                if !store.leases.contains_key(&id) {
                    return (404, "{}".into());
                }
                if method == "DELETE" {
                    self.end_lease(&mut store, id, "deleted");
                } else if let Some((life, ends)) = store.leases.get_mut(&id) {
                    *ends = Instant::now() + *life;
                }
                (200, format!("{{\"tenancy\":{id}}}"))
            }
            ("GET", path) if path.starts_with("/store/") => {
                let store = self.store.lock().unwrap();
                match store.keys.get(&path[7..]) {
                    Some(key) => (
                        200,
                        format!(
                            "{{\"key\":{},\"data\":{},\"stamp\":{}}}",
                            quote(&path[7..]),
                            key.value,
                            key.stamp
                        ),
                    ),
                    None => (404, format!("{{\"ledger_rev\":{}}}", store.revision)),
                }
            }
            _ => (400, "{}".into()),
        }
    }

    fn commit(&self, who: &str, request: &Request) -> (u16, String) {
        let writes = request.body.get("writes").arr();
        let conditions = request.body.get("if").arr();
        let limits = self.limits.lock().unwrap();
        let too_large = |write: &J| write.get("data").text().len() > limits.value_bytes;
        if writes.len() > limits.txn_ops
            || conditions.len() > limits.txn_ops * 4
            || request.body_bytes > 64 * 1024
            || writes.iter().any(too_large)
        {
            self.record.line(&format!("state: {who} transaction too large"));
            return (400, "{\"error\":\"too large\"}".into());
        }
        let mut store = self.store.lock().unwrap();
        for write in writes {
            if let Some(lease) = write.get("tenancy").u64() {
                if !store.leases.contains_key(&lease) {
                    return (400, "{\"error\":\"no such lease\"}".into());
                }
            }
        }
        let failed: Vec<String> = conditions
            .iter()
            .filter(|condition| {
                let stamp = store.keys.get(condition.get("key").str()).map_or(0, |key| key.stamp);
                condition.get("stamp").u64() != Some(stamp)
            })
            .map(|condition| quote(condition.get("key").str()))
            .collect();
        let names: Vec<&str> = writes
            .iter()
            .map(|write| match write.get("write") {
                J::Str(key) => key.as_str(),
                _ => write.get("remove").str(),
            })
            .collect();
        if !failed.is_empty() {
            self.record.line(&format!("state: {who} writes {names:?}: refused, {failed:?} differ"));
            let body = format!("{{\"failed\":[{}],\"ledger_rev\":{}}}", failed.join(","), store.revision);
            return (409, body);
        }
        store.revision += 1;
        let revision = store.revision;
        for write in writes {
            match write.get("write") {
                J::Str(key) => {
                    let value = write.get("data").text();
                    let lease = write.get("tenancy").u64();
                    store.changes.push((revision, key.clone(), Some(value.clone())));
                    store.keys.insert(key.clone(), Key { value, stamp: revision, lease });
                }
                _ => {
                    let key = write.get("remove").str().to_string();
                    if store.keys.remove(&key).is_some() {
                        store.changes.push((revision, key, None));
                    }
                }
            }
        }
        self.record.line(&format!("state: {who} writes {names:?} at {revision}"));
        self.changed.notify_all();
        (200, format!("{{\"ledger_rev\":{revision}}}"))
    }

    fn list(&self, request: &Request) -> (u16, String) {
        let empty = String::new();
        let prefix = request.query.get("prefix").unwrap_or(&empty);
        let since = request.query.get("since");
        let limit = request.query.get("limit").and_then(|l| l.parse().ok()).unwrap_or(1000).min(1000);
        let store = self.store.lock().unwrap();
        let mut found = store
            .keys
            .iter()
            .filter(|(name, _)| name.starts_with(prefix) && since.is_none_or(|since| *name > since));
        let items: Vec<String> = found
            .by_ref()
            .take(limit)
            .map(|(name, key)| {
                format!("{{\"key\":{},\"data\":{},\"stamp\":{}}}", quote(name), key.value, key.stamp)
            })
            .collect();
        let more = found.next().is_some();
        (200, format!("{{\"items\":[{}],\"has_next\":{more},\"ledger_rev\":{}}}", items.join(","), store.revision))
    }

    fn watch(&self, request: &Request, unavailable: &dyn Fn() -> bool) -> (u16, String) {
        let number = |name: &str| request.query.get(name).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
        let empty = String::new();
        let prefix = request.query.get("prefix").unwrap_or(&empty);
        let since = number("since");
        let end = Instant::now() + Duration::from_millis(number("block_ms"));
        let mut store = self.store.lock().unwrap();
        loop {
            let first = store.changes.partition_point(|(revision, _, _)| *revision <= since);
            if store.changes.len() - first > 10_000 {
                return (410, "{}".into());
            }
            let events: Vec<String> = store.changes[first..]
                .iter()
                .filter(|(_, key, _)| key.starts_with(prefix.as_str()))
                .map(|(revision, key, value)| match value {
                    Some(value) => {
                        format!("{{\"write\":{},\"data\":{value},\"stamp\":{revision}}}", quote(key))
                    }
                    None => format!("{{\"remove\":{},\"stamp\":{revision}}}", quote(key)),
                })
                .collect();
            // During an outage, open watches stay open.
            let is_done = !events.is_empty() || Instant::now() >= end;
            if is_done && !unavailable() {
                let body = format!("{{\"ledger_rev\":{},\"events\":[{}]}}", store.revision, events.join(","));
                return (200, body);
            }
            store = self.changed.wait_timeout(store, Duration::from_millis(10)).unwrap().0;
        }
    }
}

// ---------------------------------------------------------------- Cloud and workers

#[derive(Clone)]
pub struct MachineType {
    pub name: &'static str,
    pub cores: f64,
    pub gpus: f64,
    pub ram_gb: f64,
    pub ready_s: f64,
    pub zones: Vec<&'static str>,
    pub price: f64,
    pub low_price: f64,
    pub pull_gb_per_s: f64,
}

#[derive(Clone)]
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub spot: bool,
    pub rented_at: f64,
    pub up_at: f64,
    pub gone_at: Option<f64>,
}

/// One stay of an attempt on a machine, in seconds of the record's clock.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub attempt: u64,
    pub machine: String,
    /// When the report was sent whose answer brought the start command, and when that was executed.
    pub reported_at: f64,
    pub commanded_at: f64,
    /// When it had its image.
    pub started_at: Option<f64>,
    pub ended_at: Option<f64>,
    pub cause: String,
    /// The token of the answer with the start command.
    pub token: u64,
}

pub struct WorkerSettings {
    pub report_s: f64,
    pub lease_s: f64,
}

pub struct Platform {
    pub record: Arc<Record>,
    pub kind: MachineType,
    pub list_lag_s: f64,
    /// Most machines that the cloud has.
    pub capacity: AtomicU64,
    pub worker: WorkerSettings,
    pub machines: Mutex<Vec<Machine>>,
    hires: Mutex<HashMap<String, Vec<String>>>,
    /// Where the controllers listen, by label.
    pub controllers: Mutex<Vec<(String, String)>>,
    /// Job descriptions that users have uploaded.
    pub jobs: Mutex<HashMap<String, J>>,
    pub run_s: Mutex<HashMap<String, f64>>,
    pub runs: Mutex<Vec<Run>>,
    /// Deletions: time, caller, machine.
    pub deletions: Mutex<Vec<(f64, String, String)>>,
    pub stopped: AtomicBool,
    seed: AtomicU64,
    /// Machines whose reports reach nobody.
    pub cut: Mutex<Vec<String>>,
    /// Machines that fail every task that they start.
    pub sick: Mutex<Vec<String>>,
    /// Gangs by job and attempt.
    gangs: Mutex<HashMap<(String, u64), Gang>>,
}

/// An attempt of a gang: its tasks that have their image, since when it runs, and since when a task is gone.
#[derive(Default)]
struct Gang {
    ready: Vec<String>,
    runs_since: Option<f64>,
    gone_at: Option<f64>,
}

impl Platform {
    pub fn new(record: Arc<Record>, kind: MachineType, list_lag_s: f64, worker: WorkerSettings) -> Arc<Platform> {
        Arc::new(Platform {
            record,
            kind,
            list_lag_s,
            capacity: AtomicU64::new(32),
            worker,
            machines: Mutex::new(Vec::new()),
            hires: Mutex::new(HashMap::new()),
            controllers: Mutex::new(Vec::new()),
            jobs: Mutex::new(HashMap::new()),
            run_s: Mutex::new(HashMap::new()),
            runs: Mutex::new(Vec::new()),
            deletions: Mutex::new(Vec::new()),
            stopped: AtomicBool::new(false),
            seed: AtomicU64::new(std::process::id() as u64 | 1),
            cut: Mutex::new(Vec::new()),
            sick: Mutex::default(),
            gangs: Mutex::default(),
        })
    }

    pub fn random(&self) -> f64 {
        let mut x = self.seed.load(Ordering::SeqCst).wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        self.seed.store(x, Ordering::SeqCst);
        x ^= x >> 33;
        x = x.wrapping_mul(0xff51afd7ed558ccd);
        (x >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Adds a machine that is up `boot_s` seconds from now and was rented `age_s` seconds ago.
    pub fn add_machine(self: &Arc<Self>, zone: &str, spot: bool, age_s: f64, boot_s: f64) -> String {
        let mut machines = self.machines.lock().unwrap();
        let name = format!("n-{:06}", machines.len() + 1);
        let now = self.record.now();
        let machine = Machine {
            name: name.clone(),
            zone: zone.into(),
            spot,
            rented_at: now - age_s,
            up_at: now + boot_s,
            gone_at: None,
        };
        machines.push(machine.clone());
        let platform = self.clone();
        thread::spawn(move || Worker::new(platform, machine).run());
        name
    }

    pub fn is_gone(&self, name: &str) -> bool {
        let machines = self.machines.lock().unwrap();
        machines.iter().any(|machine| machine.name == name && machine.gone_at.is_some())
    }

    pub fn serve_controller(self: &Arc<Self>, name: String, link: Arc<Link>) -> String {
        let listener = free_listener();
        let address = address_of(&listener);
        let platform = self.clone();
        serve(listener, link, Arc::new(move |request| platform.handle(&name, request)));
        address
    }

    fn handle(self: &Arc<Self>, who: &str, request: &Request) -> (u16, String) {
        thread::sleep(Duration::from_millis(30));
        let now = self.record.now();
        let kind = &self.kind;
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/catalog") => {
                let zones: Vec<String> = kind.zones.iter().map(|zone| quote(zone)).collect();
                (200, format!("{{\"builds\":[{{\"sku\":{},\"cores\":{:?},\"gpus\":{:?},\"ram_gb\":{:?},\"local_gb\":200.0,\
                    \"pull_gb_per_s\":{:?},\"rate\":{:?},\"low_price\":{:?},\"ready_s\":{:?},\"yards\":[{}]}}]}}",
                    quote(kind.name), kind.cores, kind.gpus, kind.ram_gb, kind.pull_gb_per_s, kind.price,
                    kind.low_price, kind.ready_s, zones.join(",")))
            }
            ("GET", "/hosts") => {
                let since = request.query.get("since").cloned().unwrap_or_default();
                let shown_at = now - self.list_lag_s;
                let machines = self.machines.lock().unwrap();
                let items: Vec<String> = machines
                    .iter()
                    .filter(|m| m.name > since && m.rented_at <= shown_at && m.gone_at.is_none_or(|at| at > shown_at))
                    .map(|m| {
                        let status = if m.up_at <= shown_at { "running" } else { "starting" };
                        format!("{{\"uid\":{},\"address\":\"127.0.0.1:9\",\"build\":{},\"yard\":{},\"lendables\":{},\
                            \"status\":\"{status}\",\"age_s\":{:.3}}}", quote(&m.name), quote(kind.name),
                            quote(&m.zone), m.spot, shown_at - m.rented_at)
                    })
                    .collect();
                (200, format!("{{\"steads\":[{}],\"has_next\":false}}", items.join(",")))
            }
            ("POST", "/hosts") => {
                let hire = request.body.get("hire").str().to_string();
                let mut hires = self.hires.lock().unwrap();
                if let Some(names) = hires.get(&hire) {
                    return (200, names_json(names));
                }
                let up = self.machines.lock().unwrap().iter().filter(|m| m.gone_at.is_none()).count();
                let wanted = request.body.get("number").u64().unwrap_or(0) as usize;
                let capacity = self.capacity.load(Ordering::SeqCst) as usize;
                let count = wanted.min(capacity.saturating_sub(up));
                if count == 0 {
                    self.record.line(&format!("cloud: {who} wants {wanted} machines by {hire}: no capacity"));
                    return (503, "{\"error\":\"no capacity\"}".into());
                }
                let spot = request.body.get("lendables") == &J::Bool(true);
                let zone = request.body.get("yard").str().to_string();
                let names: Vec<String> =
                    (0..count).map(|_| self.add_machine(&zone, spot, 0.0, kind.ready_s)).collect();
                self.record.line(&format!("cloud: {who} rents {names:?} by {hire}"));
                hires.insert(hire, names.clone());
                (200, names_json(&names))
            }
            ("POST", "/hosts/delete") => {
                let mut machines = self.machines.lock().unwrap();
                for name in request.body.get("steads").arr() {
                    self.record.line(&format!("cloud: {who} deletes {}", name.str()));
                    self.deletions.lock().unwrap().push((now, who.into(), name.str().into()));
                    if let Some(m) = machines.iter_mut().find(|m| m.name == name.str()) {
                        m.gone_at.get_or_insert(now);
                    }
                }
                drop(machines);
                // By the time of the answer, the machines are gone with everything on them.
                thread::sleep(Duration::from_millis(60));
                (200, "{}".into())
            }
            _ => (404, "{}".into()),
        }
    }
}

fn names_json(names: &[String]) -> String {
    let names: Vec<String> = names.iter().map(|name| quote(name)).collect();
    format!("{{\"steads\":[{}]}}", names.join(","))
}

struct Task {
    attempt: u64,
    /// Index of its run.
    run: usize,
    image_at: f64,
    /// How long it runs; none for a service.
    run_s: Option<f64>,
    ended: Option<String>,
    /// Number of tasks of its gang; 0 for other jobs.
    gang: usize,
    gang_runs: bool,
    /// Whether it was started on a machine that fails every task that it starts.
    fails: bool,
}

/// The worker of one machine.
struct Worker {
    platform: Arc<Platform>,
    machine: Machine,
    tenure: u64,
    tally: u64,
    token: u64,
    tasks: BTreeMap<(String, u64), Task>,
    lease_from: f64,
    node: usize,
    images: HashMap<String, f64>,
}

impl Worker {
    fn new(platform: Arc<Platform>, machine: Machine) -> Worker {
        Worker { platform, machine, tenure: 1, tally: 0, token: 0, tasks: BTreeMap::new(), lease_from: 0.0, node: 0, images: HashMap::new() }
    }

    fn run(mut self) {
        let record = self.platform.record.clone();
        while record.now() < self.machine.up_at {
            thread::sleep(Duration::from_millis(10));
        }
        self.lease_from = record.now();
        self.node = (self.platform.random() * 100.0) as usize;
        let mut next_report = record.now();
        let mut last_report = -1.0;
        let mut changed = false;
        // The answer to the report in flight: when it was sent, its tenure, and the response.
        let mut in_flight: Option<std::sync::mpsc::Receiver<Option<(u16, J)>>> = None;
        // The open connection and its controller; it stays open while the worker stays with that one.
        let connection: Arc<Mutex<(String, Option<TcpStream>)>> = Arc::default();
        let (mut sent_at, mut sent_tenure) = (0.0, 0);
        let mut last_token_change = -1e9;
        loop {
            thread::sleep(Duration::from_millis(5));
            let now = record.now();
            if self.platform.stopped.load(Ordering::SeqCst) {
                return;
            }
            if self.platform.is_gone(&self.machine.name) {
                self.end_all("machine gone", now);
                return;
            }
            if now > self.lease_from + self.platform.worker.lease_s {
                record.line(&format!("{}: lease ends", self.machine.name));
                self.end_all("lease ended", self.lease_from + self.platform.worker.lease_s);
                self.tasks.clear();
                self.tenure += 1;
                self.tally = 0;
                self.lease_from = now;
                changed = true;
            }
            changed |= self.advance(now);
            let answer = in_flight.as_ref().and_then(|receiver| receiver.try_recv().ok());
            if let Some(answer) = answer {
                in_flight = None;
                let period = self.platform.worker.report_s * (0.75 + 0.5 * self.platform.random());
                next_report = sent_at + period;
                let nodes = self.platform.controllers.lock().unwrap().clone();
                match answer {
                    Some((200, body)) => {
                        let token = body.get("baton").u64();
                        if sent_tenure == self.tenure && token.is_some_and(|token| token >= self.token) {
                            let token = token.unwrap_or(0);
                            if token > self.token && now > last_token_change + self.platform.worker.lease_s / 2.0 {
                                changed = true;
                                last_token_change = now;
                            }
                            self.token = token;
                            self.lease_from = self.lease_from.max(sent_at);
                            for order in body.get("orders").arr() {
                                changed |= self.execute(order, sent_at, now);
                            }
                        }
                    }
                    Some((421, body)) => {
                        let named = nodes.iter().position(|(label, _)| label == body.get("steward").str());
                        match named {
                            Some(node) if node != self.node % nodes.len() => {
                                self.node = node;
                                next_report = now + 0.5 * self.platform.random();
                                changed = false;
                            }
                            _ => {
                                self.node += 1;
                                next_report = now + 1.0;
                            }
                        }
                    }
                    _ => {
                        self.node += 1;
                        next_report = now + 1.0;
                    }
                }
            }
            let due = now >= next_report || (changed && now >= last_report + 0.5);
            if in_flight.is_none() && due {
                changed = false;
                self.tally += 1;
                let nodes = self.platform.controllers.lock().unwrap().clone();
                let (label, address) = nodes[self.node % nodes.len()].clone();
                let body = self.report();
                let is_cut = self.platform.cut.lock().unwrap().contains(&self.machine.name);
                sent_at = now;
                last_report = now;
                sent_tenure = self.tenure;
                let (sender, receiver) = std::sync::mpsc::channel();
                let (record, name, tally, tenure) = (record.clone(), self.machine.name.clone(), self.tally, self.tenure);
                in_flight = Some(receiver);
                let connection = connection.clone();
                thread::spawn(move || {
                    let mut connection = connection.lock().unwrap();
                    if connection.0 != address {
                        *connection = (address.clone(), None);
                    }
                    let timeout = Duration::from_secs(4);
                    let answer = if is_cut {
                        thread::sleep(timeout);
                        None
                    } else {
                        send_on(&mut connection.1, &address, "POST", "/checkin", &body, timeout)
                    };
                    let shown = answer.as_ref().map(|(status, body)| format!("{status} {}", body.text()));
                    record.line(&format!("{name}: report {tenure}.{tally} to {label}: {body} -> {shown:?}"));
                    if !matches!(answer, Some((200, _))) {
                        connection.1 = None;
                    }
                    drop(connection);
                    let _ = sender.send(answer);
                });
            }
        }
    }

    fn report(&self) -> String {
        let now = self.platform.record.now();
        let loads: Vec<String> = self
            .tasks
            .iter()
            .map(|((name, attempt), task)| {
                let status = match &task.ended {
                    Some(cause) => return format!("{{\"load\":{},\"try\":{attempt},\"status\":\"ended\",\"cause\":\"{cause}\"}}", quote(name)),
                    None if now < task.image_at => "pulling",
                    None if task.gang > 0 && !task.gang_runs => "waiting",
                    None => "running",
                };
                format!("{{\"load\":{},\"try\":{attempt},\"status\":\"{status}\"}}", quote(name))
            })
            .collect();
        format!("{{\"stead\":{},\"address\":\"127.0.0.1:9\",\"build\":{},\"yard\":{},\"lendables\":{},\"tenure\":{},\"tally\":{},\
            \"baton\":{},\"recall_s\":null,\"loads\":[{}]}}", quote(&self.machine.name), quote(self.platform.kind.name),
            quote(&self.machine.zone), self.machine.spot, self.tenure, self.tally, self.token, loads.join(","))
    }

    /// Lets tasks begin and end; returns whether any did.
    fn advance(&mut self, now: f64) -> bool {
        let mut changed = false;
        for ((name, attempt), task) in &mut self.tasks {
            if task.ended.is_some() || now < task.image_at {
                continue;
            }
            if task.gang > 0 {
                changed |= advance_gang(&self.platform, &self.machine.name, name, *attempt, task, now);
                continue;
            }
            let mut runs = self.platform.runs.lock().unwrap();
            let run = &mut runs[task.run];
            if run.started_at.is_none() {
                run.started_at = Some(task.image_at.max(run.commanded_at));
                self.platform.record.line(&format!("{}: {name} runs", self.machine.name));
                changed = true;
            }
            if task.fails && now >= task.image_at + 0.5 {
                task.ended = Some("error".into());
                run.ended_at = Some(now);
                run.cause = "error".into();
                self.platform.record.line(&format!("{}: {name} fails", self.machine.name));
                changed = true;
            } else if task.run_s.is_some_and(|run_s| now >= task.image_at + run_s) {
                task.ended = Some("done".into());
                run.ended_at = Some(now);
                run.cause = "done".into();
                self.platform.record.line(&format!("{}: {name} done", self.machine.name));
                changed = true;
            }
        }
        changed
    }

    /// Whether the machine has what a task takes, besides the tasks that it has; those that fetch their image count.
    fn has_room_for(&self, spec: &J) -> bool {
        let kind = &self.platform.kind;
        let jobs = self.platform.jobs.lock().unwrap();
        let fits = |field: &str, total: f64| {
            let present = self.tasks.iter().filter(|(_, task)| task.ended.is_none());
            let specs = present.filter_map(|((name, _), _)| jobs.get(name.split('/').next().unwrap_or("")));
            let used: f64 = specs.map(|spec| spec.get(field).f64()).sum();
            used + spec.get(field).f64() <= total + 1e-9
        };
        fits("cores", kind.cores) && fits("gpus", kind.gpus) && fits("ram_gb", kind.ram_gb)
    }

    fn execute(&mut self, order: &J, reported_at: f64, now: f64) -> bool {
        let name = order.get("load").str().to_string();
        let attempt = order.get("try").u64().unwrap_or(0);
        let key = (name.clone(), attempt);
        match order.get("verb").str() {
            "start" => {
                if self.tasks.contains_key(&key) {
                    return false;
                }
                let job = name.split('/').next().unwrap_or("").to_string();
                let spec = self.platform.jobs.lock().unwrap().get(&job).cloned();
                let has_room = spec.as_ref().is_none_or(|spec| self.has_room_for(spec));
                let mut runs = self.platform.runs.lock().unwrap();
                let mut run = Run { task: name.clone(), attempt, machine: self.machine.name.clone(), reported_at, commanded_at: now,
                    started_at: None, ended_at: None, cause: String::new(), token: self.token };
                let refused = match &spec {
                    None => Some("no_such"),
                    Some(_) if !has_room => Some("no_room"),
                    Some(_) if self.tasks.iter().any(|((other, _), task)| *other == name && task.ended.is_none()) => Some("busy"),
                    _ => None,
                };
                if let Some(cause) = refused {
                    run.ended_at = Some(now);
                    run.cause = cause.into();
                }
                let spec = spec.unwrap_or(J::Null);
                let image = spec.get("kit").str().to_string();
                let pull_s = spec.get("size_gb").f64() / self.platform.kind.pull_gb_per_s;
                let image_at = *self.images.entry(image).or_insert(now + pull_s);
                let is_service = spec.get("shape").str() == "standing";
                let run_s = self.platform.run_s.lock().unwrap().get(&job).copied();
                let run_s = run_s.unwrap_or(spec.get("run_guess_s").f64());
                self.platform.record.line(&format!("{}: starts {name} try {attempt} token {} {refused:?}", self.machine.name, self.token));
                runs.push(run);
                let task = Task { attempt, run: runs.len() - 1, image_at: image_at.max(now),
                    run_s: (!is_service).then_some(run_s), ended: refused.map(str::to_string),
                    gang: if spec.get("shape").str() == "ensemble" { spec.get("loads").u64().unwrap_or(0) as usize } else { 0 },
                    gang_runs: false, fails: self.platform.sick.lock().unwrap().contains(&self.machine.name) };
                drop(runs);
                self.tasks.insert(key, task);
                true
            }
            "halt" => {
                let Some(task) = self.tasks.get_mut(&key).filter(|task| task.ended.is_none()) else { return false };
                task.ended = Some("halted".into());
                leave_gang(&self.platform, &key.0, key.1, task, now);
                let mut runs = self.platform.runs.lock().unwrap();
                runs[task.run].ended_at = Some(now);
                runs[task.run].cause = "halted".into();
                self.platform.record.line(&format!("{}: halts {name} try {attempt}", self.machine.name));
                true
            }
            _ => {
                if self.tasks.get(&key).is_some_and(|task| task.ended.is_some()) {
                    self.tasks.remove(&key);
                    return true;
                }
                false
            }
        }
    }

    fn end_all(&mut self, why: &str, at: f64) {
        let platform = self.platform.clone();
        for ((name, attempt), task) in &mut self.tasks {
            if task.ended.is_none() {
                leave_gang(&platform, name, *attempt, task, at);
            }
        }
        let mut runs = self.platform.runs.lock().unwrap();
        for ((name, _), task) in &mut self.tasks {
            if task.ended.is_none() {
                task.ended = Some("killed".into());
                runs[task.run].ended_at = Some(at);
                runs[task.run].cause = why.into();
                self.platform.record.line(&format!("{}: {name} killed, {why}", self.machine.name));
            }
        }
    }
}

/// Takes a task that ends early out of its gang.
fn leave_gang(platform: &Platform, name: &str, attempt: u64, task: &Task, now: f64) {
    if task.gang == 0 {
        return;
    }
    let job = name.split('/').next().unwrap_or("").to_string();
    let mut gangs = platform.gangs.lock().unwrap();
    let gang = gangs.entry((job, attempt)).or_default();
    gang.ready.retain(|other| other != name);
    if gang.runs_since.is_some() {
        gang.gone_at.get_or_insert(now);
    }
}

/// Lets a task of a gang wait, run and end; returns whether anything changed.
fn advance_gang(platform: &Platform, machine: &str, name: &str, attempt: u64, task: &mut Task, now: f64) -> bool {
    let job = name.split('/').next().unwrap_or("").to_string();
    let mut gangs = platform.gangs.lock().unwrap();
    let gang = gangs.entry((job, attempt)).or_default();
    let mut runs = platform.runs.lock().unwrap();
    let run = &mut runs[task.run];
    let mut changed = false;
    if run.started_at.is_none() {
        run.started_at = Some(now);
        gang.ready.push(name.into());
        changed = true;
    }
    if gang.runs_since.is_none() && gang.ready.len() >= task.gang {
        gang.runs_since = Some(now);
    }
    let cause = match (gang.runs_since, gang.gone_at) {
        (None, _) => (now > run.started_at.unwrap_or(now) + 35.0).then_some("alone"),
        (Some(_), Some(gone)) => (now > gone + 4.0).then_some("mates_gone"),
        (Some(since), None) => task.run_s.is_some_and(|run_s| now >= since + run_s).then_some("done"),
    };
    if gang.runs_since.is_some() && !task.gang_runs {
        task.gang_runs = true;
        changed = true;
        platform.record.line(&format!("{machine}: {name} runs with its gang"));
    }
    if let Some(cause) = cause {
        task.ended = Some(cause.into());
        run.ended_at = Some(now);
        run.cause = cause.into();
        changed = true;
        if cause == "alone" {
            gang.ready.retain(|other| other != name);
        }
        platform.record.line(&format!("{machine}: {name} ends, {cause}"));
    }
    changed
}

// ---------------------------------------------------------------- Controllers

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    #[cfg(target_os = "linux")]
    fn prctl(option: i32, signal: u64, unused: u64, unused: u64, unused: u64) -> i32;
}

/// Seconds after which a case that has not ended gives up.
const CASE_SECONDS_MAX: u64 = 115;

/// Lets a controller end with the case, however that ends.
#[cfg(target_os = "linux")]
fn end_with_parent(command: &mut Command) {
    use std::os::unix::process::CommandExt;
    const PR_SET_PDEATHSIG: i32 = 1;
    // SAFETY: prctl is a plain system call, which may be made between fork and exec.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
            Ok(())
        });
    }
}

#[cfg(not(target_os = "linux"))]
fn end_with_parent(_: &mut Command) {}

pub const SIGKILL: i32 = 9;
#[cfg(any(target_os = "linux", target_os = "android"))]
pub const SIGSTOP: i32 = 19;
#[cfg(any(target_os = "linux", target_os = "android"))]
pub const SIGCONT: i32 = 18;
#[cfg(not(any(target_os = "linux", target_os = "android")))]
pub const SIGSTOP: i32 = 17;
#[cfg(not(any(target_os = "linux", target_os = "android")))]
pub const SIGCONT: i32 = 19;

pub struct Node {
    pub label: String,
    pub zone: String,
    pub listen: String,
    pub peer: String,
    pub state: String,
    pub cloud: String,
    pub state_link: Arc<Link>,
    pub cloud_link: Arc<Link>,
    child: Option<Child>,
}

/// The controllers of a deployment, which end when this is dropped.
pub struct Deployment {
    pub nodes: Vec<Node>,
    pub platform: Arc<Platform>,
    pub state: Arc<StateService>,
    pub record: Arc<Record>,
    directory: std::path::PathBuf,
    run: Vec<String>,
    /// `params` of the settings, as JSON text.
    pub params: String,
}

impl Deployment {
    /// Gives all controllers a file with operators' settings.
    pub fn operator(&mut self, text: &str) {
        let file = self.directory.join("operator.textproto");
        std::fs::write(&file, text).expect("written");
        let at = self.run.len() - 1;
        self.run.insert(at, file.display().to_string());
        self.run.insert(at, "--operator".into());
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for index in 0..self.nodes.len() {
            self.kill(index);
        }
    }
}

impl Deployment {
    /// Prepares the controllers; `zones` has the zone of each.
    pub fn new(state: Arc<StateService>, platform: Arc<Platform>, zones: &[&str], params: &str) -> Deployment {
        let record = platform.record.clone();
        let addresses = free_addresses(zones.len() * 2);
        let mut nodes = Vec::new();
        for (index, zone) in zones.iter().enumerate() {
            let label = format!("stead-{index}");
            let (state_link, cloud_link) = (Arc::new(Link::default()), Arc::new(Link::default()));
            nodes.push(Node {
                state: state.serve_controller(label.clone(), state_link.clone()),
                cloud: platform.serve_controller(label.clone(), cloud_link.clone()),
                label,
                zone: zone.to_string(),
                listen: addresses[index].clone(),
                peer: addresses[zones.len() + index].clone(),
                state_link,
                cloud_link,
                child: None,
            });
        }
        *platform.controllers.lock().unwrap() =
            nodes.iter().map(|node| (node.label.clone(), node.listen.clone())).collect();
        let directory = std::env::temp_dir().join(format!("mountgap-review-{}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("a temporary folder");
        let deploy = std::fs::read_to_string("deploy/service.toml").expect("the deploy file");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")).expect("a run command");
        let run = run.trim_end_matches('"').split(' ').map(str::to_string).collect();
        Deployment { nodes, platform, state, record, directory, run, params: params.into() }
    }

    pub fn start(&mut self, index: usize) {
        let node = &self.nodes[index];
        let peers: Vec<String> = self
            .nodes
            .iter()
            .filter(|other| other.label != node.label)
            .map(|other| format!("{{\"label\":\"{}\",\"zone\":\"{}\",\"address\":\"{}\"}}", other.label, other.zone, other.peer))
            .collect();
        let settings = format!("{{\"label\":\"{}\",\"zone\":\"{}\",\"listen\":\"{}\",\"peer_bind\":\"{}\",\"peers\":[{}],\
            \"services\":{{\"cloud\":\"{}\",\"state\":\"{}\"}},\"params\":{}}}",
            node.label, node.zone, node.listen, node.peer, peers.join(","), node.cloud, node.state, self.params);
        let file = self.directory.join(format!("{}.json", node.label));
        std::fs::write(&file, settings).expect("written");
        let log = std::fs::OpenOptions::new().create(true).append(true)
            .open(self.directory.join(format!("{}.log", node.label))).expect("a log");
        let mut command = Command::new(&self.run[0]);
        end_with_parent(&mut command);
        let child = command
            .args(&self.run[1..])
            .arg(&file)
            .env("LOG_LEVEL", std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".into()))
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| {
                eprintln!("can't start {:?}: {error}", self.run);
                std::process::exit(2)
            });
        self.record.line(&format!("{} starts as process {}", node.label, child.id()));
        self.nodes[index].child = Some(child);
    }

    pub fn signal(&self, index: usize, signal: i32) {
        if let Some(child) = &self.nodes[index].child {
            let name = match signal { SIGSTOP => "stopped", SIGCONT => "continued", _ => "killed" };
            self.record.line(&format!("{} is {name}", self.nodes[index].label));
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    pub fn kill(&mut self, index: usize) {
        self.signal(index, SIGKILL);
        if let Some(mut child) = self.nodes[index].child.take() {
            let _ = child.wait();
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self, index: usize) -> bool {
        self.nodes[index].child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// A user's request to one controller, recorded.
    pub fn user(&self, index: usize, method: &str, path: &str, body: &str, timeout_s: f64) -> Option<(u16, J)> {
        let node = &self.nodes[index];
        let answer = send(&node.listen, method, path, body, Duration::from_secs_f64(timeout_s));
        let shown = answer.as_ref().map(|(status, body)| format!("{status} {}", body.text()));
        self.record.line(&format!("user: {method} {path} {body} to {}: {shown:?}", node.label));
        answer
    }

    /// Submits a job at the given controllers in turn until it is accepted; users upload the description first.
    pub fn submit(&self, nodes: &[usize], spec: &str, wait_s: f64) -> bool {
        let job = parse(spec);
        self.platform.jobs.lock().unwrap().insert(job.get("uid").str().into(), job);
        let end = Instant::now() + Duration::from_secs_f64(wait_s);
        for turn in 0.. {
            let answer = self.user(nodes[turn % nodes.len()], "POST", "/v1/jobs", spec, 5.0);
            if matches!(answer, Some((200 | 201, _))) {
                return true;
            }
            if Instant::now() > end {
                return false;
            }
            thread::sleep(Duration::from_secs(1));
        }
        false
    }

    pub fn status_of(&self, node: usize, job: &str) -> String {
        let answer = self.user(node, "GET", &format!("/v1/jobs/{job}"), "", 2.0);
        match answer {
            Some((200, body)) => body.get("status").str().into(),
            Some((status, _)) => status.to_string(),
            None => "none".into(),
        }
    }

    /// The controller that holds the leader key, if there is one.
    pub fn leader(&self) -> Option<usize> {
        let label = self.state.value("mg/2/leader").get("label").str().to_string();
        self.nodes.iter().position(|node| node.label == label)
    }

    /// Waits until the condition holds; false if it doesn't in time.
    pub fn wait(&self, seconds: f64, mut holds: impl FnMut() -> bool) -> bool {
        let end = Instant::now() + Duration::from_secs_f64(seconds);
        while Instant::now() < end {
            if holds() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Ends all processes, copies the ends of their logs into the record, and exits.
    pub fn finish(mut self, code: i32, verdict: &str) -> ! {
        self.platform.stopped.store(true, Ordering::SeqCst);
        for index in 0..self.nodes.len() {
            self.kill(index);
        }
        for node in &self.nodes {
            let log = std::fs::read_to_string(self.directory.join(format!("{}.log", node.label))).unwrap_or_default();
            for line in log.lines().filter(|line| !line.contains("work counters")) {
                self.record.line(&format!("log of {}: {line}", node.label));
            }
        }
        let _ = std::fs::remove_dir_all(&self.directory);
        self.record.line(&format!("VERDICT {code}: {verdict}"));
        println!("{verdict}");
        std::process::exit(code)
    }
}

/// Whether the disruption is to happen.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A submission; fields that are given replace the usual ones.
pub fn job(uid: &str, fields: &str) -> String {
    let mut usual = vec![
        ("uid", quote(uid)),
        ("duty", "\"load-plans\"".to_string()),
        ("crew", "\"yard-ops\"".to_string()),
        ("shape", "\"batch\"".to_string()),
        ("rank", "\"standard\"".to_string()),
        ("loads", "1".to_string()),
        ("cores", "6.0".to_string()),
        ("gpus", "1.0".to_string()),
        ("ram_gb", "48.0".to_string()),
        ("kit", "\"img-01\"".to_string()),
        ("size_gb", "1.0".to_string()),
        ("builds", "null".to_string()),
        ("yard", "null".to_string()),
        ("together", "false".to_string()),
        ("apart", "false".to_string()),
        ("lendables", "true".to_string()),
        ("run_guess_s", "40.0".to_string()),
        ("mark_every_s", "0.0".to_string()),
        ("mark_cost_s", "0.0".to_string()),
        ("due_s", "null".to_string()),
    ];
    if let J::Obj(given) = parse(&format!("{{{fields}}}")) {
        for (name, value) in &given {
            if let Some(field) = usual.iter_mut().find(|(usual, _)| usual == name) {
                field.1 = value.text();
            }
        }
    }
    let fields: Vec<String> = usual.iter().map(|(name, value)| format!("\"{name}\":{value}")).collect();
    format!("{{{}}}", fields.join(","))
}

/// The deployment of the brief for Tokachi (kit/sites/tokachi-palletnet.toml), with `report_s`, `lease_s` and
/// `cancel_s` as given.
pub fn tokachi_params(report_s: f64, lease_s: f64, cancel_s: f64) -> String {
    format!("{{\"nodes\":3,\"zones\":[\"obihiro-north\"],\"teams\":[\
        {{\"name\":\"dispatch-desk\",\"cpus\":0.0,\"cpus_max\":0.0,\"gpus\":72.0,\"gpus_max\":248.0}},\
        {{\"name\":\"yard-ops\",\"cpus\":0.0,\"cpus_max\":0.0,\"gpus\":144.0,\"gpus_max\":392.0}}],\"objectives\":[],\
        \"workers\":{{\"report_s\":{report_s:?},\"lease_s\":{lease_s:?},\"gang_wait_s\":35.0,\"gang_peer_s\":4.0,\"cancel_s\":{cancel_s:?}}},\
        \"state\":{{\"rps\":200.0,\"write_rps\":25.0,\"value_kb\":8.0,\"txn_ops\":16}},\
        \"cloud\":{{\"rps\":6.0,\"list_lag_s\":5.0}},\
        \"machine_limits\":{{\"core_share\":0.24,\"mem_mb\":104.0,\"sockets\":1800}},\"time_bound_ms\":1000.0}}")
}

pub fn yama_rack() -> MachineType {
    MachineType { name: "yama-rack", cores: 64.0, gpus: 8.0, ram_gb: 512.0, ready_s: 40.0,
        zones: vec!["obihiro-north"], price: 17.49, low_price: 7.8, pull_gb_per_s: 0.5 }
}

pub fn tokachi(report_s: f64, lease_s: f64, cancel_s: f64) -> Deployment {
    let directory = std::env::args().nth(1).expect("the folder of the case");
    let record = Record::new(&format!("{directory}/record.txt"));
    let state = StateService::new(record.clone(), StateLimits { value_bytes: 8192, txn_ops: 16 });
    let worker = WorkerSettings { report_s, lease_s };
    let platform = Platform::new(record, yama_rack(), 5.0, worker);
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(CASE_SECONDS_MAX));
        eprintln!("the case has not ended in time");
        std::process::exit(2)
    });
    Deployment::new(state, platform, &["obihiro-north"; 3], &tokachi_params(report_s, lease_s, cancel_s))
}
