//! The state service loses its data: what is noticed, what is held, and what comes back.

mod world;

use serde_json::json;
use world::*;

/// Milliseconds from a loss until all is as before: notice, hold, write back, account for every machine.
const REBUILT_MS: u64 = 45_000;

/// A world in which a service runs, an array runs for long, one job is done and one is cancelled.
fn busy_world(seed: u64) -> World {
    let mut w = World::with_recovery(seed);
    w.until(20_000, "a leader", |w| w.leader().is_some());
    let service = w.spec(1, "standing", 2);
    w.submit(service, u64::MAX, 0);
    let array = w.spec(2, "batch", 3);
    w.submit(array, 60_000, 1);
    let short = w.spec(3, "batch", 1);
    w.submit(short, 500, 2);
    let cancelled = w.spec(4, "batch", 1);
    w.submit(cancelled, 60_000, 0);
    w.until_done("job-000003", 30_000);
    w.until(30_000, "all run", |w| w.running() == 6);
    let request = w.withdraw("job-000004", 1);
    w.run(2_500);
    assert_eq!(w.status(request), 200);
    w
}

fn rebuilt(w: &World) -> bool {
    let phase = w.state.get("mg/rebuild").map(|record| record["phase"].clone());
    phase == Some(json!("accounted"))
}

fn starts(w: &World) -> Vec<(String, u32)> {
    w.jobs.iter().map(|(uid, job)| (uid.clone(), job.starts)).collect()
}

/// Every job is as it was before the loss, at every controller, and no task was started again.
fn goes_on_as_before(w: &mut World, starts_before: &[(String, u32)]) {
    w.until(REBUILT_MS, "the store is rebuilt", rebuilt);
    w.run(3_000);
    w.all_stay_known("after the rebuild");
    assert_eq!(starts(w), starts_before, "nothing was started again");
    for node in 0..3 {
        let asked = [w.poll("job-000003", node), w.poll("job-000004", node)];
        w.run(2_000);
        assert_eq!(w.answer(asked[0])["status"], "done", "{}", w.view());
        assert_eq!(w.answer(asked[1])["status"], "withdrawn");
    }
    assert_eq!(w.running_of("job-000001"), 2);
    w.ends_well();
}

#[test]
fn a_first_start_on_an_empty_store_waits_for_nobody() {
    let mut w = World::with_recovery(1);
    w.until(8_000, "a leader", |w| w.leader().is_some());
    assert!(w.state.get("mg/2/store").is_some(), "the store has an identity");
    assert!(w.state.get("mg/rebuild").is_none());
    let job = w.spec(1, "batch", 2);
    w.submit(job, 1_000, 0);
    w.until_done("job-000001", 20_000);
}

#[test]
fn a_first_start_does_not_wait_for_ever_for_a_controller_that_is_away() {
    let mut w = World::with_recovery(2);
    w.crash(2, u64::MAX / 2);
    w.until(40_000, "a leader", |w| w.leader().is_some());
}

#[test]
fn an_emptied_store_is_rebuilt_from_the_controllers_memories() {
    let mut w = busy_world(3);
    let before = starts(&w);
    w.state.wipe();
    goes_on_as_before(&mut w, &before);
    let term = w.state.get("mg/2/term").map(|record| record["term"].as_u64().expect("a number"));
    assert!(term > Some(1 << 16), "terms of the lost history are left out: {term:?}");
}

#[test]
fn a_store_set_back_to_a_backup_is_brought_up_to_date() {
    let mut w = World::with_recovery(4);
    w.until(20_000, "a leader", |w| w.leader().is_some());
    w.run(2_000);
    let backup = w.state.backup();
    let mut w = {
        let service = w.spec(1, "standing", 2);
        w.submit(service, u64::MAX, 0);
        let array = w.spec(2, "batch", 3);
        w.submit(array, 60_000, 1);
        let short = w.spec(3, "batch", 1);
        w.submit(short, 500, 2);
        let cancelled = w.spec(4, "batch", 1);
        w.submit(cancelled, 60_000, 0);
        w.until_done("job-000003", 30_000);
        w.withdraw("job-000004", 1);
        w.until(30_000, "the rest runs", |w| w.running() == 5);
        w.run(2_500);
        w
    };
    let before = starts(&w);
    w.state.restore(backup, 0);
    goes_on_as_before(&mut w, &before);
}

#[test]
fn a_store_whose_revisions_have_grown_past_the_old_ones_is_found_out() {
    let mut w = busy_world(5);
    let backup = w.state.backup();
    let late = w.spec(5, "batch", 1);
    w.submit(late, 40_000, 0);
    w.until(10_000, "it runs", |w| w.running_of("job-000005") == 1);
    let before = starts(&w);
    w.state.restore(backup, 500);
    goes_on_as_before(&mut w, &before);
}

