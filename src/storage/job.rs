//! Jobs as the leader of a term knows them: which tasks wait, are placed, or are done.

use super::gangs::GangState;
use super::hashing::{HashKeys, HashMap, HashSet};
use super::records::{chunk_name, Bitmap, JobId, JobRecord, JobStage, MachineName};
use super::replica::Versioned;
use crate::constants::{DONE_CHUNK_TASKS, FAILING_JOB_MACHINES};
use crate::protocol::users::{JobKind, JobSpec};
use crate::protocol::Resources;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Tasks in one word of a bitmap's text form.
const WORD_TASKS: u32 = 64;

/// Bytes of such a word, in hexadecimal digits.
const WORD_TEXT_BYTES: usize = 16;

/// Bytes that quotes, colon and comma take around a chunk's name and text in a stored group.
const CHUNK_FRAME_BYTES: usize = 6;

/// A task of a job, and the machine that it is placed on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacedTask {
    /// The task's number within its job.
    pub index: u32,
    /// The machine.
    pub machine: MachineName,
}

/// A job that is not over, or still has tasks on machines.
#[derive(Debug)]
pub struct Job {
    /// Its id.
    pub id: JobId,
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
    /// How long the next pause after a failure lasts, in milliseconds.
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
    /// A job of the store, none of whose tasks is placed yet.
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
            failed_on: keys.set(),
            fail_pause_ms: 0,
            paused_until: 0,
            successes: 0,
            has_started: false,
            quarantined,
        }
    }

    /// Whether it is neither done nor cancelled.
    pub fn is_live(&self) -> bool {
        self.stage == JobStage::Live
    }

    /// Whether a task of it is still to be done: the job is live, and the task not done.
    pub fn is_unfinished(&self, index: u32) -> bool {
        self.is_live() && !self.done.get(index)
    }

    /// Whether its tasks run until it is cancelled.
    pub fn is_service(&self) -> bool {
        self.spec.as_ref().is_some_and(|spec| spec.kind == JobKind::Service)
    }

    /// Whether its tasks all run at the same time.
    pub fn is_gang(&self) -> bool {
        self.gang.is_some()
    }

    /// Whether every task is done.
    pub fn is_complete(&self) -> bool {
        self.is_live() && !self.quarantined && self.done_count >= self.tasks
    }

    /// Whether nothing of an earlier attempt is left, neither on machines nor in the store.
    pub fn attempt_is_over(&self) -> bool {
        self.placed_on.is_empty() && self.settling.is_empty()
    }

    /// Whether the job failed on several machines and nowhere succeeded since.
    pub fn fails_everywhere(&self) -> bool {
        self.failed_on.len() >= FAILING_JOB_MACHINES
    }

    /// Its unsettled placements.
    pub fn placed_tasks(&self) -> Vec<PlacedTask> {
        let placed = self.placed_on.iter();
        placed
            .map(|(index, machine)| PlacedTask { index: *index, machine: machine.clone() })
            .collect()
    }

    /// How many tasks wait for a machine.
    pub fn waiting(&self) -> u32 {
        if !self.is_live() || self.quarantined {
            return 0;
        }
        if self.is_gang() {
            return self.gang_waiting();
        }
        self.requeued.len() as u32 + (self.tasks - self.first_never_placed)
    }

    /// Tasks of a gang that wait for machines: all or none.
    fn gang_waiting(&self) -> u32 {
        match self.attempt_is_over() && self.done_count == 0 {
            true => self.tasks,
            false => 0,
        }
    }

    /// The next waiting task.
    pub fn next_waiting(&self) -> Option<u32> {
        if !self.is_live() || self.quarantined {
            return None;
        }
        let never_placed =
            (self.first_never_placed < self.tasks).then_some(self.first_never_placed);
        self.requeued.first().copied().or(never_placed)
    }

    /// A waiting task gets a machine.
    pub(super) fn take_from_waiting(&mut self, index: u32) {
        if self.requeued.remove(&index) || index != self.first_never_placed {
            return;
        }
        self.first_never_placed += 1;
        while self.first_never_placed < self.tasks && self.done.get(self.first_never_placed) {
            self.first_never_placed += 1;
        }
    }

    /// A task that was placed waits again, unless it is done or the job is over.
    pub(super) fn requeue(&mut self, index: u32) {
        if self.is_unfinished(index) {
            self.requeued.insert(index);
        }
    }

    /// Tasks that were never placed, up to and including this one, wait like requeued ones.
    pub(super) fn requeue_up_to(&mut self, index: u32) {
        while self.first_never_placed <= index {
            if !self.done.get(self.first_never_placed) {
                self.requeued.insert(self.first_never_placed);
            }
            self.first_never_placed += 1;
        }
    }

    /// Works out which tasks wait, once `done` and `placed_on` are known: those below the last task
    /// that is either have been placed before.
    pub(super) fn requeue_unplaced(&mut self) {
        let is_known = |index: &u32| self.done.get(*index) || self.placed_on.contains_key(index);
        self.first_never_placed = (0..self.tasks).rev().find(is_known).map_or(0, |last| last + 1);
        for index in 0..self.first_never_placed {
            if !self.done.get(index) && !self.placed_on.contains_key(&index) {
                self.requeued.insert(index);
            }
        }
    }

    /// A task is done: its chunk of the bitmap has to be stored.
    pub(super) fn mark_done(&mut self, index: u32) {
        if self.done.set(index) {
            self.done_count += 1;
            self.dirty_chunks.insert(index / DONE_CHUNK_TASKS);
        }
    }

    /// Bytes that a chunk of its bitmap takes in the store, at the most.
    pub fn chunk_bytes(&self, chunk: u32) -> usize {
        let tasks = self.tasks.saturating_sub(chunk * DONE_CHUNK_TASKS).min(DONE_CHUNK_TASKS);
        let text_bytes = WORD_TEXT_BYTES * tasks.div_ceil(WORD_TASKS) as usize;
        chunk_name(&self.id, chunk).len() + text_bytes + CHUNK_FRAME_BYTES
    }
}
