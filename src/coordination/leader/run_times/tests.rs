//! Tests of [`super`], the module `run_times`.

use super::*;

#[test]
fn guesses_of_a_class_are_corrected_once_enough_runs_were_seen() {
    let mut run_times = RunTimes::default();
    for _ in 1..RATIO_SAMPLES_MIN {
        run_times.learn("train", 2.0);
    }
    assert_eq!(run_times.correction("train"), 1.0, "too few samples");
    run_times.learn("train", 2.0);
    assert_eq!(run_times.correction("train"), 2.0);
    assert_eq!(run_times.correction("serve"), 1.0, "other classes are not corrected");
}
