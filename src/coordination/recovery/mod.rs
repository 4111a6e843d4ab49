//! Detecting that the state service has lost its data, and rebuilding the store.
//!
//! While nothing is lost a controller keeps an image of the store beside its copy. From a suspicion
//! until the store is rebuilt the service is suspended: nothing is accepted, started, settled,
//! returned or called unknown. `docs/recovery-design.md` says why.
//!
//! * [`state`] owns the state of all that, [`phase`] names whether the store is trusted;
//! * [`loss_detection`] notices a loss and tells it from what looks like one;
//! * [`stale_leader`] looks after a leader key that outlives its leader;
//! * [`first_start`] tells a new store from one that is lost, by what peers and workers say;
//! * [`election`] chooses the controller that writes the store back;
//! * [`image_transfer`] passes images between controllers;
//! * [`rebuild_plan`] works out what the store should hold, [`rebuild`] writes it;
//! * [`reconciliation`] blocks starts until it is known what every machine runs;
//! * [`decisions`] takes what operators decide afterwards, [`report`] is what they are told.

mod decisions;
mod election;
mod first_start;
mod image_transfer;
mod loss_detection;
mod phase;
mod rebuild;
mod rebuild_plan;
mod reconciliation;
mod report;
mod stale_leader;
mod state;

pub(super) use decisions::DecisionCall;
pub(super) use rebuild::RebuildCall;
pub(super) use report::RecoveryView;
pub(super) use state::Recovery;

use super::store_client::ReadPoint;
use super::Controller;
use crate::protocol::peers::RecoveryState;
use crate::protocol::state::{Condition, Mutation, Transaction};
use crate::snapshots::SnapshotStatus;
use crate::storage::records::{RebuildPhase, RebuildRecord};
use mountgap_records::constants::REBUILD_KEY;
use mountgap_recovery::audit::DataLoss;
use mountgap_recovery::image::StoreImage;

/// The write of the record that says how far the last rebuild has come.
fn put_rebuild_record(record: &RebuildRecord) -> Mutation {
    Mutation::put(REBUILD_KEY.into(), record)
}

impl Controller {
    /// Gives the image of the last snapshot of an earlier process, before anything is read.
    pub fn restore_snapshot(&mut self, image: StoreImage) {
        self.recovery.set_earlier_snapshot(image);
    }

    /// What became of the last snapshot, for the operators' view.
    pub fn note_snapshot(&mut self, status: SnapshotStatus) {
        self.recovery.set_snapshot_status(status);
    }

    /// The image of the store for a snapshot; none while there is nothing to keep. A copy costs the
    /// same whatever its size.
    pub fn image_for_snapshot(&self) -> Option<StoreImage> {
        let trusted = self.recovery.notices_losses() && !self.recovery.is_suspended();
        let image = self.recovery.image();
        let complete = trusted && self.store.is_loaded() && image.identity().is_some();
        complete.then(|| image.clone())
    }

    /// What peers are told of the store: its identity, and whether it is lost.
    pub(super) fn recovery_state(&self) -> (Option<u64>, Option<RecoveryState>) {
        self.recovery.peer_view()
    }

    /// Whether a transaction that was answered with a revision has gone into the store that we
    /// read. One that the store carried out after it lost data shows an older revision.
    pub(super) fn applied_to_trusted_store(&mut self, sent: ReadPoint, revision: u64) -> bool {
        self.applied_to_current_store(sent, revision) && !self.recovery.is_suspended()
    }

    /// Whether a transaction was carried out in the store that we read now, trusted or not.
    pub(super) fn applied_to_current_store(&mut self, sent: ReadPoint, revision: u64) -> bool {
        if !self.recovery.notices_losses() {
            return true;
        }
        if sent.epoch == self.store.epoch() && revision <= sent.revision {
            let loss = DataLoss::RevisionRegressed { known: sent.revision, shown: revision };
            self.suspect_data_loss(Some(loss));
        }
        sent.epoch == self.store.epoch()
    }

    /// Makes a user's transaction depend on the last rebuild that we know: one that goes into a store that is rebuilt
    /// meanwhile would be taken out again, or end a job that is flagged there.
    pub(super) fn add_rebuild_condition(&self, commit: &mut Transaction) {
        if self.recovery.notices_losses() {
            let mod_revision = self.store.replica().mod_revision(REBUILD_KEY);
            commit.conditions.push(Condition { key: REBUILD_KEY.into(), mod_revision });
        }
    }

    /// Conditions of a user's transaction that [`Controller::add_rebuild_condition`] takes.
    pub(super) fn reserved_conditions(&self) -> usize {
        usize::from(self.recovery.notices_losses())
    }

    /// Notes a transaction of ours that was confirmed, ahead of the watch.
    pub(super) fn record_own_transaction(&mut self, commit: &Transaction, revision: u64) {
        self.recovery.record_transaction(commit, revision);
    }

    /// Whether no task may start: the store is being written back, or what the machines run is not
    /// known since.
    pub(super) fn starts_are_blocked(&self) -> bool {
        let phase = self.store.replica().rebuild_phase();
        if matches!(phase, Some(RebuildPhase::Writing | RebuildPhase::Complete)) {
            return true;
        }
        // Tasks of unknown jobs may run that a new leader has not heard of; and where all controllers
        // have started anew, the store may have been set back with nobody to notice but the workers.
        let unproven = self.recovery.notices_losses() && !self.recovery.is_continuity_proven();
        let unknown_tasks_may_run = self.has_history_gap() || unproven;
        unknown_tasks_may_run
            && self.leader.as_ref().is_some_and(|leader| !leader.machines_reconciled)
    }

    /// Whether a rebuild could not draw on the memory of every controller, and no operator has closed
    /// the gap: a job that is not known may have been accepted.
    pub(super) fn has_history_gap(&self) -> bool {
        self.store.replica().rebuild.as_ref().is_some_and(|record| !record.value.gap.is_empty())
    }

    /// Does what is due of detection and rebuild.
    pub(super) fn recovery_due(&mut self) {
        if self.recovery.notices_losses() {
            self.check_stale_leader_key();
            self.first_start_due();
            self.reload_due();
            self.rebuild_due();
        }
        self.reconciliation_due();
    }
}
