//! Deadline triage: which of the waiting jobs can meet their deadlines together.
//!
//! In overload, serving jobs in order of arrival makes all of them late: every job starts and none
//! completes. So the waiting work is scheduled one job after the other on the total capacity of the
//! machines. Whenever a job would miss its deadline, the job with the most work among those
//! scheduled so far is dropped (Moore's rule, which minimizes the number of late jobs). Jobs with
//! little remaining work are kept, so jobs that have started tend to be completed.

use super::{BootingMachine, JobView, Snapshot};
use crate::constants::{FETCH_TO_RUN_RATIO_MAX, WORK_UNITS_PER_FLEET_MS};
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
    let max_deadlines = missed.iter().copied().max().unwrap_or(0);
    let mut triage =
        Triage { snapshot, capacity: Capacity::new(snapshot, total), total, work_ahead: 0.0 };
    let is_batch = |job: &usize| !snapshot.jobs[*job].is_service;
    let mut candidates: Vec<usize> = order.iter().copied().filter(is_batch).collect();
    for level in 0..=max_deadlines {
        candidates = triage.schedule_level(level, &candidates, &mut missed);
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
    /// Schedules the candidates, each with the deadline of index `level` in its `due_in_ms`.
    /// Records in `missed` which of them meet it, and returns those that don't, in their original
    /// order.
    fn schedule_level(
        &mut self,
        level: usize,
        candidates: &[usize],
        missed: &mut [usize],
    ) -> Vec<usize> {
        let mut kept: BinaryHeap<KeptWork> = BinaryHeap::new();
        let mut late = Vec::new();
        let mut work_scheduled = self.work_ahead;
        for (position, &job) in candidates.iter().enumerate() {
            let work = self.work(job);
            work_scheduled += work;
            let Some(due_in_ms) = self.snapshot.jobs[job].due_in_ms.get(level) else {
                // The job has no further deadline: its work keeps its place in the order and is
                // never dropped.
                missed[job] = missed[job].min(level);
                continue;
            };
            kept.push(((work * WORK_UNITS_PER_FLEET_MS) as u64, position));
            if self.end_ms(job, work_scheduled) <= *due_in_ms {
                continue;
            }
            // A job that would be late even without the other candidates doesn't displace any of
            // them.
            let is_late_alone = self.end_ms(job, self.work_ahead + work) > *due_in_ms;
            let dropped = if is_late_alone {
                kept.retain(|(_, kept_position)| *kept_position != position);
                position
            } else {
                kept.pop().map_or(position, |(_, largest)| largest)
            };
            work_scheduled -= self.work(candidates[dropped]);
            late.push(dropped);
        }
        for (_, position) in kept {
            missed[candidates[position]] = level;
        }
        self.work_ahead = work_scheduled;
        late.sort_unstable();
        late.into_iter().map(|position| candidates[position]).collect()
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
    work_done: f64,
    /// Work that is done per millisecond, relative to the machines that are up now.
    rate: f64,
}

impl Capacity {
    fn new(snapshot: &Snapshot, total: &Resources) -> Capacity {
        let load = RunningLoad::new(snapshot, total);
        let mut rate = load.available_to_batch;
        for job in snapshot.jobs.iter().filter(|job| job.is_service) {
            rate -= job.need.share_of(total) * f64::from(job.waiting_tasks);
        }
        let fetch_share = if load.running > 0.0 { load.fetching / load.running } else { 0.0 };
        Capacity {
            steps: capacity_steps(rate, &snapshot.booting, total),
            fetch_factor: 1.0 + fetch_share.min(FETCH_TO_RUN_RATIO_MAX),
        }
    }

    /// Work of a job's waiting tasks, in milliseconds of the whole fleet.
    fn work(&self, job: &JobView, total: &Resources) -> f64 {
        let work_per_task = job.need.share_of(total) * job.run_ms as f64 * self.fetch_factor;
        f64::from(job.waiting_tasks) * work_per_task
    }

    /// Milliseconds until this much work has been done.
    fn time_for(&self, work: f64) -> u64 {
        let next = self.steps.partition_point(|step| step.work_done <= work).max(1);
        let CapacityStep { at_ms, work_done, rate } = self.steps[next - 1];
        if rate <= 0.0 {
            return u64::MAX;
        }
        (at_ms + (work - work_done) / rate) as u64
    }
}

/// The load of the running tasks, as shares of all machines.
struct RunningLoad {
    /// What services leave to other work.
    available_to_batch: f64,
    /// Load of batch tasks that run.
    running: f64,
    /// Load of batch tasks that have not been reported as running: they wait for their images.
    fetching: f64,
}

impl RunningLoad {
    fn new(snapshot: &Snapshot, total: &Resources) -> RunningLoad {
        let mut load = RunningLoad { available_to_batch: 1.0, running: 0.0, fetching: 0.0 };
        for task in snapshot.machines.iter().flat_map(|machine| &machine.running) {
            let share = task.need.share_of(total);
            match (task.is_service, task.ran_ms) {
                (true, _) => load.available_to_batch -= share,
                (false, Some(_)) => load.running += share,
                (false, None) => load.fetching += share,
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
    let (mut rate, mut at_ms, mut work_done) = (rate_now, 0.0, 0.0);
    let mut steps = vec![CapacityStep { at_ms, work_done, rate: f64::max(rate, 0.0) }];
    for machine in &booting {
        let ready_in_ms = machine.ready_in_ms as f64;
        work_done += (ready_in_ms - at_ms) * f64::max(rate, 0.0);
        at_ms = ready_in_ms;
        rate += machine.total.share_of(total);
        steps.push(CapacityStep { at_ms, work_done, rate: f64::max(rate, 0.0) });
    }
    steps
}

#[cfg(test)]
mod tests;
