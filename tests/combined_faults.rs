//! Scenarios in which several faults happen together, at least one for each combination that users asked
//! for, over several seeds. The simulation checks its invariants throughout.

mod simulation;

use serde_json::json;
use simulation::*;

const SEEDS: std::ops::Range<u64> = 0..6;

/// A simulation with a leader and two running jobs: job-000001, a service of three replicas, and job-000002, a
/// long array of two tasks.
fn running_cluster(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed);
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    sim.run(3_000);
    let spec = sim.job_spec(1, "standing", 3);
    sim.submit(spec, u64::MAX, 0);
    let spec = sim.job_spec(2, "batch", 2);
    sim.submit(spec, 200_000, 1);
    sim.run_until(15_000, "all run", |sim| sim.running_tasks() == 5);
    sim
}

fn has_tasks(sim: &Simulation, job: &str) -> bool {
    sim.workers.values().any(|w| w.holds_task_of(job))
}

/// The state service refuses only the leader, another controller confirms the cancellation of job-000002,
/// and an outage of the state service follows at once. Returns the leader.
fn cancel_while_leader_is_refused(sim: &mut Simulation) -> usize {
    let old = sim.leader().expect("a leader");
    let other = (old + 1) % 3;
    sim.nodes[old].refused_by_state = true;
    sim.run(300);
    let request = sim.cancel("job-000002", other);
    sim.run_until(1_000, "confirmed", |sim| sim.response_status(request) == 200);
    sim.state.outage = true;
    old
}

/// Ends the outage and the refusal of [`cancel_while_leader_is_refused`].
fn restore_state_service(sim: &mut Simulation, refused: usize) {
    sim.nodes[refused].refused_by_state = false;
    sim.end_outage();
}

/// Repeats the submission of a job until it is accepted.
fn submit_until_accepted(sim: &mut Simulation, n: u64, shape: &str, tasks: u32, run_ms: u64) {
    let job_id = format!("job-{n:06}");
    let end = sim.now + 20_000;
    while sim.jobs.get(&job_id).is_none_or(|j| j.accepted_at.is_none()) {
        assert!(sim.now < end, "{job_id} is not accepted: {}", sim.describe());
        let spec = sim.job_spec(n, shape, tasks);
        sim.submit(spec, run_ms, n as usize % 3);
        sim.run(1_000);
    }
}

/// Asserts that a new job completes and the service of [`running_cluster`] runs.
fn assert_serves_jobs(sim: &mut Simulation) {
    submit_until_accepted(sim, 3, "batch", 3, 1_000);
    sim.run_until_done("job-000003", 60_000);
    sim.run_until(60_000, "the service runs", |sim| sim.running_tasks() == 3);
}

#[test]
fn a_leader_refused_by_the_store_stops_only_jobs_that_a_peer_reports_ended() {
    for seed in SEEDS {
        let mut sim = running_cluster(seed);
        let old = cancel_while_leader_is_refused(&mut sim);
        sim.run_until(HEARTBEAT_MS * 3, "the cancelled tasks have stopped", |sim| {
            !has_tasks(sim, "job-000002")
        });
        sim.run(CANCEL_MS * 2);
        assert_eq!(sim.running_tasks(), 3, "seed {seed}: the service runs throughout the outage");
        assert_eq!(
            sim.jobs["job-000001"].starts, 3,
            "seed {seed}: no lease of the service expired"
        );
        restore_state_service(&mut sim, old);
        assert_serves_jobs(&mut sim);
    }
}

#[test]
fn a_refused_leader_renews_leases_only_if_peers_can_name_all_ended_jobs() {
    // A response names at most 4,096 ended jobs. If more have ended, it doesn't prove that the jobs that it
    // leaves out are live, and the leader, which can't read the store, renews no leases.
    for (ended_jobs, tasks_kept) in [(1_000, 3), (5_000, 0)] {
        let mut sim = running_cluster(1);
        submit_until_accepted(&mut sim, 9, "batch", 1, 500);
        sim.run_until_done("job-000009", 20_000);
        let end_record = sim.state.get("mg/2/end/job-000009").expect("an end record").clone();
        let old = sim.leader().expect("a leader");
        sim.nodes[old].refused_by_state = true;
        for n in 0..ended_jobs {
            sim.state.put(&format!("mg/2/end/job-{:06}", 500_000 + n), end_record.clone());
        }
        let request = sim.cancel("job-000002", (old + 1) % 3);
        sim.run_until(1_500, "confirmed", |sim| sim.response_status(request) == 200);
        sim.run(100);
        sim.state.outage = true;
        sim.run(CANCEL_MS + 5_000);
        // 4,096 names take 11 bytes each.
        assert!(sim.peer_response_bytes_max < 48 * 1024, "{} bytes", sim.peer_response_bytes_max);
        assert_eq!(sim.running_tasks(), tasks_kept, "with {ended_jobs} ended jobs");
        restore_state_service(&mut sim, old);
        assert_serves_jobs(&mut sim);
    }
}

