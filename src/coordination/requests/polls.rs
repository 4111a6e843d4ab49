//! Polls of a job's status.

use crate::coordination::requester::Requester;
use crate::coordination::store_client::FreshReadWaiter;
use crate::coordination::Controller;
use crate::protocol::routes::job_path;
use crate::protocol::users::{is_valid_job_id, JobProgressResponse, JobStatus};

impl Controller {
    pub(super) fn poll_job(&mut self, requester: Requester, job_id: &str) {
        self.metrics.work.polls += 1;
        if !is_valid_job_id(job_id) {
            return self.answer_error(requester, 404, "no such job", None);
        }
        // While data loss is suspected, the end of the job may be only in the lost store: a
        // transaction may have been committed there late.
        if self.store.replica().has_ended(job_id) && !self.recovery.is_suspended() {
            return self.answer_poll(requester, job_id);
        }
        if self.admit(requester, "GET", &job_path(job_id), &[]) {
            self.request_fresh_read(FreshReadWaiter::Poll {
                requester,
                job_id: job_id.to_string(),
            });
        }
    }

    /// Answers a poll from the replica, which shows a final state or has had a fresh read.
    pub(in crate::coordination) fn answer_poll(&mut self, requester: Requester, job_id: &str) {
        let _ = self.metrics.poll_ms.record(self.now.monotonic_ms - requester.received_at());
        let replica = self.store.replica();
        let Some(job) = replica.jobs.get(job_id) else {
            return self.reject_unknown_job(requester);
        };
        if replica.is_flagged(job_id) {
            return self.reject_unavailable(requester);
        }
        let status = self.job_status(job_id, job);
        let (done, running) = match status {
            JobStatus::Done => (job.value.tasks, 0),
            JobStatus::Cancelled => (job.value.done, 0),
            _ => (replica.done_bitmap(job_id).count(), replica.placed_task_count(job_id)),
        };
        self.answer_json(
            requester,
            200,
            &JobProgressResponse { uid: job_id, status, done, running },
        );
    }
}
