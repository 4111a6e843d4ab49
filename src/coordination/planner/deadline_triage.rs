//! Deadline triage: which of the waiting jobs can meet their deadlines together.
//!
//! In overload, serving jobs in order of arrival makes all of them late: every job starts and none
//! completes. So the waiting work is scheduled one job after the other on the total capacity of the
//! machines. Whenever a job would miss its deadline, the job with the most work among those
//! scheduled so far is dropped (Moore's rule, which minimizes the number of late jobs). Jobs with
//! little remaining work are kept, so jobs that have started tend to be completed.

use super::{BootingMachine, JobView, Snapshot};
use crate::constants::{FETCH_SHARE_MAX, WORK_UNITS};
use crate::protocol::Resources;
use std::collections::BinaryHeap;

/// For each job, the number of its deadlines that it is not expected to meet. `order` is the order
/// in which the jobs would be served if none were late.
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

/// A job that meets its deadline so far: its work, and its position among the candidates. The heap
/// returns the job with the most work first.
type KeptWork = (u64, usize);

/// The state of the triage.
struct Triage<'a> {
    snapshot: &'a Snapshot,
    capacity: Capacity,
    total: &'a Resources,
    /// Work that goes before that of the candidates: the total of the jobs kept at earlier levels.
    work_ahead: f64,
}

impl Triage<'_> {
    /// Schedules the candidates, each with its deadline number `level`. Records in `missed` which
    /// of them meet it, and returns those that don't, in their original order.
    fn run_level(&mut self, level: usize, open: &[usize], missed: &mut [usize]) -> Vec<usize> {
        let mut kept: BinaryHeap<KeptWork> = BinaryHeap::new();
        let mut late = Vec::new();
        let mut work_laid = self.work_ahead;
        for (position, &job) in open.iter().enumerate() {
            let work = self.work(job);
            work_laid += work;
            let Some(due_in_ms) = self.snapshot.jobs[job].due_in_ms.get(level) else {
                // The job has no further deadline: its work keeps its place in the order and is
                // never dropped.
                missed[job] = missed[job].min(level);
                continue;
            };
            kept.push(((work * WORK_UNITS) as u64, position));
            if self.end_ms(job, work_laid) <= *due_in_ms {
                continue;
            }
            // A job that would be late even without the other candidates doesn't displace any of
            // them.
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

    /// Work of a job's waiting tasks, in milliseconds of the whole fleet.
    fn work(&self, job: usize) -> f64 {
        self.capacity.work(&self.snapshot.jobs[job], self.total)
    }

    /// Milliseconds until the job ends, if its last task starts when this much work has been done.
    fn end_ms(&self, job: usize, work: f64) -> u64 {
        self.capacity.time_for(work).saturating_add(self.snapshot.jobs[job].run_ms)
    }
}

/// The capacity that is available to batch work.
struct Capacity {
    steps: Vec<CapacityStep>,
    /// Factor by which the time to fetch the image lengthens the time that a task occupies its
    /// machine.
    fetch_factor: f64,
}

/// Capacity from a time on, up to the next step.
struct CapacityStep {
    /// Milliseconds from now.
    at_ms: f64,
    /// Work that is done by then, in milliseconds of the whole fleet.
    done: f64,
    /// Work that is done per millisecond, relative to the machines that are up now.
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

    /// Work of a job's waiting tasks, in milliseconds of the whole fleet.
    fn work(&self, job: &JobView, total: &Resources) -> f64 {
        let work_per_task = job.need.share_of(total) * job.run_ms as f64 * self.fetch_factor;
        f64::from(job.waiting_tasks) * work_per_task
    }

    /// Milliseconds until this much work has been done.
    fn time_for(&self, work: f64) -> u64 {
        let next = self.steps.partition_point(|step| step.done <= work).max(1);
        let CapacityStep { at_ms, done, rate } = self.steps[next - 1];
        if rate <= 0.0 {
            return u64::MAX;
        }
        (at_ms + (work - done) / rate) as u64
    }
}

/// The load of the running tasks, as shares of all machines.
struct RunningLoad {
    /// What services leave to other work.
    left_by_services: f64,
    /// Load of batch tasks that run.
    ran: f64,
    /// Load of batch tasks that have not been reported as running: they wait for their images.
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

/// The capacity over time: each booting machine adds to the rate once it is up.
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
