//! The leader's transactions: starts, settlements, done tasks and ends of jobs, packed together.
//!
//! Placements live in groups, one key each, that hold hundreds of them for any machines and
//! jobs. What starts goes where most has ended, so that one write both settles and starts;
//! the state service takes a few writes a second, and tasks start and end far faster.
//! One transaction is under way at a time. Each depends on the revision of the leader key, of every
//! key that it writes, and on every job that it starts not having ended.
//!
//! [`Transactions`] owns the transaction under way and when each kind of record is written next;
//! [`packing`] decides what goes into the next one, [`placements`], [`done_tasks`], [`images`] and [`housekeeping`] add
//! their records, [`outcome`] sends it and applies its answer.

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

/// The leader's transactions of one term.
#[derive(Debug)]
pub(super) struct Transactions {
    pending: Option<PendingTransaction>,
    /// The last one was there to divide a group that is too large.
    divided_last: bool,
    /// When done tasks are written next without anything urgent.
    done_tasks_at: u64,
    /// When the images on machines are written next.
    images_at: u64,
    /// When keys that nobody needs are looked for next.
    stale_keys_at: u64,
    /// The teams' shares are in the store as they are.
    shares_written: bool,
    /// The catalogue's machine types are in the store.
    catalog_written: bool,
}

impl Transactions {
    pub(super) fn new(now: u64) -> Transactions {
        Transactions {
            pending: None,
            divided_last: false,
            done_tasks_at: now,
            images_at: now + IMAGES_WRITE_PERIOD_MS,
            stale_keys_at: now + STALE_KEY_SCAN_PERIOD_MS,
            shares_written: true,
            catalog_written: false,
        }
    }

    /// Whether one is under way whose answer tells what it did.
    pub(super) fn is_pending(&self) -> bool {
        self.pending.as_ref().is_some_and(|pending| !pending.outcome_unknown)
    }

    /// The teams' shares have changed.
    pub(super) fn note_shares_changed(&mut self) {
        self.shares_written = false;
    }

    /// When the next one can be sent: none if nothing waits, or if only an answer is waited for.
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
