//! The leader's lease, elections, fencing tokens and messages between controllers.

/// Milliseconds after which the leader's lease expires without renewal.
pub const LEADER_LEASE_MS: u64 = 3_000;
/// Milliseconds between renewals: three may fail before the lease expires.
pub const LEADER_RENEWAL_PERIOD_MS: u64 = 750;
/// Milliseconds to wait for the answer of a renewal.
pub const LEADER_RENEWAL_TIMEOUT_MS: u64 = 700;
/// Longest random wait in milliseconds before campaigning in an election, so that
/// controllers seldom collide.
pub const ELECTION_JITTER_MS: u64 = 120;
/// Least milliseconds that an election takes: a lease and a commit, two round trips to the store.
pub const ELECTION_MIN_MS: u64 = 10;
/// Milliseconds for which a controller that handed over leadership doesn't campaign again.
pub const HANDOVER_BACKOFF_MS: u64 = 20_000;
/// Bits of an attempt number below the term: attempts of one term.
pub const ATTEMPT_BITS: u32 = 26;
/// Milliseconds between two messages to a peer.
pub const GOSSIP_PERIOD_MS: u64 = 500;
/// Milliseconds to wait for a peer's answer.
pub const GOSSIP_TIMEOUT_MS: u64 = 900;
/// Milliseconds after which a peer's last gossip message is no longer fresh.
pub const GOSSIP_FRESH_MS: u64 = 1_800;
/// Milliseconds to wait for a peer that answers a user's request for us.
pub const RELAY_TIMEOUT_MS: u64 = 1_500;
/// Version of the messages between controllers; others are dropped with a log line.
pub const PEER_VERSION: u32 = 2;
/// Milliseconds without a served state request after which a controller considers
/// the store unavailable to it, for `/up` and relaying.
pub const STATE_LOST_MS: u64 = 2_000;
/// Milliseconds of silence of all workers, while peers hear them, before a leader hands over.
pub const WORKERS_UNREACHABLE_HANDOVER_MS: u64 = 9_000;
