//! The fake state service: keys, leases, watches, and what can go wrong with them.

use super::*;

#[derive(Clone)]
pub(super) struct Entry {
    pub(super) data: Value,
    pub(super) stamp: u64,
    pub(super) hold: Option<u64>,
}

pub(super) struct Watch {
    pub(super) node: usize,
    pub(super) life: u64,
    pub(super) call: u64,
    pub(super) since: u64,
    pub(super) until: u64,
}

/// What the state service held at some time.
#[derive(Clone, Default)]
pub struct Backup {
    keys: BTreeMap<String, Entry>,
    log: Vec<(u64, String, Option<Value>)>,
    rev: u64,
}

/// The state service.
#[derive(Default)]
pub struct State {
    pub(super) keys: BTreeMap<String, Entry>,
    pub rev: u64,
    /// Changes up to this revision are in the record of the run.
    pub(super) recorded_rev: u64,
    /// Puts and deletes carried out.
    pub changes: usize,
    pub(super) log: Vec<(u64, String, Option<Value>)>,
    pub(super) holds: BTreeMap<u64, (u64, u64)>,
    pub(super) next_hold: u64,
    pub(super) watches: Vec<Watch>,
    pub outage: bool,
    /// Share of commits that are carried out late, and of answers that are lost.
    pub late_commits: f64,
    /// Share of commits that get no answer and are carried out 2 to 12 s later.
    pub late_writes: f64,
    pub lost_answers: f64,
    /// Watches tell nothing before their time is up.
    pub slow_watches: bool,
    /// Milliseconds by which answers to commits are late.
    pub slow_commits: u64,
    /// Milliseconds by which the next submission's commit is late.
    pub slow_once: u64,
    /// Changes up to this revision are not kept any more.
    pub forgot: u64,
    /// Answers 429.
    pub busy: bool,
    /// Share of answers that are nonsense.
    pub nonsense: f64,
    /// Bytes of a value and changes of a transaction, once they are lower than in the settings. What is
    /// larger is refused.
    pub lowered: Option<(usize, usize)>,
    /// The last backup that was kept.
    pub(super) kept: Backup,
    /// Transactions that were refused for their size.
    pub too_large: usize,
}

impl State {
    /// Puts a key there behind the controllers' backs.
    pub fn put(&mut self, key: &str, data: Value) {
        self.rev += 1;
        self.keys.insert(key.into(), Entry { data: data.clone(), stamp: self.rev, hold: None });
        self.log.push((self.rev, key.into(), Some(data)));
    }

    pub fn get(&self, key: &str) -> Option<&Value> {
        self.keys.get(key).map(|e| &e.data)
    }

    /// Revision of a key's last change.
    pub fn stamp(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |entry| entry.stamp)
    }

    pub fn under(&self, prefix: &str) -> Vec<(&String, &Value)> {
        self.keys.iter().filter(|(k, _)| k.starts_with(prefix)).map(|(k, e)| (k, &e.data)).collect()
    }

    pub(super) fn remove(&mut self, key: &str, rev: u64) {
        if self.keys.remove(key).is_some() {
            self.log.push((rev, key.to_string(), None));
        }
    }

    pub(super) fn commit(&mut self, body: &[u8]) -> (u16, Value) {
        let Ok(c) = serde_json::from_slice::<Value>(body) else {
            return (400, json!({}));
        };
        let failed: Vec<&str> = c["if"]
            .as_array()
            .into_iter()
            .flatten()
            .filter(|i| {
                let key = i["key"].as_str().unwrap();
                self.keys.get(key).map_or(0, |e| e.stamp) != i["stamp"].as_u64().unwrap()
            })
            .map(|i| i["key"].as_str().unwrap())
            .collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "ledger_rev": self.rev}));
        }
        let writes = c["writes"].as_array().cloned().unwrap_or_default();
        assert!(writes.len() <= 8, "too many changes in one transaction");
        if let Some((value_bytes, ops)) = self.lowered {
            let large = |w: &Value| w["data"].to_string().len() > value_bytes;
            if writes.len() > ops || writes.iter().any(large) {
                self.too_large += 1;
                return (400, json!({"error": "too large"}));
            }
        }
        for w in &writes {
            if let Some(h) = w["tenancy"].as_u64() {
                if !self.holds.contains_key(&h) {
                    return (400, json!({"error": "no such lease"}));
                }
            }
        }
        self.rev += 1;
        self.changes += writes.len();
        let rev = self.rev;
        for w in writes {
            if let Some(key) = w["write"].as_str() {
                assert!(w["data"].to_string().len() <= 4096, "value too large: {key}");
                let e = Entry { data: w["data"].clone(), stamp: rev, hold: w["tenancy"].as_u64() };
                self.keys.insert(key.to_string(), e);
                self.log.push((rev, key.to_string(), Some(w["data"].clone())));
            } else {
                self.remove(w["remove"].as_str().unwrap(), rev);
            }
        }
        (200, json!({"ledger_rev": rev}))
    }

    /// All data is lost.
    pub fn wipe(&mut self) {
        self.restore(Backup::default(), 0);
    }

    /// Takes the backup that [`State::restore_kept`] goes back to.
    pub fn keep_backup(&mut self) {
        self.kept = self.backup();
    }

    /// Goes back to the backup that was kept.
    pub fn restore_kept(&mut self, rev_past: u64) {
        self.restore(self.kept.clone(), rev_past);
    }

    /// What a backup taken now would hold.
    pub fn backup(&self) -> Backup {
        let keys = self.keys.iter().filter(|(_, entry)| entry.hold.is_none());
        let keys = keys.map(|(key, entry)| (key.clone(), entry.clone())).collect();
        Backup { keys, log: self.log.clone(), rev: self.rev }
    }

    /// The data becomes that of a backup, with revisions that go on from `rev_past` further. Leases
    /// and watches end.
    pub fn restore(&mut self, backup: Backup, rev_past: u64) {
        self.keys = backup.keys;
        self.log = backup.log;
        self.rev = backup.rev + rev_past;
        self.holds.clear();
        self.watches.clear();
    }

    pub(super) fn end_hold(&mut self, id: u64) {
        self.holds.remove(&id);
        let keys: Vec<String> =
            self.keys.iter().filter(|(_, e)| e.hold == Some(id)).map(|(k, _)| k.clone()).collect();
        for k in keys {
            self.rev += 1;
            let rev = self.rev;
            self.remove(&k, rev);
        }
    }

    pub(super) fn changes(&self, since: u64) -> Value {
        let events: Vec<Value> = self
            .log
            .iter()
            .filter(|(r, _, _)| *r > since)
            .map(|(r, k, d)| match d {
                Some(d) => json!({"write": k, "data": d, "stamp": r}),
                None => json!({"remove": k, "stamp": r}),
            })
            .collect();
        json!({"ledger_rev": self.rev, "events": events})
    }
}

