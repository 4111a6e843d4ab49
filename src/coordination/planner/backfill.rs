//! Backfilling: jobs behind the reservation start now if they don't delay it.

use super::allocation::Allocation;
use super::pass::Pass;
use crate::constants::{LATER_PLACEMENTS_PER_PASS, LATER_PLACEMENT_HORIZON_MS};
use crate::protocol::users::Priority;
use std::cmp::Ordering;

/// A job that waits for backfilling, with its next start.
#[derive(Debug, Clone, Copy)]
struct BackfillCandidate {
    job: usize,
    /// `None` if the job can't start now.
    allocation: Option<Allocation>,
    /// Number of placements on the machine when the allocation was computed.
    placements_seen: u32,
}

impl Pass<'_> {
    /// Starts jobs that don't delay the reservation, in order of priority and missed deadlines,
    /// then of penalty factor, then of length.
    pub(super) fn backfill(&mut self, rest: &[usize]) {
        // One allocation per job is computed in advance. Placements only reduce free capacity, so
        // an allocation whose machine has changed since is recomputed only when it is selected.
        let mut candidates: Vec<BackfillCandidate> = Vec::with_capacity(rest.len());
        for &job in rest {
            let allocation = match self.job_view(job).is_gang {
                true => self.immediate_gang_start(job),
                false => self.immediate_start(job),
            };
            candidates.push(self.candidate(job, allocation));
        }
        while !self.is_full() {
            let Some((index, allocation)) = self.best_candidate(&candidates) else { return };
            let BackfillCandidate { job, placements_seen, .. } = candidates[index];
            if self.job_view(job).is_gang {
                // Other jobs may have taken some of its slots, so the whole allocation is
                // recomputed.
                if let Some(gang) = self.immediate_gang_allocation(job) {
                    self.place_gang(job, &gang);
                }
                candidates[index] = self.candidate(job, None);
                continue;
            }
            let still_holds = self.machines[allocation.machine].placements == placements_seen;
            if still_holds && self.is_within_limit(job, 1) {
                self.place(job, allocation);
            }
            let next = self.immediate_start(job);
            candidates[index] = self.candidate(job, next);
        }
    }

    fn candidate(&self, job: usize, allocation: Option<Allocation>) -> BackfillCandidate {
        let placements = |allocation: Allocation| self.machines[allocation.machine].placements;
        BackfillCandidate { job, allocation, placements_seen: allocation.map_or(0, placements) }
    }

    /// The candidate to start next: its index and its allocation.
    fn best_candidate(&self, candidates: &[BackfillCandidate]) -> Option<(usize, Allocation)> {
        let with_allocation = |(index, candidate): (usize, &BackfillCandidate)| {
            candidate.allocation.map(|allocation| (index, candidate.job, allocation))
        };
        let startable = candidates.iter().enumerate().filter_map(with_allocation);
        let best = startable.min_by(|(_, job, allocation), (_, other_job, other)| {
            self.backfill_priority(*job)
                .cmp(&self.backfill_priority(*other_job))
                .then_with(|| by_factor_and_length(allocation, other))
        });
        best.map(|(index, _, allocation)| (index, allocation))
    }

    /// Priority goes before the penalty factor: otherwise a task that was preempted for a service
    /// would take its slot again while the service's image is still being fetched.
    fn backfill_priority(&self, job: usize) -> (Priority, usize) {
        (self.job_view(job).priority, self.jobs[job].missed_deadlines)
    }

    /// The allocation of a whole gang that starts now, as an allocation of its first task, so that
    /// it can be compared with those of other jobs.
    fn immediate_gang_start(&self, job: usize) -> Option<Allocation> {
        let gang =
            self.immediate_gang_allocation(job).filter(|_| self.jobs[job].waiting_tasks > 0)?;
        Some(Allocation {
            machine: gang.tasks_per_machine.first()?.machine,
            start_ms: gang.start_ms,
            length_ms: gang.length_ms,
            penalty_factor: gang.penalty_factor,
        })
    }

    /// The allocation of the job's next task that starts best now. If a later start is better for a
    /// task, for example on a machine that holds its image, the later slot is reserved for it, so
    /// that the job's other tasks don't expect the same slot, and the next task is considered.
    fn immediate_start(&mut self, job: usize) -> Option<Allocation> {
        let now_ms = self.snapshot.now_ms;
        while self.has_task_without_start(job) {
            // After enough later starts have been computed in this pass, only starts now are
            // considered.
            let may_wait = self.later_placements < LATER_PLACEMENTS_PER_PASS;
            let allocation = self.allocate(job, may_wait)?;
            if allocation.start_ms <= now_ms {
                return Some(allocation);
            }
            if allocation.start_ms > now_ms + LATER_PLACEMENT_HORIZON_MS {
                return None;
            }
            self.later_placements += 1;
            self.record_expected_start(job, allocation.start_ms);
            self.reserve_slot(job, allocation.machine, allocation.start_ms, allocation.length_ms);
        }
        None
    }

    /// Whether a task of the job neither runs nor has an expected start.
    fn has_task_without_start(&self, job: usize) -> bool {
        let progress = &self.jobs[job];
        let waiting = progress.waiting_tasks + progress.awaiting_preemption;
        (self.plan.expected_wait_ms[job].len() as u32) < waiting
    }
}

fn by_factor_and_length(left: &Allocation, right: &Allocation) -> Ordering {
    let by_factor = left.penalty_factor.total_cmp(&right.penalty_factor);
    by_factor.then(left.length_ms.cmp(&right.length_ms))
}
