//! Machines and the placements on them, as the leader of a term knows them.

use super::machine_health::MachineHealth;
use super::records::{JobId, MachineName, StoredPlacement};
use crate::constants::{ATTEMPT_COUNTER_BITS, IMAGES_PER_MACHINE_MAX, UNREACHABLE_AFTER_SIGNS};
use crate::protocol::workers::{EndCause, Heartbeat, TaskStatus};
use crate::protocol::Resources;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Whether a placement is stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementPhase {
    /// Decided, but not stored yet: the task must not be started.
    Proposed,
    /// Stored.
    Committed,
}

/// Why a task is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopReason {
    /// It is preempted, or its machine is drained. Its progress is saved if possible.
    Eviction,
    /// Its result is no longer needed.
    NotNeeded,
}

/// Identifies a heartbeat of a machine. The newer of two heartbeats has the greater id.
///
/// The order of the fields matters for the comparison: a worker's sequence numbers start again with each
/// incarnation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeartbeatId {
    /// Incarnation of the worker that sent it.
    pub incarnation: u64,
    /// Sequence number within the incarnation.
    pub sequence: u64,
}

impl HeartbeatId {
    /// The id of a heartbeat.
    pub fn of(heartbeat: &Heartbeat) -> HeartbeatId {
        HeartbeatId { incarnation: heartbeat.incarnation, sequence: heartbeat.sequence }
    }

    /// The id of the next heartbeat of the same incarnation.
    pub fn next(self) -> HeartbeatId {
        HeartbeatId { sequence: self.sequence.saturating_add(1), ..self }
    }
}

/// A task placed on a machine.
#[derive(Debug, Clone)]
pub struct Placement {
    /// Number of the attempt; no other attempt of the task has it.
    pub attempt: u64,
    /// Whether it is stored.
    pub phase: PlacementPhase,
    /// The heartbeat whose response last carried the command to start the task.
    pub start_sent_after: Option<HeartbeatId>,
    /// Status of the task as the worker last reported it.
    pub reported_status: Option<TaskStatus>,
    /// When it was first reported as running.
    pub running_since: Option<u64>,
    /// When the placement was decided.
    pub placed_at: u64,
    /// Why the task is to be stopped; `None` if it is not.
    pub stop_reason: Option<StopReason>,
    /// How the task ended, once the placement is settled. The placement is removed once the settlement
    /// is committed.
    pub settled: Option<EndCause>,
    /// Number of the stored group that contains it.
    pub group: Option<u32>,
}

impl Placement {
    /// A placement that no heartbeat has reported yet.
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

    /// The term of the leader that decided it.
    pub fn term(&self) -> u64 {
        self.attempt >> ATTEMPT_COUNTER_BITS
    }
}

/// Identifies a task. Ordered by job, then by index. Its text form, such as `job-000412/3`, identifies the
/// task on the wire.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job id.
    pub job: JobId,
    /// Index within the job, from 0.
    pub index: u32,
}

impl TaskId {
    /// The id of the task `index` of a job.
    pub fn new(job: JobId, index: u32) -> TaskId {
        TaskId { job, index }
    }
}

/// Identifies an attempt to run a task. Ordered by task, then by number.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The task.
    pub task: TaskId,
    /// Number of the attempt; no other attempt of the task has it. Its upper bits are the term of the
    /// leader that decided it.
    pub number: u64,
}

impl AttemptId {
    /// The attempt `number` of a task.
    pub fn new(task: TaskId, number: u64) -> AttemptId {
        AttemptId { task, number }
    }

