//! The client of the state service: the replica of the store, the reads that keep it up to date, and the
//! request rates and sizes that the service allows.
//!
//! [`StoreClient`] owns the replica and the state that tells how current it is. Other modules read both
//! through its methods and pass in what they learn, such as a revision or a committed transaction.
//! [`reads`] drives the initial listing, the watch and the fresh reads. A fresh read is a request for changes
//! that returns at once; it shows everything that was committed before it began.

mod reads;
mod waiters;

pub(super) use waiters::FreshReadWaiter;

use super::CallPurpose;
use crate::constants::{
    LOW_WRITE_BUDGET_SHARE, REQUEST_RATE_SHARE, STATE_RETRY_BACKOFF_MS, STATE_UNAVAILABLE_MS,
};
use crate::protocol::state::{Mutation, Transaction};
use crate::settings::StateLimits;
use crate::storage::hashing::HashKeys;
use crate::storage::limits::StoreLimits;
use crate::storage::records::JobId;
use crate::storage::replica::Replica;
use crate::storage::token_bucket::TokenBucket;

/// The state of the replica when a request was sent. The response counts only in the same epoch, and a
/// transaction that it reports as applied must have a higher revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ReadPoint {
    /// The epoch of the replica, see [`StoreClient::epoch`].
    pub(super) epoch: u32,
    /// The revision up to which the replica held all changes.
    pub(super) revision: u64,
}

/// The progress of the initial listing, which reads the whole store page by page.
#[derive(Debug, Default)]
struct Listing {
    in_flight: bool,
    /// Revision of the first page, from which the watch then follows changes.
    first_revision: Option<u64>,
    /// The last key of the last page received.
    last_key: Option<String>,
}

/// The fresh reads, and the requests that wait for them.
#[derive(Debug, Default)]
struct FreshReads {
    /// Waiters of the read in flight; none if no read is in flight.
    in_flight: Option<Vec<FreshReadWaiter>>,
    /// Waiters of the next read.
    waiting: Vec<FreshReadWaiter>,
    /// When the last read was sent.
    begun_at: u64,
}

/// A controller's view of the state service.
#[derive(Debug)]
pub(super) struct StoreClient {
    replica: Replica,
    limits: StoreLimits,
    read_budget: TokenBucket,
    write_budget: TokenBucket,
    /// The initial listing is complete, and changes are followed.
    loaded: bool,
    listing: Listing,
    /// A watch request is in flight.
    watching: bool,
    fresh_reads: FreshReads,
    /// No read is sent before this time: backoff after a failed one.
    retry_at: u64,
    /// When the state service last answered a request.
    last_served_at: Option<u64>,
    /// The state service rejected or did not answer the last request.
    last_request_failed: bool,
    /// When the last successful fresh read was sent.
    last_read_at: Option<u64>,
    /// Highest revision in any response of the store.
    max_revision: u64,
    /// How many times the replica was dropped; responses to requests of earlier epochs are ignored.
    epoch: u32,
}

impl StoreClient {
    /// A client with an empty replica. `write_share` is this controller's share of the write rate.
    pub(super) fn new(
        settings: &StateLimits,
        controllers: usize,
        write_share: f64,
        keys: HashKeys,
        now: u64,
    ) -> StoreClient {
        let limits = StoreLimits::new(settings);
        let reads_per_s = limits.requests_per_s * REQUEST_RATE_SHARE / controllers as f64;
        StoreClient {
            replica: Replica::new(keys),
            read_budget: TokenBucket::new(reads_per_s, now),
            write_budget: TokenBucket::new(limits.writes_per_s * write_share, now),
            limits,
            loaded: false,
            listing: Listing::default(),
            watching: false,
            fresh_reads: FreshReads::default(),
            retry_at: 0,
            last_served_at: None,
            last_request_failed: false,
            last_read_at: None,
            max_revision: 0,
            epoch: 0,
        }
    }

    /// The replica of the store.
    pub(super) fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Sizes and rates that the state service allows.
    pub(super) fn limits(&self) -> &StoreLimits {
        &self.limits
    }

    /// Halves the size limits: the service has rejected a transaction as malformed, so its limits must
    /// be lower than the settings say.
    pub(super) fn halve_size_limits(&mut self) {
        self.limits.halve_sizes();
    }

    /// The token bucket of this controller's writes.
    pub(super) fn write_budget(&self) -> &TokenBucket {
        &self.write_budget
    }

