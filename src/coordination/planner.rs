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

use crate::bookkeeping::reservation::{Bucket, Row};
use crate::constants as c;
use crate::protocol::users::Rank;
use crate::protocol::Resources;

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
    /// Milliseconds until the cloud takes it.
    pub taken_in: Option<u64>,
}

/// A job with waiting tasks.
#[derive(Debug, Clone)]
pub struct JobView {
    pub rank: Rank,
    pub team: usize,
    pub standing: bool,
    pub arrival: u64,
    pub waited_ms: u64,
    /// How many of the times by which it should be complete can't be met any more. Jobs
    /// that can still be in time go before those that can't.
    pub missed: usize,
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
    pub kit: usize,
    pub size_gb: f64,
    /// Machines it must not use for now (it failed there), by index.
    pub avoid: Vec<usize>,
    pub saves: bool,
}

/// A team.
#[derive(Debug, Clone, Default)]
pub struct TeamView {
    pub used: Resources,
    /// 0 in a dimension: none.
    pub guarantee: Resources,
    pub limit: Resources,
    /// The share of the machines it may fill while others wait; grown for its head.
    pub share: Resources,
}

/// All that a pass looks at.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    pub now: u64,
    pub thresholds: Vec<f64>,
    pub machines: Vec<MachineView>,
    pub jobs: Vec<JobView>,
    pub teams: Vec<TeamView>,
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
    slowdown: f64,
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
    used: Vec<Resources>,
    /// Room on machines that is being made for higher ranks.
    held: Vec<Resources>,
    /// Machine, time, what is kept there.
    reserved: Option<(usize, u64, Resources)>,
    claims: usize,
    plan: Plan,
}

