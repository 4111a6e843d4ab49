//! Writing a merged state back into the store, in conditional transactions of limited size.
//!
//! What the store should hold is worked out once ([`DesiredState`]); each transaction is the first
//! part of what the present store still lacks. So a rebuild can stop anywhere, and whoever goes on
//! finds what is left by looking at the store. Each change depends on the revision of its key.

use crate::constants::{TRANSACTION_BYTES, VALUE_FRAME_BYTES};
use crate::image::{StoreId, StoreImage};
use crate::merged_state::{AcceptedBatch, MergedState};
use mountgap_records::job::JobSpec;
use mountgap_records::records::{
    catalog_key, done_tasks_key, flagged_jobs_key, job_end_group_key, job_end_key, parse_key,
    placements_key, shares_key, store_key, BatchRecord, DoneTasksRecord, FlaggedJobsRecord,
    JobEndGroupRecord, JobEndRecord, Key, PlacementsRecord, StoreIdRecord, StoredPlacement,
};
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeSet;
use std::rc::Rc;

/// Jobs whose arrival numbers can stand side by side in one transaction.
const ARRIVALS_PER_TRANSACTION: usize = 1 << 8;

/// Bytes of quotes, colon and comma of an entry in a JSON object.
const ENTRY_FRAME_BYTES: usize = 4;

/// The same of an entry whose value is a text, with its quotes.
const DONE_ENTRY_FRAME_BYTES: usize = ENTRY_FRAME_BYTES + 2;

/// What the state service takes at the most.
#[derive(Debug, Clone, Copy)]
pub struct TransactionLimits {
    /// Bytes of a value.
    pub value_bytes: usize,
    /// Changes of a transaction.
    pub transaction_ops: usize,
}

/// A change of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Sets it.
    Put {
        /// The key.
        key: String,
        /// Its value as JSON text.
        data: String,
    },
    /// Removes it.
    Remove {
        /// The key.
        key: String,
    },
}

impl Change {
    /// The key that is changed.
    pub fn key(&self) -> &str {
        match self {
            Change::Put { key, .. } | Change::Remove { key } => key,
        }
    }
}

/// A change that is made only if its key is as it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConditionalChange {
    /// The change.
    pub change: Change,
    /// Revision that the key's last change must have; 0 if it must not exist.
    pub expected_revision: u64,
}

/// One transaction of a rebuild.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RebuildTransaction {
    /// Its changes.
    pub changes: Vec<ConditionalChange>,
}

impl RebuildTransaction {
    fn push(&mut self, change: Change, expected_revision: u64) {
        self.changes.push(ConditionalChange { change, expected_revision });
    }
}

/// A value that the store should hold.
#[derive(Debug, Clone)]
struct DesiredValue {
    key: String,
    /// The value as JSON text.
    data: String,
    /// What is special about a batch of accepted jobs.
    batch: Option<DesiredBatch>,
}

/// A batch of accepted jobs that the store should hold.
#[derive(Debug, Clone)]
struct DesiredBatch {
    /// Batches of different windows may not stand in one transaction: their jobs' arrival numbers
    /// could be the same.
    arrival_window: usize,
    /// Its time, by which with the jobs it is compared: its arrival numbers may differ.
    at: u64,
    /// Its jobs as JSON text.
    jobs: String,
}

/// All values that the store should hold.
#[derive(Debug, Clone, Default)]
pub struct DesiredState {
    values: Vec<DesiredValue>,
}

fn text<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

/// Divides entries, each with its size, in their order into groups of at most so many bytes.
fn grouped<T>(entries: impl Iterator<Item = (T, usize)>, bytes_max: usize) -> Vec<Vec<T>> {
    let mut groups: Vec<Vec<T>> = Vec::new();
    let mut filled = bytes_max;
    for (entry, bytes) in entries {
        if filled + bytes > bytes_max {
            groups.push(Vec::new());
            filled = 0;
        }
        filled += bytes;
        groups.last_mut().expect("the first entry opens a group").push(entry);
    }
    groups
}

impl DesiredState {
    /// Works out what the store should hold: the merged state, under a new identity. Ends that the
    /// present store has under keys of their own stay there, the others are written together.
    pub fn new(
        merged: &MergedState,
        identity: StoreId,
        present: &StoreImage,
        limits: &TransactionLimits,
    ) -> Self {
        let mut desired = DesiredState::default();
        let room = limits.value_bytes.saturating_sub(VALUE_FRAME_BYTES);
        desired.add(store_key(), text(&StoreIdRecord { id: identity.0 }));
        desired.add_flagged_jobs(merged, room);
        desired.add_batches(merged, limits.value_bytes);
        desired.add_done_tasks(merged, room);
        desired.add_placements(merged, room);
        desired.add_ends(merged, present, room);
        desired.add_catalog_and_shares(merged, limits.value_bytes);
        desired
    }

