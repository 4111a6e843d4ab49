//! The state of data loss detection and recovery: whether the store is trusted, its image, and the
//! rebuild that this controller runs.
//!
//! [`Recovery`] owns this state and changes it only in its methods. It does no I/O and reads no clock:
//! times are passed in, and the rest of the controller acts on what its methods return. All times are
//! in milliseconds of the monotonic clock.

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

/// A controller's state for detecting data loss in the store and for rebuilding it.
#[derive(Debug)]
pub(in crate::coordination) struct Recovery {
    /// Whether data loss is detected at all.
    enabled: bool,
    gap_policy: GapPolicy,
    phase: RecoveryPhase,
    /// The image of the store that is read now.
    image: StoreImage,
    /// Our image of the lost store, if we have one.
    lost_image: Option<StoreImage>,
    /// Highest term known to have been used in the lost store.
    lost_term: u64,
    /// Whether our history was complete when the loss was suspected, that is, reached back to before the
    /// loss without a gap.
    history_complete: bool,
    /// From when on our history counts as complete.
    history_complete_from: Option<u64>,
    /// The newest snapshot of an earlier process, until the store is compared with it.
    earlier_snapshot: Option<StoreImage>,
    /// The result of the last snapshot that this process wrote.
    snapshot_status: Option<SnapshotStatus>,
    /// When the last read before the suspected loss was sent. Up to that time we know all ended jobs that a
    /// user can have been told of.
    confirmed_read_at: Option<u64>,
    /// The rebuild that this controller runs.
    rebuild: Option<Rebuild>,
    /// Whether a rebuild was already complete when the store was last listed.
    loaded_complete_rebuild: bool,
    /// When the store is next listed again while another controller rebuilds it.
    reload_at: u64,
    /// Revisions that the leader key has had, with the epoch of the store in which each was first seen.
    leader_revisions: BTreeMap<u64, u32>,
    /// Whether an update of the rebuild's phase was sent and is not answered yet.
    phase_update_sent: bool,
    /// Whether the store is proven not to have lost data while all controllers were restarted. The proof is
    /// that this process or a peer followed the store throughout, that the store matches a snapshot, or that
    /// all machines are reconciled.
    continuity_proven: bool,
    stale_leader: StaleLeaderCheck,
    /// Whether starts were blocked at the last check.
    starts_were_blocked: bool,
    /// Number of data losses detected by this process.
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

    // --- queries for other modules ----------------------------------------------------

    /// Whether data loss is detected at all. If not, the store is always trusted.
    pub(in crate::coordination) fn is_enabled(&self) -> bool {
        self.enabled
    }

    /// Whether the service is suspended because the store is not trusted.
    pub(in crate::coordination) fn is_suspended(&self) -> bool {
        !self.is_following()
    }

    /// The highest term known to have been used in the lost store, while the store is lost.
    pub(in crate::coordination) fn lost_term(&self) -> Option<u64> {
        self.has_lost_store().then_some(self.lost_term)
    }

    /// What gossip tells peers: the identity of the store and the recovery state.
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

    /// Enters the phase `FirstStart`: the store is empty, and it is not known yet whether it is new.
    pub(super) fn begin_first_start(&mut self, now: u64) {
        self.phase = RecoveryPhase::FirstStart { since: now, evidence: None };
    }

    /// Records evidence of an earlier store. Only the first evidence is kept, and only in the phase
    /// `FirstStart`.
    pub(super) fn add_evidence(&mut self, now: u64, description: impl Fn() -> String) {
        if let RecoveryPhase::FirstStart { evidence, .. } = &mut self.phase {
            evidence.get_or_insert_with(|| EarlierStoreEvidence {
                description: description(),
                heard_at: now,
            });
        }
    }

    /// Enters the phase `Verifying`: the store that is read now is to be compared with `known`.
    pub(super) fn begin_verifying(&mut self, known: StoreImage, suspicion: Option<DataLoss>) {
        self.phase = RecoveryPhase::Verifying { known, suspicion };
    }

    /// Enters the phase `Verifying` with the snapshot of an earlier process. False if there is none.
    pub(super) fn begin_verifying_snapshot(&mut self) -> bool {
        let snapshot = self.earlier_snapshot.take();
        let found = snapshot.is_some();
        if let Some(known) = snapshot {
            self.begin_verifying(known, None);
        }
        found
    }

