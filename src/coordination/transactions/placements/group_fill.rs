//! Chooses the placement groups that a transaction writes and tracks how full each will be.

use std::collections::{BTreeMap, BTreeSet};

/// The placement groups that a transaction writes, and how full each group will be.
#[derive(Debug, Clone)]
pub(super) struct GroupFill {
    /// Bytes of every group, without the settled placements that can be removed from it.
    pub(super) bytes: BTreeMap<u32, usize>,
    /// Groups that the transaction writes.
    pub(super) chosen: BTreeSet<u32>,
    /// Maximum number of groups written.
    pub(super) groups_max: usize,
    /// Maximum bytes of one group.
    pub(super) bytes_max: usize,
}

impl GroupFill {
    /// Whether a group has capacity for `bytes` more.
    fn has_capacity(&self, group: u32, bytes: usize) -> bool {
        self.bytes.get(&group).is_some_and(|used| used + bytes <= self.bytes_max)
    }

    /// Whether a group exceeds the current value size limit.
    pub(super) fn is_oversized(&self, group: u32) -> bool {
        self.bytes.get(&group).is_some_and(|used| *used > self.bytes_max)
    }

    /// Chooses a group to be written, unless the maximum number is already chosen.
    pub(super) fn choose(&mut self, group: u32) {
        if self.chosen.len() < self.groups_max {
            self.chosen.insert(group);
        }
    }

    /// Reserves capacity for one placement and returns its group: one that is already chosen, else the
    /// emptiest, else a new one. `None` if there is no capacity.
    pub(super) fn add(&mut self, bytes: usize) -> Option<u32> {
        if bytes > self.bytes_max {
            return None;
        }
        let chosen_with_capacity =
            self.chosen.iter().copied().find(|group| self.has_capacity(*group, bytes));
        let group = match chosen_with_capacity {
            Some(group) => group,
            None if self.chosen.len() >= self.groups_max => return None,
            None => self.emptiest_with_capacity(bytes).unwrap_or_else(|| self.unused()),
        };
        self.chosen.insert(group);
        *self.bytes.entry(group).or_default() += bytes;
        Some(group)
    }

    fn emptiest_with_capacity(&self, bytes: usize) -> Option<u32> {
        let candidates = self
            .bytes
            .iter()
            .filter(|(group, _)| !self.chosen.contains(group) && self.has_capacity(**group, bytes));
        candidates.min_by_key(|(_, used)| **used).map(|(group, _)| *group)
    }

    /// The lowest number that no group has.
    fn unused(&self) -> u32 {
        (0..).find(|group| !self.bytes.contains_key(group)).unwrap_or(0)
    }
}
