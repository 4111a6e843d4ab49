//! The order of the queue, and the jobs at its head: they are started now, and the first one that
//! can't start gets the reservation.

use super::deadline_triage::missed_deadlines;
use super::pass::Pass;
use super::shares::permille_of;
use crate::constants::{JOBS_PER_PASS, JOB_TASKS_PER_PASS, STARVING_PLACEMENTS_DIVISOR};
use crate::protocol::users::Priority;

impl Pass<'_> {
    /// Runs the pass: starving jobs first, then preemption, the heads of the queue, and
    /// backfilling.
    pub(super) fn run(&mut self) {
        let mut queue = self.order_jobs();
        let mut starving = self.starving_jobs(&queue);
        queue.truncate(JOBS_PER_PASS);
        starving.truncate(JOBS_PER_PASS);
        if !starving.is_empty() {
            self.starving_budget = (self.free_slots() / STARVING_PLACEMENTS_DIVISOR).max(1);
        }
        for &job in &starving {
            self.start_starving(job);
        }
        self.preempt_for_waiting_jobs(&queue);
        let rest = self.start_heads(&queue);
        self.backfill(&rest);
    }

    /// All jobs in the order in which they are served: by priority, guarantee and share, then by
    /// the number of deadlines that they will miss, then by arrival.
    fn order_jobs(&mut self) -> Vec<usize> {
        let arrival = |pass: &Self, job: usize| pass.job_view(job).arrival;
        let mut queue: Vec<usize> = (0..self.jobs.len()).collect();
        queue.sort_by_key(|&job| (self.priority_key(job), arrival(self, job)));
        let missed = missed_deadlines(self.snapshot, &queue, &self.cluster_total);
        for (job, missed) in self.jobs.iter_mut().zip(missed) {
            job.missed_deadlines = missed;
        }
        queue.sort_by_key(|&job| {
            (self.priority_key(job), self.jobs[job].missed_deadlines, arrival(self, job))
        });
        queue
    }

    /// The part of a job's sort key that goes before its deadlines and its arrival.
    fn priority_key(&self, job: usize) -> (Priority, bool, bool) {
        let view = self.job_view(job);
        (view.priority, !view.within_guarantee, self.is_over_share(job))
    }

    /// Whether the team would use more than its share with one more task of the job.
    fn is_over_share(&self, job: usize) -> bool {
        let share = self.snapshot.teams[self.job_view(job).team].share_permille;
        permille_of(&self.usage_with(job, 1), &self.cluster_total) > share
    }

    /// Jobs that have waited too long, the oldest first among those that have not started, then the
    /// oldest among those that have. They get a part of the free slots first: jobs that are late in
    /// any case would otherwise wait for ever behind jobs that can still meet their deadlines.
    fn starving_jobs(&self, queue: &[usize]) -> Vec<usize> {
        let is_starving = |job: &usize| self.job_view(*job).is_starving();
        let mut starving: Vec<usize> = queue.iter().copied().filter(is_starving).collect();
        starving.sort_by_key(|&job| (self.job_view(job).has_started, self.job_view(job).arrival));
        starving
    }

    /// Number of free slots, each with the minimum that any waiting task takes.
    fn free_slots(&self) -> usize {
        let least_need = self.snapshot.least_need();
        let slots = |machine: &usize| {
            self.machines[*machine].row.free.fit_count(&least_need).max(0) as usize
        };
        self.machines_with_capacity.iter().map(slots).sum()
    }

    /// Starts tasks of a starving job, whatever its priority, until the slots set aside for
    /// starving jobs are used up.
    ///
    /// A gang needs all its slots at once. If other jobs take slots as soon as they fall free, the
    /// gang can never start, so it gets the reservation.
    fn start_starving(&mut self, job: usize) {
        if self.job_view(job).is_gang {
            if self.starving_budget > 0 && self.reserved_capacity.is_empty() {
                self.start_or_reserve_gang(job);
                let placed = self.job_view(job).waiting_tasks - self.jobs[job].waiting_tasks;
                self.starving_budget = self.starving_budget.saturating_sub(placed as usize);
            }
            return;
        }
        while self.starving_budget > 0 && self.jobs[job].waiting_tasks > 0 && !self.is_full() {
            let Some(allocation) = self.allocate(job, false) else { return };
            self.place(job, allocation);
            self.starving_budget -= 1;
        }
    }

    /// Starts the heads of the queue that can start now; the first one that can't gets the
    /// reservation. Returns the jobs that are left for backfilling.
    fn start_heads(&mut self, queue: &[usize]) -> Vec<usize> {
        let mut rest = Vec::new();
        for (position, &job) in queue.iter().enumerate() {
            if !self.reserved_capacity.is_empty() {
                rest.extend_from_slice(&queue[position..]);
                break;
            }
            if self.job_view(job).is_gang {
                self.start_or_reserve_gang(job);
                continue;
            }
            self.start_or_reserve_tasks(job);
            if self.jobs[job].waiting_tasks > 0 {
                rest.push(job);
            }
        }
        rest
    }

    /// Starts a head's tasks, and reserves capacity for the first one that has to wait.
    fn start_or_reserve_tasks(&mut self, job: usize) {
        for _ in 0..JOB_TASKS_PER_PASS {
            if self.jobs[job].waiting_tasks == 0 || self.is_full() {
                return;
            }
            // The team is at its limit, or no machine can run the task: the job is skipped.
            let Some(allocation) = self.allocate(job, true) else { return };
            if allocation.start_ms > self.snapshot.now_ms {
                return self.reserve(job, allocation);
            }
            self.place(job, allocation);
        }
    }

    /// Starts a gang if there is capacity for all its tasks, else reserves capacity for all of
    /// them.
    fn start_or_reserve_gang(&mut self, job: usize) {
        if self.jobs[job].waiting_tasks == 0 || self.is_full() {
            return;
        }
        if let Some(allocation) = self.immediate_gang_allocation(job) {
            self.place_gang(job, &allocation);
        } else if let Some(allocation) = self.later_gang_allocation(job) {
            self.reserve_gang(job, &allocation);
        }
    }
}
