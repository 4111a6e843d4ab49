//! Tests of [`super`], the module `gang_rules`.

use super::*;
use crate::protocol::users::JobKind;
use crate::settings::StateLimits;
use crate::storage::testing::batch_of;

fn workers(report_s: f64, gang_peer_s: f64) -> Workers {
    Workers { report_s, lease_s: 20.0, cancel_s: 45.0, gang_wait_s: 30.0, gang_peer_s }
}

fn spec(kind: JobKind, checkpoint_interval_s: f64) -> JobSpec {
    JobSpec { kind, checkpoint_interval_s, ..(*batch_of("job-1", 4).jobs[0]).clone() }
}

#[test]
fn a_gang_keeps_progress_only_if_all_tasks_are_told_to_stop_in_time() {
    let gang = spec(JobKind::Gang, 20.0);
    assert!(
        keeps_progress_when_stopped(&gang, &workers(4.0, 5.0)),
        "the last heartbeat comes after 5 s"
    );
    assert!(!keeps_progress_when_stopped(&gang, &workers(4.0, 4.9)));
    assert!(keeps_progress_when_stopped(&gang, &workers(4.0, 0.0)), "there is no limit");
    assert!(keeps_progress_when_stopped(&spec(JobKind::Batch, 20.0), &workers(4.0, 4.9)));
    assert!(!keeps_progress_when_stopped(&spec(JobKind::Gang, 0.0), &workers(4.0, 5.0)));
}

#[test]
fn the_largest_gang_fits_into_one_transaction() {
    let limits = |value_kb, txn_ops, write_rps| {
        StoreLimits::new(&StateLimits { rps: 200.0, write_rps, value_kb, txn_ops, next: None })
    };
    assert_eq!(gang_tasks_max(&limits(2.0, 4, 15.0), 3), 4 * 31);
    // Limited by the bytes of a transaction: 48 KiB of values.
    assert_eq!(gang_tasks_max(&limits(8.0, 16, 200.0), 3), 6 * 127);
    // Limited by the leader's writes: six tenths of the rate, less a reserve of two.
    assert_eq!(gang_tasks_max(&limits(2.0, 16, 10.0), 3), 4 * 31);
    assert_eq!(gang_tasks_max(&limits(2.0, 16, 1.0), 3), 31, "at least one placement group");
}

#[test]
fn a_spread_gang_needs_two_zones() {
    let with = |spread, one_zone, tasks| {
        let spec = JobSpec { spread, one_zone, tasks, ..spec(JobKind::Gang, 0.0) };
        (zones_suffice(&spec, 1), zones_suffice(&spec, 2))
    };
    assert_eq!(with(false, true, 4), (true, true));
    assert_eq!(with(true, false, 4), (false, true));
    assert_eq!(with(true, true, 4), (false, false));
    assert_eq!(with(true, true, 1), (true, true));
}
