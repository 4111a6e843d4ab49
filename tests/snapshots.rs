//! Snapshots in a directory: which are kept, which is read, and what happens if the directory can't be written.

use mountgap::snapshots::SnapshotDirectory;
use mountgap_recovery::image::StoreImage;
use std::fs;
use std::path::PathBuf;

const NOW: u64 = 1_000_000;

/// A directory for one test, removed when this is dropped.
struct TestDirectory(PathBuf);

impl TestDirectory {
    fn new(name: &str) -> TestDirectory {
        let path = std::env::temp_dir().join(format!("mountgap-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        TestDirectory(path)
    }

    fn snapshots(&self, deployment: &str) -> SnapshotDirectory {
        let (path, deployment) = (self.0.clone(), deployment.to_string());
        SnapshotDirectory { path, kept: 3, deployment, controller: "c-0".into() }
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn image(revision: u64) -> StoreImage {
    let mut image = StoreImage::new();
    image.put("mg/2/term", revision, "{\"term\":1}");
    image.advance(revision);
    image
}

#[test]
fn the_newest_intact_snapshot_of_the_deployment_is_read_and_old_ones_are_deleted() {
    let directory = TestDirectory::new("newest");
    let snapshots = directory.snapshots("here");
    for n in 1..=5 {
        snapshots.write(&image(n), NOW + n).expect("a writable directory");
    }
    assert_eq!(fs::read_dir(&directory.0).expect("a directory").count(), 3);
    let revision = |now: u64| snapshots.read_newest(now).map(|(header, _)| header.revision);
    assert_eq!(revision(NOW + 10), Some(5));

    // The newest is truncated and the second newest has a flipped bit, so the third newest is read.
    let file = |n: u64| directory.0.join(format!("c-0-{:020}.snapshot", NOW + n));
    let bytes = fs::read(file(5)).expect("a snapshot");
    fs::write(file(5), &bytes[..bytes.len() / 2]).expect("a writable directory");
    let mut bytes = fs::read(file(4)).expect("a snapshot");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 4;
    fs::write(file(4), bytes).expect("a writable directory");
    assert_eq!(revision(NOW + 10), Some(3));

    assert!(directory.snapshots("elsewhere").read_newest(NOW + 10).is_none());
    assert_eq!(revision(0), None, "all snapshots are from the future");
}

#[test]
fn an_unwritable_directory_gives_an_error() {
    let directory = TestDirectory::new("unwritable");
    fs::write(&directory.0, "a file where the directory should be").expect("a writable directory");
    let snapshots = directory.snapshots("here");
    assert!(snapshots.write(&image(1), NOW).is_err());
    assert!(snapshots.read_newest(NOW).is_none());
    let _ = fs::remove_file(&directory.0);
}
