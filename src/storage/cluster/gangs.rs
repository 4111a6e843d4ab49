//! Gangs: all tasks of an attempt are placed together and stopped together.

use super::ClusterState;
use crate::protocol::workers::EndCause;
use crate::storage::gangs::GangPhase;
use crate::storage::job::Job;
use crate::storage::machine::{Placement, PlacementPhase, StopReason, TaskId};
use crate::storage::records::{JobId, MachineName};

impl ClusterState {
    /// The phase of a gang, derived from its placements.
    pub fn gang_phase(&self, job: &Job) -> GangPhase {
        if job.has_no_placements() {
            return GangPhase::Unplaced;
        }
        let all_placed = job.placed_on.len() == job.tasks as usize;
        let any_placement = |test: &dyn Fn(&Placement) -> bool| self.placements_of(job).any(test);
        if !all_placed || any_placement(&|placement| placement.stop_reason.is_some()) {
            return GangPhase::Stopping;
        }
        if any_placement(&|placement| placement.phase == PlacementPhase::Proposed) {
            return GangPhase::Storing;
        }
        if any_placement(&|placement| placement.running_since.is_none()) {
            return GangPhase::Assembling;
        }
        GangPhase::Running
    }

    /// Proposes an attempt of a gang: the task with index `i` is placed on `machines[i]`.
    /// Proposes nothing and returns false unless all tasks wait and there is a machine for each.
    pub fn propose_gang(
        &mut self,
        id: &JobId,
        machines: &[MachineName],
        attempt: u64,
        now: u64,
    ) -> bool {
        let Some(job) = self.jobs.get_mut(id) else { return false };
        let has_machine_per_task =
            job.waiting_tasks() == job.tasks && machines.len() == job.tasks as usize;
        let all_known = machines.iter().all(|name| self.machines.contains_key(name));
        let Some(gang) = job.gang.as_mut().filter(|_| has_machine_per_task && all_known) else {
            return false;
        };
        gang.record_attempt(now);
        for (index, machine) in machines.iter().enumerate() {
            self.propose(id, index as u32, machine, attempt, now);
        }
        true
    }

    /// Stops all tasks of a gang. Tasks that are being stopped already keep their reason, so that a task
    /// can finish its checkpoint.
    pub fn stop_gang(&mut self, id: &JobId, reason: StopReason) {
        let Some(job) = self.jobs.get(id) else { return };
        for task in job.placed_tasks() {
            let placement = self.placement_mut(&task.machine, &TaskId::new(id.clone(), task.index));
            if let Some(placement) = placement.filter(|placement| placement.settled.is_none()) {
                placement.stop_reason.get_or_insert(reason);
            }
        }
    }

    /// Handles the settlement of a task of a gang. If the task is done, all tasks of the gang are done; any
    /// other cause ends the attempt.
    pub(super) fn on_gang_task_settled(&mut self, id: &JobId, cause: EndCause) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| job.is_live()) else {
            return;
        };
        if cause != EndCause::Done {
            if !job.is_complete() {
                self.stop_gang(id, StopReason::NotNeeded);
            }
            return;
        }
        for index in 0..job.tasks {
            job.mark_done(index);
        }
        if job.is_complete() {
            self.completed_jobs.insert(id.clone());
        }
    }

    /// Stops gangs of which only a part is in the store: an earlier leader has settled some of the tasks.
    pub fn stop_incomplete_gangs(&mut self) {
        let incomplete = |job: &&Job| {
            job.is_gang() && !job.has_no_placements() && job.placed_on.len() < job.tasks as usize
        };
        let gangs: Vec<JobId> =
            self.jobs.values().filter(incomplete).map(|job| job.id.clone()).collect();
        for id in gangs {
            self.stop_gang(&id, StopReason::NotNeeded);
        }
    }
}

#[cfg(test)]
mod tests;
