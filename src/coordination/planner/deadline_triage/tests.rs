//! Tests of [`super`], the module `deadline_triage`.

use super::super::tests::{gpus, job, machine, running, snapshot};
use super::*;

/// The deadlines missed by jobs of these numbers of tasks, on four slots and with 10 s per task.
fn missed_by(sizes: &[u32], deadlines: &[u64]) -> Vec<usize> {
    let jobs = sizes.iter().enumerate().map(|(n, size)| {
        let mut pending = job(n as u64, 1, 10_000);
        pending.waiting_tasks = *size;
        pending.due_in_ms = deadlines.to_vec();
        pending
    });
    let cluster = snapshot(vec![machine(4)], jobs.collect());
    let order: Vec<usize> = (0..sizes.len()).collect();
    missed_deadlines(&cluster, &order, &gpus(4))
}

#[test]
fn the_largest_job_is_dropped_if_not_all_can_meet_their_deadlines() {
    // Ten tasks take 25 s on four slots, and the last one runs for 10 s.
    assert_eq!(missed_by(&[4, 4, 2], &[40_000]), vec![0, 0, 0]);
    assert_eq!(missed_by(&[4, 20, 4, 4], &[40_000]), vec![0, 1, 0, 0]);
    assert_eq!(
        missed_by(&[4, 20, 4, 4], &[40_000, 95_000]),
        vec![0, 1, 0, 0],
        "it meets its next deadline"
    );
    assert_eq!(missed_by(&[4, 20, 4, 4], &[40_000, 50_000]), vec![0, 2, 0, 0]);
    assert_eq!(
        missed_by(&[40, 4], &[9_000]),
        vec![1, 1],
        "none can, and none is dropped for another"
    );
    assert_eq!(missed_by(&[40, 4], &[]), vec![0, 0], "no deadlines to miss");
}

#[test]
fn capacity_is_reduced_by_services_and_increased_by_booting_machines() {
    let mut pending = job(1, 1, 10_000);
    pending.waiting_tasks = 8;
    pending.due_in_ms = vec![35_000];
    let mut view = machine(4);
    view.running = vec![running(90_000), running(90_000)];
    view.running.iter_mut().for_each(|r| r.is_service = true);
    let mut cluster = snapshot(vec![view], vec![pending]);
    assert_eq!(
        missed_deadlines(&cluster, &[0], &gpus(4)),
        vec![1],
        "eight tasks on two slots take 40 s"
    );
    cluster.booting = vec![BootingMachine { ready_in_ms: 5_000, total: gpus(4) }];
    assert_eq!(missed_deadlines(&cluster, &[0], &gpus(4)), vec![0]);
}
