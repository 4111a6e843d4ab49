//! Meetings of troubles: one story each at least for the meetings that the users named, over
//! several seeds. The world's checker watches every rule all the while.

mod simulation;

use serde_json::json;
use simulation::*;

const SEEDS: std::ops::Range<u64> = 0..6;

/// A world with a leader and job-000001, a service of three replicas, and job-000002, a long
/// array of two tasks, running.
fn busy(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed);
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    sim.run(3_000);
    let s = sim.job_spec(1, "standing", 3);
    sim.submit(s, u64::MAX, 0);
    let s = sim.job_spec(2, "batch", 2);
    sim.submit(s, 200_000, 1);
    sim.run_until(15_000, "all run", |sim| sim.running_tasks() == 5);
    sim
}

fn runs(sim: &Simulation, job: &str) -> bool {
    sim.workers.values().any(|x| x.holds_task_of(job))
}

/// The state service refuses the leader alone, another controller confirms the cancellation
/// of job-000002, and right after it nobody is served. Gives the leader.
fn gap(sim: &mut Simulation) -> usize {
    let old = sim.leader().expect("leads");
    let other = (old + 1) % 3;
    sim.nodes[old].refused_by_state = true;
    sim.run(300);
    let r = sim.cancel("job-000002", other);
    sim.run_until(1_000, "confirmed", |sim| sim.response_status(r) == 200);
    sim.state.outage = true;
    old
}

fn gap_over(sim: &mut Simulation, old: usize) {
    sim.nodes[old].refused_by_state = false;
    sim.end_outage();
}

/// A job's user repeats its submission until it is accepted.
fn accepted(sim: &mut Simulation, n: u64, shape: &str, loads: u32, run_ms: u64) {
    let uid = format!("job-{n:06}");
    let end = sim.now + 20_000;
    while sim.jobs.get(&uid).is_none_or(|j| j.accepted_at.is_none()) {
        assert!(sim.now < end, "{uid} is not accepted: {}", sim.describe());
        let s = sim.job_spec(n, shape, loads);
        sim.submit(s, run_ms, n as usize % 3);
        sim.run(1_000);
    }
}

/// The service runs, and a new job is done.
fn serves(sim: &mut Simulation) {
    accepted(sim, 3, "batch", 3, 1_000);
    sim.run_until_done("job-000003", 60_000);
    sim.run_until(60_000, "the service runs", |sim| sim.running_tasks() == 3);
}

#[test]
fn a_leader_refused_alone_stops_what_a_peer_says_is_over_and_keeps_the_rest() {
    for seed in SEEDS {
        let mut sim = busy(seed);
        let old = gap(&mut sim);
        sim.run_until(HEARTBEAT_MS * 3, "its tasks are stopped", |sim| !runs(sim, "job-000002"));
        sim.run(CANCEL_MS * 2);
        assert_eq!(sim.running_tasks(), 3, "seed {seed}: the service runs all through the outage");
        assert_eq!(sim.jobs["job-000001"].starts, 3, "seed {seed}: and lost no lease");
        gap_over(&mut sim, old);
        serves(&mut sim);
    }
}

#[test]
fn a_thousand_jobs_that_end_at_once_are_named_in_one_message_and_more_are_not_vouched_for() {
    for (ends, kept) in [(1_000, 3), (5_000, 0)] {
        let mut sim = busy(1);
        accepted(&mut sim, 9, "batch", 1, 500);
        sim.run_until_done("job-000009", 20_000);
        let end = sim.state.get("mg/2/end/job-000009").expect("it ended").clone();
        let old = sim.leader().expect("leads");
        sim.nodes[old].refused_by_state = true;
        for n in 0..ends {
            sim.state.put(&format!("mg/2/end/job-{:06}", 500_000 + n), end.clone());
        }
        let r = sim.cancel("job-000002", (old + 1) % 3);
        sim.run_until(1_500, "confirmed", |sim| sim.response_status(r) == 200);
        sim.run(100);
        sim.state.outage = true;
        sim.run(CANCEL_MS + 5_000);
        // 4,096 names of eleven bytes.
        assert!(sim.peer_response_bytes_max < 48 * 1024, "{} bytes", sim.peer_response_bytes_max);
        assert_eq!(sim.running_tasks(), kept, "after {ends} ends");
        gap_over(&mut sim, old);
        serves(&mut sim);
    }
}

