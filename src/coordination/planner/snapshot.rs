//! What a planning pass looks at.

use crate::constants::{STARVING_BEGUN_MS, STARVING_MS};
use crate::protocol::users::Priority;
use crate::protocol::Resources;

/// A task that runs, as far as planning goes.
#[derive(Debug, Clone)]
pub struct RunningTask {
    /// Priority of its job.
    pub priority: Priority,
    /// The team, by index; `None` if unknown.
    pub team: Option<usize>,
    /// What it takes of its machine.
    pub need: Resources,
    /// Shared bandwidth it takes, in cores' worth.
    pub bandwidth: f64,
    /// Estimated end, on the planner's clock.
    pub end_ms: u64,
    /// It runs until its job is cancelled.
    pub is_service: bool,
    /// Milliseconds since it was seen running; `None` if it was not yet.
    pub ran_ms: Option<u64>,
    /// It keeps its progress when it is stopped.
    pub keeps_progress: bool,
    /// Tasks that stop if it is stopped: all those of its gang, or itself.
    pub tasks_stopped: u32,
    /// It has been told to stop.
    pub is_stopping: bool,
    /// Milliseconds that stopping it takes.
    pub stop_ms: u64,
    /// The caller's handle.
    pub handle: usize,
}

/// An image that a machine holds or fetches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CachedImage {
    /// The image, by index.
    pub image: usize,
    /// Milliseconds until it is there.
    pub ready_in_ms: u64,
}

impl CachedImage {
    /// An image that the machine holds.
    pub fn ready(image: usize) -> CachedImage {
        CachedImage { image, ready_in_ms: 0 }
    }
}

/// A machine that planning may use.
#[derive(Debug, Clone)]
pub struct MachineView {
    /// Zone, by index.
    pub zone: usize,
    /// Machine type, by index.
    pub type_index: usize,
    /// It may be taken back by the cloud.
    pub spot: bool,
    /// What it has in all.
    pub total: Resources,
    /// How many more tasks its report can name.
    pub free_task_slots: usize,
    /// Tasks on it.
    pub running: Vec<RunningTask>,
    /// Images that it holds or fetches.
    pub images: Vec<CachedImage>,
    /// Milliseconds to fetch a gigabyte.
    pub fetch_ms_per_gb: f64,
    /// Milliseconds until its next report is expected, whose answer can start tasks.
    pub next_report_ms: u64,
}

/// A job with waiting tasks.
#[derive(Debug, Clone)]
pub struct JobView {
    /// Priority.
    pub priority: Priority,
    /// Team, by index.
    pub team: usize,
    /// Its tasks run until it is cancelled.
    pub is_service: bool,
    /// Its tasks all run at the same time: it is placed whole.
    pub is_gang: bool,
    /// Number that grows from job to job.
    pub arrival: u64,
    /// Milliseconds since it was accepted.
    pub waited_ms: u64,
    /// Milliseconds until each of the times by which it should be complete, the soonest first.
    /// Jobs that can be in time go before those that can't.
    pub due_in_ms: Vec<u64>,
    /// It fits into its team's guarantee together with the team's earlier unfinished jobs.
    pub within_guarantee: bool,
    /// What each task takes.
    pub need: Resources,
    /// Shared bandwidth that each task takes, in cores' worth.
    pub bandwidth: f64,
    /// Expected run time of a task in milliseconds, without its image.
    pub run_ms: u64,
    /// Whether it may run on a machine type, by index.
    pub allowed_types: Vec<bool>,
    /// The only allowed zone, by index.
    pub zone: Option<usize>,
    /// It may use spot machines.
    pub spot_allowed: bool,
    /// Unsettled tasks per zone.
    pub tasks_per_zone: Vec<u32>,
    /// Most tasks that may be in one zone.
    pub max_tasks_per_zone: u32,
    /// All its tasks must be in the same zone.
    pub one_zone: bool,
    /// Tasks that wait for a machine.
    pub waiting_tasks: u32,
    /// A task of it has started before, or is placed.
    pub has_started: bool,
    /// Its image, by index.
    pub image: usize,
    /// Size of its image in gigabytes.
    pub image_gb: f64,
    /// Machines it must not use for now (it failed there), by index.
    pub avoided_machines: Vec<usize>,
}

impl JobView {
    /// Whether it has waited for longer than anyone should.
    pub(super) fn is_starving(&self) -> bool {
        self.waited_ms >= if self.has_started { STARVING_BEGUN_MS } else { STARVING_MS }
    }
}

/// A team.
#[derive(Debug, Clone, Default)]
pub struct TeamView {
    /// What its unsettled tasks take.
    pub used: Resources,
    /// 0 in a dimension: none.
    pub guarantee: Resources,
    /// What its tasks may take at the most; 0 in a dimension: no limit.
    pub limit: Resources,
    /// The share of the machines that it may fill while others wait, in thousandths.
    pub share_permille: i64,
}

/// A machine on its way.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BootingMachine {
    /// Milliseconds until it is up.
    pub ready_in_ms: u64,
    /// What it has in all.
    pub total: Resources,
}

/// Mean milliseconds until machines are up, for each kind of which many are on their way.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MeanBootWait {
    /// For ordinary machines.
    pub ordinary_ms: Option<u64>,
    /// For spot machines.
    pub spot_ms: Option<u64>,
}

/// A job and a machine, by index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobOnMachine {
    /// The job.
    pub job: usize,
    /// The machine.
    pub machine: usize,
}

/// All that a pass looks at.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// The present, on the planner's clock.
    pub now_ms: u64,
    /// Penalty factors to try, in rising order.
    pub thresholds: Vec<f64>,
    /// Machines that may get tasks.
    pub machines: Vec<MachineView>,
    /// Jobs with waiting tasks.
    pub jobs: Vec<JobView>,
    /// All teams.
    pub teams: Vec<TeamView>,
    /// Milliseconds that tasks of a gang wait for each other; 0: not known.
    pub gang_wait_ms: u64,
    /// How long machines that many tasks could wait for are expected to boot.
    pub mean_boot_wait: MeanBootWait,
    /// Machines on their way.
    pub booting: Vec<BootingMachine>,
    /// The last pass's reservation. A reservation that moved from machine to machine as estimates
    /// slipped would never be emptied for.
    pub previous_reservation: Option<JobOnMachine>,
}

impl Snapshot {
    /// What all machines have together.
    pub(super) fn total(&self) -> Resources {
        let mut total = Resources::default();
        for machine in &self.machines {
            total += machine.total;
        }
        total
    }

    /// The least that any waiting task takes, in each dimension.
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
