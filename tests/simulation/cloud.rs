//! The fake cloud: machines rented, listed late, failed and returned.

use super::*;

pub(super) struct Machine {
    pub(super) zone: String,
    pub(super) spot: bool,
    pub(super) rented_at: u64,
    pub(super) boots_at: Option<u64>,
    pub(super) gone_at: Option<u64>,
    /// Stopped on its own; listed as failed until it is deleted.
    pub(super) failed: bool,
}

/// The cloud.
#[derive(Default)]
pub struct Cloud {
    pub(super) machines: BTreeMap<String, Machine>,
    pub(super) rentals: BTreeMap<String, Vec<String>>,
    pub(super) next_machine: u64,
    pub boot_ms: u64,
    pub capacity: usize,
    pub unavailable: bool,
    /// Answers 429.
    pub rate_limited: bool,
    /// Milliseconds by which it takes longer, also to carry requests out.
    pub extra_latency_ms: u64,
}

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

    /// Machines that are there, and all that were ever rented.
    pub fn machine_counts(&self) -> (usize, usize) {
        let there = self.cloud.machines.values().filter(|h| h.gone_at.is_none()).count();
        (there, self.cloud.machines.len())
    }

    /// A machine stops on its own and is listed so.
    pub fn fail_machine(&mut self, name: &str) {
        let w = self.workers.get_mut(name).expect("a machine");
        w.stopped = true;
        w.tasks.clear();
        self.cloud.machines.get_mut(name).expect("a machine").failed = true;
    }

    pub fn is_returned(&self, name: &str) -> bool {
        self.cloud.machines[name].gone_at.is_some()
    }

    pub fn remove_machine(&mut self, name: &str) {
        if let Some(w) = self.workers.get_mut(name) {
            w.stopped = true;
            w.tasks.clear();
        }
        if let Some(h) = self.cloud.machines.get_mut(name) {
            h.gone_at = Some(self.now);
        }
    }

    pub(super) fn cloud_step(&mut self) {
        let now = self.now;
        let due: Vec<String> = self
            .cloud
            .machines
            .iter()
            .filter(|(n, h)| {
                h.gone_at.is_none()
                    && h.boots_at.is_some_and(|t| t <= now)
                    && !self.workers.contains_key(*n)
            })
            .map(|(n, _)| n.clone())
            .collect();
        for name in due {
            let h = &self.cloud.machines[&name];
            let w = Worker {
                zone: h.zone.clone(),
                spot: h.spot,
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
            self.workers.insert(name, w);
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
                let hire = body["hire"].as_str().unwrap().to_string();
                if let Some(names) = self.cloud.rentals.get(&hire) {
                    return (200, json!({"steads": names}));
                }
                let alive = self.cloud.machines.values().filter(|h| h.gone_at.is_none()).count();
                let n = (body["number"].as_u64().unwrap() as usize)
                    .min(self.cloud.capacity.saturating_sub(alive));
                if n == 0 {
                    return (503, json!({"error": "no capacity"}));
                }
                let zone =
                    self.zones.iter().position(|z| *z == body["yard"].as_str().unwrap()).unwrap();
                let spot = body["lendables"].as_bool().unwrap();
                let names: Vec<String> =
                    (0..n).map(|_| self.add_machine(zone, spot, None)).collect();
                self.cloud.rentals.insert(hire, names.clone());
                (200, json!({"steads": names}))
            }
            ("POST", "/hosts/delete") => {
                for name in body["steads"].as_array().unwrap() {
                    let name = name.as_str().unwrap();
                    if let Some(h) = self.cloud.machines.get_mut(name) {
                        h.gone_at.get_or_insert(now);
                    }
                    if let Some(w) = self.workers.get_mut(name) {
                        w.stopped = true;
                        w.tasks.clear();
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
                    .filter(|(_, h)| h.rented_at <= at && h.gone_at.is_none_or(|g| g > at))
                    .map(|(n, h)| {
                        let up = h.boots_at.is_some_and(|t| t <= at);
                        json!({"uid": n, "address": "x", "build": "g4", "yard": h.zone, "lendables": h.spot,
                            "status": if h.failed { "failed" } else if up { "running" } else { "starting" }, "age_s": (at - h.rented_at) as f64 / 1000.0})
                    })
                    .collect();
                (200, json!({"steads": list, "has_next": false}))
            }
            _ => panic!("unexpected request {method} {path}"),
        }
    }
}
