//! Places for gangs: the parallel jobs of the paper, allocated whole or not at all.
//!
//! As for single tasks, every threshold yields an allocation, here of all tasks at once: those
//! machines whose factor is under it, the soonest first. Of these the one that ends first is taken. A
//! gang starts when its last task does, so a machine counts with the time until its next report is
//! answered and until it has the image, and every further machine counts a little more.

use super::pass::{Pass, ReservedRoom};
use super::search::Preference;
use crate::constants::{GANG_MACHINE_MS, GANG_PATIENCE_MS, GANG_SPREAD_SHARE};
use crate::protocol::users::Priority;
use crate::protocol::Resources;

/// Tasks of a gang on one machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct GangShare {
    pub(super) machine: usize,
    pub(super) tasks: u32,
}

/// Places and a time for a whole gang.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct GangAllocation {
    pub(super) shares: Vec<GangShare>,
    pub(super) start_ms: u64,
    /// Run time with images, penalty and the wait for the last task.
    pub(super) length_ms: u64,
    pub(super) penalty_factor: f64,
}

/// What one machine offers to a gang.
#[derive(Debug, Clone, Copy)]
struct Offer {
    machine: usize,
    zone: usize,
    /// Tasks that find room.
    slots: u32,
    /// Milliseconds until a task that is placed there now could begin.
    ready_ms: u64,
    penalized_ms: f64,
    penalty_factor: f64,
    preference: Preference,
}

