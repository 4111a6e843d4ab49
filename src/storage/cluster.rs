//! The leader's state of the cluster: jobs, machines, placements and what teams use.
//!
//! Built from the store when a term begins. A task has at most one placement that is not
//! settled; a placement counts for place and quota until evidence settles it, and what
//! settled it is committed before anything else is done with the task.

use super::gangs::GangState;
use super::hashing::{HashKeys, HashMap};
use super::job::Job;
use super::machine::{Machine, MachineState, Placement, PlacementPhase, StopReason, TaskId};
use super::records::{parse_chunk, JobId, JobStage, MachineName, StoredPlacement};
use super::replica::Replica;
use crate::constants::DONE_CHUNK_TASKS;
use crate::protocol::users::JobKind;
use crate::protocol::workers::EndCause;
use crate::protocol::Resources;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What a team uses, unsettled work included.
pub type Usage = HashMap<String, Resources>;

/// A stored group of placements: one key of the store.
#[derive(Debug, Default)]
pub struct Group {
    /// Revision of its key.
    pub mod_revision: u64,
    /// What the store has, with the machine and the length of the text.
    pub placements: BTreeMap<(TaskId, u64), (MachineName, usize)>,
    /// Bytes of the value.
    pub bytes: usize,
    /// Settled placements to take out.
    pub settled: BTreeSet<(TaskId, u64)>,
    /// One of them must be out soon: its task waits for that.
    pub urgent: bool,
}

/// A stored group of bitmaps.
#[derive(Debug, Default)]
pub struct DoneGroup {
    /// Revision of its key.
    pub mod_revision: u64,
    /// Job and chunk, with the bytes that it takes at the most.
    pub chunks: BTreeMap<(JobId, u32), usize>,
    /// Bytes of the value at the most.
    pub bytes: usize,
    /// It has changed since it was stored.
    pub dirty: bool,
}

/// The state of the cluster, as the leader of a term sees it.
#[derive(Debug)]
pub struct ClusterState {
    /// Jobs that are live, or still have tasks on machines.
    pub jobs: HashMap<JobId, Job>,
    /// Live jobs by arrival.
    pub queue: BTreeMap<u64, JobId>,
    /// Machines that are known.
    pub machines: BTreeMap<MachineName, Machine>,
    /// What each team uses.
    pub usage: Usage,
    /// Stored groups of placements, by number.
    pub groups: BTreeMap<u32, Group>,
    /// Stored groups of bitmaps, by number.
    pub done_groups: BTreeMap<u32, DoneGroup>,
    /// Placements that wait to be stored, in the order decided.
    pub proposals: VecDeque<(MachineName, TaskId)>,
    /// A gang among the proposals did not fit into the last commit beside other changes.
    pub gang_is_deferred: bool,
    /// Placements that ended without being in any group.
    pub unstored_settlements: Vec<(MachineName, TaskId)>,
    /// Live jobs whose tasks are all done.
    pub completed_jobs: BTreeSet<JobId>,
    /// Images on machines that are not known yet in this term.
    pub stored_images: HashMap<MachineName, Vec<(String, f64)>>,
    /// Keys to remove when there is room in a commit: key, stamp.
    pub stale_keys: Vec<(String, u64)>,
}

impl ClusterState {
    /// A cluster of which nothing is known yet.
    pub fn new(keys: HashKeys) -> ClusterState {
        ClusterState {
            jobs: keys.map(),
            queue: BTreeMap::new(),
            machines: BTreeMap::new(),
            usage: keys.map(),
            groups: BTreeMap::new(),
            done_groups: BTreeMap::new(),
            proposals: VecDeque::new(),
            gang_is_deferred: false,
            unstored_settlements: Vec::new(),
            completed_jobs: BTreeSet::new(),
            stored_images: keys.map(),
            stale_keys: Vec::new(),
        }
    }

    /// The keys of its hash maps.
    pub fn hash_keys(&self) -> HashKeys {
        *self.jobs.hasher()
    }

