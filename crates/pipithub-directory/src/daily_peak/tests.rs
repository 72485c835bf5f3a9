//! When refreshes ahead of a peak are due.

use super::{DAY_MS, DailyPeak};

const HOUR: i64 = 3_600_000;

#[test]
fn slots_are_spread_over_the_next_window() {
    let peak = DailyPeak {
        starts_at_ms: 6 * HOUR,
        lead_ms: 2 * HOUR,
    };
    let day = 20_000 * DAY_MS;
    assert_eq!(peak.refresh_time(day + HOUR, 0.0), day + 4 * HOUR);
    assert_eq!(peak.refresh_time(day + HOUR, 0.5), day + 5 * HOUR);
    // Confirmed within the window or in the peak: the next day's.
    assert_eq!(
        peak.refresh_time(day + 5 * HOUR, 0.0),
        day + DAY_MS + 4 * HOUR
    );
    assert_eq!(
        peak.refresh_time(day + 4 * HOUR, 0.0),
        day + DAY_MS + 4 * HOUR
    );
    assert_eq!(
        peak.refresh_time(day + 23 * HOUR, 1.0),
        day + DAY_MS + 6 * HOUR
    );
    // A window over midnight.
    let early = DailyPeak {
        starts_at_ms: HOUR,
        lead_ms: 3 * HOUR,
    };
    assert_eq!(early.refresh_time(day + 21 * HOUR, 0.0), day + 22 * HOUR);
    assert_eq!(early.refresh_time(day, 0.0), day + 22 * HOUR);
    let _ = peak.refresh_time(i64::MIN, f64::NAN) + early.refresh_time(i64::MAX - 3 * DAY_MS, 2.0);
}
