//! Tasks that run with no placement that is known: adopted where they run.
//!
//! Before a store has been rebuilt there are none. After it a task may have been placed in the part
//! of the history that is lost, and a report with the present term shows where it runs.

use super::ClusterState;
use crate::protocol::workers::{EndCause, TaskStatus};
use crate::storage::job::PlacedTask;
use crate::storage::machine::{AttemptId, PlacementPhase, StopReason, TaskId};
use crate::storage::records::{JobId, MachineName};

/// What becomes of a task that runs and has no placement that we know of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Adoption {
    /// It is placed where it runs.
    Adopted,
    /// An earlier placement of it has to be settled first.
    Waits,
    /// Its job has no use for it.
    Refused,
}

impl ClusterState {
    /// Unsettled placements of a job that is not known yet.
    pub(super) fn placed_tasks_of(&self, job: &JobId) -> Vec<PlacedTask> {
        let tasks = TaskId::new(job.clone(), 0)..=TaskId::new(job.clone(), u32::MAX);
        let mut placed = Vec::new();
        for machine in self.machines.values() {
            let placements = machine.placements.range(tasks.clone());
            let unsettled = placements.filter(|(_, placement)| placement.settled.is_none());
            placed.extend(
                unsettled
                    .map(|(id, _)| PlacedTask { index: id.index, machine: machine.name.clone() }),
            );
        }
        placed
    }

    /// A job is known by now whose tasks were found running before.
    pub(super) fn adopt_tasks_of(&mut self, job: &JobId, now: u64) {
        let mut found: Vec<(MachineName, AttemptId)> = Vec::new();
        for machine in self.machines.values_mut() {
            let tasks = machine.unknown_tasks.iter().filter(|attempt| attempt.task.job == *job);
            found.extend(tasks.map(|attempt| (machine.name.clone(), attempt.clone())));
            machine.unknown_tasks.retain(|attempt| attempt.task.job != *job);
        }
        for (machine, attempt) in found {
            self.adopt(&machine, &attempt, now);
        }
    }

    /// A task runs with no placement that we know of, as a report with our token shows. After a
    /// rebuild it may have been placed in the part of the history that is lost.
    pub fn adopt(&mut self, machine: &MachineName, attempt: &AttemptId, now: u64) -> Adoption {
        let id = &attempt.task;
        let Some(job) = self.jobs.get(&id.job) else { return Adoption::Refused };
        if !job.is_unfinished(id.index) || id.index >= job.tasks {
            return Adoption::Refused;
        }
        if job.settling.contains(&id.index) {
            return Adoption::Waits;
        }
        if let Some(other) = job.placed_on.get(&id.index).cloned() {
            return self.settle_earlier(&other, attempt);
        }
        let stop_reason = job.quarantined.then_some(StopReason::Eviction);
        self.place_running_task(machine, attempt, stop_reason, now);
        Adoption::Adopted
    }

    /// A task runs with no placement that we know of: counted where it is, so that it is not started
    /// elsewhere, and stopped.
    pub fn add_untracked_task(&mut self, machine: &MachineName, attempt: &AttemptId, now: u64) {
        let id = &attempt.task;
        let Some(job) = self.jobs.get(&id.job) else { return };
        let is_unplaced = job.is_unfinished(id.index)
            && !job.placed_on.contains_key(&id.index)
            && !job.settling.contains(&id.index)
            && id.index < job.tasks;
        if is_unplaced {
            self.place_running_task(machine, attempt, Some(StopReason::Eviction), now);
        }
    }

    /// Records a placement for a task that runs already.
    fn place_running_task(
        &mut self,
        machine: &MachineName,
        attempt: &AttemptId,
        stop_reason: Option<StopReason>,
        now: u64,
    ) {
        let AttemptId { task: id, number } = attempt;
        if let Some(job) = self.jobs.get_mut(&id.job) {
            job.requeue_up_to(id.index);
        }
        self.propose(&id.job, id.index, machine, *number, now);
        if let Some(placement) = self.placement_mut(machine, id) {
            placement.phase = PlacementPhase::Committed;
            placement.reported_status = Some(TaskStatus::Running);
            placement.stop_reason = stop_reason;
        }
    }

    /// A task that is placed runs with another attempt. Attempts rise, and the next is placed only once the
    /// last is settled and that is committed: a higher one proves that ours is over.
    fn settle_earlier(&mut self, machine: &MachineName, attempt: &AttemptId) -> Adoption {
        let id = &attempt.task;
        let is_earlier = self.placement(machine, id).is_some_and(|placement| {
            placement.attempt < attempt.number && placement.phase == PlacementPhase::Committed
        });
        if !is_earlier {
            return Adoption::Refused;
        }
        self.settle(machine, id, EndCause::Lost);
        Adoption::Waits
    }
}
