//! The rebuild of the store by the controller that was elected for it.
//!
//! The election writes the leader key, the term and the record that a rebuild has started in one
//! transaction, so that only one of several campaigning controllers wins. All further transactions of the
//! rebuild are conditional on the leader key and that record. The controller gathers its peers' images,
//! computes the desired content of the store, and writes what is missing, one transaction after the other.
//! A controller that takes over an unfinished rebuild finds these writes in the store and writes the rest.

use super::image_transfer::PeerImage;
use super::put_rebuild_record;
use super::rebuild_plan::RebuildPlan;
use crate::constants::{
    LEADER_WRITE_RESERVE, MS_PER_S, REBUILD_CONFLICTS_MAX, REBUILD_IMAGES_TIMEOUT_MS,
    STATE_RETRY_BACKOFF_MS,
};
use crate::coordination::membership::stop_commands_of_ended_jobs;
use crate::coordination::{CallPurpose, ConnectionId, Controller};
use crate::protocol::http::Response;
use crate::protocol::state::{
    Condition, Mutation, Transaction, TransactionApplied, TransactionConflict,
};
use crate::protocol::workers::Heartbeat;
use crate::settings::GapPolicy;
use crate::storage::records::{leader_key, RebuildPhase, RebuildRecord};
use mountgap_records::constants::REBUILD_KEY;
use mountgap_recovery::write_back::{Change, RebuildTransaction, TransactionLimits};

/// A rebuild that this controller runs.
#[derive(Debug)]
pub(super) struct Rebuild {
    /// When it started, on the monotonic clock in milliseconds.
    started_at: u64,
    /// The image of each peer, in the order of the settings.
    pub peers: Vec<PeerImage>,
    /// The plan, once the images are gathered.
    plan: Option<RebuildPlan>,
    /// Whether a transaction was sent and is not answered yet.
    transaction_sent: bool,
    /// When the next transaction may be sent.
    next_transaction_at: u64,
    /// Number of transactions that were applied.
    transactions_applied: u32,
    /// Number of consecutive conflicts.
    conflicts: u32,
}

/// A transaction of a rebuild that was sent.
#[derive(Debug)]
pub(in crate::coordination) struct RebuildCall {
    /// The term in which it was sent.
    term: u64,
    transaction: Transaction,
}

impl Rebuild {
    pub(super) fn new(peers: usize, now: u64) -> Rebuild {
        Rebuild {
            started_at: now,
            peers: (0..peers).map(|_| PeerImage::default()).collect(),
            plan: None,
            transaction_sent: false,
            next_transaction_at: now,
            transactions_applied: 0,
            conflicts: 0,
        }
    }

    pub(super) fn plan(&self) -> Option<&RebuildPlan> {
        self.plan.as_ref()
    }

    pub(super) fn set_plan(&mut self, plan: RebuildPlan) {
        self.plan = Some(plan);
    }

    /// The number of transactions applied so far, and of values in the desired state. None while there is
    /// no plan.
    pub(super) fn progress(&self) -> Option<(u32, usize)> {
        let plan = self.plan.as_ref()?;
        Some((self.transactions_applied, plan.desired.len()))
    }

    /// Whether the images of all peers are complete, or the wait for them has timed out.
    fn has_gathered_images(&self, now: u64) -> bool {
        let complete = self.peers.iter().all(PeerImage::is_complete);
        complete || now >= self.started_at + REBUILD_IMAGES_TIMEOUT_MS
    }
}

impl Controller {
    /// Whether this controller leads only to rebuild the store.
    pub(in crate::coordination) fn is_rebuilding(&self) -> bool {
        self.leader.is_some() && self.recovery.rebuild().is_some()
    }

    /// Ends this controller's rebuild because it no longer leads. The image of the lost store is kept, for
    /// the controller that takes over the rebuild.
    pub(in crate::coordination) fn abandon_rebuild(&mut self) {
        self.recovery.abandon_rebuild(self.now.monotonic_ms);
    }

    pub(super) fn continue_rebuild_if_due(&mut self) {
        let Some(leader) = &self.leader else { return };
        let Some(rebuild) = self.recovery.rebuild() else { return };
        if rebuild.plan.is_some() {
            return self.write_back_if_due();
        }
        // The store must be read up to our own election first: an earlier rebuild may have written a part
        // of the values.
        let election_is_read =
            self.store.is_loaded() && self.store.replica().revision >= leader.mod_revision;
        if rebuild.has_gathered_images(self.now.monotonic_ms) && election_is_read {
            self.plan_rebuild();
        } else {
            self.request_peer_images();
        }
    }

