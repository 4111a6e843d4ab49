//! Tests of [`super`], the module `placement_group`.

use super::*;
use crate::storage::machine::TaskId;

#[test]
fn a_group_counts_the_bytes_of_its_placements_and_records_settled_ones() {
    let attempt = |index, number| AttemptId::new(TaskId::new("job-1".into(), index), number);
    let (first, second) = (attempt(0, 7), attempt(1, 7));
    let mut group = PlacementGroup::new(4);
    group.insert(first.clone(), "n-a".into(), 20);
    group.insert(second.clone(), "n-b".into(), 30);
    group.settle(first.clone(), true);
    assert_eq!((group.mod_revision, group.bytes, group.urgent), (4, 50, true));
    assert!(!group.remove(&attempt(1, 8)), "another attempt is left alone");
    assert_eq!(group.bytes, 50);
    assert!(group.remove(&first) && !group.remove(&second));
    assert_eq!((group.bytes, group.placements.len(), group.settled.len()), (0, 0, 0));
}
