//! Tests of refreshes ahead of a daily peak.

use pipithub_directory::{DailyPeak, Directory, Resolution};

use crate::support::{
    HOUR, HOUR_MS, MINUTE, RecordedSearch, Responder, SECOND, directory_with, numbered_user,
};

const DAY_MS: i64 = 24 * HOUR_MS;

/// A core with a peak at 06:00, ahead of which users are refreshed from 05:00 on.
fn directory_with_peak() -> Directory {
    directory_with(10_000, |settings| {
        settings.daily_peak = Some(DailyPeak {
            starts_at_ms: 6 * HOUR_MS,
            lead_ms: HOUR_MS,
        });
    })
}

#[test]
fn refresh_times_are_spread_over_the_next_window() {
    let peak = DailyPeak {
        starts_at_ms: 6 * HOUR_MS,
        lead_ms: 2 * HOUR_MS,
    };
    let day = 20_000 * DAY_MS;
    assert_eq!(peak.refresh_time(day + HOUR_MS, 0.0), day + 4 * HOUR_MS);
    assert_eq!(peak.refresh_time(day + HOUR_MS, 0.5), day + 5 * HOUR_MS);
    // Records that were confirmed in the window, or later on the day, are refreshed on the next day.
    let next_day = day + DAY_MS;
    assert_eq!(
        peak.refresh_time(day + 5 * HOUR_MS, 0.0),
        next_day + 4 * HOUR_MS
    );
    assert_eq!(
        peak.refresh_time(day + 4 * HOUR_MS, 0.0),
        next_day + 4 * HOUR_MS
    );
    assert_eq!(
        peak.refresh_time(day + 23 * HOUR_MS, 1.0),
        next_day + 6 * HOUR_MS
    );
    // The window includes midnight.
    let early = DailyPeak {
        starts_at_ms: HOUR_MS,
        lead_ms: 3 * HOUR_MS,
    };
    assert_eq!(
        early.refresh_time(day + 21 * HOUR_MS, 0.0),
        day + 22 * HOUR_MS
    );
    assert_eq!(early.refresh_time(day, 0.0), day + 22 * HOUR_MS);
    // Extreme times and fractions do not overflow.
    let _ = peak.refresh_time(i64::MIN, f64::NAN) + early.refresh_time(i64::MAX - 3 * DAY_MS, 2.0);
}

#[test]
fn cached_users_are_refreshed_ahead_of_the_peak_in_few_searches() {
    let mut responder = Responder::new(directory_with_peak(), 0);
    for number in 0..500 {
        responder.look_up(&numbered_user(number));
    }
    responder.run(SECOND);
    let searches = responder.run(6 * HOUR);
    let users: usize = searches.iter().map(|search| search.users).sum();
    assert!(users >= 490, "{users} of 500 were refreshed");
    assert!(
        searches
            .iter()
            .filter(|search| search.users > 0)
            .all(|search| search.at >= 5 * HOUR),
        "refreshes are made within the hour before the peak"
    );
    assert!(searches.len() <= 500 / 3, "{} searches", searches.len());
    let is_fresh = |number: &u64| {
        let resolution = responder
            .core
            .roster()
            .resolve(&numbered_user(*number), responder.now);
        matches!(resolution, Resolution::Tenant { age, .. } if age <= HOUR + MINUTE)
    };
    assert!((0..500).filter(is_fresh).count() >= 490);
}

/// The peak is at a wall time, so its time on the core's clock changes when the wall clock is stepped.
#[test]
fn refreshes_follow_the_wall_clock_after_it_is_stepped() {
    let mut core = directory_with_peak();
    core.set_wall_clock(SECOND, 3 * HOUR_MS + 1_000);
    let mut responder = Responder::new(core, SECOND);
    for number in 0..100 {
        responder.look_up(&numbered_user(number));
    }
    responder.run(2 * SECOND);
    let searches: Vec<RecordedSearch> = responder
        .run(5 * HOUR)
        .into_iter()
        .filter(|search| search.users > 0)
        .collect();
    let users: usize = searches.iter().map(|search| search.users).sum();
    assert!(users >= 98, "{searches:?}");
    let window = 2 * HOUR..=3 * HOUR + MINUTE;
    assert!(
        searches.iter().all(|search| window.contains(&search.at)),
        "{searches:?}"
    );
}
