//! Places for gangs: the parallel jobs of the paper, allocated whole or not at all.
//!
//! As for single tasks, every threshold yields an allocation, here of all tasks at once: those
//! machines whose factor is under it, the soonest first. Of these the one that ends first is taken. A
//! gang starts when its last task does, so a machine counts with the time until its next report is
//! answered and until it has the image, and every further machine counts a little more.

use super::allocation::{penalty_factor, Preference};
use super::pass::{Pass, ReservedRoom};
use super::plan::Reservation;
use crate::constants::{
    GANG_START_DELAYS_MS, GANG_START_DELAY_PER_MACHINE_MS, GANG_START_SPREAD_SHARE_MAX,
};
use std::cmp::Reverse;

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

impl GangAllocation {
    fn new(shares: Vec<GangShare>, start_ms: u64, length_ms: u64, run_ms: u64) -> GangAllocation {
        let penalty_factor = length_ms as f64 / run_ms as f64;
        GangAllocation { shares, start_ms, length_ms, penalty_factor }
    }
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

/// An offer that is taken for some of the tasks.
#[derive(Debug, Clone, Copy)]
struct TakenOffer {
    offer: Offer,
    tasks: u32,
}

/// Tasks that still need a place, and how many of them each zone may take.
struct TasksLeft {
    tasks: u32,
    per_zone: Vec<u32>,
}

impl TasksLeft {
    /// How many of them may be on a machine with that many slots.
    fn fitting(&self, zone: usize, slots: u32) -> u32 {
        slots.min(self.per_zone[zone]).min(self.tasks)
    }

    fn take(&mut self, zone: usize, tasks: u32) {
        self.tasks -= tasks;
        self.per_zone[zone] -= tasks;
    }
}

impl Pass<'_> {
    /// The allocation of a whole gang that starts now.
    pub(super) fn gang_now(&self, job: usize) -> Option<GangAllocation> {
        if !self.is_gang_within_limit(job) {
            return None;
        }
        let offers = self.gang_offers(job);
        let mut best: Option<GangAllocation> = None;
        for group in self.zone_groups(job, &offers) {
            for threshold in self.snapshot.thresholds.iter().copied().chain([f64::INFINITY]) {
                let is_under = |offer: &Offer| offer.penalty_factor < threshold;
                let under: Vec<Offer> = group.iter().copied().filter(is_under).collect();
                let Some(found) = self.gang_on(job, &under) else { continue };
                if best.as_ref().is_none_or(|best| found.length_ms < best.length_ms) {
                    best = Some(found);
                }
            }
        }
        best
    }

    /// The earliest time at which machines are expected to have room for the whole gang, and where.
    pub(super) fn gang_later(&self, job: usize) -> Option<GangAllocation> {
        if !self.is_gang_within_limit(job) {
            return None;
        }
        let is_allowed = |machine: &usize| self.is_allowed(job, *machine);
        let allowed: Vec<usize> = (0..self.machines.len()).filter(is_allowed).collect();
        if !self.job_view(job).one_zone {
            return self.gang_later_on(job, &allowed);
        }
        let mut best: Option<GangAllocation> = None;
        for zone in 0..self.jobs[job].tasks_per_zone.len() {
            let is_in_zone = |machine: &usize| self.machine_view(*machine).zone == zone;
            let machines: Vec<usize> = allowed.iter().copied().filter(is_in_zone).collect();
            let Some(found) = self.gang_later_on(job, &machines) else { continue };
            if best.as_ref().is_none_or(|best| found.start_ms < best.start_ms) {
                best = Some(found);
            }
        }
        best
    }

    /// The earliest later allocation of a whole gang on these machines.
    fn gang_later_on(&self, job: usize, machines: &[usize]) -> Option<GangAllocation> {
        let now_ms = self.snapshot.now_ms;
        let change_times = |machine: &usize| &self.machines[*machine].row.change_times_ms;
        let mut times_ms: Vec<u64> = machines.iter().flat_map(change_times).copied().collect();
        times_ms.retain(|time_ms| *time_ms > now_ms);
        times_ms.sort_unstable();
        times_ms.dedup();
        // Room only grows when nothing is added, so the first such time is found by halving.
        let first = times_ms
            .partition_point(|time_ms| self.gang_shares_at(job, machines, *time_ms).is_none());
        let start_ms = times_ms.get(first).copied()?;
        let shares = self.gang_shares_at(job, machines, start_ms)?;
        let fetches = shares.iter().map(|share| self.fetch_ms(job, share.machine, start_ms));
        let fetch_ms = fetches.max().unwrap_or(0);
        let run_ms = self.job_view(job).run_ms.max(1);
        Some(GangAllocation::new(shares, start_ms, run_ms + fetch_ms, run_ms))
    }

