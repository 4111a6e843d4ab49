//! A transaction that is under way, with what it changes in the leader's state once it is applied.

use crate::protocol::state::Transaction;
use crate::storage::cluster::StaleKey;
use crate::storage::machine::AttemptId;
use crate::storage::records::{JobId, MachineName};

/// A placement that a transaction stores or takes out.
#[derive(Debug, Clone)]
pub(super) struct PlacementEntry {
    /// The group of placements that it is stored in.
    pub(super) group: u32,
    /// The machine it is on.
    pub(super) machine: MachineName,
    /// The task and its attempt.
    pub(super) attempt: AttemptId,
    /// Bytes that it takes in the group.
    pub(super) bytes: usize,
}

/// A placement that a transaction moves from one group to another.
#[derive(Debug, Clone)]
pub(super) struct PlacementMove {
    /// The group that it has stood in.
    pub(super) from: u32,
    /// The placement, with the group that it goes to.
    pub(super) entry: PlacementEntry,
}

/// A transaction that is under way.
#[derive(Debug, Default)]
pub(super) struct PendingTransaction {
    pub(super) transaction: Transaction,
    /// The transaction as it is sent, again and again until it is answered.
    pub(super) body: Vec<u8>,
    /// Groups of placements that it writes.
    pub(super) groups: Vec<u32>,
    /// Placements that it stores.
    pub(super) additions: Vec<PlacementEntry>,
    /// Settled placements that it takes out.
    pub(super) removals: Vec<PlacementEntry>,
    /// Placements that it moves from a group that was too large.
    pub(super) moves: Vec<PlacementMove>,
    /// Groups of bitmaps that it writes.
    pub(super) done_groups: Vec<u32>,
    /// Chunks of bitmaps that changed in them.
    pub(super) done_chunks: Vec<(JobId, u32)>,
    /// Jobs that it ends as done.
    pub(super) finished_jobs: Vec<JobId>,
    /// Keys that it removes.
    pub(super) stale_keys: Vec<StaleKey>,
    /// It was sent at least once with no answer: it may have been applied.
    pub(super) outcome_unknown: bool,
    /// A copy is on its way.
    pub(super) in_flight: bool,
    /// Since when it waits for a read that tells what became of it.
    pub(super) awaiting_read_since: Option<u64>,
    /// It is not sent again before this time.
    pub(super) not_before: u64,
}
