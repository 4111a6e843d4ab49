//! Gangs: jobs whose tasks all run at the same time.
//!
//! All tasks of a gang are placed with the same attempt number and by one commit. If a task is lost,
//! the whole attempt is stopped, and the next attempt is placed only once the settlements of all
//! placements of the last one are committed. So no task of an attempt is ever replaced, and every
//! attempt number is used at most once per task.

use crate::constants::{GANG_RETRY_BACKOFF_MAX_MS, GANG_RETRY_BACKOFF_MS};

/// State of a gang, in addition to that of any job.
#[derive(Debug, Clone, Default)]
pub struct GangState {
    /// Whether a task of the present attempt was seen running. Then all tasks of the attempt have started.
    pub running: bool,
    /// Number of attempts placed since one was last seen running.
    pub attempts: u32,
    /// When the next attempt may be placed, in milliseconds of the monotonic clock.
    pub retry_at: u64,
}

/// The phase of a gang.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GangPhase {
    /// Not placed: it waits for capacity for all its tasks at once, or for its team's limit.
    Unplaced,
    /// Placed, but not all placements are stored yet.
    Storing,
    /// Stored: machines fetch the image, and not all tasks run yet.
    Assembling,
    /// All tasks run.
    Running,
    /// The attempt is over, but not all its placements are settled.
    Stopping,
}

impl GangState {
    /// Records that an attempt is placed, and computes when the next one may be placed if this one fails
    /// before it runs: at once after the first attempt, with exponential backoff after that.
    pub fn record_attempt(&mut self, now: u64) {
        self.running = false;
        self.attempts = self.attempts.saturating_add(1);
        let doubled = GANG_RETRY_BACKOFF_MS.saturating_mul(1 << (self.attempts - 1).min(16));
        self.retry_at = match self.attempts {
            1 => now,
            _ => now + doubled.min(GANG_RETRY_BACKOFF_MAX_MS),
        };
    }

    /// Takes back an attempt that was never stored: it does not count for the backoff.
    pub fn undo_attempt(&mut self) {
        self.attempts = self.attempts.saturating_sub(1);
        self.retry_at = 0;
    }

    /// Records that a task of the present attempt was seen running.
    pub fn record_running(&mut self) {
        self.running = true;
        self.attempts = 0;
    }
}

#[cfg(test)]
mod tests;
