//! Writes of placement groups: starts, removals of settled placements, and splits of oversized groups.
//!
//! Placements are stored in groups, each group under one key. Starts go to groups that are written
//! anyway, first those with urgent settlements, and then to those with the most free space. The
//! placements of a gang's attempt are committed in one transaction or all deferred. A group that
//! exceeds the value size limit, because it was written under a higher one, is split by a single
//! transaction.

mod group_fill;
mod starts;

use super::builder::{TransactionBuilder, TransactionScope};
use super::pending::{PendingTransaction, PlacementEntry, PlacementMove};
use crate::constants::{
    CLEANED_GROUPS_PER_TRANSACTION, DONE_CHUNK_TASKS, GROUP_OVERHEAD_BYTES, TRANSACTION_BYTES_MAX,
    TRANSACTION_OVERHEAD_BYTES,
};
use crate::protocol::state::raw_json;
use crate::protocol::workers::EndCause;
use crate::storage::cluster::ClusterState;
use crate::storage::machine::{AttemptId, TaskId};
use crate::storage::records::{job_end_key, placements_key, MachineName, PlacementsRecord};
use group_fill::GroupFill;
use std::collections::{BTreeMap, BTreeSet};

/// Settled placements that may be removed, by group.
type RemovableByGroup = BTreeMap<u32, Vec<PlacementEntry>>;

fn attempts_of<'a>(
    entries: impl IntoIterator<Item = &'a PlacementEntry>,
) -> BTreeSet<&'a AttemptId> {
    entries.into_iter().map(|entry| &entry.attempt).collect()
}

impl ClusterState {
    /// Whether any placement group exceeds the current value size limit.
    pub(super) fn has_oversized_group(&self, value_bytes: usize) -> bool {
        self.groups.values().any(|group| group.bytes + GROUP_OVERHEAD_BYTES > value_bytes)
    }

    /// Adds the placement groups that change: with starts, removals of settled placements, or moves
    /// between groups.
    pub(super) fn pack_placements(
        &mut self,
        builder: &mut TransactionBuilder,
        pending: &mut PendingTransaction,
        is_periodic: bool,
        scope: TransactionScope,
    ) {
        let mut removable = self.removable_by_group(pending);
        let mut fill = self.group_fill(builder, &removable);
        if scope == TransactionScope::SplitGroup {
            self.split_one_group(&mut fill, &removable, pending);
        }
        if scope != TransactionScope::StoreGang {
            self.choose_urgent_groups(&mut fill);
        }
        let conditions_taken = builder.conditions.len() + fill.groups_max;
        let conditions_left = builder.conditions_max.saturating_sub(conditions_taken);
        let mut additions = self.choose_starts(&mut fill, conditions_left, scope);
        if is_periodic {
            choose_groups_to_clean(&mut fill, &removable);
        }
        for number in fill.chosen {
            let removals = removable.remove(&number).unwrap_or_default();
            if self.pack_group(number, &removals, &additions, builder, pending) {
                pending.groups.push(number);
                pending.removals.extend(removals);
                continue;
            }
            log::error!(
                "placement group left out: group {number} does not fit into the transaction; \
                 its starts remain proposed"
            );
            for entry in additions.extract_if(.., |entry| entry.group == number) {
                self.proposals.push_back((entry.machine, entry.attempt.task));
            }
        }
        for entry in &additions {
            if self.is_live(&entry.attempt.task.job) {
                builder.conditions.insert(job_end_key(&entry.attempt.task.job), 0);
            }
        }
        pending.additions = additions;
    }

    fn is_live(&self, job_id: &str) -> bool {
        self.jobs.get(job_id).is_some_and(|job| job.is_live())
    }

    /// Whether a settled placement may be removed from the store. If its task is done, the done bit
    /// or the end of the job must be stored first or by the same transaction.
    fn may_be_removed(
        &self,
        machine: &MachineName,
        id: &TaskId,
        pending: &PendingTransaction,
    ) -> bool {
        let cause = self.placement(machine, id).and_then(|placement| placement.settled);
        if cause != Some(EndCause::Done) || pending.finished_jobs.contains(&id.job) {
            return true;
        }
        let chunk = id.index / DONE_CHUNK_TASKS;
        self.jobs
            .get(&id.job)
            .is_none_or(|job| !job.is_live() || !job.dirty_chunks.contains(&chunk))
    }

    fn removable_by_group(&self, pending: &PendingTransaction) -> RemovableByGroup {
        let mut removable = RemovableByGroup::new();
        for (number, group) in &self.groups {
            for attempt in &group.settled {
                let Some(placement) = group.placements.get(attempt) else { continue };
                if self.may_be_removed(&placement.machine, &attempt.task, pending) {
                    removable.entry(*number).or_default().push(PlacementEntry {
                        group: *number,
                        machine: placement.machine.clone(),
                        attempt: attempt.clone(),
                        bytes: placement.bytes,
                    });
                }
            }
        }
        removable
    }

    fn group_fill(&self, builder: &TransactionBuilder, removable: &RemovableByGroup) -> GroupFill {
        let removable_bytes = |number: &u32| {
            let entries = removable.get(number).into_iter().flatten();
            entries.map(|entry| entry.bytes).sum::<usize>()
        };
        let bytes_left =
            (TRANSACTION_BYTES_MAX - TRANSACTION_OVERHEAD_BYTES).saturating_sub(builder.bytes);
        let groups_by_bytes = bytes_left / builder.value_bytes_max.max(1);
        let writes_left = builder.writes_max.saturating_sub(builder.writes.len());
        let groups = self.groups.iter();
        GroupFill {
            bytes: groups
                .map(|(number, group)| (*number, group.bytes - removable_bytes(number)))
                .collect(),
            chosen: BTreeSet::new(),
            groups_max: writes_left.min(groups_by_bytes),
            bytes_max: builder.value_bytes_max - GROUP_OVERHEAD_BYTES,
        }
    }

