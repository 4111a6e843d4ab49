//! Scenarios with gangs: jobs whose tasks all run at the same time or not at all. The simulation checks its
//! invariants throughout; its workers start the tasks of a gang only when all of them are ready.

mod simulation;

use serde_json::{json, Value};
use simulation::*;

/// A simulation with a leader.
fn simulation_with_leader(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed);
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    sim.run(3_000);
    sim
}

/// Spec of a gang whose tasks take one of a machine's four GPUs each and write a checkpoint every two seconds.
fn gang_spec(sim: &Simulation, n: u64, tasks: u32) -> Value {
    let mut spec = sim.job_spec(n, "ensemble", tasks);
    spec["lendables"] = json!(false);
    spec["mark_every_s"] = json!(2.0);
    spec["mark_cost_s"] = json!(1.0);
    spec
}

/// Submits a gang and waits until all its tasks run; returns its job id.
fn start_gang(sim: &mut Simulation, n: u64, tasks: u32, run_ms: u64) -> String {
    let spec = gang_spec(sim, n, tasks);
    let job_id = spec["uid"].as_str().expect("a job id").to_string();
    sim.submit(spec, run_ms, 0);
    wait_until_gang_runs(sim, &job_id);
    job_id
}

/// Waits until a gang runs in an attempt that has lost no task and was not asked to stop.
fn wait_until_gang_runs(sim: &mut Simulation, job_id: &str) {
    sim.run_until(60_000, "the gang runs", |sim| {
        sim.jobs[job_id].attempts.values().any(|attempt| {
            attempt.incomplete_since.is_none() && attempt.stop_requested_at.is_none()
        }) && sim.running_tasks_of(job_id) == sim.jobs[job_id].tasks as usize
    });
}

/// Machines on which tasks of a job occupy resources.
fn machines_of(sim: &Simulation, job_id: &str) -> Vec<String> {
    sim.workers
        .iter()
        .filter(|(_, worker)| !worker.stopped && worker.holds_task_of(job_id))
        .map(|(name, _)| name.clone())
        .collect()
}

/// Number of attempts of a gang that have started.
fn started_attempts(sim: &Simulation, job_id: &str) -> usize {
    sim.jobs[job_id].attempts.len()
}

#[test]
fn all_tasks_of_a_gang_start_and_complete_together() {
    let mut sim = simulation_with_leader(1);
    let job_id = start_gang(&mut sim, 1, 6, 5_000);
    assert!(machines_of(&sim, &job_id).len() >= 2, "a machine has capacity for four tasks");
    sim.run_until_done(&job_id, 20_000);
    assert_eq!(started_attempts(&sim, &job_id), 1);
    assert_eq!(sim.jobs[&job_id].start_commands, 6, "each task got one start command");
    sim.run(5_000);
    assert!(machines_of(&sim, &job_id).is_empty());
}

#[test]
fn gangs_are_stored_under_a_prefix_that_earlier_versions_do_not_read() {
    let mut sim = simulation_with_leader(12);
    for n in 1..=12 {
        let mut spec = if n % 2 == 0 { gang_spec(&sim, n, 2) } else { sim.job_spec(n, "batch", 2) };
        spec["crew"] = json!("blue");
        sim.submit(spec, 2_000, 0);
    }
    sim.run(1_000);
    let contains = |prefix: &str, shape: &str| {
        sim.state.entries_under(prefix).iter().any(|(_, data)| data.to_string().contains(shape))
    };
    assert!(contains("mg/2/jobs/", "batch") && contains("mg/2/gangs/", "ensemble"));
    assert!(!contains("mg/2/jobs/", "ensemble") && !contains("mg/2/gangs/", "batch"));
    (1..=12).for_each(|n| sim.run_until_done(&format!("job-{n:06}"), 60_000));
    sim.run_until(30_000, "the batches are removed", |sim| {
        sim.state.entries_under("mg/2/gangs/").is_empty()
            && sim.state.entries_under("mg/2/jobs/").is_empty()
    });
}