#[test]
fn a_leader_refused_alone_and_cut_from_its_peers_lets_leases_end_in_time() {
    for seed in SEEDS {
        let mut sim = busy(seed);
        let old = sim.leader().expect("leads");
        sim.nodes[old].partitioned_from_peers = true;
        gap(&mut sim);
        // The checker sees that nothing of the cancelled job is left when its time is up.
        sim.run(CANCEL_MS + 5_000);
        assert_eq!(sim.running_tasks(), 0, "seed {seed}: what nobody vouches for is not kept");
        sim.nodes[old].partitioned_from_peers = false;
        gap_over(&mut sim, old);
        serves(&mut sim);
    }
}

#[test]
fn the_word_of_a_controller_that_confirmed_and_ended_is_not_made_up_by_its_next_life() {
    for seed in SEEDS {
        for back in [20, 400, 5_000] {
            let mut sim = busy(seed);
            // Nobody else knows, and the leader hears the other's next life only.
            let old = sim.leader().expect("leads");
            let other = (old + 1) % 3;
            sim.nodes[(old + 2) % 3].refused_by_state = true;
            sim.nodes[other].partitioned_from_peers = true;
            sim.run(300);
            gap(&mut sim);
            sim.crash(other, back);
            sim.nodes[other].partitioned_from_peers = false;
            sim.run(CANCEL_MS + 5_000);
            sim.nodes[(old + 2) % 3].refused_by_state = false;
            gap_over(&mut sim, old);
            serves(&mut sim);
        }
    }
}

#[test]
fn a_message_held_on_the_way_vouches_for_nothing() {
    for seed in SEEDS {
        let mut sim = busy(seed);
        let old = sim.leader().expect("leads");
        let other = (old + 1) % 3;
        // All are refused. What the others ask of the leader, and say by it, is held.
        sim.state.outage = true;
        sim.run(3_000);
        for i in (0..3).filter(|i| *i != old) {
            sim.nodes[i].peer_requests_delayed_until = sim.now + CANCEL_MS - 3_000;
        }
        sim.run(2_000);
        // The leader hears nobody; the other is served for a moment.
        sim.nodes[old].partitioned_from_peers = true;
        sim.nodes[old].refused_by_state = true;
        sim.end_outage();
        sim.run(1_000);
        let r = sim.cancel("job-000002", other);
        sim.run_until(1_000, "confirmed", |sim| sim.response_status(r) == 200);
        sim.state.outage = true;
        sim.run(CANCEL_MS + 5_000);
        sim.nodes[old].partitioned_from_peers = false;
        gap_over(&mut sim, old);
        serves(&mut sim);
    }
}

#[test]
fn a_start_that_is_stored_is_not_ordered_by_a_leader_that_may_have_missed_a_cancellation() {
    for seed in SEEDS {
        let mut sim = busy(seed);
        let old = sim.leader().expect("leads");
        // No worker reports between the placement and the cancellation.
        sim.workers.values_mut().for_each(|x| x.heartbeats_lost = true);
        let s = sim.job_spec(4, "batch", 2);
        let r = sim.submit(s, 5_000, old);
        sim.run_until(1_000, "accepted", |sim| sim.response_status(r) == 201);
        sim.run_until(2_000, "placed", |sim| {
            sim.state
                .entries_under("mg/2/place/")
                .iter()
                .any(|(_, v)| v.to_string().contains("000004/"))
        });
        sim.nodes[old].refused_by_state = true;
        sim.nodes[old].partitioned_from_peers = true;
        let r = sim.cancel("job-000004", (old + 1) % 3);
        sim.run_until(500, "confirmed", |sim| sim.response_status(r) == 200);
        sim.state.outage = true;
        sim.run(2_500);
        for x in sim.workers.values_mut() {
            x.heartbeats_lost = false;
            x.switch_to(old);
        }
        sim.run(8_000);
        assert_eq!(sim.jobs["job-000004"].starts, 0, "seed {seed}");
        assert_eq!(sim.running_tasks(), 5, "seed {seed}: leases are still renewed");
        sim.nodes[old].partitioned_from_peers = false;
        gap_over(&mut sim, old);
        sim.run(5_000);
        let r = sim.cancel("job-000002", 0);
        sim.run_until(5_000, "confirmed", |sim| sim.response_status(r) == 200);
        serves(&mut sim);
    }
}

