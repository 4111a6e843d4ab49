//! Short scenarios with one fault or condition each, on a simulation with three controllers.

mod simulation;

use serde_json::json;
use simulation::*;

/// A simulation with a leader and no jobs.
fn idle_cluster() -> Simulation {
    let mut sim = Simulation::new(1);
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    sim.run(3_000);
    sim
}

/// A simulation in which job-000001, a service with this many replicas, runs.
fn cluster_with_service(replicas: u32) -> Simulation {
    let mut sim = idle_cluster();
    let spec = sim.job_spec(1, "standing", replicas);
    sim.submit(spec, u64::MAX, 0);
    sim.run(8_000);
    sim
}

/// Asserts that a new job completes and the three replicas of [`cluster_with_service`] run.
fn assert_serves_jobs(sim: &mut Simulation) {
    let spec = sim.job_spec(2, "batch", 3);
    sim.submit(spec, 1_000, 0);
    sim.run_until_done("job-000002", 30_000);
    assert_eq!(sim.running_tasks(), 3, "the service runs: {}", sim.describe());
}

#[test]
fn a_job_is_accepted_run_and_done() {
    let mut sim = idle_cluster();
    let spec = sim.job_spec(1, "batch", 3);
    let request = sim.submit(spec.clone(), 3_000, 1);
    sim.run(200);
    assert_eq!(sim.response_status(request), 201);
    let again = sim.submit(spec, 3_000, 2);
    sim.run(200);
    assert_eq!(sim.response_status(again), 200, "another controller knows the repeated submission");
    sim.run_until_done("job-000001", 30_000);
    assert_eq!(sim.jobs["job-000001"].starts, 3, "every task started once");
}

#[test]
fn invalid_submissions_are_rejected_at_once() {
    let mut sim = idle_cluster();
    let submit = |sim: &mut Simulation, body: String| {
        let request = sim.send_user_request(
            0,
            "job-000009",
            "other",
            "POST",
            "/v1/jobs".into(),
            body.into_bytes(),
        );
        sim.run(300);
        sim.response_status(request)
    };
    let valid = sim.job_spec(9, "batch", 1);
    let with = |k: &str, v: serde_json::Value| {
        let mut spec = valid.clone();
        spec[k] = v;
        spec.to_string()
    };
    assert_eq!(submit(&mut sim, "nonsense".into()), 400);
    assert_eq!(submit(&mut sim, "[]".into()), 400);
    assert_eq!(submit(&mut sim, with("uid", json!("task-1"))), 400);
    assert_eq!(submit(&mut sim, with("loads", json!(0))), 400);
    assert_eq!(submit(&mut sim, with("loads", json!(100_001))), 400);
    assert_eq!(submit(&mut sim, with("gpus", json!(-1.0))), 400);
    assert_eq!(submit(&mut sim, with("kit", json!(null))), 400);
    assert_eq!(submit(&mut sim, with("crew", json!("nobody"))), 422);
    assert_eq!(submit(&mut sim, with("gpus", json!(5.0))), 422, "no machine has so many GPUs");
    let mut too_large = sim.job_spec(9, "standing", 13);
    too_large["apart"] = json!(false);
    assert_eq!(submit(&mut sim, too_large.to_string()), 422, "more than the team's limit at once");
    assert_eq!(submit(&mut sim, with_unknown_field(&valid)), 201, "unknown fields are ignored");
    let request = sim.poll("job-000404", 0);
    let cancellation = sim.cancel("job-000404", 1);
    sim.run(300);
    assert_eq!((sim.response_status(request), sim.response_status(cancellation)), (404, 404));
}

fn with_unknown_field(spec: &serde_json::Value) -> String {
    let mut spec = spec.clone();
    spec["colour"] = json!("green");
    spec.to_string()
}

#[test]
fn many_jobs_submitted_together_are_accepted_with_few_writes_and_all_run() {
    let mut sim = idle_cluster();
    let mutations_before = sim.state.mutation_count;
    let submissions: Vec<u64> = (1..=40)
        .map(|n| {
            let spec = sim.job_spec(n, "batch", 1);
            sim.submit(spec, 300, n as usize % 3)
        })
        .collect();
    sim.run_until(1_500, "all accepted", |sim| {
        submissions.iter().all(|request| sim.response_status(*request) == 201)
    });
    let mutations = sim.state.mutation_count - mutations_before;
    assert!(
        mutations < 40,
        "fewer mutations than jobs, although each job is also placed: {mutations}"
    );
    for n in 1..=40 {
        sim.run_until_done(&format!("job-{n:06}"), 60_000);
    }
}