    fn add(&mut self, key: String, data: String) {
        self.values.push(DesiredValue { key, data, batch: None });
    }

    /// Adds groups of entries, each under a key of its own that is numbered from 0.
    fn add_groups<T, R: Serialize>(
        &mut self,
        groups: Vec<Vec<T>>,
        key: impl Fn(u32) -> String,
        record: impl Fn(Vec<T>) -> R,
    ) {
        for (number, group) in groups.into_iter().enumerate() {
            self.add(key(number as u32), text(&record(group)));
        }
    }

    fn add_flagged_jobs(&mut self, merged: &MergedState, room: usize) {
        let entries = merged.flagged.iter().map(|(job, reason)| {
            let bytes = job.len() + text(reason).len() + ENTRY_FRAME_BYTES;
            ((job.clone(), *reason), bytes)
        });
        self.add_groups(grouped(entries, room), flagged_jobs_key, |group| FlaggedJobsRecord {
            jobs: group.into_iter().collect(),
        });
    }

    /// Batches in the order of their arrival. One that was written when values might be larger is
    /// divided.
    fn add_batches(&mut self, merged: &MergedState, value_bytes: usize) {
        let mut batches: Vec<(&String, &AcceptedBatch)> = merged.batches.iter().collect();
        batches.sort_by_key(|(key, batch)| (batch.record.at, batch.mod_revision, *key));
        let parts = batches.into_iter().flat_map(|(key, batch)| {
            let at = batch.record.at;
            divided(key, &batch.record, value_bytes).into_iter().map(move |part| (at, part))
        });
        let (mut arrival_window, mut first) = (0, 0);
        for (at, BatchPart { key, jobs }) in parts {
            if first + jobs.len() > ARRIVALS_PER_TRANSACTION {
                arrival_window += 1;
                first = 0;
            }
            let record = BatchRecord { at, first: first as u64, jobs };
            first += record.jobs.len();
            let batch = DesiredBatch { arrival_window, at, jobs: text(&record.jobs) };
            let data = text(&record);
            self.values.push(DesiredValue { key, data, batch: Some(batch) });
        }
    }

    fn add_done_tasks(&mut self, merged: &MergedState, room: usize) {
        let entries = merged.done_chunks().map(|(name, bits)| {
            let bytes = name.len() + bits.len() + DONE_ENTRY_FRAME_BYTES;
            ((name, bits.clone()), bytes)
        });
        self.add_groups(grouped(entries, room), done_tasks_key, |group| DoneTasksRecord {
            bits: group.into_iter().collect(),
        });
    }

    fn add_placements(&mut self, merged: &MergedState, room: usize) {
        let entries = merged.placements.iter().filter_map(|((job, task), placed)| {
            let entry = StoredPlacement::text(job, *task, &placed.machine, placed.attempt)?;
            let bytes = entry.len() + 1;
            Some((entry, bytes))
        });
        self.add_groups(grouped(entries, room), placements_key, |group| PlacementsRecord {
            tasks: group.join(" "),
        });
    }

    fn add_ends(&mut self, merged: &MergedState, present: &StoreImage, room: usize) {
        let is_present_alone = |job: &str, end: &JobEndRecord| {
            let value = present.get(&job_end_key(job));
            let record = value.and_then(|value| serde_json::from_str(&value.data).ok());
            record.as_ref() == Some(end)
        };
        let missing = merged.ends.iter().filter(|(job, end)| !is_present_alone(job, end));
        let entries = missing.map(|(job, end)| {
            let bytes = job.len() + text(end).len() + ENTRY_FRAME_BYTES;
            ((job.clone(), end.clone()), bytes)
        });
        self.add_groups(grouped(entries, room), job_end_group_key, |group| JobEndGroupRecord {
            ends: group.into_iter().collect(),
        });
    }

    fn add_catalog_and_shares(&mut self, merged: &MergedState, value_bytes: usize) {
        if let Some(catalog) = merged.catalog.as_ref().filter(|text| text.len() <= value_bytes) {
            self.add(catalog_key(), catalog.clone());
        }
        if let Some(shares) = &merged.shares {
            self.add(shares_key(), text(shares));
        }
    }

    /// The next transaction; none once the store holds all of it and nothing else.
    pub fn next_transaction(
        &self,
        present: &StoreImage,
        limits: &TransactionLimits,
    ) -> Option<RebuildTransaction> {
        let mut transaction = RebuildTransaction::default();
        if self.add_missing_values(&mut transaction, present, limits) {
            self.add_removals(&mut transaction, present, limits);
        }
        (!transaction.changes.is_empty()).then_some(transaction)
    }