    /// Places a whole gang.
    pub(super) fn place_gang(&mut self, job: usize, allocation: &GangAllocation) {
        for share in &allocation.shares {
            for _ in 0..share.tasks {
                self.place_task(job, share.machine, allocation.start_ms + allocation.length_ms);
            }
        }
        let tasks = self.job_view(job).waiting_tasks;
        debug_assert_eq!(self.jobs[job].waiting_tasks, 0, "a gang of {tasks} is placed whole");
    }

    /// Reserves places for a whole gang.
    pub(super) fn reserve_gang(&mut self, job: usize, allocation: &GangAllocation) {
        let GangAllocation { shares, start_ms, length_ms, .. } = allocation;
        let (start_ms, length_ms) = (*start_ms, *length_ms);
        let need_per_task = self.job_view(job).need;
        for &GangShare { machine, tasks } in shares {
            let need = need_per_task * i64::from(tasks);
            self.reserved_rooms.push(ReservedRoom { machine, start_ms, need });
            self.machines[machine].version += 1;
            for _ in 0..tasks {
                self.expect_start(job, start_ms);
                self.claim(job, machine, start_ms, length_ms);
            }
        }
        if let Some(first) = shares.first() {
            self.plan.reservation = Some(Reservation { job, machine: first.machine, start_ms });
        }
    }

    fn is_gang_within_limit(&self, job: usize) -> bool {
        self.is_within_limit(job, self.job_view(job).waiting_tasks)
    }

    /// Tasks of the job that a machine has room for from `start_ms` on, for so long.
    fn gang_slots(&self, job: usize, machine: usize, start_ms: u64, length_ms: u64) -> u32 {
        let view = self.job_view(job);
        let host = &self.machines[machine];
        let end_ms = start_ms + length_ms;
        let mut slots = self.free_for(view, machine, start_ms).times(&view.need);
        for reserved in &self.reserved_rooms {
            if reserved.machine == machine && end_ms > reserved.start_ms {
                let mut left = host.row.free_at(reserved.start_ms);
                left -= reserved.need;
                slots = slots.min(left.times(&view.need));
            }
        }
        let slots = slots.clamp(0, host.free_task_slots as i64);
        slots.min(i64::from(view.waiting_tasks)) as u32
    }

    /// What each machine offers for a start now, the soonest first.
    fn gang_offers(&self, job: usize) -> Vec<Offer> {
        let offers = self.machines_with_room.iter();
        let mut offers: Vec<Offer> =
            offers.filter_map(|machine| self.gang_offer(job, *machine)).collect();
        offers.sort_unstable_by_key(|offer| (offer.ready_ms, offer.preference));
        offers
    }

    /// What a machine offers for a start now.
    fn gang_offer(&self, job: usize, machine: usize) -> Option<Offer> {
        let view = self.job_view(job);
        let host = self.machine_view(machine);
        let row = &self.machines[machine].row;
        if !row.free.fits(&view.need) || !self.is_allowed(job, machine) {
            return None;
        }
        let now_ms = self.snapshot.now_ms;
        let run_ms = view.run_ms.max(1);
        let fetch_ms = self.fetch_ms(job, machine, now_ms);
        let slots = self.gang_slots(job, machine, now_ms, run_ms + fetch_ms);
        if slots == 0 {
            return None;
        }
        self.candidates_examined.set(self.candidates_examined.get() + 1);
        let bandwidth = view.bandwidth * f64::from(slots);
        let penalized_ms = row.penalized_ms(now_ms, run_ms + fetch_ms, bandwidth);
        Some(Offer {
            machine,
            zone: host.zone,
            slots,
            ready_ms: host.next_report_ms + fetch_ms,
            penalized_ms,
            penalty_factor: penalty_factor(run_ms, fetch_ms, penalized_ms),
            preference: self.preference(job, machine),
        })
    }

    /// The offers among which all tasks of the job have to find their places.
    fn zone_groups(&self, job: usize, offers: &[Offer]) -> Vec<Vec<Offer>> {
        if !self.job_view(job).one_zone {
            return vec![offers.to_vec()];
        }
        let in_zone = |zone| offers.iter().copied().filter(|offer| offer.zone == zone).collect();
        (0..self.jobs[job].tasks_per_zone.len()).map(in_zone).collect()
    }

