//! Case: a machine fails the tasks that it starts for some seconds; a job that failed there once is never started
//! there again, though that machine is the only one with room and is sound by then.
mod base;
use base::*;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;

const MACHINES: usize = 5;
/// Each machine has 8 GPUs; with one service less than fills them all, one GPU is free.
const SERVICES: usize = MACHINES * 8 - 1;

fn main() {
    let mut day = tokachi(2.5, 16.0, 36.0);
    day.platform.capacity.store(MACHINES as u64, Ordering::SeqCst);
    for _ in 0..MACHINES {
        day.platform.add_machine("obihiro-north", false, 600.0, 0.0);
    }
    (0..3).for_each(|node| day.start(node));
    if !day.wait(15.0, || day.leader().is_some()) {
        day.finish(2, "no controller leads");
    }
    sleep(Duration::from_secs(1));
    for n in 1..=SERVICES {
        let fields = "\"duty\":\"route-planner\",\"crew\":\"dispatch-desk\",\"shape\":\"standing\",\"rank\":\"production\",\"loads\":1,\
            \"cores\":5.0,\"gpus\":1.0,\"ram_gb\":38.0,\"size_gb\":0.5,\"lendables\":false,\"run_guess_s\":0.0";
        if !day.submit(&[0, 1, 2], &job(&format!("job-{n:06}"), fields), 10.0) {
            day.finish(2, "a service was not accepted");
        }
    }
    let on = |machine: &str| {
        let runs = day.platform.runs.lock().unwrap();
        runs.iter().filter(|run| run.machine == machine && run.started_at.is_some() && run.ended_at.is_none()).count()
    };
    let names: Vec<String> = (1..=MACHINES).map(|n| format!("n-{n:06}")).collect();
    if !day.wait(15.0, || names.iter().map(|name| on(name)).sum::<usize>() == SERVICES) {
        day.finish(2, "the services did not all start");
    }
    let with_room = names.iter().find(|name| on(name) == 7).cloned();
    let Some(with_room) = with_room else { day.finish(2, "no machine has one free GPU") };
    day.record.line(&format!("{with_room} has one free GPU, all others none"));
    if trouble() {
        day.record.line(&format!("{with_room} fails every task that it starts from now on"));
        day.platform.sick.lock().unwrap().push(with_room.clone());
    }
    let uid = "job-000100";
    if !day.submit(&[0, 1, 2], &job(uid, "\"size_gb\":0.5,\"run_guess_s\":10.0"), 10.0) {
        day.finish(2, "the job was not accepted");
    }
    let cause = |wanted: &str| {
        let runs = day.platform.runs.lock().unwrap();
        runs.iter().any(|run| run.task.starts_with(uid) && run.cause == wanted)
    };
    if trouble() {
        if !day.wait(10.0, || cause("error")) {
            day.finish(2, "the job was not started on that machine");
        }
        sleep(Duration::from_secs(1));
        day.record.line(&format!("{with_room} is sound again"));
        day.platform.sick.lock().unwrap().clear();
    }
    let sound_since = day.record.now();
    let (mut room_throughout, mut done) = (true, false);
    while day.record.now() < sound_since + 90.5 && !done {
        done = cause("done");
        room_throughout &= done || on(&with_room) <= 8 && names.iter().map(|name| on(name)).sum::<usize>() <= SERVICES + 1;
        sleep(Duration::from_millis(100));
    }
    let starts = day.platform.runs.lock().unwrap().iter().filter(|run| run.task.starts_with(uid)).count();
    let status = day.status_of(0, uid);
    let waited = day.record.now() - sound_since;
    let has_room = room_throughout && on(&with_room) == 7;
    match done {
        true => day.finish(0, &format!("held: the job was done after {waited:.1} s")),
        false if !has_room => day.finish(2, "the machine had no room"),
        false => day.finish(1, &format!("BROKEN: {uid} was started {starts} time(s), failed, and waits for 90 s beside a free GPU of {with_room}; its status is {status}")),
    }
}
