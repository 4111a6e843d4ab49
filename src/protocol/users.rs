//! Users -> controllers.

use super::Resources;
use serde::{Deserialize, Serialize};

/// Longest name of a class, team, image, type or zone, in bytes.
const NAME_MAX: usize = 100;
/// Most machine types a submission may list.
const MACHINE_TYPES_MAX: usize = 64;
/// Most tasks of a job (protocol).
pub const TASKS_MAX: u32 = 100_000;
/// Largest amount or duration accepted; keeps arithmetic exact.
const AMOUNT_MAX: f64 = 1e9;

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

/// A submission's id, read before the rest is judged: a repeat of an accepted job is
/// answered with its state whatever else it carries.
pub fn submitted_uid(body: &[u8]) -> Result<(String, serde_json::Value), String> {
    let value: serde_json::Value = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    let object = value.as_object().ok_or("not an object")?;
    let uid = object.get("uid").and_then(|u| u.as_str()).ok_or("uid: missing or not a string")?;
    if !valid_uid(uid) {
        return Err("uid: must look like job-000412".into());
    }
    Ok((uid.to_string(), value))
}

/// What every job id begins with.
pub const UID_PREFIX: &str = "job-";

/// Whether a job id has the form that the protocol gives.
pub fn valid_uid(uid: &str) -> bool {
    uid.strip_prefix(UID_PREFIX)
        .is_some_and(|d| (1..=19).contains(&d.len()) && d.bytes().all(|b| b.is_ascii_digit()))
}

/// Parses and checks the whole submission.
pub fn parse_submission(value: serde_json::Value) -> Result<JobSpec, String> {
    let s: JobSpec = serde_json::from_value(value).map_err(|e| e.to_string())?;
    let name = |field: &str, v: &str| {
        if v.is_empty() || v.len() > NAME_MAX {
            Err(format!("{field}: must have 1 to {NAME_MAX} bytes"))
        } else {
            Ok(())
        }
    };
    name("duty", &s.class)?;
    name("crew", &s.team)?;
    name("kit", &s.image)?;
    if let Some(zone) = &s.zone {
        name("yard", zone)?;
    }
    if let Some(machine_types) = &s.machine_types {
        if machine_types.len() > MACHINE_TYPES_MAX {
            return Err("builds: too many".into());
        }
        for b in machine_types {
            name("builds", b)?;
        }
    }
    if !(1..=TASKS_MAX).contains(&s.tasks) {
        return Err(format!("loads: must lie between 1 and {TASKS_MAX}"));
    }
    let amounts = [
        ("cores", s.cores),
        ("gpus", s.gpus),
        ("ram_gb", s.ram_gb),
        ("size_gb", s.size_gb),
        ("run_guess_s", s.run_estimate_s),
        ("mark_every_s", s.checkpoint_interval_s),
        ("mark_cost_s", s.checkpoint_cost_s),
        ("due_s", s.deadline_s.unwrap_or(0.0)),
    ];
    for (field, v) in amounts {
        if !(0.0..=AMOUNT_MAX).contains(&v) {
            return Err(format!("{field}: out of range"));
        }
    }
    if s.need() == Resources::default() {
        return Err("cores: a task must take something".into());
    }
    Ok(s)
}

/// A job's state in users' words.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// No task runs.
    Queued,
    /// A task runs.
    Running,
    /// All tasks are done.
    Done,
    /// Its user has cancelled it.
    #[serde(rename = "withdrawn")]
    Cancelled,
}

/// Answer to a submission or a withdrawal.
#[derive(Serialize)]
pub struct Accepted<'a> {
    /// The job's id.
    pub uid: &'a str,
    /// Its state.
    pub status: Status,
}

/// Answer to a poll.
#[derive(Serialize)]
pub struct View<'a> {
    /// The job's id.
    pub uid: &'a str,
    /// Its state.
    pub status: Status,
    /// Tasks that are done.
    pub done: u32,
    /// Tasks on machines.
    pub running: u32,
}

/// What an answer to a user says of a job, as a controller that passes it on reads it.
#[derive(Deserialize)]
pub struct Told<'a> {
    /// The job's id.
    pub uid: &'a str,
    /// Its state.
    pub status: Status,
}

/// Body of every refusal.
#[derive(Serialize)]
pub struct Refusal<'a> {
    /// The reason, for a person.
    pub error: &'a str,
}
