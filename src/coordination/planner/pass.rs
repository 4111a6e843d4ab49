//! One planning pass: heads first, then the reservation, then backfill.

use super::super::deadline_triage;
use super::offers::Offers;
use super::search::Allocation;
use super::shares::thousandths;
use super::{Plan, Snapshot};
use crate::constants::{
    CLAIMS_PER_PASS, CLAIM_HORIZON_MS, JOBS_PER_PASS, JOB_TASKS_PER_PASS, PLACES_PER_MACHINE,
    PLACES_PER_PASS, STARVING_PLACES_PART,
};
use crate::protocol::Resources;
use crate::storage::reservation::{Bucket, ReservationRow};
use std::cell::Cell;

/// A pass under way: the snapshot, and what has been decided so far.
pub(super) struct Pass<'a> {
    pub(super) snapshot: &'a Snapshot,
    pub(super) rows: Vec<ReservationRow>,
    pub(super) free_task_slots: Vec<usize>,
    /// Service tasks on each machine.
    pub(super) service_tasks: Vec<i64>,
    pub(super) images: Vec<Vec<(usize, u64)>>,
    /// Milliseconds until a machine has fetched all images that it waits for.
    pub(super) images_done_in: Vec<u64>,
    pub(super) tasks_per_zone: Vec<Vec<u32>>,
    pub(super) waiting_tasks: Vec<u32>,
    /// How many of its times each job is not expected to meet.
    pub(super) missed_deadlines: Vec<usize>,
    /// Tasks per job for which room is being made: they wait for it.
    pub(super) awaiting_room: Vec<u32>,
    pub(super) team_usage: Vec<Resources>,
    /// All machines together.
    pub(super) cluster_total: Resources,
    /// Room on machines that is being made for higher ranks.
    pub(super) held_for_priority: Vec<Resources>,
    /// What is kept for the head of the queue: one place, or all those of a gang.
    pub(super) reserved_rooms: Vec<ReservedRoom>,
    pub(super) claims_made: usize,
    /// Machines with anything free: only these are looked at for a start now.
    pub(super) machines_with_room: Vec<usize>,
    /// How often something was placed on each machine in this pass: tells whether a choice
    /// worked out earlier still holds.
    pub(super) placement_counts: Vec<u32>,
    /// Grows with every change of a machine, from 1 on: tells whether what it offers still holds.
    pub(super) versions: Vec<u32>,
    /// What the machines offer to the job that was looked at last.
    pub(super) offers: Offers,
    /// Places worked out so far.
    pub(super) candidates_examined: Cell<u64>,
    /// Places that jobs which have waited too long may still take ahead of the others.
    pub(super) starving_budget: usize,
    pub(super) plan: Plan,
}

/// Room on a machine that is kept from a time on.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReservedRoom {
    pub(super) machine: usize,
    pub(super) start_ms: u64,
    pub(super) need: Resources,
}

/// Runs one pass.
pub fn plan(s: &Snapshot) -> Plan {
    let rows: Vec<ReservationRow> = s
        .machines
        .iter()
        .map(|m| {
            let mut row = ReservationRow {
                free: m.total,
                bandwidth_capacity: m.total.cpu as f64 / crate::protocol::MILLI,
                ..ReservationRow::default()
            };
            for r in &m.running {
                row.add(Bucket {
                    end_ms: r.end_ms.max(s.now_ms + 1),
                    need: r.need,
                    bandwidth: r.bandwidth,
                });
            }
            row
        })
        .collect();
    let least = least_need(s);
    let with_room = (0..rows.len()).filter(|m| rows[*m].free.fits(&least)).collect();
    let mut pass = Pass {
        snapshot: s,
        rows,
        machines_with_room: with_room,
        placement_counts: vec![0; s.machines.len()],
        versions: vec![1; s.machines.len()],
        offers: Offers::default(),
        candidates_examined: Cell::new(0),
        starving_budget: 0,
        free_task_slots: s.machines.iter().map(|m| m.free_task_slots).collect(),
        service_tasks: s
            .machines
            .iter()
            .map(|m| m.running.iter().filter(|r| r.is_service).count() as i64)
            .collect(),
        images: s.machines.iter().map(|m| m.images.clone()).collect(),
        images_done_in: s.machines.iter().map(|m| images_done_in(&m.images)).collect(),
        tasks_per_zone: s.jobs.iter().map(|j| j.tasks_per_zone.clone()).collect(),
        waiting_tasks: s.jobs.iter().map(|j| j.waiting_tasks).collect(),
        missed_deadlines: Vec::new(),
        awaiting_room: vec![0; s.jobs.len()],
        team_usage: s.teams.iter().map(|t| t.used).collect(),
        cluster_total: all_machines(s),
        held_for_priority: vec![Resources::default(); s.machines.len()],
        reserved_rooms: Vec::new(),
        claims_made: 0,
        plan: Plan { expected_wait_ms: vec![Vec::new(); s.jobs.len()], ..Plan::default() },
    };
    pass.run();
    Plan { candidates_examined: pass.candidates_examined.get(), ..pass.plan }
}

