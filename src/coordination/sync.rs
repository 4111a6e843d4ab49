//! Following the state service: the first load, the watch, and zero-wait reads.

use super::{Asker, Controller, Purpose, Service, StoreQuestion};
use crate::constants::{
    FRESH_GAP_MS, KEY_FAMILY, KEY_ROOT, READ_PERIOD_MS, STATE_CALL_MS, STATE_FOREIGN_MS,
    STATE_LIST_LIMIT, STATE_LIST_MS, STATE_LOST_MS, STATE_RETRY_MS, WATCH_BLOCK_MS, WATCH_CALL_MS,
};
use crate::protocol::state::{changes_path, list_path, Changes, Page, COMMIT_PATH};
use crate::protocol::users::JobSpec;
use crate::storage::records::Name;
use crate::storage::replica::Replica;
use std::rc::Rc;

/// What waits for a read begun after it came.
#[derive(Debug)]
pub(crate) enum Waiter {
    Poll {
        asker: Asker,
        uid: String,
    },
    Cancel {
        asker: Asker,
        uid: String,
    },
    /// The answer if the job turns out to be unknown: status, reason.
    Submit {
        asker: Asker,
        uid: String,
        verdict: Option<(u16, String)>,
        spec: Option<Rc<JobSpec>>,
    },
    /// The leader's takeover or an unclear commit.
    Leader,
}

/// How far this controller is with the store.
#[derive(Debug, Default)]
pub(crate) struct Sync {
    pub loaded: bool,
    listing: bool,
    /// First revision of the listing and the key it has come to.
    list_rev: Option<u64>,
    list_since: Option<String>,
    watching: bool,
    fresh_running: Option<Vec<Waiter>>,
    fresh_waiting: Vec<Waiter>,
    fresh_begun: u64,
    not_before: u64,
    /// Begin of the last request that the state service answered.
    pub served_at: Option<u64>,
    /// The state service refused or did not answer the last request.
    pub refused: bool,
    /// Begin of the last read that brought the replica up to date.
    pub fresh_at: Option<u64>,
    /// Highest revision in any answer.
    pub max_rev: u64,
    /// How often the store was read anew: answers to questions of before count for nothing.
    pub epoch: u32,
}

impl Sync {
    /// The whole store is to be read again.
    pub(super) fn begin_anew(&mut self) {
        self.epoch += 1;
        self.loaded = false;
        self.listing = false;
        self.watching = false;
        self.list_rev = None;
        self.list_since = None;
        self.fresh_at = None;
        self.max_rev = 0;
    }
}

impl Controller {
    pub(super) fn is_state(&self, p: &Purpose) -> bool {
        !matches!(
            p,
            Purpose::Gossip { .. }
                | Purpose::Relay { .. }
                | Purpose::Image { .. }
                | Purpose::Catalog
                | Purpose::Hosts { .. }
                | Purpose::Rent(_)
                | Purpose::Delete(_)
        )
    }

    pub(super) fn state_answered(&mut self, purpose: &Purpose, status: Option<u16>) {
        match status {
            Some(503) | None if matches!(purpose, Purpose::Watch { .. }) => {}
            Some(429) => {
                log::debug!("state service: too many requests");
                if self.limits.lower_rates() {
                    log::info!("state service: the lower rates of the settings are in force");
                    self.set_state_rates();
                }
                if matches!(
                    purpose,
                    Purpose::LeaderCommit { .. } | Purpose::Submit { .. } | Purpose::Cancel { .. }
                ) {
                    self.writes.drain(self.now.mono);
                } else {
                    self.reads.drain(self.now.mono);
                }
            }
            Some(503) | None => {
                if !self.sync.refused {
                    log::info!("state service does not serve us");
                }
                self.sync.refused = true;
            }
            Some(_) => {
                if self.sync.refused {
                    log::info!("state service serves us");
                }
                self.sync.refused = false;
                self.sync.served_at = Some(self.now.mono);
            }
        }
    }

    /// Whether the state service serves us, as far as we know, and its data is to be trusted.
    pub(super) fn served(&self) -> bool {
        self.reaches_store() && !self.recovery.holds()
    }

    /// Whether the state service answers us, whatever it has lost.
    pub(super) fn reaches_store(&self) -> bool {
        self.sync.loaded
            && !self.sync.refused
            && self.sync.served_at.is_some_and(|t| self.now.mono - t < STATE_LOST_MS)
    }

