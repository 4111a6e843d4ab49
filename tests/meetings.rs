//! Meetings of troubles: one story each at least for the meetings that the users named, over
//! several seeds. The world's checker watches every rule all the while.

mod world;

use serde_json::json;
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
    w.until(15_000, "all run", |w| w.running() == 5);
    w
}

fn runs(w: &World, job: &str) -> bool {
    w.workers.values().any(|x| x.is_on(job))
}

/// The state service refuses the leader alone, another controller confirms the cancellation
/// of job-000002, and right after it nobody is served. Gives the leader.
fn gap(w: &mut World) -> usize {
    let old = w.leader().expect("leads");
    let other = (old + 1) % 3;
    w.nodes[old].refused = true;
    w.run(300);
    let r = w.withdraw("job-000002", other);
    w.until(1_000, "confirmed", |w| w.status(r) == 200);
    w.state.outage = true;
    old
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
    w.until(60_000, "the service runs", |w| w.running() == 3);
}

#[test]
fn a_leader_refused_alone_stops_what_a_peer_says_is_over_and_keeps_the_rest() {
    for seed in SEEDS {
        let mut w = busy(seed);
        let old = gap(&mut w);
        w.until(REPORT_MS * 3, "its tasks are stopped", |w| !runs(w, "job-000002"));
        w.run(CANCEL_MS * 2);
        assert_eq!(w.running(), 3, "seed {seed}: the service runs all through the outage");
        assert_eq!(w.jobs["job-000001"].starts, 3, "seed {seed}: and lost no lease");
        gap_over(&mut w, old);
        serves(&mut w);
    }
}

