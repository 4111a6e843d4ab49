//! Workers <-> controllers ("Workers -> controller nodes" of the protocol): heartbeats, and the commands that
//! travel in their answers.

use serde::{Deserialize, Serialize};

/// State of a task on its machine ("POST /checkin" of the protocol).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskStatus {
    /// Waits for its image.
    Pulling,
    /// Task of a gang that waits for the other tasks of its attempt.
    Waiting,
    /// Runs.
    Running,
    /// Saves before it stops.
    Flushing,
    /// Ended, for the cause that goes with it.
    Ended,
    /// A state of a later protocol: on the machine as far as we know.
    #[serde(other)]
    Unknown,
}

impl TaskStatus {
    /// Whether the task holds resources of its machine.
    pub fn is_on_machine(self) -> bool {
        self != TaskStatus::Ended
    }

    /// Whether the task has begun its work: it has its image, and its gang is complete.
    pub fn has_begun(self) -> bool {
        !matches!(self, TaskStatus::Pulling | TaskStatus::Waiting)
    }
}

/// Why a task ended ("POST /checkin" of the protocol).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndCause {
    /// Completed.
    Done,
    /// Stopped by command.
    Halted,
    /// Failed.
    Error,
    /// Refused: too little room on the machine.
    NoRoom,
    /// Refused: the task is there with another attempt.
    Busy,
    /// Refused: the worker knows no such task.
    NoSuch,
    /// Task of a gang: another task of the gang is gone.
    MatesGone,
    /// Task of a gang that was not complete in time.
    Alone,
    /// Killed with its session, taken with its machine, or a cause of a later protocol.
    #[serde(other)]
    Lost,
}

pub use wire::{Report as Heartbeat, TaskReport as ReportedTask};

/// Types whose Rust names reach the wire: a worker whose heartbeat can't be read is told which type was
/// expected, so they keep the names of the protocol's page.
mod wire {
    use super::{EndCause, TaskStatus};
    use serde::{Deserialize, Serialize};

    /// A task in a heartbeat ("POST /checkin" of the protocol).
    #[derive(Debug, Clone, Serialize, Deserialize)]
    pub struct TaskReport {
        /// The task's name on the wire, see [`crate::storage::machine::TaskId`].
        #[serde(rename = "load")]
        pub task_id: String,
        /// Attempt that the start named.
        #[serde(rename = "try")]
        pub attempt: u64,
        /// Its state.
        pub status: TaskStatus,
        /// Why it ended.
        #[serde(default)]
        pub cause: Option<EndCause>,
        /// Whether its progress was saved.
        #[serde(default)]
        pub saved: Option<bool>,
    }

    /// A worker's heartbeat ("POST /checkin" of the protocol).
    #[derive(Debug, Clone, Serialize, Deserialize)]
    pub struct Report {
        /// Name of the machine.
        #[serde(rename = "stead")]
        pub machine: String,
        /// Where the worker takes direct commands.
        pub address: String,
        /// Type of the machine.
        #[serde(rename = "build")]
        pub machine_type: String,
        /// Zone of the machine.
        #[serde(rename = "yard")]
        pub zone: String,
        /// Whether it is a spot machine.
        #[serde(rename = "lendables")]
        pub spot: bool,
        /// Session: grows each time the worker's lease expires.
        #[serde(rename = "tenure")]
        pub incarnation: u64,
        /// Number of the report within the session.
        #[serde(rename = "tally")]
        pub sequence: u64,
        /// Highest token that the worker has seen.
        #[serde(default)]
        #[serde(rename = "baton")]
        pub fencing_token: u64,
        /// Seconds until the cloud takes the machine back.
        #[serde(default)]
        #[serde(rename = "recall_s")]
        pub reclaim_s: Option<f64>,
        /// All tasks on the machine, ended ones included until they are cleared.
        #[serde(default)]
        #[serde(rename = "loads")]
        pub tasks: Vec<TaskReport>,
    }
}

/// A command to a worker ("POST /checkin" of the protocol).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "snake_case")]
pub enum WorkerCommand {
    /// Starts a task.
    Start {
        /// The task.
        #[serde(rename = "load")]
        task_id: String,
        /// Its attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stops a task.
    #[serde(rename = "halt")]
    Stop {
        /// The task.
        #[serde(rename = "load")]
        task_id: String,
        /// Its attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// Seconds that it may take to save.
        #[serde(rename = "wind_down_s")]
        grace_s: f64,
    },
    /// Removes an ended task from the heartbeats.
    Clear {
        /// The task.
        #[serde(rename = "load")]
        task_id: String,
        /// Its attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// Answer to a heartbeat ("POST /checkin" of the protocol).
#[derive(Debug, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// The sender's token: a worker drops answers with a lower one than it has seen.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// What to do, in order.
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}

/// Answer of a controller that doesn't lead: 421 ("Workers -> controller nodes" of the protocol).
#[derive(Debug, Serialize, Deserialize)]
pub struct LeaderRedirect {
    /// The controller to report to, if it is known.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "steward")]
    pub leader: Option<String>,
}