    pub(super) fn rebuild_limits(&self) -> TransactionLimits {
        TransactionLimits {
            value_bytes: self.store.limits().value_bytes,
            transaction_ops: self.store.limits().transaction_ops,
        }
    }

    /// Sends the next transaction of the rebuild if it is time to. Only one is in flight at a time; the last
    /// one records that the rebuild is complete.
    fn write_back_if_due(&mut self) {
        let Some(rebuild) = self.recovery.rebuild() else { return };
        let must_wait =
            rebuild.transaction_sent || self.now.monotonic_ms < rebuild.next_transaction_at;
        if must_wait || !self.store_is_reachable() {
            return;
        }
        let Some(plan) = &rebuild.plan else { return };
        // A transaction with more writes than the token bucket can hold would never be sent.
        let burst = (self.store.write_budget().burst() - LEADER_WRITE_RESERVE).max(1.0) as usize;
        let limits = self.rebuild_limits();
        let limits =
            TransactionLimits { transaction_ops: limits.transaction_ops.min(burst), ..limits };
        let transaction = match plan.desired.next_transaction(self.recovery.image(), &limits) {
            Some(transaction) => transaction_from(transaction),
            None => {
                let Some(record) = self.complete_rebuild_record(plan) else { return };
                rebuild_record_update(&record)
            }
        };
        let sent = self.send_fenced(transaction);
        if let Some(rebuild) = self.recovery.rebuild_mut().filter(|_| sent) {
            rebuild.transaction_sent = true;
        }
    }

    /// The record of this rebuild once all values are written.
    fn complete_rebuild_record(&self, plan: &RebuildPlan) -> Option<RebuildRecord> {
        let before = &self.store.replica().rebuild.as_ref()?.value;
        let gap = match self.recovery.gap_policy() {
            GapPolicy::Hold => plan.gap.clone(),
            GapPolicy::Release => Vec::new(),
        };
        let sources = plan.sources.clone();
        Some(RebuildRecord { phase: RebuildPhase::Complete, sources, gap, ..before.clone() })
    }

    /// Sends the record of the rebuild with its next phase. False if it can't be sent now.
    pub(super) fn send_rebuild_record(&mut self, record: &RebuildRecord) -> bool {
        self.send_fenced(rebuild_record_update(record))
    }

    /// Sends a transaction that is conditional on our leader key and on the rebuild record as we know it.
    /// False if it can't be sent now.
    fn send_fenced(&mut self, mut transaction: Transaction) -> bool {
        let Some(leader) = &self.leader else { return false };
        let Some(record) = &self.store.replica().rebuild else { return false };
        let term = leader.term;
        let writes = transaction.writes.len();
        transaction.conditions.extend([
            Condition { key: leader_key(), mod_revision: leader.mod_revision },
            Condition { key: REBUILD_KEY.into(), mod_revision: record.mod_revision },
        ]);
        if !self.store.take_writes(writes as f64, 0.0, self.now.monotonic_ms) {
            return false;
        }
        let body = serde_json::to_vec(&transaction).unwrap_or_default();
        let purpose = CallPurpose::Rebuild(RebuildCall { term, transaction });
        self.transaction_call(body, writes, purpose);
        true
    }

    pub(in crate::coordination) fn on_rebuild_response(
        &mut self,
        call: RebuildCall,
        response: Option<Response>,
    ) {
        if self.leader.as_ref().is_none_or(|leader| leader.term != call.term) {
            return;
        }
        self.recovery.set_phase_update_sent(false);
        if let Some(rebuild) = self.recovery.rebuild_mut() {
            rebuild.transaction_sent = false;
        }
        match response {
            Some(Response { status: 200, body }) => {
                self.on_rebuild_applied(&call.transaction, &body);
            }
            Some(Response { status: 409, body }) => self.on_rebuild_conflict(&body),
            Some(Response { status: 400, body }) => self.on_rebuild_rejected(&body),
            _ => self.pause_rebuild(),
        }
    }

    fn on_rebuild_applied(&mut self, transaction: &Transaction, body: &[u8]) {
        let Ok(applied) = serde_json::from_slice::<TransactionApplied>(body) else { return };
        if applied.revision <= self.leader.as_ref().map_or(0, |leader| leader.mod_revision) {
            return self.suspect_data_loss(None);
        }
        self.apply_own_transaction(transaction, applied.revision);
        if let Some(rebuild) = self.recovery.rebuild_mut() {
            rebuild.transactions_applied += 1;
            rebuild.conflicts = 0;
        }
        self.finish_rebuild_if_complete();
    }

