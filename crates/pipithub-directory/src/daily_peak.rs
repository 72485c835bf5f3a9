//! The times at which records are refreshed ahead of a daily peak, so that they are fresh during the peak.

/// A daily peak of traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DailyPeak {
    /// The start of the peak, in milliseconds after midnight (UTC).
    pub starts_at_ms: i64,
    /// The length of the window before the start over which refreshes are spread, in milliseconds.
    pub lead_ms: i64,
}

/// The milliseconds of a day.
pub(crate) const DAY_MS: i64 = 86_400_000;

impl DailyPeak {
    /// When a record that was confirmed at `confirmed_at_ms` is to be refreshed, both in Unix milliseconds.
    ///
    /// The time is in the first refresh window that begins after the confirmation. `fraction`, from 0 to 1, is the
    /// position of the time in the window.
    pub fn refresh_time(self, confirmed_at_ms: i64, fraction: f64) -> i64 {
        let lead_ms = self.lead_ms.clamp(1, DAY_MS - 1);
        let first_window = self.starts_at_ms - lead_ms;
        let windows_begun = confirmed_at_ms
            .saturating_sub(first_window)
            .div_euclid(DAY_MS)
            .saturating_add(1);
        let next_window = first_window.saturating_add(windows_begun.saturating_mul(DAY_MS));
        next_window.saturating_add((fraction.clamp(0.0, 1.0) * lead_ms as f64) as i64)
    }
}
