//! The planner's reservation table: running tasks of each machine with their estimated ends, and the
//! slowdown of tasks that share a machine's bandwidth.
//!
//! Follows sections 3.2 and 3.3 of the paper that [`crate::coordination::planner`] cites. The estimated
//! ends of running tasks divide a machine's time into shared windows. In each window, the penalty is the
//! relative excess of the bandwidth demand over the capacity, and the penalized time is the penalty times
//! the length of the window. All times are in milliseconds on the clock of the planner's snapshot.

use crate::protocol::Resources;

/// A task on a machine until its estimated end; the "bucket" of section 3.2 of the paper.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bucket {
    /// Estimated end of the task.
    pub end_ms: u64,
    /// Resources that the task needs.
    pub need: Resources,
    /// Shared bandwidth that it uses, in core equivalents.
    pub bandwidth: f64,
}

/// A slot that a waiting task is expected to use later. It is advisory: it does not reduce what is
/// free now, but is considered when later starts of other tasks are planned.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Reservation {
    /// Expected start of the task.
    pub start_ms: u64,
    /// Expected end of the task.
    pub end_ms: u64,
    /// Resources that the task needs.
    pub need: Resources,
}

impl Reservation {
    fn covers(&self, time_ms: u64) -> bool {
        self.start_ms <= time_ms && time_ms < self.end_ms
    }
}

/// The row of a machine in the reservation table.
#[derive(Debug, Clone, Default)]
pub struct ReservationRow {
    /// Resources that are free now.
    pub free: Resources,
    /// Total shared bandwidth, in core equivalents.
    pub bandwidth_capacity: f64,
    /// Shared bandwidth that all running tasks use together, in core equivalents.
    pub bandwidth_demand: f64,
    /// Running tasks.
    pub buckets: Vec<Bucket>,
    /// Slots that waiting tasks are expected to use.
    pub reservations: Vec<Reservation>,
    /// The times at which resources may become free, in ascending order: all ends that `buckets` and
    /// `reservations` have or have had.
    pub change_times_ms: Vec<u64>,
}

impl ReservationRow {
    /// Whether a task would fit from `start_ms` on for `length_ms`, together with the tasks that still
    /// run then and with all reservations.
    pub fn fits_later(&self, start_ms: u64, length_ms: u64, need: &Resources) -> bool {
        let end_ms = start_ms + length_ms;
        self.unreserved_at(start_ms).fits(need)
            && self
                .reservations
                .iter()
                .filter(|reservation| {
                    reservation.start_ms > start_ms && reservation.start_ms < end_ms
                })
                .all(|reservation| self.unreserved_at(reservation.start_ms).fits(need))
    }

    /// Resources that are free at a time from now on, if no further task is added. Ignores reservations.
    pub fn free_at(&self, time_ms: u64) -> Resources {
        let mut free = self.free;
        for bucket in self.buckets.iter().filter(|bucket| bucket.end_ms <= time_ms) {
            free += bucket.need;
        }
        free
    }

    /// Resources that are free and not reserved at a time from now on.
    fn unreserved_at(&self, time_ms: u64) -> Resources {
        let mut free = self.free_at(time_ms);
        for reservation in
            self.reservations.iter().filter(|reservation| reservation.covers(time_ms))
        {
            free -= reservation.need;
        }
        free
    }

    /// Adds a task that runs from now on.
    pub fn add(&mut self, bucket: Bucket) {
        self.free -= bucket.need;
        self.bandwidth_demand += bucket.bandwidth;
        self.add_change_time(bucket.end_ms);
        self.buckets.push(bucket);
    }

    /// Adds a reservation for a waiting task that is expected to run from `start_ms` on.
    pub fn reserve(&mut self, start_ms: u64, length_ms: u64, need: Resources) {
        let end_ms = start_ms + length_ms;
        self.add_change_time(end_ms);
        self.reservations.push(Reservation { start_ms, end_ms, need });
    }

    /// Changes the estimated end of the running task at index `bucket` of `buckets`.
    pub fn set_end(&mut self, bucket: usize, end_ms: u64) {
        self.add_change_time(end_ms);
        self.buckets[bucket].end_ms = end_ms;
    }

    fn add_change_time(&mut self, time_ms: u64) {
        if let Err(position) = self.change_times_ms.binary_search(&time_ms) {
            self.change_times_ms.insert(position, time_ms);
        }
    }

    /// Penalized time, in milliseconds, of a task that would run for `length_ms` from `start_ms` on.
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
        let mut window_ends_ms: Vec<u64> =
            ends_ms.filter(|time_ms| *time_ms > start_ms && *time_ms < end_ms).collect();
        window_ends_ms.push(end_ms);
        window_ends_ms.sort_unstable();
        window_ends_ms
    }
}

#[cfg(test)]
mod tests;
