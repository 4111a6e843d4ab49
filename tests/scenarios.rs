//! Short scenarios: one trouble each, three controllers, a fake world.

mod simulation;

use serde_json::json;
use simulation::*;

fn settled() -> Simulation {
    let mut sim = Simulation::new(1);
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    sim.run(3_000);
    sim
}

/// With job-000001, a service, up and running.
fn with_service(replicas: u32) -> Simulation {
    let mut sim = settled();
    let s = sim.job_spec(1, "standing", replicas);
    sim.submit(s, u64::MAX, 0);
    sim.run(8_000);
    sim
}

/// The service of [`with_service`] runs with its three replicas, and a new job is done.
fn serves(sim: &mut Simulation) {
    let s = sim.job_spec(2, "batch", 3);
    sim.submit(s, 1_000, 0);
    sim.run_until_done("job-000002", 30_000);
    assert_eq!(sim.running_tasks(), 3, "the service runs: {}", sim.describe());
}

#[test]
fn a_job_is_accepted_run_and_done() {
    let mut sim = settled();
    let s = sim.job_spec(1, "batch", 3);
    let r = sim.submit(s.clone(), 3_000, 1);
    sim.run(200);
    assert_eq!(sim.response_status(r), 201);
    let again = sim.submit(s, 3_000, 2);
    sim.run(200);
    assert_eq!(sim.response_status(again), 200, "a repeat is known at another controller");
    sim.run_until_done("job-000001", 30_000);
    assert_eq!(sim.jobs["job-000001"].starts, 3, "every task started once");
}

#[test]
fn what_can_not_be_taken_is_answered_at_once() {
    let mut sim = settled();
    let ask = |sim: &mut Simulation, body: String| {
        let r = sim.send_user_request(
            0,
            "job-000009",
            "other",
            "POST",
            "/v1/jobs".into(),
            body.into_bytes(),
        );
        sim.run(300);
        sim.response_status(r)
    };
    let good = sim.job_spec(9, "batch", 1);
    let with = |k: &str, v: serde_json::Value| {
        let mut s = good.clone();
        s[k] = v;
        s.to_string()
    };
    assert_eq!(ask(&mut sim, "nonsense".into()), 400);
    assert_eq!(ask(&mut sim, "[]".into()), 400);
    assert_eq!(ask(&mut sim, with("uid", json!("task-1"))), 400);
    assert_eq!(ask(&mut sim, with("loads", json!(0))), 400);
    assert_eq!(ask(&mut sim, with("loads", json!(100_001))), 400);
    assert_eq!(ask(&mut sim, with("gpus", json!(-1.0))), 400);
    assert_eq!(ask(&mut sim, with("kit", json!(null))), 400);
    assert_eq!(ask(&mut sim, with("crew", json!("nobody"))), 422);
    assert_eq!(ask(&mut sim, with("gpus", json!(5.0))), 422, "no machine has so many");
    let mut wide = sim.job_spec(9, "standing", 13);
    wide["apart"] = json!(false);
    assert_eq!(ask(&mut sim, wide.to_string()), 422, "more than the team's limit at once");
    assert_eq!(ask(&mut sim, w_unknown(&good)), 201, "unknown fields are ignored");
    let r = sim.poll("job-000404", 0);
    let x = sim.cancel("job-000404", 1);
    sim.run(300);
    assert_eq!((sim.response_status(r), sim.response_status(x)), (404, 404));
}

fn w_unknown(good: &serde_json::Value) -> String {
    let mut s = good.clone();
    s["colour"] = json!("green");
    s.to_string()
}

#[test]
fn many_jobs_submitted_together_are_accepted_with_few_writes_and_all_run() {
    let mut sim = settled();
    let before = sim.state.mutation_count;
    let asked: Vec<u64> = (1..=40)
        .map(|n| {
            let s = sim.job_spec(n, "batch", 1);
            sim.submit(s, 300, n as usize % 3)
        })
        .collect();
    sim.run_until(1_500, "all accepted", |sim| {
        asked.iter().all(|r| sim.response_status(*r) == 201)
    });
    let batches = sim.state.mutation_count - before;
    assert!(batches < 40, "far fewer changes than one a job and its start: {batches}");
    for n in 1..=40 {
        sim.run_until_done(&format!("job-{n:06}"), 60_000);
    }
}