impl Pass<'_> {
    fn run(&mut self) {
        let mut order: Vec<usize> = (0..self.snapshot.jobs.len()).collect();
        let turn = |pass: &Self, j: usize| {
            let job = &pass.snapshot.jobs[j];
            (job.priority, !job.within_guarantee, pass.over_share(j))
        };
        order.sort_by_key(|j| (turn(self, *j), self.snapshot.jobs[*j].arrival));
        self.missed_deadlines =
            deadline_triage::missed_deadlines(self.snapshot, &order, &self.cluster_total);
        order.sort_by_key(|j| {
            (turn(self, *j), self.missed_deadlines[*j], self.snapshot.jobs[*j].arrival)
        });
        // Whoever has waited too long goes first, the oldest ahead, for a part of the places:
        // jobs that are late in any case would otherwise wait for ever behind those that can
        // still be in time.
        let mut starving: Vec<usize> =
            order.iter().copied().filter(|j| self.snapshot.jobs[*j].starving()).collect();
        starving
            .sort_by_key(|j| (self.snapshot.jobs[*j].has_started, self.snapshot.jobs[*j].arrival));
        order.truncate(JOBS_PER_PASS);
        starving.truncate(JOBS_PER_PASS);
        self.starving_budget = match starving.is_empty() {
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
            if !self.reserved_rooms.is_empty() {
                rest.extend_from_slice(&order[n..]);
                break;
            }
            if self.snapshot.jobs[j].is_gang {
                self.start_or_reserve_gang(j);
                continue;
            }
            let mut started = 0;
            while self.waiting_tasks[j] > 0 && started < JOB_TASKS_PER_PASS && !self.full() {
                match self.allocate(j, true) {
                    Some(a) if a.start_ms <= self.snapshot.now_ms => {
                        self.place(j, a);
                        started += 1;
                    }
                    Some(a) => {
                        let need = self.snapshot.jobs[j].need;
                        self.reserved_rooms.push(ReservedRoom {
                            machine: a.machine,
                            start_ms: a.start_ms,
                            need,
                        });
                        self.plan.reservation = Some((j, a.machine, a.start_ms));
                        self.plan.expected_wait_ms[j].push(a.start_ms - self.snapshot.now_ms);
                        self.claim(j, a.machine, a.start_ms, a.length_ms);
                        break;
                    }
                    // At its limit, or no machine for it yet: skipped.
                    None => break,
                }
            }
            if self.waiting_tasks[j] > 0 {
                rest.push(j);
            }
        }
        self.backfill(&rest);
        self.plan.unplaced = self
            .waiting_tasks
            .iter()
            .zip(&self.awaiting_room)
            .map(|(waiting, n)| waiting + n)
            .collect();
    }

    /// Places for a task like the smallest that waits.
    fn places_now(&self) -> usize {
        let least = least_need(self.snapshot);
        self.machines_with_room
            .iter()
            .map(|m| self.rows[*m].free.times(&least).max(0) as usize)
            .sum()
    }

    /// Starts tasks of a job that has waited too long: one if none ever started, whatever
    /// its rank, and the next ones as long as the part kept for such jobs lasts.
    ///
    /// A gang needs all its places at once. Where they never fall free together, because others take
    /// each of them before, it gets the reservation.
    fn start_starving(&mut self, j: usize) {
        if self.snapshot.jobs[j].is_gang {
            if self.starving_budget > 0 && self.reserved_rooms.is_empty() {
                self.start_or_reserve_gang(j);
                let placed = self.snapshot.jobs[j].waiting_tasks - self.waiting_tasks[j];
                self.starving_budget = self.starving_budget.saturating_sub(placed as usize);
            }
            return;
        }
        while self.starving_budget > 0 && self.waiting_tasks[j] > 0 && !self.full() {
            let Some(a) = self.allocate(j, false) else { return };
            self.place(j, a);
            self.starving_budget -= 1;
        }
    }

    /// Starts a gang if all its tasks find room, else reserves for all of them.
    fn start_or_reserve_gang(&mut self, j: usize) {
        if self.waiting_tasks[j] == 0 || self.full() {
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
        self.plan.placements.len() >= most as usize
    }

    /// Whether its team has filled its share, and so borrows from here on.
    fn over_share(&self, j: usize) -> bool {
        let team = self.snapshot.jobs[j].team;
        let mut with = self.team_usage[team];
        with += self.snapshot.jobs[j].need;
        thousandths(&with, &self.cluster_total) > self.snapshot.teams[team].share_permille
    }

    fn place(&mut self, j: usize, a: Allocation) {
        self.place_task(j, a.machine, a.start_ms + a.length_ms);
    }

    /// Counts a task on a machine until its end, as placed by this pass.
    pub(super) fn place_task(&mut self, j: usize, m: usize, end: u64) {
        let job = &self.snapshot.jobs[j];
        let fetch = self.fetch_ms(j, m, self.snapshot.now_ms);
        self.rows[m].add(Bucket { end_ms: end, need: job.need, bandwidth: job.bandwidth });
        self.free_task_slots[m] -= 1;
        self.service_tasks[m] += i64::from(job.is_service);
        self.note_image(m, job.image, fetch);
        self.placement_counts[m] += 1;
        self.versions[m] += 1;
        self.tasks_per_zone[j][self.snapshot.machines[m].zone] += 1;
        self.waiting_tasks[j] -= 1;
        self.team_usage[job.team] += job.need;
        self.plan.placements.push((j, m));
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
        self.rows[m].claim(start, length, self.snapshot.jobs[j].need);
        self.versions[m] += 1;
    }

    /// Jobs that start now without delaying the reservation, by penalty factor, then length.
    fn backfill(&mut self, rest: &[usize]) {
        // One computed choice per job. What is placed only takes room, so a choice whose
        // machine has changed since is worked out anew only when its turn comes.
        let mut choice: Vec<(usize, Option<Allocation>, u32)> = Vec::with_capacity(rest.len());
        for &j in rest {
            let a = match self.snapshot.jobs[j].is_gang {
                true => self.gang_start_now(j),
                false => self.start_now(j),
            };
            choice.push((j, a, a.map_or(0, |a| self.placement_counts[a.machine])));
        }
        while !self.full() {
            let best = choice
                .iter()
                .enumerate()
                .filter_map(|(n, (j, a, seen))| a.map(|a| (n, *j, a, *seen)))
                .min_by(|(_, j, a, _), (_, k, b, _)| {
                    // The rank first: else what was stopped for a service takes its place again
                    // while the service's image is still to come.
                    let turn =
                        |j: &usize| (self.snapshot.jobs[*j].priority, self.missed_deadlines[*j]);
                    turn(j)
                        .cmp(&turn(k))
                        .then(a.penalty_factor.total_cmp(&b.penalty_factor))
                        .then(a.length_ms.cmp(&b.length_ms))
                });
            let Some((n, j, a, seen)) = best else { return };
            if self.snapshot.jobs[j].is_gang {
                // Others may have taken some of its places: it is worked out anew as a whole.
                if let Some(allocation) = self.gang_now(j) {
                    self.place_gang(j, &allocation);
                }
                choice[n] = (j, None, 0);
                continue;
            }
            if self.placement_counts[a.machine] == seen && self.within_limit(j) {
                self.place(j, a);
            }
            let a = self.start_now(j);
            choice[n] = (j, a, a.map_or(0, |a| self.placement_counts[a.machine]));
        }
    }

    /// The allocation of a gang that starts now, as that of its first task: what its turn among
    /// other jobs depends on.
    fn gang_start_now(&self, j: usize) -> Option<Allocation> {
        let gang = self.gang_now(j).filter(|_| self.waiting_tasks[j] > 0)?;
        let machine = gang.shares.first()?.machine;
        let (start, length, factor) = (gang.start_ms, gang.length_ms, gang.penalty_factor);
        Some(Allocation { machine, start_ms: start, length_ms: length, penalty_factor: factor })
    }

    /// The allocation of the job's next task that starts now, if that is its best. Tasks
    /// that do better to wait, for a machine that holds their image, say, claim their place,
    /// so that not all of them count on the same one.
    fn start_now(&mut self, j: usize) -> Option<Allocation> {
        let now = self.snapshot.now_ms;
        while (self.plan.expected_wait_ms[j].len() as u32)
            < self.waiting_tasks[j] + self.awaiting_room[j]
        {
            // With enough claims worked out, only what can start now is of interest.
            let may_wait = self.claims_made < CLAIMS_PER_PASS;
            let a = self.allocate(j, may_wait)?;
            if a.start_ms <= now {
                return Some(a);
            }
            if a.start_ms > now + CLAIM_HORIZON_MS {
                return None;
            }
            self.claims_made += 1;
            self.plan.expected_wait_ms[j].push(a.start_ms - now);
            self.claim(j, a.machine, a.start_ms, a.length_ms);
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