#[test]
fn starts_go_on_in_an_outage_in_which_every_peer_vouches() {
    let mut sim = busy(1);
    sim.workers.values_mut().for_each(|x| x.heartbeats_lost = true);
    let s = sim.job_spec(4, "batch", 2);
    let r = sim.submit(s, 5_000, 0);
    sim.run_until(1_000, "accepted", |sim| sim.response_status(r) == 201);
    sim.run_until(2_000, "placed", |sim| {
        sim.state
            .entries_under("mg/2/place/")
            .iter()
            .any(|(_, v)| v.to_string().contains("000004/"))
    });
    sim.state.outage = true;
    sim.run(3_000);
    sim.workers.values_mut().for_each(|x| x.heartbeats_lost = false);
    sim.run_until(8_000, "both start", |sim| sim.jobs["job-000004"].starts == 2);
}

#[test]
fn a_cancellation_at_the_moment_of_the_refusal_holds_when_all_is_out_a_second_later() {
    for seed in SEEDS {
        for after in [0, 20, 200, 1_000] {
            let mut sim = busy(seed);
            let old = sim.leader().expect("leads");
            sim.nodes[old].refused_by_state = true;
            for uid in ["job-000001", "job-000002"] {
                sim.cancel(uid, (old + 1) % 3);
                sim.cancel(uid, (old + 2) % 3);
            }
            sim.run(after);
            sim.state.outage = true;
            sim.run(CANCEL_MS + 10_000);
            gap_over(&mut sim, old);
            sim.assert_all_jobs_complete();
        }
    }
}

#[test]
fn a_slow_state_service_that_refuses_the_leader_and_then_all_answers_no_one_wrongly() {
    for seed in SEEDS {
        let mut sim = busy(seed);
        sim.state.commit_response_delay_ms = 900;
        sim.state.watches_stalled = true;
        for n in 10..14 {
            let s = sim.job_spec(n, "batch", 1);
            sim.submit(s, 3_000, n as usize % 3);
        }
        sim.run(2_000);
        sim.state.commit_response_delay_ms = 0;
        let old = gap(&mut sim);
        for _ in 0..20 {
            for i in 0..3 {
                sim.poll("job-000002", i);
                sim.cancel("job-000012", i);
                sim.poll("job-000012", i);
            }
            sim.run(2_000);
        }
        sim.state.watches_stalled = false;
        gap_over(&mut sim, old);
        sim.assert_all_jobs_complete();
    }
}

#[test]
fn controllers_hand_over_and_back_all_end_and_one_returns_within_a_second() {
    for seed in SEEDS {
        let mut sim = busy(seed);
        for back in [3_000, 100, 20] {
            let l = sim.leader().expect("leads");
            sim.crash(l, back);
            sim.run_until(8_000, "one leads", |sim| sim.leader().is_some());
            sim.run(150);
        }
        for (i, back) in [300, 4_000, 5_000].into_iter().enumerate() {
            sim.crash(i, back);
        }
        sim.run(9_000);
        assert_eq!(sim.running_tasks(), 5, "seed {seed}: {}", sim.describe());
        let starts = (sim.jobs["job-000001"].starts, sim.jobs["job-000002"].starts);
        assert_eq!(starts, (3, 2), "seed {seed}: no lease was lost, nothing started anew");
        sim.cancel("job-000002", 0);
        sim.assert_all_jobs_complete();
    }
}

