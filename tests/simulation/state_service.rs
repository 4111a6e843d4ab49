//! The simulated state service: keys, leases and watches, and the faults injected into them.

use super::network::ControllerRequest;
use super::*;

/// The value of a key.
#[derive(Clone)]
pub(super) struct Entry {
    pub(super) data: Value,
    /// Revision of its last change.
    pub(super) mod_revision: u64,
    pub(super) lease: Option<u64>,
}

/// A read of changes that waits for the next one.
pub(super) struct Watch {
    pub(super) node: usize,
    pub(super) incarnation: u64,
    pub(super) call: u64,
    pub(super) since: u64,
    pub(super) until: u64,
}

/// The data of the state service at an earlier time.
#[derive(Clone, Default)]
pub struct Backup {
    keys: BTreeMap<String, Entry>,
    history: Vec<(u64, String, Option<Value>)>,
    revision: u64,
}

/// The simulated state service and its faults.
#[derive(Default)]
pub struct StateService {
    pub(super) keys: BTreeMap<String, Entry>,
    pub revision: u64,
    /// Changes up to this revision have been recorded.
    pub(super) recorded_revision: u64,
    /// Number of puts and deletes executed.
    pub mutation_count: usize,
    /// All changes: revision, key, and the new value, none if the key was removed.
    pub(super) history: Vec<(u64, String, Option<Value>)>,
    /// Duration and end of each lease.
    pub(super) leases: BTreeMap<u64, (u64, u64)>,
    pub(super) next_lease: u64,
    pub(super) watches: Vec<Watch>,
    /// Answers all requests with 503; leases don't end.
    pub outage: bool,
    /// Probability that a commit is executed 1 to 6 s late.
    pub delayed_commit_rate: f64,
    /// Probability that a commit is executed 2 to 12 s later, after its caller has given up.
    pub unanswered_commit_rate: f64,
    /// Probability that a response is lost.
    pub lost_response_rate: f64,
    /// Watches report changes only when their time is up.
    pub watches_stalled: bool,
    /// Delay of responses to commits.
    pub commit_response_delay_ms: u64,
    /// Delay of the next commit that stores a job; applies once.
    pub next_submission_delay_ms: u64,
    /// Changes up to this revision are no longer available.
    pub compacted_revision: u64,
    /// Answers all requests with 429.
    pub rate_limited: bool,
    /// Probability that the body of a response is malformed.
    pub malformed_response_rate: f64,
    /// Largest value in bytes and most changes of a transaction, if lower than in the settings. Larger
    /// transactions are rejected.
    pub lowered_limits: Option<(usize, usize)>,
    /// The last saved backup.
    pub(super) saved_backup: Backup,
    /// Number of transactions that were rejected for their size.
    pub rejected_for_size: usize,
}

impl StateService {
    /// Writes a key that no controller has written.
    pub fn put(&mut self, key: &str, data: Value) {
        self.revision += 1;
        self.keys.insert(
            key.into(),
            Entry { data: data.clone(), mod_revision: self.revision, lease: None },
        );
        self.history.push((self.revision, key.into(), Some(data)));
    }

    pub fn get(&self, key: &str) -> Option<&Value> {
        self.keys.get(key).map(|e| &e.data)
    }

