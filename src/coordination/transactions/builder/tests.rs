//! Tests of [`super`], the module `builder`.

use super::*;
use crate::protocol::state::raw_json;

fn builder() -> TransactionBuilder {
    TransactionBuilder {
        conditions: BTreeMap::from([("leader".to_string(), 7)]),
        writes: Vec::new(),
        bytes: 0,
        writes_max: 2,
        conditions_max: 3,
        value_bytes_max: 8,
    }
}

#[test]
fn a_write_depends_on_the_revision_of_its_key() {
    let mut builder = builder();
    assert!(builder.put("a".into(), raw_json(&1), 4));
    builder.remove("b".into(), 5);
    let transaction = builder.build();
    let conditions: Vec<(&str, u64)> =
        transaction.conditions.iter().map(|c| (c.key.as_str(), c.mod_revision)).collect();
    assert_eq!(conditions, [("a", 4), ("b", 5), ("leader", 7)]);
    assert_eq!(transaction.writes.len(), 2);
}

#[test]
fn a_write_beyond_a_limit_is_rejected() {
    let mut builder = builder();
    assert!(!builder.put("a".into(), raw_json(&"longer than a value"), 0));
    assert!(builder.put("a".into(), raw_json(&1), 0));
    assert!(builder.put("b".into(), raw_json(&2), 0));
    assert!(!builder.put("c".into(), raw_json(&3), 0), "a third write exceeds the maximum of two");
    assert!(!builder.has_capacity(0, 1), "a fourth condition exceeds the maximum of three");
}
