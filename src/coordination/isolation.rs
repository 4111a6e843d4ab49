//! Leading without the state service: which leases are renewed, what is started, and how peers'
//! word of jobs that have ended counts.
//!
//! All of it rests on one time, [`Controller::confirmed_read_at`]. Before it nobody was told of an end that we
//! don't know. A task of a job that was cancelled after it, on a worker that we answer no later
//! than [`Controller::isolation_budget_ms`] after it, is gone by its lease within `cancel_s`.
//!
//! A controller tells users of ends only out of its copy of the store, or passes on the answer of
//! another one that does. So a peer whose copy is whole, and that names every end in it after the
//! revision that we have, has told nobody of any other end before it was asked: neither has an
//! earlier life of it, whose commits were all there when this life read the store.

use super::Controller;
use crate::constants::{
    CANCEL_MARGIN_MS, CLOCK_DRIFT, ENDS_NAMED_MAX, ISOLATED_ASK_MS, MS_PER_S, START_READ_AGE_MAX_MS,
};
use crate::protocol::peers::Gossip;
use crate::protocol::users::{JobStatus, JobStatusResponse};

impl Controller {
    /// The latest time before which no user can have been told of an end that we don't know of:
    /// the begin of our last read, or of the earliest of the last questions that every peer
    /// has vouched in answer to.
    pub(super) fn confirmed_read_at(&self) -> Option<u64> {
        if self.recovery.holds() {
            return self.known_at_in_hold();
        }
        let read = self.store_sync.fresh_at?;
        let vouched = self.peers.iter().map(|p| p.ends_asked).min().flatten();
        Some(read.max(vouched.unwrap_or(0)))
    }

    /// Whether workers may be answered: a worker that we answer runs its tasks for one more
    /// lease, and those of a job cancelled since must be gone within `cancel_s` of that.
    pub(super) fn may_renew_worker_leases(&self) -> bool {
        self.confirmed_read_at()
            .is_some_and(|t| self.now.monotonic_ms - t <= self.isolation_budget_ms())
    }

    /// Whether what we know is recent enough to order a start. Nothing may start once a
    /// cancellation is confirmed, so an order rests on no older word than one read takes at the
    /// most; one that is given in that time is as late as any that is on its way.
    pub(super) fn may_order_starts(&self) -> bool {
        let known = self.confirmed_read_at();
        !self.starts_are_held()
            && known.is_some_and(|t| self.now.monotonic_ms - t <= START_READ_AGE_MAX_MS)
    }

    /// Milliseconds after the time of our knowledge for which workers may still be answered:
    /// every lease renewed by then is over when tasks cancelled since must be gone.
    pub(super) fn isolation_budget_ms(&self) -> u64 {
        let w = &self.settings.params.workers;
        let lease = (w.lease_s * (1.0 + CLOCK_DRIFT) * MS_PER_S) as u64;
        let cancel = (w.cancel_s * (1.0 - CLOCK_DRIFT) * MS_PER_S) as u64;
        cancel.saturating_sub(lease + CANCEL_MARGIN_MS)
    }

    /// The revision after which peers are asked for ends: none while we read the store ourselves.
    pub(super) fn ended_jobs_query(&self) -> Option<u64> {
        let late = |t| self.now.monotonic_ms > t + ISOLATED_ASK_MS;
        let isolated = self.store_sync.refused || self.store_sync.fresh_at.is_none_or(late);
        (isolated && self.leader.is_some()).then_some(self.replica.revision)
    }

    /// Names the ends after a revision in the answer to a peer that asks for them.
    pub(super) fn list_ended_jobs(&self, since: u64, answer: &mut Gossip) {
        let jobs = self.replica.jobs.iter().filter(|(_, j)| j.value.end_revision > since);
        let mut names: Vec<String> =
            jobs.take(ENDS_NAMED_MAX + 1).map(|(uid, _)| uid.to_string()).collect();
        answer.ended_all = self.store_sync.loaded && names.len() <= ENDS_NAMED_MAX;
        names.truncate(ENDS_NAMED_MAX);
        answer.ended = names;
    }

    /// Takes note of the ends that a peer names in answer to a question asked at `asked`.
    pub(super) fn record_ended_jobs(&mut self, peer: usize, asked: u64) {
        let Some(g) = self.peers[peer].gossip.as_mut() else { return };
        let (ended, all) = (std::mem::take(&mut g.ended), g.ended_all);
        for uid in ended {
            self.record_ended_job(&uid);
        }
        if all {
            let known = &mut self.peers[peer].ends_asked;
            *known = (*known).max(Some(asked));
        }
    }

    /// A job is over, by the word of another controller. That is enough to stop its tasks and
    /// to start none; nothing is stored, settled or told to users for it.
    fn record_ended_job(&mut self, uid: &str) {
        let open = self.replica.is_live(uid);
        if open && self.ended_by_peers.insert(uid.into()) {
            log::debug!("{uid}: over, as a peer says");
        }
    }

    /// What a relayed answer says of a job is heard as well.
    pub(super) fn record_relayed_status(&mut self, body: &[u8]) {
        if let Ok(view) = serde_json::from_slice::<JobStatusResponse>(body) {
            if matches!(view.status, JobStatus::Done | JobStatus::Cancelled) {
                self.record_ended_job(view.uid);
            }
        }
    }

    /// The copy has come further: word of what it holds by now is not needed any more.
    pub(super) fn forget_ended_by_peers(&mut self) {
        let replica = &self.replica;
        self.ended_by_peers.retain(|uid| replica.is_live(uid));
    }
}
