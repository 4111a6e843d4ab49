//! Changes of the store, put into the replica.
//!
//! A change that is older than what is held is skipped, so the order in which answers arrive doesn't
//! matter. A value that can't be read leaves a log line and never stops the rest.

use super::{Replica, Versioned};
use crate::constants::ARRIVAL_INDEX_BITS;
use crate::protocol::state::{KeyValue, WatchEvent, WatchResponse};
use crate::storage::records::{
    foreign_layout, parse_key, BatchRecord, FlaggedJobsRecord, JobEndGroupRecord, JobEndRecord,
    JobId, JobRecord, JobStage, Key, PlacementsRecord,
};
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

/// A value of the store as it came, with its key.
struct StoredValue<'a> {
    key: &'a str,
    data: &'a RawValue,
    mod_revision: u64,
}

impl StoredValue<'_> {
    /// The record; none, with a log line, if it can't be read.
    fn read<T: DeserializeOwned>(&self) -> Option<T> {
        match serde_json::from_str(self.data.get()) {
            Ok(record) => Some(record),
            Err(error) => {
                log::error!("stored value of {} can't be read: {error}", self.key);
                None
            }
        }
    }

    /// The same, with the revision of its key.
    fn read_versioned<T: DeserializeOwned>(&self) -> Option<Versioned<T>> {
        self.read().map(|value| Versioned { mod_revision: self.mod_revision, value })
    }
}

impl Replica {
    /// Puts in a page of the whole store.
    pub fn apply_item(&mut self, item: &KeyValue) {
        self.write(&item.key, &item.value, item.mod_revision);
    }

    /// Puts in an answer of a watch or a read; gives the jobs that changed.
    pub fn apply(&mut self, changes: &WatchResponse) -> Vec<JobId> {
        let mut changed = Vec::new();
        let reached = self.revision;
        for event in changes.events.iter().filter(|event| event.mod_revision > reached) {
            changed.extend(self.apply_event(event));
        }
        self.revision = reached.max(changes.revision);
        let reached = self.revision;
        self.removed.retain(|_, removed_at| *removed_at > reached);
        changed
    }

    fn apply_event(&mut self, event: &WatchEvent) -> Vec<JobId> {
        if let (Some(key), Some(data)) = (&event.put_key, &event.value) {
            let removed_at = self.removed.get(key);
            if removed_at.is_some_and(|removed_at| *removed_at >= event.mod_revision) {
                return Vec::new();
            }
            return self.write(key, data, event.mod_revision);
        }
        if let Some(key) = &event.removed_key {
            self.remove(key, event.mod_revision);
        }
        Vec::new()
    }

    /// Puts in one value; older ones than what is held are skipped. Gives the jobs that changed.
    pub fn write(&mut self, key: &str, data: &RawValue, mod_revision: u64) -> Vec<JobId> {
        if foreign_layout(key) && self.foreign_key.is_none() {
            self.foreign_key = Some(key.to_string());
        }
        if self.mod_revision(key) >= mod_revision {
            return Vec::new();
        }
        let stored = StoredValue { key, data, mod_revision };
        match parse_key(key) {
            Some(Key::Leader) => self.leader = stored.read_versioned(),
            Some(Key::Term) => self.term = stored.read_versioned(),
            Some(Key::Catalog) => self.catalog = stored.read_versioned(),
            Some(Key::Shares) => self.shares = stored.read_versioned(),
            Some(Key::Store) => self.store = stored.read_versioned(),
            Some(Key::Rebuild) => self.rebuild = stored.read_versioned(),
            Some(Key::Done(group)) => self.done_groups.extend(numbered(group, &stored)),
            Some(Key::Images(part)) => self.images.extend(numbered(part, &stored)),
            Some(Key::Place(group)) => self.write_placement_group(group, &stored),
            Some(Key::Batch(_) | Key::GangBatch(_)) => return self.write_batch(&stored),
            Some(Key::End(id)) => return self.write_end(id, &stored),
            Some(Key::EndGroup(group)) => return self.write_end_group(group, &stored),
            Some(Key::Flagged(group)) => return self.write_flagged_group(group, &stored),
            None => {}
        }
        Vec::new()
    }

    fn write_placement_group(&mut self, group: u32, stored: &StoredValue<'_>) {
        let Some(record) = stored.read_versioned::<PlacementsRecord>() else { return };
        self.count_placed(&record.value, 1);
        if let Some(previous) = self.placement_groups.insert(group, record) {
            self.count_placed(&previous.value, -1);
        }
    }

    fn write_flagged_group(&mut self, group: u32, stored: &StoredValue<'_>) -> Vec<JobId> {
        let Some(record) = stored.read_versioned::<FlaggedJobsRecord>() else { return Vec::new() };
        let mut changed = flagged_jobs(&record.value);
        if let Some(previous) = self.flagged.insert(group, record) {
            changed.extend(flagged_jobs(&previous.value));
        }
        changed
    }

    fn write_end(&mut self, id: &str, stored: &StoredValue<'_>) -> Vec<JobId> {
        let record: Option<JobEndRecord> = stored.read();
        record.map(|end| self.apply_end(id, end, stored.mod_revision)).into_iter().collect()
    }