    /// The best allocation now on machines sorted by when they are ready. A start a little later is
    /// taken if it needs fewer machines: each of them may report later than expected.
    fn gang_on(&self, job: usize, offers: &[Offer]) -> Option<GangAllocation> {
        let soonest = self.machines_needed(job, offers)?;
        let mut best: Option<(u64, Vec<TakenOffer>)> = None;
        for patience_ms in GANG_START_DELAYS_MS {
            let until_ms = offers[soonest - 1].ready_ms + patience_ms;
            let among = &offers[..offers.partition_point(|offer| offer.ready_ms <= until_ms)];
            let Some(taken) = self.fewest_machines(job, among) else { continue };
            let Some(cost_ms) = self.gang_start_cost_ms(&taken) else { continue };
            if best.as_ref().is_none_or(|(least, _)| cost_ms < *least) {
                best = Some((cost_ms, taken));
            }
        }
        let (wait_ms, taken) = best?;
        let penalties = taken.iter().map(|taken| taken.offer.penalized_ms);
        let penalized_ms = penalties.fold(0.0, f64::max);
        let run_ms = self.job_view(job).run_ms.max(1);
        let length_ms = run_ms + wait_ms + penalized_ms as u64;
        let share =
            |taken: &TakenOffer| GangShare { machine: taken.offer.machine, tasks: taken.tasks };
        let shares = taken.iter().map(share).collect();
        Some(GangAllocation::new(shares, self.snapshot.now_ms, length_ms, run_ms))
    }

    /// What a start on these machines costs, in milliseconds: until the last task can begin, and
    /// something for each further machine. `None` if the first tasks would give up before.
    fn gang_start_cost_ms(&self, taken: &[TakenOffer]) -> Option<u64> {
        let ready_ms = || taken.iter().map(|taken| taken.offer.ready_ms);
        let (first_ms, last_ms) = (ready_ms().min()?, ready_ms().max()?);
        let spread_ms = (last_ms - first_ms) as f64;
        let wait_ms = self.snapshot.gang_wait_ms;
        if wait_ms > 0 && spread_ms > wait_ms as f64 * GANG_START_SPREAD_SHARE_MAX {
            return None;
        }
        Some(last_ms + (taken.len() as u64 - 1) * GANG_START_DELAY_PER_MACHINE_MS)
    }

    /// How many of the soonest machines it takes to hold all tasks.
    fn machines_needed(&self, job: usize, offers: &[Offer]) -> Option<usize> {
        let view = self.job_view(job);
        let mut slots_per_zone = vec![0u32; self.jobs[job].tasks_per_zone.len()];
        for (index, offer) in offers.iter().enumerate() {
            let slots = &mut slots_per_zone[offer.zone];
            *slots = (*slots + offer.slots).min(view.max_tasks_per_zone);
            if slots_per_zone.iter().sum::<u32>() >= view.waiting_tasks {
                return Some(index + 1);
            }
        }
        None
    }

    fn gang_tasks_left(&self, job: usize) -> TasksLeft {
        let view = self.job_view(job);
        let zones = self.jobs[job].tasks_per_zone.len();
        TasksLeft { tasks: view.waiting_tasks, per_zone: vec![view.max_tasks_per_zone; zones] }
    }

    /// Places for all tasks on few machines: as long as none has room for all that are left the one
    /// with most room, then the best liked of those that have.
    fn fewest_machines(&self, job: usize, offers: &[Offer]) -> Option<Vec<TakenOffer>> {
        let mut left = self.gang_tasks_left(job);
        let mut open: Vec<Offer> = offers.to_vec();
        let mut taken = Vec::new();
        while left.tasks > 0 {
            let room = |index: &usize| left.fitting(open[*index].zone, open[*index].slots);
            let with_enough = (0..open.len()).filter(|index| room(index) >= left.tasks);
            let best = with_enough
                .min_by_key(|index| open[*index].preference)
                .or_else(|| (0..open.len()).max_by_key(|index| (room(index), Reverse(*index))))?;
            let tasks = room(&best);
            if tasks == 0 {
                return None;
            }
            let offer = open.swap_remove(best);
            left.take(offer.zone, tasks);
            taken.push(TakenOffer { offer, tasks });
        }
        Some(taken)
    }

    /// Places for all tasks from a later time on; none if there is too little room by then.
    fn gang_shares_at(
        &self,
        job: usize,
        machines: &[usize],
        start_ms: u64,
    ) -> Option<Vec<GangShare>> {
        let mut left = self.gang_tasks_left(job);
        let mut shares = Vec::new();
        for &machine in machines {
            let zone = self.machine_view(machine).zone;
            let slots = self.gang_slots(job, machine, start_ms, self.job_view(job).run_ms);
            let tasks = left.fitting(zone, slots);
            if tasks == 0 {
                continue;
            }
            left.take(zone, tasks);
            shares.push(GangShare { machine, tasks });
            if left.tasks == 0 {
                return Some(shares);
            }
        }
        None
    }
}

#[cfg(test)]
mod tests;
