//! Operators -> controllers, about a rebuild of the store: the report, and decisions on jobs that a rebuild
//! could not account for. `docs/recovery.md` tells operators what to do with them.

use serde::{Deserialize, Serialize};

/// Path of the report, and of the decisions below it.
pub const RECOVERY_PATH: &str = "/v1/recovery";

/// What operators decide on jobs that a rebuild could not account for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Decision {
    /// They go on as they were last known.
    Release,
    /// They are cancelled.
    GiveUp,
    /// Jobs that are not known were never accepted.
    CloseGap,
}

impl Decision {
    /// The last part of its path.
    pub fn name(self) -> &'static str {
        match self {
            Decision::Release => "release",
            Decision::GiveUp => "give-up",
            Decision::CloseGap => "close-gap",
        }
    }

    /// The decision that a path names.
    pub fn from_path(path: &str) -> Option<Decision> {
        let name = path.strip_prefix(RECOVERY_PATH)?.strip_prefix('/')?;
        let all = [Decision::Release, Decision::GiveUp, Decision::CloseGap];
        all.into_iter().find(|decision| decision.name() == name)
    }
}

/// Which jobs a decision is about.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct DecisionRequest {
    /// These.
    #[serde(default)]
    pub jobs: Vec<String>,
    /// All that are flagged.
    #[serde(default)]
    pub all: bool,
}

/// What a decision has done.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecisionAnswer {
    /// Jobs decided on.
    pub decided: usize,
    /// Jobs of the request that another one has to follow for.
    pub left: usize,
}

/// What a controller knows of losses and rebuilds of the store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RecoveryReport {
    /// Name of the controller.
    pub controller: String,
    /// Whether it notices losses.
    pub enabled: bool,
    /// What it believes of the store.
    pub phase: String,
    /// What shows the loss, while there is one.
    pub loss: Option<String>,
    /// Identity of the store.
    pub store: Option<String>,
    /// Losses seen since it started.
    pub losses: u64,
    /// While this controller rebuilds: transactions carried out, and values there are in all.
    pub written: Option<(u32, usize)>,
    /// The last rebuild, as the store has it.
    pub last_rebuild: Option<LastRebuild>,
    /// Flagged jobs with the reason of each.
    pub flagged: Vec<FlaggedJob>,
    /// On the leader: tasks that run and belong to no known job.
    pub unknown_tasks: Vec<UnknownTask>,
}

/// The last rebuild of the store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LastRebuild {
    /// How far it has come.
    pub phase: String,
    /// Which controller did it.
    pub owner: String,
    /// Time of day of its begin, in milliseconds.
    pub at: u64,
    /// What showed the loss.
    pub loss: String,
    /// Controllers that it drew on.
    pub sources: Vec<String>,
    /// Controllers whose memory did not reach back to before the loss.
    pub gap: Vec<String>,
}

/// A job that a rebuild could not account for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlaggedJob {
    /// Its id.
    pub job: String,
    /// Why.
    pub reason: String,
}

/// A task that runs and belongs to no known job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnknownTask {
    /// Where it runs.
    pub machine: String,
    /// Its name.
    pub task: String,
    /// Its attempt.
    pub attempt: u64,
}
