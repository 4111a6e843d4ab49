//! Short scenarios: one trouble each, three controllers, a fake world.

mod world;

use serde_json::json;
use world::*;

fn settled() -> World {
    let mut w = World::new(1);
    w.until(10_000, "a leader", |w| w.leader().is_some());
    w.run(3_000);
    w
}

/// With job-000001, a service, up and running.
fn with_service(replicas: u32) -> World {
    let mut w = settled();
    let s = w.spec(1, "standing", replicas);
    w.submit(s, u64::MAX, 0);
    w.run(8_000);
    w
}

/// The service of [`with_service`] runs with its three replicas, and a new job is done.
fn serves(w: &mut World) {
    let s = w.spec(2, "batch", 3);
    w.submit(s, 1_000, 0);
    w.until_done("job-000002", 30_000);
    assert_eq!(w.running(), 3, "the service runs: {}", w.view());
}

#[test]
fn a_job_is_accepted_run_and_done() {
    let mut w = settled();
    let s = w.spec(1, "batch", 3);
    let r = w.submit(s.clone(), 3_000, 1);
    w.run(200);
    assert_eq!(w.status(r), 201);
    let again = w.submit(s, 3_000, 2);
    w.run(200);
    assert_eq!(w.status(again), 200, "a repeat is known at another controller");
    w.until_done("job-000001", 30_000);
    assert_eq!(w.jobs["job-000001"].starts, 3, "every task started once");
}

#[test]
fn what_can_not_be_taken_is_answered_at_once() {
    let mut w = settled();
    let ask = |w: &mut World, body: String| {
        let r = w.ask(0, "job-000009", "other", "POST", "/v1/jobs".into(), body.into_bytes());
        w.run(300);
        w.status(r)
    };
    let good = w.spec(9, "batch", 1);
    let with = |k: &str, v: serde_json::Value| {
        let mut s = good.clone();
        s[k] = v;
        s.to_string()
    };
    assert_eq!(ask(&mut w, "nonsense".into()), 400);
    assert_eq!(ask(&mut w, "[]".into()), 400);
    assert_eq!(ask(&mut w, with("uid", json!("task-1"))), 400);
    assert_eq!(ask(&mut w, with("loads", json!(0))), 400);
    assert_eq!(ask(&mut w, with("loads", json!(100_001))), 400);
    assert_eq!(ask(&mut w, with("gpus", json!(-1.0))), 400);
    assert_eq!(ask(&mut w, with("kit", json!(null))), 400);
    assert_eq!(ask(&mut w, with("crew", json!("nobody"))), 422);
    assert_eq!(ask(&mut w, with("gpus", json!(5.0))), 422, "no machine has so many");
    let mut wide = w.spec(9, "standing", 13);
    wide["apart"] = json!(false);
    assert_eq!(ask(&mut w, wide.to_string()), 422, "more than the team's limit at once");
    assert_eq!(ask(&mut w, w_unknown(&good)), 201, "unknown fields are ignored");
    let r = w.poll("job-000404", 0);
    let x = w.withdraw("job-000404", 1);
    w.run(300);
    assert_eq!((w.status(r), w.status(x)), (404, 404));
}

fn w_unknown(good: &serde_json::Value) -> String {
    let mut s = good.clone();
    s["colour"] = json!("green");
    s.to_string()
}

#[test]
fn many_jobs_submitted_together_are_accepted_with_few_writes_and_all_run() {
    let mut w = settled();
    let before = w.state.changes;
    let asked: Vec<u64> = (1..=40)
        .map(|n| {
            let s = w.spec(n, "batch", 1);
            w.submit(s, 300, n as usize % 3)
        })
        .collect();
    w.until(1_500, "all accepted", |w| asked.iter().all(|r| w.status(*r) == 201));
    let batches = w.state.changes - before;
    assert!(batches < 40, "far fewer changes than one a job and its start: {batches}");
    for n in 1..=40 {
        w.until_done(&format!("job-{n:06}"), 60_000);
    }
}