#[test]
fn a_leader_without_store_and_peers_lets_leases_expire_in_time() {
    for seed in SEEDS {
        let mut sim = running_cluster(seed);
        let old = sim.leader().expect("a leader");
        sim.nodes[old].partitioned_from_peers = true;
        cancel_while_leader_is_refused(&mut sim);
        // The simulation checks that no task of the cancelled job runs after CANCEL_MS.
        sim.run(CANCEL_MS + 5_000);
        assert_eq!(sim.running_tasks(), 0, "seed {seed}: without peers, no lease is renewed");
        sim.nodes[old].partitioned_from_peers = false;
        restore_state_service(&mut sim, old);
        assert_serves_jobs(&mut sim);
    }
}

#[test]
fn a_cancellation_holds_when_only_a_crashed_controller_knew_of_it() {
    for seed in SEEDS {
        for restart_after_ms in [20, 400, 5_000] {
            let mut sim = running_cluster(seed);
            // The leader hears from the controller that confirms only after that has restarted, and the third
            // controller doesn't learn of the cancellation.
            let old = sim.leader().expect("a leader");
            let other = (old + 1) % 3;
            sim.nodes[(old + 2) % 3].refused_by_state = true;
            sim.nodes[other].partitioned_from_peers = true;
            sim.run(300);
            cancel_while_leader_is_refused(&mut sim);
            sim.crash(other, restart_after_ms);
            sim.nodes[other].partitioned_from_peers = false;
            sim.run(CANCEL_MS + 5_000);
            sim.nodes[(old + 2) % 3].refused_by_state = false;
            restore_state_service(&mut sim, old);
            assert_serves_jobs(&mut sim);
        }
    }
}

#[test]
fn a_cancellation_holds_when_peer_requests_are_delayed() {
    for seed in SEEDS {
        let mut sim = running_cluster(seed);
        let old = sim.leader().expect("a leader");
        let other = (old + 1) % 3;
        // During an outage, the followers' requests to the leader are delayed, and with them the news that these
        // requests carry.
        sim.state.outage = true;
        sim.run(3_000);
        for i in (0..3).filter(|i| *i != old) {
            sim.nodes[i].peer_requests_delayed_until = sim.now + CANCEL_MS - 3_000;
        }
        sim.run(2_000);
        // The leader reaches neither the state service nor its peers. The state service answers the followers for
        // a short time.
        sim.nodes[old].partitioned_from_peers = true;
        sim.nodes[old].refused_by_state = true;
        sim.end_outage();
        sim.run(1_000);
        let request = sim.cancel("job-000002", other);
        sim.run_until(1_000, "confirmed", |sim| sim.response_status(request) == 200);
        sim.state.outage = true;
        sim.run(CANCEL_MS + 5_000);
        sim.nodes[old].partitioned_from_peers = false;
        restore_state_service(&mut sim, old);
        assert_serves_jobs(&mut sim);
    }
}

