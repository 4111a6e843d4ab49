//! Size and rate limits of the state service.
//!
//! The settings may announce lower limits that take effect later without notice. The lower sizes are
//! respected from the start, since a transaction with a value that is too large always fails. The lower rates
//! are used once the service has rejected a request because of its rate.

use crate::constants::{STORE_VALUE_BYTES_MIN, TRANSACTION_OPS_MIN};
use crate::settings::StateLimits;

/// The limits of the state service that transactions and requests must respect at present.
#[derive(Debug, Clone)]
pub struct StoreLimits {
    /// Maximum size of a value in bytes.
    pub value_bytes: usize,
    /// Maximum number of puts and deletes of a transaction.
    pub transaction_ops: usize,
    /// Maximum number of requests per second.
    pub requests_per_s: f64,
    /// Maximum number of puts and deletes per second.
    pub writes_per_s: f64,
    lowest_requests_per_s: f64,
    lowest_writes_per_s: f64,
}

impl StoreLimits {
    /// The limits according to the settings.
    pub fn new(settings: &StateLimits) -> StoreLimits {
        StoreLimits {
            value_bytes: settings.value_bytes(),
            transaction_ops: settings.transaction_ops(),
            requests_per_s: settings.rps,
            writes_per_s: settings.write_rps,
            lowest_requests_per_s: settings.lowest_rps(),
            lowest_writes_per_s: settings.lowest_write_rps(),
        }
    }

    /// The lower of the present and the announced number of puts and deletes per second.
    pub fn lowest_writes_per_s(&self) -> f64 {
        self.lowest_writes_per_s
    }

    /// Switches to the lower rates, after the service has rejected a request because of its rate. Returns
    /// whether that lowers any rate.
    pub fn lower_rates(&mut self) -> bool {
        let lower = self.requests_per_s > self.lowest_requests_per_s
            || self.writes_per_s > self.lowest_writes_per_s;
        self.requests_per_s = self.lowest_requests_per_s;
        self.writes_per_s = self.lowest_writes_per_s;
        lower
    }

    /// Halves the size limits, after the service has rejected a well-formed transaction as malformed: its
    /// limits must be lower than the settings say.
    pub fn halve_sizes(&mut self) {
        self.value_bytes = (self.value_bytes / 2).max(STORE_VALUE_BYTES_MIN);
        self.transaction_ops = (self.transaction_ops / 2).max(TRANSACTION_OPS_MIN);
    }
}

#[cfg(test)]
mod tests;