#[test]
fn a_slow_state_service_makes_no_submission_slow_nor_any_job_twice() {
    let mut w = settled();
    w.state.slow_once = 400;
    let s = w.spec(1, "batch", 3);
    let r = w.submit(s, 1_000, 1);
    w.until(200, "accepted by the second copy", |w| w.status(r) == 201);
    // The first one is carried out all the same, some time later.
    w.until_done("job-000001", 30_000);
    assert_eq!(w.jobs["job-000001"].starts, 3, "every task started once");
}

#[test]
fn hundreds_of_tasks_take_several_groups_each_under_the_limit() {
    let mut w = settled();
    let mut s = w.spec(1, "batch", 400);
    s["gpus"] = json!(0.0);
    s["cores"] = json!(0.05);
    s["ram_gb"] = json!(0.1);
    w.submit(s, 20_000, 0);
    // The world checks every value and every transaction against its limit.
    w.until(20_000, "several groups", |w| w.state.under("mg/2/place/").len() >= 3);
    let old = w.leader().expect("leads");
    w.crash(old, 1_000);
    w.until_done("job-000001", 120_000);
    assert_eq!(w.jobs["job-000001"].starts, 400, "every task started once, with two leaders");
}

#[test]
fn a_report_of_many_unknown_tasks_is_answered_within_the_limits() {
    let mut w = settled();
    let leader = w.leader().expect("leads");
    let loads: Vec<_> = (0..650)
        .map(|n| json!({"load": format!("job-{n:06}/7"), "try": 1, "status": "running", "cause": null}))
        .collect();
    let report = json!({"stead": "n-900000", "address": "x", "build": "g4", "yard": "a",
        "lendables": false, "tenure": 1, "tally": 1, "baton": 0, "recall_s": null, "loads": loads});
    let body = report.to_string().into_bytes();
    assert!((40_000..65_536).contains(&body.len()), "near the limit: {}", body.len());
    let r = w.ask(leader, "", "other", "POST", "/checkin".into(), body);
    w.run(1_000);
    assert_eq!(w.status(r), 200);
    let answer = w.answer(r);
    assert!(answer.to_string().len() < 65_536);
    let orders = answer["orders"].as_array().map_or(0, |o| o.len());
    assert_eq!(orders, 500, "some are halted, the others next time");
}

#[test]
fn controllers_that_fall_behind_the_store_read_it_anew() {
    let mut w = with_service(3);
    w.state.forgot = w.state.rev + 1;
    w.run(200);
    w.state.forgot = 0;
    w.until(15_000, "a leader again", |w| w.leader().is_some());
    w.run(5_000);
    serves(&mut w);
}

#[test]
fn refused_for_asking_too_often_nothing_stalls_and_nobody_waits_for_an_answer() {
    let mut w = with_service(3);
    w.state.busy = true;
    w.cloud.busy = true;
    let s = w.spec(2, "batch", 3);
    let (a, b) = (w.submit(s.clone(), 1_000, 0), w.poll("job-000001", 1));
    w.run(2_000);
    assert_eq!((w.status(a), w.status(b)), (503, 503), "answered at once");
    w.run(1_000);
    w.state.busy = false;
    w.cloud.busy = false;
    w.until(10_000, "a leader", |w| w.leader().is_some());
    w.submit(s, 1_000, 0);
    w.until_done("job-000002", 30_000);
    let on = w.running();
    assert_eq!(on, 3, "the service runs: {}", w.view());
}

#[test]
fn a_store_of_another_layout_is_left_alone() {
    let mut w = World::new(1);
    w.state.put("mg/job/job-000007", json!({"at": 1, "stage": "live", "loads": 1}));
    w.run(15_000);
    assert!(w.leader().is_none(), "nobody leads on keys that it can't read");
    let r = w.poll("job-000007", 0);
    w.run(300);
    assert_eq!(w.status(r), 503, "not unknown: unreadable");
}

#[test]
fn an_accepted_job_outlives_all_controllers() {
    let mut w = settled();
    let s = w.spec(1, "batch", 6);
    let r = w.submit(s, 8_000, 0);
    w.until(1_000, "accepted", |w| w.status(r) == 201);
    for i in 0..3 {
        w.crash(i, 3_000 + 100 * i as u64);
    }
    w.until_done("job-000001", 60_000);
}

