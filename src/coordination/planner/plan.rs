//! What a planning pass decides.

use super::snapshot::JobOnMachine;

/// A running task that is to be stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Preemption {
    /// The machine on which it runs, by index.
    pub machine: usize,
    /// The caller's handle of the task.
    pub handle: usize,
}

/// A place that is kept for the head of the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reservation {
    /// The job, by index.
    pub job: usize,
    /// The machine, by index; of a gang the first one.
    pub machine: usize,
    /// The time from which on it is kept, on the planner's clock.
    pub start_ms: u64,
}

/// What a pass decides.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Plan {
    /// Where one task each is placed, in the order decided.
    pub placements: Vec<JobOnMachine>,
    /// Tasks to stop.
    pub preemptions: Vec<Preemption>,
    /// What is reserved for the head.
    pub reservation: Option<Reservation>,
    /// When waiting tasks can count on a place, per job, in milliseconds from now; tasks
    /// that are not named can count on none.
    pub expected_wait_ms: Vec<Vec<u64>>,
    /// Tasks per job that were not placed.
    pub unplaced: Vec<u32>,
    /// Places that were worked out for this: what the pass cost.
    pub candidates_examined: u64,
}
