//! Late copies of start commands. A worker that has cleared an attempt no longer knows it, so that a repeated
//! start would run the task once more (protocol, "Every command can be repeated except in one case"). These
//! scenarios deliver such copies in every way in which a command or the report before it travels, while
//! controllers and machines are back within a second and tasks end, are cleared, are moved or are cancelled.
//! The simulation checks throughout that no attempt starts again and nothing runs twice or after a cancellation.

mod simulation;

use rand::Rng;
use serde_json::json;
use simulation::*;

/// Delays of the copies of each response: while the worker still waits for it, in its next cycles, and beyond its
/// lease.
const COPY_DELAYS_MS: [u64; 5] = [20, 700, 3_500, 6_000, LEASE_MS + 8_000];

/// Time after which all copies have arrived.
const COPIES_ARRIVED_MS: u64 = LEASE_MS * 4;

/// The array whose start commands are copied.
const JOB: &str = "job-000001";
const JOB_TASKS: u32 = 4;
/// The service that takes their machines.
const SERVICE: &str = "job-000002";

/// What happens to the tasks between their start and its late copy.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    /// They end.
    Ended,
    /// They end, and their worker is told to clear them.
    Cleared,
    /// They are stopped for services and start on other machines.
    Moved,
    /// Their user cancels the job.
    Cancelled,
}

const EVENTS: [Event; 4] = [Event::Ended, Event::Cleared, Event::Moved, Event::Cancelled];

/// Who is away for less than a second.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Absence {
    Nobody,
    /// The leader crashes and is back.
    Leader,
    /// All controllers crash and are back.
    AllControllers,
    /// The machines hang and go on.
    HungMachines,
    /// The workers' processes restart and have lost their state.
    RestartedWorkers,
}

const ABSENCES: [Absence; 5] = [
    Absence::Nobody,
    Absence::Leader,
    Absence::AllControllers,
    Absence::HungMachines,
    Absence::RestartedWorkers,
];

/// A simulation with a leader, in which each response is delivered again later, and each report too.
fn cluster_with_copies(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed);
    sim.response_copy_delays_ms = COPY_DELAYS_MS.to_vec();
    sim.duplicate_heartbeat_rate = 1.0;
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    sim.run(3_000);
    sim
}

fn submit(sim: &mut Simulation, n: u64, shape: &str, tasks: u32, run_ms: u64) -> u64 {
    let mut spec = sim.job_spec(n, shape, tasks);
    spec["crew"] = json!("blue");
    sim.submit(spec, run_ms, n as usize % 3)
}

/// Repeats a request, as users do, until a controller has answered it with success.
fn repeat_until_accepted(sim: &mut Simulation, request: impl Fn(&mut Simulation) -> u64) {
    for _ in 0..40 {
        let number = request(sim);
        sim.run(500);
        if matches!(sim.response_status(number), 200 | 201) {
            return;
        }
    }
    panic!("a request is not accepted: {}", sim.describe());
}

fn any_machine_has_task(sim: &Simulation) -> bool {
    sim.workers.values().any(|worker| worker.holds_task_of(JOB))
}

fn be_absent(sim: &mut Simulation, absence: Absence) {
    match absence {
        Absence::Nobody => {}
        Absence::Leader => {
            if let Some(leader) = sim.leader() {
                sim.crash(leader, 300);
            }
        }
        Absence::AllControllers => (0..3).for_each(|node| sim.crash(node, 200 + 300 * node as u64)),
        Absence::HungMachines => {
            let until = sim.now + 900;
            sim.workers.values_mut().for_each(|worker| worker.hung_until = until);
        }
        Absence::RestartedWorkers => {
            sim.workers.values_mut().for_each(Worker::restart_without_state);
        }
    }
}

