//! What a controller does for what comes in, counted: reports, reads, transactions, planning
//! passes and wake-ups. Bounds are counts, never times.

mod simulation;

use mountgap::coordination::metrics::WorkCounts;
use simulation::*;

const MACHINES: usize = 100;
const SECONDS: u64 = 20;

/// What the leader and one follower do while the world runs on for [`SECONDS`].
fn work_of_leader_and_follower(sim: &mut Simulation) -> (WorkCounts, WorkCounts) {
    let leader = sim.leader().expect("one leads");
    let follower = (leader + 1) % sim.nodes.len();
    let counts = |sim: &Simulation, node: usize| {
        let controller = sim.nodes[node].controller.as_ref().expect("it runs");
        *controller.work_counts()
    };
    let before = (counts(sim, leader), counts(sim, follower));
    sim.run(SECONDS * 1_000);
    assert_eq!(sim.leader(), Some(leader), "it still leads");
    let after = (counts(sim, leader), counts(sim, follower));
    (after.0.since(&before.0), after.1.since(&before.1))
}

/// A fleet that has reported for a while, with nothing submitted.
fn fleet(seed: u64, machines: usize, reported_ms: u64) -> Simulation {
    let mut sim = Simulation::with_machines(seed, machines);
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    sim.run(reported_ms);
    sim
}

fn idle_fleet() -> Simulation {
    fleet(3, MACHINES, 10_000)
}

/// Arrays of a team without a limit, at all controllers in turn.
fn submit_arrays(sim: &mut Simulation, jobs: u64, tasks: u32, run_ms: u64) {
    for n in 1..=jobs {
        let mut spec = sim.job_spec(n, "batch", tasks);
        spec["crew"] = serde_json::json!("blue");
        sim.submit(spec, run_ms, n as usize % 3);
    }
}

#[test]
fn an_idle_fleet_costs_its_reports_and_no_planning() {
    let mut sim = idle_fleet();
    let (leader, follower) = work_of_leader_and_follower(&mut sim);
    let expected = MACHINES as u64 * SECONDS * 1_000 / HEARTBEAT_MS;
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
    let mut sim = idle_fleet();
    let leader = sim.leader().expect("one leads");
    let spec = sim.job_spec(1, "batch", 3);
    sim.submit(spec, 1_000, leader);
    sim.run(1_000);
    sim.poll("job-000001", leader);
    sim.cancel("job-000001", leader);
    sim.run(1_000);
    let counts = *sim.nodes[leader].controller.as_ref().expect("it runs").work_counts();
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
    let mut sim = fleet(5, 20, 4_000);
    sim.state.commit_response_delay_ms = 300;
    submit_arrays(&mut sim, 20, 10, 2_000);
    let (leader, _) = work_of_leader_and_follower(&mut sim);
    assert!(leader.planner_passes > 10 && leader.state_commits > 10, "{leader:?}");
    assert!(leader.batches_empty <= SECONDS * 9, "{leader:?}");
}

#[test]
fn the_operators_view_of_a_large_fleet_is_short_unless_details_are_asked_for() {
    let sim = fleet(9, 1_000, 4_000);
    let leader = sim.leader().expect("one leads");
    let controller = sim.nodes[leader].controller.as_ref().expect("it runs");
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
    let mut sim = fleet(5, 60, 4_000);
    sim.state.commit_response_delay_ms = 900;
    submit_arrays(&mut sim, 30, 16, 3_000);
    let (leader, _) = work_of_leader_and_follower(&mut sim);
    assert!(leader.state_commits > 10, "{leader:?}");
    assert!(leader.batches_empty <= SECONDS * 9, "{leader:?}");
}