#[test]
fn users_are_told_nothing_wrong_while_the_store_is_lost() {
    let mut w = busy_world(6);
    w.state.wipe();
    let mut asked = Vec::new();
    for _ in 0..40 {
        for node in 0..3 {
            asked.push(w.poll("job-000001", node));
            let again = w.jobs["job-000002"].spec.clone();
            asked.push(w.submit(again, 60_000, node));
            asked.push(w.poll("job-000099", node));
        }
        w.run(250);
    }
    let refused = asked.iter().filter(|request| w.status(**request) == 503).count();
    assert!(refused > 0, "the loss was noticed while users asked");
    let wrong = |request: &&u64| matches!(w.status(**request), 400 | 422);
    assert_eq!(asked.iter().filter(wrong).count(), 0);
}

#[test]
fn no_controller_remembers_what_workers_run_and_it_is_left_alone() {
    let mut w = busy_world(7);
    let running = w.running();
    w.state.wipe();
    (0..3).for_each(|node| w.crash(node, 500));
    w.until(REBUILT_MS, "the store is rebuilt", rebuilt);
    w.run(5_000);
    assert_eq!(w.running(), running, "what runs is left alone: {}", w.view());
    let asked = [w.poll("job-000001", 0), w.poll("job-000003", 1)];
    w.run(2_000);
    assert!(asked.iter().all(|request| w.status(*request) == 503), "{}", w.view());
    // The resubmission brings the description back, and what runs is its again.
    let before = starts(&w);
    let again = w.jobs["job-000001"].spec.clone();
    let request = w.submit(again, u64::MAX, 2);
    w.run(8_000);
    assert_eq!(w.status(request), 201);
    assert_eq!(starts(&w), before);
    let asked = w.poll("job-000001", 0);
    w.run(2_000);
    assert_eq!(w.answer(asked)["running"], 2, "{}", w.view());
}

#[test]
fn a_team_keeps_its_limit_whoever_the_unknown_tasks_belong_to() {
    let mut w = World::with_recovery(8);
    w.until(20_000, "a leader", |w| w.leader().is_some());
    // Red may use twelve GPUs, and uses eight of them.
    let service = w.spec(1, "standing", 8);
    w.submit(service, u64::MAX, 0);
    w.until(60_000, "it runs", |w| w.running() == 8);
    w.state.wipe();
    (0..3).for_each(|node| w.crash(node, 500));
    w.until(REBUILT_MS, "the store is rebuilt", rebuilt);
    let more = w.spec(2, "standing", 8);
    w.submit(more, u64::MAX, 1);
    w.run(30_000);
    assert_eq!(w.running_of("job-000001"), 8);
}

#[test]
fn jobs_that_may_have_ended_in_a_gap_wait_for_an_operator() {
    let mut w = busy_world(9);
    let before = starts(&w);
    w.state.wipe();
    // One controller's memory is lost with the store: what it alone had confirmed nobody knows.
    w.crash(0, 300);
    w.until(REBUILT_MS, "the store is rebuilt", rebuilt);
    w.run(10_000);
    let asked = [w.poll("job-000001", 0), w.poll("job-000003", 1), w.poll("job-000077", 2)];
    w.run(2_000);
    assert_eq!(w.status(asked[0]), 503, "it may have been cancelled");
    assert_eq!(w.answer(asked[1])["status"], "done", "an end that is known stays so");
    assert_eq!(w.status(asked[2]), 503, "it may have been accepted");
    assert_eq!(w.running(), 0, "nothing of such jobs goes on: {}", w.view());
    assert_eq!(starts(&w), before);
    let report = w.recovery_report(1);
    assert_eq!(report["flagged"].as_array().map(Vec::len), Some(2), "{report}");
    assert_eq!(report["last_rebuild"]["gap"], json!(["c-0"]));

    // Its user wanted it cancelled, and an operator does that.
    w.jobs.get_mut("job-000001").expect("a job").asked_withdraw = true;
    let request = w.decide(2, "give-up", json!({"jobs": ["job-000001"]}));
    w.run(1_000);
    assert_eq!(w.status(request), 200);
    let request = w.decide(1, "release", json!({"all": true}));
    w.run(1_000);
    assert_eq!(w.answer(request)["left"], 0);
    let asked = [w.poll("job-000001", 0), w.poll("job-000077", 2)];
    w.run(2_000);
    assert_eq!(w.answer(asked[0])["status"], "withdrawn");
    assert_eq!(w.status(asked[1]), 404, "the gap is closed");
    w.until(30_000, "the other runs again", |w| w.running_of("job-000002") == 3);
}

