//! Scenarios with a fleet of 4,000 machines. Bounds are on mutations, machines and starts, never on real time.

mod simulation;

use serde_json::json;
use simulation::*;

const MACHINES: usize = 4_000;
const JOBS: u64 = 30;
const TASKS: u32 = 100;

/// A fleet that has sent heartbeats, and arrays that fill nearly half of it.
fn half_filled_fleet() -> Simulation {
    let mut sim = Simulation::with_machines(7, MACHINES);
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    sim.run(4_000);
    for n in 1..=JOBS {
        let mut spec = sim.job_spec(n, "batch", TASKS);
        spec["crew"] = json!("blue");
        spec["run_guess_s"] = json!(40.0);
        sim.submit(spec, 40_000, n as usize % 3);
    }
    sim
}

fn run_until_all_done(sim: &mut Simulation) {
    for n in 1..=JOBS {
        sim.run_until_done(&format!("job-{n:06}"), 240_000);
    }
}

fn total_starts(sim: &Simulation) -> u32 {
    sim.jobs.values().map(|j| j.starts).sum()
}

#[test]
fn a_fleet_fills_with_few_writes_and_survives_a_crash_of_all_controllers() {
    let mut sim = half_filled_fleet();
    let task_count = JOBS as usize * TASKS as usize;
    let mutations_before = sim.state.mutation_count;
    sim.run_until(30_000, "all run", |sim| sim.running_tasks() == task_count);
    let mutations = sim.state.mutation_count - mutations_before;
    assert!(mutations < task_count / 20, "{mutations} mutations for {task_count} starts");
    // All controllers crash. The first is back after 100 ms, and all workers turn to it at the same time.
    sim.crash(0, 100);
    sim.crash(1, 2_500);
    sim.crash(2, 3_000);
    sim.run(8_000);
    let leader = sim.leader().expect("a leader");
    sim.crash(leader, 50);
    run_until_all_done(&mut sim);
    assert_eq!(total_starts(&sim) as usize, task_count, "no lease expired, no task restarted");
    assert_eq!(sim.machine_counts().1, MACHINES, "no machine was rented meanwhile");
}

#[test]
fn a_third_of_a_fleet_that_falls_silent_is_neither_returned_nor_replaced() {
    let mut sim = half_filled_fleet();
    let task_count = JOBS as usize * TASKS as usize;
    sim.run_until(30_000, "all run", |sim| sim.running_tasks() == task_count);
    let silent: Vec<String> = sim.workers.keys().step_by(3).cloned().collect();
    let delayed_until = sim.now + LEASE_MS + 3_000;
    // Their heartbeats are delayed and arrive all at once in the end, duplicates even later.
    sim.duplicate_heartbeat_rate = 0.2;
    for name in &silent {
        sim.workers.get_mut(name).expect("the entry exists").heartbeats_delayed_until =
            Some(delayed_until);
    }
    sim.run(LEASE_MS + 3_000);
    sim.duplicate_heartbeat_rate = 0.0;
    for name in &silent {
        sim.workers.get_mut(name).expect("the entry exists").heartbeats_delayed_until = None;
    }
    run_until_all_done(&mut sim);
    // The simulation has checked that no task ran on two machines.
    assert!(total_starts(&sim) as usize > task_count, "their tasks were started elsewhere");
    assert_eq!(sim.machine_counts().1, MACHINES, "no machine was rented in place of a silent one");
}