#[test]
fn a_team_at_its_limit_stays_under_it_when_a_leader_and_machines_are_lost_and_a_job_cancelled() {
    for seed in SEEDS {
        let mut sim = busy(seed);
        // Twelve GPUs are the limit: seven more run, and four wait.
        accepted(&mut sim, 3, "standing", 7, u64::MAX);
        accepted(&mut sim, 4, "standing", 4, u64::MAX);
        sim.run_until(40_000, "at the limit", |sim| sim.running_tasks() == 12);
        let cut: Vec<String> = sim.workers.keys().take(2).cloned().collect();
        cut.iter().for_each(|n| sim.workers.get_mut(n).expect("there").partitioned = true);
        let l = sim.leader().expect("leads");
        sim.crash(l, 2_000);
        let r = sim.cancel("job-000003", (l + 1) % 3);
        sim.run_until(2_000, "confirmed", |sim| sim.response_status(r) == 200);
        sim.run(5_000);
        cut.iter().for_each(|n| sim.workers.get_mut(n).expect("there").partitioned = false);
        sim.run(8_000);
        sim.cancel("job-000002", l);
        sim.assert_all_jobs_complete();
    }
}

#[test]
fn old_reports_after_newer_ones_of_an_earlier_session_or_attempt_settle_nothing() {
    for seed in SEEDS {
        let mut sim = busy(seed);
        sim.duplicate_heartbeat_rate = 0.6;
        sim.duplicate_delay_max_ms = LEASE_MS * 3;
        let all: Vec<String> = sim.workers.keys().cloned().collect();
        // Each in turn loses its session; its tasks start elsewhere and later come back to it.
        for (i, name) in all.iter().cycle().take(4).enumerate() {
            sim.workers.get_mut(name).expect("there").partitioned = true;
            sim.run(LEASE_MS + 2_500);
            sim.workers.get_mut(name).expect("there").partitioned = false;
            sim.run(2_000);
            if i % 2 == 1 {
                let l = sim.leader().expect("leads");
                sim.crash(l, 1_000);
                sim.run(2_000);
            }
        }
        sim.duplicate_heartbeat_rate = 0.0;
        sim.cancel("job-000002", 0);
        sim.assert_all_jobs_complete();
    }
}

#[test]
fn all_controllers_away_for_longer_than_a_lease_start_again_what_ended_with_it() {
    for seed in SEEDS {
        let mut sim = busy(seed);
        sim.duplicate_heartbeat_rate = 0.5;
        for i in 0..3 {
            sim.crash(i, LEASE_MS + 2_000 + 700 * i as u64);
        }
        sim.run(LEASE_MS + 1_000);
        assert_eq!(sim.running_tasks(), 0, "seed {seed}: leases are over");
        sim.duplicate_heartbeat_rate = 0.0;
        sim.run(10_000);
        sim.cancel("job-000002", 1);
        sim.assert_all_jobs_complete();
    }
}

#[test]
fn tasks_that_end_far_apart_across_changes_of_leader_run_once_each() {
    for seed in SEEDS {
        let mut sim = busy(seed);
        for (n, loads) in [(3, 3), (4, 2)] {
            accepted(&mut sim, n, "batch", loads, 1_000);
            sim.jobs.get_mut(&format!("job-{n:06}")).expect("there").run_increment_ms = 9_000;
        }
        for back in [50, 2_000, 400] {
            sim.run(6_000);
            let l = sim.leader().expect("leads");
            sim.crash(l, back);
        }
        sim.run_until_done("job-000003", 60_000);
        sim.run_until_done("job-000004", 60_000);
        let ordered =
            (sim.jobs["job-000003"].start_commands, sim.jobs["job-000004"].start_commands);
        assert_eq!(ordered, (3, 2), "seed {seed}: none is ordered again once it is done");
        sim.cancel("job-000002", 1);
        sim.assert_all_jobs_complete();
    }
}

#[test]
fn what_runs_on_mute_machines_starts_elsewhere_only_after_its_lease() {
    for seed in SEEDS {
        for mute_ms in [LEASE_MS / 2, LEASE_MS - 1_000, LEASE_MS + 4_000] {
            let mut sim = busy(seed);
            let name = sim.workers.keys().next().cloned().expect("one");
            sim.workers.get_mut(&name).expect("there").heartbeats_lost = true;
            sim.run(mute_ms / 2);
            if seed % 2 == 0 {
                let l = sim.leader().expect("leads");
                sim.crash(l, 500);
            }
            sim.run(mute_ms / 2);
            sim.workers.get_mut(&name).expect("there").heartbeats_lost = false;
            sim.cancel("job-000002", 1);
            sim.run(5_000);
            sim.assert_all_jobs_complete();
        }
    }
}