#[test]
fn a_gang_that_fits_on_one_machine_is_not_spread() {
    let mut sim = simulation_with_leader(2);
    let job_id = start_gang(&mut sim, 1, 4, 20_000);
    assert_eq!(machines_of(&sim, &job_id).len(), 1, "{}", sim.describe());
}

#[test]
fn gangs_that_can_never_run_are_rejected_and_one_at_the_team_limit_is_accepted() {
    let mut sim = simulation_with_leader(3);
    let mut requests = Vec::new();
    let mut submit = |sim: &mut Simulation, n: u64, change: &dyn Fn(&mut Value), status: u16| {
        let mut spec = gang_spec(sim, n, 2);
        change(&mut spec);
        let invalid = status >= 400;
        let job_id = spec["uid"].as_str().expect("a job id").to_string();
        let request = sim.submit(spec, 1_000, 0);
        sim.jobs.get_mut(&job_id).expect("just submitted").invalid = invalid;
        requests.push((request, status));
    };
    // The team's limit is twelve GPUs.
    submit(&mut sim, 1, &|s| s["loads"] = json!(12), 201);
    submit(&mut sim, 2, &|s| s["loads"] = json!(13), 422);
    submit(&mut sim, 3, &|s| s["gpus"] = json!(5.0), 422);
    submit(&mut sim, 4, &|s| s["crew"] = json!("nobody"), 422);
    submit(&mut sim, 5, &|s| s["loads"] = json!(0), 400);
    submit(&mut sim, 6, &|s| s["shape"] = json!("gang"), 400);
    submit(&mut sim, 7, &|s| s["together"] = Value::Null, 400);
    submit(
        &mut sim,
        8,
        &|s| {
            s["together"] = json!(true);
            s["apart"] = json!(true);
        },
        422,
    );
    submit(
        &mut sim,
        9,
        &|s| {
            s["yard"] = json!("b");
            s["apart"] = json!(true);
        },
        422,
    );
    // More placements than one transaction can store; the team has no limit.
    submit(
        &mut sim,
        10,
        &|s| {
            s["crew"] = json!("blue");
            s["loads"] = json!(90_000);
        },
        422,
    );
    sim.run(2_000);
    for (request, status) in requests {
        assert_eq!(sim.response_status(request), status, "{}", sim.response_body(request));
    }
    let again = gang_spec(&sim, 1, 12);
    let repeat = sim.submit(again, 1_000, 2);
    sim.run(1_000);
    assert_eq!(
        sim.response_status(repeat),
        200,
        "resubmitting an accepted gang returns its status"
    );
}

#[test]
fn a_gang_that_loses_a_machine_restarts_after_all_its_tasks_have_ended() {
    for seed in 0..4 {
        let mut sim = simulation_with_leader(seed);
        let job_id = start_gang(&mut sim, 1, 6, 12_000);
        sim.run(3_000);
        let lost = machines_of(&sim, &job_id)[0].clone();
        sim.remove_machine(&lost);
        sim.run_until_done(&job_id, 120_000);
        assert_eq!(started_attempts(&sim, &job_id), 2, "seed {seed}");
        let first = sim.jobs[&job_id].attempts.values().next().expect("a started attempt");
        assert!(first.incomplete_since.is_some());
        assert!(
            sim.jobs[&job_id].checkpointed_ms >= 2_000,
            "the checkpoints of the first attempt count"
        );
    }
}

#[test]
fn a_gang_with_a_hung_machine_completes_within_three_attempts() {
    for (seed, hang_ms) in [(0, 3_000), (1, LEASE_MS + 4_000), (2, LEASE_MS * 3)] {
        let mut sim = simulation_with_leader(seed);
        let job_id = start_gang(&mut sim, 1, 6, 12_000);
        sim.run(2_000);
        let hung = machines_of(&sim, &job_id)[0].clone();
        sim.workers.get_mut(&hung).expect("a machine").hung_until = sim.now + hang_ms;
        sim.run_until_done(&job_id, 180_000);
        assert!(
            started_attempts(&sim, &job_id) <= 3,
            "hang of {hang_ms} ms: {}",
            started_attempts(&sim, &job_id)
        );
    }
}

