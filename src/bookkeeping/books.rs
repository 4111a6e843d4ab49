//! The leader's books: jobs, machines, placements and what teams use.
//!
//! Built from the store when a term begins. A task has at most one placement that is not
//! settled; a placement counts for place and quota until evidence settles it, and what
//! settled it is committed before anything else is done with the task.

use super::records::*;
use super::replica::Replica;
use crate::constants as c;
use crate::protocol::users::{Shape, Spec};
use crate::protocol::workers::{Cause, TaskStatus};
use crate::protocol::Resources;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::rc::Rc;

/// How far a placement has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Decided, not yet in the store: must not be ordered.
    Proposed,
    /// In the store.
    Committed,
}

/// Why a task is to be stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Halt {
    /// To make room, or because its machine is emptied: progress is saved where it can be.
    MakeRoom,
    /// Its result is not wanted any more.
    Unwanted,
}

/// A task on a machine.
#[derive(Debug, Clone)]
pub struct Placement {
    pub attempt: u64,
    pub phase: Phase,
    /// The report in whose answer the start went out last.
    pub ordered: Option<(u64, u64)>,
    /// As last shown by the worker.
    pub seen: Option<TaskStatus>,
    /// When it was first shown running.
    pub running_since: Option<u64>,
    pub placed_at: u64,
    pub halt: Option<Halt>,
    /// Settled by evidence; taken out once that is committed.
    pub ended: Option<Cause>,
}

impl Placement {
    /// A placement of which nothing has been shown yet.
    pub fn new(attempt: u64, phase: Phase, now: u64) -> Placement {
        Placement {
            attempt,
            phase,
            ordered: None,
            seen: None,
            running_since: None,
            placed_at: now,
            halt: None,
            ended: None,
        }
    }
}

/// A task's place in the books.
pub type TaskId = (Name, u32);

/// Life of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Life {
    /// Rented, not yet up.
    Booting,
    /// Up as far as the store or the list tells, but its worker has not reported in this
    /// term. It may be busy with another controller, or cut off.
    Unheard,
    /// Its worker has reported.
    Up,
    /// A deletion was asked for.
    Deleting,
    /// Surely gone, with all that was on it.
    Gone,
}

/// A machine.
#[derive(Debug, Clone)]
pub struct Machine {
    pub name: Name,
    pub sku: String,
    pub yard: String,
    pub spot: bool,
    pub total: Resources,
    pub life: Life,
    /// When it was rented, as well as we know.
    pub rented_at: u64,
    /// When this term first knew of it.
    pub known_at: u64,
    /// When it was first seen up.
    pub up_at: Option<u64>,
    /// When a list first named it.
    pub listed_at: Option<u64>,
    /// The newest report: tenure and tally.
    pub newest: (u64, u64),
    /// The worker has shown our baton.
    pub shows_baton: bool,
    pub reported_at: Option<u64>,
    /// When we last answered it with 200.
    pub answered_at: Option<u64>,
    /// When the cloud takes it.
    pub recall_at: Option<u64>,
    /// Its lease has run out and its tasks are settled, until it reports again.
    pub lapsed: bool,
    pub placements: BTreeMap<TaskId, Placement>,
    /// Images it holds, newest last, with their size.
    pub kits: Vec<(String, f64)>,
    pub key_stamp: u64,
    /// Its key must be written.
    pub dirty: bool,
    /// ... before the next batch.
    pub urgent: bool,
    /// Set aside: gets no new tasks and is returned when empty.
    pub draining: bool,
    /// The cloud lists it as failed: nothing runs there any more.
    pub failed: bool,
    /// Being emptied because the others have room for its work; opened again when they
    /// have not.
    pub closing: bool,
    /// Recent failures: when, job.
    pub failures: Vec<(u64, Name)>,
    pub idle_since: Option<u64>,
    /// Tasks that ended well on it.
    pub successes: u32,
}

impl Machine {
    /// A machine of which only the name is known.
    pub fn new(name: Name, now: u64) -> Machine {
        Machine {
            name,
            sku: String::new(),
            yard: String::new(),
            spot: false,
            total: Resources::default(),
            life: Life::Booting,
            rented_at: now,
            known_at: now,
            up_at: None,
            listed_at: None,
            newest: (0, 0),
            shows_baton: false,
            reported_at: None,
            answered_at: None,
            recall_at: None,
            lapsed: false,
            placements: BTreeMap::new(),
            kits: Vec::new(),
            key_stamp: 0,
            dirty: false,
            urgent: false,
            draining: false,
            failed: false,
            closing: false,
            failures: Vec::new(),
            idle_since: None,
            successes: 0,
        }
    }

