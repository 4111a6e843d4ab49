//! The state service loses its data: what is noticed, what is held, and what comes back.

mod simulation;

use serde_json::json;
use simulation::*;

/// Milliseconds from a loss until all is as before: notice, hold, write back, account for every machine.
const REBUILT_MS: u64 = 45_000;

/// A world in which a service runs, an array runs for long, one job is done and one is cancelled.
fn busy_world(seed: u64) -> Simulation {
    let mut sim = Simulation::with_recovery(seed);
    sim.run_until(20_000, "a leader", |sim| sim.leader().is_some());
    let service = sim.job_spec(1, "standing", 2);
    sim.submit(service, u64::MAX, 0);
    let array = sim.job_spec(2, "batch", 3);
    sim.submit(array, 60_000, 1);
    let short = sim.job_spec(3, "batch", 1);
    sim.submit(short, 500, 2);
    let cancelled = sim.job_spec(4, "batch", 1);
    sim.submit(cancelled, 60_000, 0);
    sim.run_until_done("job-000003", 30_000);
    sim.run_until(30_000, "all run", |sim| sim.running_tasks() == 6);
    let request = sim.cancel("job-000004", 1);
    sim.run(2_500);
    assert_eq!(sim.response_status(request), 200);
    sim
}

fn rebuilt(sim: &Simulation) -> bool {
    let phase = sim.state.get("mg/rebuild").map(|record| record["phase"].clone());
    phase == Some(json!("accounted"))
}

fn starts(sim: &Simulation) -> Vec<(String, u32)> {
    sim.jobs.iter().map(|(uid, job)| (uid.clone(), job.starts)).collect()
}

/// Every job is as it was before the loss, at every controller, and no task was started again.
fn goes_on_as_before(sim: &mut Simulation, starts_before: &[(String, u32)]) {
    sim.run_until(REBUILT_MS, "the store is rebuilt", rebuilt);
    sim.run(3_000);
    sim.assert_accepted_jobs_known("after the rebuild");
    assert_eq!(starts(sim), starts_before, "nothing was started again");
    for node in 0..3 {
        let asked = [sim.poll("job-000003", node), sim.poll("job-000004", node)];
        sim.run(2_000);
        assert_eq!(sim.response_body(asked[0])["status"], "done", "{}", sim.describe());
        assert_eq!(sim.response_body(asked[1])["status"], "withdrawn");
    }
    assert_eq!(sim.running_tasks_of("job-000001"), 2);
    sim.assert_all_jobs_complete();
}

#[test]
fn a_first_start_on_an_empty_store_waits_for_nobody() {
    let mut sim = Simulation::with_recovery(1);
    sim.run_until(8_000, "a leader", |sim| sim.leader().is_some());
    assert!(sim.state.get("mg/2/store").is_some(), "the store has an identity");
    assert!(sim.state.get("mg/rebuild").is_none());
    let job = sim.job_spec(1, "batch", 2);
    sim.submit(job, 1_000, 0);
    sim.run_until_done("job-000001", 20_000);
}

#[test]
fn a_first_start_does_not_wait_for_ever_for_a_controller_that_is_away() {
    let mut sim = Simulation::with_recovery(2);
    sim.crash(2, u64::MAX / 2);
    sim.run_until(40_000, "a leader", |sim| sim.leader().is_some());
}

#[test]
fn an_emptied_store_is_rebuilt_from_the_controllers_memories() {
    let mut sim = busy_world(3);
    let before = starts(&sim);
    sim.state.wipe();
    goes_on_as_before(&mut sim, &before);
    let term = sim.state.get("mg/2/term").map(|record| record["term"].as_u64().expect("a number"));
    assert!(term > Some(1 << 16), "terms of the lost history are left out: {term:?}");
}

