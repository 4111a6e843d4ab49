//! Building and parsing the keys of the store.

use crate::constants::{KEY_NAMESPACE, KEY_ROOT, REBUILD_KEY};

/// The key of the present leader, which has a lease.
pub fn leader_key() -> String {
    format!("{KEY_ROOT}leader")
}

/// The key of the highest term, which never decreases.
pub fn term_key() -> String {
    format!("{KEY_ROOT}term")
}

/// The key of the last known catalog, with which submissions are checked while the cloud is unavailable.
pub fn catalog_key() -> String {
    format!("{KEY_ROOT}catalog")
}

/// The key of the teams' shares.
pub fn shares_key() -> String {
    format!("{KEY_ROOT}shares")
}

/// The key of a batch of jobs that were accepted together. Its value never changes.
pub fn batch_key(id: &str) -> String {
    format!("{KEY_ROOT}jobs/{id}")
}

/// The key of a batch of gangs that were accepted together. Its value never changes.
///
/// Gangs have batches of their own because a program version without gangs can't parse a batch with a
/// job of an unknown kind, and would lose all other jobs of that batch. Keys of an unknown kind it ignores.
pub fn gang_batch_key(id: &str) -> String {
    format!("{KEY_ROOT}gangs/{id}")
}

/// The key of a job's end. It exists only if the job is done or cancelled. An end that a rebuild has
/// written may be in a group instead, see [`job_end_group_key`].
pub fn job_end_key(job_id: &str) -> String {
    format!("{KEY_ROOT}end/{job_id}")
}

/// The key of a group of bitmaps of done tasks.
pub fn done_tasks_key(group: u32) -> String {
    format!("{KEY_ROOT}done/{group:04}")
}

/// The key of a group of placements.
pub fn placements_key(group: u32) -> String {
    format!("{KEY_ROOT}place/{group:04}")
}

/// The key of a part of the list of images in the caches of machines.
pub fn images_key(part: u32) -> String {
    format!("{KEY_ROOT}kits/{part:04}")
}

/// The key of the store's identity. The first leader writes it, and a rebuild replaces it.
pub fn store_key() -> String {
    format!("{KEY_ROOT}store")
}

/// The key of a group of job ends. Only a rebuild writes such groups: with one write for each end, the
/// rebuild would take hours.
pub fn job_end_group_key(group: u32) -> String {
    format!("{KEY_ROOT}ends/{group:05}")
}

/// The key of a group of jobs whose state a rebuild could not determine.
pub fn flagged_jobs_key(group: u32) -> String {
    format!("{KEY_ROOT}flagged/{group:04}")
}

/// A parsed key.
#[derive(Debug, PartialEq)]
pub enum Key<'a> {
    /// The present leader.
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
    /// The end of a job.
    JobEnd(&'a str),
    /// A group of bitmaps of done tasks.
    DoneTasks(u32),
    /// A group of placements.
    Placements(u32),
    /// A part of the list of images in the caches of machines.
    Images(u32),
    /// The store's identity.
    Store,
    /// The last rebuild.
    Rebuild,
    /// A group of job ends.
    JobEndGroup(u32),
    /// A group of jobs whose state a rebuild could not determine.
    FlaggedJobs(u32),
}

/// Parses a key; `None` if it isn't one of the keys above.
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
        _ => return parse_named_key(rest),
    })
}

/// Parses a key that has a name or a number after its kind.
fn parse_named_key(rest: &str) -> Option<Key<'_>> {
    let (kind, name) = rest.split_once('/')?;
    Some(match kind {
        "jobs" => Key::Batch(name),
        "gangs" => Key::GangBatch(name),
        "end" => Key::JobEnd(name),
        "done" => Key::DoneTasks(name.parse().ok()?),
        "place" => Key::Placements(name.parse().ok()?),
        "kits" => Key::Images(name.parse().ok()?),
        "ends" => Key::JobEndGroup(name.parse().ok()?),
        "flagged" => Key::FlaggedJobs(name.parse().ok()?),
        _ => return None,
    })
}

/// Whether a key belongs to a version of the key layout that this program can't read.
///
/// The key of a rebuild looks like such a key to program versions without support for rebuilds. So they
/// serve no requests from a half rebuilt store, nor from one with job ends that they can't read.
pub fn is_foreign_layout(key: &str) -> bool {
    key.starts_with(KEY_NAMESPACE) && !key.starts_with(KEY_ROOT) && key != REBUILD_KEY
}
