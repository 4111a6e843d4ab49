//! Tests of [`super`], the module `job_failures`.

use super::*;
use rand::SeedableRng;

struct Fixture {
    failures: JobFailures,
    rng: SmallRng,
}

impl Fixture {
    fn new() -> Fixture {
        let failures = JobFailures::new(HashKeys::from_seed(1));
        Fixture { failures, rng: SmallRng::seed_from_u64(1) }
    }

    fn fail(&mut self, machine: &str, now: u64) -> Option<u64> {
        self.failures.record(&machine.into(), now, &mut self.rng)
    }

    /// Machines that are avoided, with whether they may be retried, by name.
    fn avoided(&self, now: u64) -> Vec<(String, bool)> {
        let avoided = self.failures.avoided_machines(now);
        let mut avoided: Vec<(String, bool)> =
            avoided.map(|(name, may_retry)| (name.to_string(), may_retry)).collect();
        avoided.sort();
        avoided
    }
}

#[test]
fn a_machine_is_avoided_then_retried_and_at_last_forgotten() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.fail("n-1", 1_000), None, "one machine does not pause the job");
    assert_eq!(fixture.avoided(1_001), [("n-1".to_string(), false)]);
    let backoff_over_at = 1_000 + MACHINE_RETRY_BACKOFF_MS;
    assert_eq!(fixture.avoided(backoff_over_at), [("n-1".to_string(), true)]);
    assert!(fixture.avoided(1_000 + FAILURE_MEMORY_MS).is_empty());
}

#[test]
fn the_backoff_on_a_machine_grows_with_each_retry_up_to_its_maximum() {
    let mut fixture = Fixture::new();
    let (mut now, mut delays) = (1_000, Vec::new());
    for _ in 0..8 {
        fixture.fail("n-1", now);
        let failed_at = now;
        while !fixture.avoided(now)[0].1 {
            now += 10;
        }
        delays.push(now - failed_at);
    }
    assert!(delays[0] <= MACHINE_RETRY_BACKOFF_MS);
    assert!(delays[7] >= MACHINE_RETRY_BACKOFF_MAX_MS / 2, "{delays:?}");
    assert!(delays.iter().all(|delay| *delay <= MACHINE_RETRY_BACKOFF_MAX_MS + 10), "{delays:?}");
}

#[test]
fn tasks_that_fail_together_count_as_one_round() {
    let mut fixture = Fixture::new();
    for n in 0..50 {
        fixture.fail("n-1", 1_000 + n);
    }
    assert_eq!(fixture.avoided(1_000 + MACHINE_RETRY_BACKOFF_MS), [("n-1".to_string(), true)]);
    assert!(fixture.fail("n-2", 1_100).is_some_and(|pause_ms| pause_ms <= FAILURE_BACKOFF_MS));
    assert_eq!(fixture.fail("n-2", 1_101), None, "the job is paused already");
}

#[test]
fn a_job_that_fails_on_several_machines_pauses_longer_each_time_up_to_a_maximum() {
    let mut fixture = Fixture::new();
    fixture.fail("n-0", 1_000);
    let mut now = 1_000;
    let mut pauses = Vec::new();
    for n in 1..12 {
        let pause_ms = fixture.fail(&format!("n-{}", n % 3), now).expect("a pause");
        assert!(fixture.failures.is_paused(now + pause_ms - 1));
        now += pause_ms;
        assert!(!fixture.failures.is_paused(now));
        pauses.push(pause_ms);
    }
    assert!(
        pauses.last() > pauses.first() && pauses.iter().all(|ms| *ms <= FAILURE_BACKOFF_MAX_MS)
    );
    assert!(*pauses.last().unwrap() >= FAILURE_BACKOFF_MAX_MS / 2, "{pauses:?}");
}

#[test]
fn a_success_ends_pause_and_avoidance() {
    let mut fixture = Fixture::new();
    fixture.fail("n-1", 1_000);
    fixture.fail("n-2", 1_000);
    assert!(fixture.failures.is_paused(1_001));
    fixture.failures.clear();
    assert!(!fixture.failures.is_paused(1_001));
    assert!(fixture.avoided(1_001).is_empty());
    assert!(!fixture.failures.are_on_several_machines(1_001));
}

#[test]
fn old_failures_neither_pause_a_job_nor_lengthen_its_next_pause() {
    let mut fixture = Fixture::new();
    fixture.fail("n-1", 1_000);
    fixture.fail("n-2", 1_000);
    let later = 1_000 + FAILURE_MEMORY_MS;
    assert!(!fixture.failures.are_on_several_machines(later));
    assert_eq!(fixture.fail("n-3", later), None, "the only failure that is remembered");
    assert!(fixture.fail("n-4", later).is_some_and(|pause_ms| pause_ms <= FAILURE_BACKOFF_MS));
}

#[test]
fn a_job_that_failed_on_many_machines_avoids_none() {
    let mut fixture = Fixture::new();
    for n in 0..AVOIDED_MACHINES_MAX {
        fixture.fail(&format!("n-{n}"), 1_000);
    }
    assert_eq!(fixture.avoided(1_001).len(), AVOIDED_MACHINES_MAX);
    fixture.fail("n-99", 1_000);
    assert!(fixture.avoided(1_001).is_empty());
}
