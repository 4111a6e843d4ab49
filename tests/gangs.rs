//! Gangs: jobs whose tasks all run at the same time or not at all. The world's checker watches every
//! rule all the while; its workers hold gang tasks back until all are there.

mod world;

use serde_json::{json, Value};
use world::*;

/// A world with a leader.
fn led(seed: u64) -> World {
    let mut w = World::new(seed);
    w.until(10_000, "a leader", |w| w.leader().is_some());
    w.run(3_000);
    w
}

/// A gang whose tasks take one of a machine's four GPUs each and save every two seconds.
fn gang(w: &World, n: u64, tasks: u32) -> Value {
    let mut spec = w.spec(n, "ensemble", tasks);
    spec["lendables"] = json!(false);
    spec["mark_every_s"] = json!(2.0);
    spec["mark_cost_s"] = json!(1.0);
    spec
}

/// Submits a gang and waits until all of it runs.
fn running_gang(w: &mut World, n: u64, tasks: u32, run_ms: u64) -> String {
    let spec = gang(w, n, tasks);
    let uid = spec["uid"].as_str().expect("an id").to_string();
    w.submit(spec, run_ms, 0);
    until_runs(w, &uid);
    uid
}

/// Waits until an attempt of a gang has started that has not come to grief.
fn until_runs(w: &mut World, uid: &str) {
    w.until(60_000, "the gang runs", |w| {
        w.jobs[uid].attempts.values().any(|r| r.broken_at.is_none() && r.halted_at.is_none())
            && w.running_of(uid) == w.jobs[uid].loads as usize
    });
}

fn machines_of(w: &World, uid: &str) -> Vec<String> {
    w.workers.iter().filter(|(_, x)| !x.dead && x.is_on(uid)).map(|(n, _)| n.clone()).collect()
}

/// Attempts that have started.
fn attempts(w: &World, uid: &str) -> usize {
    w.jobs[uid].attempts.len()
}

#[test]
fn a_gang_starts_whole_and_is_done_as_a_whole() {
    let mut w = led(1);
    let uid = running_gang(&mut w, 1, 6, 5_000);
    assert!(machines_of(&w, &uid).len() >= 2, "no machine holds more than four");
    w.until_done(&uid, 20_000);
    assert_eq!(attempts(&w, &uid), 1);
    assert_eq!(w.jobs[&uid].ordered, 6, "each task was ordered once");
    w.run(5_000);
    assert!(machines_of(&w, &uid).is_empty());
}

#[test]
fn what_a_program_from_before_gangs_has_to_read_holds_none() {
    let mut w = led(12);
    for n in 1..=12 {
        let mut spec = if n % 2 == 0 { gang(&w, n, 2) } else { w.spec(n, "batch", 2) };
        spec["crew"] = json!("blue");
        w.submit(spec, 2_000, 0);
    }
    w.run(1_000);
    let holds = |prefix: &str, shape: &str| {
        w.state.under(prefix).iter().any(|(_, data)| data.to_string().contains(shape))
    };
    assert!(holds("mg/2/jobs/", "batch") && holds("mg/2/gangs/", "ensemble"));
    assert!(!holds("mg/2/jobs/", "ensemble") && !holds("mg/2/gangs/", "batch"));
    (1..=12).for_each(|n| w.until_done(&format!("job-{n:06}"), 60_000));
    w.until(30_000, "their batches are removed", |w| {
        w.state.under("mg/2/gangs/").is_empty() && w.state.under("mg/2/jobs/").is_empty()
    });
}

#[test]
fn a_gang_that_fits_on_one_machine_is_not_spread() {
    let mut w = led(2);
    let uid = running_gang(&mut w, 1, 4, 20_000);
    assert_eq!(machines_of(&w, &uid).len(), 1, "{}", w.view());
}

