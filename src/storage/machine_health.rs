//! Whether a machine may get new tasks, from how tasks ended there: a circuit breaker for each machine.
//!
//! A machine on which tasks failed that work elsewhere is cordoned. Once the cordon has lasted for a backoff,
//! the machine is on probation and gets one task at a time, until a task that was placed there meanwhile
//! shows that it works, or a failure cordons it again for longer. A cordon is lifted at once when the failures
//! that it rests on are withdrawn: their job fails on other machines too, or its user has cancelled it.

use super::backoff::Backoff;
use super::records::JobId;
use crate::constants::{
    CORDON_FAILURES, CORDON_MAX_MS, CORDON_MS, CORDON_WINDOW_MS, PROBATION_MAX_MS,
    PROBATION_RUN_MS, UNCONFIRMED_DELETION_MS,
};
use rand::rngs::SmallRng;
use std::collections::BTreeSet;

/// How much a failure says about the machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FailureWeight {
    /// Nothing: the job fails on other machines too.
    Doubted,
    /// Something, together with failures of other jobs.
    Unproven,
    /// Something, together with another failure: the job has succeeded elsewhere before.
    JobHasSucceeded,
    /// Enough: the job has succeeded elsewhere since, or the machine was on probation.
    Conclusive,
}

/// A failure of a task on a machine.
#[derive(Debug, Clone)]
struct TaskFailure {
    at: u64,
    job: JobId,
    weight: FailureWeight,
}

/// Why a machine is cordoned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CordonReason {
    /// Tasks failed there that work elsewhere.
    TaskFailures,
    /// Its deletion was requested and not confirmed, so that it may still take effect.
    UnconfirmedDeletion,
}

/// The state of the circuit breaker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Breaker {
    /// The machine gets new tasks.
    Closed,
    /// It gets none until this time.
    Open { reason: CordonReason, until: u64 },
    /// It gets one task at a time since this time.
    HalfOpen { since: u64 },
}

/// How a cordon ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CordonEnd {
    /// After failures: the machine is on probation.
    Probation,
    /// After an unconfirmed deletion: the machine gets tasks like any other.
    Usable,
}

/// What is known of a machine from how tasks ended there. Times are milliseconds of the monotonic clock.
#[derive(Debug, Clone)]
pub struct MachineHealth {
    breaker: Breaker,
    failures: Vec<TaskFailure>,
    backoff: Backoff,
}

impl Default for MachineHealth {
    fn default() -> MachineHealth {
        MachineHealth {
            breaker: Breaker::Closed,
            failures: Vec::new(),
            backoff: Backoff::new(CORDON_MS, CORDON_MAX_MS),
        }
    }
}

impl MachineHealth {
    /// Whether the machine gets no new tasks and is returned once it is empty.
    pub fn is_cordoned(&self) -> bool {
        matches!(self.breaker, Breaker::Open { .. })
    }

    /// Since when the machine gets only one task at a time; `None` if it isn't on probation.
    pub fn probation_since(&self) -> Option<u64> {
        match self.breaker {
            Breaker::HalfOpen { since } => Some(since),
            Breaker::Closed | Breaker::Open { .. } => None,
        }
    }

    /// Number of jobs with failures that count.
    pub fn failed_jobs(&self) -> usize {
        let counted =
            self.failures.iter().filter(|failure| failure.weight > FailureWeight::Doubted);
        counted.map(|failure| &failure.job).collect::<BTreeSet<&JobId>>().len()
    }

    /// Records that a task failed. Returns whether the machine has just been cordoned.
    pub fn record_failure(
        &mut self,
        job: &JobId,
        weight: FailureWeight,
        now: u64,
        rng: &mut SmallRng,
    ) -> bool {
        if !self.is_cordoned() {
            self.failures.retain(|failure| now < failure.at + CORDON_WINDOW_MS);
        }
        let is_probe = self.probation_since().is_some() && weight > FailureWeight::Doubted;
        let weight = if is_probe { FailureWeight::Conclusive } else { weight };
        self.failures.push(TaskFailure { at: now, job: job.clone(), weight });
        self.cordon_if_justified(now, rng)
    }

