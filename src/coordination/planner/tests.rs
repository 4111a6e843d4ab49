//! Tests of the planner on small hand-written snapshots and on random ones.

use super::*;
use crate::constants::{STARVING_MS, STARVING_STARTED_MS, THRESHOLDS};
use crate::protocol::users::Priority;
use crate::protocol::Resources;
use rand::{rngs::SmallRng, Rng, SeedableRng};

const GPU: Resources = Resources { cpu: 1_000, gpu: 1_000, ram: 0 };

pub(crate) fn gpus(n: i64) -> Resources {
    GPU * n
}

pub(crate) fn machine(n: i64) -> MachineView {
    MachineView {
        zone: 0,
        type_index: 0,
        spot: false,
        total: gpus(n),
        free_task_slots: 100,
        on_probation: false,
        running: vec![],
        images: vec![CachedImage::ready(0)],
        fetch_ms_per_gb: 4_000.0,
        next_heartbeat_ms: 0,
    }
}

pub(crate) fn running(end: u64) -> RunningTask {
    RunningTask {
        priority: Priority::Standard,
        team: Some(0),
        need: GPU,
        bandwidth: 0.0,
        end_ms: end,
        is_service: false,
        ran_ms: Some(60_000),
        keeps_progress: false,
        tasks_stopped: 1,
        is_stopping: false,
        stop_ms: 2_000,
        handle: 0,
    }
}

pub(crate) fn job(arrival: u64, n: i64, run_ms: u64) -> JobView {
    JobView {
        priority: Priority::Standard,
        team: 0,
        is_service: false,
        is_gang: false,
        arrival,
        waited_ms: 0,
        due_in_ms: vec![],
        within_guarantee: false,
        need: gpus(n),
        bandwidth: 0.0,
        run_ms,
        allowed_types: vec![true],
        zone: None,
        spot_allowed: true,
        tasks_per_zone: vec![0],
        max_tasks_per_zone: 100,
        one_zone: false,
        waiting_tasks: 1,
        has_started: false,
        image: 0,
        image_gb: 5.0,
        avoided_machines: vec![],
        retryable_machines: vec![],
    }
}

pub(crate) fn snapshot(machines: Vec<MachineView>, jobs: Vec<JobView>) -> Snapshot {
    Snapshot {
        now_ms: 0,
        thresholds: THRESHOLDS.to_vec(),
        machines,
        jobs,
        teams: vec![TeamView { share_permille: 1_000, ..TeamView::default() }],
        gang_wait_ms: 0,
        mean_boot_wait: MeanBootWait::default(),
        booting: vec![],
        previous_reservation: None,
    }
}

/// An image that is cached after `ready_in_ms`.
fn image_ready_in(image: usize, ready_in_ms: u64) -> CachedImage {
    CachedImage { image, ready_in_ms }
}

fn placed(job: usize, machine: usize) -> JobOnMachine {
    JobOnMachine { job, machine }
}

fn reserved(job: usize, machine: usize, start_ms: u64) -> Option<Reservation> {
    Some(Reservation { job, machine, start_ms })
}

#[test]
fn a_machine_where_the_job_failed_gets_one_task_and_only_if_no_other_can_start_it() {
    let mut view = JobView { waiting_tasks: 3, avoided_machines: vec![0], ..job(1, 1, 60_000) };
    let machines = || vec![machine(4), machine(1)];
    assert_eq!(plan(&snapshot(machines(), vec![view.clone()])).placements, vec![placed(0, 1)]);
    view.retryable_machines = vec![0];
    let decided = plan(&snapshot(machines(), vec![view.clone()]));
    assert_eq!(decided.placements, vec![placed(0, 1), placed(0, 0)]);
    assert_eq!(decided.unplaced, vec![1]);
    view.waiting_tasks = 1;
    assert_eq!(plan(&snapshot(machines(), vec![view])).placements, vec![placed(0, 1)]);
}

#[test]
fn a_machine_on_probation_gets_one_task_or_one_gang_in_a_pass() {
    let on_probation = || MachineView { on_probation: true, ..machine(4) };
    let array = JobView { waiting_tasks: 3, ..job(1, 1, 60_000) };
    let decided = plan(&snapshot(vec![on_probation()], vec![array.clone()]));
    assert_eq!(decided.placements, vec![placed(0, 0)]);
    let gang = JobView { is_gang: true, ..array };
    let decided = plan(&snapshot(vec![on_probation()], vec![gang.clone(), job(2, 1, 60_000)]));
    assert_eq!(decided.placements, vec![placed(0, 0); 3]);
}

