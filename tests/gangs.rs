//! Gangs: jobs whose tasks all run at the same time or not at all. The world's checker watches every
//! rule all the while; its workers hold gang tasks back until all are there.

mod simulation;

use serde_json::{json, Value};
use simulation::*;

/// A world with a leader.
fn led(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed);
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    sim.run(3_000);
    sim
}

/// A gang whose tasks take one of a machine's four GPUs each and save every two seconds.
fn gang(sim: &Simulation, n: u64, tasks: u32) -> Value {
    let mut spec = sim.job_spec(n, "ensemble", tasks);
    spec["lendables"] = json!(false);
    spec["mark_every_s"] = json!(2.0);
    spec["mark_cost_s"] = json!(1.0);
    spec
}

/// Submits a gang and waits until all of it runs.
fn running_gang(sim: &mut Simulation, n: u64, tasks: u32, run_ms: u64) -> String {
    let spec = gang(sim, n, tasks);
    let uid = spec["uid"].as_str().expect("an id").to_string();
    sim.submit(spec, run_ms, 0);
    until_runs(sim, &uid);
    uid
}

/// Waits until an attempt of a gang has started that has not come to grief.
fn until_runs(sim: &mut Simulation, uid: &str) {
    sim.run_until(60_000, "the gang runs", |sim| {
        sim.jobs[uid]
            .attempts
            .values()
            .any(|r| r.incomplete_since.is_none() && r.stop_requested_at.is_none())
            && sim.running_tasks_of(uid) == sim.jobs[uid].tasks as usize
    });
}

fn machines_of(sim: &Simulation, uid: &str) -> Vec<String> {
    sim.workers
        .iter()
        .filter(|(_, x)| !x.stopped && x.holds_task_of(uid))
        .map(|(n, _)| n.clone())
        .collect()
}

/// Attempts that have started.
fn attempts(sim: &Simulation, uid: &str) -> usize {
    sim.jobs[uid].attempts.len()
}

#[test]
fn a_gang_starts_whole_and_is_done_as_a_whole() {
    let mut sim = led(1);
    let uid = running_gang(&mut sim, 1, 6, 5_000);
    assert!(machines_of(&sim, &uid).len() >= 2, "no machine holds more than four");
    sim.run_until_done(&uid, 20_000);
    assert_eq!(attempts(&sim, &uid), 1);
    assert_eq!(sim.jobs[&uid].start_commands, 6, "each task was ordered once");
    sim.run(5_000);
    assert!(machines_of(&sim, &uid).is_empty());
}

#[test]
fn what_a_program_from_before_gangs_has_to_read_holds_none() {
    let mut sim = led(12);
    for n in 1..=12 {
        let mut spec = if n % 2 == 0 { gang(&sim, n, 2) } else { sim.job_spec(n, "batch", 2) };
        spec["crew"] = json!("blue");
        sim.submit(spec, 2_000, 0);
    }
    sim.run(1_000);
    let holds = |prefix: &str, shape: &str| {
        sim.state.entries_under(prefix).iter().any(|(_, data)| data.to_string().contains(shape))
    };
    assert!(holds("mg/2/jobs/", "batch") && holds("mg/2/gangs/", "ensemble"));
    assert!(!holds("mg/2/jobs/", "ensemble") && !holds("mg/2/gangs/", "batch"));
    (1..=12).for_each(|n| sim.run_until_done(&format!("job-{n:06}"), 60_000));
    sim.run_until(30_000, "their batches are removed", |sim| {
        sim.state.entries_under("mg/2/gangs/").is_empty()
            && sim.state.entries_under("mg/2/jobs/").is_empty()
    });
}

#[test]
fn a_gang_that_fits_on_one_machine_is_not_spread() {
    let mut sim = led(2);
    let uid = running_gang(&mut sim, 1, 4, 20_000);
    assert_eq!(machines_of(&sim, &uid).len(), 1, "{}", sim.describe());
}