#[test]
fn a_leader_that_ends_while_machines_are_out_of_reach_leaves_their_tasks_to_their_leases() {
    for seed in SEEDS {
        for deaf in [false, true] {
            let mut sim = busy(seed);
            let all: Vec<String> = sim.workers.keys().cloned().collect();
            for n in &all {
                let x = sim.workers.get_mut(n).expect("there");
                (x.partitioned, x.responses_lost) = (!deaf, deaf);
            }
            let l = sim.leader().expect("leads");
            sim.crash(l, 3_000);
            sim.run(9_000);
            for n in &all {
                let x = sim.workers.get_mut(n).expect("there");
                (x.partitioned, x.responses_lost) = (false, false);
            }
            sim.run(5_000);
            sim.cancel("job-000002", 1);
            sim.assert_all_jobs_complete();
        }
    }
}

#[test]
fn jobs_cancelled_through_a_new_leader_end_on_machines_that_report_to_the_old_one() {
    for seed in SEEDS {
        let mut sim = busy(seed);
        let old = sim.leader().expect("leads");
        sim.nodes[old].partitioned_from_state = true;
        sim.nodes[old].partitioned_from_peers = true;
        sim.run_until(10_000, "another leads", |sim| sim.leader().is_some_and(|l| l != old));
        let new = sim.leader().expect("leads");
        let r = sim.cancel("job-000002", new);
        sim.run_until(2_000, "confirmed", |sim| sim.response_status(r) == 200);
        for _ in 0..10 {
            // The old one can't know, and says so.
            sim.poll("job-000002", old);
            sim.run((CANCEL_MS + 5_000) / 10);
        }
        sim.nodes[old].partitioned_from_state = false;
        sim.nodes[old].partitioned_from_peers = false;
        sim.assert_all_jobs_complete();
    }
}

#[test]
fn transactions_carried_out_after_newer_ones_bring_nothing_back() {
    for seed in SEEDS {
        let mut sim = busy(seed);
        sim.state.unanswered_commit_rate = 0.4;
        for n in 10..20 {
            let s = sim.job_spec(n, "batch", 2);
            sim.submit(s, 2_000, n as usize % 3);
            sim.run(1_000);
            sim.cancel(&format!("job-{:06}", n - 2), (n as usize + 1) % 3);
            if n == 15 {
                let l = sim.leader().expect("leads");
                sim.crash(l, 200);
                sim.run(1_000);
            }
        }
        sim.state.unanswered_commit_rate = 0.0;
        sim.run(13_000);
        for n in 10..20 {
            let s = sim.job_spec(n, "batch", 2);
            sim.submit(s, 2_000, n as usize % 3);
        }
        sim.cancel("job-000002", 1);
        sim.assert_all_jobs_complete();
    }
}

#[test]
fn a_report_held_until_a_new_leader_has_acted_brings_nothing_back_there() {
    for seed in SEEDS {
        let mut sim = busy(seed);
        let old = sim.leader().expect("leads");
        let new = (old + 1) % 3;
        let name = sim.workers.keys().next().cloned().expect("one");
        // It reports to the one that will lead; the report is held beyond its lease.
        let until = sim.now + LEASE_MS + 6_000;
        let x = sim.workers.get_mut(&name).expect("there");
        x.switch_to(new);
        x.heartbeats_delayed_until = Some(until);
        sim.crash((old + 2) % 3, 30_000);
        sim.crash(old, 20_000);
        sim.run(LEASE_MS + 9_000);
        sim.workers.get_mut(&name).expect("there").heartbeats_delayed_until = None;
        sim.run(12_000);
        sim.cancel("job-000002", 1);
        sim.assert_all_jobs_complete();
    }
}

