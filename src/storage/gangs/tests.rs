//! Tests of [`super`], the module `gangs`.

use super::*;

#[test]
fn attempts_that_fail_before_they_run_are_retried_with_growing_delay() {
    let mut gang = GangState::default();
    gang.record_attempt(1_000);
    assert_eq!(gang.retry_at, 1_000, "the second attempt has no delay");
    let mut last = 0;
    for _ in 0..40 {
        gang.record_attempt(1_000);
        assert!(gang.retry_at > 1_000 && gang.retry_at >= last);
        last = gang.retry_at;
    }
    assert_eq!(last, 1_000 + GANG_RETRY_BACKOFF_MAX_MS);
    gang.undo_attempt();
    assert_eq!(gang.retry_at, 0, "an attempt that was not stored is retried without delay");
    gang.record_running();
    gang.record_attempt(5_000);
    assert_eq!(gang.retry_at, 5_000, "an attempt that ran resets the backoff");
}