#[test]
fn a_slow_state_service_makes_no_submission_slow_nor_any_job_twice() {
    let mut sim = settled();
    sim.state.next_submission_delay_ms = 400;
    let s = sim.job_spec(1, "batch", 3);
    let r = sim.submit(s, 1_000, 1);
    sim.run_until(200, "accepted by the second copy", |sim| sim.response_status(r) == 201);
    // The first one is carried out all the same, some time later.
    sim.run_until_done("job-000001", 30_000);
    assert_eq!(sim.jobs["job-000001"].starts, 3, "every task started once");
}

#[test]
fn hundreds_of_tasks_take_several_groups_each_under_the_limit() {
    let mut sim = settled();
    let mut s = sim.job_spec(1, "batch", 400);
    s["gpus"] = json!(0.0);
    s["cores"] = json!(0.05);
    s["ram_gb"] = json!(0.1);
    sim.submit(s, 20_000, 0);
    // The world checks every value and every transaction against its limit.
    sim.run_until(20_000, "several groups", |sim| {
        sim.state.entries_under("mg/2/place/").len() >= 3
    });
    let old = sim.leader().expect("leads");
    sim.crash(old, 1_000);
    sim.run_until_done("job-000001", 120_000);
    assert_eq!(sim.jobs["job-000001"].starts, 400, "every task started once, with two leaders");
}

#[test]
fn a_report_of_many_unknown_tasks_is_answered_within_the_limits() {
    let mut sim = settled();
    let leader = sim.leader().expect("leads");
    let loads: Vec<_> = (0..650)
        .map(|n| json!({"load": format!("job-{n:06}/7"), "try": 1, "status": "running", "cause": null}))
        .collect();
    let report = json!({"stead": "n-900000", "address": "x", "build": "g4", "yard": "a",
        "lendables": false, "tenure": 1, "tally": 1, "baton": 0, "recall_s": null, "loads": loads});
    let body = report.to_string().into_bytes();
    assert!((40_000..65_536).contains(&body.len()), "near the limit: {}", body.len());
    let r = sim.send_user_request(leader, "", "other", "POST", "/checkin".into(), body);
    sim.run(1_000);
    assert_eq!(sim.response_status(r), 200);
    let answer = sim.response_body(r);
    assert!(answer.to_string().len() < 65_536);
    let orders = answer["orders"].as_array().map_or(0, |o| o.len());
    assert_eq!(orders, 500, "some are halted, the others next time");
}

#[test]
fn controllers_that_fall_behind_the_store_read_it_anew() {
    let mut sim = with_service(3);
    sim.state.compacted_revision = sim.state.revision + 1;
    sim.run(200);
    sim.state.compacted_revision = 0;
    sim.run_until(15_000, "a leader again", |sim| sim.leader().is_some());
    sim.run(5_000);
    serves(&mut sim);
}

#[test]
fn refused_for_asking_too_often_nothing_stalls_and_nobody_waits_for_an_answer() {
    let mut sim = with_service(3);
    sim.state.rate_limited = true;
    sim.cloud.rate_limited = true;
    let s = sim.job_spec(2, "batch", 3);
    let (a, b) = (sim.submit(s.clone(), 1_000, 0), sim.poll("job-000001", 1));
    sim.run(2_000);
    assert_eq!((sim.response_status(a), sim.response_status(b)), (503, 503), "answered at once");
    sim.run(1_000);
    sim.state.rate_limited = false;
    sim.cloud.rate_limited = false;
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    sim.submit(s, 1_000, 0);
    sim.run_until_done("job-000002", 30_000);
    let on = sim.running_tasks();
    assert_eq!(on, 3, "the service runs: {}", sim.describe());
}

#[test]
fn a_store_of_another_layout_is_left_alone() {
    let mut sim = Simulation::new(1);
    sim.state.put("mg/job/job-000007", json!({"at": 1, "stage": "live", "loads": 1}));
    sim.run(15_000);
    assert!(sim.leader().is_none(), "nobody leads on keys that it can't read");
    let r = sim.poll("job-000007", 0);
    sim.run(300);
    assert_eq!(sim.response_status(r), 503, "not unknown: unreadable");
}

#[test]
fn an_accepted_job_outlives_all_controllers() {
    let mut sim = settled();
    let s = sim.job_spec(1, "batch", 6);
    let r = sim.submit(s, 8_000, 0);
    sim.run_until(1_000, "accepted", |sim| sim.response_status(r) == 201);
    for i in 0..3 {
        sim.crash(i, 3_000 + 100 * i as u64);
    }
    sim.run_until_done("job-000001", 60_000);
}

