//! Transfer of images of the lost store, page by page, to the controller that rebuilds it.

use crate::constants::{IMAGE_PAGE_BYTES, IMAGE_REQUEST_RETRY_MS, IMAGE_TIMEOUT_MS, PEER_VERSION};
use crate::coordination::{CallPurpose, ConnectionId, Controller, Service};
use crate::protocol::http::Response;
use crate::protocol::peers::{decode, encode, ImagePage, ImageRequest};
use crate::protocol::routes::IMAGE_PATH;
use mountgap_recovery::audit::DataLoss;
use mountgap_recovery::image::StoreImage;

/// The image of a peer, as received so far.
#[derive(Debug, Default)]
pub(super) struct PeerImage {
    /// The content of all pages received.
    image: StoreImage,
    /// The last key of these pages; the next page begins after it.
    last_key: String,
    /// Whether a request for a page is not answered yet.
    request_sent: bool,
    /// When the next page may be requested.
    next_request_at: u64,
    /// Whether all pages were received.
    complete: bool,
    /// Whether the peer's history reaches back to before the loss.
    history_complete: bool,
}

impl PeerImage {
    /// The image, once all pages were received.
    pub(super) fn image_if_complete(&self) -> Option<&StoreImage> {
        Some(&self.image).filter(|_| self.complete)
    }

    /// Whether all pages were received.
    pub(super) fn is_complete(&self) -> bool {
        self.complete
    }

    /// Whether the peer's history reaches back to before the loss.
    pub(super) fn is_history_complete(&self) -> bool {
        self.history_complete
    }

    fn add_page(&mut self, page: ImagePage) {
        for (key, mod_revision) in &page.removed {
            self.image.remove(key, *mod_revision);
        }
        for (key, mod_revision, data) in &page.values {
            self.image.put(key, *mod_revision, data);
        }
        if let Some((key, _, _)) = page.values.last() {
            self.last_key = key.clone();
        }
        self.history_complete = page.remembers;
        self.complete = page.last;
        if page.last {
            self.image.advance(page.revision);
        }
    }
}

impl Controller {
    /// Requests the next missing page of each peer's image.
    pub(super) fn request_peer_images(&mut self) {
        let now = self.now.monotonic_ms;
        for peer in 0..self.membership.peer_count() {
            let Some(rebuild) = self.recovery.rebuild_mut() else { return };
            let image = &mut rebuild.peers[peer];
            if image.complete || image.request_sent || now < image.next_request_at {
                continue;
            }
            image.request_sent = true;
            image.next_request_at = now + IMAGE_REQUEST_RETRY_MS;
            let request = ImageRequest {
                version: PEER_VERSION,
                label: self.settings.label.clone(),
                after: image.last_key.clone(),
            };
            let purpose = CallPurpose::Image { peer };
            let body = encode(&request);
            let service = Service::Peer(peer);
            self.call(service, "POST", IMAGE_PATH.into(), body, IMAGE_TIMEOUT_MS, purpose);
        }
    }

    pub(in crate::coordination) fn on_image_response(
        &mut self,
        peer: usize,
        response: Option<Response>,
    ) {
        let Some(rebuild) = self.recovery.rebuild_mut() else { return };
        let image = &mut rebuild.peers[peer];
        image.request_sent = false;
        let page = match response {
            Some(Response { status: 200, body }) => decode::<ImagePage>(&body).ok(),
            _ => None,
        };
        let label = &self.settings.peers[peer].label;
        let valid = |page: &ImagePage| page.version == PEER_VERSION && page.label == *label;
        let Some(page) = page.filter(valid) else { return };
        self.membership.record_term(page.term);
        if page.holds {
            image.next_request_at = 0;
            image.add_page(page);
        }
        self.check_term();
    }

    /// Answers a page request of a peer that rebuilds the store. The request itself shows that a rebuild has
    /// started, so if we know of no data loss, we suspect one and verify the store first.
    pub(in crate::coordination) fn answer_image_request(
        &mut self,
        connection: ConnectionId,
        body: &[u8],
    ) {
        let request = match decode::<ImageRequest>(body) {
            Ok(request) if request.version == PEER_VERSION && self.recovery.is_enabled() => request,
            _ => return self.respond(connection, 404, None, vec![]),
        };
        if self.recovery.is_following() && self.store.is_loaded() {
            self.suspect_data_loss(Some(DataLoss::RebuildStarted));
        }
        let page = self.image_page(&request.after);
        self.respond(connection, 200, None, encode(&page));
    }

    fn image_page(&self, after: &str) -> ImagePage {
        let recovery = &self.recovery;
        let mut page = ImagePage {
            version: PEER_VERSION,
            label: self.settings.label.clone(),
            holds: recovery.is_suspended(),
            remembers: recovery.was_history_complete(),
            term: self.membership.highest_term(),
            revision: 0,
            values: Vec::new(),
            removed: Vec::new(),
            last: true,
        };
        let Some(lost) = recovery.held_image() else { return page };
        page.revision = lost.revision();
        if after.is_empty() {
            page.removed = lost.removals().map(|(key, at)| (key.to_string(), at)).collect();
        }
        let mut bytes = 0;
        for (key, value) in lost.iter_after(after) {
            if bytes >= IMAGE_PAGE_BYTES {
                page.last = false;
                break;
            }
            bytes += key.len() + value.data.len();
            page.values.push((key.to_string(), value.mod_revision, value.data.to_string()));
        }
        page
    }
}
