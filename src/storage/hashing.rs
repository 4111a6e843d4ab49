//! Hash maps whose iteration order repeats with the seed of a controller.
//!
//! `std`'s maps draw their keys from the operating system, so a run with the same seed would iterate in
//! another order and decide otherwise. All maps of the core share one pair of keys instead, drawn from the
//! seed that is passed in: random in production, where job ids come from users and a fixed key would let
//! them choose colliding ones, and repeatable in the simulation.

use rand::{rngs::SmallRng, Rng, SeedableRng};
use siphasher::sip::SipHasher13;
use std::hash::BuildHasher;

/// A hash map of the core.
pub type HashMap<K, V> = std::collections::HashMap<K, V, HashKeys>;

/// A hash set of the core.
pub type HashSet<T> = std::collections::HashSet<T, HashKeys>;

/// Keeps the draws of the keys apart from the controller's other draws, which start from the same seed.
const KEY_STREAM: u64 = 0x6861_7368_2d6b_6579;

/// Keys of SipHash-1-3, the hash function that `std` uses. There is no default on purpose.
#[derive(Debug, Clone, Copy)]
pub struct HashKeys {
    first: u64,
    second: u64,
}

impl HashKeys {
    /// The keys that belong to a controller's seed.
    pub fn from_seed(seed: u64) -> HashKeys {
        let mut rng = SmallRng::seed_from_u64(seed ^ KEY_STREAM);
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