    pub(super) fn state_call(
        &mut self,
        method: &'static str,
        path: String,
        body: Vec<u8>,
        timeout_ms: u64,
        purpose: Purpose,
    ) {
        let work = &mut self.metrics.work;
        work.state_calls += 1;
        match purpose {
            Purpose::List { .. } | Purpose::Watch { .. } | Purpose::Fresh { .. } => {
                work.state_reads += 1
            }
            _ if path == COMMIT_PATH => work.state_commits += 1,
            _ => {}
        }
        self.reads.take(1.0, f64::MIN, self.now.mono);
        self.call(Service::State, method, path, body, timeout_ms, purpose);
    }

    pub(super) fn sync_due(&mut self) {
        let now = self.now.mono;
        if now < self.sync.not_before {
            return;
        }
        if !self.sync.loaded {
            if !self.sync.listing {
                self.sync.listing = true;
                let path = list_path(KEY_FAMILY, self.sync.list_since.as_deref(), STATE_LIST_LIMIT);
                let purpose = Purpose::List { epoch: self.sync.epoch };
                self.state_call("GET", path, vec![], STATE_LIST_MS, purpose);
            }
            return;
        }
        if !self.sync.watching && !self.sync.refused {
            self.sync.watching = true;
            let path = changes_path(KEY_FAMILY, self.replica.rev, WATCH_BLOCK_MS);
            let purpose = Purpose::Watch { asked: self.store_question() };
            self.state_call("GET", path, vec![], WATCH_CALL_MS, purpose);
        }
        let periodic = now >= self.sync.fresh_begun + READ_PERIOD_MS;
        let wanted =
            !self.sync.fresh_waiting.is_empty() && now >= self.sync.fresh_begun + FRESH_GAP_MS;
        if self.sync.fresh_running.is_none() && (periodic || wanted) {
            if !self.reads.take(0.0, 1.0, now) && !periodic {
                return;
            }
            self.sync.fresh_running = Some(std::mem::take(&mut self.sync.fresh_waiting));
            self.sync.fresh_begun = now;
            let path = changes_path(KEY_FAMILY, self.replica.rev, 0);
            let purpose = Purpose::Fresh { begun: now, asked: self.store_question() };
            self.state_call("GET", path, vec![], STATE_CALL_MS, purpose);
        }
    }

    fn store_question(&self) -> StoreQuestion {
        StoreQuestion { epoch: self.sync.epoch, since: self.replica.rev }
    }

    pub(super) fn want_fresh(&mut self, w: Waiter) {
        self.sync.fresh_waiting.push(w);
        self.sync_due();
    }

    pub(super) fn waiters(&self) -> usize {
        self.sync.fresh_waiting.len() + self.sync.fresh_running.as_ref().map_or(0, |r| r.len())
    }

    fn retry_later(&mut self) {
        self.sync.not_before = self.now.mono + STATE_RETRY_MS;
    }

    pub(super) fn listed(&mut self, epoch: u32, reply: Option<(u16, Vec<u8>)>) {
        if epoch != self.sync.epoch {
            return;
        }
        self.sync.listing = false;
        let page: Option<Page> = match &reply {
            Some((200, body)) => serde_json::from_slice(body).ok(),
            _ => None,
        };
        let Some(page) = page else {
            return self.retry_later();
        };
        self.metrics.work.state_bytes_read +=
            reply.as_ref().map_or(0, |(_, body)| body.len() as u64);
        if self.sync.list_rev.is_none() {
            self.sync.list_rev = Some(page.ledger_rev);
        }
        for item in &page.items {
            self.replica.apply_item(item);
            self.note_item(item);
        }
        if let Some(key) = &self.replica.foreign {
            // Perhaps another version still runs: neither may touch what the other keeps.
            log::error!(
                "the store has keys of another layout than {}, like {key}: serving nobody",
                KEY_ROOT
            );
            self.replica = Replica::new(self.replica.hash_keys());
            self.recovery.forget_image();
            self.sync.list_rev = None;
            self.sync.list_since = None;
            self.sync.not_before = self.now.mono + STATE_FOREIGN_MS;
            return;
        }
        if page.has_next {
            self.sync.list_since = page.items.last().map(|i| i.key.clone());
            return self.sync_due();
        }
        // Pages are of different moments: changes since the first one follow by reads.
        self.replica.rev = self.sync.list_rev.take().unwrap_or(page.ledger_rev);
        self.sync.max_rev = self.sync.max_rev.max(page.ledger_rev);
        self.sync.list_since = None;
        self.sync.loaded = true;
        if let Some(t) = self.replica.term.as_ref().map(|t| t.value.term) {
            self.term_heard = self.term_heard.max(t);
        }
        if self.catalog.is_none() {
            self.catalog = self.replica.catalog.as_ref().map(|c| Rc::new(c.value.clone()));
        }
        self.note_listing_complete();
        log::info!("loaded: {} jobs at revision {}", self.replica.jobs.len(), self.replica.rev);
        self.sync_due();
    }