    /// Ends the phase `Verifying`; returns the known image and the suspected loss. None in other phases.
    pub(super) fn take_verification(&mut self) -> Option<(StoreImage, Option<DataLoss>)> {
        match std::mem::replace(&mut self.phase, RecoveryPhase::Following) {
            RecoveryPhase::Verifying { known, suspicion } => Some((known, suspicion)),
            other => {
                self.phase = other;
                None
            }
        }
    }

    /// The store matches the known image: no data was lost.
    pub(super) fn confirm_store(&mut self) {
        self.continuity_proven = true;
        self.confirmed_read_at = None;
    }

    /// Records a proof that the store lost no data while all controllers were restarted.
    pub(super) fn mark_continuity_proven(&mut self) {
        self.continuity_proven = true;
    }

    pub(super) fn is_continuity_proven(&self) -> bool {
        self.continuity_proven
    }

    /// Trusts the store that is read now. Its whole history is known.
    pub(super) fn follow_store(&mut self, now: u64) {
        self.phase = RecoveryPhase::Following;
        self.history_complete_from = Some(now);
    }

    /// Trusts a new or rebuilt store, and drops the state that was kept of a lost one.
    pub(super) fn follow_new_store(&mut self, now: u64) {
        self.follow_store(now);
        self.continuity_proven = true;
        self.lost_image = None;
        self.confirmed_read_at = None;
        self.rebuild = None;
    }

    /// Enters the phase `Lost`. `lost_image` is our image of the store from before the loss, if we have one.
    pub(super) fn declare_lost(
        &mut self,
        loss: DataLoss,
        lost_image: Option<StoreImage>,
        now: u64,
    ) {
        log::error!(
            "data loss detected: {loss}; no requests are served until the store is rebuilt"
        );
        let has_lost_image = lost_image.as_ref().is_some_and(|image| !image.is_empty());
        let delay_ms = if has_lost_image {
            REBUILD_CAMPAIGN_DELAY_MS
        } else {
            REBUILD_CAMPAIGN_DELAY_EMPTY_MS
        };
        self.losses += 1;
        self.continuity_proven = false;
        self.lost_term = lost_image.as_ref().map_or(0, StoreImage::term);
        self.lost_image = lost_image;
        self.reload_at = now + LOST_STORE_RELOAD_MS;
        self.phase = RecoveryPhase::Lost { loss, campaign_at: now + delay_ms };
    }

    /// The store contains an unfinished rebuild of this term. Only the completion of a rebuild of this or a
    /// later term ends the loss; an earlier rebuild that a restored backup contains does not.
    pub(super) fn observe_unfinished_rebuild(&mut self, term: u64) {
        self.lost_term = self.lost_term.max(term.saturating_sub(1));
    }

    /// Whether a rebuild of this term is later than all that we know of the lost store. A restored backup
    /// may contain an earlier rebuild.
    pub(super) fn is_rebuild_after_loss(&self, term: u64) -> bool {
        term > self.lost_term
    }

    /// Whether it is time to list the lost store again, to see if another controller has rebuilt it. If so,
    /// schedules the next time.
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

    // --- the image and the history ------------------------------------------------------

    /// The image of the store that is read now.
    pub(super) fn image(&self) -> &StoreImage {
        &self.image
    }

    pub(in crate::coordination) fn clear_image(&mut self) {
        self.image = StoreImage::new();
    }

    /// Takes the image out when a loss is suspected or detected, and records whether our history is complete
    /// at this point. `read_at` is when the last fresh read that updated the image was sent.
    pub(super) fn freeze_image(&mut self, read_at: Option<u64>, now: u64) -> StoreImage {
        self.confirmed_read_at = read_at;
        self.history_complete = self.has_complete_history(now);
        std::mem::take(&mut self.image)
    }

    /// Our image does not contain a task that a worker runs, so neither its history nor its ended jobs count
    /// as complete.
    pub(super) fn mark_history_incomplete(&mut self) {
        self.confirmed_read_at = None;
        self.history_complete = false;
    }

    /// Adds a key and its value to the image.
    pub(super) fn record_value(&mut self, key: &str, mod_revision: u64, data: &str, epoch: u32) {
        self.record_leader_revision(key, mod_revision, epoch);
        self.image.put(key, mod_revision, data);
    }

