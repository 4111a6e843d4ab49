//! Allocations that a task may get: what each one costs, and which one the pass chooses.

use super::allocation_cache::AllocationCache;
use super::pass::Pass;
use super::snapshot::{JobOnMachine, JobView};
use super::threshold_search::{Candidate, ThresholdSearch};
use crate::protocol::users::Priority;
use crate::protocol::Resources;

/// Weight of a GPU relative to a core where free capacity is compared.
const GPU_WEIGHT: i64 = 1_000;

/// A machine and a start time for one task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Allocation {
    pub(super) machine: usize,
    pub(super) start_ms: u64,
    /// Run time including the image fetch and the penalty.
    pub(super) length_ms: u64,
    /// Penalty factor, including the image fetch.
    pub(super) penalty_factor: f64,
}

impl Allocation {
    pub(super) fn end_ms(&self) -> u64 {
        self.start_ms + self.length_ms
    }
}

/// Tie-break between otherwise equal allocations: the least is preferred. Fields are compared in
/// the order of declaration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Preference {
    /// For services: number of the job's tasks in the zone. For others: 0.
    tasks_in_zone: u32,
    /// How well the kind of machine suits the work; 0 is best.
    kind_rank: u8,
    /// For services: number of service tasks on the machine, negated. For others: its free
    /// capacity.
    packing: i64,
    /// For services: free capacity of the machine. For others: 0.
    service_free_capacity: i64,
    machine: usize,
}

