//! Job specifications, as users submit them and as they are stored.

use crate::resources::Resources;
use serde::{Deserialize, Serialize};
use std::ops::RangeInclusive;

/// Maximum number of tasks of a job (protocol).
pub const TASKS_MAX: u32 = 100_000;
/// Prefix of every job id.
pub const JOB_ID_PREFIX: &str = "job-";
/// Allowed number of digits after the prefix (protocol).
const JOB_ID_DIGITS: RangeInclusive<usize> = 1..=19;

/// Whether a job id has the form that the protocol requires.
pub fn is_valid_job_id(job_id: &str) -> bool {
    job_id.strip_prefix(JOB_ID_PREFIX).is_some_and(|digits| {
        JOB_ID_DIGITS.contains(&digits.len()) && digits.bytes().all(|byte| byte.is_ascii_digit())
    })
}

/// How a job's tasks run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobKind {
    /// Independent tasks, each of which runs to completion.
    Batch,
    /// Instances of a service that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
    /// Tasks that run all at the same time or not at all, and complete together.
    #[serde(rename = "ensemble")]
    Gang,
}

/// Priority of a job. The highest priority is the first variant and compares as the least.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Services that must not stop.
    Production,
    /// Work that goes before [`Priority::Standard`].
    High,
    /// The usual priority.
    Standard,
    /// Work that uses whatever capacity is left.
    BestEffort,
}

/// The specification of a job, as users submit it and as it is stored.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The job id, chosen by the user.
    pub uid: String,
    /// Workload class; the settings may have objectives for it.
    #[serde(rename = "duty")]
    pub class: String,
    /// Team whose resource guarantee and limit apply.
    #[serde(rename = "crew")]
    pub team: String,
    /// How the tasks run.
    #[serde(rename = "shape")]
    pub kind: JobKind,
    /// Priority.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "loads")]
    pub tasks: u32,
    /// CPU cores per task.
    pub cores: f64,
    /// GPUs per task.
    pub gpus: f64,
    /// Gigabytes of memory per task.
    pub ram_gb: f64,
    /// Image that the tasks run.
    #[serde(rename = "kit")]
    pub image: String,
    /// Size of the image in gigabytes.
    pub size_gb: f64,
    /// Allowed machine types; `None` allows all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "builds")]
    pub machine_types: Option<Vec<String>>,
    /// The only allowed zone; `None` allows all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "yard")]
    pub zone: Option<String>,
    /// Whether all tasks must be in the same zone.
    #[serde(rename = "together")]
    pub one_zone: bool,
    /// Whether at most half of the tasks may be in one zone.
    #[serde(rename = "apart")]
    pub spread: bool,
    /// Whether tasks may run on spot machines.
    #[serde(rename = "lendables")]
    pub spot_allowed: bool,
    /// The user's estimate of a task's run time; often wrong by half.
    #[serde(rename = "run_guess_s")]
    pub run_estimate_s: f64,
    /// Seconds of progress between checkpoints; 0 if the tasks write none.
    #[serde(rename = "mark_every_s")]
    pub checkpoint_interval_s: f64,
    /// Seconds that a task needs to write a checkpoint when it is stopped.
    #[serde(rename = "mark_cost_s")]
    pub checkpoint_cost_s: f64,
    /// Seconds after submission by which the job should be complete.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "due_s")]
    pub deadline_s: Option<f64>,
}

impl JobSpec {
    /// Resources that each task needs.
    pub fn need(&self) -> Resources {
        Resources::new(self.cores, self.gpus, self.ram_gb)
    }

    /// Whether the tasks run all at the same time or not at all.
    pub fn is_gang(&self) -> bool {
        self.kind == JobKind::Gang
    }

    /// Number of tasks that must be able to run at the same time for the job to make progress.
    pub fn tasks_at_once(&self) -> u32 {
        match self.kind {
            JobKind::Batch => 1,
            JobKind::Service | JobKind::Gang => self.tasks,
        }
    }

    /// Whether tasks may run on machines of this type.
    pub fn allows_type(&self, type_name: &str) -> bool {
        let allowed_types = self.machine_types.as_ref();
        allowed_types.is_none_or(|allowed| allowed.iter().any(|name| name == type_name))
    }

    /// Whether the tasks write checkpoints, so that a stopped task can keep its progress.
    pub fn writes_checkpoints(&self) -> bool {
        self.checkpoint_interval_s > 0.0
    }

    /// Maximum number of tasks in one zone.
    pub fn zone_cap(&self) -> u32 {
        if self.spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }
}

/// Splits the wire form of a task id, such as `job-000412/3`, into job id and task index.
pub fn parse_task(name: &str) -> Option<(&str, u32)> {
    let (job, task) = name.rsplit_once('/')?;
    Some((job, task.parse().ok()?))
}
