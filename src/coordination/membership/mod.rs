//! The peers of a controller: the last gossip of each, the highest term seen, and what this controller may
//! conclude from them while it can't read the store.
//!
//! [`Membership`] owns this state. [`gossip`] sends and receives the messages, [`ended_jobs`] exchanges which
//! jobs have ended, [`lease_extension`] extends workers' leases on behalf of a leader that can't be reached.

mod ended_jobs;
mod gossip;
mod lease_extension;

pub(super) use lease_extension::stop_commands_of_ended_jobs;

use crate::constants::{GOSSIP_FRESH_MS, STATE_UNAVAILABLE_MS};
use crate::protocol::peers::Gossip;
use crate::storage::hashing::{HashKeys, HashMap, HashSet};
use crate::storage::records::JobId;
use lease_extension::LeaseExtension;

/// A peer's statement that it has extended no worker's lease since a given time.
#[derive(Debug, Clone, Copy)]
struct NoExtensionSince {
    /// When we sent the gossip that the peer answered with this statement.
    sent_at: u64,
    /// The peer has extended no lease after this time.
    since: u64,
}

/// What is known about a peer.
#[derive(Debug, Default)]
struct Peer {
    /// Its last gossip.
    gossip: Option<Gossip>,
    last_heard_at: u64,
    /// Its last statement about leases that it extended.
    no_extension: Option<NoExtensionSince>,
    /// When we sent the last gossip that it answered with a complete list of ended jobs.
    ended_jobs_complete_at: Option<u64>,
    gossip_in_flight: bool,
    next_gossip_at: u64,
}

/// What a controller knows about its peers.
#[derive(Debug)]
pub(super) struct Membership {
    peers: Vec<Peer>,
    /// Highest term seen from any peer, any worker or the store.
    highest_term: u64,
    /// When each worker last sent a heartbeat to this controller.
    worker_heartbeats: HashMap<String, u64>,
    lease_extension: LeaseExtension,
    /// Jobs that have ended according to peers while our replica still has them as live.
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

    /// Number of peers.
    pub(super) fn peer_count(&self) -> usize {
        self.peers.len()
    }

    /// Highest term seen from any peer, any worker or the store.
    pub(super) fn highest_term(&self) -> u64 {
        self.highest_term
    }

    /// Records a term that a peer, a worker or the store has shown.
    pub(super) fn record_term(&mut self, term: u64) {
        self.highest_term = self.highest_term.max(term);
    }

    /// Records the time of a worker's heartbeat to this controller.
    pub(super) fn record_worker_heartbeat(&mut self, machine: &str, now: u64) {
        self.worker_heartbeats.insert(machine.to_string(), now);
    }

    /// Workers that have sent a heartbeat to this controller within `within_ms`.
    fn workers_seen(&self, within_ms: u64, now: u64) -> u32 {
        self.worker_heartbeats.values().filter(|t| now - **t <= within_ms).count() as u32
    }

    /// The gossip of the peers that have been heard recently.
    pub(super) fn fresh_gossip(&self, now: u64) -> impl Iterator<Item = &Gossip> {
        self.peers
            .iter()
            .filter(move |peer| now - peer.last_heard_at <= GOSSIP_FRESH_MS)
            .filter_map(|peer| peer.gossip.as_ref())
    }

    /// The recently heard peer that the state service has answered last, if any can reach it.
    pub(super) fn peer_with_store_access(&self, now: u64) -> Option<usize> {
        let served_ago = |peer: &Peer| peer.gossip.as_ref().and_then(|gossip| gossip.served_ago_ms);
        (0..self.peers.len())
            .filter(|index| {
                let peer = &self.peers[*index];
                let is_fresh = now - peer.last_heard_at <= GOSSIP_FRESH_MS;
                is_fresh && peer.gossip.as_ref().is_some_and(has_store_access)
            })
            .min_by_key(|index| served_ago(&self.peers[*index]))
    }

    /// Stops counting the peers' lists of ended jobs as complete: the replica is loaded again, and may
    /// lack more ended jobs than the peers were asked for.
    pub(super) fn reset_ended_jobs_complete_at(&mut self) {
        self.peers.iter_mut().for_each(|peer| peer.ended_jobs_complete_at = None);
    }

    /// Whether a peer has reported the end of a job that our replica still has as live.
    pub(super) fn has_ended_per_peer(&self, job_id: &str) -> bool {
        self.ended_jobs.contains(job_id)
    }

    /// The time up to which the lists of ended jobs from all peers are complete: the earliest over all
    /// peers of when we sent the gossip that the peer last answered with a complete list. None if a
    /// peer has never sent one.
    pub(super) fn ended_jobs_complete_at(&self) -> Option<u64> {
        self.peers.iter().map(|peer| peer.ended_jobs_complete_at).min().flatten()
    }
}

/// Whether a peer says that the state service has answered it recently.
pub(super) fn has_store_access(gossip: &Gossip) -> bool {
    gossip.served_ago_ms.is_some_and(|ms| ms < STATE_UNAVAILABLE_MS)
}
