//! Writing a picture back into the store, in conditional transactions of limited size.
//!
//! What the store should hold is worked out once ([`DesiredState`]); each transaction is the first part of
//! what the present store still lacks. So a rebuild can stop anywhere, and whoever goes on finds
//! what is left by looking at the store. Each change depends on the stamp of its key.

use crate::constants::{TRANSACTION_BYTES, VALUE_FRAME_BYTES};
use crate::image::{StoreId, StoreImage};
use crate::merged_state::{AcceptedBatch, MergedState};
use mountgap_records::records::{
    catalog_key, done_tasks_key, flagged_jobs_key, job_end_group_key, job_end_key, parse_key,
    placements_key, shares_key, store_key, BatchRecord, DoneTasksRecord, FlaggedJobsRecord,
    JobEndGroupRecord, JobEndRecord, Key, PlacementsRecord, StoreIdRecord, StoredPlacement,
};
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeSet;

/// Jobs whose arrival numbers can stand side by side in one transaction.
const ARRIVALS_PER_TRANSACTION: usize = 1 << 8;

/// What the state service takes.
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

/// One transaction: changes, each with the stamp that its key must have.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RebuildTransaction {
    /// Changes with the present stamps of their keys.
    pub changes: Vec<(Change, u64)>,
}

/// A value that the store should hold.
#[derive(Debug, Clone)]
struct DesiredValue {
    key: String,
    data: String,
    /// Batches of different windows may not stand in one transaction: their jobs' arrival numbers
    /// could be the same.
    window: usize,
    /// Time and jobs of a batch, by which it is compared: its arrival numbers may differ.
    batch: Option<(u64, String)>,
}

/// What the store should hold.
#[derive(Debug, Clone, Default)]
pub struct DesiredState {
    wanted: Vec<DesiredValue>,
}

fn text<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

/// Divides entries, in their order, into groups of so many bytes.
fn grouped<T>(entries: impl Iterator<Item = (T, usize)>, most: usize) -> Vec<Vec<T>> {
    let mut groups: Vec<Vec<T>> = Vec::new();
    let mut filled = most;
    for (entry, bytes) in entries {
        if filled + bytes > most {
            groups.push(Vec::new());
            filled = 0;
        }
        filled += bytes;
        groups.last_mut().expect("just made").push(entry);
    }
    groups
}

impl DesiredState {
    /// Works out what the store should hold: the picture, under a new identity. Ends that the
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
        desired.add_flagged(merged, room);
        desired.add_batches(merged, limits.value_bytes);
        desired.add_done(merged, room);
        desired.add_places(merged, room);
        desired.add_ends(merged, present, room);
        desired.add_shared(merged, limits.value_bytes);
        desired
    }

    fn add(&mut self, key: String, data: String) {
        self.wanted.push(DesiredValue { key, data, window: 0, batch: None });
    }

    fn add_flagged(&mut self, merged: &MergedState, room: usize) {
        let entries = merged.flagged.iter().map(|(job, reason)| {
            let bytes = job.len() + text(reason).len() + 4;
            ((job.clone(), *reason), bytes)
        });
        for (n, group) in grouped(entries, room).into_iter().enumerate() {
            let record = FlaggedJobsRecord { jobs: group.into_iter().collect() };
            self.add(flagged_jobs_key(n as u32), text(&record));
        }
    }

    /// Batches in the order of their arrival. One that was written when values might be larger is
    /// divided.
    fn add_batches(&mut self, merged: &MergedState, value_bytes: usize) {
        let mut batches: Vec<(&String, &AcceptedBatch)> = merged.batches.iter().collect();
        batches.sort_by_key(|(key, batch)| (batch.record.at, batch.mod_revision, *key));
        let (mut window, mut first) = (0, 0);
        for (key, batch) in batches {
            for (key, jobs) in divided(key, &batch.record, value_bytes) {
                if first + jobs.len() > ARRIVALS_PER_TRANSACTION {
                    window += 1;
                    first = 0;
                }
                let record = BatchRecord { at: batch.record.at, first: first as u64, jobs };
                first += record.jobs.len();
                let (data, batch) = (text(&record), Some((record.at, text(&record.jobs))));
                self.wanted.push(DesiredValue { key, data, window, batch });
            }
        }
    }

    fn add_done(&mut self, merged: &MergedState, room: usize) {
        let entries = merged.done_chunks().map(|(name, bits)| {
            let bytes = name.len() + bits.len() + 6;
            ((name, bits.clone()), bytes)
        });
        for (n, group) in grouped(entries, room).into_iter().enumerate() {
            let record = DoneTasksRecord { bits: group.into_iter().collect() };
            self.add(done_tasks_key(n as u32), text(&record));
        }
    }

    fn add_places(&mut self, merged: &MergedState, room: usize) {
        let entries = merged.placements.iter().filter_map(|((job, task), placed)| {
            let entry = StoredPlacement::text(job, *task, &placed.machine, placed.attempt)?;
            let bytes = entry.len() + 1;
            Some((entry, bytes))
        });
        for (n, group) in grouped(entries, room).into_iter().enumerate() {
            self.add(placements_key(n as u32), text(&PlacementsRecord { tasks: group.join(" ") }));
        }
    }

    fn add_ends(&mut self, merged: &MergedState, present: &StoreImage, room: usize) {
        let stands_alone = |job: &str, end: &JobEndRecord| {
            let value = present.get(&job_end_key(job));
            value.is_some_and(|v| {
                serde_json::from_str::<JobEndRecord>(&v.data).ok().as_ref() == Some(end)
            })
        };
        let entries =
            merged.ends.iter().filter(|(job, end)| !stands_alone(job, end)).map(|(job, end)| {
                let bytes = job.len() + text(end).len() + 4;
                ((job.clone(), end.clone()), bytes)
            });
        for (n, group) in grouped(entries, room).into_iter().enumerate() {
            let record = JobEndGroupRecord { ends: group.into_iter().collect() };
            self.add(job_end_group_key(n as u32), text(&record));
        }
    }

    fn add_shared(&mut self, merged: &MergedState, value_bytes: usize) {
        if let Some(catalog) = merged.catalog.as_ref().filter(|c| c.len() <= value_bytes) {
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
        let (mut bytes, mut window) = (0, None);
        for wanted in self.wanted.iter().filter(|wanted| !wanted.holds_in(present)) {
            let same_window = wanted.batch.is_none() || window.is_none_or(|w| w == wanted.window);
            let size = wanted.key.len() + wanted.data.len();
            let fits = transaction.changes.is_empty() || bytes + size <= TRANSACTION_BYTES;
            if transaction.changes.len() >= limits.transaction_ops || !fits || !same_window {
                return Some(transaction);
            }
            bytes += size;
            window = window.or(wanted.batch.as_ref().map(|_| wanted.window));
            let change = Change::Put { key: wanted.key.clone(), data: wanted.data.clone() };
            transaction.changes.push((change, present.mod_revision(&wanted.key)));
        }
        let kept: BTreeSet<&str> = self.wanted.iter().map(|w| w.key.as_str()).collect();
        for (key, value) in present.iter() {
            if transaction.changes.len() >= limits.transaction_ops {
                break;
            }
            if is_rebuilt(key) && !kept.contains(&**key) {
                transaction
                    .changes
                    .push((Change::Remove { key: key.to_string() }, value.mod_revision));
            }
        }
        (!transaction.changes.is_empty()).then_some(transaction)
    }

    /// How many values there are in all.
    pub fn values(&self) -> usize {
        self.wanted.len()
    }
}