#[test]
fn a_job_that_would_delay_the_reservation_is_not_backfilled() {
    let mut view = machine(4);
    view.running = vec![running(10_000), running(10_000)];
    // The head needs all four GPUs in 10 s. A job of 5 s fits in before that, one of 60 s doesn't.
    let jobs = vec![job(1, 4, 60_000), job(2, 1, 60_000), job(3, 1, 5_000)];
    let decided = plan(&snapshot(vec![view], jobs));
    assert_eq!(decided.reservation, reserved(0, 0, 10_000));
    assert_eq!(decided.placements, vec![placed(2, 0)]);
}

#[test]
fn a_reservation_stays_on_its_machine_when_estimates_change() {
    let (mut a, mut b) = (machine(1), machine(1));
    a.running = vec![running(12_000)];
    b.running = vec![running(10_000)];
    let mut cluster = snapshot(vec![a, b], vec![job(1, 1, 5_000)]);
    assert_eq!(plan(&cluster).reservation, reserved(0, 1, 10_000));
    cluster.previous_reservation = Some(placed(0, 0));
    assert_eq!(plan(&cluster).reservation, reserved(0, 0, 12_000));
    cluster.machines[1].running.clear();
    assert_eq!(plan(&cluster).placements, vec![placed(0, 1)], "free capacity is used at once");
}

#[test]
fn backfilling_is_ordered_by_penalty_factor_then_length() {
    let mut view = machine(4);
    view.running = vec![running(60_000), running(60_000)];
    view.running[0].bandwidth = 3.5;
    let mut bandwidth_heavy = job(2, 1, 1_000);
    bandwidth_heavy.bandwidth = 2.0;
    let jobs = vec![job(1, 4, 1_000), bandwidth_heavy, job(3, 1, 20_000), job(4, 1, 10_000)];
    let decided = plan(&snapshot(vec![view], jobs));
    assert_eq!(
        decided.placements,
        vec![placed(3, 0), placed(2, 0)],
        "without a penalty first, the shorter one of these before the other"
    );
}

#[test]
fn the_threshold_with_the_least_slowdown_decides_between_now_and_later() {
    // A start now exceeds the bandwidth by a half for 2 s, which costs 1 s; waiting would cost 2 s.
    let mut view = machine(2);
    view.running = vec![running(2_000)];
    view.running[0].bandwidth = 2.0;
    let mut pending = job(1, 1, 10_000);
    pending.bandwidth = 1.0;
    assert_eq!(plan(&snapshot(vec![view], vec![pending])).placements, vec![placed(0, 0)]);
    // A start now takes over five times the bandwidth for 9 s, which costs far more than waiting.
    let mut view = machine(2);
    view.running = vec![running(9_000)];
    view.running[0].bandwidth = 9.0;
    let mut pending = job(1, 1, 10_000);
    pending.bandwidth = 2.0;
    let decided = plan(&snapshot(vec![view], vec![pending]));
    assert_eq!(decided.reservation, reserved(0, 0, 9_000));
}

#[test]
fn tasks_do_not_all_wait_for_the_same_machine_that_holds_their_image() {
    // A machine that holds the image is free in 5 s; an empty machine would have to fetch it for 20
    // s.
    let mut with_image = machine(1);
    with_image.running = vec![running(5_000)];
    let mut without_image = machine(2);
    without_image.images = vec![];
    let mut pending = job(1, 1, 40_000);
    pending.waiting_tasks = 3;
    let decided = plan(&snapshot(vec![with_image, without_image], vec![pending]));
    assert_eq!(
        decided.placements,
        vec![placed(0, 1), placed(0, 1)],
        "one task waits, the others fetch the image"
    );
    assert_eq!(decided.expected_wait_ms[0], vec![5_000]);
}

#[test]
fn a_team_at_its_limit_is_skipped_and_does_not_block_others() {
    let mut cluster = snapshot(vec![machine(4)], vec![job(1, 1, 1_000), job(2, 1, 1_000)]);
    cluster.teams[0].limit.gpu = 1_000;
    cluster.teams[0].used = GPU;
    cluster.teams.push(TeamView { share_permille: 0, ..TeamView::default() });
    cluster.jobs[1].team = 1;
    assert_eq!(plan(&cluster).placements, vec![placed(1, 0)]);
}

