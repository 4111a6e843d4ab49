//! Interface between workers and controllers: a worker sends heartbeats, and the response to each carries
//! the commands for it.

use serde::{Deserialize, Serialize};

/// State of a task on its machine, as reported by the worker (`POST /checkin`).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskStatus {
    /// Waits until its image has been fetched.
    Pulling,
    /// Task of a gang: waits until all other tasks of the same attempt are ready.
    Waiting,
    /// Does its work.
    Running,
    /// Was told to stop and saves its progress.
    Flushing,
    /// No longer runs; [`EndCause`] says why.
    Ended,
    /// A state added by a later protocol version; the task counts as still on the machine.
    #[serde(other)]
    Unknown,
}

impl TaskStatus {
    /// Whether the task holds resources of its machine.
    pub fn is_on_machine(self) -> bool {
        self != TaskStatus::Ended
    }

    /// Whether the task has started its work: its image is there and, in a gang, all tasks are ready.
    pub fn has_begun(self) -> bool {
        !matches!(self, TaskStatus::Pulling | TaskStatus::Waiting)
    }
}

/// Why a task ended, as reported by the worker (`POST /checkin`).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndCause {
    /// Completed successfully.
    Done,
    /// Stopped by a command.
    Halted,
    /// Failed.
    Error,
    /// The start was rejected: the machine lacks capacity for the task.
    NoRoom,
    /// The start was rejected: another attempt of the task is still on the machine.
    Busy,
    /// A command was rejected: the worker knows no such task.
    NoSuch,
    /// Task of a gang: another task of the gang is gone.
    MatesGone,
    /// Task of a gang: the other tasks were not ready in time.
    Alone,
    /// Killed when the worker's lease expired, lost with its machine, or ended for a cause that a later
    /// protocol version added.
    #[serde(other)]
    Lost,
}

pub use wire::{Report as Heartbeat, TaskReport as ReportedTask};

/// Types whose Rust names reach the wire: the error response to a malformed heartbeat contains the name of
/// the expected type, so these keep the protocol's names.
mod wire {
    use super::{EndCause, TaskStatus};
    use serde::{Deserialize, Serialize};

    /// The state of one task in a heartbeat (`POST /checkin`).
    #[derive(Debug, Clone, Serialize, Deserialize)]
    pub struct TaskReport {
        /// Job id and index of the task in text form, see [`crate::storage::machine::TaskId`].
        #[serde(rename = "load")]
        pub task_id: String,
        /// Attempt number from the start command.
        #[serde(rename = "try")]
        pub attempt: u64,
        /// State of the task.
        pub status: TaskStatus,
        /// Why it ended; absent if it has not ended.
        #[serde(default)]
        pub cause: Option<EndCause>,
        /// Whether it saved its progress before it ended; absent if the worker does not say.
        #[serde(default)]
        pub saved: Option<bool>,
    }

    /// A worker's heartbeat (`POST /checkin`).
    #[derive(Debug, Clone, Serialize, Deserialize)]
    pub struct Report {
        /// Name of the machine.
        #[serde(rename = "stead")]
        pub machine: String,
        /// Address at which the worker accepts direct commands.
        pub address: String,
        /// Name of the machine's type in the catalog.
        #[serde(rename = "build")]
        pub machine_type: String,
        /// Zone of the machine.
        #[serde(rename = "yard")]
        pub zone: String,
        /// Whether it is a spot machine.
        #[serde(rename = "lendables")]
        pub spot: bool,
        /// Incarnation of the worker; incremented each time its lease expires.
        #[serde(rename = "tenure")]
        pub incarnation: u64,
        /// Sequence number of the heartbeat; starts again with each incarnation.
        #[serde(rename = "tally")]
        pub sequence: u64,
        /// Highest fencing token that the worker has received; 0 if none.
        #[serde(default)]
        #[serde(rename = "baton")]
        pub fencing_token: u64,
        /// Seconds until the cloud reclaims the machine; absent without a notice of reclaim.
        #[serde(default)]
        #[serde(rename = "recall_s")]
        pub reclaim_s: Option<f64>,
        /// All tasks on the machine, including ended ones until they are cleared.
        #[serde(default)]
        #[serde(rename = "loads")]
        pub tasks: Vec<TaskReport>,
    }
}

/// A command to a worker, sent in the response to its heartbeat (`POST /checkin`).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "snake_case")]
pub enum WorkerCommand {
    /// Starts a task.
    Start {
        /// The task, as in a heartbeat.
        #[serde(rename = "load")]
        task_id: String,
        /// Attempt number of the task.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stops a task, which may save its progress first.
    #[serde(rename = "halt")]
    Stop {
        /// The task, as in a heartbeat.
        #[serde(rename = "load")]
        task_id: String,
        /// Attempt number of the task.
        #[serde(rename = "try")]
        attempt: u64,
        /// Seconds that the task may take to save its progress.
        #[serde(rename = "wind_down_s")]
        grace_s: f64,
    },
    /// Makes the worker forget an ended task, so that its heartbeats no longer list it.
    Clear {
        /// The task, as in a heartbeat.
        #[serde(rename = "load")]
        task_id: String,
        /// Attempt number of the task.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// Response to a heartbeat (`POST /checkin`).
#[derive(Debug, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Fencing token of the controller that answers: a worker ignores a response whose token is lower than
    /// one it has received before.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Commands, to be executed in this order.
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}

/// Response with status 421 to a heartbeat that reached a controller that is not the leader.
#[derive(Debug, Serialize, Deserialize)]
pub struct LeaderRedirect {
    /// Label of the leader, to which the worker should send its heartbeats; absent if unknown.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "steward")]
    pub leader: Option<String>,
}
