//! Snapshots of the store's image in a directory: written beside the event loop, read at the start.
//!
//! A thread encodes and writes, since a disk may be slow; the image that it is given is a frozen
//! copy, which the loop hands over in constant time. A directory that is full or can't be written
//! costs a log line and nothing else.

use crate::settings::{Platform, SnapshotSettings};
use mountgap_recovery::image::StoreImage;
use mountgap_recovery::snapshot::{decode, encode, SnapshotError, SnapshotHeader};
use serde::Serialize;
use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::{Arc, Mutex};
use std::thread;

/// Ending of the names of snapshot files.
const FILE_ENDING: &str = ".snapshot";

/// Snapshots that wait for the writing thread, at the most: a disk that falls behind gets fewer.
const WAITING_MAX: usize = 1;

/// The last snapshot, for the operators' view.
#[derive(Debug, Clone, Default, Serialize)]
pub struct SnapshotStatus {
    /// Time of day at which it was taken, in milliseconds.
    pub taken_at: Option<u64>,
    /// Revision that it holds.
    pub revision: u64,
    /// Its size in bytes.
    pub bytes: u64,
    /// Why the last attempt failed, if it did.
    pub error: Option<String>,
}

/// An image to be written.
struct SnapshotRequest {
    image: StoreImage,
    /// Time of day at which it was taken, in milliseconds.
    taken_at: u64,
}

/// Hands images to the thread that writes them.
pub struct SnapshotWriter {
    requests: SyncSender<SnapshotRequest>,
    status: Arc<Mutex<SnapshotStatus>>,
    period_ms: u64,
    /// When the next snapshot is due, on the steady clock in milliseconds.
    next_at: u64,
}

/// What names the deployment that a snapshot belongs to: its controllers and its state service.
fn deployment(platform: &Platform) -> String {
    let mut labels: Vec<&str> = platform.peers.iter().map(|peer| peer.label.as_str()).collect();
    labels.push(&platform.label);
    labels.sort_unstable();
    format!("{} at {}", labels.join(" "), platform.services.state)
}

impl SnapshotWriter {
    /// Starts the thread that writes to a directory. A snapshot is due every `period_s` seconds.
    pub fn start(directory: SnapshotDirectory, period_s: u64) -> SnapshotWriter {
        let (requests, received) = sync_channel(WAITING_MAX);
        let status = Arc::new(Mutex::new(SnapshotStatus::default()));
        let shared_status = status.clone();
        thread::spawn(move || write_all(&directory, &received, &shared_status));
        SnapshotWriter { requests, status, period_ms: period_s * 1_000, next_at: 0 }
    }

    /// Whether the next snapshot is due. `now` is on the steady clock in milliseconds.
    pub fn is_due(&self, now: u64) -> bool {
        now >= self.next_at
    }

    /// Hands over an image, unless the one before is not written yet. `now` is on the steady clock,
    /// `wall_ms` the time of day, both in milliseconds.
    pub fn request(&mut self, image: StoreImage, now: u64, wall_ms: u64) {
        self.next_at = now + self.period_ms;
        let request = SnapshotRequest { image, taken_at: wall_ms };
        if let Err(TrySendError::Full(_)) = self.requests.try_send(request) {
            log::warn!("the last snapshot is still being written, this one is left out");
        }
    }

    /// The last snapshot.
    pub fn status(&self) -> SnapshotStatus {
        self.status.lock().map(|status| status.clone()).unwrap_or_default()
    }
}

fn write_all(
    directory: &SnapshotDirectory,
    requests: &Receiver<SnapshotRequest>,
    status: &Mutex<SnapshotStatus>,
) {
    for request in requests {
        let written = directory.write(&request.image, request.taken_at);
        let Ok(mut status) = status.lock() else { return };
        match written {
            Ok(bytes) => {
                let revision = request.image.revision();
                let taken_at = Some(request.taken_at);
                *status = SnapshotStatus { taken_at, revision, bytes, error: None };
            }
            Err(error) => {
                log::error!("no snapshot: {}: {error}", directory.path.display());
                status.error = Some(error.to_string());
            }
        }
    }
}

