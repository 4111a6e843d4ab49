//! The state of failure detection and recovery: whether the store is trusted, the image of it, and
//! the rebuild that this controller does.
//!
//! [`Recovery`] owns all of it and changes it only by its methods. It neither reads the clock nor
//! sends anything: times are passed in, and the rest of the controller acts on what it answers.

use super::phase::{EarlierStoreEvidence, RecoveryPhase};
use super::rebuild::Rebuild;
use super::stale_leader::StaleLeaderCheck;
use crate::constants::{
    COMPLETE_HISTORY_AGE_MS, LOST_STORE_RELOAD_MS, REBUILD_CAMPAIGN_DELAY_EMPTY_MS,
    REBUILD_CAMPAIGN_DELAY_MS,
};
use crate::protocol::peers::RecoveryState;
use crate::protocol::state::{Mutation, Transaction, WatchResponse};
use crate::settings::{GapPolicy, RecoverySettings};
use crate::snapshots::SnapshotStatus;
use crate::storage::records::leader_key;
use mountgap_recovery::audit::DataLoss;
use mountgap_recovery::image::{StoreId, StoreImage};
use std::collections::BTreeMap;

/// A controller's part in noticing losses of the store and in rebuilding it.
#[derive(Debug)]
pub(in crate::coordination) struct Recovery {
    enabled: bool,
    gap_policy: GapPolicy,
    phase: RecoveryPhase,
    /// The store as it is read now.
    image: StoreImage,
    /// What we hold of the lost store.
    lost_image: Option<StoreImage>,
    /// Highest term known of the lost store.
    lost_term: u64,
    /// What we knew reaches back to before the loss without a gap, as of the loss.
    history_complete: bool,
    /// From when on what we know reaches back to before any loss that shows.
    history_complete_from: Option<u64>,
    /// The last snapshot of an earlier process, until the store was compared with it.
    earlier_snapshot: Option<StoreImage>,
    /// The last snapshot of this process.
    snapshot_status: Option<SnapshotStatus>,
    /// The time before which nobody was told of an end that we don't know, as of the loss.
    confirmed_read_at: Option<u64>,
    /// The rebuild that this controller does.
    rebuild: Option<Rebuild>,
    /// A rebuild was complete already when the store was last read as a whole.
    loaded_complete_rebuild: bool,
    /// When the store is read anew while another controller rebuilds it.
    reload_at: u64,
    /// Revisions that the leader key has had, with the epoch in which each was first seen.
    leader_revisions: BTreeMap<u64, u32>,
    /// A change of the rebuild's phase was sent and is not answered yet.
    phase_update_sent: bool,
    /// The store is known to have gone on since before the last start of all controllers: this process or a
    /// peer, a snapshot or a look at every machine proves it.
    continuity_proven: bool,
    stale_leader: StaleLeaderCheck,
    /// Starts were blocked when that was last looked at.
    starts_were_blocked: bool,
    /// Losses seen.
    losses: u64,
}

impl Recovery {
    pub(in crate::coordination) fn new(settings: &RecoverySettings) -> Recovery {
        Recovery {
            enabled: settings.enabled,
            gap_policy: settings.gap_policy,
            phase: RecoveryPhase::Following,
            image: StoreImage::new(),
            lost_image: None,
            lost_term: 0,
            history_complete: false,
            history_complete_from: None,
            earlier_snapshot: None,
            snapshot_status: None,
            confirmed_read_at: None,
            rebuild: None,
            loaded_complete_rebuild: false,
            reload_at: 0,
            leader_revisions: BTreeMap::new(),
            phase_update_sent: false,
            continuity_proven: false,
            stale_leader: StaleLeaderCheck::default(),
            starts_were_blocked: false,
            losses: 0,
        }
    }

    // --- what other parts ask ---------------------------------------------------------

    /// Whether losses are noticed at all.
    pub(in crate::coordination) fn notices_losses(&self) -> bool {
        self.enabled
    }

    /// Whether the store is not trusted: nothing is served, accepted or started.
    pub(in crate::coordination) fn is_suspended(&self) -> bool {
        !self.is_following()
    }

    /// The highest term known of the lost store, while it is lost.
    pub(in crate::coordination) fn lost_term(&self) -> Option<u64> {
        self.has_lost_store().then_some(self.lost_term)
    }

