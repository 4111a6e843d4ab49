//! Collects the effects of the current batch and keeps track of calls that await a reply.

use super::interface::{CallId, ConnectionId, Effect, Service};
use super::recovery::{DecisionCall, RebuildCall};
use super::rental::Rental;
use super::requester::Requester;
use super::store_client::ReadPoint;
use crate::protocol::state::Transaction;
use crate::storage::hashing::{HashKeys, HashMap};
use crate::storage::records::MachineName;

/// The purpose of an outbound call, with the context needed to handle its reply: `read_point` is how
/// far the store had been read when the call was sent, `begun_at` the time at which it was sent.
#[derive(Debug)]
pub(super) enum CallPurpose {
    /// A page of the listing of the whole store.
    List { epoch: u32 },
    /// A long-polling watch for changes of the store.
    Watch { read_point: ReadPoint },
    /// A read of the store's changes that returns at once.
    FreshRead { begun_at: u64, read_point: ReadPoint },
    /// The grant of a lease for the leader key.
    LeaseGrant,
    /// The election transaction, which takes the leader key and the term.
    Election { lease_id: u64, term: u64, read_point: ReadPoint },
    /// The renewal of the leader key's lease.
    LeaseRenewal { lease_id: u64 },
    /// The revocation of the leader key's lease; its reply is ignored.
    LeaseRevocation,
    /// A write-ahead transaction of the leader.
    LeaderTransaction { term: u64 },
    /// One send of a batch of submissions; a slow batch is sent more than once.
    Submit { batch: u64, copy: usize },
    /// The transaction that cancels a job.
    Cancel { requester: Requester, job_id: String, transaction: Transaction, read_point: ReadPoint },
    /// A transaction of a rebuild of the store.
    Rebuild(RebuildCall),
    /// A transaction that carries out an operator's decision after a rebuild.
    Decision(DecisionCall),
    /// A page of a peer's image of the store before it lost data.
    Image { peer: usize },
    /// Gossip to a peer.
    Gossip { peer: usize, begun_at: u64 },
    /// A user's request that is relayed to a peer.
    Relay { requester: Requester },
    /// The cloud's catalog of machine types and prices.
    Catalog,
    /// A page of the cloud's list of machines.
    MachineList { begun_at: u64 },
    /// A rental of machines.
    Rent(Rental),
    /// The deletion of machines.
    Delete(Vec<MachineName>),
}

/// Collects the effects of a batch and remembers the purpose of each unanswered call.
#[derive(Debug)]
pub(super) struct Outbox {
    effects: Vec<Effect>,
    next_call_id: CallId,
    unanswered: HashMap<CallId, CallPurpose>,
}

impl Outbox {
    pub(super) fn new(keys: HashKeys) -> Outbox {
        Outbox { effects: Vec::new(), next_call_id: 1, unanswered: keys.map() }
    }

    /// Adds an outbound call.
    pub(super) fn call(
        &mut self,
        service: Service,
        method: &'static str,
        path: String,
        body: Vec<u8>,
        timeout_ms: u64,
        purpose: CallPurpose,
    ) {
        let id = self.next_call_id;
        self.next_call_id += 1;
        self.unanswered.insert(id, purpose);
        self.effects.push(Effect::Call { id, service, method, path, body, timeout_ms });
    }

    /// Adds the response to an inbound request.
    pub(super) fn respond(
        &mut self,
        connection: ConnectionId,
        status: u16,
        retry_after_s: Option<u64>,
        body: Vec<u8>,
    ) {
        self.effects.push(Effect::Respond { connection, status, retry_after_s, body });
    }

    /// Takes the purpose of a call whose reply has arrived; `None` if it was already answered.
    pub(super) fn take_purpose(&mut self, call: CallId) -> Option<CallPurpose> {
        self.unanswered.remove(&call)
    }

    /// Takes the effects collected since the last call.
    pub(super) fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }
}
