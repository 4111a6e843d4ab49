//! Users' requests: polls, cancellations, what is passed on to peers, and whether we take any.
//!
//! Every answer that a job is accepted, cancelled or done rests on a commit or on a read
//! that began after the request came; only final states come from memory.

use super::recovery::SentAt;
use super::sync::FreshReadWaiter;
use super::{CallPurpose, ConnectionId, Controller, Requester};
use crate::constants::{
    PEER_VERSION, RETRY_AFTER_BUSY_S, RETRY_AFTER_S, STATE_CALL_MS, STATE_LOST_MS, USER_WAIT_MAX,
    WRITE_KEEP_USERS,
};
use crate::protocol::peers::{encode, RelayResponse};
use crate::protocol::state::{Condition, Mutation, Transaction, TransactionApplied, COMMIT_PATH};
use crate::protocol::users::{
    valid_uid, ErrorResponse, JobProgressResponse, JobStatus, JobStatusResponse,
};
use crate::storage::records::{job_end_key, JobEndRecord, JobRecord, JobStage};
use crate::storage::replica::Versioned;

impl Controller {
    fn answer(
        &mut self,
        requester: Requester,
        status: u16,
        retry_after_s: Option<u64>,
        body: Vec<u8>,
    ) {
        if requester.relayed {
            let m = RelayResponse { version: PEER_VERSION, status, retry_after_s, body };
            self.respond(requester.connection, 200, None, encode(&m));
        } else {
            self.respond(requester.connection, status, retry_after_s, body);
        }
    }