/// Lets the event happen to the running tasks of the job.
fn bring_about(sim: &mut Simulation, event: Event) {
    match event {
        Event::Ended => sim.run_until(20_000, "the tasks end", |sim| !any_machine_has_task(sim)),
        Event::Cleared => sim.run_until(30_000, "the tasks are cleared", |sim| {
            sim.workers.values().all(|worker| !worker.knows_task_of(JOB))
        }),
        Event::Moved => {
            // Services take all machines that there are, and then there are more.
            sim.cloud.capacity = 2;
            repeat_until_accepted(sim, |sim| submit(sim, 2, "standing", 8, u64::MAX));
            sim.run_until(40_000, "the services run", |sim| sim.running_tasks_of(SERVICE) == 8);
            assert!(!any_machine_has_task(sim), "the tasks made room");
            sim.cloud.capacity = 8;
            sim.run_until(40_000, "the tasks run elsewhere", |sim| {
                sim.running_tasks_of(JOB) == JOB_TASKS as usize
            });
        }
        Event::Cancelled => {
            repeat_until_accepted(sim, |sim| sim.cancel(JOB, 0));
            sim.run_until(CANCEL_MS, "no task is left", |sim| !any_machine_has_task(sim));
        }
    }
}

/// Plays one combination; returns how many copies of start commands have arrived.
fn play(event: Event, absence: Absence, seed: u64) -> u32 {
    let mut sim = cluster_with_copies(seed);
    let ends = matches!(event, Event::Ended | Event::Cleared);
    submit(&mut sim, 1, "batch", JOB_TASKS, if ends { 1_500 } else { 100_000 });
    sim.run_until(15_000, "the tasks run", |sim| sim.running_tasks_of(JOB) == JOB_TASKS as usize);
    if absence == Absence::RestartedWorkers {
        // The tasks are lost with their workers; what happens to the attempts after them is not fixed.
        be_absent(&mut sim, absence);
    } else {
        be_absent(&mut sim, absence);
        bring_about(&mut sim, event);
        be_absent(&mut sim, absence);
    }
    sim.run(COPIES_ARRIVED_MS);
    if ends {
        sim.run_until_done(JOB, 60_000);
    }
    if event == Event::Cancelled && absence != Absence::RestartedWorkers {
        assert!(!any_machine_has_task(&sim), "{event:?}, {absence:?}, seed {seed}");
    }
    if ends && absence != Absence::RestartedWorkers {
        let starts = sim.jobs[JOB].start_commands;
        assert_eq!(starts, JOB_TASKS, "{event:?}, {absence:?}, seed {seed}: started again");
    }
    sim.start_copies_delivered
}

/// Guards against a task that runs on two machines, or again after its end or its cancellation, since a response
/// with its start command or a report from before it arrived once more.
#[test]
fn a_late_copy_of_a_response_or_a_report_starts_no_task_again() {
    for event in EVENTS {
        for absence in ABSENCES {
            for seed in 0..3 {
                let copies = play(event, absence, seed);
                let least = JOB_TASKS.min(COPY_DELAYS_MS.len() as u32);
                assert!(copies >= least, "{event:?}, {absence:?}, seed {seed}: {copies} copies");
            }
        }
    }
}

/// Guards against the same where a response arrives late but in time, so that its commands are executed, and the
/// task was cancelled or the leader replaced in between.
#[test]
fn responses_that_arrive_just_before_they_are_given_up_start_no_task_again() {
    for event in EVENTS {
        for absence in ABSENCES {
            let mut sim = cluster_with_copies(7);
            sim.slow_response_rate = 0.4;
            submit(&mut sim, 1, "batch", JOB_TASKS, 4_000);
            sim.run(2_500);
            be_absent(&mut sim, absence);
            match event {
                Event::Moved => {
                    submit(&mut sim, 2, "standing", 8, u64::MAX);
                }
                Event::Cancelled => {
                    sim.cancel(JOB, 1);
                }
                Event::Ended | Event::Cleared => {}
            }
            sim.run(3_000);
            be_absent(&mut sim, absence);
            sim.run(COPIES_ARRIVED_MS);
            if event == Event::Cancelled {
                assert!(!any_machine_has_task(&sim), "{absence:?}");
            } else {
                sim.run_until_done(JOB, 120_000);
            }
        }
    }
}

