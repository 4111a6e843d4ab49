//! The state of a planning pass, and how each decision changes it.

use super::allocation::Allocation;
use super::allocation_cache::AllocationCache;
use super::plan::{Plan, Reservation};
use super::snapshot::{CachedImage, JobOnMachine, JobView, MachineView, Snapshot};
use crate::constants::{PLACEMENTS_PER_MACHINE, PLACEMENTS_PER_PASS};
use crate::protocol::{Resources, MILLI_PER_UNIT};
use crate::storage::reservation::{Bucket, ReservationRow};
use std::cell::Cell;

/// A planning pass under way: the snapshot and the decisions so far.
pub(super) struct Pass<'a> {
    pub(super) snapshot: &'a Snapshot,
    pub(super) machines: Vec<PlannedMachine>,
    pub(super) jobs: Vec<PlannedJob>,
    /// Resources that each team's tasks take, including those placed by this pass.
    pub(super) team_usage: Vec<Resources>,
    /// Total resources of all machines.
    pub(super) cluster_total: Resources,
    /// Capacity reserved for the head of the queue: one entry, or one for each machine of a gang.
    pub(super) reserved_capacity: Vec<ReservedCapacity>,
    /// Later starts that backfilling has reserved so far.
    pub(super) later_placements: usize,
    /// Machines with enough free capacity for a task; only these are considered for a start now.
    pub(super) machines_with_capacity: Vec<usize>,
    /// Allocations computed for the job that was considered last.
    pub(super) allocation_cache: AllocationCache,
    /// Candidate allocations computed so far.
    pub(super) candidates_examined: Cell<u64>,
    /// How many more tasks of starving jobs may be placed ahead of the other jobs.
    pub(super) starving_budget: usize,
    pub(super) plan: Plan,
}

/// A machine, with the decisions so far applied.
pub(super) struct PlannedMachine {
    /// Its row of the reservation table.
    pub(super) row: ReservationRow,
    pub(super) free_task_slots: usize,
    pub(super) service_tasks: i64,
    pub(super) images: Vec<CachedImage>,
    /// Milliseconds until the last image that it is fetching is cached.
    pub(super) images_ready_in_ms: u64,
    /// Capacity being freed on it by preemption; not available to jobs below high priority.
    pub(super) held_by_preemption: Resources,
    /// Number of tasks placed on it by this pass; shows whether an allocation chosen earlier is
    /// still valid.
    pub(super) placements: u32,
    /// Incremented on each change, starting from 1; shows whether cached allocations on it are
    /// still valid.
    pub(super) version: u32,
}

impl PlannedMachine {
    fn new(view: &MachineView, now_ms: u64) -> PlannedMachine {
        let mut row = ReservationRow {
            free: view.total,
            bandwidth_capacity: view.total.cpu as f64 / MILLI_PER_UNIT,
            ..ReservationRow::default()
        };
        for task in &view.running {
            let end_ms = task.end_ms.max(now_ms + 1);
            row.add(Bucket { end_ms, need: task.need, bandwidth: task.bandwidth });
        }
        PlannedMachine {
            row,
            free_task_slots: view.free_task_slots,
            service_tasks: view.running.iter().filter(|task| task.is_service).count() as i64,
            images: view.images.clone(),
            images_ready_in_ms: images_ready_in_ms(&view.images),
            held_by_preemption: Resources::default(),
            placements: 0,
            version: 1,
        }
    }

    /// The state of an image on the machine; `None` if it is neither cached nor being fetched.
    pub(super) fn image(&self, image: usize) -> Option<&CachedImage> {
        self.images.iter().find(|known| known.image == image)
    }

    /// Records that an image will be cached after `ready_in_ms`.
    fn record_image(&mut self, image: usize, ready_in_ms: u64) {
        if self.image(image).is_none() {
            self.images.push(CachedImage { image, ready_in_ms });
        }
        self.images_ready_in_ms = images_ready_in_ms(&self.images);
    }
}

/// A job, with the decisions so far applied.
pub(super) struct PlannedJob {
    pub(super) tasks_per_zone: Vec<u32>,
    pub(super) waiting_tasks: u32,
    /// Number of its deadlines that it is not expected to meet.
    pub(super) missed_deadlines: usize,
    /// Waiting tasks for which capacity is being freed by preemption; not part of `waiting_tasks`.
    pub(super) awaiting_preemption: u32,
}

impl PlannedJob {
    fn new(view: &JobView) -> PlannedJob {
        PlannedJob {
            tasks_per_zone: view.tasks_per_zone.clone(),
            waiting_tasks: view.waiting_tasks,
            missed_deadlines: 0,
            awaiting_preemption: 0,
        }
    }
}

/// Capacity reserved on a machine from `start_ms` on.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReservedCapacity {
    pub(super) machine: usize,
    pub(super) start_ms: u64,
    pub(super) need: Resources,
}

/// Runs a planning pass.
pub fn plan(snapshot: &Snapshot) -> Plan {
    let mut pass = Pass::new(snapshot);
    pass.run();
    let unplaced =
        pass.jobs.iter().map(|job| job.waiting_tasks + job.awaiting_preemption).collect();
    let candidates_examined = pass.candidates_examined.get();
    Plan { unplaced, candidates_examined, ..pass.plan }
}

