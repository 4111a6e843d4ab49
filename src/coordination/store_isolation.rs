//! Leading without the state service: which leases are renewed, and what is started.
//!
//! All of it rests on one time, [`Controller::ends_known_at`]. Before it nobody was told of an end that we
//! don't know. A task of a job that was cancelled after it, on a worker that we answer no later
//! than [`Controller::isolation_budget_ms`] after it, is gone by its lease within `cancel_s`.

use super::Controller;
use crate::constants::{CANCEL_MARGIN_MS, CLOCK_DRIFT_SHARE, MS_PER_S, START_READ_AGE_MAX_MS};

impl Controller {
    /// The latest time before which no user can have been told of an end that we don't know of:
    /// the begin of our last read, or of the earliest of the last questions that every peer
    /// has answered with all ends that it knows.
    pub(super) fn ends_known_at(&self) -> Option<u64> {
        if self.recovery.is_suspended() {
            return self.confirmed_read_while_suspended();
        }
        let read_at = self.store.last_read_at()?;
        let named_by_peers_at = self.membership.ends_complete_at();
        Some(read_at.max(named_by_peers_at.unwrap_or(0)))
    }

    /// Whether workers may be answered: a worker that we answer runs its tasks for one more
    /// lease, and those of a job cancelled since must be gone within `cancel_s` of that.
    pub(super) fn may_renew_worker_leases(&self) -> bool {
        self.knowledge_age_ms().is_some_and(|age_ms| age_ms <= self.isolation_budget_ms())
    }

    /// Whether what we know is recent enough to order a start. Nothing may start once a
    /// cancellation is confirmed, so an order rests on no older knowledge than one read takes at the
    /// most; one that is given in that time is as late as any that is on its way.
    pub(super) fn may_order_starts(&self) -> bool {
        let age_ms = self.knowledge_age_ms();
        !self.starts_are_blocked() && age_ms.is_some_and(|age_ms| age_ms <= START_READ_AGE_MAX_MS)
    }

    fn knowledge_age_ms(&self) -> Option<u64> {
        self.ends_known_at().map(|known_at| self.now.monotonic_ms - known_at)
    }

    /// Milliseconds after the time of our knowledge for which workers may still be answered:
    /// every lease renewed by then has expired when tasks cancelled since must be gone.
    pub(super) fn isolation_budget_ms(&self) -> u64 {
        let workers = &self.settings.params.workers;
        let lease_ms = (workers.lease_s * (1.0 + CLOCK_DRIFT_SHARE) * MS_PER_S) as u64;
        let cancel_ms = (workers.cancel_s * (1.0 - CLOCK_DRIFT_SHARE) * MS_PER_S) as u64;
        cancel_ms.saturating_sub(lease_ms + CANCEL_MARGIN_MS)
    }
}
