//! Planning passes: from the state of the cluster to proposed placements and tasks to stop.
//!
//! Placements are write-ahead: a pass only proposes them, [`super::super::transactions`] stores them, and
//! no start command is sent before that.

use super::{start_was_never_sent, Leader};
use crate::constants::{
    FLEET_PERIOD_MS, FLEET_PERIOD_PER_MACHINE_MS, PASS_GAP_MS, PASS_GAP_PER_MACHINE_MS,
};
use crate::coordination::planner::{self, JobOnMachine, Plan, Preemption};
use crate::coordination::planner_input::PlannerInput;
use crate::coordination::Controller;
use crate::protocol::cloud::Catalog;
use crate::protocol::workers::EndCause;
use crate::storage::machine::{StopReason, TaskId};
use crate::storage::records::{JobId, MachineName};
use std::collections::BTreeMap;

/// Times of the last and the next planning pass.
#[derive(Debug)]
pub(super) struct PassSchedule {
    next_at: u64,
    last_at: u64,
}

impl PassSchedule {
    pub(super) fn new(now: u64) -> PassSchedule {
        PassSchedule { next_at: now, last_at: 0 }
    }

    /// When the next pass is due.
    pub(super) fn next_at(&self) -> u64 {
        self.next_at
    }

    /// Sets when the next pass is due.
    pub(super) fn schedule_at(&mut self, at: u64) {
        self.next_at = at;
    }

    /// Makes the next pass due now, but not within `min_gap_ms` after the last one.
    fn bring_forward(&mut self, min_gap_ms: u64, now: u64) {
        self.next_at = self.next_at.min(now.max(self.last_at + min_gap_ms));
    }

    fn record_pass(&mut self, period_ms: u64, now: u64) {
        self.last_at = now;
        self.next_at = now + period_ms;
    }
}

impl Leader {
    /// Requests a planning pass before the period is over, but not sooner than the minimum gap allows.
    pub(in crate::coordination) fn request_planning_pass(&mut self, now: u64) {
        self.pass_schedule.bring_forward(self.min_pass_gap_ms(), now);
    }

    /// Least milliseconds between two passes: the cost of a pass grows with the fleet.
    pub(super) fn min_pass_gap_ms(&self) -> u64 {
        PASS_GAP_MS + (self.cluster.machines.len() as f64 * PASS_GAP_PER_MACHINE_MS) as u64
    }

    /// Milliseconds between two evaluations of the fleet's size, whose cost grows with the fleet too.
    pub(in crate::coordination) fn fleet_scan_period_ms(&self) -> u64 {
        FLEET_PERIOD_MS + (self.cluster.machines.len() as f64 * FLEET_PERIOD_PER_MACHINE_MS) as u64
    }

    /// Whether a pass is due. The proposals of the last pass are stored first: further proposals would only
    /// queue up.
    fn is_pass_due(&self, now: u64) -> bool {
        self.pass_schedule.next_at() <= now && self.cluster.proposals.is_empty()
    }
}

impl Controller {
    pub(super) fn plan_if_due(&mut self) {
        let now = self.now.monotonic_ms;
        let may_plan = self.store_is_usable() && !self.starts_are_blocked();
        if may_plan && self.leader.as_ref().is_some_and(|leader| leader.is_pass_due(now)) {
            self.run_pass();
        }
    }

    fn run_pass(&mut self) {
        let clock = self.now;
        let now = clock.monotonic_ms;
        let Some(catalog) = self.cloud.catalog() else {
            return;
        };
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        leader.pass_schedule.record_pass(self.operator.pass_period_ms, now);
        let shares_are_known = leader.shares.len() == self.settings.params.teams.len();
        if !leader.cluster.has_waiting_tasks() && shares_are_known {
            // No waiting task: nothing to place, to preempt for or to reserve.
            leader.reservation = None;
            leader.fleet.clear_unplaced();
            return;
        }
        let work = &mut self.metrics.work;
        work.planner_passes += 1;
        work.planner_machines += leader.cluster.machines.len() as u64;
        let mut input =
            PlannerInput::from_leader(leader, &self.settings, &self.operator, catalog, clock);
        leader.move_shares(&mut input);
        let plan = planner::plan(&input.snapshot);
        work.planner_places += plan.candidates_examined;
        leader.apply_plan(&plan, &input, catalog, now);
    }
}

impl Leader {
    /// Moves shares to the team of the first waiting job by priority and arrival, and sets the result in
    /// the planner's input.
    fn move_shares(&mut self, input: &mut PlannerInput) {
        let shares = planner::move_shares(&input.snapshot, self.shares.clone());
        if shares != self.shares {
            self.shares = shares;
            self.transactions.mark_shares_changed();
        }
        for (team, share) in input.snapshot.teams.iter_mut().zip(&self.shares) {
            team.share_permille = *share;
        }
    }

    /// Applies a plan: proposes its placements and stops the tasks that it preempts.
    fn apply_plan(&mut self, plan: &Plan, input: &PlannerInput, catalog: &Catalog, now: u64) {
        self.reservation = plan.reservation.map(|reserved| {
            (input.jobs[reserved.job].clone(), input.machines[reserved.machine].clone())
        });
        let mut gangs: BTreeMap<usize, Vec<MachineName>> = BTreeMap::new();
        for &JobOnMachine { job, machine } in &plan.placements {
            let machine_name = &input.machines[machine];
            if input.snapshot.jobs[job].is_gang {
                gangs.entry(job).or_default().push(machine_name.clone());
            } else {
                self.propose_task(&input.jobs[job], machine_name, now);
            }
        }
        for (job, machines) in gangs {
            self.propose_gang_attempt(&input.jobs[job], &machines, now);
        }
        for &Preemption { machine, handle } in &plan.preemptions {
            self.preempt(&input.machines[machine], &input.handles[machine][handle], now);
        }
        self.fleet.record_unplaced(input, plan, catalog);
    }

    fn propose_task(&mut self, job_id: &JobId, machine: &MachineName, now: u64) {
        let job = self.cluster.jobs.get(job_id);
        let Some(task) = job.and_then(|job| job.next_waiting_task()) else { return };
        let attempt = self.next_unique_number();
        self.cluster.propose(job_id, task, machine, attempt, now);
        log::debug!("task placed: {job_id}/{task} on {machine}, attempt {attempt}");
    }

    fn propose_gang_attempt(&mut self, job_id: &JobId, machines: &[MachineName], now: u64) {
        let attempt = self.next_unique_number();
        if self.cluster.propose_gang(job_id, machines, attempt, now) {
            log::debug!("gang placed: {job_id} on {}, attempt {attempt}", machines.join(", "));
        } else {
            log::error!(
                "gang placement discarded: {job_id}, the plan doesn't cover each of its tasks"
            );
        }
    }

    /// Stops a task, or the whole gang that it belongs to, to free resources for a job that goes first.
    fn preempt(&mut self, machine_name: &MachineName, id: &TaskId, now: u64) {
        if self.cluster.jobs.get(&id.job).is_some_and(|job| job.is_gang()) {
            log::debug!("gang preempted: {}", id.job);
            return self.stop_gang(&id.job, StopReason::Eviction, now);
        }
        let Some(placement) = self.cluster.placement_mut(machine_name, id) else { return };
        log::debug!("task preempted: {id} on {machine_name}");
        placement.stop_reason = placement.stop_reason.max(Some(StopReason::Eviction));
        if start_was_never_sent(placement, self.term) {
            // The task can't be on the machine, so its resources are free at once.
            self.cluster.settle(machine_name, id, EndCause::Lost);
        }
    }
}
