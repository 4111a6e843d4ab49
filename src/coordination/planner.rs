//! RUA-Backfilling: a pure function from a snapshot to decisions.
//!
//! After the paper, section 5, and DESIGN. The oldest waiting job gets a reservation: for
//! each threshold an allocation by LessConsume Threshold (first fit, less loaded slots
//! swapped in, later starts accepted until the factor is under the threshold), and of these
//! the one with the least slowdown. The other jobs follow if they can start now without
//! delaying the reservation, by penalty factor, then by length.
//!
//! Ours, in its spirit: an image that a machine must fetch first is a penalty of the place
//! like a saturated resource is; ranks and guarantees order the queue before arrival does;
//! services have no length, so a reference length stands in; where a higher rank can't
//! start, tasks of lower ranks are stopped for it.

use super::lateness;
use crate::bookkeeping::reservation::{Bucket, Row};
use crate::constants as c;
use crate::protocol::users::Rank;
use crate::protocol::Resources;
use std::collections::HashMap;

/// A task that runs, as far as planning goes.
#[derive(Debug, Clone)]
pub struct Running {
    pub rank: Rank,
    /// The team, by index; `None` if unknown.
    pub team: Option<usize>,
    pub need: Resources,
    pub bandwidth: f64,
    pub end: u64,
    pub standing: bool,
    /// Milliseconds since it was seen running; `None` if it was not yet.
    pub ran_ms: Option<u64>,
    pub saves: bool,
    pub halting: bool,
    /// Milliseconds that stopping it takes.
    pub halt_ms: u64,
    /// The caller's handle.
    pub handle: usize,
}

/// A machine that planning may use.
#[derive(Debug, Clone)]
pub struct MachineView {
    pub zone: usize,
    pub sku: usize,
    pub spot: bool,
    pub total: Resources,
    /// How many more tasks its key can hold.
    pub slots: usize,
    pub running: Vec<Running>,
    /// Images it holds or fetches: image, milliseconds until it is there.
    pub kits: Vec<(usize, u64)>,
    /// Milliseconds to fetch a gigabyte.
    pub fetch_ms_per_gb: f64,
}

/// A job with waiting tasks.
#[derive(Debug, Clone)]
pub struct JobView {
    pub rank: Rank,
    pub team: usize,
    pub standing: bool,
    pub arrival: u64,
    pub waited_ms: u64,
    /// Milliseconds until each of the times by which it should be complete, the soonest first.
    /// Jobs that can be in time go before those that can't.
    pub times: Vec<u64>,
    /// It fits into its team's guarantee together with the team's earlier unfinished jobs.
    pub within: bool,
    pub need: Resources,
    pub bandwidth: f64,
    /// Expected run time of a task in milliseconds, without its image.
    pub run_ms: u64,
    pub skus: Vec<bool>,
    pub zone: Option<usize>,
    pub spot_ok: bool,
    /// Unsettled tasks per zone.
    pub in_zone: Vec<u32>,
    pub zone_cap: u32,
    pub together: bool,
    pub waiting: u32,
    /// A task of it has started before, or is placed.
    pub begun: bool,
    pub kit: usize,
    pub size_gb: f64,
    /// Machines it must not use for now (it failed there), by index.
    pub avoid: Vec<usize>,
}

impl JobView {
    /// Whether it has waited for longer than anyone should.
    fn aged(&self) -> bool {
        self.waited_ms >= if self.begun { c::AGED_LATE_MS } else { c::AGED_MS }
    }
}

/// A team.
#[derive(Debug, Clone, Default)]
pub struct TeamView {
    pub used: Resources,
    /// 0 in a dimension: none.
    pub guarantee: Resources,
    pub limit: Resources,
    /// The share of the machines that it may fill while others wait, in thousandths.
    pub share: i64,
}

/// All that a pass looks at.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    pub now: u64,
    pub thresholds: Vec<f64>,
    pub machines: Vec<MachineView>,
    pub jobs: Vec<JobView>,
    pub teams: Vec<TeamView>,
    /// Milliseconds until machines are up of which many are on their way, in the mean: ordinary
    /// ones, spot ones.
    pub coming: [Option<u64>; 2],
    /// Machines on their way: milliseconds until each is up, and what it has.
    pub arriving: Vec<(u64, Resources)>,
    /// The last pass's reservation: job and machine. A reservation that moved from machine to
    /// machine as estimates slipped would never be emptied for.
    pub reserved: Option<(usize, usize)>,
}

/// What a pass decides.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Plan {
    /// Job and machine, one task each, in the order decided.
    pub places: Vec<(usize, usize)>,
    /// Machine and the handle of a task to stop there.
    pub halts: Vec<(usize, usize)>,
    /// Job, machine and time reserved for the head.
    pub reservation: Option<(usize, usize, u64)>,
    /// When waiting tasks can count on a place, per job, in milliseconds from now; tasks
    /// that are not named can count on none.
    pub expected: Vec<Vec<u64>>,
    /// Tasks per job that were not placed.
    pub unmet: Vec<u32>,
}

/// A place and a time for one task.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Allocation {
    machine: usize,
    start: u64,
    /// Run time with image and penalty.
    length: u64,
    /// Penalty factor, the image counted in.
    factor: f64,
}

/// How much a place is liked among places that are alike, the least first.
type Taste = (u32, u8, i64, i64, usize);

/// The places that LessConsume Threshold chooses between, one for each threshold.
struct Search<'a> {
    thresholds: &'a [f64],
    under: Vec<Option<(Allocation, Taste)>>,
    least: Option<(Allocation, Taste)>,
    first: Option<(Allocation, Taste)>,
}

