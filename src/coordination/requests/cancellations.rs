//! Cancellations. The end of the job is committed before the user gets the answer.

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
    pub(super) fn cancel(&mut self, requester: Requester, uid: &str) {
        self.metrics.work.cancellations += 1;
        if !is_valid_job_id(uid) {
            return self.refuse(requester, 404, "no such job", None);
        }
        if !self.admit(requester, "POST", &cancel_path(uid), &[]) {
            return;
        }
        match self.job_stage(uid) {
            Some(JobStage::Live) => self.commit_cancellation(requester, uid),
            Some(_) => self.answer_with_status(requester, uid),
            None => {
                let uid = uid.to_string();
                self.request_fresh_read(FreshReadWaiter::Cancel { requester, uid });
            }
        }
    }

    /// Handles a cancellation after a fresh read.
    pub(in crate::coordination) fn cancel_after_read(&mut self, requester: Requester, uid: String) {
        match self.job_stage(&uid) {
            Some(JobStage::Live) => self.commit_cancellation(requester, &uid),
            Some(_) => self.answer_with_status(requester, &uid),
            None => self.refuse_unknown_job(requester),
        }
    }

    fn job_stage(&self, uid: &str) -> Option<JobStage> {
        self.store.replica().jobs.get(uid).map(|job| job.value.stage)
    }

    fn commit_cancellation(&mut self, requester: Requester, uid: &str) {
        if self.store.replica().is_flagged(uid) {
            return self.refuse_unavailable(requester);
        }
        let mut commit = Transaction::default();
        self.add_cancellation(uid, &mut commit);
        self.add_rebuild_condition(&mut commit);
        if !self.store.take_writes(1.0, USER_WRITE_RESERVE, self.now.monotonic_ms) {
            return self.refuse(requester, 503, "too many requests", Some(RETRY_AFTER_S));
        }
        let body = serde_json::to_vec(&commit).unwrap_or_default();
        let sent = self.store.read_point();
        let purpose =
            CallPurpose::Cancel { requester, uid: uid.to_string(), commit, read_point: sent };
        self.commit_call(body, 1, purpose);
    }

    /// Adds the end of a job as cancelled to a transaction, on condition that the job has no end yet.
    /// The job need not be in the replica.
    pub(in crate::coordination) fn add_cancellation(&self, job: &str, commit: &mut Transaction) {
        let known = self.store.replica().jobs.get(job).map(|known| &known.value);
        let end = JobEndRecord {
            at: known.map_or(self.now.wall_ms, |known| known.at),
            stage: JobStage::Cancelled,
            tasks: known.map_or(0, |known| known.tasks),
            done: self.store.replica().done_bitmap(job).count(),
        };
        commit.conditions.push(Condition { key: job_end_key(job), mod_revision: 0 });
        commit.writes.push(Mutation::put(job_end_key(job), &end));
    }

    pub(in crate::coordination) fn on_cancellation_response(
        &mut self,
        requester: Requester,
        uid: String,
        commit: Transaction,
        sent: ReadPoint,
        reply: Option<Response>,
    ) {
        match reply {
            Some(Response { status: 200, body }) => {
                let Ok(applied) = serde_json::from_slice::<TransactionApplied>(&body) else {
                    return self.refuse_unavailable(requester);
                };
                if !self.applied_to_trusted_store(sent, applied.revision) {
                    return self.refuse_unavailable(requester);
                }
                self.apply_own_transaction(&commit, applied.revision);
                log::debug!("job cancelled: {uid}");
                let answer = JobStatusResponse { uid: &uid, status: JobStatus::Cancelled };
                self.answer_json(requester, 200, &answer);
            }
            // The job is done or cancelled already.
            Some(Response { status: 409, .. }) => {
                self.request_fresh_read(FreshReadWaiter::Cancel { requester, uid });
            }
            Some(Response { status: 429, .. }) => {
                self.refuse(requester, 503, "too many requests", Some(RETRY_AFTER_S));
            }
            _ => {
                let path = cancel_path(&uid);
                self.relay_or_refuse(requester, "POST", path, vec![]);
            }
        }
    }
}
