//! Which of the waiting jobs can be complete in time, all of them together.
//!
//! In overload arrival order alone makes everyone late: every job begins and none ends. So the
//! work that waits is laid end to end over the machines, and whenever a job would be late, the
//! one with the most work of those laid so far gives way (Moore's rule, which leaves the fewest
//! late). What has little left to place is kept, so that jobs that have begun come to their end.

use super::planner::{JobView, Snapshot};
use crate::constants::{FETCHING_MOST, WORK_UNITS};
use crate::protocol::Resources;
use std::collections::BinaryHeap;

/// For each job, how many of the times by which it should be complete it is not expected to
/// meet. `order` are the jobs as they would be served if none were late.
pub fn missed_deadlines(s: &Snapshot, order: &[usize], total: &Resources) -> Vec<usize> {
    let times = |j: &JobView| if j.is_service { 0 } else { j.due_in_ms.len() };
    let mut missed: Vec<usize> = s.jobs.iter().map(times).collect();
    let room = Room::new(s, total);
    let levels = missed.iter().copied().max().unwrap_or(0);
    // Work that goes before, of jobs that meet more of their times.
    let mut ahead = 0.0;
    let mut open: Vec<usize> = order.iter().copied().filter(|j| !s.jobs[*j].is_service).collect();
    for level in 0..=levels {
        let mut kept: BinaryHeap<(u64, usize)> = BinaryHeap::new();
        let mut late = Vec::new();
        let mut work = ahead;
        for (n, &j) in open.iter().enumerate() {
            let job = &s.jobs[j];
            let Some(left) = job.due_in_ms.get(level) else {
                // None of its times is left to be missed: it has its turn, and is never late.
                work += room.work(job, total);
                missed[j] = missed[j].min(level);
                continue;
            };
            let mine = room.work(job, total);
            work += mine;
            kept.push(((mine * WORK_UNITS) as u64, n));
            if room.time_for(work).saturating_add(job.run_ms) <= *left {
                continue;
            }
            // One that would be late even if it were alone drives nobody out.
            let hopeless = room.time_for(ahead + mine).saturating_add(job.run_ms) > *left;
            let out = if hopeless { n } else { kept.pop().map_or(n, |(_, n)| n) };
            if hopeless {
                kept.retain(|(_, k)| *k != n);
            }
            work -= room.work(&s.jobs[open[out]], total);
            late.push(out);
        }
        for (_, n) in kept {
            missed[open[n]] = level;
        }
        ahead = work;
        late.sort_unstable();
        open = late.into_iter().map(|n| open[n]).collect();
    }
    missed
}

/// What the machines can do for work that ends.
struct Room {
    /// From a time on, in milliseconds from now: what was done by then, and how fast it goes
    /// on, in shares of the machines that are there now.
    steps: Vec<(f64, f64, f64)>,
    /// What a task takes of a machine beyond its run, while its image comes, as a factor.
    fetching: f64,
}

impl Room {
    fn new(s: &Snapshot, total: &Resources) -> Room {
        let mut rate = 1.0;
        let (mut ran, mut fetched) = (0.0, 0.0);
        for r in s.machines.iter().flat_map(|m| &m.running) {
            let share = r.need.share_of(total);
            match (r.is_service, r.ran_ms) {
                (true, _) => rate -= share,
                (false, Some(_)) => ran += share,
                (false, None) => fetched += share,
            }
        }
        for j in s.jobs.iter().filter(|j| j.is_service) {
            rate -= j.need.share_of(total) * f64::from(j.waiting_tasks);
        }
        let mut coming = s.booting.clone();
        coming.sort_unstable_by_key(|(ms, _)| *ms);
        let (mut at, mut done) = (0.0, 0.0);
        let mut steps = vec![(at, done, f64::max(rate, 0.0))];
        for (ms, with) in &coming {
            let to = *ms as f64;
            done += (to - at) * f64::max(rate, 0.0);
            at = to;
            rate += with.share_of(total);
            steps.push((at, done, f64::max(rate, 0.0)));
        }
        let fetching = if ran > 0.0 { fetched / ran } else { 0.0 };
        Room { steps, fetching: 1.0 + fetching.min(FETCHING_MOST) }
    }

    /// What a job's waiting tasks take: milliseconds of all machines.
    fn work(&self, job: &JobView, total: &Resources) -> f64 {
        let each = job.need.share_of(total) * job.run_ms as f64 * self.fetching;
        f64::from(job.waiting_tasks) * each
    }

    /// Milliseconds after which so much work has been begun.
    fn time_for(&self, work: f64) -> u64 {
        let n = self.steps.partition_point(|(_, done, _)| *done <= work).max(1);
        let (at, done, rate) = self.steps[n - 1];
        if rate <= 0.0 {
            return u64::MAX;
        }
        (at + (work - done) / rate) as u64
    }
}

#[cfg(test)]
mod tests;