#[test]
fn a_leader_that_may_have_missed_a_cancellation_sends_no_start_command() {
    for seed in SEEDS {
        let mut sim = running_cluster(seed);
        let old = sim.leader().expect("a leader");
        // No heartbeat arrives between the placement and the cancellation.
        sim.workers.values_mut().for_each(|w| w.heartbeats_lost = true);
        let spec = sim.job_spec(4, "batch", 2);
        let request = sim.submit(spec, 5_000, old);
        sim.run_until(1_000, "accepted", |sim| sim.response_status(request) == 201);
        sim.run_until(2_000, "placed", |sim| {
            sim.state
                .entries_under("mg/2/place/")
                .iter()
                .any(|(_, v)| v.to_string().contains("000004/"))
        });
        sim.nodes[old].refused_by_state = true;
        sim.nodes[old].partitioned_from_peers = true;
        let request = sim.cancel("job-000004", (old + 1) % 3);
        sim.run_until(500, "confirmed", |sim| sim.response_status(request) == 200);
        sim.state.outage = true;
        sim.run(2_500);
        for w in sim.workers.values_mut() {
            w.heartbeats_lost = false;
            w.switch_to(old);
        }
        sim.run(8_000);
        assert_eq!(sim.jobs["job-000004"].starts, 0, "seed {seed}");
        assert_eq!(sim.running_tasks(), 5, "seed {seed}: leases are still renewed");
        sim.nodes[old].partitioned_from_peers = false;
        restore_state_service(&mut sim, old);
        sim.run(5_000);
        let request = sim.cancel("job-000002", 0);
        sim.run_until(5_000, "confirmed", |sim| sim.response_status(request) == 200);
        assert_serves_jobs(&mut sim);
    }
}

#[test]
fn stored_placements_start_in_an_outage_while_all_peers_answer() {
    let mut sim = running_cluster(1);
    sim.workers.values_mut().for_each(|w| w.heartbeats_lost = true);
    let spec = sim.job_spec(4, "batch", 2);
    let request = sim.submit(spec, 5_000, 0);
    sim.run_until(1_000, "accepted", |sim| sim.response_status(request) == 201);
    sim.run_until(2_000, "placed", |sim| {
        sim.state
            .entries_under("mg/2/place/")
            .iter()
            .any(|(_, v)| v.to_string().contains("000004/"))
    });
    sim.state.outage = true;
    sim.run(3_000);
    sim.workers.values_mut().for_each(|w| w.heartbeats_lost = false);
    sim.run_until(8_000, "both start", |sim| sim.jobs["job-000004"].starts == 2);
}

#[test]
fn a_cancellation_while_the_leader_is_refused_holds_when_an_outage_follows() {
    for seed in SEEDS {
        for outage_after_ms in [0, 20, 200, 1_000] {
            let mut sim = running_cluster(seed);
            let old = sim.leader().expect("a leader");
            sim.nodes[old].refused_by_state = true;
            for job_id in ["job-000001", "job-000002"] {
                sim.cancel(job_id, (old + 1) % 3);
                sim.cancel(job_id, (old + 2) % 3);
            }
            sim.run(outage_after_ms);
            sim.state.outage = true;
            sim.run(CANCEL_MS + 10_000);
            restore_state_service(&mut sim, old);
            sim.assert_all_jobs_complete();
        }
    }
}

#[test]
fn no_answer_is_wrong_when_a_slow_store_refuses_the_leader_and_then_all() {
    for seed in SEEDS {
        let mut sim = running_cluster(seed);
        sim.state.commit_response_delay_ms = 900;
        sim.state.watches_stalled = true;
        for n in 10..14 {
            let spec = sim.job_spec(n, "batch", 1);
            sim.submit(spec, 3_000, n as usize % 3);
        }
        sim.run(2_000);
        sim.state.commit_response_delay_ms = 0;
        let old = cancel_while_leader_is_refused(&mut sim);
        for _ in 0..20 {
            for i in 0..3 {
                sim.poll("job-000002", i);
                sim.cancel("job-000012", i);
                sim.poll("job-000012", i);
            }
            sim.run(2_000);
        }
        sim.state.watches_stalled = false;
        restore_state_service(&mut sim, old);
        sim.assert_all_jobs_complete();
    }
}

#[test]
fn repeated_crashes_of_leaders_and_of_all_controllers_restart_no_task() {
    for seed in SEEDS {
        let mut sim = running_cluster(seed);
        for restart_after_ms in [3_000, 100, 20] {
            let leader = sim.leader().expect("a leader");
            sim.crash(leader, restart_after_ms);
            sim.run_until(8_000, "a leader", |sim| sim.leader().is_some());
            sim.run(150);
        }
        for (i, restart_after_ms) in [300, 4_000, 5_000].into_iter().enumerate() {
            sim.crash(i, restart_after_ms);
        }
        sim.run(9_000);
        assert_eq!(sim.running_tasks(), 5, "seed {seed}: {}", sim.describe());
        let starts = (sim.jobs["job-000001"].starts, sim.jobs["job-000002"].starts);
        assert_eq!(starts, (3, 2), "seed {seed}: no lease expired and no task restarted");
        sim.cancel("job-000002", 0);
        sim.assert_all_jobs_complete();
    }
}