#[test]
fn a_report_from_before_a_start_that_comes_to_a_new_leader_frees_nothing_of_a_team_at_its_limit() {
    for seed in SEEDS {
        let mut sim = busy(seed);
        let old = sim.leader().expect("leads");
        let new = (old + 1) % 3;
        for name in sim.workers.keys().cloned().collect::<Vec<_>>() {
            sim.send_duplicate_heartbeat(&name, new, 20_000);
        }
        accepted(&mut sim, 3, "standing", 3, u64::MAX);
        sim.run_until(10_000, "on the machines there are", |sim| {
            sim.running_tasks_of("job-000003") == 3
        });
        accepted(&mut sim, 4, "standing", 4, u64::MAX);
        accepted(&mut sim, 5, "standing", 4, u64::MAX);
        sim.run_until(15_000, "at the limit", |sim| sim.running_tasks() == 12);
        let begun: Vec<String> = sim.workers.keys().take(2).cloned().collect();
        begun.iter().for_each(|n| sim.workers.get_mut(n).expect("there").partitioned = true);
        sim.crash(old, 8_000);
        sim.crash((old + 2) % 3, 9_000);
        sim.run_until(8_000, "the new one leads", |sim| sim.leader() == Some(new));
        let r = sim.cancel("job-000003", new);
        sim.run_until(2_000, "confirmed", |sim| sim.response_status(r) == 200);
        // The copies come now: job-000003 is not on them, and unwanted, but still there.
        sim.run(8_000);
        begun.iter().for_each(|n| sim.workers.get_mut(n).expect("there").partitioned = false);
        sim.run(CANCEL_MS);
        sim.cancel("job-000002", new);
        sim.assert_all_jobs_complete();
    }
}

#[test]
fn a_zone_cut_off_with_a_controller_for_longer_than_a_lease_runs_nothing_twice() {
    for seed in SEEDS {
        for inside_leads in [false, true] {
            let mut sim = busy(seed);
            let l = sim.leader().expect("leads");
            sim.partition_zone("b", if inside_leads { l } else { (l + 1) % 3 });
            sim.run(2_000);
            let r = sim.cancel("job-000002", (l + 2) % 3);
            sim.run(LEASE_MS * 2);
            sim.heal_zone_partition();
            if sim.response_status(r) != 200 {
                sim.cancel("job-000002", (l + 2) % 3);
            }
            sim.run(2_000);
            sim.assert_all_jobs_complete();
        }
    }
}

#[test]
fn cancelled_tasks_on_machines_that_hang_are_gone_when_their_time_is_up() {
    for seed in SEEDS {
        for hang in [3_000, LEASE_MS - 1_000, LEASE_MS + 3_000, CANCEL_MS + 8_000] {
            let mut sim = busy(seed);
            let until = sim.now + hang;
            let r = sim.cancel("job-000002", seed as usize % 3);
            sim.workers.values_mut().for_each(|x| x.hung_until = until);
            sim.run_until(1_000, "confirmed", |sim| sim.response_status(r) == 200);
            sim.run(hang + 5_000);
            sim.assert_all_jobs_complete();
        }
    }
}

#[test]
fn more_work_than_room_over_slow_links_starves_neither_urgent_work_nor_the_rest() {
    for seed in SEEDS {
        let mut sim = busy(seed);
        sim.cancel("job-000002", 0);
        sim.delayed_heartbeat_rate = 0.2;
        for n in 10..22 {
            let mut s = sim.job_spec(n, "batch", 6);
            s["crew"] = json!("blue");
            s["rank"] = json!(["high", "standard", "best_effort"][n as usize % 3]);
            s["size_gb"] = json!(4.0);
            s["kit"] = json!(format!("img-{n}"));
            sim.submit(s, 8_000, n as usize % 3);
        }
        sim.run(20_000);
        let s = sim.job_spec(3, "standing", 4);
        sim.submit(s, u64::MAX, 1);
        sim.run_until(30_000, "the urgent one runs", |sim| sim.running_tasks_of("job-000003") == 4);
        // What was stopped for it waits on through a change of leader.
        let l = sim.leader().expect("leads");
        sim.crash(l, 1_000);
        sim.delayed_heartbeat_rate = 0.0;
        sim.run(9_000);
        sim.assert_all_jobs_complete();
    }
}

