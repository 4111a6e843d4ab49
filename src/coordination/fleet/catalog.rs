//! Requests for the cloud's catalog of machine types, which the cloud client keeps.

use crate::constants::CLOUD_TIMEOUT_MS;
use crate::coordination::outbox::CallPurpose;
use crate::coordination::{Controller, Service};
use crate::protocol::cloud::Catalog;
use crate::protocol::http::Response;

impl Controller {
    /// Requests the catalog when that is due.
    pub(in crate::coordination) fn request_catalog_if_due(&mut self) {
        let now = self.now.monotonic_ms;
        if self.cloud.begin_catalog_request(self.leader.is_some(), now) {
            let (path, purpose) = ("/catalog".into(), CallPurpose::Catalog);
            self.call(Service::Cloud, "GET", path, vec![], CLOUD_TIMEOUT_MS, purpose);
        }
    }

    /// Handles the response with the catalog. If it can't be parsed, the last catalog stays in use.
    pub(in crate::coordination) fn on_catalog_response(&mut self, response: Option<Response>) {
        self.cloud.end_catalog_request();
        let Some(Response { status: 200, body }) = response else { return };
        match serde_json::from_slice::<Catalog>(&body) {
            Ok(catalog) => self.cloud.set_catalog(catalog),
            Err(error) => {
                log::error!("catalog rejected: malformed, the last one stays in use: {error}");
            }
        }
    }
}