#[test]
fn a_leader_that_only_workers_reach_makes_way_and_nothing_runs_twice() {
    let mut sim = with_service(3);
    let old = sim.leader().expect("leads");
    sim.nodes[old].partitioned_from_state = true;
    sim.nodes[old].partitioned_from_peers = true;
    // Two leaders for a while; the workers see only the old one.
    sim.run_until(20_000, "another leads", |sim| sim.leader().is_some_and(|l| l != old));
    let s = sim.job_spec(2, "batch", 2);
    sim.submit(s, 2_000, (old + 1) % 3);
    sim.run(10_000);
    // A new leader once took machines that it had not heard of for ones that fail to boot.
    assert!(sim.workers.values().all(|x| !x.stopped), "no machine was returned for being unheard");
    sim.run(30_000);
    sim.nodes[old].partitioned_from_state = false;
    sim.nodes[old].partitioned_from_peers = false;
    sim.run_until_done("job-000002", 60_000);
    sim.run(10_000);
    let on = sim.running_tasks();
    assert_eq!(on, 3, "the service runs");
}

#[test]
fn a_cancellation_holds_against_a_leader_that_can_not_hear_of_it() {
    let mut sim = with_service(3);
    let old = sim.leader().expect("leads");
    sim.nodes[old].partitioned_from_state = true;
    sim.nodes[old].partitioned_from_peers = true;
    sim.run(500);
    let r = sim.cancel("job-000001", (old + 1) % 3);
    sim.run_until(2_000, "withdrawn", |sim| sim.response_status(r) == 200);
    // The old leader goes on answering its workers, but not for too long.
    sim.run(CANCEL_MS + 10_000);
    assert!(sim.workers.values().all(|x| x.running_tasks().is_empty()));
}

#[test]
fn late_and_lost_commits_change_nothing_for_users() {
    let mut sim = settled();
    sim.state.delayed_commit_rate = 0.3;
    sim.state.lost_response_rate = 0.1;
    for n in 1..=6 {
        let s = sim.job_spec(n, "batch", 4);
        sim.submit(s, 2_000, n as usize % 3);
        sim.run(1_000);
    }
    sim.run(40_000);
    sim.state.delayed_commit_rate = 0.0;
    sim.state.lost_response_rate = 0.0;
    for n in 1..=6 {
        let s = sim.job_spec(n, "batch", 4);
        sim.submit(s, 2_000, 0);
        sim.run_until_done(&format!("job-{n:06}"), 60_000);
    }
}

#[test]
fn reports_that_come_late_settle_nothing() {
    let mut sim = settled();
    sim.delayed_heartbeat_rate = 0.15;
    for n in 1..=4 {
        let s = sim.job_spec(n, "batch", 6);
        sim.submit(s, 3_000, 0);
        sim.run(2_000);
    }
    sim.run(30_000);
    sim.delayed_heartbeat_rate = 0.0;
    for n in 1..=4 {
        sim.run_until_done(&format!("job-{n:06}"), 90_000);
    }
}

#[test]
fn a_machine_that_hears_no_answer_is_found_out_replaced_and_used_again_when_it_heals() {
    let mut sim = settled();
    // Two machines, no more: what is to run has to come by the one that hears nothing.
    sim.cloud.capacity = 2;
    let mut s = sim.job_spec(1, "standing", 3);
    s["yard"] = json!("a");
    sim.submit(s, u64::MAX, 0);
    sim.run(8_000);
    let name =
        sim.workers.iter().find(|(_, x)| x.running_tasks().is_empty()).expect("one").0.clone();
    sim.workers.get_mut(&name).unwrap().responses_lost = true;
    // Starts that never arrive there do not hold tasks for ever.
    let s = sim.job_spec(2, "batch", 6);
    sim.submit(s, 1_000, 0);
    sim.run_until_done("job-000002", LEASE_MS * 4);
    sim.run(LEASE_MS);
    let on: usize =
        sim.workers.values().filter(|x| !x.responses_lost).map(|x| x.running_tasks().len()).sum();
    assert_eq!(on, 3, "the service runs elsewhere: {}", sim.describe());
    // A short time of it does not cost a machine.
    let other = sim.workers.iter().find(|(n, x)| **n != name && !x.stopped).expect("one").0.clone();
    sim.workers.get_mut(&other).unwrap().responses_lost = true;
    sim.run(5_000);
    sim.workers.get_mut(&other).unwrap().responses_lost = false;
    sim.run(LEASE_MS * 2);
    assert!(!sim.is_returned(&other), "healed in time: {}", sim.describe());
}

