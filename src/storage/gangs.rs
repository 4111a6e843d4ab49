//! Gangs: jobs whose tasks all run at the same time.
//!
//! A gang is placed whole, all tasks with the same attempt number and by one commit. An attempt that
//! has lost a task is stopped as a whole, and the next one is placed only once every task of the
//! last is proved gone and that is in the store. So an attempt never gets a replacement, and an
//! attempt number is still used only once on a machine for a task.

use crate::constants::{GANG_RETRY_BACKOFF_MAX_MS, GANG_RETRY_BACKOFF_MS};

/// What a leader knows of a gang beside what it knows of any job.
#[derive(Debug, Clone, Default)]
pub struct GangState {
    /// A task of the present attempt was seen running, so all of them had started.
    pub running: bool,
    /// Attempts placed since one was last seen running.
    pub attempts: u32,
    /// When the next attempt may be placed.
    pub retry_at: u64,
}

/// Where a gang stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GangPhase {
    /// Room for all its tasks at once, or its team's limit.
    Unplaced,
    /// Its placements are not all in the store yet.
    Storing,
    /// Images and the start of its other tasks.
    Assembling,
    /// All its tasks run.
    Running,
    /// Tasks of an attempt that is over, until they are proved gone.
    Stopping,
}

impl GangState {
    /// Notes that an attempt is placed, and when the next one may be if this one fails before it
    /// runs: at once after the first, later after each further one.
    pub fn note_attempt(&mut self, now: u64) {
        self.running = false;
        self.attempts = self.attempts.saturating_add(1);
        let doubled = GANG_RETRY_BACKOFF_MS.saturating_mul(1 << (self.attempts - 1).min(16));
        self.retry_at = match self.attempts {
            1 => now,
            _ => now + doubled.min(GANG_RETRY_BACKOFF_MAX_MS),
        };
    }

    /// Notes that an attempt was never stored: it does not count.
    pub fn forget_attempt(&mut self) {
        self.attempts = self.attempts.saturating_sub(1);
        self.retry_at = 0;
    }

    /// Notes that a task of the present attempt was seen running.
    pub fn note_running(&mut self) {
        self.running = true;
        self.attempts = 0;
    }
}

#[cfg(test)]
mod tests;