/// Shows what a late copy of a direct command would do, and that the simulation notices it: session and token still
/// match, and a worker drops a late response but executes a late direct command.
#[test]
fn a_late_copy_of_a_direct_start_would_be_noticed() {
    for (event, violation) in [
        (Event::Cleared, "started_again"),
        (Event::Moved, "ran_twice"),
        (Event::Cancelled, "started_after_cancellation"),
    ] {
        let mut sim = cluster_with_copies(1);
        submit(
            &mut sim,
            1,
            "batch",
            JOB_TASKS,
            if event == Event::Cleared { 1_500 } else { 100_000 },
        );
        sim.run_until(15_000, "the tasks run", |sim| {
            sim.running_tasks_of(JOB) == JOB_TASKS as usize
        });
        let (machine, attempt) = sim.attempts_of(JOB).first().expect("a task runs").clone();
        bring_about(&mut sim, event);
        if event == Event::Moved {
            // There is room again where the task was.
            sim.cancel(SERVICE, 0);
        }
        sim.run(4_000);
        sim.execute_direct_start(&machine, &attempt);
        (0..400).for_each(|_| sim.step());
        let noticed = sim.violations.iter().any(|found| found.starts_with(violation));
        assert!(noticed, "{event:?}: {:?}", sim.violations);
    }
}

/// Number of seeds of a normal run of [`random_late_starts`].
const RANDOM_SEED_COUNT: u64 = 40;
/// Environment variable with the number of seeds of a long search.
const SEED_COUNT_VAR: &str = "MOUNTGAP_SEEDS";
/// Random events of one seed.
const RANDOM_EVENTS: u64 = 60;

/// Services that run at the same time at the most, so that they leave room for the largest gang.
const SERVICES_MAX: usize = 8;

fn live_services(sim: &Simulation) -> usize {
    let is_service = |job: &&Job| job.spec["shape"] == "standing" && !job.cancel_requested;
    sim.jobs.values().filter(is_service).count()
}

/// Lets something random happen that makes late copies dangerous.
fn random_event(sim: &mut Simulation, n: u64) {
    match sim.rng.random_range(0..10) {
        0..3 => {
            let tasks = sim.rng.random_range(1..6);
            let run_ms = sim.rng.random_range(200..6_000);
            submit(sim, n, "batch", tasks, run_ms);
        }
        3 if live_services(sim) < SERVICES_MAX => {
            submit(sim, n, "standing", 2, u64::MAX);
        }
        4 => {
            submit(sim, n, "ensemble", 3, 3_000);
        }
        5 | 6 => {
            let is_live = |job: &Job| job.accepted_at.is_some() && !job.cancel_requested;
            let live: Vec<String> =
                sim.jobs.iter().filter(|(_, job)| is_live(job)).map(|(id, _)| id.clone()).collect();
            if !live.is_empty() {
                let (job, node) = (sim.rng.random_range(0..live.len()), sim.rng.random_range(0..3));
                sim.cancel(&live[job], node);
            }
        }
        _ => {
            let absence = ABSENCES[sim.rng.random_range(1..ABSENCES.len())];
            be_absent(sim, absence);
        }
    }
}

fn random_late_starts(seed: u64) {
    let mut sim = cluster_with_copies(seed);
    sim.slow_response_rate = if seed.is_multiple_of(2) { 0.0 } else { 0.2 };
    for n in 0..RANDOM_EVENTS {
        random_event(&mut sim, n + 1);
        let ms = sim.rng.random_range(50..2_500);
        sim.run(ms);
    }
    sim.slow_response_rate = 0.0;
    sim.run(COPIES_ARRIVED_MS);
    assert!(sim.start_copies_delivered > 0, "seed {seed}");
    sim.assert_all_jobs_complete();
}

/// Guards against the same under random short absences, ends, moves and cancellations.
#[test]
fn random_late_copies_start_no_task_again() {
    let count = std::env::var(SEED_COUNT_VAR).ok().and_then(|count| count.parse().ok());
    (0..count.unwrap_or(RANDOM_SEED_COUNT)).for_each(random_late_starts);
}
