//! The leader: the state of one term, the takeover that builds it, and the leader's periodic work.
//!
//! [`Leader`] owns the jobs, machines and placements known in a term, and is dropped when the term ends. It
//! writes to the store only by transactions whose condition is the revision of the leader key.
//!
//! * [`gangs`]: stopping gangs, and gang attempts that can't complete;
//! * [`planning`]: planning passes, from the planner's input to proposed placements and preemptions;
//! * [`worker_leases`]: expiry of worker leases, and handover when no worker reaches this leader;
//! * [`run_times`]: run times observed for each class of jobs;
//! * [`summary`]: the periodic log line on machines and tasks.

mod gangs;
mod planning;
mod run_times;
mod summary;
mod worker_leases;

use super::fleet::Fleet;
use super::heartbeats::DeferredHeartbeat;
use super::leadership::LeaderLease;
use super::transactions::Transactions;
use super::Controller;
use crate::constants::{ATTEMPT_COUNTER_BITS, OVERDUE_WORK_RECHECK_MS, SUMMARY_LOG_PERIOD_MS};
use crate::storage::cluster::ClusterState;
use crate::storage::hashing::HashKeys;
use crate::storage::machine::{Placement, PlacementPhase};
use crate::storage::records::{JobId, MachineName};
use crate::storage::token_bucket::TokenBucket;
use planning::PassSchedule;
use run_times::RunTimes;

/// The state of a leader in its term.
pub struct Leader {
    /// The term in which it leads. The same number is the fencing token in responses to workers.
    pub term: u64,
    /// Revision of the leader key: the condition of every transaction.
    pub mod_revision: u64,
    pub(super) lease: LeaderLease,
    /// Whether the takeover is done: `cluster` is built from the store.
    pub ready: bool,
    /// After a rebuild of the store: whether this term knows what runs on every machine.
    pub(super) machines_reconciled: bool,
    /// When the takeover was done. Before it, responses to workers only renewed their leases.
    pub(super) ready_at: u64,
    /// Jobs, machines and placements as known in this term.
    pub cluster: ClusterState,
    pub(super) fleet: Fleet,
    /// Heartbeats that wait for their response.
    pub(super) deferred_heartbeats: Vec<DeferredHeartbeat>,
    /// When this controller became the leader.
    pub(super) term_began_at: u64,
    /// When the last heartbeat of any worker arrived.
    pub(super) last_heartbeat_at: u64,
    /// When each peer was last told that this controller leads, which permits the peer to extend worker leases
    /// in its place for a while.
    pub(super) lease_extension_permits: Vec<Option<u64>>,
    /// When the next scan for gang attempts that can't complete is due.
    next_gang_scan_at: u64,
    /// When the next scan for expired worker leases is due.
    next_lease_scan_at: u64,
    /// When the next summary line is logged.
    next_summary_at: u64,
    /// The last counter value used by [`Leader::next_unique_number`].
    unique_numbers_used: u64,
    pub(super) transactions: Transactions,
    pass_schedule: PassSchedule,
    run_times: RunTimes,
    /// The oldest waiting job and the machine that is reserved for it.
    pub(super) reservation: Option<(JobId, MachineName)>,
    /// Each team's share of the fleet, in thousandths.
    pub(super) shares: Vec<i64>,
}

impl Leader {
    /// The leader of a term that has just begun; `mod_revision` is the revision of its leader key.
    pub(super) fn new(
        term: u64,
        mod_revision: u64,
        lease_id: u64,
        peers: usize,
        now: u64,
        keys: HashKeys,
    ) -> Leader {
        Leader {
            term,
            mod_revision,
            lease: LeaderLease::new(lease_id, now),
            ready: false,
            machines_reconciled: false,
            ready_at: now,
            cluster: ClusterState::new(keys),
            fleet: Fleet::new(now, keys),
            deferred_heartbeats: Vec::new(),
            term_began_at: now,
            last_heartbeat_at: now,
            lease_extension_permits: vec![None; peers],
            next_gang_scan_at: now,
            next_lease_scan_at: now,
            next_summary_at: now + SUMMARY_LOG_PERIOD_MS,
            unique_numbers_used: 0,
            transactions: Transactions::new(now),
            pass_schedule: PassSchedule::new(now),
            run_times: RunTimes::default(),
            reservation: None,
            shares: Vec::new(),
        }
    }