#[test]
fn gangs_that_can_never_run_are_refused_and_exactly_the_limit_is_taken() {
    let mut sim = led(3);
    let mut asked = Vec::new();
    let mut ask = |sim: &mut Simulation, n: u64, change: &dyn Fn(&mut Value), status: u16| {
        let mut spec = gang(sim, n, 2);
        change(&mut spec);
        let odd = status >= 400;
        let uid = spec["uid"].as_str().expect("an id").to_string();
        let request = sim.submit(spec, 1_000, 0);
        sim.jobs.get_mut(&uid).expect("just asked").invalid = odd;
        asked.push((request, status));
    };
    // The team's limit is twelve GPUs.
    ask(&mut sim, 1, &|s| s["loads"] = json!(12), 201);
    ask(&mut sim, 2, &|s| s["loads"] = json!(13), 422);
    ask(&mut sim, 3, &|s| s["gpus"] = json!(5.0), 422);
    ask(&mut sim, 4, &|s| s["crew"] = json!("nobody"), 422);
    ask(&mut sim, 5, &|s| s["loads"] = json!(0), 400);
    ask(&mut sim, 6, &|s| s["shape"] = json!("gang"), 400);
    ask(&mut sim, 7, &|s| s["together"] = Value::Null, 400);
    ask(
        &mut sim,
        8,
        &|s| {
            s["together"] = json!(true);
            s["apart"] = json!(true);
        },
        422,
    );
    ask(
        &mut sim,
        9,
        &|s| {
            s["yard"] = json!("b");
            s["apart"] = json!(true);
        },
        422,
    );
    // More placements than one commit can hold; the team has no limit.
    ask(
        &mut sim,
        10,
        &|s| {
            s["crew"] = json!("blue");
            s["loads"] = json!(90_000);
        },
        422,
    );
    sim.run(2_000);
    for (request, status) in asked {
        assert_eq!(sim.response_status(request), status, "{}", sim.response_body(request));
    }
    let again = gang(&sim, 1, 12);
    let repeat = sim.submit(again, 1_000, 2);
    sim.run(1_000);
    assert_eq!(
        sim.response_status(repeat),
        200,
        "a repeat of an accepted one is answered with its state"
    );
}

#[test]
fn a_gang_that_loses_a_machine_starts_anew_once_all_of_it_is_gone() {
    for seed in 0..4 {
        let mut sim = led(seed);
        let uid = running_gang(&mut sim, 1, 6, 12_000);
        sim.run(3_000);
        let lost = machines_of(&sim, &uid)[0].clone();
        sim.remove_machine(&lost);
        sim.run_until_done(&uid, 120_000);
        assert_eq!(attempts(&sim, &uid), 2, "seed {seed}");
        let first = sim.jobs[&uid].attempts.values().next().expect("it ran");
        assert!(first.incomplete_since.is_some());
        assert!(
            sim.jobs[&uid].checkpointed_ms >= 2_000,
            "the checkpoints of the first attempt count"
        );
    }
}

#[test]
fn a_gang_on_a_machine_that_hangs_waits_for_its_lease_and_starts_elsewhere() {
    for (seed, hang_ms) in [(0, 3_000), (1, LEASE_MS + 4_000), (2, LEASE_MS * 3)] {
        let mut sim = led(seed);
        let uid = running_gang(&mut sim, 1, 6, 12_000);
        sim.run(2_000);
        let hung = machines_of(&sim, &uid)[0].clone();
        sim.workers.get_mut(&hung).expect("a machine").hung_until = sim.now + hang_ms;
        sim.run_until_done(&uid, 180_000);
        assert!(attempts(&sim, &uid) <= 3, "hang of {hang_ms} ms: {}", attempts(&sim, &uid));
    }
}

#[test]
fn a_gang_that_loses_a_task_before_it_starts_is_not_left_half_placed() {
    for seed in 0..4 {
        let mut sim = led(seed);
        let spec = gang(&sim, 1, 6);
        sim.submit(spec, 4_000, 0);
        sim.run_until(20_000, "a part waits", |sim| sim.jobs["job-000001"].starts > 0);
        if let Some(lost) = machines_of(&sim, "job-000001").first().cloned() {
            sim.remove_machine(&lost);
        }
        sim.run_until_done("job-000001", 120_000);
    }
}

