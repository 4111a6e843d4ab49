//! Preemption: which tasks are stopped to free capacity for jobs of higher priority and for
//! guarantees.

use super::allocation::Preference;
use super::pass::Pass;
use super::plan::Preemption;
use super::snapshot::{JobView, RunningTask};
use crate::constants::{JOB_TASKS_PER_PASS, PREEMPTION_DELAY_MIN_MS, RECENT_START_MS};
use crate::protocol::users::Priority;
use crate::protocol::Resources;
use std::collections::BTreeMap;

/// Fixed cost of stopping a task, in milliseconds of lost work.
const PREEMPTION_BASE_COST_MS: u64 = 1_000;

/// Additional cost of stopping a service task, as a multiple of the cost of stopping a recently
/// started task.
const SERVICE_COST_FACTOR: u64 = 4;

/// The properties of a waiting job that decide which tasks it may preempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Preemptor {
    priority: Priority,
    within_guarantee: bool,
    team: usize,
}

impl Preemptor {
    fn of(job: &JobView) -> Preemptor {
        let JobView { priority, within_guarantee, team, .. } = *job;
        Preemptor { priority, within_guarantee, team }
    }

    /// Whether the job may preempt a task: one of lower priority, or, if the job is within its
    /// team's guarantee, one of another team that uses more than its own guarantee.
    fn may_preempt(&self, task: &RunningTask, exceeds_guarantee: &[bool]) -> bool {
        let is_lower = task.priority > self.priority;
        let is_over_guarantee =
            || task.team.is_some_and(|team| team != self.team && exceeds_guarantee[team]);
        is_lower || self.within_guarantee && is_over_guarantee()
    }
}

/// Capacity that is free or being freed, less what has been given to waiting jobs.
struct PreemptionState {
    /// Capacity per machine.
    available: Vec<Resources>,
    /// For each machine, whether each of its running tasks is being stopped.
    stopped: Vec<Vec<bool>>,
    /// What each team will use.
    team_usage: Vec<Resources>,
    /// Whether each team uses more than its guarantee.
    exceeds_guarantee: Vec<bool>,
}

/// For each machine, the total resources of the tasks that a preemptor may stop; `None` until
/// computed. This upper bound avoids the search for tasks to stop on machines where stopping all of
/// them would not be enough.
type PreemptibleCapacity = Vec<Option<Resources>>;

/// A machine for a waiting task, with the tasks to stop for it.
struct PreemptionChoice {
    machine: usize,
    /// Milliseconds of work that are lost, plus the time to fetch the image.
    cost_ms: u64,
    preference: Preference,
    victims: Vec<usize>,
}

impl PreemptionChoice {
    fn is_better_than(&self, other: &PreemptionChoice) -> bool {
        (self.cost_ms, self.preference) < (other.cost_ms, other.preference)
    }
}

/// Tasks to stop on a machine, and the milliseconds of work that are lost by it.
struct Victims {
    lost_ms: u64,
    tasks: Vec<usize>,
}

