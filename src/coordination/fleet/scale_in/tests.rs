//! Tests of [`super`], the module `scale_in`.

use super::*;
use crate::protocol::cloud::MachineType;

const NOW: u64 = 10_000_000;
const BOOT_MS: u64 = 60_000;

fn catalog() -> Catalog {
    let machine_type = MachineType {
        type_name: "small".into(),
        cores: 4.0,
        gpus: 0.0,
        ram_gb: 16.0,
        cache_gb: 100.0,
        fetch_gb_per_s: 0.25,
        rate: 1.0,
        spot_price: 0.5,
        boot_s: BOOT_MS as f64 / MS_PER_S,
        zones: vec!["z1".into()],
    };
    Catalog { machine_types: vec![machine_type] }
}

fn rules(catalog: &Catalog) -> ReturnRules<'_> {
    ReturnRules {
        now: NOW,
        catalog,
        idle_return_s: Some(30.0),
        lease_ms: 20_000,
        silent_ms: 12_000,
        extended_lease_ms: 50_000,
    }
}

/// An empty machine that is up, has just sent a heartbeat and is past the minimum charge.
fn idle_machine(idle_ms: u64) -> Machine {
    Machine {
        type_name: "small".into(),
        total: Resources::new(4.0, 0.0, 16.0),
        state: MachineState::Up,
        up_at: Some(1_000),
        last_alive_at: Some(NOW),
        last_response_at: Some(NOW),
        idle_since: Some(NOW - idle_ms),
        ..Machine::new("m-1".into(), 0)
    }
}

fn no_services() -> ServiceCapacity {
    ServiceCapacity { headroom: None, free_slots: 0.0 }
}

#[test]
fn an_idle_machine_is_returned_after_its_timeout_and_the_minimum_charge() {
    let catalog = catalog();
    let rules = rules(&catalog);
    assert!(!rules.is_returnable(&idle_machine(29_999), &mut no_services()));
    assert!(rules.is_returnable(&idle_machine(30_000), &mut no_services()));
    let young = Machine { rented_at: NOW - 1_000, ..idle_machine(30_000) };
    assert!(!rules.is_returnable(&young, &mut no_services()));
}

#[test]
fn idle_machines_are_kept_while_new_services_need_their_capacity() {
    let catalog = catalog();
    let rules = rules(&catalog);
    let headroom = ServiceHeadroom { need: Resources::new(1.0, 0.0, 1.0), slots: 6.0 };
    let mut capacity = ServiceCapacity { headroom: Some(headroom), free_slots: 10.0 };
    assert!(
        rules.is_returnable(&idle_machine(30_000), &mut capacity),
        "six of ten slots are enough"
    );
    assert!(!rules.is_returnable(&idle_machine(30_000), &mut capacity), "two would be too few");
    let spot = Machine { spot: true, ..idle_machine(30_000) };
    assert!(rules.is_returnable(&spot, &mut capacity), "services don't wait for spot machines");
    assert_eq!(capacity.free_slots, 6.0);
}

#[test]
fn a_machine_that_fails_or_does_not_boot_in_time_is_returned() {
    let catalog = catalog();
    let rules = rules(&catalog);
    let boot_timeout_ms = (BOOT_MS as f64 * BOOT_TIMEOUT_FACTOR) as u64;
    let booting = |age_ms: u64| Machine {
        state: MachineState::Booting,
        rented_at: NOW - age_ms,
        ..idle_machine(0)
    };
    assert!(!rules.is_returnable(&booting(boot_timeout_ms), &mut no_services()));
    assert!(rules.is_returnable(&booting(boot_timeout_ms + 1), &mut no_services()));
    let failed = |state| Machine { failed: true, state, ..idle_machine(0) };
    assert!(rules.is_returnable(&failed(MachineState::Up), &mut no_services()));
    assert!(!rules.is_returnable(&failed(MachineState::Deleting), &mut no_services()));
}

#[test]
fn a_machine_that_is_cut_off_is_kept_for_its_lease_and_a_boot() {
    let catalog = catalog();
    let rules = rules(&catalog);
    let expired = |silent_ms: u64| Machine {
        lease_expired: true,
        last_response_at: Some(NOW - silent_ms),
        ..idle_machine(0)
    };
    assert!(!rules.is_returnable(&expired(20_000 + BOOT_MS), &mut no_services()));
    assert!(rules.is_returnable(&expired(20_000 + BOOT_MS + 1), &mut no_services()));
    let mut cordoned = expired(0);
    cordoned.health.cordon_for_deletion(0);
    assert!(rules.is_returnable(&cordoned, &mut no_services()));
}

#[test]
fn a_silent_or_unreachable_machine_is_unresponsive() {
    let catalog = catalog();
    let rules = rules(&catalog);
    assert!(!rules.is_unresponsive(&idle_machine(0)));
    let silent = |ms: u64| Machine { last_alive_at: Some(NOW - ms), ..idle_machine(0) };
    assert!(!rules.is_unresponsive(&silent(20_000 + BOOT_MS)));
    assert!(rules.is_unresponsive(&silent(20_000 + BOOT_MS + 1)));
    let unreachable = |ms: u64| Machine { unreachable_since: Some(NOW - ms), ..idle_machine(0) };
    assert!(!rules.is_unresponsive(&unreachable(UNREACHABLE_DELETE_MS)));
    assert!(rules.is_unresponsive(&unreachable(UNREACHABLE_DELETE_MS + 1)));
    let without_heartbeat = |ms: u64| Machine {
        state: MachineState::AwaitingHeartbeat,
        first_known_at: NOW - ms,
        ..idle_machine(0)
    };
    assert!(!rules.is_unresponsive(&without_heartbeat(20_000 + UNREACHABLE_DELETE_MS)));
    assert!(rules.is_unresponsive(&without_heartbeat(20_000 + UNREACHABLE_DELETE_MS + 1)));
}