    /// What peers are told of the store: its identity, and whether it is lost.
    pub(in crate::coordination) fn peer_view(&self) -> (Option<u64>, Option<RecoveryState>) {
        if !self.enabled {
            return (None, None);
        }
        let state = match self.phase {
            RecoveryPhase::Following if !self.continuity_proven => RecoveryState::Unproven,
            RecoveryPhase::Following => RecoveryState::Following,
            RecoveryPhase::FirstStart { .. } | RecoveryPhase::Verifying { .. } => {
                RecoveryState::Undecided
            }
            RecoveryPhase::Lost { .. } => RecoveryState::Lost,
        };
        (self.identity().map(|id| id.0), Some(state))
    }

    // --- the phase ----------------------------------------------------------------------

    pub(super) fn phase(&self) -> &RecoveryPhase {
        &self.phase
    }

    pub(super) fn is_following(&self) -> bool {
        matches!(self.phase, RecoveryPhase::Following)
    }

    pub(super) fn has_lost_store(&self) -> bool {
        matches!(self.phase, RecoveryPhase::Lost { .. })
    }

    /// The store is empty; whether it is a new one has to be found out.
    pub(super) fn begin_first_start(&mut self, now: u64) {
        self.phase = RecoveryPhase::FirstStart { since: now, evidence: None };
    }

    /// Notes that somebody knows of an earlier store, unless that was heard before or does not
    /// matter any more.
    pub(super) fn add_evidence(&mut self, now: u64, description: impl Fn() -> String) {
        if let RecoveryPhase::FirstStart { evidence, .. } = &mut self.phase {
            evidence.get_or_insert_with(|| EarlierStoreEvidence {
                description: description(),
                heard_at: now,
            });
        }
    }

    /// The store that is read now is the one to be compared with what was known.
    pub(super) fn begin_verifying(&mut self, known: StoreImage, suspicion: Option<DataLoss>) {
        self.phase = RecoveryPhase::Verifying { known, suspicion };
    }

    /// The snapshot of an earlier process is what the store is compared with first, if there is one.
    pub(super) fn begin_verifying_snapshot(&mut self) -> bool {
        let snapshot = self.earlier_snapshot.take();
        let found = snapshot.is_some();
        if let Some(known) = snapshot {
            self.begin_verifying(known, None);
        }
        found
    }

    /// What the store is compared with, and what suggested the loss; ends the verification.
    pub(super) fn take_verification(&mut self) -> Option<(StoreImage, Option<DataLoss>)> {
        match std::mem::replace(&mut self.phase, RecoveryPhase::Following) {
            RecoveryPhase::Verifying { known, suspicion } => Some((known, suspicion)),
            other => {
                self.phase = other;
                None
            }
        }
    }

    /// The store is as it was known.
    pub(super) fn confirm_store(&mut self) {
        self.continuity_proven = true;
        self.confirmed_read_at = None;
    }

    /// Something vouches for the store since before the last start of all controllers.
    pub(super) fn prove_continuity(&mut self) {
        self.continuity_proven = true;
    }

    pub(super) fn is_continuity_proven(&self) -> bool {
        self.continuity_proven
    }

    /// The store that is read now is followed, and all of its history is known.
    pub(super) fn follow_store(&mut self, now: u64) {
        self.phase = RecoveryPhase::Following;
        self.history_complete_from = Some(now);
    }

    /// The same for a store that is new or rebuilt: what came before it matters no more.
    pub(super) fn follow_new_store(&mut self, now: u64) {
        self.follow_store(now);
        self.continuity_proven = true;
        self.lost_image = None;
        self.confirmed_read_at = None;
        self.rebuild = None;
    }

    /// The store has lost data. `lost_image` is what we hold of it as it was.
    pub(super) fn declare_lost(
        &mut self,
        loss: DataLoss,
        lost_image: Option<StoreImage>,
        now: u64,
    ) {
        log::error!("the store has lost data: {loss}; serving nobody until it is rebuilt");
        let holds_something = lost_image.as_ref().is_some_and(|image| !image.is_empty());
        let wait = if holds_something {
            REBUILD_CAMPAIGN_DELAY_MS
        } else {
            REBUILD_CAMPAIGN_DELAY_EMPTY_MS
        };
        self.losses += 1;
        self.continuity_proven = false;
        self.lost_term = lost_image.as_ref().map_or(0, StoreImage::term);
        self.lost_image = lost_image;
        self.reload_at = now + LOST_STORE_RELOAD_MS;
        self.phase = RecoveryPhase::Lost { loss, campaign_at: now + wait };
    }

