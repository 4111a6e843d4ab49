//! Leader election: one conditional transaction writes the leader key, bound to a lease, and the next
//! term.
//!
//! A controller campaigns when no other controller holds the leader key. It obtains a lease, then
//! sends the transaction, and leads once the transaction has been applied to the store that it
//! reads. A transaction without a response may still be applied; since nobody renews its lease, the
//! leader key then expires with the lease.

use super::store_client::ReadPoint;
use super::{CallPurpose, Controller, Leader};
use crate::constants::{
    ELECTION_CONFLICTS_MAX, ELECTION_JITTER_MS, HANDOVER_BACKOFF_MS, LEADER_LEASE_MS,
    STATE_TIMEOUT_MS,
};
use crate::protocol::http::Response;
use crate::protocol::state::{
    raw_json, Condition, LeaseGranted, LeaseRequest, Mutation, Transaction, TransactionApplied,
    COMMIT_PATH, LEASES_PATH,
};
use crate::storage::records::{leader_key, term_key, LeaderRecord, TermRecord};
use rand::Rng;

/// The progress of this controller's candidacy.
#[derive(Debug, Default)]
pub(super) struct Election {
    /// Whether the lease request or the election transaction is in flight.
    in_progress: bool,
    /// When this controller may campaign; set when there is found to be no leader.
    campaign_at: Option<u64>,
    /// Consecutive election conflicts since another controller was last seen to lead.
    conflicts: u32,
    /// No campaign before this time, after a handover.
    backoff_until: u64,
}

impl Election {
    /// Delays the next campaign after a handover, so that another controller can win.
    pub(super) fn back_off_after_handover(&mut self, now: u64) {
        self.backoff_until = now + HANDOVER_BACKOFF_MS;
    }

    /// Records that another controller holds the leader key.
    fn record_leader(&mut self) {
        self.campaign_at = None;
        self.conflicts = 0;
    }
}

impl Controller {
    /// Starts a campaign when there is no leader and the random wait is over.
    pub(super) fn campaign_if_due(&mut self) {
        let now = self.now.monotonic_ms;
        let is_backing_off = now < self.election.backoff_until;
        if self.leader.is_some()
            || self.election.in_progress
            || is_backing_off
            || !self.may_campaign()
        {
            return;
        }
        let stored = self.store.replica().leader.as_ref().map(|stored| &stored.value);
        if stored.is_some_and(|leader| !self.is_earlier_process(leader)) {
            return self.election.record_leader();
        }
        let campaign_at = match self.election.campaign_at {
            Some(at) => at,
            None => {
                let at = now + self.rng.random_range(0..=ELECTION_JITTER_MS);
                self.election.campaign_at = Some(at);
                at
            }
        };
        if now < campaign_at {
            return;
        }
        self.election.in_progress = true;
        let body =
            serde_json::to_vec(&LeaseRequest { life_ms: LEADER_LEASE_MS }).unwrap_or_default();
        self.state_call(
            "POST",
            LEASES_PATH.into(),
            body,
            STATE_TIMEOUT_MS,
            CallPurpose::LeaseGrant,
        );
    }

    /// Whether the leader key was written by an earlier process of this controller, which can't lead
    /// any more.
    fn is_earlier_process(&self, leader: &LeaderRecord) -> bool {
        leader.label == self.settings.label && leader.incarnation != self.process_id
    }

    pub(super) fn on_lease_grant_response(&mut self, response: Option<Response>) {
        self.election.in_progress = false;
        self.election.campaign_at = None;
        let Some(Response { status: 200 | 201, body }) = response else { return };
        let Ok(LeaseGranted { lease_id }) = serde_json::from_slice(&body) else { return };
        let leader_key_revision = match &self.store.replica().leader {
            None => 0,
            Some(leader) if self.is_earlier_process(&leader.value) => leader.mod_revision,
            Some(_) => return,
        };
        if self.recovery.is_suspended() && !self.may_campaign() {
            return;
        }
        let term = self.next_term();
        let mut transaction = self.election_transaction(term, lease_id, leader_key_revision);
        self.add_recovery_writes(&mut transaction, term);
        self.election.in_progress = true;
        self.store.take_writes(2.0, f64::MIN, self.now.monotonic_ms);
        let body = serde_json::to_vec(&transaction).unwrap_or_default();
        let purpose = CallPurpose::Election { lease_id, term, read_point: self.store.read_point() };
        self.state_call("POST", COMMIT_PATH.into(), body, STATE_TIMEOUT_MS, purpose);
    }

    /// The transaction that takes the leader key and the term, on condition that neither has changed.
    fn election_transaction(
        &self,
        term: u64,
        lease_id: u64,
        leader_key_revision: u64,
    ) -> Transaction {
        let label = self.settings.label.clone();
        let record = LeaderRecord { label, incarnation: self.process_id, term };
        let term_revision = self.store.replica().mod_revision(&term_key());
        Transaction {
            conditions: vec![
                Condition { key: leader_key(), mod_revision: leader_key_revision },
                Condition { key: term_key(), mod_revision: term_revision },
            ],
            writes: vec![
                Mutation::Put {
                    key: leader_key(),
                    value: raw_json(&record),
                    lease_id: Some(lease_id),
                },
                Mutation::put(term_key(), &TermRecord { term }),
            ],
        }
    }

    pub(super) fn on_election_response(
        &mut self,
        lease_id: u64,
        term: u64,
        read_point: ReadPoint,
        response: Option<Response>,
    ) {
        self.election.in_progress = false;
        let won: Option<TransactionApplied> = match response {
            Some(Response { status: 200, body }) => serde_json::from_slice(&body).ok(),
            Some(Response { status: 409, .. }) => return self.on_election_conflict(),
            // A transaction without a response may still be applied. Nobody renews its lease, so
            // the leader key expires by itself, and the next campaign uses a new term.
            _ => None,
        };
        let Some(TransactionApplied { revision }) = won else { return };
        self.election.conflicts = 0;
        if !self.applied_to_current_store(read_point, revision) {
            return;
        }
        if self.leader_revision_was_used(revision) {
            log::info!(
                "election discarded: the leader key already had revision {revision} before the \
                 data loss; revoking the lease and campaigning again"
            );
            return self.revoke_lease(lease_id);
        }
        // Only a higher term makes this one obsolete: the watch may already have shown this
        // controller's own term. Treating an equal term as another leader's would discard each
        // election won in this way; that once happened in three terms in a row.
        if self.membership.highest_term() <= term {
            self.begin_term(term, revision, lease_id);
        }
    }

    /// Begins to lead in `term`; `mod_revision` is the revision of the leader key.
    fn begin_term(&mut self, term: u64, mod_revision: u64, lease_id: u64) {
        let now = self.now.monotonic_ms;
        log::info!("leader elected: this controller, term {term}");
        self.membership.record_term(term);
        self.store.record_revision(mod_revision);
        self.cloud.set_leader_rate(now);
        let peers = self.membership.peer_count();
        let keys = self.store.replica().hash_keys();
        self.leader = Some(Leader::new(term, mod_revision, lease_id, peers, now, keys));
        self.set_state_rates();
        self.start_rebuild_if_lost();
        self.request_leader_read();
    }

    /// Handles an election conflict. Another controller may have won; if repeated conflicts show no
    /// winner, the store differs from the replica, so data loss is suspected.
    fn on_election_conflict(&mut self) {
        self.election.conflicts += 1;
        if self.election.conflicts >= ELECTION_CONFLICTS_MAX {
            self.election.conflicts = 0;
            self.suspect_data_loss(None);
        }
    }
}
