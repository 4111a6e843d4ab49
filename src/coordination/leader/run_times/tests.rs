//! Tests of [`super`], the module `run_times`.

use super::*;

#[test]
fn estimates_of_a_class_are_corrected_once_there_are_enough_samples() {
    let mut run_times = RunTimes::default();
    for _ in 1..RATIO_SAMPLES_MIN {
        run_times.add_sample("train", 2.0);
    }
    assert_eq!(run_times.correction_factor("train"), 1.0, "too few samples");
    run_times.add_sample("train", 2.0);
    assert_eq!(run_times.correction_factor("train"), 2.0);
    assert_eq!(run_times.correction_factor("serve"), 1.0, "other classes are not corrected");
}
