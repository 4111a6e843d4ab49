//! Cancellations. The end of the job is committed before the user gets the response.

use crate::constants::{RETRY_AFTER_S, USER_WRITE_RESERVE};
use crate::coordination::requester::Requester;
use crate::coordination::store_client::{FreshReadWaiter, ReadPoint};
use crate::coordination::{CallPurpose, Controller};
use crate::protocol::http::Response;
use crate::protocol::routes::cancel_path;
use crate::protocol::state::{Condition, Mutation, Transaction, TransactionApplied};
use crate::protocol::users::{is_valid_job_id, JobStatus, JobStatusResponse};
use crate::storage::records::{job_end_key, JobEndRecord, JobStage};

impl Controller {
    pub(super) fn cancel(&mut self, requester: Requester, job_id: &str) {
        self.metrics.work.cancellations += 1;
        if !is_valid_job_id(job_id) {
            return self.answer_error(requester, 404, "no such job", None);
        }
        if !self.admit(requester, "POST", &cancel_path(job_id), &[]) {
            return;
        }
        match self.job_stage(job_id) {
            Some(JobStage::Live) => self.commit_cancellation(requester, job_id),
            Some(_) => self.answer_with_status(requester, job_id),
            None => {
                let job_id = job_id.to_string();
                self.request_fresh_read(FreshReadWaiter::Cancel { requester, job_id });
            }
        }
    }

    /// Handles a cancellation after a fresh read.
    pub(in crate::coordination) fn cancel_after_read(
        &mut self,
        requester: Requester,
        job_id: String,
    ) {
        match self.job_stage(&job_id) {
            Some(JobStage::Live) => self.commit_cancellation(requester, &job_id),
            Some(_) => self.answer_with_status(requester, &job_id),
            None => self.reject_unknown_job(requester),
        }
    }

    fn job_stage(&self, job_id: &str) -> Option<JobStage> {
        self.store.replica().jobs.get(job_id).map(|job| job.value.stage)
    }

    fn commit_cancellation(&mut self, requester: Requester, job_id: &str) {
        if self.store.replica().is_flagged(job_id) {
            return self.reject_unavailable(requester);
        }
        let mut transaction = Transaction::default();
        self.add_cancellation(job_id, &mut transaction);
        self.add_rebuild_condition(&mut transaction);
        if !self.store.take_writes(1.0, USER_WRITE_RESERVE, self.now.monotonic_ms) {
            return self.answer_error(requester, 503, "too many requests", Some(RETRY_AFTER_S));
        }
        let body = serde_json::to_vec(&transaction).unwrap_or_default();
        let read_point = self.store.read_point();
        let purpose =
            CallPurpose::Cancel { requester, job_id: job_id.to_string(), transaction, read_point };
        self.transaction_call(body, 1, purpose);
    }

    /// Adds the end of a job as cancelled to a transaction, on condition that the job has no end yet.
    /// The job need not be in the replica.
    pub(in crate::coordination) fn add_cancellation(
        &self,
        job_id: &str,
        transaction: &mut Transaction,
    ) {
        let known = self.store.replica().jobs.get(job_id).map(|known| &known.value);
        let end = JobEndRecord {
            at: known.map_or(self.now.wall_ms, |known| known.at),
            stage: JobStage::Cancelled,
            tasks: known.map_or(0, |known| known.tasks),
            done: self.store.replica().done_bitmap(job_id).count(),
        };
        transaction.conditions.push(Condition { key: job_end_key(job_id), mod_revision: 0 });
        transaction.writes.push(Mutation::put(job_end_key(job_id), &end));
    }

    pub(in crate::coordination) fn on_cancellation_response(
        &mut self,
        requester: Requester,
        job_id: String,
        transaction: Transaction,
        read_point: ReadPoint,
        response: Option<Response>,
    ) {
        match response {
            Some(Response { status: 200, body }) => {
                let Ok(applied) = serde_json::from_slice::<TransactionApplied>(&body) else {
                    return self.reject_unavailable(requester);
                };
                if !self.applied_to_trusted_store(read_point, applied.revision) {
                    return self.reject_unavailable(requester);
                }
                self.apply_own_transaction(&transaction, applied.revision);
                log::debug!("job cancelled: {job_id}");
                let response = JobStatusResponse { uid: &job_id, status: JobStatus::Cancelled };
                self.answer_json(requester, 200, &response);
            }
            // The job is done or cancelled already.
            Some(Response { status: 409, .. }) => {
                self.request_fresh_read(FreshReadWaiter::Cancel { requester, job_id });
            }
            Some(Response { status: 429, .. }) => {
                self.answer_error(requester, 503, "too many requests", Some(RETRY_AFTER_S));
            }
            _ => {
                let path = cancel_path(&job_id);
                self.relay_or_reject(requester, "POST", path, vec![]);
            }
        }
    }
}
