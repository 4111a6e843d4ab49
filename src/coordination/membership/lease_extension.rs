//! Extending workers' leases in the leader's place: a controller that is left with nothing but workers, in a
//! zone that is cut off, say, keeps their leases for a while.
//!
//! It has no commands to give, only stops of tasks whose jobs it knows to be over. What permits it is
//! the leader's own answer to a question of ours: for as long after the question as leases may be renewed
//! without the state service (see [`Controller::may_renew_worker_leases`]). The leader knows when it last
//! gave that answer. So it takes no lease for expired until every peer has said, after the lease, that
//! it did not extend it, or can't have been permitted any more when the lease began.

use super::{is_served, Peer};
use crate::constants::COMMANDS_MAX;
use crate::coordination::{ConnectionId, Controller};
use crate::protocol::parse_task;
use crate::protocol::workers::{Heartbeat, HeartbeatResponse, ReportedTask, WorkerCommand};

/// The leader's permission to extend workers' leases.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
struct Permit {
    /// The leader's term.
    term: u64,
    /// When we asked the question that it answered.
    asked_at: u64,
}

/// What a controller knows of its own lease extensions.
#[derive(Debug)]
pub(super) struct LeaseExtension {
    permit: Option<Permit>,
    /// When we last answered a worker in the leader's place, or began.
    last_at: u64,
}

impl LeaseExtension {
    pub(super) fn new(now: u64) -> LeaseExtension {
        LeaseExtension { permit: None, last_at: now }
    }

    /// The leader of a term has answered a question asked at `asked_at`.
    pub(super) fn permit(&mut self, term: u64, asked_at: u64) {
        let permit = Permit { term, asked_at };
        if self.permit.is_none_or(|known| permit > known) {
            self.permit = Some(permit);
        }
    }

    /// When we last answered a worker in the leader's place, or began.
    pub(super) fn last_at(&self) -> u64 {
        self.last_at
    }
}

/// Stops of the tasks that a heartbeat shows of jobs that are over.
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
    /// Whether a worker that shows this token may be answered in the leader's place: nobody else
    /// is to be had for it, as far as we can tell.
    pub(in crate::coordination) fn may_extend_lease(&self, fencing_token: u64) -> bool {
        let now = self.now.monotonic_ms;
        let permit = self.membership.lease_extension.permit;
        let (Some(permit), Some(read_at)) = (permit, self.store.last_read_at()) else {
            return false;
        };
        let others_lead =
            self.membership.fresh_gossip(now).any(|gossip| gossip.leads || is_served(gossip));
        let alone = !self.store_is_usable() && !others_lead;
        alone
            && permit.term == self.membership.highest_term
            && fencing_token <= permit.term
            && now <= permit.asked_at.min(read_at) + self.isolation_budget_ms()
    }

    /// Answers a heartbeat in the leader's place.
    pub(in crate::coordination) fn extend_lease(
        &mut self,
        connection: ConnectionId,
        heartbeat: &Heartbeat,
    ) {
        let has_ended = |uid: &str| {
            self.store.replica().has_ended(uid) || self.membership.has_heard_end_of(uid)
        };
        // What was cancelled before we were left alone must not outlive its time for that.
        let commands = stop_commands_of_ended_jobs(heartbeat, has_ended);
        let now = self.now.monotonic_ms;
        let term = self.membership.highest_term;
        if now > self.membership.lease_extension.last_at + self.worker_lease_max_ms() {
            log::info!("left with nothing but workers, keeps their leases in term {term}");
        }
        self.membership.lease_extension.last_at = now;
        self.answer_without_starts(connection, term, commands);
    }

    /// Answers a heartbeat so that the worker's lease goes on, with nothing to start.
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

    /// The time of our last answer up to which no peer can keep a worker's lease that we have
    /// not renewed since: each has said, after the lease, that it did not extend it, or was
    /// last permitted to so long ago that any lease it renewed has expired.
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
                Some(said) if said.since + lease_ms <= said.asked_at => said.asked_at - lease_ms,
                _ => 0,
            }
        };
        let peers = self.membership.peers.iter().zip(&leader.lease_extension_permits);
        peers.map(not_extended_before).min().unwrap_or(u64::MAX)
    }
}