#[test]
fn a_team_limit_holds_when_a_leader_and_machines_are_lost_and_a_job_is_cancelled() {
    for seed in SEEDS {
        let mut sim = running_cluster(seed);
        // The limit is 12 GPUs: seven more tasks run and four wait.
        submit_until_accepted(&mut sim, 3, "standing", 7, u64::MAX);
        submit_until_accepted(&mut sim, 4, "standing", 4, u64::MAX);
        sim.run_until(40_000, "the team is at its limit", |sim| sim.running_tasks() == 12);
        let partitioned: Vec<String> = sim.workers.keys().take(2).cloned().collect();
        partitioned
            .iter()
            .for_each(|n| sim.workers.get_mut(n).expect("the entry exists").partitioned = true);
        let leader = sim.leader().expect("a leader");
        sim.crash(leader, 2_000);
        let request = sim.cancel("job-000003", (leader + 1) % 3);
        sim.run_until(2_000, "confirmed", |sim| sim.response_status(request) == 200);
        sim.run(5_000);
        partitioned
            .iter()
            .for_each(|n| sim.workers.get_mut(n).expect("the entry exists").partitioned = false);
        sim.run(8_000);
        sim.cancel("job-000002", leader);
        sim.assert_all_jobs_complete();
    }
}

#[test]
fn duplicate_heartbeats_of_an_earlier_lease_or_attempt_settle_nothing() {
    for seed in SEEDS {
        let mut sim = running_cluster(seed);
        sim.duplicate_heartbeat_rate = 0.6;
        sim.duplicate_delay_max_ms = LEASE_MS * 3;
        let all: Vec<String> = sim.workers.keys().cloned().collect();
        // The leases of the machines expire one after the other. The tasks of each machine start elsewhere and
        // later return to it.
        for (i, name) in all.iter().cycle().take(4).enumerate() {
            sim.workers.get_mut(name).expect("the entry exists").partitioned = true;
            sim.run(LEASE_MS + 2_500);
            sim.workers.get_mut(name).expect("the entry exists").partitioned = false;
            sim.run(2_000);
            if i % 2 == 1 {
                let leader = sim.leader().expect("a leader");
                sim.crash(leader, 1_000);
                sim.run(2_000);
            }
        }
        sim.duplicate_heartbeat_rate = 0.0;
        sim.cancel("job-000002", 0);
        sim.assert_all_jobs_complete();
    }
}

#[test]
fn tasks_restart_after_all_controllers_were_down_for_longer_than_a_lease() {
    for seed in SEEDS {
        let mut sim = running_cluster(seed);
        sim.duplicate_heartbeat_rate = 0.5;
        for i in 0..3 {
            sim.crash(i, LEASE_MS + 2_000 + 700 * i as u64);
        }
        sim.run(LEASE_MS + 1_000);
        assert_eq!(sim.running_tasks(), 0, "seed {seed}: all leases have expired");
        sim.duplicate_heartbeat_rate = 0.0;
        sim.run(10_000);
        sim.cancel("job-000002", 1);
        sim.assert_all_jobs_complete();
    }
}

#[test]
fn tasks_that_end_at_different_times_start_once_across_leader_changes() {
    for seed in SEEDS {
        let mut sim = running_cluster(seed);
        for (n, tasks) in [(3, 3), (4, 2)] {
            submit_until_accepted(&mut sim, n, "batch", tasks, 1_000);
            sim.jobs.get_mut(&format!("job-{n:06}")).expect("the entry exists").run_increment_ms =
                9_000;
        }
        for restart_after_ms in [50, 2_000, 400] {
            sim.run(6_000);
            let leader = sim.leader().expect("a leader");
            sim.crash(leader, restart_after_ms);
        }
        sim.run_until_done("job-000003", 60_000);
        sim.run_until_done("job-000004", 60_000);
        let start_commands =
            (sim.jobs["job-000003"].start_commands, sim.jobs["job-000004"].start_commands);
        assert_eq!(start_commands, (3, 2), "seed {seed}: no start command for a task that is done");
        sim.cancel("job-000002", 1);
        sim.assert_all_jobs_complete();
    }
}

