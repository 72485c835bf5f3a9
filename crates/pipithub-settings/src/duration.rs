//! Durations as they are written in settings.

use pipithub_engine::Time;

/// A millisecond in nanoseconds.
pub(crate) const MS: Time = 1_000_000;
/// A second in nanoseconds.
pub(crate) const SECOND: Time = 1_000 * MS;
/// An hour in nanoseconds.
pub(crate) const HOUR: Time = 3_600 * SECOND;
/// A day in nanoseconds.
pub(crate) const DAY: Time = 24 * HOUR;

/// Parses a duration such as `250us`, `250ms`, `1.5s`, `10m` or `2h`, in nanoseconds.
///
/// Returns `None` for other texts, and for durations that are negative or longer than a day.
pub fn parse_duration(text: &str) -> Option<Time> {
    let unit_start = text.find(|c: char| c.is_ascii_alphabetic())?;
    let number: f64 = text[..unit_start].trim().parse().ok()?;
    let nanoseconds_per_unit = match &text[unit_start..] {
        "us" => 1e3,
        "ms" => 1e6,
        "s" => 1e9,
        "m" => 60e9,
        "h" => 3600e9,
        _ => return None,
    };
    let time = number * nanoseconds_per_unit;
    (time.is_finite() && (0.0..=DAY as f64).contains(&time)).then_some(time as Time)
}

/// Formats a duration so that [`parse_duration`] can parse it.
pub(crate) fn format_duration(time: Time) -> String {
    if time.is_multiple_of(SECOND) {
        format!("{}s", time / SECOND)
    } else {
        format!("{}ms", time as f64 / MS as f64)
    }
}
