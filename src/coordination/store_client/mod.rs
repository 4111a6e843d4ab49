//! The client of the state service: a controller's copy of the store, how it is kept up, and the request
//! rates and sizes that the service allows.
//!
//! [`StoreClient`] owns the copy and everything that tells how far it can be trusted. No other module
//! changes them: they ask here, and give what they know (a revision, a committed transaction) to a method.
//! [`reads`] drives the first listing, the watch and the zero-wait reads.

mod reads;
mod waiters;

pub(super) use waiters::FreshReadWaiter;

use super::CallPurpose;
use crate::constants::{
    SHORT_OF_WRITES_SHARE, STATE_RETRY_BACKOFF_MS, STATE_RPS_SHARE, STATE_UNAVAILABLE_MS,
};
use crate::protocol::state::{Mutation, Transaction};
use crate::settings::StateLimits;
use crate::storage::hashing::HashKeys;
use crate::storage::limits::StoreLimits;
use crate::storage::records::JobId;
use crate::storage::replica::Replica;
use crate::storage::token_bucket::TokenBucket;

/// How far the store had been read when a request went out. Its answer counts only in the same
/// epoch, and must show a later revision if it names a commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ReadPoint {
    /// The read of the whole store that it belongs to, see [`StoreClient::epoch`].
    pub(super) epoch: u32,
    /// The revision up to which all changes were in.
    pub(super) revision: u64,
}

/// The progress of reading the whole store, page by page.
#[derive(Debug, Default)]
struct Listing {
    in_flight: bool,
    /// Revision of the first page: changes since then follow by reads.
    first_revision: Option<u64>,
    /// The key that the last page has come to.
    last_key: Option<String>,
}

/// The zero-wait reads, and who waits for them.
#[derive(Debug, Default)]
struct FreshReads {
    /// Waiters of the read that is under way; none if there is none.
    running: Option<Vec<FreshReadWaiter>>,
    /// Waiters of the next one.
    waiting: Vec<FreshReadWaiter>,
    /// When the last one began.
    begun_at: u64,
}

/// A controller's view of the state service.
#[derive(Debug)]
pub(super) struct StoreClient {
    replica: Replica,
    limits: StoreLimits,
    read_budget: TokenBucket,
    write_budget: TokenBucket,
    /// The whole store has been read, and changes are followed.
    loaded: bool,
    listing: Listing,
    /// A watch is open.
    watching: bool,
    fresh_reads: FreshReads,
    /// No read is sent before this time.
    retry_at: u64,
    /// Begin of the last request that the state service answered.
    last_served_at: Option<u64>,
    /// The state service refused or did not answer the last request.
    refused: bool,
    /// Begin of the last read that brought the replica up to date.
    last_read_at: Option<u64>,
    /// Highest revision in any answer.
    max_revision: u64,
    /// How often the store was read anew: answers to questions of before count for nothing.
    epoch: u32,
}

impl StoreClient {
    /// A client that has read nothing yet, with a follower's share of the write rate.
    pub(super) fn new(
        settings: &StateLimits,
        controllers: usize,
        write_share: f64,
        keys: HashKeys,
        now: u64,
    ) -> StoreClient {
        let limits = StoreLimits::new(settings);
        let reads_per_s = limits.requests_per_s * STATE_RPS_SHARE / controllers as f64;
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
            refused: false,
            last_read_at: None,
            max_revision: 0,
            epoch: 0,
        }
    }

    /// The copy of the store.
    pub(super) fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Sizes and rates that the state service allows.
    pub(super) fn limits(&self) -> &StoreLimits {
        &self.limits
    }

    /// The service has refused a transaction as malformed: its size limits must be lower.
    pub(super) fn halve_size_limits(&mut self) {
        self.limits.halve_sizes();
    }

    /// The rate of this controller's writes.
    pub(super) fn write_budget(&self) -> &TokenBucket {
        &self.write_budget
    }

    /// Writes that are left to this controller now.
    pub(super) fn writes_left(&mut self, now: u64) -> f64 {
        self.write_budget.left(now)
    }

    /// Whether few of the writes of a burst are left: what can wait should.
    pub(super) fn writes_are_short(&mut self, now: u64) -> bool {
        self.write_budget.left(now) < self.write_budget.burst() * SHORT_OF_WRITES_SHARE
    }

    /// Takes writes out of the budget if that leaves `keep`; false if it does not.
    pub(super) fn take_writes(&mut self, writes: f64, keep: f64, now: u64) -> bool {
        self.write_budget.take(writes, keep, now)
    }

    /// Sets this controller's part of what the state service allows all of them.
    pub(super) fn set_rates(&mut self, controllers: usize, write_share: f64, now: u64) {
        self.write_budget.set_rate(self.limits.writes_per_s * write_share, now);
        let reads_per_s = self.limits.requests_per_s * STATE_RPS_SHARE / controllers as f64;
        self.read_budget.set_rate(reads_per_s, now);
    }

    /// Whether the whole store has been read.
    pub(super) fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Whether the state service refused or did not answer the last request.
    pub(super) fn is_refused(&self) -> bool {
        self.refused
    }

    /// Whether the state service answers us, whatever it may have lost.
    pub(super) fn is_reachable(&self, now: u64) -> bool {
        let answered_lately = self.last_served_at.is_some_and(|t| now - t < STATE_UNAVAILABLE_MS);
        self.loaded && !self.refused && answered_lately
    }

    /// Begin of the last request that the state service answered.
    pub(super) fn last_served_at(&self) -> Option<u64> {
        self.last_served_at
    }

    /// Begin of the last read that brought the replica up to date.
    pub(super) fn last_read_at(&self) -> Option<u64> {
        self.last_read_at
    }

    /// How often the store was read anew.
    pub(super) fn epoch(&self) -> u32 {
        self.epoch
    }

    /// Highest revision in any answer of the store.
    pub(super) fn max_revision(&self) -> u64 {
        self.max_revision
    }

    /// An answer of the store has shown this revision.
    pub(super) fn note_revision(&mut self, revision: u64) {
        self.max_revision = self.max_revision.max(revision);
    }

    /// Puts a transaction of ours that was applied into the replica ahead of the watch; gives the
    /// jobs that changed.
    pub(super) fn apply_own_transaction(
        &mut self,
        transaction: &Transaction,
        revision: u64,
    ) -> Vec<JobId> {
        self.note_revision(revision);
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

    /// Forgets the copy; the whole store is read again, and answers to what was asked before count
    /// for nothing.
    pub(super) fn forget(&mut self) {
        self.replica = Replica::new(self.replica.hash_keys());
        self.epoch += 1;
        self.loaded = false;
        self.watching = false;
        self.listing = Listing::default();
        self.last_read_at = None;
        self.max_revision = 0;
    }

    /// Requests that wait for a zero-wait read.
    pub(super) fn waiting_requests(&self) -> usize {
        self.fresh_reads.waiting.len() + self.fresh_reads.running.as_ref().map_or(0, Vec::len)
    }

    /// How far the store has been read: what a request that goes out now builds on.
    pub(super) fn read_point(&self) -> ReadPoint {
        ReadPoint { epoch: self.epoch, revision: self.replica.revision }
    }

    fn retry_later(&mut self, now: u64) {
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