#[test]
fn a_leader_that_only_workers_reach_makes_way_and_nothing_runs_twice() {
    let mut w = with_service(3);
    let old = w.leader().expect("leads");
    w.nodes[old].cut_state = true;
    w.nodes[old].cut_peers = true;
    // Two leaders for a while; the workers see only the old one.
    w.until(20_000, "another leads", |w| w.leader().is_some_and(|l| l != old));
    let s = w.spec(2, "batch", 2);
    w.submit(s, 2_000, (old + 1) % 3);
    w.run(10_000);
    // A new leader once took machines that it had not heard of for ones that fail to boot.
    assert!(w.workers.values().all(|x| !x.dead), "no machine was returned for being unheard");
    w.run(30_000);
    w.nodes[old].cut_state = false;
    w.nodes[old].cut_peers = false;
    w.until_done("job-000002", 60_000);
    w.run(10_000);
    let on = w.running();
    assert_eq!(on, 3, "the service runs");
}

#[test]
fn a_cancellation_holds_against_a_leader_that_can_not_hear_of_it() {
    let mut w = with_service(3);
    let old = w.leader().expect("leads");
    w.nodes[old].cut_state = true;
    w.nodes[old].cut_peers = true;
    w.run(500);
    let r = w.withdraw("job-000001", (old + 1) % 3);
    w.until(2_000, "withdrawn", |w| w.status(r) == 200);
    // The old leader goes on answering its workers, but not for too long.
    w.run(CANCEL_MS + 10_000);
    assert!(w.workers.values().all(|x| x.running().is_empty()));
}

#[test]
fn late_and_lost_commits_change_nothing_for_users() {
    let mut w = settled();
    w.state.late_commits = 0.3;
    w.state.lost_answers = 0.1;
    for n in 1..=6 {
        let s = w.spec(n, "batch", 4);
        w.submit(s, 2_000, n as usize % 3);
        w.run(1_000);
    }
    w.run(40_000);
    w.state.late_commits = 0.0;
    w.state.lost_answers = 0.0;
    for n in 1..=6 {
        let s = w.spec(n, "batch", 4);
        w.submit(s, 2_000, 0);
        w.until_done(&format!("job-{n:06}"), 60_000);
    }
}

#[test]
fn reports_that_come_late_settle_nothing() {
    let mut w = settled();
    w.late_reports = 0.15;
    for n in 1..=4 {
        let s = w.spec(n, "batch", 6);
        w.submit(s, 3_000, 0);
        w.run(2_000);
    }
    w.run(30_000);
    w.late_reports = 0.0;
    for n in 1..=4 {
        w.until_done(&format!("job-{n:06}"), 90_000);
    }
}

#[test]
fn a_machine_that_hears_no_answer_is_found_out_replaced_and_used_again_when_it_heals() {
    let mut w = settled();
    // Two machines, no more: what is to run has to come by the one that hears nothing.
    w.cloud.capacity = 2;
    let mut s = w.spec(1, "standing", 3);
    s["yard"] = json!("a");
    w.submit(s, u64::MAX, 0);
    w.run(8_000);
    let name = w.workers.iter().find(|(_, x)| x.running().is_empty()).expect("one").0.clone();
    w.workers.get_mut(&name).unwrap().deaf = true;
    // Starts that never arrive there do not hold tasks for ever.
    let s = w.spec(2, "batch", 6);
    w.submit(s, 1_000, 0);
    w.until_done("job-000002", LEASE_MS * 4);
    w.run(LEASE_MS);
    let on: usize = w.workers.values().filter(|x| !x.deaf).map(|x| x.running().len()).sum();
    assert_eq!(on, 3, "the service runs elsewhere: {}", w.view());
    // A short time of it does not cost a machine.
    let other = w.workers.iter().find(|(n, x)| **n != name && !x.dead).expect("one").0.clone();
    w.workers.get_mut(&other).unwrap().deaf = true;
    w.run(5_000);
    w.workers.get_mut(&other).unwrap().deaf = false;
    w.run(LEASE_MS * 2);
    assert!(!w.is_returned(&other), "healed in time: {}", w.view());
}

