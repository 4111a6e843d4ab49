//! The life cycle of a placement: proposed, committed, settled, removed.

use super::resources::{charge, release};
use super::ClusterState;
use crate::protocol::workers::EndCause;
use crate::storage::machine::{AttemptId, Placement, PlacementPhase, TaskId};
use crate::storage::records::{JobId, MachineName};

impl ClusterState {
    /// Proposes a placement. It uses capacity and quota at once and is stored with a later transaction.
    pub fn propose(
        &mut self,
        job_id: &JobId,
        index: u32,
        machine_name: &MachineName,
        attempt: u64,
        now: u64,
    ) {
        let Some(job) = self.jobs.get_mut(job_id) else { return };
        let Some(machine) = self.machines.get_mut(machine_name) else { return };
        job.dequeue(index);
        job.placed_on.insert(index, machine_name.clone());
        charge(&mut self.usage, job, 1);
        let id = TaskId::new(job_id.clone(), index);
        let placement = Placement::new(attempt, PlacementPhase::Proposed, now);
        machine.placements.insert(id.clone(), placement);
        machine.idle_since = None;
        machine.uncommitted_placements += 1;
        self.proposals.push_back((machine_name.clone(), id));
    }

    /// Withdraws a proposal that was not stored.
    pub fn retract(&mut self, machine: &MachineName, id: &TaskId) {
        let Some(machine) = self.machines.get_mut(machine) else { return };
        machine.uncommitted_placements = machine.uncommitted_placements.saturating_sub(1);
        let is_unsettled_proposal = |placement: &Placement| {
            placement.phase == PlacementPhase::Proposed && placement.settled.is_none()
        };
        if !machine.placements.get(id).is_some_and(is_unsettled_proposal) {
            return;
        }
        machine.placements.remove(id);
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        job.placed_on.remove(&id.index);
        release(&mut self.usage, job);
        job.requeue(id.index);
        self.remove_if_finished(&id.job);
    }

    /// Handles the commit that has stored a placement.
    pub fn on_placement_committed(
        &mut self,
        machine: &MachineName,
        attempt: &AttemptId,
        group: u32,
    ) {
        let Some(machine) = self.machines.get_mut(machine) else { return };
        machine.uncommitted_placements = machine.uncommitted_placements.saturating_sub(1);
        let placement = machine.placements.get_mut(&attempt.task);
        let is_same = |placement: &&mut Placement| placement.attempt == attempt.number;
        let Some(placement) = placement.filter(is_same) else { return };
        placement.phase = PlacementPhase::Committed;
        placement.group = Some(group);
        // The placement may have been settled while the transaction was in flight.
        if let (Some(cause), Some(group)) = (placement.settled, self.groups.get_mut(&group)) {
            group.settle(attempt.clone(), cause != EndCause::Done);
        }
    }

    /// Settles a placement, once there is proof that its task no longer runs. The placement then uses no
    /// capacity and quota, and the task may be placed again once the settlement is committed.
    pub fn settle(&mut self, machine_name: &MachineName, id: &TaskId, cause: EndCause) {
        let placement = self.placement_mut(machine_name, id);
        let Some(placement) = placement.filter(|placement| placement.settled.is_none()) else {
            return;
        };
        placement.settled = Some(cause);
        let (attempt, group) = (placement.attempt, placement.group);
        self.mark_for_removal(machine_name, id, attempt, group, cause);
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        if job.placed_on.get(&id.index) == Some(machine_name) {
            job.placed_on.remove(&id.index);
        }
        job.settling.insert(id.index);
        release(&mut self.usage, job);
        let is_gang = job.is_gang();
        if cause == EndCause::Done && job.is_live() {
            self.record_success(machine_name, id);
        }
        if is_gang {
            self.on_gang_task_settled(&id.job, cause);
        }
    }

    /// Marks a settled placement for removal from its stored group. A placement that is in no stored group
    /// is added to `unstored_settlements` instead.
    fn mark_for_removal(
        &mut self,
        machine: &MachineName,
        id: &TaskId,
        attempt: u64,
        group: Option<u32>,
        cause: EndCause,
    ) {
        match group.and_then(|number| self.groups.get_mut(&number)) {
            Some(group) => {
                // The task can start again only once the settlement is committed.
                let starts_again = self.jobs.get(&id.job).is_some_and(|job| job.is_live());
                let is_urgent = starts_again && cause != EndCause::Done;
                group.settle(AttemptId::new(id.clone(), attempt), is_urgent);
            }
            None => self.unstored_settlements.push((machine.clone(), id.clone())),
        }
    }

    /// Records that a task of a live job has completed successfully.
    fn record_success(&mut self, machine: &MachineName, id: &TaskId) {
        if let Some(machine) = self.machines.get_mut(machine) {
            machine.successes += 1;
        }
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        job.mark_done(id.index);
        job.successes += 1;
        job.failures.clear();
        if job.is_complete() {
            self.completed_jobs.insert(job.id.clone());
        }
    }

    /// Handles the commit of a settlement: the placement is removed, and the task waits again unless
    /// it is done or its job is over.
    ///
    /// Applies only to the attempt that was settled, since the task may have been placed again, even on
    /// the same machine. Handling an attempt twice would requeue a task that is placed.
    pub fn on_settlement_committed(&mut self, machine: &MachineName, attempt: &AttemptId) {
        let Some(machine) = self.machines.get_mut(machine) else { return };
        let AttemptId { task: id, number } = attempt;
        let is_over =
            |placement: &Placement| placement.attempt == *number && placement.settled.is_some();
        if !machine.placements.get(id).is_some_and(is_over) {
            return;
        }
        machine.placements.remove(id);
        if let Some(job) = self.jobs.get_mut(&id.job) {
            if job.settling.remove(&id.index) && !job.placed_on.contains_key(&id.index) {
                job.requeue(id.index);
            }
        }
        self.remove_if_finished(&id.job);
    }

    /// Removes settled placements that were never stored. Returns whether there were any.
    pub fn drop_unstored_settlements(&mut self) -> bool {
        let settlements = std::mem::take(&mut self.unstored_settlements);
        let any = !settlements.is_empty();
        for (machine, id) in settlements {
            let placement = self.placement(&machine, &id);
            // A placement that has been stored meanwhile must be removed from its group first.
            let unstored = placement.filter(|placement| placement.group.is_none());
            if let Some(attempt) = unstored.map(|placement| placement.attempt) {
                self.on_settlement_committed(&machine, &AttemptId::new(id, attempt));
            }
        }
        any
    }

    /// Settles all committed placements on a machine that is certainly gone.
    pub fn settle_machine(&mut self, machine_name: &MachineName) {
        let Some(machine) = self.machines.get(machine_name) else { return };
        let needs_settlement = |placement: &Placement| {
            placement.settled.is_none() && placement.phase == PlacementPhase::Committed
        };
        let unsettled =
            machine.placements.iter().filter(|(_, placement)| needs_settlement(placement));
        let ids: Vec<TaskId> = unsettled.map(|(id, _)| id.clone()).collect();
        for id in ids {
            self.settle(machine_name, &id, EndCause::Lost);
        }
    }
}