impl<'a> Pass<'a> {
    fn new(snapshot: &'a Snapshot) -> Pass<'a> {
        let now_ms = snapshot.now_ms;
        let machines: Vec<PlannedMachine> =
            snapshot.machines.iter().map(|view| PlannedMachine::new(view, now_ms)).collect();
        let least_need = snapshot.least_need();
        let has_capacity = |machine: &usize| machines[*machine].row.free.fits(&least_need);
        let machines_with_capacity = (0..machines.len()).filter(has_capacity).collect();
        let expected_wait_ms = vec![Vec::new(); snapshot.jobs.len()];
        Pass {
            snapshot,
            machines,
            jobs: snapshot.jobs.iter().map(PlannedJob::new).collect(),
            team_usage: snapshot.teams.iter().map(|team| team.used).collect(),
            cluster_total: snapshot.total(),
            reserved_capacity: Vec::new(),
            later_placements: 0,
            machines_with_capacity,
            allocation_cache: AllocationCache::default(),
            candidates_examined: Cell::new(0),
            starving_budget: 0,
            plan: Plan { expected_wait_ms, ..Plan::default() },
        }
    }

    /// The job as the snapshot describes it.
    pub(super) fn job_view(&self, job: usize) -> &'a JobView {
        &self.snapshot.jobs[job]
    }

    /// The machine as the snapshot describes it.
    pub(super) fn machine_view(&self, machine: usize) -> &'a MachineView {
        &self.snapshot.machines[machine]
    }

    /// Whether the pass has made the maximum number of placements.
    pub(super) fn is_full(&self) -> bool {
        let max_placements =
            PLACEMENTS_PER_PASS as f64 + self.machines.len() as f64 * PLACEMENTS_PER_MACHINE;
        self.plan.placements.len() >= max_placements as usize
    }

    /// What the job's team uses if `tasks` more tasks of the job are placed.
    pub(super) fn usage_with(&self, job: usize, tasks: u32) -> Resources {
        let view = self.job_view(job);
        let mut usage = self.team_usage[view.team];
        usage += view.need * i64::from(tasks);
        usage
    }

    /// Whether the job's team stays within its limit if `tasks` more tasks of the job are placed.
    pub(super) fn is_within_limit(&self, job: usize, tasks: u32) -> bool {
        let limit = &self.snapshot.teams[self.job_view(job).team].limit;
        self.usage_with(job, tasks).is_within(limit)
    }

    /// Places the job's next task.
    pub(super) fn place(&mut self, job: usize, allocation: Allocation) {
        self.place_task(job, allocation.machine, allocation.end_ms());
    }

    /// Places the job's next task on a machine, where it is expected to run until `end_ms`.
    pub(super) fn place_task(&mut self, job: usize, machine: usize, end_ms: u64) {
        let view = self.job_view(job);
        let fetch_ms = self.fetch_ms(job, machine, self.snapshot.now_ms);
        let planned = &mut self.machines[machine];
        planned.row.add(Bucket { end_ms, need: view.need, bandwidth: view.bandwidth });
        planned.free_task_slots -= 1;
        planned.service_tasks += i64::from(view.is_service);
        planned.record_image(view.image, fetch_ms);
        planned.placements += 1;
        planned.version += 1;
        let zone = self.machine_view(machine).zone;
        self.jobs[job].tasks_per_zone[zone] += 1;
        self.jobs[job].waiting_tasks -= 1;
        self.team_usage[view.team] += view.need;
        self.plan.placements.push(JobOnMachine { job, machine });
    }

    /// Reserves capacity from a later time on for the job's next task.
    pub(super) fn reserve(&mut self, job: usize, allocation: Allocation) {
        let Allocation { machine, start_ms, length_ms, .. } = allocation;
        let need = self.job_view(job).need;
        self.reserved_capacity.push(ReservedCapacity { machine, start_ms, need });
        self.plan.reservation = Some(Reservation { job, machine, start_ms });
        self.record_expected_start(job, start_ms);
        self.reserve_slot(job, machine, start_ms, length_ms);
    }

    /// Records when a waiting task is expected to start.
    pub(super) fn record_expected_start(&mut self, job: usize, start_ms: u64) {
        self.plan.expected_wait_ms[job].push(start_ms - self.snapshot.now_ms);
    }

    /// Reserves a slot on the machine for a waiting task that is expected to run from `start_ms` on,
    /// so that later allocations of other tasks take it into account. Also invalidates the allocations
    /// cached for the machine, which covers other changes made to the machine just before this
    /// call.
    pub(super) fn reserve_slot(
        &mut self,
        job: usize,
        machine: usize,
        start_ms: u64,
        length_ms: u64,
    ) {
        let need = self.job_view(job).need;
        self.machines[machine].row.reserve(start_ms, length_ms, need);
        self.machines[machine].version += 1;
    }
}

/// Milliseconds until the last of the images is cached.
fn images_ready_in_ms(images: &[CachedImage]) -> u64 {
    images.iter().map(|image| image.ready_in_ms).max().unwrap_or(0)
}
