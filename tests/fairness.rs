//! Fair service when there is more work than capacity: every class, every team and the largest jobs of each
//! class get their share. One scenario for each of the three, checked by `assert_fair_service`.

mod simulation;

use serde_json::json;
use simulation::*;

const JOBS: u64 = 200;
const SUBMISSION_INTERVAL_MS: u64 = 2_000;

/// Class, team, number of tasks and priority of a scenario's n-th job.
type JobMix = fn(u64) -> (&'static str, &'static str, u32, &'static str);

/// A simulation in which jobs arrive faster than the fleet can run them.
fn overloaded_cluster(job_mix: JobMix) -> Simulation {
    let mut sim = Simulation::new(3);
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    sim.run(3_000);
    for n in 1..=JOBS {
        let (class, team, tasks, priority) = job_mix(n);
        let mut spec = sim.job_spec(n, "batch", tasks);
        spec["duty"] = json!(class);
        spec["crew"] = json!(team);
        spec["rank"] = json!(priority);
        spec["due_s"] = json!(30.0);
        sim.submit(spec, 9_000, n as usize % 3);
        sim.run(SUBMISSION_INTERVAL_MS);
    }
    let waiting =
        sim.jobs.values().filter(|j| j.accepted_at.is_some() && j.first_started_at.is_none());
    assert!(waiting.count() > 0, "there is more work than capacity");
    sim
}

#[test]
fn half_of_each_class_is_served_whatever_their_priorities() {
    let sim = overloaded_cluster(|n| match n % 3 {
        0 => ("urgent", "blue", 12, "high"),
        1 => ("usual", "blue", 8, "standard"),
        _ => ("leftover", "blue", 8, "best_effort"),
    });
    sim.assert_fair_service("three classes");
}

#[test]
fn half_of_each_team_is_served_though_one_asks_for_much_more() {
    let sim = overloaded_cluster(|n| match n % 6 {
        0 => ("plain", "red", 6, "standard"),
        _ => ("plain", "blue", 11, "high"),
    });
    sim.assert_fair_service("two teams");
}

#[test]
fn the_largest_jobs_of_a_class_are_served_under_a_stream_of_small_ones() {
    let sim = overloaded_cluster(|n| match n % 8 {
        2 => ("mixed", "blue", 60, "standard"),
        _ => ("mixed", "blue", 9, "high"),
    });
    sim.assert_fair_service("large among small");
}
