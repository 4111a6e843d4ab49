//! Snapshots are read back as they were written, and damaged files are rejected.

use bolero::check;
use mountgap_recovery::image::StoreImage;
use mountgap_recovery::snapshot::{decode, encode, SnapshotError, SnapshotHeader, FORMAT_VERSION};

const NOW: u64 = 1_000_000;
const ITERATIONS: usize = 2_000;

fn header(image: &StoreImage) -> SnapshotHeader {
    SnapshotHeader {
        deployment: "here".into(),
        controller: "c-0".into(),
        revision: image.revision(),
        taken_at: NOW,
        keys: image.len() as u64,
    }
}

fn image() -> StoreImage {
    let mut image = StoreImage::new();
    for n in 0..200_u64 {
        image.put(&format!("mg/2/end/job-{n}"), n + 1, &format!("{{\"at\":{n}}}"));
    }
    image.advance(300);
    image
}

fn encoded() -> Vec<u8> {
    let image = image();
    encode(&header(&image), &image).expect("encoding succeeds")
}

#[test]
fn a_snapshot_is_compressed_and_decodes_to_the_same_image() {
    let image = image();
    let (head, read) = decode(&encoded(), "here", NOW).expect("the snapshot is intact");
    assert_eq!(read, image);
    assert_eq!(head, header(&image));
    let plain: usize = image.iter().map(|(key, value)| key.len() + value.data.len() + 8).sum();
    assert!(encoded().len() * 2 < plain, "{} of {plain} bytes", encoded().len());
}

#[test]
fn each_defect_of_a_snapshot_gives_its_own_error() {
    let file = encoded();
    let reason = |bytes: &[u8]| decode(bytes, "here", NOW).expect_err("the snapshot is rejected");
    for length in 0..file.len() {
        let error = reason(&file[..length]);
        assert!(matches!(error, SnapshotError::Truncated | SnapshotError::Checksum), "{error}");
    }
    assert_eq!(reason(b"something else"), SnapshotError::NotASnapshot);
    let mut newer = file.clone();
    newer[8..12].copy_from_slice(&(FORMAT_VERSION + 1).to_le_bytes());
    assert_eq!(reason(&newer), SnapshotError::NewerFormat(FORMAT_VERSION + 1));
    let other = decode(&file, "elsewhere", NOW).expect_err("the snapshot is rejected");
    assert_eq!(other, SnapshotError::OtherDeployment("here".into()));
    let future = decode(&file, "here", NOW - 600_000).expect_err("the snapshot is rejected");
    assert_eq!(future, SnapshotError::FutureDated(NOW));
    let empty = StoreImage::new();
    let mut image = image();
    image.put("mg/2/term", 301, "{}");
    let head = SnapshotHeader { revision: 300, ..header(&image) };
    let bytes = encode(&head, &image).expect("encoding succeeds");
    assert!(matches!(reason(&bytes), SnapshotError::Malformed(_)));
    let head = SnapshotHeader { keys: 1, ..header(&empty) };
    let bytes = encode(&head, &empty).expect("encoding succeeds");
    assert!(matches!(reason(&bytes), SnapshotError::Malformed(_)));
}

#[test]
fn a_flipped_bit_is_detected() {
    let file = encoded();
    check!().with_type::<(u16, u8)>().with_iterations(ITERATIONS).for_each(|(at, bit)| {
        let mut damaged = file.clone();
        let at = usize::from(*at) % damaged.len();
        damaged[at] ^= 1 << (bit % 8);
        assert!(decode(&damaged, "here", NOW).is_err(), "byte {at}");
    });
}

#[test]
fn arbitrary_bytes_never_make_the_decoder_panic() {
    check!().with_type::<Vec<u8>>().with_iterations(ITERATIONS).for_each(|bytes| {
        assert!(decode(bytes, "here", NOW).is_err());
        // The same bytes behind a valid header and with a valid checksum.
        let mut whole = b"mountgap".to_vec();
        whole.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
        let head = br#"{"deployment":"here","controller":"c","revision":9,"taken_at":1,"keys":3}"#;
        whole.extend_from_slice(&(head.len() as u32).to_le_bytes());
        let body: Vec<u8> = head.iter().chain(bytes).copied().collect();
        whole.extend_from_slice(&body);
        let checksum = crc32fast::hash(&whole);
        whole.extend_from_slice(&checksum.to_le_bytes());
        let _ = decode(&whole, "here", NOW);
    });
}
