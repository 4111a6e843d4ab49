//! The fake cloud: machines rented, listed late, failed and returned.

use super::*;

pub(super) struct Host {
    pub(super) yard: String,
    pub(super) spot: bool,
    pub(super) rented: u64,
    pub(super) up: Option<u64>,
    pub(super) gone: Option<u64>,
    /// Stopped on its own; listed as failed until it is deleted.
    pub(super) failed: bool,
}

/// The cloud.
#[derive(Default)]
pub struct Cloud {
    pub(super) hosts: BTreeMap<String, Host>,
    pub(super) hires: BTreeMap<String, Vec<String>>,
    pub(super) next: u64,
    pub boot_ms: u64,
    pub capacity: usize,
    pub down: bool,
    /// Answers 429.
    pub busy: bool,
    /// Milliseconds by which it takes longer, also to carry requests out.
    pub slow_ms: u64,
}

pub(super) const LAG_MS: u64 = 2_000;

impl World {
    pub(super) fn add_host(&mut self, zone: usize, spot: bool, up: Option<u64>) -> String {
        let name = format!("n-{:06}", self.cloud.next);
        self.cloud.next += 1;
        let yard = self.zones[zone].clone();
        let up = up.unwrap_or(self.now + self.cloud.boot_ms);
        let host = Host { yard, spot, rented: self.now, up: Some(up), gone: None, failed: false };
        self.cloud.hosts.insert(name.clone(), host);
        name
    }

    /// Machines that are there, and all that were ever rented.
    pub fn machines(&self) -> (usize, usize) {
        let there = self.cloud.hosts.values().filter(|h| h.gone.is_none()).count();
        (there, self.cloud.hosts.len())
    }

    /// A machine stops on its own and is listed so.
    pub fn fail_machine(&mut self, name: &str) {
        let w = self.workers.get_mut(name).expect("a machine");
        w.dead = true;
        w.tasks.clear();
        self.cloud.hosts.get_mut(name).expect("a machine").failed = true;
    }

    pub fn is_returned(&self, name: &str) -> bool {
        self.cloud.hosts[name].gone.is_some()
    }

    pub fn kill_machine(&mut self, name: &str) {
        if let Some(w) = self.workers.get_mut(name) {
            w.dead = true;
            w.tasks.clear();
        }
        if let Some(h) = self.cloud.hosts.get_mut(name) {
            h.gone = Some(self.now);
        }
    }

    pub(super) fn cloud_step(&mut self) {
        let now = self.now;
        let due: Vec<String> = self
            .cloud
            .hosts
            .iter()
            .filter(|(n, h)| {
                h.gone.is_none() && h.up.is_some_and(|t| t <= now) && !self.workers.contains_key(*n)
            })
            .map(|(n, _)| n.clone())
            .collect();
        for name in due {
            let h = &self.cloud.hosts[&name];
            let w = Worker {
                yard: h.yard.clone(),
                spot: h.spot,
                tenure: 1,
                tally: 0,
                baton: 0,
                lease_from: now,
                node: self.rng.random_range(0..3),
                in_flight: None,
                next_at: now,
                last_at: 0,
                changed: false,
                tasks: BTreeMap::new(),
                kits: BTreeSet::new(),
                recall_at: None,
                cut: false,
                held_until: None,
                deaf: false,
                mute: false,
                hung_until: 0,
                sick: false,
                dead: false,
            };
            self.workers.insert(name, w);
        }
    }

    pub(super) fn cloud_request(&mut self, method: &str, path: &str, body: &[u8]) -> (u16, Value) {
        if self.cloud.down {
            return (503, json!({"error": "trouble"}));
        }
        if self.cloud.busy {
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
                if let Some(names) = self.cloud.hires.get(&hire) {
                    return (200, json!({"steads": names}));
                }
                let alive = self.cloud.hosts.values().filter(|h| h.gone.is_none()).count();
                let n = (body["number"].as_u64().unwrap() as usize)
                    .min(self.cloud.capacity.saturating_sub(alive));
                if n == 0 {
                    return (503, json!({"error": "no capacity"}));
                }
                let zone =
                    self.zones.iter().position(|z| *z == body["yard"].as_str().unwrap()).unwrap();
                let spot = body["lendables"].as_bool().unwrap();
                let names: Vec<String> = (0..n).map(|_| self.add_host(zone, spot, None)).collect();
                self.cloud.hires.insert(hire, names.clone());
                (200, json!({"steads": names}))
            }
            ("POST", "/hosts/delete") => {
                for name in body["steads"].as_array().unwrap() {
                    let name = name.as_str().unwrap();
                    if let Some(h) = self.cloud.hosts.get_mut(name) {
                        h.gone.get_or_insert(now);
                    }
                    if let Some(w) = self.workers.get_mut(name) {
                        w.dead = true;
                        w.tasks.clear();
                    }
                }
                (200, json!({}))
            }
            _ if path.starts_with("/hosts?") => {
                let lag = self.rng.random_range(0..LAG_MS * 2);
                let at = now.saturating_sub(lag);
                let list: Vec<Value> = self
                    .cloud
                    .hosts
                    .iter()
                    .filter(|(_, h)| h.rented <= at && h.gone.is_none_or(|g| g > at))
                    .map(|(n, h)| {
                        let up = h.up.is_some_and(|t| t <= at);
                        json!({"uid": n, "address": "x", "build": "g4", "yard": h.yard, "lendables": h.spot,
                            "status": if h.failed { "failed" } else if up { "running" } else { "starting" }, "age_s": (at - h.rented) as f64 / 1000.0})
                    })
                    .collect();
                (200, json!({"steads": list, "has_next": false}))
            }
            _ => panic!("unexpected request {method} {path}"),
        }
    }
}
