//! Standing in for the leader: a controller that is left with nothing but workers, in a zone that
//! is cut off, say, keeps their leases for a while.
//!
//! It has no commands to give, only halts of tasks whose jobs it knows to be over. What permits it is
//! the leader's own word in answer to a question of ours: for as long after the question as
//! leases may be renewed without the state service (see [`Controller::may_renew_worker_leases`]). The leader
//! knows when it last gave that word. So it takes no lease for over until every peer has vouched, after the
//! lease, that it did not stand in, or can't have been permitted any more when the lease began.

use super::users::served_gossip;
use super::{peers, ConnectionId, Controller};
use crate::constants::COMMANDS_MAX;
use crate::protocol::parse_task;
use crate::protocol::workers::{Heartbeat, HeartbeatResponse, ReportedTask, WorkerCommand};

/// What a controller knows of its own standing in.
#[derive(Debug)]
pub(crate) struct LeaseExtension {
    /// The leader's term, and when we asked the question that it answered.
    permit: Option<(u64, u64)>,
    /// When we last answered a worker in the leader's place, or began.
    last_at: u64,
}

impl LeaseExtension {
    pub(super) fn new(now: u64) -> LeaseExtension {
        LeaseExtension { permit: None, last_at: now }
    }

    /// The leader of a term has answered a question asked at `begun`.
    pub(super) fn permitted(&mut self, term: u64, begun: u64) {
        if self.permit.is_none_or(|p| (term, begun) > p) {
            self.permit = Some((term, begun));
        }
    }

    pub(super) fn last_at(&self) -> u64 {
        self.last_at
    }
}

/// Halts of the tasks that a report shows of jobs that are over.
pub(super) fn halts_of_ended(
    report: &Heartbeat,
    over: impl Fn(&str) -> bool,
) -> Vec<WorkerCommand> {
    let is_over = |task: &&ReportedTask| {
        let job = parse_task(&task.task_id).map(|(job, _)| job);
        task.status.is_on_machine() && job.is_some_and(&over)
    };
    let halt = |task: &ReportedTask| WorkerCommand::Stop {
        task_id: task.task_id.clone(),
        attempt: task.attempt,
        grace_s: 0.0,
    };
    report.tasks.iter().filter(is_over).take(COMMANDS_MAX).map(halt).collect()
}

impl Controller {
    /// Whether a worker that shows this token may be answered in the leader's place: nobody else
    /// is to be had for it, as far as we can tell.
    pub(super) fn may_extend_lease(&self, token: u64) -> bool {
        let now = self.now.monotonic_ms;
        let (Some((term, begun)), Some(known)) =
            (self.lease_extension.permit, self.store_sync.fresh_at)
        else {
            return false;
        };
        let alone =
            !self.store_is_usable() && !self.fresh_gossip().any(|g| g.leads || served_gossip(g));
        alone
            && term == self.highest_term
            && token <= term
            && now <= begun.min(known) + self.isolation_budget_ms()
    }

    /// Answers a report in the leader's place.
    pub(super) fn extend_lease(&mut self, connection: ConnectionId, report: Heartbeat) {
        let over = |uid: &str| self.replica.has_ended(uid) || self.ended_by_peers.contains(uid);
        // What was cancelled before we were left alone must not outlive its time for that.
        let commands = halts_of_ended(&report, over);
        let now = self.now.monotonic_ms;
        if now > self.lease_extension.last_at + self.lease_ms() {
            log::info!(
                "left with nothing but workers, keeps their leases in term {}",
                self.highest_term
            );
        }
        self.lease_extension.last_at = now;
        self.answer_without_starts(connection, self.highest_term, commands);
    }

    /// Answers a report so that the worker's lease goes on, with nothing to start.
    pub(super) fn answer_without_starts(
        &mut self,
        connection: ConnectionId,
        token: u64,
        commands: Vec<WorkerCommand>,
    ) {
        let body = serde_json::to_vec(&HeartbeatResponse { fencing_token: token, commands })
            .unwrap_or_default();
        self.respond(connection, 200, None, body);
    }

    /// The time of our last answer up to which no peer can keep a worker's lease that we have
    /// not renewed since: each has vouched, after the lease, that it did not stand in, or was
    /// last permitted to so long ago that any lease it renewed is over.
    pub(super) fn nobody_else_answered_before(&self) -> u64 {
        let now = self.now.monotonic_ms;
        let lease = self.lease_ms();
        let Some(leader) = &self.leader else { return 0 };
        let permitted = self.isolation_budget_ms() + lease;
        let of = |(peer, told): (&peers::PeerView, &Option<u64>)| match (told, peer.vouch) {
            (None, _) => u64::MAX,
            (Some(t), _) if now > t + permitted => u64::MAX,
            (_, Some((asked, extended))) if extended + lease <= asked => asked - lease,
            _ => 0,
        };
        self.peers.iter().zip(&leader.lease_extension_permits).map(of).min().unwrap_or(u64::MAX)
    }
}
