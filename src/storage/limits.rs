//! Sizes and rates that the state service allows, as far as they are known.
//!
//! The settings may announce lower limits that come into force at some moment without notice. Sizes
//! keep to the lower ones from the start, since one value that is too large blocks its commit. Rates
//! go down once the service has answered that it is asked too often.

use crate::constants::{STORE_VALUE_BYTES_MIN, TRANSACTION_OPS_MIN};
use crate::settings::StateLimits;

/// The limits to keep to.
#[derive(Debug, Clone)]
pub struct StoreLimits {
    /// Bytes of one value.
    pub value_bytes: usize,
    /// Puts and deletes of one transaction.
    pub transaction_ops: usize,
    /// Requests a second.
    pub requests_per_s: f64,
    /// Puts and deletes a second.
    pub writes_per_s: f64,
    lowest_requests_per_s: f64,
    lowest_writes_per_s: f64,
}

impl StoreLimits {
    /// The limits that the settings give.
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

    /// Puts and deletes a second that are allowed now and later.
    pub fn lowest_writes_per_s(&self) -> f64 {
        self.lowest_writes_per_s
    }

    /// The service has refused a request as one too many. Tells whether lower rates are in force
    /// from now on.
    pub fn lower_rates(&mut self) -> bool {
        let lower = self.requests_per_s > self.lowest_requests_per_s
            || self.writes_per_s > self.lowest_writes_per_s;
        self.requests_per_s = self.lowest_requests_per_s;
        self.writes_per_s = self.lowest_writes_per_s;
        lower
    }

    /// The service has refused a commit as malformed although it is not: its limits must be lower
    /// than the settings say.
    pub fn halve_sizes(&mut self) {
        self.value_bytes = (self.value_bytes / 2).max(STORE_VALUE_BYTES_MIN);
        self.transaction_ops = (self.transaction_ops / 2).max(TRANSACTION_OPS_MIN);
    }
}

#[cfg(test)]
mod tests;