#[test]
fn jobs_in_a_gap_go_on_where_operators_have_said_so_before() {
    let mut w = busy_world(10);
    w.operator.recovery.gap_policy = mountgap::settings::GapPolicy::Release;
    (0..3).for_each(|node| w.crash(node, 200));
    w.run(6_000);
    let before = starts(&w);
    w.state.wipe();
    w.crash(0, 300);
    w.until(REBUILT_MS, "the store is rebuilt", rebuilt);
    w.run(10_000);
    assert_eq!(starts(&w), before);
    assert_eq!(w.running_of("job-000001"), 2);
    w.all_stay_known("after the rebuild");
}

#[test]
fn another_controller_goes_on_with_a_rebuild_that_was_begun() {
    let mut w = busy_world(11);
    let jobs: Vec<u64> = (100..140).collect();
    for n in &jobs {
        let job = w.spec(*n, "batch", 1);
        w.submit(job, 400, (*n % 3) as usize);
        w.run(150);
    }
    jobs.iter().for_each(|n| w.until_done(&format!("job-{n:06}"), 60_000));
    w.run(3_000);
    w.state.wipe();
    w.state.slow_commits = 300;
    w.until(30_000, "a part is written", |w| w.state.under("mg/2/").len() > 4);
    let owner = w.leader().expect("a controller rebuilds");
    // Its memory is not needed any more: what it has gathered the others hold too.
    w.nodes[owner].cut_state = true;
    w.nodes[owner].cut_workers = true;
    w.run(6_000);
    w.state.slow_commits = 0;
    w.until(60_000, "the store is rebuilt", rebuilt);
    w.nodes[owner].cut_state = false;
    w.nodes[owner].cut_workers = false;
    w.run(5_000);
    w.all_stay_known("after the rebuild");
}

#[test]
fn nothing_is_taken_for_a_loss_that_is_none() {
    let mut w = busy_world(12);
    let before = starts(&w);
    // Too far behind, an outage, one controller cut off and back, one restarted, all restarted.
    w.nodes[1].cut_state = true;
    w.run(3_000);
    w.state.forgot = w.state.rev;
    w.nodes[1].cut_state = false;
    w.run(8_000);
    w.state.outage = true;
    w.run(10_000);
    w.end_outage();
    w.run(5_000);
    w.crash(2, 300);
    w.run(5_000);
    (0..3).for_each(|node| w.crash(node, 400));
    w.run(8_000);
    assert!(w.state.get("mg/rebuild").is_none(), "no rebuild was begun");
    for node in 0..3 {
        assert_eq!(w.recovery_report(node)["losses"], 0);
        assert_eq!(w.recovery_report(node)["phase"], "following");
    }
    assert_eq!(starts(&w), before);
    w.ends_well();
}

#[test]
fn a_store_that_is_lost_twice_is_rebuilt_twice() {
    let mut w = busy_world(13);
    let before = starts(&w);
    w.state.wipe();
    w.until(20_000, "a rebuild begins", |w| w.state.get("mg/rebuild").is_some());
    w.run(150);
    w.state.wipe();
    w.until(REBUILT_MS, "the store is rebuilt", rebuilt);
    w.run(4_000);
    w.state.wipe();
    w.run(5_000);
    goes_on_as_before(&mut w, &before);
}

#[test]
fn a_loss_in_the_middle_of_an_election_loses_nothing() {
    let mut w = busy_world(14);
    let before = starts(&w);
    let leader = w.leader().expect("a leader");
    w.nodes[leader].cut_state = true;
    w.until(10_000, "an election", |w| w.state.get("mg/2/leader").is_none());
    w.state.wipe();
    w.run(500);
    w.nodes[leader].cut_state = false;
    goes_on_as_before(&mut w, &before);
}

#[test]
fn a_controller_that_was_cut_off_from_a_loss_and_its_rebuild_joins_again() {
    let mut w = busy_world(15);
    let before = starts(&w);
    let other = (w.leader().expect("a leader") + 1) % 3;
    w.nodes[other].cut_state = true;
    w.run(300);
    w.state.wipe();
    w.until(REBUILT_MS, "the store is rebuilt", rebuilt);
    w.nodes[other].cut_state = false;
    w.run(5_000);
    assert_eq!(w.recovery_report(other)["phase"], "following");
    goes_on_as_before(&mut w, &before);
}

