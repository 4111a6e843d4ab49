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
mod commands;
mod gangs;
mod invariants;
mod network;
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
use network::{Connection, HeartbeatResponse, Message};

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
}