#[test]
fn a_machine_that_hears_no_answer_across_a_change_of_leader_is_replaced() {
    let mut w = with_service(3);
    let name = w.workers.iter().find(|(_, x)| !x.running().is_empty()).expect("one").0.clone();
    w.workers.get_mut(&name).unwrap().deaf = true;
    w.run(1_000);
    let old = w.leader().expect("leads");
    w.crash(old, 3_000);
    // It shows the old token for ever: nothing it shows settles anything, only its end does.
    w.run(LEASE_MS * 2 + 40_000);
    assert!(w.is_returned(&name), "replaced: {}", w.view());
    let on = w.running();
    assert_eq!(on, 3, "the service runs elsewhere: {}", w.view());
}

#[test]
fn late_copies_of_reports_settle_nothing_and_hide_no_silent_machine() {
    let mut w = with_service(3);
    w.copies = 0.7;
    w.copies_ms = LEASE_MS * 3;
    w.run(20_000);
    let name = w.workers.iter().find(|(_, x)| !x.running().is_empty()).expect("one").0.clone();
    w.kill_machine(&name);
    w.run(3_000);
    // Copies from before its end also reach the next leader, to whom they are all news.
    let old = w.leader().expect("leads");
    w.crash(old, 200);
    w.run(LEASE_MS * 2 + 20_000);
    let on = w.running();
    assert_eq!(on, 3, "the service runs on machines that are there: {}", w.view());
    let s = w.spec(2, "batch", 6);
    w.submit(s, 2_000, 0);
    w.until_done("job-000002", 60_000);
    assert_eq!(w.jobs["job-000002"].starts, 6, "every task started once");
}

#[test]
fn a_follower_with_nothing_but_workers_sends_them_on_and_says_that_it_is_not_up() {
    let mut w = with_service(3);
    let other = (w.leader().expect("leads") + 1) % 3;
    w.nodes[other].cut_state = true;
    w.nodes[other].cut_peers = true;
    w.run(6_000);
    let up = w.ask(other, "", "other", "GET", "/up".into(), vec![]);
    let poll = w.poll("job-000001", other);
    w.run(1_500);
    assert_eq!((w.status(up), w.status(poll)), (503, 503));
    w.run(LEASE_MS * 2);
    let on = w.running();
    assert_eq!(on, 3, "no lease ended for it");
}

/// A service with a replica in each zone, zone b cut off with a controller that does not lead.
fn zone_b_cut_off() -> World {
    let mut w = settled();
    let mut s = w.spec(1, "standing", 4);
    s["apart"] = json!(true);
    w.submit(s, u64::MAX, 0);
    w.until(30_000, "runs in both zones", |w| w.running() == 4);
    let inside = (0..3).find(|i| w.leader() != Some(*i)).expect("followers");
    w.cut_zone("b", inside);
    w
}

#[test]
fn services_in_a_zone_that_is_cut_off_stay_up_while_a_controller_is_in_it() {
    // Their leases ran out once although a controller stood beside them, and the half of each
    // service that must be in that zone was down for the whole cut.
    let mut w = zone_b_cut_off();
    w.run(LEASE_MS + LEASE_MS / 2);
    assert_eq!(w.running(), 4, "kept beyond their lease: {}", w.view());
    w.join_zone();
    w.run(LEASE_MS * 2);
    assert_eq!((w.running(), w.jobs["job-000001"].starts), (4, 4), "and none was started anew");
    serves_batch(&mut w);
}

#[test]
fn leases_kept_in_the_leaders_place_end_in_time_for_a_cancellation_and_are_waited_for() {
    let mut w = zone_b_cut_off();
    w.run(2_000);
    let outside = w.leader().expect("leads");
    let r = w.withdraw("job-000001", outside);
    w.until(3_000, "withdrawn", |w| w.status(r) == 200);
    // The world's checker wants every task gone in time, also those that nobody can reach.
    w.run(CANCEL_MS + LEASE_MS);
    assert_eq!(w.running(), 0, "{}", w.view());
    w.join_zone();
    serves_batch(&mut w);
}

