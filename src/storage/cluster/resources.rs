//! Resources that teams use, and resources that are free on machines.

use super::ClusterState;
use crate::protocol::Resources;
use crate::storage::hashing::HashMap;
use crate::storage::job::Job;
use crate::storage::machine::Machine;

/// Resources that the unsettled placements of each team use, by name of the team.
pub type Usage = HashMap<String, Resources>;

/// Adds `tasks` placements of a job to the usage of its team.
pub(super) fn charge(usage: &mut Usage, job: &Job, tasks: i64) {
    if let Some(spec) = &job.spec {
        *usage.entry(spec.team.clone()).or_default() += job.need * tasks;
    }
}

/// Subtracts one placement of a job from the usage of its team.
pub(super) fn release(usage: &mut Usage, job: &Job) {
    if let Some(used) = job.spec.as_ref().and_then(|spec| usage.get_mut(&spec.team)) {
        *used -= job.need;
    }
}

impl ClusterState {
    /// Resources of a machine that no unsettled placement uses.
    pub fn free(&self, machine: &Machine) -> Resources {
        let mut free = machine.total;
        for job in self.jobs_on(machine) {
            free -= job.need;
        }
        free
    }

    /// Upper bound of the resources that tasks of unknown jobs use: all free resources of the machines
    /// that run such tasks. The teams of the tasks are not known either, so callers add the bound to the
    /// usage of each team: no team may exceed its limit, whichever team the tasks belong to.
    pub fn used_by_unknown_tasks(&self) -> Resources {
        let mut used = Resources::default();
        for machine in self.machines.values().filter(|machine| !machine.unknown_tasks.is_empty()) {
            used += self.free(machine);
        }
        used
    }

    /// Capacity of a machine for services: the free resources, and those of all tasks that services may
    /// preempt.
    pub fn capacity_for_services(&self, machine: &Machine) -> Resources {
        let mut capacity = self.free(machine);
        for job in self.jobs_on(machine).filter(|job| !job.is_service()) {
            capacity += job.need;
        }
        capacity
    }

    /// The job of each unsettled placement on a machine.
    fn jobs_on<'a>(&'a self, machine: &'a Machine) -> impl Iterator<Item = &'a Job> {
        let unsettled =
            machine.placements.iter().filter(|(_, placement)| placement.settled.is_none());
        unsettled.filter_map(|(id, _)| self.jobs.get(&id.job))
    }
}
