//! Tests of [`super`], the module `machine_health`.

use super::*;
use rand::SeedableRng;

struct Fixture {
    health: MachineHealth,
    rng: SmallRng,
}

impl Fixture {
    fn new() -> Fixture {
        Fixture { health: MachineHealth::default(), rng: SmallRng::seed_from_u64(1) }
    }

    fn fail(&mut self, job: &str, weight: FailureWeight, now: u64) -> bool {
        self.health.record_failure(&job.into(), weight, now, &mut self.rng)
    }

    /// Cordons the machine by failures of two jobs.
    fn cordoned() -> Fixture {
        let mut fixture = Fixture::new();
        assert!(!fixture.fail("job-1", FailureWeight::Unproven, 1_000));
        assert!(fixture.fail("job-2", FailureWeight::Unproven, 1_000));
        fixture
    }

    /// Ends the cordon; returns the time at which it ended.
    fn end_cordon(&mut self, from: u64) -> u64 {
        let mut now = from;
        while self.health.end_cordon_if_due(now).is_none() {
            assert!(now <= from + CORDON_MAX_MS, "the cordon has no end");
            now += 100;
        }
        now
    }
}

#[test]
fn recent_failures_of_two_jobs_cordon_a_machine() {
    assert!(Fixture::cordoned().health.is_cordoned());
    let mut fixture = Fixture::new();
    fixture.fail("job-1", FailureWeight::Unproven, 1_000);
    assert!(!fixture.fail("job-1", FailureWeight::Unproven, 2_000), "the same job");
    assert!(!fixture.fail("job-2", FailureWeight::Unproven, 2_000 + CORDON_WINDOW_MS), "too old");
}

#[test]
fn failures_of_a_job_that_succeeds_elsewhere_cordon_a_machine() {
    let mut fixture = Fixture::new();
    assert!(!fixture.fail("job-1", FailureWeight::JobHasSucceeded, 1_000));
    assert!(fixture.fail("job-1", FailureWeight::JobHasSucceeded, 2_000));
    let mut fixture = Fixture::new();
    fixture.fail("job-1", FailureWeight::Doubted, 1_000);
    let Fixture { health, rng } = &mut fixture;
    assert!(!health.confirm_failures(&"job-2".into(), 2_000, rng), "another job");
    assert!(!health.confirm_failures(&"job-1".into(), 1_000 + CORDON_WINDOW_MS, rng), "too old");
    assert!(health.confirm_failures(&"job-1".into(), 2_000, rng));
}

#[test]
fn a_cordon_ends_with_a_probation_and_a_failure_on_probation_renews_it() {
    let mut fixture = Fixture::cordoned();
    assert_eq!(fixture.health.end_cordon_if_due(1_000 + CORDON_MS / 2 - 1), None);
    let mut now = 1_000;
    for _ in 0..6 {
        now = fixture.end_cordon(now);
        assert_eq!(fixture.health.probation_since(), Some(now));
        assert!(!fixture.health.is_cordoned());
        assert!(fixture.fail("job-3", FailureWeight::Unproven, now + 1_000), "one is enough");
        now += 1_000;
    }
    assert!(fixture.health.end_cordon_if_due(now + CORDON_MAX_MS / 2 - 1).is_none(), "longer");
}

#[test]
fn a_task_placed_on_probation_ends_it_by_success_or_by_running_for_long() {
    let mut fixture = Fixture::cordoned();
    let since = fixture.end_cordon(1_000);
    assert!(!fixture.health.record_success(since - 1), "placed before the probation");
    assert!(fixture.health.record_success(since));
    assert_eq!(fixture.health.probation_since(), None);

    let mut fixture = Fixture::cordoned();
    let since = fixture.end_cordon(1_000);
    let health = &mut fixture.health;
    let running_since = || std::iter::once(since + 500);
    assert!(!health.end_probation_if_due(running_since(), since + 500));
    assert!(health.end_probation_if_due(running_since(), since + 500 + PROBATION_RUN_MS));
    assert_eq!(health.probation_since(), None);
}

#[test]
fn a_probation_without_tasks_ends_in_time() {
    let mut fixture = Fixture::cordoned();
    let since = fixture.end_cordon(1_000);
    let health = &mut fixture.health;
    assert!(!health.end_probation_if_due(std::iter::empty(), since + PROBATION_MAX_MS - 1));
    assert!(health.end_probation_if_due(std::iter::empty(), since + PROBATION_MAX_MS));
}

#[test]
fn a_cordon_is_lifted_when_its_failures_are_withdrawn_or_disproved() {
    let withdrawals: [fn(&mut MachineHealth) -> bool; 3] = [
        |health| health.doubt_failures(&"job-1".into()),
        |health| health.withdraw_failures(&"job-1".into()),
        |health| health.record_success(1_001),
    ];
    for (index, withdraw) in withdrawals.iter().enumerate() {
        let mut fixture = Fixture::cordoned();
        assert!(!fixture.health.withdraw_failures(&"job-9".into()), "it has no failure here");
        assert!(!fixture.health.record_success(1_000), "a task from before the failures");
        assert!(withdraw(&mut fixture.health), "withdrawal {index}");
        assert!(!fixture.health.is_cordoned());
        assert_eq!(fixture.health.probation_since(), None);
    }
}

#[test]
fn a_cordon_with_enough_other_failures_stays() {
    let mut fixture = Fixture::cordoned();
    fixture.fail("job-3", FailureWeight::Unproven, 1_000);
    assert!(!fixture.health.withdraw_failures(&"job-1".into()));
    assert!(fixture.health.is_cordoned());
    assert!(fixture.health.doubt_failures(&"job-2".into()));
}

#[test]
fn the_cordon_for_a_deletion_ends_in_time_however_often_the_deletion_is_requested() {
    let mut health = MachineHealth::default();
    for now in (1_000..1_000 + UNCONFIRMED_DELETION_MS).step_by(500) {
        health.cordon_for_deletion(now);
        assert!(!health.withdraw_failures(&"job-1".into()), "it doesn't rest on failures");
        assert_eq!(health.end_cordon_if_due(now), None);
    }
    let until = 1_000 + UNCONFIRMED_DELETION_MS;
    assert_eq!(health.end_cordon_if_due(until), Some(CordonEnd::Usable));
    assert!(!health.is_cordoned());
}
