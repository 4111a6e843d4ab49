//! Exponential backoff with equal jitter: half of each delay is fixed, the other half is random, so that
//! what failed at the same time is not retried at the same time.

use rand::{rngs::SmallRng, Rng};

/// Delays of an exponential backoff, in milliseconds.
#[derive(Debug, Clone)]
pub struct Backoff {
    base_ms: u64,
    max_ms: u64,
    /// Upper bound of the last delay; 0 before the first.
    last_bound_ms: u64,
}

impl Backoff {
    /// A backoff whose first delay is at most `base_ms`, and whose bound doubles up to `max_ms`.
    pub fn new(base_ms: u64, max_ms: u64) -> Backoff {
        Backoff { base_ms, max_ms, last_bound_ms: 0 }
    }

    /// The next delay: between half of the bound and the bound.
    pub fn next_delay_ms(&mut self, rng: &mut SmallRng) -> u64 {
        self.last_bound_ms = self.last_bound_ms.saturating_mul(2).clamp(self.base_ms, self.max_ms);
        let fixed_ms = self.last_bound_ms / 2;
        fixed_ms + rng.random_range(0..=self.last_bound_ms - fixed_ms)
    }

    /// Starts again with the first delay.
    pub fn reset(&mut self) {
        self.last_bound_ms = 0;
    }
}

#[cfg(test)]
mod tests;
