//! The places that a task may take: what each costs, and which of them LessConsume Threshold chooses.

use super::offers::Offers;
use super::pass::Pass;
use crate::protocol::users::Priority;

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

/// How much a place is liked among places that are alike, the least first.
pub(super) type Preference = (u32, u8, i64, i64, usize);

/// The places that LessConsume Threshold chooses between, one for each threshold.
pub(super) struct Search<'a> {
    thresholds: &'a [f64],
    under: Vec<Option<(Allocation, Preference)>>,
    least: Option<(Allocation, Preference)>,
    first: Option<(Allocation, Preference)>,
}

impl<'a> Search<'a> {
    pub(super) fn new(thresholds: &'a [f64]) -> Search<'a> {
        Search { thresholds, under: vec![None; thresholds.len()], least: None, first: None }
    }

    pub(super) fn see(&mut self, a: Allocation, preference: Preference) {
        type Key = (u64, f64, Preference);
        fn keep(
            slot: &mut Option<(Allocation, Preference)>,
            a: Allocation,
            t: Preference,
            key: fn(&Allocation, Preference) -> Key,
        ) {
            let less = |x: Key, y: Key| {
                x.0.cmp(&y.0).then(x.1.total_cmp(&y.1)).then(x.2.cmp(&y.2)).is_lt()
            };
            if slot.as_ref().is_none_or(|(b, u)| less(key(&a, t), key(b, *u))) {
                *slot = Some((a, t));
            }
        }
        for (slot, _) in
            self.under.iter_mut().zip(self.thresholds).filter(|(_, t)| a.penalty_factor < **t)
        {
            keep(slot, a, preference, |a, t| (a.start_ms, a.penalty_factor, t));
        }
        keep(&mut self.first, a, preference, |a, t| (a.start_ms, 0.0, t));
        let lower = self.least.as_ref().is_none_or(|(b, t)| {
            a.penalty_factor
                .total_cmp(&b.penalty_factor)
                .then((a.start_ms, preference).cmp(&(b.start_ms, *t)))
                .is_lt()
        });
        if lower {
            self.least = Some((a, preference));
        }
    }

    /// The one of least slowdown, that is, for one task, the one that ends first. First fit itself
    /// stands beside the thresholds: with all factors high they would only wait.
    ///
    /// Of places that end alike the earlier start: to start where the image is on its way ends
    /// no later than to wait for the image first. Services waited so, the places went to tasks
    /// of lower ranks, and these were stopped for them in the next pass, again and again.
    pub(super) fn best(self) -> Option<Allocation> {
        let least = self.least;
        let chosen = self.under.into_iter().filter_map(|u| u.or(least)).chain(self.first);
        chosen.map(|(a, _)| a).min_by_key(|a| (a.start_ms + a.length_ms, a.start_ms))
    }
}

impl Pass<'_> {
    /// Whether one more task of the job may be on the machine, room aside.
    pub(super) fn allowed(&self, j: usize, m: usize) -> bool {
        let job = &self.snapshot.jobs[j];
        let machine = &self.snapshot.machines[m];
        if machine.spot && !job.spot_allowed
            || !job.allowed_types[machine.type_index]
            || self.free_task_slots[m] == 0
        {
            return false;
        }
        if job.zone.is_some_and(|z| z != machine.zone) || job.avoided_machines.contains(&m) {
            return false;
        }
        self.zone_allowed(j, machine.zone) && machine.total.fits(&job.need)
    }

    /// Whether one more task of the job may be in the zone, given those that are placed.
    pub(super) fn zone_allowed(&self, j: usize, zone: usize) -> bool {
        let job = &self.snapshot.jobs[j];
        let placed = &self.tasks_per_zone[j];
        let elsewhere = || placed.iter().enumerate().any(|(z, n)| z != zone && *n > 0);
        placed[zone] < job.max_tasks_per_zone && !(job.one_zone && elsewhere())
    }

