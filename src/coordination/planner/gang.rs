//! Allocations for gangs, the parallel jobs of the paper: all tasks of a gang are placed, or none.
//!
//! As for single tasks, every threshold yields an allocation, here for all tasks at once: on the
//! machines whose penalty factor is below the threshold, those that are ready soonest first. Of
//! these allocations the one that ends first is chosen. A gang starts when its last task does, so
//! the cost of a machine includes the time until its next heartbeat is answered and its image is
//! cached, and each further machine adds a fixed delay.

use super::allocation::{penalty_factor, Preference};
use super::pass::{Pass, ReservedCapacity};
use super::plan::Reservation;
use crate::constants::{
    GANG_START_DELAYS_MS, GANG_START_DELAY_PER_MACHINE_MS, GANG_START_SPREAD_SHARE_MAX,
};
use std::cmp::Reverse;

/// Tasks of a gang on one machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct TasksOnMachine {
    pub(super) machine: usize,
    pub(super) tasks: u32,
}

/// Machines and a start time for a whole gang.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct GangAllocation {
    pub(super) tasks_per_machine: Vec<TasksOnMachine>,
    pub(super) start_ms: u64,
    /// Run time including image fetches, the penalty and the wait for the last task.
    pub(super) length_ms: u64,
    pub(super) penalty_factor: f64,
}

impl GangAllocation {
    fn new(
        tasks_per_machine: Vec<TasksOnMachine>,
        start_ms: u64,
        length_ms: u64,
        run_ms: u64,
    ) -> GangAllocation {
        let penalty_factor = length_ms as f64 / run_ms as f64;
        GangAllocation { tasks_per_machine, start_ms, length_ms, penalty_factor }
    }
}

/// A machine that can run tasks of a gang from now on.
#[derive(Debug, Clone, Copy)]
struct CandidateMachine {
    machine: usize,
    zone: usize,
    /// Number of the gang's tasks that it has capacity for.
    slots: u32,
    /// Milliseconds until a task that is placed on it now could start.
    ready_ms: u64,
    penalized_ms: f64,
    penalty_factor: f64,
    preference: Preference,
}

/// A machine that was chosen for some of the gang's tasks.
#[derive(Debug, Clone, Copy)]
struct ChosenMachine {
    candidate: CandidateMachine,
    tasks: u32,
}

/// The tasks of a gang that have no machine yet, and how many of them each zone may still get.
struct UnplacedGangTasks {
    tasks: u32,
    per_zone: Vec<u32>,
}

impl UnplacedGangTasks {
    /// How many of them can be placed on a machine with that many free slots.
    fn fitting(&self, zone: usize, slots: u32) -> u32 {
        slots.min(self.per_zone[zone]).min(self.tasks)
    }

    fn take(&mut self, zone: usize, tasks: u32) {
        self.tasks -= tasks;
        self.per_zone[zone] -= tasks;
    }
}