#[test]
fn a_slow_state_service_neither_delays_nor_duplicates_a_submission() {
    let mut sim = idle_cluster();
    sim.state.next_submission_delay_ms = 400;
    let spec = sim.job_spec(1, "batch", 3);
    let request = sim.submit(spec, 1_000, 1);
    sim.run_until(200, "accepted by the second copy of the commit", |sim| {
        sim.response_status(request) == 201
    });
    // The first copy is executed later all the same.
    sim.run_until_done("job-000001", 30_000);
    assert_eq!(sim.jobs["job-000001"].starts, 3, "every task started once");
}

#[test]
fn hundreds_of_tasks_are_stored_in_several_groups_within_limits_and_start_once() {
    let mut sim = idle_cluster();
    let mut spec = sim.job_spec(1, "batch", 400);
    spec["gpus"] = json!(0.0);
    spec["cores"] = json!(0.05);
    spec["ram_gb"] = json!(0.1);
    sim.submit(spec, 20_000, 0);
    // The simulation checks every value and every transaction against its limit.
    sim.run_until(20_000, "several placement groups", |sim| {
        sim.state.entries_under("mg/2/place/").len() >= 3
    });
    let old = sim.leader().expect("a leader");
    sim.crash(old, 1_000);
    sim.run_until_done("job-000001", 120_000);
    assert_eq!(sim.jobs["job-000001"].starts, 400, "every task started once, with two leaders");
}

#[test]
fn a_heartbeat_with_many_unknown_tasks_is_answered_within_the_limits() {
    let mut sim = idle_cluster();
    let leader = sim.leader().expect("a leader");
    let loads: Vec<_> = (0..650)
        .map(|n| json!({"load": format!("job-{n:06}/7"), "try": 1, "status": "running", "cause": null}))
        .collect();
    let heartbeat = json!({"stead": "n-900000", "address": "x", "build": "g4", "yard": "a",
        "lendables": false, "tenure": 1, "tally": 1, "baton": 0, "recall_s": null, "loads": loads});
    let body = heartbeat.to_string().into_bytes();
    assert!((40_000..65_536).contains(&body.len()), "near the limit: {}", body.len());
    let request = sim.send_user_request(leader, "", "other", "POST", "/checkin".into(), body);
    sim.run(1_000);
    assert_eq!(sim.response_status(request), 200);
    let response = sim.response_body(request);
    assert!(response.to_string().len() < 65_536);
    let commands = response["orders"].as_array().map_or(0, |o| o.len());
    assert_eq!(commands, 500, "500 tasks are stopped now, the others with the next heartbeat");
}

#[test]
fn controllers_behind_the_compacted_revision_reload_the_store() {
    let mut sim = cluster_with_service(3);
    sim.state.compacted_revision = sim.state.revision + 1;
    sim.run(200);
    sim.state.compacted_revision = 0;
    sim.run_until(15_000, "a leader again", |sim| sim.leader().is_some());
    sim.run(5_000);
    assert_serves_jobs(&mut sim);
}

#[test]
fn rate_limited_controllers_answer_users_at_once_and_recover() {
    let mut sim = cluster_with_service(3);
    sim.state.rate_limited = true;
    sim.cloud.rate_limited = true;
    let spec = sim.job_spec(2, "batch", 3);
    let (a, b) = (sim.submit(spec.clone(), 1_000, 0), sim.poll("job-000001", 1));
    sim.run(2_000);
    assert_eq!(
        (sim.response_status(a), sim.response_status(b)),
        (503, 503),
        "both are answered at once"
    );
    sim.run(1_000);
    sim.state.rate_limited = false;
    sim.cloud.rate_limited = false;
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    sim.submit(spec, 1_000, 0);
    sim.run_until_done("job-000002", 30_000);
    let running = sim.running_tasks();
    assert_eq!(running, 3, "the service runs: {}", sim.describe());
}

#[test]
fn nobody_leads_on_a_store_of_another_layout() {
    let mut sim = Simulation::new(1);
    sim.state.put("mg/job/job-000007", json!({"at": 1, "stage": "live", "loads": 1}));
    sim.run(15_000);
    assert!(sim.leader().is_none(), "no controller leads on keys that it can't read");
    let request = sim.poll("job-000007", 0);
    sim.run(300);
    assert_eq!(sim.response_status(request), 503, "the job is unreadable, not unknown");
}

#[test]
fn an_accepted_job_survives_a_crash_of_all_controllers() {
    let mut sim = idle_cluster();
    let spec = sim.job_spec(1, "batch", 6);
    let request = sim.submit(spec, 8_000, 0);
    sim.run_until(1_000, "accepted", |sim| sim.response_status(request) == 201);
    for i in 0..3 {
        sim.crash(i, 3_000 + 100 * i as u64);
    }
    sim.run_until_done("job-000001", 60_000);
}

