//! Tests of [`super`], the module `gang`.

use crate::constants::STARVING_MS;
use crate::coordination::planner::tests::{gpus, job, machine, running, snapshot};
use crate::coordination::planner::{plan, JobOnMachine, JobView, MachineView, Plan, Snapshot};

/// A gang whose tasks take one GPU each.
fn gang(arrival: u64, tasks: u32, run_ms: u64) -> JobView {
    JobView { is_gang: true, waiting_tasks: tasks, ..job(arrival, 1, run_ms) }
}

/// A machine whose GPUs are all occupied until `until`.
fn occupied_machine(gpus: i64, until: u64) -> MachineView {
    let mut view = machine(gpus);
    view.running = (0..gpus).map(|_| running(until)).collect();
    view
}

/// Number of the job's tasks placed on each machine.
fn tasks_per_machine(plan: &Plan, job: usize, machines: usize) -> Vec<usize> {
    let on = |m| {
        plan.placements.iter().filter(|placed| (placed.job, placed.machine) == (job, m)).count()
    };
    (0..machines).map(on).collect()
}

#[test]
fn a_gang_is_placed_whole_or_not_at_all() {
    let fits = snapshot(vec![machine(2), machine(2)], vec![gang(1, 4, 5_000)]);
    assert_eq!(tasks_per_machine(&plan(&fits), 0, 2), vec![2, 2]);
    let large = snapshot(vec![machine(2), machine(2)], vec![gang(1, 5, 5_000)]);
    assert!(plan(&large).placements.is_empty());
    assert_eq!(plan(&large).unplaced, vec![5]);
}

#[test]
fn a_gang_is_placed_on_as_few_machines_as_possible() {
    let machines = vec![machine(2), machine(1), machine(4), machine(8)];
    let cluster = snapshot(machines, vec![gang(1, 4, 5_000)]);
    assert_eq!(
        tasks_per_machine(&plan(&cluster), 0, 4),
        vec![0, 0, 4, 0],
        "the fullest machine of those with capacity for all tasks"
    );
}

#[test]
fn a_gang_uses_a_machine_where_it_failed_only_if_it_needs_it_and_may_be_tried_there() {
    let avoiding = |tasks, retryable_machines| JobView {
        avoided_machines: vec![0],
        retryable_machines,
        ..gang(1, tasks, 5_000)
    };
    let machines = || vec![machine(4), machine(2), machine(2)];
    let placed = |job| tasks_per_machine(&plan(&snapshot(machines(), vec![job])), 0, 3);
    assert_eq!(placed(avoiding(4, vec![0])), vec![0, 2, 2], "it fits elsewhere");
    assert_eq!(placed(avoiding(6, vec![])), vec![0, 0, 0], "the backoff lasts");
    assert_eq!(placed(avoiding(6, vec![0])).iter().sum::<usize>(), 6);
    let busy = vec![occupied_machine(4, 10_000), machine(2)];
    let decided = plan(&snapshot(busy, vec![avoiding(6, vec![0])]));
    assert_eq!(decided.reservation.map(|reserved| reserved.start_ms), Some(10_000));
}

#[test]
fn a_gang_goes_where_its_image_is_cached_and_the_next_heartbeat_is_soon() {
    let (mut without_image, mut late_heartbeat, soon_heartbeat) =
        (machine(4), machine(4), machine(4));
    without_image.images.clear();
    late_heartbeat.next_heartbeat_ms = 3_000;
    let cluster =
        snapshot(vec![without_image, late_heartbeat, soon_heartbeat], vec![gang(1, 4, 5_000)]);
    assert_eq!(tasks_per_machine(&plan(&cluster), 0, 3), vec![0, 0, 4]);
}

