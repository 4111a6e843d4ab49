//! Calls to the state service: timeouts, request and write rates, and sizes of stored values.

pub use mountgap_records::constants::{DONE_CHUNK_TASKS, KEY_NAMESPACE, KEY_ROOT};
/// Milliseconds to wait for an ordinary response. Responses take 10 ms, at times a few hundred, and a
/// user's poll gives up after 2 s.
pub const STATE_TIMEOUT_MS: u64 = 1_200;
/// Milliseconds to wait for a page of the initial listing.
pub const LIST_TIMEOUT_MS: u64 = 4_000;
/// Keys per page of the initial listing: the protocol's maximum.
pub const LIST_PAGE_KEYS: usize = 1_000;
/// Milliseconds that a watch blocks without a change. Fresh reads bring changes when a watch is stuck,
/// so this only bounds the life of a dead connection.
pub const WATCH_BLOCK_MS: u64 = 5_000;
/// Milliseconds after which an unanswered watch counts as failed.
pub const WATCH_TIMEOUT_MS: u64 = 8_000;
/// Milliseconds between fresh reads when no request waits for one. They show whether the state
/// service answers, and make up for a stuck watch.
pub const FRESH_READ_PERIOD_MS: u64 = 700;
/// Least milliseconds between two fresh reads; requests that come in between share the next one.
pub const FRESH_READ_INTERVAL_MIN_MS: u64 = 20;
/// Milliseconds to wait after a failed request to the state service before a retry.
pub const STATE_RETRY_BACKOFF_MS: u64 = 250;
/// Milliseconds before a store with a layout that this program can't read is checked again.
pub const FOREIGN_LAYOUT_RECHECK_MS: u64 = 10_000;
/// Share of an allowed request rate that all controllers use together, each an equal part.
pub const REQUEST_RATE_SHARE: f64 = 0.85;
/// Share of the write rate reserved for the leader; the controllers divide the rest evenly for users'
/// requests. Submissions are written in batches and need few writes, while the leader's writes
/// bound how fast tasks start.
pub const LEADER_WRITE_SHARE: f64 = 0.4;
/// Writes that the leader's own transactions leave in its budget for submissions and cancellations.
pub const LEADER_WRITE_RESERVE: f64 = 2.0;
/// Writes that a user's request leaves in the budget for others: none, since submissions and
/// cancellations have the same priority.
pub const USER_WRITE_RESERVE: f64 = 0.0;
/// Milliseconds that a submission may wait for a batch before it is relayed to a peer or rejected: short
/// enough for users to consider it fast.
pub const BATCH_WAIT_MAX_MS: u64 = 500;
/// Milliseconds for which submissions are collected into a batch while the write budget is low.
pub const BATCH_COLLECT_MS: u64 = 60;
/// Milliseconds after which a second copy of an unanswered batch of submissions is sent: responses
/// usually take less than 10 ms (protocol).
pub const BATCH_HEDGE_DELAY_MS: u64 = 50;
/// Share of a full write budget below which the budget is low.
pub const LOW_WRITE_BUDGET_SHARE: f64 = 0.6;
/// Batches of submissions that may be in flight; other submissions wait meanwhile.
pub const BATCHES_IN_FLIGHT_MAX: usize = 3;
/// Overhead bytes of a batch's value, besides the jobs: once for each job and once for the value.
pub const BATCH_OVERHEAD_BYTES: usize = 64;
/// Number of low bits of a job's arrival number that count the jobs of a batch; the high bits are the
/// batch's revision.
pub const ARRIVAL_INDEX_BITS: u32 = 8;
/// Bytes in a kilobyte, as the settings use it.
pub const BYTES_PER_KB: f64 = 1024.0;
/// Smallest limit in bytes on the size of a value for which every record can be stored: a bitmap of done
/// tasks takes a quarter of [`DONE_CHUNK_TASKS`] in bytes, besides its name and overhead.
pub const STORE_VALUE_BYTES_MIN: usize = 1_280;
/// Smallest usable limit on the puts and deletes of a transaction: an election writes leader and term.
pub const TRANSACTION_OPS_MIN: usize = 2;
/// Most bytes of a stored placement, unless machines have very long names. Bounds the size of gangs,
/// since a gang is placed by one transaction.
pub const PLACEMENT_BYTES_MAX: usize = 64;
/// Overhead bytes of a group's value, besides its entries.
pub const GROUP_OVERHEAD_BYTES: usize = 64;
/// Overhead bytes of a transaction, besides its values: framing and conditions, out of
/// [`TRANSACTION_BYTES_MAX`].
pub const TRANSACTION_OVERHEAD_BYTES: usize = 16 * 1024;
/// Conditions that a transaction may have for each of its changes (protocol).
pub const CONDITIONS_PER_CHANGE: usize = 4;
/// Most bytes of a transaction (protocol).
pub const TRANSACTION_BYTES_MAX: usize = 64 * 1024;
/// Bytes of one task in a heartbeat, rounded up. Bounds the tasks of a machine, since a heartbeat may
/// have 64 KiB.
pub const HEARTBEAT_TASK_BYTES: usize = 128;
/// Placement groups that a periodic transaction may rewrite only to remove settled placements.
pub const CLEANED_GROUPS_PER_TRANSACTION: usize = 2;
/// Most commands in a response to a worker: at up to 131 bytes each, the body stays under 64 KiB.
pub const COMMANDS_MAX: usize = 500;
/// Most images remembered for a machine.
pub const IMAGES_PER_MACHINE_MAX: usize = 10;
/// Milliseconds between two writes of the images that machines hold, which are hints for a new leader.
pub const IMAGES_WRITE_PERIOD_MS: u64 = 15_000;
/// Milliseconds between two scans for stale keys.
pub const STALE_KEY_SCAN_PERIOD_MS: u64 = 10_000;