#[test]
fn a_leader_reached_only_by_workers_is_replaced_and_nothing_runs_twice() {
    let mut sim = cluster_with_service(3);
    let old = sim.leader().expect("a leader");
    sim.nodes[old].partitioned_from_state = true;
    sim.nodes[old].partitioned_from_peers = true;
    // There are two leaders for a while, and the workers know only the old one.
    sim.run_until(20_000, "another leads", |sim| sim.leader().is_some_and(|leader| leader != old));
    let spec = sim.job_spec(2, "batch", 2);
    sim.submit(spec, 2_000, (old + 1) % 3);
    sim.run(10_000);
    // A new leader must not take machines without a heartbeat to it for machines that failed to boot.
    assert!(sim.workers.values().all(|w| !w.stopped), "no machine was returned for its silence");
    sim.run(30_000);
    sim.nodes[old].partitioned_from_state = false;
    sim.nodes[old].partitioned_from_peers = false;
    sim.run_until_done("job-000002", 60_000);
    sim.run(10_000);
    let running = sim.running_tasks();
    assert_eq!(running, 3, "the service runs");
}

#[test]
fn a_cancellation_holds_against_a_partitioned_leader() {
    let mut sim = cluster_with_service(3);
    let old = sim.leader().expect("a leader");
    sim.nodes[old].partitioned_from_state = true;
    sim.nodes[old].partitioned_from_peers = true;
    sim.run(500);
    let request = sim.cancel("job-000001", (old + 1) % 3);
    sim.run_until(2_000, "cancelled", |sim| sim.response_status(request) == 200);
    // The old leader keeps answering its workers, but has to stop in time.
    sim.run(CANCEL_MS + 10_000);
    assert!(sim.workers.values().all(|w| w.running_tasks().is_empty()));
}

#[test]
fn delayed_commits_and_lost_responses_change_nothing_for_users() {
    let mut sim = idle_cluster();
    sim.state.delayed_commit_rate = 0.3;
    sim.state.lost_response_rate = 0.1;
    for n in 1..=6 {
        let spec = sim.job_spec(n, "batch", 4);
        sim.submit(spec, 2_000, n as usize % 3);
        sim.run(1_000);
    }
    sim.run(40_000);
    sim.state.delayed_commit_rate = 0.0;
    sim.state.lost_response_rate = 0.0;
    for n in 1..=6 {
        let spec = sim.job_spec(n, "batch", 4);
        sim.submit(spec, 2_000, 0);
        sim.run_until_done(&format!("job-{n:06}"), 60_000);
    }
}

#[test]
fn delayed_heartbeats_settle_nothing() {
    let mut sim = idle_cluster();
    sim.delayed_heartbeat_rate = 0.15;
    for n in 1..=4 {
        let spec = sim.job_spec(n, "batch", 6);
        sim.submit(spec, 3_000, 0);
        sim.run(2_000);
    }
    sim.run(30_000);
    sim.delayed_heartbeat_rate = 0.0;
    for n in 1..=4 {
        sim.run_until_done(&format!("job-{n:06}"), 90_000);
    }
}

#[test]
fn a_machine_that_gets_no_responses_is_replaced_unless_it_recovers_in_time() {
    let mut sim = idle_cluster();
    // With only two machines, tasks also get placed on the one that receives no responses.
    sim.cloud.capacity = 2;
    let mut spec = sim.job_spec(1, "standing", 3);
    spec["yard"] = json!("a");
    sim.submit(spec, u64::MAX, 0);
    sim.run(8_000);
    let name =
        sim.workers.iter().find(|(_, w)| w.running_tasks().is_empty()).expect("a worker").0.clone();
    sim.workers.get_mut(&name).unwrap().responses_lost = true;
    // Start commands that never arrive there do not hold the tasks for ever.
    let spec = sim.job_spec(2, "batch", 6);
    sim.submit(spec, 1_000, 0);
    sim.run_until_done("job-000002", LEASE_MS * 4);
    sim.run(LEASE_MS);
    let running: usize =
        sim.workers.values().filter(|w| !w.responses_lost).map(|w| w.running_tasks().len()).sum();
    assert_eq!(running, 3, "the service runs elsewhere: {}", sim.describe());
    // A machine that recovers within a few seconds is kept.
    let other =
        sim.workers.iter().find(|(n, w)| **n != name && !w.stopped).expect("a worker").0.clone();
    sim.workers.get_mut(&other).unwrap().responses_lost = true;
    sim.run(5_000);
    sim.workers.get_mut(&other).unwrap().responses_lost = false;
    sim.run(LEASE_MS * 2);
    assert!(!sim.is_returned(&other), "kept, as it recovered in time: {}", sim.describe());
}

