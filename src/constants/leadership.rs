//! Leader lease, elections, fencing tokens, and messages between controllers.

/// Milliseconds after which the lease of the leader key expires without renewal.
pub const LEADER_LEASE_MS: u64 = 3_000;
/// Milliseconds between lease renewals: three may fail before the lease expires.
pub const LEADER_RENEWAL_PERIOD_MS: u64 = 750;
/// Milliseconds to wait for the response to a lease renewal.
pub const LEADER_RENEWAL_TIMEOUT_MS: u64 = 700;
/// Maximum random delay in milliseconds before a campaign; it makes election conflicts between
/// controllers rare.
pub const ELECTION_JITTER_MS: u64 = 120;
/// Minimum milliseconds that an election takes: a lease grant and a transaction, two round trips to the
/// state service.
pub const ELECTION_MIN_MS: u64 = 10;
/// Milliseconds for which a controller does not campaign after it has handed over leadership.
pub const HANDOVER_BACKOFF_MS: u64 = 20_000;
/// Number of low bits of an attempt number that count the attempts of one term; the high bits are the
/// term.
pub const ATTEMPT_COUNTER_BITS: u32 = 26;
/// Milliseconds between two gossip messages to the same peer.
pub const GOSSIP_PERIOD_MS: u64 = 500;
/// Milliseconds to wait for a peer's response to gossip.
pub const GOSSIP_TIMEOUT_MS: u64 = 900;
/// Milliseconds for which a peer's last gossip message counts as current.
pub const GOSSIP_FRESH_MS: u64 = 1_800;
/// Milliseconds to wait for the response to a user's request that was relayed to a peer.
pub const RELAY_TIMEOUT_MS: u64 = 1_500;
/// Version of the messages between controllers; messages of another version are rejected, and
/// gossip of another version is logged.
pub const PEER_VERSION: u32 = 2;
/// Milliseconds without an answered state request after which a controller considers the state
/// service unavailable: it relays users' requests to a peer, and `/up` may report a failure.
pub const STATE_UNAVAILABLE_MS: u64 = 2_000;
/// Milliseconds without any heartbeat, while peers receive heartbeats, after which a leader hands
/// over.
pub const WORKERS_UNREACHABLE_HANDOVER_MS: u64 = 9_000;
