//! Tests of [`super`], the module `backoff`.

use super::*;
use rand::SeedableRng;

#[test]
fn delays_double_up_to_the_maximum_and_are_spread_over_half_of_it() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut backoff = Backoff::new(1_000, 10_000);
    for bound_ms in [1_000, 2_000, 4_000, 8_000, 10_000, 10_000] {
        let delay_ms = backoff.next_delay_ms(&mut rng);
        assert!((bound_ms / 2..=bound_ms).contains(&delay_ms), "{delay_ms} of {bound_ms}");
    }
    let delays: Vec<u64> = (0..20).map(|_| backoff.next_delay_ms(&mut rng)).collect();
    let (least, most) = (delays.iter().min().unwrap(), delays.iter().max().unwrap());
    assert!(most - least > 1_000, "no jitter: {delays:?}");
    backoff.reset();
    assert!(backoff.next_delay_ms(&mut rng) <= 1_000);
}
