//! How the controllers divide the state service's write rate among them.

use crate::constants::WRITE_SHARE_LEADER;

/// A follower's share of the write rate, which serves users' requests.
pub(super) fn follower_write_share(controllers: usize) -> f64 {
    (1.0 - WRITE_SHARE_LEADER) / controllers as f64
}

/// The leader's share: a follower's, and the part reserved for the leader.
pub(super) fn leader_write_share(controllers: usize) -> f64 {
    WRITE_SHARE_LEADER + follower_write_share(controllers)
}