#[test]
fn preemption_is_for_higher_priority_only_and_where_least_work_is_lost() {
    let mut view = machine(2);
    view.running = vec![running(90_000), running(90_000)];
    view.running[0].ran_ms = Some(80_000);
    view.running[1].ran_ms = Some(40_000);
    view.running[1].handle = 7;
    let mut cluster = snapshot(vec![view], vec![job(1, 1, 1_000)]);
    assert!(plan(&cluster).preemptions.is_empty(), "not for the same priority");
    cluster.jobs[0].priority = Priority::Production;
    assert_eq!(plan(&cluster).preemptions, vec![Preemption { machine: 0, handle: 7 }]);
    cluster.machines[0].running[1].is_stopping = true;
    cluster.machines[0].running[1].end_ms = 2_000;
    assert!(
        plan(&cluster).preemptions.is_empty(),
        "capacity of a task that is being stopped counts"
    );
}

#[test]
fn images_are_not_queued_on_one_machine_while_others_boot() {
    let mut view = machine(2);
    view.images = vec![image_ready_in(7, 30_000)];
    let mut cluster = snapshot(vec![view], vec![job(1, 1, 30_000)]);
    cluster.jobs[0].spot_allowed = false;
    cluster.mean_boot_wait = MeanBootWait { on_demand_ms: Some(10_000), spot_ms: Some(1_000) };
    assert!(
        plan(&cluster).placements.is_empty(),
        "an on-demand machine is up before the other image is cached"
    );
    cluster.mean_boot_wait.on_demand_ms = Some(40_000);
    assert_eq!(
        plan(&cluster).placements,
        vec![placed(0, 0)],
        "the on-demand machine is up only after that"
    );
    cluster.mean_boot_wait.on_demand_ms = Some(10_000);
    cluster.machines[0].images = vec![image_ready_in(0, 5_000), image_ready_in(7, 30_000)];
    assert_eq!(
        plan(&cluster).placements,
        vec![placed(0, 0)],
        "its own image is already being fetched"
    );
}

#[test]
fn a_task_starts_while_its_image_is_being_fetched_rather_than_after() {
    let mut view = machine(2);
    view.images = vec![image_ready_in(0, 20_000)];
    view.running = vec![running(10_000)];
    let decided = plan(&snapshot(vec![view], vec![job(1, 1, 30_000)]));
    assert_eq!(decided.placements, vec![placed(0, 0)]);
}

#[test]
fn no_preemption_where_the_task_would_wait_for_other_images() {
    let mut view = machine(1);
    view.images = vec![image_ready_in(7, 30_000)];
    view.running = vec![running(90_000)];
    let mut cluster = snapshot(vec![view], vec![job(1, 1, 30_000)]);
    cluster.jobs[0].priority = Priority::Production;
    cluster.mean_boot_wait = MeanBootWait { on_demand_ms: Some(10_000), spot_ms: None };
    assert!(plan(&cluster).preemptions.is_empty(), "it waits for the booting machine");
    cluster.mean_boot_wait = MeanBootWait { on_demand_ms: None, spot_ms: None };
    assert_eq!(plan(&cluster).preemptions.len(), 1);
}

#[test]
fn free_slots_go_by_priority_before_penalty_factor() {
    // A task that was preempted for a service must not take its slot again because its image is
    // cached and the service's is not: it would be preempted again in each pass,
    // thousands of times a minute.
    let mut without_image = machine(1);
    without_image.images = vec![];
    let mut cluster =
        snapshot(vec![without_image], vec![job(1, 8, 1_000), job(2, 1, 30_000), job(3, 1, 60_000)]);
    cluster.machines.push(machine(8));
    cluster.machines[1].running =
        vec![RunningTask { priority: Priority::Production, ..running(9_000) }; 8];
    cluster.jobs[0].priority = Priority::Production;
    cluster.jobs[1].priority = Priority::Production;
    cluster.jobs[1].image = 5;
    cluster.jobs[2].image = 6;
    cluster.jobs[2].image_gb = 0.1;
    assert_eq!(plan(&cluster).placements, vec![placed(1, 0)]);
}

