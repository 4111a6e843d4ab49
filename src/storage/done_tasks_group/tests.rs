//! Tests of [`super`], the module `done_tasks_group`.

use super::*;

#[test]
fn a_group_counts_the_bytes_of_its_chunks() {
    let job = JobId::from("job-1");
    let mut group = DoneTasksGroup::new(4);
    group.insert(job.clone(), 0, 100);
    group.insert(job.clone(), 1, 40);
    assert_eq!((group.mod_revision, group.bytes), (4, 140));
    group.remove(&job, 2);
    assert_eq!(group.bytes, 140, "removing an absent chunk changes nothing");
    group.remove(&job, 0);
    assert_eq!((group.bytes, group.chunks.len()), (40, 1));
}
