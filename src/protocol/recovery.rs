//! Interface between operators and controllers for rebuilds of the store after a data loss: the recovery
//! report, and decisions on flagged jobs.
//!
//! A job is flagged if a rebuild could not establish whether it had ended in the lost part of the history.
//! `docs/recovery.md` describes the decisions for operators.

use serde::{Deserialize, Serialize};

/// Path of the report (`GET /v1/recovery`) and prefix of the paths of decisions.
pub const RECOVERY_PATH: &str = "/v1/recovery";

/// An operator's decision after a rebuild.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Decision {
    /// The jobs continue in their last known state. If the decision applies to all jobs, it also closes the
    /// history gap.
    Release,
    /// The jobs are cancelled.
    GiveUp,
    /// The history gap is closed: jobs that are not known count as never accepted.
    CloseGap,
}

impl Decision {
    /// The last segment of the decision's path.
    pub fn name(self) -> &'static str {
        match self {
            Decision::Release => "release",
            Decision::GiveUp => "give-up",
            Decision::CloseGap => "close-gap",
        }
    }

    /// Parses a path; none if it is not the path of a decision.
    pub fn from_path(path: &str) -> Option<Decision> {
        let name = path.strip_prefix(RECOVERY_PATH)?.strip_prefix('/')?;
        let all = [Decision::Release, Decision::GiveUp, Decision::CloseGap];
        all.into_iter().find(|decision| decision.name() == name)
    }
}

/// The jobs that a decision applies to.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct DecisionRequest {
    /// Job ids; not used to close the history gap.
    #[serde(default)]
    pub jobs: Vec<String>,
    /// Whether the decision applies to all flagged jobs.
    #[serde(default)]
    pub all: bool,
}

/// Response to a decision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecisionAnswer {
    /// Number of jobs to which the decision was applied.
    pub decided: usize,
    /// Number of jobs that did not fit into one transaction; the request has to be repeated for these.
    pub left: usize,
}

/// Recovery report: what a controller knows of data losses and rebuilds of the store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RecoveryReport {
    /// Label of the controller.
    pub controller: String,
    /// Whether the controller detects data losses (`recovery.enabled` in its settings).
    pub enabled: bool,
    /// Phase of the detection or rebuild, in words.
    pub phase: String,
    /// Evidence of the present or suspected data loss; none without one.
    pub loss: Option<String>,
    /// Identity of the store, a random number; none if unknown.
    pub store: Option<String>,
    /// Number of data losses detected since the controller started.
    pub losses: u64,
    /// While this controller rebuilds the store: number of transactions applied, and number of values to
    /// write in all.
    pub written: Option<(u32, usize)>,
    /// The last rebuild recorded in the store; none if there was none.
    pub last_rebuild: Option<LastRebuild>,
    /// Jobs that are flagged and wait for a decision.
    pub flagged: Vec<FlaggedJob>,
    /// Running tasks that belong to no known job; empty on controllers that are not the leader.
    pub unknown_tasks: Vec<UnknownTask>,
}

/// The last rebuild of the store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LastRebuild {
    /// Phase of the rebuild, in words.
    pub phase: String,
    /// Label of the controller that runs or ran it.
    pub owner: String,
    /// Wall-clock time of its start, in milliseconds since the Unix epoch.
    pub at: u64,
    /// Evidence by which the data loss was detected.
    pub loss: String,
    /// Labels of the controllers whose images of the lost store were used; empty until all records are written.
    pub sources: Vec<String>,
    /// The history gap: labels of the controllers whose history does not reach back to before the loss; empty
    /// once an operator or the settings have closed the gap.
    pub gap: Vec<String>,
}

/// A job that waits for an operator's decision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlaggedJob {
    /// The job id.
    pub job: String,
    /// Why it is flagged.
    pub reason: String,
}

/// A running task that belongs to no known job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnknownTask {
    /// Name of the machine.
    pub machine: String,
    /// Job id and index of the task.
    pub task: String,
    /// Attempt number of the task.
    pub attempt: u64,
}
