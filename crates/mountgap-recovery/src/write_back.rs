//! Plans the write-back of a merged state into the store, in conditional transactions of limited
//! size.
//!
//! The values that the store should hold are computed once ([`DesiredState`]). Each transaction
//! writes the next values that the store still lacks, as many as fit, and the last transactions
//! remove obsolete keys. So a rebuild can be interrupted at any point, and the controller that
//! continues it finds the remaining work by reading the store. Each change has the revision of its
//! key as a condition.

use crate::constants::{TRANSACTION_BYTES_MAX, VALUE_OVERHEAD_BYTES};
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

/// Number of jobs to which one transaction can assign distinct arrival numbers.
const ARRIVAL_NUMBERS_PER_TRANSACTION: usize = 1 << 8;

/// Bytes of an entry's quotes, colon and comma in a JSON object.
const ENTRY_OVERHEAD_BYTES: usize = 4;

/// Bytes of an entry's quotes, colon and comma in a JSON object, the quotes of a string value included.
const STRING_ENTRY_OVERHEAD_BYTES: usize = ENTRY_OVERHEAD_BYTES + 2;

/// Limits of the state service.
#[derive(Debug, Clone, Copy)]
pub struct TransactionLimits {
    /// Maximum bytes of a value.
    pub value_bytes: usize,
    /// Maximum number of changes in a transaction.
    pub transaction_ops: usize,
}

/// A change of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Sets the key.
    Put {
        /// The key.
        key: String,
        /// The value as JSON text.
        data: String,
    },
    /// Removes the key.
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

/// A change that is made only if its key is unchanged since it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConditionalChange {
    /// The change.
    pub change: Change,
    /// Revision that the key's last change must have; 0 if the key must not exist.
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
    /// Set if the value is a batch of accepted jobs.
    batch: Option<DesiredBatch>,
}

/// A batch of accepted jobs that the store should hold.
#[derive(Debug, Clone)]
struct DesiredBatch {
    /// Batches with different windows must not be written in one transaction, since the arrival
    /// numbers of their jobs could be the same.
    arrival_window: usize,
    /// Time of the acceptance in milliseconds. A stored batch counts as equal if `at` and `jobs`
    /// are; its arrival numbers may differ.
    at: u64,
    /// The jobs as JSON text.
    jobs: String,
}

/// All values that the store should hold.
#[derive(Debug, Clone, Default)]
pub struct DesiredState {
    values: Vec<DesiredValue>,
}

fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