#[test]
fn tasks_on_silent_machines_start_elsewhere_only_after_their_lease() {
    for seed in SEEDS {
        for silent_ms in [LEASE_MS / 2, LEASE_MS - 1_000, LEASE_MS + 4_000] {
            let mut sim = running_cluster(seed);
            let name = sim.workers.keys().next().cloned().expect("a worker");
            sim.workers.get_mut(&name).expect("the entry exists").heartbeats_lost = true;
            sim.run(silent_ms / 2);
            if seed % 2 == 0 {
                let leader = sim.leader().expect("a leader");
                sim.crash(leader, 500);
            }
            sim.run(silent_ms / 2);
            sim.workers.get_mut(&name).expect("the entry exists").heartbeats_lost = false;
            sim.cancel("job-000002", 1);
            sim.run(5_000);
            sim.assert_all_jobs_complete();
        }
    }
}

#[test]
fn no_task_runs_twice_after_a_leader_crash_with_all_machines_unreachable() {
    for seed in SEEDS {
        for only_responses_lost in [false, true] {
            let mut sim = running_cluster(seed);
            let all: Vec<String> = sim.workers.keys().cloned().collect();
            for n in &all {
                let w = sim.workers.get_mut(n).expect("the entry exists");
                (w.partitioned, w.responses_lost) = (!only_responses_lost, only_responses_lost);
            }
            let leader = sim.leader().expect("a leader");
            sim.crash(leader, 3_000);
            sim.run(9_000);
            for n in &all {
                let w = sim.workers.get_mut(n).expect("the entry exists");
                (w.partitioned, w.responses_lost) = (false, false);
            }
            sim.run(5_000);
            sim.cancel("job-000002", 1);
            sim.assert_all_jobs_complete();
        }
    }
}

#[test]
fn cancelled_jobs_end_on_machines_that_report_to_a_former_leader() {
    for seed in SEEDS {
        let mut sim = running_cluster(seed);
        let old = sim.leader().expect("a leader");
        sim.nodes[old].partitioned_from_state = true;
        sim.nodes[old].partitioned_from_peers = true;
        sim.run_until(10_000, "another leads", |sim| {
            sim.leader().is_some_and(|leader| leader != old)
        });
        let new = sim.leader().expect("a leader");
        let request = sim.cancel("job-000002", new);
        sim.run_until(2_000, "confirmed", |sim| sim.response_status(request) == 200);
        for _ in 0..10 {
            // The former leader can't know of the cancellation and has to say so.
            sim.poll("job-000002", old);
            sim.run((CANCEL_MS + 5_000) / 10);
        }
        sim.nodes[old].partitioned_from_state = false;
        sim.nodes[old].partitioned_from_peers = false;
        sim.assert_all_jobs_complete();
    }
}

#[test]
fn transactions_executed_after_newer_ones_undo_nothing() {
    for seed in SEEDS {
        let mut sim = running_cluster(seed);
        sim.state.unanswered_commit_rate = 0.4;
        for n in 10..20 {
            let spec = sim.job_spec(n, "batch", 2);
            sim.submit(spec, 2_000, n as usize % 3);
            sim.run(1_000);
            sim.cancel(&format!("job-{:06}", n - 2), (n as usize + 1) % 3);
            if n == 15 {
                let leader = sim.leader().expect("a leader");
                sim.crash(leader, 200);
                sim.run(1_000);
            }
        }
        sim.state.unanswered_commit_rate = 0.0;
        sim.run(13_000);
        for n in 10..20 {
            let spec = sim.job_spec(n, "batch", 2);
            sim.submit(spec, 2_000, n as usize % 3);
        }
        sim.cancel("job-000002", 1);
        sim.assert_all_jobs_complete();
    }
}

#[test]
fn a_heartbeat_delayed_until_a_new_leader_has_acted_restores_no_placement() {
    for seed in SEEDS {
        let mut sim = running_cluster(seed);
        let old = sim.leader().expect("a leader");
        let new = (old + 1) % 3;
        let name = sim.workers.keys().next().cloned().expect("a worker");
        // The worker sends a heartbeat to the next leader, which arrives after its lease has expired.
        let until = sim.now + LEASE_MS + 6_000;
        let w = sim.workers.get_mut(&name).expect("the entry exists");
        w.switch_to(new);
        w.heartbeats_delayed_until = Some(until);
        sim.crash((old + 2) % 3, 30_000);
        sim.crash(old, 20_000);
        sim.run(LEASE_MS + 9_000);
        sim.workers.get_mut(&name).expect("the entry exists").heartbeats_delayed_until = None;
        sim.run(12_000);
        sim.cancel("job-000002", 1);
        sim.assert_all_jobs_complete();
    }
}