/// Runs one pass.
pub fn plan(s: &Snapshot) -> Plan {
    let rows = s
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
    let mut pass = Pass {
        s,
        rows,
        slots: s.machines.iter().map(|m| m.slots).collect(),
        standing: s
            .machines
            .iter()
            .map(|m| m.running.iter().filter(|r| r.standing).count() as i64)
            .collect(),
        kits: s.machines.iter().map(|m| m.kits.clone()).collect(),
        in_zone: s.jobs.iter().map(|j| j.in_zone.clone()).collect(),
        waiting: s.jobs.iter().map(|j| j.waiting).collect(),
        used: s.teams.iter().map(|t| t.used).collect(),
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
        order.sort_by_key(|j| {
            let job = &self.s.jobs[*j];
            (job.rank, !self.within_guarantee(*j), job.missed, job.arrival)
        });
        order.truncate(c::JOBS_PER_PASS);
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
                        let claim = (a.start, a.start + a.length, self.s.jobs[j].need);
                        self.rows[a.machine].claims.push(claim);
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
        self.plan.unmet = self.waiting.clone();
    }

    fn full(&self) -> bool {
        self.plan.places.len() >= c::PLACES_PER_PASS
    }

    fn within_guarantee(&self, j: usize) -> bool {
        let team = &self.s.teams[self.s.jobs[j].team];
        let mut with = self.used[self.s.jobs[j].team];
        with += self.s.jobs[j].need;
        within(&with, &team.guarantee)
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
        let limit = &self.s.teams[job.team].limit;
        (limit.cpu == 0 || with.cpu <= limit.cpu) && (limit.gpu == 0 || with.gpu <= limit.gpu)
    }

    fn fetch_ms(&self, j: usize, m: usize) -> u64 {
        let job = &self.s.jobs[j];
        match self.kits[m].iter().find(|(k, _)| *k == job.kit) {
            Some((_, in_ms)) => *in_ms,
            None => {
                // Images fetched at the same time share the rate.
                let others = self.kits[m].iter().map(|(_, ms)| *ms).max().unwrap_or(0);
                (job.size_gb * self.s.machines[m].fetch_ms_per_gb) as u64 + others
            }
        }
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
        let fetch = self.fetch_ms(j, m).saturating_sub(start - now);
        let run = job.run_ms.max(1);
        let penalized = row.penalized_ms(start, run + fetch, job.bandwidth);
        let length = run + fetch + penalized as u64;
        if start > now && !row.fits_later(start, length, &job.need) {
            return None;
        }
        if let Some(taken) = self.s.machines[m].taken_in {
            if start + length > now + taken {
                return None;
            }
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
        let wait = (job.waited_ms + (start - now)) as f64;
        let slowdown = (wait + factor * run as f64) / run as f64;
        Some(Allocation { machine: m, start, length, factor, slowdown })
    }

    /// Order among places that are alike. Services gather where services are, in the zone
    /// with fewer replicas of the job; other work fills the holes beside them, which are paid
    /// for anyway, then the kind of machine that it alone can use, the fullest first, so that
    /// whole machines fall empty.
    fn taste(&self, j: usize, m: usize) -> (u32, u8, i64, i64, usize) {
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
    fn allocate(&self, j: usize, may_wait: bool) -> Option<Allocation> {
        if !self.within_limit(j) {
            return None;
        }
        let now = self.s.now;
        let mut machines: Vec<usize> =
            (0..self.s.machines.len()).filter(|m| self.allowed(j, *m)).collect();
        machines.sort_by_key(|m| self.taste(j, *m));
        // All allocations: at each machine now, else at each time that room comes up.
        let mut all: Vec<Allocation> = Vec::new();
        for m in machines {
            if let Some(a) = self.at(j, m, now) {
                all.push(a);
            } else if may_wait {
                for t in self.rows[m].starts(now) {
                    if let Some(a) = self.at(j, m, t) {
                        all.push(a);
                        break;
                    }
                }
            }
        }
        // First fit is the earliest start, in the order of taste (the sort is stable).
        all.sort_by_key(|a| a.start);
        let mut best: Option<Allocation> = None;
        for threshold in &self.s.thresholds {
            // Swap less loaded slots in; accept later starts until the factor is under it.
            let mut chosen: Option<Allocation> = None;
            for a in &all {
                if let Some(c) = &chosen {
                    if c.factor < *threshold && a.start > c.start {
                        break;
                    }
                }
                if chosen.is_none_or(|c| a.factor < c.factor) {
                    chosen = Some(*a);
                }
            }
            if let Some(a) = chosen {
                if best.is_none_or(|b| a.slowdown < b.slowdown) {
                    best = Some(a);
                }
            }
        }
        // First fit itself stands beside the thresholds: with all factors high they would
        // only wait.
        if let Some(a) = all.first() {
            if best.is_none_or(|b| a.slowdown < b.slowdown) {
                best = Some(*a);
            }
        }
        best
    }

    fn place(&mut self, j: usize, a: Allocation) {
        let job = &self.s.jobs[j];
        let m = a.machine;
        let fetch = self.fetch_ms(j, m);
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
        self.in_zone[j][self.s.machines[m].zone] += 1;
        self.waiting[j] -= 1;
        self.used[job.team] += job.need;
        self.plan.places.push((j, m));
    }

    /// Jobs that start now without delaying the reservation, by penalty factor, then length.
    fn backfill(&mut self, rest: &[usize]) {
        // One computed choice per job, made anew where its machine changed.
        let mut choice: Vec<(usize, Option<Allocation>)> = Vec::with_capacity(rest.len());
        for &j in rest {
            let a = self.start_now(j);
            choice.push((j, a));
        }
        while !self.full() {
            let best =
                choice.iter().filter_map(|(j, a)| a.map(|a| (*j, a))).min_by(|(j, a), (k, b)| {
                    let missed = |j: &usize| self.s.jobs[*j].missed;
                    missed(j)
                        .cmp(&missed(k))
                        .then(a.factor.total_cmp(&b.factor))
                        .then(a.length.cmp(&b.length))
                });
            let Some((j, a)) = best else { return };
            self.place(j, a);
            let team = self.s.jobs[j].team;
            for entry in &mut choice {
                let (k, old) = *entry;
                let Some(old) = old else { continue };
                if k == j || self.s.jobs[k].team == team || old.machine == a.machine {
                    entry.1 = self.start_now(k);
                }
            }
        }
    }

    /// The allocation of the job's next task that starts now, if that is its best. Tasks
    /// that do better to wait, for a machine that holds their image, say, claim their place,
    /// so that not all of them count on the same one.
    fn start_now(&mut self, j: usize) -> Option<Allocation> {
        let now = self.s.now;
        let need = self.s.jobs[j].need;
        while (self.plan.expected[j].len() as u32) < self.waiting[j] {
            let a = self.allocate(j, true)?;
            if a.start <= now {
                return Some(a);
            }
            if self.claims >= c::CLAIMS_PER_PASS {
                return None;
            }
            self.claims += 1;
            self.plan.expected[j].push(a.start - now);
            self.rows[a.machine].claims.push((a.start, a.start + a.length, need));
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
        for &j in order {
            let job = &self.s.jobs[j];
            let within = self.within_guarantee(j);
            if job.rank > Rank::High && !within {
                continue;
            }
            for _ in 0..self.waiting[j].min(c::JOB_TASKS_PER_PASS as u32) {
                let mut with = used[job.team];
                with += job.need;
                let limit = &self.s.teams[job.team].limit;
                if (limit.cpu > 0 && with.cpu > limit.cpu)
                    || (limit.gpu > 0 && with.gpu > limit.gpu)
                {
                    break;
                }
                let fits = (0..room.len())
                    .filter(|m| self.allowed(j, *m) && room[*m].fits(&job.need))
                    .min_by_key(|m| self.taste(j, *m));
                if let Some(m) = fits {
                    if !self.rows[m].free.fits(&job.need) {
                        self.held[m] += job.need;
                    }
                    room[m] -= job.need;
                    used[job.team] = with;
                    continue;
                }
                // The machine where the least is lost.
                let mut best: Option<(u64, usize, Vec<usize>)> = None;
                for m in (0..room.len()).filter(|m| self.allowed(j, *m)) {
                    if let Some((cost, victims)) = self.victims(j, m, room[m], &stopped[m], within)
                    {
                        if best.as_ref().is_none_or(|(c, _, _)| cost < *c) {
                            best = Some((cost, m, victims));
                        }
                    }
                }
                let Some((_, m, victims)) = best else { break };
                for v in victims {
                    let r = &self.s.machines[m].running[v];
                    stopped[m][v] = true;
                    room[m] += r.need;
                    if let Some(t) = r.team {
                        used[t] -= r.need;
                    }
                    self.plan.halts.push((m, r.handle));
                }
                room[m] -= job.need;
                self.held[m] += job.need;
                used[job.team] = with;
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
                        t != job.team
                            && !self.s.teams[t].guarantee.eq(&Resources::default())
                            && !within_or_none(&self.used[t], &self.s.teams[t].guarantee)
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

/// Whether a use lies within a guarantee; a team with none has nothing within it.
pub fn within(used: &Resources, guarantee: &Resources) -> bool {
    if guarantee.cpu == 0 && guarantee.gpu == 0 {
        return false;
    }
    (guarantee.cpu == 0 || used.cpu <= guarantee.cpu)
        && (guarantee.gpu == 0 || used.gpu <= guarantee.gpu)
}

fn within_or_none(used: &Resources, guarantee: &Resources) -> bool {
    (guarantee.cpu == 0 && guarantee.gpu == 0) || within(used, guarantee)
}
