//! Machines, and tasks placed on them, as the leader of a term knows them.

use super::records::{JobId, MachineName, StoredPlacement};
use crate::constants::{ATTEMPT_COUNTER_BITS, IMAGES_PER_MACHINE_MAX, UNREACHABLE_AFTER_SIGNS};
use crate::protocol::workers::{EndCause, Heartbeat, TaskStatus};
use crate::protocol::Resources;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// How far a placement has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementPhase {
    /// Decided, not yet in the store: must not be ordered.
    Proposed,
    /// In the store.
    Committed,
}

/// Why a task is to be stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopReason {
    /// To make room, or because its machine is emptied: progress is saved where it can be.
    Eviction,
    /// Its result is not wanted any more.
    NotNeeded,
}

/// Identifies a heartbeat of a machine. Of two heartbeats the greater is the newer one.
///
/// The order of the fields matters: a worker's sequence numbers start again with each incarnation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeartbeatId {
    /// The session of the worker that sent it.
    pub incarnation: u64,
    /// Its number within the session.
    pub sequence: u64,
}

impl HeartbeatId {
    /// The id of a worker's heartbeat.
    pub fn of(heartbeat: &Heartbeat) -> HeartbeatId {
        HeartbeatId { incarnation: heartbeat.incarnation, sequence: heartbeat.sequence }
    }

    /// The id that the same session's next heartbeat has.
    pub fn next(self) -> HeartbeatId {
        HeartbeatId { sequence: self.sequence.saturating_add(1), ..self }
    }
}

/// A task on a machine.
#[derive(Debug, Clone)]
pub struct Placement {
    /// Number of this attempt, never used for another one.
    pub attempt: u64,
    /// Whether it is in the store.
    pub phase: PlacementPhase,
    /// The report in whose answer the start went out last.
    pub start_sent_after: Option<HeartbeatId>,
    /// As last shown by the worker.
    pub reported_status: Option<TaskStatus>,
    /// When it was first shown running.
    pub running_since: Option<u64>,
    /// When it was decided.
    pub placed_at: u64,
    /// Why it is to be stopped, if it is.
    pub stop_reason: Option<StopReason>,
    /// Settled by evidence; taken out once that is committed.
    pub settled: Option<EndCause>,
    /// The number of the stored group that names it.
    pub group: Option<u32>,
}

impl Placement {
    /// A placement of which nothing has been shown yet.
    pub fn new(attempt: u64, phase: PlacementPhase, now: u64) -> Placement {
        Placement {
            attempt,
            phase,
            start_sent_after: None,
            reported_status: None,
            running_since: None,
            placed_at: now,
            stop_reason: None,
            settled: None,
            group: None,
        }
    }

    /// The term of the leader that made it.
    pub fn term(&self) -> u64 {
        self.attempt >> ATTEMPT_COUNTER_BITS
    }
}

/// Identifies a task. Ordered by job, then by number; its text form, such as `job-000412/3`, is the task's
/// name on the wire.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job that it belongs to.
    pub job: JobId,
    /// Its number within the job, from 0.
    pub index: u32,
}

impl TaskId {
    /// The task `index` of a job.
    pub fn new(job: JobId, index: u32) -> TaskId {
        TaskId { job, index }
    }
}

/// Identifies an attempt to run a task. Ordered by task, then by number.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The task.
    pub task: TaskId,
    /// Number of the attempt, never used for another one; holds the term of the leader that made it.
    pub number: u64,
}

impl AttemptId {
    /// The attempt `number` of a task.
    pub fn new(task: TaskId, number: u64) -> AttemptId {
        AttemptId { task, number }
    }

