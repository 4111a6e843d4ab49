//! One planning pass: heads first, then the reservation, then backfill.

use super::super::lateness;
use super::offers::Offers;
use super::search::Allocation;
use super::shares::thousandths;
use super::{Plan, Snapshot};
use crate::constants::{
    CLAIMS_PER_PASS, CLAIM_HORIZON_MS, JOBS_PER_PASS, JOB_TASKS_PER_PASS, PLACES_PER_MACHINE,
    PLACES_PER_PASS, STARVING_PLACES_PART,
};
use crate::protocol::Resources;
use crate::storage::reservation::{Bucket, Row};
use std::cell::Cell;

/// A pass under way: the snapshot, and what has been decided so far.
pub(super) struct Pass<'a> {
    pub(super) s: &'a Snapshot,
    pub(super) rows: Vec<Row>,
    pub(super) slots: Vec<usize>,
    /// Service tasks on each machine.
    pub(super) services: Vec<i64>,
    pub(super) images: Vec<Vec<(usize, u64)>>,
    /// Milliseconds until a machine has fetched all images that it waits for.
    pub(super) images_done_in: Vec<u64>,
    pub(super) in_zone: Vec<Vec<u32>>,
    pub(super) waiting: Vec<u32>,
    /// How many of its times each job is not expected to meet.
    pub(super) missed: Vec<usize>,
    /// Tasks per job for which room is being made: they wait for it.
    pub(super) promised: Vec<u32>,
    pub(super) used: Vec<Resources>,
    /// All machines together.
    pub(super) total: Resources,
    /// Room on machines that is being made for higher ranks.
    pub(super) held: Vec<Resources>,
    /// What is kept for the head of the queue: one place, or all those of a gang.
    pub(super) reserved: Vec<Reserved>,
    pub(super) claims: usize,
    /// Machines with anything free: only these are looked at for a start now.
    pub(super) with_room: Vec<usize>,
    /// How often something was placed on each machine in this pass: tells whether a choice
    /// worked out earlier still holds.
    pub(super) changes: Vec<u32>,
    /// Grows with every change of a machine, from 1 on: tells whether what it offers still holds.
    pub(super) versions: Vec<u32>,
    /// What the machines offer to the job that was looked at last.
    pub(super) offers: Offers,
    /// Places worked out so far.
    pub(super) examined: Cell<u64>,
    /// Places that jobs which have waited too long may still take ahead of the others.
    pub(super) starving_left: usize,
    pub(super) plan: Plan,
}

/// Room on a machine that is kept from a time on.
#[derive(Debug, Clone, Copy)]
pub(super) struct Reserved {
    pub(super) machine: usize,
    pub(super) start: u64,
    pub(super) need: Resources,
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
    let with_room = (0..rows.len()).filter(|m| rows[*m].free.fits(&least)).collect();
    let mut pass = Pass {
        s,
        rows,
        with_room,
        changes: vec![0; s.machines.len()],
        versions: vec![1; s.machines.len()],
        offers: Offers::default(),
        examined: Cell::new(0),
        starving_left: 0,
        slots: s.machines.iter().map(|m| m.slots).collect(),
        services: s
            .machines
            .iter()
            .map(|m| m.running.iter().filter(|r| r.service).count() as i64)
            .collect(),
        images: s.machines.iter().map(|m| m.images.clone()).collect(),
        images_done_in: s.machines.iter().map(|m| images_done_in(&m.images)).collect(),
        in_zone: s.jobs.iter().map(|j| j.in_zone.clone()).collect(),
        waiting: s.jobs.iter().map(|j| j.waiting).collect(),
        missed: Vec::new(),
        promised: vec![0; s.jobs.len()],
        used: s.teams.iter().map(|t| t.used).collect(),
        total: all_machines(s),
        held: vec![Resources::default(); s.machines.len()],
        reserved: Vec::new(),
        claims: 0,
        plan: Plan { expected: vec![Vec::new(); s.jobs.len()], ..Plan::default() },
    };
    pass.run();
    Plan { places_examined: pass.examined.get(), ..pass.plan }
}

