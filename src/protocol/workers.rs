//! Workers <-> controllers.

use serde::{Deserialize, Serialize};

/// State of a task on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskStatus {
    Pulling,
    Running,
    Flushing,
    Ended,
    /// A state of a later protocol: on the machine as far as we know.
    #[serde(other)]
    Unknown,
}

/// Why a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    Done,
    Halted,
    Error,
    NoRoom,
    Busy,
    NoSuch,
    /// Killed with its session, taken with its machine, or a cause of a later protocol.
    #[serde(other)]
    Lost,
}

/// A task in a report.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TaskReport {
    #[serde(rename = "load")]
    pub task_id: String,
    #[serde(rename = "try")]
    pub attempt: u64,
    pub status: TaskStatus,
    #[serde(default)]
    pub cause: Option<Cause>,
    #[serde(default)]
    pub saved: Option<bool>,
}

/// A worker's report.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Report {
    #[serde(rename = "stead")]
    pub machine: String,
    pub address: String,
    #[serde(rename = "build")]
    pub machine_type: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "lendables")]
    pub spot: bool,
    #[serde(rename = "tenure")]
    pub session: u64,
    #[serde(rename = "tally")]
    pub sequence: u64,
    #[serde(default)]
    #[serde(rename = "baton")]
    pub token: u64,
    #[serde(default)]
    #[serde(rename = "recall_s")]
    pub reclaim_s: Option<f64>,
    #[serde(default)]
    #[serde(rename = "loads")]
    pub tasks: Vec<TaskReport>,
}

/// An order to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "snake_case")]
pub enum WorkerCommand {
    Start {
        #[serde(rename = "load")]
        task_id: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
    Halt {
        #[serde(rename = "load")]
        task_id: String,
        #[serde(rename = "try")]
        attempt: u64,
        #[serde(rename = "wind_down_s")]
        grace_s: f64,
    },
    Clear {
        #[serde(rename = "load")]
        task_id: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// Answer to a report.
#[derive(Debug, Serialize, Deserialize)]
pub struct WorkerCommands {
    #[serde(rename = "baton")]
    pub token: u64,
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}

/// Answer of a controller that doesn't lead.
#[derive(Debug, Serialize, Deserialize)]
pub struct Redirect {
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "steward")]
    pub leader: Option<String>,
}
