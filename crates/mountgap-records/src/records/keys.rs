//! Keys of the store: how they are made and taken apart.

use crate::constants::{KEY_FAMILY, KEY_ROOT, REBUILD_KEY};

/// The leased key that names the leader.
pub fn leader_key() -> String {
    format!("{KEY_ROOT}leader")
}

/// The key that holds the term, which only grows.
pub fn term_key() -> String {
    format!("{KEY_ROOT}term")
}

/// The key of the last known catalogue, so that submissions can be judged without the cloud.
pub fn catalog_key() -> String {
    format!("{KEY_ROOT}catalog")
}

/// The key of the teams' shares.
pub fn shares_key() -> String {
    format!("{KEY_ROOT}shares")
}

/// The key of a batch of jobs that were accepted together. Written once, never changed.
pub fn batch_key(id: &str) -> String {
    format!("{KEY_ROOT}jobs/{id}")
}

/// The key of a batch of gangs that were accepted together, written once like a batch of other jobs.
///
/// The key stands beside those of other jobs because a program from before gangs fails to read a
/// batch with a kind of job that it doesn't know, and with it every other job of that batch. Keys of
/// a family that it doesn't know it ignores.
pub fn gang_batch_key(id: &str) -> String {
    format!("{KEY_ROOT}gangs/{id}")
}

/// The key of how a job ended. It exists once the job is done or withdrawn, and only then.
pub fn job_end_key(uid: &str) -> String {
    format!("{KEY_ROOT}end/{uid}")
}

/// The key of a group of bitmaps of done tasks.
pub fn done_tasks_key(group: u32) -> String {
    format!("{KEY_ROOT}done/{group:04}")
}

/// The key of a group of placements.
pub fn placements_key(group: u32) -> String {
    format!("{KEY_ROOT}place/{group:04}")
}

/// The key of a part of the list of images that machines hold.
pub fn images_key(part: u32) -> String {
    format!("{KEY_ROOT}kits/{part:04}")
}

/// The key of the store's identity, written once by the first leader.
pub fn store_key() -> String {
    format!("{KEY_ROOT}store")
}

/// The key of a group of ends that a rebuild has written: a write an end would take hours.
pub fn job_end_group_key(group: u32) -> String {
    format!("{KEY_ROOT}ends/{group:05}")
}

/// The key of a group of jobs that a rebuild could not account for.
pub fn flagged_jobs_key(group: u32) -> String {
    format!("{KEY_ROOT}flagged/{group:04}")
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
        _ => return parse_named_key(rest),
    })
}

/// Takes a key apart that has a name or a number after its kind.
fn parse_named_key(rest: &str) -> Option<Key<'_>> {
    let (kind, name) = rest.split_once('/')?;
    Some(match kind {
        "jobs" => Key::Batch(name),
        "gangs" => Key::GangBatch(name),
        "end" => Key::End(name),
        "done" => Key::Done(name.parse().ok()?),
        "place" => Key::Place(name.parse().ok()?),
        "kits" => Key::Images(name.parse().ok()?),
        "ends" => Key::EndGroup(name.parse().ok()?),
        "flagged" => Key::Flagged(name.parse().ok()?),
        _ => return None,
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
