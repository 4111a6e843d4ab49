//! Whether a store that is read anew can be the one that was read before.
//!
//! A store goes on from where it was: its identity stays, its revision and those of its
//! keys never fall, ends of jobs are kept for ever, and an accepted job is there until it has ended. A
//! store that was emptied or set back to a backup breaks one of these, also if its revisions have
//! grown past the old ones since.

use crate::image::{StoreId, StoreImage, StoredValue};
use mountgap_records::records::{parse_key, BatchRecord, JobEndGroupRecord, Key};
use std::collections::BTreeSet;

/// What shows that the store has lost data.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DataLoss {
    /// An answer named a revision below one that the store had reached.
    #[error("the store is at revision {shown}, and was at {known}")]
    RevisionRegressed {
        /// Revision that was known.
        known: u64,
        /// Revision that was answered.
        shown: u64,
    },
    /// The store has no identity any more.
    #[error("store {known} has lost its identity")]
    IdentityMissing {
        /// The identity that was known.
        known: StoreId,
    },
    /// The store has another identity.
    #[error("store {known} has become store {shown}")]
    IdentityChanged {
        /// The identity that was known.
        known: StoreId,
        /// The one that it has now.
        shown: StoreId,
    },
    /// The end of a job is gone, or was written anew; ends are kept as they are for ever.
    #[error("the end of {job} is gone")]
    JobEndMissing {
        /// The job.
        job: String,
    },
    /// An accepted job is gone that has not ended.
    #[error("accepted job {job} is gone")]
    JobMissing {
        /// The job.
        job: String,
    },
    /// A key has a history that contradicts what was read.
    #[error("key {key} contradicts what was read of it")]
    KeyMismatch {
        /// The key.
        key: String,
    },
    /// A controller that starts on an empty store finds that there was one before.
    #[error("the store is empty, but {evidence}")]
    EmptyAfterUse {
        /// Who knows of the earlier store, and what.
        evidence: String,
    },
    /// A worker runs a task that the store does not explain.
    #[error("{machine} runs {task}, which no record explains")]
    UnrecordedTask {
        /// Where it runs.
        machine: String,
        /// Its name.
        task: String,
    },
    /// Another controller that remembers more says so.
    #[error("controller {peer} says that it has lost data")]
    ReportedByPeer {
        /// Its label.
        peer: String,
    },
    /// Another controller has begun to rebuild the store.
    #[error("a rebuild of the store has begun")]
    RebuildStarted,
}

/// Compares what was known of a store with what a whole new read of it shows.
pub fn audit(known: &StoreImage, shown: &StoreImage) -> Result<(), DataLoss> {
    check_identity(known, shown)?;
    if shown.revision() < known.revision() {
        return Err(DataLoss::RevisionRegressed {
            known: known.revision(),
            shown: shown.revision(),
        });
    }
    let ended = ended_jobs(shown);
    for (key, value) in known.iter() {
        check_known_key(key, value, shown, &ended)?;
    }
    for (key, value) in shown.iter() {
        // All that was there at the known revision is known, and with the same revision.
        let old = value.mod_revision <= known.revision();
        if old && known.mod_revision(key) != value.mod_revision {
            return Err(DataLoss::KeyMismatch { key: key.to_string() });
        }
    }
    Ok(())
}

fn check_identity(known: &StoreImage, shown: &StoreImage) -> Result<(), DataLoss> {
    match (known.identity(), shown.identity()) {
        (Some(known), None) => Err(DataLoss::IdentityMissing { known }),
        (Some(known), Some(shown)) if known != shown => {
            Err(DataLoss::IdentityChanged { known, shown })
        }
        _ => Ok(()),
    }
}

/// Checks that a key that was known is there as it was, or has changed as it may.
fn check_known_key(
    key: &str,
    known: &StoredValue,
    shown: &StoreImage,
    ended: &BTreeSet<String>,
) -> Result<(), DataLoss> {
    let mismatch = || Err(DataLoss::KeyMismatch { key: key.to_string() });
    let now = shown.get(key);
    if now.is_some_and(|now| now.mod_revision < known.mod_revision) {
        return mismatch();
    }
    match parse_key(key) {
        Some(Key::JobEnd(job)) if now.is_none_or(|now| now.mod_revision != known.mod_revision) => {
            Err(DataLoss::JobEndMissing { job: job.to_string() })
        }
        Some(Key::Batch(_) | Key::GangBatch(_)) if now.is_none() => {
            match first_open_job(&known.data, ended) {
                Some(job) => Err(DataLoss::JobMissing { job }),
                None => Ok(()),
            }
        }
        // The leader key ends with its lease, and what a later version stores is not ours to judge.
        Some(Key::Leader) | None => Ok(()),
        // Nothing else is ever removed, but by a rebuild, which gives the store another identity.
        Some(_) if now.is_none() => mismatch(),
        Some(_) => Ok(()),
    }
}

/// The first job of a stored batch that has not ended.
fn first_open_job(batch: &str, ended: &BTreeSet<String>) -> Option<String> {
    let batch = serde_json::from_str::<BatchRecord>(batch).ok()?;
    let open = batch.jobs.iter().find(|job| !ended.contains(&job.uid));
    open.map(|job| job.uid.clone())
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
