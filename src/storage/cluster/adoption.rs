//! Adoption of tasks that run without a known placement.
//!
//! Such tasks exist only after a rebuild of the store, when they were placed in the lost part of the
//! history. A heartbeat with the present term as its fencing token shows where such a task runs, and a
//! placement is recorded for it there.

use super::ClusterState;
use crate::protocol::workers::{EndCause, TaskStatus};
use crate::storage::job::PlacedTask;
use crate::storage::machine::{AttemptId, PlacementPhase, StopReason, TaskId};
use crate::storage::records::{JobId, MachineName};

/// What happens to a task that runs without a known placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Adoption {
    /// A placement is recorded on the machine where it runs.
    Adopted,
    /// The settlement of an earlier placement of the task must be committed first.
    Deferred,
    /// Its job is not known, is over, or doesn't need the task.
    Rejected,
}

impl ClusterState {
    /// Unsettled placements of a job that has not been added yet.
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

    /// Adopts the running tasks of a job that has just been added.
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

    /// Adopts a task that runs without a known placement, according to a heartbeat with the present
    /// term. After a rebuild, such a task may have been placed in the lost part of the history.
    pub fn adopt(&mut self, machine: &MachineName, attempt: &AttemptId, now: u64) -> Adoption {
        let id = &attempt.task;
        let Some(job) = self.jobs.get(&id.job) else { return Adoption::Rejected };
        if !job.is_unfinished(id.index) || id.index >= job.tasks {
            return Adoption::Rejected;
        }
        if job.settling.contains(&id.index) {
            return Adoption::Deferred;
        }
        if let Some(other) = job.placed_on.get(&id.index).cloned() {
            return self.settle_earlier_attempt(&other, attempt);
        }
        let stop_reason = job.quarantined.then_some(StopReason::Eviction);
        self.place_running_task(machine, attempt, stop_reason, now);
        Adoption::Adopted
    }

    /// Records a placement for a task that runs without a known one, so that the task is not started
    /// elsewhere meanwhile, and stops it.
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

    /// Records a committed placement for a task that already runs.
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

    /// Settles a committed placement on `machine` if `attempt`, which runs without a known placement, is a
    /// later attempt of the same task. Attempt numbers increase, and an attempt is placed only once the
    /// settlement of the previous one is committed, so a later attempt proves that the earlier one is over.
    fn settle_earlier_attempt(&mut self, machine: &MachineName, attempt: &AttemptId) -> Adoption {
        let id = &attempt.task;
        let is_earlier = self.placement(machine, id).is_some_and(|placement| {
            placement.attempt < attempt.number && placement.phase == PlacementPhase::Committed
        });
        if !is_earlier {
            return Adoption::Rejected;
        }
        self.settle(machine, id, EndCause::Lost);
        Adoption::Deferred
    }
}
