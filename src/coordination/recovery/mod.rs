//! Losing the state service's data, noticing it, and rebuilding it.
//!
//! While nothing is lost a controller keeps an image of the store beside its copy. From a suspicion
//! until the store is rebuilt it holds still: nothing is accepted, started, settled, returned or
//! called unknown. `docs/recovery-design.md` says why.
//!
//! * [`loss_detection`] notices a loss and tells it from what looks like one;
//! * [`first_start`] judges what peers and workers say of the store;
//! * [`election`] chooses the controller that writes the store back;
//! * [`image_transfer`] passes images between controllers;
//! * [`rebuild`] writes the store back;
//! * [`reconciliation`] holds starts until every machine is accounted for;
//! * [`decisions`] takes what operators decide afterwards, [`report`] is what they are told.

mod decisions;
mod election;
mod first_start;
mod image_transfer;
mod loss_detection;
mod rebuild;
mod reconciliation;
mod report;

pub(super) use decisions::DecisionCall;
pub(super) use rebuild::RebuildCall;
pub use report::RecoveryView;

use super::store_client::ReadPoint;
use super::Controller;
use crate::protocol::peers::RecoveryState;
use crate::protocol::state::{Condition, Mutation, Transaction};
use crate::settings::GapPolicy;
use crate::snapshots::SnapshotStatus;
use crate::storage::records::RebuildPhase;
use mountgap_records::constants::REBUILD_KEY;
use mountgap_recovery::audit::DataLoss;
use mountgap_recovery::image::{StoreId, StoreImage};
use rebuild::Rebuild;
use std::collections::BTreeMap;

/// What a controller believes of the store.
#[derive(Debug)]
enum RecoveryPhase {
    /// It goes on from where it was.
    Following,
    /// This controller has just started, and the store is empty.
    FirstStart {
        /// When that was seen.
        since: u64,
        /// Who knows of an earlier store, and when we heard of it.
        evidence: Option<(String, u64)>,
    },
    /// Something suggests a loss: the store is read anew and compared with what was known.
    Verifying {
        /// What was known.
        known: StoreImage,
        /// What suggests it; none where we are only too far behind.
        suspicion: Option<DataLoss>,
    },
    /// It has lost data, and is to be rebuilt.
    Lost {
        /// What shows it.
        loss: DataLoss,
        /// When this controller may stand to rebuild it.
        campaign_at: u64,
    },
}

/// A controller's part in noticing and mending losses.
#[derive(Debug)]
pub(super) struct Recovery {
    enabled: bool,
    gap_policy: GapPolicy,
    phase: RecoveryPhase,
    /// The store as it is read now.
    image: StoreImage,
    /// What we hold of the lost store.
    lost: Option<StoreImage>,
    /// Highest term known of the lost store.
    lost_term: u64,
    /// Our memory reaches back to before the loss.
    history_complete: bool,
    /// From when on our memory reaches back to before any loss that shows.
    history_complete_from: Option<u64>,
    /// The last snapshot of an earlier life, until the store was compared with it.
    snapshot: Option<StoreImage>,
    /// The last snapshot of this life.
    snapshot_status: Option<SnapshotStatus>,
    /// The time before which nobody was told of an end that we don't know, as of the loss.
    confirmed_read_at: Option<u64>,
    /// The rebuild that this controller does.
    rebuild: Option<Rebuild>,
    /// The store was complete already when it was last read as a whole.
    loaded_complete_rebuild: bool,
    /// When the store is read anew while we hold still.
    reload_at: u64,
    /// Stamps that the leader key has had, with the read of the store in which each was first seen.
    leader_revisions: BTreeMap<u64, u32>,
    /// A change of the phase of the rebuild is on its way.
    phase_update_sent: bool,
    /// The store is known to have gone on since before the last start of all controllers: this life or a
    /// peer's, a snapshot or a look at every machine vouches for it.
    continuity_proven: bool,
    /// When the store is read anew unless somebody is heard to lead until then.
    stale_leader_check_at: Option<u64>,
    /// Until when it is not, whoever leads.
    stale_leader_check_paused_until: u64,
    /// Starts were held when that was last looked at.
    starts_were_blocked: bool,
    /// Losses seen.
    losses: u64,
}

impl Recovery {
    pub(super) fn new(settings: &crate::settings::RecoverySettings) -> Recovery {
        Recovery {
            enabled: settings.enabled,
            gap_policy: settings.gap_policy,
            phase: RecoveryPhase::Following,
            image: StoreImage::new(),
            lost: None,
            lost_term: 0,
            history_complete: false,
            history_complete_from: None,
            snapshot: None,
            snapshot_status: None,
            confirmed_read_at: None,
            rebuild: None,
            loaded_complete_rebuild: false,
            leader_revisions: BTreeMap::new(),
            reload_at: 0,
            phase_update_sent: false,
            continuity_proven: false,
            stale_leader_check_at: None,
            stale_leader_check_paused_until: 0,
            starts_were_blocked: false,
            losses: 0,
        }
    }

    /// The store is neither trusted nor served from.
    pub(super) fn is_suspended(&self) -> bool {
        !matches!(self.phase, RecoveryPhase::Following)
    }

    /// Whether losses are noticed at all.
    pub(super) fn notices_losses(&self) -> bool {
        self.enabled
    }

    pub(super) fn clear_image(&mut self) {
        self.image = StoreImage::new();
    }

    /// The highest term known of the lost store, while it is lost.
    pub(super) fn lost_term(&self) -> Option<u64> {
        self.has_lost_store().then_some(self.lost_term)
    }

    fn has_lost_store(&self) -> bool {
        matches!(self.phase, RecoveryPhase::Lost { .. })
    }