#[test]
fn a_machine_that_hears_no_answer_across_a_change_of_leader_is_replaced() {
    let mut sim = with_service(3);
    let name =
        sim.workers.iter().find(|(_, x)| !x.running_tasks().is_empty()).expect("one").0.clone();
    sim.workers.get_mut(&name).unwrap().responses_lost = true;
    sim.run(1_000);
    let old = sim.leader().expect("leads");
    sim.crash(old, 3_000);
    // It shows the old token for ever: nothing it shows settles anything, only its end does.
    sim.run(LEASE_MS * 2 + 40_000);
    assert!(sim.is_returned(&name), "replaced: {}", sim.describe());
    let on = sim.running_tasks();
    assert_eq!(on, 3, "the service runs elsewhere: {}", sim.describe());
}

#[test]
fn late_copies_of_reports_settle_nothing_and_hide_no_silent_machine() {
    let mut sim = with_service(3);
    sim.duplicate_heartbeat_rate = 0.7;
    sim.duplicate_delay_max_ms = LEASE_MS * 3;
    sim.run(20_000);
    let name =
        sim.workers.iter().find(|(_, x)| !x.running_tasks().is_empty()).expect("one").0.clone();
    sim.remove_machine(&name);
    sim.run(3_000);
    // Copies from before its end also reach the next leader, to whom they are all news.
    let old = sim.leader().expect("leads");
    sim.crash(old, 200);
    sim.run(LEASE_MS * 2 + 20_000);
    let on = sim.running_tasks();
    assert_eq!(on, 3, "the service runs on machines that are there: {}", sim.describe());
    let s = sim.job_spec(2, "batch", 6);
    sim.submit(s, 2_000, 0);
    sim.run_until_done("job-000002", 60_000);
    assert_eq!(sim.jobs["job-000002"].starts, 6, "every task started once");
}

#[test]
fn a_follower_with_nothing_but_workers_sends_them_on_and_says_that_it_is_not_up() {
    let mut sim = with_service(3);
    let other = (sim.leader().expect("leads") + 1) % 3;
    sim.nodes[other].partitioned_from_state = true;
    sim.nodes[other].partitioned_from_peers = true;
    sim.run(6_000);
    let up = sim.send_user_request(other, "", "other", "GET", "/up".into(), vec![]);
    let poll = sim.poll("job-000001", other);
    sim.run(1_500);
    assert_eq!((sim.response_status(up), sim.response_status(poll)), (503, 503));
    sim.run(LEASE_MS * 2);
    let on = sim.running_tasks();
    assert_eq!(on, 3, "no lease ended for it");
}

/// A service with a replica in each zone, zone b cut off with a controller that does not lead.
fn zone_b_cut_off() -> Simulation {
    let mut sim = settled();
    let mut s = sim.job_spec(1, "standing", 4);
    s["apart"] = json!(true);
    sim.submit(s, u64::MAX, 0);
    sim.run_until(30_000, "runs in both zones", |sim| sim.running_tasks() == 4);
    let inside = (0..3).find(|i| sim.leader() != Some(*i)).expect("followers");
    sim.partition_zone("b", inside);
    sim
}

#[test]
fn services_in_a_zone_that_is_cut_off_stay_up_while_a_controller_is_in_it() {
    // Their leases ran out once although a controller stood beside them, and the half of each
    // service that must be in that zone was down for the whole cut.
    let mut sim = zone_b_cut_off();
    sim.run(LEASE_MS + LEASE_MS / 2);
    assert_eq!(sim.running_tasks(), 4, "kept beyond their lease: {}", sim.describe());
    sim.heal_zone_partition();
    sim.run(LEASE_MS * 2);
    assert_eq!(
        (sim.running_tasks(), sim.jobs["job-000001"].starts),
        (4, 4),
        "and none was started anew"
    );
    serves_batch(&mut sim);
}

#[test]
fn leases_kept_in_the_leaders_place_end_in_time_for_a_cancellation_and_are_waited_for() {
    let mut sim = zone_b_cut_off();
    sim.run(2_000);
    let outside = sim.leader().expect("leads");
    let r = sim.cancel("job-000001", outside);
    sim.run_until(3_000, "withdrawn", |sim| sim.response_status(r) == 200);
    // The world's checker wants every task gone in time, also those that nobody can reach.
    sim.run(CANCEL_MS + LEASE_MS);
    assert_eq!(sim.running_tasks(), 0, "{}", sim.describe());
    sim.heal_zone_partition();
    serves_batch(&mut sim);
}

