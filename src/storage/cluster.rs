//! The leader's state of the cluster: jobs, machines, placements and what teams use.
//!
//! A task has at most one placement that is not settled; a placement counts for place and quota
//! until evidence settles it, and what settled it is committed before anything else is done with
//! the task. Nothing here talks to the state service or to machines: the state is told what happened.
//!
//! `restore` builds it from the store when a term begins, `jobs` follows jobs from acceptance to end,
//! `placements` is the life cycle of a placement, `adoption` finds a place for tasks that run
//! unrecorded, `gangs` holds for tasks that run together, `resources` adds up what is used and free.

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

/// A key of the store that nobody needs any more.
#[derive(Debug, Clone)]
pub struct StaleKey {
    /// The key.
    pub key: String,
    /// Revision of its last change when it was found.
    pub mod_revision: u64,
}

/// The state of the cluster, as the leader of a term sees it.
#[derive(Debug)]
pub struct ClusterState {
    /// Jobs that are live, or still have tasks on machines.
    pub jobs: HashMap<JobId, Job>,
    /// Live jobs by arrival.
    pub queue: BTreeMap<u64, JobId>,
    /// Machines that are known.
    pub machines: BTreeMap<MachineName, Machine>,
    /// What each team uses.
    pub usage: Usage,
    /// Stored groups of placements, by number.
    pub groups: BTreeMap<u32, PlacementGroup>,
    /// Stored groups of bitmaps, by number.
    pub done_groups: BTreeMap<u32, DoneTasksGroup>,
    /// Placements that wait to be stored, in the order decided.
    pub proposals: VecDeque<(MachineName, TaskId)>,
    /// A gang among the proposals did not fit into the last commit beside other changes.
    pub gang_is_deferred: bool,
    /// Placements that ended without being in any group.
    pub unstored_settlements: Vec<(MachineName, TaskId)>,
    /// Live jobs whose tasks are all done.
    pub completed_jobs: BTreeSet<JobId>,
    /// Images, with their size in gigabytes, on machines that are not known yet in this term.
    pub stored_images: HashMap<MachineName, Vec<(String, f64)>>,
    /// Keys to remove when there is room in a commit.
    pub stale_keys: Vec<StaleKey>,
}

impl ClusterState {
    /// A cluster of which nothing is known yet.
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

    /// The keys of its hash maps.
    pub fn hash_keys(&self) -> HashKeys {
        *self.jobs.hasher()
    }

    /// Whether any task waits for a machine.
    pub fn has_waiting_tasks(&self) -> bool {
        self.queue.values().filter_map(|id| self.jobs.get(id)).any(|job| job.waiting() > 0)
    }

    /// A machine by name, made if it is new.
    pub fn machine_entry(&mut self, name: &MachineName, now: u64) -> &mut Machine {
        if !self.machines.contains_key(name) {
            let mut machine = Machine::new(name.clone(), now);
            machine.images = self.stored_images.remove(name).unwrap_or_default();
            self.machines.insert(name.clone(), machine);
        }
        self.machines.get_mut(name).expect("inserted above if it was missing")
    }

    /// A task's placement on a machine, settled or not.
    pub(crate) fn placement(&self, machine: &MachineName, id: &TaskId) -> Option<&Placement> {
        self.machines.get(machine)?.placements.get(id)
    }

    /// The same, to be changed.
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

    /// Whether a job's tasks run until it is cancelled.
    pub fn is_service(&self, id: &str) -> bool {
        let spec = self.jobs.get(id).and_then(|job| job.spec.as_ref());
        spec.is_some_and(|spec| spec.kind == JobKind::Service)
    }
}

#[cfg(test)]
mod tests;
