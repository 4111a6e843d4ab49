//! Scaling the fleet: calls to the cloud, boot times, headroom, scale-in and defragmentation.

/// Milliseconds between two reads of the machine list.
pub const MACHINE_LIST_PERIOD_MS: u64 = 3_000;
/// Milliseconds between two reads of the catalog, whose prices change.
pub const CATALOG_PERIOD_MS: u64 = 30_000;
/// Milliseconds after which a request to the cloud times out; answers take a few hundred.
pub const CLOUD_TIMEOUT_MS: u64 = 5_000;
/// Milliseconds until the next request of the same sort after one that failed.
pub const CLOUD_RETRY_BACKOFF_MS: u64 = 1_000;
/// Milliseconds for which nothing is rented of a machine type, zone and market (spot or not) that the
/// cloud had no capacity for.
pub const CAPACITY_BACKOFF_MS: u64 = 20_000;
/// Machines on one page of the machine list; the protocol's maximum.
pub const MACHINE_LIST_PAGE_MAX: usize = 500;
/// Machines in one rental; the protocol's maximum.
pub const RENTAL_MACHINES_MAX: usize = 50;
/// Machines in one deletion; the protocol's maximum.
pub const DELETION_MACHINES_MAX: usize = 100;
/// Multiple of its type's `boot_s` after which a booting machine no longer counts as capacity that
/// will soon be available.
pub const BOOT_LATE_FACTOR: f64 = 1.8;
/// Number of booting machines from which on a task may wait for a machine to boot rather than for an image
/// that is queued behind others. On-demand and spot machines are counted separately. If this many machines
/// boot, one comes up every few seconds; a single machine may take 1.5 times its `boot_s`.
pub const MEAN_BOOT_WAIT_MACHINES_MIN: u64 = 32;
/// A booting machine past its `boot_s` is expected to be up after `boot_s` divided by this.
pub const BOOT_OVERDUE_DIVISOR: u64 = 8;
/// Multiple of its type's `boot_s` after which a booting machine is deleted.
pub const BOOT_TIMEOUT_FACTOR: f64 = 2.8;
/// Default idle timeout as a multiple of `boot_s`: a replacement costs a boot and the fetch of its
/// images, so that returning a machine saves money only if it would stay idle for about that long.
pub const IDLE_TIMEOUT_BOOT_FACTOR: f64 = 1.0;
/// Multiple of `boot_s` that a task may wait for capacity on present machines before another machine
/// is rented for it.
pub const SCALE_OUT_WAIT_BOOT_FACTOR: f64 = 0.5;
/// Seconds that the cloud bills for each machine at least (protocol): deleting it sooner saves nothing.
pub const BILLING_MIN_S: f64 = 60.0;
/// Share of the machines in use that is kept free as headroom.
pub const HEADROOM_SHARE: f64 = 0.08;
/// Headroom in machines beyond [`HEADROOM_SHARE`], so that a small fleet has some too.
pub const HEADROOM_MACHINES: f64 = 0.5;
/// Milliseconds for which there must be excess capacity before machines are drained.
pub const EXCESS_CAPACITY_MS: u64 = 8_000;
/// Share of the usable machines that one evaluation drains or undrains at most; at least one machine.
pub const DRAIN_SHARE_MAX: f64 = 0.06;
/// Size of the unplaced tasks, as a share of the usable machines, above which no machine is drained:
/// in a small fleet a single unplaced task prevents draining, in a large one a few don't.
pub const DRAIN_UNPLACED_SHARE_MAX: f64 = 0.002;
/// Highest load at which a machine with services is drained by moving them.
pub const DRAIN_SERVICES_LOAD_MAX: f64 = 0.5;
/// Service tasks that are moved at a time, as a share of the machines; at least one task.
pub const SERVICE_MOVE_SHARE: f64 = 0.01;
/// Milliseconds between two moves of service tasks: each interrupts a service for a moment.
pub const SERVICE_MOVE_PERIOD_MS: u64 = 3_000;
/// Milliseconds between two evaluations of the size of the fleet.
pub const FLEET_PERIOD_MS: u64 = 300;
/// Milliseconds that each machine adds to [`FLEET_PERIOD_MS`]: an evaluation visits all placements.
pub const FLEET_PERIOD_PER_MACHINE_MS: f64 = 0.4;
/// Milliseconds for which a machine gets no new tasks after a request to delete it that was not confirmed, since
/// the cloud may still execute the request.
pub const UNCONFIRMED_DELETION_MS: u64 = 60_000;
/// Milliseconds after which an empty unreachable machine is deleted. A machine that has never sent a
/// heartbeat is deleted after a worker lease and this time.
pub const UNREACHABLE_DELETE_MS: u64 = 45_000;
/// Seconds within which the backlog of batch work should be processed: tasks that run for a shorter time
/// share the slots that are rented for them.
pub const BATCH_BACKLOG_TARGET_S: f64 = 45.0;
/// Longest reclaim notice in seconds that is accepted: clouds give seconds or minutes, and an absurd
/// value must not overflow a time.
pub const RECLAIM_NOTICE_MAX_S: f64 = 86_400.0;
/// Milliseconds after its reclaim time at which a silent spot machine is deleted.
pub const RECLAIM_DELETE_DELAY_MS: u64 = 500;
/// Seconds before the reclaim of a spot machine at which its tasks are told to save a checkpoint, in
/// addition to their own `checkpoint_cost_s`.
pub const RECLAIM_CHECKPOINT_MARGIN_S: f64 = 4.0;
/// Milliseconds added to the lag of the machine list before a machine missing from it counts as gone.
pub const MACHINE_LIST_LAG_MARGIN_MS: u64 = 2_000;
/// Slots that may be missing without another machine being rented: allows for rounding errors.
pub const SLOT_EPSILON: f64 = 0.05;
/// Milliseconds over which arrivals of services are counted.
pub const SERVICE_ARRIVAL_WINDOW_MS: u64 = 120_000;
/// Milliseconds over which arrivals of batch work are counted: about as long as keeping a machine for
/// the next work costs less than renting another one.
pub const BATCH_ARRIVAL_WINDOW_MS: u64 = 60_000;
/// Slots kept free for services beyond the arrivals expected while a machine boots.
pub const SPARE_SERVICE_SLOTS: f64 = 1.0;
