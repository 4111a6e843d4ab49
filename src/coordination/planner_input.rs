//! The planner's input: a [`Snapshot`] of the cluster, with the names behind its indices.
//!
//! Machines, jobs, teams, zones, machine types and images become indices here, so that the planner
//! does not depend on the leader's state. Nothing here changes that state or decides anything.

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

/// A snapshot with the names behind its indices.
pub(crate) struct PlannerInput {
    /// What the planner looks at.
    pub snapshot: Snapshot,
    /// Names of the snapshot's jobs.
    pub jobs: Vec<JobId>,
    /// Names of the snapshot's machines.
    pub machines: Vec<MachineName>,
    /// The tasks behind the handles of the running tasks, by machine.
    pub handles: Vec<Vec<TaskId>>,
    /// Names of the zones.
    pub zones: Vec<String>,
}

impl PlannerInput {
    /// Describes the cluster as the leader knows it now.
    pub(super) fn of_cluster(
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
        builder.add_open_machines();
        builder.add_waiting_jobs();
        builder.add_teams();
        builder.add_previous_reservation();
        builder.input
    }
}

/// An input under construction, with what all its parts are made from.
struct InputBuilder<'a> {
    leader: &'a Leader,
    cluster: &'a ClusterState,
    settings: &'a Platform,
    operator: &'a Operator,
    catalog: &'a Catalog,
    clock: Clock,
    now_ms: u64,
    /// Milliseconds without a sign of life after which a machine counts as silent.
    silent_ms: u64,
    indices: Indices<'a>,
    /// Indices of the machines that may get tasks.
    machine_indices: HashMap<&'a MachineName, usize>,
    /// What all placements of a job share: worked out once a job, not once a placement.
    placed_jobs: HashMap<&'a JobId, Option<PlacedJob>>,
    input: PlannerInput,
}

impl InputBuilder<'_> {
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
