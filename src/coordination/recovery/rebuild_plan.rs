//! Planning a rebuild: joins what all sources hold, and works out what the store should hold.

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

/// What a rebuild is to write, and where that is from.
#[derive(Debug)]
pub(super) struct RebuildPlan {
    /// What all sources say together.
    pub merged: MergedState,
    /// What the store is to hold.
    pub desired: DesiredState,
    /// Controllers whose images were there.
    pub sources: Vec<String>,
    /// Controllers whose memory did not reach back to before the loss.
    pub gap: Vec<String>,
}

/// What controllers hold of the lost store.
struct GatheredImages {
    images: Vec<StoreImage>,
    /// Controllers that they are from.
    sources: Vec<String>,
    /// Controllers whose memory did not reach back to before the loss.
    gap: Vec<String>,
}

impl Controller {
    /// Puts together what all sources say.
    pub(super) fn plan_rebuild(&mut self) {
        let Some(rebuild) = self.recovery.rebuild() else { return };
        let GatheredImages { images, sources, gap } = self.gathered_images(rebuild);
        let histories = joined_by_store(images);
        let (merged, gap) = self.merge_histories(&histories, gap);
        let identity = self.choose_identity(&histories);
        // Kept for whoever has to go on: the image that knows most of the lost store.
        self.recovery.set_lost_image(histories.into_iter().max_by_key(StoreImage::revision));
        if self.leader.as_ref().is_some_and(|leader| merged.term > leader.term) {
            self.membership.note_term(merged.term);
            return self.check_term();
        }
        let limits = self.rebuild_limits();
        let desired = DesiredState::new(&merged, identity, self.recovery.image(), &limits);
        let (source_names, values, summary) = (sources.join(", "), desired.len(), merged.summary());
        log::info!("rebuilds the store from {source_names}, {values} values: {summary:?}");
        if !gap.is_empty() {
            log::warn!("no memory from before the loss: {}", gap.join(", "));
        }
        if let Some(rebuild) = self.recovery.rebuild_mut() {
            rebuild.set_plan(RebuildPlan { merged, desired, sources, gap });
        }
    }

    /// What we hold of the lost store, and what the peers have handed over.
    fn gathered_images(&self, rebuild: &Rebuild) -> GatheredImages {
        let own_label = &self.settings.label;
        // All have started since a loss that only workers tell of.
        let none_remembers = matches!(
            self.recovery.phase(),
            RecoveryPhase::Lost { loss: DataLoss::UnrecordedTask { .. }, .. }
        );
        let mut gathered = GatheredImages {
            images: self.recovery.lost_image().cloned().into_iter().collect(),
            sources: vec![own_label.clone()],
            gap: Vec::new(),
        };
        if none_remembers || !self.recovery.was_history_complete() {
            gathered.gap.push(own_label.clone());
        }
        for (peer, image) in self.settings.peers.iter().zip(&rebuild.peers) {
            if let Some(image) = image.whole() {
                gathered.sources.push(peer.label.clone());
                gathered.images.push(image.clone());
            }
            if none_remembers || !image.is_history_complete() {
                gathered.gap.push(peer.label.clone());
            }
        }
        gathered
    }

    /// Joins the lost histories and the present store; gives also the gap, with what is open of an
    /// earlier rebuild's.
    fn merge_histories(
        &self,
        histories: &[StoreImage],
        mut gap: Vec<String>,
    ) -> (MergedState, Vec<String>) {
        let mut merged = MergedState::default();
        for image in histories.iter().chain([self.recovery.image()]) {
            merged.merge(&MergedState::from_image(image));
        }
        // What an interrupted rebuild has written is no better known than what it was written from.
        if !gap.is_empty() && self.recovery.gap_policy() == GapPolicy::Hold {
            merged.flag_live_jobs(FlagReason::MayHaveEnded);
        }
        // A gap that no operator has closed yet stays one.
        let open_gap = merged.open_gap.iter().filter(|label| !gap.contains(label));
        let open_gap: Vec<String> = open_gap.cloned().collect();
        gap.extend(open_gap);
        merged.remove_obsolete();
        (merged, gap)
    }

    /// The identity that an interrupted rebuild has given to the store, or else a new one.
    fn choose_identity(&mut self, histories: &[StoreImage]) -> StoreId {
        let present = self.recovery.image().identity();
        let is_new = |id: &StoreId| histories.iter().all(|image| image.identity() != Some(*id));
        let given = present.filter(|id| !histories.is_empty() && is_new(id));
        given.unwrap_or_else(|| StoreId(self.rng.random()))
    }
}

/// Joins images of which the later can be what the earlier has become. Others, of different stores or read across
/// a loss that went unnoticed, stay apart: their revisions can't be compared.
fn joined_by_store(mut images: Vec<StoreImage>) -> Vec<StoreImage> {
    images.retain(|image| !image.is_empty());
    images.sort_by_key(|image| std::cmp::Reverse(image.revision()));
    let mut histories: Vec<StoreImage> = Vec::new();
    for image in images {
        let same = histories.iter_mut().find(|history| audit(&image, history).is_ok());
        match same {
            Some(history) => {
                if let Ok(joined) = history.merge(&image) {
                    *history = joined;
                }
            }
            None => histories.push(image),
        }
    }
    histories
}
