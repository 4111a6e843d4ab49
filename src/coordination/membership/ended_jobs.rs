//! Exchange of ended jobs between controllers.
//!
//! A controller tells a user that a job has ended only from its own replica of the store, or by
//! relaying the response of a peer that does. So when a peer with a complete replica lists every job
//! that ended after our revision, it had told no user of any other ended job before we asked. The
//! same holds for earlier processes of that peer: everything they had committed was in the store
//! when the current process loaded it.

use crate::constants::{ENDED_JOBS_NAMED_MAX, ISOLATION_QUERY_AFTER_MS};
use crate::coordination::Controller;
use crate::protocol::peers::Gossip;
use crate::protocol::users::{JobStatus, JobStatusResponse};

impl Controller {
    /// The revision after which gossip asks peers for ended jobs. Only a leader that can't read the
    /// store asks.
    pub(super) fn ended_jobs_query(&self) -> Option<u64> {
        let is_late = |read_at| self.now.monotonic_ms > read_at + ISOLATION_QUERY_AFTER_MS;
        let isolated =
            self.store.last_request_failed() || self.store.last_read_at().is_none_or(is_late);
        (isolated && self.leader.is_some()).then_some(self.store.replica().revision)
    }

    /// Adds the jobs that ended after the revision `since` to a gossip response.
    pub(super) fn list_ended_jobs(&self, since: u64, response: &mut Gossip) {
        let jobs = &self.store.replica().jobs;
        let mut names: Vec<String> = jobs
            .iter()
            .filter(|(_, job)| job.value.end_revision > since)
            .take(ENDED_JOBS_NAMED_MAX + 1)
            .map(|(job_id, _)| job_id.to_string())
            .collect();
        response.ended_all = self.store.is_loaded() && names.len() <= ENDED_JOBS_NAMED_MAX;
        names.truncate(ENDED_JOBS_NAMED_MAX);
        response.ended = names;
    }

    /// Records the ended jobs listed in a peer's response to gossip sent at `sent_at`.
    pub(super) fn record_ended_jobs(&mut self, peer: usize, sent_at: u64) {
        let Some(gossip) = self.membership.peers[peer].gossip.as_mut() else { return };
        let is_complete = gossip.ended_all;
        for job_id in std::mem::take(&mut gossip.ended) {
            self.record_ended_job(&job_id);
        }
        if is_complete {
            let complete_at = &mut self.membership.peers[peer].ended_jobs_complete_at;
            *complete_at = (*complete_at).max(Some(sent_at));
        }
    }

    /// Records that a job has ended according to another controller. That is enough to stop its
    /// tasks and to start none of them; nothing is stored, settled or told to users because of it.
    fn record_ended_job(&mut self, job_id: &str) {
        let is_live = self.store.replica().is_live(job_id);
        if is_live && self.membership.ended_jobs.insert(job_id.into()) {
            log::debug!("job ended according to a peer: {job_id}; its tasks are stopped");
        }
    }

    /// Records the end of a job if the response to a relayed request reports it.
    pub(in crate::coordination) fn record_relayed_status(&mut self, body: &[u8]) {
        let Ok(response) = serde_json::from_slice::<JobStatusResponse<'_>>(body) else { return };
        if matches!(response.status, JobStatus::Done | JobStatus::Cancelled) {
            self.record_ended_job(response.uid);
        }
    }

    /// Drops the ended jobs reported by peers that the replica knows by now.
    pub(in crate::coordination) fn drop_known_ended_jobs(&mut self) {
        let replica = self.store.replica();
        self.membership.ended_jobs.retain(|job_id| replica.is_live(job_id));
    }
}