#[test]
fn what_ran_in_a_zone_that_stays_cut_off_starts_elsewhere_only_when_its_lease_is_over() {
    let mut w = settled();
    // Something holds the other zone while it is placed, and there is room there afterwards.
    let mut s = w.spec(3, "batch", 4);
    s["yard"] = json!("a");
    w.submit(s, 60_000, 0);
    w.run(4_000);
    let mut s = w.spec(1, "batch", 2);
    s["run_guess_s"] = json!(60.0);
    w.submit(s, 60_000, 0);
    w.until(10_000, "runs in zone b", |w| w.running() == 6);
    let leader = w.leader().expect("leads");
    w.withdraw("job-000003", leader);
    w.until(10_000, "room in zone a", |w| w.running() == 2);
    w.cut_zone("b", (leader + 1) % 3);
    // The checker breaks off where a task starts while it is still on a machine.
    w.until_done("job-000001", 300_000);
    assert!(w.jobs["job-000001"].starts > 2, "they were started again");
    w.join_zone();
    w.run(LEASE_MS);
    serves_batch(&mut w);
}

/// A new job is done.
fn serves_batch(w: &mut World) {
    let s = w.spec(2, "batch", 3);
    let to = w.leader().expect("leads");
    w.submit(s, 1_000, to);
    w.until_done("job-000002", 60_000);
}

#[test]
fn controllers_back_at_once_in_the_middle_of_elections_lead_and_lose_nothing() {
    let mut w = with_service(3);
    w.state.slow_commits = 300;
    for round in 0..6 {
        // One ends with its election's commit out, another while it reads the store.
        w.crash(round % 3, 50);
        w.run(150);
        w.crash((round + 1) % 3, 100);
        w.run(900);
    }
    w.state.slow_commits = 0;
    w.until(10_000, "a leader", |w| w.leader().is_some());
    serves(&mut w);
}

#[test]
fn a_wide_job_past_its_deadline_begins_and_goes_on_under_a_stream_of_small_ones() {
    let mut w = settled();
    w.cloud.capacity = 2;
    // Twelve slots' worth of small jobs that can still be in time, for eight.
    let small = |w: &mut World, n: u64| {
        let mut s = w.spec(n, "batch", 1);
        s["due_s"] = json!(600.0);
        w.submit(s, 12_000, n as usize % 3);
    };
    (2..30).for_each(|n| small(&mut w, n));
    w.run(3_000);
    let mut wide = w.spec(1, "batch", 30);
    wide["due_s"] = json!(1.0);
    let begun_by = w.now + 240_000;
    w.submit(wide, 12_000, 0);
    let mut n = 30;
    while w.now < begun_by + 60_000 {
        n += 1;
        small(&mut w, n);
        w.run(1_000);
        let begun = w.jobs["job-000001"].starts > 0;
        assert!(begun || w.now < begun_by, "not begun within four minutes");
    }
    let starts = w.jobs["job-000001"].starts;
    assert!(starts >= 3, "it goes on after it has begun, not {starts}");
}

#[test]
fn a_machine_back_at_once_with_nothing_on_it_is_not_taken_for_the_one_before() {
    let mut w = with_service(3);
    let name = w.workers.iter().find(|(_, x)| !x.running().is_empty()).expect("one").0.clone();
    // Its numbers start anew, so that its reports look like copies of old ones.
    w.workers.get_mut(&name).unwrap().forget();
    w.run(LEASE_MS + 20_000);
    let on = w.running();
    assert_eq!(on, 3, "the service runs: {}", w.view());
}

#[test]
fn tasks_of_a_cut_machine_start_elsewhere_only_after_its_lease() {
    let mut w = with_service(2);
    let name =
        w.workers.iter().find(|(_, x)| x.is_on("job-000001")).map(|(n, _)| n.clone()).unwrap();
    let starts = w.jobs["job-000001"].starts;
    w.workers.get_mut(&name).unwrap().cut = true;
    w.run(LEASE_MS - 2_000);
    assert_eq!(w.jobs["job-000001"].starts, starts, "not before the lease is over");
    w.until(20_000, "replaced", |w| w.jobs["job-000001"].starts > starts);
    w.workers.get_mut(&name).unwrap().cut = false;
    w.run(20_000);
}

