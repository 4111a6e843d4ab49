//! Preemption: which tasks are stopped to free capacity for jobs of higher priority and for
//! guarantees.

use super::allocation::Preference;
use super::pass::Pass;
use super::plan::Preemption;
use super::snapshot::{JobView, RunningTask};
use crate::constants::{JOB_TASKS_PER_PASS, PREEMPTED_ROOM_MIN_MS, PREEMPT_SHIELD_MS};
use crate::protocol::users::Priority;
use crate::protocol::Resources;
use std::collections::BTreeMap;

/// Fixed cost of stopping a task, in milliseconds of lost work.
const STOP_COST_MS: u64 = 1_000;

/// Additional cost of stopping a service task, as a multiple of the cost of stopping a recently
/// started task.
const SERVICE_SHIELDS: u64 = 4;

/// The properties of a waiting job that decide which tasks it may preempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Claimant {
    priority: Priority,
    within_guarantee: bool,
    team: usize,
}

impl Claimant {
    fn of(job: &JobView) -> Claimant {
        let JobView { priority, within_guarantee, team, .. } = *job;
        Claimant { priority, within_guarantee, team }
    }

    /// Whether the job may preempt a task: one of lower priority, or, if the job is within its
    /// team's guarantee, one of another team that uses more than its own guarantee.
    fn may_stop(&self, task: &RunningTask, is_borrowing: &[bool]) -> bool {
        let is_lower = task.priority > self.priority;
        let is_borrowed = || task.team.is_some_and(|team| team != self.team && is_borrowing[team]);
        is_lower || self.within_guarantee && is_borrowed()
    }
}

/// Capacity that is free or being freed, less what has been given to waiting jobs.
struct RoomToMake {
    /// Capacity per machine.
    room: Vec<Resources>,
    /// For each machine, whether each of its running tasks is being stopped.
    stopped: Vec<Vec<bool>>,
    /// What each team will use.
    team_usage: Vec<Resources>,
    /// Whether each team uses more than its guarantee.
    is_borrowing: Vec<bool>,
}

/// For each machine, the total resources of the tasks that a preemptor may stop; `None` until
/// computed. This upper bound avoids the search for tasks to stop on machines where stopping all of
/// them would not be enough.
type MostStoppable = Vec<Option<Resources>>;

/// A machine for a waiting task, with the tasks to stop for it.
struct RoomChoice {
    machine: usize,
    /// Milliseconds of work that are lost, plus the time to fetch the image.
    cost: u64,
    preference: Preference,
    victims: Vec<usize>,
}

impl RoomChoice {
    fn is_better_than(&self, other: &RoomChoice) -> bool {
        (self.cost, self.preference) < (other.cost, other.preference)
    }
}

/// Tasks to stop on a machine, and the milliseconds of work that are lost by it.
struct Victims {
    lost: u64,
    tasks: Vec<usize>,
}

