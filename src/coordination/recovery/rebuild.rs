//! Rebuilding the store: the work of the one controller that won the election for it.
//!
//! The election commits leader key, term and the mark that a rebuild has begun together, so that of
//! two controllers that both begin one wins, and what it writes depends on that. It gathers what the
//! others hold, works out what the store should hold, and writes what is missing, piece by piece.
//! Whoever takes over finds the pieces in the store and goes on with the rest.

use super::image_transfer::PeerImage;
use super::{RecoveryPhase, StoreId};
use crate::constants::{
    REBUILD_GATHER_MS, REBUILD_REFUSALS_MAX, REBUILD_STAND_MS, STATE_CALL_MS, STATE_RETRY_MS,
    WRITE_RESERVE,
};
use crate::coordination::membership::stop_commands_of_ended_jobs;
use crate::coordination::{CallPurpose, ConnectionId, Controller};
use crate::protocol::http::Response;
use crate::protocol::state::{
    Condition, Mutation, Transaction, TransactionApplied, TransactionConflict, COMMIT_PATH,
};
use crate::protocol::workers::Heartbeat;
use crate::settings::GapPolicy;
use crate::storage::records::{leader_key, FlagReason, RebuildPhase, RebuildRecord};
use mountgap_records::constants::REBUILD_KEY;
use mountgap_recovery::audit::{audit, DataLoss};
use mountgap_recovery::image::StoreImage;
use mountgap_recovery::merged_state::MergedState;
use mountgap_recovery::write_back::{Change, DesiredState, RebuildTransaction, TransactionLimits};
use rand::Rng;

/// A rebuild that this controller does.
#[derive(Debug)]
pub(super) struct Rebuild {
    begun: u64,
    pub peers: Vec<PeerImage>,
    /// Once all is gathered: what all sources say together, and what the store is to hold.
    plan: Option<Plan>,
    /// A transaction is on its way.
    sent: bool,
    not_before: u64,
    /// Transactions that were carried out.
    transactions: u32,
    /// Transactions in a row that were refused.
    refusals: u32,
}

#[derive(Debug)]
struct Plan {
    merged: MergedState,
    desired: DesiredState,
    identity: StoreId,
    sources: Vec<String>,
    gap: Vec<String>,
}

/// A transaction of the rebuild.
#[derive(Debug)]
pub(in crate::coordination) struct RebuildCall {
    term: u64,
    commit: Transaction,
}

impl Rebuild {
    pub(super) fn new(peers: usize, now: u64) -> Rebuild {
        Rebuild {
            begun: now,
            peers: (0..peers).map(|_| PeerImage::default()).collect(),
            plan: None,
            sent: false,
            not_before: now,
            transactions: 0,
            refusals: 0,
        }
    }
}

/// The mark of a rebuild as it changes from one phase to the next.
pub(super) fn rebuild_record_write(record: &RebuildRecord) -> Mutation {
    Mutation::put(REBUILD_KEY.into(), record)
}

impl Controller {
    /// Whether this controller leads only to rebuild the store.
    pub(in crate::coordination) fn is_rebuilding(&self) -> bool {
        self.leader.is_some() && self.recovery.rebuild.is_some()
    }

    /// The lead is lost in the middle of a rebuild: what was gathered is kept for whoever goes on.
    pub(in crate::coordination) fn abandon_rebuild(&mut self) {
        self.recovery.phase_update_sent = false;
        if self.recovery.rebuild.take().is_none() {
            return;
        }
        if let RecoveryPhase::Lost { campaign_at, .. } = &mut self.recovery.phase {
            *campaign_at = self.now.monotonic_ms + REBUILD_STAND_MS;
        }
    }