    /// Handles a conflict: a key was changed by a late duplicate or by another controller. A fresh read
    /// shows what is left to write.
    fn on_rebuild_conflict(&mut self, body: &[u8]) {
        if TransactionConflict::failed_keys(body).contains(&leader_key()) {
            self.step_down("the leader key has changed");
            return self.suspect_stale_leader_key();
        }
        if let Some(rebuild) = self.recovery.rebuild_mut() {
            rebuild.conflicts += 1;
            if rebuild.conflicts >= REBUILD_CONFLICTS_MAX {
                // The reads in between have not resolved the conflict, so the store differs from the
                // replica.
                return self.suspect_data_loss(None);
            }
        }
        self.pause_rebuild();
    }

    /// Handles a transaction rejected as malformed: its size exceeds a limit of the state service, so the
    /// rebuild is planned again with smaller transactions.
    fn on_rebuild_rejected(&mut self, body: &[u8]) {
        log::error!(
            "rebuild transaction rejected: the state service answered 400: {}",
            String::from_utf8_lossy(body)
        );
        self.store.halve_size_limits();
        if let Some(rebuild) = self.recovery.rebuild_mut() {
            rebuild.plan = None;
        }
        self.pause_rebuild();
    }

    fn pause_rebuild(&mut self) {
        if let Some(rebuild) = self.recovery.rebuild_mut() {
            rebuild.next_transaction_at = self.now.monotonic_ms + STATE_RETRY_BACKOFF_MS;
        }
        self.request_leader_read();
    }

    fn finish_rebuild_if_complete(&mut self) {
        let complete = self.rebuild_is_complete();
        let Some(rebuild) = self.recovery.rebuild().filter(|_| complete) else { return };
        let seconds = (self.now.monotonic_ms - rebuild.started_at) as f64 / MS_PER_S;
        let transactions = rebuild.transactions_applied;
        log::info!("rebuild written: {transactions} transactions in {seconds:.1} s");
        self.resume_if_rebuilt();
    }

    /// Answers a heartbeat during the rebuild: extends the worker's lease and stops tasks of jobs that are
    /// known to have ended, but starts nothing.
    pub(in crate::coordination) fn answer_heartbeat_in_rebuild(
        &mut self,
        connection: ConnectionId,
        heartbeat: Heartbeat,
    ) {
        let Some(token) = self.leader.as_ref().map(|leader| leader.term) else {
            return self.redirect(connection);
        };
        let plan = self.recovery.rebuild().and_then(Rebuild::plan);
        let has_ended = |job: &str| plan.is_some_and(|plan| plan.merged.ends.contains_key(job));
        let commands = stop_commands_of_ended_jobs(&heartbeat, has_ended);
        self.answer_without_starts(connection, token, commands);
    }

    /// While the service is suspended: the time up to which we know all ended jobs that a user can have been
    /// told of. Until the complete history of every controller is gathered, this is the time of the last read
    /// before the suspected loss. After that, users can only have been told of ended jobs that are in the
    /// store that we read, so it is the time of the last read.
    pub(in crate::coordination) fn confirmed_read_while_suspended(&self) -> Option<u64> {
        let releases_gaps = self.recovery.gap_policy() == GapPolicy::Release;
        match self.recovery.rebuild().and_then(Rebuild::plan) {
            Some(plan) if plan.gap.is_empty() || releases_gaps => self.store.last_read_at(),
            _ => self.recovery.confirmed_read_at(),
        }
    }
}

fn rebuild_record_update(record: &RebuildRecord) -> Transaction {
    Transaction { conditions: Vec::new(), writes: vec![put_rebuild_record(record)] }
}

fn transaction_from(rebuild: RebuildTransaction) -> Transaction {
    let mut transaction = Transaction::default();
    for conditional in rebuild.changes {
        let key = conditional.change.key().to_string();
        transaction.conditions.push(Condition { key, mod_revision: conditional.expected_revision });
        transaction.writes.push(mutation_from(conditional.change));
    }
    transaction
}

fn mutation_from(change: Change) -> Mutation {
    match change {
        Change::Remove { key } => Mutation::Remove { key },
        Change::Put { key, data } => Mutation::Put {
            key,
            value: serde_json::value::RawValue::from_string(data)
                .expect("values of the desired state are valid JSON"),
            lease_id: None,
        },
    }
}
