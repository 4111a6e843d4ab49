//! Tests of [`super`], the module `cluster::gangs`.

use super::*;
use crate::protocol::state::raw_json;
use crate::protocol::users::JobKind;
use crate::storage::hashing::HashKeys;
use crate::storage::machine::AttemptId;
use crate::storage::records::{
    gang_batch_key, job_end_key, placements_key, JobEndRecord, JobStage, PlacementsRecord,
    StoredPlacement,
};
use crate::storage::replica::Replica;
use crate::storage::testing::batch_of;
use std::rc::Rc;

/// A replica with one gang, job-1, whose first tasks are placed on two machines with attempt 7.
fn replica(tasks: u32, placed: u32) -> Replica {
    let mut batch = batch_of("job-1", tasks);
    let spec = Rc::make_mut(&mut batch.jobs[0]);
    spec.kind = JobKind::Gang;
    let mut replica = Replica::new(HashKeys::from_seed(1));
    replica.write(&gang_batch_key("a"), &raw_json(&batch), 3);
    let text =
        |n| StoredPlacement::text("job-1", n, ["n-a", "n-b"][n as usize % 2], 7).expect("a text");
    let tasks: Vec<String> = (0..placed).map(text).collect();
    replica.write(&placements_key(0), &raw_json(&PlacementsRecord { tasks: tasks.join(" ") }), 4);
    replica
}

fn job_id() -> JobId {
    "job-1".into()
}

fn stop_reasons(cluster: &ClusterState) -> Vec<Option<StopReason>> {
    let machines = cluster.machines.values();
    machines.flat_map(|m| m.placements.values()).map(|p| p.stop_reason).collect()
}

/// Settles a task and, if `stored`, reports the settlement as committed.
fn settle(cluster: &mut ClusterState, task: u32, cause: EndCause, stored: bool) {
    let machine = cluster.jobs[&job_id()].placed_on[&task].clone();
    let id = TaskId::new(job_id(), task);
    let attempt = cluster.machines[&machine].placements[&id].attempt;
    cluster.settle(&machine, &id, cause);
    if stored {
        cluster.on_settlement_committed(&machine, &AttemptId::new(id, attempt));
    }
}

#[test]
fn a_completely_stored_gang_continues_and_an_incomplete_one_is_stopped() {
    let complete = ClusterState::from_replica(&replica(4, 4), 0);
    assert_eq!(stop_reasons(&complete), vec![None; 4]);
    let incomplete = ClusterState::from_replica(&replica(4, 3), 0);
    assert_eq!(stop_reasons(&incomplete), vec![Some(StopReason::NotNeeded); 3]);
}

#[test]
fn the_next_attempt_waits_until_all_settlements_of_the_last_one_are_committed() {
    let mut cluster = ClusterState::from_replica(&replica(2, 2), 0);
    assert_eq!(cluster.jobs[&job_id()].waiting_tasks(), 0);
    settle(&mut cluster, 0, EndCause::Lost, true);
    assert_eq!(cluster.jobs[&job_id()].waiting_tasks(), 0, "one task is left");
    assert_eq!(stop_reasons(&cluster), vec![Some(StopReason::NotNeeded)]);
    settle(&mut cluster, 1, EndCause::MatesGone, false);
    assert_eq!(cluster.jobs[&job_id()].waiting_tasks(), 0, "the settlement is not committed yet");
    let machines: Vec<MachineName> = vec!["n-a".into(), "n-b".into()];
    assert!(!cluster.propose_gang(&job_id(), &machines, 8, 0));
    let last_machine: MachineName = "n-b".into();
    cluster.on_settlement_committed(&last_machine, &AttemptId::new(TaskId::new(job_id(), 1), 7));
    assert_eq!(cluster.jobs[&job_id()].waiting_tasks(), 2);
    assert!(!cluster.propose_gang(&job_id(), &machines[..1], 8, 0), "too few machines");
    assert!(cluster.propose_gang(&job_id(), &machines, 8, 0));
    assert_eq!(cluster.jobs[&job_id()].placed_on.len(), 2);
    assert_eq!(cluster.gang_phase(&cluster.jobs[&job_id()]), GangPhase::Storing);
}

#[test]
fn a_done_task_marks_all_tasks_of_its_gang_as_done() {
    let mut cluster = ClusterState::from_replica(&replica(4, 4), 0);
    settle(&mut cluster, 2, EndCause::Done, false);
    assert!(cluster.jobs[&job_id()].is_complete());
    assert!(cluster.completed_jobs.contains(&job_id()));
    settle(&mut cluster, 0, EndCause::Lost, false);
    assert!(cluster.jobs[&job_id()].is_complete(), "a later loss changes nothing");
}

#[test]
fn an_eviction_is_kept_when_the_first_task_has_saved() {
    let mut cluster = ClusterState::from_replica(&replica(4, 4), 0);
    cluster.stop_gang(&job_id(), StopReason::Eviction);
    settle(&mut cluster, 1, EndCause::Halted, true);
    assert_eq!(stop_reasons(&cluster), vec![Some(StopReason::Eviction); 3]);
}

#[test]
fn a_cancelled_gang_is_stopped_and_removed() {
    let mut replica = replica(2, 2);
    let mut cluster = ClusterState::from_replica(&replica, 0);
    let end = JobEndRecord { at: 0, stage: JobStage::Cancelled, tasks: 2, done: 0 };
    replica.write(&job_end_key("job-1"), &raw_json(&end), 9);
    cluster.on_job_changed(&replica, &job_id(), 0);
    assert_eq!(stop_reasons(&cluster), vec![Some(StopReason::NotNeeded); 2]);
    settle(&mut cluster, 0, EndCause::Halted, true);
    settle(&mut cluster, 1, EndCause::Halted, true);
    assert!(!cluster.jobs.contains_key(&job_id()));
    let held = |m: &MachineName| {
        cluster.machines[m].placements.values().any(|p| p.phase != PlacementPhase::Proposed)
    };
    assert!(!held(&"n-a".into()) && !held(&"n-b".into()));
}
