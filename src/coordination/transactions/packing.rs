//! What goes into the next transaction, the most urgent first.

use super::builder::{TransactionBuilder, TransactionScope};
use super::pending::PendingTransaction;
use crate::constants::{CONDITIONS_PER_CHANGE, DONE_BATCH_MS, LEADER_WRITE_RESERVE};
use crate::coordination::{Controller, Leader};
use crate::protocol::state::raw_json;
use crate::storage::cluster::ClusterState;
use crate::storage::records::{job_end_key, leader_key, JobEndRecord, JobStage};
use std::collections::BTreeMap;

impl Controller {
    /// Sends the transaction under way again, or packs and sends the next one.
    pub(in crate::coordination) fn transactions_due(&mut self) {
        let now = self.now.monotonic_ms;
        let Some(leader) = self.leader.as_mut() else { return };
        if let Some(pending) = &leader.transactions.pending {
            let awaits_read = pending.awaiting_read_since.is_some();
            if !pending.in_flight && !awaits_read && now >= pending.not_before {
                self.send_transaction();
            }
            return;
        }
        // What was never stored needs no transaction to be over.
        if leader.cluster.drop_unstored_settlements() {
            leader.plan_soon(now);
        }
        let scope = leader.next_scope(self.store.limits().value_bytes);
        let is_periodic = now >= leader.transactions.done_tasks_at;
        let is_wanted = is_periodic || leader.cluster.has_urgent_changes();
        if !is_wanted || !self.store_is_usable() {
            return;
        }
        if let Some(writes_max) = self.writes_for(scope) {
            self.pack_transaction(is_periodic, scope, writes_max);
            self.send_transaction();
        }
    }

    /// The writes that a transaction may have now; none if it should wait for more.
    fn writes_for(&mut self, scope: TransactionScope) -> Option<usize> {
        let writes_left = self.store.writes_left(self.now.monotonic_ms) - LEADER_WRITE_RESERVE;
        let available = writes_left.max(0.0) as usize;
        let writes_max = self.store.limits().transaction_ops;
        let burst = (self.store.write_budget().burst() - LEADER_WRITE_RESERVE).max(1.0) as usize;
        let needed = match scope {
            TransactionScope::Everything => 1,
            _ => writes_max.min(burst),
        };
        (available >= needed).then_some(available.min(writes_max))
    }

    /// Packs what is to be written into one transaction.
    fn pack_transaction(&mut self, is_periodic: bool, scope: TransactionScope, writes_max: usize) {
        let now = self.now.monotonic_ms;
        let limits = self.store.limits();
        let Some(leader) = self.leader.as_mut() else { return };
        leader.transactions.divided_last = scope == TransactionScope::DivideGroup;
        let mut builder = TransactionBuilder {
            conditions: BTreeMap::from([(leader_key(), leader.mod_revision)]),
            writes: Vec::new(),
            bytes: 0,
            writes_max,
            conditions_max: limits.transaction_ops * CONDITIONS_PER_CHANGE,
            value_bytes_max: limits.value_bytes,
        };
        let mut pending = PendingTransaction::default();
        let has_starts = !leader.cluster.proposals.is_empty();
        if scope == TransactionScope::Everything {
            // Users wait for ends of jobs, but starts go along.
            let ends_max = if has_starts { writes_max.div_ceil(2) } else { writes_max };
            leader.cluster.pack_job_ends(&mut builder, &mut pending, ends_max);
        }
        let with_rest = is_periodic && scope == TransactionScope::Everything;
        if with_rest {
            leader.transactions.done_tasks_at = now + DONE_BATCH_MS;
            leader.cluster.pack_done_tasks(&mut builder, &mut pending, usize::from(has_starts));
        }
        leader.cluster.pack_placements(&mut builder, &mut pending, is_periodic, scope);
        // Hints and tidying up only with writes to spare.
        if with_rest && !self.store.is_write_budget_low(now) {
            self.pack_housekeeping(&mut builder, &mut pending);
        }
        if builder.writes.is_empty() {
            return;
        }
        pending.transaction = builder.build();
        pending.body = serde_json::to_vec(&pending.transaction).unwrap_or_default();
        if let Some(leader) = self.leader.as_mut() {
            leader.transactions.pending = Some(pending);
        }
    }
}

impl Leader {
    /// Every second transaction divides until no group is too large. Such a transaction, and one for a gang
    /// that did not fit beside other changes, holds nothing else that can wait, and waits itself for
    /// as many writes as a transaction may have.
    fn next_scope(&self, value_bytes: usize) -> TransactionScope {
        if self.cluster.has_oversized_group(value_bytes) && !self.transactions.divided_last {
            TransactionScope::DivideGroup
        } else if self.cluster.gang_is_deferred {
            TransactionScope::StoreGang
        } else {
            TransactionScope::Everything
        }
    }
}

impl ClusterState {
    /// Whether anything waits that should not wait for the next periodic transaction.
    fn has_urgent_changes(&self) -> bool {
        !self.proposals.is_empty()
            || !self.completed_jobs.is_empty()
            || self.groups.values().any(|group| group.urgent)
    }

    /// Ends of jobs whose tasks are all done, as far as they fit into `writes_max` writes.
    fn pack_job_ends(
        &self,
        builder: &mut TransactionBuilder,
        pending: &mut PendingTransaction,
        writes_max: usize,
    ) {
        for uid in &self.completed_jobs {
            let Some(job) = self.jobs.get(uid) else { continue };
            let record = JobEndRecord {
                at: job.accepted_at_wall_ms,
                stage: JobStage::Done,
                tasks: job.tasks,
                done: job.done_count,
            };
            let has_room = builder.writes.len() < writes_max;
            if !has_room || !builder.put(job_end_key(uid), raw_json(&record), 0) {
                break;
            }
            pending.finished_jobs.push(uid.clone());
        }
    }
}
