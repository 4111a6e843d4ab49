//! Groups of placements: each is one key of the store, as the leader knows it.

use super::machine::TaskId;
use super::records::MachineName;
use std::collections::{BTreeMap, BTreeSet};

/// A stored group of placements: one key of the store.
#[derive(Debug, Default)]
pub struct PlacementGroup {
    /// Revision of its key.
    pub mod_revision: u64,
    /// What the store has, by task and attempt, with the machine and the length of the text in bytes.
    pub placements: BTreeMap<(TaskId, u64), (MachineName, usize)>,
    /// Bytes of the value.
    pub bytes: usize,
    /// Settled placements to take out, by task and attempt.
    pub settled: BTreeSet<(TaskId, u64)>,
    /// A settled one must be out soon: its task waits for that.
    pub urgent: bool,
}

impl PlacementGroup {
    /// An empty group whose key was last written at `mod_revision`.
    pub fn new(mod_revision: u64) -> PlacementGroup {
        PlacementGroup { mod_revision, ..PlacementGroup::default() }
    }

    /// Adds a placement whose text takes `bytes` in the value.
    pub fn insert(&mut self, id: TaskId, attempt: u64, machine: MachineName, bytes: usize) {
        self.bytes += bytes;
        self.placements.insert((id, attempt), (machine, bytes));
    }

    /// Takes a placement out, if it is there. Tells whether it was settled.
    pub fn remove(&mut self, id: &TaskId, attempt: u64) -> bool {
        let key = (id.clone(), attempt);
        if let Some((_, bytes)) = self.placements.remove(&key) {
            self.bytes -= bytes;
        }
        self.settled.remove(&key)
    }

    /// Notes that a placement is settled and is to be taken out, soon if it is `urgent`.
    pub fn settle(&mut self, id: TaskId, attempt: u64, urgent: bool) {
        self.settled.insert((id, attempt));
        self.urgent |= urgent;
    }
}

#[cfg(test)]
mod tests;