#[test]
fn a_task_that_waits_for_preemption_is_not_placed_elsewhere() {
    // The image is cached on a machine that runs a task of lower priority; the free machine would
    // have to fetch it.
    let mut with_image = machine(1);
    with_image.running = vec![running(90_000)];
    with_image.running[0].keeps_progress = true;
    let mut free = machine(1);
    free.images = vec![];
    let mut pending = job(1, 1, 30_000);
    pending.priority = Priority::Production;
    let mut cluster = snapshot(vec![with_image, free], vec![pending]);
    let decided = plan(&cluster);
    assert_eq!(
        (decided.preemptions.len(), decided.placements.len()),
        (1, 0),
        "another task is preempted for it, and it waits"
    );
    cluster.machines[0].running[0].is_stopping = true;
    assert_eq!(plan(&cluster).placements, vec![], "it goes on waiting");
    cluster.machines[0].running.clear();
    assert_eq!(plan(&cluster).placements, vec![placed(0, 0)]);
}

#[test]
fn a_job_that_can_meet_its_deadline_goes_before_one_that_can_not() {
    let mut cluster = snapshot(vec![machine(1)], vec![job(1, 1, 1_000), job(2, 1, 1_000)]);
    cluster.jobs[0].due_in_ms = vec![500];
    assert_eq!(plan(&cluster).placements, vec![placed(1, 0)]);
}

#[test]
fn a_large_late_job_does_not_starve() {
    // A job with many tasks that can't meet its deadlines any more, behind jobs that can and jobs
    // of higher priority.
    let mut late = job(1, 1, 60_000);
    late.waiting_tasks = 100;
    late.due_in_ms = vec![0, 0];
    let mut higher = job(2, 1, 60_000);
    higher.priority = Priority::High;
    higher.waiting_tasks = 100;
    let mut cluster = snapshot(vec![machine(8)], vec![late, higher, job(3, 1, 1_000)]);
    assert!(
        plan(&cluster).placements.iter().all(|placed| placed.job != 0),
        "it is late and of lower priority"
    );
    cluster.jobs[0].waited_ms = STARVING_MS;
    let placements = plan(&cluster).placements;
    let tasks_of = |job: usize| placements.iter().filter(|placed| placed.job == job).count();
    assert_eq!((tasks_of(0), tasks_of(1)), (2, 6), "a part of the slots, not all of them");
    cluster.jobs[0].has_started = true;
    assert!(plan(&cluster).placements.iter().all(|placed| placed.job != 0), "it has started");
    cluster.jobs[0].waited_ms = STARVING_STARTED_MS;
    assert!(
        plan(&cluster).placements.iter().any(|placed| placed.job == 0),
        "it is starving again after a longer wait"
    );
}

#[test]
fn the_share_of_the_head_grows_by_what_others_leave_unused() {
    let mut cluster = snapshot(vec![machine(10)], vec![job(1, 3, 1_000)]);
    cluster.teams = vec![TeamView::default(), TeamView::default()];
    cluster.teams[0].used = gpus(4);
    cluster.teams[1].used = gpus(2);
    let shares = move_shares(&cluster, vec![]);
    assert_eq!(shares, vec![700, 300], "half each, and 200 moved to the team of the head");
    cluster.teams[1].used = gpus(5);
    assert_eq!(move_shares(&cluster, vec![500, 500]), vec![500, 500], "nothing is unused");
}

/// Number of zones in a random snapshot.
const ZONES: usize = 2;

fn random_priority(rng: &mut SmallRng) -> Priority {
    let priorities =
        [Priority::Production, Priority::High, Priority::Standard, Priority::BestEffort];
    priorities[rng.random_range(0..priorities.len())]
}

fn random_running_task(rng: &mut SmallRng, handle: usize) -> RunningTask {
    let mut task = running(rng.random_range(0..40) * 1_000);
    task.priority = random_priority(rng);
    task.team = Some(rng.random_range(0..2));
    task.bandwidth = f64::from(rng.random_range(0..3));
    task.is_service = rng.random_bool(0.2);
    task.ran_ms = rng.random_bool(0.8).then(|| rng.random_range(0..90_000));
    task.keeps_progress = rng.random_bool(0.5);
    task.is_stopping = rng.random_bool(0.1);
    task.handle = handle;
    task
}

fn random_machine(rng: &mut SmallRng) -> MachineView {
    let mut view = machine(rng.random_range(1..5));
    view.zone = rng.random_range(0..ZONES);
    view.spot = rng.random_bool(0.3);
    view.free_task_slots = rng.random_range(0..5);
    view.images =
        (0..3).map(|image| image_ready_in(image, rng.random_range(0..2) * 7_000)).collect();
    view.images.retain(|_| rng.random_bool(0.5));
    for handle in 0..rng.random_range(0..=view.total.gpu / 1_000) {
        view.running.push(random_running_task(rng, handle as usize));
    }
    view
}