#[test]
fn a_store_set_back_to_a_backup_is_brought_up_to_date() {
    let mut sim = Simulation::with_recovery(4);
    sim.run_until(20_000, "a leader", |sim| sim.leader().is_some());
    sim.run(2_000);
    let backup = sim.state.backup();
    let mut sim = {
        let service = sim.job_spec(1, "standing", 2);
        sim.submit(service, u64::MAX, 0);
        let array = sim.job_spec(2, "batch", 3);
        sim.submit(array, 60_000, 1);
        let short = sim.job_spec(3, "batch", 1);
        sim.submit(short, 500, 2);
        let cancelled = sim.job_spec(4, "batch", 1);
        sim.submit(cancelled, 60_000, 0);
        sim.run_until_done("job-000003", 30_000);
        sim.cancel("job-000004", 1);
        sim.run_until(30_000, "the rest runs", |sim| sim.running_tasks() == 5);
        sim.run(2_500);
        sim
    };
    let before = starts(&sim);
    sim.state.restore(backup, 0);
    goes_on_as_before(&mut sim, &before);
}

#[test]
fn a_store_whose_revisions_have_grown_past_the_old_ones_is_found_out() {
    let mut sim = busy_world(5);
    let backup = sim.state.backup();
    let late = sim.job_spec(5, "batch", 1);
    sim.submit(late, 40_000, 0);
    sim.run_until(10_000, "it runs", |sim| sim.running_tasks_of("job-000005") == 1);
    let before = starts(&sim);
    sim.state.restore(backup, 500);
    goes_on_as_before(&mut sim, &before);
}

#[test]
fn users_are_told_nothing_wrong_while_the_store_is_lost() {
    let mut sim = busy_world(6);
    sim.state.wipe();
    let mut asked = Vec::new();
    for _ in 0..40 {
        for node in 0..3 {
            asked.push(sim.poll("job-000001", node));
            let again = sim.jobs["job-000002"].spec.clone();
            asked.push(sim.submit(again, 60_000, node));
            asked.push(sim.poll("job-000099", node));
        }
        sim.run(250);
    }
    let refused = asked.iter().filter(|request| sim.response_status(**request) == 503).count();
    assert!(refused > 0, "the loss was noticed while users asked");
    let wrong = |request: &&u64| matches!(sim.response_status(**request), 400 | 422);
    assert_eq!(asked.iter().filter(wrong).count(), 0);
}

#[test]
fn no_controller_remembers_what_workers_run_and_it_is_left_alone() {
    let mut sim = busy_world(7);
    let running = sim.running_tasks();
    sim.state.wipe();
    (0..3).for_each(|node| sim.crash(node, 500));
    sim.run_until(REBUILT_MS, "the store is rebuilt", rebuilt);
    sim.run(5_000);
    assert_eq!(sim.running_tasks(), running, "what runs is left alone: {}", sim.describe());
    let asked = [sim.poll("job-000001", 0), sim.poll("job-000003", 1)];
    sim.run(2_000);
    assert!(asked.iter().all(|request| sim.response_status(*request) == 503), "{}", sim.describe());
    // The resubmission brings the description back, and what runs is its again.
    let before = starts(&sim);
    let again = sim.jobs["job-000001"].spec.clone();
    let request = sim.submit(again, u64::MAX, 2);
    sim.run(8_000);
    assert_eq!(sim.response_status(request), 201);
    assert_eq!(starts(&sim), before);
    let asked = sim.poll("job-000001", 0);
    sim.run(2_000);
    assert_eq!(sim.response_body(asked)["running"], 2, "{}", sim.describe());
}

#[test]
fn a_team_keeps_its_limit_whoever_the_unknown_tasks_belong_to() {
    let mut sim = Simulation::with_recovery(8);
    sim.run_until(20_000, "a leader", |sim| sim.leader().is_some());
    // Red may use twelve GPUs, and uses eight of them.
    let service = sim.job_spec(1, "standing", 8);
    sim.submit(service, u64::MAX, 0);
    sim.run_until(60_000, "it runs", |sim| sim.running_tasks() == 8);
    sim.state.wipe();
    (0..3).for_each(|node| sim.crash(node, 500));
    sim.run_until(REBUILT_MS, "the store is rebuilt", rebuilt);
    let more = sim.job_spec(2, "standing", 8);
    sim.submit(more, u64::MAX, 1);
    sim.run(30_000);
    assert_eq!(sim.running_tasks_of("job-000001"), 8);
}

