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
pub struct Load {
    pub load: String,
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
    pub stead: String,
    pub address: String,
    pub build: String,
    pub yard: String,
    pub lendables: bool,
    pub tenure: u64,
    pub tally: u64,
    #[serde(default)]
    pub baton: u64,
    #[serde(default)]
    pub recall_s: Option<f64>,
    #[serde(default)]
    pub loads: Vec<Load>,
}

/// An order to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "snake_case")]
pub enum Order {
    Start {
        load: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
    Halt {
        load: String,
        #[serde(rename = "try")]
        attempt: u64,
        wind_down_s: f64,
    },
    Clear {
        load: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// Answer to a report.
#[derive(Debug, Serialize, Deserialize)]
pub struct Orders {
    pub baton: u64,
    pub orders: Vec<Order>,
}

/// Answer of a controller that doesn't lead.
#[derive(Debug, Serialize, Deserialize)]
pub struct Elsewhere {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub steward: Option<String>,
}
