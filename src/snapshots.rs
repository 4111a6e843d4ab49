//! Snapshots of the store's image in a directory: written beside the event loop, read at the start.
//!
//! A thread encodes and writes, since a disk may be slow; the image that it is given is a frozen
//! copy, which the loop hands over in constant time. A directory that is full or can't be written
//! costs a log line and nothing else.

use crate::settings::{Platform, SnapshotSettings};
use mountgap_recovery::image::StoreImage;
use mountgap_recovery::snapshot::{decode, encode, Header};
use serde::Serialize;
use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::{Arc, Mutex};
use std::thread;

/// Ending of the names of snapshots.
const ENDING: &str = ".snapshot";

/// The last snapshot, for the operators' view.
#[derive(Debug, Clone, Default, Serialize)]
pub struct SnapshotStatus {
    /// Time of day at which it was taken, in milliseconds.
    pub taken_at: Option<u64>,
    /// Revision that it holds.
    pub revision: u64,
    /// Its size.
    pub bytes: u64,
    /// Why the last attempt failed, if it did.
    pub error: Option<String>,
}

/// An image to be written.
struct Order {
    image: StoreImage,
    taken_at: u64,
}

/// Hands images to the thread that writes them.
pub struct SnapshotWriter {
    orders: SyncSender<Order>,
    status: Arc<Mutex<SnapshotStatus>>,
    period_ms: u64,
    next_at: u64,
}

/// What names the deployment that a snapshot belongs to: its controllers and its state service.
pub fn deployment(platform: &Platform) -> String {
    let mut labels: Vec<&str> = platform.peers.iter().map(|peer| peer.label.as_str()).collect();
    labels.push(&platform.label);
    labels.sort_unstable();
    format!("{} at {}", labels.join(" "), platform.services.state)
}

impl SnapshotWriter {
    /// Starts the thread.
    pub fn start(settings: &SnapshotSettings, platform: &Platform) -> SnapshotWriter {
        // One order waits at the most: a disk that falls behind gets fewer snapshots.
        let (orders, inbox) = sync_channel(1);
        let status = Arc::new(Mutex::new(SnapshotStatus::default()));
        let directory = SnapshotDirectory {
            path: settings.directory.clone(),
            kept: settings.kept,
            deployment: deployment(platform),
            controller: platform.label.clone(),
        };
        let shared = status.clone();
        thread::spawn(move || write_all(&directory, &inbox, &shared));
        SnapshotWriter { orders, status, period_ms: settings.period_s * 1_000, next_at: 0 }
    }

    /// Whether the next one is due.
    pub fn is_due(&self, now: u64) -> bool {
        now >= self.next_at
    }

    /// Hands over an image, unless the last one is not written yet.
    pub fn take(&mut self, image: StoreImage, now: u64, wall_ms: u64) {
        self.next_at = now + self.period_ms;
        if let Err(TrySendError::Full(_)) = self.orders.try_send(Order { image, taken_at: wall_ms })
        {
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
    inbox: &Receiver<Order>,
    status: &Mutex<SnapshotStatus>,
) {
    for order in inbox {
        let written = directory.write(&order.image, order.taken_at);
        let Ok(mut status) = status.lock() else { return };
        match written {
            Ok(bytes) => {
                let revision = order.image.revision();
                let taken_at = Some(order.taken_at);
                *status = SnapshotStatus { taken_at, revision, bytes, error: None };
            }
            Err(e) => {
                log::error!("no snapshot: {}: {e}", directory.path.display());
                status.error = Some(e.to_string());
            }
        }
    }
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
    /// Writes a snapshot under another name first, so that none is there in part; gives its size.
    pub fn write(&self, image: &StoreImage, taken_at: u64) -> io::Result<u64> {
        let header = Header {
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
        for old in self.newest_first()?.into_iter().skip(self.kept) {
            fs::remove_file(old)?;
        }
        Ok(bytes.len() as u64)
    }

    /// The newest snapshot that is whole, of this deployment and not from the future.
    pub fn read_newest(&self, wall_ms: u64) -> Option<(Header, StoreImage)> {
        let files = match self.newest_first() {
            Ok(files) => files,
            Err(e) => {
                log::warn!("no snapshots: {}: {e}", self.path.display());
                return None;
            }
        };
        files.iter().find_map(|file| self.read(file, wall_ms))
    }

    fn read(&self, file: &Path, wall_ms: u64) -> Option<(Header, StoreImage)> {
        let bytes = fs::read(file).map_err(|e| e.to_string());
        let read = bytes
            .and_then(|bytes| decode(&bytes, &self.deployment, wall_ms).map_err(|e| e.to_string()));
        read.map_err(|reason| log::warn!("snapshot {} is refused: {reason}", file.display())).ok()
    }

    fn file_name(&self, taken_at: u64) -> String {
        format!("{}-{taken_at:020}{ENDING}", self.controller)
    }

    fn newest_first(&self) -> io::Result<Vec<PathBuf>> {
        let prefix = format!("{}-", self.controller);
        let mut files = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let path = entry?.path();
            let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
            if name.starts_with(&prefix) && name.ends_with(ENDING) {
                files.push(path);
            }
        }
        files.sort_unstable_by(|a, b| b.cmp(a));
        Ok(files)
    }
}
