//! Jobs as their users describe them, and as they are stored.

use crate::resources::Resources;
use serde::{Deserialize, Serialize};
use std::ops::RangeInclusive;

/// Most tasks of a job (protocol).
pub const TASKS_MAX: u32 = 100_000;
/// What every job id begins with.
pub const UID_PREFIX: &str = "job-";
/// How many digits follow it (protocol).
const UID_DIGITS: RangeInclusive<usize> = 1..=19;

/// Whether a job id has the form that the protocol gives.
pub fn valid_uid(uid: &str) -> bool {
    uid.strip_prefix(UID_PREFIX).is_some_and(|digits| {
        UID_DIGITS.contains(&digits.len()) && digits.bytes().all(|byte| byte.is_ascii_digit())
    })
}

/// How a job's tasks run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobKind {
    /// Independent tasks that run to completion.
    Batch,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
    /// Tasks that all run at the same time, or none of them, and complete together.
    #[serde(rename = "ensemble")]
    Gang,
}

/// Priority, highest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Services that must not stop.
    Production,
    /// Before ordinary work.
    High,
    /// Ordinary work.
    Standard,
    /// Whatever is left.
    BestEffort,
}

/// A submission, as users send it and as it is stored.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The job's id, chosen by its user.
    pub uid: String,
    /// Class, for which the settings may name aims.
    #[serde(rename = "duty")]
    pub class: String,
    /// Team whose guarantee and limit apply.
    #[serde(rename = "crew")]
    pub team: String,
    /// How its tasks run.
    #[serde(rename = "shape")]
    pub kind: JobKind,
    /// Priority.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "loads")]
    pub tasks: u32,
    /// Cores of a task.
    pub cores: f64,
    /// GPUs of a task.
    pub gpus: f64,
    /// Gigabytes of memory of a task.
    pub ram_gb: f64,
    /// Image that a task needs.
    #[serde(rename = "kit")]
    pub image: String,
    /// Gigabytes of the image.
    pub size_gb: f64,
    /// Allowed machine types; none: any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "builds")]
    pub machine_types: Option<Vec<String>>,
    /// The only allowed zone; none: any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "yard")]
    pub zone: Option<String>,
    /// All tasks must be in the same zone.
    #[serde(rename = "together")]
    pub one_zone: bool,
    /// At most half of the tasks may be in one zone.
    #[serde(rename = "apart")]
    pub spread: bool,
    /// Spot machines may be used.
    #[serde(rename = "lendables")]
    pub spot_allowed: bool,
    /// The owner's estimate of a task's run time, often wrong by half.
    #[serde(rename = "run_guess_s")]
    pub run_estimate_s: f64,
    /// Seconds of progress between checkpoints; 0: a task never saves.
    #[serde(rename = "mark_every_s")]
    pub checkpoint_interval_s: f64,
    /// Seconds that a task needs to save when it is stopped.
    #[serde(rename = "mark_cost_s")]
    pub checkpoint_cost_s: f64,
    /// Seconds after its submission by which the job should be complete.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "due_s")]
    pub deadline_s: Option<f64>,
}

impl JobSpec {
    /// What each task takes.
    pub fn need(&self) -> Resources {
        Resources::new(self.cores, self.gpus, self.ram_gb)
    }

    /// Whether its tasks all run at the same time or not at all.
    pub fn is_gang(&self) -> bool {
        self.kind == JobKind::Gang
    }

    /// Tasks that have to be on machines at the same time for the job to run at all.
    pub fn tasks_at_once(&self) -> u32 {
        match self.kind {
            JobKind::Batch => 1,
            JobKind::Service | JobKind::Gang => self.tasks,
        }
    }

    /// Whether it may run on machines of this type.
    pub fn allows_type(&self, type_name: &str) -> bool {
        let allowed_types = self.machine_types.as_ref();
        allowed_types.is_none_or(|allowed| allowed.iter().any(|name| name == type_name))
    }

    /// Whether a stopped task can keep its progress.
    pub fn saves(&self) -> bool {
        self.checkpoint_interval_s > 0.0
    }

    /// Most tasks that may be in one zone.
    pub fn zone_cap(&self) -> u32 {
        if self.spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }
}

/// The parts of a task's name as it is on the wire: `job-000412/3`.
pub fn parse_task(name: &str) -> Option<(&str, u32)> {
    let (job, task) = name.rsplit_once('/')?;
    Some((job, task.parse().ok()?))
}