    /// Builds the state at the start of a term. Every placement counts as possibly running.
    pub fn from_replica(r: &Replica, now: u64) -> ClusterState {
        let mut b = ClusterState::new(r.hash_keys());
        for part in r.images.values() {
            for (machine, held) in &part.value.held {
                let images =
                    held.iter().filter_map(|i| part.value.images.get(*i).cloned()).collect();
                b.stored_images.insert(machine.as_str().into(), images);
            }
        }
        let mut placed: HashMap<JobId, Vec<(u32, MachineName)>> = r.hash_keys().map();
        for (n, rec) in &r.places {
            let mut group = Group { mod_revision: rec.mod_revision, ..Group::default() };
            for p in rec.value.placed() {
                let id = TaskId::new(p.uid(), p.task);
                let name: MachineName = p.machine.into();
                let text = StoredPlacement::text(&id.job, p.task, p.machine, p.attempt)
                    .unwrap_or_default();
                group.bytes += text.len() + 1;
                group.placements.insert((id.clone(), p.attempt), (name.clone(), text.len() + 1));
                let m = b.machine_entry(&name, now);
                m.state = MachineState::AwaitingHeartbeat;
                if m.placements.contains_key(&id) {
                    log::error!("{id}: stored twice on {name}");
                    group.settled.insert((id, p.attempt));
                    continue;
                }
                let mut held = Placement::new(p.attempt, PlacementPhase::Committed, now);
                held.group = Some(*n);
                m.placements.insert(id.clone(), held);
                placed.entry(id.job).or_default().push((id.index, name));
            }
            b.groups.insert(*n, group);
        }
        for (uid, job) in &r.jobs {
            let on = placed.get(uid).map_or(&[][..], |v| v);
            if job.value.stage == JobStage::Live || !on.is_empty() {
                b.add_job(r, uid, on);
            }
        }
        for (n, rec) in &r.done {
            let mut group = DoneGroup { mod_revision: rec.mod_revision, ..DoneGroup::default() };
            for (uid, chunk) in rec.value.bits.keys().filter_map(|k| parse_chunk(k)) {
                let Some(job) = b.jobs.get_mut(uid).filter(|j| j.stage == JobStage::Live) else {
                    continue;
                };
                let bytes = job.chunk_bytes(chunk);
                job.chunk_groups.insert(chunk, *n);
                group.bytes += bytes;
                group.chunks.insert((job.uid.clone(), chunk), bytes);
            }
            b.done_groups.insert(*n, group);
        }
        b.stop_incomplete_gangs();
        b
    }

    /// Whether any task waits for a machine.
    pub fn has_waiting_tasks(&self) -> bool {
        self.queue.values().filter_map(|uid| self.jobs.get(uid)).any(|j| j.waiting() > 0)
    }

    /// A machine by name, made if it is new.
    pub fn machine_entry(&mut self, name: &MachineName, now: u64) -> &mut Machine {
        if !self.machines.contains_key(name) {
            let mut m = Machine::new(name.clone(), now);
            m.images = self.stored_images.remove(name).unwrap_or_default();
            self.machines.insert(name.clone(), m);
        }
        self.machines.get_mut(name).expect("just made")
    }

