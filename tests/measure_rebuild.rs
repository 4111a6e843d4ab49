//! Measurements of the rebuild, which CI doesn't run:
//!
//!     cargo test --release --test measure_rebuild -- --ignored --nocapture

mod simulation;

use mountgap_recovery::image::{StoreId, StoreImage};
use mountgap_recovery::merged_state::MergedState;
use mountgap_recovery::snapshot::{encode, SnapshotHeader};
use mountgap_recovery::write_back::{DesiredState, TransactionLimits};
use simulation::*;
use std::time::Instant;

/// A simulation in which tasks run on this many machines and all data was just lost; also returns the time of the
/// loss.
fn simulation_after_wipe(machines: usize) -> (Simulation, u64) {
    let mut sim = Simulation::with_machines(1, machines);
    sim.operator.recovery.enabled = true;
    sim.run_until(60_000, "a leader", |sim| sim.leader().is_some());
    let jobs = (machines / 8).max(1) as u64;
    for n in 1..=jobs {
        let mut job = sim.job_spec(n, "batch", 16);
        job["crew"] = "blue".into();
        sim.submit(job, 600_000, (n % 3) as usize);
        sim.run(10);
    }
    let tasks = jobs as usize * 16;
    sim.run_until(600_000, "all tasks run", |sim| sim.running_tasks() >= tasks);
    sim.run(3_000);
    sim.state.wipe();
    let wiped_at = sim.now;
    (sim, wiped_at)
}

#[test]
#[ignore = "a measurement"]
fn time_and_commits_from_wipe_to_first_placement() {
    println!("simulated; machines, tasks running, seconds from wipe: detected, written, first placement; commits");
    for machines in [50, 250, 1_000, 4_000] {
        let (mut sim, wiped_at) = simulation_after_wipe(machines);
        let running = sim.running_tasks();
        let since = |sim: &Simulation| (sim.now - wiped_at) as f64 / 1_000.0;
        sim.run_until(60_000, "the loss is detected", |sim| sim.state.get("mg/rebuild").is_some());
        let detected = since(&sim);
        let phase =
            |sim: &Simulation| sim.state.get("mg/rebuild").map(|record| record["phase"].clone());
        sim.run_until(600_000, "the store is written back", |sim| {
            phase(sim).is_some_and(|name| name != "writing")
        });
        let (written, commits) = (since(&sim), sim.state.revision);
        let mut job = sim.job_spec(900_000, "batch", 1);
        job["crew"] = "blue".into();
        while sim.jobs.get("job-900000").is_none_or(|job| job.accepted_at.is_none()) {
            sim.submit(job.clone(), 1_000, 0);
            sim.run(500);
        }
        sim.run_until(600_000, "first placement", |sim| sim.jobs["job-900000"].starts > 0);
        let placed = since(&sim);
        println!("{machines:6} {running:6} {detected:8.1} {written:8.1} {placed:8.1} {commits:6}");
        assert_eq!(sim.jobs.values().map(|job| job.starts as usize).sum::<usize>(), running + 1);
    }
}

/// An image with this many ended jobs and placed tasks.
fn image_of(ended: u64, tasks: u64) -> StoreImage {
    use mountgap_records::records::{
        job_end_key, placements_key, JobEndRecord, JobStage, PlacementsRecord, StoredPlacement,
    };
    let mut image = StoreImage::new();
    for n in 0..ended {
        let end =
            JobEndRecord { at: 1_700_000_000_000 + n, stage: JobStage::Done, tasks: 30, done: 30 };
        let data = serde_json::to_string(&end).expect("JSON");
        image.put(&job_end_key(&format!("job-{n:06}")), n + 1, &data);
    }
    for group in 0..tasks.div_ceil(200) {
        let texts = (group * 200..tasks.min(group * 200 + 200)).map(|n| {
            let job = format!("job-{:06}", ended + n / 30);
            let machine = format!("n-{:06}", n % 4_000);
            StoredPlacement::text(&job, (n % 30) as u32, &machine, (1 << 26) + n).expect("a text")
        });
        let record = PlacementsRecord { tasks: texts.collect::<Vec<_>>().join(" ") };
        let data = serde_json::to_string(&record).expect("JSON");
        image.put(&placements_key(group as u32), ended + group + 1, &data);
    }
    image.advance(ended + tasks);
    image
}