    /// A number that is unique across all terms: the term in the high bits, a counter in the low ones.
    pub(super) fn next_unique_number(&mut self) -> u64 {
        self.unique_numbers_used += 1;
        (self.term << ATTEMPT_COUNTER_BITS) + self.unique_numbers_used
    }

    /// When the leader has work to do even if no command arrives before: a write that its rate limit then
    /// permits, a deferred response at its deadline, a planning pass. Replies to transactions arrive as commands
    /// and need no timer.
    pub(super) fn next_wake(&self, now: u64, writes: &TokenBucket) -> Option<u64> {
        let has_proposals = !self.cluster.proposals.is_empty();
        let write = self.transactions.next_wake(has_proposals, writes);
        // Any command also triggers the responses that are due, and in a large fleet a heartbeat arrives every
        // few milliseconds. So this timer only has to fire somewhat after the deadline.
        let deferred = self.deferred_heartbeats.iter();
        let response =
            deferred.map(|heartbeat| heartbeat.response_deadline() + OVERDUE_WORK_RECHECK_MS).min();
        // No pass runs until the proposals of the last pass are stored.
        let waits_for_pass = response.is_some() && !has_proposals;
        let pass = waits_for_pass.then(|| self.pass_schedule.next_at().max(now + 1));
        [write, response, pass].into_iter().flatten().min()
    }

    /// Whether a transaction that may add commands for a worker is in flight or due soon.
    pub(super) fn may_have_commands_soon(&self, now: u64) -> bool {
        self.transactions.is_pending()
            || !self.cluster.proposals.is_empty()
            || self.pass_schedule.next_at() <= now + self.min_pass_gap_ms()
    }
}

/// Whether a placement was made in this term and stored, and no start command was sent for it, so that its task
/// is on no machine.
fn start_was_never_sent(placement: &Placement, term: u64) -> bool {
    placement.term() == term
        && placement.phase == PlacementPhase::Committed
        && placement.start_sent_after.is_none()
        && placement.reported_status.is_none()
}

impl Controller {
    /// Does the leader's work that is due; nothing if this controller doesn't lead.
    pub(super) fn run_leader_work_if_due(&mut self) {
        self.check_term();
        if self.leader.is_none() {
            return;
        }
        self.renew_leader_lease_if_due();
        if self.is_rebuilding() {
            return;
        }
        if !self.leader.as_ref().is_some_and(|leader| leader.ready) {
            self.answer_deferred_heartbeats();
            return;
        }
        self.expire_worker_leases();
        self.hand_over_if_no_heartbeats();
        if self.leader.is_none() {
            return;
        }
        self.scan_gangs_if_due();
        self.run_fleet_if_due();
        self.log_summary_if_due();
        self.plan_if_due();
        self.send_due_transaction();
        self.answer_deferred_heartbeats();
    }

    /// Handles the result of a read that was begun after the election, or after a transaction of unknown
    /// outcome.
    pub(super) fn on_leader_read(&mut self, begun_at: u64) {
        match &self.leader {
            None => {}
            Some(leader) if leader.ready => self.resolve_unknown_outcome(begun_at),
            // Takeover waits until recovery has restored the store.
            Some(_) if self.recovery.is_suspended() => {}
            Some(leader) if self.store.replica().revision < leader.mod_revision => {
                self.request_leader_read();
            }
            Some(_) => self.take_over(),
        }
    }

    /// Builds the state of the cluster from the store. Every stored placement is assumed to be possibly
    /// running.
    fn take_over(&mut self) {
        let now = self.now.monotonic_ms;
        let replica = self.store.replica();
        let Some(leader) = self.leader.as_mut() else { return };
        leader.cluster = ClusterState::from_replica(replica, now);
        leader.ready = true;
        leader.ready_at = now;
        if let Some(stored) = &replica.shares {
            let stored = &stored.value.teams;
            let share_of = |team: &str| {
                stored.iter().find(|(name, _)| name == team).map_or(0, |(_, share)| *share)
            };
            let teams = self.settings.params.teams.iter();
            leader.shares = teams.map(|team| share_of(&team.name)).collect();
        }
        leader.pass_schedule.schedule_at(now);
        log::info!(
            "takeover done: term {}, {} live jobs, {} machines with placements",
            leader.term,
            leader.cluster.queue.len(),
            leader.cluster.machines.len()
        );
        self.check_term();
    }
}