#[test]
fn a_machine_that_gets_no_responses_across_a_leader_change_is_replaced() {
    let mut sim = cluster_with_service(3);
    let name = sim
        .workers
        .iter()
        .find(|(_, w)| !w.running_tasks().is_empty())
        .expect("a worker")
        .0
        .clone();
    sim.workers.get_mut(&name).unwrap().responses_lost = true;
    sim.run(1_000);
    let old = sim.leader().expect("a leader");
    sim.crash(old, 3_000);
    // Its heartbeats show the old fencing token for ever, so they settle nothing; only the end of the machine does.
    sim.run(LEASE_MS * 2 + 40_000);
    assert!(sim.is_returned(&name), "replaced: {}", sim.describe());
    let running = sim.running_tasks();
    assert_eq!(running, 3, "the service runs elsewhere: {}", sim.describe());
}

#[test]
fn duplicate_heartbeats_settle_nothing_and_hide_no_silent_machine() {
    let mut sim = cluster_with_service(3);
    sim.duplicate_heartbeat_rate = 0.7;
    sim.duplicate_delay_max_ms = LEASE_MS * 3;
    sim.run(20_000);
    let name = sim
        .workers
        .iter()
        .find(|(_, w)| !w.running_tasks().is_empty())
        .expect("a worker")
        .0
        .clone();
    sim.remove_machine(&name);
    sim.run(3_000);
    // Duplicates from before its end also reach the next leader, which has seen none of them.
    let old = sim.leader().expect("a leader");
    sim.crash(old, 200);
    sim.run(LEASE_MS * 2 + 20_000);
    let running = sim.running_tasks();
    assert_eq!(running, 3, "the service runs on machines that exist: {}", sim.describe());
    let spec = sim.job_spec(2, "batch", 6);
    sim.submit(spec, 2_000, 0);
    sim.run_until_done("job-000002", 60_000);
    assert_eq!(sim.jobs["job-000002"].starts, 6, "every task started once");
}

#[test]
fn a_follower_reached_only_by_workers_redirects_them_and_is_not_up() {
    let mut sim = cluster_with_service(3);
    let other = (sim.leader().expect("a leader") + 1) % 3;
    sim.nodes[other].partitioned_from_state = true;
    sim.nodes[other].partitioned_from_peers = true;
    sim.run(6_000);
    let up = sim.send_user_request(other, "", "other", "GET", "/up".into(), vec![]);
    let poll = sim.poll("job-000001", other);
    sim.run(1_500);
    assert_eq!((sim.response_status(up), sim.response_status(poll)), (503, 503));
    sim.run(LEASE_MS * 2);
    let running = sim.running_tasks();
    assert_eq!(running, 3, "no lease expired because of it");
}

/// A simulation in which a service has replicas in both zones, and zone b is partitioned together with a follower.
fn cluster_with_zone_b_partitioned() -> Simulation {
    let mut sim = idle_cluster();
    let mut spec = sim.job_spec(1, "standing", 4);
    spec["apart"] = json!(true);
    sim.submit(spec, u64::MAX, 0);
    sim.run_until(30_000, "runs in both zones", |sim| sim.running_tasks() == 4);
    let inside = (0..3).find(|i| sim.leader() != Some(*i)).expect("followers");
    sim.partition_zone("b", inside);
    sim
}

#[test]
fn services_in_a_partitioned_zone_stay_up_while_a_controller_is_in_it() {
    // Unless the controller in the zone extends them, the leases of the zone's workers expire, and the half of
    // each service that must run in that zone is down for the whole partition.
    let mut sim = cluster_with_zone_b_partitioned();
    sim.run(LEASE_MS + LEASE_MS / 2);
    assert_eq!(sim.running_tasks(), 4, "kept beyond their lease: {}", sim.describe());
    sim.heal_zone_partition();
    sim.run(LEASE_MS * 2);
    assert_eq!((sim.running_tasks(), sim.jobs["job-000001"].starts), (4, 4), "and none restarted");
    assert_completes_new_job(&mut sim);
}

#[test]
fn leases_extended_by_a_follower_expire_in_time_for_a_cancellation() {
    let mut sim = cluster_with_zone_b_partitioned();
    sim.run(2_000);
    let outside = sim.leader().expect("a leader");
    let request = sim.cancel("job-000001", outside);
    sim.run_until(3_000, "cancelled", |sim| sim.response_status(request) == 200);
    // The simulation checks that every task is gone in time, including those out of the leader's reach.
    sim.run(CANCEL_MS + LEASE_MS);
    assert_eq!(sim.running_tasks(), 0, "{}", sim.describe());
    sim.heal_zone_partition();
    assert_completes_new_job(&mut sim);
}

