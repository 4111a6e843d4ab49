//! The state service: conditional transactions, leases, reads and watches, and the loss of its data.

use super::server::{body, number_parameter, parameter, path, Answer};
use super::world::{lock, Change, Lease, Shared, Store, StoredValue, World};
use mountgap::transport::http::Request;
use serde_json::{json, Value};
use std::thread;
use std::time::{Duration, Instant};

/// Time between a watch's checks for changes.
const WATCH_PERIOD: Duration = Duration::from_millis(10);
/// Duration in milliseconds of a lease whose request specifies none.
const LEASE_LIFE_MS: u64 = 1_000;

/// Handles a request to the state service.
pub fn handle(world: &Shared, request: &Request) -> Answer {
    match (request.method.as_str(), path(request)) {
        (_, "/changes") => watch(world, request),
        (method, path) => {
            let mut world = lock(world);
            world.expire_leases();
            handle_at_once(&mut world, method, path, request)
        }
    }
}

fn handle_at_once(world: &mut World, method: &str, path: &str, request: &Request) -> Answer {
    match (method, path) {
        ("POST", "/control/wipe") => world.replace_store(Store::default()),
        ("POST", "/control/backup") => world.take_backup(),
        ("POST", "/control/restore") => world.replace_store(world.backup.clone()),
        ("POST", "/commit") => return world.commit(&body(request)),
        ("POST", "/holds") => return world.grant_lease(&body(request)),
        ("GET", "/store") => {
            return world.list(&parameter(request, "prefix").unwrap_or_default());
        }
        _ => {
            let Some(rest) = path.strip_prefix("/holds/") else { return (404, json!({})) };
            let lease_id = rest.trim_end_matches("/renew").parse().unwrap_or(0);
            return match method {
                "DELETE" => world.end_lease(lease_id),
                _ => world.renew_lease(lease_id),
            };
        }
    }
    (200, json!({}))
}

/// Responds with the changes after a revision: as soon as there are any, or when the time given by the request
/// has passed.
fn watch(world: &Shared, request: &Request) -> Answer {
    let since = number_parameter(request, "since");
    let ends_at = Instant::now() + Duration::from_millis(number_parameter(request, "block_ms"));
    loop {
        let mut locked = lock(world);
        locked.expire_leases();
        if locked.store.revision > since || Instant::now() >= ends_at {
            return (200, locked.store.changes_after(since));
        }
        drop(locked);
        thread::sleep(WATCH_PERIOD);
    }
}

impl Store {
    fn put(&mut self, key: String, value: Value, lease_id: Option<u64>) {
        let stored = StoredValue { value: value.clone(), mod_revision: self.revision, lease_id };
        self.keys.insert(key.clone(), stored);
        self.changes.push(Change { revision: self.revision, key, value: Some(value) });
    }

    fn remove(&mut self, key: String) {
        self.keys.remove(&key);
        self.changes.push(Change { revision: self.revision, key, value: None });
    }

    fn mod_revision(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |stored| stored.mod_revision)
    }

    fn changes_after(&self, since: u64) -> Value {
        let changes = self.changes.iter().filter(|change| change.revision > since);
        let events: Vec<Value> = changes
            .map(|Change { revision, key, value }| match value {
                Some(value) => json!({"write": key, "data": value, "stamp": revision}),
                None => json!({"remove": key, "stamp": revision}),
            })
            .collect();
        json!({"ledger_rev": self.revision, "events": events})
    }
}

impl World {
    fn commit(&mut self, body: &Value) -> Answer {
        let failed: Vec<&str> = entries(body, "if")
            .filter(|condition| {
                let mod_revision = self.store.mod_revision(text(&condition["key"]));
                condition["stamp"].as_u64() != Some(mod_revision)
            })
            .map(|condition| text(&condition["key"]))
            .collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "ledger_rev": self.store.revision}));
        }
        let mut leases = entries(body, "writes").filter_map(|write| write["tenancy"].as_u64());
        if leases.any(|lease_id| !self.leases.contains_key(&lease_id)) {
            return (400, json!({"error": "no such lease"}));
        }
        self.store.revision += 1;
        for write in entries(body, "writes") {
            match write["write"].as_str() {
                Some(key) => {
                    self.store.put(key.into(), write["data"].clone(), write["tenancy"].as_u64());
                }
                None => self.store.remove(text(&write["remove"]).into()),
            }
        }
        (200, json!({"ledger_rev": self.store.revision}))
    }

    fn list(&self, prefix: &str) -> Answer {
        let keys = self.store.keys.iter().filter(|(key, _)| key.starts_with(prefix));
        let items: Vec<Value> = keys
            .map(|(key, stored)| {
                json!({"key": key, "data": stored.value, "stamp": stored.mod_revision})
            })
            .collect();
        let revision = self.store.revision;
        (200, json!({"items": items, "has_next": false, "ledger_rev": revision}))
    }

    fn grant_lease(&mut self, body: &Value) -> Answer {
        let life_ms = body["life_ms"].as_u64().unwrap_or(LEASE_LIFE_MS);
        let lease_id = self.next_number();
        self.leases.insert(lease_id, Lease::new(Duration::from_millis(life_ms)));
        (200, json!({"tenancy": lease_id}))
    }

    fn renew_lease(&mut self, lease_id: u64) -> Answer {
        let Some(lease) = self.leases.get_mut(&lease_id) else {
            return (404, json!({}));
        };
        *lease = Lease::new(lease.life);
        (200, json!({"tenancy": lease_id}))
    }

    /// Ends a lease and removes its keys, each with a new revision.
    fn end_lease(&mut self, lease_id: u64) -> Answer {
        self.leases.remove(&lease_id);
        let keys = self.store.keys.iter();
        let keys = keys.filter(|(_, stored)| stored.lease_id == Some(lease_id));
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.store.revision += 1;
            self.store.remove(key);
        }
        (200, json!({}))
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired = self.leases.iter().filter(|(_, lease)| lease.ends_at <= now);
        let expired: Vec<u64> = expired.map(|(lease_id, _)| *lease_id).collect();
        for lease_id in expired {
            self.end_lease(lease_id);
        }
    }

    /// Takes a backup of the store, without the keys that belong to a lease.
    fn take_backup(&mut self) {
        self.backup = self.store.clone();
        self.backup.keys.retain(|_, stored| stored.lease_id.is_none());
    }

    /// Replaces the store by another one and drops all leases, as when data has been lost.
    fn replace_store(&mut self, store: Store) {
        println!(
            "state service: data replaced, revision {} -> {}",
            self.store.revision, store.revision
        );
        self.store = store;
        self.leases.clear();
    }
}

fn entries<'a>(body: &'a Value, list: &str) -> impl Iterator<Item = &'a Value> {
    body[list].as_array().into_iter().flatten()
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or_default()
}