    /// What is held of a store that is lost, or may be: it does not change while we hold still.
    fn held_image(&self) -> Option<&StoreImage> {
        match &self.phase {
            RecoveryPhase::Verifying { known, .. } => Some(known),
            RecoveryPhase::Lost { .. } => self.lost.as_ref(),
            RecoveryPhase::Following | RecoveryPhase::FirstStart { .. } => None,
        }
    }

    /// Whether our memory reaches back to before a loss that shows now. One may go unnoticed for a while, and
    /// a life that began in that while has only read what was left.
    fn has_complete_history(&self, now: u64) -> bool {
        self.continuity_proven && self.history_complete_from.is_some_and(|from| now >= from)
    }

    /// The store that this controller reads, or has read before a loss.
    fn identity(&self) -> Option<StoreId> {
        self.held_image().unwrap_or(&self.image).identity()
    }
}

impl Controller {
    /// Gives the image of the last snapshot of an earlier life, before anything is read.
    pub fn restore_snapshot(&mut self, image: StoreImage) {
        if self.recovery.enabled {
            self.recovery.snapshot = Some(image);
        }
    }

    /// What became of the last snapshot, for the operators' view.
    pub fn note_snapshot(&mut self, status: SnapshotStatus) {
        self.recovery.snapshot_status = Some(status);
    }

    /// The image of the store for a snapshot; none while there is nothing to keep. A copy costs the
    /// same whatever its size.
    pub fn image_for_snapshot(&self) -> Option<StoreImage> {
        let ready =
            self.recovery.enabled && self.store.is_loaded() && !self.recovery.is_suspended();
        (ready && self.recovery.image.identity().is_some()).then(|| self.recovery.image.clone())
    }

    /// What peers are told of the store: its identity, and whether it is lost.
    pub(super) fn recovery_state(&self) -> (Option<u64>, Option<RecoveryState>) {
        if !self.recovery.enabled {
            return (None, None);
        }
        let state = match self.recovery.phase {
            RecoveryPhase::Following if !self.recovery.continuity_proven => RecoveryState::Unproven,
            RecoveryPhase::Following => RecoveryState::Following,
            RecoveryPhase::FirstStart { .. } | RecoveryPhase::Verifying { .. } => {
                RecoveryState::Undecided
            }
            RecoveryPhase::Lost { .. } => RecoveryState::Lost,
        };
        (self.recovery.identity().map(|id| id.0), Some(state))
    }

    /// Whether a transaction that was answered with a revision has gone into the store that we
    /// read. One that the store carried out after it lost data shows an older revision.
    pub(super) fn applied_to_trusted_store(&mut self, sent: ReadPoint, revision: u64) -> bool {
        self.applied_to_current_store(sent, revision) && !self.recovery.is_suspended()
    }

    /// Whether an election was won in the store that we read now.
    pub(super) fn applied_to_current_store(&mut self, sent: ReadPoint, revision: u64) -> bool {
        if !self.recovery.enabled {
            return true;
        }
        if sent.epoch == self.store.epoch() && revision <= sent.revision {
            self.suspect_data_loss(Some(DataLoss::RevisionRegressed {
                known: sent.revision,
                shown: revision,
            }));
        }
        sent.epoch == self.store.epoch()
    }

    /// Makes a user's transaction depend on the last rebuild that we know: one that goes into a store that is rebuilt
    /// meanwhile would be taken out again, or end a job that is flagged there.
    pub(super) fn add_rebuild_condition(&self, commit: &mut Transaction) {
        if self.recovery.enabled {
            let key = REBUILD_KEY.to_string();
            commit
                .conditions
                .push(Condition { mod_revision: self.store.replica().mod_revision(&key), key });
        }
    }

    /// Conditions of a user's transaction that are taken by that.
    pub(super) fn reserved_conditions(&self) -> usize {
        usize::from(self.recovery.enabled)
    }

    /// Notes a transaction of ours that was confirmed, ahead of the watch.
    pub(super) fn record_own_transaction(&mut self, commit: &Transaction, revision: u64) {
        if !self.recovery.enabled {
            return;
        }
        for write in &commit.writes {
            match write {
                Mutation::Put { key, value, .. } => {
                    self.recovery.image.put(key, revision, value.get())
                }
                Mutation::Remove { key } => self.recovery.image.remove(key, revision),
            }
        }
    }

    /// Whether the store is being written back, or has been without every machine accounted for: no
    /// task may start.
    pub(super) fn starts_are_blocked(&self) -> bool {
        let phase = self.store.replica().rebuild.as_ref().map(|r| r.value.phase);
        if matches!(phase, Some(RebuildPhase::Writing | RebuildPhase::Complete)) {
            return true;
        }
        // Tasks of unknown jobs may run that a new leader has not heard of; and where all controllers
        // have started anew, the store may have been set back with nobody to notice but the workers.
        let unknown_may_run =
            self.has_history_gap() || self.recovery.enabled && !self.recovery.continuity_proven;
        unknown_may_run && self.leader.as_ref().is_some_and(|leader| !leader.machines_accounted)
    }

    /// Whether a rebuild could not draw on the memory of every controller, and no operator has closed
    /// the gap: a job that is not known may have been accepted.
    pub(super) fn has_history_gap(&self) -> bool {
        self.store.replica().rebuild.as_ref().is_some_and(|r| !r.value.gap.is_empty())
    }

    pub(super) fn recovery_due(&mut self) {
        if self.recovery.enabled {
            self.check_stale_leader_key();
            self.first_start_due();
            self.reload_due();
            self.rebuild_due();
        }
        self.reconciliation_due();
    }
}
