//! A stand-in for the platform, to try mountgap by hand on one machine: a state service, a
//! cloud and workers whose tasks only wait. It keeps the protocol's forms and none of its
//! troubles; nothing of it is meant for real use.
//!
//!     cargo run --release --example platform
//!     target/release/mountgap serve --config examples/node.json
//!
//! Several controllers, labelled `node-0`, `node-1` and so on: give their addresses in that order.
//!
//!     cargo run --release --example platform -- 127.0.0.1:8080 127.0.0.1:8082 127.0.0.1:8084
//!
//! `--state` and `--cloud` name other addresses than those of `examples/node.json`. The state service can lose
//! its data: `POST /control/wipe` empties it, `/control/backup` takes a backup, `/control/restore` goes back to it.

#![allow(
    clippy::unwrap_used,
    reason = "a stand-in for trials: it ends where something is not as expected"
)]
#![allow(clippy::too_many_lines, reason = "one match over all requests of the state service")]
#![allow(unreachable_pub, reason = "tests/loopback.rs includes it as a module")]

use mountgap::storage::records;
use mountgap::transport::http::{self, Request};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const STATE: &str = "127.0.0.1:2379";
const CLOUD: &str = "127.0.0.1:8443";
/// Where workers report unless the command line names other controllers.
const CONTROLLER: &str = "127.0.0.1:8080";
/// Seconds between a worker's reports, and from a rental to the first of them.
const REPORT_S: u64 = 1;
const BOOT_S: u64 = 2;

/// The state service, the cloud and the workers' side of the controllers.
#[derive(Default)]
pub struct World {
    keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    rev: u64,
    log: Vec<(u64, String, Option<Value>)>,
    backup: Backup,
    holds: HashMap<u64, (Duration, Instant)>,
    hires: HashMap<String, Vec<String>>,
    hosts: BTreeMap<String, (String, bool, Instant)>,
    counter: u64,
    /// How often each task was started.
    pub starts: BTreeMap<String, u32>,
    /// Addresses of the controllers.
    controllers: Vec<String>,
    /// Tasks of each gang's attempt that are there, and when the last of them came.
    gangs: HashMap<(String, u64), GangAttempt>,
}

/// What the state service held when a backup was taken.
#[derive(Default, Clone)]
struct Backup {
    keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    rev: u64,
    log: Vec<(u64, String, Option<Value>)>,
}

/// An attempt of a gang.
#[derive(Default, Clone)]
struct GangAttempt {
    tasks: BTreeSet<String>,
    started: Option<Instant>,
}

/// The world, shared by the threads that serve it.
pub type Shared = Arc<Mutex<World>>;

/// A task on a worker.
struct Task {
    /// How long it runs; none: until it is halted.
    run: Option<Duration>,
    /// When it began; none for a task of a gang that waits for the others.
    began: Option<Instant>,
    /// Tasks of its gang; 0 for other jobs.
    gang: usize,
    /// Why it has ended.
    cause: Option<&'static str>,
}

impl Task {
    fn status(&self) -> &'static str {
        match (self.cause, self.began) {
            (Some(_), _) => "ended",
            (None, Some(_)) => "running",
            (None, None) => "waiting",
        }
    }
}

type Handler = fn(&Shared, &Request) -> (u16, Value);

impl World {
    fn next(&mut self) -> u64 {
        self.counter += 1;
        self.counter
    }