#[test]
fn a_gang_that_loses_a_machine_while_it_assembles_is_not_left_partly_placed() {
    for seed in 0..4 {
        let mut sim = simulation_with_leader(seed);
        let spec = gang_spec(&sim, 1, 6);
        sim.submit(spec, 4_000, 0);
        sim.run_until(20_000, "a task waits for the others", |sim| {
            sim.jobs["job-000001"].starts > 0
        });
        if let Some(lost) = machines_of(&sim, "job-000001").first().cloned() {
            sim.remove_machine(&lost);
        }
        sim.run_until_done("job-000001", 120_000);
    }
}

/// Submits a gang of eight tasks and runs until one of two machines has received its start commands. Returns the
/// name of that machine and the name of the other one.
fn start_half_of_gang(sim: &mut Simulation) -> (String, String) {
    let spec = gang_spec(sim, 1, 8);
    sim.submit(spec, 4_000, 0);
    sim.run_until(20_000, "a machine has its start commands", |sim| {
        sim.jobs["job-000001"].start_commands > 0
    });
    let first = machines_of(sim, "job-000001")[0].clone();
    let other = sim.workers.keys().find(|n| **n != first).expect("two machines").clone();
    assert_eq!(sim.jobs["job-000001"].start_commands, 4, "the other machine has none yet");
    (first, other)
}

#[test]
fn a_gang_that_loses_a_waiting_task_restarts_before_the_gang_wait_ends() {
    for seed in 20..24 {
        let mut sim = simulation_with_leader(seed);
        let (first, _) = start_half_of_gang(&mut sim);
        sim.run_until(10_000, "four tasks wait", |sim| sim.jobs["job-000001"].starts >= 4);
        // The worker restarts at once without its state.
        sim.workers.get_mut(&first).expect("a machine").restart_without_state();
        let lost_at = sim.now;
        sim.run_until(60_000, "the gang runs", |sim| {
            sim.jobs["job-000001"].first_started_at.is_some()
        });
        let took_ms = sim.now - lost_at;
        assert!(took_ms < GANG_WAIT_MS, "seed {seed}: {took_ms} ms");
    }
}

#[test]
fn a_gang_frees_its_other_machines_before_the_lease_of_a_silent_one_ends() {
    for seed in 20..24 {
        let mut sim = simulation_with_leader(seed);
        let (first, silent) = start_half_of_gang(&mut sim);
        sim.workers.get_mut(&silent).expect("a machine").partitioned = true;
        let partitioned_at = sim.now;
        sim.run_until(60_000, "the other machine is free", |sim| {
            !sim.workers[&first].holds_task_of("job-000001")
        });
        let took_ms = sim.now - partitioned_at;
        assert!(took_ms < LEASE_MS, "seed {seed}: {took_ms} ms");
        sim.workers.get_mut(&silent).expect("a machine").partitioned = false;
        sim.run_until_done("job-000001", 60_000);
    }
}

#[test]
fn a_lost_start_command_is_resent_and_completes_the_gang() {
    for seed in 20..24 {
        let mut sim = simulation_with_leader(seed);
        let (_, other) = start_half_of_gang(&mut sim);
        // The response with its start commands does not arrive.
        sim.workers.get_mut(&other).expect("a machine").responses_lost = true;
        sim.run(HEARTBEAT_MS * 5 / 4);
        sim.workers.get_mut(&other).expect("a machine").responses_lost = false;
        sim.run_until_done("job-000001", 30_000);
        assert_eq!(sim.jobs["job-000001"].start_commands, 8, "seed {seed}: one attempt");
    }
}

