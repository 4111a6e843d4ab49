//! Calls to the state service: timeouts, request and write rates, and the sizes of stored values.

pub use mountgap_records::constants::{DONE_CHUNK_TASKS, KEY_FAMILY, KEY_ROOT};
/// Milliseconds to wait for an ordinary answer: answers take 10 ms, at times a few
/// hundred, and a user's poll gives up after 2 s.
pub const STATE_TIMEOUT_MS: u64 = 1_200;
/// Milliseconds to wait for a page of the whole store at start.
pub const STATE_LIST_TIMEOUT_MS: u64 = 4_000;
/// Keys per page of the whole store; the protocol's maximum.
pub const STATE_LIST_LIMIT: usize = 1_000;
/// Milliseconds a watch stays open. Zero-wait reads catch up when a watch is stuck,
/// so this only bounds how long a dead connection lives.
pub const WATCH_BLOCK_MS: u64 = 5_000;
/// Milliseconds after which an open watch counts as lost.
pub const WATCH_TIMEOUT_MS: u64 = 8_000;
/// Milliseconds between zero-wait reads when nobody asks for one: shows whether the
/// store serves us and replaces a stuck watch.
pub const READ_PERIOD_MS: u64 = 700;
/// Least milliseconds between two zero-wait reads; polls in between share one.
pub const READ_GAP_MIN_MS: u64 = 20;
/// Milliseconds to wait before asking again after the state service refused.
pub const STATE_RETRY_BACKOFF_MS: u64 = 250;
/// Milliseconds before a store of a layout that we can't read is checked again.
pub const UNREADABLE_LAYOUT_RECHECK_MS: u64 = 10_000;
/// Share of the request rate that one controller uses, times the number of controllers.
pub const STATE_RPS_SHARE: f64 = 0.85;
/// Share of the write rate that the leader has beyond what every controller has for
/// submissions. Those are written in batches, so that little does for them; what is left
/// bounds how fast tasks start.
pub const WRITE_SHARE_LEADER: f64 = 0.4;
/// Writes kept free in the leader's bucket for submissions and cancellations.
pub const WRITE_RESERVE: f64 = 2.0;
/// Writes that a cancellation leaves in the bucket for submissions, and submissions for
/// cancellations: none, both are users'.
pub const USER_WRITE_RESERVE: f64 = 0.0;
/// Milliseconds that a submission may wait for its batch to be written before it is passed
/// to a peer or refused: within what users consider fast.
pub const BATCH_WAIT_MS: u64 = 500;
/// Milliseconds for which submissions gather while writes are short.
pub const BATCH_GATHER_MS: u64 = 60;
/// Milliseconds after which a batch of submissions with no answer is sent once more: answers
/// usually take less than 10 ms (protocol).
pub const BATCH_HEDGE_MS: u64 = 50;
/// Share of the bucket below which writes are short.
pub const SHORT_OF_WRITES_SHARE: f64 = 0.6;
/// Batches of submissions on their way at a time; others gather meanwhile.
pub const BATCHES_IN_FLIGHT: usize = 3;
/// Bytes of a batch's value kept for its framing, per job and for all.
pub const BATCH_FRAME_BYTES: usize = 64;
/// Bits of an arrival number below the revision of the batch: jobs of one batch.
pub const ARRIVAL_BITS: u32 = 8;
/// Bytes in a kilobyte of the settings.
pub const BYTES_PER_KB: f64 = 1024.0;
/// Least bytes of a value that the stored forms can do with: a bitmap of done tasks takes a quarter of
/// [`DONE_CHUNK_TASKS`] in bytes, beside its name and framing.
pub const STORE_VALUE_BYTES_MIN: usize = 1_280;
/// Least puts and deletes of a transaction: an election writes leader and term.
pub const TRANSACTION_OPS_MIN: usize = 2;
/// Bytes that a stored placement takes at the most, unless machines have very long names: bounds the
/// gangs that are accepted, since a gang is placed by one commit.
pub const PLACEMENT_BYTES_MAX: usize = 64;
/// Bytes of a group's value kept for its framing.
pub const GROUP_FRAME_BYTES: usize = 64;
/// Bytes of one commit kept for its framing and conditions, of the protocol's 64 KiB.
pub const COMMIT_FRAME_BYTES: usize = 16 * 1024;
/// Conditions of one commit for each of its changes (protocol).
pub const CONDITIONS_PER_CHANGE: usize = 4;
/// Bytes of one commit (protocol).
pub const COMMIT_BYTES: usize = 64 * 1024;
/// Bytes that one task takes in a heartbeat, rounded up: bounds how many a machine gets, since
/// heartbeats end at 64 KiB.
pub const HEARTBEAT_TASK_BYTES: usize = 128;
/// Groups that are written only to take out what has ended, with each batch of bitmaps.
pub const CLEANED_GROUPS_PER_BATCH: usize = 2;
/// Commands in one response: at up to 131 bytes each its body stays under 64 KiB.
pub const COMMANDS_MAX: usize = 500;
/// Images remembered for a machine.
pub const IMAGES_KEPT: usize = 10;
/// Milliseconds between two writes of the images that machines hold: hints for a new leader.
pub const IMAGES_PERIOD_MS: u64 = 15_000;
/// Milliseconds between two searches for keys that nobody needs any more.
pub const GARBAGE_PERIOD_MS: u64 = 10_000;