    fn end_hold(&mut self, id: u64) {
        self.holds.remove(&id);
        let keys: Vec<String> =
            self.keys.iter().filter(|(_, v)| v.2 == Some(id)).map(|(k, _)| k.clone()).collect();
        for k in keys {
            self.rev += 1;
            self.keys.remove(&k);
            self.log.push((self.rev, k, None));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> =
            self.holds.iter().filter(|(_, h)| h.1 <= now).map(|(id, _)| *id).collect();
        over.into_iter().for_each(|id| self.end_hold(id));
    }

    fn take_backup(&mut self) {
        let lasting = self.keys.iter().filter(|(_, value)| value.2.is_none());
        let keys = lasting.map(|(key, value)| (key.clone(), value.clone())).collect();
        self.backup = Backup { keys, rev: self.rev, log: self.log.clone() };
    }

    fn restore(&mut self, backup: Backup) {
        println!("state service: back from revision {} to {}", self.rev, backup.rev);
        self.keys = backup.keys;
        self.rev = backup.rev;
        self.log = backup.log;
        self.holds.clear();
    }

    fn commit(&mut self, body: &Value) -> (u16, Value) {
        let list = |k: &str| body[k].as_array().cloned().unwrap_or_default();
        let text = |v: &Value| v.as_str().unwrap_or_default().to_string();
        let failed: Vec<String> = list("if")
            .iter()
            .filter(|i| {
                let stamp = self.keys.get(&text(&i["key"])).map_or(0, |v| v.1);
                i["stamp"].as_u64() != Some(stamp)
            })
            .map(|i| text(&i["key"]))
            .collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "ledger_rev": self.rev}));
        }
        let writes = list("writes");
        let holds = writes.iter().filter_map(|w| w["tenancy"].as_u64());
        if holds.into_iter().any(|h| !self.holds.contains_key(&h)) {
            return (400, json!({"error": "no such lease"}));
        }
        self.rev += 1;
        for w in writes {
            let (key, value) = match w["write"].as_str() {
                Some(key) => (key.to_string(), Some(w["data"].clone())),
                None => (text(&w["remove"]), None),
            };
            match &value {
                Some(v) => {
                    let entry = (v.clone(), self.rev, w["tenancy"].as_u64());
                    self.keys.insert(key.clone(), entry);
                }
                None => {
                    self.keys.remove(&key);
                }
            }
            self.log.push((self.rev, key, value));
        }
        (200, json!({"ledger_rev": self.rev}))
    }

    fn changes(&self, since: u64) -> Value {
        let events: Vec<Value> = self
            .log
            .iter()
            .filter(|e| e.0 > since)
            .map(|(rev, key, value)| match value {
                Some(v) => json!({"write": key, "data": v, "stamp": rev}),
                None => json!({"remove": key, "stamp": rev}),
            })
            .collect();
        json!({"ledger_rev": self.rev, "events": events})
    }
}

fn query(path: &str, name: &str) -> Option<String> {
    let query = path.split_once('?')?.1;
    query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('=').map(str::to_string))
}

fn number(path: &str, name: &str) -> u64 {
    query(path, name).and_then(|v| v.parse().ok()).unwrap_or(0)
}

fn state(world: &Shared, r: &Request) -> (u16, Value) {
    let body: Value = serde_json::from_slice(&r.body).unwrap_or_default();
    let path = r.path.split('?').next().unwrap_or_default();
    if path == "/changes" {
        let since = number(&r.path, "since");
        let end = Instant::now() + Duration::from_millis(number(&r.path, "block_ms"));
        loop {
            let mut w = world.lock().unwrap();
            w.expire();
            if w.rev > since || Instant::now() >= end {
                return (200, w.changes(since));
            }
            drop(w);
            thread::sleep(Duration::from_millis(10));
        }
    }
    let mut w = world.lock().unwrap();
    w.expire();
    match (r.method.as_str(), path) {
        ("POST", "/control/wipe") => {
            w.restore(Backup::default());
            (200, json!({}))
        }
        ("POST", "/control/backup") => {
            w.take_backup();
            (200, json!({}))
        }
        ("POST", "/control/restore") => {
            let backup = w.backup.clone();
            w.restore(backup);
            (200, json!({}))
        }
        ("POST", "/commit") => w.commit(&body),
        ("POST", "/holds") => {
            let life = Duration::from_millis(body["life_ms"].as_u64().unwrap_or(1_000));
            let id = w.next();
            w.holds.insert(id, (life, Instant::now() + life));
            (200, json!({"tenancy": id}))
        }
        ("GET", "/store") => {
            let prefix = query(&r.path, "prefix").unwrap_or_default();
            let items: Vec<Value> = w
                .keys
                .iter()
                .filter(|(k, _)| k.starts_with(&prefix))
                .map(|(k, v)| json!({"key": k, "data": v.0, "stamp": v.1}))
                .collect();
            (200, json!({"items": items, "has_next": false, "ledger_rev": w.rev}))
        }
        (method, path) => {
            let Some(rest) = path.strip_prefix("/holds/") else { return (404, json!({})) };
            let id: u64 = rest.trim_end_matches("/renew").parse().unwrap_or(0);
            if method == "DELETE" {
                w.end_hold(id);
                return (200, json!({}));
            }
            match w.holds.get_mut(&id) {
                Some(h) => {
                    h.1 = Instant::now() + h.0;
                    (200, json!({"tenancy": id}))
                }
                None => (404, json!({})),
            }
        }
    }
}

