//! Applies changes of the store to the replica.
//!
//! A change that is older than the value in the replica is skipped, so the order in which responses
//! arrive doesn't matter. A malformed value is logged, and the other changes are still applied.

use super::{Replica, Versioned};
use crate::constants::ARRIVAL_INDEX_BITS;
use crate::protocol::state::{KeyValue, WatchEvent, WatchResponse};
use crate::storage::records::{
    is_foreign_layout, parse_key, BatchRecord, FlaggedJobsRecord, JobEndGroupRecord, JobEndRecord,
    JobId, JobRecord, JobStage, Key, PlacementsRecord,
};
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

/// A key of the store with its unparsed value.
struct StoredValue<'a> {
    key: &'a str,
    data: &'a RawValue,
    mod_revision: u64,
}

impl StoredValue<'_> {
    /// Parses the value. If it is malformed, logs that and returns `None`.
    fn read<T: DeserializeOwned>(&self) -> Option<T> {
        match serde_json::from_str(self.data.get()) {
            Ok(record) => Some(record),
            Err(error) => {
                log::error!("stored value malformed: {}, {error}", self.key);
                None
            }
        }
    }

    /// Parses the value, like [`StoredValue::read`], and adds the revision of its key.
    fn read_versioned<T: DeserializeOwned>(&self) -> Option<Versioned<T>> {
        self.read().map(|value| Versioned { mod_revision: self.mod_revision, value })
    }
}

impl Replica {
    /// Applies a key and its value from a page of a complete read of the store.
    pub fn apply_item(&mut self, item: &KeyValue) {
        self.write(&item.key, &item.value, item.mod_revision);
    }

    /// Applies the response to a watch or a fresh read. Returns the jobs that changed.
    pub fn apply(&mut self, changes: &WatchResponse) -> Vec<JobId> {
        let mut changed = Vec::new();
        let reached = self.revision;
        for event in changes.events.iter().filter(|event| event.mod_revision > reached) {
            changed.extend(self.apply_event(event));
        }
        self.revision = reached.max(changes.revision);
        let reached = self.revision;
        self.removed_keys.retain(|_, removed_at| *removed_at > reached);
        changed
    }

    fn apply_event(&mut self, event: &WatchEvent) -> Vec<JobId> {
        if let (Some(key), Some(data)) = (&event.put_key, &event.value) {
            let removed_at = self.removed_keys.get(key);
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

    /// Applies a put, unless it is older than the value in the replica. Returns the jobs that changed.
    pub fn write(&mut self, key: &str, data: &RawValue, mod_revision: u64) -> Vec<JobId> {
        if is_foreign_layout(key) && self.foreign_layout_key.is_none() {
            self.foreign_layout_key = Some(key.to_string());
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
            Some(Key::DoneTasks(group)) => self.done_groups.extend(read_numbered(group, &stored)),
            Some(Key::Images(part)) => self.images.extend(read_numbered(part, &stored)),
            Some(Key::Placements(group)) => self.write_placement_group(group, &stored),
            Some(Key::Batch(_) | Key::GangBatch(_)) => return self.write_batch(&stored),
            Some(Key::JobEnd(id)) => return self.write_end(id, &stored),
            Some(Key::JobEndGroup(group)) => return self.write_end_group(group, &stored),
            Some(Key::FlaggedJobs(group)) => return self.write_flagged_group(group, &stored),
            None => {}
        }
        Vec::new()
    }

    fn write_placement_group(&mut self, group: u32, stored: &StoredValue<'_>) {
        let Some(record) = stored.read_versioned::<PlacementsRecord>() else { return };
        self.add_to_placed_counts(&record.value, 1);
        if let Some(previous) = self.placement_groups.insert(group, record) {
            self.add_to_placed_counts(&previous.value, -1);
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
        self.end_group_revisions.insert(group, stored.mod_revision);
        let ends = record.ends.into_iter();
        ends.map(|(id, end)| self.apply_end(&id, end, stored.mod_revision)).collect()
    }

    /// Applies a batch of accepted jobs. Returns the jobs that changed.
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

    /// Applies a job of a batch. If two batches contain the job, the earlier one counts. Returns whether
    /// anything changed.
    fn accept_job(&mut self, id: &JobId, accepted: Versioned<JobRecord>) -> bool {
        let Some(known) = self.jobs.get_mut(id) else {
            self.jobs.insert(id.clone(), accepted);
            return true;
        };
        if known.value.spec.is_none() {
            // The job's end was read before its batch.
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

    /// Applies the end of a job.
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

    /// The job id, sharing the string of the job's entry if there is one.
    fn shared_id(&self, id: &str) -> JobId {
        self.jobs.get_key_value(id).map_or_else(|| id.into(), |(known, _)| known.clone())
    }

    /// Applies the removal of a key at `mod_revision`.
    pub fn remove(&mut self, key: &str, mod_revision: u64) {
        if self.mod_revision(key) >= mod_revision {
            return;
        }
        if mod_revision > self.revision {
            self.removed_keys.insert(key.to_string(), mod_revision);
        }
        match parse_key(key) {
            Some(Key::Leader) => self.leader = None,
            Some(Key::Term) => self.term = None,
            Some(Key::Catalog) => self.catalog = None,
            Some(Key::Shares) => self.shares = None,
            Some(Key::Store) => self.store = None,
            Some(Key::Rebuild) => self.rebuild = None,
            Some(Key::Batch(_) | Key::GangBatch(_)) => self.remove_batch(key),
            Some(Key::FlaggedJobs(group)) => drop(self.flagged.remove(&group)),
            Some(Key::DoneTasks(group)) => drop(self.done_groups.remove(&group)),
            Some(Key::Images(part)) => drop(self.images.remove(&part)),
            Some(Key::Placements(group)) => {
                if let Some(previous) = self.placement_groups.remove(&group) {
                    self.add_to_placed_counts(&previous.value, -1);
                }
            }
            // Job ends are never removed.
            Some(Key::JobEnd(_) | Key::JobEndGroup(_)) | None => {}
        }
    }

    /// Applies the removal of a batch, which happens once all its jobs are over. The jobs' ends are kept,
    /// their specifications are dropped.
    fn remove_batch(&mut self, key: &str) {
        for id in self.batches.remove(key).into_iter().flat_map(|batch| batch.value) {
            let job = self.jobs.get_mut(&id);
            if let Some(job) = job.filter(|job| job.value.stage != JobStage::Live) {
                job.value.spec = None;
            }
        }
    }

    /// Adds `change` to the number of stored placements of a job, for each placement of a record.
    fn add_to_placed_counts(&mut self, record: &PlacementsRecord, change: i64) {
        for placement in record.placements() {
            let id = placement.job_id();
            let count = self.placed_counts.entry(id.clone()).or_default();
            *count = (i64::from(*count) + change).max(0) as u32;
            if *count == 0 {
                self.placed_counts.remove(&id);
            }
        }
    }
}

/// Parses a value and adds the number of its key; `None` if the value is malformed.
fn read_numbered<T: DeserializeOwned>(
    number: u32,
    stored: &StoredValue<'_>,
) -> Option<(u32, Versioned<T>)> {
    stored.read_versioned().map(|record| (number, record))
}

fn flagged_jobs(record: &FlaggedJobsRecord) -> Vec<JobId> {
    record.jobs.keys().map(|id| id.as_str().into()).collect()
}
