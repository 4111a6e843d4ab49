//! Planning passes: estimates, limits for one pass, starvation, preemption and repeated failures.

/// Milliseconds between planning passes, as in the design.
pub const PASS_PERIOD_MS: u64 = 2_000;
/// Minimum milliseconds between two passes if an event brings the next one forward.
pub const PASS_GAP_MS: u64 = 60;
/// Milliseconds that each machine adds to [`PASS_GAP_MS`]: the time of a pass grows with the number
/// of machines, and the state service accepts only a few writes a second, so more frequent passes
/// would gain little.
pub const PASS_GAP_PER_MACHINE_MS: f64 = 0.2;
/// Milliseconds between transactions that only update the bitmaps of completed tasks, as in the design.
pub const DONE_BATCH_MS: u64 = 2_000;
/// Thresholds on the penalty factor for which allocations are computed. The design takes them from the
/// evaluation in the paper on RUA-Backfilling, which the module [`planner`](crate::coordination::planner)
/// cites.
pub const THRESHOLDS: [f64; 4] = [1.15, 1.20, 1.25, 1.5];
/// Shared bandwidth that a task of a low-bandwidth class takes per core, relative to a machine's
/// bandwidth per core. In the paper on RUA-Backfilling a machine has 1,500 MB/s per processor, and tasks
/// of the two lower classes use 500 and 1,000 MB/s. The high class is defined so that its tasks saturate
/// a machine if they take all of its cores.
pub const BANDWIDTH_LOW: f64 = 500.0 / 1500.0;
/// The same for a class of medium bandwidth; see [`BANDWIDTH_LOW`].
pub const BANDWIDTH_MEDIUM: f64 = 1000.0 / 1500.0;
/// The same for a class of high bandwidth; see [`BANDWIDTH_LOW`].
pub const BANDWIDTH_HIGH: f64 = 2000.0 / 1500.0;
/// Seconds for which the reservation table assumes that a service goes on running; long enough that
/// no task waits for it to end.
pub const SERVICE_RUN_S: f64 = 3_600.0;
/// Seconds that are used as the run time of a service where slowdowns are compared: about as long
/// as its users would wait for it.
pub const SERVICE_REFERENCE_RUN_S: f64 = 30.0;
/// Completed runs of a class from which on the users' run time estimates for it are corrected.
pub const RATIO_SAMPLES_MIN: u32 = 5;
/// Minimum estimate of a run time in seconds; keeps slowdowns finite.
pub const ESTIMATE_MIN_S: f64 = 1.0;
/// Maximum of the estimated ratio of the time that tasks wait for their images to the time that
/// they run: while a new fleet starts, nearly all tasks wait for images, which says little about
/// later.
pub const FETCH_TO_RUN_RATIO_MAX: f64 = 1.0;
/// Expected remaining run time of a task that has exceeded its estimate, as a share of the time
/// that it has run.
pub const OVERDUE_SHARE: f64 = 0.25;
/// Maximum tasks of a job that a pass starts at the head of the queue or preempts others for; the
/// next pass continues.
pub const JOB_TASKS_PER_PASS: usize = 64;
/// Maximum jobs that a pass considers, in queue order; limits its duration with very long queues.
pub const JOBS_PER_PASS: usize = 200;
/// Tasks that a pass may place on a fleet of any size.
pub const PLACEMENTS_PER_PASS: usize = 128;
/// Tasks that a pass may place in addition, for each machine: passes become less frequent as the
/// fleet grows, and a whole new fleet may start within half a minute. A transaction has space for
/// well over a thousand placements.
pub const PLACEMENTS_PER_MACHINE: f64 = 0.25;
/// Maximum later starts that a pass computes for waiting tasks during backfilling; limits its
/// duration.
pub const LATER_PLACEMENTS_PER_PASS: usize = 96;
/// Milliseconds since its acceptance after which a job is starving if none of its tasks has ever
/// started. Its priority doesn't matter. Users want the largest jobs to start within four minutes,
/// and a task may have to wait half a minute for a slot and up to one and a half minutes for its
/// image.
pub const STARVING_MS: u64 = 120_000;
/// Milliseconds since its acceptance after which a job is starving although it has started: it then
/// gets part of the free slots ahead of jobs that can still meet their deadlines.
pub const STARVING_STARTED_MS: u64 = 240_000;
/// One out of this many free slots is set aside for starving jobs: enough for these to complete,
/// but few enough that other jobs don't miss their deadlines because of them.
pub const STARVING_PLACEMENTS_DIVISOR: usize = 4;
/// Units of a job's work per millisecond of the whole fleet. Jobs are compared by these integer units
/// because the heap needs integer keys.
pub const WORK_UNITS_PER_FLEET_MS: f64 = 1e6;
/// Milliseconds from now beyond which a later start is ignored, because estimates are too
/// inaccurate.
pub const LATER_PLACEMENT_HORIZON_MS: u64 = 90_000;
/// Run time in milliseconds up to which a task counts as recently started. It is also the additional
/// cost of preempting such a task, in milliseconds of lost work: to users, a start counts only if it
/// lasts 30 s.
pub const RECENT_START_MS: u64 = 30_000;
/// Minimum milliseconds after which capacity freed by preemption is expected to be available.
pub const PREEMPTION_DELAY_MIN_MS: u64 = 1_000;
/// Weight of the newest sample in the moving averages of run times per class.
pub const AVERAGE_WEIGHT: f64 = 0.1;
/// Base in milliseconds of the backoff of a job whose tasks fail on several machines.
pub const FAILURE_BACKOFF_MS: u64 = 2_000;
/// Maximum in milliseconds of the backoff whose base is [`FAILURE_BACKOFF_MS`]. No job may wait for 90 s
/// beside a machine that works again.
pub const FAILURE_BACKOFF_MAX_MS: u64 = 60_000;
/// Base in milliseconds of the backoff during which a job is not sent to a machine that failed a task of it.
pub const MACHINE_RETRY_BACKOFF_MS: u64 = 5_000;
/// Maximum in milliseconds of the backoff whose base is [`MACHINE_RETRY_BACKOFF_MS`]; see
/// [`FAILURE_BACKOFF_MAX_MS`].
pub const MACHINE_RETRY_BACKOFF_MAX_MS: u64 = 60_000;
/// Milliseconds for which a failure counts against a job and, for that job, against the machine; longer than
/// the longest backoff, so that a job which fails again after it is not taken for one that fails first.
pub const FAILURE_MEMORY_MS: u64 = 180_000;
/// Maximum number of machines that a job avoids because it failed there. After failures on more machines
/// the job itself is suspected, and it may use every machine again.
pub const AVOIDED_MACHINES_MAX: usize = 6;
/// Number of machines on which a job has to fail, with no success since, to count as failing
/// on several machines.
pub const FAILING_JOB_MACHINES: usize = 2;
/// Number of failed jobs, or of failures if the job succeeds elsewhere, after which a machine is
/// cordoned; jobs that fail on several machines don't count.
pub const CORDON_FAILURES: usize = 2;
/// Milliseconds for which a failure counts against a machine.
pub const CORDON_WINDOW_MS: u64 = 60_000;
/// Base in milliseconds of the backoff for which a machine is cordoned after failures.
pub const CORDON_MS: u64 = 20_000;
/// Maximum in milliseconds of the backoff whose base is [`CORDON_MS`]. No job may wait for 90 s beside a machine
/// that works again.
pub const CORDON_MAX_MS: u64 = 60_000;
/// Milliseconds that a task runs on a machine on probation until the machine counts as sound.
pub const PROBATION_RUN_MS: u64 = 20_000;
/// Milliseconds after which a probation ends without a failure, also if no task was placed.
pub const PROBATION_MAX_MS: u64 = 180_000;
