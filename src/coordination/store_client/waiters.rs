//! What waits for a zero-wait read that began after it came, and how it goes on after the read.

use crate::coordination::rejection::Rejection;
use crate::coordination::requester::Requester;
use crate::coordination::Controller;
use crate::protocol::routes::{cancel_path, job_path};

/// What waits for a read begun after it came.
#[derive(Debug)]
pub(in crate::coordination) enum FreshReadWaiter {
    /// A poll of a job's state.
    Poll {
        /// Who asks.
        requester: Requester,
        /// The job.
        uid: String,
    },
    /// A cancellation.
    Cancel {
        /// Who asks.
        requester: Requester,
        /// The job.
        uid: String,
    },
    /// A submission.
    Submit {
        /// Who asks.
        requester: Requester,
        /// The job.
        uid: String,
        /// Why it is not accepted if the job turns out to be unknown.
        rejection: Option<Rejection>,
    },
    /// The leader's takeover, or a transaction whose outcome is not known.
    Leader,
}

impl Controller {
    /// Has a request wait for a read that has not begun yet.
    pub(in crate::coordination) fn request_fresh_read(&mut self, waiter: FreshReadWaiter) {
        self.store.fresh_reads.waiting.push(waiter);
        self.store_reads_due();
    }

    /// The leader needs a read that has not begun yet; one serves all who ask for it.
    pub(in crate::coordination) fn request_leader_read(&mut self) {
        let waiting = &mut self.store.fresh_reads.waiting;
        let already_waits = waiting.iter().any(|waiter| matches!(waiter, FreshReadWaiter::Leader));
        if self.leader.is_some() && !already_waits {
            waiting.push(FreshReadWaiter::Leader);
        }
    }

    /// A read begun at `begun` has brought the replica up to date: what waited for it goes on.
    pub(super) fn complete_waiters(&mut self, waiters: Vec<FreshReadWaiter>, begun: u64) {
        for waiter in waiters {
            // While the store is not trusted nothing of users is judged by what it shows.
            let for_leader = matches!(waiter, FreshReadWaiter::Leader);
            if for_leader || !self.recovery.is_suspended() {
                self.complete_waiter(waiter, begun);
            } else {
                self.fail_waiter(waiter);
            }
        }
    }

    fn complete_waiter(&mut self, waiter: FreshReadWaiter, begun: u64) {
        match waiter {
            FreshReadWaiter::Poll { requester, uid } => self.answer_poll(requester, &uid),
            FreshReadWaiter::Cancel { requester, uid } => self.cancel_known(requester, uid),
            FreshReadWaiter::Submit { requester, uid, rejection } => {
                self.submit_known(requester, &uid, rejection);
            }
            FreshReadWaiter::Leader => self.on_leader_read(begun),
        }
    }

    /// The read failed: a peer may be able to answer users, and the leader asks for another one.
    pub(super) fn fail_waiter(&mut self, waiter: FreshReadWaiter) {
        match waiter {
            FreshReadWaiter::Poll { requester, uid } => {
                self.relay_or_refuse(requester, "GET", job_path(&uid), vec![]);
            }
            FreshReadWaiter::Cancel { requester, uid } => {
                let path = cancel_path(&uid);
                self.relay_or_refuse(requester, "POST", path, vec![]);
            }
            FreshReadWaiter::Submit { requester, .. } => self.unavailable(requester),
            FreshReadWaiter::Leader => self.request_leader_read(),
        }
    }
}
