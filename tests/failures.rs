//! Scenarios with tasks that fail: what a machine's or a job's failures lead to, and when that ends.

mod simulation;

use mountgap::storage::cluster::ClusterState;
use rand::Rng;
use serde_json::json;
use simulation::*;

const SEEDS: std::ops::Range<u64> = 0..4;

/// GPUs of a simulated machine.
const MACHINE_GPUS: u32 = 4;

/// Time for which users accept that a job waits beside a machine that has room for it (`hunt/LATER.md`).
const WAIT_LIMIT_MS: u64 = 90_000;

/// A simulation with a leader and this many machines, more than which the cloud doesn't have.
fn cluster_of(seed: u64, machines: usize) -> Simulation {
    let mut sim = Simulation::with_machines(seed, machines);
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    sim.run(3_000);
    sim
}

/// Submits a job of the team without a limit.
fn submit(sim: &mut Simulation, n: u64, shape: &str, tasks: u32, run_ms: u64) -> String {
    let mut spec = sim.job_spec(n, shape, tasks);
    spec["crew"] = json!("blue");
    sim.submit(spec, run_ms, n as usize % 3);
    format!("job-{n:06}")
}

/// A full cluster of two machines but for one slot; returns the name of the machine that has it.
fn one_free_slot(sim: &mut Simulation) -> String {
    let services = 2 * MACHINE_GPUS - 1;
    submit(sim, 1, "standing", services, u64::MAX);
    sim.run_until(20_000, "the services run", |sim| sim.running_tasks() == services as usize);
    let has_free_slot = |worker: &Worker| worker.unfinished_tasks().count() < MACHINE_GPUS as usize;
    let (name, _) = sim.workers.iter().find(|(_, worker)| has_free_slot(worker)).expect("a slot");
    name.clone()
}

/// Name of the service of [`keep_machines_of_both_zones`].
const SERVICE: &str = "job-000001";

/// Starts a service with a replica in each zone, which keeps two machines from being returned.
fn keep_machines_of_both_zones(sim: &mut Simulation) {
    let mut spec = sim.job_spec(1, "standing", 2);
    spec["crew"] = json!("blue");
    spec["apart"] = json!(true);
    sim.submit(spec, u64::MAX, 0);
    sim.run_until(20_000, "the service runs", |sim| sim.running_tasks_of(SERVICE) == 2);
}

/// The state of the cluster as the leader knows it.
fn cluster(sim: &Simulation) -> &ClusterState {
    let leader = sim.leader().expect("a leader");
    let controller = sim.nodes[leader].controller.as_ref().expect("the leader is up");
    &controller.leader().expect("it leads").cluster
}

/// When the last pause of a job ends or ended.
fn paused_until(sim: &Simulation, job: &str) -> u64 {
    cluster(sim).jobs[job].failures.paused_until()
}

/// Names of the machines that are cordoned.
fn cordoned_machines(sim: &Simulation) -> Vec<String> {
    let machines = cluster(sim).machines.values();
    let cordoned = machines.filter(|machine| machine.health.is_cordoned());
    cordoned.map(|machine| machine.name.to_string()).collect()
}

fn set_faulty(sim: &mut Simulation, machine: &str, faulty: bool) {
    sim.workers.get_mut(machine).expect("a machine").fails_all_tasks = faulty;
}

/// Guards against jobs that are never started again on a machine that failed them once, though it is sound
/// again and the only one with room.
#[test]
fn a_job_is_tried_again_on_the_only_machine_with_room_although_it_failed_there() {
    for seed in SEEDS {
        let mut sim = cluster_of(seed, 2);
        let machine = one_free_slot(&mut sim);
        set_faulty(&mut sim, &machine, true);
        let job = submit(&mut sim, 2, "batch", 1, 5_000);
        sim.run_until(10_000, "it fails", |sim| sim.jobs[&job].start_commands > 0);
        sim.run(4_000);
        set_faulty(&mut sim, &machine, false);
        sim.run_until_done(&job, WAIT_LIMIT_MS);
    }
}

