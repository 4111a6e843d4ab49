//! Detecting that the store has lost data.
//!
//! Every answer that names a revision below one that the store had reached before the request went
//! out proves a loss. Where nothing as plain is to be had (the watch is too old, a commit is refused
//! for no reason that the copy shows, a peer has begun to rebuild) the whole store is read anew and
//! compared with the image of what was known.

use super::phase::RecoveryPhase;
use crate::constants::KEY_FAMILY;
use crate::coordination::Controller;
use crate::protocol::state::{KeyValue, WatchEvent, WatchResponse};
use crate::storage::records::{RebuildPhase, RebuildRecord};
use mountgap_records::constants::REBUILD_KEY;
use mountgap_recovery::audit::{audit, DataLoss};
use mountgap_recovery::image::StoreImage;

/// Whether an event says that somebody rebuilds the store.
fn starts_rebuild(event: &WatchEvent) -> bool {
    let data = event.value.as_ref().filter(|_| event.put_key.as_deref() == Some(REBUILD_KEY));
    let record = data.and_then(|data| serde_json::from_str::<RebuildRecord>(data.get()).ok());
    record.is_some_and(|record| record.phase == RebuildPhase::Writing)
}

impl Controller {
    /// Forgets the copy of the store and reads all of it anew. Answers to what was asked before
    /// count for nothing.
    pub(in crate::coordination) fn reload_store(&mut self) {
        self.store.reset();
        self.recovery.clear_image();
        // What we knew is gone, and with it the ends that peers need not have named.
        self.membership.reset_ended_jobs_complete_at();
    }

    /// Something suggests that the store has lost data, or that we only have lost track of it: it is
    /// read anew and compared with what was known.
    pub(in crate::coordination) fn suspect_data_loss(&mut self, suspicion: Option<DataLoss>) {
        if !self.recovery.notices_losses() {
            return;
        }
        match self.recovery.phase() {
            RecoveryPhase::Following => self.verify_store_against_image(suspicion),
            RecoveryPhase::Lost { .. } => {
                // Lost once more, while it is rebuilt: what is to be written back is known still.
                self.step_down("the store has changed again");
                self.reload_store();
            }
            RecoveryPhase::FirstStart { .. } | RecoveryPhase::Verifying { .. } => {
                self.reload_store();
            }
        }
    }

    fn verify_store_against_image(&mut self, suspicion: Option<DataLoss>) {
        if let Some(loss) = &suspicion {
            log::warn!("the store may have lost data: {loss}; serving nobody until it is verified");
        }
        let known = self.step_down_and_freeze_image("the store may have lost data");
        self.recovery.begin_verifying(known, suspicion);
        self.reload_store();
    }

    /// The store that we follow has lost data, though nothing that we read ourselves shows it.
    pub(super) fn declare_lost_and_reload(&mut self, loss: DataLoss) {
        let known = self.step_down_and_freeze_image("the store has lost data");
        self.declare_lost(loss, Some(known));
        self.reload_store();
    }

    /// Stops leading; gives what was known of the store, which is kept for a rebuild.
    fn step_down_and_freeze_image(&mut self, reason: &str) -> StoreImage {
        self.step_down(reason);
        self.recovery.freeze_image(self.store.last_read_at(), self.now.monotonic_ms)
    }

    fn declare_lost(&mut self, loss: DataLoss, known: Option<StoreImage>) {
        self.recovery.declare_lost(loss, known, self.now.monotonic_ms);
    }

    /// Puts a key of the whole store into the image as it is read.
    pub(in crate::coordination) fn record_item(&mut self, item: &KeyValue) {
        if self.recovery.notices_losses() && item.key.starts_with(KEY_FAMILY) {
            let epoch = self.store.epoch();
            self.recovery.record_value(&item.key, item.mod_revision, item.value.get(), epoch);
        }
    }

    /// Judges an answer of the store, asked for what came after `since`, before it is put into the
    /// copy. False if it must not be.
    pub(in crate::coordination) fn check_changes(
        &mut self,
        since: u64,
        changes: &WatchResponse,
    ) -> bool {
        if !self.recovery.notices_losses() {
            return true;
        }
        if changes.revision < since {
            let loss = DataLoss::RevisionRegressed { known: since, shown: changes.revision };
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

    /// The whole store has been read.
    pub(in crate::coordination) fn on_listing_complete(&mut self) {
        if !self.recovery.notices_losses() {
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

    /// While somebody else rebuilds the store it may be lost once more, unseen by us. So it is read anew now and
    /// then until we see it complete.
    pub(super) fn reload_due(&mut self) {
        let due = !self.is_rebuilding() && self.recovery.take_due_reload(self.now.monotonic_ms);
        if due && self.store_is_reachable() {
            self.reload_store();
        }
    }

    /// Whether the leader key has had this revision before the store was lost. A leader's transactions depend on
    /// it, and one that was held up since would be carried out.
    pub(in crate::coordination) fn leader_revision_was_used(&self, mod_revision: u64) -> bool {
        self.recovery.leader_revision_seen_before(mod_revision, self.store.epoch())
    }

    pub(super) fn rebuild_is_complete(&self) -> bool {
        self.store.replica().rebuild_phase().is_some_and(|phase| phase != RebuildPhase::Writing)
    }

    /// A read begun at `begun` is in: what was to be judged by it is judged.
    pub(in crate::coordination) fn on_fresh_read(&mut self, begun: u64) {
        match self.recovery.phase() {
            RecoveryPhase::Following => {}
            RecoveryPhase::Verifying { .. } => self.verify_store(),
            RecoveryPhase::FirstStart { evidence, .. } => {
                let heard = evidence.as_ref().filter(|evidence| begun > evidence.heard_at);
                let heard = heard.map(|evidence| evidence.description.clone());
                if self.store.replica().store.is_some() {
                    self.recovery.follow_store(self.now.monotonic_ms);
                } else if let Some(evidence) = heard {
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
                    log::info!("the store is as it was after all: {loss} was suspected");
                }
                self.recovery.confirm_store();
            }
            Err(loss) => {
                self.declare_lost(loss, Some(known));
                self.resume_if_rebuilt();
            }
        }
    }

    /// Goes on once the store is rebuilt: its records are complete, and the rebuild has taken a term above
    /// all that we know of the lost store.
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
            // What was read in pieces while others wrote may hold what a further loss has undone.
            return self.reload_store();
        }
        log::info!("the store is rebuilt: {} jobs", self.store.replica().jobs.len());
        self.recovery.follow_new_store(self.now.monotonic_ms);
        // Whoever wrote it back leads from here on, and builds on what is there now.
        self.request_leader_read();
    }

    /// A worker that has our token runs a task that no placement names. What runs was stored before it
    /// was ordered, and is taken out only once it is proved gone: the store was set back, and all
    /// controllers have started since.
    pub(in crate::coordination) fn on_unrecorded_task(&mut self, machine: &str, task: &str) {
        if !self.recovery.notices_losses() || self.recovery.is_suspended() {
            return;
        }
        let (machine, task) = (machine.to_string(), task.to_string());
        self.declare_lost_and_reload(DataLoss::UnrecordedTask { machine, task });
        self.recovery.discard_history();
    }
}