impl Pass<'_> {
    fn run(&mut self) {
        let mut order: Vec<usize> = (0..self.s.jobs.len()).collect();
        let turn = |pass: &Self, j: usize| {
            let job = &pass.s.jobs[j];
            (job.priority, !job.within, pass.over_share(j))
        };
        order.sort_by_key(|j| (turn(self, *j), self.s.jobs[*j].arrival));
        self.missed = lateness::missed(self.s, &order, &self.total);
        order.sort_by_key(|j| (turn(self, *j), self.missed[*j], self.s.jobs[*j].arrival));
        // Whoever has waited too long goes first, the oldest ahead, for a part of the places:
        // jobs that are late in any case would otherwise wait for ever behind those that can
        // still be in time.
        let mut starving: Vec<usize> =
            order.iter().copied().filter(|j| self.s.jobs[*j].starving()).collect();
        starving.sort_by_key(|j| (self.s.jobs[*j].begun, self.s.jobs[*j].arrival));
        order.truncate(JOBS_PER_PASS);
        starving.truncate(JOBS_PER_PASS);
        self.starving_left = match starving.is_empty() {
            true => 0,
            false => (self.places_now() / STARVING_PLACES_PART).max(1),
        };
        for &j in &starving {
            self.start_starving(j);
        }
        self.make_room(&order);
        // Heads that can start now start; the first that can't gets the reservation.
        let mut rest = Vec::new();
        for (n, &j) in order.iter().enumerate() {
            if !self.reserved.is_empty() {
                rest.extend_from_slice(&order[n..]);
                break;
            }
            if self.s.jobs[j].gang {
                self.start_or_reserve_gang(j);
                continue;
            }
            let mut started = 0;
            while self.waiting[j] > 0 && started < JOB_TASKS_PER_PASS && !self.full() {
                match self.allocate(j, true) {
                    Some(a) if a.start <= self.s.now => {
                        self.place(j, a);
                        started += 1;
                    }
                    Some(a) => {
                        let need = self.s.jobs[j].need;
                        self.reserved.push(Reserved { machine: a.machine, start: a.start, need });
                        self.plan.reservation = Some((j, a.machine, a.start));
                        self.plan.expected[j].push(a.start - self.s.now);
                        self.claim(j, a.machine, a.start, a.length);
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
        self.plan.unplaced =
            self.waiting.iter().zip(&self.promised).map(|(waiting, n)| waiting + n).collect();
    }

    /// Places for a task like the smallest that waits.
    fn places_now(&self) -> usize {
        let least = least_need(self.s);
        self.with_room.iter().map(|m| self.rows[*m].free.times(&least).max(0) as usize).sum()
    }

    /// Starts tasks of a job that has waited too long: one if none ever started, whatever
    /// its rank, and the next ones as long as the part kept for such jobs lasts.
    ///
    /// A gang needs all its places at once. Where they never fall free together, because others take
    /// each of them before, it gets the reservation.
    fn start_starving(&mut self, j: usize) {
        if self.s.jobs[j].gang {
            if self.starving_left > 0 && self.reserved.is_empty() {
                self.start_or_reserve_gang(j);
                let placed = self.s.jobs[j].waiting - self.waiting[j];
                self.starving_left = self.starving_left.saturating_sub(placed as usize);
            }
            return;
        }
        while self.starving_left > 0 && self.waiting[j] > 0 && !self.full() {
            let Some(a) = self.allocate(j, false) else { return };
            self.place(j, a);
            self.starving_left -= 1;
        }
    }

    /// Starts a gang if all its tasks find room, else reserves for all of them.
    fn start_or_reserve_gang(&mut self, j: usize) {
        if self.waiting[j] == 0 || self.full() {
            return;
        }
        if let Some(allocation) = self.gang_now(j) {
            self.place_gang(j, &allocation);
        } else if let Some(allocation) = self.gang_later(j) {
            self.reserve_gang(j, &allocation);
        }
    }

    fn full(&self) -> bool {
        let most = PLACES_PER_PASS as f64 + self.rows.len() as f64 * PLACES_PER_MACHINE;
        self.plan.places.len() >= most as usize
    }

    /// Whether its team has filled its share, and so borrows from here on.
    fn over_share(&self, j: usize) -> bool {
        let team = self.s.jobs[j].team;
        let mut with = self.used[team];
        with += self.s.jobs[j].need;
        thousandths(&with, &self.total) > self.s.teams[team].share
    }

    fn place(&mut self, j: usize, a: Allocation) {
        self.place_task(j, a.machine, a.start + a.length);
    }

    /// Counts a task on a machine until its end, as placed by this pass.
    pub(super) fn place_task(&mut self, j: usize, m: usize, end: u64) {
        let job = &self.s.jobs[j];
        let fetch = self.fetch_ms(j, m, self.s.now);
        self.rows[m].add(Bucket { end, need: job.need, bandwidth: job.bandwidth });
        self.slots[m] -= 1;
        self.services[m] += i64::from(job.service);
        self.note_image(m, job.image, fetch);
        self.changes[m] += 1;
        self.versions[m] += 1;
        self.in_zone[j][self.s.machines[m].zone] += 1;
        self.waiting[j] -= 1;
        self.used[job.team] += job.need;
        self.plan.places.push((j, m));
    }

    /// Notes that an image will be on a machine after so many milliseconds.
    fn note_image(&mut self, m: usize, image: usize, fetch_ms: u64) {
        if !self.images[m].iter().any(|(known, _)| *known == image) {
            self.images[m].push((image, fetch_ms));
        }
        self.images_done_in[m] = images_done_in(&self.images[m]);
    }

    /// Counts a place that a task waits for, so that others see that they would not be alone. Whatever
    /// else has just changed on the machine for it counts as changed with that.
    pub(super) fn claim(&mut self, j: usize, m: usize, start: u64, length: u64) {
        self.rows[m].claim(start, length, self.s.jobs[j].need);
        self.versions[m] += 1;
    }

    /// Jobs that start now without delaying the reservation, by penalty factor, then length.
    fn backfill(&mut self, rest: &[usize]) {
        // One computed choice per job. What is placed only takes room, so a choice whose
        // machine has changed since is worked out anew only when its turn comes.
        let mut choice: Vec<(usize, Option<Allocation>, u32)> = Vec::with_capacity(rest.len());
        for &j in rest {
            let a = match self.s.jobs[j].gang {
                true => self.gang_start_now(j),
                false => self.start_now(j),
            };
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
                    let turn = |j: &usize| (self.s.jobs[*j].priority, self.missed[*j]);
                    turn(j)
                        .cmp(&turn(k))
                        .then(a.factor.total_cmp(&b.factor))
                        .then(a.length.cmp(&b.length))
                });
            let Some((n, j, a, seen)) = best else { return };
            if self.s.jobs[j].gang {
                // Others may have taken some of its places: it is worked out anew as a whole.
                if let Some(allocation) = self.gang_now(j) {
                    self.place_gang(j, &allocation);
                }
                choice[n] = (j, None, 0);
                continue;
            }
            if self.changes[a.machine] == seen && self.within_limit(j) {
                self.place(j, a);
            }
            let a = self.start_now(j);
            choice[n] = (j, a, a.map_or(0, |a| self.changes[a.machine]));
        }
    }

    /// The allocation of a gang that starts now, as that of its first task: what its turn among
    /// other jobs depends on.
    fn gang_start_now(&self, j: usize) -> Option<Allocation> {
        let gang = self.gang_now(j).filter(|_| self.waiting[j] > 0)?;
        let machine = gang.shares.first()?.machine;
        let (start, length, factor) = (gang.start, gang.length, gang.factor);
        Some(Allocation { machine, start, length, factor })
    }

    /// The allocation of the job's next task that starts now, if that is its best. Tasks
    /// that do better to wait, for a machine that holds their image, say, claim their place,
    /// so that not all of them count on the same one.
    fn start_now(&mut self, j: usize) -> Option<Allocation> {
        let now = self.s.now;
        while (self.plan.expected[j].len() as u32) < self.waiting[j] + self.promised[j] {
            // With enough claims worked out, only what can start now is of interest.
            let may_wait = self.claims < CLAIMS_PER_PASS;
            let a = self.allocate(j, may_wait)?;
            if a.start <= now {
                return Some(a);
            }
            if a.start > now + CLAIM_HORIZON_MS {
                return None;
            }
            self.claims += 1;
            self.plan.expected[j].push(a.start - now);
            self.claim(j, a.machine, a.start, a.length);
        }
        None
    }
}

/// Milliseconds until the last of a machine's images is there.
fn images_done_in(images: &[(usize, u64)]) -> u64 {
    images.iter().map(|(_, ms)| *ms).max().unwrap_or(0)
}

/// The least that any waiting task takes, in each dimension.
fn least_need(s: &Snapshot) -> Resources {
    let of = |f: fn(&Resources) -> i64| s.jobs.iter().map(|j| f(&j.need)).min().unwrap_or(0);
    Resources { cpu: of(|r| r.cpu), gpu: of(|r| r.gpu), ram: of(|r| r.ram) }
}

pub(super) fn all_machines(s: &Snapshot) -> Resources {
    let mut total = Resources::default();
    for m in &s.machines {
        total += m.total;
    }
    total
}
