//! Case: the leader is refused by the state service alone; a job is cancelled through another controller, its
//! user is told so, and the leader then starts tasks of it.
mod base;
use base::*;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;

fn main() {
    let mut day = tokachi(2.5, 16.0, 36.0);
    for _ in 0..8 {
        day.platform.add_machine("obihiro-north", false, 600.0, 0.0);
    }
    (0..3).for_each(|node| day.start(node));
    if !day.wait(15.0, || day.leader().is_some()) {
        day.finish(2, "no controller leads");
    }
    // Every machine has shown the leader's token by then.
    sleep(Duration::from_secs(9));
    let Some(leader) = day.leader() else { day.finish(2, "no controller leads") };
    let others: Vec<usize> = (0..3).filter(|node| *node != leader).collect();
    let mut late: Vec<String> = Vec::new();
    let mut confirmed = 0;
    for round in 0..4 {
        let uid = format!("job-{:06}", round + 1);
        if day.leader() != Some(leader) {
            break;
        }
        if !day.submit(&others, &job(&uid, "\"loads\":40"), 10.0) {
            day.finish(2, "the job was not accepted");
        }
        let of_job = |run: &Run| run.task.starts_with(&format!("{uid}/"));
        // The placements are stored, and the first machine has reported and got its starts.
        if !day.wait(10.0, || day.platform.runs.lock().unwrap().iter().any(of_job)) {
            day.finish(2, "the job did not start");
        }
        if trouble() {
            day.record.line(&format!("{} is refused by the state service", day.nodes[leader].label));
            day.nodes[leader].state_link.refused.store(true, Ordering::SeqCst);
        }
        let answer = day.user(others[0], "POST", &format!("/v1/jobs/{uid}/withdraw"), "", 5.0);
        let told_at = day.record.now();
        if !matches!(&answer, Some((200, body)) if body.get("status").str() == "withdrawn") {
            day.finish(2, "the cancellation was not confirmed");
        }
        confirmed += 1;
        sleep(Duration::from_secs(2));
        if trouble() {
            day.record.line(&format!("{} is served again", day.nodes[leader].label));
            day.nodes[leader].state_link.refused.store(false, Ordering::SeqCst);
        }
        for run in day.platform.runs.lock().unwrap().iter().filter(|run| of_job(run)) {
            // The start came with the answer to a report that was sent after the user was told, so that no start
            // command was in flight then.
            if run.reported_at > told_at {
                late.push(format!(
                    "{} on {}: user told at {told_at:.3}, report sent at {:.3}, answered with the start at {:.3}",
                    run.task, run.machine, run.reported_at, run.commanded_at
                ));
            }
        }
        sleep(Duration::from_secs(6));
    }
    match late.is_empty() {
        true => day.finish(0, &format!("held: {confirmed} jobs cancelled, no task started after its user was told")),
        false => day.finish(1, &format!("BROKEN: {} starts after the cancellation was confirmed: {}", late.len(), late[..late.len().min(5)].join("; "))),
    }
}
