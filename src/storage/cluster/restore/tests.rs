//! Tests of [`super`], the module `cluster::restore`.

use super::*;
use crate::protocol::state::raw_json;
use crate::storage::hashing::HashKeys;
use crate::storage::machine::AttemptId;
use crate::storage::machine::StopReason;
use crate::storage::records::StoredPlacement;
use crate::storage::records::{
    batch_key, chunk_name, done_tasks_key, images_key, placements_key, ImagesRecord,
};
use crate::storage::testing::batch_of;

/// A replica with one job of three tasks, the last of which is done.
fn replica_with_a_job() -> Replica {
    let mut replica = Replica::new(HashKeys::from_seed(1));
    replica.write(&batch_key("a"), &raw_json(&batch_of("job-1", 3)), 3);
    let mut done = DoneTasksRecord::default();
    done.bits.insert(chunk_name("job-1", 0), "0000000000000004".to_string());
    replica.write(&done_tasks_key(2), &raw_json(&done), 4);
    replica
}

fn store_placement(replica: &mut Replica, group: u32, index: u32, machine: &str, attempt: u64) {
    let text = StoredPlacement::text("job-1", index, machine, attempt).expect("can be written");
    let record = PlacementsRecord { tasks: text };
    replica.write(&placements_key(group), &raw_json(&record), 5);
}

#[test]
fn of_two_stored_placements_of_a_task_on_a_machine_one_is_removed() {
    let mut replica = replica_with_a_job();
    store_placement(&mut replica, 0, 0, "n-a", 7);
    store_placement(&mut replica, 1, 0, "n-a", 8);
    let cluster = ClusterState::from_replica(&replica, 100);
    let id = TaskId::new("job-1".into(), 0);
    let placement = &cluster.machines["n-a"].placements[&id];
    assert_eq!((placement.attempt, placement.group), (7, Some(0)));
    assert!(cluster.groups[&0].settled.is_empty());
    assert!(cluster.groups[&1].settled.contains(&AttemptId::new(id, 8)));
    assert_eq!(cluster.jobs["job-1"].placed_on.len(), 1);
}

#[test]
fn unplaced_tasks_wait_and_a_placed_task_that_is_done_is_stopped() {
    let mut replica = replica_with_a_job();
    store_placement(&mut replica, 0, 2, "n-a", 7);
    let cluster = ClusterState::from_replica(&replica, 100);
    let job = &cluster.jobs["job-1"];
    assert_eq!((job.done_count, job.waiting_tasks(), job.next_waiting_task()), (1, 2, Some(0)));
    assert_eq!(job.chunk_groups.get(&0), Some(&2));
    let machine = &cluster.machines["n-a"];
    assert_eq!(machine.state, MachineState::AwaitingHeartbeat);
    let placement = &machine.placements[&TaskId::new("job-1".into(), 2)];
    assert_eq!(placement.stop_reason, Some(StopReason::NotNeeded));
}

#[test]
fn stored_images_are_assigned_once_their_machine_is_known() {
    let mut replica = replica_with_a_job();
    let mut record = ImagesRecord { images: vec![("img".into(), 1.5)], ..Default::default() };
    record.held.insert("n-b".into(), vec![0, 9]);
    replica.write(&images_key(0), &raw_json(&record), 5);
    let mut cluster = ClusterState::from_replica(&replica, 100);
    let machine = cluster.machine_entry(&"n-b".into(), 200);
    assert_eq!(
        machine.images,
        vec![("img".to_string(), 1.5)],
        "an index without an image is skipped"
    );
}