    /// How a placement of it on a machine is stored; none for a job id that has no stored form.
    pub fn stored_text(&self, machine: &str) -> Option<String> {
        StoredPlacement::text(&self.task.job, self.task.index, machine, self.number)
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// Where a machine stands between rental and deletion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// Rented, not yet up.
    Booting,
    /// Up as far as the store or the list tells, but its worker has not reported in this
    /// term. It may be busy with another controller, or cut off.
    AwaitingHeartbeat,
    /// Its worker has reported.
    Up,
    /// A deletion was asked for.
    Deleting,
    /// Surely gone, with all that was on it.
    Terminated,
}

/// A machine.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Its name.
    pub name: MachineName,
    /// Name of its type.
    pub type_name: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// What it has in all.
    pub total: Resources,
    /// Where it stands in its life.
    pub state: MachineState,
    /// When it was rented, as well as we know.
    pub rented_at: u64,
    /// When this term first knew of it.
    pub first_known_at: u64,
    /// When it was first seen up.
    pub up_at: Option<u64>,
    /// When a list first named it.
    pub listed_at: Option<u64>,
    /// The newest heartbeat.
    pub newest_heartbeat: HeartbeatId,
    /// The worker has shown our token.
    pub has_our_token: bool,
    /// When it was last surely alive: a heartbeat that may be a late copy from before our term
    /// doesn't count here, as it does for [`Machine::last_heartbeat_at`].
    pub last_alive_at: Option<u64>,
    /// When the newest report came, whoever's token it shows.
    pub last_heartbeat_at: Option<u64>,
    /// When we last answered it with 200.
    pub last_response_at: Option<u64>,
    /// When the cloud takes it.
    pub reclaim_at: Option<u64>,
    /// Its lease has run out and its tasks are settled, until it reports again.
    pub lease_expired: bool,
    /// Signs in a row that our answers do not reach it.
    pub undelivered_signs: u32,
    /// When the last such sign was seen.
    pub undelivered_sign_at: u64,
    /// Since when it counts as unreachable: it reports, but what we answer has no effect.
    pub unreachable_since: Option<u64>,
    /// Placements on it that are not taken out yet.
    pub placements: BTreeMap<TaskId, Placement>,
    /// Tasks that run on it and belong to no job that is known, with their attempts: after a rebuild
    /// of the store they are left alone.
    pub unknown_tasks: BTreeSet<AttemptId>,
    /// Images it holds, newest last, with their size in gigabytes.
    pub images: Vec<(String, f64)>,
    /// Placements on it that are not in the store yet.
    pub uncommitted_placements: u32,
    /// It gets no new tasks and is returned when empty.
    pub cordoned: bool,
    /// The cloud lists it as failed: nothing runs there any more.
    pub failed: bool,
    /// Being emptied because the others have room for its work; opened again when they
    /// have not.
    pub draining: bool,
    /// Recent failures of tasks on it: when, and of which job.
    pub failures: Vec<(u64, JobId)>,
    /// Since when nothing is on it.
    pub idle_since: Option<u64>,
    /// Tasks that ended well on it.
    pub successes: u32,
}

impl Machine {
    /// A machine of which only the name is known.
    pub fn new(name: MachineName, now: u64) -> Machine {
        Machine {
            name,
            type_name: String::new(),
            zone: String::new(),
            spot: false,
            total: Resources::default(),
            state: MachineState::Booting,
            rented_at: now,
            first_known_at: now,
            up_at: None,
            listed_at: None,
            newest_heartbeat: HeartbeatId::default(),
            has_our_token: false,
            last_alive_at: None,
            last_heartbeat_at: None,
            last_response_at: None,
            reclaim_at: None,
            lease_expired: false,
            undelivered_signs: 0,
            undelivered_sign_at: 0,
            unreachable_since: None,
            placements: BTreeMap::new(),
            unknown_tasks: BTreeSet::new(),
            images: Vec::new(),
            uncommitted_placements: 0,
            cordoned: false,
            failed: false,
            draining: false,
            failures: Vec::new(),
            idle_since: None,
            successes: 0,
        }
    }

    /// Whether it is up and may be used for new work: nothing speaks against it.
    pub fn is_usable(&self) -> bool {
        self.state == MachineState::Up
            && !self.cordoned
            && !self.draining
            && !self.lease_expired
            && self.unreachable_since.is_none()
            && self.reclaim_at.is_none()
    }

    /// Whether nothing is on it.
    pub fn is_empty(&self) -> bool {
        self.placements.is_empty() && self.unknown_tasks.is_empty()
    }

    /// Takes note of signs that our answers do not reach it, or that one was `delivered`. Enough signs
    /// in a row make it unreachable; a delivered answer, or no more signs for `calm_ms`, ends that.
    /// Tells whether it has become unreachable just now.
    pub fn note_response_delivery(
        &mut self,
        undelivered_signs: u32,
        delivered: bool,
        now: u64,
        calm_ms: u64,
    ) -> bool {
        let is_calm = self.undelivered_signs > 0 && now > self.undelivered_sign_at + calm_ms;
        if delivered || (undelivered_signs == 0 && is_calm) {
            self.undelivered_signs = 0;
            self.unreachable_since = None;
            return false;
        }
        if undelivered_signs == 0 {
            return false;
        }
        self.undelivered_signs += undelivered_signs;
        self.undelivered_sign_at = now;
        if self.undelivered_signs < UNREACHABLE_AFTER_SIGNS || self.unreachable_since.is_some() {
            return false;
        }
        self.unreachable_since = Some(now);
        true
    }

    /// Remembers that it holds an image of `size_gb`, and forgets the oldest beyond what fits into
    /// its cache; a `cache_gb` of 0 means that its size is not known.
    pub fn note_image(&mut self, image: &str, size_gb: f64, cache_gb: f64) {
        if self.images.last().is_some_and(|(newest, _)| newest == image) {
            return;
        }
        self.images.retain(|(held, _)| held != image);
        self.images.push((image.to_string(), size_gb));
        while self.images.len() > 1 && self.has_too_many_images(cache_gb) {
            self.images.remove(0);
        }
    }

    fn has_too_many_images(&self, cache_gb: f64) -> bool {
        let held_gb = || self.images.iter().map(|(_, size_gb)| size_gb).sum::<f64>();
        self.images.len() > IMAGES_PER_MACHINE_MAX || (cache_gb > 0.0 && held_gb() > cache_gb)
    }
}
