//! The input of a planning pass.

use crate::constants::{STARVING_MS, STARVING_STARTED_MS};
use crate::protocol::users::Priority;
use crate::protocol::Resources;

/// A running task.
#[derive(Debug, Clone)]
pub struct RunningTask {
    /// Priority of its job.
    pub priority: Priority,
    /// Index of its team; `None` if unknown.
    pub team: Option<usize>,
    /// Resources that it takes on its machine.
    pub need: Resources,
    /// Shared bandwidth that it takes, in units of one core's bandwidth.
    pub bandwidth: f64,
    /// Estimated end, on the planner's clock.
    pub end_ms: u64,
    /// It belongs to a service, which runs until its job is cancelled.
    pub is_service: bool,
    /// Milliseconds since it was first reported as running; `None` if it has not been yet.
    pub ran_ms: Option<u64>,
    /// Its progress is saved when it is stopped.
    pub keeps_progress: bool,
    /// Number of tasks that stop if it is preempted: all tasks of its gang, or 1.
    pub tasks_stopped: u32,
    /// It has already been told to stop.
    pub is_stopping: bool,
    /// Milliseconds that it takes to stop.
    pub stop_ms: u64,
    /// Identifies the task to the caller; the planner copies it into
    /// [`Preemption`](super::Preemption).
    pub handle: usize,
}

/// An image that a machine has cached or is fetching.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CachedImage {
    /// Index of the image.
    pub image: usize,
    /// Milliseconds until it is cached; 0 if it is already.
    pub ready_in_ms: u64,
}

impl CachedImage {
    /// An image that the machine has cached.
    pub fn ready(image: usize) -> CachedImage {
        CachedImage { image, ready_in_ms: 0 }
    }
}

/// A machine on which tasks may be placed.
#[derive(Debug, Clone)]
pub struct MachineView {
    /// Index of its zone.
    pub zone: usize,
    /// Index of its machine type.
    pub type_index: usize,
    /// It is a spot machine, which the cloud may reclaim.
    pub spot: bool,
    /// Its total resources.
    pub total: Resources,
    /// How many more tasks its heartbeat can list; 0 while a task shows whether it works again.
    pub free_task_slots: usize,
    /// Gets one task, or one gang, to show whether it works again.
    pub on_probation: bool,
    /// Tasks placed on it that have not ended.
    pub running: Vec<RunningTask>,
    /// Images that it has cached or is fetching.
    pub images: Vec<CachedImage>,
    /// Milliseconds to fetch a gigabyte.
    pub fetch_ms_per_gb: f64,
    /// Milliseconds until its next heartbeat is expected; tasks are started by the response to a
    /// heartbeat.
    pub next_heartbeat_ms: u64,
}

/// A job with waiting tasks.
#[derive(Debug, Clone)]
pub struct JobView {
    /// Priority.
    pub priority: Priority,
    /// Index of its team.
    pub team: usize,
    /// It is a service: its tasks run until it is cancelled.
    pub is_service: bool,
    /// All its tasks must run at the same time, so either all or none of them are placed.
    pub is_gang: bool,
    /// Sequence number in order of arrival.
    pub arrival: u64,
    /// Milliseconds since it was accepted.
    pub waited_ms: u64,
    /// Milliseconds until each of its deadlines, in rising order. Jobs that can meet their
    /// deadlines are served before those that can't.
    pub due_in_ms: Vec<u64>,
    /// The job, together with its team's earlier unfinished jobs, fits into the team's guarantee.
    pub within_guarantee: bool,
    /// Resources that each task takes.
    pub need: Resources,
    /// Shared bandwidth that each task takes, in units of one core's bandwidth.
    pub bandwidth: f64,
    /// Estimated run time of a task in milliseconds, without fetching the image.
    pub run_ms: u64,
    /// Whether it may run on each machine type, by index.
    pub allowed_types: Vec<bool>,
    /// Index of the only zone in which it may run; `None` if any zone will do.
    pub zone: Option<usize>,
    /// It may use spot machines.
    pub spot_allowed: bool,
    /// Tasks placed and not known to have ended, per zone.
    pub tasks_per_zone: Vec<u32>,
    /// Maximum number of its tasks in one zone.
    pub max_tasks_per_zone: u32,
    /// All its tasks must be in the same zone.
    pub one_zone: bool,
    /// Tasks that are not placed yet.
    pub waiting_tasks: u32,
    /// One of its tasks has started before or is placed.
    pub has_started: bool,
    /// Index of its image.
    pub image: usize,
    /// Size of its image in gigabytes.
    pub image_gb: f64,
    /// Indices of machines that it avoids because its tasks failed there.
    pub avoided_machines: Vec<usize>,
    /// Those of [`Self::avoided_machines`] that get one task of it if no other machine can start it now.
    pub retryable_machines: Vec<usize>,
}

