//! The leader: takeover, write-ahead commits, planning passes, evidence that time gives.

use super::commits::{PlacementEntry, PlacementMove};
use super::fleet::Fleet;
use super::heartbeats::DeferredHeartbeat;
use super::planner;
use super::planner_input::PlannerInput;
use super::{Clock, Controller};
use crate::constants::{
    ATTEMPT_BITS, AVERAGE_WEIGHT, CLOCK_DRIFT, ESTIMATE_MIN_S, FLEET_MACHINE_MS, FLEET_PERIOD_MS,
    GARBAGE_PERIOD_MS, IMAGES_PERIOD_MS, LEADER_RENEW_MS, LEADER_UNHEARD_MS, LEASE_MARGIN_MS,
    LEASE_SCAN_MS, MS_PER_S, PASS_GAP_MACHINE_MS, PASS_GAP_MS, POLL_SOON_MS, RATIO_SAMPLES_MIN,
    SERVICE_REFERENCE_S, STATUS_LOG_PERIOD_MS, WRITE_RESERVE,
};
use crate::protocol::state::Transaction;
use crate::protocol::users::JobKind;
use crate::protocol::users::JobSpec;
use crate::protocol::workers::EndCause;
use crate::protocol::Resources;
use crate::storage::budget::Bucket;
use crate::storage::cluster::ClusterState;
use crate::storage::hashing::HashKeys;
use crate::storage::machine::{Machine, MachineState, PlacementPhase, StopReason};
use crate::storage::records::{JobId, MachineName};
use std::collections::BTreeMap;

/// A commit that is under way.
#[derive(Debug, Default)]
pub(super) struct PendingTransaction {
    pub commit: Transaction,
    pub body: Vec<u8>,
    /// Groups of placements that it writes, with what it stores and takes out.
    pub groups: Vec<u32>,
    pub additions: Vec<PlacementEntry>,
    pub removals: Vec<PlacementEntry>,
    /// Placements that it moves from a group that was too large.
    pub moves: Vec<PlacementMove>,
    /// Groups of bitmaps that it writes, and the chunks that changed.
    pub done_groups: Vec<u32>,
    pub chunks: Vec<(JobId, u32)>,
    pub finished_jobs: Vec<JobId>,
    pub stale_keys: Vec<(String, u64)>,
    /// It was sent at least once with no answer: it may have been applied.
    pub outcome_unknown: bool,
    /// A copy is out now.
    pub in_flight: bool,
    /// Waits for a read that tells what became of it.
    pub awaiting_read_since: Option<u64>,
    pub not_before: u64,
}

/// Run times seen for a class of jobs, against what owners guessed.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct RunStats {
    ratio: f64,
    samples: u32,
}

/// A leader's state.
pub struct Leader {
    /// The term in which it leads, which is also the token shown to workers.
    pub term: u64,
    /// Stamp of the leader key: condition of every commit.
    pub mod_revision: u64,
    pub(super) lease_id: u64,
    pub(super) renew_at: u64,
    pub(super) renewing: bool,
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
    /// Last report of any worker.
    pub(super) last_heartbeat_at: u64,
    /// When each peer was last told that we lead: what permits it to stand in for us.
    pub(super) lease_extension_permits: Vec<Option<u64>>,
    /// When gangs that can't become complete are looked for next.
    pub(super) gang_scan_at: u64,
    /// When leases are looked at next.
    lease_scan_at: u64,
    /// When the next line of the day's story is due.
    status_log_at: u64,
    counter: u64,
    pub(super) pending_transaction: Option<PendingTransaction>,
    /// The last commit was there to divide a group that is too large.
    pub(super) divided_last: bool,
    plan_at: u64,
    planned_at: u64,
    pub(super) done_at: u64,
    /// When the images on machines are written next, and when keys that nobody needs are
    /// looked for.
    pub(super) images_at: u64,
    pub(super) garbage_at: u64,
    pub(super) runs: BTreeMap<String, RunStats>,
    pub(super) reservation: Option<(JobId, MachineName)>,
    /// The teams' shares, in thousandths of the fleet, and whether they are in the store.
    pub(super) shares: Vec<i64>,
    pub(super) shares_written: bool,
    pub(super) catalog_written: bool,
}

