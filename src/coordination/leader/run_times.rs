//! Run times observed for each class of jobs, relative to the estimates that users submitted.

use super::Leader;
use crate::constants::{
    AVERAGE_WEIGHT, ESTIMATE_MIN_S, MS_PER_S, RATIO_SAMPLES_MIN, SERVICE_REFERENCE_RUN_S,
};
use crate::protocol::users::{JobKind, JobSpec};
use std::collections::BTreeMap;
use std::ops::RangeInclusive;

/// Range that ratios of observed to estimated run times are clamped to: an estimate that is further off
/// counts as missing or mistyped.
const PLAUSIBLE_RATIOS: RangeInclusive<f64> = 0.05..=20.0;

/// Ratio of observed to estimated run times of one class.
#[derive(Debug, Default, Clone, Copy)]
struct RunTimeRatio {
    /// Moving average.
    ratio: f64,
    samples: u32,
}

/// Ratios of observed to estimated run times, by class.
#[derive(Debug, Default)]
pub(super) struct RunTimes {
    by_class: BTreeMap<String, RunTimeRatio>,
}

impl RunTimes {
    /// The factor that corrects estimates of a class; 1 until there are enough samples.
    fn correction_factor(&self, class: &str) -> f64 {
        match self.by_class.get(class) {
            Some(average) if average.samples >= RATIO_SAMPLES_MIN => average.ratio,
            _ => 1.0,
        }
    }

    fn add_sample(&mut self, class: &str, ratio: f64) {
        let average = self.by_class.entry(class.to_string()).or_default();
        average.samples += 1;
        let weight = AVERAGE_WEIGHT.max(1.0 / f64::from(average.samples));
        average.ratio += (ratio - average.ratio) * weight;
    }
}

impl Leader {
    /// The expected run time of a job's task, in milliseconds: the submitted estimate, corrected by the run
    /// times observed for its class.
    pub(in crate::coordination) fn expected_run_ms(&self, spec: &JobSpec) -> u64 {
        if spec.kind == JobKind::Service {
            return (SERVICE_REFERENCE_RUN_S * MS_PER_S) as u64;
        }
        let expected_s = spec.run_estimate_s * self.run_times.correction_factor(&spec.class);
        (expected_s.max(ESTIMATE_MIN_S) * MS_PER_S) as u64
    }

    /// Adds the run time of a task that ended well to the average of its class.
    pub(in crate::coordination) fn record_run_time(&mut self, spec: &JobSpec, ran_ms: u64) {
        if spec.run_estimate_s <= 0.0 {
            return;
        }
        let ratio = ran_ms as f64 / MS_PER_S / spec.run_estimate_s;
        let ratio = ratio.clamp(*PLAUSIBLE_RATIOS.start(), *PLAUSIBLE_RATIOS.end());
        self.run_times.add_sample(&spec.class, ratio);
    }
}

#[cfg(test)]
mod tests;