impl Pass<'_> {
    /// The allocation for a whole gang that starts now. Machines where the gang failed are tried again only if
    /// it can't start without them.
    pub(super) fn immediate_gang_allocation(&self, job: usize) -> Option<GangAllocation> {
        if !self.is_gang_within_limit(job) {
            return None;
        }
        let is_allowed = |machine: usize| self.is_allowed(job, machine);
        let found =
            self.best_immediate_gang_allocation(job, &self.gang_candidates(job, is_allowed));
        if found.is_some() || self.job_view(job).retryable_machines.is_empty() {
            return found;
        }
        let may_use = |machine: usize| self.is_allowed_or_retryable(job, machine);
        self.best_immediate_gang_allocation(job, &self.gang_candidates(job, may_use))
    }

    /// The allocation on these machines that starts now and is over first.
    fn best_immediate_gang_allocation(
        &self,
        job: usize,
        candidates: &[CandidateMachine],
    ) -> Option<GangAllocation> {
        let mut best: Option<GangAllocation> = None;
        for group in self.zone_groups(job, candidates) {
            for threshold in self.snapshot.thresholds.iter().copied().chain([f64::INFINITY]) {
                let is_below = |candidate: &CandidateMachine| candidate.penalty_factor < threshold;
                let below: Vec<CandidateMachine> = group.iter().copied().filter(is_below).collect();
                let Some(found) = self.immediate_gang_allocation_on(job, &below) else { continue };
                if best.as_ref().is_none_or(|best| found.length_ms < best.length_ms) {
                    best = Some(found);
                }
            }
        }
        best
    }

    /// The allocation for a whole gang at the earliest later time at which enough capacity is
    /// expected.
    pub(super) fn later_gang_allocation(&self, job: usize) -> Option<GangAllocation> {
        if !self.is_gang_within_limit(job) {
            return None;
        }
        let may_use = |machine: &usize| self.is_allowed_or_retryable(job, *machine);
        let allowed: Vec<usize> = (0..self.machines.len()).filter(may_use).collect();
        if !self.job_view(job).one_zone {
            return self.later_gang_allocation_on(job, &allowed);
        }
        let mut best: Option<GangAllocation> = None;
        for zone in 0..self.jobs[job].tasks_per_zone.len() {
            let is_in_zone = |machine: &usize| self.machine_view(*machine).zone == zone;
            let machines: Vec<usize> = allowed.iter().copied().filter(is_in_zone).collect();
            let Some(found) = self.later_gang_allocation_on(job, &machines) else { continue };
            if best.as_ref().is_none_or(|best| found.start_ms < best.start_ms) {
                best = Some(found);
            }
        }
        best
    }

    /// The earliest later allocation for a whole gang on these machines.
    fn later_gang_allocation_on(&self, job: usize, machines: &[usize]) -> Option<GangAllocation> {
        let now_ms = self.snapshot.now_ms;
        let change_times = |machine: &usize| &self.machines[*machine].row.change_times_ms;
        let mut times_ms: Vec<u64> = machines.iter().flat_map(change_times).copied().collect();
        times_ms.retain(|time_ms| *time_ms > now_ms);
        times_ms.sort_unstable();
        times_ms.dedup();
        // Free capacity only grows over time if nothing is added, so a binary search finds the
        // first time with enough.
        let first = times_ms
            .partition_point(|time_ms| self.gang_machines_at(job, machines, *time_ms).is_none());
        let start_ms = times_ms.get(first).copied()?;
        let tasks_per_machine = self.gang_machines_at(job, machines, start_ms)?;
        let fetches =
            tasks_per_machine.iter().map(|part| self.fetch_ms(job, part.machine, start_ms));
        let fetch_ms = fetches.max().unwrap_or(0);
        let run_ms = self.job_view(job).run_ms.max(1);
        Some(GangAllocation::new(tasks_per_machine, start_ms, run_ms + fetch_ms, run_ms))
    }

    /// Places all tasks of a gang.
    pub(super) fn place_gang(&mut self, job: usize, allocation: &GangAllocation) {
        for part in &allocation.tasks_per_machine {
            for _ in 0..part.tasks {
                self.place_task(job, part.machine, allocation.start_ms + allocation.length_ms);
            }
        }
        let tasks = self.job_view(job).waiting_tasks;
        debug_assert_eq!(self.jobs[job].waiting_tasks, 0, "a gang of {tasks} is placed whole");
    }

    /// Reserves capacity for all tasks of a gang.
    pub(super) fn reserve_gang(&mut self, job: usize, allocation: &GangAllocation) {
        let GangAllocation { tasks_per_machine, start_ms, length_ms, .. } = allocation;
        let (start_ms, length_ms) = (*start_ms, *length_ms);
        let need_per_task = self.job_view(job).need;
        for &TasksOnMachine { machine, tasks } in tasks_per_machine {
            let need = need_per_task * i64::from(tasks);
            self.reserved_capacity.push(ReservedCapacity { machine, start_ms, need });
            self.machines[machine].version += 1;
            for _ in 0..tasks {
                self.record_expected_start(job, start_ms);
                self.reserve_slot(job, machine, start_ms, length_ms);
            }
        }
        if let Some(first) = tasks_per_machine.first() {
            self.plan.reservation = Some(Reservation { job, machine: first.machine, start_ms });
        }
    }

    fn is_gang_within_limit(&self, job: usize) -> bool {
        self.is_within_limit(job, self.job_view(job).waiting_tasks)
    }

    /// Number of the job's tasks that fit on a machine from `start_ms` on, for `length_ms`, without
    /// delaying a reservation.
    fn gang_slots(&self, job: usize, machine: usize, start_ms: u64, length_ms: u64) -> u32 {
        let view = self.job_view(job);
        let planned = &self.machines[machine];
        let end_ms = start_ms + length_ms;
        let mut slots = self.free_for(view, machine, start_ms).fit_count(&view.need);
        for reserved in &self.reserved_capacity {
            if reserved.machine == machine && end_ms > reserved.start_ms {
                let mut free_at_start = planned.row.free_at(reserved.start_ms);
                free_at_start -= reserved.need;
                slots = slots.min(free_at_start.fit_count(&view.need));
            }
        }
        let slots = slots.clamp(0, planned.free_task_slots as i64);
        slots.min(i64::from(view.waiting_tasks)) as u32
    }

    /// The machines that can run tasks of the gang from now on, those that are ready soonest first.
    fn gang_candidates(
        &self,
        job: usize,
        may_use: impl Fn(usize) -> bool,
    ) -> Vec<CandidateMachine> {
        let machines = self.machines_with_capacity.iter().filter(|machine| may_use(**machine));
        let mut candidates: Vec<CandidateMachine> =
            machines.filter_map(|machine| self.gang_candidate(job, *machine)).collect();
        candidates.sort_unstable_by_key(|candidate| (candidate.ready_ms, candidate.preference));
        candidates
    }

    /// The machine as a candidate for a start now; `None` if it can't run a task of the gang.
    fn gang_candidate(&self, job: usize, machine: usize) -> Option<CandidateMachine> {
        let view = self.job_view(job);
        let machine_view = self.machine_view(machine);
        let row = &self.machines[machine].row;
        if !row.free.fits(&view.need) {
            return None;
        }
        let now_ms = self.snapshot.now_ms;
        let run_ms = view.run_ms.max(1);
        let fetch_ms = self.fetch_ms(job, machine, now_ms);
        let slots = self.gang_slots(job, machine, now_ms, run_ms + fetch_ms);
        if slots == 0 {
            return None;
        }
        self.candidates_examined.set(self.candidates_examined.get() + 1);
        let bandwidth = view.bandwidth * f64::from(slots);
        let penalized_ms = row.penalized_ms(now_ms, run_ms + fetch_ms, bandwidth);
        Some(CandidateMachine {
            machine,
            zone: machine_view.zone,
            slots,
            ready_ms: machine_view.next_heartbeat_ms + fetch_ms,
            penalized_ms,
            penalty_factor: penalty_factor(run_ms, fetch_ms, penalized_ms),
            preference: self.preference(job, machine),
        })
    }

    /// Groups of machines, each of which may run all tasks of the gang.
    fn zone_groups(
        &self,
        job: usize,
        candidates: &[CandidateMachine],
    ) -> Vec<Vec<CandidateMachine>> {
        if !self.job_view(job).one_zone {
            return vec![candidates.to_vec()];
        }
        let in_zone =
            |zone| candidates.iter().copied().filter(|candidate| candidate.zone == zone).collect();
        (0..self.jobs[job].tasks_per_zone.len()).map(in_zone).collect()
    }

    /// The best allocation now on machines sorted by when they are ready. A slightly later start is
    /// chosen if it needs fewer machines, since each further machine may send its heartbeat
    /// later than expected.
    fn immediate_gang_allocation_on(
        &self,
        job: usize,
        candidates: &[CandidateMachine],
    ) -> Option<GangAllocation> {
        let machines_needed = self.machines_needed(job, candidates)?;
        let mut best: Option<(u64, Vec<ChosenMachine>)> = None;
        for delay_ms in GANG_START_DELAYS_MS {
            let until_ms = candidates[machines_needed - 1].ready_ms + delay_ms;
            let ready_in_time = &candidates
                [..candidates.partition_point(|candidate| candidate.ready_ms <= until_ms)];
            let Some(chosen) = self.pack_on_few_machines(job, ready_in_time) else { continue };
            let Some(cost_ms) = self.gang_start_cost_ms(&chosen) else { continue };
            if best.as_ref().is_none_or(|(least, _)| cost_ms < *least) {
                best = Some((cost_ms, chosen));
            }
        }
        let (wait_ms, chosen) = best?;
        let penalties = chosen.iter().map(|chosen| chosen.candidate.penalized_ms);
        let penalized_ms = penalties.fold(0.0, f64::max);
        let run_ms = self.job_view(job).run_ms.max(1);
        let length_ms = run_ms + wait_ms + penalized_ms as u64;
        let part = |chosen: &ChosenMachine| TasksOnMachine {
            machine: chosen.candidate.machine,
            tasks: chosen.tasks,
        };
        let tasks_per_machine = chosen.iter().map(part).collect();
        Some(GangAllocation::new(tasks_per_machine, self.snapshot.now_ms, length_ms, run_ms))
    }

    /// The cost of a start on these machines in milliseconds: the time until the last task can
    /// start, plus a delay for each further machine. `None` if the first tasks would stop waiting
    /// before the last one starts.
    fn gang_start_cost_ms(&self, chosen: &[ChosenMachine]) -> Option<u64> {
        let ready_ms = || chosen.iter().map(|chosen| chosen.candidate.ready_ms);
        let (first_ms, last_ms) = (ready_ms().min()?, ready_ms().max()?);
        let spread_ms = (last_ms - first_ms) as f64;
        let wait_ms = self.snapshot.gang_wait_ms;
        if wait_ms > 0 && spread_ms > wait_ms as f64 * GANG_START_SPREAD_SHARE_MAX {
            return None;
        }
        Some(last_ms + (chosen.len() as u64 - 1) * GANG_START_DELAY_PER_MACHINE_MS)
    }

    /// How many of the machines, taken in order of readiness, have capacity for all tasks.
    fn machines_needed(&self, job: usize, candidates: &[CandidateMachine]) -> Option<usize> {
        let view = self.job_view(job);
        let mut slots_per_zone = vec![0u32; self.jobs[job].tasks_per_zone.len()];
        for (index, candidate) in candidates.iter().enumerate() {
            let slots = &mut slots_per_zone[candidate.zone];
            *slots = (*slots + candidate.slots).min(view.max_tasks_per_zone);
            if slots_per_zone.iter().sum::<u32>() >= view.waiting_tasks {
                return Some(index + 1);
            }
        }
        None
    }

    fn unplaced_gang_tasks(&self, job: usize) -> UnplacedGangTasks {
        let view = self.job_view(job);
        let zones = self.jobs[job].tasks_per_zone.len();
        UnplacedGangTasks {
            tasks: view.waiting_tasks,
            per_zone: vec![view.max_tasks_per_zone; zones],
        }
    }

    /// Distributes all tasks over few machines: takes the machine with the most slots until one
    /// machine has enough for all remaining tasks; of several such machines, takes the preferred
    /// one.
    fn pack_on_few_machines(
        &self,
        job: usize,
        candidates: &[CandidateMachine],
    ) -> Option<Vec<ChosenMachine>> {
        let mut unplaced = self.unplaced_gang_tasks(job);
        let mut remaining: Vec<CandidateMachine> = candidates.to_vec();
        let mut chosen = Vec::new();
        while unplaced.tasks > 0 {
            let fitting =
                |index: &usize| unplaced.fitting(remaining[*index].zone, remaining[*index].slots);
            let with_enough = (0..remaining.len()).filter(|index| fitting(index) >= unplaced.tasks);
            let best =
                with_enough.min_by_key(|index| remaining[*index].preference).or_else(|| {
                    (0..remaining.len()).max_by_key(|index| (fitting(index), Reverse(*index)))
                })?;
            let tasks = fitting(&best);
            if tasks == 0 {
                return None;
            }
            let candidate = remaining.swap_remove(best);
            unplaced.take(candidate.zone, tasks);
            chosen.push(ChosenMachine { candidate, tasks });
        }
        Some(chosen)
    }

    /// The machines for all tasks at a later start time; `None` if there is too little capacity by
    /// then.
    fn gang_machines_at(
        &self,
        job: usize,
        machines: &[usize],
        start_ms: u64,
    ) -> Option<Vec<TasksOnMachine>> {
        let mut unplaced = self.unplaced_gang_tasks(job);
        let mut tasks_per_machine = Vec::new();
        for &machine in machines {
            let zone = self.machine_view(machine).zone;
            let slots = self.gang_slots(job, machine, start_ms, self.job_view(job).run_ms);
            let tasks = unplaced.fitting(zone, slots);
            if tasks == 0 {
                continue;
            }
            unplaced.take(zone, tasks);
            tasks_per_machine.push(TasksOnMachine { machine, tasks });
            if unplaced.tasks == 0 {
                return Some(tasks_per_machine);
            }
        }
        None
    }
}

#[cfg(test)]
mod tests;