#[test]
fn an_outdated_heartbeat_to_a_new_leader_frees_no_capacity_of_a_team_at_its_limit() {
    for seed in SEEDS {
        let mut sim = running_cluster(seed);
        let old = sim.leader().expect("a leader");
        let new = (old + 1) % 3;
        for name in sim.workers.keys().cloned().collect::<Vec<_>>() {
            sim.send_duplicate_heartbeat(&name, new, 20_000);
        }
        submit_until_accepted(&mut sim, 3, "standing", 3, u64::MAX);
        sim.run_until(10_000, "run on the present machines", |sim| {
            sim.running_tasks_of("job-000003") == 3
        });
        submit_until_accepted(&mut sim, 4, "standing", 4, u64::MAX);
        submit_until_accepted(&mut sim, 5, "standing", 4, u64::MAX);
        sim.run_until(15_000, "the team is at its limit", |sim| sim.running_tasks() == 12);
        let partitioned: Vec<String> = sim.workers.keys().take(2).cloned().collect();
        partitioned
            .iter()
            .for_each(|n| sim.workers.get_mut(n).expect("the entry exists").partitioned = true);
        sim.crash(old, 8_000);
        sim.crash((old + 2) % 3, 9_000);
        sim.run_until(8_000, "the new leader", |sim| sim.leader() == Some(new));
        let request = sim.cancel("job-000003", new);
        sim.run_until(2_000, "confirmed", |sim| sim.response_status(request) == 200);
        // The duplicates arrive now. They don't list the tasks of job-000003, which is cancelled but still runs.
        sim.run(8_000);
        partitioned
            .iter()
            .for_each(|n| sim.workers.get_mut(n).expect("the entry exists").partitioned = false);
        sim.run(CANCEL_MS);
        sim.cancel("job-000002", new);
        sim.assert_all_jobs_complete();
    }
}

#[test]
fn a_zone_partition_longer_than_a_lease_runs_no_task_twice() {
    for seed in SEEDS {
        for leader_in_zone in [false, true] {
            let mut sim = running_cluster(seed);
            let leader = sim.leader().expect("a leader");
            sim.partition_zone("b", if leader_in_zone { leader } else { (leader + 1) % 3 });
            sim.run(2_000);
            let request = sim.cancel("job-000002", (leader + 2) % 3);
            sim.run(LEASE_MS * 2);
            sim.heal_zone_partition();
            if sim.response_status(request) != 200 {
                sim.cancel("job-000002", (leader + 2) % 3);
            }
            sim.run(2_000);
            sim.assert_all_jobs_complete();
        }
    }
}

#[test]
fn cancelled_tasks_on_hung_machines_are_gone_in_time() {
    for seed in SEEDS {
        for hang_ms in [3_000, LEASE_MS - 1_000, LEASE_MS + 3_000, CANCEL_MS + 8_000] {
            let mut sim = running_cluster(seed);
            let until = sim.now + hang_ms;
            let request = sim.cancel("job-000002", seed as usize % 3);
            sim.workers.values_mut().for_each(|w| w.hung_until = until);
            sim.run_until(1_000, "confirmed", |sim| sim.response_status(request) == 200);
            sim.run(hang_ms + 5_000);
            sim.assert_all_jobs_complete();
        }
    }
}

#[test]
fn overload_with_delayed_heartbeats_starves_neither_urgent_nor_other_jobs() {
    for seed in SEEDS {
        let mut sim = running_cluster(seed);
        sim.cancel("job-000002", 0);
        sim.delayed_heartbeat_rate = 0.2;
        for n in 10..22 {
            let mut spec = sim.job_spec(n, "batch", 6);
            spec["crew"] = json!("blue");
            spec["rank"] = json!(["high", "standard", "best_effort"][n as usize % 3]);
            spec["size_gb"] = json!(4.0);
            spec["kit"] = json!(format!("img-{n}"));
            sim.submit(spec, 8_000, n as usize % 3);
        }
        sim.run(20_000);
        let spec = sim.job_spec(3, "standing", 4);
        sim.submit(spec, u64::MAX, 1);
        sim.run_until(30_000, "the urgent job runs", |sim| sim.running_tasks_of("job-000003") == 4);
        // Jobs that were preempted for it keep waiting across a change of leader.
        let leader = sim.leader().expect("a leader");
        sim.crash(leader, 1_000);
        sim.delayed_heartbeat_rate = 0.0;
        sim.run(9_000);
        sim.assert_all_jobs_complete();
    }
}