    /// Records that a job which failed here recently has succeeded elsewhere. Returns whether the machine
    /// has just been cordoned.
    pub fn confirm_failures(&mut self, job: &JobId, now: u64, rng: &mut SmallRng) -> bool {
        let is_recent =
            |failure: &&mut TaskFailure| failure.job == *job && now < failure.at + CORDON_WINDOW_MS;
        for failure in self.failures.iter_mut().filter(is_recent) {
            failure.weight = FailureWeight::Conclusive;
        }
        self.cordon_if_justified(now, rng)
    }

    /// Records that a job which failed here fails elsewhere too. Returns whether that has lifted the cordon.
    pub fn doubt_failures(&mut self, job: &JobId) -> bool {
        for failure in self.failures.iter_mut().filter(|failure| failure.job == *job) {
            failure.weight = FailureWeight::Doubted;
        }
        self.lift_if_unjustified()
    }

    /// Drops the failures of a job that was cancelled. Returns whether that has lifted the cordon.
    pub fn withdraw_failures(&mut self, job: &JobId) -> bool {
        self.failures.retain(|failure| failure.job != *job);
        self.lift_if_unjustified()
    }

    /// Records that a task which was placed at `placed_at` has succeeded, so that failures before that say
    /// nothing any more. Returns whether that has lifted a cordon or ended a probation.
    pub fn record_success(&mut self, placed_at: u64) -> bool {
        self.failures.retain(|failure| failure.at >= placed_at);
        match self.breaker {
            Breaker::HalfOpen { since } if placed_at >= since => {
                self.close();
                true
            }
            _ => self.lift_if_unjustified(),
        }
    }

    /// Cordons the machine because its deletion was requested and not confirmed. A further request does
    /// not prolong the cordon.
    pub fn cordon_for_deletion(&mut self, now: u64) {
        if !self.is_cordoned() {
            let until = now + UNCONFIRMED_DELETION_MS;
            self.breaker = Breaker::Open { reason: CordonReason::UnconfirmedDeletion, until };
        }
    }

    /// Ends a cordon that is old enough.
    pub fn end_cordon_if_due(&mut self, now: u64) -> Option<CordonEnd> {
        let Breaker::Open { reason, until } = self.breaker else { return None };
        if now < until {
            return None;
        }
        self.failures.clear();
        match reason {
            CordonReason::TaskFailures => {
                self.breaker = Breaker::HalfOpen { since: now };
                Some(CordonEnd::Probation)
            }
            CordonReason::UnconfirmedDeletion => {
                self.breaker = Breaker::Closed;
                Some(CordonEnd::Usable)
            }
        }
    }

    /// Ends a probation if a task that was placed during it has run for long enough, or if nothing has
    /// failed for long. `running_since` are the times since when tasks run that were placed during it.
    /// Returns whether it has ended.
    pub fn end_probation_if_due(
        &mut self,
        mut running_since: impl Iterator<Item = u64>,
        now: u64,
    ) -> bool {
        let Some(since) = self.probation_since() else { return false };
        let has_proof = running_since.any(|started_at| now >= started_at + PROBATION_RUN_MS);
        if has_proof || now >= since + PROBATION_MAX_MS {
            self.close();
            return true;
        }
        false
    }

    fn cordon_if_justified(&mut self, now: u64, rng: &mut SmallRng) -> bool {
        if self.is_cordoned() || !self.is_cordon_justified() {
            return false;
        }
        let until = now + self.backoff.next_delay_ms(rng);
        self.breaker = Breaker::Open { reason: CordonReason::TaskFailures, until };
        true
    }

    fn lift_if_unjustified(&mut self) -> bool {
        let is_for_failures =
            matches!(self.breaker, Breaker::Open { reason: CordonReason::TaskFailures, .. });
        if !is_for_failures || self.is_cordon_justified() {
            return false;
        }
        self.close();
        true
    }

    fn close(&mut self) {
        self.breaker = Breaker::Closed;
        self.backoff.reset();
    }

    /// Whether the failures suffice for a cordon.
    fn is_cordon_justified(&self) -> bool {
        let counted =
            || self.failures.iter().filter(|failure| failure.weight > FailureWeight::Doubted);
        let has = |weight| counted().any(|failure| failure.weight == weight);
        has(FailureWeight::Conclusive)
            || self.failed_jobs() >= CORDON_FAILURES
            || has(FailureWeight::JobHasSucceeded) && counted().count() >= CORDON_FAILURES
    }
}

#[cfg(test)]
mod tests;