/// Splits entries, each given with its size, into groups of at most `bytes_max` bytes; keeps their
/// order. A larger entry gets a group of its own.
fn group_by_size<T>(entries: impl Iterator<Item = (T, usize)>, bytes_max: usize) -> Vec<Vec<T>> {
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
    /// Computes the values that the store should hold: the merged state under a new identity. Ends
    /// that the store holds already under keys of their own stay there; the others are written in
    /// groups.
    pub fn new(
        merged: &MergedState,
        identity: StoreId,
        current: &StoreImage,
        limits: &TransactionLimits,
    ) -> Self {
        let mut desired = DesiredState::default();
        let group_bytes_max = limits.value_bytes.saturating_sub(VALUE_OVERHEAD_BYTES);
        desired.add(store_key(), to_json(&StoreIdRecord { id: identity.0 }));
        desired.add_flagged_jobs(merged, group_bytes_max);
        desired.add_batches(merged, limits.value_bytes);
        desired.add_done_tasks(merged, group_bytes_max);
        desired.add_placements(merged, group_bytes_max);
        desired.add_ends(merged, current, group_bytes_max);
        desired.add_catalog_and_shares(merged, limits.value_bytes);
        desired
    }

    fn add(&mut self, key: String, data: String) {
        self.values.push(DesiredValue { key, data, batch: None });
    }

    /// Adds one value for each group of entries, under keys that are numbered from 0.
    fn add_groups<T, R: Serialize>(
        &mut self,
        groups: Vec<Vec<T>>,
        key: impl Fn(u32) -> String,
        record: impl Fn(Vec<T>) -> R,
    ) {
        for (number, group) in groups.into_iter().enumerate() {
            self.add(key(number as u32), to_json(&record(group)));
        }
    }

    fn add_flagged_jobs(&mut self, merged: &MergedState, group_bytes_max: usize) {
        let entries = merged.flagged.iter().map(|(job, reason)| {
            let bytes = job.len() + to_json(reason).len() + ENTRY_OVERHEAD_BYTES;
            ((job.clone(), *reason), bytes)
        });
        self.add_groups(group_by_size(entries, group_bytes_max), flagged_jobs_key, |group| {
            FlaggedJobsRecord { jobs: group.into_iter().collect() }
        });
    }

    /// Adds the batches in the order of their arrival. A batch that exceeds the limit, which can
    /// have been lowered since it was written, is split.
    fn add_batches(&mut self, merged: &MergedState, value_bytes: usize) {
        let mut batches: Vec<(&String, &AcceptedBatch)> = merged.batches.iter().collect();
        batches.sort_by_key(|(key, batch)| (batch.record.at, batch.mod_revision, *key));
        let parts = batches.into_iter().flat_map(|(key, batch)| {
            let at = batch.record.at;
            split_batch(key, &batch.record, value_bytes).into_iter().map(move |part| (at, part))
        });
        let (mut arrival_window, mut first) = (0, 0);
        for (at, BatchPart { key, jobs }) in parts {
            if first + jobs.len() > ARRIVAL_NUMBERS_PER_TRANSACTION {
                arrival_window += 1;
                first = 0;
            }
            let record = BatchRecord { at, first: first as u64, jobs };
            first += record.jobs.len();
            let batch = DesiredBatch { arrival_window, at, jobs: to_json(&record.jobs) };
            let data = to_json(&record);
            self.values.push(DesiredValue { key, data, batch: Some(batch) });
        }
    }

    fn add_done_tasks(&mut self, merged: &MergedState, group_bytes_max: usize) {
        let entries = merged.done_chunks().map(|(name, bits)| {
            let bytes = name.len() + bits.len() + STRING_ENTRY_OVERHEAD_BYTES;
            ((name, bits.clone()), bytes)
        });
        self.add_groups(group_by_size(entries, group_bytes_max), done_tasks_key, |group| {
            DoneTasksRecord { bits: group.into_iter().collect() }
        });
    }

    fn add_placements(&mut self, merged: &MergedState, group_bytes_max: usize) {
        let entries = merged.placements.iter().filter_map(|((job, task), placed)| {
            let entry = StoredPlacement::text(job, *task, &placed.machine, placed.attempt)?;
            let bytes = entry.len() + 1;
            Some((entry, bytes))
        });
        self.add_groups(group_by_size(entries, group_bytes_max), placements_key, |group| {
            PlacementsRecord { tasks: group.join(" ") }
        });
    }

    fn add_ends(&mut self, merged: &MergedState, current: &StoreImage, group_bytes_max: usize) {
        let has_own_key = |job: &str, end: &JobEndRecord| {
            let value = current.get(&job_end_key(job));
            let record = value.and_then(|value| serde_json::from_str(&value.data).ok());
            record.as_ref() == Some(end)
        };
        let missing = merged.ends.iter().filter(|(job, end)| !has_own_key(job, end));
        let entries = missing.map(|(job, end)| {
            let bytes = job.len() + to_json(end).len() + ENTRY_OVERHEAD_BYTES;
            ((job.clone(), end.clone()), bytes)
        });
        self.add_groups(group_by_size(entries, group_bytes_max), job_end_group_key, |group| {
            JobEndGroupRecord { ends: group.into_iter().collect() }
        });
    }

    fn add_catalog_and_shares(&mut self, merged: &MergedState, value_bytes: usize) {
        if let Some(catalog) = merged.catalog.as_ref().filter(|text| text.len() <= value_bytes) {
            self.add(catalog_key(), catalog.clone());
        }
        if let Some(shares) = &merged.shares {
            self.add(shares_key(), to_json(shares));
        }
    }

    /// The next transaction; `None` once the store holds all desired values and no obsolete ones.
    pub fn next_transaction(
        &self,
        current: &StoreImage,
        limits: &TransactionLimits,
    ) -> Option<RebuildTransaction> {
        let mut transaction = RebuildTransaction::default();
        if self.add_missing_values(&mut transaction, current, limits) {
            self.add_removals(&mut transaction, current, limits);
        }
        (!transaction.changes.is_empty()).then_some(transaction)
    }

    /// Adds the values that the store lacks, as far as they fit into the transaction; returns
    /// whether all of them do.
    fn add_missing_values(
        &self,
        transaction: &mut RebuildTransaction,
        current: &StoreImage,
        limits: &TransactionLimits,
    ) -> bool {
        let mut bytes = 0;
        let mut arrival_window = None;
        for value in self.values.iter().filter(|value| !value.is_stored_in(current)) {
            let window = value.batch.as_ref().map(|batch| batch.arrival_window);
            let same_window =
                window.is_none() || arrival_window.is_none() || window == arrival_window;
            let size = value.key.len() + value.data.len();
            let fits = transaction.changes.is_empty() || bytes + size <= TRANSACTION_BYTES_MAX;
            if transaction.changes.len() >= limits.transaction_ops || !fits || !same_window {
                return false;
            }
            bytes += size;
            arrival_window = arrival_window.or(window);
            let change = Change::Put { key: value.key.clone(), data: value.data.clone() };
            transaction.push(change, current.mod_revision(&value.key));
        }
        true
    }

    /// Adds removals of obsolete keys, as far as they fit into the transaction.
    fn add_removals(
        &self,
        transaction: &mut RebuildTransaction,
        current: &StoreImage,
        limits: &TransactionLimits,
    ) {
        let kept: BTreeSet<&str> = self.values.iter().map(|value| value.key.as_str()).collect();
        for (key, value) in current.iter() {
            if transaction.changes.len() >= limits.transaction_ops {
                return;
            }
            if is_removed_if_not_desired(key) && !kept.contains(&**key) {
                transaction.push(Change::Remove { key: key.to_string() }, value.mod_revision);
            }
        }
    }

    /// Number of values.
    pub fn len(&self) -> usize {
        self.values.len()
    }

    /// Whether there are no values.
    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }
}