#[test]
fn a_gang_is_done_when_one_machine_reports_it_done() {
    for seed in 20..24 {
        let mut sim = simulation_with_leader(seed);
        let job_id = start_gang(&mut sim, 1, 8, 6_000);
        // One machine is partitioned while the gang ends, and disappears before it can report that.
        let partitioned = machines_of(&sim, &job_id)[0].clone();
        sim.workers.get_mut(&partitioned).expect("a machine").partitioned = true;
        sim.run_until(10_000, "the tasks are done", |sim| {
            !sim.jobs["job-000001"].done_tasks.is_empty()
        });
        sim.remove_machine(&partitioned);
        sim.run_until_done(&job_id, LEASE_MS / 2);
        sim.run(LEASE_MS * 3);
        assert_eq!(sim.jobs[&job_id].start_commands, 8, "seed {seed}: no task was started again");
    }
}

#[test]
fn a_gang_whose_start_never_reaches_a_machine_completes_later() {
    let mut sim = simulation_with_leader(5);
    let names: Vec<String> = sim.workers.keys().cloned().collect();
    let spec = gang_spec(&sim, 1, 8);
    sim.submit(spec, 4_000, 0);
    sim.run_until(20_000, "the gang is placed", |sim| {
        sim.state.entries_under("mg/2/place/").len() == 1
    });
    // The first machine doesn't receive its start commands.
    sim.workers.get_mut(&names[0]).expect("a machine").responses_lost = true;
    sim.run(GANG_WAIT_MS * 3);
    sim.workers.get_mut(&names[0]).expect("a machine").responses_lost = false;
    sim.run_until_done("job-000001", 180_000);
}

#[test]
fn a_running_gang_survives_leader_changes() {
    for seed in 0..4 {
        let mut sim = simulation_with_leader(seed);
        let job_id = start_gang(&mut sim, 1, 6, 30_000);
        for restart_ms in [50, 3_000, 800] {
            let leader = sim.leader().expect("a leader");
            sim.crash(leader, restart_ms);
            sim.run(6_000);
        }
        sim.run_until_done(&job_id, 60_000);
        assert_eq!(started_attempts(&sim, &job_id), 1, "seed {seed}: a running gang was stopped");
        assert_eq!(sim.jobs[&job_id].start_commands, 6);
    }
}

#[test]
fn a_gang_that_assembles_while_the_leader_changes_runs_once() {
    for seed in 0..12 {
        let mut sim = simulation_with_leader(seed);
        let spec = gang_spec(&sim, 1, 6);
        sim.submit(spec, 6_000, 0);
        let crash_after_ms = 50 + 200 * seed;
        sim.run(crash_after_ms);
        if let Some(leader) = sim.leader() {
            sim.crash(leader, 100);
        }
        sim.run_until_done("job-000001", 120_000);
        assert_eq!(started_attempts(&sim, "job-000001"), 1, "seed {seed}");
    }
}

#[test]
fn a_gang_continues_or_restarts_as_a_whole_after_all_controllers_crash() {
    for (seed, restart_ms) in [(0, 100), (1, 5_000), (2, LEASE_MS + 6_000)] {
        let mut sim = simulation_with_leader(seed);
        let job_id = start_gang(&mut sim, 1, 6, 25_000);
        (0..3).for_each(|i| sim.crash(i, restart_ms + 200 * i as u64));
        sim.run_until_done(&job_id, 180_000);
        let max_attempts = if restart_ms < LEASE_MS { 1 } else { 2 };
        assert!(
            started_attempts(&sim, &job_id) <= max_attempts,
            "restart after {restart_ms} ms: {}",
            started_attempts(&sim, &job_id)
        );
        // An attempt that ended because its leases expired is not started again.
        assert!(
            sim.jobs[&job_id].start_commands <= 6 * max_attempts as u32,
            "restart after {restart_ms} ms"
        );
    }
}

