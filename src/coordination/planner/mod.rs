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
pub use shares::{move_shares, within};

use crate::constants as c;
use crate::protocol::users::Priority;
use crate::protocol::Resources;

/// A task that runs, as far as planning goes.
#[derive(Debug, Clone)]
pub struct Running {
    pub priority: Priority,
    /// The team, by index; `None` if unknown.
    pub team: Option<usize>,
    pub need: Resources,
    pub bandwidth: f64,
    pub end: u64,
    pub service: bool,
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
    pub type_index: usize,
    pub spot: bool,
    pub total: Resources,
    /// How many more tasks its key can hold.
    pub slots: usize,
    pub running: Vec<Running>,
    /// Images it holds or fetches: image, milliseconds until it is there.
    pub images: Vec<(usize, u64)>,
    /// Milliseconds to fetch a gigabyte.
    pub fetch_ms_per_gb: f64,
}

/// A job with waiting tasks.
#[derive(Debug, Clone)]
pub struct JobView {
    pub priority: Priority,
    pub team: usize,
    pub service: bool,
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
    pub allowed_types: Vec<bool>,
    pub zone: Option<usize>,
    pub spot_ok: bool,
    /// Unsettled tasks per zone.
    pub in_zone: Vec<u32>,
    pub zone_cap: u32,
    pub one_zone: bool,
    pub waiting: u32,
    /// A task of it has started before, or is placed.
    pub begun: bool,
    pub image: usize,
    pub size_gb: f64,
    /// Machines it must not use for now (it failed there), by index.
    pub avoid: Vec<usize>,
}

impl JobView {
    /// Whether it has waited for longer than anyone should.
    fn starving(&self) -> bool {
        self.waited_ms >= if self.begun { c::STARVING_BEGUN_MS } else { c::STARVING_MS }
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
    pub unplaced: Vec<u32>,
    /// Places that were worked out for this: what the pass cost.
    pub places_examined: u64,
}
