//! A controller's copy of the store, kept up to date by watches and fresh reads.
//!
//! Responses overlap and may arrive out of order. Each has all changes after the revision that its
//! request named, so changes up to the revision of the replica are already applied and are skipped. The
//! controller's own transactions are applied at once, before the watch reports them. Keys that such a
//! transaction removed are remembered until the replica has reached the revision of the removal.

mod changes;

use super::hashing::{HashKeys, HashMap};
use super::records::{
    chunk_name, parse_key, Bitmap, DoneTasksRecord, FlaggedJobsRecord, ImagesRecord, JobEndRecord,
    JobId, JobRecord, JobStage, Key, LeaderRecord, PlacementsRecord, RebuildPhase, RebuildRecord,
    SharesRecord, StoreIdRecord, TermRecord,
};
use crate::constants::DONE_CHUNK_TASKS;
use crate::protocol::cloud::Catalog;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use std::collections::BTreeMap;

/// A value with the revision of its key.
#[derive(Debug, Clone, PartialEq)]
pub struct Versioned<T> {
    /// Revision of the key's last change.
    pub mod_revision: u64,
    /// The value.
    pub value: T,
}

/// A controller's copy of the store.
#[derive(Debug)]
pub struct Replica {
    /// All changes up to this revision are applied.
    pub revision: u64,
    /// The present leader, until the lease on its key expires.
    pub leader: Option<Versioned<LeaderRecord>>,
    /// The highest term.
    pub term: Option<Versioned<TermRecord>>,
    /// The last known machine types.
    pub catalog: Option<Versioned<Catalog>>,
    /// The teams' shares.
    pub shares: Option<Versioned<SharesRecord>>,
    /// All jobs that were ever accepted. The revision of each is its arrival number.
    pub jobs: HashMap<JobId, Versioned<JobRecord>>,
    /// Job ids of each stored batch, by key.
    pub batches: HashMap<String, Versioned<Vec<JobId>>>,
    /// Groups of bitmaps of done tasks.
    pub done_groups: BTreeMap<u32, Versioned<DoneTasksRecord>>,
    /// Groups of placements.
    pub placement_groups: BTreeMap<u32, Versioned<PlacementsRecord>>,
    /// The store's identity.
    pub store: Option<Versioned<StoreIdRecord>>,
    /// The last rebuild of the store.
    pub rebuild: Option<Versioned<RebuildRecord>>,
    /// Revisions of the groups of job ends, by number.
    end_group_revisions: BTreeMap<u32, u64>,
    /// Groups of jobs whose state a rebuild could not determine.
    pub flagged: BTreeMap<u32, Versioned<FlaggedJobsRecord>>,
    /// Parts of the list of images in the caches of machines.
    pub images: BTreeMap<u32, Versioned<ImagesRecord>>,
    /// Number of stored placements by job, for the status that users poll.
    placed_counts: HashMap<JobId, u32>,
    /// Keys that the controller's own transactions removed, with the revision of the removal, until the
    /// replica has reached that revision.
    removed_keys: HashMap<String, u64>,
    /// The first key found that belongs to a layout that this program can't read.
    pub foreign_layout_key: Option<String>,
}

impl Replica {
    /// An empty replica, before the first read.
    pub fn new(keys: HashKeys) -> Replica {
        Replica {
            revision: 0,
            leader: None,
            term: None,
            catalog: None,
            shares: None,
            jobs: keys.map(),
            batches: keys.map(),
            done_groups: BTreeMap::new(),
            placement_groups: BTreeMap::new(),
            store: None,
            rebuild: None,
            end_group_revisions: BTreeMap::new(),
            flagged: BTreeMap::new(),
            images: BTreeMap::new(),
            placed_counts: keys.map(),
            removed_keys: keys.map(),
            foreign_layout_key: None,
        }
    }

    /// The hash keys of its maps.
    pub fn hash_keys(&self) -> HashKeys {
        *self.jobs.hasher()
    }

    /// Whether a job is known and neither done nor cancelled.
    pub fn is_live(&self, id: &str) -> bool {
        self.jobs.get(id).is_some_and(|job| job.value.stage == JobStage::Live)
    }

