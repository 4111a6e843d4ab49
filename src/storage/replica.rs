//! A controller's copy of the store, kept up by watches and zero-wait reads.
//!
//! Answers overlap and come out of order. Every answer holds all changes after the
//! revision it was asked for, so changes at or below the revision reached are old and
//! skipped. Own commits are put in at once, ahead of the watch; what they removed is
//! remembered until the revision has passed.

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

/// A stored value with the revision of its key.
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
    /// All changes up to this revision are in.
    pub revision: u64,
    /// Who leads, while the lease lasts.
    pub leader: Option<Versioned<LeaderRecord>>,
    /// The highest term.
    pub term: Option<Versioned<TermRecord>>,
    /// The last known machine types.
    pub catalog: Option<Versioned<Catalog>>,
    /// The teams' shares.
    pub shares: Option<Versioned<SharesRecord>>,
    /// Every job that was ever accepted. Its revision is its arrival number.
    pub jobs: HashMap<JobId, Versioned<JobRecord>>,
    /// Batches that are still kept, by key, with their jobs.
    pub batches: HashMap<String, Versioned<Vec<JobId>>>,
    /// Groups of bitmaps of done tasks.
    pub done_groups: BTreeMap<u32, Versioned<DoneTasksRecord>>,
    /// Groups of placements.
    pub placement_groups: BTreeMap<u32, Versioned<PlacementsRecord>>,
    /// The store's identity.
    pub store: Option<Versioned<StoreIdRecord>>,
    /// The last rebuild of the store.
    pub rebuild: Option<Versioned<RebuildRecord>>,
    /// Revisions of groups of ends.
    end_groups: BTreeMap<u32, u64>,
    /// Jobs that a rebuild could not account for, in groups.
    pub flagged: BTreeMap<u32, Versioned<FlaggedJobsRecord>>,
    /// Images on machines, in parts.
    pub images: BTreeMap<u32, Versioned<ImagesRecord>>,
    /// Tasks placed per job, for users' polls.
    placed: HashMap<JobId, u32>,
    /// Keys removed ahead of the watch, with the revision of the removal.
    removed: HashMap<String, u64>,
    /// A key of a layout that this program can't read was seen.
    pub foreign_key: Option<String>,
}

impl Replica {
    /// An empty copy, from before the first read.
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
            end_groups: BTreeMap::new(),
            flagged: BTreeMap::new(),
            images: BTreeMap::new(),
            placed: keys.map(),
            removed: keys.map(),
            foreign_key: None,
        }
    }

    /// The keys of its hash maps.
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
            Some(Key::End(id)) => self.jobs.get(id).map_or(0, |job| job.value.end_revision),
            Some(Key::Done(group)) => of(self.done_groups.get(&group)),
            Some(Key::Place(group)) => of(self.placement_groups.get(&group)),
            Some(Key::Images(part)) => of(self.images.get(&part)),
            Some(Key::Store) => of(self.store.as_ref()),
            Some(Key::Rebuild) => of(self.rebuild.as_ref()),
            Some(Key::EndGroup(group)) => self.end_groups.get(&group).copied().unwrap_or(0),
            Some(Key::Flagged(group)) => of(self.flagged.get(&group)),
            None => 0,
        }
    }

    /// Whether a key of the leader's own making holds just this value.
    pub fn holds(&self, key: &str, data: &RawValue) -> bool {
        fn same<T: DeserializeOwned + PartialEq>(
            held: Option<&Versioned<T>>,
            data: &RawValue,
        ) -> bool {
            held.is_some_and(|held| {
                serde_json::from_str(data.get()).is_ok_and(|value: T| value == held.value)
            })
        }
        match parse_key(key) {
            Some(Key::Place(group)) => same(self.placement_groups.get(&group), data),
            Some(Key::Done(group)) => same(self.done_groups.get(&group), data),
            Some(Key::Images(part)) => same(self.images.get(&part), data),
            Some(Key::Shares) => same(self.shares.as_ref(), data),
            Some(Key::End(id)) => {
                let end: Option<JobEndRecord> = serde_json::from_str(data.get()).ok();
                self.jobs.get(id).map(|job| job.value.stage) == end.map(|end| end.stage)
            }
            Some(Key::Catalog) => true,
            _ => false,
        }
    }

    /// Whether a rebuild could not account for a job, and no operator has decided on it.
    pub fn is_flagged(&self, id: &str) -> bool {
        self.flagged.values().any(|group| group.value.jobs.contains_key(id))
    }

    /// Tasks of a job that are on machines, as far as the store tells.
    pub fn placed(&self, id: &str) -> u32 {
        self.placed.get(id).copied().unwrap_or(0)
    }

    /// Done tasks of a live job.
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

    /// How far the last rebuild of the store has come, if there was one.
    pub fn rebuild_phase(&self) -> Option<RebuildPhase> {
        self.rebuild.as_ref().map(|record| record.value.phase)
    }

    /// The term in which the last rebuild of the store was begun; 0 if there was none.
    pub fn rebuild_term(&self) -> u64 {
        self.rebuild.as_ref().map_or(0, |record| record.value.term)
    }

    /// The highest term known from the store.
    pub fn term(&self) -> u64 {
        self.term.as_ref().map_or(0, |term| term.value.term)
    }
}

#[cfg(test)]
mod tests;