/// Guards against the same for a gang, which needs all its machines.
#[test]
fn a_gang_is_tried_again_on_a_machine_that_it_needs_although_it_failed_there() {
    for seed in SEEDS {
        let mut sim = cluster_of(seed, 2);
        keep_machines_of_both_zones(&mut sim);
        let machine = sim.workers.keys().next().expect("a machine").clone();
        set_faulty(&mut sim, &machine, true);
        let job = submit(&mut sim, 2, "ensemble", 2 * MACHINE_GPUS - 2, 3_000);
        sim.run_until(10_000, "it fails", |sim| sim.jobs[&job].start_commands > 0);
        sim.run(4_000);
        set_faulty(&mut sim, &machine, false);
        sim.run_until_done(&job, WAIT_LIMIT_MS);
    }
}

/// Guards against jobs that are sent back to the machine that has just failed them while another fits.
#[test]
fn a_job_is_not_sent_back_to_the_machine_that_failed_it_while_another_fits() {
    for seed in SEEDS {
        let mut sim = cluster_of(seed, 3);
        let machine = sim.workers.keys().next().expect("a machine").clone();
        // It has a service, so that it stays although nothing starts there any more.
        submit(&mut sim, 1, "standing", 3, u64::MAX);
        sim.run_until(20_000, "the services run", |sim| sim.running_tasks() == 3);
        set_faulty(&mut sim, &machine, true);
        let job = submit(&mut sim, 2, "batch", 4, 100_000);
        sim.run_until(30_000, "all run", |sim| sim.running_tasks_of(&job) == 4);
        let failed_starts = sim.jobs[&job].start_commands - 4;
        assert!(failed_starts <= MACHINE_GPUS, "seed {seed}: {failed_starts} starts failed");
        sim.run(60_000);
        assert_eq!(sim.jobs[&job].start_commands, failed_starts + 4, "seed {seed}: none moved");
    }
}

/// Guards against a job with a mistake that is started again and again without a pause, or no longer at all.
#[test]
fn a_job_that_fails_wherever_it_starts_is_retried_with_growing_but_bounded_pauses() {
    for machines in [1, 2, 4] {
        let mut sim = cluster_of(1, machines);
        // Services keep the machines, so that failures there don't lead to new ones.
        let services = machines as u32;
        submit(&mut sim, 1, "standing", services, u64::MAX);
        sim.run_until(20_000, "the services run", |sim| sim.running_tasks() == services as usize);
        let job = submit(&mut sim, 2, "batch", 1, 5_000);
        sim.jobs.get_mut(&job).expect("just submitted").always_fails = true;
        sim.run(60_000);
        let in_first_minute = sim.jobs[&job].start_commands;
        assert!(in_first_minute <= 10, "{machines} machines: {in_first_minute} starts in a minute");
        let mut before = in_first_minute;
        for _ in 0..4 {
            sim.run(WAIT_LIMIT_MS);
            let starts = sim.jobs[&job].start_commands - before;
            assert!((1..=4).contains(&starts), "{machines} machines: {starts} starts in 90 s");
            before += starts;
        }
        let other = submit(&mut sim, 3, "batch", 1, 2_000);
        sim.run_until_done(&other, WAIT_LIMIT_MS);
    }
}

/// Guards against a job that stays paused although one of its tasks has succeeded.
#[test]
fn a_pause_ends_when_a_task_of_the_job_succeeds() {
    for seed in SEEDS {
        let mut sim = cluster_of(seed, 3);
        keep_machines_of_both_zones(&mut sim);
        let job = submit(&mut sim, 2, "batch", 10, 1_000_000);
        sim.run_until(20_000, "all run", |sim| sim.running_tasks_of(&job) == 10);
        let (faulty, sound): (Vec<String>, Vec<String>) =
            sim.workers.keys().cloned().partition(|name| sim.workers[name].holds_task_of(SERVICE));
        for machine in &faulty {
            set_faulty(&mut sim, machine, true);
            sim.workers.get_mut(machine).expect("a machine").end_tasks_of(&job, "error");
        }
        sim.run_until(200_000, "a long pause", |sim| paused_until(sim, &job) > sim.now + 20_000);
        for machine in &faulty {
            set_faulty(&mut sim, machine, false);
        }
        sim.workers.get_mut(&sound[0]).expect("a machine").complete_tasks_of(&job);
        sim.run(100);
        assert_eq!(sim.jobs[&job].done_tasks.len(), MACHINE_GPUS as usize);
        // The success shows that the other two machines were at fault, so these are cordoned.
        sim.run_until(10_000, "others run in its place", |sim| {
            sim.running_tasks_of(&job) == MACHINE_GPUS as usize
        });
    }
}

