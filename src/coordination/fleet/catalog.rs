//! Requests for the cloud's catalog of machine types; the cloud's client owns what is known of it.

use crate::constants::CLOUD_TIMEOUT_MS;
use crate::coordination::outbox::CallPurpose;
use crate::coordination::{Controller, Service};
use crate::protocol::cloud::Catalog;
use crate::protocol::http::Response;

impl Controller {
    /// Asks for the catalog when that is due.
    pub(in crate::coordination) fn catalog_due(&mut self) {
        let now = self.now.monotonic_ms;
        if self.cloud.begin_catalog_request(self.leader.is_some(), now) {
            let (path, purpose) = ("/catalog".into(), CallPurpose::Catalog);
            self.call(Service::Cloud, "GET", path, vec![], CLOUD_TIMEOUT_MS, purpose);
        }
    }

    /// Takes a catalog in. One that can't be read leaves the last one in place.
    pub(in crate::coordination) fn on_catalog_response(&mut self, reply: Option<Response>) {
        self.cloud.end_catalog_request();
        let Some(Response { status: 200, body }) = reply else { return };
        match serde_json::from_slice::<Catalog>(&body) {
            Ok(catalog) => self.cloud.set_catalog(catalog),
            Err(error) => log::error!("catalogue can't be read: {error}"),
        }
    }
}
