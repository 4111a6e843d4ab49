//! Case: a burst of services fills a machine; one of them is sent to that machine again and again, which refuses it for
//! lack of room, while other machines are empty.
mod base;
use base::*;
use std::thread::sleep;
use std::time::Duration;

/// What each task takes: a third of a GPU, rounded up to four decimals.
const GPUS: f64 = 0.3334;

fn main() {
    let mut day = tokachi(2.5, 16.0, 36.0);
    for _ in 0..5 {
        day.platform.add_machine("obihiro-north", false, 600.0, 0.0);
    }
    (0..3).for_each(|node| day.start(node));
    if !day.wait(15.0, || day.leader().is_some()) {
        day.finish(2, "no controller leads");
    }
    sleep(Duration::from_secs(6));
    let services = if trouble() { 24 } else { 8 };
    for n in 1..=services {
        let fields = format!("\"duty\":\"route-planner\",\"crew\":\"dispatch-desk\",\"shape\":\"standing\",\"rank\":\"production\",\"loads\":1,\
            \"cores\":1.0,\"gpus\":{GPUS:?},\"ram_gb\":4.0,\"size_gb\":1.0,\"lendables\":false,\"run_guess_s\":0.0");
        if !day.submit(&[0, 1, 2], &job(&format!("job-{n:06}"), &fields), 10.0) {
            day.finish(2, "a job was not accepted");
        }
    }
    let accepted_at = day.record.now();
    while day.record.now() < accepted_at + 91.0 {
        sleep(Duration::from_millis(100));
    }
    let runs = day.platform.runs.lock().unwrap().clone();
    let now = day.record.now();
    let mut waiting = Vec::new();
    for n in 1..=services {
        let task = format!("job-{n:06}/0");
        if !runs.iter().any(|run| run.task == task && run.started_at.is_some()) {
            let refused = runs.iter().filter(|run| run.task == task && run.cause == "no_room").count();
            waiting.push(format!("{task} never ran, refused {refused} times, status {}", day.status_of(0, &format!("job-{n:06}"))));
        }
    }
    let machines = day.platform.machines.lock().unwrap().clone();
    let empty = machines.iter().filter(|machine| {
        let is_up = machine.gone_at.is_none() && machine.up_at < accepted_at;
        is_up && !runs.iter().any(|run| run.machine == machine.name && run.ended_at.is_none_or(|at| at > now - 60.0))
    });
    let empty = empty.count();
    match waiting.is_empty() {
        true => day.finish(0, &format!("held: all {services} services run")),
        false if empty == 0 => day.finish(2, &format!("no machine was empty: {}", waiting.join("; "))),
        false => day.finish(1, &format!("BROKEN: 90 s after the last was accepted, {empty} machines empty: {}", waiting.join("; "))),
    }
}