#[test]
fn a_gang_cancelled_in_any_state_ends_in_time() {
    for seed in 0..4 {
        for after_ms in [0, 300, 700, 1_500, 3_000, 6_000] {
            let mut sim = simulation_with_leader(seed);
            let spec = gang_spec(&sim, 1, 6);
            let submission = sim.submit(spec, 60_000, 0);
            sim.run_until(2_000, "accepted", |sim| sim.response_status(submission) == 201);
            sim.run(after_ms);
            let cancellation = sim.cancel("job-000001", 1);
            sim.run_until(2_000, "confirmed", |sim| sim.response_status(cancellation) == 200);
            sim.run(CANCEL_MS + 5_000);
            assert!(machines_of(&sim, "job-000001").is_empty());
        }
    }
}

#[test]
fn a_cancelled_gang_on_a_hung_machine_ends_in_time() {
    let mut sim = simulation_with_leader(4);
    let job_id = start_gang(&mut sim, 1, 6, u64::MAX);
    let hung = machines_of(&sim, &job_id)[0].clone();
    sim.workers.get_mut(&hung).expect("a machine").hung_until = sim.now + CANCEL_MS * 2;
    let leader = sim.leader().expect("a leader");
    sim.cancel(&job_id, (leader + 1) % 3);
    sim.run(1_000);
    sim.crash(leader, 500);
    sim.run(CANCEL_MS * 3);
    assert!(machines_of(&sim, &job_id).is_empty());
}

#[test]
fn a_gang_on_a_reclaimed_machine_saves_the_progress_of_all_tasks() {
    let mut sim = simulation_with_leader(6);
    let mut spec = gang_spec(&sim, 1, 6);
    spec["run_guess_s"] = json!(60.0);
    sim.submit(spec, 60_000, 0);
    wait_until_gang_runs(&mut sim, "job-000001");
    sim.run(5_100);
    let reclaimed = machines_of(&sim, "job-000001")[0].clone();
    sim.workers.get_mut(&reclaimed).expect("a machine").reclaim_at = Some(sim.now + 12_000);
    sim.run_until(20_000, "the gang is asked to stop", |sim| {
        sim.jobs["job-000001"]
            .attempts
            .values()
            .next()
            .is_some_and(|attempt| attempt.stop_requested_at.is_some())
    });
    sim.run_until_done("job-000001", 180_000);
    let first = sim.jobs["job-000001"].attempts.values().next().expect("a started attempt");
    assert!(first.checkpointed, "all tasks were stopped in time and saved their progress");
}

#[test]
fn a_gang_preempted_by_a_service_saves_its_progress_and_continues_later() {
    let mut sim = simulation_with_leader(13);
    sim.cloud.capacity = 2;
    let mut large = gang_spec(&sim, 1, 8);
    large["crew"] = json!("blue");
    large["run_guess_s"] = json!(90.0);
    sim.submit(large, 90_000, 0);
    wait_until_gang_runs(&mut sim, "job-000001");
    sim.run(35_300);
    let service = sim.job_spec(2, "standing", 2);
    sim.submit(service, u64::MAX, 1);
    sim.run_until(30_000, "the service runs", |sim| sim.running_tasks_of("job-000002") == 2);
    let first = sim.jobs["job-000001"].attempts.values().next().expect("a started attempt");
    assert!(first.checkpointed, "all tasks were stopped in time and saved their progress");
    sim.run(10_000);
    assert_eq!(sim.running_tasks_of("job-000001"), 0, "there is no capacity for all its tasks");
    sim.cancel("job-000002", 0);
    sim.run_until_done("job-000001", 120_000);
    assert!(sim.jobs["job-000001"].checkpointed_ms >= 30_000);
}

#[test]
fn a_gang_bound_to_one_zone_never_runs_in_two() {
    for seed in 0..4 {
        let mut sim = Simulation::with_machines(seed, 8);
        sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
        sim.run(3_000);
        let mut spec = gang_spec(&sim, 1, 7);
        spec["together"] = json!(true);
        sim.submit(spec, 15_000, 0);
        wait_until_gang_runs(&mut sim, "job-000001");
        let lost = machines_of(&sim, "job-000001")[0].clone();
        sim.remove_machine(&lost);
        sim.run_until_done("job-000001", 180_000);
    }
}

