//! Hash maps whose iteration order depends only on their contents and the seed of the controller.
//!
//! The maps of `std` get their hash keys from the operating system, so two runs with the same seed would
//! iterate in different orders and make different decisions. All maps of a controller share one pair of hash
//! keys instead, derived from the controller's seed. In simulations the seed is fixed. In production it
//! is random: job ids come from users, who could choose colliding ones if the keys were known.

use rand::{rngs::SmallRng, Rng, SeedableRng};
use siphasher::sip::SipHasher13;
use std::hash::BuildHasher;

/// A hash map with a repeatable iteration order.
pub type HashMap<K, V> = std::collections::HashMap<K, V, HashKeys>;

/// A hash set with a repeatable iteration order.
pub type HashSet<T> = std::collections::HashSet<T, HashKeys>;

/// XORed with the controller's seed, so that the hash keys are independent of the other random numbers
/// that the controller draws from the same seed.
const HASH_KEY_SEED_MASK: u64 = 0x6861_7368_2d6b_6579;

/// Keys of SipHash-1-3, the hash function that `std` uses. There is deliberately no `Default`, so that
/// every map gets the keys of its controller.
#[derive(Debug, Clone, Copy)]
pub struct HashKeys {
    first: u64,
    second: u64,
}

impl HashKeys {
    /// The hash keys for a controller's seed.
    pub fn from_seed(seed: u64) -> HashKeys {
        let mut rng = SmallRng::seed_from_u64(seed ^ HASH_KEY_SEED_MASK);
        HashKeys { first: rng.random(), second: rng.random() }
    }

    /// An empty map with these keys.
    pub fn map<K, V>(self) -> HashMap<K, V> {
        HashMap::with_hasher(self)
    }

    /// An empty set with these keys.
    pub fn set<T>(self) -> HashSet<T> {
        HashSet::with_hasher(self)
    }
}

impl BuildHasher for HashKeys {
    type Hasher = SipHasher13;

    fn build_hasher(&self) -> SipHasher13 {
        SipHasher13::new_with_keys(self.first, self.second)
    }
}