    /// Remembers that it holds an image, and forgets the oldest beyond what fits.
    pub fn note_kit(&mut self, kit: &str, gb: f64, room_gb: f64) {
        if self.kits.last().is_some_and(|(k, _)| k == kit) {
            return;
        }
        self.kits.retain(|(k, _)| k != kit);
        self.kits.push((kit.to_string(), gb));
        while self.kits.len() > 1
            && (self.kits.len() > c::IMAGES_KEPT
                || (room_gb > 0.0 && self.kits.iter().map(|(_, g)| g).sum::<f64>() > room_gb))
        {
            self.kits.remove(0);
        }
    }

    /// Marks its key for writing.
    pub fn touch(&mut self, urgent: bool) {
        self.dirty = true;
        self.urgent |= urgent;
    }

    /// The value of its key. Placements that ended are left out.
    pub fn record(&self) -> PlaceRec {
        PlaceRec {
            tasks: self
                .placements
                .iter()
                .filter(|(_, p)| p.ended.is_none())
                .map(|((job, task), p)| (job.to_string(), *task, p.attempt))
                .collect(),
            kits: self.kits.clone(),
        }
    }
}

/// A job that is not over, or still has tasks on machines.
#[derive(Debug)]
pub struct Job {
    pub uid: Name,
    /// None only for a job whose record was reduced at its end.
    pub spec: Option<Rc<Spec>>,
    pub need: Resources,
    pub stage: Stage,
    /// Stamp of the job's key; the arrival number while the job is live.
    pub stamp: u64,
    /// Time of day of its acceptance.
    pub at_wall: u64,
    pub loads: u32,
    pub done: Bitmap,
    pub done_count: u32,
    pub dirty_chunks: BTreeSet<u32>,
    pub chunk_stamps: HashMap<u32, u64>,
    /// Tasks from here on were never placed.
    pub next_fresh: u32,
    /// Tasks below that wait again.
    pub returned: BTreeSet<u32>,
    /// Unsettled placements: task to machine.
    pub placed: BTreeMap<u32, Name>,
    /// Tasks whose end is settled but not committed.
    pub settling: HashSet<u32>,
    /// Machines on which a task failed since the last success.
    pub failed_on: HashSet<Name>,
    pub fail_pause_ms: u64,
    pub paused_until: u64,
    pub successes: u32,
    /// A task of it was seen running.
    pub begun: bool,
}

impl Job {
    /// Tasks that wait for a machine.
    pub fn waiting(&self) -> u32 {
        if self.stage != Stage::Live {
            return 0;
        }
        self.returned.len() as u32 + (self.loads - self.next_fresh)
    }

    /// The next waiting task.
    pub fn next_waiting(&self) -> Option<u32> {
        if self.stage != Stage::Live {
            return None;
        }
        self.returned.first().copied().or((self.next_fresh < self.loads).then_some(self.next_fresh))
    }

    fn take_waiting(&mut self, task: u32) {
        if !self.returned.remove(&task) && task == self.next_fresh {
            self.next_fresh += 1;
            while self.next_fresh < self.loads && self.done.get(self.next_fresh) {
                self.next_fresh += 1;
            }
        }
    }

    /// Whether every task is done.
    pub fn complete(&self) -> bool {
        self.stage == Stage::Live && self.done_count >= self.loads
    }

    /// Whether the job failed on several machines and nowhere succeeded since.
    pub fn suspect(&self) -> bool {
        self.failed_on.len() >= c::BAD_JOB_MACHINES
    }
}

/// What a team uses, unsettled work included.
pub type Usage = HashMap<String, Resources>;

/// The books.
#[derive(Debug, Default)]
pub struct Books {
    pub jobs: HashMap<Name, Job>,
    /// Live jobs by arrival.
    pub queue: BTreeMap<u64, Name>,
    pub machines: BTreeMap<Name, Machine>,
    pub usage: Usage,
    /// Keys to remove when there is room in a commit: key, stamp.
    pub garbage: Vec<(String, u64)>,
}