    /// An unfinished rebuild of this term is in the store: only one of this term or a later one
    /// counts as complete, while a backup of before it does not.
    pub(super) fn observe_unfinished_rebuild(&mut self, term: u64) {
        self.lost_term = self.lost_term.max(term.saturating_sub(1));
    }

    /// Whether a rebuild of this term came after all that we know of the lost store. A backup may
    /// hold an earlier one.
    pub(super) fn is_rebuild_after_loss(&self, term: u64) -> bool {
        term > self.lost_term
    }

    /// Whether the store is to be read anew, since another controller rebuilds it; sets the next time.
    pub(super) fn take_due_reload(&mut self, now: u64) -> bool {
        let due = self.has_lost_store() && now >= self.reload_at;
        if due {
            self.reload_at = now + LOST_STORE_RELOAD_MS;
        }
        due
    }

    pub(super) fn losses(&self) -> u64 {
        self.losses
    }

    // --- the image and what it proves ---------------------------------------------------

    /// The store as it is read now.
    pub(super) fn image(&self) -> &StoreImage {
        &self.image
    }

    pub(in crate::coordination) fn clear_image(&mut self) {
        self.image = StoreImage::new();
    }

    /// Takes the image out as what was known at the moment of a suspected or certain loss, with how
    /// far it reaches. `read_at` is the begin of the last read that brought it up to date.
    pub(super) fn freeze_image(&mut self, read_at: Option<u64>, now: u64) -> StoreImage {
        self.confirmed_read_at = read_at;
        self.history_complete = self.has_complete_history(now);
        std::mem::take(&mut self.image)
    }

    /// What we knew at the loss does not explain what the workers run: neither ends nor anything
    /// else of it counts as complete.
    pub(super) fn discard_history(&mut self) {
        self.confirmed_read_at = None;
        self.history_complete = false;
    }

    /// Puts in a key of the whole store as it is read.
    pub(super) fn record_value(&mut self, key: &str, mod_revision: u64, data: &str, epoch: u32) {
        self.record_leader_revision(key, mod_revision, epoch);
        self.image.put(key, mod_revision, data);
    }

    /// Puts in all changes up to a revision.
    pub(super) fn record_changes(&mut self, changes: &WatchResponse, epoch: u32) {
        for event in &changes.events {
            if let (Some(key), Some(data)) = (&event.put_key, &event.value) {
                self.record_value(key, event.mod_revision, data.get(), epoch);
            } else if let Some(key) = &event.removed_key {
                self.image.remove(key, event.mod_revision);
            }
        }
        self.image.advance(changes.revision);
    }

    /// Puts in a transaction of ours that was confirmed, ahead of the watch.
    pub(super) fn record_transaction(&mut self, transaction: &Transaction, revision: u64) {
        if !self.enabled {
            return;
        }
        for write in &transaction.writes {
            match write {
                Mutation::Put { key, value, .. } => self.image.put(key, revision, value.get()),
                Mutation::Remove { key } => self.image.remove(key, revision),
            }
        }
    }

    /// The whole store has been read up to a revision.
    pub(super) fn complete_image(&mut self, revision: u64, rebuild_complete: bool) {
        self.image.advance(revision);
        self.loaded_complete_rebuild = rebuild_complete;
    }

    /// Whether a rebuild was complete already when the store was last read as a whole.
    pub(super) fn has_loaded_complete_rebuild(&self) -> bool {
        self.loaded_complete_rebuild
    }

    fn record_leader_revision(&mut self, key: &str, mod_revision: u64, epoch: u32) {
        if key == leader_key() {
            self.leader_revisions.entry(mod_revision).or_insert(epoch);
        }
    }

    /// Whether the leader key has had this revision in an earlier epoch than the present one.
    pub(super) fn leader_revision_seen_before(&self, mod_revision: u64, epoch: u32) -> bool {
        self.leader_revisions.get(&mod_revision).is_some_and(|seen_in| *seen_in != epoch)
    }

