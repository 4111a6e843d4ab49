//! RUA-Backfilling: a pure function from a [`Snapshot`] to a [`Plan`].
//!
//! RUA stands for resource usage aware. "The paper" is F. Guim, I. Rodero and J. Corbalan, "The
//! Resource Usage Aware Backfilling", 2009, and "the design" is the project's page `docs/design.md`.
//!
//! The algorithm follows section 5 of the paper and the design. The oldest waiting job gets a
//! reservation: LessConsume Threshold (section 4) computes an allocation for each penalty-factor
//! threshold, and the reservation is the allocation with the least slowdown. For one threshold,
//! LessConsume Threshold starts from first fit, replaces slots by less loaded ones and accepts a
//! later start until the penalty factor is below the threshold. The other jobs are backfilled: a job
//! starts now if it does not delay the reservation, in order of penalty factor, then of length.
//!
//! Additions to the paper: fetching an image delays a task and counts towards the penalty factor of
//! a machine, as a saturated resource does; priorities and guarantees order the queue before
//! arrival time does; services have no run time, so a reference run time is used for them; if a job
//! of higher priority can't start, tasks of lower priority are preempted for it.
//!
//! Nothing here does I/O, reads a clock or draws random numbers.

mod allocation;
mod allocation_cache;
mod backfill;
mod deadline_triage;
mod gang;
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
