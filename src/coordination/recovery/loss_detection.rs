//! Noticing that the store has lost data.
//!
//! Every answer that names a revision below one that the store had reached before the request went
//! out proves a loss. Where nothing as plain is to be had (the watch is too old, a commit is refused
//! for no reason that the copy shows, a peer has begun to rebuild) the whole store is read anew and
//! compared with the image of what was known.

use super::RecoveryPhase;
use crate::constants::{
    DOUBT_REST_MS, HOLD_REREAD_MS, KEY_FAMILY, LEADER_DOUBT_MS, LEASE_OVER_DOUBT_MS, MEMORY_AGE_MS,
    REBUILD_STAND_EMPTY_MS, REBUILD_STAND_MS,
};
use crate::coordination::Controller;
use crate::protocol::state::{KeyValue, WatchEvent, WatchResponse};
use crate::storage::records::{leader_key, RebuildPhase, RebuildRecord};
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
        self.store.forget();
        self.recovery.image = StoreImage::new();
        // What we knew is gone, and with it the ends that peers need not have named.
        self.membership.forget_complete_ends();
    }

    /// Something suggests that the store has lost data, or that we only have lost track of it: it is
    /// read anew and compared with what was known.
    pub(in crate::coordination) fn suspect_data_loss(&mut self, suspicion: Option<DataLoss>) {
        if !self.recovery.enabled {
            return;
        }
        match self.recovery.phase {
            RecoveryPhase::Following => {}
            // Lost once more, while it is rebuilt: what is to be written back is known still.
            RecoveryPhase::Lost { .. } => {
                self.step_down("the store has changed again");
                return self.reload_store();
            }
            RecoveryPhase::FirstStart { .. } | RecoveryPhase::Verifying { .. } => {
                return self.reload_store()
            }
        }
        if let Some(loss) = &suspicion {
            log::warn!("the store may have lost data: {loss}; holding still");
        }
        self.recovery.confirmed_read_at = self.store.last_read_at();
        self.recovery.history_complete = self.recovery.has_complete_history(self.now.monotonic_ms);
        let known = std::mem::take(&mut self.recovery.image);
        self.step_down("the store may have lost data");
        self.recovery.phase = RecoveryPhase::Verifying { known, suspicion };
        self.reload_store();
    }

    pub(super) fn declare_lost(&mut self, loss: DataLoss, lost: Option<StoreImage>) {
        log::error!("the store has lost data: {loss}; serving nobody until it is rebuilt");
        let holds_something = lost.as_ref().is_some_and(|image| !image.is_empty());
        let wait = if holds_something { REBUILD_STAND_MS } else { REBUILD_STAND_EMPTY_MS };
        self.recovery.losses += 1;
        self.recovery.continuity_proven = false;
        let lost_term = lost.as_ref().map_or(0, StoreImage::term);
        self.recovery.lost_term = lost_term;
        self.recovery.lost = lost;
        self.recovery.reload_at = self.now.monotonic_ms + HOLD_REREAD_MS;
        self.recovery.phase =
            RecoveryPhase::Lost { loss, campaign_at: self.now.monotonic_ms + wait };
    }

    /// Notes a key of the whole store as it is read.
    pub(in crate::coordination) fn record_item(&mut self, item: &KeyValue) {
        if self.recovery.enabled && item.key.starts_with(KEY_FAMILY) {
            self.record_leader_revision(&item.key, item.mod_revision);
            self.recovery.image.put(&item.key, item.mod_revision, item.value.get());
        }
    }

    /// Judges an answer of the store, asked for what came after `since`, before it is put in. False
    /// if it must not be.
    pub(in crate::coordination) fn check_changes(
        &mut self,
        since: u64,
        changes: &WatchResponse,
    ) -> bool {
        if !self.recovery.enabled {
            return true;
        }
        if changes.revision < since {
            let loss = DataLoss::RevisionRegressed { known: since, shown: changes.revision };
            self.suspect_data_loss(Some(loss));
            return false;
        }
        let following = matches!(self.recovery.phase, RecoveryPhase::Following);
        if following && changes.events.iter().any(starts_rebuild) {
            self.suspect_data_loss(Some(DataLoss::RebuildStarted));
            return false;
        }
        for event in changes.events.iter().filter(|event| event.value.is_some()) {
            let key = event.put_key.as_deref().unwrap_or_default();
            self.record_leader_revision(key, event.mod_revision);
        }
        let image = &mut self.recovery.image;
        for event in &changes.events {
            if let (Some(key), Some(data)) = (&event.put_key, &event.value) {
                image.put(key, event.mod_revision, data.get());
            } else if let Some(key) = &event.removed_key {
                image.remove(key, event.mod_revision);
            }
        }
        image.advance(changes.revision);
        true
    }

    /// The whole store has been read.
    pub(in crate::coordination) fn on_listing_complete(&mut self) {
        if !self.recovery.enabled {
            return;
        }
        self.recovery.image.advance(self.store.replica().revision);
        self.recovery.loaded_complete_rebuild = self.rebuild_is_complete();
        if !matches!(self.recovery.phase, RecoveryPhase::Following) {
            return;
        }
        self.recovery.history_complete_from = Some(self.now.monotonic_ms + MEMORY_AGE_MS);
        if let Some(known) = self.recovery.snapshot.take() {
            self.recovery.phase = RecoveryPhase::Verifying { known, suspicion: None };
        } else if self.rebuild_phase() == Some(RebuildPhase::Writing) {
            self.declare_lost(DataLoss::RebuildStarted, None);
        } else if self.store.replica().store.is_none() && self.store.replica().term.is_none() {
            self.recovery.phase =
                RecoveryPhase::FirstStart { since: self.now.monotonic_ms, evidence: None };
        }
    }

    /// While somebody else rebuilds the store it may be lost once more, unseen by us. So it is read anew now and
    /// then until we see it complete.
    pub(super) fn reload_due(&mut self) {
        let now = self.now.monotonic_ms;
        if self.recovery.has_lost_store() && !self.is_rebuilding() && now >= self.recovery.reload_at
        {
            self.recovery.reload_at = now + HOLD_REREAD_MS;
            if self.store_is_reachable() {
                self.reload_store();
            }
        }
    }

    fn record_leader_revision(&mut self, key: &str, mod_revision: u64) {
        if key == leader_key() {
            self.recovery.leader_revisions.entry(mod_revision).or_insert(self.store.epoch());
        }
    }

    /// Whether the leader key has had this stamp before the store was lost. A leader's transactions depend on
    /// it, and one that was held up since would be carried out.
    pub(in crate::coordination) fn leader_revision_was_used(&self, mod_revision: u64) -> bool {
        self.recovery
            .leader_revisions
            .get(&mod_revision)
            .is_some_and(|epoch| *epoch != self.store.epoch())
    }

    fn rebuild_is_complete(&self) -> bool {
        matches!(self.rebuild_phase(), Some(RebuildPhase::Complete | RebuildPhase::Accounted))
    }

    fn rebuild_phase(&self) -> Option<RebuildPhase> {
        self.store.replica().rebuild.as_ref().map(|record| record.value.phase)
    }

    /// A read begun at `begun` is in: what was to be judged by it is judged.
    pub(in crate::coordination) fn on_fresh_read(&mut self, begun: u64) {
        match &self.recovery.phase {
            RecoveryPhase::Following => {}
            RecoveryPhase::Verifying { .. } => self.verify(),
            RecoveryPhase::FirstStart { evidence, .. } => {
                let heard = evidence.as_ref().filter(|(_, at)| begun > *at);
                let heard = heard.map(|(evidence, _)| evidence.clone());
                if self.store.replica().store.is_some() {
                    self.recovery.phase = RecoveryPhase::Following;
                    self.recovery.history_complete_from = Some(self.now.monotonic_ms);
                } else if let Some(evidence) = heard {
                    self.declare_lost(DataLoss::EmptyAfterUse { evidence }, None);
                }
            }
            RecoveryPhase::Lost { .. } => self.end_hold_if_rebuilt(),
        }
    }

    fn verify(&mut self) {
        let RecoveryPhase::Verifying { known, suspicion } =
            std::mem::replace(&mut self.recovery.phase, RecoveryPhase::Following)
        else {
            return;
        };
        let rebuilding = self.rebuild_phase() == Some(RebuildPhase::Writing);
        let verdict = match rebuilding {
            true => Err(DataLoss::RebuildStarted),
            false => audit(&known, &self.recovery.image),
        };
        match verdict {
            Ok(()) => {
                self.recovery.continuity_proven = true;
                if let Some(loss) = suspicion {
                    log::info!("the store is as it was after all: {loss} was suspected");
                }
                self.recovery.confirmed_read_at = None;
            }
            Err(loss) => {
                self.declare_lost(loss, Some(known));
                self.end_hold_if_rebuilt();
            }
        }
    }

    /// Goes on once the store is rebuilt: its records are complete, and the rebuild has taken a term above
    /// all that we know of the lost store. A backup may hold an earlier rebuild.
    pub(super) fn end_hold_if_rebuilt(&mut self) {
        let term = self.store.replica().rebuild.as_ref().map_or(0, |record| record.value.term);
        if self.rebuild_phase() == Some(RebuildPhase::Writing) {
            // Whoever completes it does so in this term or a later one; a backup of before does not count.
            self.recovery.lost_term = self.recovery.lost_term.max(term.saturating_sub(1));
        }
        let later = term > self.recovery.lost_term;
        if !self.recovery.has_lost_store() || !self.rebuild_is_complete() || !later {
            return;
        }
        if !self.is_rebuilding() && !self.recovery.loaded_complete_rebuild {
            // What was read in pieces while others wrote may hold what a further loss has undone.
            return self.reload_store();
        }
        log::info!("the store is rebuilt: {} jobs", self.store.replica().jobs.len());
        self.recovery.phase = RecoveryPhase::Following;
        self.recovery.continuity_proven = true;
        self.recovery.history_complete_from = Some(self.now.monotonic_ms);
        self.recovery.lost = None;
        self.recovery.confirmed_read_at = None;
        self.recovery.rebuild = None;
        // Whoever wrote it back leads from here on, and builds on what is there now.
        self.request_leader_read();
    }

    // --- a leader key that should be gone -------------------------------------------

    /// The store has said that the lease of the leader key is over, so the key should go.
    pub(in crate::coordination) fn suspect_stale_leader_key(&mut self) {
        self.recovery.stale_leader_check_at = Some(self.now.monotonic_ms + LEASE_OVER_DOUBT_MS);
        self.recovery.stale_leader_check_paused_until = self.now.monotonic_ms;
    }

    /// A store that was set back without falling behind does not tell that the leader key is gone:
    /// nobody would ever lead again. Where nobody is heard to lead for long the store is read anew.
    pub(super) fn check_stale_leader_key(&mut self) {
        let now = self.now.monotonic_ms;
        let looks =
            matches!(self.recovery.phase, RecoveryPhase::Following | RecoveryPhase::Lost { .. });
        let named = self.store.replica().leader.as_ref().map(|leader| &leader.value);
        let leads = |label: &str| match label == self.settings.label {
            true => self.leader.is_some(),
            false => self
                .membership
                .fresh_gossip(self.now.monotonic_ms)
                .any(|g| g.leads && g.label == label),
        };
        let doubtful = named.is_some_and(|leader| !leads(&leader.label));
        if !looks || !doubtful || now < self.recovery.stale_leader_check_paused_until {
            self.recovery.stale_leader_check_at = None;
            return;
        }
        let at = *self.recovery.stale_leader_check_at.get_or_insert(now + LEADER_DOUBT_MS);
        if now >= at && self.store_is_reachable() {
            log::info!("nobody is heard to lead, reading the store anew");
            self.recovery.stale_leader_check_at = None;
            self.recovery.stale_leader_check_paused_until = now + DOUBT_REST_MS;
            self.suspect_data_loss(None);
        }
    }

    // --- what workers run that no record explains -----------------------------------

    /// A worker that has our token runs a task that no placement names. What runs was stored before it
    /// was ordered, and is taken out only once it is proved gone: the store was set back, and all
    /// controllers have started since.
    pub(in crate::coordination) fn on_unrecorded_task(&mut self, machine: &str, task: &str) {
        if !self.recovery.enabled || self.recovery.is_suspended() {
            return;
        }
        let (machine, task) = (machine.to_string(), task.to_string());
        self.declare_lost_and_reload(DataLoss::UnrecordedTask { machine, task });
        self.recovery.confirmed_read_at = None;
        self.recovery.history_complete = false;
    }

    /// The store that we follow has lost data, though nothing that we read ourselves shows it.
    pub(super) fn declare_lost_and_reload(&mut self, loss: DataLoss) {
        self.step_down("the store has lost data");
        self.recovery.confirmed_read_at = self.store.last_read_at();
        self.recovery.history_complete = self.recovery.has_complete_history(self.now.monotonic_ms);
        let image = std::mem::take(&mut self.recovery.image);
        self.declare_lost(loss, Some(image));
        self.reload_store();
    }
}