    pub(super) fn within_limit(&self, j: usize) -> bool {
        let job = &self.snapshot.jobs[j];
        let mut with = self.team_usage[job.team];
        with += job.need;
        with.under(&self.snapshot.teams[job.team].limit)
    }

    /// Milliseconds for which a task that starts then waits for its image.
    pub(super) fn fetch_ms(&self, j: usize, m: usize, start: u64) -> u64 {
        let job = &self.snapshot.jobs[j];
        match self.images[m].iter().find(|(k, _)| *k == job.image) {
            Some((_, in_ms)) => in_ms.saturating_sub(start.saturating_sub(self.snapshot.now_ms)),
            None => {
                // Images fetched at the same time share the rate.
                (job.image_gb * self.snapshot.machines[m].fetch_ms_per_gb) as u64
                    + self.images_done_in[m]
            }
        }
    }

    /// Whether the task would wait here for other images to be fetched before its own (a
    /// machine fetches them one after the other), and a machine will sooner be up that has
    /// none to fetch. New machines came up one by one and each got all that waited then, four
    /// images deep; the last of them took minutes.
    pub(super) fn better_on_the_way(&self, j: usize, m: usize) -> bool {
        let job = &self.snapshot.jobs[j];
        let [ordinary, spot] = self.snapshot.mean_boot_wait;
        let soon = ordinary.into_iter().chain(spot.filter(|_| job.spot_allowed)).min();
        soon.is_some_and(|ms| ms < self.images_done_in[m])
            && !self.images[m].iter().any(|(k, _)| *k == job.image)
    }

    /// The allocation on one machine at one time.
    pub(super) fn at(&self, j: usize, m: usize, start: u64) -> Option<Allocation> {
        let job = &self.snapshot.jobs[j];
        let row = &self.rows[m];
        let now = self.snapshot.now_ms;
        self.candidates_examined.set(self.candidates_examined.get() + 1);
        // Whatever runs now ends later than now.
        let mut free = if start <= now { row.free } else { row.free_at(start) };
        if job.priority > Priority::High {
            free -= self.held_for_priority[m];
        }
        if !free.fits(&job.need) {
            return None;
        }
        let fetch = self.fetch_ms(j, m, start);
        if start == now && self.better_on_the_way(j, m) {
            return None;
        }
        let run = job.run_ms.max(1);
        let penalized = row.penalized_ms(start, run + fetch, job.bandwidth);
        let length = run + fetch + penalized as u64;
        if start > now && !row.fits_later(start, length, &job.need) {
            return None;
        }
        for kept in
            self.reserved_rooms.iter().filter(|r| r.machine == m && start + length > r.start_ms)
        {
            let mut at = row.free_at(kept.start_ms);
            at -= job.need;
            if !at.fits(&kept.need) {
                return None;
            }
        }
        let factor = (run + fetch) as f64 / run as f64 + penalized / run as f64;
        Some(Allocation { machine: m, start_ms: start, length_ms: length, penalty_factor: factor })
    }

    /// Order among places that are alike. Services gather where services are, in the zone
    /// with fewer replicas of the job; other work fills the holes beside them, which are paid
    /// for anyway, then the kind of machine that it alone can use, the fullest first, so that
    /// whole machines fall empty.
    pub(super) fn preference(&self, j: usize, m: usize) -> Preference {
        let job = &self.snapshot.jobs[j];
        let machine = &self.snapshot.machines[m];
        let free = self.rows[m].free;
        let rest = free.gpu * 1_000 + free.cpu;
        let service = self.service_tasks[m];
        if job.is_service {
            return (
                self.tasks_per_zone[j][machine.zone],
                u8::from(machine.spot),
                -service,
                rest,
                m,
            );
        }
        let kind = match (service > 0, job.spot_allowed == machine.spot) {
            (true, _) => 0,
            (false, true) => 1,
            (false, false) => 2,
        };
        (0, kind, rest, 0, m)
    }

