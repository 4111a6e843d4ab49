//! The stored forms: keys and values of the state service.
//!
//! What is written here, other versions of the program read: the names and the order of serialized
//! fields must not change, whatever the fields are called in the code.

mod bitmap;
mod ids;
mod keys;
mod placement;

pub use bitmap::Bitmap;
pub use ids::{JobId, MachineName};
pub use keys::{
    batch_key, catalog_key, done_tasks_key, flagged_jobs_key, foreign_layout, gang_batch_key,
    images_key, job_end_group_key, job_end_key, leader_key, parse_key, placements_key, shares_key,
    store_key, term_key, Key,
};
pub use placement::{PlacementsRecord, StoredPlacement};

use crate::job::JobSpec;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Who leads.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Name of the controller.
    pub label: String,
    /// Random number of its process.
    pub incarnation: u64,
    /// Its term.
    pub term: u64,
}

/// The highest term ever taken.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct TermRecord {
    /// The term.
    pub term: u64,
}

/// Which store this is. A store that was emptied gets another identity, or none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreIdRecord {
    /// A random number.
    pub id: u64,
}

/// How far a rebuild of the store has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RebuildPhase {
    /// Records are being written back: nobody is served.
    Writing,
    /// All are written; tasks start once every machine that may run one is accounted for.
    Complete,
    /// Every machine is accounted for.
    Accounted,
}

/// The last rebuild of the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RebuildRecord {
    /// How far it has come.
    pub phase: RebuildPhase,
    /// Label of the controller that does it, or did.
    pub owner: String,
    /// Its term.
    pub term: u64,
    /// Time of day of its begin, in milliseconds.
    pub at: u64,
    /// What showed the loss.
    pub loss: String,
    /// Sources that it drew on.
    #[serde(default)]
    pub sources: Vec<String>,
    /// Controllers whose memory did not reach back to before the loss. What they alone had
    /// confirmed to users is not accounted for, until an operator closes the gap.
    #[serde(default)]
    pub gap: Vec<String>,
}

/// Why a job is flagged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FlagReason {
    /// It may have been cancelled or completed in the part of the history that is lost.
    MayHaveEnded,
}

/// Jobs that a rebuild could not account for. Nothing of them starts, and users are told nothing of
/// them, until an operator releases them or gives them up.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FlaggedJobsRecord {
    /// Jobs with the reason of each.
    pub jobs: BTreeMap<String, FlagReason>,
}

/// Ends of jobs that a rebuild has written together.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct JobEndGroupRecord {
    /// Ends by job.
    pub ends: BTreeMap<String, JobEndRecord>,
}

/// Where a job stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobStage {
    /// Accepted, neither done nor cancelled.
    Live,
    /// All tasks are done.
    Done,
    /// Its user has cancelled it.
    #[serde(rename = "withdrawn")]
    Cancelled,
}

/// Jobs accepted by one controller with one write: a write a job would allow no more
/// submissions a second than the state service takes writes.
///
/// The same job may stand in two batches, when its user asked two controllers. The one written
/// first counts, and no batch is accepted with a job that has ended.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BatchRecord {
    /// Time of day of the acceptance, in milliseconds.
    pub at: u64,
    /// Number of its first job among all that one commit accepted: batches of one commit have
    /// the same revision, and no two jobs may have the same arrival number.
    #[serde(default)]
    pub first: u64,
    /// The jobs, as they were submitted.
    pub jobs: Vec<Rc<JobSpec>>,
}

/// How a job ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobEndRecord {
    /// Time of day of the acceptance, in milliseconds.
    pub at: u64,
    /// How it ended.
    pub stage: JobStage,
    /// Number of its tasks.
    #[serde(rename = "loads")]
    pub tasks: u32,
    /// Tasks that were done.
    pub done: u32,
}

/// A job, put together from its batch and its end.
#[derive(Debug, Clone)]
pub struct JobRecord {
    /// Time of day of the acceptance, in milliseconds.
    pub at: u64,
    /// Whether it is live, done or cancelled.
    pub stage: JobStage,
    /// Number of its tasks.
    pub tasks: u32,
    /// Known as long as its batch is kept.
    pub spec: Option<Rc<JobSpec>>,
    /// Tasks that were done when it ended.
    pub done: u32,
    /// Revision at which it ended; 0 while it is live.
    pub end_revision: u64,
}

/// Bitmaps of done tasks as text, by job and chunk ([`chunk_name`]).
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DoneTasksRecord {
    /// Bitmaps in hexadecimal.
    pub bits: BTreeMap<String, String>,
}

/// Name of a job's chunk in a [`DoneTasksRecord`].
pub fn chunk_name(uid: &str, chunk: u32) -> String {
    format!("{uid}/{chunk}")
}

/// Takes such a name apart.
pub fn parse_chunk(name: &str) -> Option<(&str, u32)> {
    let (uid, chunk) = name.rsplit_once('/')?;
    Some((uid, chunk.parse().ok()?))
}

/// Images that machines hold, for a new leader: hints, written seldom.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ImagesRecord {
    /// Image and size.
    #[serde(rename = "kits")]
    pub images: Vec<(String, f64)>,
    /// Per machine the images by index, newest last.
    pub held: BTreeMap<String, Vec<usize>>,
}

/// The teams' shares of the machines, in thousandths of the fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SharesRecord {
    /// The term in which they were stored.
    pub term: u64,
    /// Team and thousandths.
    pub teams: Vec<(String, i64)>,
}

#[cfg(test)]
mod tests;
