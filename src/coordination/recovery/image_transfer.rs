//! Passing images of the lost store to the controller that rebuilds it.

use super::RecoveryPhase;
use crate::constants::{IMAGE_CALL_MS, IMAGE_PAGE_BYTES, IMAGE_RETRY_MS, PEER_VERSION};
use crate::coordination::{CallPurpose, ConnectionId, Controller, Service};
use crate::protocol::http::Response;
use crate::protocol::peers::{decode, encode, ImagePage, ImageRequest};
use mountgap_recovery::audit::DataLoss;
use mountgap_recovery::image::StoreImage;

/// The image that a peer hands over.
#[derive(Debug, Default)]
pub(super) struct PeerImage {
    /// Pages so far.
    image: StoreImage,
    /// Last key of these.
    after: String,
    asking: bool,
    next_at: u64,
    /// All pages are in.
    pub complete: bool,
    /// Its memory reaches back to before the loss.
    pub history_complete: bool,
}

impl PeerImage {
    /// The whole image, once it is there.
    pub(super) fn whole(&self) -> Option<&StoreImage> {
        Some(&self.image).filter(|_| self.complete)
    }

    fn take(&mut self, page: ImagePage) {
        for (key, mod_revision) in &page.removed {
            self.image.remove(key, *mod_revision);
        }
        for (key, mod_revision, data) in &page.values {
            self.image.put(key, *mod_revision, data);
        }
        if let Some((key, _, _)) = page.values.last() {
            self.after = key.clone();
        }
        self.history_complete = page.remembers;
        self.complete = page.last;
        if page.last {
            self.image.advance(page.revision);
        }
    }
}

impl Controller {
    /// Asks peers for what is missing of their images.
    pub(super) fn gather_due(&mut self) {
        let now = self.now.monotonic_ms;
        for peer in 0..self.membership.peer_count() {
            let Some(rebuild) = self.recovery.rebuild.as_mut() else { return };
            let image = &mut rebuild.peers[peer];
            if image.complete || image.asking || now < image.next_at {
                continue;
            }
            image.asking = true;
            image.next_at = now + IMAGE_RETRY_MS;
            let request = ImageRequest {
                version: PEER_VERSION,
                label: self.settings.label.clone(),
                after: image.after.clone(),
            };
            let purpose = CallPurpose::Image { peer };
            let body = encode(&request);
            let service = Service::Peer(peer);
            self.call(service, "POST", "/image".into(), body, IMAGE_CALL_MS, purpose);
        }
    }

    pub(in crate::coordination) fn on_image_response(
        &mut self,
        peer: usize,
        reply: Option<Response>,
    ) {
        let Some(rebuild) = self.recovery.rebuild.as_mut() else { return };
        let image = &mut rebuild.peers[peer];
        image.asking = false;
        let page = match reply {
            Some(Response { status: 200, body }) => decode::<ImagePage>(&body).ok(),
            _ => None,
        };
        let label = &self.settings.peers[peer].label;
        let valid = |page: &ImagePage| page.version == PEER_VERSION && page.label == *label;
        let Some(page) = page.filter(valid) else { return };
        self.membership.note_term(page.term);
        if page.holds {
            image.next_at = 0;
            image.take(page);
        }
        self.check_term();
    }

    /// Answers a peer that rebuilds the store. One that asks has begun to; if we know nothing of a
    /// loss we look for ourselves first.
    pub(in crate::coordination) fn answer_image_request(
        &mut self,
        connection: ConnectionId,
        body: &[u8],
    ) {
        let request = match decode::<ImageRequest>(body) {
            Ok(request) if request.version == PEER_VERSION && self.recovery.enabled => request,
            _ => return self.respond(connection, 404, None, vec![]),
        };
        if matches!(self.recovery.phase, RecoveryPhase::Following) && self.store.is_loaded() {
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
            remembers: recovery.history_complete,
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
