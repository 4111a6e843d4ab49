//! Scenarios in which the state service loses its data: how controllers detect it, which requests and tasks they
//! hold back, and what they rebuild.

mod simulation;

use serde_json::json;
use simulation::*;

/// Time from a loss until the rebuild is complete: detection, write-back, and heartbeats of all machines.
const REBUILD_LIMIT_MS: u64 = 45_000;

/// A simulation in which a service and a long batch job run, one batch job is done and one is cancelled.
fn simulation_with_jobs(seed: u64) -> Simulation {
    let mut sim = Simulation::with_recovery(seed);
    sim.run_until(20_000, "a leader", |sim| sim.leader().is_some());
    let service = sim.job_spec(1, "standing", 2);
    sim.submit(service, u64::MAX, 0);
    let long = sim.job_spec(2, "batch", 3);
    sim.submit(long, 60_000, 1);
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

fn is_rebuilt(sim: &Simulation) -> bool {
    let phase = sim.state.get("mg/rebuild").map(|record| record["phase"].clone());
    phase == Some(json!("accounted"))
}

/// How many tasks of each job were started.
fn starts_by_job(sim: &Simulation) -> Vec<(String, u32)> {
    sim.jobs.iter().map(|(job_id, job)| (job_id.clone(), job.starts)).collect()
}

/// Asserts that, at every controller, every job is as it was before the loss, and that no task was started again.
fn assert_jobs_preserved(sim: &mut Simulation, starts_before: &[(String, u32)]) {
    sim.run_until(REBUILD_LIMIT_MS, "the store is rebuilt", is_rebuilt);
    sim.run(3_000);
    sim.assert_accepted_jobs_known("after the rebuild");
    assert_eq!(starts_by_job(sim), starts_before, "no task was started again");
    for node in 0..3 {
        let polls = [sim.poll("job-000003", node), sim.poll("job-000004", node)];
        sim.run(2_000);
        assert_eq!(sim.response_body(polls[0])["status"], "done", "{}", sim.describe());
        assert_eq!(sim.response_body(polls[1])["status"], "withdrawn");
    }
    assert_eq!(sim.running_tasks_of("job-000001"), 2);
    sim.assert_all_jobs_complete();
}

#[test]
fn a_first_start_on_an_empty_store_elects_a_leader_without_a_rebuild() {
    let mut sim = Simulation::with_recovery(1);
    sim.run_until(8_000, "a leader", |sim| sim.leader().is_some());
    assert!(sim.state.get("mg/2/store").is_some(), "the store has an identity");
    assert!(sim.state.get("mg/rebuild").is_none());
    let job = sim.job_spec(1, "batch", 2);
    sim.submit(job, 1_000, 0);
    sim.run_until_done("job-000001", 20_000);
}

#[test]
fn a_first_start_completes_although_a_controller_is_down() {
    let mut sim = Simulation::with_recovery(2);
    sim.crash(2, u64::MAX / 2);
    sim.run_until(40_000, "a leader", |sim| sim.leader().is_some());
}

#[test]
fn a_wiped_store_is_rebuilt_from_the_controllers_replicas() {
    let mut sim = simulation_with_jobs(3);
    let starts_before = starts_by_job(&sim);
    sim.state.wipe();
    assert_jobs_preserved(&mut sim, &starts_before);
    let term = sim.state.get("mg/2/term").map(|record| record["term"].as_u64().expect("a number"));
    assert!(term > Some(1 << 16), "terms of the lost history are skipped: {term:?}");
}

#[test]
fn a_store_restored_from_a_backup_is_brought_up_to_date() {
    let mut sim = Simulation::with_recovery(4);
    sim.run_until(20_000, "a leader", |sim| sim.leader().is_some());
    sim.run(2_000);
    let backup = sim.state.backup();
    let mut sim = {
        let service = sim.job_spec(1, "standing", 2);
        sim.submit(service, u64::MAX, 0);
        let long = sim.job_spec(2, "batch", 3);
        sim.submit(long, 60_000, 1);
        let short = sim.job_spec(3, "batch", 1);
        sim.submit(short, 500, 2);
        let cancelled = sim.job_spec(4, "batch", 1);
        sim.submit(cancelled, 60_000, 0);
        sim.run_until_done("job-000003", 30_000);
        sim.cancel("job-000004", 1);
        sim.run_until(30_000, "the service and the long job run", |sim| sim.running_tasks() == 5);
        sim.run(2_500);
        sim
    };
    let starts_before = starts_by_job(&sim);
    sim.state.restore(backup, 0);
    assert_jobs_preserved(&mut sim, &starts_before);
}

#[test]
fn a_loss_is_detected_although_revisions_have_passed_the_lost_ones() {
    let mut sim = simulation_with_jobs(5);
    let backup = sim.state.backup();
    let late = sim.job_spec(5, "batch", 1);
    sim.submit(late, 40_000, 0);
    sim.run_until(10_000, "the job runs", |sim| sim.running_tasks_of("job-000005") == 1);
    let starts_before = starts_by_job(&sim);
    sim.state.restore(backup, 500);
    assert_jobs_preserved(&mut sim, &starts_before);
}

#[test]
fn users_get_no_wrong_answer_during_a_data_loss() {
    let mut sim = simulation_with_jobs(6);
    sim.state.wipe();
    let mut requests = Vec::new();
    for _ in 0..40 {
        for node in 0..3 {
            requests.push(sim.poll("job-000001", node));
            let spec = sim.jobs["job-000002"].spec.clone();
            requests.push(sim.submit(spec, 60_000, node));
            requests.push(sim.poll("job-000099", node));
        }
        sim.run(250);
    }
    let unavailable =
        requests.iter().filter(|request| sim.response_status(**request) == 503).count();
    assert!(unavailable > 0, "the loss was detected between the requests");
    let wrong = |request: &&u64| matches!(sim.response_status(**request), 400 | 422);
    assert_eq!(requests.iter().filter(wrong).count(), 0);
}

#[test]
fn tasks_that_no_controller_knows_keep_running_and_rejoin_a_resubmitted_job() {
    let mut sim = simulation_with_jobs(7);
    let running = sim.running_tasks();
    sim.state.wipe();
    (0..3).for_each(|node| sim.crash(node, 500));
    sim.run_until(REBUILD_LIMIT_MS, "the store is rebuilt", is_rebuilt);
    sim.run(5_000);
    assert_eq!(sim.running_tasks(), running, "no task was stopped: {}", sim.describe());
    let polls = [sim.poll("job-000001", 0), sim.poll("job-000003", 1)];
    sim.run(2_000);
    assert!(polls.iter().all(|request| sim.response_status(*request) == 503), "{}", sim.describe());
    // The resubmission stores the job's description again, and the job gets its running tasks back.
    let starts_before = starts_by_job(&sim);
    let spec = sim.jobs["job-000001"].spec.clone();
    let request = sim.submit(spec, u64::MAX, 2);
    sim.run(8_000);
    assert_eq!(sim.response_status(request), 201);
    assert_eq!(starts_by_job(&sim), starts_before);
    let poll = sim.poll("job-000001", 0);
    sim.run(2_000);
    assert_eq!(sim.response_body(poll)["running"], 2, "{}", sim.describe());
}

#[test]
fn a_team_limit_holds_while_unknown_tasks_run() {
    let mut sim = Simulation::with_recovery(8);
    sim.run_until(20_000, "a leader", |sim| sim.leader().is_some());
    // The limit of team `red` is twelve GPUs, of which it uses eight.
    let service = sim.job_spec(1, "standing", 8);
    sim.submit(service, u64::MAX, 0);
    sim.run_until(60_000, "the service runs", |sim| sim.running_tasks() == 8);
    sim.state.wipe();
    (0..3).for_each(|node| sim.crash(node, 500));
    sim.run_until(REBUILD_LIMIT_MS, "the store is rebuilt", is_rebuilt);
    let more = sim.job_spec(2, "standing", 8);
    sim.submit(more, u64::MAX, 1);
    sim.run(30_000);
    assert_eq!(sim.running_tasks_of("job-000001"), 8);
}

#[test]
fn jobs_that_may_have_ended_in_a_gap_wait_for_an_operator() {
    let mut sim = simulation_with_jobs(9);
    let starts_before = starts_by_job(&sim);
    sim.state.wipe();
    // One controller loses its replica along with the store. Acceptances and ends that only this controller had
    // confirmed are unknown.
    sim.crash(0, 300);
    sim.run_until(REBUILD_LIMIT_MS, "the store is rebuilt", is_rebuilt);
    sim.run(10_000);
    let polls = [sim.poll("job-000001", 0), sim.poll("job-000003", 1), sim.poll("job-000077", 2)];
    sim.run(2_000);
    assert_eq!(sim.response_status(polls[0]), 503, "it may have been cancelled");
    assert_eq!(sim.response_body(polls[1])["status"], "done", "a known end is kept");
    assert_eq!(sim.response_status(polls[2]), 503, "it may have been accepted");
    assert_eq!(sim.running_tasks(), 0, "flagged jobs do not run: {}", sim.describe());
    assert_eq!(starts_by_job(&sim), starts_before);
    let report = sim.recovery_report(1);
    assert_eq!(report["flagged"].as_array().map(Vec::len), Some(2), "{report}");
    assert_eq!(report["last_rebuild"]["gap"], json!(["c-0"]));

    // The operator cancels one job, whose user has requested that, and releases the other.
    sim.jobs.get_mut("job-000001").expect("a job").cancel_requested = true;
    let request = sim.send_recovery_decision(2, "give-up", json!({"jobs": ["job-000001"]}));
    sim.run(1_000);
    assert_eq!(sim.response_status(request), 200);
    let request = sim.send_recovery_decision(1, "release", json!({"all": true}));
    sim.run(1_000);
    assert_eq!(sim.response_body(request)["left"], 0);
    let polls = [sim.poll("job-000001", 0), sim.poll("job-000077", 2)];
    sim.run(2_000);
    assert_eq!(sim.response_body(polls[0])["status"], "withdrawn");
    assert_eq!(sim.response_status(polls[1]), 404, "the gap is closed");
    sim.run_until(30_000, "the released job runs again", |sim| {
        sim.running_tasks_of("job-000002") == 3
    });
}

#[test]
fn jobs_in_a_gap_continue_under_the_release_policy() {
    let mut sim = simulation_with_jobs(10);
    sim.operator.recovery.gap_policy = mountgap::settings::GapPolicy::Release;
    (0..3).for_each(|node| sim.crash(node, 200));
    sim.run(6_000);
    let starts_before = starts_by_job(&sim);
    sim.state.wipe();
    sim.crash(0, 300);
    sim.run_until(REBUILD_LIMIT_MS, "the store is rebuilt", is_rebuilt);
    sim.run(10_000);
    assert_eq!(starts_by_job(&sim), starts_before);
    assert_eq!(sim.running_tasks_of("job-000001"), 2);
    sim.assert_accepted_jobs_known("after the rebuild");
}

#[test]
fn another_controller_completes_an_unfinished_rebuild() {
    let mut sim = simulation_with_jobs(11);
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
    sim.run_until(30_000, "some records are written", |sim| {
        sim.state.entries_under("mg/2/").len() > 4
    });
    let owner = sim.leader().expect("a controller that rebuilds");
    // Its replica is no longer needed: the others have the data that it has collected.
    sim.nodes[owner].partitioned_from_state = true;
    sim.nodes[owner].partitioned_from_workers = true;
    sim.run(6_000);
    sim.state.commit_response_delay_ms = 0;
    sim.run_until(60_000, "the store is rebuilt", is_rebuilt);
    sim.nodes[owner].partitioned_from_state = false;
    sim.nodes[owner].partitioned_from_workers = false;
    sim.run(5_000);
    sim.assert_accepted_jobs_known("after the rebuild");
}

#[test]
fn outages_and_restarts_are_not_detected_as_a_data_loss() {
    let mut sim = simulation_with_jobs(12);
    let starts_before = starts_by_job(&sim);
    // One controller is partitioned until the changes that it has missed are compacted; then there is an outage, a
    // restart of one controller and a restart of all.
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
    assert!(sim.state.get("mg/rebuild").is_none(), "a rebuild has started");
    for node in 0..3 {
        assert_eq!(sim.recovery_report(node)["losses"], 0);
        assert_eq!(sim.recovery_report(node)["phase"], "following");
    }
    assert_eq!(starts_by_job(&sim), starts_before);
    sim.assert_all_jobs_complete();
}

#[test]
fn a_store_that_is_lost_again_during_and_after_a_rebuild_is_rebuilt() {
    let mut sim = simulation_with_jobs(13);
    let starts_before = starts_by_job(&sim);
    sim.state.wipe();
    sim.run_until(20_000, "a rebuild starts", |sim| sim.state.get("mg/rebuild").is_some());
    sim.run(150);
    sim.state.wipe();
    sim.run_until(REBUILD_LIMIT_MS, "the store is rebuilt", is_rebuilt);
    sim.run(4_000);
    sim.state.wipe();
    sim.run(5_000);
    assert_jobs_preserved(&mut sim, &starts_before);
}

#[test]
fn a_data_loss_during_an_election_loses_no_job() {
    let mut sim = simulation_with_jobs(14);
    let starts_before = starts_by_job(&sim);
    let leader = sim.leader().expect("a leader");
    sim.nodes[leader].partitioned_from_state = true;
    sim.run_until(10_000, "an election", |sim| sim.state.get("mg/2/leader").is_none());
    sim.state.wipe();
    sim.run(500);
    sim.nodes[leader].partitioned_from_state = false;
    assert_jobs_preserved(&mut sim, &starts_before);
}

#[test]
fn a_controller_partitioned_during_a_loss_and_its_rebuild_rejoins() {
    let mut sim = simulation_with_jobs(15);
    let starts_before = starts_by_job(&sim);
    let other = (sim.leader().expect("a leader") + 1) % 3;
    sim.nodes[other].partitioned_from_state = true;
    sim.run(300);
    sim.state.wipe();
    sim.run_until(REBUILD_LIMIT_MS, "the store is rebuilt", is_rebuilt);
    sim.nodes[other].partitioned_from_state = false;
    sim.run(5_000);
    assert_eq!(sim.recovery_report(other)["phase"], "following");
    assert_jobs_preserved(&mut sim, &starts_before);
}

#[test]
fn a_task_placed_in_the_lost_history_does_not_run_twice() {
    let mut sim = simulation_with_jobs(16);
    // The policy lets jobs continue although all replicas are lost along with the store.
    sim.operator.recovery.gap_policy = mountgap::settings::GapPolicy::Release;
    let late = sim.job_spec(5, "batch", 2);
    sim.submit(late, 50_000, 0);
    sim.run_until(5_000, "the job is accepted", |sim| sim.jobs["job-000005"].accepted_at.is_some());
    let backup = sim.state.backup();
    assert_eq!(sim.running_tasks_of("job-000005"), 0, "the job is not placed yet");
    sim.run_until(10_000, "the job runs", |sim| sim.running_tasks_of("job-000005") == 2);
    let busy = sim.workers.iter().find(|(_, worker)| worker.holds_task_of("job-000005"));
    let silent = busy.map(|(name, _)| name.clone()).expect("a machine with a task of the job");
    sim.state.restore(backup, 0);
    (0..3).for_each(|node| sim.crash(node, 500));
    sim.workers.get_mut(&silent).expect("a machine").partitioned = true;
    sim.run(LEASE_MS - 5_000);
    sim.workers.get_mut(&silent).expect("a machine").partitioned = false;
    sim.run_until(REBUILD_LIMIT_MS, "the store is rebuilt", is_rebuilt);
    sim.run(5_000);
    assert_eq!(
        sim.jobs["job-000005"].starts,
        2,
        "both tasks keep their machines: {}",
        sim.describe()
    );
    sim.assert_all_jobs_complete();
}

#[test]
fn earlier_versions_do_not_serve_from_a_partly_rebuilt_store() {
    use mountgap_records::constants::{KEY_NAMESPACE, KEY_ROOT, REBUILD_KEY};
    // Versions without rebuilds refuse to serve if they find a key in the namespace but outside their root.
    assert!(REBUILD_KEY.starts_with(KEY_NAMESPACE) && !REBUILD_KEY.starts_with(KEY_ROOT));
}

#[test]
fn the_leader_key_gets_no_revision_from_before_the_loss() {
    // Delayed transactions of the old leader have the key's revision as a condition and must not be applied.
    let mut sim = simulation_with_jobs(17);
    let revision_before = sim.state.mod_revision("mg/2/leader");
    assert!(revision_before <= 2, "an empty store assigns such revisions again");
    sim.state.wipe();
    sim.run_until(REBUILD_LIMIT_MS, "the store is rebuilt", |sim| {
        sim.state.mod_revision("mg/2/leader") > 0 && sim.state.get("mg/rebuild").is_some()
    });
    sim.run(2_000);
    assert_ne!(sim.state.mod_revision("mg/2/leader"), revision_before);
}

#[test]
fn a_submission_and_a_cancellation_during_the_loss_are_not_forgotten() {
    let mut sim = simulation_with_jobs(18);
    sim.state.wipe();
    let new = sim.job_spec(8, "batch", 1);
    let requests = [sim.submit(new.clone(), 500, 0), sim.cancel("job-000002", 1)];
    sim.run_until(REBUILD_LIMIT_MS, "the store is rebuilt", is_rebuilt);
    sim.run(3_000);
    if sim.response_status(requests[0]) != 201 {
        sim.submit(new, 500, 1);
    }
    if sim.response_status(requests[1]) != 200 {
        sim.cancel("job-000002", 2);
    }
    sim.run_until_done("job-000008", 60_000);
    sim.run(CANCEL_MS);
    assert_eq!(sim.running_tasks_of("job-000002"), 0);
    sim.assert_all_jobs_complete();
}

#[test]
fn a_silent_machine_and_duplicate_heartbeats_start_no_task_twice_in_a_rebuild() {
    let mut sim = simulation_with_jobs(19);
    let busy = sim.workers.iter().find(|(_, worker)| worker.holds_task_of("job-000002"));
    let silent = busy.map(|(name, _)| name.clone()).expect("a machine with a task of the job");
    sim.duplicate_heartbeat_rate = 0.3;
    sim.run(2_000);
    sim.workers.get_mut(&silent).expect("a machine").partitioned = true;
    sim.state.wipe();
    sim.run_until(REBUILD_LIMIT_MS, "the store is rebuilt", is_rebuilt);
    sim.run(LEASE_MS * 2);
    sim.workers.get_mut(&silent).expect("a machine").partitioned = false;
    sim.duplicate_heartbeat_rate = 0.0;
    sim.run(LEASE_MS * 4);
    sim.assert_all_jobs_complete();
}

#[test]
fn a_job_stored_in_two_batches_and_a_running_gang_survive_a_loss() {
    let mut sim = simulation_with_jobs(20);
    let mut gang = sim.job_spec(7, "ensemble", 2);
    gang["crew"] = json!("blue");
    gang["lendables"] = json!(true);
    sim.submit(gang, 120_000, 0);
    sim.run_until(30_000, "the gang runs", |sim| sim.running_tasks_of("job-000007") == 2);
    sim.state.next_submission_delay_ms = 400;
    let twice = sim.job_spec(9, "batch", 1);
    sim.submit(twice, 40_000, 1);
    sim.run_until(20_000, "the job runs", |sim| sim.running_tasks_of("job-000009") == 1);
    let batches = sim.state.entries_under("mg/2/jobs/");
    let contains_job = |batch: &serde_json::Value| batch.to_string().contains("job-000009");
    assert_eq!(batches.iter().filter(|(_, batch)| contains_job(batch)).count(), 2);
    let starts_before = starts_by_job(&sim);
    sim.state.wipe();
    assert_jobs_preserved(&mut sim, &starts_before);
}
