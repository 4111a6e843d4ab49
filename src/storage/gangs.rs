//! Gangs: jobs whose tasks all run at the same time.
//!
//! A gang is placed whole, all tasks with the same attempt number and by one commit. An attempt that
//! has lost a task is stopped as a whole, and the next one is placed only once every task of the
//! last is proved gone and that is in the store. So an attempt never gets a replacement, and an
//! attempt number is still used only once on a machine for a task.

use super::cluster::ClusterState;
use super::job::Job;
use super::machine::{Placement, StopReason, TaskId};
use super::records::{JobId, JobStage, MachineName};
use crate::constants::{DONE_CHUNK_TASKS, GANG_RETRY_MAX_MS, GANG_RETRY_MS};
use crate::protocol::workers::EndCause;

/// What a leader knows of a gang beside what it knows of any job.
#[derive(Debug, Clone, Default)]
pub struct GangState {
    /// A task of the present attempt was seen running, so all of them had started.
    pub running: bool,
    /// Attempts placed since one was last seen running.
    pub attempts: u32,
    /// When the next attempt may be placed.
    pub retry_at: u64,
}

/// Where a gang stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GangPhase {
    /// Room for all its tasks at once, or its team's limit.
    Unplaced,
    /// Its placements are not all in the store yet.
    Storing,
    /// Images and the start of its other tasks.
    Assembling,
    /// All its tasks run.
    Running,
    /// Tasks of an attempt that is over, until they are proved gone.
    Stopping,
}

impl Job {
    /// Whether its tasks all run at the same time.
    pub fn is_gang(&self) -> bool {
        self.gang.is_some()
    }

    /// Whether nothing of an earlier attempt is left, neither on machines nor in the store.
    pub fn attempt_is_over(&self) -> bool {
        self.placed_on.is_empty() && self.settling.is_empty()
    }

    /// Tasks of a gang that wait for machines: all or none.
    pub(super) fn gang_waiting(&self) -> u32 {
        match self.attempt_is_over() && self.done_count == 0 {
            true => self.tasks,
            false => 0,
        }
    }
}

impl GangState {
    /// Notes that an attempt is placed, and when the next one may be if this one fails before it
    /// runs: at once after the first, later after each further one.
    pub fn note_attempt(&mut self, now: u64) {
        self.running = false;
        self.attempts = self.attempts.saturating_add(1);
        let doubled = GANG_RETRY_MS.saturating_mul(1 << (self.attempts - 1).min(16));
        self.retry_at = match self.attempts {
            1 => now,
            _ => now + doubled.min(GANG_RETRY_MAX_MS),
        };
    }

    /// Notes that an attempt was never stored: it does not count.
    pub fn forget_attempt(&mut self) {
        self.attempts = self.attempts.saturating_sub(1);
        self.retry_at = 0;
    }

    /// Notes that a task of the present attempt was seen running.
    pub fn note_running(&mut self) {
        self.running = true;
        self.attempts = 0;
    }
}

impl ClusterState {
    /// Where a gang stands.
    pub fn gang_phase(&self, job: &Job) -> GangPhase {
        if job.attempt_is_over() {
            return GangPhase::Unplaced;
        }
        let all = job.placed_on.len() == job.tasks as usize;
        let any = |test: &dyn Fn(&Placement) -> bool| self.placements_of(job).any(test);
        if !all || any(&|p| p.stop_reason.is_some()) {
            return GangPhase::Stopping;
        }
        if any(&|p| p.phase == super::machine::PlacementPhase::Proposed) {
            return GangPhase::Storing;
        }
        if any(&|p| p.running_since.is_none()) {
            return GangPhase::Assembling;
        }
        GangPhase::Running
    }

    /// Proposes an attempt of a gang: task by task on the machines given. Nothing is proposed
    /// unless all its tasks wait and each gets a machine.
    pub fn propose_gang(
        &mut self,
        uid: &JobId,
        machines: &[MachineName],
        attempt: u64,
        now: u64,
    ) -> bool {
        let Some(job) = self.jobs.get_mut(uid) else { return false };
        let whole = job.waiting() == job.tasks && machines.len() == job.tasks as usize;
        let known = machines.iter().all(|name| self.machines.contains_key(name));
        let Some(gang) = job.gang.as_mut().filter(|_| whole && known) else { return false };
        gang.note_attempt(now);
        for (task, machine) in machines.iter().enumerate() {
            self.propose(uid, task as u32, machine, attempt, now);
        }
        true
    }

    /// Stops all tasks of a gang. Those that have been told to save are left to it.
    pub fn stop_gang(&mut self, uid: &JobId, halt: StopReason) {
        let Some(job) = self.jobs.get(uid) else { return };
        for (task, machine) in &job.placed_on {
            let machine = self.machines.get_mut(machine);
            let held = machine.and_then(|m| m.placements.get_mut(&TaskId::new(uid.clone(), *task)));
            if let Some(placement) = held.filter(|p| p.settled.is_none()) {
                placement.stop_reason.get_or_insert(halt);
            }
        }
    }

    /// Evidence has settled a task of a gang. One that is done shows that all are; with any other
    /// end the attempt is over.
    pub(super) fn gang_task_settled(&mut self, uid: &JobId, cause: EndCause) {
        let Some(job) = self.jobs.get_mut(uid).filter(|job| job.stage == JobStage::Live) else {
            return;
        };
        if cause != EndCause::Done {
            if !job.complete() {
                self.stop_gang(uid, StopReason::NotNeeded);
            }
            return;
        }
        for task in 0..job.tasks {
            if job.done.set(task) {
                job.done_count += 1;
                job.dirty_chunks.insert(task / DONE_CHUNK_TASKS);
            }
        }
        if job.complete() {
            self.completed_jobs.insert(uid.clone());
        }
    }

    /// Stops gangs of which the store has only a part: an earlier leader has seen a task gone.
    pub fn stop_incomplete_gangs(&mut self) {
        let incomplete = |job: &&Job| {
            job.is_gang() && !job.attempt_is_over() && job.placed_on.len() < job.tasks as usize
        };
        let gangs: Vec<JobId> =
            self.jobs.values().filter(incomplete).map(|job| job.uid.clone()).collect();
        for uid in gangs {
            self.stop_gang(&uid, StopReason::NotNeeded);
        }
    }
}

#[cfg(test)]
mod tests;