    /// Revision of a key's last change.
    pub fn mod_revision(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |entry| entry.mod_revision)
    }

    /// Keys with a prefix and their values.
    pub fn entries_under(&self, prefix: &str) -> Vec<(&String, &Value)> {
        self.keys.iter().filter(|(k, _)| k.starts_with(prefix)).map(|(k, e)| (k, &e.data)).collect()
    }

    pub(super) fn remove(&mut self, key: &str, rev: u64) {
        if self.keys.remove(key).is_some() {
            self.history.push((rev, key.to_string(), None));
        }
    }

    /// Executes a transaction.
    pub(super) fn commit(&mut self, body: &[u8]) -> (u16, Value) {
        let Ok(transaction) = serde_json::from_slice::<Value>(body) else {
            return (400, json!({}));
        };
        let failed: Vec<&str> = transaction["if"]
            .as_array()
            .into_iter()
            .flatten()
            .filter(|condition| {
                let key = condition["key"].as_str().unwrap();
                self.keys.get(key).map_or(0, |entry| entry.mod_revision)
                    != condition["stamp"].as_u64().unwrap()
            })
            .map(|condition| condition["key"].as_str().unwrap())
            .collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "ledger_rev": self.revision}));
        }
        let writes = transaction["writes"].as_array().cloned().unwrap_or_default();
        assert!(writes.len() <= 8, "too many changes in one transaction");
        if let Some((value_bytes, ops)) = self.lowered_limits {
            let large = |mutation: &Value| mutation["data"].to_string().len() > value_bytes;
            if writes.len() > ops || writes.iter().any(large) {
                self.rejected_for_size += 1;
                return (400, json!({"error": "too large"}));
            }
        }
        for mutation in &writes {
            if let Some(lease) = mutation["tenancy"].as_u64() {
                if !self.leases.contains_key(&lease) {
                    return (400, json!({"error": "no such lease"}));
                }
            }
        }
        self.revision += 1;
        self.mutation_count += writes.len();
        let rev = self.revision;
        for mutation in writes {
            if let Some(key) = mutation["write"].as_str() {
                assert!(mutation["data"].to_string().len() <= 4096, "value too large: {key}");
                let entry = Entry {
                    data: mutation["data"].clone(),
                    mod_revision: rev,
                    lease: mutation["tenancy"].as_u64(),
                };
                self.keys.insert(key.to_string(), entry);
                self.history.push((rev, key.to_string(), Some(mutation["data"].clone())));
            } else {
                self.remove(mutation["remove"].as_str().unwrap(), rev);
            }
        }
        (200, json!({"ledger_rev": rev}))
    }

    /// Loses all data.
    pub fn wipe(&mut self) {
        self.restore(Backup::default(), 0);
    }

    /// Saves a backup for [`StateService::restore_saved_backup`].
    pub fn save_backup(&mut self) {
        self.saved_backup = self.backup();
    }

    /// Restores the saved backup.
    pub fn restore_saved_backup(&mut self, revisions_ahead: u64) {
        self.restore(self.saved_backup.clone(), revisions_ahead);
    }

    /// A backup of the current data, without keys that are bound to leases.
    pub fn backup(&self) -> Backup {
        let keys = self.keys.iter().filter(|(_, entry)| entry.lease.is_none());
        let keys = keys.map(|(key, entry)| (key.clone(), entry.clone())).collect();
        Backup { keys, history: self.history.clone(), revision: self.revision }
    }

    /// Restores a backup; the revision becomes that of the backup plus `revisions_ahead`. Leases and watches
    /// end.
    pub fn restore(&mut self, backup: Backup, revisions_ahead: u64) {
        self.keys = backup.keys;
        self.history = backup.history;
        self.revision = backup.revision + revisions_ahead;
        self.leases.clear();
        self.watches.clear();
    }

    /// Ends a lease and removes its keys.
    pub(super) fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> =
            self.keys.iter().filter(|(_, e)| e.lease == Some(id)).map(|(k, _)| k.clone()).collect();
        for key in keys {
            self.revision += 1;
            let rev = self.revision;
            self.remove(&key, rev);
        }
    }

    /// Body of a response with all changes after a revision.
    pub(super) fn changes_since(&self, since: u64) -> Value {
        let events: Vec<Value> = self
            .history
            .iter()
            .filter(|(revision, _, _)| *revision > since)
            .map(|(revision, key, value)| match value {
                Some(value) => json!({"write": key, "data": value, "stamp": revision}),
                None => json!({"remove": key, "stamp": revision}),
            })
            .collect();
        json!({"ledger_rev": self.revision, "events": events})
    }
}

pub(super) fn query_parameter(path: &str, name: &str) -> Option<String> {
    let query = path.split_once('?')?.1;
    query.split('&').find_map(|p| p.strip_prefix(&format!("{name}="))).map(|s| s.to_string())
}

