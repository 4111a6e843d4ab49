//! What controllers tell each other, and requests answered for one another.

use super::users::served_gossip;
use super::{CallPurpose, ConnectionId, Controller, Requester, Service};
use crate::constants::{
    GOSSIP_CALL_MS, GOSSIP_FRESH_MS, GOSSIP_MS, MS_PER_S, PEER_VERSION, RELAY_CALL_MS,
};
use crate::protocol::peers::{decode, encode, Gossip, RelayRequest, RelayResponse};

/// What is known of a peer.
#[derive(Debug, Default)]
pub(crate) struct PeerView {
    pub gossip: Option<Gossip>,
    pub last_heard_at: u64,
    /// What it last vouched for in answer to a question: when that was asked, and a time after
    /// which it has not answered any worker in the leader's place until then.
    pub vouch: Option<(u64, u64)>,
    /// When the last question was asked in answer to which it named every end that it knows.
    pub ends_asked: Option<u64>,
    calling: bool,
    next_at: u64,
}

/// Seconds' worth of reports that count as seen now, in report periods.
const SEEN_PERIODS: f64 = 2.0;

impl Controller {
    fn gossip(&self) -> Gossip {
        let seen_ms = (self.settings.params.workers.report_s * MS_PER_S * SEEN_PERIODS) as u64;
        let now = self.now.monotonic_ms;
        let (store, recovery) = self.recovery_state();
        Gossip {
            version: PEER_VERSION,
            label: self.settings.label.clone(),
            incarnation: self.process_id,
            term: self.highest_term,
            leads: self.leader.is_some(),
            max_rev: self.store_sync.max_rev,
            age_ms: now - self.started_at,
            served_ago_ms: if self.store_sync.refused
                || !self.store_sync.loaded
                || self.recovery.holds()
            {
                None
            } else {
                self.store_sync.served_at.map(|t| now - t)
            },
            workers_seen: self.worker_heartbeats.values().filter(|t| now - **t <= seen_ms).count()
                as u32,
            extended_lease_ago_ms: now - self.lease_extension.last_at(),
            since: self.ended_jobs_query(),
            ended: Vec::new(),
            ended_all: false,
            store,
            lost_term: self.recovery.lost_term(),
            recovery,
        }
    }

    pub(super) fn gossip_due(&mut self) {
        let now = self.now.monotonic_ms;
        for i in 0..self.peers.len() {
            if self.peers[i].calling || now < self.peers[i].next_at {
                continue;
            }
            self.peers[i].calling = true;
            self.peers[i].next_at = now + GOSSIP_MS;
            let body = encode(&self.gossip());
            let purpose = CallPurpose::Gossip { peer: i, begun: now };
            self.call(Service::Peer(i), "POST", "/gossip".into(), body, GOSSIP_CALL_MS, purpose);
        }
    }

    pub(super) fn on_gossip_response(
        &mut self,
        peer: usize,
        begun: u64,
        reply: Option<(u16, Vec<u8>)>,
    ) {
        self.peers[peer].calling = false;
        let Some((200, body)) = reply else { return };
        if self.receive_gossip(&body) != Some(peer) {
            return;
        }
        let now = self.now.monotonic_ms;
        let p = &mut self.peers[peer];
        let Some(g) = &p.gossip else { return };
        p.vouch = Some((begun, now.saturating_sub(g.extended_lease_ago_ms)));
        if g.leads {
            self.lease_extension.permitted(g.term, begun);
        }
        self.record_ended_jobs(peer, begun);
    }

    /// Takes note of what a peer says; tells which one it is.
    fn receive_gossip(&mut self, body: &[u8]) -> Option<usize> {
        let g: Gossip = match decode(body) {
            Ok(g) => g,
            Err(e) => {
                log::info!("message of a peer can't be read: {e}");
                return None;
            }
        };
        if g.version != PEER_VERSION {
            log::info!("message of {} has version {}", g.label, g.version);
            return None;
        }
        let i = self.settings.peers.iter().position(|p| p.label == g.label)?;
        if g.term > self.highest_term {
            self.highest_term = g.term;
        }
        self.note_peer_store(&g);
        self.peers[i].last_heard_at = self.now.monotonic_ms;
        self.peers[i].gossip = Some(g);
        self.check_term();
        Some(i)
    }