#[test]
fn gangs_that_can_never_run_are_refused_and_exactly_the_limit_is_taken() {
    let mut w = led(3);
    let mut asked = Vec::new();
    let mut ask = |w: &mut World, n: u64, change: &dyn Fn(&mut Value), status: u16| {
        let mut spec = gang(w, n, 2);
        change(&mut spec);
        let odd = status >= 400;
        let uid = spec["uid"].as_str().expect("an id").to_string();
        let request = w.submit(spec, 1_000, 0);
        w.jobs.get_mut(&uid).expect("just asked").odd = odd;
        asked.push((request, status));
    };
    // The team's limit is twelve GPUs.
    ask(&mut w, 1, &|s| s["loads"] = json!(12), 201);
    ask(&mut w, 2, &|s| s["loads"] = json!(13), 422);
    ask(&mut w, 3, &|s| s["gpus"] = json!(5.0), 422);
    ask(&mut w, 4, &|s| s["crew"] = json!("nobody"), 422);
    ask(&mut w, 5, &|s| s["loads"] = json!(0), 400);
    ask(&mut w, 6, &|s| s["shape"] = json!("gang"), 400);
    ask(&mut w, 7, &|s| s["together"] = Value::Null, 400);
    ask(
        &mut w,
        8,
        &|s| {
            s["together"] = json!(true);
            s["apart"] = json!(true);
        },
        422,
    );
    ask(
        &mut w,
        9,
        &|s| {
            s["yard"] = json!("b");
            s["apart"] = json!(true);
        },
        422,
    );
    // More placements than one commit can hold; the team has no limit.
    ask(
        &mut w,
        10,
        &|s| {
            s["crew"] = json!("blue");
            s["loads"] = json!(90_000);
        },
        422,
    );
    w.run(2_000);
    for (request, status) in asked {
        assert_eq!(w.status(request), status, "{}", w.answer(request));
    }
    let again = gang(&w, 1, 12);
    let repeat = w.submit(again, 1_000, 2);
    w.run(1_000);
    assert_eq!(w.status(repeat), 200, "a repeat of an accepted one is answered with its state");
}

#[test]
fn a_gang_that_loses_a_machine_starts_anew_once_all_of_it_is_gone() {
    for seed in 0..4 {
        let mut w = led(seed);
        let uid = running_gang(&mut w, 1, 6, 12_000);
        w.run(3_000);
        let lost = machines_of(&w, &uid)[0].clone();
        w.kill_machine(&lost);
        w.until_done(&uid, 120_000);
        assert_eq!(attempts(&w, &uid), 2, "seed {seed}");
        let first = w.jobs[&uid].attempts.values().next().expect("it ran");
        assert!(first.broken_at.is_some());
        assert!(w.jobs[&uid].saved_ms >= 2_000, "the checkpoints of the first attempt count");
    }
}

#[test]
fn a_gang_on_a_machine_that_hangs_waits_for_its_lease_and_starts_elsewhere() {
    for (seed, hang_ms) in [(0, 3_000), (1, LEASE_MS + 4_000), (2, LEASE_MS * 3)] {
        let mut w = led(seed);
        let uid = running_gang(&mut w, 1, 6, 12_000);
        w.run(2_000);
        let hung = machines_of(&w, &uid)[0].clone();
        w.workers.get_mut(&hung).expect("a machine").hung_until = w.now + hang_ms;
        w.until_done(&uid, 180_000);
        assert!(attempts(&w, &uid) <= 3, "hang of {hang_ms} ms: {}", attempts(&w, &uid));
    }
}

#[test]
fn a_gang_that_loses_a_task_before_it_starts_is_not_left_half_placed() {
    for seed in 0..4 {
        let mut w = led(seed);
        let spec = gang(&w, 1, 6);
        w.submit(spec, 4_000, 0);
        w.until(20_000, "a part waits", |w| w.jobs["job-000001"].starts > 0);
        if let Some(lost) = machines_of(&w, "job-000001").first().cloned() {
            w.kill_machine(&lost);
        }
        w.until_done("job-000001", 120_000);
    }
}

