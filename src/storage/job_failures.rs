//! The failures of a job's tasks by machine: where the job is not sent at present, and how long it pauses.
//!
//! Nothing here outlasts its evidence. A machine that failed a task of the job gets none of its tasks while
//! a backoff lasts, and after that only where no other machine fits. A success of the job ends the memory of
//! all its failures, and each failure is forgotten after [`FAILURE_MEMORY_MS`].

use super::backoff::Backoff;
use super::hashing::{HashKeys, HashMap};
use super::records::MachineName;
use crate::constants::{
    AVOIDED_MACHINES_MAX, FAILING_JOB_MACHINES, FAILURE_BACKOFF_MAX_MS, FAILURE_BACKOFF_MS,
    FAILURE_MEMORY_MS, MACHINE_RETRY_BACKOFF_MAX_MS, MACHINE_RETRY_BACKOFF_MS,
};
use rand::rngs::SmallRng;

/// Failures of a job's tasks on one machine.
#[derive(Debug, Clone)]
struct MachineFailures {
    backoff: Backoff,
    last_failed_at: u64,
    /// When the job may be tried there again.
    retry_at: u64,
}

impl MachineFailures {
    fn new() -> MachineFailures {
        let backoff = Backoff::new(MACHINE_RETRY_BACKOFF_MS, MACHINE_RETRY_BACKOFF_MAX_MS);
        MachineFailures { backoff, last_failed_at: 0, retry_at: 0 }
    }

    fn is_remembered(&self, now: u64) -> bool {
        now < self.last_failed_at + FAILURE_MEMORY_MS
    }

    /// Records a failure. Tasks that were started before the last one failed don't lengthen the backoff.
    fn record(&mut self, now: u64, rng: &mut SmallRng) {
        self.last_failed_at = now;
        if now >= self.retry_at {
            self.retry_at = now + self.backoff.next_delay_ms(rng);
        }
    }
}

/// A job's failures since a task of it last succeeded. Times are milliseconds of the monotonic clock.
#[derive(Debug)]
pub struct JobFailures {
    by_machine: HashMap<MachineName, MachineFailures>,
    /// Backoff of the whole job, once it fails on several machines.
    pause: Backoff,
    paused_until: u64,
}

impl JobFailures {
    /// No failures.
    pub fn new(keys: HashKeys) -> JobFailures {
        JobFailures {
            by_machine: keys.map(),
            pause: Backoff::new(FAILURE_BACKOFF_MS, FAILURE_BACKOFF_MAX_MS),
            paused_until: 0,
        }
    }

    /// Records that a task failed on a machine. Returns the length of the job's pause if one begins.
    pub fn record(&mut self, machine: &MachineName, now: u64, rng: &mut SmallRng) -> Option<u64> {
        self.by_machine.retain(|_, failures| failures.is_remembered(now));
        if self.by_machine.is_empty() {
            self.pause.reset();
        }
        let failures = self.by_machine.entry(machine.clone()).or_insert_with(MachineFailures::new);
        failures.record(now, rng);
        if !self.are_on_several_machines(now) || self.is_paused(now) {
            return None;
        }
        let pause_ms = self.pause.next_delay_ms(rng);
        self.paused_until = now + pause_ms;
        Some(pause_ms)
    }

    /// Forgets all failures: a task of the job has succeeded.
    pub fn clear(&mut self) {
        self.by_machine.clear();
        self.pause.reset();
        self.paused_until = 0;
    }

    /// Whether none of the job's tasks is started at present.
    pub fn is_paused(&self, now: u64) -> bool {
        now < self.paused_until
    }

    /// When its last pause ends or ended; 0 if there was none since its last success.
    pub fn paused_until(&self) -> u64 {
        self.paused_until
    }

    /// Whether the job failed on so many machines that its own fault is likely.
    pub fn are_on_several_machines(&self, now: u64) -> bool {
        self.remembered(now).count() >= FAILING_JOB_MACHINES
    }

    /// All machines with failures, however old.
    pub fn machines(&self) -> impl Iterator<Item = &MachineName> {
        self.by_machine.keys()
    }

    /// Machines that the job avoids, with whether it may be tried there again if no other machine fits.
    /// None if it failed on so many machines that the fault is hardly theirs.
    pub fn avoided_machines(&self, now: u64) -> impl Iterator<Item = (&MachineName, bool)> {
        let avoids_any = self.remembered(now).count() <= AVOIDED_MACHINES_MAX;
        let avoided = self.remembered(now).filter(move |_| avoids_any);
        avoided.map(move |(name, failures)| (name, now >= failures.retry_at))
    }

    fn remembered(&self, now: u64) -> impl Iterator<Item = (&MachineName, &MachineFailures)> {
        self.by_machine.iter().filter(move |(_, failures)| failures.is_remembered(now))
    }
}

#[cfg(test)]
mod tests;
