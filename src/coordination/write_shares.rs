//! How the controllers divide the writes that the state service allows.

use crate::constants::WRITE_SHARE_LEADER;

/// A follower's part: for users' requests.
pub(super) fn follower_write_share(controllers: usize) -> f64 {
    (1.0 - WRITE_SHARE_LEADER) / controllers as f64
}

/// The leader's part.
pub(super) fn leader_write_share(controllers: usize) -> f64 {
    WRITE_SHARE_LEADER + follower_write_share(controllers)
}
