//! The reservation table: what runs on each machine until when, and what sharing costs.
//!
//! After the paper, sections 3.2 and 3.3: the ends of running tasks cut a machine's time
//! into shared windows; in each, the demand beyond capacity is a penalty, and the
//! penalized time is the penalty times the window's length.

use crate::protocol::Resources;

/// A task on a machine until an estimated end.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bucket {
    /// Milliseconds on the planner's clock.
    pub end_ms: u64,
    /// What it takes.
    pub need: Resources,
    /// Shared bandwidth taken, in cores' worth.
    pub bandwidth: f64,
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
    /// Places that waiting tasks count on: start, end, what they take. They hold nothing;
    /// they only tell others that they would not be alone.
    pub claims: Vec<(u64, u64, Resources)>,
    /// The times at which room may come up, in order: every end of the above.
    pub change_times_ms: Vec<u64>,
}

impl ReservationRow {
    /// Whether a task would fit from `start` for `length`, beside what runs and what is
    /// claimed by then.
    pub fn fits_later(&self, start: u64, length: u64, need: &Resources) -> bool {
        let free = |t: u64| {
            let mut free = self.free_at(t);
            for (_, _, n) in self.claims.iter().filter(|(s, e, _)| *s <= t && t < *e) {
                free -= *n;
            }
            free
        };
        free(start).fits(need)
            && self
                .claims
                .iter()
                .filter(|(s, _, _)| *s > start && *s < start + length)
                .all(|(s, _, _)| free(*s).fits(need))
    }

    /// What is free at a time not before now, when nothing more is added.
    pub fn free_at(&self, t: u64) -> Resources {
        let mut free = self.free;
        for b in self.buckets.iter().filter(|b| b.end_ms <= t) {
            free += b.need;
        }
        free
    }

    /// Adds a task from now on.
    pub fn add(&mut self, b: Bucket) {
        self.free -= b.need;
        self.bandwidth_demand += b.bandwidth;
        self.note_time(b.end_ms);
        self.buckets.push(b);
    }

    /// Adds a place that a waiting task counts on.
    pub fn claim(&mut self, start: u64, length: u64, need: Resources) {
        self.note_time(start + length);
        self.claims.push((start, start + length, need));
    }

    /// A task ends at another time than was thought.
    pub fn end_at(&mut self, bucket: usize, end: u64) {
        self.note_time(end);
        self.buckets[bucket].end_ms = end;
    }

    fn note_time(&mut self, t: u64) {
        if let Err(i) = self.change_times_ms.binary_search(&t) {
            self.change_times_ms.insert(i, t);
        }
    }

    /// Penalized milliseconds of a task that would run in `[start, start + length]`.
    pub fn penalized_ms(&self, start: u64, length: u64, bandwidth: f64) -> f64 {
        if self.bandwidth_capacity <= 0.0
            || self.bandwidth_demand + bandwidth <= self.bandwidth_capacity
        {
            return 0.0;
        }
        let end = start + length;
        let mut cuts: Vec<u64> =
            self.buckets.iter().map(|b| b.end_ms).filter(|t| *t > start && *t < end).collect();
        cuts.push(end);
        cuts.sort_unstable();
        let mut from = start;
        let mut total = 0.0;
        for to in cuts {
            let others: f64 =
                self.buckets.iter().filter(|b| b.end_ms > from).map(|b| b.bandwidth).sum();
            let demand = others + bandwidth;
            let penalty = demand.max(self.bandwidth_capacity) / self.bandwidth_capacity - 1.0;
            total += (to - from) as f64 * penalty;
            from = to;
        }
        total
    }
}

#[cfg(test)]
mod tests;