    /// Adds a job of the replica; `on` are its tasks on machines.
    pub fn add_job(&mut self, r: &Replica, uid: &JobId, on: &[(u32, MachineName)]) {
        let Some(rec) = r.jobs.get(uid) else { return };
        let spec = rec.value.spec.clone();
        let done = r.done_bitmap(uid);
        let gang = spec.as_ref().filter(|s| s.is_gang()).map(|_| GangState::default());
        let keys = self.hash_keys();
        let mut job = Job {
            uid: uid.clone(),
            gang,
            need: spec.as_ref().map(|s| s.need()).unwrap_or_default(),
            spec,
            stage: rec.value.stage,
            arrival: rec.mod_revision,
            accepted_at_wall_ms: rec.value.at,
            tasks: rec.value.tasks,
            done_count: done.count(),
            done,
            dirty_chunks: BTreeSet::new(),
            chunk_groups: keys.map(),
            first_never_placed: 0,
            requeued: BTreeSet::new(),
            placed_on: BTreeMap::new(),
            settling: keys.set(),
            failed_on: keys.set(),
            fail_pause_ms: 0,
            paused_until: 0,
            successes: 0,
            has_started: false,
            quarantined: r.is_flagged(uid),
        };
        for (task, machine) in on {
            job.placed_on.insert(*task, machine.clone());
            let held = self.machines.get_mut(machine).map(|m| &mut m.placements);
            if let Some(p) = held.and_then(|p| p.get_mut(&TaskId::new(uid.clone(), *task))) {
                if job.stage != JobStage::Live || job.done.get(*task) {
                    p.stop_reason = Some(StopReason::NotNeeded);
                } else if job.quarantined {
                    p.stop_reason = Some(StopReason::Eviction);
                }
            }
        }
        let last = (0..job.tasks).rev().find(|t| job.done.get(*t) || job.placed_on.contains_key(t));
        job.first_never_placed = last.map_or(0, |t| t + 1);
        for t in 0..job.first_never_placed {
            if !job.done.get(t) && !job.placed_on.contains_key(&t) {
                job.requeued.insert(t);
            }
        }
        if let Some(spec) = &job.spec {
            let used = job.need * job.placed_on.len() as i64;
            *self.usage.entry(spec.team.clone()).or_default() += used;
        }
        if job.stage == JobStage::Live {
            self.queue.insert(job.arrival, uid.clone());
        }
        if job.complete() {
            self.completed_jobs.insert(uid.clone());
        }
        self.jobs.insert(uid.clone(), job);
    }

    /// A job changed in the store: a new one, or one that is over.
    pub fn job_changed(&mut self, r: &Replica, uid: &JobId, now: u64) {
        let Some(rec) = r.jobs.get(uid) else { return };
        if !self.jobs.contains_key(uid) {
            if rec.value.stage == JobStage::Live {
                // Only a store that has lost data names placements of a job that it doesn't know. They were
                // once left out when its description came back, and tasks ran twice.
                let on = if r.store.is_some() { self.placed_tasks_of(uid) } else { Vec::new() };
                self.add_job(r, uid, &on);
                self.adopt_tasks_of(uid, now);
            }
            return;
        }
        if rec.value.stage != JobStage::Live {
            return self.end_job(uid, rec.value.stage);
        }
        let withheld = r.is_flagged(uid);
        let Some(job) = self.jobs.get_mut(uid).filter(|job| job.quarantined != withheld) else {
            return;
        };
        job.quarantined = withheld;
        if job.complete() {
            self.completed_jobs.insert(uid.clone());
        }
    }

    /// A job is over: what waits is dropped, what runs is halted.
    pub fn end_job(&mut self, uid: &JobId, stage: JobStage) {
        let Some(job) = self.jobs.get_mut(uid) else {
            return;
        };
        if job.stage != JobStage::Live {
            return;
        }
        self.queue.remove(&job.arrival);
        self.completed_jobs.remove(uid);
        job.stage = stage;
        job.requeued.clear();
        job.first_never_placed = job.tasks;
        job.dirty_chunks.clear();
        for (chunk, n) in job.chunk_groups.drain() {
            if let Some(g) = self.done_groups.get_mut(&n) {
                g.bytes -= g.chunks.remove(&(uid.clone(), chunk)).unwrap_or(0);
            }
        }
        let placed: Vec<(u32, MachineName)> =
            job.placed_on.iter().map(|(t, m)| (*t, m.clone())).collect();
        for (task, machine) in placed {
            let id = TaskId::new(uid.clone(), task);
            // A placement that is only proposed is halted too: if the commit under way stores
            // it, it must not be ordered any more.
            let Some(m) = self.machines.get_mut(&machine) else { continue };
            if let Some(p) = m.placements.get_mut(&id) {
                p.stop_reason = Some(StopReason::NotNeeded);
            }
        }
        self.forget_if_finished(uid);
    }

    /// Forgets a job that is over and has nothing on machines.
    pub fn forget_if_finished(&mut self, uid: &JobId) {
        if self.jobs.get(uid).is_some_and(|j| {
            j.stage != JobStage::Live && j.placed_on.is_empty() && j.settling.is_empty()
        }) {
            self.jobs.remove(uid);
        }
    }