#[test]
fn a_cancellation_a_question_and_a_repeat_at_the_end_of_the_last_task_agree() {
    for seed in SEEDS {
        let mut sim = busy(seed);
        sim.state.watches_stalled = true;
        for (n, before) in (10..26).zip((0..).step_by(60)) {
            accepted(&mut sim, n, "batch", 1, 3_000);
            let uid = format!("job-{n:06}");
            sim.run_until(10_000, "runs", |sim| sim.running_tasks_of(&uid) == 1);
            sim.run(3_400 - before);
            let spec = sim.jobs[&uid].spec.clone();
            sim.cancel(&uid, 0);
            sim.submit(spec.clone(), 3_000, 1);
            sim.poll(&uid, 2);
            sim.run(100);
            sim.cancel(&uid, 1);
            sim.poll(&uid, 0);
            sim.submit(spec, 3_000, 2);
            sim.run(400);
            let asked: Vec<u64> = (0..3).map(|i| sim.poll(&uid, i)).collect();
            sim.run(100);
            let told: Vec<_> =
                asked.iter().map(|r| sim.response_body(*r)["status"].clone()).collect();
            assert!(told.iter().all(|s| *s == told[0]), "seed {seed}: {uid}: {told:?}");
        }
        sim.cancel("job-000002", 1);
        sim.assert_all_jobs_complete();
    }
}

#[test]
fn jobs_bound_to_a_zone_that_loses_its_machines_go_on_there_when_it_has_new_ones() {
    for seed in SEEDS {
        let mut sim = busy(seed);
        sim.cancel("job-000002", 0);
        let mut s = sim.job_spec(3, "standing", 2);
        s["yard"] = json!("b");
        sim.submit(s, u64::MAX, 0);
        let mut s = sim.job_spec(4, "batch", 5);
        s["yard"] = json!("b");
        sim.submit(s, 8_000, 1);
        let mut s = sim.job_spec(5, "batch", 3);
        s["together"] = json!(true);
        sim.submit(s, 8_000, 2);
        sim.run(8_000);
        let there: Vec<String> =
            sim.workers.iter().filter(|(_, x)| x.zone == "b").map(|(n, _)| n.clone()).collect();
        for (i, name) in there.iter().enumerate() {
            match i % 2 {
                0 => sim.remove_machine(name),
                _ => sim.fail_machine(name),
            }
        }
        let l = sim.leader().expect("leads");
        sim.crash(l, 1_500);
        sim.run(5_000);
        sim.assert_all_jobs_complete();
    }
}

#[test]
fn ten_changes_of_leader_in_two_minutes_leave_no_task_without_record_and_no_job_waiting() {
    for seed in SEEDS {
        let mut sim = busy(seed);
        for k in 0..10 {
            if let Some(l) = sim.leader() {
                sim.crash(l, [20, 300, 2_500][k % 3]);
            }
            if k == 4 {
                sim.state.outage = true;
            }
            if k == 6 {
                sim.end_outage();
            }
            let n = 10 + k as u64;
            let s = sim.job_spec(n, "batch", 2);
            sim.submit(s, 4_000, k % 3);
            sim.run(6_000);
            if k % 3 == 2 {
                sim.cancel(&format!("job-{n:06}"), (k + 1) % 3);
            }
            sim.run(6_000);
        }
        sim.cancel("job-000002", 1);
        sim.run(1_000);
        sim.cancel("job-000002", 2);
        sim.assert_all_jobs_complete();
        assert_eq!(sim.jobs["job-000001"].starts, 3, "seed {seed}: the service lost no lease");
    }
}

#[test]
fn a_leader_and_a_follower_whose_turns_come_late_stay_safe_across_leases_and_elections() {
    for seed in SEEDS {
        for batch_duration_ms in [300, 1_500, 3_500] {
            let mut sim = busy(seed);
            let l = sim.leader().expect("leads");
            let (slow, other) = ((l + 1) % 3, (l + 2) % 3);
            sim.nodes[l].batch_duration_ms = batch_duration_ms;
            sim.nodes[slow].batch_duration_ms = batch_duration_ms / 2;
            let name = sim.workers.keys().next().cloned().expect("one");
            sim.workers.get_mut(&name).expect("there").partitioned = true;
            accepted(&mut sim, 3, "batch", 4, 2_000);
            sim.cancel("job-000002", other);
            sim.run(LEASE_MS + 3_000);
            sim.workers.get_mut(&name).expect("there").partitioned = false;
            sim.crash(other, 2_000);
            sim.run(5_000);
            if let Some(l) = sim.leader() {
                sim.crash(l, 1_000);
            }
            sim.run(10_000);
            for n in &mut sim.nodes {
                n.batch_duration_ms = 0;
            }
            sim.run(2_000);
            sim.cancel("job-000002", other);
            sim.assert_all_jobs_complete();
        }
    }
}