/// A gang of eight of which one machine's tasks wait, and the names of both machines: the one with
/// the tasks that wait, and the one that has not been told yet.
fn half_started(w: &mut World) -> (String, String) {
    let spec = gang(w, 1, 8);
    w.submit(spec, 4_000, 0);
    w.until(20_000, "a machine has its start", |w| w.jobs["job-000001"].ordered > 0);
    let first = machines_of(w, "job-000001")[0].clone();
    let other = w.workers.keys().find(|n| **n != first).expect("two machines").clone();
    assert_eq!(w.jobs["job-000001"].ordered, 4, "the other one has not");
    (first, other)
}

#[test]
fn a_gang_that_loses_a_waiting_task_does_not_sit_out_the_wait_for_it() {
    for seed in 20..24 {
        let mut w = led(seed);
        let (first, _) = half_started(&mut w);
        w.until(10_000, "it waits", |w| w.jobs["job-000001"].starts >= 4);
        // Its process is back at once, and knows nothing.
        w.workers.get_mut(&first).expect("a machine").forget();
        let lost_at = w.now;
        w.until(60_000, "the gang runs", |w| w.jobs["job-000001"].begun_at.is_some());
        let took = w.now - lost_at;
        assert!(took < GANG_WAIT_MS, "seed {seed}: {took}");
    }
}

#[test]
fn places_beside_a_machine_that_fell_silent_are_given_up_before_its_lease_is_over() {
    for seed in 20..24 {
        let mut w = led(seed);
        let (first, silent) = half_started(&mut w);
        w.workers.get_mut(&silent).expect("a machine").cut = true;
        let cut_at = w.now;
        w.until(60_000, "the places are free", |w| !w.workers[&first].is_on("job-000001"));
        assert!(w.now < cut_at + LEASE_MS, "seed {seed}: {}", w.now - cut_at);
        w.workers.get_mut(&silent).expect("a machine").cut = false;
        w.until_done("job-000001", 60_000);
    }
}

#[test]
fn a_start_that_was_lost_on_the_way_is_sent_again_and_completes_the_gang() {
    for seed in 20..24 {
        let mut w = led(seed);
        let (_, other) = half_started(&mut w);
        // The answer with its start does not arrive.
        w.workers.get_mut(&other).expect("a machine").deaf = true;
        w.run(REPORT_MS * 5 / 4);
        w.workers.get_mut(&other).expect("a machine").deaf = false;
        w.until_done("job-000001", 30_000);
        assert_eq!(w.jobs["job-000001"].ordered, 8, "seed {seed}: by the same attempt");
    }
}

#[test]
fn a_gang_is_done_when_one_of_its_machines_says_so() {
    for seed in 20..24 {
        let mut w = led(seed);
        let uid = running_gang(&mut w, 1, 8, 6_000);
        // One machine is cut off while the gang ends, and dies before it can tell.
        let cut = machines_of(&w, &uid)[0].clone();
        w.workers.get_mut(&cut).expect("a machine").cut = true;
        w.until(10_000, "it has ended", |w| !w.jobs["job-000001"].done_tasks.is_empty());
        w.kill_machine(&cut);
        w.until_done(&uid, LEASE_MS / 2);
        w.run(LEASE_MS * 3);
        assert_eq!(w.jobs[&uid].ordered, 8, "seed {seed}: nothing of it was started again");
    }
}

#[test]
fn a_gang_whose_start_does_not_reach_a_machine_gives_its_places_up() {
    let mut w = led(5);
    let names: Vec<String> = w.workers.keys().cloned().collect();
    let spec = gang(&w, 1, 8);
    w.submit(spec, 4_000, 0);
    w.until(20_000, "it is placed", |w| w.state.under("mg/2/place/").len() == 1);
    // One of the machines never hears its start.
    w.workers.get_mut(&names[0]).expect("a machine").deaf = true;
    w.run(GANG_WAIT_MS * 3);
    w.workers.get_mut(&names[0]).expect("a machine").deaf = false;
    w.until_done("job-000001", 180_000);
}

#[test]
fn a_running_gang_outlives_changes_of_leader() {
    for seed in 0..4 {
        let mut w = led(seed);
        let uid = running_gang(&mut w, 1, 6, 30_000);
        for back in [50, 3_000, 800] {
            let leader = w.leader().expect("leads");
            w.crash(leader, back);
            w.run(6_000);
        }
        w.until_done(&uid, 60_000);
        assert_eq!(attempts(&w, &uid), 1, "seed {seed}: a healthy gang is not stopped");
        assert_eq!(w.jobs[&uid].ordered, 6);
    }
}

