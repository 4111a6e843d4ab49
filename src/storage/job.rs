//! Jobs as the leader of a term knows them: which tasks wait, are placed, or are done.

use super::gangs::GangState;
use super::hashing::{HashMap, HashSet};
use super::records::{chunk_name, Bitmap, Name, Stage};
use crate::constants::{BAD_JOB_MACHINES, DONE_CHUNK_TASKS};
use crate::protocol::users::JobSpec;
use crate::protocol::Resources;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A job that is not over, or still has tasks on machines.
#[derive(Debug)]
pub struct Job {
    /// Its id.
    pub uid: Name,
    /// None only for a job whose record was reduced at its end.
    pub spec: Option<Rc<JobSpec>>,
    /// What each task takes.
    pub need: Resources,
    /// Whether it is live, done or cancelled.
    pub stage: Stage,
    /// Grows from job to job.
    pub arrival: u64,
    /// Time of day of its acceptance.
    pub at_wall: u64,
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
    pub next_fresh: u32,
    /// Tasks below that wait again.
    pub returned: BTreeSet<u32>,
    /// Unsettled placements: task to machine.
    pub placed: BTreeMap<u32, Name>,
    /// Tasks whose end is settled but not committed.
    pub settling: HashSet<u32>,
    /// Machines on which a task failed since the last success.
    pub failed_on: HashSet<Name>,
    /// How long the next pause after a failure lasts.
    pub fail_pause_ms: u64,
    /// Until when none of its tasks is started.
    pub paused_until: u64,
    /// Tasks that ended well.
    pub successes: u32,
    /// A task of it was seen running.
    pub begun: bool,
    /// A rebuild could not account for it: nothing of it starts or ends until an operator decides.
    pub withheld: bool,
    /// What is known of it as a gang; none for other jobs.
    pub gang: Option<GangState>,
}

impl Job {
    /// Tasks that wait for a machine.
    pub fn waiting(&self) -> u32 {
        if self.stage != Stage::Live || self.withheld {
            return 0;
        }
        if self.is_gang() {
            return self.gang_waiting();
        }
        self.returned.len() as u32 + (self.tasks - self.next_fresh)
    }

    /// The next waiting task.
    pub fn next_waiting(&self) -> Option<u32> {
        if self.stage != Stage::Live || self.withheld {
            return None;
        }
        self.returned.first().copied().or((self.next_fresh < self.tasks).then_some(self.next_fresh))
    }

    pub(super) fn take_waiting(&mut self, task: u32) {
        if !self.returned.remove(&task) && task == self.next_fresh {
            self.next_fresh += 1;
            while self.next_fresh < self.tasks && self.done.get(self.next_fresh) {
                self.next_fresh += 1;
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
        self.stage == Stage::Live && !self.withheld && self.done_count >= self.tasks
    }

    /// Whether the job failed on several machines and nowhere succeeded since.
    pub fn suspect(&self) -> bool {
        self.failed_on.len() >= BAD_JOB_MACHINES
    }
}
