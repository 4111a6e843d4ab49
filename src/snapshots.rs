//! Snapshots of the store's image in a directory: written by a background thread, read at startup.
//!
//! The background thread encodes and writes the snapshots, since the disk may be slow. The event loop hands
//! it an immutable copy of the image, which takes constant time. A full disk or an unwritable directory
//! causes an error in the log and in the status, and nothing else.

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

/// Suffix of the names of snapshot files.
const FILE_SUFFIX: &str = ".snapshot";

/// Capacity of the writer thread's queue. While it is full, further snapshots are skipped, so a slow
/// disk gets fewer of them.
const QUEUED_SNAPSHOTS_MAX: usize = 1;

/// The result of the last snapshot, as operators see it in the status.
#[derive(Debug, Clone, Default, Serialize)]
pub struct SnapshotStatus {
    /// Time of day at which the image of the last successful snapshot was taken, in milliseconds.
    pub taken_at: Option<u64>,
    /// Revision of its image.
    pub revision: u64,
    /// Its size in bytes.
    pub bytes: u64,
    /// Why the most recent attempt failed, if it did.
    pub error: Option<String>,
}

/// A request to the writer thread to write an image.
struct SnapshotRequest {
    image: StoreImage,
    /// Time of day at which the image was taken, in milliseconds.
    taken_at: u64,
}

/// Passes images to the writer thread, at most one per period.
pub struct SnapshotWriter {
    requests: SyncSender<SnapshotRequest>,
    status: Arc<Mutex<SnapshotStatus>>,
    period_ms: u64,
    /// When the next snapshot is due, on the monotonic clock in milliseconds.
    next_at: u64,
}

/// Identifies the deployment that a snapshot belongs to, by the labels of its controllers and the address
/// of its state service.
fn deployment_name(platform: &Platform) -> String {
    let mut labels: Vec<&str> = platform.peers.iter().map(|peer| peer.label.as_str()).collect();
    labels.push(&platform.label);
    labels.sort_unstable();
    format!("{} at {}", labels.join(" "), platform.services.state)
}

impl SnapshotWriter {
    /// Starts the thread that writes to `directory`. A snapshot is due every `period_s` seconds.
    pub fn start(directory: SnapshotDirectory, period_s: u64) -> SnapshotWriter {
        let (requests, received) = sync_channel(QUEUED_SNAPSHOTS_MAX);
        let status = Arc::new(Mutex::new(SnapshotStatus::default()));
        let shared_status = status.clone();
        thread::spawn(move || write_requested_snapshots(&directory, &received, &shared_status));
        SnapshotWriter { requests, status, period_ms: period_s * 1_000, next_at: 0 }
    }

    /// Whether the next snapshot is due. `now` is in milliseconds of the monotonic clock.
    pub fn is_due(&self, now: u64) -> bool {
        now >= self.next_at
    }

    /// Queues an image for writing, or skips it if the queue is full. `now` is on the monotonic clock,
    /// `wall_ms` is the time of day, both in milliseconds.
    pub fn request(&mut self, image: StoreImage, now: u64, wall_ms: u64) {
        self.next_at = now + self.period_ms;
        let request = SnapshotRequest { image, taken_at: wall_ms };
        if let Err(TrySendError::Full(_)) = self.requests.try_send(request) {
            log::warn!("snapshot skipped: an earlier one is still being written");
        }
    }

    /// The result of the last snapshot.
    pub fn status(&self) -> SnapshotStatus {
        self.status.lock().map(|status| status.clone()).unwrap_or_default()
    }
}

fn write_requested_snapshots(
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
                log::error!("snapshot failed: {}: {error}", directory.path.display());
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
    /// Its content is invalid or belongs elsewhere.
    #[error(transparent)]
    Invalid(#[from] SnapshotError),
}

/// A directory with snapshots of one controller.
pub struct SnapshotDirectory {
    /// The directory.
    pub path: PathBuf,
    /// Number of snapshots kept; older ones are removed.
    pub kept: usize,
    /// Identifies the deployment that the snapshots belong to.
    pub deployment: String,
    /// Label of the controller.
    pub controller: String,
}

impl SnapshotDirectory {
    /// The directory named in the settings, for snapshots of this controller.
    pub fn new(settings: &SnapshotSettings, platform: &Platform) -> SnapshotDirectory {
        SnapshotDirectory {
            path: settings.directory.clone(),
            kept: settings.kept,
            deployment: deployment_name(platform),
            controller: platform.label.clone(),
        }
    }

    /// Writes a snapshot and removes the oldest ones. The file gets its final name only once it is
    /// complete, so a partly written one is never read. `taken_at` is a time of day in milliseconds.
    /// Returns the size in bytes.
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

    /// The newest snapshot that is intact, of this deployment and not from the future; `wall_ms` is the time
    /// of day in milliseconds. Rejected snapshots are logged with the reason.
    pub fn read_newest(&self, wall_ms: u64) -> Option<(SnapshotHeader, StoreImage)> {
        let files = match self.newest_first() {
            Ok(files) => files,
            Err(error) => {
                log::warn!("snapshot directory not readable: {}: {error}", self.path.display());
                return None;
            }
        };
        files.iter().find_map(|file| self.read(file, wall_ms))
    }

    fn read(&self, file: &Path, wall_ms: u64) -> Option<(SnapshotHeader, StoreImage)> {
        match self.try_read(file, wall_ms) {
            Ok(snapshot) => Some(snapshot),
            Err(reason) => {
                log::warn!("snapshot rejected: {}: {reason}", file.display());
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
        format!("{}-{taken_at:020}{FILE_SUFFIX}", self.controller)
    }

    fn newest_first(&self) -> io::Result<Vec<PathBuf>> {
        let prefix = format!("{}-", self.controller);
        let mut files = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let path = entry?.path();
            let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
            if name.starts_with(&prefix) && name.ends_with(FILE_SUFFIX) {
                files.push(path);
            }
        }
        files.sort_unstable_by(|one, other| other.cmp(one));
        Ok(files)
    }
}