/// Why a snapshot file is not used.
#[derive(Debug, thiserror::Error)]
enum ReadError {
    /// The file can't be read.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// What it holds is refused.
    #[error(transparent)]
    Refused(#[from] SnapshotError),
}

/// A directory that holds snapshots of one controller.
pub struct SnapshotDirectory {
    /// The directory.
    pub path: PathBuf,
    /// Snapshots that are kept.
    pub kept: usize,
    /// The deployment that they belong to.
    pub deployment: String,
    /// Label of the controller.
    pub controller: String,
}

impl SnapshotDirectory {
    /// The directory of the settings, for snapshots of this controller.
    pub fn new(settings: &SnapshotSettings, platform: &Platform) -> SnapshotDirectory {
        SnapshotDirectory {
            path: settings.directory.clone(),
            kept: settings.kept,
            deployment: deployment(platform),
            controller: platform.label.clone(),
        }
    }

    /// Writes a snapshot under another name first, so that none is there in part, and removes the
    /// oldest ones. `taken_at` is a time of day in milliseconds. Gives the size in bytes.
    pub fn write(&self, image: &StoreImage, taken_at: u64) -> io::Result<u64> {
        let header = SnapshotHeader {
            deployment: self.deployment.clone(),
            controller: self.controller.clone(),
            revision: image.revision(),
            taken_at,
            keys: image.len() as u64,
        };
        let bytes = encode(&header, image)?;
        fs::create_dir_all(&self.path)?;
        let partial = self.path.join(format!("{}.partial", self.controller));
        let mut file = fs::File::create(&partial)?;
        file.write_all(&bytes)?;
        file.sync_all()?;
        fs::rename(&partial, self.path.join(self.file_name(taken_at)))?;
        self.remove_all_but_newest()?;
        Ok(bytes.len() as u64)
    }

    fn remove_all_but_newest(&self) -> io::Result<()> {
        self.newest_first()?.into_iter().skip(self.kept).try_for_each(fs::remove_file)
    }

    /// The newest snapshot that is whole, of this deployment and not from the future. The reason
    /// why one is refused goes into the log.
    pub fn read_newest(&self, wall_ms: u64) -> Option<(SnapshotHeader, StoreImage)> {
        let files = match self.newest_first() {
            Ok(files) => files,
            Err(error) => {
                log::warn!("no snapshots: {}: {error}", self.path.display());
                return None;
            }
        };
        files.iter().find_map(|file| self.read(file, wall_ms))
    }

    fn read(&self, file: &Path, wall_ms: u64) -> Option<(SnapshotHeader, StoreImage)> {
        match self.try_read(file, wall_ms) {
            Ok(snapshot) => Some(snapshot),
            Err(reason) => {
                log::warn!("snapshot {} is refused: {reason}", file.display());
                None
            }
        }
    }

    fn try_read(
        &self,
        file: &Path,
        wall_ms: u64,
    ) -> Result<(SnapshotHeader, StoreImage), ReadError> {
        let bytes = fs::read(file)?;
        Ok(decode(&bytes, &self.deployment, wall_ms)?)
    }

    fn file_name(&self, taken_at: u64) -> String {
        format!("{}-{taken_at:020}{FILE_ENDING}", self.controller)
    }

    fn newest_first(&self) -> io::Result<Vec<PathBuf>> {
        let prefix = format!("{}-", self.controller);
        let mut files = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let path = entry?.path();
            let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
            if name.starts_with(&prefix) && name.ends_with(FILE_ENDING) {
                files.push(path);
            }
        }
        files.sort_unstable_by(|one, other| other.cmp(one));
        Ok(files)
    }
}
