//! LessConsume Threshold for all thresholds at once (sections 4 and 5 of the paper).

use super::allocation::{Allocation, Preference};
use std::cmp::Ordering;

/// An allocation and its tie-break.
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate {
    pub(super) allocation: Allocation,
    pub(super) preference: Preference,
}

impl Candidate {
    /// Compares penalty factors, then preferences.
    pub(super) fn has_lower_penalty_than(&self, other: &Candidate) -> bool {
        let (factor, other_factor) =
            (self.allocation.penalty_factor, other.allocation.penalty_factor);
        factor < other_factor || (factor == other_factor && self.preference < other.preference)
    }
}

/// The allocations found by LessConsume Threshold, one for each threshold.
pub(super) struct ThresholdSearch<'a> {
    thresholds: &'a [f64],
    /// For each threshold the earliest allocation below it; of several with that start, the one
    /// with the least factor.
    earliest_below: Vec<Option<Candidate>>,
    /// The allocation with the least factor.
    least_penalty: Option<Candidate>,
    /// First fit: the earliest allocation.
    earliest: Option<Candidate>,
}

impl<'a> ThresholdSearch<'a> {
    pub(super) fn new(thresholds: &'a [f64]) -> ThresholdSearch<'a> {
        let earliest_below = vec![None; thresholds.len()];
        ThresholdSearch { thresholds, earliest_below, least_penalty: None, earliest: None }
    }

    /// Adds an allocation to the search.
    pub(super) fn add(&mut self, candidate: Candidate) {
        let factor = candidate.allocation.penalty_factor;
        for (earliest, threshold) in self.earliest_below.iter_mut().zip(self.thresholds) {
            if factor < *threshold {
                keep_minimum(earliest, candidate, by_start_and_factor);
            }
        }
        keep_minimum(&mut self.earliest, candidate, by_start);
        keep_minimum(&mut self.least_penalty, candidate, by_factor);
    }

    /// The allocation with the least slowdown, which for a single task is the one that ends first.
    /// A threshold without an allocation below it yields the one with the least factor, however
    /// late that starts. First fit is considered too, so that an earlier start is among the choices
    /// even if all factors are high.
    ///
    /// Of allocations that end at the same time the earliest is chosen: starting while the image is
    /// being fetched ends no later than waiting until it is cached. If a service waited instead,
    /// its slot would go to a task of lower priority, which the next pass would preempt for the
    /// service, again and again.
    pub(super) fn best(self) -> Option<Allocation> {
        let least_penalty = self.least_penalty;
        let per_threshold =
            self.earliest_below.into_iter().filter_map(|earliest| earliest.or(least_penalty));
        let allocations = per_threshold.chain(self.earliest).map(|candidate| candidate.allocation);
        allocations.min_by_key(|allocation| (allocation.end_ms(), allocation.start_ms))
    }
}

/// Keeps the lesser of two candidates; the present one if they are equal.
fn keep_minimum(
    kept: &mut Option<Candidate>,
    candidate: Candidate,
    order: fn(&Candidate, &Candidate) -> Ordering,
) {
    if kept.as_ref().is_none_or(|kept| order(&candidate, kept).is_lt()) {
        *kept = Some(candidate);
    }
}

fn by_start(left: &Candidate, right: &Candidate) -> Ordering {
    let key = |candidate: &Candidate| (candidate.allocation.start_ms, candidate.preference);
    key(left).cmp(&key(right))
}

fn by_start_and_factor(left: &Candidate, right: &Candidate) -> Ordering {
    let (first, second) = (&left.allocation, &right.allocation);
    (first.start_ms.cmp(&second.start_ms))
        .then(first.penalty_factor.total_cmp(&second.penalty_factor))
        .then(left.preference.cmp(&right.preference))
}

fn by_factor(left: &Candidate, right: &Candidate) -> Ordering {
    let (first, second) = (left.allocation.penalty_factor, right.allocation.penalty_factor);
    first.total_cmp(&second).then(by_start(left, right))
}
