//! Builds the planner's input: a [`Snapshot`] of the cluster, with the names that its indices stand for.
//!
//! The snapshot refers to machines, jobs, teams, zones, machine types and images by index, so that the
//! planner does not depend on the leader's state. This module only reads that state.

mod indices;
mod jobs;
mod machines;
mod placements;

use super::planner::{JobOnMachine, Snapshot};
use super::{Clock, Leader};
use crate::constants::MS_PER_S;
use crate::protocol::cloud::Catalog;
use crate::settings::{Operator, Platform};
use crate::storage::cluster::ClusterState;
use crate::storage::hashing::HashMap;
use crate::storage::machine::TaskId;
use crate::storage::records::{JobId, MachineName};
use indices::Indices;
use placements::PlacedJob;

/// A snapshot with the names that its indices stand for.
pub(crate) struct PlannerInput {
    /// The planner's view of the cluster.
    pub snapshot: Snapshot,
    /// Ids of the snapshot's jobs, by index.
    pub jobs: Vec<JobId>,
    /// Names of the snapshot's machines, by index.
    pub machines: Vec<MachineName>,
    /// For each machine, the tasks that the handles of its running tasks stand for.
    pub handles: Vec<Vec<TaskId>>,
    /// Names of the zones, by index.
    pub zones: Vec<String>,
}

impl PlannerInput {
    /// Builds the input from the leader's present state.
    pub(super) fn from_leader(
        leader: &Leader,
        settings: &Platform,
        operator: &Operator,
        catalog: &Catalog,
        clock: Clock,
    ) -> PlannerInput {
        let indices = Indices::new(settings, catalog, leader.cluster.hash_keys());
        let mut builder = InputBuilder {
            leader,
            cluster: &leader.cluster,
            settings,
            operator,
            catalog,
            clock,
            now_ms: clock.monotonic_ms,
            silent_ms: settings.params.workers.silent_ms(),
            input: PlannerInput {
                snapshot: Snapshot::default(),
                jobs: Vec::new(),
                machines: Vec::new(),
                handles: Vec::new(),
                zones: indices.zone_names(),
            },
            indices,
            machine_indices: leader.cluster.hash_keys().map(),
            placed_jobs: leader.cluster.hash_keys().map(),
        };
        builder.input.snapshot.now_ms = clock.monotonic_ms;
        builder.input.snapshot.thresholds = operator.thresholds.clone();
        builder.input.snapshot.gang_wait_ms =
            (settings.params.workers.gang_wait_s * MS_PER_S) as u64;
        builder.add_booting_machines();
        builder.add_schedulable_machines();
        builder.add_waiting_jobs();
        builder.add_teams();
        builder.add_previous_reservation();
        builder.input
    }
}

/// A planner input under construction, with the data that it is built from.
struct InputBuilder<'a> {
    leader: &'a Leader,
    cluster: &'a ClusterState,
    settings: &'a Platform,
    operator: &'a Operator,
    catalog: &'a Catalog,
    clock: Clock,
    now_ms: u64,
    /// Milliseconds without a heartbeat after which a machine counts as silent.
    silent_ms: u64,
    indices: Indices<'a>,
    /// Indices of the schedulable machines.
    machine_indices: HashMap<&'a MachineName, usize>,
    /// Data common to all placements of a job, computed once for each job.
    placed_jobs: HashMap<&'a JobId, Option<PlacedJob>>,
    input: PlannerInput,
}

impl InputBuilder<'_> {
    /// Adds the reservation of the last pass, if its job and machine are still in the snapshot.
    fn add_previous_reservation(&mut self) {
        let input = &mut self.input;
        input.snapshot.previous_reservation =
            self.leader.reservation.as_ref().and_then(|(job, machine)| {
                let job = input.jobs.iter().position(|listed| listed == job)?;
                let machine = input.machines.iter().position(|listed| listed == machine)?;
                Some(JobOnMachine { job, machine })
            });
    }
}

#[cfg(test)]
mod tests;