#[test]
#[ignore = "a measurement"]
fn cost_of_a_snapshot_and_of_a_write_back_plan() {
    println!("ended jobs, tasks: copy in us; encoding in ms, compressed of plain bytes; plan in ms, values");
    let limits = TransactionLimits { value_bytes: 4_096, transaction_ops: 8 };
    for (ended, tasks) in [(1_000, 1_000), (10_000, 10_000), (50_000, 100_000)] {
        let image = image_of(ended, tasks);
        let started = Instant::now();
        let copy = image.clone();
        let copy_us = started.elapsed().as_secs_f64() * 1e6;
        let plain_bytes: usize =
            image.iter().map(|(key, value)| key.len() + value.data.len() + 16).sum();
        let header = SnapshotHeader {
            deployment: "here".into(),
            controller: "c-0".into(),
            revision: image.revision(),
            taken_at: 0,
            keys: image.len() as u64,
        };
        let started = Instant::now();
        let bytes = encode(&header, &copy).expect("an encoded snapshot").len();
        let encode_ms = started.elapsed().as_secs_f64() * 1e3;
        let started = Instant::now();
        let merged = MergedState::from_image(&copy);
        let desired = DesiredState::new(&merged, StoreId(1), &StoreImage::new(), &limits);
        let plan_ms = started.elapsed().as_secs_f64() * 1e3;
        let values = desired.len();
        println!("{ended:6} {tasks:6}: {copy_us:.1}; {encode_ms:.1}, {bytes} of {plain_bytes}; {plan_ms:.1}, {values}");
    }
}

#[test]
#[ignore = "a measurement"]
fn data_loss_without_recovery() {
    let mut sim = Simulation::new(1);
    sim.run_until(20_000, "a leader", |sim| sim.leader().is_some());
    for n in 1..=4 {
        let job = sim.job_spec(n, "standing", 2);
        sim.submit(job, u64::MAX, (n % 3) as usize);
    }
    sim.run_until(60_000, "all tasks run", |sim| sim.running_tasks() == 8);
    sim.run(2_000);
    sim.state.wipe();
    let poll_all = |sim: &mut Simulation| {
        let mut requests: Vec<u64> = Vec::new();
        for n in 1..=4 {
            let polls = (0..3).map(|node| sim.poll(&format!("job-{n:06}"), node));
            requests.extend(polls.collect::<Vec<_>>());
        }
        (0..300).for_each(|_| sim.step());
        let known = requests.iter().filter(|request| sim.response_status(**request) == 200).count();
        let unknown =
            requests.iter().filter(|request| sim.response_status(**request) == 404).count();
        (known, unknown, requests.len())
    };
    for minute in 1..=3 {
        (0..6_000).for_each(|_| sim.step());
        let (known, unknown, total) = poll_all(&mut sim);
        let (leader, running) = (sim.leader(), sim.running_tasks());
        println!("{minute} min: leader {leader:?}, {running} of 8 tasks run; of {total} polls {known} known, {unknown} 404");
    }
    (0..3).for_each(|node| sim.crash(node, 500));
    (0..3_000).for_each(|_| sim.step());
    let (known, unknown, total) = poll_all(&mut sim);
    let violated: std::collections::BTreeSet<&str> =
        sim.violations.iter().filter_map(|violation| violation.split(' ').next()).collect();
    let running = sim.running_tasks();
    println!("all restarted: {running} of 8 tasks run; of {total} polls {known} known, {unknown} 404; violated: {violated:?}");
}
