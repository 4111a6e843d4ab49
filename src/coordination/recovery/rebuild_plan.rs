//! Planning of a rebuild: merges the images of all controllers and computes the desired content of the store.

use super::phase::RecoveryPhase;
use super::rebuild::Rebuild;
use crate::coordination::Controller;
use crate::settings::GapPolicy;
use crate::storage::records::FlagReason;
use mountgap_recovery::audit::{audit, DataLoss};
use mountgap_recovery::image::{StoreId, StoreImage};
use mountgap_recovery::merged_state::MergedState;
use mountgap_recovery::write_back::DesiredState;
use rand::Rng;

/// What a rebuild writes, and the controllers that contributed to it.
#[derive(Debug)]
pub(super) struct RebuildPlan {
    /// The merged state of all images.
    pub merged: MergedState,
    /// The desired content of the store.
    pub desired: DesiredState,
    /// Labels of the controllers whose images were used.
    pub sources: Vec<String>,
    /// Labels of the controllers whose history does not reach back to before the loss.
    pub gap: Vec<String>,
}

/// The images of the lost store that were gathered.
struct GatheredImages {
    images: Vec<StoreImage>,
    /// Labels of the controllers that they are from.
    sources: Vec<String>,
    /// Labels of the controllers whose history does not reach back to before the loss.
    gap: Vec<String>,
}

impl Controller {
    /// Merges the gathered images and plans the rebuild. Steps down if the images contain a higher term.
    pub(super) fn plan_rebuild(&mut self) {
        let Some(rebuild) = self.recovery.rebuild() else { return };
        let GatheredImages { images, sources, gap } = self.gather_images(rebuild);
        let histories = merge_images_by_store(images);
        let (merged, gap) = self.merge_histories(&histories, gap);
        let identity = self.choose_identity(&histories);
        // The most recent image is kept for a controller that takes over the rebuild.
        self.recovery.set_lost_image(histories.into_iter().max_by_key(StoreImage::revision));
        if self.leader.as_ref().is_some_and(|leader| merged.term > leader.term) {
            self.membership.record_term(merged.term);
            return self.check_term();
        }
        let limits = self.rebuild_limits();
        let desired = DesiredState::new(&merged, identity, self.recovery.image(), &limits);
        let (source_names, values, summary) = (sources.join(", "), desired.len(), merged.summary());
        log::info!("rebuild planned: {values} values from {source_names}: {summary:?}");
        if !gap.is_empty() {
            log::warn!("rebuild has a history gap: no complete history from {}", gap.join(", "));
        }
        if let Some(rebuild) = self.recovery.rebuild_mut() {
            rebuild.set_plan(RebuildPlan { merged, desired, sources, gap });
        }
    }

    /// Our image of the lost store and the complete images of peers.
    fn gather_images(&self, rebuild: &Rebuild) -> GatheredImages {
        let own_label = &self.settings.label;
        // A loss that only workers' heartbeats show happened before all controllers restarted.
        let all_histories_incomplete = matches!(
            self.recovery.phase(),
            RecoveryPhase::Lost { loss: DataLoss::UnrecordedTask { .. }, .. }
        );
        let mut gathered = GatheredImages {
            images: self.recovery.lost_image().cloned().into_iter().collect(),
            sources: vec![own_label.clone()],
            gap: Vec::new(),
        };
        if all_histories_incomplete || !self.recovery.was_history_complete() {
            gathered.gap.push(own_label.clone());
        }
        for (peer, image) in self.settings.peers.iter().zip(&rebuild.peers) {
            if let Some(image) = image.image_if_complete() {
                gathered.sources.push(peer.label.clone());
                gathered.images.push(image.clone());
            }
            if all_histories_incomplete || !image.is_history_complete() {
                gathered.gap.push(peer.label.clone());
            }
        }
        gathered
    }

    /// Merges the lost histories and the present store. Also returns the history gap, with the open gap of an
    /// earlier rebuild added.
    fn merge_histories(
        &self,
        histories: &[StoreImage],
        mut gap: Vec<String>,
    ) -> (MergedState, Vec<String>) {
        let mut merged = MergedState::default();
        for image in histories.iter().chain([self.recovery.image()]) {
            merged.merge(&MergedState::from_image(image));
        }
        // This also flags jobs that an interrupted rebuild has written: they stem from the same incomplete
        // histories.
        if !gap.is_empty() && self.recovery.gap_policy() == GapPolicy::Hold {
            merged.flag_live_jobs(FlagReason::MayHaveEnded);
        }
        // A gap that no operator has closed yet stays open.
        let open_gap = merged.open_gap.iter().filter(|label| !gap.contains(label));
        let open_gap: Vec<String> = open_gap.cloned().collect();
        gap.extend(open_gap);
        merged.remove_obsolete();
        (merged, gap)
    }

    /// The identity that an interrupted rebuild has written to the store, or else a new one.
    fn choose_identity(&mut self, histories: &[StoreImage]) -> StoreId {
        let present = self.recovery.image().identity();
        let is_unused = |id: &StoreId| histories.iter().all(|image| image.identity() != Some(*id));
        let written = present.filter(|id| !histories.is_empty() && is_unused(id));
        written.unwrap_or_else(|| StoreId(self.rng.random()))
    }
}

/// Merges images that can belong to one store, where the later one is consistent with the earlier one. Images of
/// different stores, or read across an undetected data loss, are kept separate: their revisions can't be
/// compared.
fn merge_images_by_store(mut images: Vec<StoreImage>) -> Vec<StoreImage> {
    images.retain(|image| !image.is_empty());
    images.sort_by_key(|image| std::cmp::Reverse(image.revision()));
    let mut histories: Vec<StoreImage> = Vec::new();
    for image in images {
        let same_store = histories.iter_mut().find(|history| audit(&image, history).is_ok());
        match same_store {
            Some(history) => {
                if let Ok(merged) = history.merge(&image) {
                    *history = merged;
                }
            }
            None => histories.push(image),
        }
    }
    histories
}
