//! Case: a burst of jobs brings a team to its limit, and its tasks use more than that, since amounts are rounded.
mod base;
use base::*;
use std::thread::sleep;
use std::time::Duration;

/// What the team's tasks may use at any time.
const CORES_MAX: f64 = 1.0;
/// What each task takes: one 96th of a core's share, in four decimals.
const CORES: f64 = 0.0104;

fn main() {
    let mut day = tokachi(2.5, 16.0, 36.0);
    day.params = day.params.replace(
        "\"name\":\"yard-ops\",\"cpus\":0.0,\"cpus_max\":0.0",
        &format!("\"name\":\"yard-ops\",\"cpus\":0.0,\"cpus_max\":{CORES_MAX:?}"),
    );
    for _ in 0..5 {
        day.platform.add_machine("obihiro-north", false, 600.0, 0.0);
    }
    (0..3).for_each(|node| day.start(node));
    if !day.wait(15.0, || day.leader().is_some()) {
        day.finish(2, "no controller leads");
    }
    sleep(Duration::from_secs(4));
    // Jobs of 20 tasks: two as usual, six in a burst.
    let jobs = if trouble() { 6 } else { 2 };
    for n in 1..=jobs {
        let fields = format!("\"loads\":20,\"cores\":{CORES:?},\"gpus\":0.0,\"ram_gb\":1.0,\"size_gb\":0.1,\"run_guess_s\":20.0");
        if !day.submit(&[0, 1, 2], &job(&format!("job-{n:06}"), &fields), 10.0) {
            day.finish(2, "a job was not accepted");
        }
    }
    let (mut most, mut at) = (0, 0.0);
    while day.record.now() < 40.0 {
        let runs = day.platform.runs.lock().unwrap();
        let count = runs.iter().filter(|run| run.started_at.is_some() && run.ended_at.is_none()).count();
        drop(runs);
        if count > most {
            (most, at) = (count, day.record.now());
        }
        sleep(Duration::from_millis(50));
    }
    let used = most as f64 * CORES;
    let text = format!("{most} tasks of {CORES} cores ran at {at:.1} s: {used:.4} of {CORES_MAX} cores");
    match used > CORES_MAX {
        false => day.finish(0, &format!("held: {text}")),
        true => day.finish(1, &format!("BROKEN: {text}")),
    }
}
