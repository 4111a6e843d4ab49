//! What controllers tell each other of jobs that have ended.
//!
//! A controller tells users of ends only out of its copy of the store, or passes on the answer of
//! another one that does. So a peer whose copy is whole, and that names every end in it after the
//! revision that we have, has told nobody of any other end before it was asked: neither has an
//! earlier life of it, whose commits were all there when this life read the store.

use crate::constants::{ENDED_JOBS_NAMED_MAX, ISOLATION_QUERY_AFTER_MS};
use crate::coordination::Controller;
use crate::protocol::peers::Gossip;
use crate::protocol::users::{JobStatus, JobStatusResponse};

impl Controller {
    /// The revision after which peers are asked for ends: none while we read the store ourselves.
    pub(super) fn ended_jobs_query(&self) -> Option<u64> {
        let is_late = |read_at| self.now.monotonic_ms > read_at + ISOLATION_QUERY_AFTER_MS;
        let isolated = self.store.is_refused() || self.store.last_read_at().is_none_or(is_late);
        (isolated && self.leader.is_some()).then_some(self.store.replica().revision)
    }

    /// Names the ends after a revision in the answer to a peer that asks for them.
    pub(super) fn list_ended_jobs(&self, since: u64, answer: &mut Gossip) {
        let jobs = &self.store.replica().jobs;
        let mut names: Vec<String> = jobs
            .iter()
            .filter(|(_, job)| job.value.end_revision > since)
            .take(ENDED_JOBS_NAMED_MAX + 1)
            .map(|(uid, _)| uid.to_string())
            .collect();
        answer.ended_all = self.store.is_loaded() && names.len() <= ENDED_JOBS_NAMED_MAX;
        names.truncate(ENDED_JOBS_NAMED_MAX);
        answer.ended = names;
    }

    /// Takes note of the ends that a peer names in answer to a question asked at `asked_at`.
    pub(super) fn record_ended_jobs(&mut self, peer: usize, asked_at: u64) {
        let Some(gossip) = self.membership.peers[peer].gossip.as_mut() else { return };
        let are_all = gossip.ended_all;
        for uid in std::mem::take(&mut gossip.ended) {
            self.record_ended_job(&uid);
        }
        if are_all {
            let complete_at = &mut self.membership.peers[peer].ends_complete_at;
            *complete_at = (*complete_at).max(Some(asked_at));
        }
    }

    /// A job is over according to another controller. That is enough to stop its tasks and
    /// to start none; nothing is stored, settled or told to users for it.
    fn record_ended_job(&mut self, uid: &str) {
        let is_live = self.store.replica().is_live(uid);
        if is_live && self.membership.ended_jobs.insert(uid.into()) {
            log::debug!("{uid}: over, as a peer says");
        }
    }

    /// What a relayed answer says of a job counts like what a peer says of it.
    pub(in crate::coordination) fn record_relayed_status(&mut self, body: &[u8]) {
        let Ok(answer) = serde_json::from_slice::<JobStatusResponse<'_>>(body) else { return };
        if matches!(answer.status, JobStatus::Done | JobStatus::Cancelled) {
            self.record_ended_job(answer.uid);
        }
    }

    /// The copy has come further: what it holds by now need not be known from peers any more.
    pub(in crate::coordination) fn forget_ended_by_peers(&mut self) {
        let replica = self.store.replica();
        self.membership.ended_jobs.retain(|uid| replica.is_live(uid));
    }
}
