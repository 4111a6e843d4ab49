//! Token buckets that keep the request rates of the state service and the cloud.

use crate::constants::MS_PER_S;

/// What floating-point sums may be short of a full bucket.
const ROUNDING: f64 = 1e-9;

/// A token bucket with a burst of one second's worth.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    per_s: f64,
    burst: f64,
    tokens: f64,
    /// Until when the bucket was filled up.
    refilled_at_ms: u64,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(per_s: f64, now: u64) -> TokenBucket {
        let burst = per_s.max(1.0);
        TokenBucket { per_s, burst, tokens: burst, refilled_at_ms: now }
    }

    /// Changes the rate from now on.
    pub fn set_rate(&mut self, per_s: f64, now: u64) {
        self.refill(now);
        self.per_s = per_s;
        self.burst = per_s.max(1.0);
        self.tokens = self.tokens.min(self.burst);
    }

    fn refill(&mut self, now: u64) {
        let elapsed_s = now.saturating_sub(self.refilled_at_ms) as f64 / MS_PER_S;
        self.refilled_at_ms = now;
        self.tokens = (self.tokens + elapsed_s * self.per_s).min(self.burst);
    }

    /// Takes `tokens` if that leaves `keep` of them.
    pub fn take(&mut self, tokens: f64, keep: f64, now: u64) -> bool {
        self.refill(now);
        // A request larger than the burst passes when the bucket is full.
        if self.tokens - tokens >= keep || self.tokens >= self.burst - ROUNDING {
            self.tokens -= tokens;
            return true;
        }
        false
    }

    /// How many tokens there are now.
    pub fn left(&mut self, now: u64) -> f64 {
        self.refill(now);
        self.tokens
    }

    /// When so many tokens may be taken, if none are taken before: in whole milliseconds, rounded up.
    pub fn available_at(&self, tokens: f64) -> u64 {
        let missing = (tokens.min(self.burst) - self.tokens).max(0.0);
        self.refilled_at_ms.saturating_add((missing / self.per_s * MS_PER_S).ceil() as u64)
    }

    /// How many tokens there are at the most.
    pub fn burst(&self) -> f64 {
        self.burst
    }

    /// The service said that it was asked too often, so our count is behind: takes all tokens.
    pub fn drain(&mut self, now: u64) {
        self.refill(now);
        self.tokens = self.tokens.min(0.0);
    }
}

#[cfg(test)]
mod tests;
