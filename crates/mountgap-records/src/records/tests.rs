//! Tests of [`super`], the module `records`.

use super::*;
use crate::constants::DONE_CHUNK_TASKS;

#[test]
fn bitmaps_survive_their_text_form() {
    let mut a = Bitmap::default();
    for i in [0, 63, 64, 8_191, 8_192, 99_999] {
        assert!(a.set(i) && !a.set(i));
    }
    let mut b = Bitmap::default();
    for chunk in 0..=99_999 / DONE_CHUNK_TASKS {
        assert!(a.chunk_text(chunk).len() <= 1_024);
        b.add_chunk(chunk, &a.chunk_text(chunk));
    }
    assert_eq!(b.count(), 6);
    assert!(b.get(99_999) && b.get(8_191) && !b.get(1));
    b.add_chunk(0, "zz");
    assert_eq!(b.count(), 6);
}

#[test]
fn keys_are_parsed_as_they_are_built() {
    assert_eq!(parse_key(&batch_key("1-2")), Some(Key::Batch("1-2")));
    assert_eq!(parse_key(&job_end_key("job-1")), Some(Key::JobEnd("job-1")));
    assert_eq!(parse_key(&done_tasks_key(3)), Some(Key::DoneTasks(3)));
    assert_eq!(parse_key(&placements_key(12)), Some(Key::Placements(12)));
    assert_eq!(parse_key("mg/2/new/thing"), None);
    assert!(is_foreign_layout("mg/job/job-1") && !is_foreign_layout(&placements_key(0)));
}

#[test]
fn placements_survive_their_text_form_and_malformed_ones_are_skipped() {
    let text =
        StoredPlacement::text("job-000412", 99_999, "n-1#odd", 7 << 26).expect("can be written");
    let rec = PlacementsRecord { tasks: format!("nonsense {text} 1/2@x") };
    let all: Vec<StoredPlacement<'_>> = rec.placements().collect();
    let one = StoredPlacement {
        job_digits: "000412",
        index: 99_999,
        machine: "n-1#odd",
        attempt: 7 << 26,
    };
    assert_eq!(all, vec![one]);
    assert_eq!(&*one.job_id(), "job-000412");
    assert_eq!(StoredPlacement::text("job-1", 0, "two words", 1), None);
}
