//! Checks whether a store that is read again can be the same store as before, without a data loss.
//!
//! In a store that has lost nothing the identity stays the same, neither the revision of the store nor
//! that of a key ever decreases, ends of jobs are kept forever, and an accepted job is kept until it
//! has ended. A store
//! that was emptied or restored from a backup violates one of these rules, even if its revisions
//! have grown past the old ones since.

use crate::image::{StoreId, StoreImage, StoredValue};
use mountgap_records::records::{parse_key, BatchRecord, JobEndGroupRecord, Key};
use std::collections::BTreeSet;

/// Evidence that the store has lost data.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DataLoss {
    /// A response had a lower revision than the store had already reached.
    #[error("the store is at revision {observed}, and was at {known}")]
    RevisionRegressed {
        /// Revision that the store had reached.
        known: u64,
        /// Revision of the response.
        observed: u64,
    },
    /// The store no longer has an identity.
    #[error("store {known} has lost its identity")]
    IdentityMissing {
        /// The identity that was known.
        known: StoreId,
    },
    /// The store has another identity.
    #[error("store {known} has become store {observed}")]
    IdentityChanged {
        /// The identity that was known.
        known: StoreId,
        /// The identity that it has now.
        observed: StoreId,
    },
    /// The end of a job is missing or was written again; ends are kept unchanged forever.
    #[error("the end of {job} is gone")]
    JobEndMissing {
        /// The job.
        job: String,
    },
    /// An accepted job that has not ended is missing.
    #[error("accepted job {job} is gone")]
    JobMissing {
        /// The job.
        job: String,
    },
    /// The revision of a key, or its absence, contradicts what was read before.
    #[error("key {key} contradicts what was read of it")]
    KeyMismatch {
        /// The key.
        key: String,
    },
    /// A controller starts on an empty store and finds that it was in use before.
    #[error("the store is empty, but {evidence}")]
    EmptyAfterUse {
        /// Who knows of the earlier store, and what they know.
        evidence: String,
    },
    /// A worker runs a task of which the store has no record.
    #[error("{machine} runs {task}, which no record explains")]
    UnrecordedTask {
        /// The machine that runs it.
        machine: String,
        /// Name of the task.
        task: String,
    },
    /// Another controller, which had read more of the store, reports the loss.
    #[error("controller {peer} says that it has lost data")]
    ReportedByPeer {
        /// Label of that controller.
        peer: String,
    },
    /// Another controller has started to rebuild the store.
    #[error("a rebuild of the store has begun")]
    RebuildStarted,
}

/// Compares the known image of a store with an image from a complete new read of it.
pub fn audit(known: &StoreImage, observed: &StoreImage) -> Result<(), DataLoss> {
    check_identity(known, observed)?;
    if observed.revision() < known.revision() {
        return Err(DataLoss::RevisionRegressed {
            known: known.revision(),
            observed: observed.revision(),
        });
    }
    let ended = ended_jobs(observed);
    for (key, value) in known.iter() {
        check_known_key(key, value, observed, &ended)?;
    }
    for (key, value) in observed.iter() {
        // The known image is complete up to its revision, so it must have each observed value that is
        // not newer, with the same revision.
        let is_old = value.mod_revision <= known.revision();
        if is_old && known.mod_revision(key) != value.mod_revision {
            return Err(DataLoss::KeyMismatch { key: key.to_string() });
        }
    }
    Ok(())
}

fn check_identity(known: &StoreImage, observed: &StoreImage) -> Result<(), DataLoss> {
    match (known.identity(), observed.identity()) {
        (Some(known), None) => Err(DataLoss::IdentityMissing { known }),
        (Some(known), Some(observed)) if known != observed => {
            Err(DataLoss::IdentityChanged { known, observed })
        }
        _ => Ok(()),
    }
}

/// Checks that a known key is unchanged or has changed in a way that is allowed.
fn check_known_key(
    key: &str,
    known: &StoredValue,
    observed: &StoreImage,
    ended: &BTreeSet<String>,
) -> Result<(), DataLoss> {
    let mismatch = || Err(DataLoss::KeyMismatch { key: key.to_string() });
    let current = observed.get(key);
    if current.is_some_and(|current| current.mod_revision < known.mod_revision) {
        return mismatch();
    }
    match parse_key(key) {
        Some(Key::JobEnd(job))
            if current.is_none_or(|current| current.mod_revision != known.mod_revision) =>
        {
            Err(DataLoss::JobEndMissing { job: job.to_string() })
        }
        Some(Key::Batch(_) | Key::GangBatch(_)) if current.is_none() => {
            match first_live_job(&known.data, ended) {
                Some(job) => Err(DataLoss::JobMissing { job }),
                None => Ok(()),
            }
        }
        // The leader key is removed when its lease expires, and nothing is known of keys that only
        // a later version uses.
        Some(Key::Leader) | None => Ok(()),
        // No other key is ever removed except by a rebuild, which gives the store another identity.
        Some(_) if current.is_none() => mismatch(),
        Some(_) => Ok(()),
    }
}

/// The first job of a stored batch that has not ended.
fn first_live_job(batch: &str, ended: &BTreeSet<String>) -> Option<String> {
    let batch = serde_json::from_str::<BatchRecord>(batch).ok()?;
    let live = batch.jobs.iter().find(|job| !ended.contains(&job.uid));
    live.map(|job| job.uid.clone())
}

fn ended_jobs(image: &StoreImage) -> BTreeSet<String> {
    let mut ended = BTreeSet::new();
    for (key, value) in image.iter() {
        match parse_key(key) {
            Some(Key::JobEnd(job)) => {
                ended.insert(job.to_string());
            }
            Some(Key::JobEndGroup(_)) => {
                let group = serde_json::from_str::<JobEndGroupRecord>(&value.data);
                ended.extend(group.unwrap_or_default().ends.into_keys());
            }
            _ => {}
        }
    }
    ended
}
