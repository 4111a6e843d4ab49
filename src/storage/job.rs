//! Jobs as the leader of a term knows them, with the tasks that wait, are placed or are done.

use super::gangs::GangState;
use super::hashing::{HashKeys, HashMap, HashSet};
use super::job_failures::JobFailures;
use super::records::{chunk_name, Bitmap, JobId, JobRecord, JobStage, MachineName};
use super::replica::Versioned;
use crate::constants::DONE_CHUNK_TASKS;
use crate::protocol::users::{JobKind, JobSpec};
use crate::protocol::Resources;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Tasks in one word of a bitmap's text form.
const WORD_TASKS: u32 = 64;

/// Hexadecimal digits of a word; each takes one byte.
const WORD_TEXT_BYTES: usize = 16;

/// Bytes of the quotes, the colon and the comma around a chunk's name and text in a stored group.
const CHUNK_OVERHEAD_BYTES: usize = 6;

/// A task of a job and the machine that it is placed on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacedTask {
    /// The task's index within its job.
    pub index: u32,
    /// The machine.
    pub machine: MachineName,
}

/// A job that is live or still has placements.
#[derive(Debug)]
pub struct Job {
    /// The job id.
    pub id: JobId,
    /// Its specification; `None` only for a job that is over and whose batch has been removed.
    pub spec: Option<Rc<JobSpec>>,
    /// Resources that each task needs.
    pub need: Resources,
    /// Whether it is live, done or cancelled.
    pub stage: JobStage,
    /// Arrival number: unique, and higher for jobs that were accepted later.
    pub arrival: u64,
    /// Wall-clock time of its acceptance, in milliseconds.
    pub accepted_at_wall_ms: u64,
    /// Number of its tasks.
    pub tasks: u32,
    /// Tasks that are done.
    pub done: Bitmap,
    /// Number of done tasks.
    pub done_count: u32,
    /// Chunks of the bitmap whose present contents are not stored yet.
    pub dirty_chunks: BTreeSet<u32>,
    /// Number of the stored group that holds a chunk, by chunk number.
    pub chunk_groups: HashMap<u32, u32>,
    /// Index of the first task that was never placed; no task after it was placed either.
    pub first_never_placed: u32,
    /// Tasks before `first_never_placed` that wait.
    pub requeued: BTreeSet<u32>,
    /// The machine of each unsettled placement, by task index.
    pub placed_on: BTreeMap<u32, MachineName>,
    /// Tasks whose last placement is settled, but the settlement is not committed yet.
    pub settling: HashSet<u32>,
    /// Failures of its tasks since one last succeeded.
    pub failures: JobFailures,
    /// Number of tasks that completed successfully in this term.
    pub successes: u32,
    /// Whether any of its tasks was seen running.
    pub has_started: bool,
    /// Whether a rebuild could not determine its state. Then no task starts and the job doesn't end
    /// until an operator decides.
    pub quarantined: bool,
    /// State of a gang; `None` for other jobs.
    pub gang: Option<GangState>,
}

impl Job {
    /// A job from the store, without placements.
    pub fn new(
        id: JobId,
        record: &Versioned<JobRecord>,
        done: Bitmap,
        quarantined: bool,
        keys: HashKeys,
    ) -> Job {
        let spec = record.value.spec.clone();
        Job {
            id,
            gang: spec.as_ref().filter(|spec| spec.is_gang()).map(|_| GangState::default()),
            need: spec.as_ref().map(|spec| spec.need()).unwrap_or_default(),
            spec,
            stage: record.value.stage,
            arrival: record.mod_revision,
            accepted_at_wall_ms: record.value.at,
            tasks: record.value.tasks,
            done_count: done.count(),
            done,
            dirty_chunks: BTreeSet::new(),
            chunk_groups: keys.map(),
            first_never_placed: 0,
            requeued: BTreeSet::new(),
            placed_on: BTreeMap::new(),
            settling: keys.set(),
            failures: JobFailures::new(keys),
            successes: 0,
            has_started: false,
            quarantined,
        }
    }

    /// Whether the job is neither done nor cancelled.
    pub fn is_live(&self) -> bool {
        self.stage == JobStage::Live
    }

    /// Whether a task is still to be done: the job is live and the task is not done.
    pub fn is_unfinished(&self, index: u32) -> bool {
        self.is_live() && !self.done.get(index)
    }

