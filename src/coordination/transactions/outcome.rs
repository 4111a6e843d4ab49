//! Sends the pending transaction and handles its outcome.
//!
//! A transaction without a response is sent again unchanged until there is one. After a conflict, a
//! fresh read shows whether an earlier copy was applied. The leader's state changes only once the
//! outcome is known.

use super::pending::{PendingTransaction, PlacementEntry};
use crate::constants::STATE_RETRY_BACKOFF_MS;
use crate::coordination::{CallPurpose, Controller, Leader};
use crate::protocol::http::Response;
use crate::protocol::state::{
    Condition, Mutation, Transaction, TransactionApplied, TransactionConflict,
};
use crate::storage::machine::PlacementPhase;
use crate::storage::records::{done_tasks_key, leader_key, placements_key, JobId, JobStage};
use crate::storage::replica::Replica;
use mountgap_recovery::audit::DataLoss;
use std::collections::BTreeSet;

impl Controller {
    /// Sends the pending transaction if the write budget allows it.
    pub(super) fn send_transaction(&mut self) {
        let now = self.now.monotonic_ms;
        let Some(leader) = self.leader.as_mut() else { return };
        let Some(pending) = leader.transactions.pending.as_mut() else { return };
        let writes = pending.transaction.writes.len();
        if !self.store.take_writes(writes as f64, 0.0, now) {
            return;
        }
        pending.in_flight = true;
        let body = pending.body.clone();
        let purpose = CallPurpose::LeaderTransaction { term: leader.term };
        self.transaction_call(body, writes, purpose);
    }

    pub(in crate::coordination) fn on_leader_transaction_response(
        &mut self,
        term: u64,
        response: Option<Response>,
    ) {
        let now = self.now.monotonic_ms;
        // A response to a transaction of an earlier term says nothing about the one pending now.
        let Some(leader) = self.leader.as_mut().filter(|leader| leader.term == term) else {
            return;
        };
        let Some(pending) = leader.transactions.pending.as_mut() else { return };
        pending.in_flight = false;
        match response {
            Some(Response { status: 200, body }) => {
                match serde_json::from_slice::<TransactionApplied>(&body) {
                    Ok(applied) => self.on_transaction_applied(applied.revision),
                    Err(_) => pending.outcome_unknown = true,
                }
            }
            Some(Response { status: 409, body }) => self.on_transaction_conflict(&body),
            // This copy was not executed. Unless an earlier copy may have been, a new transaction is
            // built.
            Some(Response { status: 429 | 503, .. }) => {
                pending.not_before = now + STATE_RETRY_BACKOFF_MS;
                if !pending.outcome_unknown {
                    self.discard_pending_transaction();
                }
            }
            Some(response) => {
                pending.not_before = now + STATE_RETRY_BACKOFF_MS;
                self.on_transaction_rejected(&response);
            }
            None => pending.outcome_unknown = true,
        }
    }

    fn on_transaction_applied(&mut self, revision: u64) {
        let Some(leader) = &self.leader else { return };
        let known = leader.mod_revision;
        if revision <= known && self.recovery.is_enabled() {
            let loss = DataLoss::RevisionRegressed { known, observed: revision };
            return self.suspect_data_loss(Some(loss));
        }
        self.apply_pending_transaction(revision);
    }

    /// Handles a failed condition: either an earlier copy was applied, or another process changed a key.
    fn on_transaction_conflict(&mut self, body: &[u8]) {
        let failed_keys = TransactionConflict::failed_keys(body);
        log::debug!("transaction conflict: conditions failed on {failed_keys:?}");
        let now = self.now.monotonic_ms;
        let Some(leader) = self.leader.as_mut() else { return };
        let Some(pending) = leader.transactions.pending.as_mut() else { return };
        if !pending.outcome_unknown && failed_keys.contains(&leader_key()) {
            self.step_down("the leader key has changed");
            return self.suspect_stale_leader_key();
        }
        pending.awaiting_read_since = Some(now);
        self.request_leader_read();
    }

    /// Handles a transaction that the state service rejected as malformed or answered with an unexpected
    /// status.
    fn on_transaction_rejected(&mut self, response: &Response) {
        let Response { status, body } = response;
        log::error!(
            "transaction rejected: the state service answered {status}: {}",
            String::from_utf8_lossy(body)
        );
        let is_malformed = *status == 400;
        if is_malformed {
            self.store.halve_size_limits();
        }
        let Some(leader) = &self.leader else { return };
        let pending = leader.transactions.pending.as_ref();
        match pending.is_some_and(|pending| pending.outcome_unknown) {
            // Sending it again would fail forever, and a rebuilt one might store its changes twice.
            // A new term resolves this: earlier copies depend on the leader key's revision of this
            // term, so none can be applied later.
            true if is_malformed => {
                self.step_down("a transaction of unknown outcome exceeds the size limits");
            }
            true => {}
            false => self.discard_pending_transaction(),
        }
    }

    /// Resolves a conflict after a fresh read that began at `begun_at`: an earlier copy was applied,
    /// or none was.
    pub(in crate::coordination) fn resolve_unknown_outcome(&mut self, begun_at: u64) {
        let Some(leader) = self.leader.as_mut() else { return };
        let Some(pending) = leader.transactions.pending.as_mut() else { return };
        let Some(since) = pending.awaiting_read_since else { return };
        if begun_at < since {
            // A read that began before the conflict may not show its cause.
            return self.request_leader_read();
        }
        pending.awaiting_read_since = None;
        let replica = self.store.replica();
        if pending.outcome_unknown {
            return match pending.applied_at(replica) {
                Some(revision) => self.apply_pending_transaction(revision),
                None => self.discard_pending_transaction(),
            };
        }
        let conflict_is_unexplained = pending.conditions_hold(replica);
        self.discard_pending_transaction();
        if conflict_is_unexplained {
            // Every condition holds in the replica, yet the store reported a conflict: they differ.
            self.suspect_data_loss(None);
        }
    }

