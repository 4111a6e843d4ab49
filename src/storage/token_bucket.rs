//! Token buckets that limit the rates of requests to the state service and the cloud.

use crate::constants::MS_PER_S;

/// Tolerance for floating-point rounding when a bucket is checked for being full.
const ROUNDING: f64 = 1e-9;

/// A token bucket. It holds at most the tokens of one second, or one token if that is more.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    per_s: f64,
    burst: f64,
    tokens: f64,
    /// When the bucket was last refilled.
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

    /// Takes `tokens` if at least `reserve` remain after that, or if the bucket is full. Returns whether it
    /// has taken them.
    pub fn try_take(&mut self, tokens: f64, reserve: f64, now: u64) -> bool {
        self.refill(now);
        // A full bucket always grants a request: one for more than the burst could never succeed otherwise.
        if self.tokens - tokens >= reserve || self.tokens >= self.burst - ROUNDING {
            self.tokens -= tokens;
            return true;
        }
        false
    }

    /// Number of tokens now; negative after a request for more than the bucket held.
    pub fn available(&mut self, now: u64) -> f64 {
        self.refill(now);
        self.tokens
    }

    /// When the bucket will hold `tokens`, or be full, if none are taken before; rounded up to whole
    /// milliseconds.
    pub fn available_at(&self, tokens: f64) -> u64 {
        let missing = (tokens.min(self.burst) - self.tokens).max(0.0);
        self.refilled_at_ms.saturating_add((missing / self.per_s * MS_PER_S).ceil() as u64)
    }

    /// Maximum number of tokens.
    pub fn burst(&self) -> f64 {
        self.burst
    }

    /// Removes all tokens, after the service has rejected a request because of its rate: evidently the
    /// service has counted more requests than this bucket.
    pub fn drain(&mut self, now: u64) {
        self.refill(now);
        self.tokens = self.tokens.min(0.0);
    }
}

#[cfg(test)]
mod tests;
