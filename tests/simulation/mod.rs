//! A deterministic in-memory simulation of a cluster: state service, cloud, workers, users and the
//! network between them, on one simulated clock, with invariant checks for every rule of the protocol.
//!
//! Faults are injected by fields and methods: the scenario tests set them explicitly, the random tests
//! draw them from a seed.

#![allow(dead_code, reason = "each test program uses a part of the simulation")]
#![allow(unreachable_pub, reason = "several test programs include this as a module")]
#![allow(
    clippy::unwrap_used,
    reason = "a scenario panics where an entity that it names is missing"
)]
#![allow(clippy::too_many_lines, reason = "one match over all requests or events of a component")]

mod behaviour;
mod cloud;
mod gangs;
mod invariants;
mod scenario;
mod state_service;
mod user;
mod worker;

pub use cloud::Cloud;
pub use state_service::StateService;
pub use user::{GangAttempt, Job, UserRequest};
pub use worker::Worker;

use behaviour::Recorder;
use cloud::LIST_LAG_MS;

use mountgap::coordination::{Clock, Command, Controller, Effect, Service};
use mountgap::protocol::http::Response;
use mountgap::settings::{Operator, Platform};
use rand::{rngs::SmallRng, Rng, SeedableRng};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};

/// Simulated time that a step takes.
pub const STEP_MS: u64 = 10;
/// Interval of a worker's heartbeats.
pub const HEARTBEAT_MS: u64 = 2_000;
/// Duration of a worker's lease.
pub const LEASE_MS: u64 = 12_000;
/// Time after a confirmed cancellation by which no task of the job may run.
pub const CANCEL_MS: u64 = 30_000;
/// Time for which a task of a gang waits for the others.
pub const GANG_WAIT_MS: u64 = 15_000;
/// Time within which the tasks of a gang notice that one of them is gone, and within which a stop command
/// has to reach all of them.
pub const GANG_PEER_MS: u64 = 4_000;
/// Time after a confirmed cancellation during which a start command for the job's tasks may still
/// arrive: controllers have read the store within the last 2 s, or know that they have not.
const LATE_START_MS: u64 = 2_100;
/// Time after which a worker gives up a heartbeat that has no response.
const HEARTBEAT_TIMEOUT_MS: u64 = 4_000;
/// Time for which a job may wait although there is capacity for it, once no faults are injected any more.
const STARVATION_LIMIT_MS: u64 = 90_000;
/// Time within which a poll of an accepted job must succeed once no faults are injected any more. Users
/// consider a job lost after 75 s.
const POLL_TIMEOUT_MS: u64 = 5_000;

/// Bodies with missing or invalid fields.
pub const MALFORMED_BODIES: [&str; 12] = [
    "",
    "null",
    "[]",
    "{}",
    "3",
    "\u{fffd}",
    r#"{"ledger_rev":-1,"events":[]}"#,
    r#"{"ledger_rev":"7","events":{}}"#,
    r#"{"ledger_rev":1e300,"items":[{}],"has_next":true}"#,
    r#"{"items":[{"key":"mg/2/jobs/x","data":7,"stamp":-3}],"has_next":1}"#,
    r#"{"tenancy":null,"failed":3}"#,
    r#"{"steads":[{"uid":3}],"builds":[{"sku":null}],"has_next":false}"#,
];

/// A message in transit.
enum Message {
    StateRequest {
        node: usize,
        incarnation: u64,
        call: u64,
        method: String,
        path: String,
        body: Vec<u8>,
    },
    CloudRequest {
        node: usize,
        incarnation: u64,
        call: u64,
        method: String,
        path: String,
        body: Vec<u8>,
    },
    PeerRequest {
        node: usize,
        incarnation: u64,
        call: u64,
        to: usize,
        path: String,
        body: Vec<u8>,
    },
    Reply {
        node: usize,
        incarnation: u64,
        call: u64,
        status: u16,
        body: Vec<u8>,
    },
    Heartbeat {
        worker: String,
        request: u64,
        node: usize,
        body: Vec<u8>,
    },
    HeartbeatResponse {
        worker: String,
        request: u64,
        status: u16,
        body: Vec<u8>,
    },
    /// A further copy of a response that has been sent before.
    HeartbeatResponseCopy {
        worker: String,
        request: u64,
        status: u16,
        body: Vec<u8>,
    },
    UserRequest {
        request: u64,
        node: usize,
        method: &'static str,
        path: String,
        body: Vec<u8>,
    },
    UserResponse {
        request: u64,
        status: u16,
        body: Vec<u8>,
    },
}