/// Guards against sound machines that stay cordoned since jobs with a mistake failed there.
#[test]
fn jobs_with_a_mistake_leave_no_machine_cordoned() {
    for seed in SEEDS {
        let mut sim = cluster_of(seed, 2);
        keep_machines_of_both_zones(&mut sim);
        let sound = submit(&mut sim, 2, "batch", 12, 500);
        sim.run_until_done(&sound, 30_000);
        for pair in [[3, 4], [5, 6]] {
            for n in pair {
                let job = submit(&mut sim, n, "batch", 1, 5_000);
                sim.jobs.get_mut(&job).expect("just submitted").always_fails = true;
            }
            sim.run(8_000);
        }
        for n in 3..=6 {
            sim.cancel(&format!("job-{n:06}"), 0);
        }
        sim.run(2_000);
        assert_eq!(cordoned_machines(&sim), Vec::<String>::new(), "seed {seed}");
        let job = submit(&mut sim, 7, "batch", 2, 2_000);
        sim.run_until_done(&job, 20_000);
    }
}

/// Guards against a machine that gets no task any more since it was faulty for a while, and can't be returned
/// since a service runs there.
#[test]
fn a_machine_that_works_again_gets_tasks_again() {
    for seed in SEEDS {
        let mut sim = cluster_of(seed, 2);
        keep_machines_of_both_zones(&mut sim);
        let machine = sim.workers.keys().next().expect("a machine").clone();
        set_faulty(&mut sim, &machine, true);
        for n in 2..=4 {
            submit(&mut sim, n, "batch", 2, 1_000);
        }
        sim.run_until(60_000, "it is cordoned", |sim| cordoned_machines(sim) == [machine.clone()]);
        (2..=4).for_each(|n| sim.run_until_done(&format!("job-{n:06}"), 60_000));
        // The other machine is filled up.
        let free = MACHINE_GPUS - 1;
        submit(&mut sim, 5, "standing", free, u64::MAX);
        sim.run_until(60_000, "the services run", |sim| sim.running_tasks() == 2 + free as usize);
        set_faulty(&mut sim, &machine, false);
        let job = submit(&mut sim, 6, "batch", 3, 2_000);
        sim.run_until_done(&job, WAIT_LIMIT_MS);
        sim.run_until(WAIT_LIMIT_MS, "it counts as sound", |sim| {
            let health = &cluster(sim).machines[machine.as_str()].health;
            !health.is_cordoned() && health.probation_since().is_none()
        });
    }
}

/// Guards against a faulty machine that is tried too often, or whose failures hold up the jobs.
#[test]
fn a_machine_that_stays_faulty_gets_few_tasks() {
    for seed in SEEDS {
        let mut sim = cluster_of(seed, 3);
        keep_machines_of_both_zones(&mut sim);
        let machine = sim.workers.keys().next().expect("a machine").clone();
        assert!(sim.workers[&machine].holds_task_of(SERVICE), "it can't be returned");
        set_faulty(&mut sim, &machine, true);
        let jobs = 2..302;
        for n in jobs.clone() {
            submit(&mut sim, n, "batch", 1, 1_000);
            sim.run(1_000);
        }
        sim.run(20_000);
        let job_ids: Vec<String> = jobs.map(|n| format!("job-{n:06}")).collect();
        let undone = job_ids.iter().filter(|id| sim.jobs[*id].done_tasks.is_empty()).count();
        assert_eq!(undone, 0, "seed {seed}");
        let starts: u32 = job_ids.iter().map(|id| sim.jobs[id].start_commands).sum();
        let failed = starts - job_ids.len() as u32;
        assert!((1..=24).contains(&failed), "seed {seed}: {failed} starts in 320 s failed");
    }
}

/// Guards against a machine that is out of use for good since a request to delete it was not confirmed.
#[test]
fn a_machine_whose_deletion_is_not_confirmed_gets_tasks_again() {
    for seed in SEEDS {
        let mut sim = cluster_of(seed, 2);
        sim.run(50_000);
        sim.cloud.unavailable = true;
        sim.run_until(60_000, "its deletion fails", |sim| !cordoned_machines(sim).is_empty());
        let job = submit(&mut sim, 1, "batch", 2 * MACHINE_GPUS, 2_000);
        sim.run_until_done(&job, WAIT_LIMIT_MS);
    }
}

