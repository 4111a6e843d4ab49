//! The stored forms: keys and values of the state service.

use crate::constants::{DONE_CHUNK_TASKS, KEY_FAMILY, KEY_ROOT, REBUILD_KEY};
use crate::job::{JobSpec, TASKS_MAX, UID_PREFIX};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::rc::Rc;

mod ids;

pub use ids::{JobId, MachineName};

/// The leased key that names the leader.
pub fn leader_key() -> String {
    format!("{}leader", KEY_ROOT)
}

/// The key that holds the term, which only grows.
pub fn term_key() -> String {
    format!("{}term", KEY_ROOT)
}

/// The key of the last known catalogue, so that submissions can be judged without the cloud.
pub fn catalog_key() -> String {
    format!("{}catalog", KEY_ROOT)
}

/// The key of the teams' shares.
pub fn shares_key() -> String {
    format!("{}shares", KEY_ROOT)
}

/// The key of a batch of jobs that were accepted together. Written once, never changed.
pub fn batch_key(id: &str) -> String {
    format!("{}jobs/{id}", KEY_ROOT)
}

/// The key of a batch of gangs that were accepted together, written once like a batch of other jobs.
///
/// The key stands beside those of other jobs because a program from before gangs fails to read a
/// batch with a kind of job that it doesn't know, and with it every other job of that batch. Keys of
/// a family that it doesn't know it ignores.
pub fn gang_batch_key(id: &str) -> String {
    format!("{}gangs/{id}", KEY_ROOT)
}

/// The key of how a job ended. It exists once the job is done or withdrawn, and only then.
pub fn job_end_key(uid: &str) -> String {
    format!("{}end/{uid}", KEY_ROOT)
}

/// The key of a group of bitmaps of done tasks.
pub fn done_tasks_key(group: u32) -> String {
    format!("{}done/{group:04}", KEY_ROOT)
}

/// The key of a group of placements.
pub fn placements_key(group: u32) -> String {
    format!("{}place/{group:04}", KEY_ROOT)
}

/// The key of a part of the list of images that machines hold.
pub fn images_key(part: u32) -> String {
    format!("{}kits/{part:04}", KEY_ROOT)
}

/// The key of the store's identity, written once by the first leader.
pub fn store_key() -> String {
    format!("{}store", KEY_ROOT)
}

/// The key of a group of ends that a rebuild has written: a write an end would take hours.
pub fn job_end_group_key(group: u32) -> String {
    format!("{}ends/{group:05}", KEY_ROOT)
}

/// The key of a group of jobs that a rebuild could not account for.
pub fn flagged_jobs_key(group: u32) -> String {
    format!("{}flagged/{group:04}", KEY_ROOT)
}

/// A key, taken apart.
#[derive(Debug, PartialEq)]
pub enum Key<'a> {
    /// The leader's name.
    Leader,
    /// The highest term.
    Term,
    /// The last known machine types.
    Catalog,
    /// The teams' shares.
    Shares,
    /// Jobs that were accepted together.
    Batch(&'a str),
    /// Gangs that were accepted together.
    GangBatch(&'a str),
    /// How a job ended.
    End(&'a str),
    /// A group of bitmaps of done tasks.
    Done(u32),
    /// A group of placements.
    Place(u32),
    /// A part of the images on machines.
    Images(u32),
    /// The store's identity.
    Store,
    /// How far the last rebuild has come.
    Rebuild,
    /// Ends of jobs, written together by a rebuild.
    EndGroup(u32),
    /// Jobs that a rebuild could not account for.
    Flagged(u32),
}

/// Takes a key apart; `None` for keys of others.
pub fn parse_key(key: &str) -> Option<Key<'_>> {
    if key == REBUILD_KEY {
        return Some(Key::Rebuild);
    }
    let rest = key.strip_prefix(KEY_ROOT)?;
    Some(match rest {
        "store" => Key::Store,
        "leader" => Key::Leader,
        "term" => Key::Term,
        "catalog" => Key::Catalog,
        "shares" => Key::Shares,
        _ => {
            let (kind, name) = rest.split_once('/')?;
            match kind {
                "jobs" => Key::Batch(name),
                "gangs" => Key::GangBatch(name),
                "end" => Key::End(name),
                "done" => Key::Done(name.parse().ok()?),
                "place" => Key::Place(name.parse().ok()?),
                "kits" => Key::Images(name.parse().ok()?),
                "ends" => Key::EndGroup(name.parse().ok()?),
                "flagged" => Key::Flagged(name.parse().ok()?),
                _ => return None,
            }
        }
    })
}

/// Whether a key belongs to a layout of the store that this program can't read: every layout
/// has a root of its own below the family's.
///
/// The key of a rebuild looks like one to versions from before rebuilds, so that they serve nobody
/// from a store that is half rebuilt, nor from one whose ends they could not all read.
pub fn foreign_layout(key: &str) -> bool {
    key.starts_with(KEY_FAMILY) && !key.starts_with(KEY_ROOT) && key != REBUILD_KEY
}

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

/// Placements of any jobs on any machines, one text after the other ([`StoredPlacement`]). One value
/// holds hundreds, so that one write starts and settles many tasks.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PlacementsRecord {
    /// The texts, separated by spaces.
    pub tasks: String,
}

