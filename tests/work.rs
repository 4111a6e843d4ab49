//! What a controller does for what comes in, counted: reports, reads, transactions, planning
//! passes and wake-ups. Bounds are counts, never times.

mod world;

use mountgap::coordination::metrics::WorkCounts;
use world::*;

const MACHINES: usize = 100;
const SECONDS: u64 = 20;

/// What the leader and one follower do while the world runs on for [`SECONDS`].
fn work_of_leader_and_follower(world: &mut World) -> (WorkCounts, WorkCounts) {
    let leader = world.leader().expect("one leads");
    let follower = (leader + 1) % world.nodes.len();
    let counts = |world: &World, node: usize| {
        let controller = world.nodes[node].core.as_ref().expect("it runs");
        *controller.work_counts()
    };
    let before = (counts(world, leader), counts(world, follower));
    world.run(SECONDS * 1_000);
    assert_eq!(world.leader(), Some(leader), "it still leads");
    let after = (counts(world, leader), counts(world, follower));
    (after.0.since(&before.0), after.1.since(&before.1))
}

/// A fleet that has reported for a while, with nothing submitted.
fn fleet(seed: u64, machines: usize, reported_ms: u64) -> World {
    let mut world = World::fleet(seed, machines);
    world.until(10_000, "a leader", |w| w.leader().is_some());
    world.run(reported_ms);
    world
}

fn idle_fleet() -> World {
    fleet(3, MACHINES, 10_000)
}

/// Arrays of a team without a limit, at all controllers in turn.
fn submit_arrays(world: &mut World, jobs: u64, tasks: u32, run_ms: u64) {
    for n in 1..=jobs {
        let mut spec = world.spec(n, "batch", tasks);
        spec["crew"] = serde_json::json!("blue");
        world.submit(spec, run_ms, n as usize % 3);
    }
}

#[test]
fn an_idle_fleet_costs_its_reports_and_no_planning() {
    let mut world = idle_fleet();
    let (leader, follower) = work_of_leader_and_follower(&mut world);
    let expected = MACHINES as u64 * SECONDS * 1_000 / REPORT_MS;
    assert!(leader.reports.abs_diff(expected) < expected / 10, "{leader:?}");
    assert_eq!(leader.reports_redirected, 0, "every worker knows the leader");
    assert_eq!((leader.planner_passes, leader.planner_machines), (0, 0), "nothing waits");
    assert!(leader.state_commits <= SECONDS / 10, "{leader:?}");
    // A read every 0.7 s, a watch every 5 s, a renewal every 0.75 s.
    assert!(leader.state_calls <= SECONDS * 4, "{leader:?}");
    assert!(leader.batches_empty <= SECONDS * 11, "a wake-up every 100 ms: {leader:?}");
    // Two messages a second to each of two peers, each way.
    assert!(leader.peer_requests_sent <= SECONDS * 4 && leader.peer_requests_sent > 0);
    assert_eq!(follower.reports, 0, "nobody reports to a follower");
    assert!(follower.state_calls <= SECONDS * 3, "{follower:?}");
    assert_eq!(follower.state_commits, 0);
}

#[test]
fn requests_are_counted_by_kind() {
    let mut world = idle_fleet();
    let leader = world.leader().expect("one leads");
    let spec = world.spec(1, "batch", 3);
    world.submit(spec, 1_000, leader);
    world.run(1_000);
    world.poll("job-000001", leader);
    world.withdraw("job-000001", leader);
    world.run(1_000);
    let counts = *world.nodes[leader].core.as_ref().expect("it runs").work_counts();
    assert_eq!((counts.submissions, counts.accepted), (1, 1));
    assert_eq!((counts.polls, counts.cancellations), (1, 1));
    assert_eq!(counts.refused, 0);
    assert!(counts.planner_passes >= 1 && counts.planner_machines >= MACHINES as u64);
    assert!(counts.state_commits >= 3, "accepted, placed, cancelled: {counts:?}");
    assert!(counts.state_bytes_read > 0 && counts.state_reads_unchanged < counts.state_reads);
}

#[test]
fn a_leader_that_waits_for_slow_commits_does_not_wake_up_for_nothing() {
    // A pass that waited for its predecessor's commit once woke the leader in every millisecond
    // in which a report waited for the same commit.
    let mut world = fleet(5, 20, 4_000);
    world.state.slow_commits = 300;
    submit_arrays(&mut world, 20, 10, 2_000);
    let (leader, _) = work_of_leader_and_follower(&mut world);
    assert!(leader.planner_passes > 10 && leader.state_commits > 10, "{leader:?}");
    assert!(leader.batches_empty <= SECONDS * 9, "{leader:?}");
}

#[test]
fn the_operators_view_of_a_large_fleet_is_short_unless_details_are_asked_for() {
    let world = fleet(9, 1_000, 4_000);
    let leader = world.leader().expect("one leads");
    let controller = world.nodes[leader].core.as_ref().expect("it runs");
    let view = |details| serde_json::to_value(controller.status_view(details)).expect("JSON");
    let sums = view(false);
    assert_eq!(sums["fleet"]["machines"]["up"], 1_000);
    assert_eq!(sums["held"]["machines"], 1_000);
    assert!(sums.get("machines").is_none() && sums.get("waiting").is_none());
    let lines = serde_json::to_string_pretty(&sums).expect("JSON").lines().count();
    assert!(lines < 150, "{lines} lines");
    assert_eq!(view(true)["machines"].as_array().map(Vec::len), Some(1_000));
}

#[test]
fn reports_that_wait_for_a_commit_do_not_wake_the_leader_one_by_one() {
    // Each report that is held has its own longest time. Woken for each of them, a leader whose
    // writes were short woke up for nothing seventy times a second.
    let mut world = fleet(5, 60, 4_000);
    world.state.slow_commits = 900;
    submit_arrays(&mut world, 30, 16, 3_000);
    let (leader, _) = work_of_leader_and_follower(&mut world);
    assert!(leader.state_commits > 10, "{leader:?}");
    assert!(leader.batches_empty <= SECONDS * 9, "{leader:?}");
}