/// A gang of eight of which one machine's tasks wait, and the names of both machines: the one with
/// the tasks that wait, and the one that has not been told yet.
fn half_started(sim: &mut Simulation) -> (String, String) {
    let spec = gang(sim, 1, 8);
    sim.submit(spec, 4_000, 0);
    sim.run_until(20_000, "a machine has its start", |sim| {
        sim.jobs["job-000001"].start_commands > 0
    });
    let first = machines_of(sim, "job-000001")[0].clone();
    let other = sim.workers.keys().find(|n| **n != first).expect("two machines").clone();
    assert_eq!(sim.jobs["job-000001"].start_commands, 4, "the other one has not");
    (first, other)
}

#[test]
fn a_gang_that_loses_a_waiting_task_does_not_sit_out_the_wait_for_it() {
    for seed in 20..24 {
        let mut sim = led(seed);
        let (first, _) = half_started(&mut sim);
        sim.run_until(10_000, "it waits", |sim| sim.jobs["job-000001"].starts >= 4);
        // Its process is back at once, and knows nothing.
        sim.workers.get_mut(&first).expect("a machine").restart_without_state();
        let lost_at = sim.now;
        sim.run_until(60_000, "the gang runs", |sim| {
            sim.jobs["job-000001"].first_started_at.is_some()
        });
        let took = sim.now - lost_at;
        assert!(took < GANG_WAIT_MS, "seed {seed}: {took}");
    }
}

#[test]
fn places_beside_a_machine_that_fell_silent_are_given_up_before_its_lease_is_over() {
    for seed in 20..24 {
        let mut sim = led(seed);
        let (first, silent) = half_started(&mut sim);
        sim.workers.get_mut(&silent).expect("a machine").partitioned = true;
        let cut_at = sim.now;
        sim.run_until(60_000, "the places are free", |sim| {
            !sim.workers[&first].holds_task_of("job-000001")
        });
        assert!(sim.now < cut_at + LEASE_MS, "seed {seed}: {}", sim.now - cut_at);
        sim.workers.get_mut(&silent).expect("a machine").partitioned = false;
        sim.run_until_done("job-000001", 60_000);
    }
}

#[test]
fn a_start_that_was_lost_on_the_way_is_sent_again_and_completes_the_gang() {
    for seed in 20..24 {
        let mut sim = led(seed);
        let (_, other) = half_started(&mut sim);
        // The answer with its start does not arrive.
        sim.workers.get_mut(&other).expect("a machine").responses_lost = true;
        sim.run(HEARTBEAT_MS * 5 / 4);
        sim.workers.get_mut(&other).expect("a machine").responses_lost = false;
        sim.run_until_done("job-000001", 30_000);
        assert_eq!(sim.jobs["job-000001"].start_commands, 8, "seed {seed}: by the same attempt");
    }
}

#[test]
fn a_gang_is_done_when_one_of_its_machines_says_so() {
    for seed in 20..24 {
        let mut sim = led(seed);
        let uid = running_gang(&mut sim, 1, 8, 6_000);
        // One machine is cut off while the gang ends, and dies before it can tell.
        let cut = machines_of(&sim, &uid)[0].clone();
        sim.workers.get_mut(&cut).expect("a machine").partitioned = true;
        sim.run_until(10_000, "it has ended", |sim| !sim.jobs["job-000001"].done_tasks.is_empty());
        sim.remove_machine(&cut);
        sim.run_until_done(&uid, LEASE_MS / 2);
        sim.run(LEASE_MS * 3);
        assert_eq!(
            sim.jobs[&uid].start_commands, 8,
            "seed {seed}: nothing of it was started again"
        );
    }
}

#[test]
fn a_gang_whose_start_does_not_reach_a_machine_gives_its_places_up() {
    let mut sim = led(5);
    let names: Vec<String> = sim.workers.keys().cloned().collect();
    let spec = gang(&sim, 1, 8);
    sim.submit(spec, 4_000, 0);
    sim.run_until(20_000, "it is placed", |sim| sim.state.entries_under("mg/2/place/").len() == 1);
    // One of the machines never hears its start.
    sim.workers.get_mut(&names[0]).expect("a machine").responses_lost = true;
    sim.run(GANG_WAIT_MS * 3);
    sim.workers.get_mut(&names[0]).expect("a machine").responses_lost = false;
    sim.run_until_done("job-000001", 180_000);
}