    fn write_end_group(&mut self, group: u32, stored: &StoredValue<'_>) -> Vec<JobId> {
        let record: JobEndGroupRecord = stored.read().unwrap_or_default();
        self.end_groups.insert(group, stored.mod_revision);
        let ends = record.ends.into_iter();
        ends.map(|(id, end)| self.apply_end(&id, end, stored.mod_revision)).collect()
    }

    /// A batch of accepted jobs.
    fn write_batch(&mut self, stored: &StoredValue<'_>) -> Vec<JobId> {
        let Some(batch) = stored.read::<BatchRecord>() else { return Vec::new() };
        let mod_revision = stored.mod_revision;
        let mut ids = Vec::new();
        let mut changed = Vec::new();
        for (index, spec) in batch.jobs.into_iter().enumerate() {
            let id = self.shared_id(&spec.uid);
            ids.push(id.clone());
            let arrival = (mod_revision << ARRIVAL_INDEX_BITS) + batch.first + index as u64;
            let accepted = JobRecord {
                at: batch.at,
                stage: JobStage::Live,
                tasks: spec.tasks,
                spec: Some(spec),
                done: 0,
                end_revision: 0,
            };
            if self.accept_job(&id, Versioned { mod_revision: arrival, value: accepted }) {
                changed.push(id);
            }
        }
        self.batches.insert(stored.key.into(), Versioned { mod_revision, value: ids });
        changed
    }

    /// Puts in a job of a batch. Of a job that stands in two batches the earlier one counts. Tells
    /// whether anything changed.
    fn accept_job(&mut self, id: &JobId, accepted: Versioned<JobRecord>) -> bool {
        let Some(known) = self.jobs.get_mut(id) else {
            self.jobs.insert(id.clone(), accepted);
            return true;
        };
        if known.value.spec.is_none() {
            // Its end was read first.
            known.mod_revision = accepted.mod_revision;
            known.value.at = accepted.value.at;
            known.value.tasks = accepted.value.tasks;
            known.value.spec = accepted.value.spec;
            return true;
        }
        let is_earlier = known.mod_revision > accepted.mod_revision;
        if is_earlier && known.value.stage == JobStage::Live {
            *known = accepted;
            return true;
        }
        false
    }

    /// Puts in how a job ended.
    fn apply_end(&mut self, id: &str, end: JobEndRecord, mod_revision: u64) -> JobId {
        let id = self.shared_id(id);
        let job = self.jobs.entry(id.clone()).or_insert_with(|| Versioned {
            mod_revision: 0,
            value: JobRecord {
                at: end.at,
                stage: end.stage,
                tasks: end.tasks,
                spec: None,
                done: end.done,
                end_revision: mod_revision,
            },
        });
        job.value.stage = end.stage;
        job.value.done = end.done;
        job.value.end_revision = mod_revision;
        id
    }

    /// A job's id, shared with the job's entry if there is one.
    fn shared_id(&self, id: &str) -> JobId {
        self.jobs.get_key_value(id).map_or_else(|| id.into(), |(known, _)| known.clone())
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
            Some(Key::Store) => self.store = None,
            Some(Key::Rebuild) => self.rebuild = None,
            Some(Key::Batch(_) | Key::GangBatch(_)) => self.remove_batch(key),
            Some(Key::Flagged(group)) => drop(self.flagged.remove(&group)),
            Some(Key::Done(group)) => drop(self.done_groups.remove(&group)),
            Some(Key::Images(part)) => drop(self.images.remove(&part)),
            Some(Key::Place(group)) => {
                if let Some(previous) = self.placement_groups.remove(&group) {
                    self.count_placed(&previous.value, -1);
                }
            }
            // Ends are kept for ever.
            Some(Key::End(_) | Key::EndGroup(_)) | None => {}
        }
    }

    /// A batch is removed when all its jobs are over: how they ended is kept, what they were is not
    /// needed any more.
    fn remove_batch(&mut self, key: &str) {
        for id in self.batches.remove(key).into_iter().flat_map(|batch| batch.value) {
            let job = self.jobs.get_mut(&id);
            if let Some(job) = job.filter(|job| job.value.stage != JobStage::Live) {
                job.value.spec = None;
            }
        }
    }

    /// Adds `change` per placement of a record to the tasks placed of its job.
    fn count_placed(&mut self, record: &PlacementsRecord, change: i64) {
        for placement in record.placed() {
            let id = placement.job_id();
            let count = self.placed.entry(id.clone()).or_default();
            *count = (i64::from(*count) + change).max(0) as u32;
            if *count == 0 {
                self.placed.remove(&id);
            }
        }
    }
}

/// A record with the number of its key; none if it can't be read.
fn numbered<T: DeserializeOwned>(
    number: u32,
    stored: &StoredValue<'_>,
) -> Option<(u32, Versioned<T>)> {
    stored.read_versioned().map(|record| (number, record))
}

fn flagged_jobs(record: &FlaggedJobsRecord) -> Vec<JobId> {
    record.jobs.keys().map(|id| id.as_str().into()).collect()
}
