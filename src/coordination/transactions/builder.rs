//! Builds one transaction within the size limits of the state service.

use crate::constants::{TRANSACTION_BYTES_MAX, TRANSACTION_OVERHEAD_BYTES};
use crate::protocol::state::{Condition, Mutation, Transaction};
use serde_json::value::RawValue;
use std::collections::BTreeMap;

/// Which changes a transaction may contain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TransactionScope {
    /// All kinds of changes, the most urgent first.
    Everything,
    /// The split of a placement group that exceeds the value size limit, and urgent changes.
    SplitGroup,
    /// A gang that did not fit beside other changes.
    StoreGang,
}

/// A transaction under construction.
pub(super) struct TransactionBuilder {
    /// Revision that each key must still have when the transaction is applied.
    pub(super) conditions: BTreeMap<String, u64>,
    /// Writes added so far.
    pub(super) writes: Vec<Mutation>,
    /// Total bytes of the values written.
    pub(super) bytes: usize,
    /// Maximum number of writes.
    pub(super) writes_max: usize,
    /// Maximum number of conditions.
    pub(super) conditions_max: usize,
    /// Maximum bytes of one value.
    pub(super) value_bytes_max: usize,
}

impl TransactionBuilder {
    /// Whether this many more writes and conditions fit.
    pub(super) fn has_capacity(&self, writes: usize, conditions: usize) -> bool {
        self.writes.len() + writes <= self.writes_max
            && self.conditions.len() + conditions <= self.conditions_max
    }

    /// Adds a write that requires the key to have `mod_revision`; returns false and adds nothing if
    /// it does not fit.
    pub(super) fn put(&mut self, key: String, value: Box<RawValue>, mod_revision: u64) -> bool {
        let bytes = value.get().len();
        let fits = bytes <= self.value_bytes_max
            && self.bytes + bytes <= TRANSACTION_BYTES_MAX - TRANSACTION_OVERHEAD_BYTES
            && self.has_capacity(1, 1);
        if fits {
            self.bytes += bytes;
            self.conditions.insert(key.clone(), mod_revision);
            self.writes.push(Mutation::Put { key, value, lease_id: None });
        }
        fits
    }

    /// Adds the removal of a key, which must have `mod_revision`.
    pub(super) fn remove(&mut self, key: String, mod_revision: u64) {
        self.conditions.insert(key.clone(), mod_revision);
        self.writes.push(Mutation::Remove { key });
    }

    pub(super) fn build(self) -> Transaction {
        let conditions = self.conditions.into_iter();
        let conditions =
            conditions.map(|(key, mod_revision)| Condition { key, mod_revision }).collect();
        Transaction { conditions, writes: self.writes }
    }
}

#[cfg(test)]
mod tests;