#[test]
fn tasks_of_a_partitioned_zone_start_elsewhere_only_after_their_lease() {
    let mut sim = idle_cluster();
    // job-000003 fills zone a while job-000001 is placed, and is cancelled later, which frees that capacity.
    let mut spec = sim.job_spec(3, "batch", 4);
    spec["yard"] = json!("a");
    sim.submit(spec, 60_000, 0);
    sim.run(4_000);
    let mut spec = sim.job_spec(1, "batch", 2);
    spec["run_guess_s"] = json!(60.0);
    sim.submit(spec, 60_000, 0);
    sim.run_until(10_000, "runs in zone b", |sim| sim.running_tasks() == 6);
    let leader = sim.leader().expect("a leader");
    sim.cancel("job-000003", leader);
    sim.run_until(10_000, "capacity in zone a", |sim| sim.running_tasks() == 2);
    sim.partition_zone("b", (leader + 1) % 3);
    // The simulation fails if a task starts while it is still on another machine.
    sim.run_until_done("job-000001", 300_000);
    assert!(sim.jobs["job-000001"].starts > 2, "its tasks were started again");
    sim.heal_zone_partition();
    sim.run(LEASE_MS);
    assert_completes_new_job(&mut sim);
}

/// Asserts that a new job completes.
fn assert_completes_new_job(sim: &mut Simulation) {
    let spec = sim.job_spec(2, "batch", 3);
    let to = sim.leader().expect("a leader");
    sim.submit(spec, 1_000, to);
    sim.run_until_done("job-000002", 60_000);
}

#[test]
fn controllers_that_restart_during_elections_lead_and_lose_nothing() {
    let mut sim = cluster_with_service(3);
    sim.state.commit_response_delay_ms = 300;
    for round in 0..6 {
        // One crashes while its campaign's commit is in transit, another while it loads the store.
        sim.crash(round % 3, 50);
        sim.run(150);
        sim.crash((round + 1) % 3, 100);
        sim.run(900);
    }
    sim.state.commit_response_delay_ms = 0;
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    assert_serves_jobs(&mut sim);
}

#[test]
fn a_large_job_past_its_deadline_starts_and_continues_among_many_small_ones() {
    let mut sim = idle_cluster();
    sim.cloud.capacity = 2;
    // Small jobs that can still meet their deadline need twelve slots; there are eight.
    let small = |sim: &mut Simulation, n: u64| {
        let mut spec = sim.job_spec(n, "batch", 1);
        spec["due_s"] = json!(600.0);
        sim.submit(spec, 12_000, n as usize % 3);
    };
    (2..30).for_each(|n| small(&mut sim, n));
    sim.run(3_000);
    let mut large = sim.job_spec(1, "batch", 30);
    large["due_s"] = json!(1.0);
    let start_deadline = sim.now + 240_000;
    sim.submit(large, 12_000, 0);
    let mut n = 30;
    while sim.now < start_deadline + 60_000 {
        n += 1;
        small(&mut sim, n);
        sim.run(1_000);
        let started = sim.jobs["job-000001"].starts > 0;
        assert!(started || sim.now < start_deadline, "not started within four minutes");
    }
    let starts = sim.jobs["job-000001"].starts;
    assert!(starts >= 3, "more tasks start after the first ones: {starts}");
}

#[test]
fn a_worker_restarted_without_state_is_not_taken_for_its_previous_incarnation() {
    let mut sim = cluster_with_service(3);
    let name = sim
        .workers
        .iter()
        .find(|(_, w)| !w.running_tasks().is_empty())
        .expect("a worker")
        .0
        .clone();
    // Its sequence numbers start again, so that its heartbeats look like duplicates of old ones.
    sim.workers.get_mut(&name).unwrap().restart_without_state();
    sim.run(LEASE_MS + 20_000);
    let running = sim.running_tasks();
    assert_eq!(running, 3, "the service runs: {}", sim.describe());
}

#[test]
fn tasks_of_a_partitioned_machine_start_elsewhere_only_after_its_lease() {
    let mut sim = cluster_with_service(2);
    let name = sim
        .workers
        .iter()
        .find(|(_, w)| w.holds_task_of("job-000001"))
        .map(|(n, _)| n.clone())
        .unwrap();
    let starts = sim.jobs["job-000001"].starts;
    sim.workers.get_mut(&name).unwrap().partitioned = true;
    sim.run(LEASE_MS - 2_000);
    assert_eq!(sim.jobs["job-000001"].starts, starts, "not before its lease has expired");
    sim.run_until(20_000, "restarted elsewhere", |sim| sim.jobs["job-000001"].starts > starts);
    sim.workers.get_mut(&name).unwrap().partitioned = false;
    sim.run(20_000);
}

