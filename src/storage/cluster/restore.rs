//! Restores the leader's state from the replica of the store when a term begins.

use super::ClusterState;
use crate::storage::done_tasks_group::DoneTasksGroup;
use crate::storage::hashing::HashMap;
use crate::storage::job::PlacedTask;
use crate::storage::machine::{AttemptId, MachineState, Placement, PlacementPhase, TaskId};
use crate::storage::placement_group::PlacementGroup;
use crate::storage::records::{
    parse_chunk_name, DoneTasksRecord, JobId, JobStage, MachineName, PlacementsRecord,
};
use crate::storage::replica::{Replica, Versioned};

/// Placed tasks by job.
type PlacedTasks = HashMap<JobId, Vec<PlacedTask>>;

impl ClusterState {
    /// Builds the state at the start of a term. The task of every placement is assumed to run.
    pub fn from_replica(replica: &Replica, now: u64) -> ClusterState {
        let mut cluster = ClusterState::new(replica.hash_keys());
        cluster.restore_images(replica);
        let mut placed: PlacedTasks = replica.hash_keys().map();
        for (number, record) in &replica.placement_groups {
            cluster.restore_placement_group(*number, record, &mut placed, now);
        }
        for (id, job) in &replica.jobs {
            let placed_tasks = placed.get(id).map_or(&[][..], |tasks| tasks);
            if job.value.stage == JobStage::Live || !placed_tasks.is_empty() {
                cluster.add_job(replica, id, placed_tasks);
            }
        }
        for (number, record) in &replica.done_groups {
            cluster.restore_done_group(*number, record);
        }
        cluster.stop_incomplete_gangs();
        cluster
    }

    /// Keeps the stored images of each machine until [`ClusterState::machine_entry`] adds the machine.
    fn restore_images(&mut self, replica: &Replica) {
        for part in replica.images.values() {
            for (machine, held) in &part.value.held {
                let images = held.iter().filter_map(|i| part.value.images.get(*i).cloned());
                self.stored_images.insert(machine.as_str().into(), images.collect());
            }
        }
    }

    /// Restores a group and its placements, and adds the placed tasks to `placed`. If the store has two
    /// placements of a task on the same machine, the one read first is kept, and the other is marked for
    /// removal from its group.
    fn restore_placement_group(
        &mut self,
        number: u32,
        record: &Versioned<PlacementsRecord>,
        placed: &mut PlacedTasks,
        now: u64,
    ) {
        let mut group = PlacementGroup::new(record.mod_revision);
        for stored in record.value.placements() {
            let id = TaskId::new(stored.job_id(), stored.index);
            let machine: MachineName = stored.machine.into();
            let attempt = AttemptId::new(id.clone(), stored.attempt);
            // The additional byte is the space that separates the texts of two placements.
            let bytes = attempt.stored_text(stored.machine).unwrap_or_default().len() + 1;
            group.insert(attempt.clone(), machine.clone(), bytes);
            if self.restore_placement(&machine, &id, stored.attempt, number, now) {
                let task = PlacedTask { index: id.index, machine };
                placed.entry(id.job).or_default().push(task);
            } else {
                log::error!("placement duplicated: {id} is stored twice on {machine}");
                group.settled.insert(attempt);
            }
        }
        self.groups.insert(number, group);
    }

    /// Adds a stored placement to its machine; false if the machine has another attempt of the task.
    fn restore_placement(
        &mut self,
        machine: &MachineName,
        id: &TaskId,
        attempt: u64,
        group: u32,
        now: u64,
    ) -> bool {
        let machine = self.machine_entry(machine, now);
        machine.state = MachineState::AwaitingHeartbeat;
        if machine.placements.contains_key(id) {
            return false;
        }
        let mut placement = Placement::new(attempt, PlacementPhase::Committed, now);
        placement.group = Some(group);
        machine.placements.insert(id.clone(), placement);
        true
    }

    /// Restores which chunks of the bitmaps of live jobs a group holds. [`Replica::done_bitmap`] reads the
    /// bitmaps themselves.
    fn restore_done_group(&mut self, number: u32, record: &Versioned<DoneTasksRecord>) {
        let mut group = DoneTasksGroup::new(record.mod_revision);
        for (id, chunk) in record.value.bits.keys().filter_map(|name| parse_chunk_name(name)) {
            let Some(job) = self.jobs.get_mut(id).filter(|job| job.is_live()) else { continue };
            job.chunk_groups.insert(chunk, number);
            group.insert(job.id.clone(), chunk, job.chunk_bytes(chunk));
        }
        self.done_groups.insert(number, group);
    }
}

#[cfg(test)]
mod tests;
