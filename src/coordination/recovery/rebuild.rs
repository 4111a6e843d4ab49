//! Rebuilding the store: the work of the one controller that won the election for it.
//!
//! The election commits leader key, term and the record that a rebuild has begun together, so that of
//! two controllers that both begin one wins, and what it writes depends on that. It gathers what the
//! others hold, works out what the store should hold, and writes what is missing, one transaction
//! after the other. Whoever takes over finds them in the store and goes on with the rest.

use super::image_transfer::PeerImage;
use super::put_rebuild_record;
use super::rebuild_plan::RebuildPlan;
use crate::constants::{
    LEADER_WRITE_RESERVE, MS_PER_S, REBUILD_IMAGES_TIMEOUT_MS, REBUILD_REFUSALS_MAX,
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

/// A rebuild that this controller does.
#[derive(Debug)]
pub(super) struct Rebuild {
    /// When it began, on the steady clock in milliseconds.
    started_at: u64,
    /// What each peer hands over, in the order of the settings.
    pub peers: Vec<PeerImage>,
    /// Once all is gathered: what the store is to hold, and where that is from.
    plan: Option<RebuildPlan>,
    /// A transaction was sent and is not answered yet.
    transaction_sent: bool,
    /// When the next transaction may be sent.
    next_transaction_at: u64,
    /// Transactions that were carried out.
    transactions_applied: u32,
    /// Transactions in a row that were refused.
    refusals: u32,
}

/// A transaction of the rebuild that was sent.
#[derive(Debug)]
pub(in crate::coordination) struct RebuildCall {
    /// The term in which it was sent.
    term: u64,
    commit: Transaction,
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
            refusals: 0,
        }
    }

    pub(super) fn plan(&self) -> Option<&RebuildPlan> {
        self.plan.as_ref()
    }

    pub(super) fn set_plan(&mut self, plan: RebuildPlan) {
        self.plan = Some(plan);
    }

    /// Transactions carried out, and values that there are to write in all.
    pub(super) fn progress(&self) -> Option<(u32, usize)> {
        let plan = self.plan.as_ref()?;
        Some((self.transactions_applied, plan.desired.len()))
    }

    /// Whether every peer's image is there, or was waited for long enough.
    fn has_gathered(&self, now: u64) -> bool {
        let complete = self.peers.iter().all(PeerImage::is_complete);
        complete || now >= self.started_at + REBUILD_IMAGES_TIMEOUT_MS
    }
}

impl Controller {
    /// Whether this controller leads only to rebuild the store.
    pub(in crate::coordination) fn is_rebuilding(&self) -> bool {
        self.leader.is_some() && self.recovery.rebuild().is_some()
    }

    /// The lead is lost: a rebuild ends, and what was gathered is kept for whoever goes on.
    pub(in crate::coordination) fn abandon_rebuild(&mut self) {
        self.recovery.abandon_rebuild(self.now.monotonic_ms);
    }

