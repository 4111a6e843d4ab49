//! The leader: takeover, write-ahead commits, planning passes, evidence that time gives.

use super::commits::{Entry, Move};
use super::fleet::Fleet;
use super::planner;
use super::snapshot::View;
use super::workers::HeldReport;
use super::{Clock, Controller};
use crate::constants::{
    ATTEMPT_BITS, AVERAGE_WEIGHT, CLOCK_DRIFT, ESTIMATE_MIN_S, FLEET_MACHINE_MS, FLEET_PERIOD_MS,
    GARBAGE_PERIOD_MS, IMAGES_PERIOD_MS, LEADER_RENEW_MS, LEADER_UNHEARD_MS, LEASE_MARGIN_MS,
    LEASE_SCAN_MS, MS_PER_S, PASS_GAP_MACHINE_MS, PASS_GAP_MS, POLL_SOON_MS, RATIO_SAMPLES_MIN,
    REPORT_HOLD_MS, SERVICE_REFERENCE_S, STATUS_LOG_PERIOD_MS, WRITE_RESERVE,
};
use crate::protocol::state::Commit;
use crate::protocol::users::JobKind;
use crate::protocol::users::JobSpec;
use crate::protocol::workers::Cause;
use crate::protocol::Resources;
use crate::storage::budget::Bucket;
use crate::storage::cluster::ClusterState;
use crate::storage::hashing::HashKeys;
use crate::storage::machine::{Halt, Life, Machine, Phase};
use crate::storage::records::Name;
use std::collections::BTreeMap;

/// A commit that is under way.
#[derive(Debug, Default)]
pub(super) struct PendingCommit {
    pub commit: Commit,
    pub body: Vec<u8>,
    /// Groups of placements that it writes, with what it stores and takes out.
    pub groups: Vec<u32>,
    pub adds: Vec<Entry>,
    pub leaves: Vec<Entry>,
    /// Placements that it moves from a group that was too large.
    pub moves: Vec<Move>,
    /// Groups of bitmaps that it writes, and the chunks that changed.
    pub done_groups: Vec<u32>,
    pub chunks: Vec<(Name, u32)>,
    pub finishes: Vec<Name>,
    pub garbage: Vec<(String, u64)>,
    /// It was sent at least once with no answer: it may have been applied.
    pub unclear: bool,
    /// A copy is out now.
    pub sent: bool,
    /// Waits for a read that tells what became of it.
    pub reading: Option<u64>,
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
    pub stamp: u64,
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
    pub(super) held: Vec<HeldReport>,
    pub(super) began: u64,
    /// Last report of any worker.
    pub(super) heard_at: u64,
    /// When each peer was last told that we lead: what permits it to stand in for us.
    pub(super) permitted: Vec<Option<u64>>,
    /// When gangs that can't become complete are looked for next.
    pub(super) gang_scan_at: u64,
    /// When leases are looked at next.
    lease_scan_at: u64,
    /// When the next line of the day's story is due.
    status_log_at: u64,
    counter: u64,
    pub(super) pending_commit: Option<PendingCommit>,
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
    pub(super) reservation: Option<(Name, Name)>,
    /// The teams' shares, in thousandths of the fleet, and whether they are in the store.
    pub(super) shares: Vec<i64>,
    pub(super) shares_written: bool,
    pub(super) catalog_written: bool,
}