impl DesiredValue {
    fn holds_in(&self, present: &StoreImage) -> bool {
        let Some(value) = present.get(&self.key) else { return false };
        match &self.batch {
            None => same_value(&value.data, &self.data),
            Some((at, jobs)) => serde_json::from_str::<BatchRecord>(&value.data)
                .is_ok_and(|batch| batch.at == *at && text(&batch.jobs) == *jobs),
        }
    }
}

/// Whether two texts are the same JSON value: the state service may spell what it keeps in its
/// own way.
fn same_value(one: &str, other: &str) -> bool {
    let read = |text: &str| serde_json::from_str::<Value>(text).ok();
    one == other || read(one).zip(read(other)).is_some_and(|(one, other)| alike(&one, &other))
}

fn alike(one: &Value, other: &Value) -> bool {
    match (one, other) {
        (Value::Number(one), Value::Number(other)) => {
            one == other || one.is_f64() != other.is_f64() && one.as_f64() == other.as_f64()
        }
        (Value::Array(one), Value::Array(other)) => {
            one.len() == other.len() && one.iter().zip(other).all(|(a, b)| alike(a, b))
        }
        (Value::Object(one), Value::Object(other)) => {
            let found = |key, value| other.get(key).is_some_and(|there| alike(value, there));
            one.len() == other.len() && one.iter().all(|(key, value)| found(key, value))
        }
        _ => one == other,
    }
}

/// Whether keys of this kind are removed where the picture has none: groups that it fills anew,
/// and batches that are spent.
fn is_rebuilt(key: &str) -> bool {
    matches!(
        parse_key(key),
        Some(
            Key::Batch(_)
                | Key::GangBatch(_)
                | Key::Done(_)
                | Key::Place(_)
                | Key::EndGroup(_)
                | Key::Flagged(_)
        )
    )
}

/// A batch, or its parts under keys of their own if it is larger than a value may be.
fn divided(
    key: &str,
    record: &BatchRecord,
    value_bytes: usize,
) -> Vec<(String, Vec<std::rc::Rc<mountgap_records::job::JobSpec>>)> {
    let room = value_bytes.saturating_sub(VALUE_FRAME_BYTES);
    let entries = record.jobs.iter().map(|job| (job.clone(), text(job).len() + 1));
    let parts = grouped(entries, room);
    if parts.len() == 1 {
        return vec![(key.to_string(), record.jobs.clone())];
    }
    let name = |n: usize| format!("{key}.{n}");
    parts.into_iter().enumerate().map(|(n, jobs)| (name(n), jobs)).collect()
}
