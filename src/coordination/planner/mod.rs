//! RUA-Backfilling: a pure function from a [`Snapshot`] to a [`Plan`].
//!
//! After the paper, section 5, and DESIGN. The oldest waiting job gets a reservation: for
//! each threshold an allocation by LessConsume Threshold (section 4: first fit, less loaded slots
//! swapped in, later starts accepted until the penalty factor is under the threshold), and of these
//! the one with the least slowdown. The other jobs follow if they can start now without
//! delaying the reservation (backfilling), by penalty factor, then by length.
//!
//! Ours, in its spirit: an image that a machine must fetch first is a penalty of the place
//! like a saturated resource is; ranks and guarantees order the queue before arrival does;
//! services have no length, so a reference length stands in; where a higher rank can't
//! start, tasks of lower ranks are preempted for it.
//!
//! Nothing here does I/O, reads a clock or draws random numbers.

mod allocation;
mod backfill;
mod deadline_triage;
mod gang;
mod offers;
mod pass;
mod plan;
mod preemption;
mod queue;
#[cfg(test)]
mod reference;
mod shares;
mod snapshot;
#[cfg(test)]
pub(super) mod tests;
mod threshold_search;

pub use pass::plan;
pub use plan::{Plan, Preemption, Reservation};
pub use shares::{is_within_guarantee, move_shares};
pub use snapshot::{
    BootingMachine, CachedImage, JobOnMachine, JobView, MachineView, MeanBootWait, RunningTask,
    Snapshot, TeamView,
};