impl Leader {
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
            lease_id,
            renew_at: now + LEADER_RENEW_MS,
            renewing: false,
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
            status_log_at: now + STATUS_LOG_PERIOD_MS,
            counter: 0,
            pending_transaction: None,
            divided_last: false,
            plan_at: now,
            planned_at: 0,
            done_at: now,
            images_at: now + IMAGES_PERIOD_MS,
            garbage_at: now + GARBAGE_PERIOD_MS,
            runs: BTreeMap::new(),
            reservation: None,
            shares: Vec::new(),
            shares_written: true,
            catalog_written: false,
        }
    }

    /// A number never used before or after: the term and a counter.
    pub(super) fn unique(&mut self) -> u64 {
        self.counter += 1;
        (self.term << ATTEMPT_BITS) + self.counter
    }

    /// One line on how things stand.
    fn log_status(&self) {
        let cluster = &self.cluster;
        let count =
            |f: &dyn Fn(&Machine) -> bool| cluster.machines.values().filter(|m| f(m)).count();
        let up = |m: &Machine| m.state == MachineState::Up && !m.lease_expired;
        let mut free = Resources::default();
        for m in cluster.machines.values().filter(|m| up(m)) {
            free += cluster.free(m);
        }
        let open = || {
            cluster
                .machines
                .values()
                .flat_map(|m| m.placements.values())
                .filter(|p| p.settled.is_none())
        };
        log::info!(
            "{} ordinary and {} spot machines up, {} idle, {} booting; {} tasks run, {} start, {} stop, {} wait; {} cores and {} gpus free",
            count(&|m| up(m) && !m.spot),
            count(&|m| up(m) && m.spot),
            count(&|m| up(m) && m.placements.is_empty()),
            count(&|m| m.state == MachineState::Booting),
            open().filter(|p| p.running_since.is_some() && p.stop_reason.is_none()).count(),
            open().filter(|p| p.running_since.is_none() && p.stop_reason.is_none()).count(),
            open().filter(|p| p.stop_reason.is_some()).count(),
            cluster.jobs.values().map(|j| u64::from(j.waiting())).sum::<u64>(),
            free.cpu / 1000,
            free.gpu / 1000,
        );
    }

    /// A pass is wanted before its period is over.
    pub(super) fn plan_soon(&mut self, now: u64) {
        self.plan_at = self.plan_at.min(now.max(self.planned_at + self.pass_gap()));
    }

    /// Least milliseconds between two passes: what a pass costs grows with the fleet.
    fn pass_gap(&self) -> u64 {
        PASS_GAP_MS + (self.cluster.machines.len() as f64 * PASS_GAP_MACHINE_MS) as u64
    }

    /// Milliseconds between two looks at the size of the fleet, for the same reason.
    pub(super) fn fleet_period(&self) -> u64 {
        FLEET_PERIOD_MS + (self.cluster.machines.len() as f64 * FLEET_MACHINE_MS) as u64
    }

    /// When it has to look again if nothing comes in before. Answers to commits come in; what
    /// waits for a pass, for a write to spare or for its longest time does not.
    pub(super) fn next_wake(&self, now: u64, writes: &Bucket) -> Option<u64> {
        let write = match &self.pending_transaction {
            Some(f) if f.in_flight || f.awaiting_read_since.is_some() => None,
            Some(f) => Some(f.not_before.max(writes.available_at(f.commit.writes.len() as f64))),
            None if self.cluster.proposals.is_empty() => None,
            None => Some(writes.available_at(WRITE_RESERVE + 1.0)),
        };
        // Whatever comes in answers those that have waited long enough too: in a large fleet a report
        // comes every few milliseconds, and to wake for each of them alone is mostly for nothing.
        let held = self.deferred_heartbeats.iter().map(|h| h.answer_by() + POLL_SOON_MS).min();
        // A pass waits until what the last one decided is stored.
        let pass = (held.is_some() && self.cluster.proposals.is_empty()).then_some(self.plan_at);
        let pass = pass.map(|t| t.max(now + 1));
        [write, held, pass].into_iter().flatten().min()
    }

    /// Whether a commit that may bring commands for a worker is under way or due.
    pub(super) fn deciding(&self, now: u64) -> bool {
        self.pending_transaction.as_ref().is_some_and(|f| !f.outcome_unknown)
            || !self.cluster.proposals.is_empty()
            || self.plan_at <= now + self.pass_gap()
    }

    /// The run time to expect of a job's task, in milliseconds: the owner's guess, corrected
    /// by what its class was seen to take.
    pub(super) fn run_ms(&self, spec: &JobSpec) -> u64 {
        if spec.kind == JobKind::Service {
            return (SERVICE_REFERENCE_S * MS_PER_S) as u64;
        }
        let ratio = match self.runs.get(&spec.class) {
            Some(r) if r.samples >= RATIO_SAMPLES_MIN => r.ratio,
            _ => 1.0,
        };
        ((spec.run_estimate_s * ratio).max(ESTIMATE_MIN_S) * MS_PER_S) as u64
    }

    /// Learns from a run that ended well.
    pub(super) fn learn_run(&mut self, spec: &JobSpec, ran_ms: u64) {
        if spec.run_estimate_s <= 0.0 {
            return;
        }
        let seen = (ran_ms as f64 / MS_PER_S / spec.run_estimate_s).clamp(0.05, 20.0);
        let r = self.runs.entry(spec.class.clone()).or_default();
        r.samples += 1;
        let w = AVERAGE_WEIGHT.max(1.0 / f64::from(r.samples));
        r.ratio += (seen - r.ratio) * w;
    }
}