#[test]
fn jobs_that_may_have_ended_in_a_gap_wait_for_an_operator() {
    let mut sim = busy_world(9);
    let before = starts(&sim);
    sim.state.wipe();
    // One controller's memory is lost with the store: what it alone had confirmed nobody knows.
    sim.crash(0, 300);
    sim.run_until(REBUILT_MS, "the store is rebuilt", rebuilt);
    sim.run(10_000);
    let asked = [sim.poll("job-000001", 0), sim.poll("job-000003", 1), sim.poll("job-000077", 2)];
    sim.run(2_000);
    assert_eq!(sim.response_status(asked[0]), 503, "it may have been cancelled");
    assert_eq!(sim.response_body(asked[1])["status"], "done", "an end that is known stays so");
    assert_eq!(sim.response_status(asked[2]), 503, "it may have been accepted");
    assert_eq!(sim.running_tasks(), 0, "nothing of such jobs goes on: {}", sim.describe());
    assert_eq!(starts(&sim), before);
    let report = sim.recovery_report(1);
    assert_eq!(report["flagged"].as_array().map(Vec::len), Some(2), "{report}");
    assert_eq!(report["last_rebuild"]["gap"], json!(["c-0"]));

    // Its user wanted it cancelled, and an operator does that.
    sim.jobs.get_mut("job-000001").expect("a job").cancel_requested = true;
    let request = sim.send_recovery_decision(2, "give-up", json!({"jobs": ["job-000001"]}));
    sim.run(1_000);
    assert_eq!(sim.response_status(request), 200);
    let request = sim.send_recovery_decision(1, "release", json!({"all": true}));
    sim.run(1_000);
    assert_eq!(sim.response_body(request)["left"], 0);
    let asked = [sim.poll("job-000001", 0), sim.poll("job-000077", 2)];
    sim.run(2_000);
    assert_eq!(sim.response_body(asked[0])["status"], "withdrawn");
    assert_eq!(sim.response_status(asked[1]), 404, "the gap is closed");
    sim.run_until(30_000, "the other runs again", |sim| sim.running_tasks_of("job-000002") == 3);
}

#[test]
fn jobs_in_a_gap_go_on_where_operators_have_said_so_before() {
    let mut sim = busy_world(10);
    sim.operator.recovery.gap_policy = mountgap::settings::GapPolicy::Release;
    (0..3).for_each(|node| sim.crash(node, 200));
    sim.run(6_000);
    let before = starts(&sim);
    sim.state.wipe();
    sim.crash(0, 300);
    sim.run_until(REBUILT_MS, "the store is rebuilt", rebuilt);
    sim.run(10_000);
    assert_eq!(starts(&sim), before);
    assert_eq!(sim.running_tasks_of("job-000001"), 2);
    sim.assert_accepted_jobs_known("after the rebuild");
}

#[test]
fn another_controller_goes_on_with_a_rebuild_that_was_begun() {
    let mut sim = busy_world(11);
    let jobs: Vec<u64> = (100..140).collect();
    for n in &jobs {
        let job = sim.job_spec(*n, "batch", 1);
        sim.submit(job, 400, (*n % 3) as usize);
        sim.run(150);
    }
    jobs.iter().for_each(|n| sim.run_until_done(&format!("job-{n:06}"), 60_000));
    sim.run(3_000);
    sim.state.wipe();
    sim.state.commit_response_delay_ms = 300;
    sim.run_until(30_000, "a part is written", |sim| sim.state.entries_under("mg/2/").len() > 4);
    let owner = sim.leader().expect("a controller rebuilds");
    // Its memory is not needed any more: what it has gathered the others hold too.
    sim.nodes[owner].partitioned_from_state = true;
    sim.nodes[owner].partitioned_from_workers = true;
    sim.run(6_000);
    sim.state.commit_response_delay_ms = 0;
    sim.run_until(60_000, "the store is rebuilt", rebuilt);
    sim.nodes[owner].partitioned_from_state = false;
    sim.nodes[owner].partitioned_from_workers = false;
    sim.run(5_000);
    sim.assert_accepted_jobs_known("after the rebuild");
}