    /// The stored form of a placement of this attempt on a machine; `None` if the job id or the
    /// machine's name can't be written in that form.
    pub fn stored_text(&self, machine: &str) -> Option<String> {
        StoredPlacement::text(&self.task.job, self.task.index, machine, self.number)
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// The state of a machine between rental and deletion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// Rented, but not up yet.
    Booting,
    /// Up according to the store or the cloud's list, but this term has had no heartbeat of its worker.
    /// The worker may be sending its heartbeats to another controller, or be cut off.
    AwaitingHeartbeat,
    /// Its worker has sent a heartbeat.
    Up,
    /// Its deletion was requested.
    Deleting,
    /// Certainly gone, with all tasks that ran on it.
    Terminated,
}

/// A machine as the leader of a term knows it.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Name of the machine.
    pub name: MachineName,
    /// Name of its machine type.
    pub type_name: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Total resources.
    pub total: Resources,
    /// Its state between rental and deletion.
    pub state: MachineState,
    /// When it was rented, as far as known.
    pub rented_at: u64,
    /// When this term first learned of it.
    pub first_known_at: u64,
    /// When it was first known to be up.
    pub up_at: Option<u64>,
    /// When the cloud's list first contained it.
    pub listed_at: Option<u64>,
    /// Id of the newest heartbeat.
    pub newest_heartbeat: HeartbeatId,
    /// Whether a heartbeat has had the present term as its fencing token.
    pub has_current_token: bool,
    /// When it was last certainly alive. Unlike for [`Machine::last_heartbeat_at`], a heartbeat that may
    /// have been sent before this term and delivered late doesn't count.
    pub last_alive_at: Option<u64>,
    /// When the newest heartbeat was received, whatever its fencing token.
    pub last_heartbeat_at: Option<u64>,
    /// When a heartbeat of it was last answered with status 200.
    pub last_response_at: Option<u64>,
    /// When the cloud will reclaim it, if that is announced.
    pub reclaim_at: Option<u64>,
    /// Whether its lease has expired and its placements are settled; false again after a heartbeat.
    pub lease_expired: bool,
    /// Number of consecutive signs that responses do not reach the worker.
    pub missed_response_signs: u32,
    /// When the last such sign was found.
    pub last_missed_response_sign_at: u64,
    /// Since when it is considered unreachable: its heartbeats arrive, but responses do not reach it.
    pub unreachable_since: Option<u64>,
    /// Placements on it, settled ones included until their settlement is committed.
    pub placements: BTreeMap<TaskId, Placement>,
    /// Attempts that run on it and belong to no known job. After a rebuild of the store they are left
    /// running.
    pub unknown_tasks: BTreeSet<AttemptId>,
    /// Images in its cache with their sizes in gigabytes; the newest comes last.
    pub images: Vec<(String, f64)>,
    /// Number of placements on it that are not stored yet.
    pub uncommitted_placements: u32,
    /// Whether it may get new tasks, from how tasks ended on it.
    pub health: MachineHealth,
    /// Whether the cloud lists it as failed: nothing runs on it any more.
    pub failed: bool,
    /// Whether it is being drained because other machines have capacity for its tasks. It is undrained
    /// if they no longer have.
    pub draining: bool,
    /// Since when it is empty.
    pub idle_since: Option<u64>,
    /// Number of tasks that completed successfully on it.
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
            has_current_token: false,
            last_alive_at: None,
            last_heartbeat_at: None,
            last_response_at: None,
            reclaim_at: None,
            lease_expired: false,
            missed_response_signs: 0,
            last_missed_response_sign_at: 0,
            unreachable_since: None,
            placements: BTreeMap::new(),
            unknown_tasks: BTreeSet::new(),
            images: Vec::new(),
            uncommitted_placements: 0,
            health: MachineHealth::default(),
            failed: false,
            draining: false,
            idle_since: None,
            successes: 0,
        }
    }

    /// Whether it is up and may get new tasks.
    pub fn is_usable(&self) -> bool {
        self.state == MachineState::Up
            && !self.health.is_cordoned()
            && !self.failed
            && !self.draining
            && !self.lease_expired
            && self.unreachable_since.is_none()
            && self.reclaim_at.is_none()
    }

    /// Number of tasks that it may get at present, out of `slots`: none while a task that was placed during
    /// its probation has not ended.
    pub fn free_task_slots(&self, slots: usize) -> usize {
        match self.probation_tasks().next() {
            Some(_) => 0,
            None => slots.saturating_sub(self.placements.len()),
        }
    }

    /// Unsettled placements that were made during the machine's probation.
    pub fn probation_tasks(&self) -> impl Iterator<Item = &Placement> {
        let since = self.health.probation_since();
        let unsettled = self.placements.values().filter(|placement| placement.settled.is_none());
        unsettled.filter(move |placement| since.is_some_and(|since| placement.placed_at >= since))
    }

    /// Whether it has neither placements nor unknown tasks.
    pub fn is_empty(&self) -> bool {
        self.placements.is_empty() && self.unknown_tasks.is_empty()
    }

    /// Records the number of new signs that responses do not reach the worker, or that a response was
    /// `delivered`. After enough consecutive signs the machine is considered unreachable, until a response
    /// is delivered or no further sign is found for `reset_after_ms`. Returns whether the machine has just
    /// become unreachable.
    pub fn record_response_delivery(
        &mut self,
        missed_response_signs: u32,
        delivered: bool,
        now: u64,
        reset_after_ms: u64,
    ) -> bool {
        let is_reset_due = self.missed_response_signs > 0
            && now > self.last_missed_response_sign_at + reset_after_ms;
        if delivered || (missed_response_signs == 0 && is_reset_due) {
            self.missed_response_signs = 0;
            self.unreachable_since = None;
            return false;
        }
        if missed_response_signs == 0 {
            return false;
        }
        self.missed_response_signs += missed_response_signs;
        self.last_missed_response_sign_at = now;
        if self.missed_response_signs < UNREACHABLE_AFTER_SIGNS || self.unreachable_since.is_some()
        {
            return false;
        }
        self.unreachable_since = Some(now);
        true
    }

    /// Records that its cache holds an image of `size_gb`, and drops the oldest images that no longer
    /// fit. If `cache_gb` is 0, the size of the cache is not known.
    pub fn record_image(&mut self, image: &str, size_gb: f64, cache_gb: f64) {
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
