//! Stories of a fleet of four thousand machines. What is bounded is counted in commits,
//! machines and starts, never in seconds of real time.

mod world;

use serde_json::json;
use world::*;

const MACHINES: usize = 4_000;
const JOBS: u64 = 30;
const TASKS: u32 = 100;

/// A fleet that has reported, and arrays that fill nearly half of it.
fn filled() -> World {
    let mut w = World::fleet(7, MACHINES);
    w.until(10_000, "a leader", |w| w.leader().is_some());
    w.run(4_000);
    for n in 1..=JOBS {
        let mut s = w.spec(n, "batch", TASKS);
        s["crew"] = json!("blue");
        s["run_guess_s"] = json!(40.0);
        w.submit(s, 40_000, n as usize % 3);
    }
    w
}

fn all_done(w: &mut World) {
    for n in 1..=JOBS {
        w.until_done(&format!("job-{n:06}"), 240_000);
    }
}

fn starts(w: &World) -> u32 {
    w.jobs.values().map(|j| j.starts).sum()
}

#[test]
fn a_fleet_is_filled_with_few_changes_and_outlives_all_its_controllers() {
    let mut w = filled();
    let all = JOBS as usize * TASKS as usize;
    let before = w.state.changes;
    w.until(30_000, "all run", |w| w.running() == all);
    let changes = w.state.changes - before;
    assert!(changes < all / 20, "{changes} changes for {all} starts");
    // All end, one is back in the middle of the others' ends, and all workers come over at once.
    w.crash(0, 100);
    w.crash(1, 2_500);
    w.crash(2, 3_000);
    w.run(8_000);
    let leader = w.leader().expect("one leads again");
    w.crash(leader, 50);
    all_done(&mut w);
    assert_eq!(starts(&w) as usize, all, "no lease was lost, nothing was started anew");
    assert_eq!(w.machines().1, MACHINES, "and no machine was rented in between");
}

#[test]
fn a_third_of_a_fleet_that_falls_silent_is_neither_returned_nor_rented_anew() {
    let mut w = filled();
    let all = JOBS as usize * TASKS as usize;
    w.until(30_000, "all run", |w| w.running() == all);
    let cut: Vec<String> = w.workers.keys().step_by(3).cloned().collect();
    let back = w.now + LEASE_MS + 3_000;
    // Their reports are held on the way, and all come at once in the end, with copies later still.
    w.copies = 0.2;
    for name in &cut {
        w.workers.get_mut(name).expect("there").held_until = Some(back);
    }
    w.run(LEASE_MS + 3_000);
    w.copies = 0.0;
    for name in &cut {
        w.workers.get_mut(name).expect("there").held_until = None;
    }
    all_done(&mut w);
    // The checker has seen no task on two machines.
    assert!(starts(&w) as usize > all, "what was on them was started elsewhere");
    assert_eq!(w.machines().1, MACHINES, "no machine was rented for one that came back");
}
