//! Groups of placements. Each group is stored under one key.

use super::machine::AttemptId;
use super::records::MachineName;
use std::collections::{BTreeMap, BTreeSet};

/// A placement in a stored group.
#[derive(Debug, Clone)]
pub struct GroupedPlacement {
    /// Its machine.
    pub machine: MachineName,
    /// Size in bytes of its text in the value, including the space that separates it from the next one.
    pub bytes: usize,
}

/// A stored group of placements.
#[derive(Debug, Default)]
pub struct PlacementGroup {
    /// Revision of its key.
    pub mod_revision: u64,
    /// The stored placements, by attempt.
    pub placements: BTreeMap<AttemptId, GroupedPlacement>,
    /// Size in bytes of all placements in the stored value, without the JSON around them.
    pub bytes: usize,
    /// Settled placements, to be removed from the store.
    pub settled: BTreeSet<AttemptId>,
    /// Whether a settled placement must be removed soon because its task is to be placed again.
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

    /// Removes a placement, if the group has it. Returns whether it was settled.
    pub fn remove(&mut self, id: &AttemptId) -> bool {
        if let Some(placement) = self.placements.remove(id) {
            self.bytes -= placement.bytes;
        }
        self.settled.remove(id)
    }

    /// Records that a placement is settled and has to be removed, soon if `urgent`.
    pub fn settle(&mut self, id: AttemptId, urgent: bool) {
        self.settled.insert(id);
        self.urgent |= urgent;
    }
}

#[cfg(test)]
mod tests;
