//! The cloud's catalog of machine types.

use crate::constants::{CATALOG_PERIOD_MS, CLOUD_CALL_MS, CLOUD_RETRY_MS};
use crate::coordination::{CallPurpose, Controller, Service};
use crate::protocol::cloud::Catalog;
use std::rc::Rc;

/// How many times less often a controller that does not lead asks for the catalog.
const FOLLOWER_PERIODS: u64 = 10;

impl Controller {
    /// Asks for the catalog when that is due.
    pub(in crate::coordination) fn catalog_due(&mut self) {
        let now = self.now.monotonic_ms;
        let period = match self.leader {
            Some(_) => CATALOG_PERIOD_MS,
            None => CATALOG_PERIOD_MS * FOLLOWER_PERIODS,
        };
        let wait = if self.catalog.is_some() { period } else { CLOUD_RETRY_MS };
        if self.catalog_asked || self.catalog_at.is_some_and(|asked_at| now < asked_at + wait) {
            return;
        }
        if !self.cloud_budget.take(1.0, 0.0, now) {
            return;
        }
        self.catalog_asked = true;
        self.catalog_at = Some(now);
        let path = "/catalog".into();
        self.call(Service::Cloud, "GET", path, vec![], CLOUD_CALL_MS, CallPurpose::Catalog);
    }

    /// Takes a catalog in. One that can't be read leaves the last one in place.
    pub(in crate::coordination) fn on_catalog_response(&mut self, reply: Option<(u16, Vec<u8>)>) {
        self.catalog_asked = false;
        let Some((200, body)) = reply else { return };
        match serde_json::from_slice::<Catalog>(&body) {
            Ok(catalog) => self.catalog = Some(Rc::new(catalog)),
            Err(error) => log::error!("catalogue can't be read: {error}"),
        }
    }
}
