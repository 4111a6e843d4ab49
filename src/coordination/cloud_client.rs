//! The client of the cloud: the rate of its requests, and the catalogue of machine types.

use crate::constants::{CATALOG_PERIOD_MS, CLOUD_RETRY_BACKOFF_MS, REQUEST_RATE_SHARE};
use crate::protocol::cloud::Catalog;
use crate::storage::token_bucket::TokenBucket;
use std::rc::Rc;

/// Catalogue periods between two requests of a follower, in those of a leader.
const FOLLOWER_CATALOG_PERIODS: u64 = 10;

/// A controller's view of the cloud's interface.
#[derive(Debug)]
pub(super) struct CloudClient {
    /// Requests a second that the cloud takes from all controllers.
    requests_per_s: f64,
    budget: TokenBucket,
    catalog: Option<Rc<Catalog>>,
    catalog_requested_at: Option<u64>,
    catalog_request_in_flight: bool,
}

impl CloudClient {
    /// A client with a follower's share of the requests.
    pub(super) fn new(requests_per_s: f64, controllers: usize, now: u64) -> CloudClient {
        let share = requests_per_s * REQUEST_RATE_SHARE / controllers as f64;
        CloudClient {
            requests_per_s,
            budget: TokenBucket::new(share, now),
            catalog: None,
            catalog_requested_at: None,
            catalog_request_in_flight: false,
        }
    }

    /// The leader may use the rate of all controllers.
    pub(super) fn set_leader_rate(&mut self, now: u64) {
        self.budget.set_rate(self.requests_per_s * REQUEST_RATE_SHARE, now);
    }

    /// A follower shares it with the others.
    pub(super) fn set_follower_rate(&mut self, controllers: usize, now: u64) {
        let share = self.requests_per_s * REQUEST_RATE_SHARE / controllers as f64;
        self.budget.set_rate(share, now);
    }

    /// Takes a request out of the budget if that leaves `keep`; false if it does not.
    pub(super) fn take_request(&mut self, keep: f64, now: u64) -> bool {
        self.budget.take(1.0, keep, now)
    }

    /// The last known machine types.
    pub(super) fn catalog(&self) -> Option<&Rc<Catalog>> {
        self.catalog.as_ref()
    }

    /// Takes the catalogue that the cloud has answered with.
    pub(super) fn set_catalog(&mut self, catalog: Catalog) {
        self.catalog = Some(Rc::new(catalog));
    }

    /// Takes the catalogue from the store unless the cloud has given one.
    pub(super) fn restore_catalog(&mut self, stored: Option<&Catalog>) {
        if self.catalog.is_none() {
            self.catalog = stored.map(|catalog| Rc::new(catalog.clone()));
        }
    }

    /// Whether the catalogue is to be asked for now; notes the request if it is.
    pub(super) fn begin_catalog_request(&mut self, is_leader: bool, now: u64) -> bool {
        let period_ms = match (&self.catalog, is_leader) {
            (None, _) => CLOUD_RETRY_BACKOFF_MS,
            (Some(_), true) => CATALOG_PERIOD_MS,
            (Some(_), false) => CATALOG_PERIOD_MS * FOLLOWER_CATALOG_PERIODS,
        };
        let too_early = self.catalog_requested_at.is_some_and(|t| now < t + period_ms);
        if self.catalog_request_in_flight || too_early || !self.take_request(0.0, now) {
            return false;
        }
        self.catalog_request_in_flight = true;
        self.catalog_requested_at = Some(now);
        true
    }

    /// The request for the catalogue is answered, or will not be.
    pub(super) fn end_catalog_request(&mut self) {
        self.catalog_request_in_flight = false;
    }
}