    /// Drops the pending transaction, which was not applied and never will be. Its changes are marked
    /// again to be written, except for starts: those are retracted and their tasks wait again.
    fn discard_pending_transaction(&mut self) {
        let replica = self.store.replica();
        let Some(leader) = self.leader.as_mut() else { return };
        let Some(pending) = leader.transactions.pending.take() else { return };
        leader.restore_done_chunks(&pending);
        leader.restore_proposals(&pending);
        leader.restore_groups(&pending, replica);
        leader.request_planning_pass(self.now.monotonic_ms);
        self.check_term();
    }

    /// The pending transaction was applied at `revision`: updates the leader's state and the replica.
    fn apply_pending_transaction(&mut self, revision: u64) {
        let Some(leader) = self.leader.as_mut() else { return };
        let Some(pending) = leader.transactions.pending.take() else { return };
        let transaction = leader.apply_committed(pending, revision, self.now.monotonic_ms);
        self.apply_own_transaction(&transaction, revision);
    }
}

impl PendingTransaction {
    /// Whether all conditions hold in the replica.
    fn conditions_hold(&self, replica: &Replica) -> bool {
        let holds =
            |condition: &Condition| replica.mod_revision(&condition.key) == condition.mod_revision;
        self.transaction.conditions.iter().all(holds)
    }

    /// The revision at which it was applied, if it was. A transaction is atomic, so any one of the
    /// written keys shows it.
    fn applied_at(&self, replica: &Replica) -> Option<u64> {
        self.transaction.writes.iter().find_map(|mutation| {
            let Mutation::Put { key, value, .. } = mutation else {
                return None;
            };
            let condition = self.transaction.conditions.iter().find(|c| c.key == *key)?;
            let mod_revision = replica.mod_revision(key);
            let was_written =
                mod_revision > condition.mod_revision && replica.has_value(key, value);
            was_written.then_some(mod_revision)
        })
    }
}

impl Leader {
    fn restore_done_chunks(&mut self, pending: &PendingTransaction) {
        for (job_id, chunk) in &pending.done_chunks {
            let job = self.cluster.jobs.get_mut(job_id);
            let Some(job) = job.filter(|job| job.is_live()) else { continue };
            job.dirty_chunks.insert(*chunk);
            if let Some(group) = job.chunk_groups.get(chunk) {
                self.cluster.done_groups.entry(*group).or_default().dirty = true;
            }
        }
    }

    fn restore_proposals(&mut self, pending: &PendingTransaction) {
        for entry in &pending.additions {
            if self.is_on_machine(entry) {
                // An adopted task already runs on the machine, so its placement must still be stored.
                let proposal = (entry.machine.clone(), entry.attempt.task.clone());
                self.cluster.proposals.push_back(proposal);
            } else {
                self.cluster.retract(&entry.machine, &entry.attempt.task);
            }
        }
        let jobs: BTreeSet<&JobId> =
            pending.additions.iter().map(|entry| &entry.attempt.task.job).collect();
        for job_id in jobs {
            let job = self.cluster.jobs.get_mut(job_id);
            if let Some(gang) = job.and_then(|job| job.gang.as_mut()) {
                gang.undo_attempt();
            }
        }
    }

    fn is_on_machine(&self, entry: &PlacementEntry) -> bool {
        let placement = self.cluster.placement(&entry.machine, &entry.attempt.task);
        placement.is_some_and(|placement| {
            placement.attempt == entry.attempt.number
                && placement.phase == PlacementPhase::Committed
        })
    }

    /// Takes the revisions of keys that have changed from the replica. Only this leader's earlier
    /// transactions and users' requests write while the term lasts, so no change is overwritten.
    fn restore_groups(&mut self, pending: &PendingTransaction, replica: &Replica) {
        for number in &pending.groups {
            if let Some(group) = self.cluster.groups.get_mut(number) {
                group.mod_revision = replica.mod_revision(&placements_key(*number));
                group.urgent |= !group.settled.is_empty();
            }
        }
        for number in &pending.done_groups {
            if let Some(group) = self.cluster.done_groups.get_mut(number) {
                group.mod_revision = replica.mod_revision(&done_tasks_key(*number));
            }
        }
        for stale in &pending.stale_keys {
            // A key that has changed since the scan may be in use again.
            let is_unchanged = replica.mod_revision(&stale.key) == stale.mod_revision;
            if is_unchanged && stale.mod_revision != 0 {
                self.cluster.stale_keys.push(stale.clone());
            }
        }
    }

    /// Applies the changes of a committed transaction to the cluster state; returns the transaction.
    fn apply_committed(
        &mut self,
        pending: PendingTransaction,
        revision: u64,
        now: u64,
    ) -> Transaction {
        let cluster = &mut self.cluster;
        for number in &pending.groups {
            cluster.groups.entry(*number).or_default().mod_revision = revision;
        }
        for number in &pending.done_groups {
            cluster.done_groups.entry(*number).or_default().mod_revision = revision;
        }
        for job_id in &pending.finished_jobs {
            log::debug!("job completed: {job_id}");
            cluster.end_job(job_id, JobStage::Done);
        }
        cluster.apply_moves(pending.moves);
        for entry in &pending.removals {
            cluster.apply_removal(entry);
        }
        for entry in &pending.additions {
            cluster.apply_addition(entry);
        }
        if !pending.removals.is_empty() {
            self.request_planning_pass(now);
        }
        pending.transaction
    }
}