    pub(super) fn pass_on(&mut self, requester: Requester, m: RelayResponse) {
        self.answer(requester, m.status, m.retry_after_s, m.body);
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

    pub(super) fn refuse(
        &mut self,
        requester: Requester,
        status: u16,
        error: &str,
        retry: Option<u64>,
    ) {
        if status >= 429 {
            self.metrics.work.refused += 1;
        }
        let body = serde_json::to_vec(&ErrorResponse { error }).unwrap_or_default();
        self.answer(requester, status, retry, body);
    }

    pub(super) fn unavailable(&mut self, requester: Requester) {
        self.refuse(requester, 503, "the state service can't be reached", Some(RETRY_AFTER_S));
    }

    pub(super) fn user_request(
        &mut self,
        requester: Requester,
        method: &str,
        path: &str,
        body: &[u8],
    ) {
        let Some(rest) = path.strip_prefix("/v1/jobs") else {
            return self.refuse(requester, 404, "no such path", None);
        };
        let known = match (method, rest) {
            ("POST", "") => {
                self.metrics.work.submissions += 1;
                return self.submit(requester, body);
            }
            (_, "") => false,
            (_, rest) => {
                let Some(rest) = rest.strip_prefix('/') else {
                    return self.refuse(requester, 404, "no such path", None);
                };
                match (method, rest.strip_suffix("/withdraw")) {
                    ("POST", Some(uid)) => {
                        self.metrics.work.cancellations += 1;
                        return self.cancel(requester, uid);
                    }
                    (_, Some(_)) => false,
                    ("GET", None) if !rest.contains('/') => {
                        self.metrics.work.polls += 1;
                        return self.poll_job(requester, rest);
                    }
                    (_, None) if !rest.contains('/') => false,
                    _ => true,
                }
            }
        };
        if known {
            self.refuse(requester, 404, "no such path", None);
        } else {
            self.refuse(requester, 405, "wrong method", None);
        }
    }

    /// Whether a request that needs the store can be taken; answers it otherwise.
    pub(super) fn admit(
        &mut self,
        requester: Requester,
        method: &'static str,
        path: &str,
        body: &[u8],
    ) -> bool {
        if self.recovery.holds() {
            self.unavailable(requester);
            return false;
        }
        if self.waiters() >= USER_WAIT_MAX {
            self.refuse(requester, 503, "too much to do", Some(RETRY_AFTER_BUSY_S));
            return false;
        }
        if !self.store_sync.loaded || self.store_sync.refused {
            self.relay_or_refuse(requester, method, path.to_string(), body.to_vec());
            return false;
        }
        true
    }

    /// Puts an own commit into the replica ahead of the watch.
    pub(super) fn apply_own_transaction(&mut self, commit: &Transaction, rev: u64) {
        self.store_sync.max_rev = self.store_sync.max_rev.max(rev);
        let mut touched = Vec::new();
        for w in &commit.writes {
            match w {
                Mutation::Put { key, value, .. } => {
                    touched.extend(self.replica.write(key, value, rev))
                }
                Mutation::Remove { key } => self.replica.remove(key, rev),
            }
        }
        self.record_own_transaction(commit, rev);
        self.on_jobs_changed(&touched);
    }

    fn status_of(&self, uid: &str, job: &Versioned<JobRecord>) -> JobStatus {
        match job.value.stage {
            JobStage::Done => JobStatus::Done,
            JobStage::Cancelled => JobStatus::Cancelled,
            JobStage::Live if self.replica.placed(uid) > 0 => JobStatus::Running,
            JobStage::Live => JobStatus::Queued,
        }
    }

    pub(super) fn answer_known(&mut self, requester: Requester, uid: &str) {
        if self.replica.is_flagged(uid) {
            return self.unavailable(requester);
        }
        if let Some(job) = self.replica.jobs.get(uid) {
            let status = self.status_of(uid, job);
            self.answer_json(requester, 200, &JobStatusResponse { uid, status });
        }
    }

    fn poll_job(&mut self, requester: Requester, uid: &str) {
        if !valid_uid(uid) {
            return self.refuse(requester, 404, "no such job", None);
        }
        // While we hold still the copy is of a store that a late transaction may have ended the job in.
        if self.replica.has_ended(uid) && !self.recovery.holds() {
            return self.answer_poll(requester, uid);
        }
        if self.admit(requester, "GET", &format!("/v1/jobs/{uid}"), &[]) {
            self.request_fresh_read(FreshReadWaiter::Poll { requester, uid: uid.to_string() });
        }
    }

    /// Answers a poll from the replica, which is fresh enough by now.
    pub(super) fn answer_poll(&mut self, requester: Requester, uid: &str) {
        let _ = self.metrics.poll_ms.record(self.now.monotonic_ms - requester.since);
        let Some(job) = self.replica.jobs.get(uid) else {
            return self.unknown_job(requester);
        };
        if self.replica.is_flagged(uid) {
            return self.unavailable(requester);
        }
        let status = self.status_of(uid, job);
        let (done, running) = match status {
            JobStatus::Done => (job.value.tasks, 0),
            JobStatus::Cancelled => (job.value.done, 0),
            _ => (self.replica.done_bitmap(uid).count(), self.replica.placed(uid)),
        };
        self.answer_json(requester, 200, &JobProgressResponse { uid, status, done, running });
    }

    fn cancel(&mut self, requester: Requester, uid: &str) {
        if !valid_uid(uid) {
            return self.refuse(requester, 404, "no such job", None);
        }
        if !self.admit(requester, "POST", &format!("/v1/jobs/{uid}/withdraw"), &[]) {
            return;
        }
        match self.replica.jobs.get(uid).map(|j| j.value.stage) {
            Some(JobStage::Live) => self.commit_cancellation(requester, uid),
            Some(_) => self.answer_known(requester, uid),
            None => {
                self.request_fresh_read(FreshReadWaiter::Cancel { requester, uid: uid.to_string() })
            }
        }
    }

    /// A withdrawal after a fresh read.
    pub(super) fn cancel_known(&mut self, requester: Requester, uid: String) {
        match self.replica.jobs.get(uid.as_str()).map(|j| j.value.stage) {
            Some(JobStage::Live) => self.commit_cancellation(requester, &uid),
            Some(_) => self.answer_known(requester, &uid),
            None => self.unknown_job(requester),
        }
    }

    /// A job that is not known was never accepted, unless a part of the history is lost.
    fn unknown_job(&mut self, requester: Requester) {
        match self.has_gap() {
            true => self.unavailable(requester),
            false => self.refuse(requester, 404, "no such job", None),
        }
    }

    fn commit_cancellation(&mut self, requester: Requester, uid: &str) {
        if self.replica.is_flagged(uid) {
            return self.unavailable(requester);
        }
        let Some(job) = self.replica.jobs.get(uid) else {
            return;
        };
        let rec = JobEndRecord {
            at: job.value.at,
            stage: JobStage::Cancelled,
            tasks: job.value.tasks,
            done: self.replica.done_bitmap(uid).count(),
        };
        let key = job_end_key(uid);
        let mut commit = Transaction {
            conditions: vec![Condition { key: key.clone(), mod_revision: 0 }],
            writes: vec![Mutation::put(key, &rec)],
        };
        self.depend_on_rebuild(&mut commit);
        if !self.write_budget.take(1.0, WRITE_KEEP_USERS, self.now.monotonic_ms) {
            return self.refuse(requester, 503, "too many requests", Some(RETRY_AFTER_S));
        }
        let body = serde_json::to_vec(&commit).unwrap_or_default();
        let purpose =
            CallPurpose::Cancel { requester, uid: uid.to_string(), commit, sent: self.sent_at() };
        self.metrics.work.state_writes += 1;
        self.state_call("POST", COMMIT_PATH.into(), body, STATE_CALL_MS, purpose);
    }

    pub(super) fn on_cancellation_response(
        &mut self,
        requester: Requester,
        uid: String,
        commit: Transaction,
        sent: SentAt,
        reply: Option<(u16, Vec<u8>)>,
    ) {
        match reply {
            Some((200, body)) => {
                let Ok(done) = serde_json::from_slice::<TransactionApplied>(&body) else {
                    return self.unavailable(requester);
                };
                if !self.confirmed_in_store(sent, done.revision) {
                    return self.unavailable(requester);
                }
                self.apply_own_transaction(&commit, done.revision);
                log::debug!("{uid}: withdrawn");
                self.answer_json(
                    requester,
                    200,
                    &JobStatusResponse { uid: &uid, status: JobStatus::Cancelled },
                );
            }
            // Done in the meantime, or withdrawn already.
            Some((409, _)) => self.request_fresh_read(FreshReadWaiter::Cancel { requester, uid }),
            Some((429, _)) => self.refuse(requester, 503, "too many requests", Some(RETRY_AFTER_S)),
            _ => {
                self.relay_or_refuse(requester, "POST", format!("/v1/jobs/{uid}/withdraw"), vec![])
            }
        }
    }

    /// 200 when users are at least as well off here as elsewhere: served by the state
    /// service, or able to have a served peer answer, or all are refused alike (coming
    /// back into the balancer is slow, and there is nowhere better to go).
    pub(super) fn up(&mut self, connection: ConnectionId) {
        let ok = self.store_is_usable() || {
            let fresh: Vec<_> = self.fresh_gossip().collect();
            let all_refused =
                fresh.len() == self.peers.len() && fresh.iter().all(|g| !served_gossip(g));
            self.store_sync.loaded && (self.best_peer().is_some() || all_refused)
        };
        let (status, body) = if ok { (200, "{\"up\":true}") } else { (503, "{\"up\":false}") };
        self.respond(connection, status, (!ok).then_some(RETRY_AFTER_S), body.into());
    }
}

/// Whether a peer says that the state service serves it.
pub(super) fn served_gossip(g: &crate::protocol::peers::Gossip) -> bool {
    g.served_ago_ms.is_some_and(|ms| ms < STATE_LOST_MS)
}
