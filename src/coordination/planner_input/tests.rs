//! Tests of [`super`], the module `planner_input`.

use super::jobs::due_in_ms;
use super::machines::{booting_machine, is_schedulable, mean_boot_wait_ms, next_heartbeat_ms};
use super::placements::{expected_end_ms, PlacedJob};
use crate::constants::MEAN_BOOT_WAIT_MACHINES_MIN;
use crate::coordination::planner::BootingMachine;
use crate::protocol::cloud::MachineType;
use crate::protocol::users::{JobSpec, Priority};
use crate::protocol::Resources;
use crate::settings::Objective;
use crate::storage::machine::{Machine, MachineState, Placement, PlacementPhase, StopReason};
use crate::storage::testing::batch_of;

const NOW_MS: u64 = 1_000_000;

/// A schedulable machine that has just sent a heartbeat.
fn schedulable_machine() -> Machine {
    Machine {
        state: MachineState::Up,
        has_current_token: true,
        last_alive_at: Some(NOW_MS),
        last_heartbeat_at: Some(NOW_MS),
        ..Machine::new("m-1".into(), 0)
    }
}

fn machine_type(boot_s: f64) -> MachineType {
    MachineType {
        type_name: "small".into(),
        cores: 4.0,
        gpus: 1.0,
        ram_gb: 16.0,
        cache_gb: 100.0,
        fetch_gb_per_s: 0.25,
        rate: 1.0,
        spot_price: 0.5,
        boot_s,
        zones: vec!["z1".into()],
    }
}

fn placed_job(run_ms: u64) -> PlacedJob {
    PlacedJob {
        priority: Priority::Standard,
        team: Some(0),
        need: Resources::new(1.0, 0.0, 1.0),
        bandwidth: 0.0,
        run_ms,
        is_service: false,
        keeps_progress: false,
        tasks_stopped: 1,
        image: 0,
        image_gb: 2.0,
        stop_ms: 3_000,
    }
}

/// A placement that was decided and reported running so many milliseconds ago.
fn placement(placed_ago_ms: u64, running_ago_ms: Option<u64>) -> Placement {
    let placed_at = NOW_MS - placed_ago_ms;
    let running_since = running_ago_ms.map(|ago_ms| NOW_MS - ago_ms);
    Placement { running_since, ..Placement::new(1, PlacementPhase::Committed, placed_at) }
}

#[test]
fn only_a_usable_machine_that_sends_heartbeats_is_schedulable() {
    assert!(is_schedulable(&schedulable_machine(), NOW_MS, 10_000));
    let disqualifying_changes: [fn(&mut Machine); 9] = [
        |machine| machine.failed = true,
        |machine| machine.state = MachineState::AwaitingHeartbeat,
        |machine| machine.health.cordon_for_deletion(NOW_MS),
        |machine| machine.draining = true,
        |machine| machine.lease_expired = true,
        |machine| machine.reclaim_at = Some(NOW_MS + 60_000),
        |machine| machine.has_current_token = false,
        |machine| machine.unreachable_since = Some(NOW_MS),
        |machine| machine.last_alive_at = Some(NOW_MS - 10_001),
    ];
    for (index, change) in disqualifying_changes.iter().enumerate() {
        let mut machine = schedulable_machine();
        change(&mut machine);
        assert!(!is_schedulable(&machine, NOW_MS, 10_000), "change {index}");
    }
}

#[test]
fn a_machine_that_boots_late_is_not_expected() {
    let rented_ago = |ago_ms: u64| Machine::new("m-1".into(), NOW_MS - ago_ms);
    let ready_in_ms = |ago_ms: u64| {
        booting_machine(&rented_ago(ago_ms), &machine_type(100.0), NOW_MS)
            .map(|machine| machine.ready_in_ms)
    };
    assert_eq!(ready_in_ms(0), Some(100_000));
    assert_eq!(ready_in_ms(30_000), Some(70_000));
    assert!(
        ready_in_ms(100_000).is_some_and(|ms| ms > 0),
        "it is overdue, but not expected at once"
    );
    assert_eq!(ready_in_ms(900_000), None);
}

#[test]
fn the_mean_boot_wait_needs_many_booting_machines() {
    let booting = |ready_in_ms| BootingMachine { ready_in_ms, total: Resources::default() };
    let mut many = vec![booting(1_000); MEAN_BOOT_WAIT_MACHINES_MIN as usize];
    many[0] = booting(1_000 + MEAN_BOOT_WAIT_MACHINES_MIN);
    assert_eq!(mean_boot_wait_ms(&many), Some(1_001));
    assert_eq!(mean_boot_wait_ms(&many[1..]), None);
}

#[test]
fn the_next_heartbeat_is_expected_a_period_after_the_last() {
    let mut machine = schedulable_machine();
    assert_eq!(next_heartbeat_ms(&machine, 4.0, NOW_MS), 4_000);
    machine.last_heartbeat_at = Some(NOW_MS - 2_000);
    assert_eq!(next_heartbeat_ms(&machine, 4.0, NOW_MS), 2_000);
    machine.last_heartbeat_at = Some(NOW_MS - 60_000);
    assert!(next_heartbeat_ms(&machine, 4.0, NOW_MS) > 0, "overdue, but not expected at once");
}

#[test]
fn the_end_of_a_task_is_its_start_and_its_run_time() {
    let job = placed_job(60_000);
    let end_in_ms = |placement: &Placement, job: &PlacedJob| {
        expected_end_ms(placement, job, 8_000, NOW_MS) - NOW_MS
    };
    assert_eq!(end_in_ms(&placement(30_000, Some(20_000)), &job), 40_000);
    assert_eq!(end_in_ms(&placement(2_000, None), &job), 66_000, "the image fetch takes 6 s more");
    assert_eq!(
        end_in_ms(&placement(20_000, None), &job),
        60_000,
        "the image is fetched, the task is about to start"
    );
    assert_eq!(end_in_ms(&placement(90_000, Some(80_000)), &job), 20_000, "overdue");
    let mut stopping = placement(90_000, Some(80_000));
    stopping.stop_reason = Some(StopReason::Eviction);
    assert_eq!(end_in_ms(&stopping, &job), 3_000);
    let service = PlacedJob { is_service: true, ..placed_job(1_000) };
    assert_eq!(end_in_ms(&placement(90_000, Some(80_000)), &service), 3_600_000);
}

#[test]
fn deadlines_come_from_the_objectives_of_the_class_and_the_job_itself() {
    let spec = JobSpec { deadline_s: Some(100.0), ..(*batch_of("job-1", 4).jobs[0]).clone() };
    let objective = |kind: &str, class: Option<&str>, within_s: Option<f64>| Objective {
        kind: kind.into(),
        class: class.map(String::from),
        within_s,
        share: None,
        times: None,
    };
    let objectives = [
        objective("finished", None, Some(300.0)),
        objective("wait", Some(&spec.class), Some(20.0)),
        objective("finished", Some("another class"), Some(5.0)),
        objective("deadline", None, None),
    ];
    // The job's own deadline counts by itself and through the last objective.
    assert_eq!(due_in_ms(&objectives, &spec, 10_000, 0), vec![30_000, 100_000, 300_000]);
    assert_eq!(due_in_ms(&objectives, &spec, 10_000, 40_000), vec![0, 60_000, 260_000]);
    assert!(due_in_ms(&[], &JobSpec { deadline_s: None, ..spec }, 10_000, 0).is_empty());
}
