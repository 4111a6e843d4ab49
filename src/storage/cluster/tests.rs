//! Tests of [`super`], the module `cluster`.

use super::*;
use crate::protocol::state::raw_json;
use crate::protocol::workers::EndCause;
use crate::storage::records::batch_key;
use crate::storage::replica::Replica;
use crate::storage::testing::batch_of;

#[test]
fn enough_signs_in_a_row_make_a_machine_deaf_and_one_of_hearing_ends_it() {
    let mut m = Machine::new("n-a".into(), 0);
    assert!(!m.note_response_delivery(1, false, 1_000, 20_000));
    assert!(!m.note_response_delivery(1, true, 2_000, 20_000), "heard after all");
    assert!(!m.note_response_delivery(1, false, 3_000, 20_000));
    assert!(m.note_response_delivery(2, false, 5_000, 20_000), "three in a row");
    assert!(
        !m.note_response_delivery(0, false, 6_000, 20_000) && m.unreachable_since.is_some(),
        "no sign yet"
    );
    m.note_response_delivery(0, false, 30_000, 20_000);
    assert!(m.unreachable_since.is_none(), "calm for long");
}

#[test]
fn a_placement_settled_while_its_commit_is_under_way_is_settled_once() {
    // Once as never stored and once more when its group gave it up, its task came to wait
    // while it was placed anew, and ran twice.
    let mut r = Replica::new(HashKeys::from_seed(1));
    r.write(&batch_key("a"), &raw_json(&batch_of("job-1", 1)), 3);
    let mut b = ClusterState::from_replica(&r, 0);
    let (uid, a, z): (JobId, MachineName, MachineName) =
        ("job-1".into(), "n-a".into(), "n-z".into());
    b.machine_entry(&a, 0);
    b.machine_entry(&z, 0);
    let id = TaskId::new(uid.clone(), 0);
    b.propose(&uid, 0, &a, 7, 0);
    b.proposals.clear();
    b.settle(&a, &id, EndCause::Lost);
    let key = (id.clone(), 7);
    b.groups.entry(0).or_default().placements.insert(key.clone(), (a.clone(), 20));
    b.committed(&a, &id, 7, 0);
    b.drop_unstored_settlements();
    assert_eq!(b.jobs[&uid].next_waiting(), None, "its group still names it");
    assert!(b.groups[&0].settled.contains(&key));
    b.settlement_committed(&a, &id, 7);
    assert_eq!(b.jobs[&uid].next_waiting(), Some(0));
    b.propose(&uid, 0, &z, 8, 0);
    b.settlement_committed(&a, &id, 7);
    assert_eq!(b.jobs[&uid].next_waiting(), None, "it is placed");
}