#[test]
fn nothing_is_taken_for_a_loss_that_is_none() {
    let mut sim = busy_world(12);
    let before = starts(&sim);
    // Too far behind, an outage, one controller cut off and back, one restarted, all restarted.
    sim.nodes[1].partitioned_from_state = true;
    sim.run(3_000);
    sim.state.compacted_revision = sim.state.revision;
    sim.nodes[1].partitioned_from_state = false;
    sim.run(8_000);
    sim.state.outage = true;
    sim.run(10_000);
    sim.end_outage();
    sim.run(5_000);
    sim.crash(2, 300);
    sim.run(5_000);
    (0..3).for_each(|node| sim.crash(node, 400));
    sim.run(8_000);
    assert!(sim.state.get("mg/rebuild").is_none(), "no rebuild was begun");
    for node in 0..3 {
        assert_eq!(sim.recovery_report(node)["losses"], 0);
        assert_eq!(sim.recovery_report(node)["phase"], "following");
    }
    assert_eq!(starts(&sim), before);
    sim.assert_all_jobs_complete();
}

#[test]
fn a_store_that_is_lost_twice_is_rebuilt_twice() {
    let mut sim = busy_world(13);
    let before = starts(&sim);
    sim.state.wipe();
    sim.run_until(20_000, "a rebuild begins", |sim| sim.state.get("mg/rebuild").is_some());
    sim.run(150);
    sim.state.wipe();
    sim.run_until(REBUILT_MS, "the store is rebuilt", rebuilt);
    sim.run(4_000);
    sim.state.wipe();
    sim.run(5_000);
    goes_on_as_before(&mut sim, &before);
}

#[test]
fn a_loss_in_the_middle_of_an_election_loses_nothing() {
    let mut sim = busy_world(14);
    let before = starts(&sim);
    let leader = sim.leader().expect("a leader");
    sim.nodes[leader].partitioned_from_state = true;
    sim.run_until(10_000, "an election", |sim| sim.state.get("mg/2/leader").is_none());
    sim.state.wipe();
    sim.run(500);
    sim.nodes[leader].partitioned_from_state = false;
    goes_on_as_before(&mut sim, &before);
}

#[test]
fn a_controller_that_was_cut_off_from_a_loss_and_its_rebuild_joins_again() {
    let mut sim = busy_world(15);
    let before = starts(&sim);
    let other = (sim.leader().expect("a leader") + 1) % 3;
    sim.nodes[other].partitioned_from_state = true;
    sim.run(300);
    sim.state.wipe();
    sim.run_until(REBUILT_MS, "the store is rebuilt", rebuilt);
    sim.nodes[other].partitioned_from_state = false;
    sim.run(5_000);
    assert_eq!(sim.recovery_report(other)["phase"], "following");
    goes_on_as_before(&mut sim, &before);
}