    /// Applies all changes up to a revision to the image.
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

    /// Applies a confirmed transaction of our own to the image, ahead of the watch.
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

    /// The store has been listed up to a revision.
    pub(super) fn complete_image(&mut self, revision: u64, rebuild_complete: bool) {
        self.image.advance(revision);
        self.loaded_complete_rebuild = rebuild_complete;
    }

    /// Whether a rebuild was already complete when the store was last listed.
    pub(super) fn has_loaded_complete_rebuild(&self) -> bool {
        self.loaded_complete_rebuild
    }

    fn record_leader_revision(&mut self, key: &str, mod_revision: u64, epoch: u32) {
        if key == leader_key() {
            self.leader_revisions.entry(mod_revision).or_insert(epoch);
        }
    }

    /// Whether the leader key was first seen with this revision in an epoch other than `epoch`.
    pub(super) fn leader_revision_seen_before(&self, mod_revision: u64, epoch: u32) -> bool {
        self.leader_revisions.get(&mod_revision).is_some_and(|seen_in| *seen_in != epoch)
    }

    /// Our history restarts now: it counts as complete only after [`COMPLETE_HISTORY_AGE_MS`].
    pub(super) fn restart_history(&mut self, now: u64) {
        self.history_complete_from = Some(now + COMPLETE_HISTORY_AGE_MS);
    }

    /// Whether our history reaches back to before a loss that is detected now. A loss can go undetected for
    /// a while, and a process that started in that time has only read what was left.
    fn has_complete_history(&self, now: u64) -> bool {
        self.continuity_proven && self.history_complete_from.is_some_and(|from| now >= from)
    }

    /// Whether the time from which our history counts as complete is `duration_ms` ago or more.
    pub(super) fn has_followed_for(&self, duration_ms: u64, now: u64) -> bool {
        self.history_complete_from.is_some_and(|from| now >= from + duration_ms)
    }

    /// Whether our history was complete when the loss was suspected.
    pub(super) fn was_history_complete(&self) -> bool {
        self.history_complete
    }

    /// When the last read before the suspected loss was sent. Up to that time we know all ended jobs that a
    /// user can have been told of.
    pub(super) fn confirmed_read_at(&self) -> Option<u64> {
        self.confirmed_read_at
    }

    /// Our image of a store that has lost data or is suspected to. The image does not change while the
    /// service is suspended.
    pub(super) fn held_image(&self) -> Option<&StoreImage> {
        match &self.phase {
            RecoveryPhase::Verifying { known, .. } => Some(known),
            RecoveryPhase::Lost { .. } => self.lost_image.as_ref(),
            RecoveryPhase::Following | RecoveryPhase::FirstStart { .. } => None,
        }
    }

    /// Our image of the lost store, if we have one.
    pub(super) fn lost_image(&self) -> Option<&StoreImage> {
        self.lost_image.as_ref()
    }

    pub(super) fn set_lost_image(&mut self, image: Option<StoreImage>) {
        self.lost_image = image;
    }

    /// The identity of the store that this controller reads or, during a loss, of the store before it.
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

    /// Leadership is lost, so this controller's rebuild ends. Its next campaign is delayed, so that another
    /// controller can take over the rebuild first.
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

    /// Whether an update of the rebuild's phase was sent and is not answered yet.
    pub(super) fn is_phase_update_sent(&self) -> bool {
        self.phase_update_sent
    }

    pub(super) fn set_phase_update_sent(&mut self, sent: bool) {
        self.phase_update_sent = sent;
    }

    /// Records whether starts are blocked now. Returns whether they were blocked and no longer are.
    pub(super) fn update_starts_blocked(&mut self, blocked: bool) -> bool {
        let were_blocked = std::mem::replace(&mut self.starts_were_blocked, blocked);
        were_blocked && !blocked
    }

    // --- the stale leader key ----------------------------------------------------------

    pub(super) fn stale_leader(&self) -> &StaleLeaderCheck {
        &self.stale_leader
    }

    pub(super) fn stale_leader_mut(&mut self) -> &mut StaleLeaderCheck {
        &mut self.stale_leader
    }
}

#[cfg(test)]
mod tests;
