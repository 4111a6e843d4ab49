//! Tests of [`super`], the module `replica`.

use super::*;
use crate::protocol::state::{raw_json, WatchEvent, WatchResponse};
use crate::storage::hashing::HashKeys;
use crate::storage::records::{batch_key, job_end_key, placements_key, StoredPlacement};
use crate::storage::testing::batch_of;

fn put(key: String, record: &PlacementsRecord, mod_revision: u64) -> WatchEvent {
    WatchEvent {
        put_key: Some(key),
        removed_key: None,
        value: Some(raw_json(record)),
        mod_revision,
    }
}

fn one_placement() -> PlacementsRecord {
    PlacementsRecord { tasks: StoredPlacement::text("job-1", 0, "n-1", 7).expect("can be written") }
}

#[test]
fn a_late_response_of_an_older_revision_changes_nothing() {
    let mut replica = Replica::new(HashKeys::from_seed(1));
    let none = PlacementsRecord::default();
    let new = WatchResponse { revision: 9, events: vec![put(placements_key(0), &none, 8)] };
    let old =
        WatchResponse { revision: 5, events: vec![put(placements_key(0), &one_placement(), 4)] };
    replica.apply(&new);
    replica.apply(&old);
    assert_eq!(replica.placement_groups[&0].value, none);
    assert_eq!((replica.revision, replica.placed_task_count("job-1")), (9, 0));
}

#[test]
fn a_key_removed_ahead_of_the_watch_does_not_come_back() {
    let mut replica = Replica::new(HashKeys::from_seed(1));
    replica.write(&placements_key(0), &raw_json(&one_placement()), 4);
    replica.remove(&placements_key(0), 6);
    replica.apply(&WatchResponse {
        revision: 5,
        events: vec![put(placements_key(0), &one_placement(), 4)],
    });
    assert!(replica.placement_groups.is_empty(), "the write at 4 is older than the removal at 6");
    assert_eq!(replica.placed_task_count("job-1"), 0);
    replica.apply(&WatchResponse {
        revision: 8,
        events: vec![put(placements_key(0), &one_placement(), 8)],
    });
    assert_eq!(
        (replica.placement_groups.len(), replica.placed_task_count("job-1")),
        (1, 1),
        "a later write is applied"
    );
}

#[test]
fn jobs_of_one_transaction_have_distinct_arrival_numbers() {
    // Guards against equal arrival numbers in two batches of one transaction: of two jobs with the same
    // number, only one would ever be placed.
    let mut replica = Replica::new(HashKeys::from_seed(1));
    let mut second = batch_of("job-2", 1);
    second.first = 1;
    replica.write(&batch_key("a"), &raw_json(&batch_of("job-1", 1)), 4);
    replica.write(&batch_key("b"), &raw_json(&second), 4);
    assert!(replica.jobs["job-1"].mod_revision < replica.jobs["job-2"].mod_revision);
}

#[test]
fn of_a_job_in_two_batches_the_earlier_counts_in_any_read_order() {
    let end = JobEndRecord { at: 5, stage: JobStage::Done, tasks: 3, done: 3 };
    let all = [
        (batch_key("a"), raw_json(&batch_of("job-1", 3)), 4),
        (batch_key("b"), raw_json(&batch_of("job-1", 7)), 6),
        (job_end_key("job-1"), raw_json(&end), 9),
    ];
    for order in [[0, 1, 2], [1, 0, 2], [2, 1, 0], [2, 0, 1]] {
        let mut replica = Replica::new(HashKeys::from_seed(1));
        for i in order {
            replica.write(&all[i].0, &all[i].1, all[i].2);
        }
        let job = &replica.jobs["job-1"].value;
        assert_eq!(
            (job.stage, job.end_revision, replica.mod_revision(&job_end_key("job-1"))),
            (JobStage::Done, 9, 9)
        );
        if order[2] == 2 {
            assert_eq!(job.tasks, 3, "read in order {order:?}");
        }
        replica.remove(&batch_key("a"), 12);
        assert!(
            replica.jobs["job-1"].value.spec.is_none(),
            "the end is kept without the specification"
        );
    }
}