/// Guards against a zone or a machine type that is given up since machines of it never came up, and against such
/// machines that keep others from being rented.
#[test]
fn machines_that_never_boot_are_replaced() {
    for seed in SEEDS {
        let mut sim = cluster_of(seed, 2);
        sim.cloud.capacity = 4;
        sim.cloud.boot_ms = u64::MAX / 2;
        submit(&mut sim, 1, "standing", 2 * MACHINE_GPUS, u64::MAX);
        let job = submit(&mut sim, 2, "batch", 2 * MACHINE_GPUS, 2_000);
        sim.run_until(30_000, "machines are rented", |sim| sim.machine_counts().1 > 2);
        // Their deletion fails for a while too.
        sim.cloud.unavailable = true;
        sim.run(40_000);
        sim.cloud.unavailable = false;
        sim.run(20_000);
        sim.cloud.boot_ms = 4_000;
        sim.run_until_done(&job, WAIT_LIMIT_MS);
    }
}

/// Guards against a kind of machine that is not rented any more since the cloud had none for a while.
#[test]
fn a_kind_without_capacity_is_rented_again_when_there_is_some() {
    for seed in SEEDS {
        let mut sim = cluster_of(seed, 2);
        submit(&mut sim, 1, "standing", 2 * MACHINE_GPUS, u64::MAX);
        let job = submit(&mut sim, 2, "batch", 2 * MACHINE_GPUS, 2_000);
        sim.run(120_000);
        assert!(sim.jobs[&job].done_tasks.is_empty(), "there is no room");
        sim.cloud.capacity = 4;
        sim.run_until_done(&job, WAIT_LIMIT_MS);
    }
}

/// Number of seeds of a normal run of [`random_failures`].
const RANDOM_SEED_COUNT: u64 = 60;
/// Environment variable with the number of seeds of a long search.
const SEED_COUNT_VAR: &str = "MOUNTGAP_SEEDS";
/// Random events of one seed.
const EVENTS: u32 = 80;

/// Lets something random happen that has to do with failures.
fn random_event(sim: &mut Simulation, next_job: &mut u64) {
    let names: Vec<String> = sim.workers.keys().cloned().collect();
    let name = names[sim.rng.random_range(0..names.len())].clone();
    match sim.rng.random_range(0..10) {
        0..2 => {
            let worker = sim.workers.get_mut(&name).expect("a machine");
            worker.fails_all_tasks ^= true;
        }
        2 => sim.cloud.unavailable ^= true,
        3 => cancel_failing_jobs(sim),
        event => {
            let tasks = sim.rng.random_range(1..6);
            let run_ms = sim.rng.random_range(500..20_000);
            let shape = if sim.rng.random_bool(0.2) { "ensemble" } else { "batch" };
            let job = submit(sim, *next_job, shape, tasks, run_ms);
            *next_job += 1;
            sim.jobs.get_mut(&job).expect("just submitted").always_fails = event == 4;
        }
    }
}

fn cancel_failing_jobs(sim: &mut Simulation) {
    let fails = |job: &Job| job.always_fails && !job.cancel_requested;
    let failing = sim.jobs.iter().filter(|(_, job)| fails(job)).map(|(id, _)| id.clone());
    for job in failing.collect::<Vec<String>>() {
        sim.cancel(&job, 0);
    }
}

fn random_failures(seed: u64) {
    let mut sim = cluster_of(seed, 2 + seed as usize % 3);
    keep_machines_of_both_zones(&mut sim);
    let mut next_job = 2;
    for _ in 0..EVENTS {
        random_event(&mut sim, &mut next_job);
        let ms = sim.rng.random_range(100..4_000);
        sim.run(ms);
    }
    cancel_failing_jobs(&mut sim);
    for worker in sim.workers.values_mut() {
        worker.fails_all_tasks = false;
    }
    // The cloud stays as it is: without it, the machines that are there have all the room.
    sim.assert_all_jobs_complete();
}

/// Guards against any memory of failures that keeps a job waiting beside a machine that works again.
#[test]
fn after_random_failures_no_job_waits_beside_room() {
    let count = std::env::var(SEED_COUNT_VAR).ok().and_then(|count| count.parse().ok());
    (0..count.unwrap_or(RANDOM_SEED_COUNT)).for_each(random_failures);
}