    /// Proposes a placement.
    pub fn propose(
        &mut self,
        uid: &JobId,
        task: u32,
        machine: &MachineName,
        attempt: u64,
        now: u64,
    ) {
        let (Some(job), Some(m)) = (self.jobs.get_mut(uid), self.machines.get_mut(machine)) else {
            return;
        };
        job.take_from_waiting(task);
        job.placed_on.insert(task, machine.clone());
        if let Some(spec) = &job.spec {
            *self.usage.entry(spec.team.clone()).or_default() += job.need;
        }
        let p = Placement::new(attempt, PlacementPhase::Proposed, now);
        let id = TaskId::new(uid.clone(), task);
        m.placements.insert(id.clone(), p);
        m.idle_since = None;
        m.uncommitted_placements += 1;
        self.proposals.push_back((machine.clone(), id));
    }

    /// Takes back a proposal that never reached the store.
    pub fn retract(&mut self, machine: &MachineName, id: &TaskId) {
        let Some(m) = self.machines.get_mut(machine) else { return };
        m.uncommitted_placements = m.uncommitted_placements.saturating_sub(1);
        let open = |p: &Placement| p.phase == PlacementPhase::Proposed && p.settled.is_none();
        if !m.placements.get(id).is_some_and(open) {
            return;
        }
        m.placements.remove(id);
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        job.placed_on.remove(&id.index);
        if let Some(u) = job.spec.as_ref().and_then(|s| self.usage.get_mut(&s.team)) {
            *u -= job.need;
        }
        if job.stage == JobStage::Live && !job.done.get(id.index) {
            job.requeued.insert(id.index);
        }
        self.forget_if_finished(&id.job);
    }

    /// A placement is in the store.
    pub fn committed(&mut self, machine: &MachineName, id: &TaskId, attempt: u64, group: u32) {
        let Some(m) = self.machines.get_mut(machine) else { return };
        m.uncommitted_placements = m.uncommitted_placements.saturating_sub(1);
        let Some(p) = m.placements.get_mut(id).filter(|p| p.attempt == attempt) else { return };
        p.phase = PlacementPhase::Committed;
        p.group = Some(group);
        // Settled while the commit was under way.
        if let (Some(cause), Some(g)) = (p.settled, self.groups.get_mut(&group)) {
            g.settled.insert((id.clone(), attempt));
            g.urgent |= cause != EndCause::Done;
        }
    }

    /// Evidence has settled a placement: it no longer counts for place and quota, and its
    /// task is free again once the settlement is committed.
    pub fn settle(&mut self, machine: &MachineName, id: &TaskId, cause: EndCause) {
        let Some(m) = self.machines.get_mut(machine) else {
            return;
        };
        let Some(p) = m.placements.get_mut(id) else {
            return;
        };
        if p.settled.is_some() {
            return;
        }
        p.settled = Some(cause);
        let attempt = p.attempt;
        let job = self.jobs.get_mut(&id.job);
        match p.group.and_then(|g| self.groups.get_mut(&g)) {
            Some(g) => {
                g.settled.insert((id.clone(), attempt));
                // Its task may start again only once this is in the store.
                let again = job.as_ref().is_some_and(|j| j.stage == JobStage::Live);
                g.urgent |= again && cause != EndCause::Done;
            }
            None => self.unstored_settlements.push((machine.clone(), id.clone())),
        }
        let Some(job) = job else { return };
        if job.placed_on.get(&id.index) == Some(machine) {
            job.placed_on.remove(&id.index);
        }
        job.settling.insert(id.index);
        if let Some(u) = job.spec.as_ref().and_then(|s| self.usage.get_mut(&s.team)) {
            *u -= job.need;
        }
        if cause == EndCause::Done && job.stage == JobStage::Live {
            if job.done.set(id.index) {
                job.done_count += 1;
                job.dirty_chunks.insert(id.index / DONE_CHUNK_TASKS);
            }
            job.successes += 1;
            job.failed_on.clear();
            job.fail_pause_ms = 0;
            m.successes += 1;
            if job.complete() {
                self.completed_jobs.insert(job.uid.clone());
            }
        }
        if job.is_gang() {
            self.gang_task_settled(&id.job, cause);
        }
    }