impl<'a> Search<'a> {
    fn new(thresholds: &'a [f64]) -> Search<'a> {
        Search { thresholds, under: vec![None; thresholds.len()], least: None, first: None }
    }

    fn see(&mut self, a: Allocation, taste: Taste) {
        type Key = (u64, f64, Taste);
        fn keep(
            slot: &mut Option<(Allocation, Taste)>,
            a: Allocation,
            t: Taste,
            key: fn(&Allocation, Taste) -> Key,
        ) {
            let less = |x: Key, y: Key| {
                x.0.cmp(&y.0).then(x.1.total_cmp(&y.1)).then(x.2.cmp(&y.2)).is_lt()
            };
            if slot.as_ref().is_none_or(|(b, u)| less(key(&a, t), key(b, *u))) {
                *slot = Some((a, t));
            }
        }
        for (slot, _) in self.under.iter_mut().zip(self.thresholds).filter(|(_, t)| a.factor < **t)
        {
            keep(slot, a, taste, |a, t| (a.start, a.factor, t));
        }
        keep(&mut self.first, a, taste, |a, t| (a.start, 0.0, t));
        let lower = self.least.as_ref().is_none_or(|(b, t)| {
            a.factor.total_cmp(&b.factor).then((a.start, taste).cmp(&(b.start, *t))).is_lt()
        });
        if lower {
            self.least = Some((a, taste));
        }
    }

    /// The one of least slowdown, that is, for one task, the one that ends first. First fit itself
    /// stands beside the thresholds: with all factors high they would only wait.
    ///
    /// Of places that end alike the earlier start: to start where the image is on its way ends
    /// no later than to wait for the image first. Services waited so, the places went to tasks
    /// of lower ranks, and these were stopped for them in the next pass, again and again.
    fn best(self) -> Option<Allocation> {
        let least = self.least;
        let chosen = self.under.into_iter().filter_map(|u| u.or(least)).chain(self.first);
        chosen.map(|(a, _)| a).min_by_key(|a| (a.start + a.length, a.start))
    }
}

struct Pass<'a> {
    s: &'a Snapshot,
    rows: Vec<Row>,
    slots: Vec<usize>,
    /// Service tasks on each machine.
    standing: Vec<i64>,
    kits: Vec<Vec<(usize, u64)>>,
    in_zone: Vec<Vec<u32>>,
    waiting: Vec<u32>,
    /// How many of its times each job is not expected to meet.
    missed: Vec<usize>,
    /// Tasks per job for which room is being made: they wait for it.
    promised: Vec<u32>,
    used: Vec<Resources>,
    /// All machines together.
    total: Resources,
    /// Room on machines that is being made for higher ranks.
    held: Vec<Resources>,
    /// Machine, time, what is kept there.
    reserved: Option<(usize, u64, Resources)>,
    claims: usize,
    /// Machines with anything free: only these are looked at for a start now.
    roomy: Vec<usize>,
    /// How often something was placed on each machine in this pass: tells whether a choice
    /// worked out earlier still holds.
    changes: Vec<u32>,
    /// Places that jobs which have waited too long may still take ahead of the others.
    aged_left: usize,
    plan: Plan,
}

/// Runs one pass.
pub fn plan(s: &Snapshot) -> Plan {
    let rows: Vec<Row> = s
        .machines
        .iter()
        .map(|m| {
            let mut row = Row {
                free: m.total,
                capacity: m.total.cpu as f64 / crate::protocol::MILLI,
                ..Row::default()
            };
            for r in &m.running {
                row.add(Bucket { end: r.end.max(s.now + 1), need: r.need, bandwidth: r.bandwidth });
            }
            row
        })
        .collect();
    let least = least_need(s);
    let roomy = (0..rows.len()).filter(|m| rows[*m].free.fits(&least)).collect();
    let mut pass = Pass {
        s,
        rows,
        roomy,
        changes: vec![0; s.machines.len()],
        aged_left: 0,
        slots: s.machines.iter().map(|m| m.slots).collect(),
        standing: s
            .machines
            .iter()
            .map(|m| m.running.iter().filter(|r| r.standing).count() as i64)
            .collect(),
        kits: s.machines.iter().map(|m| m.kits.clone()).collect(),
        in_zone: s.jobs.iter().map(|j| j.in_zone.clone()).collect(),
        waiting: s.jobs.iter().map(|j| j.waiting).collect(),
        missed: Vec::new(),
        promised: vec![0; s.jobs.len()],
        used: s.teams.iter().map(|t| t.used).collect(),
        total: all_machines(s),
        held: vec![Resources::default(); s.machines.len()],
        reserved: None,
        claims: 0,
        plan: Plan { expected: vec![Vec::new(); s.jobs.len()], ..Plan::default() },
    };
    pass.run();
    pass.plan
}