#[test]
fn what_ran_in_a_zone_that_stays_cut_off_starts_elsewhere_only_when_its_lease_is_over() {
    let mut sim = settled();
    // Something holds the other zone while it is placed, and there is room there afterwards.
    let mut s = sim.job_spec(3, "batch", 4);
    s["yard"] = json!("a");
    sim.submit(s, 60_000, 0);
    sim.run(4_000);
    let mut s = sim.job_spec(1, "batch", 2);
    s["run_guess_s"] = json!(60.0);
    sim.submit(s, 60_000, 0);
    sim.run_until(10_000, "runs in zone b", |sim| sim.running_tasks() == 6);
    let leader = sim.leader().expect("leads");
    sim.cancel("job-000003", leader);
    sim.run_until(10_000, "room in zone a", |sim| sim.running_tasks() == 2);
    sim.partition_zone("b", (leader + 1) % 3);
    // The checker breaks off where a task starts while it is still on a machine.
    sim.run_until_done("job-000001", 300_000);
    assert!(sim.jobs["job-000001"].starts > 2, "they were started again");
    sim.heal_zone_partition();
    sim.run(LEASE_MS);
    serves_batch(&mut sim);
}

/// A new job is done.
fn serves_batch(sim: &mut Simulation) {
    let s = sim.job_spec(2, "batch", 3);
    let to = sim.leader().expect("leads");
    sim.submit(s, 1_000, to);
    sim.run_until_done("job-000002", 60_000);
}

#[test]
fn controllers_back_at_once_in_the_middle_of_elections_lead_and_lose_nothing() {
    let mut sim = with_service(3);
    sim.state.commit_response_delay_ms = 300;
    for round in 0..6 {
        // One ends with its election's commit out, another while it reads the store.
        sim.crash(round % 3, 50);
        sim.run(150);
        sim.crash((round + 1) % 3, 100);
        sim.run(900);
    }
    sim.state.commit_response_delay_ms = 0;
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    serves(&mut sim);
}

#[test]
fn a_wide_job_past_its_deadline_begins_and_goes_on_under_a_stream_of_small_ones() {
    let mut sim = settled();
    sim.cloud.capacity = 2;
    // Twelve slots' worth of small jobs that can still be in time, for eight.
    let small = |sim: &mut Simulation, n: u64| {
        let mut s = sim.job_spec(n, "batch", 1);
        s["due_s"] = json!(600.0);
        sim.submit(s, 12_000, n as usize % 3);
    };
    (2..30).for_each(|n| small(&mut sim, n));
    sim.run(3_000);
    let mut wide = sim.job_spec(1, "batch", 30);
    wide["due_s"] = json!(1.0);
    let begun_by = sim.now + 240_000;
    sim.submit(wide, 12_000, 0);
    let mut n = 30;
    while sim.now < begun_by + 60_000 {
        n += 1;
        small(&mut sim, n);
        sim.run(1_000);
        let begun = sim.jobs["job-000001"].starts > 0;
        assert!(begun || sim.now < begun_by, "not begun within four minutes");
    }
    let starts = sim.jobs["job-000001"].starts;
    assert!(starts >= 3, "it goes on after it has begun, not {starts}");
}

#[test]
fn a_machine_back_at_once_with_nothing_on_it_is_not_taken_for_the_one_before() {
    let mut sim = with_service(3);
    let name =
        sim.workers.iter().find(|(_, x)| !x.running_tasks().is_empty()).expect("one").0.clone();
    // Its numbers start anew, so that its reports look like copies of old ones.
    sim.workers.get_mut(&name).unwrap().restart_without_state();
    sim.run(LEASE_MS + 20_000);
    let on = sim.running_tasks();
    assert_eq!(on, 3, "the service runs: {}", sim.describe());
}

#[test]
fn tasks_of_a_cut_machine_start_elsewhere_only_after_its_lease() {
    let mut sim = with_service(2);
    let name = sim
        .workers
        .iter()
        .find(|(_, x)| x.holds_task_of("job-000001"))
        .map(|(n, _)| n.clone())
        .unwrap();
    let starts = sim.jobs["job-000001"].starts;
    sim.workers.get_mut(&name).unwrap().partitioned = true;
    sim.run(LEASE_MS - 2_000);
    assert_eq!(sim.jobs["job-000001"].starts, starts, "not before the lease is over");
    sim.run_until(20_000, "replaced", |sim| sim.jobs["job-000001"].starts > starts);
    sim.workers.get_mut(&name).unwrap().partitioned = false;
    sim.run(20_000);
}