    pub(super) fn rebuild_due(&mut self) {
        if !self.is_rebuilding() {
            return;
        }
        let now = self.now.monotonic_ms;
        let Some(rebuild) = &self.recovery.rebuild else { return };
        if rebuild.plan.is_some() {
            return self.write_back_due();
        }
        let all = rebuild.peers.iter().all(|peer| peer.complete);
        let waited = now >= rebuild.begun + REBUILD_GATHER_MS;
        // The present store is read up to our own election first: an earlier rebuild may have
        // written a part of it.
        let mod_revision = self.leader.as_ref().map_or(0, |leader| leader.mod_revision);
        if (all || waited)
            && self.store.is_loaded()
            && self.store.replica().revision >= mod_revision
        {
            self.plan_rebuild();
        } else {
            self.gather_due();
        }
    }

    /// Puts together what all sources say.
    fn plan_rebuild(&mut self) {
        let own = self.recovery.lost.clone();
        let Some(rebuild) = &self.recovery.rebuild else { return };
        let mut sources = vec![self.settings.label.clone()];
        let mut gap = Vec::new();
        // All have started since a loss that only workers tell of.
        let unexplained = matches!(
            self.recovery.phase,
            RecoveryPhase::Lost { loss: DataLoss::UnrecordedTask { .. }, .. }
        );
        if unexplained || !self.recovery.history_complete {
            gap.push(self.settings.label.clone());
        }
        let mut images: Vec<StoreImage> = own.into_iter().collect();
        for (peer, image) in self.settings.peers.iter().zip(&rebuild.peers) {
            if let Some(image) = image.whole() {
                sources.push(peer.label.clone());
                images.push(image.clone());
            }
            if unexplained || !image.history_complete {
                gap.push(peer.label.clone());
            }
        }
        let lines = joined_by_store(images);
        let mut merged = MergedState::default();
        lines.iter().for_each(|image| merged.join(&MergedState::from_image(image)));
        merged.join(&MergedState::from_image(&self.recovery.image));
        // What an interrupted rebuild has written is no better known than what it was written from.
        if !gap.is_empty() && self.recovery.gap_policy == GapPolicy::Hold {
            merged.flag_live_jobs(FlagReason::MayHaveEnded);
        }
        // A gap that no operator has closed yet stays one.
        let open_gap = merged.open_gap.iter().filter(|label| !gap.contains(label));
        let open_gap: Vec<String> = open_gap.cloned().collect();
        gap.extend(open_gap);
        merged.tidy();
        let present = self.recovery.image.identity();
        let apart = |id: &StoreId| lines.iter().all(|line| line.identity() != Some(*id));
        let fresh = present.filter(|id| !lines.is_empty() && apart(id));
        let identity = fresh.unwrap_or_else(|| StoreId(self.rng.random()));
        // Kept for whoever has to go on: the image that knows most of the lost store.
        self.recovery.lost = lines.into_iter().max_by_key(StoreImage::revision);
        if self.leader.as_ref().is_some_and(|leader| merged.term > leader.term) {
            self.membership.note_term(merged.term);
            return self.check_term();
        }
        let limits = self.rebuild_limits();
        let desired = DesiredState::new(&merged, identity, &self.recovery.image, &limits);
        log::info!(
            "rebuilds the store from {}, {} values: {:?}",
            sources.join(", "),
            desired.values(),
            merged.summary()
        );
        if !gap.is_empty() {
            log::warn!("no memory from before the loss: {}", gap.join(", "));
        }
        if let Some(rebuild) = &mut self.recovery.rebuild {
            rebuild.plan = Some(Plan { merged, desired, identity, sources, gap });
        }
    }

    fn rebuild_limits(&self) -> TransactionLimits {
        TransactionLimits {
            value_bytes: self.store.limits().value_bytes,
            transaction_ops: self.store.limits().transaction_ops,
        }
    }

