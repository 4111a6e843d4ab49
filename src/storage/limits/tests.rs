//! Tests of [`super`], the module `limits`.

use super::*;
use crate::settings::NextStateLimits;

fn settings(next: Option<NextStateLimits>) -> StateLimits {
    StateLimits { rps: 200.0, write_rps: 25.0, value_kb: 8.0, txn_ops: 16, next }
}

#[test]
fn announced_limits_apply_to_sizes_at_once_and_to_rates_after_a_rejection() {
    let next =
        NextStateLimits { rps: None, write_rps: Some(18.0), value_kb: Some(2.0), txn_ops: Some(5) };
    let mut limits = StoreLimits::new(&settings(Some(next)));
    assert_eq!((limits.value_bytes, limits.transaction_ops), (2_048, 5));
    assert_eq!((limits.requests_per_s, limits.writes_per_s), (200.0, 25.0));
    assert!(limits.lower_rates());
    assert_eq!((limits.requests_per_s, limits.writes_per_s), (200.0, 18.0));
    assert!(!limits.lower_rates(), "they are lowered already");
}

#[test]
fn without_announced_limits_the_settings_stay_in_force() {
    let mut limits = StoreLimits::new(&settings(None));
    assert_eq!((limits.value_bytes, limits.transaction_ops), (8_192, 16));
    assert!(!limits.lower_rates());
    assert_eq!(limits.writes_per_s, 25.0);
}

#[test]
fn larger_announced_limits_change_nothing() {
    let next = NextStateLimits { value_kb: Some(16.0), txn_ops: Some(64), ..Default::default() };
    let limits = StoreLimits::new(&settings(Some(next)));
    assert_eq!((limits.value_bytes, limits.transaction_ops), (8_192, 16));
}

#[test]
fn sizes_are_halved_down_to_the_minimum() {
    let mut limits = StoreLimits::new(&settings(None));
    (0..20).for_each(|_| limits.halve_sizes());
    assert_eq!(limits.value_bytes, STORE_VALUE_BYTES_MIN);
    assert_eq!(limits.transaction_ops, TRANSACTION_OPS_MIN);
}
