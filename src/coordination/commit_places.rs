//! Placements in a commit: what starts, what leaves, and groups that have to be divided.
//!
//! Placements stand in groups, one key each. What starts goes to the groups where most room is or has
//! fallen free, those first whose settlements are urgent. The placements of a gang's attempt go into
//! one commit together or wait together. A group that is larger than a value may be by now, because
//! it was written under higher limits, is divided by one commit.

use super::commits::{PlacementEntry, PlacementMove, TransactionBuilder, TransactionScope};
use super::leader::PendingTransaction;
use crate::constants::{
    CLEAN_GROUPS, COMMIT_BYTES, COMMIT_FRAME_BYTES, DONE_CHUNK_TASKS, GROUP_FRAME_BYTES,
};
use crate::protocol::state::raw;
use crate::protocol::workers::EndCause;
use crate::storage::cluster::ClusterState;
use crate::storage::machine::{MachineState, PlacementPhase, TaskId};
use crate::storage::records::{
    job_end_key, placements_key, JobId, JobStage, MachineName, PlacementsRecord, StoredPlacement,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The groups that a commit writes, and how full each group will be.
#[derive(Debug, Clone)]
struct GroupFill {
    /// Bytes of every group once what may leave it has left.
    bytes: BTreeMap<u32, usize>,
    /// Groups that are written.
    chosen: BTreeSet<u32>,
    /// Groups that may be written at the most.
    most: usize,
    /// Bytes of a group.
    cap: usize,
}

impl GroupFill {
    /// Whether there is room for so many bytes in a group.
    fn fits(&self, group: u32, bytes: usize) -> bool {
        self.bytes.get(&group).is_some_and(|have| have + bytes <= self.cap)
    }

    /// Whether a group holds more than a value may by now.
    fn oversized(&self, group: u32) -> bool {
        self.bytes.get(&group).is_some_and(|have| *have > self.cap)
    }

    /// Takes room for one placement: in a group that is written anyway, else in the emptiest, else
    /// in a new one.
    fn add(&mut self, bytes: usize) -> Option<u32> {
        if bytes > self.cap {
            return None;
        }
        let written = self.chosen.iter().copied().find(|n| self.fits(*n, bytes));
        let group = match written {
            Some(group) => group,
            None if self.chosen.len() >= self.most => return None,
            None => self.emptiest(bytes).unwrap_or_else(|| self.unused()),
        };
        self.chosen.insert(group);
        *self.bytes.entry(group).or_default() += bytes;
        Some(group)
    }

    fn emptiest(&self, bytes: usize) -> Option<u32> {
        let open =
            self.bytes.iter().filter(|(n, _)| !self.chosen.contains(n) && self.fits(**n, bytes));
        open.min_by_key(|(_, have)| **have).map(|(n, _)| *n)
    }

    /// The lowest number that no group has.
    fn unused(&self) -> u32 {
        (0..).find(|n| !self.bytes.contains_key(n)).unwrap_or(0)
    }
}

/// Placements that are stored together or not at all: one, or all those of a gang's attempt.
#[derive(Debug, Default)]
struct Unit {
    uid: Option<JobId>,
    placements: Vec<(MachineName, TaskId)>,
}

/// What becomes of a proposed placement.
enum Verdict {
    /// It is over already.
    Over,
    /// It must not be stored any more.
    Retract,
    /// It can be stored.
    Store(PlacementEntry),
}

impl ClusterState {
    /// Whether a settled placement may be taken out of the store: what it did must be there.
    fn may_leave(&self, machine: &MachineName, id: &TaskId, f: &PendingTransaction) -> bool {
        let cause = self.machines.get(machine).and_then(|m| m.placements.get(id)?.settled);
        if cause != Some(EndCause::Done) || f.finished_jobs.contains(&id.job) {
            return true;
        }
        let chunk = id.index / DONE_CHUNK_TASKS;
        self.jobs
            .get(&id.job)
            .is_none_or(|j| j.stage != JobStage::Live || !j.dirty_chunks.contains(&chunk))
    }

    /// Whether any group holds more than a value may by now.
    pub(super) fn has_oversized_group(&self, value_bytes: usize) -> bool {
        self.groups.values().any(|g| g.bytes + GROUP_FRAME_BYTES > value_bytes)
    }

    /// Starts and settlements.
    pub(super) fn pack_places(
        &mut self,
        p: &mut TransactionBuilder,
        f: &mut PendingTransaction,
        batch: bool,
        focus: TransactionScope,
    ) {
        let mut leaving = self.leaving_by_group(f);
        let mut fill = self.group_fill(p, &leaving);
        if focus == TransactionScope::DivideGroup {
            self.divide_one_group(&mut fill, &leaving, f);
        }
        for (n, g) in &self.groups {
            let first = g.urgent && focus != TransactionScope::StoreGang;
            if first && !fill.oversized(*n) && fill.chosen.len() < fill.most {
                fill.chosen.insert(*n);
            }
        }
        let conditions_left = p.max_ifs.saturating_sub(p.conditions.len() + fill.most);
        let mut adds = self.choose_starts(&mut fill, conditions_left, focus);
        if batch {
            choose_groups_to_clean(&mut fill, &leaving);
        }
        for n in fill.chosen.clone() {
            let out = leaving.remove(&n).unwrap_or_default();
            if !self.pack_group(n, &out, &adds, p, f) {
                log::error!("group {n} does not fit into the commit");
                for e in adds.extract_if(.., |e| e.group == n) {
                    self.proposals.push_back((e.machine, e.id));
                }
                continue;
            }
            f.groups.push(n);
            f.removals.extend(out);
        }
        for entry in &adds {
            if self.jobs.get(&entry.id.job).is_some_and(|job| job.stage == JobStage::Live) {
                p.conditions.insert(job_end_key(&entry.id.job), 0);
            }
        }
        f.additions = adds;
    }

    /// Settled placements that may be taken out, by group.
    fn leaving_by_group(&self, f: &PendingTransaction) -> BTreeMap<u32, Vec<PlacementEntry>> {
        let mut leaving: BTreeMap<u32, Vec<PlacementEntry>> = BTreeMap::new();
        for (n, g) in &self.groups {
            for key in &g.settled {
                let Some((machine, bytes)) = g.placements.get(key) else { continue };
                if self.may_leave(machine, &key.0, f) {
                    let entry = PlacementEntry {
                        group: *n,
                        machine: machine.clone(),
                        id: key.0.clone(),
                        attempt: key.1,
                        bytes: *bytes,
                    };
                    leaving.entry(*n).or_default().push(entry);
                }
            }
        }
        leaving
    }

    fn group_fill(
        &self,
        p: &TransactionBuilder,
        leaving: &BTreeMap<u32, Vec<PlacementEntry>>,
    ) -> GroupFill {
        let out = |n: &u32| leaving.get(n).into_iter().flatten().map(|e| e.bytes).sum::<usize>();
        let by_bytes =
            (COMMIT_BYTES - COMMIT_FRAME_BYTES).saturating_sub(p.bytes) / p.value_bytes_max.max(1);
        GroupFill {
            bytes: self.groups.iter().map(|(n, g)| (*n, g.bytes - out(n))).collect(),
            chosen: BTreeSet::new(),
            most: p.max_ops.saturating_sub(p.writes.len()).min(by_bytes),
            cap: p.value_bytes_max - GROUP_FRAME_BYTES,
        }
    }

    /// Divides one group that is larger than a value may be, if the commit can hold all its parts:
    /// an urgent one if there is any.
    fn divide_one_group(
        &self,
        fill: &mut GroupFill,
        leaving: &BTreeMap<u32, Vec<PlacementEntry>>,
        f: &mut PendingTransaction,
    ) {
        let oversized = self.groups.iter().filter(|(n, _)| fill.oversized(**n));
        let Some((n, group)) = oversized.min_by_key(|(n, g)| (!g.urgent, **n)) else { return };
        let gone: BTreeSet<(&TaskId, u64)> =
            leaving.get(n).into_iter().flatten().map(|e| (&e.id, e.attempt)).collect();
        let stay =
            group.placements.iter().filter(|((id, attempt), _)| !gone.contains(&(id, *attempt)));
        let mut divided = fill.clone();
        divided.chosen.insert(*n);
        // Nothing is added to the group itself.
        divided.bytes.insert(*n, divided.cap);
        let mut kept = 0;
        let mut moves = Vec::new();
        for ((id, attempt), (machine, bytes)) in stay {
            if kept + bytes <= divided.cap {
                kept += bytes;
                continue;
            }
            let Some(to) = divided.add(*bytes) else { return };
            let entry = PlacementEntry {
                group: to,
                machine: machine.clone(),
                id: id.clone(),
                attempt: *attempt,
                bytes: *bytes,
            };
            moves.push(PlacementMove { from: *n, entry });
        }
        log::info!("group {n}: divided, {} placements move", moves.len());
        *fill = divided;
        f.moves = moves;
    }

    /// What is proposed and fits, the rest stays proposed. A gang that waits has the next commit to itself;
    /// if it does not fit there either, it is taken back.
    fn choose_starts(
        &mut self,
        fill: &mut GroupFill,
        conditions_left: usize,
        focus: TransactionScope,
    ) -> Vec<PlacementEntry> {
        self.gang_is_deferred = false;
        let mut adds: Vec<PlacementEntry> = Vec::new();
        let mut jobs: BTreeSet<JobId> = BTreeSet::new();
        let mut wait: VecDeque<(MachineName, TaskId)> = VecDeque::new();
        for unit in self.take_units() {
            let verdicts = unit.placements.iter().map(|(m, id)| self.verdict(m, id));
            let verdicts: Vec<Verdict> = verdicts.collect();
            let retract = verdicts.iter().any(|v| matches!(v, Verdict::Retract));
            if retract
                || (unit.uid.is_some() && verdicts.iter().any(|v| matches!(v, Verdict::Over)))
            {
                // Of a gang nothing is stored if any of it can't be.
                for (machine, id) in &unit.placements {
                    self.retract(machine, id);
                }
                continue;
            }
            let entries: Vec<PlacementEntry> = verdicts
                .into_iter()
                .filter_map(|verdict| match verdict {
                    Verdict::Store(entry) => Some(entry),
                    _ => None,
                })
                .collect();
            let Some(first) = entries.first() else { continue };
            let uid = first.id.job.clone();
            let live = self.jobs.get(&uid).is_some_and(|job| job.stage == JobStage::Live);
            let new_job = live && !jobs.contains(&uid);
            let mut with = fill.clone();
            let placed: Option<Vec<PlacementEntry>> = entries
                .into_iter()
                .map(|entry| with.add(entry.bytes).map(|group| PlacementEntry { group, ..entry }))
                .collect();
            let Some(placed) = placed.filter(|_| !new_job || jobs.len() < conditions_left) else {
                if unit.uid.is_some() && focus == TransactionScope::StoreGang && adds.is_empty() {
                    log::error!("{uid}: one commit can't hold all tasks of the gang");
                    unit.placements.iter().for_each(|(machine, id)| self.retract(machine, id));
                    continue;
                }
                self.gang_is_deferred |= unit.uid.is_some();
                wait.extend(unit.placements);
                continue;
            };
            if live {
                jobs.insert(uid);
            }
            *fill = with;
            adds.extend(placed);
        }
        self.proposals = wait;
        adds
    }

    /// Proposals in their order, those of a gang's attempt together.
    fn take_units(&mut self) -> Vec<Unit> {
        let mut units: Vec<Unit> = Vec::new();
        for (machine, id) in std::mem::take(&mut self.proposals) {
            let gang = self.jobs.get(&id.job).is_some_and(|job| job.is_gang());
            let proposed = self.machines.get(&machine).and_then(|m| m.placements.get(&id));
            let gang = gang && proposed.is_some_and(|p| p.phase == PlacementPhase::Proposed);
            let uid = gang.then(|| id.job.clone());
            match units.last_mut() {
                Some(last) if uid.is_some() && last.uid == uid => {
                    last.placements.push((machine, id));
                }
                _ => units.push(Unit { uid, placements: vec![(machine, id)] }),
            }
        }
        units
    }

    fn verdict(&self, machine: &MachineName, id: &TaskId) -> Verdict {
        let Some(m) = self.machines.get(machine) else { return Verdict::Over };
        let held = m.placements.get(id).filter(|p| p.settled.is_none());
        let Some(held) = held else { return Verdict::Over };
        let live = self.jobs.get(&id.job).is_some_and(|j| j.stage == JobStage::Live);
        let there = m.state == MachineState::Up && !m.lease_expired && m.reclaim_at.is_none();
        if held.phase == PlacementPhase::Proposed && (!live || !there || held.stop_reason.is_some())
        {
            return Verdict::Retract;
        }
        let Some(text) = StoredPlacement::text(&id.job, id.index, machine, held.attempt) else {
            return Verdict::Retract;
        };
        Verdict::Store(PlacementEntry {
            group: 0,
            machine: machine.clone(),
            id: id.clone(),
            attempt: held.attempt,
            bytes: text.len() + 1,
        })
    }

    /// Writes one group with what stays, what is added and what moves; false if it does not fit.
    fn pack_group(
        &mut self,
        n: u32,
        out: &[PlacementEntry],
        adds: &[PlacementEntry],
        p: &mut TransactionBuilder,
        f: &PendingTransaction,
    ) -> bool {
        let group = self.groups.entry(n).or_default();
        let moved = f.moves.iter().filter(|m| m.from == n).map(|m| &m.entry);
        let gone: BTreeSet<(&TaskId, u64)> =
            out.iter().chain(moved).map(|e| (&e.id, e.attempt)).collect();
        let stay = group.placements.iter().filter(|((id, a), _)| !gone.contains(&(id, *a)));
        let mut texts: Vec<String> = stay
            .filter_map(|((id, a), (m, _))| StoredPlacement::text(&id.job, id.index, m, *a))
            .collect();
        let moved_here = f.moves.iter().map(|m| &m.entry);
        let new = adds.iter().chain(moved_here).filter(|e| e.group == n);
        texts.extend(
            new.filter_map(|e| StoredPlacement::text(&e.id.job, e.id.index, &e.machine, e.attempt)),
        );
        let rec = PlacementsRecord { tasks: texts.join(" ") };
        if !p.put(placements_key(n), raw(&rec), group.mod_revision) {
            return false;
        }
        group.urgent = false;
        true
    }

    /// Notes that placements were moved to other groups, with what was settled of them meanwhile.
    pub(super) fn moved(&mut self, moves: Vec<PlacementMove>) {
        for PlacementMove { from, entry } in moves {
            let key = (entry.id.clone(), entry.attempt);
            let Some(group) = self.groups.get_mut(&from) else { continue };
            let leaves = group.settled.remove(&key);
            let urgent = leaves && group.urgent;
            if let Some((_, bytes)) = group.placements.remove(&key) {
                group.bytes -= bytes;
            }
            let to = self.groups.entry(entry.group).or_default();
            to.bytes += entry.bytes;
            to.placements.insert(key.clone(), (entry.machine.clone(), entry.bytes));
            to.urgent |= urgent;
            if leaves {
                to.settled.insert(key);
            }
            let machine = self.machines.get_mut(&entry.machine);
            let held = machine.and_then(|m| m.placements.get_mut(&entry.id));
            if let Some(placement) = held.filter(|p| p.attempt == entry.attempt) {
                placement.group = Some(entry.group);
            }
        }
    }
}

/// Adds the groups with most to take out.
fn choose_groups_to_clean(fill: &mut GroupFill, leaving: &BTreeMap<u32, Vec<PlacementEntry>>) {
    let mut rest: Vec<(usize, u32)> = leaving
        .iter()
        .filter(|(n, _)| !fill.chosen.contains(n) && !fill.oversized(**n))
        .map(|(n, entries)| (entries.len(), *n))
        .collect();
    rest.sort_unstable_by(|a, b| b.cmp(a));
    for (_, n) in rest.into_iter().take(CLEAN_GROUPS) {
        if fill.chosen.len() < fill.most {
            fill.chosen.insert(n);
        }
    }
}

#[cfg(test)]
mod tests;