    fn write_back_due(&mut self) {
        let (now, limits) = (self.now.monotonic_ms, self.rebuild_limits());
        let Some(rebuild) = &self.recovery.rebuild else { return };
        let Some(plan) = rebuild.plan.as_ref() else { return };
        if rebuild.sent || now < rebuild.not_before || !self.store_is_reachable() {
            return;
        }
        // No more at a time than the bucket ever holds.
        let burst = (self.store.write_budget().burst() - WRITE_RESERVE).max(1.0) as usize;
        let limits =
            TransactionLimits { transaction_ops: limits.transaction_ops.min(burst), ..limits };
        let commit = match plan.desired.next_transaction(&self.recovery.image, &limits) {
            Some(batch) => transaction_from(batch),
            None => {
                let Some(before) = &self.store.replica().rebuild else { return };
                let gap = match self.recovery.gap_policy {
                    GapPolicy::Hold => plan.gap.clone(),
                    GapPolicy::Release => Vec::new(),
                };
                let record = RebuildRecord {
                    phase: RebuildPhase::Complete,
                    sources: plan.sources.clone(),
                    gap,
                    ..before.value.clone()
                };
                Transaction { conditions: Vec::new(), writes: vec![rebuild_record_write(&record)] }
            }
        };
        if self.send_fenced(commit) {
            if let Some(rebuild) = &mut self.recovery.rebuild {
                rebuild.sent = true;
            }
        }
    }

    /// Sends a transaction that depends on our lead and on the mark of the rebuild as we know it.
    pub(super) fn send_fenced(&mut self, mut commit: Transaction) -> bool {
        let Some(leader) = &self.leader else { return false };
        let Some(record) = &self.store.replica().rebuild else { return false };
        let (term, mod_revision) = (leader.term, leader.mod_revision);
        let ops = commit.writes.len() as f64;
        commit.conditions.push(Condition { key: leader_key(), mod_revision });
        commit
            .conditions
            .push(Condition { key: REBUILD_KEY.into(), mod_revision: record.mod_revision });
        if !self.store.take_writes(ops, 0.0, self.now.monotonic_ms) {
            return false;
        }
        self.metrics.work.state_writes += ops as u64;
        let body = serde_json::to_vec(&commit).unwrap_or_default();
        let purpose = CallPurpose::Rebuild(RebuildCall { term, commit });
        self.state_call("POST", COMMIT_PATH.into(), body, STATE_CALL_MS, purpose);
        true
    }

    pub(in crate::coordination) fn on_rebuild_response(
        &mut self,
        call: RebuildCall,
        reply: Option<Response>,
    ) {
        let now = self.now.monotonic_ms;
        if self.leader.as_ref().is_none_or(|leader| leader.term != call.term) {
            return;
        }
        self.recovery.phase_update_sent = false;
        if let Some(rebuild) = &mut self.recovery.rebuild {
            rebuild.sent = false;
        }
        match reply {
            Some(Response { status: 200, body }) => {
                let Ok(done) = serde_json::from_slice::<TransactionApplied>(&body) else { return };
                if done.revision <= self.leader.as_ref().map_or(0, |leader| leader.mod_revision) {
                    return self.suspect_data_loss(None);
                }
                self.apply_own_transaction(&call.commit, done.revision);
                if let Some(rebuild) = &mut self.recovery.rebuild {
                    rebuild.transactions += 1;
                    rebuild.refusals = 0;
                }
                self.rebuild_advanced();
            }
            // Changed by a late copy or by another controller: a read tells what is left.
            Some(Response { status: 409, body }) => {
                let failed = serde_json::from_slice::<TransactionConflict>(&body)
                    .unwrap_or(TransactionConflict { failed: Vec::new(), revision: 0 });
                if failed.failed.contains(&leader_key()) {
                    self.step_down("the leader key has changed");
                    return self.suspect_stale_leader_key();
                }
                if let Some(rebuild) = &mut self.recovery.rebuild {
                    rebuild.refusals += 1;
                    if rebuild.refusals >= REBUILD_REFUSALS_MAX {
                        // Reads between them have shown no reason: what we read is not what is there.
                        return self.suspect_data_loss(None);
                    }
                }
                self.pause_rebuild(now);
            }
            Some(Response { status: 400, body }) => {
                log::error!("rebuild answered 400: {}", String::from_utf8_lossy(&body));
                self.store.halve_size_limits();
                if let Some(rebuild) = &mut self.recovery.rebuild {
                    rebuild.plan = None;
                }
                self.pause_rebuild(now);
            }
            _ => self.pause_rebuild(now),
        }
    }

