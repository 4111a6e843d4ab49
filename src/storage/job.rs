//! Jobs as the leader of a term knows them: which tasks wait, are placed, or are done.

use super::gangs::GangState;
use super::hashing::{HashMap, HashSet};
use super::records::{chunk_name, Bitmap, JobId, JobStage, MachineName};
use crate::constants::{BAD_JOB_MACHINES, DONE_CHUNK_TASKS};
use crate::protocol::users::JobSpec;
use crate::protocol::Resources;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A job that is not over, or still has tasks on machines.
#[derive(Debug)]
pub struct Job {
    /// Its id.
    pub uid: JobId,
    /// None only for a job whose record was reduced at its end.
    pub spec: Option<Rc<JobSpec>>,
    /// What each task takes.
    pub need: Resources,
    /// Whether it is live, done or cancelled.
    pub stage: JobStage,
    /// Grows from job to job.
    pub arrival: u64,
    /// Time of day of its acceptance.
    pub accepted_at_wall_ms: u64,
    /// Number of its tasks.
    pub tasks: u32,
    /// Tasks that are done.
    pub done: Bitmap,
    /// How many that are.
    pub done_count: u32,
    /// Chunks of the bitmap that the store does not have as they are.
    pub dirty_chunks: BTreeSet<u32>,
    /// The group of bitmaps that holds a chunk.
    pub chunk_groups: HashMap<u32, u32>,
    /// Tasks from here on were never placed.
    pub first_never_placed: u32,
    /// Tasks below that wait again.
    pub requeued: BTreeSet<u32>,
    /// Unsettled placements: task to machine.
    pub placed_on: BTreeMap<u32, MachineName>,
    /// Tasks whose end is settled but not committed.
    pub settling: HashSet<u32>,
    /// Machines on which a task failed since the last success.
    pub failed_on: HashSet<MachineName>,
    /// How long the next pause after a failure lasts.
    pub fail_pause_ms: u64,
    /// Until when none of its tasks is started.
    pub paused_until: u64,
    /// Tasks that ended well.
    pub successes: u32,
    /// A task of it was seen running.
    pub has_started: bool,
    /// A rebuild could not account for it: nothing of it starts or ends until an operator decides.
    pub quarantined: bool,
    /// What is known of it as a gang; none for other jobs.
    pub gang: Option<GangState>,
}

impl Job {
    /// Tasks that wait for a machine.
    pub fn waiting(&self) -> u32 {
        if self.stage != JobStage::Live || self.quarantined {
            return 0;
        }
        if self.is_gang() {
            return self.gang_waiting();
        }
        self.requeued.len() as u32 + (self.tasks - self.first_never_placed)
    }

    /// The next waiting task.
    pub fn next_waiting(&self) -> Option<u32> {
        if self.stage != JobStage::Live || self.quarantined {
            return None;
        }
        self.requeued
            .first()
            .copied()
            .or((self.first_never_placed < self.tasks).then_some(self.first_never_placed))
    }

    pub(super) fn take_from_waiting(&mut self, task: u32) {
        if !self.requeued.remove(&task) && task == self.first_never_placed {
            self.first_never_placed += 1;
            while self.first_never_placed < self.tasks && self.done.get(self.first_never_placed) {
                self.first_never_placed += 1;
            }
        }
    }

    /// Bytes that a chunk of its bitmap takes in the store, at the most.
    pub fn chunk_bytes(&self, chunk: u32) -> usize {
        let tasks = self.tasks.saturating_sub(chunk * DONE_CHUNK_TASKS).min(DONE_CHUNK_TASKS);
        chunk_name(&self.uid, chunk).len() + 16 * tasks.div_ceil(64) as usize + 6
    }

    /// Whether every task is done.
    pub fn complete(&self) -> bool {
        self.stage == JobStage::Live && !self.quarantined && self.done_count >= self.tasks
    }

    /// Whether the job failed on several machines and nowhere succeeded since.
    pub fn fails_everywhere(&self) -> bool {
        self.failed_on.len() >= BAD_JOB_MACHINES
    }
}
