//! Tests of [`super`], the module `token_bucket`.

use super::*;

#[test]
fn a_bucket_allows_its_burst_and_rate_and_no_more() {
    let mut bucket = TokenBucket::new(10.0, 0);
    let mut given = 0;
    for ms in 0..2_000 {
        given += u32::from(bucket.try_take(1.0, 0.0, ms));
    }
    assert!((29..=31).contains(&given), "burst of 10 and 10 a second: {given}");
    assert!(!bucket.try_take(1.0, 5.0, 2_000), "the reserve is kept");
    let at = bucket.available_at(6.0);
    assert!(
        !bucket.try_take(1.0, 5.0, at - 1) && bucket.try_take(1.0, 5.0, at),
        "available exactly then"
    );
}
