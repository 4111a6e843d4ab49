//! The leader: the state of one term, its takeover, and what it does when nothing comes in.
//!
//! [`Leader`] owns what a term knows of jobs, machines and placements, and is dropped with the term. It
//! must not change anything in the store but by a transaction that depends on the leader key's revision.
//!
//! * [`gangs`]: attempts of gangs that can't become complete;
//! * [`planning`]: planning passes, from the planner's input to proposals and stops;
//! * [`worker_leases`]: evidence that time gives, and handing over when no worker is heard;
//! * [`run_times`]: what a class of jobs was seen to take;
//! * [`summary`]: the line on how things stand.

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
use crate::constants::{ATTEMPT_COUNTER_BITS, POLL_SOON_MS, STATUS_LOG_PERIOD_MS};
use crate::storage::cluster::ClusterState;
use crate::storage::hashing::HashKeys;
use crate::storage::machine::{Placement, PlacementPhase};
use crate::storage::records::{JobId, MachineName};
use crate::storage::token_bucket::TokenBucket;
use planning::PassSchedule;
use run_times::RunTimes;

/// A leader's state.
pub struct Leader {
    /// The term in which it leads, which is also the fencing token shown to workers.
    pub term: u64,
    /// Revision of the leader key: condition of every transaction.
    pub mod_revision: u64,
    pub(super) lease: LeaderLease,
    /// The state of the cluster is built.
    pub ready: bool,
    /// After a rebuild of the store: what runs on every machine is known to this term.
    pub(super) machines_accounted: bool,
    /// When that state was built: until then workers were answered to keep their leases at the most.
    pub(super) ready_at: u64,
    /// Jobs, machines and placements as this term knows them.
    pub cluster: ClusterState,
    pub(super) fleet: Fleet,
    pub(super) deferred_heartbeats: Vec<DeferredHeartbeat>,
    pub(super) began_at: u64,
    /// Last heartbeat of any worker.
    pub(super) last_heartbeat_at: u64,
    /// When each peer was last told that we lead: what permits it to extend leases in our place.
    pub(super) lease_extension_permits: Vec<Option<u64>>,
    /// When gangs that can't become complete are looked for next.
    gang_scan_at: u64,
    /// When worker leases are looked at next.
    lease_scan_at: u64,
    /// When the next summary is logged.
    summary_at: u64,
    /// Numbers given out by [`Leader::unique`].
    unique_numbers: u64,
    pub(super) transactions: Transactions,
    passes: PassSchedule,
    run_times: RunTimes,
    /// The oldest waiting job and the machine that is reserved for it.
    pub(super) reservation: Option<(JobId, MachineName)>,
    /// The teams' shares, in thousandths of the fleet.
    pub(super) shares: Vec<i64>,
}

impl Leader {
    /// The leader of a term that has just begun; `mod_revision` is that of its leader key.
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
            machines_accounted: false,
            ready_at: now,
            cluster: ClusterState::new(keys),
            fleet: Fleet::new(now, keys),
            deferred_heartbeats: Vec::new(),
            began_at: now,
            last_heartbeat_at: now,
            lease_extension_permits: vec![None; peers],
            gang_scan_at: now,
            lease_scan_at: now,
            summary_at: now + STATUS_LOG_PERIOD_MS,
            unique_numbers: 0,
            transactions: Transactions::new(now),
            passes: PassSchedule::new(now),
            run_times: RunTimes::default(),
            reservation: None,
            shares: Vec::new(),
        }
    }

    /// A number never used before or after: the term and a counter.
    pub(super) fn unique(&mut self) -> u64 {
        self.unique_numbers += 1;
        (self.term << ATTEMPT_COUNTER_BITS) + self.unique_numbers
    }

    /// When it has to look again if nothing comes in before. Answers to transactions come in; what
    /// waits for a pass, for a write to spare or for its longest time does not.
    pub(super) fn next_wake(&self, now: u64, writes: &TokenBucket) -> Option<u64> {
        let has_proposals = !self.cluster.proposals.is_empty();
        let write = self.transactions.next_wake(has_proposals, writes);
        // Whatever comes in answers those that have waited long enough too: in a large fleet a heartbeat
        // comes every few milliseconds, and to wake for each of them alone is mostly for nothing.
        let deferred = self.deferred_heartbeats.iter();
        let response = deferred.map(|heartbeat| heartbeat.answer_by() + POLL_SOON_MS).min();
        // A pass waits until what the last one decided is stored.
        let waits_for_pass = response.is_some() && !has_proposals;
        let pass = waits_for_pass.then(|| self.passes.next_at().max(now + 1));
        [write, response, pass].into_iter().flatten().min()
    }

    /// Whether a transaction that may bring commands for a worker is under way or due.
    pub(super) fn deciding(&self, now: u64) -> bool {
        self.transactions.is_pending()
            || !self.cluster.proposals.is_empty()
            || self.passes.next_at() <= now + self.min_pass_gap_ms()
    }
}

/// Whether a stored placement of a term was never ordered: its task is on no machine.
fn was_never_ordered(placement: &Placement, term: u64) -> bool {
    placement.term() == term
        && placement.phase == PlacementPhase::Committed
        && placement.start_sent_after.is_none()
        && placement.reported_status.is_none()
}

impl Controller {
    /// Does what is due of the leader's work.
    pub(super) fn leader_due(&mut self) {
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
        self.hand_over_if_no_worker_reports();
        if self.leader.is_none() {
            return;
        }
        self.gangs_due();
        self.fleet_due();
        self.log_summary_due();
        self.planning_due();
        self.send_due_transaction();
        self.answer_deferred_heartbeats();
    }

    /// A read that was begun after the election, or after a transaction of unknown outcome, is in.
    pub(super) fn on_leader_read(&mut self, begun: u64) {
        match &self.leader {
            None => {}
            Some(leader) if leader.ready => self.resolve_unknown_outcome(begun),
            // The store is written back first.
            Some(_) if self.recovery.is_suspended() => {}
            Some(leader) if self.store.replica().revision < leader.mod_revision => {
                self.request_leader_read();
            }
            Some(_) => self.take_over(),
        }
    }

    /// Builds the state of the cluster from the store. Every placement counts as possibly running.
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
        leader.passes.pass_at(now);
        log::info!(
            "term {}: {} live jobs, {} machines with placements",
            leader.term,
            leader.cluster.queue.len(),
            leader.cluster.machines.len()
        );
        self.check_term();
    }
}
