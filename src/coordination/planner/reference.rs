//! Reference implementation of the choice of an allocation, for unit tests only. It examines every
//! machine and every start time anew for each task, without the planner's caches and shortcuts.
//! Each choice that the planner makes in a unit test is compared with it.

use super::allocation::Allocation;
use super::pass::Pass;
use super::threshold_search::{Candidate, ThresholdSearch};
use crate::protocol::users::Priority;

/// Panics unless the reference implementation makes the same choice.
pub(super) fn assert_same_choice(
    pass: &Pass<'_>,
    job: usize,
    may_wait: bool,
    chosen: Option<Allocation>,
) {
    let examined = pass.candidates_examined.get();
    assert_eq!(chosen, pass.reference_allocate(job, may_wait), "job {job}, may wait: {may_wait}");
    assert_eq!(
        pass.candidates_examined.get(),
        examined,
        "the reference implementation counts no candidates"
    );
}

impl Pass<'_> {
    fn reference_fetch_ms(&self, job: usize, machine: usize, start_ms: u64) -> u64 {
        let view = self.job_view(job);
        let images = &self.machines[machine].images;
        match images.iter().find(|known| known.image == view.image) {
            Some(known) => {
                known.ready_in_ms.saturating_sub(start_ms.saturating_sub(self.snapshot.now_ms))
            }
            None => {
                // Images share the machine's fetch rate, so this one is ready only after those that
                // are already being fetched.
                let others_ms = images.iter().map(|known| known.ready_in_ms).max().unwrap_or(0);
                (view.image_gb * self.machine_view(machine).fetch_ms_per_gb) as u64 + others_ms
            }
        }
    }

    fn reference_booting_machine_is_sooner(&self, job: usize, machine: usize) -> bool {
        let view = self.job_view(job);
        let images = &self.machines[machine].images;
        if images.iter().any(|known| known.image == view.image) {
            return false;
        }
        let ahead_ms = images.iter().map(|known| known.ready_in_ms).max().unwrap_or(0);
        let wait = self.snapshot.mean_boot_wait;
        let spot_ms = wait.spot_ms.filter(|_| view.spot_allowed);
        let soonest_ms = wait.on_demand_ms.into_iter().chain(spot_ms).min();
        soonest_ms.is_some_and(|ms| ms < ahead_ms)
    }

    fn reference_allocation_at(
        &self,
        job: usize,
        machine: usize,
        start_ms: u64,
    ) -> Option<Allocation> {
        let view = self.job_view(job);
        let row = &self.machines[machine].row;
        let now_ms = self.snapshot.now_ms;
        let mut free = row.free_at(start_ms);
        if view.priority > Priority::High {
            free -= self.machines[machine].held_by_preemption;
        }
        if !free.fits(&view.need) {
            return None;
        }
        let fetch_ms = self.reference_fetch_ms(job, machine, start_ms);
        if start_ms == now_ms && self.reference_booting_machine_is_sooner(job, machine) {
            return None;
        }
        let run_ms = view.run_ms.max(1);
        let penalized_ms = row.penalized_ms(start_ms, run_ms + fetch_ms, view.bandwidth);
        let length_ms = run_ms + fetch_ms + penalized_ms as u64;
        if start_ms > now_ms && !row.fits_later(start_ms, length_ms, &view.need) {
            return None;
        }
        for reserved in &self.reserved_capacity {
            if reserved.machine == machine && start_ms + length_ms > reserved.start_ms {
                let mut left = row.free_at(reserved.start_ms);
                left -= view.need;
                if !left.fits(&reserved.need) {
                    return None;
                }
            }
        }
        let penalty_factor =
            (run_ms + fetch_ms) as f64 / run_ms as f64 + penalized_ms / run_ms as f64;
        Some(Allocation { machine, start_ms, length_ms, penalty_factor })
    }

    /// Of the allocations that can start now, the one with the least penalty factor and the
    /// preferred one.
    fn reference_best_immediate(&self, job: usize) -> (Option<Candidate>, Option<Candidate>) {
        let now_ms = self.snapshot.now_ms;
        let need = &self.job_view(job).need;
        let mut least_penalty: Option<Candidate> = None;
        let mut preferred: Option<Candidate> = None;
        for &machine in &self.machines_with_capacity {
            if !self.machines[machine].row.free.fits(need) || !self.is_allowed(job, machine) {
                continue;
            }
            let Some(allocation) = self.reference_allocation_at(job, machine, now_ms) else {
                continue;
            };
            let preference = self.preference(job, machine);
            let candidate = Candidate { allocation, preference };
            if preferred.as_ref().is_none_or(|other| preference < other.preference) {
                preferred = Some(candidate);
            }
            let factor = allocation.penalty_factor;
            let is_better = least_penalty.as_ref().is_none_or(|other| {
                factor < other.allocation.penalty_factor
                    || (factor == other.allocation.penalty_factor && preference < other.preference)
            });
            if is_better {
                least_penalty = Some(candidate);
            }
        }
        (least_penalty, preferred)
    }

    fn reference_allocate(&self, job: usize, may_wait: bool) -> Option<Allocation> {
        if !self.is_within_limit(job, 1) {
            return None;
        }
        let (least_penalty, preferred) = self.reference_best_immediate(job);
        let lowest_threshold =
            self.snapshot.thresholds.iter().copied().fold(f64::INFINITY, f64::min);
        if !may_wait
            || least_penalty
                .as_ref()
                .is_some_and(|best| best.allocation.penalty_factor < lowest_threshold)
        {
            return least_penalty.map(|best| best.allocation);
        }
        // For each threshold the earliest allocation below it, with the least factor at that time;
        // if there is none, the one with the least factor of all. First fit is the earliest
        // allocation of all.
        let mut search = ThresholdSearch::new(&self.snapshot.thresholds);
        for candidate in preferred.into_iter().chain(least_penalty) {
            search.add(candidate);
        }
        let bound = least_penalty.map_or(f64::INFINITY, |best| best.allocation.penalty_factor);
        let mut reserved_machine = None;
        if let Some(reserved) =
            self.snapshot.previous_reservation.filter(|reserved| reserved.job == job)
        {
            // The reservation stays on its machine if possible.
            let machine = reserved.machine;
            reserved_machine =
                self.reference_later_allocations(job, machine, bound).next().map(|_| machine);
        }
        for machine in 0..self.snapshot.machines.len() {
            if reserved_machine.is_none_or(|reserved| reserved == machine) {
                self.reference_later_allocations(job, machine, bound).for_each(|allocation| {
                    search.add(Candidate { allocation, preference: self.preference(job, machine) });
                });
            }
        }
        search.best()
    }

    fn reference_later_allocations(
        &self,
        job: usize,
        machine: usize,
        bound: f64,
    ) -> impl Iterator<Item = Allocation> + '_ {
        let now_ms = self.snapshot.now_ms;
        let run_ms = self.job_view(job).run_ms.max(1) as f64;
        let lowest_factor =
            (run_ms + self.reference_fetch_ms(job, machine, u64::MAX) as f64) / run_ms;
        let row = &self.machines[machine].row;
        let mut last_factor = bound;
        let times_ms = if lowest_factor < bound && self.is_allowed(job, machine) {
            &row.change_times_ms[..]
        } else {
            &[]
        };
        times_ms
            .iter()
            .filter(move |time_ms| **time_ms > now_ms)
            .map_while(move |time_ms| {
                // A later start can't lower the factor further.
                if last_factor <= lowest_factor {
                    return None;
                }
                let allocation = self
                    .reference_allocation_at(job, machine, *time_ms)
                    .filter(|allocation| allocation.penalty_factor < last_factor);
                last_factor =
                    allocation.map_or(last_factor, |allocation| allocation.penalty_factor);
                Some(allocation)
            })
            .flatten()
    }
}
