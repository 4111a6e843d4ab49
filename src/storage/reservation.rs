//! The reservation table: what runs on each machine until when, and what sharing costs.
//!
//! After the paper, sections 3.2 and 3.3: the ends of running tasks cut a machine's time
//! into shared windows; in each, the demand beyond capacity is a penalty, and the
//! penalized time is the penalty times the window's length. All times are in milliseconds on the
//! planner's clock.

use crate::protocol::Resources;

/// The paper's bucket (section 3.2): a task on a machine until an estimated end.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bucket {
    /// Estimated end.
    pub end_ms: u64,
    /// What it takes.
    pub need: Resources,
    /// Shared bandwidth taken, in cores' worth.
    pub bandwidth: f64,
}

/// A place that a waiting task counts on, until its estimated end. It holds nothing: it only tells
/// others that they would not be alone.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Claim {
    /// When the task is expected to start.
    pub start_ms: u64,
    /// When it is expected to end.
    pub end_ms: u64,
    /// What it takes.
    pub need: Resources,
}

impl Claim {
    fn covers(&self, time_ms: u64) -> bool {
        self.start_ms <= time_ms && time_ms < self.end_ms
    }
}

/// One machine's row of the table.
#[derive(Debug, Clone, Default)]
pub struct ReservationRow {
    /// What is free now.
    pub free: Resources,
    /// Shared bandwidth there is, in cores' worth.
    pub bandwidth_capacity: f64,
    /// Shared bandwidth that all tasks together take, in cores' worth.
    pub bandwidth_demand: f64,
    /// Tasks that run.
    pub buckets: Vec<Bucket>,
    /// Places that waiting tasks count on.
    pub claims: Vec<Claim>,
    /// The times at which room may come up, in order: every end of the above.
    pub change_times_ms: Vec<u64>,
}

impl ReservationRow {
    /// Whether a task would fit from `start_ms` for `length_ms`, beside what runs and what is
    /// claimed by then.
    pub fn fits_later(&self, start_ms: u64, length_ms: u64, need: &Resources) -> bool {
        let end_ms = start_ms + length_ms;
        self.unclaimed_at(start_ms).fits(need)
            && self
                .claims
                .iter()
                .filter(|claim| claim.start_ms > start_ms && claim.start_ms < end_ms)
                .all(|claim| self.unclaimed_at(claim.start_ms).fits(need))
    }

    /// What is free at a time not before now, when nothing more is added.
    pub fn free_at(&self, time_ms: u64) -> Resources {
        let mut free = self.free;
        for bucket in self.buckets.iter().filter(|bucket| bucket.end_ms <= time_ms) {
            free += bucket.need;
        }
        free
    }

    /// What is free at a time not before now, beside what is claimed.
    fn unclaimed_at(&self, time_ms: u64) -> Resources {
        let mut free = self.free_at(time_ms);
        for claim in self.claims.iter().filter(|claim| claim.covers(time_ms)) {
            free -= claim.need;
        }
        free
    }

    /// Adds a task from now on.
    pub fn add(&mut self, bucket: Bucket) {
        self.free -= bucket.need;
        self.bandwidth_demand += bucket.bandwidth;
        self.note_change(bucket.end_ms);
        self.buckets.push(bucket);
    }

    /// Adds a place that a waiting task counts on.
    pub fn claim(&mut self, start_ms: u64, length_ms: u64, need: Resources) {
        let end_ms = start_ms + length_ms;
        self.note_change(end_ms);
        self.claims.push(Claim { start_ms, end_ms, need });
    }

    /// A task ends at another time than was thought.
    pub fn end_at(&mut self, bucket: usize, end_ms: u64) {
        self.note_change(end_ms);
        self.buckets[bucket].end_ms = end_ms;
    }

    fn note_change(&mut self, time_ms: u64) {
        if let Err(position) = self.change_times_ms.binary_search(&time_ms) {
            self.change_times_ms.insert(position, time_ms);
        }
    }

    /// Penalized milliseconds of a task that would run in `[start_ms, start_ms + length_ms]`.
    pub fn penalized_ms(&self, start_ms: u64, length_ms: u64, bandwidth: f64) -> f64 {
        if self.bandwidth_capacity <= 0.0
            || self.bandwidth_demand + bandwidth <= self.bandwidth_capacity
        {
            return 0.0;
        }
        let end_ms = start_ms + length_ms;
        let mut window_start_ms = start_ms;
        let mut total_ms = 0.0;
        for window_end_ms in self.window_ends(start_ms, end_ms) {
            let others = self.buckets.iter().filter(|bucket| bucket.end_ms > window_start_ms);
            let others: f64 = others.map(|bucket| bucket.bandwidth).sum();
            let demand = others + bandwidth;
            let penalty = demand.max(self.bandwidth_capacity) / self.bandwidth_capacity - 1.0;
            total_ms += (window_end_ms - window_start_ms) as f64 * penalty;
            window_start_ms = window_end_ms;
        }
        total_ms
    }

    /// The ends of the shared windows between two times, in order.
    fn window_ends(&self, start_ms: u64, end_ms: u64) -> Vec<u64> {
        let ends_ms = self.buckets.iter().map(|bucket| bucket.end_ms);
        let mut cuts: Vec<u64> =
            ends_ms.filter(|cut_ms| *cut_ms > start_ms && *cut_ms < end_ms).collect();
        cuts.push(end_ms);
        cuts.sort_unstable();
        cuts
    }
}

#[cfg(test)]
mod tests;