    /// Whether the tasks run until the job is cancelled.
    pub fn is_service(&self) -> bool {
        self.spec.as_ref().is_some_and(|spec| spec.kind == JobKind::Service)
    }

    /// Whether the tasks all run at the same time.
    pub fn is_gang(&self) -> bool {
        self.gang.is_some()
    }

    /// Whether all tasks of a live job are done. False while an operator has to decide on the job.
    pub fn is_complete(&self) -> bool {
        self.is_live() && !self.quarantined && self.done_count >= self.tasks
    }

    /// Whether no task of the job has a placement, neither on a machine nor in the store. A gang's attempt
    /// is over then.
    pub fn has_no_placements(&self) -> bool {
        self.placed_on.is_empty() && self.settling.is_empty()
    }

    /// The tasks with unsettled placements.
    pub fn placed_tasks(&self) -> Vec<PlacedTask> {
        let placed = self.placed_on.iter();
        placed
            .map(|(index, machine)| PlacedTask { index: *index, machine: machine.clone() })
            .collect()
    }

    /// Number of tasks that wait for a machine.
    pub fn waiting_tasks(&self) -> u32 {
        if !self.is_live() || self.quarantined {
            return 0;
        }
        if self.is_gang() {
            return self.waiting_gang_tasks();
        }
        self.requeued.len() as u32 + (self.tasks - self.first_never_placed)
    }

    /// Number of tasks of a gang that wait for machines: all or none.
    fn waiting_gang_tasks(&self) -> u32 {
        match self.has_no_placements() && self.done_count == 0 {
            true => self.tasks,
            false => 0,
        }
    }

    /// The next waiting task.
    pub fn next_waiting_task(&self) -> Option<u32> {
        if !self.is_live() || self.quarantined {
            return None;
        }
        let never_placed =
            (self.first_never_placed < self.tasks).then_some(self.first_never_placed);
        self.requeued.first().copied().or(never_placed)
    }

    /// Removes a task that gets a machine from the waiting tasks.
    pub(super) fn dequeue(&mut self, index: u32) {
        if self.requeued.remove(&index) || index != self.first_never_placed {
            return;
        }
        self.first_never_placed += 1;
        while self.first_never_placed < self.tasks && self.done.get(self.first_never_placed) {
            self.first_never_placed += 1;
        }
    }

    /// Lets a task that was placed wait again, unless it is done or the job is over.
    pub(super) fn requeue(&mut self, index: u32) {
        if self.is_unfinished(index) {
            self.requeued.insert(index);
        }
    }

    /// Moves the tasks that were never placed, up to and including `index`, to the requeued tasks.
    pub(super) fn requeue_up_to(&mut self, index: u32) {
        while self.first_never_placed <= index {
            if !self.done.get(self.first_never_placed) {
                self.requeued.insert(self.first_never_placed);
            }
            self.first_never_placed += 1;
        }
    }

    /// Determines the waiting tasks from `done` and `placed_on`. Tasks before the last one that is done
    /// or placed have all been placed before.
    pub(super) fn requeue_unplaced(&mut self) {
        let is_known = |index: &u32| self.done.get(*index) || self.placed_on.contains_key(index);
        self.first_never_placed = (0..self.tasks).rev().find(is_known).map_or(0, |last| last + 1);
        for index in 0..self.first_never_placed {
            if !self.done.get(index) && !self.placed_on.contains_key(&index) {
                self.requeued.insert(index);
            }
        }
    }

    /// Marks a task as done and its chunk of the bitmap as not stored yet.
    pub(super) fn mark_done(&mut self, index: u32) {
        if self.done.set(index) {
            self.done_count += 1;
            self.dirty_chunks.insert(index / DONE_CHUNK_TASKS);
        }
    }

    /// Maximum size in bytes of a chunk of its bitmap in the store.
    pub fn chunk_bytes(&self, chunk: u32) -> usize {
        let tasks = self.tasks.saturating_sub(chunk * DONE_CHUNK_TASKS).min(DONE_CHUNK_TASKS);
        let text_bytes = WORD_TEXT_BYTES * tasks.div_ceil(WORD_TASKS) as usize;
        chunk_name(&self.id, chunk).len() + text_bytes + CHUNK_OVERHEAD_BYTES
    }
}