    /// LessConsume Threshold for every threshold; the allocation of least slowdown.
    ///
    /// A place that is free now and whose factor is under all thresholds is what every one of
    /// them yields, so later places are worked out only where there is none: at hundreds of
    /// machines they are nearly all the work.
    pub(super) fn allocate(&mut self, j: usize, may_wait: bool) -> Option<Allocation> {
        if !self.within_limit(j) {
            return None;
        }
        let mut offers = std::mem::take(&mut self.offers);
        offers.rest_on(self.basis(j), self.rows.len());
        let chosen = self.choose(j, may_wait, &mut offers);
        self.offers = offers;
        #[cfg(test)]
        super::plain::compare(self, j, may_wait, chosen);
        chosen
    }

    /// The choice of [`Pass::allocate`] among the offers of all machines.
    fn choose(&self, j: usize, may_wait: bool, offers: &mut Offers) -> Option<Allocation> {
        // Among places that are free now, the least factor, then preference.
        let mut least: Option<(Allocation, Preference)> = None;
        let mut first: Option<(Allocation, Preference)> = None;
        for &m in &self.machines_with_room {
            let Some(a) = offers.now(self, j, m) else { continue };
            let preference = self.preference(j, m);
            if first.as_ref().is_none_or(|(_, t)| preference < *t) {
                first = Some((a, preference));
            }
            let better = least.as_ref().is_none_or(|(b, t)| {
                a.penalty_factor < b.penalty_factor
                    || (a.penalty_factor == b.penalty_factor && preference < *t)
            });
            if better {
                least = Some((a, preference));
            }
        }
        let lowest = self.snapshot.thresholds.iter().copied().fold(f64::INFINITY, f64::min);
        if !may_wait || least.as_ref().is_some_and(|(a, _)| a.penalty_factor < lowest) {
            return least.map(|(a, _)| a);
        }
        // For each threshold the earliest place under it, of the least factor at that time; if
        // there is none, the least factor of all. First fit is the earliest place of all.
        let mut search = Search::new(&self.snapshot.thresholds);
        for (a, preference) in first.into_iter().chain(least) {
            search.see(a, preference);
        }
        let bound = least.map_or(f64::INFINITY, |(a, _)| a.penalty_factor);
        let mut only = None;
        if let Some((_, m)) = self.snapshot.previous_reservation.filter(|(rj, _)| *rj == j) {
            // What is reserved stays where it is, if it can.
            only = (!offers.later(self, j, m, bound).is_empty()).then_some(m);
        }
        for m in 0..self.snapshot.machines.len() {
            if only.is_none_or(|x| x == m) {
                let later = offers.later(self, j, m, bound);
                later.iter().for_each(|a| search.see(*a, self.preference(j, m)));
            }
        }
        search.best()
    }

    /// The place on a machine that is free now, if the job may be there.
    pub(super) fn offer_now(&self, j: usize, m: usize) -> Option<Allocation> {
        let fits = self.rows[m].free.fits(&self.snapshot.jobs[j].need) && self.allowed(j, m);
        fits.then(|| self.at(j, m, self.snapshot.now_ms)).flatten()
    }

    /// At a machine the first time after now that there is room, and later ones as long as
    /// they lower the factor; none whose factor is not under the bound.
    pub(super) fn offers_later(
        &self,
        j: usize,
        m: usize,
        bound: f64,
    ) -> impl Iterator<Item = Allocation> + '_ {
        let now = self.snapshot.now_ms;
        let run = self.snapshot.jobs[j].run_ms.max(1) as f64;
        let lowest = (run + self.fetch_ms(j, m, u64::MAX) as f64) / run;
        let row = &self.rows[m];
        let mut last = bound;
        let times =
            if lowest < bound && self.allowed(j, m) { &row.change_times_ms[..] } else { &[] };
        times
            .iter()
            .filter(move |t| **t > now)
            .map_while(move |t| {
                // Nothing can lower it any further.
                if last <= lowest {
                    return None;
                }
                let a = self.at(j, m, *t).filter(|a| a.penalty_factor < last);
                last = a.map_or(last, |a| a.penalty_factor);
                Some(a)
            })
            .flatten()
    }
}
