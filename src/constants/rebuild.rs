//! Detection of a lost store, its rebuild from the controllers' memory, and snapshots.

use super::leadership::LEADER_LEASE_MS;

/// Milliseconds between a suspicion, once it is confirmed, and the first attempt to rebuild: peers
/// read the store every [`FRESH_READ_PERIOD_MS`](super::FRESH_READ_PERIOD_MS) and notice the loss too.
pub const REBUILD_CAMPAIGN_DELAY_MS: u64 = 1_000;
/// The same for a controller that holds nothing of the lost store: one that does should rebuild it, since it
/// may keep workers' leases meanwhile.
pub const REBUILD_CAMPAIGN_DELAY_EMPTY_MS: u64 = 4_000;
/// Milliseconds for which a rebuild waits for the images of peers that don't answer. A peer that
/// crashed is back in some seconds; one that is cut off must not hold up the others for longer.
pub const REBUILD_IMAGES_TIMEOUT_MS: u64 = 10_000;
/// Milliseconds between two requests to a peer for a page of its image.
pub const IMAGE_RETRY_MS: u64 = 300;
/// Bytes of the values in one page of an image: read and written in some milliseconds.
pub const IMAGE_PAGE_BYTES: usize = 128 * 1024;
/// Milliseconds to wait for a page of a peer's image.
pub const IMAGE_TIMEOUT_MS: u64 = 2_000;
/// Heartbeat periods for which a controller that starts on an empty store waits for workers that show
/// a fencing token: every worker sends one within 1.25 periods, or tries the next controller.
pub const FIRST_START_HEARTBEAT_PERIODS: f64 = 2.0;
/// Milliseconds after which a controller takes an empty store for a new one although some of its peers
/// have not been heard: a first start must not wait for an operator.
pub const FIRST_START_MAX_MS: u64 = 30_000;
/// Seconds between two snapshots unless the operators' settings say otherwise: what is lost when all
/// controllers lose their memory too.
pub const SNAPSHOT_PERIOD_S: u64 = 30;
/// Snapshots kept unless the operators' settings say otherwise.
pub const SNAPSHOTS_KEPT: u32 = 5;
/// Milliseconds for which the leader that the store names may lead although nobody hears it, before the
/// store is read anew: three lease periods, after which its key should be gone.
pub const STALE_LEADER_TIMEOUT_MS: u64 = 3 * LEADER_LEASE_MS;
/// The same once the store has said that the lease of that key has expired: its removal follows at once.
pub const STALE_LEADER_AFTER_LEASE_MS: u64 = 1_000;
/// Milliseconds between two such reads: a leader that only its peers don't hear goes on leading.
pub const STALE_LEADER_RECHECK_MS: u64 = 20_000;
/// Transactions of a rebuild that may be refused in a row before the store is read anew. One is refused when a
/// late duplicate has changed a key, which the next read shows.
pub const REBUILD_REFUSALS_MAX: u32 = 3;
/// Elections that may be refused in a row, with nobody seen to win, before the store is read anew.
pub const ELECTION_REFUSALS_MAX: u32 = 4;
/// Milliseconds between two reads of the whole store by a controller whose service is suspended while another one
/// rebuilds it.
pub const LOST_STORE_RELOAD_MS: u64 = 10_000;
/// Milliseconds that a controller must have read a store before its memory is taken to reach back to before a loss: longer
/// than one goes unnoticed.
pub const COMPLETE_HISTORY_AGE_MS: u64 = 30_000;