impl Books {
    /// Builds the books at the start of a term. Every placement counts as possibly running.
    pub fn from_replica(r: &Replica, now: u64) -> Books {
        let mut b = Books::default();
        for (name, place) in &r.places {
            if place.value.tasks.is_empty() && place.value.kits.is_empty() {
                b.garbage.push((place_key(name), place.stamp));
                continue;
            }
            let mut m = Machine::new(name.clone(), now);
            m.life = Life::Unheard;
            m.key_stamp = place.stamp;
            m.kits = place.value.kits.clone();
            for (job, task, attempt) in &place.value.tasks {
                let p = Placement::new(*attempt, Phase::Committed, now);
                m.placements.insert((Name::from(job.as_str()), *task), p);
            }
            b.machines.insert(name.clone(), m);
        }
        for (uid, job) in &r.jobs {
            if job.value.stage == Stage::Live || r.placed(uid) > 0 {
                b.add_job(r, uid);
            }
        }
        for (uid, chunks) in &r.done {
            if r.jobs.get(uid).is_some_and(|j| j.value.stage != Stage::Live) {
                b.garbage.extend(chunks.iter().map(|(n, d)| (done_key(uid, *n), d.stamp)));
            }
        }
        b
    }

    /// Takes a job of the replica into the books.
    pub fn add_job(&mut self, r: &Replica, uid: &Name) {
        let Some(rec) = r.jobs.get(uid) else { return };
        let spec = rec.value.spec.clone();
        let done = r.done_bitmap(uid);
        let mut job = Job {
            uid: uid.clone(),
            need: spec.as_ref().map(|s| s.need()).unwrap_or_default(),
            spec,
            stage: rec.value.stage,
            stamp: rec.stamp,
            at_wall: rec.value.at,
            loads: rec.value.loads,
            done_count: done.count(),
            done,
            dirty_chunks: BTreeSet::new(),
            chunk_stamps: r
                .done
                .get(uid)
                .into_iter()
                .flatten()
                .map(|(n, d)| (*n, d.stamp))
                .collect(),
            next_fresh: 0,
            returned: BTreeSet::new(),
            placed: BTreeMap::new(),
            settling: HashSet::new(),
            failed_on: HashSet::new(),
            fail_pause_ms: 0,
            paused_until: 0,
            successes: 0,
            begun: false,
        };
        for m in self.machines.values_mut() {
            for ((j, task), p) in &mut m.placements {
                if j == uid {
                    job.placed.insert(*task, m.name.clone());
                    if job.stage != Stage::Live || job.done.get(*task) {
                        p.halt = Some(Halt::Unwanted);
                    }
                }
            }
        }
        let last = (0..job.loads).rev().find(|t| job.done.get(*t) || job.placed.contains_key(t));
        job.next_fresh = last.map_or(0, |t| t + 1);
        for t in 0..job.next_fresh {
            if !job.done.get(t) && !job.placed.contains_key(&t) {
                job.returned.insert(t);
            }
        }
        if let Some(spec) = &job.spec {
            let used = job.need * job.placed.len() as i64;
            *self.usage.entry(spec.crew.clone()).or_default() += used;
        }
        if job.stage == Stage::Live {
            self.queue.insert(job.stamp, uid.clone());
        }
        self.jobs.insert(uid.clone(), job);
    }

    /// A job changed in the store: a new one, or one that is over.
    pub fn job_changed(&mut self, r: &Replica, uid: &Name) {
        let Some(rec) = r.jobs.get(uid) else { return };
        if !self.jobs.contains_key(uid) {
            if rec.value.stage == Stage::Live {
                self.add_job(r, uid);
            }
            return;
        }
        if rec.value.stage != Stage::Live {
            self.end_job(uid, rec.value.stage, rec.stamp);
        }
    }

    /// A job is over: what waits is dropped, what runs is halted.
    pub fn end_job(&mut self, uid: &Name, stage: Stage, stamp: u64) {
        let Some(job) = self.jobs.get_mut(uid) else {
            return;
        };
        if job.stage != Stage::Live {
            return;
        }
        self.queue.remove(&job.stamp);
        job.stage = stage;
        job.stamp = stamp;
        job.returned.clear();
        job.next_fresh = job.loads;
        job.dirty_chunks.clear();
        for (n, s) in job.chunk_stamps.drain() {
            self.garbage.push((done_key(uid, n), s));
        }
        let placed: Vec<(u32, Name)> = job.placed.iter().map(|(t, m)| (*t, m.clone())).collect();
        for (task, machine) in placed {
            let id = (uid.clone(), task);
            // A placement that is only proposed is halted too: if the commit under way stores
            // it, it must not be ordered any more.
            let Some(m) = self.machines.get_mut(&machine) else { continue };
            if let Some(p) = m.placements.get_mut(&id) {
                p.halt = Some(Halt::Unwanted);
            }
        }
        self.drop_if_over(uid);
    }

