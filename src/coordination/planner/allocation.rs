//! The places that a task may take: what each costs, and which of them the pass chooses.

use super::offers::Offers;
use super::pass::Pass;
use super::snapshot::JobView;
use super::threshold_search::{Candidate, ThresholdSearch};
use crate::protocol::users::Priority;
use crate::protocol::Resources;

/// How much more a GPU counts than a core where free room is compared.
const GPU_WEIGHT: i64 = 1_000;

/// A place and a time for one task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Allocation {
    pub(super) machine: usize,
    pub(super) start_ms: u64,
    /// Run time with image and penalty.
    pub(super) length_ms: u64,
    /// Penalty factor, the image counted in.
    pub(super) penalty_factor: f64,
}

impl Allocation {
    pub(super) fn end_ms(&self) -> u64 {
        self.start_ms + self.length_ms
    }
}

/// How much a place is liked among places that are alike, the least first. Fields are compared in
/// their order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Preference {
    /// Replicas of a service in the zone.
    replicas_in_zone: u32,
    /// How well the kind of machine suits the work, the best first.
    kind_rank: u8,
    /// For services: those on the machine, negated. For others: what is free there.
    packing: i64,
    /// For services: what is free on the machine.
    service_packing: i64,
    machine: usize,
}

impl Pass<'_> {
    /// Whether one more task of the job may be on the machine, room aside.
    pub(super) fn is_allowed(&self, job: usize, machine: usize) -> bool {
        let view = self.job_view(job);
        let host = self.machine_view(machine);
        if host.spot && !view.spot_allowed
            || !view.allowed_types[host.type_index]
            || self.machines[machine].free_task_slots == 0
        {
            return false;
        }
        if view.zone.is_some_and(|zone| zone != host.zone)
            || view.avoided_machines.contains(&machine)
        {
            return false;
        }
        self.is_zone_allowed(job, host.zone) && host.total.fits(&view.need)
    }

    /// Whether one more task of the job may be in the zone, given those that are placed.
    pub(super) fn is_zone_allowed(&self, job: usize, zone: usize) -> bool {
        let view = self.job_view(job);
        let placed = &self.jobs[job].tasks_per_zone;
        let is_elsewhere =
            || placed.iter().enumerate().any(|(other, tasks)| other != zone && *tasks > 0);
        placed[zone] < view.max_tasks_per_zone && !(view.one_zone && is_elsewhere())
    }

    /// Milliseconds for which a task that starts then waits for its image.
    pub(super) fn fetch_ms(&self, job: usize, machine: usize, start_ms: u64) -> u64 {
        let view = self.job_view(job);
        let host = &self.machines[machine];
        if let Some(image) = host.image(view.image) {
            return image.ready_in_ms.saturating_sub(start_ms.saturating_sub(self.snapshot.now_ms));
        }
        // Images fetched at the same time share the rate.
        let fetch_ms = (view.image_gb * self.machine_view(machine).fetch_ms_per_gb) as u64;
        fetch_ms + host.images_ready_in_ms
    }

    /// Whether the task would wait here for other images to be fetched before its own (a
    /// machine fetches them one after the other), and a machine will sooner be up that has
    /// none to fetch. New machines came up one by one and each got all that waited then, four
    /// images deep; the last of them took minutes.
    pub(super) fn is_better_on_the_way(&self, job: usize, machine: usize) -> bool {
        let view = self.job_view(job);
        let host = &self.machines[machine];
        let wait = self.snapshot.mean_boot_wait;
        let spot_ms = wait.spot_ms.filter(|_| view.spot_allowed);
        let soonest_ms = wait.ordinary_ms.into_iter().chain(spot_ms).min();
        soonest_ms.is_some_and(|ms| ms < host.images_ready_in_ms)
            && host.image(view.image).is_none()
    }

    /// The allocation on one machine at one time.
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
        if start_ms == now_ms && self.is_better_on_the_way(job, machine) {
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

    /// What is free on a machine from a time on for a job of this rank.
    pub(super) fn free_for(&self, job: &JobView, machine: usize, start_ms: u64) -> Resources {
        let host = &self.machines[machine];
        // Whatever runs now ends later than now.
        let mut free = match start_ms <= self.snapshot.now_ms {
            true => host.row.free,
            false => host.row.free_at(start_ms),
        };
        if job.priority > Priority::High {
            free -= host.held_for_priority;
        }
        free
    }

    /// Whether a task of the job that ends then takes room that is reserved.
    fn delays_reservation(&self, job: &JobView, machine: usize, end_ms: u64) -> bool {
        let row = &self.machines[machine].row;
        self.reserved_rooms
            .iter()
            .filter(|reserved| reserved.machine == machine && end_ms > reserved.start_ms)
            .any(|reserved| {
                let mut left = row.free_at(reserved.start_ms);
                left -= job.need;
                !left.fits(&reserved.need)
            })
    }

    /// Order among places that are alike. Services gather where services are, in the zone
    /// with fewer replicas of the job; other work fills the holes beside them, which are paid
    /// for anyway, then the kind of machine that it alone can use, the fullest first, so that
    /// whole machines fall empty.
    pub(super) fn preference(&self, job: usize, machine: usize) -> Preference {
        let view = self.job_view(job);
        let host = self.machine_view(machine);
        let free = self.machines[machine].row.free;
        let free_room = free.gpu * GPU_WEIGHT + free.cpu;
        let service_tasks = self.machines[machine].service_tasks;
        if view.is_service {
            return Preference {
                replicas_in_zone: self.jobs[job].tasks_per_zone[host.zone],
                kind_rank: u8::from(host.spot),
                packing: -service_tasks,
                service_packing: free_room,
                machine,
            };
        }
        let kind_rank = match (service_tasks > 0, view.spot_allowed == host.spot) {
            (true, _) => 0,
            (false, true) => 1,
            (false, false) => 2,
        };
        Preference {
            replicas_in_zone: 0,
            kind_rank,
            packing: free_room,
            service_packing: 0,
            machine,
        }
    }

    /// LessConsume Threshold for every threshold; the allocation of least slowdown.
    ///
    /// A place that is free now and whose factor is under all thresholds is what every one of
    /// them yields, so later places are worked out only where there is none: at hundreds of
    /// machines they are nearly all the work.
    pub(super) fn allocate(&mut self, job: usize, may_wait: bool) -> Option<Allocation> {
        if !self.is_within_limit(job, 1) {
            return None;
        }
        let mut offers = std::mem::take(&mut self.offers);
        offers.set_context(self.offer_context(job), self.machines.len());
        let chosen = self.choose(job, may_wait, &mut offers);
        self.offers = offers;
        #[cfg(test)]
        super::reference::assert_same_choice(self, job, may_wait, chosen);
        chosen
    }

    /// The choice of [`Pass::allocate`] among the offers of all machines.
    fn choose(&self, job: usize, may_wait: bool, offers: &mut Offers) -> Option<Allocation> {
        let FreeNow { least, first } = self.free_now(job, offers);
        let lowest_threshold =
            self.snapshot.thresholds.iter().copied().fold(f64::INFINITY, f64::min);
        let least_factor = least.map(|candidate| candidate.allocation.penalty_factor);
        if !may_wait || least_factor.is_some_and(|factor| factor < lowest_threshold) {
            return least.map(|candidate| candidate.allocation);
        }
        let mut search = ThresholdSearch::new(&self.snapshot.thresholds);
        for candidate in first.into_iter().chain(least) {
            search.add(candidate);
        }
        let bound = least_factor.unwrap_or(f64::INFINITY);
        let mut only_machine = None;
        let reserved = self.snapshot.previous_reservation;
        if let Some(reserved) = reserved.filter(|reserved| reserved.job == job) {
            // What is reserved stays where it is, if it can.
            let machine = reserved.machine;
            only_machine = (!offers.later(self, job, machine, bound).is_empty()).then_some(machine);
        }
        for machine in 0..self.machines.len() {
            if only_machine.is_some_and(|only| only != machine) {
                continue;
            }
            for &allocation in offers.later(self, job, machine, bound) {
                search.add(Candidate { allocation, preference: self.preference(job, machine) });
            }
        }
        search.best()
    }

    /// Among places that are free now, the one of the least factor, and the one that is liked most.
    fn free_now(&self, job: usize, offers: &mut Offers) -> FreeNow {
        let mut places = FreeNow { least: None, first: None };
        for &machine in &self.machines_with_room {
            let Some(allocation) = offers.now(self, job, machine) else { continue };
            let candidate = Candidate { allocation, preference: self.preference(job, machine) };
            let is_first = places.first.is_none_or(|first| candidate.preference < first.preference);
            if is_first {
                places.first = Some(candidate);
            }
            if places.least.is_none_or(|least| candidate.has_lower_penalty_than(&least)) {
                places.least = Some(candidate);
            }
        }
        places
    }

    /// The place on a machine that is free now, if the job may be there.
    pub(super) fn offer_now(&self, job: usize, machine: usize) -> Option<Allocation> {
        let fits = self.machines[machine].row.free.fits(&self.job_view(job).need);
        if !fits || !self.is_allowed(job, machine) {
            return None;
        }
        self.allocation_at(job, machine, self.snapshot.now_ms)
    }

    /// At a machine the first time after now that there is room, and later ones as long as
    /// they lower the factor; none whose factor is not under the bound.
    pub(super) fn offers_later(
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
                // Nothing can lower it any further.
                if last_factor <= lowest_factor {
                    return None;
                }
                let allocation = self.allocation_at(job, machine, *time_ms);
                let lower = allocation.filter(|offered| offered.penalty_factor < last_factor);
                last_factor = lower.map_or(last_factor, |offered| offered.penalty_factor);
                Some(lower)
            })
            .flatten()
    }
}

/// Places that are free now.
struct FreeNow {
    least: Option<Candidate>,
    first: Option<Candidate>,
}

/// The paper's penalty factor (section 3.3), with the time that the image takes counted in.
pub(super) fn penalty_factor(run_ms: u64, fetch_ms: u64, penalized_ms: f64) -> f64 {
    (run_ms + fetch_ms) as f64 / run_ms as f64 + penalized_ms / run_ms as f64
}
