//! Effects of the batch under way, and the calls that have not been answered yet.

use super::fleet::Rental;
use super::interface::{CallId, ConnectionId, Effect, Service};
use super::recovery::{DecisionCall, RebuildCall};
use super::requester::Requester;
use super::store_client::ReadPoint;
use crate::protocol::state::Transaction;
use crate::storage::hashing::{HashKeys, HashMap};
use crate::storage::records::MachineName;

/// What a call was made for, with what its answer is judged by.
#[derive(Debug)]
pub(super) enum CallPurpose {
    /// A page of the whole store.
    List { epoch: u32 },
    /// A watch of the store.
    Watch { asked: ReadPoint },
    /// A zero-wait read of the store.
    Fresh { begun: u64, asked: ReadPoint },
    /// A lease for the leader key.
    Lease,
    /// The transaction that takes leader key and term.
    Elect { lease_id: u64, term: u64, sent: ReadPoint },
    /// Renewal of the leader's lease.
    Renew { lease_id: u64 },
    /// End of the leader's lease; its answer does not matter.
    StepDown,
    /// A transaction of the leader.
    LeaderCommit { term: u64 },
    /// A copy of a batch of submissions.
    Submit { batch: u64, copy: usize },
    /// A cancellation.
    Cancel { requester: Requester, uid: String, commit: Transaction, sent: ReadPoint },
    /// A transaction of a rebuild of the store.
    Rebuild(RebuildCall),
    /// An operator's decision after a rebuild.
    Decision(DecisionCall),
    /// A page of a peer's image of the lost store.
    Image { peer: usize },
    /// Gossip to a peer.
    Gossip { peer: usize, begun: u64 },
    /// A user's request that a peer is asked to answer.
    Relay { requester: Requester },
    /// The cloud's machine types and prices.
    Catalog,
    /// A page of the cloud's list of machines.
    Hosts { begun: u64 },
    /// A rental.
    Rent(Rental),
    /// A deletion of machines.
    Delete(Vec<MachineName>),
}

/// Collects the effects of a batch and remembers what each call was made for.
#[derive(Debug)]
pub(super) struct Outbox {
    effects: Vec<Effect>,
    next_call: CallId,
    unanswered: HashMap<CallId, CallPurpose>,
}

impl Outbox {
    pub(super) fn new(keys: HashKeys) -> Outbox {
        Outbox { effects: Vec::new(), next_call: 1, unanswered: keys.map() }
    }

    /// Sends a request.
    pub(super) fn call(
        &mut self,
        service: Service,
        method: &'static str,
        path: String,
        body: Vec<u8>,
        timeout_ms: u64,
        purpose: CallPurpose,
    ) {
        let id = self.next_call;
        self.next_call += 1;
        self.unanswered.insert(id, purpose);
        self.effects.push(Effect::Call { id, service, method, path, body, timeout_ms });
    }

    /// Answers a request.
    pub(super) fn respond(
        &mut self,
        connection: ConnectionId,
        status: u16,
        retry_after_s: Option<u64>,
        body: Vec<u8>,
    ) {
        self.effects.push(Effect::Respond { connection, status, retry_after_s, body });
    }

    /// What an answered call was made for; none if it was answered before.
    pub(super) fn take_purpose(&mut self, call: CallId) -> Option<CallPurpose> {
        self.unanswered.remove(&call)
    }

    /// The effects of the batch.
    pub(super) fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }
}