impl DesiredValue {
    /// Whether the store already holds this value.
    fn is_stored_in(&self, current: &StoreImage) -> bool {
        let Some(value) = current.get(&self.key) else { return false };
        match &self.batch {
            None => is_same_json_text(&value.data, &self.data),
            Some(batch) => serde_json::from_str::<BatchRecord>(&value.data)
                .is_ok_and(|stored| stored.at == batch.at && to_json(&stored.jobs) == batch.jobs),
        }
    }
}

/// Whether two texts are the same JSON value. The state service may store a value with other
/// whitespace, order of fields or notation of numbers than it was written with.
fn is_same_json_text(one: &str, other: &str) -> bool {
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
            let has_equal =
                |key, value| other.get(key).is_some_and(|found| is_same_json(value, found));
            one.len() == other.len() && one.iter().all(|(key, value)| has_equal(key, value))
        }
        _ => one == other,
    }
}

/// Whether a key is of a kind that is removed if the desired state lacks it: numbered groups, which
/// the rebuild fills again from 0, and batches, which it leaves out once they are obsolete.
fn is_removed_if_not_desired(key: &str) -> bool {
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

/// A batch of accepted jobs or a part of one, with the key under which it is written.
struct BatchPart {
    key: String,
    jobs: Vec<Rc<JobSpec>>,
}

/// Splits a batch that exceeds the size of a value into parts with keys of their own; a smaller one
/// is returned whole.
fn split_batch(key: &str, record: &BatchRecord, value_bytes: usize) -> Vec<BatchPart> {
    let group_bytes_max = value_bytes.saturating_sub(VALUE_OVERHEAD_BYTES);
    let entries = record.jobs.iter().map(|job| (job.clone(), to_json(job).len() + 1));
    let parts = group_by_size(entries, group_bytes_max);
    if parts.len() == 1 {
        return vec![BatchPart { key: key.to_string(), jobs: record.jobs.clone() }];
    }
    let numbered = parts.into_iter().enumerate();
    numbered.map(|(number, jobs)| BatchPart { key: format!("{key}.{number}"), jobs }).collect()
}
