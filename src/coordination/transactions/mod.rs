//! The leader's write-ahead transactions, which combine starts of placements, removals of settled ones,
//! done tasks and job ends into as few transactions as possible. A placement is settled once there is proof
//! that its task no longer runs on the machine.
//!
//! Decisions are committed before they take effect: a worker is told to start a task only once the
//! placement is stored, and a task is placed again only once its settlement is.
//!
//! The state service accepts a few writes per second, while tasks start and end much faster.
//! Placements are therefore stored in groups: one key holds hundreds of placements of any machines
//! and jobs. New placements go to the groups with the most free space, so that the same write
//! removes settled placements and adds new ones.
//!
//! At most one transaction is pending at a time. Each is conditional, a compare-and-swap on all of
//! its keys: it is applied only if the leader key still has the revision of this term, every key
//! that it writes has the revision last known, and no job that it starts has an end record.
//!
//! [`Transactions`] owns the pending transaction and the time at which each kind of record is next
//! written. [`packing`] decides what goes into the next transaction; [`placements`], [`done_tasks`],
//! [`images`] and [`housekeeping`] add their records; [`outcome`] sends it and handles the response.

mod builder;
mod done_tasks;
mod housekeeping;
mod images;
mod outcome;
mod packing;
mod pending;
mod placements;

use crate::constants::{IMAGES_WRITE_PERIOD_MS, LEADER_WRITE_RESERVE, STALE_KEY_SCAN_PERIOD_MS};
use crate::storage::token_bucket::TokenBucket;
use pending::PendingTransaction;

/// The pending transaction of a term, and the schedule of the next ones.
#[derive(Debug)]
pub(super) struct Transactions {
    /// The transaction that is being sent or whose outcome is not yet known.
    pending: Option<PendingTransaction>,
    /// Whether the last transaction was limited to the split of an oversized group.
    last_was_split: bool,
    /// When the next periodic transaction is due, which writes done tasks and other changes that are
    /// not urgent.
    next_periodic_at: u64,
    /// When the image records are next written.
    next_images_at: u64,
    /// When the next scan for stale keys is due.
    next_stale_key_scan_at: u64,
    /// Whether the store has the teams' current shares.
    shares_written: bool,
    /// Whether the store has the machine types of the current catalog.
    catalog_written: bool,
}

impl Transactions {
    pub(super) fn new(now: u64) -> Transactions {
        Transactions {
            pending: None,
            last_was_split: false,
            next_periodic_at: now,
            next_images_at: now + IMAGES_WRITE_PERIOD_MS,
            next_stale_key_scan_at: now + STALE_KEY_SCAN_PERIOD_MS,
            shares_written: true,
            catalog_written: false,
        }
    }

    /// Whether a transaction is pending and every earlier copy of it was answered, so that its
    /// response will tell the outcome.
    pub(super) fn is_pending(&self) -> bool {
        self.pending.as_ref().is_some_and(|pending| !pending.outcome_unknown)
    }

    /// Records that the teams' shares have changed and must be written again.
    pub(super) fn mark_shares_changed(&mut self) {
        self.shares_written = false;
    }

    /// The earliest time to send the next transaction; `None` if there is nothing to store or the
    /// pending one only awaits a response or a read.
    pub(super) fn next_wake(&self, has_proposals: bool, writes: &TokenBucket) -> Option<u64> {
        match &self.pending {
            Some(pending) if pending.in_flight || pending.awaiting_read_since.is_some() => None,
            Some(pending) => {
                let writes_needed = pending.transaction.writes.len() as f64;
                Some(pending.not_before.max(writes.available_at(writes_needed)))
            }
            None if has_proposals => Some(writes.available_at(LEADER_WRITE_RESERVE + 1.0)),
            None => None,
        }
    }
}