/// Where the response of a controller to a request goes.
enum Connection {
    Worker { name: String, request: u64 },
    User { request: u64 },
    Peer { node: usize, incarnation: u64, call: u64 },
}

/// The process of a controller, with the faults injected into it.
pub struct Node {
    /// None while the process is down.
    pub controller: Option<Controller>,
    /// Incremented by each crash; replies to an earlier incarnation are dropped.
    incarnation: u64,
    start_at: Option<u64>,
    inbox: Vec<Command>,
    connections: BTreeMap<u64, Connection>,
    next_connection: u64,
    /// Time by which each call must have its reply.
    deadlines: BTreeMap<u64, u64>,
    next_wake: u64,
    /// The state service answers its requests with 503.
    pub refused_by_state: bool,
    /// Messages between it and the workers are dropped.
    pub partitioned_from_workers: bool,
    /// Messages between it and the state service are dropped.
    pub partitioned_from_state: bool,
    /// Messages between it and the other controllers are dropped.
    pub partitioned_from_peers: bool,
    /// Its requests to other controllers are not delivered before this time.
    pub peer_requests_delayed_until: u64,
    /// The process is paused until this time: it reads no message and no timer fires.
    pub paused_until: u64,
    /// Duration of each batch of commands, so that an overloaded controller falls behind. The effects of a
    /// batch are sent when it ends.
    pub batch_duration_ms: u64,
}

/// The simulated cluster.
pub struct Simulation {
    seed: u64,
    /// Simulated time in milliseconds.
    pub now: u64,
    pub rng: SmallRng,
    pub state: StateService,
    pub cloud: Cloud,
    pub nodes: Vec<Node>,
    pub workers: BTreeMap<String, Worker>,
    pub jobs: BTreeMap<String, Job>,
    pub user_requests: BTreeMap<u64, UserRequest>,
    /// Violated invariants; the run fails unless it is empty.
    pub violations: Vec<String>,
    /// Messages in transit by time of arrival and sequence number.
    network: BTreeMap<(u64, u64), Message>,
    last_sequence: u64,
    next_request: u64,
    zones: Vec<String>,
    /// A partitioned zone and the controller in it. Only heartbeats of the zone's workers to that controller,
    /// and its responses to them, are delivered.
    pub zone_partition: Option<(String, usize)>,
    /// Probability that a heartbeat arrives after its worker has given it up.
    pub delayed_heartbeat_rate: f64,
    /// Probability that a duplicate of a heartbeat arrives later.
    pub duplicate_heartbeat_rate: f64,
    /// Delays after which further copies of each response to a heartbeat arrive.
    pub response_copy_delays_ms: Vec<u64>,
    /// Number of such copies with start commands that have arrived.
    pub start_copies_delivered: u32,
    /// Probability that a response to a heartbeat arrives only shortly before its worker gives it up.
    pub slow_response_rate: f64,
    /// Longest delay of such a duplicate.
    pub duplicate_delay_max_ms: u64,
    /// Time at which the last fault ended; from then on no job may wait for long while there is capacity for it.
    pub faults_ended_at: Option<u64>,
    /// Size of the largest response of a controller to another.
    pub peer_response_bytes_max: usize,
    /// GPU limit of team `red`.
    team_gpus_max: f64,
    /// Announced future limits of the state service, in the settings of controllers that start.
    pub next_state_limits: Value,
    /// Whether a gang was ever submitted.
    gang_submitted: bool,
    /// Operator settings of controllers that start.
    pub operator: Operator,
    /// Records all messages of the run.
    pub recorder: Recorder,
}

