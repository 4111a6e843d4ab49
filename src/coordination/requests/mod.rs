//! Users' requests: submissions, polls and cancellations, and their admission.
//!
//! Every response about the state of a job is based on an applied transaction, or on a read of the store
//! that began after the request came in. Only final states are answered from the replica without a read,
//! since they never change.

mod batches;
mod cancellations;
mod health;
mod polls;
mod relay;
mod submissions;

pub(super) use batches::Submissions;

use super::requester::Requester;
use super::Controller;
use crate::constants::{
    PEER_VERSION, RETRY_AFTER_OVERLOAD_S, RETRY_AFTER_S, WAITING_USER_REQUESTS_MAX,
};
use crate::protocol::peers::{encode, RelayResponse};
use crate::protocol::routes::{RouteError, UserRoute};
use crate::protocol::users::{ErrorResponse, JobStatus, JobStatusResponse};
use crate::storage::records::{JobRecord, JobStage};
use crate::storage::replica::Versioned;

impl Controller {
    /// Answers the client, or wraps the response for the peer that relayed the request.
    fn answer(
        &mut self,
        requester: Requester,
        status: u16,
        retry_after_s: Option<u64>,
        body: Vec<u8>,
    ) {
        if requester.is_relayed() {
            let response = RelayResponse { version: PEER_VERSION, status, retry_after_s, body };
            self.respond(requester.connection(), 200, None, encode(&response));
        } else {
            self.respond(requester.connection(), status, retry_after_s, body);
        }
    }

    pub(super) fn answer_json<T: serde::Serialize>(
        &mut self,
        requester: Requester,
        status: u16,
        value: &T,
    ) {
        let body = serde_json::to_vec(value).unwrap_or_default();
        self.answer(requester, status, None, body);
    }

    /// Answers with an error, and with the seconds after which the user may retry.
    pub(super) fn answer_error(
        &mut self,
        requester: Requester,
        status: u16,
        error: &str,
        retry_after_s: Option<u64>,
    ) {
        if status >= 429 {
            self.metrics.work.refused += 1;
        }
        let body = serde_json::to_vec(&ErrorResponse { error }).unwrap_or_default();
        self.answer(requester, status, retry_after_s, body);
    }

    /// Rejects a request because this controller is overloaded.
    pub(super) fn reject_overloaded(&mut self, requester: Requester) {
        self.answer_error(requester, 503, "too much to do", Some(RETRY_AFTER_OVERLOAD_S));
    }

    /// Rejects a request that can't be answered without the store.
    pub(super) fn reject_unavailable(&mut self, requester: Requester) {
        self.answer_error(
            requester,
            503,
            "the state service can't be reached",
            Some(RETRY_AFTER_S),
        );
    }

    /// Rejects a request whose path or method is unknown.
    pub(super) fn reject_route(&mut self, requester: Requester, error: RouteError) {
        self.answer_error(requester, error.status(), &error.to_string(), None);
    }

    /// Handles a user's request, received from the user or relayed by a peer.
    pub(super) fn user_request(&mut self, requester: Requester, route: UserRoute<'_>, body: &[u8]) {
        match route {
            UserRoute::Submit => self.submit(requester, body),
            UserRoute::Poll { job_id } => self.poll_job(requester, job_id),
            UserRoute::Cancel { job_id } => self.cancel(requester, job_id),
        }
    }

    /// Whether a request that needs the store is admitted. If not, it is rejected or relayed to a peer.
    fn admit(
        &mut self,
        requester: Requester,
        method: &'static str,
        path: &str,
        body: &[u8],
    ) -> bool {
        if self.recovery.is_suspended() {
            self.reject_unavailable(requester);
            return false;
        }
        if self.store.waiting_requests() >= WAITING_USER_REQUESTS_MAX {
            self.reject_overloaded(requester);
            return false;
        }
        if !self.store.is_loaded() || self.store.last_request_failed() {
            self.relay_or_reject(requester, method, path.to_string(), body.to_vec());
            return false;
        }
        true
    }

    fn job_status(&self, job_id: &str, job: &Versioned<JobRecord>) -> JobStatus {
        match job.value.stage {
            JobStage::Done => JobStatus::Done,
            JobStage::Cancelled => JobStatus::Cancelled,
            JobStage::Live if self.store.replica().placed_task_count(job_id) > 0 => {
                JobStatus::Running
            }
            JobStage::Live => JobStatus::Queued,
        }
    }

    /// Answers a submission or cancellation with the status of its job, which the replica holds.
    fn answer_with_status(&mut self, requester: Requester, job_id: &str) {
        if self.store.replica().is_flagged(job_id) {
            return self.reject_unavailable(requester);
        }
        if let Some(job) = self.store.replica().jobs.get(job_id) {
            let status = self.job_status(job_id, job);
            self.answer_json(requester, 200, &JobStatusResponse { uid: job_id, status });
        }
    }

    /// Rejects a request for an unknown job. It was never accepted, unless a part of the store's
    /// history is lost: then the response is that the state service can't be reached.
    fn reject_unknown_job(&mut self, requester: Requester) {
        match self.has_history_gap() {
            true => self.reject_unavailable(requester),
            false => self.answer_error(requester, 404, "no such job", None),
        }
    }
}
