//! Backfilling: jobs behind the reservation start now if they don't delay it.

use super::allocation::Allocation;
use super::pass::Pass;
use crate::constants::{LATER_PLACEMENTS_PER_PASS, LATER_PLACEMENT_HORIZON_MS};
use crate::protocol::users::Priority;
use std::cmp::Ordering;

/// What a job would start next.
#[derive(Debug, Clone, Copy)]
struct Choice {
    job: usize,
    allocation: Option<Allocation>,
    /// Placements on its machine when the choice was worked out.
    placements_seen: u32,
}

impl Pass<'_> {
    /// Starts jobs now that don't delay the reservation, by penalty factor, then length.
    pub(super) fn backfill(&mut self, rest: &[usize]) {
        // One computed choice per job. What is placed only takes room, so a choice whose
        // machine has changed since is worked out anew only when its turn comes.
        let mut choices: Vec<Choice> = Vec::with_capacity(rest.len());
        for &job in rest {
            let allocation = match self.job_view(job).is_gang {
                true => self.gang_start_now(job),
                false => self.start_now(job),
            };
            choices.push(self.choice(job, allocation));
        }
        while !self.is_full() {
            let Some((index, allocation)) = self.next_choice(&choices) else { return };
            let Choice { job, placements_seen, .. } = choices[index];
            if self.job_view(job).is_gang {
                // Others may have taken some of its places: it is worked out anew as a whole.
                if let Some(gang) = self.gang_now(job) {
                    self.place_gang(job, &gang);
                }
                choices[index] = self.choice(job, None);
                continue;
            }
            let still_holds = self.machines[allocation.machine].placements == placements_seen;
            if still_holds && self.is_within_limit(job, 1) {
                self.place(job, allocation);
            }
            let next = self.start_now(job);
            choices[index] = self.choice(job, next);
        }
    }

    fn choice(&self, job: usize, allocation: Option<Allocation>) -> Choice {
        let placements = |allocation: Allocation| self.machines[allocation.machine].placements;
        Choice { job, allocation, placements_seen: allocation.map_or(0, placements) }
    }

    /// The choice whose turn it is: its position, and what it would start.
    fn next_choice(&self, choices: &[Choice]) -> Option<(usize, Allocation)> {
        let with_allocation = |(index, choice): (usize, &Choice)| {
            choice.allocation.map(|allocation| (index, choice.job, allocation))
        };
        let open = choices.iter().enumerate().filter_map(with_allocation);
        let best = open.min_by(|(_, job, allocation), (_, other_job, other)| {
            self.backfill_turn(*job)
                .cmp(&self.backfill_turn(*other_job))
                .then_with(|| by_factor_and_length(allocation, other))
        });
        best.map(|(index, _, allocation)| (index, allocation))
    }

    /// The rank first: else what was stopped for a service takes its place again
    /// while the service's image is still to come.
    fn backfill_turn(&self, job: usize) -> (Priority, usize) {
        (self.job_view(job).priority, self.jobs[job].missed_deadlines)
    }

    /// The allocation of a gang that starts now, as that of its first task: what its turn among
    /// other jobs depends on.
    fn gang_start_now(&self, job: usize) -> Option<Allocation> {
        let gang = self.gang_now(job).filter(|_| self.jobs[job].waiting_tasks > 0)?;
        Some(Allocation {
            machine: gang.shares.first()?.machine,
            start_ms: gang.start_ms,
            length_ms: gang.length_ms,
            penalty_factor: gang.penalty_factor,
        })
    }

    /// The allocation of the job's next task that starts now, if that is its best. Tasks
    /// that do better to wait, for a machine that holds their image, say, claim their place,
    /// so that not all of them count on the same one.
    fn start_now(&mut self, job: usize) -> Option<Allocation> {
        let now_ms = self.snapshot.now_ms;
        while self.has_task_without_place(job) {
            // With enough claims worked out, only what can start now is of interest.
            let may_wait = self.claims_made < LATER_PLACEMENTS_PER_PASS;
            let allocation = self.allocate(job, may_wait)?;
            if allocation.start_ms <= now_ms {
                return Some(allocation);
            }
            if allocation.start_ms > now_ms + LATER_PLACEMENT_HORIZON_MS {
                return None;
            }
            self.claims_made += 1;
            self.expect_start(job, allocation.start_ms);
            self.claim(job, allocation.machine, allocation.start_ms, allocation.length_ms);
        }
        None
    }

    /// Whether a task of the job neither runs nor counts on a place.
    fn has_task_without_place(&self, job: usize) -> bool {
        let progress = &self.jobs[job];
        let waiting = progress.waiting_tasks + progress.awaiting_room;
        (self.plan.expected_wait_ms[job].len() as u32) < waiting
    }
}

fn by_factor_and_length(left: &Allocation, right: &Allocation) -> Ordering {
    let by_factor = left.penalty_factor.total_cmp(&right.penalty_factor);
    by_factor.then(left.length_ms.cmp(&right.length_ms))
}
