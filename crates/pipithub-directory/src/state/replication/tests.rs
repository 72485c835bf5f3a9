//! Tests of which copies are outdated, and since when.

use super::{MAX_OBSERVED, ReplicationProgress};

#[test]
fn lagging_copy_is_outdated_since_the_next_change_was_first_seen() {
    let mut progress = ReplicationProgress::default();
    assert_eq!(progress.observe(10, 1_000), None);
    assert_eq!(progress.observe(12, 2_000), None);
    assert_eq!(progress.observe(15, 3_000), None);
    assert_eq!(progress.observe(15, 4_000), None, "same as the newest copy");
    assert_eq!(progress.observe(10, 5_000), Some(2_000));
    assert_eq!(progress.observe(11, 5_000), Some(2_000));
    assert_eq!(progress.observe(12, 5_000), Some(3_000));
}

#[test]
fn number_of_stored_change_numbers_is_bounded() {
    let mut progress = ReplicationProgress::default();
    for change_number in 0..1_000 {
        progress.observe(change_number, change_number as i64);
    }
    assert_eq!(progress.observed.len(), MAX_OBSERVED);
    let oldest = progress.observed[0].first_seen_ms;
    assert_eq!(progress.observe(0, 2_000), Some(oldest));
}