#[test]
fn a_withdrawal_holds_against_done_and_start() {
    let mut w = settled();
    for n in 1..=12u64 {
        let s = w.spec(n, "batch", 2);
        w.submit(s, 1_000, 0);
        // At ever later moments of the job's short life.
        w.run(n * 450);
        let uid = format!("job-{n:06}");
        let a = w.withdraw(&uid, 1);
        let b = w.withdraw(&uid, 2);
        w.run(400);
        assert_eq!(w.status(a), 200);
        assert_eq!(w.answer(a)["status"], w.answer(b)["status"], "one outcome for all");
    }
    w.run(CANCEL_MS + 5_000);
    let outcomes: Vec<String> = w.jobs.values().map(|j| j.last_status.clone()).collect();
    assert!(outcomes.iter().any(|o| o == "withdrawn") && outcomes.iter().any(|o| o == "done"));
}

#[test]
fn a_term_that_the_watch_tells_first_is_still_won() {
    // The answer of the winning commit comes later than the watch that shows it.
    for seed in 0..10 {
        let mut w = World::new(seed);
        w.state.slow_commits = 60;
        w.until(5_000, "a leader", |w| w.leader().is_some());
        let l = w.leader().unwrap();
        let term = w.nodes[l].core.as_ref().unwrap().leading_term();
        assert_eq!(term, Some(1), "seed {seed}: the first term taken is the one that leads");
    }
}

#[test]
fn running_work_survives_an_outage_of_the_state_service() {
    let mut w = with_service(2);
    let starts = w.jobs["job-000001"].starts;
    w.state.outage = true;
    w.run(3_000);
    let s = w.spec(2, "batch", 1);
    let refused = w.submit(s, 1_000, 1);
    w.run(60_000);
    assert_eq!(w.status(refused), 503, "refused, and at once");
    assert_eq!(w.jobs["job-000001"].starts, starts, "nothing was lost, all being refused alike");
    w.end_outage();
    w.run(20_000);
    assert_eq!(w.jobs["job-000001"].starts, starts);
}

#[test]
fn a_controller_that_alone_is_refused_has_its_peers_answer() {
    let mut w = settled();
    let s = w.spec(1, "batch", 2);
    w.submit(s, 2_000, 0);
    w.run(500);
    let other = (w.leader().unwrap() + 1) % 3;
    w.nodes[other].refused = true;
    w.run(4_000);
    let r = w.poll("job-000001", other);
    let s = w.spec(2, "batch", 1);
    let x = w.submit(s, 1_000, other);
    w.run(500);
    assert_eq!((w.status(r), w.status(x)), (200, 201));
    // The leader itself: someone else takes over.
    w.nodes[other].refused = false;
    let old = w.leader().unwrap();
    w.nodes[old].refused = true;
    w.until(15_000, "another leads", |w| w.leader().is_some_and(|l| l != old));
    w.until_done("job-000002", 40_000);
}

#[test]
fn a_roll_of_all_controllers_stops_no_service() {
    let mut w = with_service(4);
    let starts = w.jobs["job-000001"].starts;
    for i in 0..3 {
        w.crash(i, 2_000);
        w.run(10_000);
    }
    assert_eq!(w.jobs["job-000001"].starts, starts, "no replica was started again");
}

#[test]
fn a_failed_machine_is_returned_at_once_also_by_a_leader_that_never_heard_it() {
    // Such machines once stayed for 45 s and held capacity.
    let mut w = with_service(2);
    let starts = w.jobs["job-000001"].starts;
    let name = w.workers.iter().find(|(_, x)| x.is_on("job-000001")).unwrap().0.clone();
    w.fail_machine(&name);
    let l = w.leader().unwrap();
    w.crash(l, 1_000);
    w.until(15_000, "returned", |w| w.is_returned(&name));
    w.until(10_000, "started elsewhere", |w| w.jobs["job-000001"].starts > starts);
}

#[test]
fn a_spot_machine_past_its_time_holds_its_tasks_no_longer() {
    let mut w = settled();
    let s = w.spec(1, "batch", 4);
    w.submit(s, 60_000, 0);
    w.run(8_000);
    let name = w.workers.iter().find(|(_, x)| x.is_on("job-000001")).unwrap().0.clone();
    let starts = w.jobs["job-000001"].starts;
    let at = w.now + 3_000;
    w.workers.get_mut(&name).unwrap().recall_at = Some(at);
    w.until(11_000, "started elsewhere", |w| w.jobs["job-000001"].starts > starts);
}