    /// Whether a job is known to be done or cancelled.
    pub fn has_ended(&self, id: &str) -> bool {
        self.jobs.get(id).is_some_and(|job| job.value.stage != JobStage::Live)
    }

    /// Revision of a key's last change; 0 if it doesn't exist.
    pub fn mod_revision(&self, key: &str) -> u64 {
        fn of<T>(stored: Option<&Versioned<T>>) -> u64 {
            stored.map_or(0, |stored| stored.mod_revision)
        }
        match parse_key(key) {
            Some(Key::Leader) => of(self.leader.as_ref()),
            Some(Key::Term) => of(self.term.as_ref()),
            Some(Key::Catalog) => of(self.catalog.as_ref()),
            Some(Key::Shares) => of(self.shares.as_ref()),
            Some(Key::Batch(_) | Key::GangBatch(_)) => of(self.batches.get(key)),
            Some(Key::JobEnd(id)) => self.jobs.get(id).map_or(0, |job| job.value.end_revision),
            Some(Key::DoneTasks(group)) => of(self.done_groups.get(&group)),
            Some(Key::Placements(group)) => of(self.placement_groups.get(&group)),
            Some(Key::Images(part)) => of(self.images.get(&part)),
            Some(Key::Store) => of(self.store.as_ref()),
            Some(Key::Rebuild) => of(self.rebuild.as_ref()),
            Some(Key::JobEndGroup(group)) => {
                self.end_group_revisions.get(&group).copied().unwrap_or(0)
            }
            Some(Key::FlaggedJobs(group)) => of(self.flagged.get(&group)),
            None => 0,
        }
    }

    /// Whether a key that only leaders write has this value. Of a job's end, only the stage is compared;
    /// any two catalogs count as equal.
    pub fn has_value(&self, key: &str, data: &RawValue) -> bool {
        fn same<T: DeserializeOwned + PartialEq>(
            held: Option<&Versioned<T>>,
            data: &RawValue,
        ) -> bool {
            held.is_some_and(|held| {
                serde_json::from_str(data.get()).is_ok_and(|value: T| value == held.value)
            })
        }
        match parse_key(key) {
            Some(Key::Placements(group)) => same(self.placement_groups.get(&group), data),
            Some(Key::DoneTasks(group)) => same(self.done_groups.get(&group), data),
            Some(Key::Images(part)) => same(self.images.get(&part), data),
            Some(Key::Shares) => same(self.shares.as_ref(), data),
            Some(Key::JobEnd(id)) => {
                let end: Option<JobEndRecord> = serde_json::from_str(data.get()).ok();
                self.jobs.get(id).map(|job| job.value.stage) == end.map(|end| end.stage)
            }
            Some(Key::Catalog) => true,
            _ => false,
        }
    }

    /// Whether a rebuild could not determine the state of a job, and no operator has decided on it yet.
    pub fn is_flagged(&self, id: &str) -> bool {
        self.flagged.values().any(|group| group.value.jobs.contains_key(id))
    }

    /// Number of stored placements of a job.
    pub fn placed_task_count(&self, id: &str) -> u32 {
        self.placed_counts.get(id).copied().unwrap_or(0)
    }

    /// The done tasks of a live job.
    pub fn done_bitmap(&self, id: &str) -> Bitmap {
        let mut done = Bitmap::default();
        let tasks = self.jobs.get(id).map_or(0, |job| job.value.tasks);
        for chunk in 0..tasks.div_ceil(DONE_CHUNK_TASKS) {
            let name = chunk_name(id, chunk);
            for text in self.done_groups.values().filter_map(|group| group.value.bits.get(&name)) {
                done.add_chunk(chunk, text);
            }
        }
        done
    }

    /// The phase of the last rebuild of the store, if there was one.
    pub fn rebuild_phase(&self) -> Option<RebuildPhase> {
        self.rebuild.as_ref().map(|record| record.value.phase)
    }

    /// The term in which the last rebuild of the store was started; 0 if there was none.
    pub fn rebuild_term(&self) -> u64 {
        self.rebuild.as_ref().map_or(0, |record| record.value.term)
    }

    /// The highest term in the store; 0 if there is none.
    pub fn term(&self) -> u64 {
        self.term.as_ref().map_or(0, |term| term.value.term)
    }
}

#[cfg(test)]
mod tests;
