//! Run times seen for classes of jobs, against what their owners guessed.

use super::Leader;
use crate::constants::{
    AVERAGE_WEIGHT, ESTIMATE_MIN_S, MS_PER_S, RATIO_SAMPLES_MIN, SERVICE_REFERENCE_RUN_S,
};
use crate::protocol::users::{JobKind, JobSpec};
use std::collections::BTreeMap;
use std::ops::RangeInclusive;

/// Run times over guesses that are taken for real: outside it a figure was left out or mistyped.
const PLAUSIBLE_RATIOS: RangeInclusive<f64> = 0.05..=20.0;

/// Run times over guesses of one class.
#[derive(Debug, Default, Clone, Copy)]
struct RunTimeRatio {
    /// Moving average.
    ratio: f64,
    samples: u32,
}

/// Run times over guesses, by class.
#[derive(Debug, Default)]
pub(super) struct RunTimes {
    by_class: BTreeMap<String, RunTimeRatio>,
}

impl RunTimes {
    /// What guesses of a class are to be multiplied with.
    fn correction(&self, class: &str) -> f64 {
        match self.by_class.get(class) {
            Some(seen) if seen.samples >= RATIO_SAMPLES_MIN => seen.ratio,
            _ => 1.0,
        }
    }

    fn learn(&mut self, class: &str, ratio: f64) {
        let seen = self.by_class.entry(class.to_string()).or_default();
        seen.samples += 1;
        let weight = AVERAGE_WEIGHT.max(1.0 / f64::from(seen.samples));
        seen.ratio += (ratio - seen.ratio) * weight;
    }
}

impl Leader {
    /// The run time to expect of a job's task, in milliseconds: the owner's guess, corrected
    /// by what its class was seen to take.
    pub(in crate::coordination) fn run_ms(&self, spec: &JobSpec) -> u64 {
        if spec.kind == JobKind::Service {
            return (SERVICE_REFERENCE_RUN_S * MS_PER_S) as u64;
        }
        let expected_s = spec.run_estimate_s * self.run_times.correction(&spec.class);
        (expected_s.max(ESTIMATE_MIN_S) * MS_PER_S) as u64
    }

    /// Learns from a run that ended well.
    pub(in crate::coordination) fn learn_run(&mut self, spec: &JobSpec, ran_ms: u64) {
        if spec.run_estimate_s <= 0.0 {
            return;
        }
        let ratio = ran_ms as f64 / MS_PER_S / spec.run_estimate_s;
        let ratio = ratio.clamp(*PLAUSIBLE_RATIOS.start(), *PLAUSIBLE_RATIOS.end());
        self.run_times.learn(&spec.class, ratio);
    }
}

#[cfg(test)]
mod tests;
