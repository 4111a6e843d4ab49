//! The leader's state of the cluster: jobs, machines, placements and what teams use.
//!
//! A placement is settled once there is proof that its task no longer runs. A task has at most one
//! unsettled placement. A placement uses its machine's capacity and its team's quota until it is
//! settled, and the settlement is committed to the store before the task may be placed again. This
//! module sends nothing to the state service or to machines: callers tell it what has happened.
//!
//! `restore` builds the state from the store when a term begins, `jobs` handles jobs from acceptance to
//! end, `placements` handles the life cycle of a placement, `adoption` records placements of tasks that run
//! without one, `gangs` handles tasks that run together, and `resources` sums up what is used and free.

mod adoption;
mod gangs;
mod jobs;
mod placements;
mod resources;
mod restore;

pub use adoption::Adoption;
pub use resources::Usage;

use super::done_tasks_group::DoneTasksGroup;
use super::hashing::{HashKeys, HashMap};
use super::job::Job;
use super::machine::{Machine, Placement, TaskId};
use super::placement_group::PlacementGroup;
use super::records::{JobId, MachineName};
use crate::protocol::users::JobKind;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A key of the store that is no longer needed.
#[derive(Debug, Clone)]
pub struct StaleKey {
    /// Name of the key.
    pub key: String,
    /// Revision of the key's last change, as of the time when the key was found to be stale.
    pub mod_revision: u64,
}

/// The state of the cluster as the leader of a term knows it.
#[derive(Debug)]
pub struct ClusterState {
    /// Jobs that are live, or still have tasks on machines.
    pub jobs: HashMap<JobId, Job>,
    /// Live jobs by arrival number.
    pub queue: BTreeMap<u64, JobId>,
    /// Known machines.
    pub machines: BTreeMap<MachineName, Machine>,
    /// Resources that each team uses.
    pub usage: Usage,
    /// Stored groups of placements, by number.
    pub groups: BTreeMap<u32, PlacementGroup>,
    /// Stored groups of bitmaps of done tasks, by number.
    pub done_groups: BTreeMap<u32, DoneTasksGroup>,
    /// Placements that are not stored yet, in the order in which they were decided.
    pub proposals: VecDeque<(MachineName, TaskId)>,
    /// Whether a proposed gang did not fit into the last transaction together with the other changes.
    pub gang_is_deferred: bool,
    /// Settled placements that are in no stored group.
    pub unstored_settlements: Vec<(MachineName, TaskId)>,
    /// Live jobs whose tasks are all done.
    pub completed_jobs: BTreeSet<JobId>,
    /// Images and their sizes in gigabytes on machines that this term doesn't know yet.
    pub stored_images: HashMap<MachineName, Vec<(String, f64)>>,
    /// Keys to remove when a transaction has capacity for it.
    pub stale_keys: Vec<StaleKey>,
}

impl ClusterState {
    /// An empty state.
    pub fn new(keys: HashKeys) -> ClusterState {
        ClusterState {
            jobs: keys.map(),
            queue: BTreeMap::new(),
            machines: BTreeMap::new(),
            usage: keys.map(),
            groups: BTreeMap::new(),
            done_groups: BTreeMap::new(),
            proposals: VecDeque::new(),
            gang_is_deferred: false,
            unstored_settlements: Vec::new(),
            completed_jobs: BTreeSet::new(),
            stored_images: keys.map(),
            stale_keys: Vec::new(),
        }
    }

    /// The hash keys of its maps.
    pub fn hash_keys(&self) -> HashKeys {
        *self.jobs.hasher()
    }

    /// Whether any task waits for a machine.
    pub fn has_waiting_tasks(&self) -> bool {
        self.queue.values().filter_map(|id| self.jobs.get(id)).any(|job| job.waiting_tasks() > 0)
    }

    /// A machine by name, added if it is not known yet.
    pub fn machine_entry(&mut self, name: &MachineName, now: u64) -> &mut Machine {
        if !self.machines.contains_key(name) {
            let mut machine = Machine::new(name.clone(), now);
            machine.images = self.stored_images.remove(name).unwrap_or_default();
            self.machines.insert(name.clone(), machine);
        }
        self.machines.get_mut(name).expect("inserted above if it was missing")
    }

    /// The placement of a task on a machine, settled or not.
    pub(crate) fn placement(&self, machine: &MachineName, id: &TaskId) -> Option<&Placement> {
        self.machines.get(machine)?.placements.get(id)
    }

    /// Mutable access to the placement of a task on a machine, settled or not.
    pub(crate) fn placement_mut(
        &mut self,
        machine: &MachineName,
        id: &TaskId,
    ) -> Option<&mut Placement> {
        self.machines.get_mut(machine)?.placements.get_mut(id)
    }

    /// Unsettled placements of a job.
    pub fn placements_of<'a>(&'a self, job: &'a Job) -> impl Iterator<Item = &'a Placement> {
        job.placed_on.iter().filter_map(|(index, machine)| {
            self.placement(machine, &TaskId::new(job.id.clone(), *index))
        })
    }

    /// Whether a job is a service, whose tasks run until it is cancelled.
    pub fn is_service(&self, id: &str) -> bool {
        let spec = self.jobs.get(id).and_then(|job| job.spec.as_ref());
        spec.is_some_and(|spec| spec.kind == JobKind::Service)
    }
}

#[cfg(test)]
mod tests;
