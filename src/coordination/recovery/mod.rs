//! Detection of data loss in the state service, and the rebuild of its store.
//!
//! In normal operation a controller keeps an image of the store beside its replica. From the suspicion
//! of a data loss until the store is verified or rebuilt, the service is suspended: no job is accepted,
//! no task is started, no placement is settled, no machine is returned and no user is told that a job is
//! unknown. `docs/recovery-design.md` gives the reasons.
//!
//! * [`state`] owns the state of detection and rebuild, [`phase`] defines the phases;
//! * [`loss_detection`] detects data loss and rules out false alarms;
//! * [`stale_leader`] detects a leader key that outlives its leader;
//! * [`first_start`] distinguishes a new store from one that lost its data, by what peers and workers
//!   know;
//! * [`election`] decides when to campaign for a rebuild, and what an election writes about it;
//! * [`image_transfer`] transfers images between controllers;
//! * [`rebuild_plan`] computes the desired content of the store, [`rebuild`] writes it;
//! * [`reconciliation`] blocks starts until it is known which tasks every machine runs;
//! * [`decisions`] applies operators' decisions on flagged jobs, [`report`] builds the reports for
//!   operators.

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

/// The write of a rebuild record, which holds the phase of the last rebuild.
fn put_rebuild_record(record: &RebuildRecord) -> Mutation {
    Mutation::put(REBUILD_KEY.into(), record)
}

impl Controller {
    /// Passes in the image of the newest snapshot of an earlier process. Must be called before the store is
    /// first read.
    pub fn restore_snapshot(&mut self, image: StoreImage) {
        self.recovery.set_earlier_snapshot(image);
    }

    /// Records the result of the last snapshot, for the status that operators see.
    pub fn record_snapshot_status(&mut self, status: SnapshotStatus) {
        self.recovery.set_snapshot_status(status);
    }

    /// The image of the store for a snapshot. None while the store is not trusted, not fully read or
    /// has no identity yet. The copy takes constant time.
    pub fn image_for_snapshot(&self) -> Option<StoreImage> {
        let trusted = self.recovery.is_enabled() && !self.recovery.is_suspended();
        let image = self.recovery.image();
        let complete = trusted && self.store.is_loaded() && image.identity().is_some();
        complete.then(|| image.clone())
    }

    /// What gossip tells peers: the identity of the store and the recovery state.
    pub(super) fn recovery_state(&self) -> (Option<u64>, Option<RecoveryState>) {
        self.recovery.peer_view()
    }

    /// Whether a transaction that was sent at `read_point` and applied at `revision` went into the store
    /// that we read now, and that store is trusted. A transaction that the state service applied after it
    /// lost data may have an older revision than was known when it was sent.
    pub(super) fn applied_to_trusted_store(
        &mut self,
        read_point: ReadPoint,
        revision: u64,
    ) -> bool {
        self.applied_to_current_store(read_point, revision) && !self.recovery.is_suspended()
    }

    /// Whether a transaction was applied to the store that we read now, trusted or not.
    pub(super) fn applied_to_current_store(
        &mut self,
        read_point: ReadPoint,
        revision: u64,
    ) -> bool {
        if !self.recovery.is_enabled() {
            return true;
        }
        if read_point.epoch == self.store.epoch() && revision <= read_point.revision {
            let loss =
                DataLoss::RevisionRegressed { known: read_point.revision, observed: revision };
            self.suspect_data_loss(Some(loss));
        }
        read_point.epoch == self.store.epoch()
    }

    /// Makes a user's transaction conditional on the last rebuild that we know. If it were applied during a
    /// later rebuild, the rebuild would remove its writes, or it would end a job that the rebuild has
    /// flagged.
    pub(super) fn add_rebuild_condition(&self, transaction: &mut Transaction) {
        if self.recovery.is_enabled() {
            let mod_revision = self.store.replica().mod_revision(REBUILD_KEY);
            transaction.conditions.push(Condition { key: REBUILD_KEY.into(), mod_revision });
        }
    }

    /// Number of conditions that [`Controller::add_rebuild_condition`] adds to a user's transaction.
    pub(super) fn reserved_conditions(&self) -> usize {
        usize::from(self.recovery.is_enabled())
    }

    /// Records an applied transaction of our own in the image, ahead of the watch.
    pub(super) fn record_own_transaction(&mut self, transaction: &Transaction, revision: u64) {
        self.recovery.record_transaction(transaction, revision);
    }

    /// Whether no task may start, because the store is being rebuilt, or because it is not yet known which
    /// tasks the machines run.
    pub(super) fn starts_are_blocked(&self) -> bool {
        let phase = self.store.replica().rebuild_phase();
        if matches!(phase, Some(RebuildPhase::Writing | RebuildPhase::Complete)) {
            return true;
        }
        // After a rebuild with a history gap, machines may run tasks of unknown jobs that a new leader has
        // not heard of. If all controllers have restarted, the store may have been restored from a backup
        // and only the workers' heartbeats can show it.
        let unproven = self.recovery.is_enabled() && !self.recovery.is_continuity_proven();
        let unknown_tasks_may_run = self.has_history_gap() || unproven;
        unknown_tasks_may_run
            && self.leader.as_ref().is_some_and(|leader| !leader.machines_reconciled)
    }

    /// Whether the last rebuild has a history gap that no operator has closed: some controller had no complete
    /// history, so a job that is not in the store may have been accepted.
    pub(super) fn has_history_gap(&self) -> bool {
        self.store.replica().rebuild.as_ref().is_some_and(|record| !record.value.gap.is_empty())
    }

    /// Runs the due steps of loss detection, rebuild and reconciliation.
    pub(super) fn run_recovery_if_due(&mut self) {
        if self.recovery.is_enabled() {
            self.check_stale_leader_key();
            self.complete_first_start_if_due();
            self.reload_store_if_due();
            self.continue_rebuild_if_due();
        }
        self.update_reconciliation();
    }
}