    fn choose_urgent_groups(&self, fill: &mut GroupFill) {
        for (number, group) in &self.groups {
            if group.urgent && !fill.is_oversized(*number) {
                fill.choose(*number);
            }
        }
    }

    /// Splits one oversized group, preferably an urgent one, if the transaction can hold all of its
    /// parts.
    fn split_one_group(
        &self,
        fill: &mut GroupFill,
        removable: &RemovableByGroup,
        pending: &mut PendingTransaction,
    ) {
        let oversized = self.groups.iter().filter(|(number, _)| fill.is_oversized(**number));
        let oversized = oversized.min_by_key(|(number, group)| (!group.urgent, **number));
        let Some((number, group)) = oversized else { return };
        let leaving = attempts_of(removable.get(number).into_iter().flatten());
        let mut split_fill = fill.clone();
        split_fill.chosen.insert(*number);
        // Marks the group as full, so that nothing is added to it.
        split_fill.bytes.insert(*number, split_fill.bytes_max);
        let mut bytes_kept = 0;
        let mut moves = Vec::new();
        for (attempt, placement) in &group.placements {
            if leaving.contains(attempt) {
                continue;
            }
            if bytes_kept + placement.bytes <= split_fill.bytes_max {
                bytes_kept += placement.bytes;
                continue;
            }
            let Some(target) = split_fill.add(placement.bytes) else { return };
            let entry = PlacementEntry {
                group: target,
                machine: placement.machine.clone(),
                attempt: attempt.clone(),
                bytes: placement.bytes,
            };
            moves.push(PlacementMove { from: *number, entry });
        }
        log::info!(
            "placement group split: group {number}, {} placements move to other groups",
            moves.len()
        );
        *fill = split_fill;
        pending.moves = moves;
    }

    /// Adds the write of one group: placements that stay, are added or move in. Returns false if it
    /// does not fit.
    fn pack_group(
        &mut self,
        number: u32,
        removals: &[PlacementEntry],
        additions: &[PlacementEntry],
        builder: &mut TransactionBuilder,
        pending: &PendingTransaction,
    ) -> bool {
        let group = self.groups.entry(number).or_default();
        let moved_away = pending.moves.iter().filter(|moved| moved.from == number);
        let leaving = attempts_of(removals.iter().chain(moved_away.map(|moved| &moved.entry)));
        let staying = group.placements.iter().filter(|(attempt, _)| !leaving.contains(attempt));
        let mut texts: Vec<String> = staying
            .filter_map(|(attempt, placement)| attempt.stored_text(&placement.machine))
            .collect();
        let moved = pending.moves.iter().map(|moved| &moved.entry);
        let arriving = additions.iter().chain(moved).filter(|entry| entry.group == number);
        texts.extend(arriving.filter_map(|entry| entry.attempt.stored_text(&entry.machine)));
        let record = PlacementsRecord { tasks: texts.join(" ") };
        if !builder.put(placements_key(number), raw_json(&record), group.mod_revision) {
            return false;
        }
        group.urgent = false;
        true
    }

    /// Applies committed moves to the groups. A placement that was settled while the transaction was
    /// pending stays settled in its new group.
    pub(super) fn apply_moves(&mut self, moves: Vec<PlacementMove>) {
        for PlacementMove { from, entry } in moves {
            let Some(source) = self.groups.get_mut(&from) else { continue };
            let is_settled = source.remove(&entry.attempt);
            let is_urgent = source.urgent;
            let target = self.groups.entry(entry.group).or_default();
            target.insert(entry.attempt.clone(), entry.machine.clone(), entry.bytes);
            if is_settled {
                target.settle(entry.attempt.clone(), is_urgent);
            }
            let placement = self.placement_mut(&entry.machine, &entry.attempt.task);
            if let Some(placement) = placement.filter(|p| p.attempt == entry.attempt.number) {
                placement.group = Some(entry.group);
            }
        }
    }

    /// Applies the committed removal of a settled placement.
    pub(super) fn apply_removal(&mut self, entry: &PlacementEntry) {
        if let Some(group) = self.groups.get_mut(&entry.group) {
            group.remove(&entry.attempt);
        }
        self.on_settlement_committed(&entry.machine, &entry.attempt);
    }

    /// Applies the committed addition of a placement.
    pub(super) fn apply_addition(&mut self, entry: &PlacementEntry) {
        let group = self.groups.entry(entry.group).or_default();
        group.insert(entry.attempt.clone(), entry.machine.clone(), entry.bytes);
        self.on_placement_committed(&entry.machine, &entry.attempt, entry.group);
    }
}

/// Chooses the groups with the most removable placements.
fn choose_groups_to_clean(fill: &mut GroupFill, removable: &RemovableByGroup) {
    let mut candidates: Vec<(usize, u32)> = removable
        .iter()
        .filter(|(number, _)| !fill.chosen.contains(number) && !fill.is_oversized(**number))
        .map(|(number, entries)| (entries.len(), *number))
        .collect();
    candidates.sort_unstable_by(|a, b| b.cmp(a));
    for (_, number) in candidates.into_iter().take(CLEANED_GROUPS_PER_TRANSACTION) {
        fill.choose(number);
    }
}

#[cfg(test)]
mod tests;
