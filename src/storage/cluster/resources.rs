//! What is used and what is free: by team, and on each machine.

use super::ClusterState;
use crate::protocol::Resources;
use crate::storage::hashing::HashMap;
use crate::storage::job::Job;
use crate::storage::machine::Machine;

/// What a team uses, unsettled work included.
pub type Usage = HashMap<String, Resources>;

/// Counts `tasks` placements of a job towards its team.
pub(super) fn charge(usage: &mut Usage, job: &Job, tasks: i64) {
    if let Some(spec) = &job.spec {
        *usage.entry(spec.team.clone()).or_default() += job.need * tasks;
    }
}

/// Counts one placement of a job towards its team no more.
pub(super) fn release(usage: &mut Usage, job: &Job) {
    if let Some(used) = job.spec.as_ref().and_then(|spec| usage.get_mut(&spec.team)) {
        *used -= job.need;
    }
}

impl ClusterState {
    /// What is free on a machine, all unsettled placements counted.
    pub fn free(&self, machine: &Machine) -> Resources {
        let mut free = machine.total;
        for job in self.jobs_on(machine) {
            free -= job.need;
        }
        free
    }

    /// What tasks of unknown jobs may use at the most. Their teams are not known, so it counts for
    /// each: a team may not use more than its limit whoever they belong to.
    pub fn used_by_unknown_tasks(&self) -> Resources {
        let mut used = Resources::default();
        for machine in self.machines.values().filter(|machine| !machine.unknown_tasks.is_empty()) {
            used += self.free(machine);
        }
        used
    }

    /// Room for services on a machine: what is free, and what tasks hold that may be stopped
    /// for them.
    pub fn room_for_services(&self, machine: &Machine) -> Resources {
        let mut room = self.free(machine);
        for job in self.jobs_on(machine).filter(|job| !job.is_service()) {
            room += job.need;
        }
        room
    }

    /// The jobs of a machine's unsettled placements, each as often as it has one there.
    fn jobs_on<'a>(&'a self, machine: &'a Machine) -> impl Iterator<Item = &'a Job> {
        let unsettled =
            machine.placements.iter().filter(|(_, placement)| placement.settled.is_none());
        unsettled.filter_map(|(id, _)| self.jobs.get(&id.job))
    }
}