#[test]
fn a_running_gang_outlives_changes_of_leader() {
    for seed in 0..4 {
        let mut sim = led(seed);
        let uid = running_gang(&mut sim, 1, 6, 30_000);
        for back in [50, 3_000, 800] {
            let leader = sim.leader().expect("leads");
            sim.crash(leader, back);
            sim.run(6_000);
        }
        sim.run_until_done(&uid, 60_000);
        assert_eq!(attempts(&sim, &uid), 1, "seed {seed}: a healthy gang is not stopped");
        assert_eq!(sim.jobs[&uid].start_commands, 6);
    }
}

#[test]
fn a_gang_that_assembles_while_the_leader_changes_runs_once() {
    for seed in 0..12 {
        let mut sim = led(seed);
        let spec = gang(&sim, 1, 6);
        sim.submit(spec, 6_000, 0);
        let wait = 50 + 200 * seed;
        sim.run(wait);
        if let Some(leader) = sim.leader() {
            sim.crash(leader, 100);
        }
        sim.run_until_done("job-000001", 120_000);
        assert_eq!(attempts(&sim, "job-000001"), 1, "seed {seed}");
    }
}

#[test]
fn all_controllers_ended_a_gang_goes_on_or_starts_again_whole() {
    for (seed, back) in [(0, 100), (1, 5_000), (2, LEASE_MS + 6_000)] {
        let mut sim = led(seed);
        let uid = running_gang(&mut sim, 1, 6, 25_000);
        (0..3).for_each(|i| sim.crash(i, back + 200 * i as u64));
        sim.run_until_done(&uid, 180_000);
        let most = if back < LEASE_MS { 1 } else { 2 };
        assert!(attempts(&sim, &uid) <= most, "back after {back}: {}", attempts(&sim, &uid));
        // An attempt that has run and ended with the leases is not started once more.
        assert!(sim.jobs[&uid].start_commands <= 6 * most as u32, "back after {back}");
    }
}

#[test]
fn a_cancelled_gang_is_gone_in_time_in_every_state() {
    for seed in 0..4 {
        for after in [0, 300, 700, 1_500, 3_000, 6_000] {
            let mut sim = led(seed);
            let spec = gang(&sim, 1, 6);
            let asked = sim.submit(spec, 60_000, 0);
            sim.run_until(2_000, "accepted", |sim| sim.response_status(asked) == 201);
            sim.run(after);
            let r = sim.cancel("job-000001", 1);
            sim.run_until(2_000, "confirmed", |sim| sim.response_status(r) == 200);
            sim.run(CANCEL_MS + 5_000);
            assert!(machines_of(&sim, "job-000001").is_empty());
        }
    }
}

#[test]
fn a_cancelled_gang_on_a_machine_that_hangs_is_gone_when_its_time_is_up() {
    let mut sim = led(4);
    let uid = running_gang(&mut sim, 1, 6, u64::MAX);
    let hung = machines_of(&sim, &uid)[0].clone();
    sim.workers.get_mut(&hung).expect("a machine").hung_until = sim.now + CANCEL_MS * 2;
    let leader = sim.leader().expect("leads");
    sim.cancel(&uid, (leader + 1) % 3);
    sim.run(1_000);
    sim.crash(leader, 500);
    sim.run(CANCEL_MS * 3);
    assert!(machines_of(&sim, &uid).is_empty());
}

#[test]
fn a_gang_on_a_machine_that_is_reclaimed_saves_as_a_whole() {
    let mut sim = led(6);
    let mut spec = gang(&sim, 1, 6);
    spec["run_guess_s"] = json!(60.0);
    sim.submit(spec, 60_000, 0);
    until_runs(&mut sim, "job-000001");
    sim.run(5_100);
    let taken = machines_of(&sim, "job-000001")[0].clone();
    sim.workers.get_mut(&taken).expect("a machine").reclaim_at = Some(sim.now + 12_000);
    sim.run_until(20_000, "it was stopped", |sim| {
        sim.jobs["job-000001"]
            .attempts
            .values()
            .next()
            .is_some_and(|r| r.stop_requested_at.is_some())
    });
    sim.run_until_done("job-000001", 180_000);
    let first = sim.jobs["job-000001"].attempts.values().next().expect("it ran");
    assert!(first.checkpointed, "all of it was told in time");
}

