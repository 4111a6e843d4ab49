//! Meetings of troubles: one story each at least for the meetings that the users named, over
//! several seeds. The world's checker watches every rule all the while.

mod world;

use world::*;

const SEEDS: std::ops::Range<u64> = 0..6;

/// A world with a leader and job-000001, a service of three replicas, and job-000002, a long
/// array of two tasks, running.
fn busy(seed: u64) -> World {
    let mut w = World::new(seed);
    w.until(10_000, "a leader", |w| w.leader().is_some());
    w.run(3_000);
    let s = w.spec(1, "standing", 3);
    w.submit(s, u64::MAX, 0);
    let s = w.spec(2, "batch", 2);
    w.submit(s, 200_000, 1);
    w.until(15_000, "all run", |w| running(w) == 5);
    w
}

fn running(w: &World) -> usize {
    w.workers.values().map(|x| x.running().len()).sum()
}

fn runs(w: &World, job: &str) -> bool {
    w.workers.values().any(|x| x.is_on(job))
}

/// The state service refuses the leader alone, another controller confirms the cancellation
/// of job-000002, and right after it nobody is served. Gives the leader and the other.
fn gap(w: &mut World) -> (usize, usize) {
    let old = w.leader().expect("leads");
    let other = (old + 1) % 3;
    w.nodes[old].refused = true;
    w.run(300);
    let r = w.withdraw("job-000002", other);
    w.until(1_000, "confirmed", |w| w.status(r) == 200);
    w.state.outage = true;
    (old, other)
}

fn gap_over(w: &mut World, old: usize) {
    w.nodes[old].refused = false;
    w.end_outage();
}

/// A job's user repeats its submission until it is accepted.
fn accepted(w: &mut World, n: u64, shape: &str, loads: u32, run_ms: u64) {
    let uid = format!("job-{n:06}");
    let end = w.now + 20_000;
    while w.jobs.get(&uid).is_none_or(|j| j.accepted_at.is_none()) {
        assert!(w.now < end, "{uid} is not accepted: {}", w.view());
        let s = w.spec(n, shape, loads);
        w.submit(s, run_ms, n as usize % 3);
        w.run(1_000);
    }
}

/// The service runs, and a new job is done.
fn serves(w: &mut World) {
    accepted(w, 3, "batch", 3, 1_000);
    w.until_done("job-000003", 60_000);
    w.until(60_000, "the service runs", |w| running(w) == 3);
}

#[test]
fn a_leader_refused_alone_stops_what_a_peer_says_is_over_and_keeps_the_rest() {
    for seed in SEEDS {
        let mut w = busy(seed);
        let (old, _) = gap(&mut w);
        w.until(REPORT_MS * 3, "its tasks are stopped", |w| !runs(w, "job-000002"));
        w.run(CANCEL_MS * 2);
        assert_eq!(running(&w), 3, "seed {seed}: the service runs all through the outage");
        assert_eq!(w.jobs["job-000001"].starts, 3, "seed {seed}: and lost no lease");
        gap_over(&mut w, old);
        serves(&mut w);
    }
}

#[test]
fn a_leader_refused_alone_and_cut_from_its_peers_lets_leases_end_in_time() {
    for seed in SEEDS {
        let mut w = busy(seed);
        let old = w.leader().expect("leads");
        w.nodes[old].cut_peers = true;
        gap(&mut w);
        // The checker sees that nothing of the cancelled job is left when its time is up.
        w.run(CANCEL_MS + 5_000);
        assert_eq!(running(&w), 0, "seed {seed}: what nobody vouches for is not kept");
        w.nodes[old].cut_peers = false;
        gap_over(&mut w, old);
        serves(&mut w);
    }
}

#[test]
fn the_word_of_a_controller_that_confirmed_and_ended_is_not_made_up_by_its_next_life() {
    for seed in SEEDS {
        for back in [20, 400, 5_000] {
            let mut w = busy(seed);
            // Nobody else knows, and the leader hears the other's next life only.
            let old = w.leader().expect("leads");
            let other = (old + 1) % 3;
            w.nodes[(old + 2) % 3].refused = true;
            w.nodes[other].cut_peers = true;
            w.run(300);
            gap(&mut w);
            w.crash(other, back);
            w.nodes[other].cut_peers = false;
            w.run(CANCEL_MS + 5_000);
            w.nodes[(old + 2) % 3].refused = false;
            gap_over(&mut w, old);
            serves(&mut w);
        }
    }
}

#[test]
fn a_message_held_on_the_way_vouches_for_nothing() {
    for seed in SEEDS {
        let mut w = busy(seed);
        let old = w.leader().expect("leads");
        let other = (old + 1) % 3;
        // All are refused. What the others ask of the leader, and say by it, is held.
        w.state.outage = true;
        w.run(3_000);
        for i in (0..3).filter(|i| *i != old) {
            w.nodes[i].held_until = w.now + CANCEL_MS - 3_000;
        }
        w.run(2_000);
        // The leader hears nobody; the other is served for a moment.
        w.nodes[old].cut_peers = true;
        w.nodes[old].refused = true;
        w.end_outage();
        w.run(1_000);
        let r = w.withdraw("job-000002", other);
        w.until(1_000, "confirmed", |w| w.status(r) == 200);
        w.state.outage = true;
        w.run(CANCEL_MS + 5_000);
        w.nodes[old].cut_peers = false;
        gap_over(&mut w, old);
        serves(&mut w);
    }
}

#[test]
fn a_start_that_is_stored_is_not_ordered_by_a_leader_that_may_have_missed_a_cancellation() {
    for seed in SEEDS {
        let mut w = busy(seed);
        let old = w.leader().expect("leads");
        // No worker reports between the placement and the cancellation.
        w.workers.values_mut().for_each(|x| x.mute = true);
        let s = w.spec(4, "batch", 2);
        let r = w.submit(s, 5_000, old);
        w.until(1_000, "accepted", |w| w.status(r) == 201);
        w.until(2_000, "placed", |w| {
            w.state.under("mg/2/place/").iter().any(|(_, v)| v.to_string().contains("000004/"))
        });
        w.nodes[old].refused = true;
        w.nodes[old].cut_peers = true;
        let r = w.withdraw("job-000004", (old + 1) % 3);
        w.until(500, "confirmed", |w| w.status(r) == 200);
        w.state.outage = true;
        w.run(2_500);
        for x in w.workers.values_mut() {
            x.mute = false;
            x.turn_to(old);
        }
        w.run(8_000);
        assert_eq!(w.jobs["job-000004"].starts, 0, "seed {seed}");
        assert_eq!(running(&w), 5, "seed {seed}: leases are still renewed");
        w.nodes[old].cut_peers = false;
        gap_over(&mut w, old);
        w.run(5_000);
        let r = w.withdraw("job-000002", 0);
        w.until(5_000, "confirmed", |w| w.status(r) == 200);
        serves(&mut w);
    }
}

#[test]
fn starts_go_on_in_an_outage_in_which_every_peer_vouches() {
    let mut w = busy(1);
    w.workers.values_mut().for_each(|x| x.mute = true);
    let s = w.spec(4, "batch", 2);
    let r = w.submit(s, 5_000, 0);
    w.until(1_000, "accepted", |w| w.status(r) == 201);
    w.until(2_000, "placed", |w| {
        w.state.under("mg/2/place/").iter().any(|(_, v)| v.to_string().contains("000004/"))
    });
    w.state.outage = true;
    w.run(3_000);
    w.workers.values_mut().for_each(|x| x.mute = false);
    w.until(8_000, "both start", |w| w.jobs["job-000004"].starts == 2);
}