impl Controller {
    pub(super) fn leader_due(&mut self) {
        self.check_term();
        if self.leader.is_none() {
            return;
        }
        self.renew_due();
        if self.is_rebuilding() {
            return;
        }
        if !self.leader.as_ref().is_some_and(|leader| leader.ready) {
            self.answer_deferred_heartbeats();
            return;
        }
        self.expire_leases();
        self.hand_over_if_no_worker_reports();
        if self.leader.is_none() {
            return;
        }
        self.gangs_due();
        self.fleet_due();
        let now = self.now.monotonic_ms;
        if let Some(leader) = self.leader.as_mut().filter(|leader| now >= leader.status_log_at) {
            leader.status_log_at = now + STATUS_LOG_PERIOD_MS;
            leader.log_status();
        }
        // What the last pass decided is stored first: to decide more would only queue it.
        let due = |leader: &Leader| leader.plan_at <= now && leader.cluster.proposals.is_empty();
        let plans = self.store_is_usable() && !self.starts_are_blocked();
        if self.leader.as_ref().is_some_and(due) && plans {
            self.plan_pass();
        }
        self.commit_due();
        self.answer_deferred_heartbeats();
    }

    /// A read that was begun after the election, or after an unclear commit, is in.
    pub(super) fn on_leader_read(&mut self, begun: u64) {
        let now = self.now.monotonic_ms;
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        if !leader.ready {
            if self.recovery.is_suspended() {
                // The store is written back first.
                return;
            }
            if self.store.replica().revision < leader.mod_revision {
                return self.request_leader_read();
            }
            leader.cluster = ClusterState::from_replica(self.store.replica(), now);
            leader.ready = true;
            leader.ready_at = now;
            if let Some(rec) = &self.store.replica().shares {
                let of = |t: &str| rec.value.teams.iter().find(|(n, _)| n == t).map(|(_, s)| *s);
                leader.shares =
                    self.settings.params.teams.iter().map(|t| of(&t.name).unwrap_or(0)).collect();
            }
            leader.plan_at = now;
            log::info!(
                "term {}: {} live jobs, {} machines with placements",
                leader.term,
                leader.cluster.queue.len(),
                leader.cluster.machines.len()
            );
            return self.check_term();
        }
        self.resolve_unknown_outcome(begun);
    }

    // --- evidence by time --------------------------------------------------------

    /// Leases that have surely run out: the worker had shown our token, so nobody of a
    /// lower term can have renewed it, our last answer is older than the lease, and no peer
    /// has answered it in our place since.
    fn expire_leases(&mut self) {
        let now = self.now.monotonic_ms;
        let lease = self.lease_ms();
        if self.leader.as_ref().is_none_or(|leader| now < leader.lease_scan_at) {
            return;
        }
        self.metrics.work.lease_scans += 1;
        let alone_since = self.leases_not_extended_before();
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        // No lease that runs now can be over before the oldest of them: until then a look at
        // every machine would find nothing.
        let mut oldest = now;
        let mut lease_expired = Vec::new();
        for m in leader.cluster.machines.values_mut() {
            let Some(answered) = m.last_response_at else {
                continue;
            };
            // One whose report waits for its answer is not silent: it was once taken for silent
            // again when it came back, with a start for it on the way, and that task ran twice.
            let last = answered.max(m.last_heartbeat_at.unwrap_or(0));
            let counts = m.has_our_token && !m.lease_expired && m.state == MachineState::Up;
            if counts && now > last + lease && last <= alone_since {
                m.lease_expired = true;
                lease_expired.push(m.name.clone());
            } else if counts {
                oldest = oldest.min(last);
            }
        }
        leader.lease_scan_at = (oldest + lease + 1).max(now + LEASE_SCAN_MS);
        for name in lease_expired {
            log::info!("{name}: silent, its lease has run out");
            leader.cluster.settle_machine(&name);
            leader.plan_soon(now);
        }
    }