#[test]
fn tasks_do_not_wait_for_a_machine_that_is_to_be_taken() {
    // They were placed there in every pass and never stored, hundreds of times each.
    let mut w = settled();
    let mut s = w.spec(1, "batch", 1);
    s["yard"] = json!("a");
    s["run_guess_s"] = json!(15.0);
    w.submit(s, 15_000, 0);
    w.until(10_000, "it runs", |w| w.running() == 1);
    // It alone has the image, and is kept for what can still end on it.
    let end = w.now + 25_000;
    let first = w.workers.keys().next().expect("a machine").clone();
    w.workers.get_mut(&first).expect("there").recall_at = Some(end);
    w.run(3_000);
    let s = w.spec(2, "batch", 3);
    w.submit(s, 500, 0);
    w.until_done("job-000002", 12_000);
}

#[test]
fn a_burst_of_submissions_at_one_controller_is_taken_with_its_peers_help() {
    // One that had used up its share of the writes once refused what its peers could take.
    let mut w = settled();
    let l = w.leader().unwrap();
    let asked: Vec<u64> = (1..=30)
        .map(|n| {
            let s = w.spec(n, "batch", 1);
            w.submit(s, 1_000, (l + 1) % 3)
        })
        .collect();
    w.run(400);
    let taken = asked.iter().filter(|r| w.status(**r) == 201).count();
    let refused = asked.iter().filter(|r| w.status(**r) == 503).count();
    assert_eq!(taken + refused, 30, "all are answered at once");
    // 60 writes a second: a quarter for each controller, and a quarter for the leader.
    assert!(taken > 15, "more than its own share: {taken}");
}

#[test]
fn guesses_that_are_far_too_low_do_not_starve_the_head() {
    // DESIGN expects it: wrong estimates shift the reservation, and backfill delays the head.
    // The class's guesses are corrected by what was seen, so that it ends.
    let mut w = settled();
    w.cloud.capacity = 2;
    let mut head = w.spec(1, "batch", 1);
    head["gpus"] = json!(4.0);
    head["duty"] = json!("wide");
    for n in 2..=60 {
        let mut s = w.spec(n, "batch", 3);
        s["run_guess_s"] = json!(0.5);
        s["duty"] = json!("narrow");
        w.submit(s, 6_000, 0);
        if n == 8 {
            w.submit(head.clone(), 2_000, 0);
        }
        w.run(1_000);
        if w.jobs.get("job-000001").is_some_and(|j| j.starts > 0) {
            return;
        }
    }
    panic!("the head never started: {}", w.view());
}

#[test]
fn reports_held_beyond_the_lease_bring_nothing_back() {
    let mut w = settled();
    let s = w.spec(1, "batch", 4);
    w.submit(s, 120_000, 0);
    w.run(8_000);
    let name = w.workers.iter().find(|(_, x)| x.is_on("job-000001")).unwrap().0.clone();
    // Reports of the next seconds are held for 20 s, later ones are lost.
    let until = w.now + 20_000;
    w.workers.get_mut(&name).unwrap().held_until = Some(until);
    w.run(8_000);
    w.workers.get_mut(&name).unwrap().cut = true;
    w.run(11_500);
    let starts = w.jobs["job-000001"].starts;
    assert!(starts > 4, "started elsewhere after the lease");
    w.run(1_000);
    let l = w.leader().unwrap();
    let cluster = &w.nodes[l].core.as_ref().unwrap().leader().unwrap().cluster;
    let m = cluster.machines.get(name.as_str());
    assert!(m.is_none_or(|m| m.lease_expired && m.placements.is_empty()), "it is still cut off");
    w.run(10_000);
    assert_eq!(w.jobs["job-000001"].starts, starts);
}