    pub(super) fn peer_request(
        &mut self,
        connection: ConnectionId,
        method: &str,
        path: &str,
        body: &[u8],
    ) {
        self.metrics.work.peer_requests_received += 1;
        match (method, path) {
            ("POST", "/gossip") => {
                if let Some(peer) = self.receive_gossip(body) {
                    let mut answer = self.gossip();
                    let since = self.peers[peer].gossip.as_ref().and_then(|g| g.since);
                    if let Some(since) = since {
                        // Revisions of another store than ours say nothing about what it lacks.
                        let asked_in = self.peers[peer].gossip.as_ref().and_then(|g| g.store);
                        let same_store = asked_in == answer.store && !self.recovery.holds();
                        self.list_ended_jobs(since, &mut answer);
                        answer.ended_all &= same_store;
                    }
                    let body = encode(&answer);
                    let now = self.now.monotonic_ms;
                    if let Some(leader) = self.leader.as_mut() {
                        // Our word that we lead permits it to answer workers in our place for a while.
                        leader.lease_extension_permits[peer] = Some(now);
                    }
                    self.respond(connection, 200, None, body);
                } else {
                    self.respond(connection, 400, None, vec![]);
                }
            }
            ("POST", "/relay") => match decode::<RelayRequest>(body) {
                Ok(r) if r.version == PEER_VERSION => {
                    let requester =
                        Requester { connection, relayed: true, since: self.now.monotonic_ms };
                    self.user_request(requester, &r.method, &r.path, &r.body);
                }
                _ => self.respond(connection, 400, None, vec![]),
            },
            ("POST", "/image") => self.answer_image_request(connection, body),
            _ => self.respond(connection, 404, None, vec![]),
        }
    }

    /// What peers said lately.
    pub(super) fn fresh_gossip(&self) -> impl Iterator<Item = &Gossip> {
        let now = self.now.monotonic_ms;
        self.peers
            .iter()
            .filter(move |p| now - p.last_heard_at <= GOSSIP_FRESH_MS)
            .filter_map(|p| p.gossip.as_ref())
    }

    /// A peer that the state service serves.
    pub(super) fn best_peer(&self) -> Option<usize> {
        let now = self.now.monotonic_ms;
        (0..self.peers.len())
            .filter(|i| {
                let p = &self.peers[*i];
                now - p.last_heard_at <= GOSSIP_FRESH_MS
                    && p.gossip.as_ref().is_some_and(served_gossip)
            })
            .min_by_key(|i| self.peers[*i].gossip.as_ref().and_then(|g| g.served_ago_ms))
    }

    /// We can't answer: a served peer does it for us, or the user comes back later.
    pub(super) fn relay_or_refuse(
        &mut self,
        requester: Requester,
        method: &'static str,
        path: String,
        body: Vec<u8>,
    ) {
        let peer = if requester.relayed { None } else { self.best_peer() };
        let Some(peer) = peer else {
            return self.unavailable(requester);
        };
        let m = RelayRequest { version: PEER_VERSION, method: method.into(), path, body };
        let purpose = CallPurpose::Relay { requester };
        self.call(Service::Peer(peer), "POST", "/relay".into(), encode(&m), RELAY_CALL_MS, purpose);
    }

    pub(super) fn on_relay_response(
        &mut self,
        requester: Requester,
        reply: Option<(u16, Vec<u8>)>,
    ) {
        match reply
            .and_then(|(s, b)| (s == 200).then(|| decode::<RelayResponse>(&b).ok()).flatten())
        {
            Some(m) if m.version == PEER_VERSION => {
                self.record_relayed_status(&m.body);
                self.pass_on(requester, m)
            }
            _ => self.unavailable(requester),
        }
    }
}
