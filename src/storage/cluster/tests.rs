//! Tests of [`super`], the module `cluster`.

use super::*;
use crate::protocol::state::raw_json;
use crate::protocol::workers::EndCause;
use crate::storage::machine::AttemptId;
use crate::storage::records::batch_key;
use crate::storage::replica::Replica;
use crate::storage::testing::batch_of;

#[test]
fn missed_response_signs_make_a_machine_unreachable_until_they_stop() {
    let mut machine = Machine::new("n-a".into(), 0);
    assert!(!machine.record_response_delivery(1, false, 1_000, 20_000));
    assert!(
        !machine.record_response_delivery(1, true, 2_000, 20_000),
        "a delivery resets the count"
    );
    assert!(!machine.record_response_delivery(1, false, 3_000, 20_000));
    assert!(machine.record_response_delivery(2, false, 5_000, 20_000), "three in a row");
    assert!(
        !machine.record_response_delivery(0, false, 6_000, 20_000)
            && machine.unreachable_since.is_some(),
        "no further sign, but too early"
    );
    machine.record_response_delivery(0, false, 30_000, 20_000);
    assert!(machine.unreachable_since.is_none(), "no further sign for long");
}

#[test]
fn a_placement_settled_while_its_commit_is_under_way_is_settled_once() {
    // Guards against handling the settlement twice, first as one of a placement that was never stored
    // and then as one of its group: that requeued a task that was already placed again, and it ran twice.
    let mut replica = Replica::new(HashKeys::from_seed(1));
    replica.write(&batch_key("a"), &raw_json(&batch_of("job-1", 1)), 3);
    let mut cluster = ClusterState::from_replica(&replica, 0);
    let (job, first, second): (JobId, MachineName, MachineName) =
        ("job-1".into(), "n-a".into(), "n-z".into());
    cluster.machine_entry(&first, 0);
    cluster.machine_entry(&second, 0);
    let id = TaskId::new(job.clone(), 0);
    cluster.propose(&job, 0, &first, 7, 0);
    cluster.proposals.clear();
    cluster.settle(&first, &id, EndCause::Lost);
    let key = AttemptId::new(id.clone(), 7);
    cluster.groups.entry(0).or_default().insert(key.clone(), first.clone(), 20);
    cluster.on_placement_committed(&first, &key, 0);
    cluster.drop_unstored_settlements();
    assert_eq!(cluster.jobs[&job].next_waiting_task(), None, "the group still contains it");
    assert!(cluster.groups[&0].settled.contains(&key));
    cluster.on_settlement_committed(&first, &key);
    assert_eq!(cluster.jobs[&job].next_waiting_task(), Some(0));
    cluster.propose(&job, 0, &second, 8, 0);
    cluster.on_settlement_committed(&first, &key);
    assert_eq!(cluster.jobs[&job].next_waiting_task(), None, "it is placed");
}
