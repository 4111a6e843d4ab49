//! The simulated cloud: machines are rented, listed with a lag, fail and are deleted.

use super::*;

/// A rented machine.
pub(super) struct Machine {
    pub(super) zone: String,
    pub(super) spot: bool,
    pub(super) rented_at: u64,
    /// Time at which its worker starts.
    pub(super) boots_at: Option<u64>,
    /// Time at which it was deleted, reclaimed or lost.
    pub(super) gone_at: Option<u64>,
    /// Has failed; listed as such until it is deleted.
    pub(super) failed: bool,
}

/// The simulated cloud and its faults.
#[derive(Default)]
pub struct Cloud {
    pub(super) machines: BTreeMap<String, Machine>,
    /// Machines of each rental request, so that a repeated request rents none.
    pub(super) rentals: BTreeMap<String, Vec<String>>,
    pub(super) next_machine: u64,
    /// Time from a rental until the worker starts.
    pub boot_ms: u64,
    /// Most machines at a time.
    pub capacity: usize,
    /// Answers all requests with 503.
    pub unavailable: bool,
    /// Answers all requests with 429.
    pub rate_limited: bool,
    /// Extra latency of requests, by which their execution is delayed too.
    pub extra_latency_ms: u64,
}

/// Lag of the machine list in the settings; the simulated lag is up to twice as long.
pub(super) const LIST_LAG_MS: u64 = 2_000;

impl Simulation {
    pub(super) fn add_machine(
        &mut self,
        zone_index: usize,
        spot: bool,
        boots_at: Option<u64>,
    ) -> String {
        let name = format!("n-{:06}", self.cloud.next_machine);
        self.cloud.next_machine += 1;
        let zone = self.zones[zone_index].clone();
        let boots_at = boots_at.unwrap_or(self.now + self.cloud.boot_ms);
        let machine = Machine {
            zone,
            spot,
            rented_at: self.now,
            boots_at: Some(boots_at),
            gone_at: None,
            failed: false,
        };
        self.cloud.machines.insert(name.clone(), machine);
        name
    }

    /// Number of present machines, and of all that were ever rented.
    pub fn machine_counts(&self) -> (usize, usize) {
        let present = self.cloud.machines.values().filter(|m| m.gone_at.is_none()).count();
        (present, self.cloud.machines.len())
    }

    /// A machine fails and is listed as failed until it is deleted.
    pub fn fail_machine(&mut self, name: &str) {
        let worker = self.workers.get_mut(name).expect("the machine exists");
        worker.stopped = true;
        worker.tasks.clear();
        self.cloud.machines.get_mut(name).expect("the machine exists").failed = true;
    }

    /// Whether a machine was deleted, reclaimed or lost.
    pub fn is_returned(&self, name: &str) -> bool {
        self.cloud.machines[name].gone_at.is_some()
    }

    /// A machine disappears.
    pub fn remove_machine(&mut self, name: &str) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.stopped = true;
            worker.tasks.clear();
        }
        if let Some(machine) = self.cloud.machines.get_mut(name) {
            machine.gone_at = Some(self.now);
        }
    }

    pub(super) fn cloud_step(&mut self) {
        let now = self.now;
        let due: Vec<String> = self
            .cloud
            .machines
            .iter()
            .filter(|(name, machine)| {
                machine.gone_at.is_none()
                    && machine.boots_at.is_some_and(|t| t <= now)
                    && !self.workers.contains_key(*name)
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            let machine = &self.cloud.machines[&name];
            let worker = Worker {
                zone: machine.zone.clone(),
                spot: machine.spot,
                incarnation: 1,
                sequence: 0,
                fencing_token: 0,
                lease_started_at: now,
                node: self.rng.random_range(0..3),
                in_flight: None,
                next_heartbeat_at: now,
                last_heartbeat_at: 0,
                changed: false,
                tasks: BTreeMap::new(),
                cleared: BTreeSet::new(),
                images: BTreeSet::new(),
                reclaim_at: None,
                partitioned: false,
                heartbeats_delayed_until: None,
                responses_lost: false,
                heartbeats_lost: false,
                hung_until: 0,
                fails_all_tasks: false,
                stopped: false,
            };
            self.workers.insert(name, worker);
        }
    }

    pub(super) fn cloud_request(&mut self, method: &str, path: &str, body: &[u8]) -> (u16, Value) {
        if self.cloud.unavailable {
            return (503, json!({"error": "trouble"}));
        }
        if self.cloud.rate_limited {
            return (429, json!({}));
        }
        let now = self.now;
        let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        match (method, path) {
            ("GET", "/catalog") => (
                200,
                json!({"builds": [{"sku": "g4", "cores": 16.0, "gpus": 4.0, "ram_gb": 64.0, "local_gb": 50.0,
                    "pull_gb_per_s": 1.0, "rate": 8.0, "low_price": 3.0, "ready_s": 4.0, "yards": ["a", "b"]}]}),
            ),
            ("POST", "/hosts") => {
                let request_id = body["hire"].as_str().unwrap().to_string();
                if let Some(names) = self.cloud.rentals.get(&request_id) {
                    return (200, json!({"steads": names}));
                }
                let present = self.cloud.machines.values().filter(|m| m.gone_at.is_none()).count();
                let count = (body["number"].as_u64().unwrap() as usize)
                    .min(self.cloud.capacity.saturating_sub(present));
                if count == 0 {
                    return (503, json!({"error": "no capacity"}));
                }
                let zone =
                    self.zones.iter().position(|z| *z == body["yard"].as_str().unwrap()).unwrap();
                let spot = body["lendables"].as_bool().unwrap();
                let names: Vec<String> =
                    (0..count).map(|_| self.add_machine(zone, spot, None)).collect();
                self.cloud.rentals.insert(request_id, names.clone());
                (200, json!({"steads": names}))
            }
            ("POST", "/hosts/delete") => {
                for name in body["steads"].as_array().unwrap() {
                    let name = name.as_str().unwrap();
                    if let Some(machine) = self.cloud.machines.get_mut(name) {
                        machine.gone_at.get_or_insert(now);
                    }
                    if let Some(worker) = self.workers.get_mut(name) {
                        worker.stopped = true;
                        worker.tasks.clear();
                    }
                }
                (200, json!({}))
            }
            _ if path.starts_with("/hosts?") => {
                let lag = self.rng.random_range(0..LIST_LAG_MS * 2);
                let at = now.saturating_sub(lag);
                let list: Vec<Value> = self
                    .cloud
                    .machines
                    .iter()
                    .filter(|(_, m)| m.rented_at <= at && m.gone_at.is_none_or(|g| g > at))
                    .map(|(name, machine)| {
                        let up = machine.boots_at.is_some_and(|t| t <= at);
                        json!({"uid": name, "address": "x", "build": "g4", "yard": machine.zone, "lendables": machine.spot,
                            "status": if machine.failed { "failed" } else if up { "running" } else { "starting" }, "age_s": (at - machine.rented_at) as f64 / 1000.0})
                    })
                    .collect();
                (200, json!({"steads": list, "has_next": false}))
            }
            _ => panic!("unexpected request to the cloud: {method} {path}"),
        }
    }
}
