//! Data loss detection, the rebuild of the store from the controllers' images, and snapshots.

use super::leadership::LEADER_LEASE_MS;

/// Milliseconds between a confirmed data loss and the first campaign to rebuild the store. Peers read the
/// store every [`FRESH_READ_PERIOD_MS`](super::FRESH_READ_PERIOD_MS), so they detect the loss meanwhile.
pub const REBUILD_CAMPAIGN_DELAY_MS: u64 = 1_000;
/// Milliseconds between a confirmed data loss and the first campaign of a controller without an image of the
/// lost store. A controller that has one should do the rebuild, since it may extend workers' leases meanwhile.
pub const REBUILD_CAMPAIGN_DELAY_EMPTY_MS: u64 = 4_000;
/// Milliseconds for which a rebuild waits for the images of peers that don't respond. A peer that
/// crashed is back within seconds; a partitioned one must not delay the rebuild for longer.
pub const REBUILD_IMAGES_TIMEOUT_MS: u64 = 10_000;
/// Minimum milliseconds between two requests for the same page of a peer's image.
pub const IMAGE_REQUEST_RETRY_MS: u64 = 300;
/// Bytes of keys and values in one page of an image: encoded and decoded in a few milliseconds.
pub const IMAGE_PAGE_BYTES: usize = 128 * 1024;
/// Milliseconds to wait for a page of a peer's image.
pub const IMAGE_TIMEOUT_MS: u64 = 2_000;
/// Heartbeat periods for which a controller that starts on an empty store waits for workers that send
/// a fencing token: every worker sends a heartbeat within 1.25 periods, or tries the next controller.
pub const FIRST_START_HEARTBEAT_PERIODS: f64 = 2.0;
/// Milliseconds after which a controller treats an empty store as new although it has not heard from
/// all of its peers: a first start must not require an operator.
pub const FIRST_START_MAX_MS: u64 = 30_000;
/// Default for the seconds between two snapshots. It bounds what is lost when the store loses its data and
/// all controllers have restarted, so that none has an image of it in memory.
pub const SNAPSHOT_PERIOD_S: u64 = 30;
/// Default for the number of snapshots kept.
pub const SNAPSHOTS_KEPT: u32 = 5;
/// Milliseconds for which the leader named in the store may be silent before the store is listed
/// again: three lease periods, after which its key should have expired.
pub const STALE_LEADER_TIMEOUT_MS: u64 = 3 * LEADER_LEASE_MS;
/// Milliseconds until the store is listed again once the state service has answered that the lease of the
/// leader key has expired: the key should be removed at once.
pub const STALE_LEADER_AFTER_LEASE_MS: u64 = 1_000;
/// Milliseconds between two listings of the store because of a silent leader: a leader that only its peers
/// can't reach keeps leading, and listing the store again does not change that.
pub const STALE_LEADER_RECHECK_MS: u64 = 20_000;
/// Consecutive conflicts of rebuild transactions before the store is listed again. A single one happens
/// when a late duplicate has changed a key, which the next read shows.
pub const REBUILD_CONFLICTS_MAX: u32 = 3;
/// Consecutive election conflicts without a visible winner before the store is listed again.
pub const ELECTION_CONFLICTS_MAX: u32 = 4;
/// Milliseconds between two listings of the store by a controller that has suspended its service while
/// another one rebuilds the store.
pub const LOST_STORE_RELOAD_MS: u64 = 10_000;
/// Milliseconds for which a controller must have followed a store before its history counts as complete,
/// that is, as reaching back to before any data loss. It exceeds the time for which a loss can go
/// undetected.
pub const COMPLETE_HISTORY_AGE_MS: u64 = 30_000;
