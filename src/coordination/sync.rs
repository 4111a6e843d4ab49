//! Following the state service: the first load, the watch, and zero-wait reads.

use super::{CallPurpose, Controller, Requester, Service, StoreQuestion};
use crate::constants::{
    FRESH_GAP_MS, KEY_FAMILY, KEY_ROOT, READ_PERIOD_MS, STATE_CALL_MS, STATE_FOREIGN_MS,
    STATE_LIST_LIMIT, STATE_LIST_MS, STATE_LOST_MS, STATE_RETRY_MS, WATCH_BLOCK_MS, WATCH_CALL_MS,
};
use crate::protocol::state::{changes_path, list_path, KeyPage, WatchResponse, COMMIT_PATH};
use crate::protocol::users::JobSpec;
use crate::storage::records::Name;
use crate::storage::replica::Replica;
use std::rc::Rc;

/// What waits for a read begun after it came.
#[derive(Debug)]
pub(crate) enum FreshReadWaiter {
    Poll {
        requester: Requester,
        uid: String,
    },
    Cancel {
        requester: Requester,
        uid: String,
    },
    /// The answer if the job turns out to be unknown: status, reason.
    Submit {
        requester: Requester,
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
    fresh_running: Option<Vec<FreshReadWaiter>>,
    fresh_waiting: Vec<FreshReadWaiter>,
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
    pub(super) fn is_store_call(&self, p: &CallPurpose) -> bool {
        !matches!(
            p,
            CallPurpose::Gossip { .. }
                | CallPurpose::Relay { .. }
                | CallPurpose::Image { .. }
                | CallPurpose::Catalog
                | CallPurpose::Hosts { .. }
                | CallPurpose::Rent(_)
                | CallPurpose::Delete(_)
        )
    }

    pub(super) fn note_store_response(&mut self, purpose: &CallPurpose, status: Option<u16>) {
        match status {
            Some(503) | None if matches!(purpose, CallPurpose::Watch { .. }) => {}
            Some(429) => {
                log::debug!("state service: too many requests");
                if self.limits.lower_rates() {
                    log::info!("state service: the lower rates of the settings are in force");
                    self.set_state_rates();
                }
                if matches!(
                    purpose,
                    CallPurpose::LeaderCommit { .. }
                        | CallPurpose::Submit { .. }
                        | CallPurpose::Cancel { .. }
                ) {
                    self.write_budget.drain(self.now.monotonic_ms);
                } else {
                    self.read_budget.drain(self.now.monotonic_ms);
                }
            }
            Some(503) | None => {
                if !self.store_sync.refused {
                    log::info!("state service does not serve us");
                }
                self.store_sync.refused = true;
            }
            Some(_) => {
                if self.store_sync.refused {
                    log::info!("state service serves us");
                }
                self.store_sync.refused = false;
                self.store_sync.served_at = Some(self.now.monotonic_ms);
            }
        }
    }

    /// Whether the state service serves us, as far as we know, and its data is to be trusted.
    pub(super) fn store_is_usable(&self) -> bool {
        self.store_is_reachable() && !self.recovery.holds()
    }

    /// Whether the state service answers us, whatever it has lost.
    pub(super) fn store_is_reachable(&self) -> bool {
        self.store_sync.loaded
            && !self.store_sync.refused
            && self.store_sync.served_at.is_some_and(|t| self.now.monotonic_ms - t < STATE_LOST_MS)
    }

    pub(super) fn state_call(
        &mut self,
        method: &'static str,
        path: String,
        body: Vec<u8>,
        timeout_ms: u64,
        purpose: CallPurpose,
    ) {
        let work = &mut self.metrics.work;
        work.state_calls += 1;
        match purpose {
            CallPurpose::List { .. } | CallPurpose::Watch { .. } | CallPurpose::Fresh { .. } => {
                work.state_reads += 1
            }
            _ if path == COMMIT_PATH => work.state_commits += 1,
            _ => {}
        }
        self.read_budget.take(1.0, f64::MIN, self.now.monotonic_ms);
        self.call(Service::State, method, path, body, timeout_ms, purpose);
    }

    pub(super) fn sync_due(&mut self) {
        let now = self.now.monotonic_ms;
        if now < self.store_sync.not_before {
            return;
        }
        if !self.store_sync.loaded {
            if !self.store_sync.listing {
                self.store_sync.listing = true;
                let path =
                    list_path(KEY_FAMILY, self.store_sync.list_since.as_deref(), STATE_LIST_LIMIT);
                let purpose = CallPurpose::List { epoch: self.store_sync.epoch };
                self.state_call("GET", path, vec![], STATE_LIST_MS, purpose);
            }
            return;
        }
        if !self.store_sync.watching && !self.store_sync.refused {
            self.store_sync.watching = true;
            let path = changes_path(KEY_FAMILY, self.replica.revision, WATCH_BLOCK_MS);
            let purpose = CallPurpose::Watch { asked: self.store_question() };
            self.state_call("GET", path, vec![], WATCH_CALL_MS, purpose);
        }
        let periodic = now >= self.store_sync.fresh_begun + READ_PERIOD_MS;
        let wanted = !self.store_sync.fresh_waiting.is_empty()
            && now >= self.store_sync.fresh_begun + FRESH_GAP_MS;
        if self.store_sync.fresh_running.is_none() && (periodic || wanted) {
            if !self.read_budget.take(0.0, 1.0, now) && !periodic {
                return;
            }
            self.store_sync.fresh_running =
                Some(std::mem::take(&mut self.store_sync.fresh_waiting));
            self.store_sync.fresh_begun = now;
            let path = changes_path(KEY_FAMILY, self.replica.revision, 0);
            let purpose = CallPurpose::Fresh { begun: now, asked: self.store_question() };
            self.state_call("GET", path, vec![], STATE_CALL_MS, purpose);
        }
    }

    fn store_question(&self) -> StoreQuestion {
        StoreQuestion { epoch: self.store_sync.epoch, since: self.replica.revision }
    }

    pub(super) fn request_fresh_read(&mut self, w: FreshReadWaiter) {
        self.store_sync.fresh_waiting.push(w);
        self.sync_due();
    }

    pub(super) fn waiters(&self) -> usize {
        self.store_sync.fresh_waiting.len()
            + self.store_sync.fresh_running.as_ref().map_or(0, |r| r.len())
    }

    fn retry_later(&mut self) {
        self.store_sync.not_before = self.now.monotonic_ms + STATE_RETRY_MS;
    }

    pub(super) fn on_list_response(&mut self, epoch: u32, reply: Option<(u16, Vec<u8>)>) {
        if epoch != self.store_sync.epoch {
            return;
        }
        self.store_sync.listing = false;
        let page: Option<KeyPage> = match &reply {
            Some((200, body)) => serde_json::from_slice(body).ok(),
            _ => None,
        };
        let Some(page) = page else {
            return self.retry_later();
        };
        self.metrics.work.state_bytes_read +=
            reply.as_ref().map_or(0, |(_, body)| body.len() as u64);
        if self.store_sync.list_rev.is_none() {
            self.store_sync.list_rev = Some(page.revision);
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
            self.store_sync.list_rev = None;
            self.store_sync.list_since = None;
            self.store_sync.not_before = self.now.monotonic_ms + STATE_FOREIGN_MS;
            return;
        }
        if page.has_next {
            self.store_sync.list_since = page.items.last().map(|i| i.key.clone());
            return self.sync_due();
        }
        // Pages are of different moments: changes since the first one follow by reads.
        self.replica.revision = self.store_sync.list_rev.take().unwrap_or(page.revision);
        self.store_sync.max_rev = self.store_sync.max_rev.max(page.revision);
        self.store_sync.list_since = None;
        self.store_sync.loaded = true;
        if let Some(t) = self.replica.term.as_ref().map(|t| t.value.term) {
            self.highest_term = self.highest_term.max(t);
        }
        if self.catalog.is_none() {
            self.catalog = self.replica.catalog.as_ref().map(|c| Rc::new(c.value.clone()));
        }
        self.note_listing_complete();
        log::info!(
            "loaded: {} jobs at revision {}",
            self.replica.jobs.len(),
            self.replica.revision
        );
        self.sync_due();
    }

    /// Puts an answer into the replica; false if it has to be read anew.
    fn apply(&mut self, asked: StoreQuestion, reply: &Option<(u16, Vec<u8>)>) -> Option<bool> {
        if asked.epoch != self.store_sync.epoch {
            return Some(false);
        }
        match reply {
            Some((200, body)) => {
                let changes: WatchResponse = serde_json::from_slice(body).ok()?;
                let work = &mut self.metrics.work;
                work.state_bytes_read += body.len() as u64;
                work.state_reads_unchanged += u64::from(changes.events.is_empty());
                if !self.note_changes(asked.since, &changes) {
                    return Some(false);
                }
                self.store_sync.max_rev = self.store_sync.max_rev.max(changes.revision);
                let touched = self.replica.apply(&changes);
                self.on_jobs_changed(&touched);
                self.highest_term = self.highest_term.max(self.replica.term());
                Some(true)
            }
            Some((410, _)) => {
                log::info!("too far behind, reading the store anew");
                if self.recovery.notices_losses() {
                    self.suspect_store_loss(None);
                } else {
                    self.read_anew();
                    self.step_down("lost track of the store");
                }
                Some(false)
            }
            _ => None,
        }
    }

    pub(super) fn on_jobs_changed(&mut self, touched: &[Name]) {
        let now = self.now.monotonic_ms;
        if let Some(leader) = self.leader.as_mut().filter(|leader| leader.ready) {
            for uid in touched {
                leader.cluster.job_changed(&self.replica, uid, now);
            }
            if !touched.is_empty() {
                leader.plan_soon(now);
            }
        }
    }

    pub(super) fn on_watch_response(
        &mut self,
        asked: StoreQuestion,
        reply: Option<(u16, Vec<u8>)>,
    ) {
        if asked.epoch == self.store_sync.epoch {
            self.store_sync.watching = false;
        }
        if self.apply(asked, &reply).is_none() {
            self.retry_later();
        }
    }

    pub(super) fn on_fresh_read_response(
        &mut self,
        begun: u64,
        asked: StoreQuestion,
        reply: Option<(u16, Vec<u8>)>,
    ) {
        let waiters = self.store_sync.fresh_running.take().unwrap_or_default();
        match self.apply(asked, &reply) {
            Some(true) => {
                self.store_sync.fresh_at = Some(begun);
                self.forget_ended_by_peers();
                self.note_fresh_read(begun);
                for w in waiters {
                    // While we hold still nothing of users is judged by what the store shows.
                    match &w {
                        FreshReadWaiter::Leader => self.complete_waiter(w, begun),
                        _ if self.recovery.holds() => self.fail_waiter(w),
                        _ => self.complete_waiter(w, begun),
                    }
                }
            }
            outcome => {
                if outcome.is_none() && !matches!(reply, Some((429, _))) {
                    self.retry_later();
                }
                for w in waiters {
                    self.fail_waiter(w);
                }
            }
        }
        self.sync_due();
    }

    fn complete_waiter(&mut self, w: FreshReadWaiter, begun: u64) {
        match w {
            FreshReadWaiter::Poll { requester, uid } => self.answer_poll(requester, &uid),
            FreshReadWaiter::Cancel { requester, uid } => self.cancel_known(requester, uid),
            FreshReadWaiter::Submit { requester, uid, verdict, spec } => {
                self.submit_known(requester, uid, verdict, spec)
            }
            FreshReadWaiter::Leader => self.on_leader_read(begun),
        }
    }

    fn fail_waiter(&mut self, w: FreshReadWaiter) {
        match w {
            FreshReadWaiter::Poll { requester, uid } => {
                self.relay_or_refuse(requester, "GET", format!("/v1/jobs/{uid}"), vec![])
            }
            FreshReadWaiter::Cancel { requester, uid } => {
                self.relay_or_refuse(requester, "POST", format!("/v1/jobs/{uid}/withdraw"), vec![])
            }
            FreshReadWaiter::Submit { requester, spec, .. } => match spec {
                Some(spec) => {
                    let body = serde_json::to_vec(&*spec).unwrap_or_default();
                    self.relay_or_refuse(requester, "POST", "/v1/jobs".into(), body)
                }
                None => self.unavailable(requester),
            },
            FreshReadWaiter::Leader => self.request_leader_read(),
        }
    }

    /// The leader needs a read that has not begun yet; one serves all who ask for it.
    pub(super) fn request_leader_read(&mut self) {
        let waits =
            self.store_sync.fresh_waiting.iter().any(|w| matches!(w, FreshReadWaiter::Leader));
        if self.leader.is_some() && !waits {
            self.store_sync.fresh_waiting.push(FreshReadWaiter::Leader);
        }
    }
}