    /// A settlement is committed: the placement is taken out and the task, unless it is
    /// done or not wanted any more, waits again.
    ///
    /// Only the attempt that was settled: its task may have been placed again since, even on
    /// the same machine. Settling one attempt twice once let a task wait that was placed.
    pub fn settlement_committed(&mut self, machine: &MachineName, id: &TaskId, attempt: u64) {
        let Some(m) = self.machines.get_mut(machine) else { return };
        let over = |p: &Placement| p.attempt == attempt && p.settled.is_some();
        if !m.placements.get(id).is_some_and(over) {
            return;
        }
        m.placements.remove(id);
        if let Some(job) = self.jobs.get_mut(&id.job) {
            let waits = job.settling.remove(&id.index) && !job.placed_on.contains_key(&id.index);
            if waits && job.stage == JobStage::Live && !job.done.get(id.index) {
                job.requeued.insert(id.index);
            }
        }
        self.forget_if_finished(&id.job);
    }

    /// Takes out placements that ended without ever being in the store.
    pub fn drop_unstored_settlements(&mut self) -> bool {
        let loose = std::mem::take(&mut self.unstored_settlements);
        let any = !loose.is_empty();
        for (machine, id) in loose {
            let held = self.machines.get(&machine).and_then(|m| m.placements.get(&id));
            // Stored meanwhile: it is taken out of its group first.
            if let Some(attempt) = held.filter(|p| p.group.is_none()).map(|p| p.attempt) {
                self.settlement_committed(&machine, &id, attempt);
            }
        }
        any
    }

    /// Settles all placements of a machine: they are surely gone.
    pub fn settle_machine(&mut self, machine: &MachineName) {
        let ids: Vec<TaskId> = self
            .machines
            .get(machine)
            .into_iter()
            .flat_map(|m| m.placements.iter())
            .filter(|(_, p)| p.settled.is_none() && p.phase == PlacementPhase::Committed)
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            self.settle(machine, &id, EndCause::Lost);
        }
    }

    /// What is free on a machine, all unsettled placements counted.
    pub fn free(&self, m: &Machine) -> Resources {
        let mut free = m.total;
        for (id, p) in &m.placements {
            if p.settled.is_none() {
                if let Some(j) = self.jobs.get(&id.job) {
                    free -= j.need;
                }
            }
        }
        free
    }

    /// What tasks of unknown jobs may use at the most. Their teams are not known, so it counts for
    /// each: a team may not use more than its limit whoever they belong to.
    pub fn used_by_unknown_tasks(&self) -> Resources {
        let mut used = Resources::default();
        for machine in self.machines.values().filter(|m| !m.unknown_tasks.is_empty()) {
            used += self.free(machine);
        }
        used
    }

    /// Room for services on a machine: what is free, and what tasks hold that may be stopped
    /// for them.
    pub fn room_for_services(&self, m: &Machine) -> Resources {
        let mut room = self.free(m);
        for (id, p) in &m.placements {
            if p.settled.is_none() && !self.is_service(&id.job) {
                if let Some(j) = self.jobs.get(&id.job) {
                    room += j.need;
                }
            }
        }
        room
    }

    /// A job's tasks on machines.
    pub fn placements_of<'a>(&'a self, job: &'a Job) -> impl Iterator<Item = &'a Placement> {
        job.placed_on.iter().filter_map(|(task, machine)| {
            self.machines.get(machine)?.placements.get(&TaskId::new(job.uid.clone(), *task))
        })
    }

    /// Whether a job's tasks run until it is withdrawn.
    pub fn is_service(&self, uid: &str) -> bool {
        self.jobs.get(uid).and_then(|j| j.spec.as_ref()).is_some_and(|s| s.kind == JobKind::Service)
    }
}

#[cfg(test)]
mod tests;