impl Leader {
    pub(super) fn new(
        term: u64,
        stamp: u64,
        lease_id: u64,
        peers: usize,
        now: u64,
        keys: HashKeys,
    ) -> Leader {
        Leader {
            term,
            stamp,
            lease_id,
            renew_at: now + LEADER_RENEW_MS,
            renewing: false,
            ready: false,
            machines_accounted: false,
            ready_at: now,
            cluster: ClusterState::new(keys),
            fleet: Fleet::new(now, keys),
            held: Vec::new(),
            began: now,
            heard_at: now,
            permitted: vec![None; peers],
            gang_scan_at: now,
            lease_scan_at: now,
            status_log_at: now + STATUS_LOG_PERIOD_MS,
            counter: 0,
            pending_commit: None,
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
        let up = |m: &Machine| m.life == Life::Up && !m.lease_expired;
        let mut free = Resources::default();
        for m in cluster.machines.values().filter(|m| up(m)) {
            free += cluster.free(m);
        }
        let open = || {
            cluster
                .machines
                .values()
                .flat_map(|m| m.placements.values())
                .filter(|p| p.ended.is_none())
        };
        log::info!(
            "{} ordinary and {} spot machines up, {} idle, {} booting; {} tasks run, {} start, {} stop, {} wait; {} cores and {} gpus free",
            count(&|m| up(m) && !m.spot),
            count(&|m| up(m) && m.spot),
            count(&|m| up(m) && m.placements.is_empty()),
            count(&|m| m.life == Life::Booting),
            open().filter(|p| p.running_since.is_some() && p.halt.is_none()).count(),
            open().filter(|p| p.running_since.is_none() && p.halt.is_none()).count(),
            open().filter(|p| p.halt.is_some()).count(),
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
        let write = match &self.pending_commit {
            Some(f) if f.sent || f.reading.is_some() => None,
            Some(f) => Some(f.not_before.max(writes.available_at(f.commit.writes.len() as f64))),
            None if self.cluster.proposals.is_empty() => None,
            None => Some(writes.available_at(WRITE_RESERVE + 1.0)),
        };
        // Whatever comes in answers those that have waited long enough too: in a large fleet a report
        // comes every few milliseconds, and to wake for each of them alone is mostly for nothing.
        let held = self.held.iter().map(|h| h.since + REPORT_HOLD_MS + POLL_SOON_MS).min();
        // A pass waits until what the last one decided is stored.
        let pass = (held.is_some() && self.cluster.proposals.is_empty()).then_some(self.plan_at);
        let pass = pass.map(|t| t.max(now + 1));
        [write, held, pass].into_iter().flatten().min()
    }

    /// Whether a commit that may bring commands for a worker is under way or due.
    pub(super) fn deciding(&self, now: u64) -> bool {
        self.pending_commit.as_ref().is_some_and(|f| !f.unclear)
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
        if self.rebuilds() {
            return;
        }
        if !self.leader.as_ref().is_some_and(|l| l.ready) {
            self.flush_held();
            return;
        }
        self.expire_leases();
        self.hand_over_if_unheard();
        if self.leader.is_none() {
            return;
        }
        self.gangs_due();
        self.fleet_due();
        let now = self.now.mono;
        if let Some(l) = self.leader.as_mut().filter(|l| now >= l.status_log_at) {
            l.status_log_at = now + STATUS_LOG_PERIOD_MS;
            l.log_status();
        }
        // What the last pass decided is stored first: to decide more would only queue it.
        let due = |l: &Leader| l.plan_at <= now && l.cluster.proposals.is_empty();
        let plans = self.served() && !self.starts_are_held();
        if self.leader.as_ref().is_some_and(due) && plans {
            self.plan_pass();
        }
        self.commit_due();
        self.flush_held();
    }

    /// A read that was begun after the election, or after an unclear commit, is in.
    pub(super) fn leader_fresh(&mut self, begun: u64) {
        let now = self.now.mono;
        let Some(l) = self.leader.as_mut() else {
            return;
        };
        if !l.ready {
            if self.recovery.holds() {
                // The store is written back first.
                return;
            }
            if self.replica.rev < l.stamp {
                return self.leader_wants_fresh();
            }
            l.cluster = ClusterState::from_replica(&self.replica, now);
            l.ready = true;
            l.ready_at = now;
            if let Some(rec) = &self.replica.shares {
                let of = |t: &str| rec.value.teams.iter().find(|(n, _)| n == t).map(|(_, s)| *s);
                l.shares = self.cfg.params.teams.iter().map(|t| of(&t.name).unwrap_or(0)).collect();
            }
            l.plan_at = now;
            log::info!(
                "term {}: {} live jobs, {} machines with placements",
                l.term,
                l.cluster.queue.len(),
                l.cluster.machines.len()
            );
            return self.check_term();
        }
        self.resolve_commit(begun);
    }

    // --- evidence by time --------------------------------------------------------

    /// Leases that have surely run out: the worker had shown our token, so nobody of a
    /// lower term can have renewed it, our last answer is older than the lease, and no peer
    /// has answered it in our place since.
    fn expire_leases(&mut self) {
        let now = self.now.mono;
        let lease = self.lease_ms();
        if self.leader.as_ref().is_none_or(|l| now < l.lease_scan_at) {
            return;
        }
        self.metrics.work.lease_scans += 1;
        let alone_since = self.nobody_else_answered_before();
        let Some(l) = self.leader.as_mut() else {
            return;
        };
        // No lease that runs now can be over before the oldest of them: until then a look at
        // every machine would find nothing.
        let mut oldest = now;
        let mut lease_expired = Vec::new();
        for m in l.cluster.machines.values_mut() {
            let Some(answered) = m.answered_at else {
                continue;
            };
            // One whose report waits for its answer is not silent: it was once taken for silent
            // again when it came back, with a start for it on the way, and that task ran twice.
            let last = answered.max(m.received_at.unwrap_or(0));
            let counts = m.shows_token && !m.lease_expired && m.life == Life::Up;
            if counts && now > last + lease && last <= alone_since {
                m.lease_expired = true;
                lease_expired.push(m.name.clone());
            } else if counts {
                oldest = oldest.min(last);
            }
        }
        l.lease_scan_at = (oldest + lease + 1).max(now + LEASE_SCAN_MS);
        for name in lease_expired {
            log::info!("{name}: silent, its lease has run out");
            l.cluster.settle_all(&name);
            l.plan_soon(now);
        }
    }

    /// The longest time after an answer at which a worker may still run tasks.
    pub(super) fn lease_ms(&self) -> u64 {
        let s = self.cfg.params.workers.lease_s * (1.0 + CLOCK_DRIFT);
        (s * MS_PER_S) as u64 + LEASE_MARGIN_MS
    }

    /// All workers are silent here while peers see them come round: someone else should lead.
    fn hand_over_if_unheard(&mut self) {
        let now = self.now.mono;
        let Some(l) = &self.leader else { return };
        let quiet = now > l.heard_at + LEADER_UNHEARD_MS && now > l.began + LEADER_UNHEARD_MS;
        let peers_hear =
            self.fresh_gossip().any(|g| g.workers_seen > 0 && g.served_ago_ms.is_some());
        if quiet && peers_hear {
            self.hand_over("no worker reports here, but to others they do");
        }
    }

    // --- planning ----------------------------------------------------------------

    fn plan_pass(&mut self) {
        let now = self.now.mono;
        let Some(catalog) = self.catalog.clone() else {
            return;
        };
        let wall = self.now.wall;
        let cfg = self.cfg.clone();
        let op = self.op.clone();
        let Some(l) = self.leader.as_mut() else {
            return;
        };
        l.planned_at = now;
        l.plan_at = now + op.pass_period_ms;
        if !l.cluster.anything_waits() && l.shares.len() == cfg.params.teams.len() {
            // There is nothing to place, to make room for or to reserve.
            l.reservation = None;
            l.fleet.none_unplaced();
            return;
        }
        self.metrics.work.planner_passes += 1;
        self.metrics.work.planner_machines += l.cluster.machines.len() as u64;
        let mut view = View::of_cluster(l, &cfg, &op, &catalog, Clock { mono: now, wall });
        let shares = planner::move_shares(&view.snapshot, l.shares.clone());
        if shares != l.shares {
            l.shares = shares;
            l.shares_written = false;
        }
        for (team, share) in view.snapshot.teams.iter_mut().zip(&l.shares) {
            team.share = *share;
        }
        let plan = planner::plan(&view.snapshot);
        self.metrics.work.planner_places += plan.places_examined;
        l.reservation =
            plan.reservation.map(|(j, m, _)| (view.jobs[j].clone(), view.machines[m].clone()));
        let mut gangs: BTreeMap<usize, Vec<Name>> = BTreeMap::new();
        for (j, m) in &plan.places {
            if view.snapshot.jobs[*j].gang {
                gangs.entry(*j).or_default().push(view.machines[*m].clone());
                continue;
            }
            let (uid, machine) = (view.jobs[*j].clone(), view.machines[*m].clone());
            let Some(task) = l.cluster.jobs.get(&uid).and_then(|j| j.next_waiting()) else {
                continue;
            };
            let attempt = l.unique();
            l.cluster.propose(&uid, task, &machine, attempt, now);
            log::debug!("{uid}/{task}: placed on {machine}, attempt {attempt}");
        }
        for (j, machines) in gangs {
            let (uid, attempt) = (&view.jobs[j], l.unique());
            if l.cluster.propose_gang(uid, &machines, attempt, now) {
                log::debug!("{uid}: gang placed on {}, attempt {attempt}", machines.join(", "));
            } else {
                log::error!("{uid}: a part of a gang is not placed");
            }
        }
        for (m, handle) in &plan.halts {
            let id = view.handles[*m][*handle].clone();
            let machine = &view.machines[*m];
            if l.cluster.jobs.get(&id.0).is_some_and(|job| job.is_gang()) {
                log::debug!("{}: gang stopped to make room", id.0);
                l.stop_gang(&id.0, Halt::MakeRoom, now);
                continue;
            }
            let held = l.cluster.machines.get_mut(machine).and_then(|m| m.placements.get_mut(&id));
            let Some(p) = held else { continue };
            log::debug!("{}/{}: stopped on {machine} to make room", id.0, id.1);
            p.halt = p.halt.max(Some(Halt::MakeRoom));
            // Stored but never ordered by us: it can't be there, so its place is free at once.
            let ours = p.attempt >> ATTEMPT_BITS == l.term;
            if ours && p.phase == Phase::Committed && p.ordered.is_none() && p.seen.is_none() {
                l.cluster.settle(machine, &id, Cause::Lost);
            }
        }
        l.fleet.note_unplaced(&view, &plan, &catalog);
    }
}

/// Whether a cause means that the machine or the job is at fault.
pub(super) fn is_failure(cause: Cause) -> bool {
    matches!(cause, Cause::Error)
}