#[test]
fn a_task_placed_in_the_lost_history_is_not_started_beside_itself() {
    let mut w = busy_world(16);
    // The operators' choice keeps jobs going although all memories are lost with the store.
    w.operator.recovery.gap_policy = mountgap::settings::GapPolicy::Release;
    let late = w.spec(5, "batch", 2);
    w.submit(late, 50_000, 0);
    w.until(5_000, "it is accepted", |w| w.jobs["job-000005"].accepted_at.is_some());
    let backup = w.state.backup();
    assert_eq!(w.running_of("job-000005"), 0, "it is not placed yet");
    w.until(10_000, "it runs", |w| w.running_of("job-000005") == 2);
    let on = w.workers.iter().find(|(_, worker)| worker.is_on("job-000005"));
    let silent = on.map(|(name, _)| name.clone()).expect("it runs somewhere");
    w.state.restore(backup, 0);
    (0..3).for_each(|node| w.crash(node, 500));
    w.workers.get_mut(&silent).expect("a machine").cut = true;
    w.run(LEASE_MS - 5_000);
    w.workers.get_mut(&silent).expect("a machine").cut = false;
    w.until(REBUILT_MS, "the store is rebuilt", rebuilt);
    w.run(5_000);
    assert_eq!(w.jobs["job-000005"].starts, 2, "adopted where it runs: {}", w.view());
    w.ends_well();
}

#[test]
fn a_version_from_before_rebuilds_serves_nobody_from_a_half_written_store() {
    use mountgap_records::constants::{KEY_NAMESPACE, KEY_ROOT, REBUILD_KEY};
    // That version refuses to serve where it finds such a key.
    assert!(REBUILD_KEY.starts_with(KEY_NAMESPACE) && !REBUILD_KEY.starts_with(KEY_ROOT));
}

#[test]
fn the_leader_key_never_has_a_stamp_of_before_the_loss_again() {
    // Transactions of the old leader that were held up depend on that stamp.
    let mut w = busy_world(17);
    let before = w.state.stamp("mg/2/leader");
    assert!(before <= 2, "an empty store gives out such revisions again");
    w.state.wipe();
    w.until(REBUILT_MS, "the store is rebuilt", |w| {
        w.state.stamp("mg/2/leader") > 0 && w.state.get("mg/rebuild").is_some()
    });
    w.run(2_000);
    assert_ne!(w.state.stamp("mg/2/leader"), before);
}

#[test]
fn a_service_submitted_and_a_job_cancelled_at_the_moment_of_the_loss_are_not_forgotten() {
    let mut w = busy_world(18);
    w.state.wipe();
    let new = w.spec(8, "batch", 1);
    let asked = [w.submit(new.clone(), 500, 0), w.withdraw("job-000002", 1)];
    w.until(REBUILT_MS, "the store is rebuilt", rebuilt);
    w.run(3_000);
    if w.status(asked[0]) != 201 {
        w.submit(new, 500, 1);
    }
    if w.status(asked[1]) != 200 {
        w.withdraw("job-000002", 2);
    }
    w.until_done("job-000008", 60_000);
    w.run(CANCEL_MS);
    assert_eq!(w.running_of("job-000002"), 0);
    w.ends_well();
}

#[test]
fn a_machine_silent_through_the_rebuild_and_late_copies_start_nothing_twice() {
    let mut w = busy_world(19);
    let on = w.workers.iter().find(|(_, worker)| worker.is_on("job-000002"));
    let silent = on.map(|(name, _)| name.clone()).expect("it runs somewhere");
    w.copies = 0.3;
    w.run(2_000);
    w.workers.get_mut(&silent).expect("a machine").cut = true;
    w.state.wipe();
    w.until(REBUILT_MS, "the store is rebuilt", rebuilt);
    w.run(LEASE_MS * 2);
    w.workers.get_mut(&silent).expect("a machine").cut = false;
    w.copies = 0.0;
    w.run(LEASE_MS * 4);
    w.ends_well();
}

#[test]
fn a_job_in_two_batches_and_a_running_gang_go_on_as_they_were() {
    let mut w = busy_world(20);
    let mut gang = w.spec(7, "ensemble", 2);
    gang["crew"] = json!("blue");
    gang["lendables"] = json!(true);
    w.submit(gang, 120_000, 0);
    w.until(30_000, "the gang runs", |w| w.running_of("job-000007") == 2);
    w.state.slow_once = 400;
    let twice = w.spec(9, "batch", 1);
    w.submit(twice, 40_000, 1);
    w.until(20_000, "it runs", |w| w.running_of("job-000009") == 1);
    let batches = w.state.under("mg/2/jobs/");
    let holds = |batch: &serde_json::Value| batch.to_string().contains("job-000009");
    assert_eq!(batches.iter().filter(|(_, batch)| holds(batch)).count(), 2);
    let before = starts(&w);
    w.state.wipe();
    goes_on_as_before(&mut w, &before);
}