    /// Writes that this controller may make now.
    pub(super) fn writes_left(&mut self, now: u64) -> f64 {
        self.write_budget.available(now)
    }

    /// Whether the write budget is so low that writes which are not urgent should wait.
    pub(super) fn is_write_budget_low(&mut self, now: u64) -> bool {
        self.write_budget.available(now) < self.write_budget.burst() * LOW_WRITE_BUDGET_SHARE
    }

    /// Takes writes out of the budget if at least `reserve` remain; returns whether they were taken.
    pub(super) fn take_writes(&mut self, writes: f64, reserve: f64, now: u64) -> bool {
        self.write_budget.try_take(writes, reserve, now)
    }

    /// Sets this controller's rates to its share of what the state service allows all controllers.
    pub(super) fn set_rates(&mut self, controllers: usize, write_share: f64, now: u64) {
        self.write_budget.set_rate(self.limits.writes_per_s * write_share, now);
        let reads_per_s = self.limits.requests_per_s * REQUEST_RATE_SHARE / controllers as f64;
        self.read_budget.set_rate(reads_per_s, now);
    }

    /// Whether the initial listing is complete.
    pub(super) fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Whether the state service rejected or did not answer the last request.
    pub(super) fn last_request_failed(&self) -> bool {
        self.last_request_failed
    }

    /// Whether the state service answers, regardless of data that it may have lost.
    pub(super) fn is_reachable(&self, now: u64) -> bool {
        let answered_lately = self.last_served_at.is_some_and(|t| now - t < STATE_UNAVAILABLE_MS);
        self.loaded && !self.last_request_failed && answered_lately
    }

    /// When the state service last answered a request.
    pub(super) fn last_served_at(&self) -> Option<u64> {
        self.last_served_at
    }

    /// When the last successful fresh read was sent.
    pub(super) fn last_read_at(&self) -> Option<u64> {
        self.last_read_at
    }

    /// How many times the replica was dropped to load the store again.
    pub(super) fn epoch(&self) -> u32 {
        self.epoch
    }

    /// Highest revision in any response of the store.
    pub(super) fn max_revision(&self) -> u64 {
        self.max_revision
    }

    /// Records a revision that a response of the store has shown.
    pub(super) fn record_revision(&mut self, revision: u64) {
        self.max_revision = self.max_revision.max(revision);
    }

    /// Applies a committed transaction of our own to the replica ahead of the watch, and returns the
    /// jobs that changed.
    pub(super) fn apply_own_transaction(
        &mut self,
        transaction: &Transaction,
        revision: u64,
    ) -> Vec<JobId> {
        self.record_revision(revision);
        let mut changed_jobs = Vec::new();
        for mutation in &transaction.writes {
            match mutation {
                Mutation::Put { key, value, .. } => {
                    changed_jobs.extend(self.replica.write(key, value, revision));
                }
                Mutation::Remove { key } => self.replica.remove(key, revision),
            }
        }
        changed_jobs
    }

    /// Drops the replica and starts a new epoch: the whole store is listed again, and responses to
    /// earlier requests are ignored.
    pub(super) fn reset(&mut self) {
        self.replica = Replica::new(self.replica.hash_keys());
        self.epoch += 1;
        self.loaded = false;
        self.watching = false;
        self.listing = Listing::default();
        self.last_read_at = None;
        self.max_revision = 0;
    }

    /// Number of requests that wait for a fresh read.
    pub(super) fn waiting_requests(&self) -> usize {
        self.fresh_reads.waiting.len() + self.fresh_reads.in_flight.as_ref().map_or(0, Vec::len)
    }

    /// The present state of the replica, to be kept with a request that is sent now.
    pub(super) fn read_point(&self) -> ReadPoint {
        ReadPoint { epoch: self.epoch, revision: self.replica.revision }
    }

    fn back_off(&mut self, now: u64) {
        self.retry_at = now + STATE_RETRY_BACKOFF_MS;
    }
}

/// Whether a call goes to the state service.
pub(super) fn is_store_call(purpose: &CallPurpose) -> bool {
    !matches!(
        purpose,
        CallPurpose::Gossip { .. }
            | CallPurpose::Relay { .. }
            | CallPurpose::Image { .. }
            | CallPurpose::Catalog
            | CallPurpose::MachineList { .. }
            | CallPurpose::Rent(_)
            | CallPurpose::Delete(_)
    )
}