pub(super) fn query(path: &str, name: &str) -> Option<String> {
    let q = path.split_once('?')?.1;
    q.split('&').find_map(|p| p.strip_prefix(&format!("{name}="))).map(|s| s.to_string())
}

impl World {
    pub(super) fn state_step(&mut self) {
        if self.state.outage {
            return;
        }
        let now = self.now;
        let over: Vec<u64> =
            self.state.holds.iter().filter(|(_, (_, end))| *end <= now).map(|(h, _)| *h).collect();
        for h in over {
            self.state.end_hold(h);
        }
        let rev = self.state.rev;
        let slow = self.state.slow_watches;
        let (ready, open): (Vec<Watch>, Vec<Watch>) =
            self.state.watches.drain(..).partition(|w| (rev > w.since && !slow) || now >= w.until);
        self.state.watches = open;
        for w in ready {
            if self.nodes[w.node].refused || self.nodes[w.node].cut_state {
                continue;
            }
            let body = self.state.changes(w.since).to_string().into_bytes();
            let d = self.hop();
            self.send(
                d,
                Msg::Reply { node: w.node, life: w.life, call: w.call, status: 200, body },
            );
        }
    }

    /// Ends an outage: every lease has its full time again.
    pub fn end_outage(&mut self) {
        self.state.outage = false;
        for (life, end) in self.state.holds.values_mut() {
            *end = self.now + *life;
        }
    }

    pub(super) fn state_request(
        &mut self,
        node: usize,
        life: u64,
        call: u64,
        method: &str,
        path: &str,
        body: &[u8],
    ) {
        let now = self.now;
        let s = &mut self.state;
        let (status, v) = if s.outage || self.nodes[node].refused {
            (503, json!({}))
        } else if s.busy {
            (429, json!({}))
        } else if path == "/commit" {
            s.commit(body)
        } else if path == "/holds" {
            let life_ms =
                serde_json::from_slice::<Value>(body).unwrap()["life_ms"].as_u64().unwrap();
            let id = s.next_hold;
            s.next_hold += 1;
            s.holds.insert(id, (life_ms, now + life_ms));
            (200, json!({"tenancy": id}))
        } else if let Some(rest) = path.strip_prefix("/holds/") {
            let id: u64 = rest.trim_end_matches("/renew").parse().unwrap();
            if method == "DELETE" {
                s.end_hold(id);
                (200, json!({}))
            } else {
                match s.holds.get_mut(&id) {
                    Some((life, end)) => {
                        *end = now + *life;
                        (200, json!({"tenancy": id}))
                    }
                    None => (404, json!({})),
                }
            }
        } else if path.starts_with("/changes") {
            let since: u64 = query(path, "since").unwrap().parse().unwrap();
            let block: u64 = query(path, "block_ms").unwrap().parse().unwrap();
            if since < s.forgot {
                let d = self.hop();
                return self.send(d, Msg::Reply { node, life, call, status: 410, body: vec![] });
            }
            if block > 0 && s.rev <= since {
                s.watches.push(Watch { node, life, call, since, until: now + block });
                return;
            }
            (200, s.changes(since))
        } else if path.starts_with("/store?") {
            let prefix = query(path, "prefix").unwrap();
            let since = query(path, "since").unwrap_or_default();
            // Small pages, so that listings take several.
            let all: Vec<(&String, &Entry)> =
                s.keys.iter().filter(|(k, _)| k.starts_with(&prefix) && **k > since).collect();
            let items: Vec<Value> = all
                .iter()
                .take(20)
                .map(|(k, e)| json!({"key": k, "data": e.data, "stamp": e.stamp}))
                .collect();
            (200, json!({"items": items, "has_next": all.len() > 20, "ledger_rev": s.rev}))
        } else {
            panic!("unexpected request {method} {path}");
        };
        if self.rng.random_bool(self.state.lost_answers) {
            return;
        }
        let late = if path == "/commit" { self.state.slow_commits } else { 0 };
        let d = self.hop() + late;
        let body = match self.rng.random_bool(self.state.nonsense) {
            true => NONSENSE[self.rng.random_range(0..NONSENSE.len())].into(),
            false => v.to_string().into_bytes(),
        };
        self.send(d, Msg::Reply { node, life, call, status, body });
    }
}