fn cloud(world: &Shared, r: &Request) -> (u16, Value) {
    let body: Value = serde_json::from_slice(&r.body).unwrap_or_default();
    let mut w = world.lock().unwrap();
    match (r.method.as_str(), r.path.split('?').next().unwrap_or_default()) {
        ("GET", "/catalog") => (
            200,
            json!({"builds": [{"sku": "small", "cores": 4.0, "gpus": 0.0, "ram_gb": 16.0,
                "local_gb": 50.0, "pull_gb_per_s": 1.0, "rate": 1.0, "low_price": 0.4,
                "ready_s": BOOT_S as f64, "yards": ["here"]}]}),
        ),
        ("GET", "/hosts") => {
            let list: Vec<Value> = w
                .hosts
                .iter()
                .map(|(name, (yard, spot, since))| {
                    let age = since.elapsed().as_secs_f64();
                    let status = if age > BOOT_S as f64 { "running" } else { "starting" };
                    json!({"uid": name, "build": "small", "yard": yard, "lendables": spot,
                        "status": status, "age_s": age})
                })
                .collect();
            (200, json!({"steads": list, "has_next": false}))
        }
        ("POST", "/hosts") => {
            let hire = body["hire"].as_str().unwrap_or_default().to_string();
            if let Some(names) = w.hires.get(&hire) {
                return (200, json!({"steads": names}));
            }
            let mut names = Vec::new();
            for _ in 0..body["number"].as_u64().unwrap_or(0) {
                let name = format!("n-{:06}", w.next());
                let yard = body["yard"].as_str().unwrap_or("here").to_string();
                let spot = body["lendables"] == true;
                w.hosts.insert(name.clone(), (yard, spot, Instant::now()));
                let (world, host) = (world.clone(), name.clone());
                thread::spawn(move || worker(&world, &host));
                names.push(name);
            }
            println!("rented: {}", names.join(", "));
            w.hires.insert(hire, names.clone());
            (200, json!({"steads": names}))
        }
        ("POST", "/hosts/delete") => {
            for name in body["steads"].as_array().into_iter().flatten().filter_map(Value::as_str) {
                println!("returned: {name}");
                w.hosts.remove(name);
            }
            (200, json!({}))
        }
        _ => (404, json!({})),
    }
}

/// A worker: reports, and carries out the orders in the answers. A task lasts for its owner's
/// guess, a service until it is halted.
fn worker(world: &Shared, name: &str) {
    thread::sleep(Duration::from_secs(BOOT_S));
    let mut tasks: BTreeMap<(String, u64), Task> = BTreeMap::new();
    let (mut tally, mut baton) = (0, 0);
    let controllers = world.lock().unwrap().controllers.clone();
    let mut at = 0;
    loop {
        let Some((yard, spot, _)) = world.lock().unwrap().hosts.get(name).cloned() else { return };
        for ((load, attempt), task) in &mut tasks {
            if task.gang > 0 && task.began.is_none() && task.cause.is_none() {
                task.began = gang_start(world, load, *attempt, task.gang);
            }
            let end = task.began.and_then(|t| Some(t + task.run?));
            if task.cause.is_none() && end.is_some_and(|t| Instant::now() >= t) {
                task.cause = Some("done");
            }
        }
        let loads: Vec<Value> = tasks
            .iter()
            .map(|((load, attempt), task)| {
                json!({"load": load, "try": attempt, "status": task.status(), "cause": task.cause})
            })
            .collect();
        tally += 1;
        let report = json!({"stead": name, "address": "-", "build": "small", "yard": yard,
            "lendables": spot, "tenure": 1, "tally": tally, "baton": baton, "recall_s": null,
            "loads": loads});
        let answer = post(&controllers[at], "/checkin", &report);
        match &answer {
            Some((200, _)) => {}
            Some((421, body)) => at = named(&body["steward"]).unwrap_or(at + 1) % controllers.len(),
            _ => at = (at + 1) % controllers.len(),
        }
        let shown = answer.as_ref().and_then(|(_, body)| body["baton"].as_u64()).unwrap_or(0);
        if let Some((200, answer)) = answer.filter(|_| shown >= baton) {
            baton = shown;
            for o in answer["orders"].as_array().into_iter().flatten() {
                let load = o["load"].as_str().unwrap_or_default().to_string();
                let key = (load.clone(), o["try"].as_u64().unwrap_or(0));
                match o["verb"].as_str() {
                    Some("start") => {
                        tasks.entry(key).or_insert_with(|| task_of(world, &load));
                        *world.lock().unwrap().starts.entry(load.clone()).or_insert(0) += 1;
                        println!("{name}: {load} starts");
                    }
                    Some("halt") => {
                        if let Some(t) = tasks.get_mut(&key) {
                            t.cause = t.cause.or(Some("halted"));
                        }
                    }
                    _ => {
                        tasks.remove(&key);
                    }
                }
            }
        }
        thread::sleep(Duration::from_secs(REPORT_S));
    }
}