impl Pass<'_> {
    /// Preempts tasks for jobs that can't start otherwise and have at least high priority or are
    /// within their team's guarantee. Stopped are tasks of lower priority, or of teams that exceed
    /// their guarantee. Capacity of tasks that are already being stopped counts as available.
    pub(super) fn make_room(&mut self, queue: &[usize]) {
        let mut state = self.room_to_make();
        let mut most_stoppable: BTreeMap<Claimant, MostStoppable> = BTreeMap::new();
        for &job in queue {
            let view = self.job_view(job);
            if view.is_gang || view.priority > Priority::High && !view.within_guarantee {
                continue;
            }
            let most_stoppable = most_stoppable
                .entry(Claimant::of(view))
                .or_insert_with(|| vec![None; self.machines.len()]);
            for _ in 0..self.jobs[job].waiting_tasks.min(JOB_TASKS_PER_PASS as u32) {
                if !self.make_room_for_task(job, &mut state, most_stoppable) {
                    break;
                }
            }
        }
    }

    fn room_to_make(&self) -> RoomToMake {
        let machines = || self.snapshot.machines.iter();
        let room = machines().zip(&self.machines).map(|(view, machine)| {
            let mut free = machine.row.free;
            for task in view.running.iter().filter(|task| task.is_stopping) {
                free += task.need;
            }
            free
        });
        let stopped = machines().map(|view| view.running.iter().map(|task| task.is_stopping));
        let teams = self.snapshot.teams.iter().zip(&self.team_usage);
        RoomToMake {
            room: room.collect(),
            stopped: stopped.map(Iterator::collect).collect(),
            team_usage: self.team_usage.clone(),
            is_borrowing: teams.map(|(team, used)| !used.under(&team.guarantee)).collect(),
        }
    }

    /// Finds capacity for one task of the job, preempting others if necessary. Returns whether it
    /// was found.
    fn make_room_for_task(
        &mut self,
        job: usize,
        state: &mut RoomToMake,
        most_stoppable: &mut MostStoppable,
    ) -> bool {
        let view = self.job_view(job);
        let mut usage = state.team_usage[view.team];
        usage += view.need;
        if !usage.under(&self.snapshot.teams[view.team].limit) {
            return false;
        }
        let Some(choice) = self.cheapest_room(job, state, most_stoppable) else { return false };
        let machine = choice.machine;
        if choice.victims.is_empty() && self.machines[machine].row.free.fits(&view.need) {
            state.room[machine] -= view.need;
            state.team_usage[view.team] = usage;
            return true;
        }
        let wait_ms = self.stop_victims(machine, &choice.victims, state);
        state.room[machine] -= view.need;
        state.team_usage[view.team] = usage;
        self.hold_room(job, machine, wait_ms);
        true
    }

    /// The machine with the least cost: the time to fetch the image plus the work lost by
    /// preemption, so that free capacity is used before tasks are stopped on a similar machine.
    /// Between equal costs, the preference decides.
    fn cheapest_room(
        &self,
        job: usize,
        state: &RoomToMake,
        most_stoppable: &mut MostStoppable,
    ) -> Option<RoomChoice> {
        let mut best: Option<RoomChoice> = None;
        for (machine, most_stoppable) in most_stoppable.iter_mut().enumerate() {
            if !self.could_have_room(job, machine, state, most_stoppable) {
                continue;
            }
            let most_cost = best.as_ref().map(|best| best.cost);
            let Some(choice) = self.room_on(job, machine, state, most_cost) else { continue };
            if best.as_ref().is_none_or(|best| choice.is_better_than(best)) {
                best = Some(choice);
            }
        }
        best
    }

    /// Whether a task of the job would fit on the machine if all tasks were stopped that the job
    /// may preempt.
    fn could_have_room(
        &self,
        job: usize,
        machine: usize,
        state: &RoomToMake,
        most_stoppable: &mut Option<Resources>,
    ) -> bool {
        let view = self.job_view(job);
        if state.room[machine].fits(&view.need) {
            return true;
        }
        let mut most =
            *most_stoppable.get_or_insert_with(|| self.most_stoppable(view, machine, state));
        most += state.room[machine];
        most.fits(&view.need)
    }

    /// The cost of running a task of the job on the machine; `None` if it can't run there, or if
    /// fetching the image alone costs more than `most_cost`.
    fn room_on(
        &self,
        job: usize,
        machine: usize,
        state: &RoomToMake,
        most_cost: Option<u64>,
    ) -> Option<RoomChoice> {
        let view = self.job_view(job);
        // The task would not be placed here because of its image, so preemption would be useless
        // and repeated in each pass: while a fleet starts, five tasks would be stopped for each
        // service task.
        if !self.is_allowed(job, machine) || self.is_better_on_the_way(job, machine) {
            return None;
        }
        let fetch_ms = self.fetch_ms(job, machine, self.snapshot.now_ms);
        if most_cost.is_some_and(|most_cost| fetch_ms > most_cost) {
            return None;
        }
        let victims = match state.room[machine].fits(&view.need) {
            true => Victims { lost: 0, tasks: Vec::new() },
            false => self.cheapest_victims(view, machine, state)?,
        };
        let preference = self.preference(job, machine);
        let cost = victims.lost + fetch_ms;
        Some(RoomChoice { machine, cost, preference, victims: victims.tasks })
    }

    /// Total resources of the tasks on a machine that the job may preempt.
    fn most_stoppable(&self, job: &JobView, machine: usize, state: &RoomToMake) -> Resources {
        let claimant = Claimant::of(job);
        let mut most = Resources::default();
        for task in &self.machine_view(machine).running {
            if !task.is_stopping && claimant.may_stop(task, &state.is_borrowing) {
                most += task.need;
            }
        }
        most
    }

    /// The tasks to stop on a machine so that one task of the job fits, those with the least cost
    /// first; `None` if it doesn't fit even then.
    fn cheapest_victims(
        &self,
        job: &JobView,
        machine: usize,
        state: &RoomToMake,
    ) -> Option<Victims> {
        let claimant = Claimant::of(job);
        let running = &self.machine_view(machine).running;
        let stopped = &state.stopped[machine];
        let mut candidates: Vec<(u64, usize)> = running
            .iter()
            .enumerate()
            .filter(|(index, task)| !stopped[*index] && !task.is_stopping)
            .filter(|(_, task)| claimant.may_stop(task, &state.is_borrowing))
            .map(|(index, task)| (stop_cost_ms(task), index))
            .collect();
        candidates.sort_unstable();
        let mut room = state.room[machine];
        let mut victims = Victims { lost: 0, tasks: Vec::new() };
        for (cost_ms, index) in candidates {
            if room.fits(&job.need) {
                break;
            }
            room += running[index].need;
            victims.lost += cost_ms;
            victims.tasks.push(index);
        }
        (room.fits(&job.need) && !victims.tasks.is_empty()).then_some(victims)
    }

    /// Preempts tasks. Returns the milliseconds until their capacity is free.
    fn stop_victims(&mut self, machine: usize, victims: &[usize], state: &mut RoomToMake) -> u64 {
        let now_ms = self.snapshot.now_ms;
        let mut wait_ms = PREEMPTED_ROOM_MIN_MS;
        for &victim in victims {
            let task = &self.machine_view(machine).running[victim];
            state.stopped[machine][victim] = true;
            state.room[machine] += task.need;
            self.machines[machine].row.end_at(victim, now_ms + task.stop_ms.max(1));
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
    fn hold_room(&mut self, job: usize, machine: usize, wait_ms: u64) {
        let view = self.job_view(job);
        let start_ms = self.snapshot.now_ms + wait_ms;
        self.machines[machine].held_for_priority += view.need;
        self.jobs[job].awaiting_room += 1;
        self.jobs[job].waiting_tasks -= 1;
        self.expect_start(job, start_ms);
        self.claim(job, machine, start_ms, view.run_ms);
    }
}

/// The cost of stopping a task, in milliseconds of lost work.
fn stop_cost_ms(task: &RunningTask) -> u64 {
    let ran_ms = task.ran_ms.unwrap_or(0);
    // Stopping a recently started task makes its start worthless to its users; without saved
    // progress, all its work is lost.
    let shield = if ran_ms < PREEMPT_SHIELD_MS { PREEMPT_SHIELD_MS } else { 0 };
    let lost = if task.keeps_progress { 0 } else { ran_ms };
    let service = if task.is_service { PREEMPT_SHIELD_MS * SERVICE_SHIELDS } else { 0 };
    // The rest of the gang stops too, and the whole gang has to start again.
    let gang = if task.tasks_stopped > 1 { PREEMPT_SHIELD_MS } else { 0 };
    (STOP_COST_MS + shield + lost + service + gang) * u64::from(task.tasks_stopped)
}