#[test]
fn a_gang_that_assembles_while_the_leader_changes_runs_once() {
    for seed in 0..12 {
        let mut w = led(seed);
        let spec = gang(&w, 1, 6);
        w.submit(spec, 6_000, 0);
        let wait = 50 + 200 * seed;
        w.run(wait);
        if let Some(leader) = w.leader() {
            w.crash(leader, 100);
        }
        w.until_done("job-000001", 120_000);
        assert_eq!(attempts(&w, "job-000001"), 1, "seed {seed}");
    }
}

#[test]
fn all_controllers_ended_a_gang_goes_on_or_starts_again_whole() {
    for (seed, back) in [(0, 100), (1, 5_000), (2, LEASE_MS + 6_000)] {
        let mut w = led(seed);
        let uid = running_gang(&mut w, 1, 6, 25_000);
        (0..3).for_each(|i| w.crash(i, back + 200 * i as u64));
        w.until_done(&uid, 180_000);
        let most = if back < LEASE_MS { 1 } else { 2 };
        assert!(attempts(&w, &uid) <= most, "back after {back}: {}", attempts(&w, &uid));
        // An attempt that has run and ended with the leases is not started once more.
        assert!(w.jobs[&uid].ordered <= 6 * most as u32, "back after {back}");
    }
}

#[test]
fn a_cancelled_gang_is_gone_in_time_in_every_state() {
    for seed in 0..4 {
        for after in [0, 300, 700, 1_500, 3_000, 6_000] {
            let mut w = led(seed);
            let spec = gang(&w, 1, 6);
            let asked = w.submit(spec, 60_000, 0);
            w.until(2_000, "accepted", |w| w.status(asked) == 201);
            w.run(after);
            let r = w.withdraw("job-000001", 1);
            w.until(2_000, "confirmed", |w| w.status(r) == 200);
            w.run(CANCEL_MS + 5_000);
            assert!(machines_of(&w, "job-000001").is_empty());
        }
    }
}

#[test]
fn a_cancelled_gang_on_a_machine_that_hangs_is_gone_when_its_time_is_up() {
    let mut w = led(4);
    let uid = running_gang(&mut w, 1, 6, u64::MAX);
    let hung = machines_of(&w, &uid)[0].clone();
    w.workers.get_mut(&hung).expect("a machine").hung_until = w.now + CANCEL_MS * 2;
    let leader = w.leader().expect("leads");
    w.withdraw(&uid, (leader + 1) % 3);
    w.run(1_000);
    w.crash(leader, 500);
    w.run(CANCEL_MS * 3);
    assert!(machines_of(&w, &uid).is_empty());
}

#[test]
fn a_gang_on_a_machine_that_is_reclaimed_saves_as_a_whole() {
    let mut w = led(6);
    let mut spec = gang(&w, 1, 6);
    spec["run_guess_s"] = json!(60.0);
    w.submit(spec, 60_000, 0);
    until_runs(&mut w, "job-000001");
    w.run(5_100);
    let taken = machines_of(&w, "job-000001")[0].clone();
    w.workers.get_mut(&taken).expect("a machine").recall_at = Some(w.now + 12_000);
    w.until(20_000, "it was stopped", |w| {
        w.jobs["job-000001"].attempts.values().next().is_some_and(|r| r.halted_at.is_some())
    });
    w.until_done("job-000001", 180_000);
    let first = w.jobs["job-000001"].attempts.values().next().expect("it ran");
    assert!(first.saved, "all of it was told in time");
}

