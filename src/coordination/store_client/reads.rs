//! Reads of the store: the initial listing, the watch and fresh reads.

use super::{is_store_call, Listing, ReadPoint};
use crate::constants::{
    FOREIGN_LAYOUT_RECHECK_MS, FRESH_READ_INTERVAL_MIN_MS, FRESH_READ_PERIOD_MS, KEY_NAMESPACE,
    KEY_ROOT, LIST_PAGE_KEYS, LIST_TIMEOUT_MS, STATE_TIMEOUT_MS, WATCH_BLOCK_MS, WATCH_TIMEOUT_MS,
};
use crate::coordination::{CallPurpose, Controller, Service};
use crate::protocol::http::Response;
use crate::protocol::state::{
    changes_path, list_path, KeyPage, Transaction, WatchResponse, COMMIT_PATH,
};
use crate::storage::records::JobId;
use crate::storage::replica::Replica;

/// The outcome of a watch or a fresh read.
enum ReadOutcome {
    /// The changes were applied to the replica.
    Applied,
    /// The store is being listed again, or the request was sent in an earlier epoch.
    Superseded,
    /// There was no response, or none that could be used.
    Failed,
}

impl Controller {
    /// Records the status of the state service's response to a call; `None` if there was none.
    pub(in crate::coordination) fn record_store_response(
        &mut self,
        purpose: &CallPurpose,
        status: Option<u16>,
    ) {
        if !is_store_call(purpose) {
            return;
        }
        match status {
            // A watch that ends without a response says nothing about the service: it may stay open long.
            Some(503) | None if matches!(purpose, CallPurpose::Watch { .. }) => {}
            Some(429) => self.on_rate_limited(purpose),
            Some(503) | None => {
                if !self.store.last_request_failed {
                    log::info!(
                        "state service unavailable: users' requests are relayed or rejected"
                    );
                }
                self.store.last_request_failed = true;
            }
            Some(_) => {
                if self.store.last_request_failed {
                    log::info!("state service available again");
                }
                self.store.last_request_failed = false;
                self.store.last_served_at = Some(self.now.monotonic_ms);
            }
        }
    }

    /// Handles a response with status 429: empties the budget that the call was taken from.
    fn on_rate_limited(&mut self, purpose: &CallPurpose) {
        log::debug!("state service rate limit reached (429): request budget emptied");
        if self.store.limits.lower_rates() {
            log::info!("state service rates lowered: the next limits of the settings apply");
            self.set_state_rates();
        }
        let is_write = matches!(
            purpose,
            CallPurpose::LeaderTransaction { .. }
                | CallPurpose::Submit { .. }
                | CallPurpose::Cancel { .. }
        );
        let now = self.now.monotonic_ms;
        match is_write {
            true => self.store.write_budget.drain(now),
            false => self.store.read_budget.drain(now),
        }
    }

    /// Whether the state service answers and its data is trusted.
    pub(in crate::coordination) fn store_is_usable(&self) -> bool {
        self.store_is_reachable() && !self.recovery.is_suspended()
    }

    /// Whether the state service answers, regardless of data that it may have lost.
    pub(in crate::coordination) fn store_is_reachable(&self) -> bool {
        self.store.is_reachable(self.now.monotonic_ms)
    }

