//! Groups of placements: each is one key of the store, as the leader knows it.

use super::machine::AttemptId;
use super::records::MachineName;
use std::collections::{BTreeMap, BTreeSet};

/// What a group holds of one placement.
#[derive(Debug, Clone)]
pub struct GroupedPlacement {
    /// The machine that it is on.
    pub machine: MachineName,
    /// Bytes that its text takes in the value.
    pub bytes: usize,
}

/// A stored group of placements: one key of the store.
#[derive(Debug, Default)]
pub struct PlacementGroup {
    /// Revision of its key.
    pub mod_revision: u64,
    /// What the store has, by attempt.
    pub placements: BTreeMap<AttemptId, GroupedPlacement>,
    /// Bytes of the value.
    pub bytes: usize,
    /// Settled placements to take out.
    pub settled: BTreeSet<AttemptId>,
    /// A settled one must be out soon: its task waits for that.
    pub urgent: bool,
}

impl PlacementGroup {
    /// An empty group whose key was last written at `mod_revision`.
    pub fn new(mod_revision: u64) -> PlacementGroup {
        PlacementGroup { mod_revision, ..PlacementGroup::default() }
    }

    /// Adds a placement whose text takes `bytes` in the value.
    pub fn insert(&mut self, id: AttemptId, machine: MachineName, bytes: usize) {
        self.bytes += bytes;
        self.placements.insert(id, GroupedPlacement { machine, bytes });
    }

    /// Takes a placement out, if it is there. Tells whether it was settled.
    pub fn remove(&mut self, id: &AttemptId) -> bool {
        if let Some(placement) = self.placements.remove(id) {
            self.bytes -= placement.bytes;
        }
        self.settled.remove(id)
    }

    /// Notes that a placement is settled and is to be taken out, soon if it is `urgent`.
    pub fn settle(&mut self, id: AttemptId, urgent: bool) {
        self.settled.insert(id);
        self.urgent |= urgent;
    }
}

#[cfg(test)]
mod tests;