    pub(super) fn rebuild_due(&mut self) {
        let Some(leader) = &self.leader else { return };
        let Some(rebuild) = self.recovery.rebuild() else { return };
        if rebuild.plan.is_some() {
            return self.write_back_due();
        }
        // The present store is read up to our own election first: an earlier rebuild may have
        // written a part of it.
        let election_is_read =
            self.store.is_loaded() && self.store.replica().revision >= leader.mod_revision;
        if rebuild.has_gathered(self.now.monotonic_ms) && election_is_read {
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

    /// Sends the next transaction of the rebuild, one at a time; the last one says that it is complete.
    fn write_back_due(&mut self) {
        let Some(rebuild) = self.recovery.rebuild() else { return };
        let waits = rebuild.transaction_sent || self.now.monotonic_ms < rebuild.next_transaction_at;
        if waits || !self.store_is_reachable() {
            return;
        }
        let Some(plan) = &rebuild.plan else { return };
        // No more at a time than the bucket ever holds.
        let burst = (self.store.write_budget().burst() - LEADER_WRITE_RESERVE).max(1.0) as usize;
        let limits = self.rebuild_limits();
        let limits =
            TransactionLimits { transaction_ops: limits.transaction_ops.min(burst), ..limits };
        let commit = match plan.desired.next_transaction(self.recovery.image(), &limits) {
            Some(transaction) => transaction_from(transaction),
            None => {
                let Some(record) = self.complete_rebuild_record(plan) else { return };
                rebuild_record_update(&record)
            }
        };
        let sent = self.send_fenced(commit);
        if let Some(rebuild) = self.recovery.rebuild_mut().filter(|_| sent) {
            rebuild.transaction_sent = true;
        }
    }

    /// What the store says of a rebuild whose records are all written.
    fn complete_rebuild_record(&self, plan: &RebuildPlan) -> Option<RebuildRecord> {
        let before = &self.store.replica().rebuild.as_ref()?.value;
        let gap = match self.recovery.gap_policy() {
            GapPolicy::Hold => plan.gap.clone(),
            GapPolicy::Release => Vec::new(),
        };
        let sources = plan.sources.clone();
        Some(RebuildRecord { phase: RebuildPhase::Complete, sources, gap, ..before.clone() })
    }

    /// Sends the record of the rebuild in its next phase.
    pub(super) fn send_rebuild_record(&mut self, record: &RebuildRecord) -> bool {
        self.send_fenced(rebuild_record_update(record))
    }

    /// Sends a transaction that depends on our lead and on the record of the rebuild as we know it.
    /// False if it can't be sent now.
    fn send_fenced(&mut self, mut commit: Transaction) -> bool {
        let Some(leader) = &self.leader else { return false };
        let Some(record) = &self.store.replica().rebuild else { return false };
        let term = leader.term;
        let writes = commit.writes.len();
        commit.conditions.extend([
            Condition { key: leader_key(), mod_revision: leader.mod_revision },
            Condition { key: REBUILD_KEY.into(), mod_revision: record.mod_revision },
        ]);
        if !self.store.take_writes(writes as f64, 0.0, self.now.monotonic_ms) {
            return false;
        }
        let body = serde_json::to_vec(&commit).unwrap_or_default();
        let purpose = CallPurpose::Rebuild(RebuildCall { term, commit });
        self.commit_call(body, writes, purpose);
        true
    }

    pub(in crate::coordination) fn on_rebuild_response(
        &mut self,
        call: RebuildCall,
        reply: Option<Response>,
    ) {
        if self.leader.as_ref().is_none_or(|leader| leader.term != call.term) {
            return;
        }
        self.recovery.set_phase_update_sent(false);
        if let Some(rebuild) = self.recovery.rebuild_mut() {
            rebuild.transaction_sent = false;
        }
        match reply {
            Some(Response { status: 200, body }) => self.on_rebuild_applied(&call.commit, &body),
            Some(Response { status: 409, body }) => self.on_rebuild_conflict(&body),
            Some(Response { status: 400, body }) => self.on_rebuild_rejected(&body),
            _ => self.pause_rebuild(),
        }
    }

    fn on_rebuild_applied(&mut self, commit: &Transaction, body: &[u8]) {
        let Ok(applied) = serde_json::from_slice::<TransactionApplied>(body) else { return };
        if applied.revision <= self.leader.as_ref().map_or(0, |leader| leader.mod_revision) {
            return self.suspect_data_loss(None);
        }
        self.apply_own_transaction(commit, applied.revision);
        if let Some(rebuild) = self.recovery.rebuild_mut() {
            rebuild.transactions_applied += 1;
            rebuild.refusals = 0;
        }
        self.finish_rebuild_if_complete();
    }

    /// Changed by a late copy or by another controller: a read tells what is left.
    fn on_rebuild_conflict(&mut self, body: &[u8]) {
        if TransactionConflict::failed_keys(body).contains(&leader_key()) {
            self.step_down("the leader key has changed");
            return self.suspect_stale_leader_key();
        }
        if let Some(rebuild) = self.recovery.rebuild_mut() {
            rebuild.refusals += 1;
            if rebuild.refusals >= REBUILD_REFUSALS_MAX {
                // Reads between them have shown no reason: what we read is not what is there.
                return self.suspect_data_loss(None);
            }
        }
        self.pause_rebuild();
    }

    /// The state service does not take a transaction as large as that: smaller ones are planned.
    fn on_rebuild_rejected(&mut self, body: &[u8]) {
        log::error!("rebuild answered 400: {}", String::from_utf8_lossy(body));
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
        log::info!("all records are written: {transactions} commits in {seconds:.1} s");
        self.resume_if_rebuilt();
    }

    /// Answers a report while the store is rebuilt: the worker's lease goes on, what is known to be
    /// over is stopped, and nothing starts.
    pub(in crate::coordination) fn answer_heartbeat_in_rebuild(
        &mut self,
        connection: ConnectionId,
        report: Heartbeat,
    ) {
        let Some(token) = self.leader.as_ref().map(|leader| leader.term) else {
            return self.redirect(connection);
        };
        let plan = self.recovery.rebuild().and_then(Rebuild::plan);
        let has_ended = |job: &str| plan.is_some_and(|plan| plan.merged.ends.contains_key(job));
        let commands = stop_commands_of_ended_jobs(&report, has_ended);
        self.answer_without_starts(connection, token, commands);
    }

    /// The time before which nobody was told of an end that we don't know, while the store is not
    /// trusted: as of the loss, until every controller's memory is gathered. After that only what is
    /// written in the store that we read can have been told.
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
    let mut commit = Transaction::default();
    for conditional in rebuild.changes {
        let key = conditional.change.key().to_string();
        commit.conditions.push(Condition { key, mod_revision: conditional.expected_revision });
        commit.writes.push(mutation_from(conditional.change));
    }
    commit
}

fn mutation_from(change: Change) -> Mutation {
    match change {
        Change::Remove { key } => Mutation::Remove { key },
        Change::Put { key, data } => Mutation::Put {
            key,
            value: serde_json::value::RawValue::from_string(data)
                .expect("the values of the desired state are JSON"),
            lease_id: None,
        },
    }
}