    /// The longest time after an answer at which a worker may still run tasks.
    pub(super) fn lease_ms(&self) -> u64 {
        let s = self.settings.params.workers.lease_s * (1.0 + CLOCK_DRIFT);
        (s * MS_PER_S) as u64 + LEASE_MARGIN_MS
    }

    /// All workers are silent here while peers see them come round: someone else should lead.
    fn hand_over_if_no_worker_reports(&mut self) {
        let now = self.now.monotonic_ms;
        let Some(leader) = &self.leader else { return };
        let quiet = now > leader.last_heartbeat_at + LEADER_UNHEARD_MS
            && now > leader.began_at + LEADER_UNHEARD_MS;
        let peers_hear = self
            .membership
            .fresh_gossip(self.now.monotonic_ms)
            .any(|g| g.workers_seen > 0 && g.served_ago_ms.is_some());
        if quiet && peers_hear {
            self.hand_over("no worker reports here, but to others they do");
        }
    }

    // --- planning ----------------------------------------------------------------

    fn plan_pass(&mut self) {
        let now = self.now.monotonic_ms;
        let Some(catalog) = self.cloud.catalog().cloned() else {
            return;
        };
        let wall_ms = self.now.wall_ms;
        let settings = self.settings.clone();
        let operator = self.operator.clone();
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        leader.planned_at = now;
        leader.plan_at = now + operator.pass_period_ms;
        if !leader.cluster.has_waiting_tasks() && leader.shares.len() == settings.params.teams.len()
        {
            // There is nothing to place, to make room for or to reserve.
            leader.reservation = None;
            leader.fleet.clear_unplaced();
            return;
        }
        self.metrics.work.planner_passes += 1;
        self.metrics.work.planner_machines += leader.cluster.machines.len() as u64;
        let mut view = PlannerInput::of_cluster(
            leader,
            &settings,
            &operator,
            &catalog,
            Clock { monotonic_ms: now, wall_ms },
        );
        let shares = planner::move_shares(&view.snapshot, leader.shares.clone());
        if shares != leader.shares {
            leader.shares = shares;
            leader.shares_written = false;
        }
        for (team, share) in view.snapshot.teams.iter_mut().zip(&leader.shares) {
            team.share_permille = *share;
        }
        let plan = planner::plan(&view.snapshot);
        self.metrics.work.planner_places += plan.candidates_examined;
        leader.reservation = plan.reservation.map(|reserved| {
            (view.jobs[reserved.job].clone(), view.machines[reserved.machine].clone())
        });
        let mut gangs: BTreeMap<usize, Vec<MachineName>> = BTreeMap::new();
        for placed in &plan.placements {
            let machine = view.machines[placed.machine].clone();
            if view.snapshot.jobs[placed.job].is_gang {
                gangs.entry(placed.job).or_default().push(machine);
                continue;
            }
            let uid = view.jobs[placed.job].clone();
            let Some(task) = leader.cluster.jobs.get(&uid).and_then(|j| j.next_waiting()) else {
                continue;
            };
            let attempt = leader.unique();
            leader.cluster.propose(&uid, task, &machine, attempt, now);
            log::debug!("{uid}/{task}: placed on {machine}, attempt {attempt}");
        }
        for (j, machines) in gangs {
            let (uid, attempt) = (&view.jobs[j], leader.unique());
            if leader.cluster.propose_gang(uid, &machines, attempt, now) {
                log::debug!("{uid}: gang placed on {}, attempt {attempt}", machines.join(", "));
            } else {
                log::error!("{uid}: a part of a gang is not placed");
            }
        }
        for preempted in &plan.preemptions {
            let id = view.handles[preempted.machine][preempted.handle].clone();
            let machine = &view.machines[preempted.machine];
            if leader.cluster.jobs.get(&id.job).is_some_and(|job| job.is_gang()) {
                log::debug!("{}: gang stopped to make room", id.job);
                leader.stop_gang(&id.job, StopReason::Eviction, now);
                continue;
            }
            let held =
                leader.cluster.machines.get_mut(machine).and_then(|m| m.placements.get_mut(&id));
            let Some(p) = held else { continue };
            log::debug!("{id}: stopped on {machine} to make room");
            p.stop_reason = p.stop_reason.max(Some(StopReason::Eviction));
            // Stored but never ordered by us: it can't be there, so its place is free at once.
            let ours = p.attempt >> ATTEMPT_BITS == leader.term;
            if ours
                && p.phase == PlacementPhase::Committed
                && p.start_sent_after.is_none()
                && p.reported_status.is_none()
            {
                leader.cluster.settle(machine, &id, EndCause::Lost);
            }
        }
        leader.fleet.note_unplaced(&view, &plan, &catalog);
    }
}
