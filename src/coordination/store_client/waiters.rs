//! Requests that wait for a fresh read, and what happens to them after it.

use crate::coordination::rejection::Rejection;
use crate::coordination::requester::Requester;
use crate::coordination::Controller;
use crate::protocol::routes::{cancel_path, job_path};

/// A request that waits for a fresh read which begins after the request came in.
#[derive(Debug)]
pub(in crate::coordination) enum FreshReadWaiter {
    /// A poll of a job's state.
    Poll {
        /// Who asks.
        requester: Requester,
        /// The job.
        job_id: String,
    },
    /// A cancellation.
    Cancel {
        /// Who asks.
        requester: Requester,
        /// The job.
        job_id: String,
    },
    /// A submission.
    Submit {
        /// Who asks.
        requester: Requester,
        /// The job.
        job_id: String,
        /// Why it is not accepted if the job turns out to be unknown.
        rejection: Option<Rejection>,
    },
    /// The leader, during its takeover or after a transaction with an unknown outcome.
    Leader,
}

impl Controller {
    /// Makes a request wait for a fresh read that has not begun yet.
    pub(in crate::coordination) fn request_fresh_read(&mut self, waiter: FreshReadWaiter) {
        self.store.fresh_reads.waiting.push(waiter);
        self.send_store_reads_if_due();
    }

    /// Requests a fresh read for the leader, unless the leader waits for the next one already.
    pub(in crate::coordination) fn request_leader_read(&mut self) {
        let waiting = &mut self.store.fresh_reads.waiting;
        let already_waits = waiting.iter().any(|waiter| matches!(waiter, FreshReadWaiter::Leader));
        if self.leader.is_some() && !already_waits {
            waiting.push(FreshReadWaiter::Leader);
        }
    }

    /// Continues the requests that waited for the fresh read sent at `begun_at`, which has succeeded.
    pub(super) fn complete_waiters(&mut self, waiters: Vec<FreshReadWaiter>, begun_at: u64) {
        for waiter in waiters {
            // While the store is not trusted, no user's request is decided by its data.
            let for_leader = matches!(waiter, FreshReadWaiter::Leader);
            if for_leader || !self.recovery.is_suspended() {
                self.complete_waiter(waiter, begun_at);
            } else {
                self.fail_waiter(waiter);
            }
        }
    }

    fn complete_waiter(&mut self, waiter: FreshReadWaiter, begun_at: u64) {
        match waiter {
            FreshReadWaiter::Poll { requester, job_id } => self.answer_poll(requester, &job_id),
            FreshReadWaiter::Cancel { requester, job_id } => {
                self.cancel_after_read(requester, job_id);
            }
            FreshReadWaiter::Submit { requester, job_id, rejection } => {
                self.submit_after_read(requester, &job_id, rejection);
            }
            FreshReadWaiter::Leader => self.on_leader_read(begun_at),
        }
    }

    /// Handles a failed read: polls and cancellations are relayed to a peer, submissions are rejected,
    /// and the leader waits for the next read.
    pub(super) fn fail_waiter(&mut self, waiter: FreshReadWaiter) {
        match waiter {
            FreshReadWaiter::Poll { requester, job_id } => {
                self.relay_or_reject(requester, "GET", job_path(&job_id), vec![]);
            }
            FreshReadWaiter::Cancel { requester, job_id } => {
                let path = cancel_path(&job_id);
                self.relay_or_reject(requester, "POST", path, vec![]);
            }
            FreshReadWaiter::Submit { requester, .. } => self.reject_unavailable(requester),
            FreshReadWaiter::Leader => self.request_leader_read(),
        }
    }
}
