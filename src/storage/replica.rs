//! A controller's copy of the store, kept up by watches and zero-wait reads.
//!
//! Answers overlap and come out of order. Every answer holds all changes after the
//! revision it was asked for, so changes at or below the revision reached are old and
//! skipped. Own commits are put in at once, ahead of the watch; what they removed is
//! remembered until the revision has passed.

use super::hashing::{HashKeys, HashMap};
use super::records::{
    chunk_name, foreign_layout, parse_key, BatchRecord, Bitmap, DoneTasksRecord, FlaggedJobsRecord,
    ImagesRecord, JobEndGroupRecord, JobEndRecord, JobId, JobRecord, JobStage, Key, LeaderRecord,
    PlacementsRecord, RebuildRecord, SharesRecord, StoreIdRecord, TermRecord,
};
use crate::constants::{ARRIVAL_BITS, DONE_CHUNK_TASKS};
use crate::protocol::cloud::Catalog;
use crate::protocol::state::{KeyValue, WatchEvent, WatchResponse};
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use std::collections::BTreeMap;

/// A stored value with the stamp of its key.
#[derive(Debug, Clone, PartialEq)]
pub struct Versioned<T> {
    /// Revision of the key's last change.
    pub mod_revision: u64,
    /// The value.
    pub value: T,
}

/// The copy.
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
    /// Every job that was ever accepted. Its stamp is its arrival number.
    pub jobs: HashMap<JobId, Versioned<JobRecord>>,
    /// Batches that are still kept, by key, with their jobs.
    pub batches: HashMap<String, Versioned<Vec<JobId>>>,
    /// Groups of bitmaps of done tasks.
    pub done: BTreeMap<u32, Versioned<DoneTasksRecord>>,
    /// Groups of placements.
    pub places: BTreeMap<u32, Versioned<PlacementsRecord>>,
    /// The store's identity.
    pub store: Option<Versioned<StoreIdRecord>>,
    /// The last rebuild of the store.
    pub rebuild: Option<Versioned<RebuildRecord>>,
    /// Stamps of groups of ends.
    end_groups: BTreeMap<u32, u64>,
    /// Jobs that a rebuild could not account for, in groups.
    pub flagged: BTreeMap<u32, Versioned<FlaggedJobsRecord>>,
    /// Images on machines, in parts.
    pub images: BTreeMap<u32, Versioned<ImagesRecord>>,
    /// Tasks placed per job, for users' polls.
    placed: HashMap<JobId, u32>,
    /// Keys removed ahead of the watch.
    removed: HashMap<String, u64>,
    /// A key of a layout that this program can't read was seen.
    pub foreign: Option<String>,
}