#[test]
fn apart_counts_replicas_that_can_not_be_reached() {
    let mut w = settled();
    let mut s = w.spec(1, "standing", 3);
    s["apart"] = json!(true);
    w.submit(s, u64::MAX, 0);
    w.run(12_000);
    for round in 0..3 {
        let name = w
            .workers
            .iter()
            .filter(|(_, x)| !x.dead && x.is_on("job-000001"))
            .map(|(n, _)| n.clone())
            .nth(round % 2)
            .unwrap();
        w.workers.get_mut(&name).unwrap().cut = true;
        let l = w.leader().unwrap();
        w.crash(l, 1_000);
        w.run(25_000);
        w.workers.get_mut(&name).unwrap().cut = false;
        w.run(5_000);
    }
    let on = w.running();
    assert_eq!(on, 3);
}

#[test]
fn the_limit_holds_across_a_change_of_leader() {
    let mut w = settled();
    w.cloud.capacity = 8;
    let s = w.spec(1, "batch", 60);
    w.submit(s, 4_000, 0);
    for _ in 0..4 {
        w.run(7_000);
        let l = w.leader().unwrap_or(0);
        w.crash(l, 1_500);
    }
    w.until_done("job-000001", 120_000);
}

#[test]
fn a_second_controller_never_answers_older() {
    let mut w = settled();
    let spec = w.spec(1, "batch", 1);
    let submission = w.submit(spec, 60_000, 0);
    w.until(1_000, "accepted", |w| w.status(submission) == 201);
    let (a, b) = (w.poll("job-000001", 1), w.poll("job-000001", 2));
    w.run(100);
    assert_eq!((w.status(a), w.status(b)), (200, 200), "no 404 right after the acceptance");
    let withdrawal = w.withdraw("job-000001", 1);
    w.until(1_000, "withdrawn", |w| w.status(withdrawal) == 200);
    let (a, b) = (w.poll("job-000001", 0), w.poll("job-000001", 2));
    w.run(100);
    assert_eq!(w.answer(a)["status"], "withdrawn");
    assert_eq!(w.answer(b)["status"], "withdrawn");
}

#[test]
fn a_large_array_is_kept_as_ranges() {
    let mut w = settled();
    let s = w.spec(1, "batch", 100_000);
    w.submit(s, 500, 0);
    w.run(15_000);
    let l = w.leader().unwrap();
    let job = &w.nodes[l].core.as_ref().unwrap().leader().unwrap().cluster.jobs["job-000001"];
    assert!(job.done_count > 20, "it moves on: {}", job.done_count);
    assert!(job.requeued.len() < 100, "no object per waiting task");
    w.withdraw("job-000001", 0);
    w.run(CANCEL_MS + 2_000);
}

#[test]
fn a_sick_machine_is_set_aside_and_a_bad_job_is_not_blamed_on_machines() {
    let mut w = settled();
    let sick = w.workers.keys().next().unwrap().clone();
    w.workers.get_mut(&sick).unwrap().sick = true;
    for n in 1..=4 {
        let s = w.spec(n, "batch", 3);
        w.submit(s, 2_000, 0);
    }
    for n in 1..=4 {
        w.until_done(&format!("job-{n:06}"), 60_000);
    }
    w.run(5_000);
    assert!(w.workers[&sick].dead, "the sick machine was returned");
    let s = w.spec(5, "batch", 3);
    w.submit(s, 2_000, 0);
    w.jobs.get_mut("job-000005").unwrap().bad = true;
    let s = w.spec(6, "batch", 3);
    w.submit(s, 2_000, 0);
    w.until_done("job-000006", 60_000);
    w.run(10_000);
    let l = w.leader().unwrap();
    let cluster = &w.nodes[l].core.as_ref().unwrap().leader().unwrap().cluster;
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
    let mut w = settled();
    let s = w.spec(1, "standing", 1);
    w.submit(s, u64::MAX, 0);
    w.run(6_000);
    let other =
        w.workers.iter().find(|(_, x)| !x.is_on("job-000001")).map(|(n, _)| n.clone()).unwrap();
    let unknown = Job::new(w.spec(77, "standing", 1), 1, u64::MAX);
    w.jobs.insert("job-000077".into(), unknown);
    w.plant(&other, "job-000077", 0, 5);
    w.run(6_000);
    assert!(!w.workers[&other].is_on("job-000077"));
}