impl Simulation {
    /// Ends expired leases and answers watches that have changes or have expired.
    pub(super) fn state_step(&mut self) {
        if self.state.outage {
            return;
        }
        let now = self.now;
        let expired: Vec<u64> = self
            .state
            .leases
            .iter()
            .filter(|(_, (_, end))| *end <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.state.end_lease(id);
        }
        let revision = self.state.revision;
        let stalled = self.state.watches_stalled;
        let (ready, open): (Vec<Watch>, Vec<Watch>) = self
            .state
            .watches
            .drain(..)
            .partition(|watch| (revision > watch.since && !stalled) || now >= watch.until);
        self.state.watches = open;
        for watch in ready {
            if self.nodes[watch.node].refused_by_state
                || self.nodes[watch.node].partitioned_from_state
            {
                continue;
            }
            let body = self.state.changes_since(watch.since).to_string().into_bytes();
            let delay = self.network_delay();
            self.send(
                delay,
                Message::Reply {
                    node: watch.node,
                    incarnation: watch.incarnation,
                    call: watch.call,
                    status: 200,
                    body,
                },
            );
        }
    }

    /// Ends an outage; every lease has its full duration again.
    pub fn end_outage(&mut self) {
        self.state.outage = false;
        for (duration_ms, end) in self.state.leases.values_mut() {
            *end = self.now + *duration_ms;
        }
    }

    pub(super) fn state_request(&mut self, request: &ControllerRequest) {
        let now = self.now;
        let &ControllerRequest { node, incarnation, call, .. } = request;
        let ControllerRequest { method, path, body, .. } = request;
        let state = &mut self.state;
        let (status, answer) = if state.outage || self.nodes[node].refused_by_state {
            (503, json!({}))
        } else if state.rate_limited {
            (429, json!({}))
        } else if path == "/commit" {
            state.commit(body)
        } else if path == "/holds" {
            let duration_ms =
                serde_json::from_slice::<Value>(body).unwrap()["life_ms"].as_u64().unwrap();
            let id = state.next_lease;
            state.next_lease += 1;
            state.leases.insert(id, (duration_ms, now + duration_ms));
            (200, json!({"tenancy": id}))
        } else if let Some(rest) = path.strip_prefix("/holds/") {
            let id: u64 = rest.trim_end_matches("/renew").parse().unwrap();
            if method == "DELETE" {
                state.end_lease(id);
                (200, json!({}))
            } else {
                match state.leases.get_mut(&id) {
                    Some((duration_ms, end)) => {
                        *end = now + *duration_ms;
                        (200, json!({"tenancy": id}))
                    }
                    None => (404, json!({})),
                }
            }
        } else if path.starts_with("/changes") {
            let since: u64 = query_parameter(path, "since").unwrap().parse().unwrap();
            let block_ms: u64 = query_parameter(path, "block_ms").unwrap().parse().unwrap();
            if since < state.compacted_revision {
                let delay = self.network_delay();
                return self.send(
                    delay,
                    Message::Reply { node, incarnation, call, status: 410, body: vec![] },
                );
            }
            if block_ms > 0 && state.revision <= since {
                state.watches.push(Watch { node, incarnation, call, since, until: now + block_ms });
                return;
            }
            (200, state.changes_since(since))
        } else if path.starts_with("/store?") {
            let prefix = query_parameter(path, "prefix").unwrap();
            let since = query_parameter(path, "since").unwrap_or_default();
            // Pages are small, so that listings take several.
            let all: Vec<(&String, &Entry)> =
                state.keys.iter().filter(|(k, _)| k.starts_with(&prefix) && **k > since).collect();
            let items: Vec<Value> = all
                .iter()
                .take(20)
                .map(|(k, e)| json!({"key": k, "data": e.data, "stamp": e.mod_revision}))
                .collect();
            (200, json!({"items": items, "has_next": all.len() > 20, "ledger_rev": state.revision}))
        } else {
            panic!("unexpected request to the state service: {method} {path}");
        };
        if self.rng.random_bool(self.state.lost_response_rate) {
            return;
        }
        let commit_delay = if path == "/commit" { self.state.commit_response_delay_ms } else { 0 };
        let delay = self.network_delay() + commit_delay;
        let body = match self.rng.random_bool(self.state.malformed_response_rate) {
            true => MALFORMED_BODIES[self.rng.random_range(0..MALFORMED_BODIES.len())].into(),
            false => answer.to_string().into_bytes(),
        };
        self.send(delay, Message::Reply { node, incarnation, call, status, body });
    }
}