    /// Puts an answer into the replica; false if it has to be read anew.
    fn apply(&mut self, asked: StoreQuestion, reply: &Option<(u16, Vec<u8>)>) -> Option<bool> {
        if asked.epoch != self.sync.epoch {
            return Some(false);
        }
        match reply {
            Some((200, body)) => {
                let changes: Changes = serde_json::from_slice(body).ok()?;
                let work = &mut self.metrics.work;
                work.state_bytes_read += body.len() as u64;
                work.state_reads_unchanged += u64::from(changes.events.is_empty());
                if !self.note_changes(asked.since, &changes) {
                    return Some(false);
                }
                self.sync.max_rev = self.sync.max_rev.max(changes.ledger_rev);
                let touched = self.replica.apply(&changes);
                self.jobs_touched(&touched);
                self.term_heard = self.term_heard.max(self.replica.term());
                Some(true)
            }
            Some((410, _)) => {
                log::info!("too far behind, reading the store anew");
                if self.recovery.notices_losses() {
                    self.suspect(None);
                } else {
                    self.read_anew();
                    self.step_down("lost track of the store");
                }
                Some(false)
            }
            _ => None,
        }
    }

    pub(super) fn jobs_touched(&mut self, touched: &[Name]) {
        let now = self.now.mono;
        if let Some(l) = self.leader.as_mut().filter(|l| l.ready) {
            for uid in touched {
                l.cluster.job_changed(&self.replica, uid, now);
            }
            if !touched.is_empty() {
                l.plan_soon(now);
            }
        }
    }

    pub(super) fn watched(&mut self, asked: StoreQuestion, reply: Option<(u16, Vec<u8>)>) {
        if asked.epoch == self.sync.epoch {
            self.sync.watching = false;
        }
        if self.apply(asked, &reply).is_none() {
            self.retry_later();
        }
    }

    pub(super) fn fresh_read(
        &mut self,
        begun: u64,
        asked: StoreQuestion,
        reply: Option<(u16, Vec<u8>)>,
    ) {
        let waiters = self.sync.fresh_running.take().unwrap_or_default();
        match self.apply(asked, &reply) {
            Some(true) => {
                self.sync.fresh_at = Some(begun);
                self.forget_ended_by_peers();
                self.note_fresh_read(begun);
                for w in waiters {
                    // While we hold still nothing of users is judged by what the store shows.
                    match &w {
                        Waiter::Leader => self.fresh_done(w, begun),
                        _ if self.recovery.holds() => self.fresh_failed(w),
                        _ => self.fresh_done(w, begun),
                    }
                }
            }
            outcome => {
                if outcome.is_none() && !matches!(reply, Some((429, _))) {
                    self.retry_later();
                }
                for w in waiters {
                    self.fresh_failed(w);
                }
            }
        }
        self.sync_due();
    }

    fn fresh_done(&mut self, w: Waiter, begun: u64) {
        match w {
            Waiter::Poll { asker, uid } => self.answer_poll(asker, &uid),
            Waiter::Cancel { asker, uid } => self.cancel_known(asker, uid),
            Waiter::Submit { asker, uid, verdict, spec } => {
                self.submit_known(asker, uid, verdict, spec)
            }
            Waiter::Leader => self.leader_fresh(begun),
        }
    }

    fn fresh_failed(&mut self, w: Waiter) {
        match w {
            Waiter::Poll { asker, uid } => {
                self.relay_or_refuse(asker, "GET", format!("/v1/jobs/{uid}"), vec![])
            }
            Waiter::Cancel { asker, uid } => {
                self.relay_or_refuse(asker, "POST", format!("/v1/jobs/{uid}/withdraw"), vec![])
            }
            Waiter::Submit { asker, spec, .. } => match spec {
                Some(spec) => {
                    let body = serde_json::to_vec(&*spec).unwrap_or_default();
                    self.relay_or_refuse(asker, "POST", "/v1/jobs".into(), body)
                }
                None => self.unavailable(asker),
            },
            Waiter::Leader => self.leader_wants_fresh(),
        }
    }

    /// The leader needs a read that has not begun yet; one serves all who ask for it.
    pub(super) fn leader_wants_fresh(&mut self) {
        let waits = self.sync.fresh_waiting.iter().any(|w| matches!(w, Waiter::Leader));
        if self.leader.is_some() && !waits {
            self.sync.fresh_waiting.push(Waiter::Leader);
        }
    }
}
