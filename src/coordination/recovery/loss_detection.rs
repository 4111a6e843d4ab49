//! Detection of data loss in the store.
//!
//! A response with a revision below one that the store had reached before the request was sent proves a
//! loss. Weaker signs only raise a suspicion: the watch revision is too old, transactions keep failing
//! with conflicts that the replica doesn't explain, or a peer has started a rebuild. The store is then
//! listed again and compared with the image from before the suspicion.

use super::phase::RecoveryPhase;
use crate::constants::KEY_NAMESPACE;
use crate::coordination::Controller;
use crate::protocol::state::{KeyValue, WatchEvent, WatchResponse};
use crate::storage::records::{RebuildPhase, RebuildRecord};
use mountgap_records::constants::REBUILD_KEY;
use mountgap_recovery::audit::{audit, DataLoss};
use mountgap_recovery::image::StoreImage;

/// Whether an event writes the record with which a rebuild starts.
fn starts_rebuild(event: &WatchEvent) -> bool {
    let data = event.value.as_ref().filter(|_| event.put_key.as_deref() == Some(REBUILD_KEY));
    let record = data.and_then(|data| serde_json::from_str::<RebuildRecord>(data.get()).ok());
    record.is_some_and(|record| record.phase == RebuildPhase::Writing)
}

impl Controller {
    /// Discards the replica and the image, and lists the store again. Responses to earlier reads are
    /// ignored.
    pub(in crate::coordination) fn reload_store(&mut self) {
        self.store.reset();
        self.recovery.clear_image();
        // The lists from peers leave out ended jobs that the discarded replica held.
        self.membership.reset_ended_jobs_complete_at();
    }

    /// Handles a sign of data loss, or of a replica that differs from the store: lists the store again and
    /// compares it with the known image. `suspicion` is the suspected loss, if it is a particular one.
    pub(in crate::coordination) fn suspect_data_loss(&mut self, suspicion: Option<DataLoss>) {
        if !self.recovery.is_enabled() {
            return;
        }
        match self.recovery.phase() {
            RecoveryPhase::Following => self.verify_store_against_image(suspicion),
            RecoveryPhase::Lost { .. } => {
                // Data may have been lost again during the rebuild. The image of the lost store is kept.
                self.step_down("the store may have lost data again");
                self.reload_store();
            }
            RecoveryPhase::FirstStart { .. } | RecoveryPhase::Verifying { .. } => {
                self.reload_store();
            }
        }
    }

    fn verify_store_against_image(&mut self, suspicion: Option<DataLoss>) {
        if let Some(loss) = &suspicion {
            log::warn!(
                "data loss suspected: {loss}; no requests are served until the store is verified"
            );
        }
        let known = self.step_down_and_freeze_image("the store may have lost data");
        self.recovery.begin_verifying(known, suspicion);
        self.reload_store();
    }

    /// Handles a data loss that a peer or a worker has shown, although nothing that we read ourselves shows
    /// it.
    pub(super) fn declare_lost_and_reload(&mut self, loss: DataLoss) {
        let known = self.step_down_and_freeze_image("the store has lost data");
        self.declare_lost(loss, Some(known));
        self.reload_store();
    }

    /// Steps down and returns the known image of the store, which is kept for a rebuild.
    fn step_down_and_freeze_image(&mut self, reason: &str) -> StoreImage {
        self.step_down(reason);
        self.recovery.freeze_image(self.store.last_read_at(), self.now.monotonic_ms)
    }

    fn declare_lost(&mut self, loss: DataLoss, known: Option<StoreImage>) {
        self.recovery.declare_lost(loss, known, self.now.monotonic_ms);
    }

    /// Adds a listed key to the image.
    pub(in crate::coordination) fn record_item(&mut self, item: &KeyValue) {
        if self.recovery.is_enabled() && item.key.starts_with(KEY_NAMESPACE) {
            let epoch = self.store.epoch();
            self.recovery.record_value(&item.key, item.mod_revision, item.value.get(), epoch);
        }
    }

    /// Checks the changes after revision `since` for signs of data loss before they are applied to the
    /// replica. False if they must not be applied.
    pub(in crate::coordination) fn check_changes(
        &mut self,
        since: u64,
        changes: &WatchResponse,
    ) -> bool {
        if !self.recovery.is_enabled() {
            return true;
        }
        if changes.revision < since {
            let loss = DataLoss::RevisionRegressed { known: since, observed: changes.revision };
            self.suspect_data_loss(Some(loss));
            return false;
        }
        if self.recovery.is_following() && changes.events.iter().any(starts_rebuild) {
            self.suspect_data_loss(Some(DataLoss::RebuildStarted));
            return false;
        }
        self.recovery.record_changes(changes, self.store.epoch());
        true
    }