impl PlacementsRecord {
    /// The placements; what can't be read is left out with a log line.
    pub fn placed(&self) -> impl Iterator<Item = StoredPlacement<'_>> {
        self.tasks.split_ascii_whitespace().filter_map(|t| {
            let p = StoredPlacement::parse(t);
            if p.is_none() {
                log::error!("stored placement {t} can't be read");
            }
            p
        })
    }
}

/// A task on a machine, as stored: `000412/3@n-000231#28000001`, the attempt in hexadecimal.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StoredPlacement<'a> {
    /// The job's id without its [`UID_PREFIX`].
    pub digits: &'a str,
    /// The task's number.
    pub task: u32,
    /// The machine's name.
    pub machine: &'a str,
    /// The attempt.
    pub attempt: u64,
}

impl<'a> StoredPlacement<'a> {
    fn parse(text: &'a str) -> Option<StoredPlacement<'a>> {
        let (digits, rest) = text.split_once('/')?;
        let (task, rest) = rest.split_once('@')?;
        let (machine, attempt) = rest.rsplit_once('#')?;
        let attempt = u64::from_str_radix(attempt, 16).ok()?;
        Some(StoredPlacement { digits, task: task.parse().ok()?, machine, attempt })
    }

    /// The text form; `None` for a machine whose name can't stand in one.
    pub fn text(uid: &str, task: u32, machine: &str, attempt: u64) -> Option<String> {
        let digits = uid.strip_prefix(UID_PREFIX)?;
        if machine.bytes().any(|b| !b.is_ascii_graphic() || b == b'"' || b == b'\\') {
            return None;
        }
        Some(format!("{digits}/{task}@{machine}#{attempt:x}"))
    }

    /// The job's id.
    pub fn uid(&self) -> JobId {
        format!("{UID_PREFIX}{}", self.digits).into()
    }
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

/// A set of tasks, a bit each.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Bitmap {
    words: Vec<u64>,
}

impl Bitmap {
    /// Whether the task is in the set.
    pub fn get(&self, i: u32) -> bool {
        self.words.get(i as usize / 64).is_some_and(|w| w >> (i % 64) & 1 == 1)
    }

    /// Adds a task; false if it was there.
    pub fn set(&mut self, i: u32) -> bool {
        let w = i as usize / 64;
        if self.words.len() <= w {
            self.words.resize(w + 1, 0);
        }
        let fresh = self.words[w] >> (i % 64) & 1 == 0;
        self.words[w] |= 1 << (i % 64);
        fresh
    }

    /// Size of the set.
    pub fn count(&self) -> u32 {
        self.words.iter().map(|w| w.count_ones()).sum()
    }

    /// Text form of the tasks of one chunk.
    pub fn chunk_text(&self, chunk: u32) -> String {
        let per = (DONE_CHUNK_TASKS / 64) as usize;
        let from = (chunk as usize * per).min(self.words.len());
        let to = (from + per).min(self.words.len());
        let mut out = String::new();
        for w in &self.words[from..to] {
            out.push_str(&format!("{w:016x}"));
        }
        out
    }

    /// Adds the tasks of a chunk's text form; text that isn't one adds nothing.
    pub fn add_chunk(&mut self, chunk: u32, text: &str) {
        let per = (DONE_CHUNK_TASKS / 64) as usize;
        let from = chunk as usize * per;
        if !text.is_ascii() || chunk > TASKS_MAX / DONE_CHUNK_TASKS {
            return;
        }
        for (i, at) in (0..text.len()).step_by(16).take(per).enumerate() {
            let Some(word) = text.get(at..at + 16).and_then(|t| u64::from_str_radix(t, 16).ok())
            else {
                return;
            };
            if self.words.len() <= from + i {
                self.words.resize(from + i + 1, 0);
            }
            self.words[from + i] |= word;
        }
    }
}

#[cfg(test)]
mod tests;
