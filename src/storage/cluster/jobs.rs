//! Jobs from acceptance to end, as the store tells of them.

use super::resources::charge;
use super::ClusterState;
use crate::storage::job::{Job, PlacedTask};
use crate::storage::machine::{StopReason, TaskId};
use crate::storage::records::{JobId, JobStage};
use crate::storage::replica::Replica;

impl ClusterState {
    /// Adds a job of the replica; `placed_tasks` are its tasks on machines.
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

    /// A job changed in the store: a new one, or one that is over.
    pub fn job_changed(&mut self, replica: &Replica, id: &JobId, now: u64) {
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
        // Only a store that has lost data names placements of a job that it doesn't know. They were
        // once left out when its description came back, and tasks ran twice.
        let placed_tasks =
            if replica.store.is_some() { self.placed_tasks_of(id) } else { Vec::new() };
        self.add_job(replica, id, &placed_tasks);
        self.adopt_tasks_of(id, now);
    }

    /// A job is over: what waits is dropped, what runs is stopped.
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
        // A placement that is only proposed is stopped too: if the commit under way stores
        // it, it must not be ordered any more.
        for task in job.placed_tasks() {
            self.stop_task(id, &task, StopReason::NotNeeded);
        }
        self.forget_if_finished(id);
    }

    fn stop_task(&mut self, job: &JobId, task: &PlacedTask, reason: StopReason) {
        let id = TaskId::new(job.clone(), task.index);
        if let Some(placement) = self.placement_mut(&task.machine, &id) {
            placement.stop_reason = Some(reason);
        }
    }

    /// Forgets a job that is over and has nothing on machines.
    pub fn forget_if_finished(&mut self, id: &JobId) {
        if self.jobs.get(id).is_some_and(|job| !job.is_live() && job.attempt_is_over()) {
            self.jobs.remove(id);
        }
    }
}

/// Why a task that the store has placed is to be stopped, if it is.
fn stop_reason(job: &Job, index: u32) -> Option<StopReason> {
    if !job.is_unfinished(index) {
        return Some(StopReason::NotNeeded);
    }
    job.quarantined.then_some(StopReason::Eviction)
}