impl Pass<'_> {
    /// Whether the machine may run one more task of the job, apart from its free capacity.
    pub(super) fn is_allowed(&self, job: usize, machine: usize) -> bool {
        !self.job_view(job).avoided_machines.contains(&machine) && self.is_suitable(job, machine)
    }

    /// The same, or the job may be tried there again although it failed there.
    pub(super) fn is_allowed_or_retryable(&self, job: usize, machine: usize) -> bool {
        let is_retryable = || self.job_view(job).retryable_machines.contains(&machine);
        self.is_allowed(job, machine) || is_retryable() && self.is_suitable(job, machine)
    }

    /// Whether the machine is allowed, whether or not the job avoids it.
    fn is_suitable(&self, job: usize, machine: usize) -> bool {
        let view = self.job_view(job);
        let machine_view = self.machine_view(machine);
        if machine_view.spot && !view.spot_allowed
            || !view.allowed_types[machine_view.type_index]
            || self.machines[machine].free_task_slots == 0
            || machine_view.on_probation && self.machines[machine].placements > 0
        {
            return false;
        }
        if view.zone.is_some_and(|zone| zone != machine_view.zone) {
            return false;
        }
        self.is_zone_allowed(job, machine_view.zone) && machine_view.total.fits(&view.need)
    }

    /// Whether the zone may get one more task of the job, given those that are already placed.
    pub(super) fn is_zone_allowed(&self, job: usize, zone: usize) -> bool {
        let view = self.job_view(job);
        let placed = &self.jobs[job].tasks_per_zone;
        let is_elsewhere =
            || placed.iter().enumerate().any(|(other, tasks)| other != zone && *tasks > 0);
        placed[zone] < view.max_tasks_per_zone && !(view.one_zone && is_elsewhere())
    }

    /// Milliseconds that a task which starts at `start_ms` waits until its image is cached.
    pub(super) fn fetch_ms(&self, job: usize, machine: usize, start_ms: u64) -> u64 {
        let view = self.job_view(job);
        let planned = &self.machines[machine];
        if let Some(image) = planned.image(view.image) {
            return image.ready_in_ms.saturating_sub(start_ms.saturating_sub(self.snapshot.now_ms));
        }
        // Images share the machine's fetch rate, so this one is ready only after those that are
        // already being fetched.
        let fetch_ms = (view.image_gb * self.machine_view(machine).fetch_ms_per_gb) as u64;
        fetch_ms + planned.images_ready_in_ms
    }

    /// Whether the task's image would have to wait for other images on this machine, while a
    /// booting machine with nothing to fetch is expected to be up before these are cached. Without
    /// this rule, the first machines of a starting fleet get all waiting tasks with up to four
    /// images each, and the last image takes minutes to arrive.
    pub(super) fn booting_machine_is_sooner(&self, job: usize, machine: usize) -> bool {
        let view = self.job_view(job);
        let planned = &self.machines[machine];
        let wait = self.snapshot.mean_boot_wait;
        let spot_ms = wait.spot_ms.filter(|_| view.spot_allowed);
        let soonest_ms = wait.on_demand_ms.into_iter().chain(spot_ms).min();
        soonest_ms.is_some_and(|ms| ms < planned.images_ready_in_ms)
            && planned.image(view.image).is_none()
    }

    /// The allocation on a machine at a start time.
    pub(super) fn allocation_at(
        &self,
        job: usize,
        machine: usize,
        start_ms: u64,
    ) -> Option<Allocation> {
        let view = self.job_view(job);
        let row = &self.machines[machine].row;
        let now_ms = self.snapshot.now_ms;
        self.candidates_examined.set(self.candidates_examined.get() + 1);
        if !self.free_for(view, machine, start_ms).fits(&view.need) {
            return None;
        }
        let fetch_ms = self.fetch_ms(job, machine, start_ms);
        if start_ms == now_ms && self.booting_machine_is_sooner(job, machine) {
            return None;
        }
        let run_ms = view.run_ms.max(1);
        let penalized_ms = row.penalized_ms(start_ms, run_ms + fetch_ms, view.bandwidth);
        let length_ms = run_ms + fetch_ms + penalized_ms as u64;
        if start_ms > now_ms && !row.fits_later(start_ms, length_ms, &view.need) {
            return None;
        }
        if self.delays_reservation(view, machine, start_ms + length_ms) {
            return None;
        }
        let penalty_factor = penalty_factor(run_ms, fetch_ms, penalized_ms);
        Some(Allocation { machine, start_ms, length_ms, penalty_factor })
    }

    /// Free capacity of a machine from `start_ms` on for a job of this priority.
    pub(super) fn free_for(&self, job: &JobView, machine: usize, start_ms: u64) -> Resources {
        let planned = &self.machines[machine];
        // The end of each running task is later than now, so the end times needn't be searched.
        let mut free = match start_ms <= self.snapshot.now_ms {
            true => planned.row.free,
            false => planned.row.free_at(start_ms),
        };
        if job.priority > Priority::High {
            free -= planned.held_by_preemption;
        }
        free
    }

    /// Whether a task of the job that ends at `end_ms` takes reserved capacity.
    fn delays_reservation(&self, job: &JobView, machine: usize, end_ms: u64) -> bool {
        let row = &self.machines[machine].row;
        self.reserved_capacity
            .iter()
            .filter(|reserved| reserved.machine == machine && end_ms > reserved.start_ms)
            .any(|reserved| {
                let mut left = row.free_at(reserved.start_ms);
                left -= job.need;
                !left.fits(&reserved.need)
            })
    }

    /// The tie-break between otherwise equal allocations. Services are packed onto machines that
    /// already run services, in the zone with fewer tasks of the job. Other work first fills the
    /// remaining capacity of those machines, which are kept in any case, then uses spot machines if
    /// it may and on-demand ones if it may not. Within each kind it takes the fullest machine first,
    /// so that whole machines become idle.
    pub(super) fn preference(&self, job: usize, machine: usize) -> Preference {
        let view = self.job_view(job);
        let machine_view = self.machine_view(machine);
        let free = self.machines[machine].row.free;
        let free_capacity = free.gpu * GPU_WEIGHT + free.cpu;
        let service_tasks = self.machines[machine].service_tasks;
        if view.is_service {
            return Preference {
                tasks_in_zone: self.jobs[job].tasks_per_zone[machine_view.zone],
                kind_rank: u8::from(machine_view.spot),
                packing: -service_tasks,
                service_free_capacity: free_capacity,
                machine,
            };
        }
        let kind_rank = match (service_tasks > 0, view.spot_allowed == machine_view.spot) {
            (true, _) => 0,
            (false, true) => 1,
            (false, false) => 2,
        };
        Preference {
            tasks_in_zone: 0,
            kind_rank,
            packing: free_capacity,
            service_free_capacity: 0,
            machine,
        }
    }

    /// Runs LessConsume Threshold for every threshold and returns the allocation with the least
    /// slowdown.
    ///
    /// If an allocation can start now with a factor below all thresholds, every threshold yields
    /// it. Later allocations are computed only if there is none: with hundreds of machines, they
    /// are most of the work.
    ///
    /// Machines where the job failed are tried again only if it can't start elsewhere now.
    pub(super) fn allocate(&mut self, job: usize, may_wait: bool) -> Option<Allocation> {
        if !self.is_within_limit(job, 1) {
            return None;
        }
        let mut allocation_cache = std::mem::take(&mut self.allocation_cache);
        allocation_cache.set_context(self.cache_context(job), self.machines.len());
        let chosen = self.choose(job, may_wait, &mut allocation_cache);
        self.allocation_cache = allocation_cache;
        #[cfg(test)]
        super::reference::assert_same_choice(self, job, may_wait, chosen);
        match chosen {
            Some(allocation) if allocation.start_ms <= self.snapshot.now_ms => chosen,
            _ => self.retry_allocation(job).or(chosen),
        }
    }

    /// The best allocation that starts now on a machine where the job failed before. Each such machine gets
    /// one task in a pass.
    fn retry_allocation(&self, job: usize) -> Option<Allocation> {
        let machines = &self.job_view(job).retryable_machines;
        let untried = machines.iter().filter(|machine| {
            !self.plan.placements.contains(&JobOnMachine { job, machine: **machine })
        });
        let candidates = untried.filter_map(|&machine| {
            let allocation = self
                .is_suitable(job, machine)
                .then(|| self.allocation_at(job, machine, self.snapshot.now_ms))??;
            Some(Candidate { allocation, preference: self.preference(job, machine) })
        });
        let best = candidates.reduce(|best, other| match other.has_lower_penalty_than(&best) {
            true => other,
            false => best,
        });
        best.map(|candidate| candidate.allocation)
    }

    /// Chooses for [`Pass::allocate`] between the allocations on all machines.
    fn choose(
        &self,
        job: usize,
        may_wait: bool,
        allocation_cache: &mut AllocationCache,
    ) -> Option<Allocation> {
        let BestImmediate { least_penalty, preferred } = self.best_immediate(job, allocation_cache);
        let lowest_threshold =
            self.snapshot.thresholds.iter().copied().fold(f64::INFINITY, f64::min);
        let least_factor = least_penalty.map(|candidate| candidate.allocation.penalty_factor);
        if !may_wait || least_factor.is_some_and(|factor| factor < lowest_threshold) {
            return least_penalty.map(|candidate| candidate.allocation);
        }
        let mut search = ThresholdSearch::new(&self.snapshot.thresholds);
        for candidate in preferred.into_iter().chain(least_penalty) {
            search.add(candidate);
        }
        let bound = least_factor.unwrap_or(f64::INFINITY);
        let mut reserved_machine = None;
        let reserved = self.snapshot.previous_reservation;
        if let Some(reserved) = reserved.filter(|reserved| reserved.job == job) {
            // The reservation stays on its machine if possible.
            let machine = reserved.machine;
            reserved_machine =
                (!allocation_cache.later(self, job, machine, bound).is_empty()).then_some(machine);
        }
        for machine in 0..self.machines.len() {
            if reserved_machine.is_some_and(|reserved| reserved != machine) {
                continue;
            }
            for &allocation in allocation_cache.later(self, job, machine, bound) {
                search.add(Candidate { allocation, preference: self.preference(job, machine) });
            }
        }
        search.best()
    }

    /// Of the allocations that can start now, the one with the least penalty factor and the
    /// preferred one.
    fn best_immediate(&self, job: usize, allocation_cache: &mut AllocationCache) -> BestImmediate {
        let mut best = BestImmediate { least_penalty: None, preferred: None };
        for &machine in &self.machines_with_capacity {
            let Some(allocation) = allocation_cache.immediate(self, job, machine) else { continue };
            let candidate = Candidate { allocation, preference: self.preference(job, machine) };
            if best.preferred.is_none_or(|other| candidate.preference < other.preference) {
                best.preferred = Some(candidate);
            }
            if best.least_penalty.is_none_or(|other| candidate.has_lower_penalty_than(&other)) {
                best.least_penalty = Some(candidate);
            }
        }
        best
    }

    /// The allocation on a machine that starts now, if the job may run there.
    pub(super) fn immediate_allocation(&self, job: usize, machine: usize) -> Option<Allocation> {
        let fits = self.machines[machine].row.free.fits(&self.job_view(job).need);
        if !fits || !self.is_allowed(job, machine) {
            return None;
        }
        self.allocation_at(job, machine, self.snapshot.now_ms)
    }

    /// Later allocations on a machine: the earliest one, and each later one with a lower penalty
    /// factor than those before it. All factors are below `bound`.
    pub(super) fn later_allocations(
        &self,
        job: usize,
        machine: usize,
        bound: f64,
    ) -> impl Iterator<Item = Allocation> + '_ {
        let now_ms = self.snapshot.now_ms;
        let run_ms = self.job_view(job).run_ms.max(1) as f64;
        let lowest_factor = (run_ms + self.fetch_ms(job, machine, u64::MAX) as f64) / run_ms;
        let times_ms = match lowest_factor < bound && self.is_allowed(job, machine) {
            true => &self.machines[machine].row.change_times_ms[..],
            false => &[],
        };
        let mut last_factor = bound;
        times_ms
            .iter()
            .filter(move |time_ms| **time_ms > now_ms)
            .map_while(move |time_ms| {
                // A later start can't lower the factor further.
                if last_factor <= lowest_factor {
                    return None;
                }
                let allocation = self.allocation_at(job, machine, *time_ms);
                let lower = allocation.filter(|later| later.penalty_factor < last_factor);
                last_factor = lower.map_or(last_factor, |later| later.penalty_factor);
                Some(lower)
            })
            .flatten()
    }
}

/// The best allocations that can start now.
struct BestImmediate {
    least_penalty: Option<Candidate>,
    preferred: Option<Candidate>,
}

/// The paper's penalty factor (section 3.3), with the time to fetch the image included.
pub(super) fn penalty_factor(run_ms: u64, fetch_ms: u64, penalized_ms: f64) -> f64 {
    (run_ms + fetch_ms) as f64 / run_ms as f64 + penalized_ms / run_ms as f64
}