/// The controller that a redirect names, by its place.
fn named(label: &Value) -> Option<usize> {
    label.as_str()?.strip_prefix("node-")?.parse().ok()
}

/// A task that is told to start. Workers get a job's description from its user; here it is looked up
/// where the controllers keep it.
fn task_of(world: &Shared, load: &str) -> Task {
    let job = load.split('/').next().unwrap_or_default();
    let w = world.lock().unwrap();
    let batches = [records::batch_key(""), records::gang_batch_key("")];
    let mut specs = w
        .keys
        .iter()
        .filter(|(key, _)| batches.iter().any(|prefix| key.starts_with(prefix)))
        .flat_map(|(_, v)| v.0["jobs"].as_array().into_iter().flatten());
    let spec = specs.find(|spec| spec["uid"] == job).cloned().unwrap_or_default();
    let run = Duration::from_secs_f64(spec["run_guess_s"].as_f64().unwrap_or(0.0));
    let gang = match spec["shape"] == "ensemble" {
        true => spec["loads"].as_u64().unwrap_or(0) as usize,
        false => 0,
    };
    Task {
        run: (spec["shape"] != "standing").then_some(run),
        began: (gang == 0).then(Instant::now),
        gang,
        cause: None,
    }
}

/// When the last task of a gang's attempt came; none while one is missing.
fn gang_start(world: &Shared, load: &str, attempt: u64, tasks: usize) -> Option<Instant> {
    let job = load.split('/').next().unwrap_or_default().to_string();
    let mut w = world.lock().unwrap();
    let gang = w.gangs.entry((job, attempt)).or_default();
    gang.tasks.insert(load.to_string());
    if gang.tasks.len() >= tasks {
        gang.started.get_or_insert_with(Instant::now);
    }
    gang.started
}

fn post(address: &str, path: &str, body: &Value) -> Option<(u16, Value)> {
    let mut s = TcpStream::connect(address).ok()?;
    s.set_read_timeout(Some(Duration::from_secs(4))).ok()?;
    let mut out = Vec::new();
    http::write_request(&mut out, "POST", path, address, body.to_string().as_bytes());
    s.write_all(&out).ok()?;
    let (mut buf, mut chunk) = (Vec::new(), [0; 4096]);
    loop {
        let n = s.read(&mut chunk).ok()?;
        buf.extend_from_slice(&chunk[..n]);
        if let Some(r) = http::take_response(&mut buf, n == 0).ok()? {
            return Some((r.status, serde_json::from_slice(&r.body).unwrap_or_default()));
        }
        if n == 0 {
            return None;
        }
    }
}

fn serve(address: &str, world: Shared, handler: Handler) {
    let listener = TcpListener::bind(address).expect("the address is free");
    for mut s in listener.incoming().flatten() {
        let world = world.clone();
        thread::spawn(move || {
            let (mut buf, mut chunk) = (Vec::new(), [0; 4096]);
            loop {
                while let Ok(Some(r)) = http::take_request(&mut buf, 64 * 1024) {
                    let (status, body) = handler(&world, &r);
                    let mut out = Vec::new();
                    http::write_response(&mut out, status, None, body.to_string().as_bytes(), true);
                    if s.write_all(&out).is_err() {
                        return;
                    }
                }
                match s.read(&mut chunk) {
                    Ok(n) if n > 0 => buf.extend_from_slice(&chunk[..n]),
                    _ => return,
                }
            }
        });
    }
}

fn main() {
    let (mut state_address, mut cloud_address) = (STATE.to_string(), CLOUD.to_string());
    let mut controllers: Vec<String> = Vec::new();
    let mut arguments = std::env::args().skip(1);
    while let Some(argument) = arguments.next() {
        match argument.as_str() {
            "--state" => state_address = arguments.next().expect("an address"),
            "--cloud" => cloud_address = arguments.next().expect("an address"),
            _ => controllers.push(argument),
        }
    }
    if controllers.is_empty() {
        controllers.push(CONTROLLER.into());
    }
    println!("state service on {state_address}, cloud on {cloud_address}, workers report to {controllers:?}");
    start(controllers, state_address, cloud_address);
    loop {
        thread::park();
    }
}

/// Serves state service and cloud for these controllers, in threads of their own.
pub fn start(controllers: Vec<String>, state_address: String, cloud_address: String) -> Shared {
    let world = Shared::new(Mutex::new(World { controllers, ..World::default() }));
    for (address, handler) in [(state_address, state as Handler), (cloud_address, cloud as Handler)]
    {
        let world = world.clone();
        thread::spawn(move || serve(&address, world, handler));
    }
    world
}
