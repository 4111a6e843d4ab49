//! Tests of [`super`], the module `deadline_triage`.

use super::super::planner::tests::{gpus, job, machine, running, snapshot};
use super::*;

/// What the jobs of these sizes miss on four slots, where each task runs for 10 s.
fn missed_by(sizes: &[u32], times: &[u64]) -> Vec<usize> {
    let jobs = sizes.iter().enumerate().map(|(n, size)| {
        let mut j = job(n as u64, 1, 10_000);
        j.waiting_tasks = *size;
        j.due_in_ms = times.to_vec();
        j
    });
    let s = snapshot(vec![machine(4)], jobs.collect());
    let order: Vec<usize> = (0..sizes.len()).collect();
    missed_deadlines(&s, &order, &gpus(4))
}

#[test]
fn the_largest_gives_way_where_not_all_can_be_in_time() {
    // Ten tasks take 25 s on four slots, and the last one runs for 10 s.
    assert_eq!(missed_by(&[4, 4, 2], &[40_000]), vec![0, 0, 0]);
    assert_eq!(missed_by(&[4, 20, 4, 4], &[40_000]), vec![0, 1, 0, 0]);
    assert_eq!(missed_by(&[4, 20, 4, 4], &[40_000, 95_000]), vec![0, 1, 0, 0], "the next time");
    assert_eq!(missed_by(&[4, 20, 4, 4], &[40_000, 50_000]), vec![0, 2, 0, 0]);
    assert_eq!(missed_by(&[40, 4], &[9_000]), vec![1, 1], "nobody can, and nobody gives way");
    assert_eq!(missed_by(&[40, 4], &[]), vec![0, 0], "nothing to miss");
}

#[test]
fn services_take_their_part_and_machines_on_their_way_add_theirs() {
    let mut j = job(1, 1, 10_000);
    j.waiting_tasks = 8;
    j.due_in_ms = vec![35_000];
    let mut m = machine(4);
    m.running = vec![running(90_000), running(90_000)];
    m.running.iter_mut().for_each(|r| r.is_service = true);
    let mut s = snapshot(vec![m], vec![j]);
    assert_eq!(missed_deadlines(&s, &[0], &gpus(4)), vec![1], "eight tasks on two slots take 40 s");
    s.booting = vec![(5_000, gpus(4))];
    assert_eq!(missed_deadlines(&s, &[0], &gpus(4)), vec![0]);
}
