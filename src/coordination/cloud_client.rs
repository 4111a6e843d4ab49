//! Client state for the cloud's interface: the request rate limit, and the catalog of machine types.

use crate::constants::{CATALOG_PERIOD_MS, CLOUD_RETRY_BACKOFF_MS, REQUEST_RATE_SHARE};
use crate::protocol::cloud::Catalog;
use crate::storage::token_bucket::TokenBucket;
use std::rc::Rc;

/// How many times longer a follower waits between two catalog requests than a leader.
const FOLLOWER_CATALOG_PERIODS: u64 = 10;

/// A controller's client state for the cloud's interface.
#[derive(Debug)]
pub(super) struct CloudClient {
    /// Requests a second that the cloud accepts from all controllers together.
    requests_per_s: f64,
    budget: TokenBucket,
    catalog: Option<Rc<Catalog>>,
    catalog_requested_at: Option<u64>,
    catalog_request_in_flight: bool,
}

impl CloudClient {
    /// A client with a follower's share of the request rate.
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

    /// Sets the leader's rate: all that the cloud accepts.
    pub(super) fn set_leader_rate(&mut self, now: u64) {
        self.budget.set_rate(self.requests_per_s * REQUEST_RATE_SHARE, now);
    }

    /// Sets a follower's rate: an equal part of what the cloud accepts.
    pub(super) fn set_follower_rate(&mut self, controllers: usize, now: u64) {
        let share = self.requests_per_s * REQUEST_RATE_SHARE / controllers as f64;
        self.budget.set_rate(share, now);
    }

    /// Takes one request out of the budget if that leaves at least `min_remaining`; returns whether it was taken.
    pub(super) fn take_request(&mut self, min_remaining: f64, now: u64) -> bool {
        self.budget.try_take(1.0, min_remaining, now)
    }

    /// The last known catalog of machine types.
    pub(super) fn catalog(&self) -> Option<&Rc<Catalog>> {
        self.catalog.as_ref()
    }

    /// Stores a catalog that the cloud has returned.
    pub(super) fn set_catalog(&mut self, catalog: Catalog) {
        self.catalog = Some(Rc::new(catalog));
    }

    /// Falls back to the catalog kept in the store if the cloud has returned none yet.
    pub(super) fn restore_catalog(&mut self, stored: Option<&Catalog>) {
        if self.catalog.is_none() {
            self.catalog = stored.map(|catalog| Rc::new(catalog.clone()));
        }
    }

    /// Whether to request the catalog now. If so, the request is recorded as in flight.
    pub(super) fn begin_catalog_request(&mut self, is_leader: bool, now: u64) -> bool {
        let period_ms = match (&self.catalog, is_leader) {
            (None, _) => CLOUD_RETRY_BACKOFF_MS,
            (Some(_), true) => CATALOG_PERIOD_MS,
            (Some(_), false) => CATALOG_PERIOD_MS * FOLLOWER_CATALOG_PERIODS,
        };
        let too_early = self.catalog_requested_at.is_some_and(|at| now < at + period_ms);
        if self.catalog_request_in_flight || too_early || !self.take_request(0.0, now) {
            return false;
        }
        self.catalog_request_in_flight = true;
        self.catalog_requested_at = Some(now);
        true
    }

    /// Records that the catalog request was answered or has failed.
    pub(super) fn end_catalog_request(&mut self) {
        self.catalog_request_in_flight = false;
    }
}