    /// Sends a request to the state service.
    pub(in crate::coordination) fn state_call(
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
            CallPurpose::List { .. }
            | CallPurpose::Watch { .. }
            | CallPurpose::FreshRead { .. } => {
                work.state_reads += 1;
            }
            _ if path == COMMIT_PATH => work.state_commits += 1,
            _ => {}
        }
        self.store.read_budget.try_take(1.0, f64::MIN, self.now.monotonic_ms);
        self.call(Service::State, method, path, body, timeout_ms, purpose);
    }

    /// Sends a transaction encoded as `body`. Its writes have been taken from the write budget.
    pub(in crate::coordination) fn transaction_call(
        &mut self,
        body: Vec<u8>,
        writes: usize,
        purpose: CallPurpose,
    ) {
        self.metrics.work.state_writes += writes as u64;
        self.state_call("POST", COMMIT_PATH.into(), body, STATE_TIMEOUT_MS, purpose);
    }

    /// Sends the reads that are due.
    pub(in crate::coordination) fn send_store_reads_if_due(&mut self) {
        if self.now.monotonic_ms < self.store.retry_at {
            return;
        }
        if !self.store.loaded {
            return self.list_next_page();
        }
        if !self.store.watching && !self.store.last_request_failed {
            self.open_watch();
        }
        self.send_fresh_read_if_due();
    }

    fn list_next_page(&mut self) {
        if self.store.listing.in_flight {
            return;
        }
        self.store.listing.in_flight = true;
        let path = list_path(KEY_NAMESPACE, self.store.listing.last_key.as_deref(), LIST_PAGE_KEYS);
        let purpose = CallPurpose::List { epoch: self.store.epoch };
        self.state_call("GET", path, vec![], LIST_TIMEOUT_MS, purpose);
    }

    fn open_watch(&mut self) {
        self.store.watching = true;
        let path = changes_path(KEY_NAMESPACE, self.store.replica.revision, WATCH_BLOCK_MS);
        let purpose = CallPurpose::Watch { read_point: self.store.read_point() };
        self.state_call("GET", path, vec![], WATCH_TIMEOUT_MS, purpose);
    }

    /// Sends a fresh read if a request waits for one, or if the last one was long ago.
    fn send_fresh_read_if_due(&mut self) {
        let now = self.now.monotonic_ms;
        let reads = &mut self.store.fresh_reads;
        let periodic = now >= reads.begun_at + FRESH_READ_PERIOD_MS;
        let wanted =
            !reads.waiting.is_empty() && now >= reads.begun_at + FRESH_READ_INTERVAL_MIN_MS;
        if reads.in_flight.is_some() || !(periodic || wanted) {
            return;
        }
        if !self.store.read_budget.try_take(0.0, 1.0, now) && !periodic {
            return;
        }
        reads.in_flight = Some(std::mem::take(&mut reads.waiting));
        reads.begun_at = now;
        let path = changes_path(KEY_NAMESPACE, self.store.replica.revision, 0);
        let purpose = CallPurpose::FreshRead { begun_at: now, read_point: self.store.read_point() };
        self.state_call("GET", path, vec![], STATE_TIMEOUT_MS, purpose);
    }

    pub(in crate::coordination) fn on_list_response(
        &mut self,
        epoch: u32,
        response: Option<Response>,
    ) {
        if epoch != self.store.epoch {
            return;
        }
        self.store.listing.in_flight = false;
        let Some(Response { status: 200, body }) = response else {
            return self.store.back_off(self.now.monotonic_ms);
        };
        let Ok(page) = serde_json::from_slice::<KeyPage>(&body) else {
            return self.store.back_off(self.now.monotonic_ms);
        };
        self.metrics.work.state_bytes_read += body.len() as u64;
        self.store.listing.first_revision.get_or_insert(page.revision);
        for item in &page.items {
            self.store.replica.apply_item(item);
            self.record_item(item);
        }
        if self.store.replica.foreign_layout_key.is_some() {
            return self.reject_foreign_layout();
        }
        if page.has_next {
            self.store.listing.last_key = page.items.last().map(|item| item.key.clone());
            return self.send_store_reads_if_due();
        }
        self.complete_listing(page.revision);
    }

    /// Drops the listing and checks again later: another version of the program may still use this
    /// store, and neither may touch the other's keys.
    fn reject_foreign_layout(&mut self) {
        let replica = &mut self.store.replica;
        let key = replica.foreign_layout_key.as_deref().unwrap_or_default();
        log::error!(
            "store layout not supported: {key} is not under {KEY_ROOT}; no requests are served"
        );
        *replica = Replica::new(replica.hash_keys());
        self.recovery.clear_image();
        self.store.listing = Listing::default();
        self.store.retry_at = self.now.monotonic_ms + FOREIGN_LAYOUT_RECHECK_MS;
    }

    /// Completes the initial listing, whose last page showed `revision`.
    fn complete_listing(&mut self, revision: u64) {
        // The pages were read at different revisions: the watch starts from that of the first one.
        let first_revision = self.store.listing.first_revision.take();
        self.store.replica.revision = first_revision.unwrap_or(revision);
        self.store.record_revision(revision);
        self.store.listing.last_key = None;
        self.store.loaded = true;
        let replica = &self.store.replica;
        if let Some(term) = replica.term.as_ref().map(|record| record.value.term) {
            self.membership.record_term(term);
        }
        self.cloud.restore_catalog(replica.catalog.as_ref().map(|record| &record.value));
        self.on_listing_complete();
        let replica = &self.store.replica;
        log::info!("store loaded: {} jobs at revision {}", replica.jobs.len(), replica.revision);
        self.send_store_reads_if_due();
    }

    /// Applies the response to a watch or a fresh read to the replica.
    fn apply_changes(&mut self, read_point: ReadPoint, response: &Option<Response>) -> ReadOutcome {
        if read_point.epoch != self.store.epoch {
            return ReadOutcome::Superseded;
        }
        match response {
            Some(Response { status: 200, body }) => self.apply_changes_body(read_point, body),
            Some(Response { status: 410, .. }) => {
                self.on_watch_too_old();
                ReadOutcome::Superseded
            }
            _ => ReadOutcome::Failed,
        }
    }

    fn apply_changes_body(&mut self, read_point: ReadPoint, body: &[u8]) -> ReadOutcome {
        let Ok(changes) = serde_json::from_slice::<WatchResponse>(body) else {
            return ReadOutcome::Failed;
        };
        let work = &mut self.metrics.work;
        work.state_bytes_read += body.len() as u64;
        work.state_reads_unchanged += u64::from(changes.events.is_empty());
        if !self.check_changes(read_point.revision, &changes) {
            return ReadOutcome::Superseded;
        }
        self.store.record_revision(changes.revision);
        let changed_jobs = self.store.replica.apply(&changes);
        self.on_jobs_changed(&changed_jobs);
        self.membership.record_term(self.store.replica.term());
        ReadOutcome::Applied
    }

    /// Handles a response with status 410: the service no longer keeps changes as old as the replica's revision.
    fn on_watch_too_old(&mut self) {
        log::info!("watch revision too old (410): the store is listed again");
        if self.recovery.is_enabled() {
            return self.suspect_data_loss(None);
        }
        self.reload_store();
        self.step_down("the replica was too far behind the store");
    }

    /// Applies a committed transaction of our own to the replica ahead of the watch.
    pub(in crate::coordination) fn apply_own_transaction(
        &mut self,
        transaction: &Transaction,
        revision: u64,
    ) {
        let changed_jobs = self.store.apply_own_transaction(transaction, revision);
        self.record_own_transaction(transaction, revision);
        self.on_jobs_changed(&changed_jobs);
    }

    /// Updates the leader's state after jobs have changed in the replica.
    pub(in crate::coordination) fn on_jobs_changed(&mut self, changed_jobs: &[JobId]) {
        let now = self.now.monotonic_ms;
        let Some(leader) = self.leader.as_mut().filter(|leader| leader.ready) else { return };
        for job_id in changed_jobs {
            leader.cluster.on_job_changed(&self.store.replica, job_id, now);
        }
        if !changed_jobs.is_empty() {
            leader.request_planning_pass(now);
        }
    }

    pub(in crate::coordination) fn on_watch_response(
        &mut self,
        read_point: ReadPoint,
        response: Option<Response>,
    ) {
        if read_point.epoch == self.store.epoch {
            self.store.watching = false;
        }
        if matches!(self.apply_changes(read_point, &response), ReadOutcome::Failed) {
            self.store.back_off(self.now.monotonic_ms);
        }
    }

    pub(in crate::coordination) fn on_fresh_read_response(
        &mut self,
        begun_at: u64,
        read_point: ReadPoint,
        response: Option<Response>,
    ) {
        let waiters = self.store.fresh_reads.in_flight.take().unwrap_or_default();
        match self.apply_changes(read_point, &response) {
            ReadOutcome::Applied => {
                self.store.last_read_at = Some(begun_at);
                self.drop_known_ended_jobs();
                self.on_fresh_read(begun_at);
                self.complete_waiters(waiters, begun_at);
            }
            outcome => {
                let rate_limited = matches!(response, Some(Response { status: 429, .. }));
                if matches!(outcome, ReadOutcome::Failed) && !rate_limited {
                    self.store.back_off(self.now.monotonic_ms);
                }
                waiters.into_iter().for_each(|waiter| self.fail_waiter(waiter));
            }
        }
        self.send_store_reads_if_due();
    }
}
