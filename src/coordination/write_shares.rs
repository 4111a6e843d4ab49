//! How the controllers divide the state service's write rate among them.

use crate::constants::LEADER_WRITE_SHARE;

/// A follower's share of the write rate, which serves users' requests.
pub(super) fn follower_write_share(controllers: usize) -> f64 {
    (1.0 - LEADER_WRITE_SHARE) / controllers as f64
}

/// The leader's share: a follower's, and the part reserved for the leader.
pub(super) fn leader_write_share(controllers: usize) -> f64 {
    LEADER_WRITE_SHARE + follower_write_share(controllers)
}