#[test]
fn a_withdrawal_holds_against_done_and_start() {
    let mut sim = settled();
    for n in 1..=12u64 {
        let s = sim.job_spec(n, "batch", 2);
        sim.submit(s, 1_000, 0);
        // At ever later moments of the job's short life.
        sim.run(n * 450);
        let uid = format!("job-{n:06}");
        let a = sim.cancel(&uid, 1);
        let b = sim.cancel(&uid, 2);
        sim.run(400);
        assert_eq!(sim.response_status(a), 200);
        assert_eq!(
            sim.response_body(a)["status"],
            sim.response_body(b)["status"],
            "one outcome for all"
        );
    }
    sim.run(CANCEL_MS + 5_000);
    let outcomes: Vec<String> = sim.jobs.values().map(|j| j.last_status.clone()).collect();
    assert!(outcomes.iter().any(|o| o == "withdrawn") && outcomes.iter().any(|o| o == "done"));
}

#[test]
fn a_term_that_the_watch_tells_first_is_still_won() {
    // The answer of the winning commit comes later than the watch that shows it.
    for seed in 0..10 {
        let mut sim = Simulation::new(seed);
        sim.state.commit_response_delay_ms = 60;
        sim.run_until(5_000, "a leader", |sim| sim.leader().is_some());
        let l = sim.leader().unwrap();
        let term = sim.nodes[l].controller.as_ref().unwrap().leading_term();
        assert_eq!(term, Some(1), "seed {seed}: the first term taken is the one that leads");
    }
}

#[test]
fn running_work_survives_an_outage_of_the_state_service() {
    let mut sim = with_service(2);
    let starts = sim.jobs["job-000001"].starts;
    sim.state.outage = true;
    sim.run(3_000);
    let s = sim.job_spec(2, "batch", 1);
    let refused = sim.submit(s, 1_000, 1);
    sim.run(60_000);
    assert_eq!(sim.response_status(refused), 503, "refused, and at once");
    assert_eq!(sim.jobs["job-000001"].starts, starts, "nothing was lost, all being refused alike");
    sim.end_outage();
    sim.run(20_000);
    assert_eq!(sim.jobs["job-000001"].starts, starts);
}

#[test]
fn a_controller_that_alone_is_refused_has_its_peers_answer() {
    let mut sim = settled();
    let s = sim.job_spec(1, "batch", 2);
    sim.submit(s, 2_000, 0);
    sim.run(500);
    let other = (sim.leader().unwrap() + 1) % 3;
    sim.nodes[other].refused_by_state = true;
    sim.run(4_000);
    let r = sim.poll("job-000001", other);
    let s = sim.job_spec(2, "batch", 1);
    let x = sim.submit(s, 1_000, other);
    sim.run(500);
    assert_eq!((sim.response_status(r), sim.response_status(x)), (200, 201));
    // The leader itself: someone else takes over.
    sim.nodes[other].refused_by_state = false;
    let old = sim.leader().unwrap();
    sim.nodes[old].refused_by_state = true;
    sim.run_until(15_000, "another leads", |sim| sim.leader().is_some_and(|l| l != old));
    sim.run_until_done("job-000002", 40_000);
}

#[test]
fn a_roll_of_all_controllers_stops_no_service() {
    let mut sim = with_service(4);
    let starts = sim.jobs["job-000001"].starts;
    for i in 0..3 {
        sim.crash(i, 2_000);
        sim.run(10_000);
    }
    assert_eq!(sim.jobs["job-000001"].starts, starts, "no replica was started again");
}

#[test]
fn a_failed_machine_is_returned_at_once_also_by_a_leader_that_never_heard_it() {
    // Such machines once stayed for 45 s and held capacity.
    let mut sim = with_service(2);
    let starts = sim.jobs["job-000001"].starts;
    let name = sim.workers.iter().find(|(_, x)| x.holds_task_of("job-000001")).unwrap().0.clone();
    sim.fail_machine(&name);
    let l = sim.leader().unwrap();
    sim.crash(l, 1_000);
    sim.run_until(15_000, "returned", |sim| sim.is_returned(&name));
    sim.run_until(10_000, "started elsewhere", |sim| sim.jobs["job-000001"].starts > starts);
}