#[test]
fn a_gang_that_makes_room_for_a_service_saves_as_a_whole_and_goes_on_later() {
    let mut w = led(13);
    w.cloud.capacity = 2;
    let mut wide = gang(&w, 1, 8);
    wide["crew"] = json!("blue");
    wide["run_guess_s"] = json!(90.0);
    w.submit(wide, 90_000, 0);
    until_runs(&mut w, "job-000001");
    w.run(35_300);
    let service = w.spec(2, "standing", 2);
    w.submit(service, u64::MAX, 1);
    w.until(30_000, "the service runs", |w| w.running_of("job-000002") == 2);
    let first = w.jobs["job-000001"].attempts.values().next().expect("it ran");
    assert!(first.saved, "all of it was told in time");
    w.run(10_000);
    assert_eq!(w.running_of("job-000001"), 0, "there is no room for all of it");
    w.withdraw("job-000002", 0);
    w.until_done("job-000001", 120_000);
    assert!(w.jobs["job-000001"].saved_ms >= 30_000);
}

#[test]
fn a_gang_in_one_zone_stays_in_one_until_the_last_of_it_is_gone() {
    for seed in 0..4 {
        let mut w = World::fleet(seed, 8);
        w.until(10_000, "a leader", |w| w.leader().is_some());
        w.run(3_000);
        let mut spec = gang(&w, 1, 7);
        spec["together"] = json!(true);
        w.submit(spec, 15_000, 0);
        until_runs(&mut w, "job-000001");
        let lost = machines_of(&w, "job-000001")[0].clone();
        w.kill_machine(&lost);
        w.until_done("job-000001", 180_000);
    }
}

#[test]
fn a_wide_gang_begins_under_a_stream_of_small_jobs() {
    let mut w = led(7);
    w.cloud.capacity = 3;
    let spec = gang(&w, 1, 12);
    w.submit(spec, 3_000, 0);
    let mut n = 100;
    let end = w.now + 240_000;
    while w.jobs["job-000001"].begun_at.is_none() {
        assert!(w.now < end, "it never begins: {}", w.view());
        n += 1;
        let mut small = w.spec(n, "batch", 2);
        small["crew"] = json!("blue");
        w.submit(small, 4_000, n as usize % 3);
        w.run(900);
    }
}

#[test]
fn gangs_that_fail_everywhere_leave_the_machines_to_others() {
    let mut w = led(8);
    let spec = gang(&w, 1, 4);
    w.submit(spec, 3_000, 0);
    w.jobs.get_mut("job-000001").expect("just asked").bad = true;
    w.run(60_000);
    assert!(w.jobs["job-000001"].ordered < 60, "it backs off: {}", w.jobs["job-000001"].ordered);
    let other = w.spec(2, "batch", 4);
    w.submit(other, 2_000, 0);
    w.until_done("job-000002", 30_000);
}

#[test]
fn a_machine_that_fails_its_tasks_does_not_keep_a_gang_from_running() {
    for seed in 0..4 {
        let mut w = World::fleet(seed, 4);
        w.until(10_000, "a leader", |w| w.leader().is_some());
        w.run(3_000);
        let first = w.workers.keys().next().expect("a machine").clone();
        w.workers.get_mut(&first).expect("a machine").sick = true;
        let spec = gang(&w, 1, 8);
        w.submit(spec, 3_000, 0);
        w.until_done("job-000001", 60_000);
    }
}

/// The limits that the fake settings announce.
fn next_limits() -> Value {
    json!({"value_kb": 2.0, "txn_ops": 4, "write_rps": 30.0})
}