impl Pass<'_> {
    fn run(&mut self) {
        let mut order: Vec<usize> = (0..self.s.jobs.len()).collect();
        let turn = |pass: &Self, j: usize| {
            let job = &pass.s.jobs[j];
            (job.rank, !job.within, pass.over_share(j))
        };
        order.sort_by_key(|j| (turn(self, *j), self.s.jobs[*j].arrival));
        self.missed = lateness::missed(self.s, &order, &self.total);
        order.sort_by_key(|j| (turn(self, *j), self.missed[*j], self.s.jobs[*j].arrival));
        // Whoever has waited too long goes first, the oldest ahead, for a part of the places:
        // jobs that are late in any case would otherwise wait for ever behind those that can
        // still be in time.
        let mut aged: Vec<usize> =
            order.iter().copied().filter(|j| self.s.jobs[*j].aged()).collect();
        aged.sort_by_key(|j| (self.s.jobs[*j].begun, self.s.jobs[*j].arrival));
        order.truncate(c::JOBS_PER_PASS);
        aged.truncate(c::JOBS_PER_PASS);
        self.aged_left = match aged.is_empty() {
            true => 0,
            false => (self.places_now() / c::AGED_PLACES).max(1),
        };
        for &j in &aged {
            self.age(j);
        }
        self.make_room(&order);
        // Heads that can start now start; the first that can't gets the reservation.
        let mut rest = Vec::new();
        for (n, &j) in order.iter().enumerate() {
            if self.reserved.is_some() {
                rest.extend_from_slice(&order[n..]);
                break;
            }
            let mut started = 0;
            while self.waiting[j] > 0 && started < c::JOB_TASKS_PER_PASS && !self.full() {
                match self.allocate(j, true) {
                    Some(a) if a.start <= self.s.now => {
                        self.place(j, a);
                        started += 1;
                    }
                    Some(a) => {
                        self.reserved = Some((a.machine, a.start, self.s.jobs[j].need));
                        self.plan.reservation = Some((j, a.machine, a.start));
                        self.plan.expected[j].push(a.start - self.s.now);
                        self.rows[a.machine].claim(a.start, a.length, self.s.jobs[j].need);
                        break;
                    }
                    // At its limit, or no machine for it yet: skipped.
                    None => break,
                }
            }
            if self.waiting[j] > 0 {
                rest.push(j);
            }
        }
        self.backfill(&rest);
        self.plan.unmet =
            self.waiting.iter().zip(&self.promised).map(|(waiting, n)| waiting + n).collect();
    }

    /// Places for a task like the smallest that waits.
    fn places_now(&self) -> usize {
        let least = least_need(self.s);
        self.roomy.iter().map(|m| self.rows[*m].free.times(&least).max(0) as usize).sum()
    }

    /// Starts tasks of a job that has waited too long: one if none ever started, whatever
    /// its rank, and the next ones as long as the part kept for such jobs lasts.
    fn age(&mut self, j: usize) {
        while self.aged_left > 0 && self.waiting[j] > 0 && !self.full() {
            let Some(a) = self.allocate(j, false) else { return };
            self.place(j, a);
            self.aged_left -= 1;
        }
    }

    fn full(&self) -> bool {
        let most = c::PLACES_PER_PASS as f64 + self.rows.len() as f64 * c::PLACES_PER_MACHINE;
        self.plan.places.len() >= most as usize
    }

    /// Whether its team has filled its share, and so borrows from here on.
    fn over_share(&self, j: usize) -> bool {
        let team = self.s.jobs[j].team;
        let mut with = self.used[team];
        with += self.s.jobs[j].need;
        thousandths(&with, &self.total) > self.s.teams[team].share
    }

    /// Whether one more task of the job may be on the machine, room aside.
    fn allowed(&self, j: usize, m: usize) -> bool {
        let job = &self.s.jobs[j];
        let machine = &self.s.machines[m];
        if machine.spot && !job.spot_ok || !job.skus[machine.sku] || self.slots[m] == 0 {
            return false;
        }
        if job.zone.is_some_and(|z| z != machine.zone) || job.avoid.contains(&m) {
            return false;
        }
        if self.in_zone[j][machine.zone] >= job.zone_cap {
            return false;
        }
        if job.together {
            let elsewhere =
                self.in_zone[j].iter().enumerate().any(|(z, n)| z != machine.zone && *n > 0);
            if elsewhere {
                return false;
            }
        }
        machine.total.fits(&job.need)
    }

    fn within_limit(&self, j: usize) -> bool {
        let job = &self.s.jobs[j];
        let mut with = self.used[job.team];
        with += job.need;
        with.under(&self.s.teams[job.team].limit)
    }

    /// Milliseconds for which a task that starts then waits for its image.
    fn fetch_ms(&self, j: usize, m: usize, start: u64) -> u64 {
        let job = &self.s.jobs[j];
        match self.kits[m].iter().find(|(k, _)| *k == job.kit) {
            Some((_, in_ms)) => in_ms.saturating_sub(start.saturating_sub(self.s.now)),
            None => {
                // Images fetched at the same time share the rate.
                let others = self.kits[m].iter().map(|(_, ms)| *ms).max().unwrap_or(0);
                (job.size_gb * self.s.machines[m].fetch_ms_per_gb) as u64 + others
            }
        }
    }

    /// Whether the task would wait here for other images to be fetched before its own (a
    /// machine fetches them one after the other), and a machine will sooner be up that has
    /// none to fetch. New machines came up one by one and each got all that waited then, four
    /// images deep; the last of them took minutes.
    fn better_on_the_way(&self, j: usize, m: usize) -> bool {
        let job = &self.s.jobs[j];
        let kits = &self.kits[m];
        if kits.iter().any(|(k, _)| *k == job.kit) {
            return false;
        }
        let ahead = kits.iter().map(|(_, ms)| *ms).max().unwrap_or(0);
        let [ordinary, spot] = self.s.coming;
        let soon = ordinary.into_iter().chain(spot.filter(|_| job.spot_ok)).min();
        soon.is_some_and(|ms| ms < ahead)
    }

    /// The allocation on one machine at one time.
    fn at(&self, j: usize, m: usize, start: u64) -> Option<Allocation> {
        let job = &self.s.jobs[j];
        let row = &self.rows[m];
        let now = self.s.now;
        let mut free = row.free_at(start);
        if job.rank > Rank::High {
            free -= self.held[m];
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
        if let Some((rm, rt, need)) = &self.reserved {
            if *rm == m && start + length > *rt {
                let mut at = row.free_at(*rt);
                at -= job.need;
                if !at.fits(need) {
                    return None;
                }
            }
        }
        let factor = (run + fetch) as f64 / run as f64 + penalized / run as f64;
        Some(Allocation { machine: m, start, length, factor })
    }

    /// Order among places that are alike. Services gather where services are, in the zone
    /// with fewer replicas of the job; other work fills the holes beside them, which are paid
    /// for anyway, then the kind of machine that it alone can use, the fullest first, so that
    /// whole machines fall empty.
    fn taste(&self, j: usize, m: usize) -> Taste {
        let job = &self.s.jobs[j];
        let machine = &self.s.machines[m];
        let free = self.rows[m].free;
        let rest = free.gpu * 1_000 + free.cpu;
        let standing = self.standing[m];
        if job.standing {
            return (self.in_zone[j][machine.zone], u8::from(machine.spot), -standing, rest, m);
        }
        let kind = match (standing > 0, job.spot_ok == machine.spot) {
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
    fn allocate(&self, j: usize, may_wait: bool) -> Option<Allocation> {
        if !self.within_limit(j) {
            return None;
        }
        let now = self.s.now;
        let need = &self.s.jobs[j].need;
        // Among places that are free now, the least factor, then taste.
        let mut least: Option<(Allocation, Taste)> = None;
        let mut first: Option<(Allocation, Taste)> = None;
        for &m in &self.roomy {
            if !self.rows[m].free.fits(need) || !self.allowed(j, m) {
                continue;
            }
            let Some(a) = self.at(j, m, now) else { continue };
            let taste = self.taste(j, m);
            if first.as_ref().is_none_or(|(_, t)| taste < *t) {
                first = Some((a, taste));
            }
            let better = least
                .as_ref()
                .is_none_or(|(b, t)| a.factor < b.factor || (a.factor == b.factor && taste < *t));
            if better {
                least = Some((a, taste));
            }
        }
        let lowest = self.s.thresholds.iter().copied().fold(f64::INFINITY, f64::min);
        if !may_wait || least.as_ref().is_some_and(|(a, _)| a.factor < lowest) {
            return least.map(|(a, _)| a);
        }
        // For each threshold the earliest place under it, of the least factor at that time; if
        // there is none, the least factor of all. First fit is the earliest place of all.
        let mut search = Search::new(&self.s.thresholds);
        for (a, taste) in first.into_iter().chain(least) {
            search.see(a, taste);
        }
        let bound = least.map_or(f64::INFINITY, |(a, _)| a.factor);
        let mut only = None;
        if let Some((_, m)) = self.s.reserved.filter(|(rj, _)| *rj == j) {
            // What is reserved stays where it is, if it can.
            only = self.later(j, m, bound).next().map(|_| m);
        }
        for m in 0..self.s.machines.len() {
            if only.is_none_or(|x| x == m) {
                self.later(j, m, bound).for_each(|a| search.see(a, self.taste(j, m)));
            }
        }
        search.best()
    }

    /// At a machine the first time after now that there is room, and later ones as long as
    /// they lower the factor; none whose factor is not under the bound.
    fn later(&self, j: usize, m: usize, bound: f64) -> impl Iterator<Item = Allocation> + '_ {
        let now = self.s.now;
        let run = self.s.jobs[j].run_ms.max(1) as f64;
        let lowest = (run + self.fetch_ms(j, m, u64::MAX) as f64) / run;
        let row = &self.rows[m];
        let mut last = bound;
        let times = if lowest < bound && self.allowed(j, m) { &row.times[..] } else { &[] };
        times
            .iter()
            .filter(move |t| **t > now)
            .map_while(move |t| {
                // Nothing can lower it any further.
                if last <= lowest {
                    return None;
                }
                let a = self.at(j, m, *t).filter(|a| a.factor < last);
                last = a.map_or(last, |a| a.factor);
                Some(a)
            })
            .flatten()
    }

    fn place(&mut self, j: usize, a: Allocation) {
        let job = &self.s.jobs[j];
        let m = a.machine;
        let fetch = self.fetch_ms(j, m, self.s.now);
        self.rows[m].add(Bucket {
            end: a.start + a.length,
            need: job.need,
            bandwidth: job.bandwidth,
        });
        self.slots[m] -= 1;
        self.standing[m] += i64::from(job.standing);
        if !self.kits[m].iter().any(|(k, _)| *k == job.kit) {
            self.kits[m].push((job.kit, fetch));
        }
        self.changes[m] += 1;
        self.in_zone[j][self.s.machines[m].zone] += 1;
        self.waiting[j] -= 1;
        self.used[job.team] += job.need;
        self.plan.places.push((j, m));
    }

    /// Jobs that start now without delaying the reservation, by penalty factor, then length.
    fn backfill(&mut self, rest: &[usize]) {
        // One computed choice per job. What is placed only takes room, so a choice whose
        // machine has changed since is worked out anew only when its turn comes.
        let mut choice: Vec<(usize, Option<Allocation>, u32)> = Vec::with_capacity(rest.len());
        for &j in rest {
            let a = self.start_now(j);
            choice.push((j, a, a.map_or(0, |a| self.changes[a.machine])));
        }
        while !self.full() {
            let best = choice
                .iter()
                .enumerate()
                .filter_map(|(n, (j, a, seen))| a.map(|a| (n, *j, a, *seen)))
                .min_by(|(_, j, a, _), (_, k, b, _)| {
                    // The rank first: else what was stopped for a service takes its place again
                    // while the service's image is still to come.
                    let turn = |j: &usize| (self.s.jobs[*j].rank, self.missed[*j]);
                    turn(j)
                        .cmp(&turn(k))
                        .then(a.factor.total_cmp(&b.factor))
                        .then(a.length.cmp(&b.length))
                });
            let Some((n, j, a, seen)) = best else { return };
            if self.changes[a.machine] == seen && self.within_limit(j) {
                self.place(j, a);
            }
            let a = self.start_now(j);
            choice[n] = (j, a, a.map_or(0, |a| self.changes[a.machine]));
        }
    }

    /// The allocation of the job's next task that starts now, if that is its best. Tasks
    /// that do better to wait, for a machine that holds their image, say, claim their place,
    /// so that not all of them count on the same one.
    fn start_now(&mut self, j: usize) -> Option<Allocation> {
        let now = self.s.now;
        let need = self.s.jobs[j].need;
        while (self.plan.expected[j].len() as u32) < self.waiting[j] + self.promised[j] {
            // With enough claims worked out, only what can start now is of interest.
            let may_wait = self.claims < c::CLAIMS_PER_PASS;
            let a = self.allocate(j, may_wait)?;
            if a.start <= now {
                return Some(a);
            }
            if a.start > now + c::CLAIM_HORIZON_MS {
                return None;
            }
            self.claims += 1;
            self.plan.expected[j].push(a.start - now);
            self.rows[a.machine].claim(a.start, a.length, need);
        }
        None
    }

    /// Stops tasks of lower ranks, or of teams beyond their guarantee, where a higher claim
    /// can't start. What is being stopped already counts as room to come.
    fn make_room(&mut self, order: &[usize]) {
        // Room that is there or coming, per machine.
        let mut room: Vec<Resources> = (0..self.rows.len())
            .map(|m| {
                let mut free = self.rows[m].free;
                for r in self.s.machines[m].running.iter().filter(|r| r.halting) {
                    free += r.need;
                }
                free
            })
            .collect();
        let mut stopped: Vec<Vec<bool>> =
            self.s.machines.iter().map(|m| m.running.iter().map(|r| r.halting).collect()).collect();
        let mut used = self.used.clone();
        // What could be stopped on each machine for each rank, at the most: a quick look that
        // spares the search where nothing would come of it.
        let borrows: Vec<bool> = (0..self.s.teams.len())
            .map(|t| !self.used[t].under(&self.s.teams[t].guarantee))
            .collect();
        let may_stop = |r: &Running, rank: Rank, within: bool, team: usize| {
            r.rank > rank || within && r.team.is_some_and(|t| t != team && borrows[t])
        };
        let mut softest: Vec<HashMap<(Rank, bool, usize), Resources>> =
            vec![HashMap::new(); self.rows.len()];
        for &j in order {
            let job = &self.s.jobs[j];
            let within = job.within;
            if job.rank > Rank::High && !within {
                continue;
            }
            for _ in 0..self.waiting[j].min(c::JOB_TASKS_PER_PASS as u32) {
                let mut with = used[job.team];
                with += job.need;
                if !with.under(&self.s.teams[job.team].limit) {
                    break;
                }
                // Where the least is lost, by the image that has to be fetched and by what is
                // stopped; a place where there is room wins over one like it.
                let mut best: Option<(u64, Taste, usize, Vec<usize>)> = None;
                for m in 0..room.len() {
                    let here = room[m].fits(&job.need);
                    if !here {
                        let most =
                            softest[m].entry((job.rank, within, job.team)).or_insert_with(|| {
                                let mut most = Resources::default();
                                for r in &self.s.machines[m].running {
                                    if !r.halting && may_stop(r, job.rank, within, job.team) {
                                        most += r.need;
                                    }
                                }
                                most
                            });
                        let mut most = *most;
                        most += room[m];
                        if !most.fits(&job.need) {
                            continue;
                        }
                    }
                    // Where it would not start for its image, room would be made for nothing, pass
                    // after pass: in the wake of a start five tasks were stopped for each service.
                    if !self.allowed(j, m) || self.better_on_the_way(j, m) {
                        continue;
                    }
                    let fetch = self.fetch_ms(j, m, self.s.now);
                    if best.as_ref().is_some_and(|(cost, ..)| fetch > *cost) {
                        continue;
                    }
                    let choice = if here {
                        Some((0, Vec::new()))
                    } else {
                        self.victims(j, m, room[m], &stopped[m], within)
                    };
                    let Some((lost, victims)) = choice else { continue };
                    let (cost, taste) = (lost + fetch, self.taste(j, m));
                    let better = best
                        .as_ref()
                        .is_none_or(|(b, t, ..)| cost < *b || (cost == *b && taste < *t));
                    if better {
                        best = Some((cost, taste, m, victims));
                    }
                }
                let Some((_, _, m, victims)) = best else { break };
                if victims.is_empty() && self.rows[m].free.fits(&job.need) {
                    room[m] -= job.need;
                    used[job.team] = with;
                    continue;
                }
                let mut wait = c::ROOM_COMING_MS;
                for v in victims {
                    let r = &self.s.machines[m].running[v];
                    stopped[m][v] = true;
                    room[m] += r.need;
                    self.rows[m].end_at(v, self.s.now + r.halt_ms.max(1));
                    wait = wait.max(r.halt_ms);
                    if let Some(t) = r.team {
                        used[t] -= r.need;
                    }
                    self.plan.halts.push((m, r.handle));
                }
                room[m] -= job.need;
                self.held[m] += job.need;
                used[job.team] = with;
                // The task for which room is made waits for it. Where it went elsewhere in the
                // same pass all the same, tasks were stopped for nothing, pass after pass.
                self.promised[j] += 1;
                self.waiting[j] -= 1;
                self.plan.expected[j].push(wait);
                self.rows[m].claim(self.s.now + wait, job.run_ms, job.need);
            }
        }
    }

    /// Tasks to stop on a machine so that one task of the job fits, and what that loses.
    fn victims(
        &self,
        j: usize,
        m: usize,
        mut room: Resources,
        stopped: &[bool],
        within: bool,
    ) -> Option<(u64, Vec<usize>)> {
        let job = &self.s.jobs[j];
        let running = &self.s.machines[m].running;
        let mut can: Vec<(u64, usize)> = running
            .iter()
            .enumerate()
            .filter(|(v, r)| {
                if stopped[*v] || r.halting {
                    return false;
                }
                let lower = r.rank > job.rank;
                let borrowed = within
                    && r.team.is_some_and(|t| {
                        t != job.team && !self.used[t].under(&self.s.teams[t].guarantee)
                    });
                lower || borrowed
            })
            .map(|(v, r)| {
                let ran = r.ran_ms.unwrap_or(0);
                // A young start would not count for its users; old work without saves is lost.
                let shield = if ran < c::PREEMPT_SHIELD_MS { c::PREEMPT_SHIELD_MS } else { 0 };
                let lost = if r.saves { 0 } else { ran };
                let standing = if r.standing { c::PREEMPT_SHIELD_MS * 4 } else { 0 };
                (1_000 + shield + lost + standing, v)
            })
            .collect();
        can.sort_unstable();
        let mut cost = 0;
        let mut victims = Vec::new();
        for (c, v) in can {
            if room.fits(&job.need) {
                break;
            }
            room += running[v].need;
            cost += c;
            victims.push(v);
        }
        (room.fits(&job.need) && !victims.is_empty()).then_some((cost, victims))
    }
}

/// The least that any waiting task takes, in each dimension.
fn least_need(s: &Snapshot) -> Resources {
    let of = |f: fn(&Resources) -> i64| s.jobs.iter().map(|j| f(&j.need)).min().unwrap_or(0);
    Resources { cpu: of(|r| r.cpu), gpu: of(|r| r.gpu), ram: of(|r| r.ram) }
}

fn all_machines(s: &Snapshot) -> Resources {
    let mut total = Resources::default();
    for m in &s.machines {
        total += m.total;
    }
    total
}

fn thousandths(used: &Resources, total: &Resources) -> i64 {
    (used.share_of(total) * 1_000.0).round() as i64
}

/// Moves shares between teams: the team of the oldest waiting job gets what its head lacks
/// from the teams that leave most of theirs unused. Shares sum up to the whole fleet.
pub fn move_shares(s: &Snapshot, mut shares: Vec<i64>) -> Vec<i64> {
    let total = all_machines(s);
    let n = s.teams.len();
    if n == 0 {
        return shares;
    }
    if shares.len() != n || shares.iter().sum::<i64>() != 1_000 {
        // To start with, in proportion to the guarantees, and alike where there are none.
        let mut guaranteed = Resources::default();
        for t in &s.teams {
            guaranteed += t.guarantee;
        }
        shares = s
            .teams
            .iter()
            .map(|t| {
                let g = t.guarantee.share_of(&guaranteed);
                if g > 0.0 {
                    (g * 1_000.0) as i64
                } else {
                    1_000 / n as i64
                }
            })
            .collect();
        let sum: i64 = shares.iter().sum::<i64>().max(1);
        shares.iter_mut().for_each(|x| *x = *x * 1_000 / sum);
        shares[0] += 1_000 - shares.iter().sum::<i64>();
    }
    let Some(head) = s.jobs.iter().min_by_key(|j| (j.rank, j.arrival)) else { return shares };
    let mut with = s.teams[head.team].used;
    with += head.need;
    let mut lacks = thousandths(&with, &total) - shares[head.team];
    while lacks > 0 {
        let spare = |t: usize| shares[t] - thousandths(&s.teams[t].used, &total);
        let others = (0..n).filter(|t| *t != head.team && spare(*t) > 0);
        let Some(from) = others.max_by_key(|t| spare(*t)) else { break };
        let moved = lacks.min(spare(from));
        shares[from] -= moved;
        shares[head.team] += moved;
        lacks -= moved;
    }
    shares
}

/// Whether a use lies within a guarantee; a team with none has nothing within it.
pub fn within(used: &Resources, guarantee: &Resources) -> bool {
    (guarantee.cpu != 0 || guarantee.gpu != 0) && used.under(guarantee)
}

#[cfg(test)]
pub(super) mod tests {
    use super::*;

    const GPU: Resources = Resources { cpu: 1_000, gpu: 1_000, ram: 0 };

    pub fn gpus(n: i64) -> Resources {
        GPU * n
    }

    pub fn machine(n: i64) -> MachineView {
        MachineView {
            zone: 0,
            sku: 0,
            spot: false,
            total: gpus(n),
            slots: 100,
            running: vec![],
            kits: vec![(0, 0)],
            fetch_ms_per_gb: 4_000.0,
        }
    }

    pub fn running(end: u64) -> Running {
        Running {
            rank: Rank::Standard,
            team: Some(0),
            need: GPU,
            bandwidth: 0.0,
            end,
            standing: false,
            ran_ms: Some(60_000),
            saves: false,
            halting: false,
            halt_ms: 2_000,
            handle: 0,
        }
    }

    pub fn job(arrival: u64, n: i64, run_ms: u64) -> JobView {
        JobView {
            rank: Rank::Standard,
            team: 0,
            standing: false,
            arrival,
            waited_ms: 0,
            times: vec![],
            within: false,
            need: gpus(n),
            bandwidth: 0.0,
            run_ms,
            skus: vec![true],
            zone: None,
            spot_ok: true,
            in_zone: vec![0],
            zone_cap: 100,
            together: false,
            waiting: 1,
            begun: false,
            kit: 0,
            size_gb: 5.0,
            avoid: vec![],
        }
    }

    pub fn snapshot(machines: Vec<MachineView>, jobs: Vec<JobView>) -> Snapshot {
        Snapshot {
            now: 0,
            thresholds: c::THRESHOLDS.to_vec(),
            machines,
            jobs,
            teams: vec![TeamView { share: 1_000, ..TeamView::default() }],
            coming: [None, None],
            arriving: vec![],
            reserved: None,
        }
    }

    #[test]
    fn what_delays_the_reservation_of_the_head_is_not_backfilled() {
        let mut m = machine(4);
        m.running = vec![running(10_000), running(10_000)];
        // The head wants all four in 10 s. Beside it, 5 s fit before and 60 s don't.
        let jobs = vec![job(1, 4, 60_000), job(2, 1, 60_000), job(3, 1, 5_000)];
        let p = plan(&snapshot(vec![m], jobs));
        assert_eq!(p.reservation, Some((0, 0, 10_000)));
        assert_eq!(p.places, vec![(2, 0)]);
    }

    #[test]
    fn a_reservation_stays_on_its_machine_when_estimates_slip() {
        let (mut a, mut b) = (machine(1), machine(1));
        a.running = vec![running(12_000)];
        b.running = vec![running(10_000)];
        let mut s = snapshot(vec![a, b], vec![job(1, 1, 5_000)]);
        assert_eq!(plan(&s).reservation, Some((0, 1, 10_000)));
        s.reserved = Some((0, 0));
        assert_eq!(plan(&s).reservation, Some((0, 0, 12_000)));
        s.machines[1].running.clear();
        assert_eq!(plan(&s).places, vec![(0, 1)], "room now is taken all the same");
    }

    #[test]
    fn backfill_goes_by_penalty_factor_then_length() {
        let mut m = machine(4);
        m.running = vec![running(60_000), running(60_000)];
        m.running[0].bandwidth = 3.5;
        let mut loud = job(2, 1, 1_000);
        loud.bandwidth = 2.0;
        let jobs = vec![job(1, 4, 1_000), loud, job(3, 1, 20_000), job(4, 1, 10_000)];
        let p = plan(&snapshot(vec![m], jobs));
        assert_eq!(p.places, vec![(3, 0), (2, 0)], "the shorter of the quiet ones first");
    }

    #[test]
    fn the_threshold_with_the_least_slowdown_decides_between_now_and_later() {
        // Half more than there is for 2 s costs 1 s; the wait would cost 2 s.
        let mut m = machine(2);
        m.running = vec![running(2_000)];
        m.running[0].bandwidth = 2.0;
        let mut j = job(1, 1, 10_000);
        j.bandwidth = 1.0;
        assert_eq!(plan(&snapshot(vec![m], vec![j])).places, vec![(0, 0)]);
        // Over five times what there is for 9 s costs far more than the wait.
        let mut m = machine(2);
        m.running = vec![running(9_000)];
        m.running[0].bandwidth = 9.0;
        let mut j = job(1, 1, 10_000);
        j.bandwidth = 2.0;
        let p = plan(&snapshot(vec![m], vec![j]));
        assert_eq!(p.reservation, Some((0, 0, 9_000)));
    }

    #[test]
    fn tasks_do_not_all_wait_for_the_same_machine_that_holds_their_image() {
        // One place with the image in 5 s, one empty machine that has to fetch for 20 s.
        let mut here = machine(1);
        here.running = vec![running(5_000)];
        let mut cold = machine(2);
        cold.kits = vec![];
        let mut j = job(1, 1, 40_000);
        j.waiting = 3;
        let p = plan(&snapshot(vec![here, cold], vec![j]));
        assert_eq!(p.places, vec![(0, 1), (0, 1)], "one waits, the others fetch");
        assert_eq!(p.expected[0], vec![5_000]);
    }

    #[test]
    fn a_team_at_its_limit_is_skipped_and_holds_nobody_up() {
        let mut s = snapshot(vec![machine(4)], vec![job(1, 1, 1_000), job(2, 1, 1_000)]);
        s.teams[0].limit.gpu = 1_000;
        s.teams[0].used = GPU;
        s.teams.push(TeamView { share: 0, ..TeamView::default() });
        s.jobs[1].team = 1;
        assert_eq!(plan(&s).places, vec![(1, 0)]);
    }

    #[test]
    fn room_is_made_for_higher_ranks_only_and_where_least_is_lost() {
        let mut m = machine(2);
        m.running = vec![running(90_000), running(90_000)];
        m.running[0].ran_ms = Some(80_000);
        m.running[1].ran_ms = Some(40_000);
        m.running[1].handle = 7;
        let mut s = snapshot(vec![m], vec![job(1, 1, 1_000)]);
        assert!(plan(&s).halts.is_empty(), "not for the same rank");
        s.jobs[0].rank = Rank::Production;
        assert_eq!(plan(&s).halts, vec![(0, 7)]);
        s.machines[0].running[1].halting = true;
        s.machines[0].running[1].end = 2_000;
        assert!(plan(&s).halts.is_empty(), "room that is being made counts");
    }

    #[test]
    fn images_are_not_queued_on_one_machine_while_others_come_up() {
        let mut m = machine(2);
        m.kits = vec![(7, 30_000)];
        let mut s = snapshot(vec![m], vec![job(1, 1, 30_000)]);
        s.jobs[0].spot_ok = false;
        s.coming = [Some(10_000), Some(1_000)];
        assert!(plan(&s).places.is_empty(), "an ordinary machine is up before that image is here");
        s.coming[0] = Some(40_000);
        assert_eq!(plan(&s).places, vec![(0, 0)], "not that soon");
        s.coming[0] = Some(10_000);
        s.machines[0].kits = vec![(0, 5_000), (7, 30_000)];
        assert_eq!(plan(&s).places, vec![(0, 0)], "its own is on its way");
    }

    #[test]
    fn a_task_starts_where_its_image_is_on_its_way_rather_than_wait_for_the_image() {
        let mut m = machine(2);
        m.kits = vec![(0, 20_000)];
        m.running = vec![running(10_000)];
        let p = plan(&snapshot(vec![m], vec![job(1, 1, 30_000)]));
        assert_eq!(p.places, vec![(0, 0)]);
    }

    #[test]
    fn room_is_not_made_where_a_task_would_not_start_for_its_image() {
        let mut m = machine(1);
        m.kits = vec![(7, 30_000)];
        m.running = vec![running(90_000)];
        let mut s = snapshot(vec![m], vec![job(1, 1, 30_000)]);
        s.jobs[0].rank = Rank::Production;
        s.coming = [Some(10_000), None];
        assert!(plan(&s).halts.is_empty(), "it waits for the machine that is on its way");
        s.coming = [None, None];
        assert_eq!(plan(&s).halts.len(), 1);
    }

    #[test]
    fn free_places_go_by_rank_before_they_go_by_factor() {
        // What had been stopped for services was placed again beside them, since its image was
        // there and theirs was not, and stopped again: thousands of times in a minute.
        let mut here = machine(1);
        here.kits = vec![];
        let mut s =
            snapshot(vec![here], vec![job(1, 8, 1_000), job(2, 1, 30_000), job(3, 1, 60_000)]);
        s.machines.push(machine(8));
        s.machines[1].running = vec![Running { rank: Rank::Production, ..running(9_000) }; 8];
        s.jobs[0].rank = Rank::Production;
        s.jobs[1].rank = Rank::Production;
        s.jobs[1].kit = 5;
        s.jobs[2].kit = 6;
        s.jobs[2].size_gb = 0.1;
        assert_eq!(plan(&s).places, vec![(1, 0)]);
    }

    #[test]
    fn a_task_for_which_room_is_made_does_not_go_elsewhere_meanwhile() {
        // Its image is here, under a task of a lower rank; the free machine must fetch it.
        let mut here = machine(1);
        here.running = vec![running(90_000)];
        here.running[0].saves = true;
        let mut free = machine(1);
        free.kits = vec![];
        let mut j = job(1, 1, 30_000);
        j.rank = Rank::Production;
        let mut s = snapshot(vec![here, free], vec![j]);
        let p = plan(&s);
        assert_eq!((p.halts.len(), p.places.len()), (1, 0), "stopped for it, and it waits");
        s.machines[0].running[0].halting = true;
        assert_eq!(plan(&s).places, vec![], "still");
        s.machines[0].running.clear();
        assert_eq!(plan(&s).places, vec![(0, 0)]);
    }

    #[test]
    fn a_job_that_can_still_be_in_time_goes_before_one_that_can_not() {
        let mut s = snapshot(vec![machine(1)], vec![job(1, 1, 1_000), job(2, 1, 1_000)]);
        s.jobs[0].times = vec![500];
        assert_eq!(plan(&s).places, vec![(1, 0)]);
    }

    #[test]
    fn the_largest_that_is_late_is_not_passed_over_for_ever() {
        // A wide job that can't be in time any more, behind a stream of jobs that can, and of
        // jobs of a higher rank.
        let mut late = job(1, 1, 60_000);
        late.waiting = 100;
        late.times = vec![0, 0];
        let mut higher = job(2, 1, 60_000);
        higher.rank = Rank::High;
        higher.waiting = 100;
        let mut s = snapshot(vec![machine(8)], vec![late, higher, job(3, 1, 1_000)]);
        assert!(plan(&s).places.iter().all(|(j, _)| *j != 0), "late, and lower");
        s.jobs[0].waited_ms = c::AGED_MS;
        let places = plan(&s).places;
        let of = |j: usize| places.iter().filter(|(k, _)| *k == j).count();
        assert_eq!((of(0), of(1)), (2, 6), "a part of the places, not all of them");
        s.jobs[0].begun = true;
        assert!(plan(&s).places.iter().all(|(j, _)| *j != 0), "it has begun");
        s.jobs[0].waited_ms = c::AGED_LATE_MS;
        assert!(plan(&s).places.iter().any(|(j, _)| *j == 0), "and goes on after a while");
    }

    #[test]
    fn shares_grow_for_the_head_by_what_others_leave_unused() {
        let mut s = snapshot(vec![machine(10)], vec![job(1, 3, 1_000)]);
        s.teams = vec![TeamView::default(), TeamView::default()];
        s.teams[0].used = gpus(4);
        s.teams[1].used = gpus(2);
        let shares = move_shares(&s, vec![]);
        assert_eq!(shares, vec![700, 300], "half each, and 200 moved for the head");
        s.teams[1].used = gpus(5);
        assert_eq!(move_shares(&s, vec![500, 500]), vec![500, 500], "nothing is unused");
    }
}