fn random_job(rng: &mut SmallRng, arrival: u64) -> JobView {
    let mut view = job(arrival, rng.random_range(1..3), rng.random_range(1..60) * 1_000);
    view.priority = random_priority(rng);
    view.team = rng.random_range(0..2);
    view.within_guarantee = rng.random_bool(0.2);
    view.is_service = rng.random_bool(0.3);
    view.waited_ms = rng.random_range(0..2) * STARVING_MS;
    view.due_in_ms = if rng.random_bool(0.5) { vec![rng.random_range(0..90_000)] } else { vec![] };
    view.bandwidth = f64::from(rng.random_range(0..3));
    view.spot_allowed = rng.random_bool(0.7);
    view.zone = rng.random_bool(0.1).then(|| rng.random_range(0..ZONES));
    view.waiting_tasks = rng.random_range(1..9);
    view.tasks_per_zone = vec![rng.random_range(0..2), rng.random_range(0..2)];
    view.one_zone = rng.random_bool(0.2);
    view.max_tasks_per_zone = if rng.random_bool(0.3) { rng.random_range(1..5) } else { 100 };
    view.has_started = rng.random_bool(0.5);
    view.image = rng.random_range(0..4);
    view.image_gb = f64::from(rng.random_range(0..8));
    view.avoided_machines = if rng.random_bool(0.1) { vec![0] } else { vec![] };
    view
}

/// A small random snapshot that varies all properties of jobs and machines.
fn random_snapshot(rng: &mut SmallRng) -> Snapshot {
    let machines = (0..rng.random_range(1..9)).map(|_| random_machine(rng)).collect();
    let jobs = (0..rng.random_range(1..10)).map(|arrival| random_job(rng, arrival)).collect();
    let mut cluster = snapshot(machines, jobs);
    cluster.teams.push(TeamView { share_permille: 400, guarantee: gpus(2), ..TeamView::default() });
    cluster.teams[0].share_permille = 600;
    for team in &mut cluster.teams {
        team.used = gpus(rng.random_range(0..6));
        team.limit = if rng.random_bool(0.3) { gpus(rng.random_range(1..20)) } else { gpus(0) };
    }
    let mut boot_wait = || rng.random_bool(0.3).then(|| rng.random_range(0..20_000));
    cluster.mean_boot_wait = MeanBootWait { on_demand_ms: boot_wait(), spot_ms: boot_wait() };
    cluster.previous_reservation =
        rng.random_bool(0.3).then(|| placed(0, rng.random_range(0..cluster.machines.len())));
    cluster
}

#[test]
fn every_choice_on_random_snapshots_equals_that_of_the_reference() {
    // Each choice of an allocation is compared where it is made, see `reference`.
    let mut rng = SmallRng::seed_from_u64(11);
    let (mut placements, mut preemptions, mut reservations, mut expected_starts) = (0, 0, 0, 0);
    for _ in 0..8_000 {
        let plan = plan(&random_snapshot(&mut rng));
        placements += plan.placements.len();
        preemptions += plan.preemptions.len();
        reservations += usize::from(plan.reservation.is_some());
        expected_starts += plan.expected_wait_ms.iter().map(Vec::len).sum::<usize>();
    }
    assert!(placements > 10_000, "{placements} placements");
    assert!(preemptions > 1_000, "{preemptions} preemptions");
    assert!(reservations > 1_000, "{reservations} reservations");
    assert!(expected_starts > 5_000, "{expected_starts} tasks with an expected start");
}

#[test]
fn placing_the_tasks_of_a_job_does_not_examine_every_machine_for_each() {
    const MACHINES: usize = 200;
    let mut wide = job(1, 1, 30_000);
    wide.waiting_tasks = 60;
    let cluster = snapshot(vec![machine(4); MACHINES], vec![wide]);
    let decided = plan(&cluster);
    assert_eq!(decided.placements.len(), 60);
    assert!(
        decided.candidates_examined < MACHINES as u64 + 2 * 60,
        "{} candidates examined",
        decided.candidates_examined
    );
    // All machines are occupied: each of the tasks waits for a different slot.
    let mut full = cluster;
    for view in &mut full.machines {
        view.running = vec![running(20_000); 4];
    }
    let decided = plan(&full);
    assert!(decided.expected_wait_ms[0].len() > 50);
    assert!(
        decided.candidates_examined < 3 * MACHINES as u64 + 4 * 60,
        "{} candidates examined",
        decided.candidates_examined
    );
}