    /// Forgets a job that is over and has nothing on machines.
    pub fn drop_if_over(&mut self, uid: &Name) {
        if self
            .jobs
            .get(uid)
            .is_some_and(|j| j.stage != Stage::Live && j.placed.is_empty() && j.settling.is_empty())
        {
            self.jobs.remove(uid);
        }
    }

    /// Proposes a placement.
    pub fn propose(&mut self, uid: &Name, task: u32, machine: &Name, attempt: u64, now: u64) {
        let (Some(job), Some(m)) = (self.jobs.get_mut(uid), self.machines.get_mut(machine)) else {
            return;
        };
        job.take_waiting(task);
        job.placed.insert(task, machine.clone());
        if let Some(spec) = &job.spec {
            *self.usage.entry(spec.crew.clone()).or_default() += job.need;
        }
        let p = Placement::new(attempt, Phase::Proposed, now);
        m.placements.insert((uid.clone(), task), p);
        m.idle_since = None;
        m.touch(true);
    }

    /// Evidence has settled a placement: it no longer counts for place and quota, and its
    /// task is free again once the settlement is committed.
    pub fn settle(&mut self, machine: &Name, id: &TaskId, cause: Cause) {
        let Some(m) = self.machines.get_mut(machine) else {
            return;
        };
        let Some(p) = m.placements.get_mut(id) else {
            return;
        };
        if p.ended.is_some() {
            return;
        }
        p.ended = Some(cause);
        let Some(job) = self.jobs.get_mut(&id.0) else {
            m.touch(true);
            return;
        };
        job.placed.remove(&id.1);
        job.settling.insert(id.1);
        if let Some(spec) = &job.spec {
            if let Some(u) = self.usage.get_mut(&spec.crew) {
                *u -= job.need;
            }
        }
        if cause == Cause::Done && job.stage == Stage::Live {
            if job.done.set(id.1) {
                job.done_count += 1;
                job.dirty_chunks.insert(id.1 / c::DONE_CHUNK_TASKS);
            }
            job.successes += 1;
            job.failed_on.clear();
            job.fail_pause_ms = 0;
            m.successes += 1;
        }
        let urgent = cause != Cause::Done || job.complete() || job.waiting() > 0;
        m.touch(urgent);
    }

    /// A settlement is committed: the placement is taken out and the task, unless it is
    /// done or not wanted any more, waits again.
    pub fn settled(&mut self, machine: &Name, id: &TaskId) {
        if let Some(m) = self.machines.get_mut(machine) {
            m.placements.remove(id);
        }
        if let Some(job) = self.jobs.get_mut(&id.0) {
            job.settling.remove(&id.1);
            if job.stage == Stage::Live && !job.done.get(id.1) {
                job.returned.insert(id.1);
            }
        }
        self.drop_if_over(&id.0);
    }

    /// Settles all placements of a machine: they are surely gone.
    pub fn settle_all(&mut self, machine: &Name) {
        let ids: Vec<TaskId> = self
            .machines
            .get(machine)
            .into_iter()
            .flat_map(|m| m.placements.iter())
            .filter(|(_, p)| p.ended.is_none() && p.phase == Phase::Committed)
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            self.settle(machine, &id, Cause::Lost);
        }
    }

    /// What is free on a machine, all unsettled placements counted.
    pub fn free(&self, m: &Machine) -> Resources {
        let mut free = m.total;
        for ((job, _), p) in &m.placements {
            if p.ended.is_none() {
                if let Some(j) = self.jobs.get(job) {
                    free -= j.need;
                }
            }
        }
        free
    }

    /// Room for services on a machine: what is free, and what tasks hold that may be stopped
    /// for them.
    pub fn room_for_services(&self, m: &Machine) -> Resources {
        let mut room = self.free(m);
        for ((uid, _), p) in &m.placements {
            if p.ended.is_none() && !self.is_standing(uid) {
                if let Some(j) = self.jobs.get(uid) {
                    room += j.need;
                }
            }
        }
        room
    }

    /// Whether a job's tasks run until it is withdrawn.
    pub fn is_standing(&self, uid: &str) -> bool {
        self.jobs.get(uid).and_then(|j| j.spec.as_ref()).is_some_and(|s| s.shape == Shape::Standing)
    }
}
