//! The pending transaction, with the changes that it makes to the leader's state once applied.

use crate::protocol::state::Transaction;
use crate::storage::cluster::StaleKey;
use crate::storage::machine::AttemptId;
use crate::storage::records::{JobId, MachineName};

/// A placement that a transaction adds to, removes from or moves into a group.
#[derive(Debug, Clone)]
pub(super) struct PlacementEntry {
    /// The placement group that stores it.
    pub(super) group: u32,
    /// The machine it is on.
    pub(super) machine: MachineName,
    /// The task and its attempt.
    pub(super) attempt: AttemptId,
    /// Bytes that it takes in the group's value.
    pub(super) bytes: usize,
}

/// A placement that a transaction moves from one group to another.
#[derive(Debug, Clone)]
pub(super) struct PlacementMove {
    /// The group that it leaves.
    pub(super) from: u32,
    /// The placement and the group that it moves to.
    pub(super) entry: PlacementEntry,
}

/// A transaction that was sent or is about to be, and whose outcome is not yet known.
#[derive(Debug, Default)]
pub(super) struct PendingTransaction {
    pub(super) transaction: Transaction,
    /// The encoded request; a retry sends exactly these bytes again.
    pub(super) body: Vec<u8>,
    /// Placement groups that it writes.
    pub(super) groups: Vec<u32>,
    /// Placements that it adds.
    pub(super) additions: Vec<PlacementEntry>,
    /// Settled placements that it removes.
    pub(super) removals: Vec<PlacementEntry>,
    /// Placements that it moves out of an oversized group.
    pub(super) moves: Vec<PlacementMove>,
    /// Done-task groups that it writes.
    pub(super) done_groups: Vec<u32>,
    /// Bitmap chunks whose changes it writes.
    pub(super) done_chunks: Vec<(JobId, u32)>,
    /// Jobs whose end it records as done.
    pub(super) finished_jobs: Vec<JobId>,
    /// Keys that it removes.
    pub(super) stale_keys: Vec<StaleKey>,
    /// Whether at least one copy got no usable response, so that it may have been applied.
    pub(super) outcome_unknown: bool,
    /// Whether a copy is in flight.
    pub(super) in_flight: bool,
    /// When it began to wait for a fresh read that shows whether it was applied.
    pub(super) awaiting_read_since: Option<u64>,
    /// Earliest time of the next send.
    pub(super) not_before: u64,
}