#[test]
fn a_large_gang_starts_despite_a_stream_of_small_jobs() {
    let mut sim = simulation_with_leader(7);
    sim.cloud.capacity = 3;
    let spec = gang_spec(&sim, 1, 12);
    sim.submit(spec, 3_000, 0);
    let mut n = 100;
    let end = sim.now + 240_000;
    while sim.jobs["job-000001"].first_started_at.is_none() {
        assert!(sim.now < end, "the gang does not start: {}", sim.describe());
        n += 1;
        let mut small = sim.job_spec(n, "batch", 2);
        small["crew"] = json!("blue");
        sim.submit(small, 4_000, n as usize % 3);
        sim.run(900);
    }
}

#[test]
fn a_gang_that_fails_everywhere_backs_off_and_other_jobs_run() {
    let mut sim = simulation_with_leader(8);
    let spec = gang_spec(&sim, 1, 4);
    sim.submit(spec, 3_000, 0);
    sim.jobs.get_mut("job-000001").expect("just submitted").always_fails = true;
    sim.run(60_000);
    assert!(
        sim.jobs["job-000001"].start_commands < 60,
        "the gang does not back off: {} start commands",
        sim.jobs["job-000001"].start_commands
    );
    let other = sim.job_spec(2, "batch", 4);
    sim.submit(other, 2_000, 0);
    sim.run_until_done("job-000002", 30_000);
}

#[test]
fn a_machine_that_fails_all_tasks_does_not_block_a_gang() {
    for seed in 0..4 {
        let mut sim = Simulation::with_machines(seed, 4);
        sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
        sim.run(3_000);
        let first = sim.workers.keys().next().expect("a machine").clone();
        sim.workers.get_mut(&first).expect("a machine").fails_all_tasks = true;
        let spec = gang_spec(&sim, 1, 8);
        sim.submit(spec, 3_000, 0);
        sim.run_until_done("job-000001", 60_000);
    }
}

/// Future limits of the state service as its settings announce them.
fn next_limits() -> Value {
    json!({"value_kb": 2.0, "txn_ops": 4, "write_rps": 30.0})
}

#[test]
fn records_above_lowered_limits_are_split_and_block_nothing() {
    let mut sim = Simulation::with_machines(9, 130);
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    sim.run(3_000);
    let mut spec = sim.job_spec(1, "batch", 220);
    spec["crew"] = json!("blue");
    sim.submit(spec, 150_000, 0);
    for n in 2..90 {
        let mut spec = sim.job_spec(n, "batch", 3);
        spec["crew"] = json!("blue");
        let job_id = spec["uid"].as_str().expect("a job id").to_string();
        sim.submit(spec, 2_000, n as usize % 3);
        // The first task of each job is done soon, the others run for 40 s and more.
        sim.jobs.get_mut(&job_id).expect("just submitted").run_increment_ms = 40_000;
    }
    sim.run_until(60_000, "a task of each job is done", |sim| {
        sim.jobs.values().skip(1).all(|job| !job.done_tasks.is_empty())
    });
    sim.run(5_000);
    let largest = |sim: &Simulation, prefix: &str| {
        let sizes =
            sim.state.entries_under(prefix).into_iter().map(|(_, data)| data.to_string().len());
        sizes.max().unwrap_or(0)
    };
    for prefix in ["mg/2/place/", "mg/2/done/"] {
        assert!(largest(&sim, prefix) > 2_048, "{prefix}: {}", largest(&sim, prefix));
    }
    // The controllers restart one after the other with settings that announce lower limits.
    sim.next_state_limits = next_limits();
    for i in 0..3 {
        sim.crash(i, 500);
        sim.run(3_000);
    }
    sim.run_until(20_000, "placements are split", |sim| largest(sim, "mg/2/place/") <= 2_048);
    sim.state.lowered_limits = Some((2_048, 4));
    // A bitmap of done tasks is split when the next task in it ends.
    sim.run_until(80_000, "bitmaps are split", |sim| largest(sim, "mg/2/done/") <= 2_048);
    let jobs = || sim.jobs.iter().filter(|(_, job)| job.tasks == 3);
    let stored = sim.state.entries_under("mg/2/done/");
    let has_bitmap =
        |job_id: &str| stored.iter().any(|(_, data)| data.to_string().contains(job_id));
    assert!(
        jobs().all(|(job_id, job)| job.reported_done_at.is_some() || has_bitmap(job_id)),
        "no bitmap is lost"
    );
    let spec = gang_spec(&sim, 500, 12);
    sim.submit(spec, 3_000, 0);
    let job_ids: Vec<String> = sim.jobs.keys().cloned().collect();
    for job_id in job_ids {
        sim.run_until_done(&job_id, 300_000);
    }
    assert_eq!(sim.state.rejected_for_size, 0, "values above the new limits were written");
}