#[test]
fn a_gang_that_makes_room_for_a_service_saves_as_a_whole_and_goes_on_later() {
    let mut sim = led(13);
    sim.cloud.capacity = 2;
    let mut wide = gang(&sim, 1, 8);
    wide["crew"] = json!("blue");
    wide["run_guess_s"] = json!(90.0);
    sim.submit(wide, 90_000, 0);
    until_runs(&mut sim, "job-000001");
    sim.run(35_300);
    let service = sim.job_spec(2, "standing", 2);
    sim.submit(service, u64::MAX, 1);
    sim.run_until(30_000, "the service runs", |sim| sim.running_tasks_of("job-000002") == 2);
    let first = sim.jobs["job-000001"].attempts.values().next().expect("it ran");
    assert!(first.checkpointed, "all of it was told in time");
    sim.run(10_000);
    assert_eq!(sim.running_tasks_of("job-000001"), 0, "there is no room for all of it");
    sim.cancel("job-000002", 0);
    sim.run_until_done("job-000001", 120_000);
    assert!(sim.jobs["job-000001"].checkpointed_ms >= 30_000);
}

#[test]
fn a_gang_in_one_zone_stays_in_one_until_the_last_of_it_is_gone() {
    for seed in 0..4 {
        let mut sim = Simulation::with_machines(seed, 8);
        sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
        sim.run(3_000);
        let mut spec = gang(&sim, 1, 7);
        spec["together"] = json!(true);
        sim.submit(spec, 15_000, 0);
        until_runs(&mut sim, "job-000001");
        let lost = machines_of(&sim, "job-000001")[0].clone();
        sim.remove_machine(&lost);
        sim.run_until_done("job-000001", 180_000);
    }
}

#[test]
fn a_wide_gang_begins_under_a_stream_of_small_jobs() {
    let mut sim = led(7);
    sim.cloud.capacity = 3;
    let spec = gang(&sim, 1, 12);
    sim.submit(spec, 3_000, 0);
    let mut n = 100;
    let end = sim.now + 240_000;
    while sim.jobs["job-000001"].first_started_at.is_none() {
        assert!(sim.now < end, "it never begins: {}", sim.describe());
        n += 1;
        let mut small = sim.job_spec(n, "batch", 2);
        small["crew"] = json!("blue");
        sim.submit(small, 4_000, n as usize % 3);
        sim.run(900);
    }
}

#[test]
fn gangs_that_fail_everywhere_leave_the_machines_to_others() {
    let mut sim = led(8);
    let spec = gang(&sim, 1, 4);
    sim.submit(spec, 3_000, 0);
    sim.jobs.get_mut("job-000001").expect("just asked").always_fails = true;
    sim.run(60_000);
    assert!(
        sim.jobs["job-000001"].start_commands < 60,
        "it backs off: {}",
        sim.jobs["job-000001"].start_commands
    );
    let other = sim.job_spec(2, "batch", 4);
    sim.submit(other, 2_000, 0);
    sim.run_until_done("job-000002", 30_000);
}

#[test]
fn a_machine_that_fails_its_tasks_does_not_keep_a_gang_from_running() {
    for seed in 0..4 {
        let mut sim = Simulation::with_machines(seed, 4);
        sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
        sim.run(3_000);
        let first = sim.workers.keys().next().expect("a machine").clone();
        sim.workers.get_mut(&first).expect("a machine").fails_all_tasks = true;
        let spec = gang(&sim, 1, 8);
        sim.submit(spec, 3_000, 0);
        sim.run_until_done("job-000001", 60_000);
    }
}

/// The limits that the fake settings announce.
fn next_limits() -> Value {
    json!({"value_kb": 2.0, "txn_ops": 4, "write_rps": 30.0})
}