#[test]
fn a_spot_machine_past_its_time_holds_its_tasks_no_longer() {
    let mut sim = settled();
    let s = sim.job_spec(1, "batch", 4);
    sim.submit(s, 60_000, 0);
    sim.run(8_000);
    let name = sim.workers.iter().find(|(_, x)| x.holds_task_of("job-000001")).unwrap().0.clone();
    let starts = sim.jobs["job-000001"].starts;
    let at = sim.now + 3_000;
    sim.workers.get_mut(&name).unwrap().reclaim_at = Some(at);
    sim.run_until(11_000, "started elsewhere", |sim| sim.jobs["job-000001"].starts > starts);
}

#[test]
fn tasks_do_not_wait_for_a_machine_that_is_to_be_taken() {
    // They were placed there in every pass and never stored, hundreds of times each.
    let mut sim = settled();
    let mut s = sim.job_spec(1, "batch", 1);
    s["yard"] = json!("a");
    s["run_guess_s"] = json!(15.0);
    sim.submit(s, 15_000, 0);
    sim.run_until(10_000, "it runs", |sim| sim.running_tasks() == 1);
    // It alone has the image, and is kept for what can still end on it.
    let end = sim.now + 25_000;
    let first = sim.workers.keys().next().expect("a machine").clone();
    sim.workers.get_mut(&first).expect("there").reclaim_at = Some(end);
    sim.run(3_000);
    let s = sim.job_spec(2, "batch", 3);
    sim.submit(s, 500, 0);
    sim.run_until_done("job-000002", 12_000);
}

#[test]
fn a_burst_of_submissions_at_one_controller_is_taken_with_its_peers_help() {
    // One that had used up its share of the writes once refused what its peers could take.
    let mut sim = settled();
    let l = sim.leader().unwrap();
    let asked: Vec<u64> = (1..=30)
        .map(|n| {
            let s = sim.job_spec(n, "batch", 1);
            sim.submit(s, 1_000, (l + 1) % 3)
        })
        .collect();
    sim.run(400);
    let taken = asked.iter().filter(|r| sim.response_status(**r) == 201).count();
    let refused = asked.iter().filter(|r| sim.response_status(**r) == 503).count();
    assert_eq!(taken + refused, 30, "all are answered at once");
    // 60 writes a second: a quarter for each controller, and a quarter for the leader.
    assert!(taken > 15, "more than its own share: {taken}");
}

#[test]
fn guesses_that_are_far_too_low_do_not_starve_the_head() {
    // DESIGN expects it: wrong estimates shift the reservation, and backfill delays the head.
    // The class's guesses are corrected by what was seen, so that it ends.
    let mut sim = settled();
    sim.cloud.capacity = 2;
    let mut head = sim.job_spec(1, "batch", 1);
    head["gpus"] = json!(4.0);
    head["duty"] = json!("wide");
    for n in 2..=60 {
        let mut s = sim.job_spec(n, "batch", 3);
        s["run_guess_s"] = json!(0.5);
        s["duty"] = json!("narrow");
        sim.submit(s, 6_000, 0);
        if n == 8 {
            sim.submit(head.clone(), 2_000, 0);
        }
        sim.run(1_000);
        if sim.jobs.get("job-000001").is_some_and(|j| j.starts > 0) {
            return;
        }
    }
    panic!("the head never started: {}", sim.describe());
}

#[test]
fn reports_held_beyond_the_lease_bring_nothing_back() {
    let mut sim = settled();
    let s = sim.job_spec(1, "batch", 4);
    sim.submit(s, 120_000, 0);
    sim.run(8_000);
    let name = sim.workers.iter().find(|(_, x)| x.holds_task_of("job-000001")).unwrap().0.clone();
    // Reports of the next seconds are held for 20 s, later ones are lost.
    let until = sim.now + 20_000;
    sim.workers.get_mut(&name).unwrap().heartbeats_delayed_until = Some(until);
    sim.run(8_000);
    sim.workers.get_mut(&name).unwrap().partitioned = true;
    sim.run(11_500);
    let starts = sim.jobs["job-000001"].starts;
    assert!(starts > 4, "started elsewhere after the lease");
    sim.run(1_000);
    let l = sim.leader().unwrap();
    let cluster = &sim.nodes[l].controller.as_ref().unwrap().leader().unwrap().cluster;
    let m = cluster.machines.get(name.as_str());
    assert!(m.is_none_or(|m| m.lease_expired && m.placements.is_empty()), "it is still cut off");
    sim.run(10_000);
    assert_eq!(sim.jobs["job-000001"].starts, starts);
}

