//! The work that a controller does, in counts: heartbeats, reads, transactions, planning passes and wake-ups.
//! All bounds are on counts, never on times.

mod simulation;

use mountgap::coordination::metrics::WorkCounts;
use simulation::*;

const MACHINES: usize = 100;
const MEASURED_SECONDS: u64 = 20;

/// Work counts of the leader and of one follower over the next [`MEASURED_SECONDS`].
fn work_of_leader_and_follower(sim: &mut Simulation) -> (WorkCounts, WorkCounts) {
    let leader = sim.leader().expect("a leader");
    let follower = (leader + 1) % sim.nodes.len();
    let counts = |sim: &Simulation, node: usize| {
        let controller = sim.nodes[node].controller.as_ref().expect("the controller runs");
        *controller.work_counts()
    };
    let before = (counts(sim, leader), counts(sim, follower));
    sim.run(MEASURED_SECONDS * 1_000);
    assert_eq!(sim.leader(), Some(leader), "the leader has not changed");
    let after = (counts(sim, leader), counts(sim, follower));
    (after.0.since(&before.0), after.1.since(&before.1))
}

/// A fleet without jobs that has sent heartbeats to a leader for `warmup_ms`.
fn fleet(seed: u64, machines: usize, warmup_ms: u64) -> Simulation {
    let mut sim = Simulation::with_machines(seed, machines);
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    sim.run(warmup_ms);
    sim
}

fn idle_fleet() -> Simulation {
    fleet(3, MACHINES, 10_000)
}

/// Submits arrays of a team without a limit, at each controller in turn.
fn submit_arrays(sim: &mut Simulation, jobs: u64, tasks: u32, run_ms: u64) {
    for n in 1..=jobs {
        let mut spec = sim.job_spec(n, "batch", tasks);
        spec["crew"] = serde_json::json!("blue");
        sim.submit(spec, run_ms, n as usize % 3);
    }
}

#[test]
fn an_idle_fleet_causes_heartbeats_but_no_planning() {
    let mut sim = idle_fleet();
    let (leader, follower) = work_of_leader_and_follower(&mut sim);
    let expected = MACHINES as u64 * MEASURED_SECONDS * 1_000 / HEARTBEAT_MS;
    assert!(leader.reports.abs_diff(expected) < expected / 10, "{leader:?}");
    assert_eq!(leader.reports_redirected, 0, "every worker knows the leader");
    assert_eq!((leader.planner_passes, leader.planner_machines), (0, 0), "no job waits");
    assert!(leader.state_commits <= MEASURED_SECONDS / 10, "{leader:?}");
    // A read every 0.7 s, a watch every 5 s and a renewal every 0.75 s.
    assert!(leader.state_calls <= MEASURED_SECONDS * 4, "{leader:?}");
    assert!(leader.batches_empty <= MEASURED_SECONDS * 11, "a wake-up every 100 ms: {leader:?}");
    // Two messages per second to each of two peers, in both directions.
    assert!(leader.peer_requests_sent <= MEASURED_SECONDS * 4 && leader.peer_requests_sent > 0);
    assert_eq!(follower.reports, 0, "nobody reports to a follower");
    assert!(follower.state_calls <= MEASURED_SECONDS * 3, "{follower:?}");
    assert_eq!(follower.state_commits, 0);
}

#[test]
fn requests_are_counted_by_kind() {
    let mut sim = idle_fleet();
    let leader = sim.leader().expect("a leader");
    let spec = sim.job_spec(1, "batch", 3);
    sim.submit(spec, 1_000, leader);
    sim.run(1_000);
    sim.poll("job-000001", leader);
    sim.cancel("job-000001", leader);
    sim.run(1_000);
    let counts = *sim.nodes[leader].controller.as_ref().expect("the controller runs").work_counts();
    assert_eq!((counts.submissions, counts.accepted), (1, 1));
    assert_eq!((counts.polls, counts.cancellations), (1, 1));
    assert_eq!(counts.refused, 0);
    assert!(counts.planner_passes >= 1 && counts.planner_machines >= MACHINES as u64);
    assert!(counts.state_commits >= 3, "accepted, placed, cancelled: {counts:?}");
    assert!(counts.state_bytes_read > 0 && counts.state_reads_unchanged < counts.state_reads);
}

#[test]
fn a_leader_that_waits_for_slow_commits_does_not_wake_needlessly() {
    // A pass that waits for the previous pass's commit must not wake the leader in every millisecond in which
    // a heartbeat waits for the same commit.
    let mut sim = fleet(5, 20, 4_000);
    sim.state.commit_response_delay_ms = 300;
    submit_arrays(&mut sim, 20, 10, 2_000);
    let (leader, _) = work_of_leader_and_follower(&mut sim);
    assert!(leader.planner_passes > 10 && leader.state_commits > 10, "{leader:?}");
    assert!(leader.batches_empty <= MEASURED_SECONDS * 9, "{leader:?}");
}

#[test]
fn the_status_of_a_large_fleet_is_short_without_details() {
    let sim = fleet(9, 1_000, 4_000);
    let leader = sim.leader().expect("a leader");
    let controller = sim.nodes[leader].controller.as_ref().expect("the controller runs");
    let view = |details| serde_json::to_value(controller.status_view(details)).expect("JSON");
    let summary = view(false);
    assert_eq!(summary["fleet"]["machines"]["up"], 1_000);
    assert_eq!(summary["held"]["machines"], 1_000);
    assert!(summary.get("machines").is_none() && summary.get("waiting").is_none());
    let lines = serde_json::to_string_pretty(&summary).expect("JSON").lines().count();
    assert!(lines < 150, "{lines} lines");
    assert_eq!(view(true)["machines"].as_array().map(Vec::len), Some(1_000));
}

#[test]
fn heartbeats_that_wait_for_a_commit_do_not_each_wake_the_leader() {
    // Each heartbeat that waits for a commit has its own time limit. A wake-up for each of them makes 70
    // needless ones per second on a leader that has used up its write rate.
    let mut sim = fleet(5, 60, 4_000);
    sim.state.commit_response_delay_ms = 900;
    submit_arrays(&mut sim, 30, 16, 3_000);
    let (leader, _) = work_of_leader_and_follower(&mut sim);
    assert!(leader.state_commits > 10, "{leader:?}");
    assert!(leader.batches_empty <= MEASURED_SECONDS * 9, "{leader:?}");
}