/// Platform settings of controller `index` of `count`.
fn platform_settings(index: usize, count: usize, team_gpus_max: f64, next: &Value) -> Platform {
    let peers: Vec<Value> = (0..count)
        .filter(|peer| *peer != index)
        .map(|peer| json!({"label": format!("c-{peer}"), "zone": "a", "address": format!("10.0.0.{}:81", peer + 1)}))
        .collect();
    let settings = json!({
        "label": format!("c-{index}"), "zone": "a", "listen": "10.0.0.1:80", "peer_bind": "10.0.0.1:81",
        "peers": peers, "services": {"cloud": "10.0.1.1:80", "state": "10.0.1.2:80"},
        "params": {"nodes": count, "zones": ["a", "b"],
            "teams": [{"name": "red", "gpus": 8.0, "gpus_max": team_gpus_max}, {"name": "blue"}],
            "workers": {"report_s": HEARTBEAT_MS as f64 / 1000.0, "lease_s": LEASE_MS as f64 / 1000.0,
                        "cancel_s": CANCEL_MS as f64 / 1000.0,
                        "gang_wait_s": GANG_WAIT_MS as f64 / 1000.0,
                        "gang_peer_s": GANG_PEER_MS as f64 / 1000.0},
            "state": {"rps": 200.0, "write_rps": 60.0, "value_kb": 4.0, "txn_ops": 8, "next": next},
            "cloud": {"rps": 8.0, "list_lag_s": LIST_LAG_MS as f64 / 1000.0},
            "machine_limits": {"core_share": 0.2, "mem_mb": 100.0, "sockets": 1000}}
    });
    Platform::parse(&settings.to_string()).expect("valid platform settings")
}

impl Simulation {
    pub fn new(seed: u64) -> Simulation {
        let mut sim = Simulation {
            seed,
            now: 10_000,
            rng: SmallRng::seed_from_u64(seed),
            state: StateService { next_lease: 1, ..StateService::default() },
            cloud: Cloud { boot_ms: 4_000, capacity: 8, ..Cloud::default() },
            nodes: Vec::new(),
            workers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            user_requests: BTreeMap::new(),
            violations: Vec::new(),
            network: BTreeMap::new(),
            last_sequence: 0,
            next_request: 1,
            zones: vec!["a".into(), "b".into()],
            zone_partition: None,
            delayed_heartbeat_rate: 0.0,
            duplicate_heartbeat_rate: 0.0,
            response_copy_delays_ms: Vec::new(),
            start_copies_delivered: 0,
            slow_response_rate: 0.0,
            duplicate_delay_max_ms: LEASE_MS * 3,
            faults_ended_at: None,
            peer_response_bytes_max: 0,
            team_gpus_max: 12.0,
            next_state_limits: Value::Null,
            gang_submitted: false,
            operator: Operator::default(),
            recorder: Recorder::new(seed),
        };
        for _ in 0..3 {
            sim.nodes.push(Node {
                controller: None,
                incarnation: 0,
                start_at: Some(sim.now),
                inbox: vec![],
                connections: BTreeMap::new(),
                next_connection: 1,
                deadlines: BTreeMap::new(),
                next_wake: 0,
                refused_by_state: false,
                partitioned_from_workers: false,
                partitioned_from_state: false,
                partitioned_from_peers: false,
                peer_requests_delayed_until: 0,
                paused_until: 0,
                batch_duration_ms: 0,
            });
        }
        for i in 0..2 {
            sim.add_machine(i, false, Some(sim.now));
        }
        sim
    }

    /// Whether a zone partition separates a worker from a controller.
    fn is_partitioned(&self, worker: &str, node: usize) -> bool {
        let zone = self.workers.get(worker).map(|w| w.zone.as_str());
        self.zone_partition
            .as_ref()
            .is_some_and(|(cut_off, inside)| (zone == Some(cut_off)) != (node == *inside))
    }

    /// A simulation whose controllers detect that the store has lost data.
    pub fn with_recovery(seed: u64) -> Simulation {
        let mut sim = Simulation::new(seed);
        sim.operator.recovery.enabled = true;
        sim
    }

    /// A simulation with this many machines, all of which send their first heartbeat at once.
    pub fn with_machines(seed: u64, machines: usize) -> Simulation {
        let mut sim = Simulation::new(seed);
        sim.cloud.capacity = machines;
        for i in sim.cloud.machines.len()..machines {
            sim.add_machine(i % 2, false, Some(sim.now));
        }
        sim
    }

    /// Sends a message that arrives after `delay` milliseconds.
    fn send(&mut self, delay: u64, message: Message) {
        self.last_sequence += 1;
        self.network.insert((self.now + delay, self.last_sequence), message);
    }

    fn network_delay(&mut self) -> u64 {
        self.rng.random_range(1..8)
    }