#[test]
fn a_thousand_jobs_that_end_at_once_are_named_in_one_message_and_more_are_not_vouched_for() {
    for (ends, kept) in [(1_000, 3), (5_000, 0)] {
        let mut w = busy(1);
        accepted(&mut w, 9, "batch", 1, 500);
        w.until_done("job-000009", 20_000);
        let end = w.state.get("mg/2/end/job-000009").expect("it ended").clone();
        let old = w.leader().expect("leads");
        w.nodes[old].refused = true;
        for n in 0..ends {
            w.state.put(&format!("mg/2/end/job-{:06}", 500_000 + n), end.clone());
        }
        let r = w.withdraw("job-000002", (old + 1) % 3);
        w.until(1_500, "confirmed", |w| w.status(r) == 200);
        w.run(100);
        w.state.outage = true;
        w.run(CANCEL_MS + 5_000);
        // 4,096 names of eleven bytes.
        assert!(w.peer_answer_max < 48 * 1024, "{} bytes", w.peer_answer_max);
        assert_eq!(w.running(), kept, "after {ends} ends");
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
        assert_eq!(w.running(), 0, "seed {seed}: what nobody vouches for is not kept");
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
        assert_eq!(w.running(), 5, "seed {seed}: leases are still renewed");
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

#[test]
fn a_cancellation_at_the_moment_of_the_refusal_holds_when_all_is_out_a_second_later() {
    for seed in SEEDS {
        for after in [0, 20, 200, 1_000] {
            let mut w = busy(seed);
            let old = w.leader().expect("leads");
            w.nodes[old].refused = true;
            for uid in ["job-000001", "job-000002"] {
                w.withdraw(uid, (old + 1) % 3);
                w.withdraw(uid, (old + 2) % 3);
            }
            w.run(after);
            w.state.outage = true;
            w.run(CANCEL_MS + 10_000);
            gap_over(&mut w, old);
            w.ends_well();
        }
    }
}

#[test]
fn a_slow_state_service_that_refuses_the_leader_and_then_all_answers_no_one_wrongly() {
    for seed in SEEDS {
        let mut w = busy(seed);
        w.state.slow_commits = 900;
        w.state.slow_watches = true;
        for n in 10..14 {
            let s = w.spec(n, "batch", 1);
            w.submit(s, 3_000, n as usize % 3);
        }
        w.run(2_000);
        w.state.slow_commits = 0;
        let old = gap(&mut w);
        for _ in 0..20 {
            for i in 0..3 {
                w.poll("job-000002", i);
                w.withdraw("job-000012", i);
                w.poll("job-000012", i);
            }
            w.run(2_000);
        }
        w.state.slow_watches = false;
        gap_over(&mut w, old);
        w.ends_well();
    }
}

#[test]
fn controllers_hand_over_and_back_all_end_and_one_returns_within_a_second() {
    for seed in SEEDS {
        let mut w = busy(seed);
        for back in [3_000, 100, 20] {
            let l = w.leader().expect("leads");
            w.crash(l, back);
            w.until(8_000, "one leads", |w| w.leader().is_some());
            w.run(150);
        }
        for (i, back) in [300, 4_000, 5_000].into_iter().enumerate() {
            w.crash(i, back);
        }
        w.run(9_000);
        assert_eq!(w.running(), 5, "seed {seed}: {}", w.view());
        let starts = (w.jobs["job-000001"].starts, w.jobs["job-000002"].starts);
        assert_eq!(starts, (3, 2), "seed {seed}: no lease was lost, nothing started anew");
        w.withdraw("job-000002", 0);
        w.ends_well();
    }
}

#[test]
fn a_team_at_its_limit_stays_under_it_when_a_leader_and_machines_are_lost_and_a_job_cancelled() {
    for seed in SEEDS {
        let mut w = busy(seed);
        // Twelve GPUs are the limit: seven more run, and four wait.
        accepted(&mut w, 3, "standing", 7, u64::MAX);
        accepted(&mut w, 4, "standing", 4, u64::MAX);
        w.until(40_000, "at the limit", |w| w.running() == 12);
        let cut: Vec<String> = w.workers.keys().take(2).cloned().collect();
        cut.iter().for_each(|n| w.workers.get_mut(n).expect("there").cut = true);
        let l = w.leader().expect("leads");
        w.crash(l, 2_000);
        let r = w.withdraw("job-000003", (l + 1) % 3);
        w.until(2_000, "confirmed", |w| w.status(r) == 200);
        w.run(5_000);
        cut.iter().for_each(|n| w.workers.get_mut(n).expect("there").cut = false);
        w.run(8_000);
        w.withdraw("job-000002", l);
        w.ends_well();
    }
}

#[test]
fn old_reports_after_newer_ones_of_an_earlier_session_or_attempt_settle_nothing() {
    for seed in SEEDS {
        let mut w = busy(seed);
        w.copies = 0.6;
        w.copies_ms = LEASE_MS * 3;
        let all: Vec<String> = w.workers.keys().cloned().collect();
        // Each in turn loses its session; its tasks start elsewhere and later come back to it.
        for (i, name) in all.iter().cycle().take(4).enumerate() {
            w.workers.get_mut(name).expect("there").cut = true;
            w.run(LEASE_MS + 2_500);
            w.workers.get_mut(name).expect("there").cut = false;
            w.run(2_000);
            if i % 2 == 1 {
                let l = w.leader().expect("leads");
                w.crash(l, 1_000);
                w.run(2_000);
            }
        }
        w.copies = 0.0;
        w.withdraw("job-000002", 0);
        w.ends_well();
    }
}

#[test]
fn all_controllers_away_for_longer_than_a_lease_start_again_what_ended_with_it() {
    for seed in SEEDS {
        let mut w = busy(seed);
        w.copies = 0.5;
        for i in 0..3 {
            w.crash(i, LEASE_MS + 2_000 + 700 * i as u64);
        }
        w.run(LEASE_MS + 1_000);
        assert_eq!(w.running(), 0, "seed {seed}: leases are over");
        w.copies = 0.0;
        w.run(10_000);
        w.withdraw("job-000002", 1);
        w.ends_well();
    }
}

#[test]
fn tasks_that_end_far_apart_across_changes_of_leader_run_once_each() {
    for seed in SEEDS {
        let mut w = busy(seed);
        for (n, loads) in [(3, 3), (4, 2)] {
            accepted(&mut w, n, "batch", loads, 1_000);
            w.jobs.get_mut(&format!("job-{n:06}")).expect("there").step_ms = 9_000;
        }
        for back in [50, 2_000, 400] {
            w.run(6_000);
            let l = w.leader().expect("leads");
            w.crash(l, back);
        }
        w.until_done("job-000003", 60_000);
        w.until_done("job-000004", 60_000);
        let ordered = (w.jobs["job-000003"].ordered, w.jobs["job-000004"].ordered);
        assert_eq!(ordered, (3, 2), "seed {seed}: none is ordered again once it is done");
        w.withdraw("job-000002", 1);
        w.ends_well();
    }
}

#[test]
fn what_runs_on_mute_machines_starts_elsewhere_only_after_its_lease() {
    for seed in SEEDS {
        for mute_ms in [LEASE_MS / 2, LEASE_MS - 1_000, LEASE_MS + 4_000] {
            let mut w = busy(seed);
            let name = w.workers.keys().next().cloned().expect("one");
            w.workers.get_mut(&name).expect("there").mute = true;
            w.run(mute_ms / 2);
            if seed % 2 == 0 {
                let l = w.leader().expect("leads");
                w.crash(l, 500);
            }
            w.run(mute_ms / 2);
            w.workers.get_mut(&name).expect("there").mute = false;
            w.withdraw("job-000002", 1);
            w.run(5_000);
            w.ends_well();
        }
    }
}

#[test]
fn a_leader_that_ends_while_machines_are_out_of_reach_leaves_their_tasks_to_their_leases() {
    for seed in SEEDS {
        for deaf in [false, true] {
            let mut w = busy(seed);
            let all: Vec<String> = w.workers.keys().cloned().collect();
            for n in &all {
                let x = w.workers.get_mut(n).expect("there");
                (x.cut, x.deaf) = (!deaf, deaf);
            }
            let l = w.leader().expect("leads");
            w.crash(l, 3_000);
            w.run(9_000);
            for n in &all {
                let x = w.workers.get_mut(n).expect("there");
                (x.cut, x.deaf) = (false, false);
            }
            w.run(5_000);
            w.withdraw("job-000002", 1);
            w.ends_well();
        }
    }
}

#[test]
fn jobs_cancelled_through_a_new_leader_end_on_machines_that_report_to_the_old_one() {
    for seed in SEEDS {
        let mut w = busy(seed);
        let old = w.leader().expect("leads");
        w.nodes[old].cut_state = true;
        w.nodes[old].cut_peers = true;
        w.until(10_000, "another leads", |w| w.leader().is_some_and(|l| l != old));
        let new = w.leader().expect("leads");
        let r = w.withdraw("job-000002", new);
        w.until(2_000, "confirmed", |w| w.status(r) == 200);
        for _ in 0..10 {
            // The old one can't know, and says so.
            w.poll("job-000002", old);
            w.run((CANCEL_MS + 5_000) / 10);
        }
        w.nodes[old].cut_state = false;
        w.nodes[old].cut_peers = false;
        w.ends_well();
    }
}

#[test]
fn transactions_carried_out_after_newer_ones_bring_nothing_back() {
    for seed in SEEDS {
        let mut w = busy(seed);
        w.state.late_writes = 0.4;
        for n in 10..20 {
            let s = w.spec(n, "batch", 2);
            w.submit(s, 2_000, n as usize % 3);
            w.run(1_000);
            w.withdraw(&format!("job-{:06}", n - 2), (n as usize + 1) % 3);
            if n == 15 {
                let l = w.leader().expect("leads");
                w.crash(l, 200);
                w.run(1_000);
            }
        }
        w.state.late_writes = 0.0;
        w.run(13_000);
        for n in 10..20 {
            let s = w.spec(n, "batch", 2);
            w.submit(s, 2_000, n as usize % 3);
        }
        w.withdraw("job-000002", 1);
        w.ends_well();
    }
}

#[test]
fn a_report_held_until_a_new_leader_has_acted_brings_nothing_back_there() {
    for seed in SEEDS {
        let mut w = busy(seed);
        let old = w.leader().expect("leads");
        let new = (old + 1) % 3;
        let name = w.workers.keys().next().cloned().expect("one");
        // It reports to the one that will lead; the report is held beyond its lease.
        let until = w.now + LEASE_MS + 6_000;
        let x = w.workers.get_mut(&name).expect("there");
        x.turn_to(new);
        x.held_until = Some(until);
        w.crash((old + 2) % 3, 30_000);
        w.crash(old, 20_000);
        w.run(LEASE_MS + 9_000);
        w.workers.get_mut(&name).expect("there").held_until = None;
        w.run(12_000);
        w.withdraw("job-000002", 1);
        w.ends_well();
    }
}

#[test]
fn a_report_from_before_a_start_that_comes_to_a_new_leader_frees_nothing_of_a_team_at_its_limit() {
    for seed in SEEDS {
        let mut w = busy(seed);
        let old = w.leader().expect("leads");
        let new = (old + 1) % 3;
        for name in w.workers.keys().cloned().collect::<Vec<_>>() {
            w.copy_report(&name, new, 20_000);
        }
        accepted(&mut w, 3, "standing", 3, u64::MAX);
        w.until(10_000, "on the machines there are", |w| w.running_of("job-000003") == 3);
        accepted(&mut w, 4, "standing", 4, u64::MAX);
        accepted(&mut w, 5, "standing", 4, u64::MAX);
        w.until(15_000, "at the limit", |w| w.running() == 12);
        let begun: Vec<String> = w.workers.keys().take(2).cloned().collect();
        begun.iter().for_each(|n| w.workers.get_mut(n).expect("there").cut = true);
        w.crash(old, 8_000);
        w.crash((old + 2) % 3, 9_000);
        w.until(8_000, "the new one leads", |w| w.leader() == Some(new));
        let r = w.withdraw("job-000003", new);
        w.until(2_000, "confirmed", |w| w.status(r) == 200);
        // The copies come now: job-000003 is not on them, and unwanted, but still there.
        w.run(8_000);
        begun.iter().for_each(|n| w.workers.get_mut(n).expect("there").cut = false);
        w.run(CANCEL_MS);
        w.withdraw("job-000002", new);
        w.ends_well();
    }
}

#[test]
fn a_zone_cut_off_with_a_controller_for_longer_than_a_lease_runs_nothing_twice() {
    for seed in SEEDS {
        for inside_leads in [false, true] {
            let mut w = busy(seed);
            let l = w.leader().expect("leads");
            w.cut_zone("b", if inside_leads { l } else { (l + 1) % 3 });
            w.run(2_000);
            let r = w.withdraw("job-000002", (l + 2) % 3);
            w.run(LEASE_MS * 2);
            w.join_zone();
            if w.status(r) != 200 {
                w.withdraw("job-000002", (l + 2) % 3);
            }
            w.run(2_000);
            w.ends_well();
        }
    }
}

#[test]
fn cancelled_tasks_on_machines_that_hang_are_gone_when_their_time_is_up() {
    for seed in SEEDS {
        for hang in [3_000, LEASE_MS - 1_000, LEASE_MS + 3_000, CANCEL_MS + 8_000] {
            let mut w = busy(seed);
            let until = w.now + hang;
            let r = w.withdraw("job-000002", seed as usize % 3);
            w.workers.values_mut().for_each(|x| x.hung_until = until);
            w.until(1_000, "confirmed", |w| w.status(r) == 200);
            w.run(hang + 5_000);
            w.ends_well();
        }
    }
}

#[test]
fn more_work_than_room_over_slow_links_starves_neither_urgent_work_nor_the_rest() {
    for seed in SEEDS {
        let mut w = busy(seed);
        w.withdraw("job-000002", 0);
        w.late_reports = 0.2;
        for n in 10..22 {
            let mut s = w.spec(n, "batch", 6);
            s["crew"] = json!("blue");
            s["rank"] = json!(["high", "standard", "best_effort"][n as usize % 3]);
            s["size_gb"] = json!(4.0);
            s["kit"] = json!(format!("img-{n}"));
            w.submit(s, 8_000, n as usize % 3);
        }
        w.run(20_000);
        let s = w.spec(3, "standing", 4);
        w.submit(s, u64::MAX, 1);
        w.until(30_000, "the urgent one runs", |w| w.running_of("job-000003") == 4);
        // What was stopped for it waits on through a change of leader.
        let l = w.leader().expect("leads");
        w.crash(l, 1_000);
        w.late_reports = 0.0;
        w.run(9_000);
        w.ends_well();
    }
}

#[test]
fn a_cancellation_a_question_and_a_repeat_at_the_end_of_the_last_task_agree() {
    for seed in SEEDS {
        let mut w = busy(seed);
        w.state.slow_watches = true;
        for (n, before) in (10..26).zip((0..).step_by(60)) {
            accepted(&mut w, n, "batch", 1, 3_000);
            let uid = format!("job-{n:06}");
            w.until(10_000, "runs", |w| w.running_of(&uid) == 1);
            w.run(3_400 - before);
            let spec = w.jobs[&uid].spec.clone();
            w.withdraw(&uid, 0);
            w.submit(spec.clone(), 3_000, 1);
            w.poll(&uid, 2);
            w.run(100);
            w.withdraw(&uid, 1);
            w.poll(&uid, 0);
            w.submit(spec, 3_000, 2);
            w.run(400);
            let asked: Vec<u64> = (0..3).map(|i| w.poll(&uid, i)).collect();
            w.run(100);
            let told: Vec<_> = asked.iter().map(|r| w.answer(*r)["status"].clone()).collect();
            assert!(told.iter().all(|s| *s == told[0]), "seed {seed}: {uid}: {told:?}");
        }
        w.withdraw("job-000002", 1);
        w.ends_well();
    }
}

#[test]
fn jobs_bound_to_a_zone_that_loses_its_machines_go_on_there_when_it_has_new_ones() {
    for seed in SEEDS {
        let mut w = busy(seed);
        w.withdraw("job-000002", 0);
        let mut s = w.spec(3, "standing", 2);
        s["yard"] = json!("b");
        w.submit(s, u64::MAX, 0);
        let mut s = w.spec(4, "batch", 5);
        s["yard"] = json!("b");
        w.submit(s, 8_000, 1);
        let mut s = w.spec(5, "batch", 3);
        s["together"] = json!(true);
        w.submit(s, 8_000, 2);
        w.run(8_000);
        let there: Vec<String> =
            w.workers.iter().filter(|(_, x)| x.yard == "b").map(|(n, _)| n.clone()).collect();
        for (i, name) in there.iter().enumerate() {
            match i % 2 {
                0 => w.kill_machine(name),
                _ => w.fail_machine(name),
            }
        }
        let l = w.leader().expect("leads");
        w.crash(l, 1_500);
        w.run(5_000);
        w.ends_well();
    }
}

#[test]
fn ten_changes_of_leader_in_two_minutes_leave_no_task_without_record_and_no_job_waiting() {
    for seed in SEEDS {
        let mut w = busy(seed);
        for k in 0..10 {
            if let Some(l) = w.leader() {
                w.crash(l, [20, 300, 2_500][k % 3]);
            }
            if k == 4 {
                w.state.outage = true;
            }
            if k == 6 {
                w.end_outage();
            }
            let n = 10 + k as u64;
            let s = w.spec(n, "batch", 2);
            w.submit(s, 4_000, k % 3);
            w.run(6_000);
            if k % 3 == 2 {
                w.withdraw(&format!("job-{n:06}"), (k + 1) % 3);
            }
            w.run(6_000);
        }
        w.withdraw("job-000002", 1);
        w.run(1_000);
        w.withdraw("job-000002", 2);
        w.ends_well();
        assert_eq!(w.jobs["job-000001"].starts, 3, "seed {seed}: the service lost no lease");
    }
}

#[test]
fn a_leader_and_a_follower_whose_turns_come_late_stay_safe_across_leases_and_elections() {
    for seed in SEEDS {
        for turn_ms in [300, 1_500, 3_500] {
            let mut w = busy(seed);
            let l = w.leader().expect("leads");
            let (slow, other) = ((l + 1) % 3, (l + 2) % 3);
            w.nodes[l].turn_ms = turn_ms;
            w.nodes[slow].turn_ms = turn_ms / 2;
            let name = w.workers.keys().next().cloned().expect("one");
            w.workers.get_mut(&name).expect("there").cut = true;
            accepted(&mut w, 3, "batch", 4, 2_000);
            w.withdraw("job-000002", other);
            w.run(LEASE_MS + 3_000);
            w.workers.get_mut(&name).expect("there").cut = false;
            w.crash(other, 2_000);
            w.run(5_000);
            if let Some(l) = w.leader() {
                w.crash(l, 1_000);
            }
            w.run(10_000);
            for n in &mut w.nodes {
                n.turn_ms = 0;
            }
            w.run(2_000);
            w.withdraw("job-000002", other);
            w.ends_well();
        }
    }
}

#[test]
fn bad_input_on_any_side_ends_no_process_and_changes_nothing() {
    for seed in SEEDS {
        let mut w = busy(seed);
        let good = json!({"stead": "n-000077", "address": "x", "build": "g4", "yard": "a",
            "lendables": false, "tenure": 1, "tally": 1, "baton": 0, "recall_s": null, "loads": []});
        let odd = [
            ("stead", json!(7)),
            ("tenure", json!(-1)),
            ("tenure", json!(u64::MAX)),
            ("tally", json!(u64::MAX)),
            ("tally", json!(1.5)),
            ("recall_s", json!(1e300)),
            ("recall_s", json!(-1e300)),
            ("loads", json!(null)),
            ("loads", json!([{"load": "job-000001", "try": 1, "status": "running"}])),
            ("loads", json!([{"load": "job-000001/x", "try": 1, "status": "running"}])),
            (
                "loads",
                json!([{"load": "job-000001/4294967295", "try": u64::MAX, "status": "running"}]),
            ),
            ("loads", json!([{"load": "job-000001/0", "try": 1, "status": "asleep"}])),
            ("build", json!("no such type")),
        ];
        for i in 0..3 {
            let mut bodies: Vec<String> = NONSENSE.iter().map(|b| b.to_string()).collect();
            for (n, (field, value)) in odd.iter().enumerate() {
                let mut b = good.clone();
                b["stead"] = json!(format!("n-{:06}", 900 + n));
                b[*field] = value.clone();
                bodies.push(b.to_string());
                // And once more, as a second report.
                b["baton"] = json!(1);
                b["tally"] = json!(b["tally"].as_u64().unwrap_or(1).saturating_add(1));
                bodies.push(b.to_string());
            }
            for b in bodies {
                let (path, body) = ("/checkin".to_string(), b.clone().into_bytes());
                let r = w.ask(i, "job-000099", "other", "POST", path, body.clone());
                w.peer_says(i, "/gossip", &body);
                w.peer_says(i, "/relay", &body);
                w.ask(i, "job-000099", "other", "POST", "/v1/jobs".into(), body);
                w.run(30);
                let status = w.status(r);
                assert!([200, 400, 421, 503].contains(&status) || status == 0, "{status} for {b}");
            }
        }
        w.state.nonsense = 0.2;
        w.run(10_000);
        w.state.nonsense = 0.0;
        w.run(8_000);
        w.withdraw("job-000002", 1);
        w.ends_well();
    }
}

#[test]
fn placements_stored_on_a_machine_that_was_found_gone_meanwhile_start_elsewhere() {
    for seed in SEEDS {
        let mut w = busy(seed);
        let before = w.state.under("mg/2/jobs/").len();
        let s = w.spec(3, "batch", 3);
        w.submit(s, 2_000, 0);
        w.until(2_000, "accepted", |w| w.state.under("mg/2/jobs/").len() > before);
        // The commit that places its tasks is under way until their machines are known to be gone.
        w.state.late_writes = 1.0;
        w.run(500);
        for name in w.workers.keys().cloned().collect::<Vec<_>>() {
            w.kill_machine(&name);
        }
        w.run(11_000);
        w.state.late_writes = 0.0;
        w.run(13_000);
        w.withdraw("job-000002", 1);
        w.ends_well();
    }
}

#[test]
fn a_token_that_no_leader_ever_had_deposes_nobody() {
    // Every leader stores its term before it shows it. A report with a token above all terms once
    // made the leader step down, and with the largest number of all there was no next term.
    for token in [1_000, u64::MAX] {
        let mut w = World::new(1);
        w.until(10_000, "a leader", |w| w.leader().is_some());
        w.run(3_000);
        let leader = w.leader().expect("one leads");
        let term =
            w.nodes[leader].core.as_ref().expect("it runs").leading_term().expect("it leads");
        let name = w.workers.keys().next().expect("there are workers").clone();
        w.workers.get_mut(&name).expect("there").claim_token(token);
        let s = w.spec(1, "batch", 6);
        w.submit(s, 2_000, leader);
        w.until_done("job-000001", 60_000);
        assert_eq!(w.leader(), Some(leader), "token {token}");
        let leads = w.nodes[leader].core.as_ref().expect("it runs").leading_term();
        assert_eq!(leads, Some(term), "in the same term");
        // The same where nobody can read the store: the token is out of all proportion.
        w.state.outage = true;
        w.run(6_000);
        assert_eq!(w.leader(), Some(leader), "token {token}, without the store");
        w.end_outage();
        w.ends_well();
        let leads =
            w.leader().and_then(|l| w.nodes[l].core.as_ref().expect("it runs").leading_term());
        assert!(leads.expect("one leads") <= term + 1, "and terms go on from where they were");
    }
}
