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

mod gang;
mod offers;
mod pass;
#[cfg(test)]
mod plain;
mod room;
mod search;
mod shares;
#[cfg(test)]
pub(super) mod tests;

pub use pass::plan;
pub use shares::{is_within_guarantee, move_shares};

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
    /// How many more tasks its key can hold.
    pub free_task_slots: usize,
    /// Tasks on it.
    pub running: Vec<RunningTask>,
    /// Images it holds or fetches: image, milliseconds until it is there.
    pub images: Vec<(usize, u64)>,
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
    /// Size of its image.
    pub image_gb: f64,
    /// Machines it must not use for now (it failed there), by index.
    pub avoided_machines: Vec<usize>,
}

impl JobView {
    /// Whether it has waited for longer than anyone should.
    fn starving(&self) -> bool {
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
    /// Milliseconds until machines are up of which many are on their way, in the mean: ordinary
    /// ones, spot ones.
    pub mean_boot_wait: [Option<u64>; 2],
    /// Machines on their way: milliseconds until each is up, and what it has.
    pub booting: Vec<(u64, Resources)>,
    /// The last pass's reservation: job and machine. A reservation that moved from machine to
    /// machine as estimates slipped would never be emptied for.
    pub previous_reservation: Option<(usize, usize)>,
}

/// What a pass decides.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Plan {
    /// Job and machine, one task each, in the order decided.
    pub placements: Vec<(usize, usize)>,
    /// Machine and the handle of a task to stop there.
    pub preemptions: Vec<(usize, usize)>,
    /// Job, machine and time reserved for the head.
    pub reservation: Option<(usize, usize, u64)>,
    /// When waiting tasks can count on a place, per job, in milliseconds from now; tasks
    /// that are not named can count on none.
    pub expected_wait_ms: Vec<Vec<u64>>,
    /// Tasks per job that were not placed.
    pub unplaced: Vec<u32>,
    /// Places that were worked out for this: what the pass cost.
    pub candidates_examined: u64,
}
