//! Whether a controller trusts the store, and what made it doubt.

use mountgap_recovery::audit::DataLoss;
use mountgap_recovery::image::StoreImage;

/// Whether a controller trusts the store. It serves from it only while it is following.
#[derive(Debug)]
pub(super) enum RecoveryPhase {
    /// The store goes on from where it was.
    Following,
    /// This controller has just started, and the store is empty.
    FirstStart {
        /// When that was seen, on the steady clock in milliseconds.
        since: u64,
        /// What shows that there was a store before, as heard first.
        evidence: Option<EarlierStoreEvidence>,
    },
    /// Something suggests a loss: the store is read anew and compared with what was known.
    Verifying {
        /// What was known.
        known: StoreImage,
        /// What suggests the loss; none where we are only too far behind.
        suspicion: Option<DataLoss>,
    },
    /// The store has lost data, and is to be rebuilt.
    Lost {
        /// What shows it.
        loss: DataLoss,
        /// From when on this controller may stand for election to rebuild it.
        campaign_at: u64,
    },
}

/// A sign that there was a store before the empty one that is read.
#[derive(Debug)]
pub(super) struct EarlierStoreEvidence {
    /// Who knows of the earlier store, and what.
    pub description: String,
    /// When we heard of it, on the steady clock in milliseconds.
    pub heard_at: u64,
}
