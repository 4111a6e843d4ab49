//! Extending workers' leases on behalf of the leader: a follower that reaches only workers, for example in a
//! partitioned zone, keeps their leases alive for a limited time.
//!
//! It starts nothing and stops only tasks of jobs that it knows to have ended. The permission is the leader's
//! own response to our gossip, and lasts as long after our message as leases may be renewed without the state
//! service (see [`Controller::may_renew_worker_leases`]). The leader records when it last sent such a response.
//! It treats a lease as expired only once every peer either has said, after the end of the lease, that it did
//! not extend it, or could no longer have been permitted to when the lease began.

use super::{has_store_access, Peer};
use crate::constants::COMMANDS_MAX;
use crate::coordination::{ConnectionId, Controller};
use crate::protocol::parse_task;
use crate::protocol::workers::{Heartbeat, HeartbeatResponse, ReportedTask, WorkerCommand};

/// The leader's permission to extend workers' leases. The latest is the one that compares greatest.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
struct Permit {
    /// The leader's term.
    term: u64,
    /// When we sent the gossip that the leader answered.
    sent_at: u64,
}

/// The state of this controller's own lease extensions.
#[derive(Debug)]
pub(super) struct LeaseExtension {
    permit: Option<Permit>,
    /// When we last extended a lease; the start of the process if we never did.
    last_extended_at: u64,
}

impl LeaseExtension {
    pub(super) fn new(now: u64) -> LeaseExtension {
        LeaseExtension { permit: None, last_extended_at: now }
    }

    /// Records that the leader of a term has answered gossip sent at `sent_at`.
    pub(super) fn record_permit(&mut self, term: u64, sent_at: u64) {
        let permit = Permit { term, sent_at };
        if self.permit.is_none_or(|known| permit > known) {
            self.permit = Some(permit);
        }
    }

    /// When we last extended a lease; the start of the process if we never did.
    pub(super) fn last_extended_at(&self) -> u64 {
        self.last_extended_at
    }
}

/// Commands that stop the tasks in a heartbeat whose jobs have ended.
pub(in crate::coordination) fn stop_commands_of_ended_jobs(
    heartbeat: &Heartbeat,
    has_ended: impl Fn(&str) -> bool,
) -> Vec<WorkerCommand> {
    let is_over = |task: &&ReportedTask| {
        let job = parse_task(&task.task_id).map(|(job, _)| job);
        task.status.is_on_machine() && job.is_some_and(&has_ended)
    };
    let stop = |task: &ReportedTask| WorkerCommand::Stop {
        task_id: task.task_id.clone(),
        attempt: task.attempt,
        grace_s: 0.0,
    };
    heartbeat.tasks.iter().filter(is_over).take(COMMANDS_MAX).map(stop).collect()
}

impl Controller {
    /// Whether the lease of a worker that shows this token may be extended on behalf of the leader: as
    /// far as we know, the worker has no other controller to turn to, and our permission still holds.
    pub(in crate::coordination) fn may_extend_lease(&self, fencing_token: u64) -> bool {
        let now = self.now.monotonic_ms;
        let permit = self.membership.lease_extension.permit;
        let (Some(permit), Some(read_at)) = (permit, self.store.last_read_at()) else {
            return false;
        };
        let peer_can_answer = self
            .membership
            .fresh_gossip(now)
            .any(|gossip| gossip.leads || has_store_access(gossip));
        let is_isolated = !self.store_is_usable() && !peer_can_answer;
        is_isolated
            && permit.term == self.membership.highest_term
            && fencing_token <= permit.term
            && now <= permit.sent_at.min(read_at) + self.isolation_budget_ms()
    }

    /// Answers a heartbeat on behalf of the leader, which extends the worker's lease.
    pub(in crate::coordination) fn extend_lease(
        &mut self,
        connection: ConnectionId,
        heartbeat: &Heartbeat,
    ) {
        let has_ended = |job_id: &str| {
            self.store.replica().has_ended(job_id) || self.membership.has_ended_per_peer(job_id)
        };
        // Tasks of jobs cancelled before we were isolated must still end within `cancel_s`.
        let commands = stop_commands_of_ended_jobs(heartbeat, has_ended);
        let now = self.now.monotonic_ms;
        let term = self.membership.highest_term;
        if now > self.membership.lease_extension.last_extended_at + self.worker_lease_max_ms() {
            log::info!(
                "lease extension begins: no leader in reach, worker leases renewed in term {term}"
            );
        }
        self.membership.lease_extension.last_extended_at = now;
        self.answer_without_starts(connection, term, commands);
    }

    /// Answers a heartbeat with these commands, none of which is a start; the lease is renewed.
    pub(in crate::coordination) fn answer_without_starts(
        &mut self,
        connection: ConnectionId,
        fencing_token: u64,
        commands: Vec<WorkerCommand>,
    ) {
        let response = HeartbeatResponse { fencing_token, commands };
        let body = serde_json::to_vec(&response).unwrap_or_default();
        self.respond(connection, 200, None, body);
    }

    /// A lease that we last renewed at or before this time has not been extended by any peer: each
    /// has said, after the end of that lease, that it did not extend it, or was last permitted to so
    /// long ago that any lease it extended has expired.
    pub(in crate::coordination) fn leases_not_extended_before(&self) -> u64 {
        let now = self.now.monotonic_ms;
        let lease_ms = self.worker_lease_max_ms();
        let Some(leader) = &self.leader else { return 0 };
        let permitted_ms = self.isolation_budget_ms() + lease_ms;
        let not_extended_before = |(peer, permitted_at): (&Peer, &Option<u64>)| {
            let Some(permitted_at) = permitted_at else { return u64::MAX };
            if now > permitted_at + permitted_ms {
                return u64::MAX;
            }
            match peer.no_extension {
                Some(statement) if statement.since + lease_ms <= statement.sent_at => {
                    statement.sent_at - lease_ms
                }
                _ => 0,
            }
        };
        let peers = self.membership.peers.iter().zip(&leader.lease_extension_permits);
        peers.map(not_extended_before).min().unwrap_or(u64::MAX)
    }
}
