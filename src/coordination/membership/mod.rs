//! The other controllers: what each last said of itself, the highest term heard of, and what a controller
//! may conclude from that while it can't read the store.
//!
//! [`Membership`] owns all of it. [`gossip`] sends and receives the messages, [`ended_jobs`] exchanges which jobs
//! have ended, [`lease_extension`] keeps workers' leases in the place of a leader that can't be reached.

mod ended_jobs;
mod gossip;
mod lease_extension;

pub(super) use lease_extension::stop_commands_of_ended_jobs;

use crate::constants::{GOSSIP_FRESH_MS, STATE_UNAVAILABLE_MS};
use crate::protocol::peers::Gossip;
use crate::storage::hashing::{HashKeys, HashMap, HashSet};
use crate::storage::records::JobId;
use lease_extension::LeaseExtension;

/// A peer's statement that it has not extended workers' leases in the leader's place.
#[derive(Debug, Clone, Copy)]
struct NoExtensionSince {
    /// When the question was asked that the peer answered with it.
    asked_at: u64,
    /// The time after which it has not answered any worker.
    since: u64,
}

/// What is known of a peer.
#[derive(Debug, Default)]
struct Peer {
    gossip: Option<Gossip>,
    last_heard_at: u64,
    /// What it last said of leases that it extended.
    no_extension: Option<NoExtensionSince>,
    /// When the last question was asked in answer to which it named every end that it knows.
    ends_complete_at: Option<u64>,
    gossip_in_flight: bool,
    next_gossip_at: u64,
}

/// What a controller knows of the others.
#[derive(Debug)]
pub(super) struct Membership {
    peers: Vec<Peer>,
    /// Highest term heard of from anyone.
    highest_term: u64,
    /// When each worker last reported here.
    worker_heartbeats: HashMap<String, u64>,
    lease_extension: LeaseExtension,
    /// Jobs that have ended according to peers, ahead of our copy of the store.
    ended_jobs: HashSet<JobId>,
}

impl Membership {
    pub(super) fn new(peers: usize, keys: HashKeys, now: u64) -> Membership {
        Membership {
            peers: (0..peers).map(|_| Peer::default()).collect(),
            highest_term: 0,
            worker_heartbeats: keys.map(),
            lease_extension: LeaseExtension::new(now),
            ended_jobs: keys.set(),
        }
    }

    /// Number of the other controllers.
    pub(super) fn peer_count(&self) -> usize {
        self.peers.len()
    }

    /// Highest term heard of from anyone.
    pub(super) fn highest_term(&self) -> u64 {
        self.highest_term
    }

    /// Somebody has shown this term.
    pub(super) fn note_term(&mut self, term: u64) {
        self.highest_term = self.highest_term.max(term);
    }

    /// A worker has reported here.
    pub(super) fn note_worker_heartbeat(&mut self, machine: &str, now: u64) {
        self.worker_heartbeats.insert(machine.to_string(), now);
    }

    /// Workers that have reported here within so many milliseconds.
    fn workers_seen(&self, within_ms: u64, now: u64) -> u32 {
        self.worker_heartbeats.values().filter(|t| now - **t <= within_ms).count() as u32
    }

    /// What peers said lately.
    pub(super) fn fresh_gossip(&self, now: u64) -> impl Iterator<Item = &Gossip> {
        self.peers
            .iter()
            .filter(move |peer| now - peer.last_heard_at <= GOSSIP_FRESH_MS)
            .filter_map(|peer| peer.gossip.as_ref())
    }

    /// A peer that the state service serves: the one that it served last.
    pub(super) fn served_peer(&self, now: u64) -> Option<usize> {
        let served_ago = |peer: &Peer| peer.gossip.as_ref().and_then(|gossip| gossip.served_ago_ms);
        (0..self.peers.len())
            .filter(|index| {
                let peer = &self.peers[*index];
                let is_fresh = now - peer.last_heard_at <= GOSSIP_FRESH_MS;
                is_fresh && peer.gossip.as_ref().is_some_and(is_served)
            })
            .min_by_key(|index| served_ago(&self.peers[*index]))
    }

    /// The copy of the store is read anew: what peers named need not be all that it lacks.
    pub(super) fn forget_complete_ends(&mut self) {
        self.peers.iter_mut().for_each(|peer| peer.ends_complete_at = None);
    }

    /// Whether a peer has said that a job is over, ahead of our copy of the store.
    pub(super) fn has_heard_end_of(&self, uid: &str) -> bool {
        self.ended_jobs.contains(uid)
    }

    /// The earliest of the last questions that each peer has answered with every end that it
    /// knows; none if one of them has answered none so.
    pub(super) fn ends_complete_at(&self) -> Option<u64> {
        self.peers.iter().map(|peer| peer.ends_complete_at).min().flatten()
    }
}

/// Whether a peer says that the state service serves it.
pub(super) fn is_served(gossip: &Gossip) -> bool {
    gossip.served_ago_ms.is_some_and(|ms| ms < STATE_UNAVAILABLE_MS)
}