#[test]
fn a_team_gets_a_whole_gang_within_its_limit_or_none() {
    let with_limit = |limit: i64| {
        let mut cluster = snapshot(vec![machine(8)], vec![gang(1, 4, 5_000)]);
        cluster.teams[0].used = gpus(2);
        cluster.teams[0].limit = gpus(limit);
        plan(&cluster).placements.len()
    };
    assert_eq!((with_limit(5), with_limit(6)), (0, 4));
}

/// Four machines with two GPUs each, in two zones.
fn two_zones(change: impl Fn(&mut JobView)) -> Snapshot {
    let mut machines = vec![machine(2), machine(2), machine(2), machine(2)];
    machines[1].zone = 1;
    machines[3].zone = 1;
    let mut large = gang(1, 4, 5_000);
    large.tasks_per_zone = vec![0, 0];
    change(&mut large);
    snapshot(machines, vec![large])
}

#[test]
fn a_gang_stays_in_one_zone_or_spreads_as_required() {
    let one = plan(&two_zones(|gang| gang.one_zone = true));
    assert!([vec![2, 0, 2, 0], vec![0, 2, 0, 2]].contains(&tasks_per_machine(&one, 0, 4)));
    let spread = tasks_per_machine(&plan(&two_zones(|gang| gang.max_tasks_per_zone = 2)), 0, 4);
    assert_eq!((spread[0] + spread[2], spread[1] + spread[3]), (2, 2));
    let bound = plan(&two_zones(|gang| {
        gang.zone = Some(1);
        gang.max_tasks_per_zone = 2;
    }));
    assert!(bound.placements.is_empty(), "only half of its tasks may be in one zone");
}

#[test]
fn a_job_that_would_delay_the_reservation_of_a_gang_is_not_backfilled() {
    // Four GPUs become free in 10 s. One more is free now, and only a job that ends before that may
    // use it.
    let machines = vec![occupied_machine(2, 10_000), occupied_machine(2, 10_000), machine(1)];
    let jobs = vec![gang(1, 5, 60_000), job(2, 1, 60_000), job(3, 1, 5_000)];
    let decided = plan(&snapshot(machines, jobs));
    assert_eq!(decided.placements, vec![JobOnMachine { job: 2, machine: 2 }]);
    assert_eq!(
        decided.reservation.map(|reserved| (reserved.job, reserved.start_ms)),
        Some((0, 10_000))
    );
    assert_eq!(decided.expected_wait_ms[0], vec![10_000; 5]);
}

#[test]
fn a_gang_that_starves_behind_jobs_that_meet_their_deadlines_gets_the_reservation() {
    let waited = |waited_ms| {
        let mut late = gang(9, 2, 60_000);
        late.waited_ms = waited_ms;
        // The gang can't meet its deadline any more; the others can.
        late.due_in_ms = vec![0];
        let mut others: Vec<JobView> = (1..5).map(|n| job(n, 1, 30_000)).collect();
        others.iter_mut().for_each(|other| other.due_in_ms = vec![500_000]);
        others.push(late);
        let mut half = machine(2);
        half.running = vec![running(8_000)];
        plan(&snapshot(vec![half], others))
    };
    assert_eq!(
        waited(1_000).placements,
        vec![JobOnMachine { job: 0, machine: 0 }],
        "the first of the other jobs"
    );
    let starving = waited(STARVING_MS);
    assert!(starving.placements.is_empty(), "{:?}", starving.placements);
    assert_eq!(starving.reservation.map(|reserved| reserved.job), Some(4));
}

#[test]
fn a_gang_whose_starts_would_be_too_far_apart_is_not_placed() {
    let waits = |gang_wait_ms| {
        let mut without_image = machine(2);
        without_image.images.clear();
        let mut cluster = snapshot(vec![machine(2), without_image], vec![gang(1, 4, 5_000)]);
        cluster.gang_wait_ms = gang_wait_ms;
        plan(&cluster).placements.len()
    };
    // Fetching the image takes 20 s.
    assert_eq!((waits(60_000), waits(10_000)), (4, 0));
}
