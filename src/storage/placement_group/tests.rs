//! Tests of [`super`], the module `placement_group`.

use super::*;

#[test]
fn a_group_counts_the_bytes_of_its_placements_and_knows_what_was_settled() {
    let (first, second) = (TaskId::new("job-1".into(), 0), TaskId::new("job-1".into(), 1));
    let mut group = PlacementGroup::new(4);
    group.insert(first.clone(), 7, "n-a".into(), 20);
    group.insert(second.clone(), 7, "n-b".into(), 30);
    group.settle(first.clone(), 7, true);
    assert_eq!((group.mod_revision, group.bytes, group.urgent), (4, 50, true));
    assert!(!group.remove(&second, 8), "another attempt is left alone");
    assert_eq!(group.bytes, 50);
    assert!(group.remove(&first, 7) && !group.remove(&second, 7));
    assert_eq!((group.bytes, group.placements.len(), group.settled.len()), (0, 0, 0));
}