    /// Advances the clock by one step and runs everything that is due.
    pub fn step(&mut self) {
        self.now += STEP_MS;
        for i in 0..self.nodes.len() {
            if self.nodes[i].start_at.is_some_and(|t| self.now >= t) {
                self.nodes[i].start_at = None;
                let seed = self.rng.random();
                let count = self.nodes.len();
                let clock = Clock { monotonic_ms: self.now, wall_ms: 1_000_000 + self.now };
                let settings =
                    platform_settings(i, count, self.team_gpus_max, &self.next_state_limits);
                self.nodes[i].controller =
                    Some(Controller::new(settings, self.operator.clone(), clock, seed));
                self.nodes[i].next_wake = 0;
            }
        }
        self.state_step();
        while let Some((&(at, seq), _)) = self.network.first_key_value() {
            if at > self.now {
                break;
            }
            let message = self.network.remove(&(at, seq)).expect("the first message");
            self.record_arrival(&message);
            self.deliver(message);
            self.record_stored();
        }
        self.cloud_step();
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            self.worker_step(&name);
        }
        if self.gang_submitted {
            self.gangs_step();
        }
        for i in 0..self.nodes.len() {
            self.node_step(i);
        }
        if self.now.is_multiple_of(100) {
            self.check_invariants();
        }
        if let Some(since) = self.faults_ended_at.filter(|_| self.now.is_multiple_of(1_000)) {
            self.check_starvation(since);
        }
    }

    fn node_step(&mut self, i: usize) {
        let now = self.now;
        let process = &mut self.nodes[i];
        if now < process.paused_until {
            return;
        }
        let timed_out: Vec<u64> =
            process.deadlines.iter().filter(|(_, t)| **t <= now).map(|(c, _)| *c).collect();
        for call in timed_out {
            process.deadlines.remove(&call);
            process.inbox.push(Command::Response { call, response: None });
        }
        let Some(controller) = process.controller.as_mut() else {
            process.inbox.clear();
            return;
        };
        if process.inbox.is_empty() && now < process.next_wake {
            return;
        }
        let clock = Clock { monotonic_ms: now, wall_ms: 1_000_000 + now };
        let effects = controller.handle_batch(clock, std::mem::take(&mut process.inbox));
        process.next_wake = controller.next_wake();
        process.paused_until = now + process.batch_duration_ms;
        let incarnation = process.incarnation;
        for effect in effects {
            self.record_effect(i, &effect);
            self.apply_effect(i, incarnation, effect);
        }
    }

    fn record_effect(&mut self, node: usize, effect: &Effect) {
        match effect {
            Effect::Respond { connection, status, retry_after_s, body } => {
                let what = format_args!("c-{node} answers {connection} {status} {retry_after_s:?}");
                self.recorder.record(self.now, what, body);
            }
            Effect::Call { id, service, method, path, body, timeout_ms } => {
                let what =
                    format_args!("c-{node} calls {id} {service:?} {method} {path} {timeout_ms}");
                self.recorder.record(self.now, what, body);
            }
        }
    }

    /// Records a message that arrives. Bodies of controllers' requests are recorded when they are sent.
    fn record_arrival(&mut self, message: &Message) {
        let now = self.now;
        match message {
            Message::Reply { node, incarnation, call, status, body } => {
                let what =
                    format_args!("reply to c-{node} life {incarnation} call {call} {status}");
                self.recorder.record(now, what, body);
            }
            Message::Heartbeat { worker, request, node, body } => {
                let what = format_args!("report {request} of {worker} to c-{node}");
                self.recorder.record(now, what, body);
            }
            Message::HeartbeatResponse { worker, request, status, body } => {
                let what = format_args!("answer to report {request} of {worker} {status}");
                self.recorder.record(now, what, body);
            }
            Message::HeartbeatResponseCopy { worker, request, status, body } => {
                let what = format_args!("copy of answer to report {request} of {worker} {status}");
                self.recorder.record(now, what, body);
            }
            Message::UserRequest { request, node, method, path, body } => {
                let what = format_args!("user's request {request} to c-{node} {method} {path}");
                self.recorder.record(now, what, body);
            }
            Message::UserResponse { request, status, body } => {
                let what = format_args!("answer to user's request {request} {status}");
                self.recorder.record(now, what, body);
            }
            Message::StateRequest { node, incarnation, call, method, path, .. }
            | Message::CloudRequest { node, incarnation, call, method, path, .. } => {
                let what =
                    format_args!("c-{node} life {incarnation} call {call} {method} {path} arrives");
                self.recorder.record(now, what, &[]);
            }
            Message::PeerRequest { node, incarnation, call, to, path, .. } => {
                let what = format_args!(
                    "c-{node} life {incarnation} call {call} {path} arrives at c-{to}"
                );
                self.recorder.record(now, what, &[]);
            }
        }
    }

    /// Records the changes that the state service has made since the last call.
    fn record_stored(&mut self) {
        let recorded = self.state.recorded_revision.min(self.state.revision);
        let from = self.state.history.partition_point(|(rev, _, _)| *rev <= recorded);
        for (rev, key, value) in &self.state.history[from..] {
            let (what, value) = match value {
                Some(value) => ("stored", value.to_string()),
                None => ("removed", String::new()),
            };
            let what = format_args!("{what} {key} {rev}");
            self.recorder.record(self.now, what, value.as_bytes());
        }
        self.state.recorded_revision = self.state.revision;
    }

    /// Sends the message of a controller's effect, unless a fault drops it.
    fn apply_effect(&mut self, node: usize, incarnation: u64, effect: Effect) {
        let batch_duration_ms = self.nodes[node].batch_duration_ms;
        let delay = self.network_delay() + batch_duration_ms;
        match effect {
            Effect::Respond { connection, status, body, .. } => {
                let process = &mut self.nodes[node];
                let (partitioned_from_workers, partitioned_from_peers) =
                    (process.partitioned_from_workers, process.partitioned_from_peers);
                match process.connections.remove(&connection) {
                    Some(Connection::Worker { name, request })
                        if !partitioned_from_workers && !self.is_partitioned(&name, node) =>
                    {
                        self.send_heartbeat_response(delay, name, request, status, body);
                    }
                    Some(Connection::User { request }) => {
                        self.send(delay, Message::UserResponse { request, status, body });
                    }
                    Some(Connection::Peer { node: to, incarnation, call })
                        if !partitioned_from_peers && !self.nodes[to].partitioned_from_peers =>
                    {
                        self.peer_response_bytes_max = self.peer_response_bytes_max.max(body.len());
                        self.send(
                            delay,
                            Message::Reply { node: to, incarnation, call, status, body },
                        );
                    }
                    _ => {}
                }
            }
            Effect::Call { id, service, method, path, body, timeout_ms } => {
                self.check_call(&path);
                self.nodes[node].deadlines.insert(id, self.now + batch_duration_ms + timeout_ms);
                let method = method.to_string();
                let call = id;
                match service {
                    Service::State => {
                        if self.nodes[node].partitioned_from_state {
                            return;
                        }
                        let delayed = path == "/commit"
                            && self.rng.random_bool(self.state.delayed_commit_rate);
                        let delay = if delayed {
                            delay + self.rng.random_range(1_000..6_000)
                        } else {
                            delay
                        };
                        if path == "/commit"
                            && self.rng.random_bool(self.state.unanswered_commit_rate)
                        {
                            // The caller has given up by the time the response arrives.
                            let delay = self.rng.random_range(2_000..12_000);
                            return self.send(
                                delay,
                                Message::StateRequest {
                                    node,
                                    incarnation,
                                    call,
                                    method,
                                    path,
                                    body,
                                },
                            );
                        }
                        let submits = path == "/commit"
                            && String::from_utf8_lossy(&body).contains("mg/2/jobs/");
                        let delay = delay
                            + if submits {
                                std::mem::take(&mut self.state.next_submission_delay_ms)
                            } else {
                                0
                            };
                        self.send(
                            delay,
                            Message::StateRequest { node, incarnation, call, method, path, body },
                        );
                    }
                    Service::Cloud => self.send(
                        delay + 50 + self.cloud.extra_latency_ms,
                        Message::CloudRequest { node, incarnation, call, method, path, body },
                    ),
                    Service::Peer(index) => {
                        let to = (0..3)
                            .filter(|other| *other != node)
                            .nth(index)
                            .expect("one of two peers");
                        if !self.nodes[node].partitioned_from_peers
                            && !self.nodes[to].partitioned_from_peers
                        {
                            let delay = delay.max(
                                self.nodes[node]
                                    .peer_requests_delayed_until
                                    .saturating_sub(self.now),
                            );
                            self.send(
                                delay,
                                Message::PeerRequest { node, incarnation, call, to, path, body },
                            );
                        }
                    }
                }
            }
        }
    }

    /// Sends the response to a heartbeat, and copies of it that arrive later.
    fn send_heartbeat_response(
        &mut self,
        delay: u64,
        worker: String,
        request: u64,
        status: u16,
        body: Vec<u8>,
    ) {
        for copy_delay in self.response_copy_delays_ms.clone() {
            let (worker, body) = (worker.clone(), body.clone());
            let copy = Message::HeartbeatResponseCopy { worker, request, status, body };
            self.send(delay + copy_delay, copy);
        }
        let is_slow =
            self.slow_response_rate > 0.0 && self.rng.random_bool(self.slow_response_rate);
        let delay = match is_slow {
            true => self.rng.random_range(1_000..HEARTBEAT_TIMEOUT_MS - 100),
            false => delay,
        };
        self.send(delay, Message::HeartbeatResponse { worker, request, status, body });
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::StateRequest { node, incarnation, call, method, path, body } => {
                self.state_request(node, incarnation, call, &method, &path, &body);
            }
            Message::CloudRequest { node, incarnation, call, method, path, body } => {
                let (status, answer) = self.cloud_request(&method, &path, &body);
                let delay = self.network_delay();
                let body = answer.to_string().into_bytes();
                self.send(delay, Message::Reply { node, incarnation, call, status, body });
            }
            Message::PeerRequest { node, incarnation, call, to, path, body } => {
                let process = &mut self.nodes[to];
                if process.controller.is_none() {
                    return;
                }
                let connection = process.next_connection;
                process.next_connection += 1;
                process
                    .connections
                    .insert(connection, Connection::Peer { node, incarnation, call });
                process.inbox.push(Command::Peer { connection, method: "POST".into(), path, body });
            }
            Message::Reply { node, incarnation, call, status, body } => {
                let process = &mut self.nodes[node];
                if process.incarnation == incarnation && process.deadlines.remove(&call).is_some() {
                    process.inbox.push(Command::Response {
                        call,
                        response: Some(Response { status, body }),
                    });
                }
            }
            Message::Heartbeat { worker, request, node, body } => {
                let partitioned = self.is_partitioned(&worker, node);
                let process = &mut self.nodes[node];
                if process.partitioned_from_workers || partitioned {
                    return;
                }
                if process.controller.is_none() {
                    let delay = self.network_delay();
                    return self.send(
                        delay,
                        Message::HeartbeatResponse { worker, request, status: 0, body: vec![] },
                    );
                }
                let connection = process.next_connection;
                process.next_connection += 1;
                process
                    .connections
                    .insert(connection, Connection::Worker { name: worker, request });
                process.inbox.push(Command::Public {
                    connection,
                    method: "POST".into(),
                    path: "/checkin".into(),
                    body,
                });
            }
            Message::HeartbeatResponse { worker, request, status, body } => {
                self.handle_heartbeat_response(&worker, request, status, &body);
            }
            Message::HeartbeatResponseCopy { worker, request, status, body } => {
                self.start_copies_delivered += u32::from(has_start_command(&body));
                self.handle_heartbeat_response(&worker, request, status, &body);
            }
            Message::UserRequest { request, node, method, path, body } => {
                let process = &mut self.nodes[node];
                if process.controller.is_none() {
                    return self
                        .send(1, Message::UserResponse { request, status: 0, body: vec![] });
                }
                let connection = process.next_connection;
                process.next_connection += 1;
                process.connections.insert(connection, Connection::User { request });
                process.inbox.push(Command::Public {
                    connection,
                    method: method.into(),
                    path,
                    body,
                });
            }
            Message::UserResponse { request, status, body } => {
                self.handle_user_response(request, status, &body);
            }
        }
    }
}

/// Whether the response to a heartbeat has a command to start a task.
fn has_start_command(body: &[u8]) -> bool {
    let response: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
    let commands = response["orders"].as_array();
    commands.is_some_and(|commands| commands.iter().any(|command| command["verb"] == "start"))
}
