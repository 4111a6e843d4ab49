//! Leading without the state service: which worker leases are renewed, and whether tasks are started.
//!
//! Both depend on [`Controller::ended_jobs_known_at`]: before that time no user was told of an ended job that
//! we don't know. If a job is cancelled later, and we answer its worker no later than
//! [`Controller::isolation_budget_ms`] after that time, the worker's lease expires within `cancel_s` of the
//! cancellation, which ends the task.

use super::Controller;
use crate::constants::{CANCEL_MARGIN_MS, CLOCK_DRIFT_SHARE, MS_PER_S, START_READ_AGE_MAX_MS};

impl Controller {
    /// The latest time before which no user can have been told of an ended job that we don't know:
    /// when our last read of the store was sent, or the time up to which the lists of ended jobs from
    /// all peers are complete, whichever is later.
    pub(super) fn ended_jobs_known_at(&self) -> Option<u64> {
        if self.recovery.is_suspended() {
            return self.confirmed_read_while_suspended();
        }
        let read_at = self.store.last_read_at()?;
        let peer_lists_complete_at = self.membership.ended_jobs_complete_at();
        Some(read_at.max(peer_lists_complete_at.unwrap_or(0)))
    }

    /// Whether workers' leases may be renewed: a worker whose lease is renewed runs its tasks for one
    /// more lease, and tasks of a job cancelled meanwhile must end within `cancel_s`.
    pub(super) fn may_renew_worker_leases(&self) -> bool {
        self.knowledge_age_ms().is_some_and(|age_ms| age_ms <= self.isolation_budget_ms())
    }

    /// Whether our knowledge of ended jobs is recent enough to send start commands. No task may start
    /// after a cancellation is confirmed, so the knowledge may be no older than the longest time
    /// between two reads; within it, a start command is no later than one that is in flight anyway.
    pub(super) fn may_send_starts(&self) -> bool {
        let age_ms = self.knowledge_age_ms();
        !self.starts_are_blocked() && age_ms.is_some_and(|age_ms| age_ms <= START_READ_AGE_MAX_MS)
    }

    /// Milliseconds since [`Controller::ended_jobs_known_at`].
    fn knowledge_age_ms(&self) -> Option<u64> {
        self.ended_jobs_known_at().map(|known_at| self.now.monotonic_ms - known_at)
    }

    /// Milliseconds after [`Controller::ended_jobs_known_at`] for which worker leases may still be
    /// renewed. Every lease renewed by then expires before tasks of a job cancelled after that time
    /// must end.
    pub(super) fn isolation_budget_ms(&self) -> u64 {
        let workers = &self.settings.params.workers;
        let lease_ms = (workers.lease_s * (1.0 + CLOCK_DRIFT_SHARE) * MS_PER_S) as u64;
        let cancel_ms = (workers.cancel_s * (1.0 - CLOCK_DRIFT_SHARE) * MS_PER_S) as u64;
        cancel_ms.saturating_sub(lease_ms + CANCEL_MARGIN_MS)
    }
}
