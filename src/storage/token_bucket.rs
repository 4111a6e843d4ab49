//! Token buckets that keep the request rates of the state service and the cloud.

/// A bucket with a burst of one second's worth.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    per_s: f64,
    burst: f64,
    tokens: f64,
    at: u64,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(per_s: f64, now: u64) -> TokenBucket {
        let burst = per_s.max(1.0);
        TokenBucket { per_s, burst, tokens: burst, at: now }
    }

    /// Changes the rate from now on.
    pub fn set_rate(&mut self, per_s: f64, now: u64) {
        self.refill(now);
        self.per_s = per_s;
        self.burst = per_s.max(1.0);
        self.tokens = self.tokens.min(self.burst);
    }

    fn refill(&mut self, now: u64) {
        let dt = now.saturating_sub(self.at) as f64 / 1000.0;
        self.at = now;
        self.tokens = (self.tokens + dt * self.per_s).min(self.burst);
    }

    /// Takes `n` if that leaves `keep`.
    pub fn take(&mut self, n: f64, keep: f64, now: u64) -> bool {
        self.refill(now);
        // A request larger than the burst passes when the bucket is full.
        if self.tokens - n >= keep || self.tokens >= self.burst - 1e-9 {
            self.tokens -= n;
            return true;
        }
        false
    }

    /// How many may be taken now.
    pub fn left(&mut self, now: u64) -> f64 {
        self.refill(now);
        self.tokens
    }

    /// When so many may be taken, if none are taken before: in whole milliseconds, rounded up.
    pub fn available_at(&self, n: f64) -> u64 {
        let missing = (n.min(self.burst) - self.tokens).max(0.0);
        self.at.saturating_add((missing / self.per_s * 1000.0).ceil() as u64)
    }

    /// How many there are at the most.
    pub fn burst(&self) -> f64 {
        self.burst
    }

    /// The service said that it was asked too often: our count is behind.
    pub fn drain(&mut self, now: u64) {
        self.refill(now);
        self.tokens = self.tokens.min(0.0);
    }
}

#[cfg(test)]
mod tests;