impl Pass<'_> {
    /// The allocation of a whole gang that starts now.
    pub(super) fn gang_now(&self, j: usize) -> Option<GangAllocation> {
        if !self.gang_within_limit(j) {
            return None;
        }
        let offers = self.gang_offers(j);
        let mut best: Option<GangAllocation> = None;
        for group in self.zone_groups(j, &offers) {
            for threshold in self.snapshot.thresholds.iter().copied().chain([f64::INFINITY]) {
                let under: Vec<Offer> =
                    group.iter().copied().filter(|o| o.penalty_factor < threshold).collect();
                let Some(found) = self.gang_on(j, &under) else { continue };
                if best.as_ref().is_none_or(|b| found.length_ms < b.length_ms) {
                    best = Some(found);
                }
            }
        }
        best
    }

    /// The earliest time at which machines are expected to have room for the whole gang, and where.
    pub(super) fn gang_later(&self, j: usize) -> Option<GangAllocation> {
        if !self.gang_within_limit(j) {
            return None;
        }
        let now = self.snapshot.now_ms;
        let open: Vec<usize> = (0..self.rows.len()).filter(|m| self.allowed(j, *m)).collect();
        let zones = match self.snapshot.jobs[j].one_zone {
            true => (0..self.tasks_per_zone[j].len()).map(Some).collect(),
            false => vec![None],
        };
        let mut best: Option<GangAllocation> = None;
        for zone in zones {
            let there = |m: &usize| zone.is_none_or(|z| self.snapshot.machines[*m].zone == z);
            let machines: Vec<usize> = open.iter().copied().filter(there).collect();
            let mut times: Vec<u64> =
                machines.iter().flat_map(|m| &self.rows[*m].change_times_ms).copied().collect();
            times.retain(|t| *t > now);
            times.sort_unstable();
            times.dedup();
            // Room only grows when nothing is added, so the first such time is found by halving.
            let first = times.partition_point(|t| self.gang_shares_at(j, &machines, *t).is_none());
            let Some(start) = times.get(first).copied() else { continue };
            let Some(shares) = self.gang_shares_at(j, &machines, start) else { continue };
            if best.as_ref().is_none_or(|b| start < b.start_ms) {
                let fetch = shares.iter().map(|s| self.fetch_ms(j, s.machine, start)).max();
                let run = self.snapshot.jobs[j].run_ms.max(1);
                let length = run + fetch.unwrap_or(0);
                let factor = length as f64 / run as f64;
                best = Some(GangAllocation {
                    shares,
                    start_ms: start,
                    length_ms: length,
                    penalty_factor: factor,
                });
            }
        }
        best
    }

    /// Places a whole gang.
    pub(super) fn place_gang(&mut self, j: usize, allocation: &GangAllocation) {
        let job = &self.snapshot.jobs[j];
        for share in &allocation.shares {
            for _ in 0..share.tasks {
                self.place_task(j, share.machine, allocation.start_ms + allocation.length_ms);
            }
        }
        debug_assert_eq!(
            self.waiting_tasks[j], 0,
            "a gang of {} is placed whole",
            job.waiting_tasks
        );
    }

    /// Reserves places for a whole gang.
    pub(super) fn reserve_gang(&mut self, j: usize, allocation: &GangAllocation) {
        let need = self.snapshot.jobs[j].need;
        let now = self.snapshot.now_ms;
        for share in &allocation.shares {
            let need = need * i64::from(share.tasks);
            self.reserved_rooms.push(ReservedRoom {
                machine: share.machine,
                start_ms: allocation.start_ms,
                need,
            });
            self.versions[share.machine] += 1;
            for _ in 0..share.tasks {
                self.plan.expected_wait_ms[j].push(allocation.start_ms - now);
                self.claim(j, share.machine, allocation.start_ms, allocation.length_ms);
            }
        }
        if let Some(first) = allocation.shares.first() {
            self.plan.reservation = Some((j, first.machine, allocation.start_ms));
        }
    }

    fn gang_within_limit(&self, j: usize) -> bool {
        let job = &self.snapshot.jobs[j];
        let mut with = self.team_usage[job.team];
        with += job.need * i64::from(job.waiting_tasks);
        with.under(&self.snapshot.teams[job.team].limit)
    }

    /// Tasks of the job that a machine has room for from `start` on, for so long.
    fn gang_slots(&self, j: usize, m: usize, start: u64, length: u64) -> u32 {
        let job = &self.snapshot.jobs[j];
        let row = &self.rows[m];
        let mut free = if start <= self.snapshot.now_ms { row.free } else { row.free_at(start) };
        if job.priority > Priority::High {
            free -= self.held_for_priority[m];
        }
        let mut slots = free.times(&job.need);
        for kept in
            self.reserved_rooms.iter().filter(|r| r.machine == m && start + length > r.start_ms)
        {
            let mut left: Resources = row.free_at(kept.start_ms);
            left -= kept.need;
            slots = slots.min(left.times(&job.need));
        }
        slots.clamp(0, self.free_task_slots[m] as i64).min(i64::from(job.waiting_tasks)) as u32
    }

    /// What each machine offers for a start now, the soonest first.
    fn gang_offers(&self, j: usize) -> Vec<Offer> {
        let job = &self.snapshot.jobs[j];
        let now = self.snapshot.now_ms;
        let run = job.run_ms.max(1);
        let mut offers = Vec::new();
        for &m in &self.machines_with_room {
            if !self.rows[m].free.fits(&job.need) || !self.allowed(j, m) {
                continue;
            }
            let fetch = self.fetch_ms(j, m, now);
            let slots = self.gang_slots(j, m, now, run + fetch);
            if slots == 0 {
                continue;
            }
            self.candidates_examined.set(self.candidates_examined.get() + 1);
            let bandwidth = job.bandwidth * f64::from(slots);
            let penalized_ms = self.rows[m].penalized_ms(now, run + fetch, bandwidth);
            offers.push(Offer {
                machine: m,
                zone: self.snapshot.machines[m].zone,
                slots,
                ready_ms: self.snapshot.machines[m].next_report_ms + fetch,
                penalized_ms,
                penalty_factor: (run + fetch) as f64 / run as f64 + penalized_ms / run as f64,
                preference: self.preference(j, m),
            });
        }
        offers.sort_unstable_by_key(|o| (o.ready_ms, o.preference));
        offers
    }

    /// The offers among which all tasks of the job have to find their places.
    fn zone_groups(&self, j: usize, offers: &[Offer]) -> Vec<Vec<Offer>> {
        if !self.snapshot.jobs[j].one_zone {
            return vec![offers.to_vec()];
        }
        let in_zone = |zone| offers.iter().copied().filter(|o| o.zone == zone).collect();
        (0..self.tasks_per_zone[j].len()).map(in_zone).collect()
    }

    /// The best allocation now on machines sorted by when they are ready. A start a little later is
    /// taken if it needs fewer machines: each of them may report later than expected.
    fn gang_on(&self, j: usize, offers: &[Offer]) -> Option<GangAllocation> {
        let job = &self.snapshot.jobs[j];
        let soonest = self.soonest(j, offers)?;
        let mut best: Option<(u64, Vec<(Offer, u32)>)> = None;
        for patience in GANG_PATIENCE_MS {
            let until = offers[soonest - 1].ready_ms + patience;
            let among = &offers[..offers.partition_point(|o| o.ready_ms <= until)];
            let Some(chosen) = self.fewest(j, among) else { continue };
            let ready = |f: fn(u64, u64) -> u64| chosen.iter().map(|(o, _)| o.ready_ms).reduce(f);
            let (first, last) = (ready(u64::min)?, ready(u64::max)?);
            let spread = (last - first) as f64;
            if self.snapshot.gang_wait_ms > 0
                && spread > self.snapshot.gang_wait_ms as f64 * GANG_SPREAD_SHARE
            {
                continue;
            }
            let cost = last + (chosen.len() as u64 - 1) * GANG_MACHINE_MS;
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, chosen));
            }
        }
        let (wait, chosen) = best?;
        let penalized = chosen.iter().map(|(o, _)| o.penalized_ms).fold(0.0, f64::max);
        let run = job.run_ms.max(1);
        let length = run + wait + penalized as u64;
        let shares = chosen.iter().map(|(o, n)| GangShare { machine: o.machine, tasks: *n });
        Some(GangAllocation {
            shares: shares.collect(),
            start_ms: self.snapshot.now_ms,
            length_ms: length,
            penalty_factor: length as f64 / run as f64,
        })
    }

    /// How many of the soonest machines it takes to hold all tasks.
    fn soonest(&self, j: usize, offers: &[Offer]) -> Option<usize> {
        let job = &self.snapshot.jobs[j];
        let mut per_zone = vec![0u32; self.tasks_per_zone[j].len()];
        for (n, offer) in offers.iter().enumerate() {
            per_zone[offer.zone] = (per_zone[offer.zone] + offer.slots).min(job.max_tasks_per_zone);
            if per_zone.iter().sum::<u32>() >= job.waiting_tasks {
                return Some(n + 1);
            }
        }
        None
    }

    /// Places for all tasks on few machines: as long as none has room for all that are left the one
    /// with most room, then the best liked of those that have.
    fn fewest(&self, j: usize, offers: &[Offer]) -> Option<Vec<(Offer, u32)>> {
        let job = &self.snapshot.jobs[j];
        let mut left = job.waiting_tasks;
        let mut zone_left = vec![job.max_tasks_per_zone; self.tasks_per_zone[j].len()];
        let mut open: Vec<Offer> = offers.to_vec();
        let mut chosen = Vec::new();
        while left > 0 {
            let room = |o: &Offer| o.slots.min(zone_left[o.zone]).min(left);
            let enough = (0..open.len()).filter(|i| room(&open[*i]) >= left);
            let best = enough.min_by_key(|i| open[*i].preference).or_else(|| {
                (0..open.len()).max_by_key(|i| (room(&open[*i]), std::cmp::Reverse(*i)))
            })?;
            let offer = open.swap_remove(best);
            let tasks = room(&offer);
            if tasks == 0 {
                return None;
            }
            left -= tasks;
            zone_left[offer.zone] -= tasks;
            chosen.push((offer, tasks));
        }
        Some(chosen)
    }

    /// Places for all tasks from a later time on; none if there is too little room by then.
    fn gang_shares_at(&self, j: usize, machines: &[usize], start: u64) -> Option<Vec<GangShare>> {
        let job = &self.snapshot.jobs[j];
        let mut left = job.waiting_tasks;
        let mut zone_left = vec![job.max_tasks_per_zone; self.tasks_per_zone[j].len()];
        let mut shares = Vec::new();
        for &m in machines {
            let zone = self.snapshot.machines[m].zone;
            let slots = self.gang_slots(j, m, start, job.run_ms).min(zone_left[zone]).min(left);
            if slots == 0 {
                continue;
            }
            left -= slots;
            zone_left[zone] -= slots;
            shares.push(GangShare { machine: m, tasks: slots });
            if left == 0 {
                return Some(shares);
            }
        }
        None
    }
}

#[cfg(test)]
mod tests;