    /// Handles the completion of a listing of the store.
    pub(in crate::coordination) fn on_listing_complete(&mut self) {
        if !self.recovery.is_enabled() {
            return;
        }
        self.recovery.complete_image(self.store.replica().revision, self.rebuild_is_complete());
        if !self.recovery.is_following() {
            return;
        }
        let now = self.now.monotonic_ms;
        self.recovery.restart_history(now);
        if self.recovery.begin_verifying_snapshot() {
            return;
        }
        if self.store.replica().rebuild_phase() == Some(RebuildPhase::Writing) {
            self.declare_lost(DataLoss::RebuildStarted, None);
        } else if self.store.replica().store.is_none() && self.store.replica().term.is_none() {
            self.recovery.begin_first_start(now);
        }
    }

    /// Lists the lost store again if it is time to. While another controller rebuilds it, the store may lose
    /// data again without our noticing, so it is listed periodically until the rebuild is complete.
    pub(super) fn reload_store_if_due(&mut self) {
        let due = !self.is_rebuilding() && self.recovery.take_due_reload(self.now.monotonic_ms);
        if due && self.store_is_reachable() {
            self.reload_store();
        }
    }

    /// Whether the leader key already had this revision before the data loss. A leader's transactions are
    /// conditional on that revision, so a delayed one from before the loss could still be applied.
    pub(in crate::coordination) fn leader_revision_was_used(&self, mod_revision: u64) -> bool {
        self.recovery.leader_revision_seen_before(mod_revision, self.store.epoch())
    }

    pub(super) fn rebuild_is_complete(&self) -> bool {
        self.store.replica().rebuild_phase().is_some_and(|phase| phase != RebuildPhase::Writing)
    }

    /// Handles a completed fresh read that was sent at `read_started_at`: decides whether the store is
    /// trusted, lost or rebuilt.
    pub(in crate::coordination) fn on_fresh_read(&mut self, read_started_at: u64) {
        match self.recovery.phase() {
            RecoveryPhase::Following => {}
            RecoveryPhase::Verifying { .. } => self.verify_store(),
            RecoveryPhase::FirstStart { evidence, .. } => {
                // Only a read that was sent after the evidence was heard counts: the store may have been
                // created after an earlier read.
                let evidence =
                    evidence.as_ref().filter(|evidence| read_started_at > evidence.heard_at);
                let evidence = evidence.map(|evidence| evidence.description.clone());
                if self.store.replica().store.is_some() {
                    self.recovery.follow_store(self.now.monotonic_ms);
                } else if let Some(evidence) = evidence {
                    self.declare_lost(DataLoss::EmptyAfterUse { evidence }, None);
                }
            }
            RecoveryPhase::Lost { .. } => self.resume_if_rebuilt(),
        }
    }

    fn verify_store(&mut self) {
        let Some((known, suspicion)) = self.recovery.take_verification() else { return };
        let verdict = match self.store.replica().rebuild_phase() {
            Some(RebuildPhase::Writing) => Err(DataLoss::RebuildStarted),
            _ => audit(&known, self.recovery.image()),
        };
        match verdict {
            Ok(()) => {
                if let Some(loss) = suspicion {
                    log::info!("store verified: no data was lost; the suspected loss was: {loss}");
                }
                self.recovery.confirm_store();
            }
            Err(loss) => {
                self.declare_lost(loss, Some(known));
                self.resume_if_rebuilt();
            }
        }
    }

    /// Trusts the store again if it is rebuilt: the rebuild is complete, and its term is above all terms that we
    /// know of the lost store.
    pub(super) fn resume_if_rebuilt(&mut self) {
        let term = self.store.replica().rebuild_term();
        if self.store.replica().rebuild_phase() == Some(RebuildPhase::Writing) {
            self.recovery.observe_unfinished_rebuild(term);
        }
        let rebuilt = self.rebuild_is_complete() && self.recovery.is_rebuild_after_loss(term);
        if !self.recovery.has_lost_store() || !rebuilt {
            return;
        }
        if !self.is_rebuilding() && !self.recovery.has_loaded_complete_rebuild() {
            // The replica was built up while another controller was still writing. If data was lost again
            // meanwhile, the replica may contain values that are gone.
            return self.reload_store();
        }
        log::info!("store rebuilt: {} jobs", self.store.replica().jobs.len());
        self.recovery.follow_new_store(self.now.monotonic_ms);
        // The controller that rebuilt the store goes on as leader, from the state in the store.
        self.request_leader_read();
    }

    /// Handles a worker that has our fencing token and runs a task without a placement. A placement is
    /// stored before its start command is sent, and removed only once it is settled. So the store was
    /// restored from a backup, and all controllers have restarted since.
    pub(in crate::coordination) fn on_unrecorded_task(&mut self, machine: &str, task: &str) {
        if !self.recovery.is_enabled() || self.recovery.is_suspended() {
            return;
        }
        let (machine, task) = (machine.to_string(), task.to_string());
        self.declare_lost_and_reload(DataLoss::UnrecordedTask { machine, task });
        self.recovery.mark_history_incomplete();
    }
}
