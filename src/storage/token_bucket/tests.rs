//! Tests of [`super`], the module `token_bucket`.

use super::*;

#[test]
fn a_bucket_gives_its_rate_and_no_more() {
    let mut b = TokenBucket::new(10.0, 0);
    let mut given = 0;
    for ms in 0..2_000 {
        given += u32::from(b.take(1.0, 0.0, ms));
    }
    assert!((29..=31).contains(&given), "burst of 10 and 10 a second: {given}");
    assert!(!b.take(1.0, 5.0, 2_000), "the reserve is kept");
    let at = b.available_at(6.0);
    assert!(!b.take(1.0, 5.0, at - 1) && b.take(1.0, 5.0, at), "neither later nor sooner");
}