#[test]
fn bad_input_on_any_side_ends_no_process_and_changes_nothing() {
    for seed in SEEDS {
        let mut sim = busy(seed);
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
            let mut bodies: Vec<String> = MALFORMED_BODIES.iter().map(|b| b.to_string()).collect();
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
                let r = sim.send_user_request(i, "job-000099", "other", "POST", path, body.clone());
                sim.inject_peer_request(i, "/gossip", &body);
                sim.inject_peer_request(i, "/relay", &body);
                sim.send_user_request(i, "job-000099", "other", "POST", "/v1/jobs".into(), body);
                sim.run(30);
                let status = sim.response_status(r);
                assert!([200, 400, 421, 503].contains(&status) || status == 0, "{status} for {b}");
            }
        }
        sim.state.malformed_response_rate = 0.2;
        sim.run(10_000);
        sim.state.malformed_response_rate = 0.0;
        sim.run(8_000);
        sim.cancel("job-000002", 1);
        sim.assert_all_jobs_complete();
    }
}

#[test]
fn placements_stored_on_a_machine_that_was_found_gone_meanwhile_start_elsewhere() {
    for seed in SEEDS {
        let mut sim = busy(seed);
        let before = sim.state.entries_under("mg/2/jobs/").len();
        let s = sim.job_spec(3, "batch", 3);
        sim.submit(s, 2_000, 0);
        sim.run_until(2_000, "accepted", |sim| {
            sim.state.entries_under("mg/2/jobs/").len() > before
        });
        // The commit that places its tasks is under way until their machines are known to be gone.
        sim.state.unanswered_commit_rate = 1.0;
        sim.run(500);
        for name in sim.workers.keys().cloned().collect::<Vec<_>>() {
            sim.remove_machine(&name);
        }
        sim.run(11_000);
        sim.state.unanswered_commit_rate = 0.0;
        sim.run(13_000);
        sim.cancel("job-000002", 1);
        sim.assert_all_jobs_complete();
    }
}

#[test]
fn a_token_that_no_leader_ever_had_deposes_nobody() {
    // Every leader stores its term before it shows it. A report with a token above all terms once
    // made the leader step down, and with the largest number of all there was no next term.
    for token in [1_000, u64::MAX] {
        let mut sim = Simulation::new(1);
        sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
        sim.run(3_000);
        let leader = sim.leader().expect("one leads");
        let term = sim.nodes[leader]
            .controller
            .as_ref()
            .expect("it runs")
            .leading_term()
            .expect("it leads");
        let name = sim.workers.keys().next().expect("there are workers").clone();
        sim.workers.get_mut(&name).expect("there").set_fencing_token(token);
        let s = sim.job_spec(1, "batch", 6);
        sim.submit(s, 2_000, leader);
        sim.run_until_done("job-000001", 60_000);
        assert_eq!(sim.leader(), Some(leader), "token {token}");
        let leads = sim.nodes[leader].controller.as_ref().expect("it runs").leading_term();
        assert_eq!(leads, Some(term), "in the same term");
        // The same where nobody can read the store: the token is out of all proportion.
        sim.state.outage = true;
        sim.run(6_000);
        assert_eq!(sim.leader(), Some(leader), "token {token}, without the store");
        sim.end_outage();
        sim.assert_all_jobs_complete();
        let leads = sim
            .leader()
            .and_then(|l| sim.nodes[l].controller.as_ref().expect("it runs").leading_term());
        assert!(leads.expect("one leads") <= term + 1, "and terms go on from where they were");
    }
}
