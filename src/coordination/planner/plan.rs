//! The result of a planning pass.

use super::snapshot::JobOnMachine;

/// A running task that is to be stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Preemption {
    /// Index of the machine on which it runs.
    pub machine: usize,
    /// The caller's identifier of the task.
    pub handle: usize,
}

/// Capacity reserved for the head of the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reservation {
    /// Index of the job.
    pub job: usize,
    /// Index of the machine; for a gang, of its first machine.
    pub machine: usize,
    /// Start of the reservation on the planner's clock.
    pub start_ms: u64,
}

/// The result of a planning pass.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Plan {
    /// Placements of one task each, in the order in which they were decided.
    pub placements: Vec<JobOnMachine>,
    /// Tasks to preempt.
    pub preemptions: Vec<Preemption>,
    /// The reservation for the head of the queue.
    pub reservation: Option<Reservation>,
    /// For each job, milliseconds until its waiting tasks are expected to start; tasks without an
    /// entry have no expected start.
    pub expected_wait_ms: Vec<Vec<u64>>,
    /// For each job, the number of tasks that were not placed.
    pub unplaced: Vec<u32>,
    /// Number of candidate allocations computed: a measure of the cost of the pass.
    pub candidates_examined: u64,
}
