//! The keys and values that controllers store in the state service.
//!
//! Other versions of the program read them, so the names and the order of serialized fields must not
//! change. A field that is renamed in the code keeps its serialized name by an attribute.

mod bitmap;
mod ids;
mod keys;
mod placement;

pub use bitmap::Bitmap;
pub use ids::{JobId, MachineName};
pub use keys::{
    batch_key, catalog_key, done_tasks_key, flagged_jobs_key, gang_batch_key, images_key,
    is_foreign_layout, job_end_group_key, job_end_key, leader_key, parse_key, placements_key,
    shares_key, store_key, term_key, Key,
};
pub use placement::{PlacementsRecord, StoredPlacement};

use crate::job::JobSpec;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The present leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Label of the controller.
    pub label: String,
    /// Random number that identifies its process.
    pub incarnation: u64,
    /// Its term.
    pub term: u64,
}

/// The highest term that a leader has had.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct TermRecord {
    /// The term.
    pub term: u64,
}

/// The identity of the store. A store that has been emptied has another identity, or none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreIdRecord {
    /// A random number.
    pub id: u64,
}

/// How far a rebuild of the store has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RebuildPhase {
    /// Records are being written back; no requests are served.
    Writing,
    /// All records are written. No task starts until every machine that may run one is accounted for.
    Complete,
    /// Every machine is accounted for.
    Accounted,
}

/// The last rebuild of the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RebuildRecord {
    /// How far it has come.
    pub phase: RebuildPhase,
    /// Label of the controller that runs or ran it.
    pub owner: String,
    /// The term of that controller.
    pub term: u64,
    /// Wall-clock time of its start, in milliseconds.
    pub at: u64,
    /// How the data loss was detected.
    pub loss: String,
    /// Sources that the records were restored from.
    #[serde(default)]
    pub sources: Vec<String>,
    /// Controllers that had no data in memory from before the loss. Requests that only they had
    /// confirmed to users may be missing until an operator closes the gap.
    #[serde(default)]
    pub gap: Vec<String>,
}

/// Why a rebuild has flagged a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FlagReason {
    /// The job may have been cancelled or completed in the lost part of the history.
    MayHaveEnded,
}

/// Jobs whose state a rebuild could not determine. None of their tasks starts, and users get no status
/// of them, until an operator releases them or gives them up.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FlaggedJobsRecord {
    /// The reason for each job, by job id.
    pub jobs: BTreeMap<String, FlagReason>,
}

/// Ends of several jobs, written together by a rebuild.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct JobEndGroupRecord {
    /// Ends by job id.
    pub ends: BTreeMap<String, JobEndRecord>,
}

/// The stage of a job's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobStage {
    /// The job is accepted, and neither done nor cancelled.
    Live,
    /// All tasks are done.
    Done,
    /// The job was cancelled by its user or given up by an operator.
    #[serde(rename = "withdrawn")]
    Cancelled,
}

/// Jobs that one controller accepted with one write. One write per job would limit the submission
/// rate to the write rate of the state service.
///
/// Two batches may contain the same job if its user submitted it to two controllers. The batch that was
/// written first counts, and no batch is accepted with a job that has ended.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BatchRecord {
    /// Wall-clock time of the acceptance, in milliseconds.
    pub at: u64,
    /// Index of its first job among all jobs that the same transaction accepted. An arrival number consists
    /// of a revision and this index: batches of one transaction have the same revision, and no two jobs may
    /// have the same arrival number.
    #[serde(default)]
    pub first: u64,
    /// The jobs as submitted.
    pub jobs: Vec<Rc<JobSpec>>,
}

/// How a job ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobEndRecord {
    /// Wall-clock time of the acceptance, in milliseconds; of the cancellation if the controller that
    /// cancelled the job did not know it.
    pub at: u64,
    /// Whether it is done or cancelled.
    pub stage: JobStage,
    /// Number of its tasks; 0 if the controller that cancelled the job did not know it.
    #[serde(rename = "loads")]
    pub tasks: u32,
    /// Number of tasks that were done.
    pub done: u32,
}

/// The state of a job, combined from its batch and its end.
#[derive(Debug, Clone)]
pub struct JobRecord {
    /// Wall-clock time of the acceptance, in milliseconds.
    pub at: u64,
    /// Whether it is live, done or cancelled.
    pub stage: JobStage,
    /// Number of its tasks.
    pub tasks: u32,
    /// Its specification; `None` once the batch has been removed.
    pub spec: Option<Rc<JobSpec>>,
    /// Number of tasks that were done when it ended.
    pub done: u32,
    /// Revision at which it ended; 0 while it is live.
    pub end_revision: u64,
}

/// Chunks of bitmaps of done tasks.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DoneTasksRecord {
    /// Hexadecimal text of each chunk, by [`chunk_name`].
    pub bits: BTreeMap<String, String>,
}

/// Name of a chunk of a job's bitmap in a [`DoneTasksRecord`].
pub fn chunk_name(job_id: &str, chunk: u32) -> String {
    format!("{job_id}/{chunk}")
}

/// Splits the name of a chunk into job id and chunk number.
pub fn parse_chunk_name(name: &str) -> Option<(&str, u32)> {
    let (job_id, chunk) = name.rsplit_once('/')?;
    Some((job_id, chunk.parse().ok()?))
}

/// Images in the caches of machines. They are hints for a new leader and are written rarely.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ImagesRecord {
    /// Name of each image, and its size in gigabytes.
    #[serde(rename = "kits")]
    pub images: Vec<(String, f64)>,
    /// Cached images by machine, as indices into the list of images; the newest comes last.
    pub held: BTreeMap<String, Vec<usize>>,
}

/// The teams' shares of the machines, in thousandths of the fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SharesRecord {
    /// The term in which they were stored.
    pub term: u64,
    /// Name of each team, and its share in thousandths.
    pub teams: Vec<(String, i64)>,
}

#[cfg(test)]
mod tests;