fn value<T: DeserializeOwned>(key: &str, data: &RawValue) -> Option<T> {
    match serde_json::from_str(data.get()) {
        Ok(v) => Some(v),
        Err(e) => {
            log::error!("stored value of {key} can't be read: {e}");
            None
        }
    }
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
            done: BTreeMap::new(),
            places: BTreeMap::new(),
            store: None,
            rebuild: None,
            end_groups: BTreeMap::new(),
            flagged: BTreeMap::new(),
            images: BTreeMap::new(),
            placed: keys.map(),
            removed: keys.map(),
            foreign: None,
        }
    }

    /// The keys of its hash maps.
    pub fn hash_keys(&self) -> HashKeys {
        *self.jobs.hasher()
    }

    /// Puts in a page of the whole store.
    pub fn apply_item(&mut self, item: &KeyValue) {
        self.write(&item.key, &item.value, item.mod_revision);
    }

    /// Puts in an answer of a watch or a read; gives the jobs that changed.
    pub fn apply(&mut self, changes: &WatchResponse) -> Vec<JobId> {
        let mut touched = Vec::new();
        let from = self.revision;
        for ev in changes.events.iter().filter(|e| e.mod_revision > from) {
            touched.extend(self.event(ev));
        }
        self.revision = self.revision.max(changes.revision);
        let rev = self.revision;
        self.removed.retain(|_, r| *r > rev);
        touched
    }

    fn event(&mut self, ev: &WatchEvent) -> Vec<JobId> {
        if let (Some(key), Some(data)) = (&ev.put_key, &ev.value) {
            if self.removed.get(key).is_some_and(|r| *r >= ev.mod_revision) {
                return Vec::new();
            }
            return self.write(key, data, ev.mod_revision);
        }
        if let Some(key) = &ev.removed_key {
            self.remove(key, ev.mod_revision);
        }
        Vec::new()
    }

    /// Whether a job is known and neither done nor cancelled.
    pub fn is_live(&self, uid: &str) -> bool {
        self.jobs.get(uid).is_some_and(|job| job.value.stage == JobStage::Live)
    }

    /// Whether a job is known to be done or cancelled.
    pub fn has_ended(&self, uid: &str) -> bool {
        self.jobs.get(uid).is_some_and(|job| job.value.stage != JobStage::Live)
    }

    /// Stamp of a key; 0 if it doesn't exist.
    pub fn mod_revision(&self, key: &str) -> u64 {
        fn of<T>(s: Option<&Versioned<T>>) -> u64 {
            s.map_or(0, |s| s.mod_revision)
        }
        match parse_key(key) {
            Some(Key::Leader) => of(self.leader.as_ref()),
            Some(Key::Term) => of(self.term.as_ref()),
            Some(Key::Catalog) => of(self.catalog.as_ref()),
            Some(Key::Shares) => of(self.shares.as_ref()),
            Some(Key::Batch(_) | Key::GangBatch(_)) => of(self.batches.get(key)),
            Some(Key::End(u)) => self.jobs.get(u).map_or(0, |j| j.value.end_revision),
            Some(Key::Done(g)) => of(self.done.get(&g)),
            Some(Key::Place(g)) => of(self.places.get(&g)),
            Some(Key::Images(n)) => of(self.images.get(&n)),
            Some(Key::Store) => of(self.store.as_ref()),
            Some(Key::Rebuild) => of(self.rebuild.as_ref()),
            Some(Key::EndGroup(n)) => self.end_groups.get(&n).copied().unwrap_or(0),
            Some(Key::Flagged(n)) => of(self.flagged.get(&n)),
            None => 0,
        }
    }

    /// Whether a key of the leader's own making holds just this value.
    pub fn holds(&self, key: &str, data: &RawValue) -> bool {
        fn same<T: DeserializeOwned + PartialEq>(held: Option<&T>, data: &RawValue) -> bool {
            held.is_some() && held == serde_json::from_str(data.get()).ok().as_ref()
        }
        match parse_key(key) {
            Some(Key::Place(g)) => same(self.places.get(&g).map(|s| &s.value), data),
            Some(Key::Done(g)) => same(self.done.get(&g).map(|s| &s.value), data),
            Some(Key::Images(n)) => same(self.images.get(&n).map(|s| &s.value), data),
            Some(Key::End(u)) => {
                let rec: Option<JobEndRecord> = serde_json::from_str(data.get()).ok();
                self.jobs.get(u).map(|s| s.value.stage) == rec.map(|r| r.stage)
            }
            Some(Key::Shares) => same(self.shares.as_ref().map(|s| &s.value), data),
            Some(Key::Catalog) => true,
            _ => false,
        }
    }

    /// Puts in one value; older ones than what is held are skipped. Gives the jobs that changed.
    pub fn write(&mut self, key: &str, data: &RawValue, mod_revision: u64) -> Vec<JobId> {
        if foreign_layout(key) && self.foreign.is_none() {
            self.foreign = Some(key.to_string());
        }
        if self.mod_revision(key) >= mod_revision {
            return Vec::new();
        }
        fn stamped<T: DeserializeOwned>(
            key: &str,
            data: &RawValue,
            mod_revision: u64,
        ) -> Option<Versioned<T>> {
            value(key, data).map(|value| Versioned { mod_revision, value })
        }
        match parse_key(key) {
            None => {}
            Some(Key::Leader) => self.leader = stamped(key, data, mod_revision),
            Some(Key::Term) => self.term = stamped(key, data, mod_revision),
            Some(Key::Catalog) => self.catalog = stamped(key, data, mod_revision),
            Some(Key::Shares) => self.shares = stamped(key, data, mod_revision),
            Some(Key::Batch(_) | Key::GangBatch(_)) => {
                let rec: Option<BatchRecord> = value(key, data);
                return rec.map_or_else(Vec::new, |rec| self.batch(key, rec, mod_revision));
            }
            Some(Key::End(uid)) => {
                let rec: Option<JobEndRecord> = value(key, data);
                return rec.map_or_else(Vec::new, |rec| vec![self.end(uid, rec, mod_revision)]);
            }
            Some(Key::Done(g)) => {
                if let Some(rec) = stamped(key, data, mod_revision) {
                    self.done.insert(g, rec);
                }
            }
            Some(Key::Place(g)) => {
                let Some(rec) = stamped::<PlacementsRecord>(key, data, mod_revision) else {
                    return Vec::new();
                };
                self.count_placed(&rec.value, 1);
                if let Some(old) = self.places.insert(g, rec) {
                    self.count_placed(&old.value, -1);
                }
            }
            Some(Key::Images(n)) => {
                if let Some(rec) = stamped(key, data, mod_revision) {
                    self.images.insert(n, rec);
                }
            }
            Some(Key::Store) => self.store = stamped(key, data, mod_revision),
            Some(Key::Rebuild) => self.rebuild = stamped(key, data, mod_revision),
            Some(Key::EndGroup(n)) => {
                let rec: Option<JobEndGroupRecord> = value(key, data);
                self.end_groups.insert(n, mod_revision);
                let ends = rec.unwrap_or_default().ends;
                return ends
                    .into_iter()
                    .map(|(uid, end)| self.end(&uid, end, mod_revision))
                    .collect();
            }
            Some(Key::Flagged(n)) => {
                let Some(rec) = stamped::<FlaggedJobsRecord>(key, data, mod_revision) else {
                    return Vec::new();
                };
                let mut touched = flagged_jobs(&rec.value);
                if let Some(old) = self.flagged.insert(n, rec) {
                    touched.extend(flagged_jobs(&old.value));
                }
                return touched;
            }
        }
        Vec::new()
    }

    /// Whether a rebuild could not account for a job, and no operator has decided on it.
    pub fn is_flagged(&self, uid: &str) -> bool {
        self.flagged.values().any(|group| group.value.jobs.contains_key(uid))
    }

    /// A batch of accepted jobs. Of a job that stands in two batches the earlier one counts.
    fn batch(&mut self, key: &str, rec: BatchRecord, mod_revision: u64) -> Vec<JobId> {
        let mut names = Vec::new();
        let mut touched = Vec::new();
        for (i, spec) in rec.jobs.into_iter().enumerate() {
            let uid: JobId = match self.jobs.get_key_value(spec.uid.as_str()) {
                Some((k, _)) => k.clone(),
                None => spec.uid.as_str().into(),
            };
            names.push(uid.clone());
            let arrival = (mod_revision << ARRIVAL_BITS) + rec.first + i as u64;
            let new = JobRecord {
                at: rec.at,
                stage: JobStage::Live,
                tasks: spec.tasks,
                spec: Some(spec),
                done: 0,
                end_revision: 0,
            };
            match self.jobs.get_mut(&uid) {
                None => {
                    self.jobs.insert(uid.clone(), Versioned { mod_revision: arrival, value: new });
                }
                // Its end was read first.
                Some(j) if j.value.spec.is_none() => {
                    j.mod_revision = arrival;
                    j.value.at = new.at;
                    j.value.tasks = new.tasks;
                    j.value.spec = new.spec;
                }
                Some(j) if j.mod_revision > arrival && j.value.stage == JobStage::Live => {
                    *j = Versioned { mod_revision: arrival, value: new };
                }
                Some(_) => continue,
            }
            touched.push(uid);
        }
        self.batches.insert(key.into(), Versioned { mod_revision, value: names });
        touched
    }

    fn end(&mut self, uid: &str, rec: JobEndRecord, mod_revision: u64) -> JobId {
        let name: JobId = match self.jobs.get_key_value(uid) {
            Some((k, _)) => k.clone(),
            None => uid.into(),
        };
        let j = self.jobs.entry(name.clone()).or_insert_with(|| Versioned {
            mod_revision: 0,
            value: JobRecord {
                at: rec.at,
                stage: rec.stage,
                tasks: rec.tasks,
                spec: None,
                done: rec.done,
                end_revision: mod_revision,
            },
        });
        j.value.stage = rec.stage;
        j.value.done = rec.done;
        j.value.end_revision = mod_revision;
        name
    }

    /// Takes out a key that was removed at `mod_revision`.
    pub fn remove(&mut self, key: &str, mod_revision: u64) {
        if self.mod_revision(key) >= mod_revision {
            return;
        }
        if mod_revision > self.revision {
            self.removed.insert(key.to_string(), mod_revision);
        }
        match parse_key(key) {
            Some(Key::Leader) => self.leader = None,
            Some(Key::Term) => self.term = None,
            Some(Key::Catalog) => self.catalog = None,
            Some(Key::Shares) => self.shares = None,
            Some(Key::Batch(_) | Key::GangBatch(_)) => {
                // Removed when all its jobs are over: how they ended is kept, what they were
                // is not needed any more.
                for uid in self.batches.remove(key).into_iter().flat_map(|b| b.value) {
                    if let Some(j) = self.jobs.get_mut(&uid) {
                        if j.value.stage != JobStage::Live {
                            j.value.spec = None;
                        }
                    }
                }
            }
            // Ends are kept for ever.
            Some(Key::End(_) | Key::EndGroup(_)) | None => {}
            Some(Key::Store) => self.store = None,
            Some(Key::Rebuild) => self.rebuild = None,
            Some(Key::Flagged(n)) => {
                self.flagged.remove(&n);
            }
            Some(Key::Done(g)) => {
                self.done.remove(&g);
            }
            Some(Key::Place(g)) => {
                if let Some(old) = self.places.remove(&g) {
                    self.count_placed(&old.value, -1);
                }
            }
            Some(Key::Images(n)) => {
                self.images.remove(&n);
            }
        }
    }

    fn count_placed(&mut self, rec: &PlacementsRecord, by: i64) {
        for p in rec.placed() {
            let uid = p.uid();
            let n = self.placed.entry(uid.clone()).or_default();
            *n = (i64::from(*n) + by).max(0) as u32;
            if *n == 0 {
                self.placed.remove(&uid);
            }
        }
    }

    /// Tasks of a job that are on machines, as far as the store tells.
    pub fn placed(&self, uid: &str) -> u32 {
        self.placed.get(uid).copied().unwrap_or(0)
    }

    /// Done tasks of a live job.
    pub fn done_bitmap(&self, uid: &str) -> Bitmap {
        let mut bits = Bitmap::default();
        let tasks = self.jobs.get(uid).map_or(0, |j| j.value.tasks);
        for chunk in 0..tasks.div_ceil(DONE_CHUNK_TASKS) {
            let name = chunk_name(uid, chunk);
            for text in self.done.values().filter_map(|g| g.value.bits.get(&name)) {
                bits.add_chunk(chunk, text);
            }
        }
        bits
    }

    /// The highest term known from the store.
    pub fn term(&self) -> u64 {
        self.term.as_ref().map_or(0, |t| t.value.term)
    }
}

fn flagged_jobs(rec: &FlaggedJobsRecord) -> Vec<JobId> {
    rec.jobs.keys().map(|uid| uid.as_str().into()).collect()
}

#[cfg(test)]
mod tests;
