//! Planning passes: estimates, bounds on one pass, starvation, preemption and failing jobs.

/// Milliseconds between planning passes (DESIGN: every 2 s to start with).
pub const PASS_PERIOD_MS: u64 = 2_000;
/// Least milliseconds between two passes that events bring forward.
pub const PASS_GAP_MS: u64 = 60;
/// Milliseconds that each machine adds to the least gap between two passes: a pass looks at
/// every machine, and the state service takes a few writes a second anyway.
pub const PASS_GAP_PER_MACHINE_MS: f64 = 0.2;
/// Milliseconds between commits of done-task bitmaps alone (DESIGN: batched every 2 s).
pub const DONE_BATCH_MS: u64 = 2_000;
/// Penalty factors tried for a reservation (DESIGN, from the paper's evaluation).
pub const THRESHOLDS: [f64; 4] = [1.15, 1.20, 1.25, 1.5];
/// What a core of a task takes of the shared bandwidth of a machine's core, by class. The
/// paper's machine has 1,500 MB/s a processor and its classes use 500 and 1,000; high is
/// set so that a machine full of such tasks saturates.
pub const BANDWIDTH_LOW: f64 = 500.0 / 1500.0;
/// See [`BANDWIDTH_LOW`].
pub const BANDWIDTH_MEDIUM: f64 = 1000.0 / 1500.0;
/// See [`BANDWIDTH_LOW`].
pub const BANDWIDTH_HIGH: f64 = 2000.0 / 1500.0;
/// Seconds a service is taken to run on in the reservation table; long enough that
/// nothing waits for it to end.
pub const SERVICE_RUN_S: f64 = 3_600.0;
/// Seconds that stand in for a service's run time where slowdowns are compared: about
/// what its users would wait for it.
pub const SERVICE_REFERENCE_S: f64 = 30.0;
/// Runs of a class to see before its guesses are corrected.
pub const RATIO_SAMPLES_MIN: u32 = 5;
/// Least seconds of an estimate: keeps slowdowns finite.
pub const ESTIMATE_MIN_S: f64 = 1.0;
/// Time that tasks wait for their images, as a part of the time they run, at the most: while a
/// fleet comes up nearly all of them wait, which tells little about later.
pub const FETCH_SHARE_MAX: f64 = 1.0;
/// Seconds by which an overdue task is taken to run on, as a share of what it ran.
pub const OVERDUE_SHARE: f64 = 0.25;
/// Tasks of one job considered in one pass; the next pass goes on.
pub const JOB_TASKS_PER_PASS: usize = 64;
/// Jobs looked at by one pass, oldest first; bounds its time with huge queues.
pub const JOBS_PER_PASS: usize = 200;
/// Tasks placed by one pass, whatever the size of the fleet.
pub const PLACEMENTS_PER_PASS: usize = 128;
/// Tasks placed by one pass beside those, for each machine: passes are the rarer, the more machines
/// there are, and a whole fleet comes up within half a minute. A commit holds well over a thousand.
pub const PLACEMENTS_PER_MACHINE: f64 = 0.25;
/// Placements at a later time that one pass computes for waiting tasks; bounds its time.
pub const LATER_PLACEMENTS_PER_PASS: usize = 96;
/// Milliseconds of waiting after which a job of which no task ever started goes first,
/// whatever its rank: users want the largest jobs to begin within four minutes, a place may
/// have to be waited for (half a minute) and its image fetched (up to one and a half).
pub const STARVING_MS: u64 = 120_000;
/// Milliseconds after which a job that has begun gets its part of the places ahead of
/// jobs that can still be in time.
pub const STARVING_BEGUN_MS: u64 = 240_000;
/// One in so many of the free places goes to jobs that have waited too long: enough that
/// they end, and little enough that others are not late for them.
pub const STARVING_PLACEMENTS_DIVISOR: usize = 4;
/// Parts of what the whole fleet does in a millisecond, in which jobs' work is ordered: a heap
/// takes no fractions.
pub const WORK_UNITS: f64 = 1e6;
/// Milliseconds from now beyond which a later placement is not considered: estimates are too inaccurate.
pub const LATER_PLACEMENT_HORIZON_MS: u64 = 90_000;
/// Milliseconds a started task is left alone before it may be preempted: a
/// start counts for users when it lasts 30 s.
pub const PREEMPT_SHIELD_MS: u64 = 30_000;
/// Milliseconds within which room that preemption makes is expected, at the least.
pub const PREEMPTED_ROOM_MIN_MS: u64 = 1_000;
/// Weight of the newest sample in the averages of run times per class.
pub const AVERAGE_WEIGHT: f64 = 0.1;
/// First backoff in milliseconds of a job whose tasks fail on several machines, doubled each time.
pub const FAILURE_BACKOFF_MS: u64 = 2_000;
/// Longest such backoff in milliseconds.
pub const FAILURE_BACKOFF_MAX_MS: u64 = 60_000;
/// Different machines on which a job failed, with no success, before it counts as a bad job.
pub const BAD_JOB_MACHINES: usize = 2;
/// Failures on a machine, of jobs that do not count as bad, before the machine is cordoned.
pub const FAULTY_FAILURES: u32 = 2;
/// Milliseconds for which a failure counts against a machine.
pub const FAULTY_WINDOW_MS: u64 = 60_000;