    /// Adds what the store lacks, as far as one transaction takes it. Whether that was all.
    fn add_missing_values(
        &self,
        transaction: &mut RebuildTransaction,
        present: &StoreImage,
        limits: &TransactionLimits,
    ) -> bool {
        let mut bytes = 0;
        let mut arrival_window = None;
        for value in self.values.iter().filter(|value| !value.is_held_in(present)) {
            let window = value.batch.as_ref().map(|batch| batch.arrival_window);
            let same_window =
                window.is_none() || arrival_window.is_none() || window == arrival_window;
            let size = value.key.len() + value.data.len();
            let fits = transaction.changes.is_empty() || bytes + size <= TRANSACTION_BYTES;
            if transaction.changes.len() >= limits.transaction_ops || !fits || !same_window {
                return false;
            }
            bytes += size;
            arrival_window = arrival_window.or(window);
            let change = Change::Put { key: value.key.clone(), data: value.data.clone() };
            transaction.push(change, present.mod_revision(&value.key));
        }
        true
    }

    /// Adds removals of what the store should not hold, as far as there is room.
    fn add_removals(
        &self,
        transaction: &mut RebuildTransaction,
        present: &StoreImage,
        limits: &TransactionLimits,
    ) {
        let kept: BTreeSet<&str> = self.values.iter().map(|value| value.key.as_str()).collect();
        for (key, value) in present.iter() {
            if transaction.changes.len() >= limits.transaction_ops {
                return;
            }
            if is_rebuilt(key) && !kept.contains(&**key) {
                transaction.push(Change::Remove { key: key.to_string() }, value.mod_revision);
            }
        }
    }

    /// How many values there are in all.
    pub fn len(&self) -> usize {
        self.values.len()
    }

    /// Whether there is no value at all.
    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }
}

impl DesiredValue {
    /// Whether the store holds this value already.
    fn is_held_in(&self, present: &StoreImage) -> bool {
        let Some(value) = present.get(&self.key) else { return false };
        match &self.batch {
            None => same_value(&value.data, &self.data),
            Some(batch) => serde_json::from_str::<BatchRecord>(&value.data)
                .is_ok_and(|held| held.at == batch.at && text(&held.jobs) == batch.jobs),
        }
    }
}

/// Whether two texts are the same JSON value: the state service may spell what it keeps in its
/// own way.
fn same_value(one: &str, other: &str) -> bool {
    let read = |text: &str| serde_json::from_str::<Value>(text).ok();
    one == other
        || read(one).zip(read(other)).is_some_and(|(one, other)| is_same_json(&one, &other))
}

fn is_same_json(one: &Value, other: &Value) -> bool {
    match (one, other) {
        (Value::Number(one), Value::Number(other)) => {
            one == other || one.is_f64() != other.is_f64() && one.as_f64() == other.as_f64()
        }
        (Value::Array(one), Value::Array(other)) => {
            one.len() == other.len()
                && one.iter().zip(other).all(|(one, other)| is_same_json(one, other))
        }
        (Value::Object(one), Value::Object(other)) => {
            let found = |key, value| other.get(key).is_some_and(|there| is_same_json(value, there));
            one.len() == other.len() && one.iter().all(|(key, value)| found(key, value))
        }
        _ => one == other,
    }
}

/// Whether keys of this kind are removed where the desired state has none: groups that it fills anew,
/// and batches that are spent.
fn is_rebuilt(key: &str) -> bool {
    matches!(
        parse_key(key),
        Some(
            Key::Batch(_)
                | Key::GangBatch(_)
                | Key::DoneTasks(_)
                | Key::Placements(_)
                | Key::JobEndGroup(_)
                | Key::FlaggedJobs(_)
        )
    )
}

/// A part of a batch of accepted jobs, with the key that it is written under.
struct BatchPart {
    key: String,
    jobs: Vec<Rc<JobSpec>>,
}

/// A batch, or its parts under keys of their own if it is larger than a value may be.
fn divided(key: &str, record: &BatchRecord, value_bytes: usize) -> Vec<BatchPart> {
    let room = value_bytes.saturating_sub(VALUE_FRAME_BYTES);
    let entries = record.jobs.iter().map(|job| (job.clone(), text(job).len() + 1));
    let parts = grouped(entries, room);
    if parts.len() == 1 {
        return vec![BatchPart { key: key.to_string(), jobs: record.jobs.clone() }];
    }
    let numbered = parts.into_iter().enumerate();
    numbered.map(|(number, jobs)| BatchPart { key: format!("{key}.{number}"), jobs }).collect()
}
