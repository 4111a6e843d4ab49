//! Renting and returning machines: calls to the cloud, boot times, headroom and consolidation.

/// Milliseconds between two reads of the machine list.
pub const LIST_PERIOD_MS: u64 = 3_000;
/// Milliseconds between two reads of the catalogue (prices move).
pub const CATALOG_PERIOD_MS: u64 = 30_000;
/// Milliseconds to wait for the cloud; it answers in some hundred.
pub const CLOUD_TIMEOUT_MS: u64 = 5_000;
/// Milliseconds before the cloud is asked again after a failure.
pub const CLOUD_RETRY_BACKOFF_MS: u64 = 1_000;
/// Milliseconds for which "no capacity" for a type, zone and kind is remembered.
pub const CAPACITY_BACKOFF_MS: u64 = 20_000;
/// Machines in one page of the list; the protocol's maximum.
pub const LIST_LIMIT: usize = 500;
/// Machines in one rental; the protocol's maximum.
pub const RENTAL_MACHINES_MAX: usize = 50;
/// Machines in one deletion; the protocol's maximum.
pub const DELETION_MACHINES_MAX: usize = 100;
/// Times its `boot_s` after which a booting machine no longer counts as coming soon.
pub const BOOT_LATE: f64 = 1.8;
/// Machines of a kind on their way from which on tasks may wait for one rather than queue their
/// image on another: of so many one is up every few seconds, while the boot of a single one
/// may take half as long again as expected.
pub const BOOTING_MACHINES_MANY: u64 = 32;
/// A booting machine past its `boot_s` is expected within this part of it.
pub const BOOT_OVERDUE_DIVISOR: u64 = 8;
/// Times its `boot_s` after which a booting machine is deleted.
pub const BOOT_LOST: f64 = 2.8;
/// Times its `boot_s` that an idle machine is kept: to rent it again costs a boot and the
/// fetch of its images, so that returning it pays only after about as long.
pub const IDLE_RETURN_BOOTS: f64 = 1.0;
/// Times `boot_s` that a task may have to wait for a machine we have before another one is
/// rented for it.
pub const RENT_PATIENCE_BOOTS: f64 = 0.5;
/// Seconds paid for at least (protocol: a deleted machine costs at least 60 s): returning
/// sooner saves nothing.
pub const CHARGE_MIN_S: f64 = 60.0;
/// Share of the machines in use that is kept free for work to come.
pub const HEADROOM_SHARE: f64 = 0.08;
/// Machines' worth of room kept free beside the share, so that small fleets keep some too.
pub const HEADROOM_MACHINES: f64 = 0.5;
/// Milliseconds for which there must be too much room before a machine is emptied.
pub const EXCESS_ROOM_MS: u64 = 8_000;
/// Share of the machines that may be closed, or opened again, at a time.
pub const CLOSE_SHARE: f64 = 0.06;
/// Machines' worth of tasks without a place, as a share of the machines, beyond which none is
/// closed: in a small fleet any such task, in a large one not just a few.
pub const UNPLACED_SHARE: f64 = 0.002;
/// Load up to which a machine with services is emptied by moving them.
pub const LOW_LOAD_SHARE: f64 = 0.5;
/// Services moved at a time, as a share of the machines; one at the least.
pub const MOVE_SHARE: f64 = 0.01;
/// Milliseconds between two moves of services: each is a short gap for its users.
pub const MOVE_GAP_MS: u64 = 3_000;
/// Milliseconds between two evaluations of the size of the fleet.
pub const FLEET_PERIOD_MS: u64 = 300;
/// Milliseconds that each machine adds to that: an evaluation counts what every machine holds.
pub const FLEET_PERIOD_PER_MACHINE_MS: f64 = 0.4;
/// Milliseconds a machine may be silent, once its tasks are settled, before it is deleted.
pub const SILENT_DELETE_MS: u64 = 45_000;
/// Seconds in which the queue of batch work should be worked off, at the least.
pub const DRAIN_TARGET_S: f64 = 45.0;
/// Longest notice in seconds that is believed: clouds give seconds or minutes, and a nonsense figure
/// must not overflow a time.
pub const RECLAIM_NOTICE_MAX_S: f64 = 86_400.0;
/// Milliseconds after its time at which a silent spot machine that was to be reclaimed is deleted.
pub const RECLAIM_PAST_MS: u64 = 500;
/// Seconds before a spot machine is reclaimed at which tasks are told to save a checkpoint, beyond
/// their own `checkpoint_cost_s`.
pub const RECLAIM_MARGIN_S: f64 = 4.0;
/// Milliseconds added to how long the machine list may lag before a machine missing from it counts as gone.
pub const LIST_MARGIN_MS: u64 = 2_000;
/// Slots below which a demand is met: rounding.
pub const SLOT_EPSILON: f64 = 0.05;
/// Milliseconds over which arrivals of services are counted.
pub const ARRIVAL_WINDOW_MS: u64 = 120_000;
/// Milliseconds over which arrivals of batch work are counted: as long as it pays to keep a
/// machine for what may come.
pub const WORK_WINDOW_MS: u64 = 60_000;
/// Slots kept for services beyond the arrivals expected while a machine boots.
pub const SPARE_SERVICE_SLOTS: f64 = 1.0;