impl Pass<'_> {
    /// Preempts tasks for jobs that can't start otherwise and have at least high priority or are
    /// within their team's guarantee. The tasks that are stopped have a lower priority, or their team
    /// exceeds its guarantee. Capacity of tasks that are already being stopped counts as available.
    pub(super) fn preempt_for_waiting_jobs(&mut self, queue: &[usize]) {
        let mut state = self.preemption_state();
        let mut preemptible: BTreeMap<Preemptor, PreemptibleCapacity> = BTreeMap::new();
        for &job in queue {
            let view = self.job_view(job);
            if view.is_gang || view.priority > Priority::High && !view.within_guarantee {
                continue;
            }
            let preemptible = preemptible
                .entry(Preemptor::of(view))
                .or_insert_with(|| vec![None; self.machines.len()]);
            for _ in 0..self.jobs[job].waiting_tasks.min(JOB_TASKS_PER_PASS as u32) {
                if !self.preempt_for_task(job, &mut state, preemptible) {
                    break;
                }
            }
        }
    }

    fn preemption_state(&self) -> PreemptionState {
        let machines = || self.snapshot.machines.iter();
        let available = machines().zip(&self.machines).map(|(view, machine)| {
            let mut free = machine.row.free;
            for task in view.running.iter().filter(|task| task.is_stopping) {
                free += task.need;
            }
            free
        });
        let stopped = machines().map(|view| view.running.iter().map(|task| task.is_stopping));
        let teams = self.snapshot.teams.iter().zip(&self.team_usage);
        PreemptionState {
            available: available.collect(),
            stopped: stopped.map(Iterator::collect).collect(),
            team_usage: self.team_usage.clone(),
            exceeds_guarantee: teams.map(|(team, used)| !used.is_within(&team.guarantee)).collect(),
        }
    }

    /// Finds capacity for one task of the job, preempting others if necessary. Returns whether it
    /// was found.
    fn preempt_for_task(
        &mut self,
        job: usize,
        state: &mut PreemptionState,
        preemptible: &mut PreemptibleCapacity,
    ) -> bool {
        let view = self.job_view(job);
        let mut usage = state.team_usage[view.team];
        usage += view.need;
        if !usage.is_within(&self.snapshot.teams[view.team].limit) {
            return false;
        }
        let Some(choice) = self.cheapest_machine(job, state, preemptible) else { return false };
        let machine = choice.machine;
        if choice.victims.is_empty() && self.machines[machine].row.free.fits(&view.need) {
            state.available[machine] -= view.need;
            state.team_usage[view.team] = usage;
            return true;
        }
        let wait_ms = self.stop_victims(machine, &choice.victims, state);
        state.available[machine] -= view.need;
        state.team_usage[view.team] = usage;
        self.hold_freed_capacity(job, machine, wait_ms);
        true
    }

    /// The machine with the least cost: the time to fetch the image plus the work lost by
    /// preemption, so that free capacity is used before tasks are stopped on a similar machine.
    /// Between equal costs, the preference decides.
    fn cheapest_machine(
        &self,
        job: usize,
        state: &PreemptionState,
        preemptible: &mut PreemptibleCapacity,
    ) -> Option<PreemptionChoice> {
        let mut best: Option<PreemptionChoice> = None;
        for (machine, preemptible) in preemptible.iter_mut().enumerate() {
            if !self.could_fit(job, machine, state, preemptible) {
                continue;
            }
            let max_cost_ms = best.as_ref().map(|best| best.cost_ms);
            let Some(choice) = self.preemption_choice_on(job, machine, state, max_cost_ms) else {
                continue;
            };
            if best.as_ref().is_none_or(|best| choice.is_better_than(best)) {
                best = Some(choice);
            }
        }
        best
    }

    /// Whether a task of the job would fit on the machine if all tasks were stopped that the job
    /// may preempt.
    fn could_fit(
        &self,
        job: usize,
        machine: usize,
        state: &PreemptionState,
        preemptible: &mut Option<Resources>,
    ) -> bool {
        let view = self.job_view(job);
        if state.available[machine].fits(&view.need) {
            return true;
        }
        let mut upper_bound =
            *preemptible.get_or_insert_with(|| self.preemptible(view, machine, state));
        upper_bound += state.available[machine];
        upper_bound.fits(&view.need)
    }

    /// The cost of running a task of the job on the machine; `None` if it can't run there, or if
    /// fetching the image alone costs more than `max_cost_ms`.
    fn preemption_choice_on(
        &self,
        job: usize,
        machine: usize,
        state: &PreemptionState,
        max_cost_ms: Option<u64>,
    ) -> Option<PreemptionChoice> {
        let view = self.job_view(job);
        // The task would not be placed here because of its image, so preemption would be useless
        // and repeated in each pass: while a fleet starts, five tasks would be stopped for each
        // service task.
        if !self.is_allowed(job, machine) || self.booting_machine_is_sooner(job, machine) {
            return None;
        }
        let fetch_ms = self.fetch_ms(job, machine, self.snapshot.now_ms);
        if max_cost_ms.is_some_and(|max_cost_ms| fetch_ms > max_cost_ms) {
            return None;
        }
        let victims = match state.available[machine].fits(&view.need) {
            true => Victims { lost_ms: 0, tasks: Vec::new() },
            false => self.cheapest_victims(view, machine, state)?,
        };
        let preference = self.preference(job, machine);
        let cost_ms = victims.lost_ms + fetch_ms;
        Some(PreemptionChoice { machine, cost_ms, preference, victims: victims.tasks })
    }

    /// Total resources of the tasks on a machine that the job may preempt.
    fn preemptible(&self, job: &JobView, machine: usize, state: &PreemptionState) -> Resources {
        let preemptor = Preemptor::of(job);
        let mut total = Resources::default();
        for task in &self.machine_view(machine).running {
            if !task.is_stopping && preemptor.may_preempt(task, &state.exceeds_guarantee) {
                total += task.need;
            }
        }
        total
    }

    /// The tasks to stop on a machine so that one task of the job fits, those with the least cost
    /// first; `None` if it doesn't fit even then.
    fn cheapest_victims(
        &self,
        job: &JobView,
        machine: usize,
        state: &PreemptionState,
    ) -> Option<Victims> {
        let preemptor = Preemptor::of(job);
        let running = &self.machine_view(machine).running;
        let stopped = &state.stopped[machine];
        let mut candidates: Vec<(u64, usize)> = running
            .iter()
            .enumerate()
            .filter(|(index, task)| !stopped[*index] && !task.is_stopping)
            .filter(|(_, task)| preemptor.may_preempt(task, &state.exceeds_guarantee))
            .map(|(index, task)| (preemption_cost_ms(task), index))
            .collect();
        candidates.sort_unstable();
        let mut available = state.available[machine];
        let mut victims = Victims { lost_ms: 0, tasks: Vec::new() };
        for (cost_ms, index) in candidates {
            if available.fits(&job.need) {
                break;
            }
            available += running[index].need;
            victims.lost_ms += cost_ms;
            victims.tasks.push(index);
        }
        (available.fits(&job.need) && !victims.tasks.is_empty()).then_some(victims)
    }

    /// Preempts tasks. Returns the milliseconds until their capacity is free.
    fn stop_victims(
        &mut self,
        machine: usize,
        victims: &[usize],
        state: &mut PreemptionState,
    ) -> u64 {
        let now_ms = self.snapshot.now_ms;
        let mut wait_ms = PREEMPTION_DELAY_MIN_MS;
        for &victim in victims {
            let task = &self.machine_view(machine).running[victim];
            state.stopped[machine][victim] = true;
            state.available[machine] += task.need;
            self.machines[machine].row.set_end(victim, now_ms + task.stop_ms.max(1));
            wait_ms = wait_ms.max(task.stop_ms);
            if let Some(team) = task.team {
                state.team_usage[team] -= task.need;
            }
            self.plan.preemptions.push(Preemption { machine, handle: task.handle });
        }
        wait_ms
    }

    /// Holds capacity that is being freed for a task, and lets the task wait for it. If the task
    /// were placed elsewhere in the same pass, others would be stopped in vain, pass after pass.
    fn hold_freed_capacity(&mut self, job: usize, machine: usize, wait_ms: u64) {
        let view = self.job_view(job);
        let start_ms = self.snapshot.now_ms + wait_ms;
        self.machines[machine].held_by_preemption += view.need;
        self.jobs[job].awaiting_preemption += 1;
        self.jobs[job].waiting_tasks -= 1;
        self.record_expected_start(job, start_ms);
        self.reserve_slot(job, machine, start_ms, view.run_ms);
    }
}

/// The cost of stopping a task, in milliseconds of lost work.
fn preemption_cost_ms(task: &RunningTask) -> u64 {
    let ran_ms = task.ran_ms.unwrap_or(0);
    // Stopping a recently started task makes its start worthless to its users; without saved
    // progress, all its work is lost.
    let recent_start = if ran_ms < RECENT_START_MS { RECENT_START_MS } else { 0 };
    let lost_ms = if task.keeps_progress { 0 } else { ran_ms };
    let service = if task.is_service { RECENT_START_MS * SERVICE_COST_FACTOR } else { 0 };
    // The rest of the gang stops too, and the whole gang has to start again.
    let gang = if task.tasks_stopped > 1 { RECENT_START_MS } else { 0 };
    (PREEMPTION_BASE_COST_MS + recent_start + lost_ms + service + gang)
        * u64::from(task.tasks_stopped)
}