#[test]
fn a_task_placed_in_the_lost_history_is_not_started_beside_itself() {
    let mut sim = busy_world(16);
    // The operators' choice keeps jobs going although all memories are lost with the store.
    sim.operator.recovery.gap_policy = mountgap::settings::GapPolicy::Release;
    let late = sim.job_spec(5, "batch", 2);
    sim.submit(late, 50_000, 0);
    sim.run_until(5_000, "it is accepted", |sim| sim.jobs["job-000005"].accepted_at.is_some());
    let backup = sim.state.backup();
    assert_eq!(sim.running_tasks_of("job-000005"), 0, "it is not placed yet");
    sim.run_until(10_000, "it runs", |sim| sim.running_tasks_of("job-000005") == 2);
    let on = sim.workers.iter().find(|(_, worker)| worker.holds_task_of("job-000005"));
    let silent = on.map(|(name, _)| name.clone()).expect("it runs somewhere");
    sim.state.restore(backup, 0);
    (0..3).for_each(|node| sim.crash(node, 500));
    sim.workers.get_mut(&silent).expect("a machine").partitioned = true;
    sim.run(LEASE_MS - 5_000);
    sim.workers.get_mut(&silent).expect("a machine").partitioned = false;
    sim.run_until(REBUILT_MS, "the store is rebuilt", rebuilt);
    sim.run(5_000);
    assert_eq!(sim.jobs["job-000005"].starts, 2, "adopted where it runs: {}", sim.describe());
    sim.assert_all_jobs_complete();
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
    let mut sim = busy_world(17);
    let before = sim.state.mod_revision("mg/2/leader");
    assert!(before <= 2, "an empty store gives out such revisions again");
    sim.state.wipe();
    sim.run_until(REBUILT_MS, "the store is rebuilt", |sim| {
        sim.state.mod_revision("mg/2/leader") > 0 && sim.state.get("mg/rebuild").is_some()
    });
    sim.run(2_000);
    assert_ne!(sim.state.mod_revision("mg/2/leader"), before);
}

#[test]
fn a_service_submitted_and_a_job_cancelled_at_the_moment_of_the_loss_are_not_forgotten() {
    let mut sim = busy_world(18);
    sim.state.wipe();
    let new = sim.job_spec(8, "batch", 1);
    let asked = [sim.submit(new.clone(), 500, 0), sim.cancel("job-000002", 1)];
    sim.run_until(REBUILT_MS, "the store is rebuilt", rebuilt);
    sim.run(3_000);
    if sim.response_status(asked[0]) != 201 {
        sim.submit(new, 500, 1);
    }
    if sim.response_status(asked[1]) != 200 {
        sim.cancel("job-000002", 2);
    }
    sim.run_until_done("job-000008", 60_000);
    sim.run(CANCEL_MS);
    assert_eq!(sim.running_tasks_of("job-000002"), 0);
    sim.assert_all_jobs_complete();
}

#[test]
fn a_machine_silent_through_the_rebuild_and_late_copies_start_nothing_twice() {
    let mut sim = busy_world(19);
    let on = sim.workers.iter().find(|(_, worker)| worker.holds_task_of("job-000002"));
    let silent = on.map(|(name, _)| name.clone()).expect("it runs somewhere");
    sim.duplicate_heartbeat_rate = 0.3;
    sim.run(2_000);
    sim.workers.get_mut(&silent).expect("a machine").partitioned = true;
    sim.state.wipe();
    sim.run_until(REBUILT_MS, "the store is rebuilt", rebuilt);
    sim.run(LEASE_MS * 2);
    sim.workers.get_mut(&silent).expect("a machine").partitioned = false;
    sim.duplicate_heartbeat_rate = 0.0;
    sim.run(LEASE_MS * 4);
    sim.assert_all_jobs_complete();
}

#[test]
fn a_job_in_two_batches_and_a_running_gang_go_on_as_they_were() {
    let mut sim = busy_world(20);
    let mut gang = sim.job_spec(7, "ensemble", 2);
    gang["crew"] = json!("blue");
    gang["lendables"] = json!(true);
    sim.submit(gang, 120_000, 0);
    sim.run_until(30_000, "the gang runs", |sim| sim.running_tasks_of("job-000007") == 2);
    sim.state.next_submission_delay_ms = 400;
    let twice = sim.job_spec(9, "batch", 1);
    sim.submit(twice, 40_000, 1);
    sim.run_until(20_000, "it runs", |sim| sim.running_tasks_of("job-000009") == 1);
    let batches = sim.state.entries_under("mg/2/jobs/");
    let holds = |batch: &serde_json::Value| batch.to_string().contains("job-000009");
    assert_eq!(batches.iter().filter(|(_, batch)| holds(batch)).count(), 2);
    let before = starts(&sim);
    sim.state.wipe();
    goes_on_as_before(&mut sim, &before);
}
