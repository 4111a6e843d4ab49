//! Whether a controller trusts the store, and the evidence against it if it does not.

use mountgap_recovery::audit::DataLoss;
use mountgap_recovery::image::StoreImage;

/// Whether a controller trusts the store. It serves requests only in the phase `Following`.
#[derive(Debug)]
pub(super) enum RecoveryPhase {
    /// The store is trusted, and the watch follows its changes.
    Following,
    /// This controller has just started and found the store empty. It finds out whether the store is new
    /// or has lost its data.
    FirstStart {
        /// When the store was found empty, on the monotonic clock in milliseconds.
        since: u64,
        /// The first evidence of an earlier store, if there is any.
        evidence: Option<EarlierStoreEvidence>,
    },
    /// A data loss is suspected: the store is listed again and compared with the known image.
    Verifying {
        /// The image of the store from before the suspicion.
        known: StoreImage,
        /// The suspected loss. None if no particular loss is suspected, for example because the watch fell
        /// too far behind.
        suspicion: Option<DataLoss>,
    },
    /// The store has lost data and must be rebuilt.
    Lost {
        /// The detected loss.
        loss: DataLoss,
        /// When this controller may first campaign to rebuild the store, on the monotonic clock in
        /// milliseconds.
        campaign_at: u64,
    },
}

/// Evidence that there was a store before the empty one that was read.
#[derive(Debug)]
pub(super) struct EarlierStoreEvidence {
    /// Who knows of the earlier store, and what they know. It becomes part of a [`DataLoss`].
    pub description: String,
    /// When we heard of it, on the monotonic clock in milliseconds.
    pub heard_at: u64,
}
