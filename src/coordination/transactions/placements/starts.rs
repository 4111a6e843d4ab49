//! Chooses which of the proposed placements a transaction stores.

use super::{GroupFill, PlacementEntry, TransactionScope};
use crate::storage::cluster::ClusterState;
use crate::storage::machine::{AttemptId, MachineState, PlacementPhase, TaskId};
use crate::storage::records::{JobId, MachineName};
use std::collections::{BTreeSet, VecDeque};

/// Placements that are committed atomically: a single one, or all placements of a gang's attempt.
#[derive(Debug, Default)]
struct PlacementUnit {
    /// The gang whose attempt it is; `None` for a single placement.
    gang: Option<JobId>,
    placements: Vec<(MachineName, TaskId)>,
}

/// Whether a proposed placement can be stored.
enum ProposalState {
    /// It is settled or gone, so there is nothing to store.
    Ended,
    /// It must not start any more and has to be retracted.
    Obsolete,
    /// It can be stored.
    Storable(PlacementEntry),
}

impl ClusterState {
    /// Chooses the proposed placements that the transaction stores; those that do not fit stay
    /// proposed. A gang that does not fit is deferred to the next transaction of scope
    /// [`TransactionScope::StoreGang`]; if it is the first there and still does not fit, it is
    /// retracted.
    pub(super) fn choose_starts(
        &mut self,
        fill: &mut GroupFill,
        conditions_left: usize,
        scope: TransactionScope,
    ) -> Vec<PlacementEntry> {
        self.gang_is_deferred = false;
        let mut additions: Vec<PlacementEntry> = Vec::new();
        let mut jobs_with_condition: BTreeSet<JobId> = BTreeSet::new();
        let mut deferred: VecDeque<(MachineName, TaskId)> = VecDeque::new();
        for unit in self.take_proposed_units() {
            let Some(entries) = self.storable_entries(&unit) else {
                self.retract_unit(&unit);
                continue;
            };
            let Some(first) = entries.first() else { continue };
            let job_id = first.attempt.task.job.clone();
            let is_live = self.is_live(&job_id);
            let needs_condition = is_live && !jobs_with_condition.contains(&job_id);
            let condition_fits = !needs_condition || jobs_with_condition.len() < conditions_left;
            if let Some(placed) = assign_groups(entries, fill, condition_fits) {
                if is_live {
                    jobs_with_condition.insert(job_id);
                }
                additions.extend(placed);
                continue;
            }
            let is_gang = unit.gang.is_some();
            if is_gang && scope == TransactionScope::StoreGang && additions.is_empty() {
                log::error!(
                    "gang retracted: the tasks of job {job_id} do not fit into one transaction"
                );
                self.retract_unit(&unit);
                continue;
            }
            self.gang_is_deferred |= is_gang;
            deferred.extend(unit.placements);
        }
        self.proposals = deferred;
        additions
    }

    /// Takes the proposals in their order; consecutive ones of one gang's attempt form one unit.
    fn take_proposed_units(&mut self) -> Vec<PlacementUnit> {
        let mut units: Vec<PlacementUnit> = Vec::new();
        for (machine, id) in std::mem::take(&mut self.proposals) {
            let is_gang = self.jobs.get(&id.job).is_some_and(|job| job.is_gang());
            let placement = self.placement(&machine, &id);
            let is_proposed = placement.is_some_and(|p| p.phase == PlacementPhase::Proposed);
            let gang = (is_gang && is_proposed).then(|| id.job.clone());
            match units.last_mut() {
                Some(last) if gang.is_some() && last.gang == gang => {
                    last.placements.push((machine, id));
                }
                _ => units.push(PlacementUnit { gang, placements: vec![(machine, id)] }),
            }
        }
        units
    }

    /// The placements of a unit that can be stored; `None` if the unit must be retracted. A gang is
    /// retracted if any of its placements can't be stored.
    fn storable_entries(&self, unit: &PlacementUnit) -> Option<Vec<PlacementEntry>> {
        let mut entries = Vec::new();
        for (machine, id) in &unit.placements {
            match self.proposal_state(machine, id) {
                ProposalState::Storable(entry) => entries.push(entry),
                ProposalState::Obsolete => return None,
                ProposalState::Ended if unit.gang.is_some() => return None,
                ProposalState::Ended => {}
            }
        }
        Some(entries)
    }

    fn retract_unit(&mut self, unit: &PlacementUnit) {
        for (machine, id) in &unit.placements {
            self.retract(machine, id);
        }
    }

    fn proposal_state(&self, machine_name: &MachineName, id: &TaskId) -> ProposalState {
        let Some(machine) = self.machines.get(machine_name) else { return ProposalState::Ended };
        let placement = machine.placements.get(id).filter(|p| p.settled.is_none());
        let Some(placement) = placement else { return ProposalState::Ended };
        let accepts_tasks = machine.state == MachineState::Up
            && !machine.lease_expired
            && machine.reclaim_at.is_none();
        let may_start = self.is_live(&id.job) && accepts_tasks && placement.stop_reason.is_none();
        if placement.phase == PlacementPhase::Proposed && !may_start {
            return ProposalState::Obsolete;
        }
        let attempt = AttemptId::new(id.clone(), placement.attempt);
        let Some(text) = attempt.stored_text(machine_name) else { return ProposalState::Obsolete };
        ProposalState::Storable(PlacementEntry {
            group: 0,
            machine: machine_name.clone(),
            attempt,
            bytes: text.len() + 1,
        })
    }
}

/// Assigns each entry to a group. Without capacity for all entries it returns `None` and leaves `fill`
/// unchanged.
fn assign_groups(
    entries: Vec<PlacementEntry>,
    fill: &mut GroupFill,
    condition_fits: bool,
) -> Option<Vec<PlacementEntry>> {
    let mut filled = fill.clone();
    let assign = |entry: PlacementEntry| {
        let group = filled.add(entry.bytes)?;
        Some(PlacementEntry { group, ..entry })
    };
    let assigned: Option<Vec<PlacementEntry>> = entries.into_iter().map(assign).collect();
    let assigned = assigned.filter(|_| condition_fits)?;
    *fill = filled;
    Some(assigned)
}