#[test]
fn limits_lowered_without_announcement_block_no_job() {
    let mut sim = Simulation::with_machines(10, 60);
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    sim.run(3_000);
    sim.state.lowered_limits = Some((2_048, 4));
    for n in 1..40 {
        let mut spec = sim.job_spec(n, "batch", 4);
        spec["crew"] = json!("blue");
        sim.submit(spec, 2_000, n as usize % 3);
    }
    sim.run(3_000);
    let mut large = sim.job_spec(100, "batch", 200);
    large["crew"] = json!("blue");
    sim.submit(large, 60_000, 0);
    sim.run_until(30_000, "the large job runs", |sim| sim.running_tasks_of("job-000100") == 200);
    assert!(sim.state.rejected_for_size > 0, "no transaction was rejected for its size");
    for n in 1..40 {
        let job_id = format!("job-{n:06}");
        if sim.jobs[&job_id].accepted_at.is_none() {
            let spec = sim.jobs[&job_id].spec.clone();
            sim.submit(spec, 2_000, n as usize % 3);
        }
        sim.run_until_done(&job_id, 240_000);
    }
    assert!(sim.state.rejected_for_size < 20, "rejected {} times", sim.state.rejected_for_size);
}

/// Why a job waits according to the leader's status, empty if it doesn't wait.
fn wait_reason(sim: &Simulation, job_id: &str) -> String {
    let leader =
        sim.leader().and_then(|leader| sim.nodes[leader].controller.as_ref()).expect("a leader");
    let view = json!(leader.status_view(true));
    let lines = view["waiting"].as_array().expect("a list").clone();
    let line = lines.iter().find(|line| line["uid"] == job_id);
    line.map_or(String::new(), |line| line["why"].as_str().expect("a reason").to_string())
}

#[test]
fn status_reports_why_a_gang_waits() {
    let mut sim = simulation_with_leader(11);
    let (_, silent) = start_half_of_gang(&mut sim);
    assert!(wait_reason(&sim, "job-000001").contains("are to start"), "{}", sim.describe());
    sim.workers.get_mut(&silent).expect("a machine").partitioned = true;
    sim.run_until(LEASE_MS, "the attempt is given up", |sim| {
        wait_reason(sim, "job-000001").contains("of its last attempt")
    });
    sim.workers.get_mut(&silent).expect("a machine").partitioned = false;
    wait_until_gang_runs(&mut sim, "job-000001");
    sim.run(1_500);
    assert_eq!(wait_reason(&sim, "job-000001"), "", "a running gang does not wait");
    let second = gang_spec(&sim, 2, 6);
    sim.submit(second, 1_000, 0);
    sim.run(1_500);
    assert_eq!(wait_reason(&sim, "job-000002"), "its team is at its limit");
}