impl JobView {
    /// Whether it has waited so long that it takes precedence over jobs that would otherwise go
    /// first.
    pub(super) fn is_starving(&self) -> bool {
        self.waited_ms >= if self.has_started { STARVING_STARTED_MS } else { STARVING_MS }
    }
}

/// A team.
#[derive(Debug, Clone, Default)]
pub struct TeamView {
    /// Resources that its placed tasks take.
    pub used: Resources,
    /// Resources that it is guaranteed; 0 in a dimension: no guarantee.
    pub guarantee: Resources,
    /// Maximum resources of its tasks; 0 in a dimension: no limit.
    pub limit: Resources,
    /// Share of the machines that it may use while other teams wait, in thousandths.
    pub share_permille: i64,
}

/// A machine that is booting.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BootingMachine {
    /// Milliseconds until it is expected to be up.
    pub ready_in_ms: u64,
    /// Its total resources.
    pub total: Resources,
}

/// Mean milliseconds until booting machines are up, for on-demand and for spot machines; `None`
/// unless many of that kind are booting.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MeanBootWait {
    /// For on-demand machines.
    pub on_demand_ms: Option<u64>,
    /// For spot machines.
    pub spot_ms: Option<u64>,
}

/// A job and a machine: the placement of one task, or a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobOnMachine {
    /// Index of the job.
    pub job: usize,
    /// Index of the machine.
    pub machine: usize,
}

/// The input of a planning pass.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// The current time on the planner's clock.
    pub now_ms: u64,
    /// Penalty-factor thresholds, in rising order.
    pub thresholds: Vec<f64>,
    /// Machines on which tasks may be placed.
    pub machines: Vec<MachineView>,
    /// Jobs with waiting tasks.
    pub jobs: Vec<JobView>,
    /// All teams.
    pub teams: Vec<TeamView>,
    /// Maximum milliseconds that started tasks of a gang wait for the others; 0 if unknown.
    pub gang_wait_ms: u64,
    /// Mean boot time of the machines that are booting.
    pub mean_boot_wait: MeanBootWait,
    /// Machines that are booting.
    pub booting: Vec<BootingMachine>,
    /// The reservation made by the previous pass. It stays on its machine if possible: if it moved
    /// between machines whenever estimates change, no machine would ever be drained for it.
    pub previous_reservation: Option<JobOnMachine>,
}

impl Snapshot {
    /// Total resources of all machines.
    pub(super) fn total(&self) -> Resources {
        let mut total = Resources::default();
        for machine in &self.machines {
            total += machine.total;
        }
        total
    }

    /// The minimum that any waiting task takes, separately for each dimension.
    pub(super) fn least_need(&self) -> Resources {
        let least = |amount: fn(&Resources) -> i64| {
            self.jobs.iter().map(|job| amount(&job.need)).min().unwrap_or(0)
        };
        Resources {
            cpu: least(|need| need.cpu),
            gpu: least(|need| need.gpu),
            ram: least(|need| need.ram),
        }
    }
}
