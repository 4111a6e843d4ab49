//! Stories of a fleet of four thousand machines. What is bounded is counted in commits,
//! machines and starts, never in seconds of real time.

mod simulation;

use serde_json::json;
use simulation::*;

const MACHINES: usize = 4_000;
const JOBS: u64 = 30;
const TASKS: u32 = 100;

/// A fleet that has reported, and arrays that fill nearly half of it.
fn filled() -> Simulation {
    let mut sim = Simulation::with_machines(7, MACHINES);
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    sim.run(4_000);
    for n in 1..=JOBS {
        let mut s = sim.job_spec(n, "batch", TASKS);
        s["crew"] = json!("blue");
        s["run_guess_s"] = json!(40.0);
        sim.submit(s, 40_000, n as usize % 3);
    }
    sim
}

fn all_done(sim: &mut Simulation) {
    for n in 1..=JOBS {
        sim.run_until_done(&format!("job-{n:06}"), 240_000);
    }
}

fn starts(sim: &Simulation) -> u32 {
    sim.jobs.values().map(|j| j.starts).sum()
}

#[test]
fn a_fleet_is_filled_with_few_changes_and_outlives_all_its_controllers() {
    let mut sim = filled();
    let all = JOBS as usize * TASKS as usize;
    let before = sim.state.mutation_count;
    sim.run_until(30_000, "all run", |sim| sim.running_tasks() == all);
    let changes = sim.state.mutation_count - before;
    assert!(changes < all / 20, "{changes} changes for {all} starts");
    // All end, one is back in the middle of the others' ends, and all workers come over at once.
    sim.crash(0, 100);
    sim.crash(1, 2_500);
    sim.crash(2, 3_000);
    sim.run(8_000);
    let leader = sim.leader().expect("one leads again");
    sim.crash(leader, 50);
    all_done(&mut sim);
    assert_eq!(starts(&sim) as usize, all, "no lease was lost, nothing was started anew");
    assert_eq!(sim.machine_counts().1, MACHINES, "and no machine was rented in between");
}

#[test]
fn a_third_of_a_fleet_that_falls_silent_is_neither_returned_nor_rented_anew() {
    let mut sim = filled();
    let all = JOBS as usize * TASKS as usize;
    sim.run_until(30_000, "all run", |sim| sim.running_tasks() == all);
    let cut: Vec<String> = sim.workers.keys().step_by(3).cloned().collect();
    let back = sim.now + LEASE_MS + 3_000;
    // Their reports are held on the way, and all come at once in the end, with copies later still.
    sim.duplicate_heartbeat_rate = 0.2;
    for name in &cut {
        sim.workers.get_mut(name).expect("there").heartbeats_delayed_until = Some(back);
    }
    sim.run(LEASE_MS + 3_000);
    sim.duplicate_heartbeat_rate = 0.0;
    for name in &cut {
        sim.workers.get_mut(name).expect("there").heartbeats_delayed_until = None;
    }
    all_done(&mut sim);
    // The checker has seen no task on two machines.
    assert!(starts(&sim) as usize > all, "what was on them was started elsewhere");
    assert_eq!(sim.machine_counts().1, MACHINES, "no machine was rented for one that came back");
}
