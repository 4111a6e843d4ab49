//! Tests of [`super`], the module `placements`.

use super::*;
use crate::protocol::users::JobKind;
use crate::storage::hashing::HashKeys;
use crate::storage::machine::MachineState;
use crate::storage::placement_group::PlacementGroup;
use crate::storage::records::gang_batch_key;
use crate::storage::records::StoredPlacement;
use crate::storage::replica::Replica;
use crate::storage::testing::batch_of;
use std::rc::Rc;

/// Value size limit under which a group holds about twenty placements.
const VALUE_BYTES: usize = 512;

fn builder_with_writes(writes_max: usize) -> TransactionBuilder {
    TransactionBuilder {
        conditions: BTreeMap::new(),
        writes: Vec::new(),
        bytes: 0,
        writes_max,
        conditions_max: 64,
        value_bytes_max: VALUE_BYTES,
    }
}

/// A cluster with a gang of `tasks` tasks that is proposed on two machines.
fn cluster_with_proposed_gang(tasks: u32) -> ClusterState {
    let mut batch = batch_of("job-1", tasks);
    Rc::make_mut(&mut batch.jobs[0]).kind = JobKind::Gang;
    let mut replica = Replica::new(HashKeys::from_seed(1));
    replica.write(&gang_batch_key("a"), &raw_json(&batch), 3);
    let mut cluster = ClusterState::from_replica(&replica, 0);
    let names: Vec<MachineName> = vec!["n-000001".into(), "n-000002".into()];
    for name in &names {
        cluster.machine_entry(name, 0).state = MachineState::Up;
    }
    let machines: Vec<MachineName> = (0..tasks).map(|n| names[n as usize % 2].clone()).collect();
    assert!(cluster.propose_gang(&"job-1".into(), &machines, 7, 0));
    cluster
}

#[test]
fn a_gang_is_committed_in_one_transaction_across_several_groups() {
    let mut cluster = cluster_with_proposed_gang(50);
    let (mut builder, mut pending) = (builder_with_writes(8), PendingTransaction::default());
    cluster.pack_placements(&mut builder, &mut pending, false, TransactionScope::Everything);
    assert_eq!(pending.additions.len(), 50);
    assert!(builder.writes.len() > 1);
    assert_eq!(
        builder.conditions.get("mg/2/end/job-1"),
        Some(&0),
        "it requires that the job has no end record"
    );
    assert!(cluster.proposals.is_empty());
}

#[test]
fn a_gang_that_does_not_fit_is_deferred_whole() {
    let mut cluster = cluster_with_proposed_gang(50);
    let (mut builder, mut pending) = (builder_with_writes(1), PendingTransaction::default());
    cluster.pack_placements(&mut builder, &mut pending, false, TransactionScope::Everything);
    assert!(
        pending.additions.is_empty() && builder.writes.is_empty(),
        "stored {} placements",
        pending.additions.len()
    );
    assert_eq!(cluster.proposals.len(), 50);
    assert!(cluster.gang_is_deferred, "the next transaction is for it");
}

#[test]
fn a_gang_too_large_for_any_transaction_is_retracted_and_blocks_nothing() {
    let mut cluster = cluster_with_proposed_gang(50);
    let (mut builder, mut pending) = (builder_with_writes(1), PendingTransaction::default());
    cluster.pack_placements(&mut builder, &mut pending, false, TransactionScope::StoreGang);
    assert!(cluster.proposals.is_empty() && !cluster.gang_is_deferred);
    assert_eq!(cluster.jobs["job-1"].waiting_tasks(), 50);
}

#[test]
fn a_transaction_for_a_gang_leaves_out_urgent_groups() {
    let mut cluster = cluster_with_proposed_gang(20);
    let bytes = VALUE_BYTES - GROUP_OVERHEAD_BYTES;
    cluster.groups.insert(0, PlacementGroup { bytes, urgent: true, ..PlacementGroup::default() });
    let (mut builder, mut pending) = (builder_with_writes(1), PendingTransaction::default());
    cluster.pack_placements(&mut builder, &mut pending, false, TransactionScope::Everything);
    assert!(pending.additions.is_empty() && cluster.gang_is_deferred);
    let (mut builder, mut pending) = (builder_with_writes(1), PendingTransaction::default());
    cluster.pack_placements(&mut builder, &mut pending, false, TransactionScope::StoreGang);
    assert_eq!(pending.additions.len(), 20);
}

#[test]
fn a_gang_with_a_terminated_machine_is_retracted_whole() {
    let mut cluster = cluster_with_proposed_gang(6);
    cluster.machines.get_mut("n-000002").expect("a machine").state = MachineState::Terminated;
    let (mut builder, mut pending) = (builder_with_writes(8), PendingTransaction::default());
    cluster.pack_placements(&mut builder, &mut pending, false, TransactionScope::Everything);
    assert!(pending.additions.is_empty() && builder.writes.is_empty());
    assert_eq!(cluster.jobs["job-1"].waiting_tasks(), 6);
    assert!(cluster.machines.values().all(|m| m.placements.is_empty()));
}

#[test]
fn an_oversized_group_is_split_and_no_placement_is_lost() {
    let mut cluster = cluster_with_proposed_gang(6);
    cluster.proposals.clear();
    for task in 0..60 {
        let (machine, id): (MachineName, TaskId) =
            ("n-000001".into(), TaskId::new("job-9".into(), task));
        let bytes = StoredPlacement::text("job-9", task, &machine, 9).expect("a text").len() + 1;
        let group = cluster.groups.entry(0).or_default();
        group.insert(AttemptId::new(id, 9), machine, bytes);
    }
    assert!(cluster.has_oversized_group(VALUE_BYTES));
    let (mut builder, mut pending) = (builder_with_writes(2), PendingTransaction::default());
    cluster.pack_placements(&mut builder, &mut pending, true, TransactionScope::SplitGroup);
    assert!(builder.writes.is_empty(), "a group is only split if all of its parts fit");
    let (mut builder, mut pending) = (builder_with_writes(8), PendingTransaction::default());
    cluster.pack_placements(&mut builder, &mut pending, true, TransactionScope::SplitGroup);
    let stored: usize = builder.writes.iter().map(stored_placements).sum();
    assert_eq!(stored, 60, "every placement is in one of the values");
    cluster.apply_moves(std::mem::take(&mut pending.moves));
    assert!(!cluster.has_oversized_group(VALUE_BYTES));
    assert_eq!(cluster.groups.values().map(|g| g.placements.len()).sum::<usize>(), 60);
}

fn stored_placements(write: &crate::protocol::state::Mutation) -> usize {
    let crate::protocol::state::Mutation::Put { value, .. } = write else { return 0 };
    let record: PlacementsRecord = serde_json::from_str(value.get()).expect("a record");
    record.placements().count()
}