#[test]
fn a_cancellation_at_any_moment_has_one_outcome() {
    let mut sim = idle_cluster();
    for n in 1..=12u64 {
        let spec = sim.job_spec(n, "batch", 2);
        sim.submit(spec, 1_000, 0);
        // Each job is cancelled at a later moment of its short run than the one before.
        sim.run(n * 450);
        let job_id = format!("job-{n:06}");
        let a = sim.cancel(&job_id, 1);
        let b = sim.cancel(&job_id, 2);
        sim.run(400);
        assert_eq!(sim.response_status(a), 200);
        assert_eq!(
            sim.response_body(a)["status"],
            sim.response_body(b)["status"],
            "both cancellations have the same outcome"
        );
    }
    sim.run(CANCEL_MS + 5_000);
    let outcomes: Vec<String> = sim.jobs.values().map(|j| j.last_status.clone()).collect();
    assert!(outcomes.iter().any(|o| o == "withdrawn") && outcomes.iter().any(|o| o == "done"));
}

#[test]
fn a_term_that_the_watch_reports_first_is_still_won() {
    // The response to the commit that wins the campaign arrives after the watch has reported it.
    for seed in 0..10 {
        let mut sim = Simulation::new(seed);
        sim.state.commit_response_delay_ms = 60;
        sim.run_until(5_000, "a leader", |sim| sim.leader().is_some());
        let leader = sim.leader().unwrap();
        let term = sim.nodes[leader].controller.as_ref().unwrap().leading_term();
        assert_eq!(
            term,
            Some(1),
            "seed {seed}: the controller that took the first term leads in it"
        );
    }
}

#[test]
fn during_an_outage_running_tasks_continue_and_submissions_are_refused() {
    let mut sim = cluster_with_service(2);
    let starts = sim.jobs["job-000001"].starts;
    sim.state.outage = true;
    sim.run(3_000);
    let spec = sim.job_spec(2, "batch", 1);
    let refused = sim.submit(spec, 1_000, 1);
    sim.run(60_000);
    assert_eq!(sim.response_status(refused), 503, "refused at once");
    assert_eq!(
        sim.jobs["job-000001"].starts, starts,
        "no lease expired, as all controllers are refused alike"
    );
    sim.end_outage();
    sim.run(20_000);
    assert_eq!(sim.jobs["job-000001"].starts, starts);
}

#[test]
fn a_refused_follower_answers_through_its_peers_and_a_refused_leader_is_replaced() {
    let mut sim = idle_cluster();
    let spec = sim.job_spec(1, "batch", 2);
    sim.submit(spec, 2_000, 0);
    sim.run(500);
    let other = (sim.leader().unwrap() + 1) % 3;
    sim.nodes[other].refused_by_state = true;
    sim.run(4_000);
    let request = sim.poll("job-000001", other);
    let spec = sim.job_spec(2, "batch", 1);
    let submission = sim.submit(spec, 1_000, other);
    sim.run(500);
    assert_eq!((sim.response_status(request), sim.response_status(submission)), (200, 201));
    // If the leader itself is refused, another controller takes over.
    sim.nodes[other].refused_by_state = false;
    let old = sim.leader().unwrap();
    sim.nodes[old].refused_by_state = true;
    sim.run_until(15_000, "another leads", |sim| sim.leader().is_some_and(|leader| leader != old));
    sim.run_until_done("job-000002", 40_000);
}

#[test]
fn a_rolling_restart_of_all_controllers_stops_no_service() {
    let mut sim = cluster_with_service(4);
    let starts = sim.jobs["job-000001"].starts;
    for i in 0..3 {
        sim.crash(i, 2_000);
        sim.run(10_000);
    }
    assert_eq!(sim.jobs["job-000001"].starts, starts, "no replica restarted");
}

#[test]
fn a_failed_machine_is_returned_at_once_even_by_a_new_leader() {
    // Otherwise such machines stay for 45 s and hold capacity.
    let mut sim = cluster_with_service(2);
    let starts = sim.jobs["job-000001"].starts;
    let name = sim.workers.iter().find(|(_, w)| w.holds_task_of("job-000001")).unwrap().0.clone();
    sim.fail_machine(&name);
    let leader = sim.leader().unwrap();
    sim.crash(leader, 1_000);
    sim.run_until(15_000, "returned", |sim| sim.is_returned(&name));
    sim.run_until(10_000, "started elsewhere", |sim| sim.jobs["job-000001"].starts > starts);
}

#[test]
fn tasks_of_a_reclaimed_spot_machine_start_elsewhere() {
    let mut sim = idle_cluster();
    let spec = sim.job_spec(1, "batch", 4);
    sim.submit(spec, 60_000, 0);
    sim.run(8_000);
    let name = sim.workers.iter().find(|(_, w)| w.holds_task_of("job-000001")).unwrap().0.clone();
    let starts = sim.jobs["job-000001"].starts;
    let at = sim.now + 3_000;
    sim.workers.get_mut(&name).unwrap().reclaim_at = Some(at);
    sim.run_until(11_000, "started elsewhere", |sim| sim.jobs["job-000001"].starts > starts);
}

