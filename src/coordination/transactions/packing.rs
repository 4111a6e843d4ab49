//! Decides when the next transaction is due and what goes into it, the most urgent changes first.

use super::builder::{TransactionBuilder, TransactionScope};
use super::pending::PendingTransaction;
use crate::constants::{CONDITIONS_PER_CHANGE, DONE_BATCH_MS, LEADER_WRITE_RESERVE};
use crate::coordination::{Controller, Leader};
use crate::protocol::state::raw_json;
use crate::storage::cluster::ClusterState;
use crate::storage::records::{job_end_key, leader_key, JobEndRecord, JobStage};
use std::collections::BTreeMap;

impl Controller {
    /// Retries the pending transaction if that is due; with none pending, packs and sends the next.
    pub(in crate::coordination) fn send_due_transaction(&mut self) {
        let now = self.now.monotonic_ms;
        let Some(leader) = self.leader.as_mut() else { return };
        if let Some(pending) = &leader.transactions.pending {
            let awaits_read = pending.awaiting_read_since.is_some();
            if !pending.in_flight && !awaits_read && now >= pending.not_before {
                self.send_transaction();
            }
            return;
        }
        // A placement that was never stored needs no write when it ends.
        if leader.cluster.drop_unstored_settlements() {
            leader.request_planning_pass(now);
        }
        let scope = leader.next_scope(self.store.limits().value_bytes);
        let is_periodic = now >= leader.transactions.next_periodic_at;
        let is_due = is_periodic || leader.cluster.has_urgent_changes();
        if !is_due || !self.store_is_usable() {
            return;
        }
        if let Some(writes_max) = self.available_writes(scope) {
            self.pack_transaction(is_periodic, scope, writes_max);
            self.send_transaction();
        }
    }

    /// The number of writes that a transaction may have now; `None` if it has to wait until the write
    /// budget allows more.
    fn available_writes(&mut self, scope: TransactionScope) -> Option<usize> {
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

    /// Packs the next transaction and makes it the pending one, unless there is nothing to write.
    fn pack_transaction(&mut self, is_periodic: bool, scope: TransactionScope, writes_max: usize) {
        let now = self.now.monotonic_ms;
        let limits = self.store.limits();
        let Some(leader) = self.leader.as_mut() else { return };
        leader.transactions.last_was_split = scope == TransactionScope::SplitGroup;
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
            // Job ends come first because users wait for them, but starts keep half of the writes.
            let ends_max = if has_starts { writes_max.div_ceil(2) } else { writes_max };
            leader.cluster.pack_job_ends(&mut builder, &mut pending, ends_max);
        }
        let includes_deferrable = is_periodic && scope == TransactionScope::Everything;
        if includes_deferrable {
            leader.transactions.next_periodic_at = now + DONE_BATCH_MS;
            leader.cluster.pack_done_tasks(&mut builder, &mut pending, usize::from(has_starts));
        }
        leader.cluster.pack_placements(&mut builder, &mut pending, is_periodic, scope);
        // Hints and removals must not take writes that more urgent changes need.
        if includes_deferrable && !self.store.is_write_budget_low(now) {
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
    /// The scope of the next transaction. Every second one splits a placement group until none is
    /// oversized; the others may store a gang that did not fit beside other changes. Both kinds leave
    /// out whatever can wait, and are packed only once the write budget allows a transaction of full size.
    fn next_scope(&self, value_bytes: usize) -> TransactionScope {
        if self.cluster.has_oversized_group(value_bytes) && !self.transactions.last_was_split {
            TransactionScope::SplitGroup
        } else if self.cluster.gang_is_deferred {
            TransactionScope::StoreGang
        } else {
            TransactionScope::Everything
        }
    }
}

impl ClusterState {
    /// Whether there are changes that must not wait for the next periodic transaction.
    fn has_urgent_changes(&self) -> bool {
        !self.proposals.is_empty()
            || !self.completed_jobs.is_empty()
            || self.groups.values().any(|group| group.urgent)
    }

    /// Adds the end records of jobs whose tasks are all done, as many as `writes_max` allows.
    fn pack_job_ends(
        &self,
        builder: &mut TransactionBuilder,
        pending: &mut PendingTransaction,
        writes_max: usize,
    ) {
        for job_id in &self.completed_jobs {
            let Some(job) = self.jobs.get(job_id) else { continue };
            let record = JobEndRecord {
                at: job.accepted_at_wall_ms,
                stage: JobStage::Done,
                tasks: job.tasks,
                done: job.done_count,
            };
            let has_capacity = builder.writes.len() < writes_max;
            if !has_capacity || !builder.put(job_end_key(job_id), raw_json(&record), 0) {
                break;
            }
            pending.finished_jobs.push(job_id.clone());
        }
    }
}