#[test]
fn what_was_stored_under_higher_limits_is_divided_and_blocks_nothing() {
    let mut w = World::fleet(9, 130);
    w.until(10_000, "a leader", |w| w.leader().is_some());
    w.run(3_000);
    let mut spec = w.spec(1, "batch", 220);
    spec["crew"] = json!("blue");
    w.submit(spec, 150_000, 0);
    for n in 2..90 {
        let mut spec = w.spec(n, "batch", 3);
        spec["crew"] = json!("blue");
        let uid = spec["uid"].as_str().expect("an id").to_string();
        w.submit(spec, 2_000, n as usize % 3);
        // The first task of each is done soon, the others are not.
        w.jobs.get_mut(&uid).expect("just asked").step_ms = 40_000;
    }
    w.until(60_000, "a task of each is done", |w| {
        w.jobs.values().skip(1).all(|job| !job.done_tasks.is_empty())
    });
    w.run(5_000);
    let largest = |w: &World, prefix: &str| {
        let sizes = w.state.under(prefix).into_iter().map(|(_, data)| data.to_string().len());
        sizes.max().unwrap_or(0)
    };
    for prefix in ["mg/2/place/", "mg/2/done/"] {
        assert!(largest(&w, prefix) > 2_048, "{prefix}: {}", largest(&w, prefix));
    }
    // A version that knows of the limits takes over, one controller after the other.
    w.next_limits = next_limits();
    for i in 0..3 {
        w.crash(i, 500);
        w.run(3_000);
    }
    w.until(20_000, "placements are divided", |w| largest(w, "mg/2/place/") <= 2_048);
    w.state.lowered = Some((2_048, 4));
    // Bitmaps are once a task of theirs has ended.
    w.until(80_000, "bitmaps are divided", |w| largest(w, "mg/2/done/") <= 2_048);
    let jobs = || w.jobs.iter().filter(|(_, job)| job.loads == 3);
    let stored = w.state.under("mg/2/done/");
    let kept = |uid: &str| stored.iter().any(|(_, data)| data.to_string().contains(uid));
    assert!(jobs().all(|(uid, job)| job.done_told.is_some() || kept(uid)), "no bitmap is lost");
    let spec = gang(&w, 500, 12);
    w.submit(spec, 3_000, 0);
    let uids: Vec<String> = w.jobs.keys().cloned().collect();
    for uid in uids {
        w.until_done(&uid, 300_000);
    }
    assert_eq!(w.state.too_large, 0, "nothing of the old size was written");
}

#[test]
fn limits_that_come_without_notice_in_the_settings_stall_nothing() {
    let mut w = World::fleet(10, 60);
    w.until(10_000, "a leader", |w| w.leader().is_some());
    w.run(3_000);
    w.state.lowered = Some((2_048, 4));
    for n in 1..40 {
        let mut spec = w.spec(n, "batch", 4);
        spec["crew"] = json!("blue");
        w.submit(spec, 2_000, n as usize % 3);
    }
    w.run(3_000);
    let mut wide = w.spec(100, "batch", 200);
    wide["crew"] = json!("blue");
    w.submit(wide, 60_000, 0);
    w.until(30_000, "all of it runs", |w| w.running_of("job-000100") == 200);
    assert!(w.state.too_large > 0, "something was refused for its size");
    for n in 1..40 {
        let uid = format!("job-{n:06}");
        if w.jobs[&uid].accepted_at.is_none() {
            let spec = w.jobs[&uid].spec.clone();
            w.submit(spec, 2_000, n as usize % 3);
        }
        w.until_done(&uid, 240_000);
    }
    assert!(w.state.too_large < 20, "refused {} times", w.state.too_large);
}

/// What the leader's status says that a job waits for.
fn waits_for(w: &World, uid: &str) -> String {
    let leader = w.leader().and_then(|l| w.nodes[l].core.as_ref()).expect("a leader");
    let view = json!(leader.status_view(true));
    let lines = view["waiting"].as_array().expect("a list").clone();
    let line = lines.iter().find(|line| line["uid"] == uid);
    line.map_or(String::new(), |line| line["why"].as_str().expect("a reason").to_string())
}

#[test]
fn status_tells_what_a_gang_waits_for() {
    let mut w = led(11);
    let (_, silent) = half_started(&mut w);
    assert!(waits_for(&w, "job-000001").contains("are to start"), "{}", w.view());
    w.workers.get_mut(&silent).expect("a machine").cut = true;
    w.until(LEASE_MS, "it is given up", |w| {
        waits_for(w, "job-000001").contains("of its last attempt")
    });
    w.workers.get_mut(&silent).expect("a machine").cut = false;
    until_runs(&mut w, "job-000001");
    w.run(1_500);
    assert_eq!(waits_for(&w, "job-000001"), "", "it runs");
    let second = gang(&w, 2, 6);
    w.submit(second, 1_000, 0);
    w.run(1_500);
    assert_eq!(waits_for(&w, "job-000002"), "its team is at its limit");
}
