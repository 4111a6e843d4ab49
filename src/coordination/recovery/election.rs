//! The election of the controller that rebuilds the store, and the writes that every election adds about
//! the identity or the rebuild of the store.

use super::phase::RecoveryPhase;
use super::put_rebuild_record;
use super::rebuild::Rebuild;
use crate::coordination::Controller;
use crate::protocol::state::{Condition, Mutation, Transaction};
use crate::storage::records::{store_key, RebuildPhase, RebuildRecord, StoreIdRecord};
use mountgap_recovery::audit::DataLoss;
use mountgap_recovery::constants::REBUILD_TERM_MARGIN;
use mountgap_recovery::image::StoreImage;
use rand::Rng;

impl Controller {
    /// Whether this controller may campaign, either to lead or to rebuild the store.
    pub(in crate::coordination) fn may_campaign(&self) -> bool {
        match self.recovery.phase() {
            RecoveryPhase::Following => self.store_is_usable(),
            RecoveryPhase::Lost { campaign_at, .. } => {
                self.store_is_reachable() && self.now.monotonic_ms >= *campaign_at
            }
            RecoveryPhase::FirstStart { .. } | RecoveryPhase::Verifying { .. } => false,
        }
    }

    /// The term for the next campaign. A rebuild skips [`REBUILD_TERM_MARGIN`] terms, since some of them may
    /// have been used in the lost part of the history.
    pub(in crate::coordination) fn next_term(&self) -> u64 {
        let known = self.store.replica().term().max(self.membership.highest_term());
        if !self.recovery.has_lost_store() {
            return known.saturating_add(1);
        }
        let lost = self.recovery.lost_image().map_or(0, StoreImage::term);
        known.max(lost).saturating_add(1).saturating_add(REBUILD_TERM_MARGIN)
    }

    /// Adds what an election writes besides the leader key and the term: the identity of a new store, or the
    /// record that a rebuild has started.
    pub(in crate::coordination) fn add_recovery_writes(
        &mut self,
        transaction: &mut Transaction,
        term: u64,
    ) {
        if !self.recovery.is_enabled() {
            return;
        }
        let write = match self.recovery.phase() {
            RecoveryPhase::Lost { loss, .. } => {
                put_rebuild_record(&self.new_rebuild_record(loss, term))
            }
            _ if self.store.replica().store.is_none() => {
                Mutation::put(store_key(), &StoreIdRecord { id: self.rng.random() })
            }
            _ => return,
        };
        let key = write.key().to_string();
        transaction
            .conditions
            .push(Condition { mod_revision: self.store.replica().mod_revision(&key), key });
        transaction.writes.push(write);
    }

    fn new_rebuild_record(&self, loss: &DataLoss, term: u64) -> RebuildRecord {
        RebuildRecord {
            phase: RebuildPhase::Writing,
            owner: self.settings.label.clone(),
            term,
            at: self.now.wall_ms,
            loss: loss.to_string(),
            sources: Vec::new(),
            gap: Vec::new(),
        }
    }

    /// Starts the rebuild after a won election, if the store is lost.
    pub(in crate::coordination) fn start_rebuild_if_lost(&mut self) {
        if self.recovery.has_lost_store() {
            log::info!("rebuild started: this controller was elected to rebuild the store");
            let rebuild = Rebuild::new(self.membership.peer_count(), self.now.monotonic_ms);
            self.recovery.start_rebuild(rebuild);
            // The store may have lost data again since we read it, and no record would show that. A new
            // listing shows the store as it was at our election or later.
            self.reload_store();
        }
    }
}
