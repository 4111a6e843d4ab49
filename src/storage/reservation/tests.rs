//! Tests of [`super`], the module `reservation`.

use super::*;

#[test]
fn penalized_time_sums_the_saturated_windows() {
    let need = Resources::new(1.0, 0.0, 0.0);
    let bucket = |end_ms, bandwidth| Bucket { end_ms, need, bandwidth };
    let mut row = ReservationRow {
        free: Resources::new(8.0, 0.0, 0.0),
        bandwidth_capacity: 4.0,
        ..ReservationRow::default()
    };
    row.add(bucket(1_000, 3.0));
    row.add(bucket(3_000, 2.0));
    // Until 1 s: 3 + 2 + 1 over 4; until 3 s: 2 + 1 fits.
    assert_eq!(row.penalized_ms(0, 5_000, 1.0), 500.0);
    assert_eq!(row.penalized_ms(1_000, 1_000, 1.0), 0.0);
    assert_eq!(row.free_at(1_000).cpu, 7_000);
    row.reserve(3_000, 500, need);
    row.set_end(1, 2_000);
    assert_eq!(row.change_times_ms, vec![1_000, 2_000, 3_000, 3_500]);
}