    /// What we know counts as complete only after the store was read for long enough.
    pub(super) fn restart_history(&mut self, now: u64) {
        self.history_complete_from = Some(now + COMPLETE_HISTORY_AGE_MS);
    }

    /// Whether what we know reaches back to before a loss that shows now. One may go unnoticed for a while, and
    /// a process that began in that while has only read what was left.
    fn has_complete_history(&self, now: u64) -> bool {
        self.continuity_proven && self.history_complete_from.is_some_and(|from| now >= from)
    }

    /// Whether the history has counted as complete for so many milliseconds.
    pub(super) fn has_followed_for(&self, duration_ms: u64, now: u64) -> bool {
        self.history_complete_from.is_some_and(|from| now >= from + duration_ms)
    }

    /// Whether what we knew at the loss reached back to before it.
    pub(super) fn was_history_complete(&self) -> bool {
        self.history_complete
    }

    /// The time before which nobody was told of an end that we don't know, as of the loss.
    pub(super) fn confirmed_read_at(&self) -> Option<u64> {
        self.confirmed_read_at
    }

    /// What is held of a store that is lost, or may be: it does not change while the service is
    /// suspended.
    pub(super) fn held_image(&self) -> Option<&StoreImage> {
        match &self.phase {
            RecoveryPhase::Verifying { known, .. } => Some(known),
            RecoveryPhase::Lost { .. } => self.lost_image.as_ref(),
            RecoveryPhase::Following | RecoveryPhase::FirstStart { .. } => None,
        }
    }

    /// What is held of the lost store.
    pub(super) fn lost_image(&self) -> Option<&StoreImage> {
        self.lost_image.as_ref()
    }

    pub(super) fn set_lost_image(&mut self, image: Option<StoreImage>) {
        self.lost_image = image;
    }

    /// The store that this controller reads, or has read before a loss.
    pub(super) fn identity(&self) -> Option<StoreId> {
        self.held_image().unwrap_or(&self.image).identity()
    }

    // --- snapshots ----------------------------------------------------------------------

    pub(super) fn set_earlier_snapshot(&mut self, image: StoreImage) {
        if self.enabled {
            self.earlier_snapshot = Some(image);
        }
    }

    pub(super) fn set_snapshot_status(&mut self, status: SnapshotStatus) {
        self.snapshot_status = Some(status);
    }

    pub(super) fn snapshot_status(&self) -> Option<&SnapshotStatus> {
        self.snapshot_status.as_ref()
    }

    // --- the rebuild --------------------------------------------------------------------

    pub(super) fn rebuild(&self) -> Option<&Rebuild> {
        self.rebuild.as_ref()
    }

    pub(super) fn rebuild_mut(&mut self) -> Option<&mut Rebuild> {
        self.rebuild.as_mut()
    }

    pub(super) fn start_rebuild(&mut self, rebuild: Rebuild) {
        self.rebuild = Some(rebuild);
    }

    /// The lead is lost: a rebuild ends here, and others may stand to go on with it first.
    pub(super) fn abandon_rebuild(&mut self, now: u64) {
        self.phase_update_sent = false;
        if self.rebuild.take().is_none() {
            return;
        }
        if let RecoveryPhase::Lost { campaign_at, .. } = &mut self.phase {
            *campaign_at = now + REBUILD_CAMPAIGN_DELAY_MS;
        }
    }

    pub(super) fn gap_policy(&self) -> GapPolicy {
        self.gap_policy
    }

    /// Whether a change of the rebuild's phase was sent and is not answered yet.
    pub(super) fn is_phase_update_sent(&self) -> bool {
        self.phase_update_sent
    }

    pub(super) fn set_phase_update_sent(&mut self, sent: bool) {
        self.phase_update_sent = sent;
    }

    /// Whether starts are allowed again since this was last asked.
    pub(super) fn update_starts_blocked(&mut self, blocked: bool) -> bool {
        let were_blocked = std::mem::replace(&mut self.starts_were_blocked, blocked);
        were_blocked && !blocked
    }

    // --- a leader key that should be gone -------------------------------------------------

    pub(super) fn stale_leader(&self) -> &StaleLeaderCheck {
        &self.stale_leader
    }

    pub(super) fn stale_leader_mut(&mut self) -> &mut StaleLeaderCheck {
        &mut self.stale_leader
    }
}

#[cfg(test)]
mod tests;