    fn pause_rebuild(&mut self, now: u64) {
        if let Some(rebuild) = &mut self.recovery.rebuild {
            rebuild.not_before = now + STATE_RETRY_MS;
        }
        self.request_leader_read();
    }

    /// A piece is in, or the mark has changed.
    fn rebuild_advanced(&mut self) {
        let complete = self
            .store
            .replica()
            .rebuild
            .as_ref()
            .is_some_and(|r| r.value.phase != RebuildPhase::Writing);
        if let (true, Some(rebuild)) = (complete, &self.recovery.rebuild) {
            let seconds = (self.now.monotonic_ms - rebuild.begun) as f64 / 1000.0;
            log::info!(
                "all records are written: {} commits in {seconds:.1} s",
                rebuild.transactions
            );
            self.end_hold_if_rebuilt();
        }
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
        let plan = self.recovery.rebuild.as_ref().and_then(|rebuild| rebuild.plan.as_ref());
        let over = |job: &str| plan.is_some_and(|plan| plan.merged.ends.contains_key(job));
        let commands = stop_commands_of_ended_jobs(&report, over);
        self.answer_without_starts(connection, token, commands);
    }

    /// Before when nobody was told of an end that we don't know, while we hold still: as of the loss,
    /// until every controller's memory is gathered. After that only what is written in the store
    /// that we read can have been told.
    pub(in crate::coordination) fn confirmed_read_while_suspended(&self) -> Option<u64> {
        let plan = self.recovery.rebuild.as_ref().and_then(|rebuild| rebuild.plan.as_ref());
        let without_gap =
            |plan: &Plan| plan.gap.is_empty() || self.recovery.gap_policy == GapPolicy::Release;
        match plan {
            Some(plan) if without_gap(plan) => self.store.last_read_at(),
            _ => self.recovery.confirmed_read_at,
        }
    }

    /// The identity that the store is to have, for the operators' view.
    pub(super) fn rebuild_progress(&self) -> Option<(u32, usize, StoreId)> {
        let rebuild = self.recovery.rebuild.as_ref()?;
        let plan = rebuild.plan.as_ref()?;
        Some((rebuild.transactions, plan.desired.values(), plan.identity))
    }
}

/// Joins images of which the later can be what the earlier has become. Others, of different stores or read across
/// a loss that went unnoticed, stay apart: their revisions can't be compared.
fn joined_by_store(mut images: Vec<StoreImage>) -> Vec<StoreImage> {
    images.retain(|image| !image.is_empty());
    images.sort_by_key(|image| std::cmp::Reverse(image.revision()));
    let mut lines: Vec<StoreImage> = Vec::new();
    for image in images {
        let same = lines.iter_mut().find(|line| audit(&image, line).is_ok());
        match same {
            Some(line) => {
                if let Ok(joined) = line.join(&image) {
                    *line = joined;
                }
            }
            None => lines.push(image),
        }
    }
    lines
}

fn transaction_from(batch: RebuildTransaction) -> Transaction {
    let mut commit = Transaction::default();
    for (change, mod_revision) in batch.changes {
        commit.conditions.push(Condition { key: change.key().to_string(), mod_revision });
        commit.writes.push(match change {
            Change::Remove { key } => Mutation::Remove { key },
            Change::Put { key, data } => Mutation::Put {
                key,
                value: serde_json::value::RawValue::from_string(data)
                    .expect("the layout's values are JSON"),
                lease_id: None,
            },
        });
    }
    commit
}
