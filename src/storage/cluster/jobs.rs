//! Jobs from acceptance to end, according to the store.

use super::resources::charge;
use super::ClusterState;
use crate::storage::job::{Job, PlacedTask};
use crate::storage::machine::{StopReason, TaskId};
use crate::storage::records::{JobId, JobStage};
use crate::storage::replica::Replica;

impl ClusterState {
    /// Adds a job of the replica; `placed_tasks` are its unsettled placements.
    pub fn add_job(&mut self, replica: &Replica, id: &JobId, placed_tasks: &[PlacedTask]) {
        let Some(record) = replica.jobs.get(id) else { return };
        let done = replica.done_bitmap(id);
        let quarantined = replica.is_flagged(id);
        let mut job = Job::new(id.clone(), record, done, quarantined, self.hash_keys());
        for task in placed_tasks {
            job.placed_on.insert(task.index, task.machine.clone());
            let Some(reason) = stop_reason(&job, task.index) else { continue };
            self.stop_task(id, task, reason);
        }
        job.requeue_unplaced();
        charge(&mut self.usage, &job, job.placed_on.len() as i64);
        if job.is_live() {
            self.queue.insert(job.arrival, id.clone());
        }
        if job.is_complete() {
            self.completed_jobs.insert(id.clone());
        }
        self.jobs.insert(id.clone(), job);
    }

    /// Applies a change of a job in the store: the job is new, has ended, or its flag has changed.
    pub fn on_job_changed(&mut self, replica: &Replica, id: &JobId, now: u64) {
        let Some(record) = replica.jobs.get(id) else { return };
        if !self.jobs.contains_key(id) {
            if record.value.stage == JobStage::Live {
                self.add_new_job(replica, id, now);
            }
            return;
        }
        if record.value.stage != JobStage::Live {
            return self.end_job(id, record.value.stage);
        }
        let quarantined = replica.is_flagged(id);
        let Some(job) = self.jobs.get_mut(id).filter(|job| job.quarantined != quarantined) else {
            return;
        };
        job.quarantined = quarantined;
        if job.is_complete() {
            self.completed_jobs.insert(id.clone());
        }
    }

    fn add_new_job(&mut self, replica: &Replica, id: &JobId, now: u64) {
        // After a data loss, the store may have had placements of this job before the job itself was
        // restored. Ignoring them would let tasks run twice.
        let placed_tasks =
            if replica.store.is_some() { self.placed_tasks_of(id) } else { Vec::new() };
        self.add_job(replica, id, &placed_tasks);
        self.adopt_tasks_of(id, now);
    }

    /// Ends a job: its waiting tasks are dropped, its running tasks are stopped.
    pub fn end_job(&mut self, id: &JobId, stage: JobStage) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| job.is_live()) else { return };
        self.queue.remove(&job.arrival);
        self.completed_jobs.remove(id);
        job.stage = stage;
        job.requeued.clear();
        job.first_never_placed = job.tasks;
        job.dirty_chunks.clear();
        for (chunk, number) in job.chunk_groups.drain() {
            if let Some(group) = self.done_groups.get_mut(&number) {
                group.remove(id, chunk);
            }
        }
        // Proposed placements are stopped too: the transaction in flight may store them, and their tasks
        // must not be started then.
        for task in job.placed_tasks() {
            self.stop_task(id, &task, StopReason::NotNeeded);
        }
        if stage == JobStage::Cancelled {
            self.withdraw_failures(id);
        }
        self.remove_if_finished(id);
    }

    /// Withdraws the failures of a job that was cancelled: users cancel jobs with a mistake, which fail on
    /// every machine.
    fn withdraw_failures(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        for name in job.failures.machines() {
            let Some(machine) = self.machines.get_mut(name) else { continue };
            if machine.health.withdraw_failures(id) {
                log::info!("machine uncordoned: {name}, {id} failed there and was cancelled");
            }
        }
    }

    fn stop_task(&mut self, job: &JobId, task: &PlacedTask, reason: StopReason) {
        let id = TaskId::new(job.clone(), task.index);
        if let Some(placement) = self.placement_mut(&task.machine, &id) {
            placement.stop_reason = Some(reason);
        }
    }

    /// Removes a job that is over and has no placements left.
    pub fn remove_if_finished(&mut self, id: &JobId) {
        if self.jobs.get(id).is_some_and(|job| !job.is_live() && job.has_no_placements()) {
            self.jobs.remove(id);
        }
    }
}

/// The reason to stop a task with a stored placement, if there is one.
fn stop_reason(job: &Job, index: u32) -> Option<StopReason> {
    if !job.is_unfinished(index) {
        return Some(StopReason::NotNeeded);
    }
    job.quarantined.then_some(StopReason::Eviction)
}
