//! Deadline triage: which of the waiting jobs can be complete in time, all of them together.
//!
//! In overload arrival order alone makes everyone late: every job begins and none ends. So the
//! work that waits is laid end to end over the machines, and whenever a job would be late, the
//! one with the most work of those laid so far gives way (Moore's rule, which leaves the fewest
//! late). What has little left to place is kept, so that jobs that have begun come to their end.

use super::{BootingMachine, JobView, Snapshot};
use crate::constants::{FETCH_SHARE_MAX, WORK_UNITS};
use crate::protocol::Resources;
use std::collections::BinaryHeap;

/// For each job, how many of the times by which it should be complete it is not expected to
/// meet. `order` are the jobs as they would be served if none were late.
pub(super) fn missed_deadlines(
    snapshot: &Snapshot,
    order: &[usize],
    total: &Resources,
) -> Vec<usize> {
    let deadlines = |job: &JobView| if job.is_service { 0 } else { job.due_in_ms.len() };
    let mut missed: Vec<usize> = snapshot.jobs.iter().map(deadlines).collect();
    let levels = missed.iter().copied().max().unwrap_or(0);
    let mut triage =
        Triage { snapshot, capacity: Capacity::new(snapshot, total), total, work_ahead: 0.0 };
    let is_batch = |job: &usize| !snapshot.jobs[*job].is_service;
    let mut open: Vec<usize> = order.iter().copied().filter(is_batch).collect();
    for level in 0..=levels {
        open = triage.run_level(level, &open, &mut missed);
    }
    missed
}

/// Work of a job that is in time so far: its amount, and the job's position among those looked at.
/// The heap gives the most work first.
type KeptWork = (u64, usize);

/// The work laid over the machines so far.
struct Triage<'a> {
    snapshot: &'a Snapshot,
    capacity: Capacity,
    total: &'a Resources,
    /// Work that goes before, of jobs that meet more of their deadlines.
    work_ahead: f64,
}

impl Triage<'_> {
    /// Lays the work of the jobs that are open, each with its deadline of this level. Notes who meets
    /// it in `missed`, and returns those that are late, in their order.
    fn run_level(&mut self, level: usize, open: &[usize], missed: &mut [usize]) -> Vec<usize> {
        let mut kept: BinaryHeap<KeptWork> = BinaryHeap::new();
        let mut late = Vec::new();
        let mut work_laid = self.work_ahead;
        for (position, &job) in open.iter().enumerate() {
            let work = self.work(job);
            work_laid += work;
            let Some(due_in_ms) = self.snapshot.jobs[job].due_in_ms.get(level) else {
                // None of its deadlines is left to be missed: it has its turn, and is never late.
                missed[job] = missed[job].min(level);
                continue;
            };
            kept.push(((work * WORK_UNITS) as u64, position));
            if self.end_ms(job, work_laid) <= *due_in_ms {
                continue;
            }
            // One that would be late even if it were alone drives nobody out.
            let is_hopeless = self.end_ms(job, self.work_ahead + work) > *due_in_ms;
            let gives_way = if is_hopeless {
                kept.retain(|(_, kept_position)| *kept_position != position);
                position
            } else {
                kept.pop().map_or(position, |(_, largest)| largest)
            };
            work_laid -= self.work(open[gives_way]);
            late.push(gives_way);
        }
        for (_, position) in kept {
            missed[open[position]] = level;
        }
        self.work_ahead = work_laid;
        late.sort_unstable();
        late.into_iter().map(|position| open[position]).collect()
    }

    /// What a job's waiting tasks take: milliseconds of all machines.
    fn work(&self, job: usize) -> f64 {
        self.capacity.work(&self.snapshot.jobs[job], self.total)
    }

    /// Milliseconds until a job has ended whose last task starts when so much work has been begun.
    fn end_ms(&self, job: usize, work: f64) -> u64 {
        self.capacity.time_for(work).saturating_add(self.snapshot.jobs[job].run_ms)
    }
}

/// What the machines can do for work that ends.
struct Capacity {
    steps: Vec<CapacityStep>,
    /// What a task takes of a machine with the time while its image comes, as a factor of its run.
    fetch_factor: f64,
}

/// How work goes on from a time on.
struct CapacityStep {
    /// Milliseconds from now.
    at_ms: f64,
    /// Work that was done by then, in milliseconds of all machines.
    done: f64,
    /// Work that is done in a millisecond, as a share of the machines that are there now.
    rate: f64,
}

impl Capacity {
    fn new(snapshot: &Snapshot, total: &Resources) -> Capacity {
        let load = RunningLoad::new(snapshot, total);
        let mut rate = load.left_by_services;
        for job in snapshot.jobs.iter().filter(|job| job.is_service) {
            rate -= job.need.share_of(total) * f64::from(job.waiting_tasks);
        }
        let fetch_share = if load.ran > 0.0 { load.fetched / load.ran } else { 0.0 };
        Capacity {
            steps: capacity_steps(rate, &snapshot.booting, total),
            fetch_factor: 1.0 + fetch_share.min(FETCH_SHARE_MAX),
        }
    }

    /// What a job's waiting tasks take: milliseconds of all machines.
    fn work(&self, job: &JobView, total: &Resources) -> f64 {
        let work_per_task = job.need.share_of(total) * job.run_ms as f64 * self.fetch_factor;
        f64::from(job.waiting_tasks) * work_per_task
    }

    /// Milliseconds after which so much work has been begun.
    fn time_for(&self, work: f64) -> u64 {
        let next = self.steps.partition_point(|step| step.done <= work).max(1);
        let CapacityStep { at_ms, done, rate } = self.steps[next - 1];
        if rate <= 0.0 {
            return u64::MAX;
        }
        (at_ms + (work - done) / rate) as u64
    }
}

/// What running tasks take of the machines, in shares of all of them.
struct RunningLoad {
    /// What services leave.
    left_by_services: f64,
    /// Of tasks that run.
    ran: f64,
    /// Of tasks that wait for their images.
    fetched: f64,
}

impl RunningLoad {
    fn new(snapshot: &Snapshot, total: &Resources) -> RunningLoad {
        let mut load = RunningLoad { left_by_services: 1.0, ran: 0.0, fetched: 0.0 };
        for task in snapshot.machines.iter().flat_map(|machine| &machine.running) {
            let share = task.need.share_of(total);
            match (task.is_service, task.ran_ms) {
                (true, _) => load.left_by_services -= share,
                (false, Some(_)) => load.ran += share,
                (false, None) => load.fetched += share,
            }
        }
        load
    }
}

/// What is done by when: each machine on its way adds to the rate once it is up.
fn capacity_steps(
    rate_now: f64,
    booting: &[BootingMachine],
    total: &Resources,
) -> Vec<CapacityStep> {
    let mut booting = booting.to_vec();
    booting.sort_unstable_by_key(|machine| machine.ready_in_ms);
    let (mut rate, mut at_ms, mut done) = (rate_now, 0.0, 0.0);
    let mut steps = vec![CapacityStep { at_ms, done, rate: f64::max(rate, 0.0) }];
    for machine in &booting {
        let ready_in_ms = machine.ready_in_ms as f64;
        done += (ready_in_ms - at_ms) * f64::max(rate, 0.0);
        at_ms = ready_in_ms;
        rate += machine.total.share_of(total);
        steps.push(CapacityStep { at_ms, done, rate: f64::max(rate, 0.0) });
    }
    steps
}

#[cfg(test)]
mod tests;