#[test]
fn what_was_stored_under_higher_limits_is_divided_and_blocks_nothing() {
    let mut sim = Simulation::with_machines(9, 130);
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    sim.run(3_000);
    let mut spec = sim.job_spec(1, "batch", 220);
    spec["crew"] = json!("blue");
    sim.submit(spec, 150_000, 0);
    for n in 2..90 {
        let mut spec = sim.job_spec(n, "batch", 3);
        spec["crew"] = json!("blue");
        let uid = spec["uid"].as_str().expect("an id").to_string();
        sim.submit(spec, 2_000, n as usize % 3);
        // The first task of each is done soon, the others are not.
        sim.jobs.get_mut(&uid).expect("just asked").run_increment_ms = 40_000;
    }
    sim.run_until(60_000, "a task of each is done", |sim| {
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
    // A version that knows of the limits takes over, one controller after the other.
    sim.next_state_limits = next_limits();
    for i in 0..3 {
        sim.crash(i, 500);
        sim.run(3_000);
    }
    sim.run_until(20_000, "placements are divided", |sim| largest(sim, "mg/2/place/") <= 2_048);
    sim.state.lowered_limits = Some((2_048, 4));
    // Bitmaps are once a task of theirs has ended.
    sim.run_until(80_000, "bitmaps are divided", |sim| largest(sim, "mg/2/done/") <= 2_048);
    let jobs = || sim.jobs.iter().filter(|(_, job)| job.tasks == 3);
    let stored = sim.state.entries_under("mg/2/done/");
    let kept = |uid: &str| stored.iter().any(|(_, data)| data.to_string().contains(uid));
    assert!(
        jobs().all(|(uid, job)| job.reported_done_at.is_some() || kept(uid)),
        "no bitmap is lost"
    );
    let spec = gang(&sim, 500, 12);
    sim.submit(spec, 3_000, 0);
    let uids: Vec<String> = sim.jobs.keys().cloned().collect();
    for uid in uids {
        sim.run_until_done(&uid, 300_000);
    }
    assert_eq!(sim.state.rejected_for_size, 0, "nothing of the old size was written");
}

#[test]
fn limits_that_come_without_notice_in_the_settings_stall_nothing() {
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
    let mut wide = sim.job_spec(100, "batch", 200);
    wide["crew"] = json!("blue");
    sim.submit(wide, 60_000, 0);
    sim.run_until(30_000, "all of it runs", |sim| sim.running_tasks_of("job-000100") == 200);
    assert!(sim.state.rejected_for_size > 0, "something was refused for its size");
    for n in 1..40 {
        let uid = format!("job-{n:06}");
        if sim.jobs[&uid].accepted_at.is_none() {
            let spec = sim.jobs[&uid].spec.clone();
            sim.submit(spec, 2_000, n as usize % 3);
        }
        sim.run_until_done(&uid, 240_000);
    }
    assert!(sim.state.rejected_for_size < 20, "refused {} times", sim.state.rejected_for_size);
}

/// What the leader's status says that a job waits for.
fn waits_for(sim: &Simulation, uid: &str) -> String {
    let leader = sim.leader().and_then(|l| sim.nodes[l].controller.as_ref()).expect("a leader");
    let view = json!(leader.status_view(true));
    let lines = view["waiting"].as_array().expect("a list").clone();
    let line = lines.iter().find(|line| line["uid"] == uid);
    line.map_or(String::new(), |line| line["why"].as_str().expect("a reason").to_string())
}

#[test]
fn status_tells_what_a_gang_waits_for() {
    let mut sim = led(11);
    let (_, silent) = half_started(&mut sim);
    assert!(waits_for(&sim, "job-000001").contains("are to start"), "{}", sim.describe());
    sim.workers.get_mut(&silent).expect("a machine").partitioned = true;
    sim.run_until(LEASE_MS, "it is given up", |sim| {
        waits_for(sim, "job-000001").contains("of its last attempt")
    });
    sim.workers.get_mut(&silent).expect("a machine").partitioned = false;
    until_runs(&mut sim, "job-000001");
    sim.run(1_500);
    assert_eq!(waits_for(&sim, "job-000001"), "", "it runs");
    let second = gang(&sim, 2, 6);
    sim.submit(second, 1_000, 0);
    sim.run(1_500);
    assert_eq!(waits_for(&sim, "job-000002"), "its team is at its limit");
}