#[test]
fn tasks_do_not_wait_for_a_machine_about_to_be_reclaimed() {
    // Guards against tasks that every pass places on such a machine without ever storing the placement, hundreds
    // of times each.
    let mut sim = idle_cluster();
    let mut spec = sim.job_spec(1, "batch", 1);
    spec["yard"] = json!("a");
    spec["run_guess_s"] = json!(15.0);
    sim.submit(spec, 15_000, 0);
    sim.run_until(10_000, "it runs", |sim| sim.running_tasks() == 1);
    // Only this machine has the image, and it is kept for tasks that can still end on it.
    let end = sim.now + 25_000;
    let first = sim.workers.keys().next().expect("a machine").clone();
    sim.workers.get_mut(&first).expect("the entry exists").reclaim_at = Some(end);
    sim.run(3_000);
    let spec = sim.job_spec(2, "batch", 3);
    sim.submit(spec, 500, 0);
    sim.run_until_done("job-000002", 12_000);
}

#[test]
fn a_burst_of_submissions_at_one_controller_is_shared_with_its_peers() {
    // A controller that has used up its share of the writes must not refuse what its peers can accept.
    let mut sim = idle_cluster();
    let leader = sim.leader().unwrap();
    let submissions: Vec<u64> = (1..=30)
        .map(|n| {
            let spec = sim.job_spec(n, "batch", 1);
            sim.submit(spec, 1_000, (leader + 1) % 3)
        })
        .collect();
    sim.run(400);
    let accepted =
        submissions.iter().filter(|request| sim.response_status(**request) == 201).count();
    let refused =
        submissions.iter().filter(|request| sim.response_status(**request) == 503).count();
    assert_eq!(accepted + refused, 30, "all are answered at once");
    // Of 60 writes per second, each controller has a quarter and the leader another quarter.
    assert!(accepted > 15, "more than its own share: {accepted}");
}

#[test]
fn run_time_estimates_far_too_low_do_not_starve_the_queue_head() {
    // By design, estimates that are too low shift the reservation, and backfill then delays the head of the queue.
    // Observed run times correct the estimates of the class, so that the delay ends.
    let mut sim = idle_cluster();
    sim.cloud.capacity = 2;
    let mut head = sim.job_spec(1, "batch", 1);
    head["gpus"] = json!(4.0);
    head["duty"] = json!("wide");
    for n in 2..=60 {
        let mut spec = sim.job_spec(n, "batch", 3);
        spec["run_guess_s"] = json!(0.5);
        spec["duty"] = json!("narrow");
        sim.submit(spec, 6_000, 0);
        if n == 8 {
            sim.submit(head.clone(), 2_000, 0);
        }
        sim.run(1_000);
        if sim.jobs.get("job-000001").is_some_and(|j| j.starts > 0) {
            return;
        }
    }
    panic!("the head of the queue never started: {}", sim.describe());
}

#[test]
fn heartbeats_delayed_beyond_the_lease_restore_no_placement() {
    let mut sim = idle_cluster();
    let spec = sim.job_spec(1, "batch", 4);
    sim.submit(spec, 120_000, 0);
    sim.run(8_000);
    let name = sim.workers.iter().find(|(_, w)| w.holds_task_of("job-000001")).unwrap().0.clone();
    // Heartbeats of the next 8 s arrive 20 s from now, later ones are lost.
    let until = sim.now + 20_000;
    sim.workers.get_mut(&name).unwrap().heartbeats_delayed_until = Some(until);
    sim.run(8_000);
    sim.workers.get_mut(&name).unwrap().partitioned = true;
    sim.run(11_500);
    let starts = sim.jobs["job-000001"].starts;
    assert!(starts > 4, "started elsewhere after the lease");
    sim.run(1_000);
    let leader = sim.leader().unwrap();
    let cluster = &sim.nodes[leader].controller.as_ref().unwrap().leader().unwrap().cluster;
    let machine = cluster.machines.get(name.as_str());
    assert!(
        machine.is_none_or(|machine| machine.lease_expired && machine.placements.is_empty()),
        "its lease stays expired"
    );
    sim.run(10_000);
    assert_eq!(sim.jobs["job-000001"].starts, starts);
}

#[test]
fn apart_counts_unreachable_replicas() {
    let mut sim = idle_cluster();
    let mut spec = sim.job_spec(1, "standing", 3);
    spec["apart"] = json!(true);
    sim.submit(spec, u64::MAX, 0);
    sim.run(12_000);
    for round in 0..3 {
        let name = sim
            .workers
            .iter()
            .filter(|(_, w)| !w.stopped && w.holds_task_of("job-000001"))
            .map(|(n, _)| n.clone())
            .nth(round % 2)
            .unwrap();
        sim.workers.get_mut(&name).unwrap().partitioned = true;
        let leader = sim.leader().unwrap();
        sim.crash(leader, 1_000);
        sim.run(25_000);
        sim.workers.get_mut(&name).unwrap().partitioned = false;
        sim.run(5_000);
    }
    let running = sim.running_tasks();
    assert_eq!(running, 3);
}

