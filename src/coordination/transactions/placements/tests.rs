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

/// Bytes of a value that holds some twenty placements.
const VALUE_BYTES: usize = 512;

fn packer(writes_max: usize) -> TransactionBuilder {
    TransactionBuilder {
        conditions: BTreeMap::new(),
        writes: Vec::new(),
        bytes: 0,
        writes_max,
        conditions_max: 64,
        value_bytes_max: VALUE_BYTES,
    }
}

/// A cluster in which a gang of so many tasks is proposed on two machines.
fn proposed(tasks: u32) -> ClusterState {
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
fn a_gang_is_stored_by_one_commit_that_may_write_several_groups() {
    let mut cluster = proposed(50);
    let (mut p, mut f) = (packer(8), PendingTransaction::default());
    cluster.pack_placements(&mut p, &mut f, false, TransactionScope::Everything);
    assert_eq!(f.additions.len(), 50);
    assert!(p.writes.len() > 1);
    assert_eq!(
        p.conditions.get("mg/2/end/job-1"),
        Some(&0),
        "it depends on the job not having ended"
    );
    assert!(cluster.proposals.is_empty());
}

#[test]
fn a_gang_that_does_not_fit_waits_whole() {
    let mut cluster = proposed(50);
    let (mut p, mut f) = (packer(1), PendingTransaction::default());
    cluster.pack_placements(&mut p, &mut f, false, TransactionScope::Everything);
    assert!(f.additions.is_empty() && p.writes.is_empty(), "{} are stored", f.additions.len());
    assert_eq!(cluster.proposals.len(), 50);
    assert!(cluster.gang_is_deferred, "the next commit is for it");
}

#[test]
fn a_gang_that_no_commit_can_hold_is_taken_back_and_blocks_nothing() {
    let mut cluster = proposed(50);
    let (mut p, mut f) = (packer(1), PendingTransaction::default());
    cluster.pack_placements(&mut p, &mut f, false, TransactionScope::StoreGang);
    assert!(cluster.proposals.is_empty() && !cluster.gang_is_deferred);
    assert_eq!(cluster.jobs["job-1"].waiting(), 50);
}

#[test]
fn a_commit_for_a_gang_leaves_urgent_groups_to_the_next() {
    let mut cluster = proposed(20);
    let bytes = VALUE_BYTES - GROUP_FRAME_BYTES;
    cluster.groups.insert(0, PlacementGroup { bytes, urgent: true, ..PlacementGroup::default() });
    let (mut p, mut f) = (packer(1), PendingTransaction::default());
    cluster.pack_placements(&mut p, &mut f, false, TransactionScope::Everything);
    assert!(f.additions.is_empty() && cluster.gang_is_deferred);
    let (mut p, mut f) = (packer(1), PendingTransaction::default());
    cluster.pack_placements(&mut p, &mut f, false, TransactionScope::StoreGang);
    assert_eq!(f.additions.len(), 20);
}

#[test]
fn a_gang_of_which_a_machine_is_gone_is_taken_back_whole() {
    let mut cluster = proposed(6);
    cluster.machines.get_mut("n-000002").expect("a machine").state = MachineState::Terminated;
    let (mut p, mut f) = (packer(8), PendingTransaction::default());
    cluster.pack_placements(&mut p, &mut f, false, TransactionScope::Everything);
    assert!(f.additions.is_empty() && p.writes.is_empty());
    assert_eq!(cluster.jobs["job-1"].waiting(), 6);
    assert!(cluster.machines.values().all(|m| m.placements.is_empty()));
}

#[test]
fn a_group_that_is_too_large_is_divided_and_nothing_is_lost() {
    let mut cluster = proposed(6);
    cluster.proposals.clear();
    for task in 0..60 {
        let (machine, id): (MachineName, TaskId) =
            ("n-000001".into(), TaskId::new("job-9".into(), task));
        let bytes = StoredPlacement::text("job-9", task, &machine, 9).expect("a text").len() + 1;
        let group = cluster.groups.entry(0).or_default();
        group.insert(AttemptId::new(id, 9), machine, bytes);
    }
    assert!(cluster.has_oversized_group(VALUE_BYTES));
    let (mut p, mut f) = (packer(2), PendingTransaction::default());
    cluster.pack_placements(&mut p, &mut f, true, TransactionScope::SplitGroup);
    assert!(p.writes.is_empty(), "not unless all parts find room");
    let (mut p, mut f) = (packer(8), PendingTransaction::default());
    cluster.pack_placements(&mut p, &mut f, true, TransactionScope::SplitGroup);
    let stored: usize = p.writes.iter().map(stored_placements).sum();
    assert_eq!(stored, 60, "every placement stands in one of the values");
    cluster.apply_moves(std::mem::take(&mut f.moves));
    assert!(!cluster.has_oversized_group(VALUE_BYTES));
    assert_eq!(cluster.groups.values().map(|g| g.placements.len()).sum::<usize>(), 60);
}

fn stored_placements(write: &crate::protocol::state::Mutation) -> usize {
    let crate::protocol::state::Mutation::Put { value: data, .. } = write else { return 0 };
    let rec: PlacementsRecord = serde_json::from_str(data.get()).expect("a record");
    rec.placed().count()
}