#[test]
fn cancellations_polls_and_resubmissions_at_the_end_of_a_job_agree() {
    for seed in SEEDS {
        let mut sim = running_cluster(seed);
        sim.state.watches_stalled = true;
        for (n, earlier_ms) in (10..26).zip((0..).step_by(60)) {
            submit_until_accepted(&mut sim, n, "batch", 1, 3_000);
            let job_id = format!("job-{n:06}");
            sim.run_until(10_000, "runs", |sim| sim.running_tasks_of(&job_id) == 1);
            sim.run(3_400 - earlier_ms);
            let spec = sim.jobs[&job_id].spec.clone();
            sim.cancel(&job_id, 0);
            sim.submit(spec.clone(), 3_000, 1);
            sim.poll(&job_id, 2);
            sim.run(100);
            sim.cancel(&job_id, 1);
            sim.poll(&job_id, 0);
            sim.submit(spec, 3_000, 2);
            sim.run(400);
            let polls: Vec<u64> = (0..3).map(|i| sim.poll(&job_id, i)).collect();
            sim.run(100);
            let statuses: Vec<_> =
                polls.iter().map(|request| sim.response_body(*request)["status"].clone()).collect();
            assert!(
                statuses.iter().all(|status| *status == statuses[0]),
                "seed {seed}: {job_id}: {statuses:?}"
            );
        }
        sim.cancel("job-000002", 1);
        sim.assert_all_jobs_complete();
    }
}

#[test]
fn jobs_bound_to_a_zone_that_loses_its_machines_continue_on_new_ones() {
    for seed in SEEDS {
        let mut sim = running_cluster(seed);
        sim.cancel("job-000002", 0);
        let mut spec = sim.job_spec(3, "standing", 2);
        spec["yard"] = json!("b");
        sim.submit(spec, u64::MAX, 0);
        let mut spec = sim.job_spec(4, "batch", 5);
        spec["yard"] = json!("b");
        sim.submit(spec, 8_000, 1);
        let mut spec = sim.job_spec(5, "batch", 3);
        spec["together"] = json!(true);
        sim.submit(spec, 8_000, 2);
        sim.run(8_000);
        let zone_machines: Vec<String> =
            sim.workers.iter().filter(|(_, w)| w.zone == "b").map(|(n, _)| n.clone()).collect();
        for (i, name) in zone_machines.iter().enumerate() {
            match i % 2 {
                0 => sim.remove_machine(name),
                _ => sim.fail_machine(name),
            }
        }
        let leader = sim.leader().expect("a leader");
        sim.crash(leader, 1_500);
        sim.run(5_000);
        sim.assert_all_jobs_complete();
    }
}