#[test]
fn the_team_limit_holds_across_leader_changes() {
    let mut sim = idle_cluster();
    sim.cloud.capacity = 8;
    let spec = sim.job_spec(1, "batch", 60);
    sim.submit(spec, 4_000, 0);
    for _ in 0..4 {
        sim.run(7_000);
        let leader = sim.leader().unwrap_or(0);
        sim.crash(leader, 1_500);
    }
    sim.run_until_done("job-000001", 120_000);
}

#[test]
fn other_controllers_never_answer_with_older_state() {
    let mut sim = idle_cluster();
    let spec = sim.job_spec(1, "batch", 1);
    let submission = sim.submit(spec, 60_000, 0);
    sim.run_until(1_000, "accepted", |sim| sim.response_status(submission) == 201);
    let (a, b) = (sim.poll("job-000001", 1), sim.poll("job-000001", 2));
    sim.run(100);
    assert_eq!(
        (sim.response_status(a), sim.response_status(b)),
        (200, 200),
        "no 404 right after the acceptance"
    );
    let cancellation = sim.cancel("job-000001", 1);
    sim.run_until(1_000, "cancelled", |sim| sim.response_status(cancellation) == 200);
    let (a, b) = (sim.poll("job-000001", 0), sim.poll("job-000001", 2));
    sim.run(100);
    assert_eq!(sim.response_body(a)["status"], "withdrawn");
    assert_eq!(sim.response_body(b)["status"], "withdrawn");
}

#[test]
fn a_large_array_is_kept_as_ranges() {
    let mut sim = idle_cluster();
    let spec = sim.job_spec(1, "batch", 100_000);
    sim.submit(spec, 500, 0);
    sim.run(15_000);
    let leader = sim.leader().unwrap();
    let job = &sim.nodes[leader].controller.as_ref().unwrap().leader().unwrap().cluster.jobs
        ["job-000001"];
    assert!(job.done_count > 20, "tasks complete: {}", job.done_count);
    assert!(job.requeued.len() < 100, "no object per waiting task");
    sim.cancel("job-000001", 0);
    sim.run(CANCEL_MS + 2_000);
}

#[test]
fn a_faulty_machine_is_cordoned_and_a_failing_job_is_not_blamed_on_machines() {
    let mut sim = idle_cluster();
    let faulty = sim.workers.keys().next().unwrap().clone();
    sim.workers.get_mut(&faulty).unwrap().fails_all_tasks = true;
    for n in 1..=4 {
        let spec = sim.job_spec(n, "batch", 3);
        sim.submit(spec, 2_000, 0);
    }
    for n in 1..=4 {
        sim.run_until_done(&format!("job-{n:06}"), 60_000);
    }
    sim.run(5_000);
    assert!(sim.workers[&faulty].stopped, "the faulty machine was returned");
    let spec = sim.job_spec(5, "batch", 3);
    sim.submit(spec, 2_000, 0);
    sim.jobs.get_mut("job-000005").unwrap().always_fails = true;
    let spec = sim.job_spec(6, "batch", 3);
    sim.submit(spec, 2_000, 0);
    sim.run_until_done("job-000006", 60_000);
    sim.run(10_000);
    let leader = sim.leader().unwrap();
    let cluster = &sim.nodes[leader].controller.as_ref().unwrap().leader().unwrap().cluster;
    assert!(
        cluster.machines.values().filter(|m| !m.health.is_cordoned()).count() >= 1,
        "not all machines are cordoned"
    );
    assert!(cluster.jobs["job-000005"].failures.paused_until() > 0, "the failing job is paused");
}

#[test]
fn a_task_without_a_record_is_stopped() {
    // No controller starts a task without a record. Should such a task exist all the same, it must not run
    // beside the one with a record.
    let mut sim = idle_cluster();
    let spec = sim.job_spec(1, "standing", 1);
    sim.submit(spec, u64::MAX, 0);
    sim.run(6_000);
    let other = sim
        .workers
        .iter()
        .find(|(_, w)| !w.holds_task_of("job-000001"))
        .map(|(n, _)| n.clone())
        .unwrap();
    let unknown = Job::new(sim.job_spec(77, "standing", 1), 1, u64::MAX);
    sim.jobs.insert("job-000077".into(), unknown);
    sim.inject_task(&other, "job-000077", 0, 5);
    sim.run(6_000);
    assert!(!sim.workers[&other].holds_task_of("job-000077"));
}
