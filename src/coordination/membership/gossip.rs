//! Gossip: the periodic exchange of state between controllers.

use super::NoExtensionSince;
use crate::constants::{GOSSIP_PERIOD_MS, GOSSIP_TIMEOUT_MS, MS_PER_S, PEER_VERSION};
use crate::coordination::{CallPurpose, ConnectionId, Controller, Service};
use crate::protocol::http::Response;
use crate::protocol::peers::{decode, encode, Gossip};
use crate::protocol::routes::GOSSIP_PATH;

/// Heartbeat periods for which a worker counts as seen after a heartbeat.
const WORKER_SEEN_PERIODS: f64 = 2.0;

impl Controller {
    /// This controller's own state as a gossip message.
    fn gossip(&self) -> Gossip {
        let now = self.now.monotonic_ms;
        let seen_ms =
            (self.settings.params.workers.report_s * MS_PER_S * WORKER_SEEN_PERIODS) as u64;
        let has_store_access = !self.store.last_request_failed()
            && self.store.is_loaded()
            && !self.recovery.is_suspended();
        let last_served_at = self.store.last_served_at().filter(|_| has_store_access);
        let (store, recovery) = self.recovery_state();
        Gossip {
            version: PEER_VERSION,
            label: self.settings.label.clone(),
            incarnation: self.process_id,
            term: self.membership.highest_term,
            leads: self.leader.is_some(),
            max_rev: self.store.max_revision(),
            age_ms: now - self.started_at,
            served_ago_ms: last_served_at.map(|t| now - t),
            workers_seen: self.membership.workers_seen(seen_ms, now),
            extended_lease_ago_ms: now - self.membership.lease_extension.last_extended_at(),
            since: self.ended_jobs_query(),
            ended: Vec::new(),
            ended_all: false,
            store,
            lost_term: self.recovery.lost_term(),
            recovery,
        }
    }

    /// Sends gossip to every peer whose gossip period has passed, unless a message is in flight to it.
    pub(in crate::coordination) fn send_gossip_if_due(&mut self) {
        let now = self.now.monotonic_ms;
        for index in 0..self.membership.peers.len() {
            let peer = &mut self.membership.peers[index];
            if peer.gossip_in_flight || now < peer.next_gossip_at {
                continue;
            }
            peer.gossip_in_flight = true;
            peer.next_gossip_at = now + GOSSIP_PERIOD_MS;
            let body = encode(&self.gossip());
            let purpose = CallPurpose::Gossip { peer: index, begun_at: now };
            let service = Service::Peer(index);
            self.call(service, "POST", GOSSIP_PATH.into(), body, GOSSIP_TIMEOUT_MS, purpose);
        }
    }

    pub(in crate::coordination) fn on_gossip_response(
        &mut self,
        peer: usize,
        sent_at: u64,
        response: Option<Response>,
    ) {
        self.membership.peers[peer].gossip_in_flight = false;
        let Some(Response { status: 200, body }) = response else { return };
        if self.receive_gossip(&body) != Some(peer) {
            return;
        }
        let now = self.now.monotonic_ms;
        let member = &mut self.membership.peers[peer];
        let Some(gossip) = &member.gossip else { return };
        let since = now.saturating_sub(gossip.extended_lease_ago_ms);
        member.no_extension = Some(NoExtensionSince { sent_at, since });
        if gossip.leads {
            self.membership.lease_extension.record_permit(gossip.term, sent_at);
        }
        self.record_ended_jobs(peer, sent_at);
    }

    /// Records a peer's gossip and returns the peer's index; none if the message can't be used.
    fn receive_gossip(&mut self, body: &[u8]) -> Option<usize> {
        let gossip: Gossip = match decode(body) {
            Ok(gossip) => gossip,
            Err(error) => {
                log::info!("gossip ignored: the message could not be decoded: {error}");
                return None;
            }
        };
        if gossip.version != PEER_VERSION {
            log::info!("gossip ignored: {} sent version {}", gossip.label, gossip.version);
            return None;
        }
        let index = self.settings.peers.iter().position(|peer| peer.label == gossip.label)?;
        self.membership.record_term(gossip.term);
        self.check_peer_store(&gossip);
        let peer = &mut self.membership.peers[index];
        peer.last_heard_at = self.now.monotonic_ms;
        peer.gossip = Some(gossip);
        self.check_term();
        Some(index)
    }

    /// Answers a peer's gossip with our own, and with the ended jobs that the peer asks for.
    pub(in crate::coordination) fn answer_gossip(&mut self, connection: ConnectionId, body: &[u8]) {
        let Some(peer) = self.receive_gossip(body) else {
            return self.respond(connection, 400, None, vec![]);
        };
        let response = encode(&self.gossip_for(peer));
        if let Some(leader) = self.leader.as_mut() {
            // A response that says we lead permits the peer to extend workers' leases for a while.
            leader.lease_extension_permits[peer] = Some(self.now.monotonic_ms);
        }
        self.respond(connection, 200, None, response);
    }

    /// The response to a peer's gossip, with the ended jobs that it asks for.
    fn gossip_for(&self, peer: usize) -> Gossip {
        let mut response = self.gossip();
        let request = self.membership.peers[peer].gossip.as_ref();
        if let Some(since) = request.and_then(|gossip| gossip.since) {
            // A revision of another store than ours doesn't tell which ended jobs the peer lacks, so
            // the list can't be called complete.
            let requested_store = request.and_then(|gossip| gossip.store);
            let same_store = requested_store == response.store && !self.recovery.is_suspended();
            self.list_ended_jobs(since, &mut response);
            response.ended_all &= same_store;
        }
        response
    }
}