#[test]
fn ten_leader_crashes_in_two_minutes_leave_no_unrecorded_task_and_no_waiting_job() {
    for seed in SEEDS {
        let mut sim = running_cluster(seed);
        for k in 0..10 {
            if let Some(leader) = sim.leader() {
                sim.crash(leader, [20, 300, 2_500][k % 3]);
            }
            if k == 4 {
                sim.state.outage = true;
            }
            if k == 6 {
                sim.end_outage();
            }
            let n = 10 + k as u64;
            let spec = sim.job_spec(n, "batch", 2);
            sim.submit(spec, 4_000, k % 3);
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
        assert_eq!(
            sim.jobs["job-000001"].starts, 3,
            "seed {seed}: no lease of the service expired"
        );
    }
}

#[test]
fn an_overloaded_leader_and_follower_stay_safe_across_leases_and_elections() {
    for seed in SEEDS {
        for batch_duration_ms in [300, 1_500, 3_500] {
            let mut sim = running_cluster(seed);
            let leader = sim.leader().expect("a leader");
            let (slow, other) = ((leader + 1) % 3, (leader + 2) % 3);
            sim.nodes[leader].batch_duration_ms = batch_duration_ms;
            sim.nodes[slow].batch_duration_ms = batch_duration_ms / 2;
            let name = sim.workers.keys().next().cloned().expect("a worker");
            sim.workers.get_mut(&name).expect("the entry exists").partitioned = true;
            submit_until_accepted(&mut sim, 3, "batch", 4, 2_000);
            sim.cancel("job-000002", other);
            sim.run(LEASE_MS + 3_000);
            sim.workers.get_mut(&name).expect("the entry exists").partitioned = false;
            sim.crash(other, 2_000);
            sim.run(5_000);
            if let Some(leader) = sim.leader() {
                sim.crash(leader, 1_000);
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
fn malformed_input_from_any_side_crashes_nothing_and_changes_nothing() {
    for seed in SEEDS {
        let mut sim = running_cluster(seed);
        let valid = json!({"stead": "n-000077", "address": "x", "build": "g4", "yard": "a",
            "lendables": false, "tenure": 1, "tally": 1, "baton": 0, "recall_s": null, "loads": []});
        let invalid_fields = [
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
            for (n, (field, value)) in invalid_fields.iter().enumerate() {
                let mut b = valid.clone();
                b["stead"] = json!(format!("n-{:06}", 900 + n));
                b[*field] = value.clone();
                bodies.push(b.to_string());
                // The same fields again, in a second heartbeat, which shows fencing token 1.
                b["baton"] = json!(1);
                b["tally"] = json!(b["tally"].as_u64().unwrap_or(1).saturating_add(1));
                bodies.push(b.to_string());
            }
            for b in bodies {
                let (path, body) = ("/checkin".to_string(), b.clone().into_bytes());
                let request =
                    sim.send_user_request(i, "job-000099", "other", "POST", path, body.clone());
                sim.inject_peer_request(i, "/gossip", &body);
                sim.inject_peer_request(i, "/relay", &body);
                sim.send_user_request(i, "job-000099", "other", "POST", "/v1/jobs".into(), body);
                sim.run(30);
                let status = sim.response_status(request);
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
fn placements_stored_late_on_machines_already_gone_start_elsewhere() {
    for seed in SEEDS {
        let mut sim = running_cluster(seed);
        let jobs_before = sim.state.entries_under("mg/2/jobs/").len();
        let spec = sim.job_spec(3, "batch", 3);
        sim.submit(spec, 2_000, 0);
        sim.run_until(2_000, "accepted", |sim| {
            sim.state.entries_under("mg/2/jobs/").len() > jobs_before
        });
        // The commit that places its tasks is executed only when their machines are known to be gone.
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
fn a_fencing_token_that_no_leader_had_deposes_nobody() {
    // A leader stores its term before it sends it to workers, so a token above all terms is invalid. A leader
    // must not step down for a heartbeat with such a token: after the highest possible one there is no next term.
    for token in [1_000, u64::MAX] {
        let mut sim = Simulation::new(1);
        sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
        sim.run(3_000);
        let leader = sim.leader().expect("a leader");
        let term = sim.nodes[leader]
            .controller
            .as_ref()
            .expect("the controller runs")
            .leading_term()
            .expect("the leader's term");
        let name = sim.workers.keys().next().expect("there are workers").clone();
        sim.workers.get_mut(&name).expect("the entry exists").set_fencing_token(token);
        let spec = sim.job_spec(1, "batch", 6);
        sim.submit(spec, 2_000, leader);
        sim.run_until_done("job-000001", 60_000);
        assert_eq!(sim.leader(), Some(leader), "token {token}");
        let term_now =
            sim.nodes[leader].controller.as_ref().expect("the controller runs").leading_term();
        assert_eq!(term_now, Some(term), "in the same term");
        // The same during an outage, in which nobody can compare the token with the stored term.
        sim.state.outage = true;
        sim.run(6_000);
        assert_eq!(sim.leader(), Some(leader), "token {token}, during an outage");
        sim.end_outage();
        sim.assert_all_jobs_complete();
        let last_term = sim.leader().and_then(|leader| {
            sim.nodes[leader].controller.as_ref().expect("the controller runs").leading_term()
        });
        assert!(last_term.expect("a leader") <= term + 1, "terms continue from the last one");
    }
}
