//! Tests of [`super`], the module `records::ids`.

use super::*;
use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;

#[test]
fn names_hash_compare_and_print_as_their_text() {
    let keys = RandomState::new();
    for text in ["job-000412", "n-1#odd", ""] {
        let (job, machine) = (JobId::from(text), MachineName::from(text.to_string()));
        assert_eq!(keys.hash_one(&job), keys.hash_one(text));
        assert_eq!(keys.hash_one(&machine), keys.hash_one(text));
        assert_eq!((job.to_string(), machine.to_string()), (text.to_string(), text.to_string()));
        assert_eq!(format!("{job:?} {machine:?}"), format!("{text:?} {text:?}"));
        assert_eq!(format!("{job:>12}"), format!("{text:>12}"));
    }
    assert!(JobId::from("job-10") < JobId::from("job-2"), "by text, not by number");
}
