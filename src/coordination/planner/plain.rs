//! The plain form of the choice of a place: every machine and every time is looked at anew for each
//! task. The planner's own form keeps what still holds; in unit tests each of its choices is
//! compared with this one.

use super::pass::Pass;
use super::search::{Allocation, Preference, Search};
use crate::protocol::users::Priority;

/// Panics unless the plain form chooses the same.
pub(super) fn compare(pass: &Pass, job: usize, may_wait: bool, chosen: Option<Allocation>) {
    let examined = pass.candidates_examined.get();
    assert_eq!(chosen, pass.plain_allocate(job, may_wait), "job {job}, may wait: {may_wait}");
    assert_eq!(pass.candidates_examined.get(), examined, "the plain form does not count");
}

impl Pass<'_> {
    fn plain_fetch_ms(&self, j: usize, m: usize, start: u64) -> u64 {
        let job = &self.snapshot.jobs[j];
        match self.images[m].iter().find(|(k, _)| *k == job.image) {
            Some((_, in_ms)) => in_ms.saturating_sub(start.saturating_sub(self.snapshot.now_ms)),
            None => {
                // Images fetched at the same time share the rate.
                let others = self.images[m].iter().map(|(_, ms)| *ms).max().unwrap_or(0);
                (job.image_gb * self.snapshot.machines[m].fetch_ms_per_gb) as u64 + others
            }
        }
    }

    fn plain_better_on_the_way(&self, j: usize, m: usize) -> bool {
        let job = &self.snapshot.jobs[j];
        let images = &self.images[m];
        if images.iter().any(|(k, _)| *k == job.image) {
            return false;
        }
        let ahead = images.iter().map(|(_, ms)| *ms).max().unwrap_or(0);
        let [ordinary, spot] = self.snapshot.mean_boot_wait;
        let soon = ordinary.into_iter().chain(spot.filter(|_| job.spot_allowed)).min();
        soon.is_some_and(|ms| ms < ahead)
    }

    fn plain_at(&self, j: usize, m: usize, start: u64) -> Option<Allocation> {
        let job = &self.snapshot.jobs[j];
        let row = &self.rows[m];
        let now = self.snapshot.now_ms;
        let mut free = row.free_at(start);
        if job.priority > Priority::High {
            free -= self.held_for_priority[m];
        }
        if !free.fits(&job.need) {
            return None;
        }
        let fetch = self.plain_fetch_ms(j, m, start);
        if start == now && self.plain_better_on_the_way(j, m) {
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

    fn plain_allocate(&self, j: usize, may_wait: bool) -> Option<Allocation> {
        if !self.within_limit(j) {
            return None;
        }
        let now = self.snapshot.now_ms;
        let need = &self.snapshot.jobs[j].need;
        // Among places that are free now, the least factor, then preference.
        let mut least: Option<(Allocation, Preference)> = None;
        let mut first: Option<(Allocation, Preference)> = None;
        for &m in &self.machines_with_room {
            if !self.rows[m].free.fits(need) || !self.allowed(j, m) {
                continue;
            }
            let Some(a) = self.plain_at(j, m, now) else { continue };
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
            only = self.plain_later(j, m, bound).next().map(|_| m);
        }
        for m in 0..self.snapshot.machines.len() {
            if only.is_none_or(|x| x == m) {
                self.plain_later(j, m, bound).for_each(|a| search.see(a, self.preference(j, m)));
            }
        }
        search.best()
    }

    fn plain_later(&self, j: usize, m: usize, bound: f64) -> impl Iterator<Item = Allocation> + '_ {
        let now = self.snapshot.now_ms;
        let run = self.snapshot.jobs[j].run_ms.max(1) as f64;
        let lowest = (run + self.plain_fetch_ms(j, m, u64::MAX) as f64) / run;
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
                let a = self.plain_at(j, m, *t).filter(|a| a.penalty_factor < last);
                last = a.map_or(last, |a| a.penalty_factor);
                Some(a)
            })
            .flatten()
    }
}