#[test]
fn apart_counts_replicas_that_can_not_be_reached() {
    let mut sim = settled();
    let mut s = sim.job_spec(1, "standing", 3);
    s["apart"] = json!(true);
    sim.submit(s, u64::MAX, 0);
    sim.run(12_000);
    for round in 0..3 {
        let name = sim
            .workers
            .iter()
            .filter(|(_, x)| !x.stopped && x.holds_task_of("job-000001"))
            .map(|(n, _)| n.clone())
            .nth(round % 2)
            .unwrap();
        sim.workers.get_mut(&name).unwrap().partitioned = true;
        let l = sim.leader().unwrap();
        sim.crash(l, 1_000);
        sim.run(25_000);
        sim.workers.get_mut(&name).unwrap().partitioned = false;
        sim.run(5_000);
    }
    let on = sim.running_tasks();
    assert_eq!(on, 3);
}

#[test]
fn the_limit_holds_across_a_change_of_leader() {
    let mut sim = settled();
    sim.cloud.capacity = 8;
    let s = sim.job_spec(1, "batch", 60);
    sim.submit(s, 4_000, 0);
    for _ in 0..4 {
        sim.run(7_000);
        let l = sim.leader().unwrap_or(0);
        sim.crash(l, 1_500);
    }
    sim.run_until_done("job-000001", 120_000);
}

#[test]
fn a_second_controller_never_answers_older() {
    let mut sim = settled();
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
    let withdrawal = sim.cancel("job-000001", 1);
    sim.run_until(1_000, "withdrawn", |sim| sim.response_status(withdrawal) == 200);
    let (a, b) = (sim.poll("job-000001", 0), sim.poll("job-000001", 2));
    sim.run(100);
    assert_eq!(sim.response_body(a)["status"], "withdrawn");
    assert_eq!(sim.response_body(b)["status"], "withdrawn");
}

#[test]
fn a_large_array_is_kept_as_ranges() {
    let mut sim = settled();
    let s = sim.job_spec(1, "batch", 100_000);
    sim.submit(s, 500, 0);
    sim.run(15_000);
    let l = sim.leader().unwrap();
    let job =
        &sim.nodes[l].controller.as_ref().unwrap().leader().unwrap().cluster.jobs["job-000001"];
    assert!(job.done_count > 20, "it moves on: {}", job.done_count);
    assert!(job.requeued.len() < 100, "no object per waiting task");
    sim.cancel("job-000001", 0);
    sim.run(CANCEL_MS + 2_000);
}

#[test]
fn a_sick_machine_is_set_aside_and_a_bad_job_is_not_blamed_on_machines() {
    let mut sim = settled();
    let sick = sim.workers.keys().next().unwrap().clone();
    sim.workers.get_mut(&sick).unwrap().fails_all_tasks = true;
    for n in 1..=4 {
        let s = sim.job_spec(n, "batch", 3);
        sim.submit(s, 2_000, 0);
    }
    for n in 1..=4 {
        sim.run_until_done(&format!("job-{n:06}"), 60_000);
    }
    sim.run(5_000);
    assert!(sim.workers[&sick].stopped, "the sick machine was returned");
    let s = sim.job_spec(5, "batch", 3);
    sim.submit(s, 2_000, 0);
    sim.jobs.get_mut("job-000005").unwrap().always_fails = true;
    let s = sim.job_spec(6, "batch", 3);
    sim.submit(s, 2_000, 0);
    sim.run_until_done("job-000006", 60_000);
    sim.run(10_000);
    let l = sim.leader().unwrap();
    let cluster = &sim.nodes[l].controller.as_ref().unwrap().leader().unwrap().cluster;
    assert!(
        cluster.machines.values().filter(|m| !m.cordoned).count() >= 1,
        "a good machine is left"
    );
    assert!(cluster.jobs["job-000005"].paused_until > 0, "the bad job is held back");
}

#[test]
fn a_task_with_no_record_is_stopped() {
    // A start that no record explains can't come from this program; should it ever be
    // there, it must not run beside the real one.
    let mut sim = settled();
    let s = sim.job_spec(1, "standing", 1);
    sim.submit(s, u64::MAX, 0);
    sim.run(6_000);
    let other = sim
        .workers
        .iter()
        .find(|(_, x)| !x.holds_task_of("job-000001"))
        .map(|(n, _)| n.clone())
        .unwrap();
    let unknown = Job::new(sim.job_spec(77, "standing", 1), 1, u64::MAX);
    sim.jobs.insert("job-000077".into(), unknown);
    sim.inject_task(&other, "job-000077", 0, 5);
    sim.run(6_000);
    assert!(!sim.workers[&other].holds_task_of("job-000077"));
}
