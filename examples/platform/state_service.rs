//! The state service: conditional transactions, leases, reads and watches, and the loss of its data.

use super::server::{body, number_parameter, parameter, path, Response};
use super::shared_state::{lock, Change, Lease, PlatformState, Shared, Store, StoredValue};
use mountgap::transport::http::Request;
use serde_json::{json, Value};
use std::thread;
use std::time::{Duration, Instant};

/// Time between a watch's checks for changes.
const WATCH_PERIOD: Duration = Duration::from_millis(10);
/// Duration in milliseconds of a lease whose request specifies none.
const DEFAULT_LEASE_MS: u64 = 1_000;

/// Handles a request to the state service.
pub fn handle(platform: &Shared, request: &Request) -> Response {
    match (request.method.as_str(), path(request)) {
        (_, "/changes") => watch(platform, request),
        (method, path) => {
            let mut platform = lock(platform);
            platform.expire_leases();
            handle_without_wait(&mut platform, method, path, request)
        }
    }
}

fn handle_without_wait(
    platform: &mut PlatformState,
    method: &str,
    path: &str,
    request: &Request,
) -> Response {
    match (method, path) {
        ("POST", "/control/wipe") => platform.replace_store(Store::default()),
        ("POST", "/control/backup") => platform.take_backup(),
        ("POST", "/control/restore") => platform.replace_store(platform.backup.clone()),
        ("POST", "/commit") => return platform.commit(&body(request)),
        ("POST", "/holds") => return platform.grant_lease(&body(request)),
        ("GET", "/store") => {
            return platform.list(&parameter(request, "prefix").unwrap_or_default());
        }
        _ => {
            let Some(rest) = path.strip_prefix("/holds/") else { return (404, json!({})) };
            let lease_id = rest.trim_end_matches("/renew").parse().unwrap_or(0);
            return match method {
                "DELETE" => platform.end_lease(lease_id),
                _ => platform.renew_lease(lease_id),
            };
        }
    }
    (200, json!({}))
}

/// Responds with the changes after a revision: as soon as there are any, or when the time given by the request
/// has passed.
fn watch(platform: &Shared, request: &Request) -> Response {
    let since = number_parameter(request, "since");
    let deadline = Instant::now() + Duration::from_millis(number_parameter(request, "block_ms"));
    loop {
        let mut locked = lock(platform);
        locked.expire_leases();
        if locked.store.revision > since || Instant::now() >= deadline {
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

impl PlatformState {
    fn commit(&mut self, body: &Value) -> Response {
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

    fn list(&self, prefix: &str) -> Response {
        let keys = self.store.keys.iter().filter(|(key, _)| key.starts_with(prefix));
        let items: Vec<Value> = keys
            .map(|(key, stored)| {
                json!({"key": key, "data": stored.value, "stamp": stored.mod_revision})
            })
            .collect();
        let revision = self.store.revision;
        (200, json!({"items": items, "has_next": false, "ledger_rev": revision}))
    }

    fn grant_lease(&mut self, body: &Value) -> Response {
        let duration_ms = body["life_ms"].as_u64().unwrap_or(DEFAULT_LEASE_MS);
        let lease_id = self.next_number();
        self.leases.insert(lease_id, Lease::new(Duration::from_millis(duration_ms)));
        (200, json!({"tenancy": lease_id}))
    }

    fn renew_lease(&mut self, lease_id: u64) -> Response {
        let Some(lease) = self.leases.get_mut(&lease_id) else {
            return (404, json!({}));
        };
        *lease = Lease::new(lease.duration);
        (200, json!({"tenancy": lease_id}))
    }

    /// Ends a lease and removes its keys, each with a new revision.
    fn end_lease(&mut self, lease_id: u64) -> Response {
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
        let expired = self.leases.iter().filter(|(_, lease)| lease.expires_at <= now);
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
