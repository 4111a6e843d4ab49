//! A transaction that is being packed, within the limits of the state service.

use crate::constants::{COMMIT_BYTES_MAX, COMMIT_FRAME_BYTES};
use crate::protocol::state::{Condition, Mutation, Transaction};
use serde_json::value::RawValue;
use std::collections::BTreeMap;

/// What a transaction is for, ahead of everything else.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TransactionScope {
    /// Nothing in particular.
    Everything,
    /// Dividing a group that is too large.
    DivideGroup,
    /// Storing a gang that did not fit beside other changes.
    StoreGang,
}

/// A transaction that is being packed.
pub(super) struct TransactionBuilder {
    /// Revision that each key must have.
    pub(super) conditions: BTreeMap<String, u64>,
    /// Changes so far.
    pub(super) writes: Vec<Mutation>,
    /// Bytes of their values.
    pub(super) bytes: usize,
    /// Changes at the most.
    pub(super) writes_max: usize,
    /// Conditions at the most.
    pub(super) conditions_max: usize,
    /// Bytes of one value at the most.
    pub(super) value_bytes_max: usize,
}

impl TransactionBuilder {
    /// Whether so many more changes and conditions fit.
    pub(super) fn has_room(&self, writes: usize, conditions: usize) -> bool {
        self.writes.len() + writes <= self.writes_max
            && self.conditions.len() + conditions <= self.conditions_max
    }

    /// Adds a write that depends on the key's revision; false if it does not fit.
    pub(super) fn put(&mut self, key: String, value: Box<RawValue>, mod_revision: u64) -> bool {
        let bytes = value.get().len();
        let fits = bytes <= self.value_bytes_max
            && self.bytes + bytes <= COMMIT_BYTES_MAX - COMMIT_FRAME_BYTES
            && self.has_room(1, 1);
        if fits {
            self.bytes += bytes;
            self.conditions.insert(key.clone(), mod_revision);
            self.writes.push(Mutation::Put { key, value, lease_id: None });
        }
        fits
    }

    /// Removes a key that has this revision.
    pub(super) fn remove(&mut self, key: String, mod_revision: u64) {
        self.conditions.insert(key.clone(), mod_revision);
        self.writes.push(Mutation::Remove { key });
    }

    /// The transaction.
    pub(super) fn build(self) -> Transaction {
        let conditions = self.conditions.into_iter();
        let conditions =
            conditions.map(|(key, mod_revision)| Condition { key, mod_revision }).collect();
        Transaction { conditions, writes: self.writes }
    }
}

#[cfg(test)]
mod tests;
