//! When records are refreshed ahead of a daily peak, so that the peak itself finds them fresh.

/// A daily peak, in milliseconds of the day (UTC).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DailyPeak {
    /// When it begins.
    pub starts_at_ms: i64,
    /// Over how long before that refreshes are spread.
    pub lead_ms: i64,
}

/// A day in milliseconds.
pub(crate) const DAY_MS: i64 = 86_400_000;

impl DailyPeak {
    /// When, in Unix milliseconds, a record that was confirmed then is to be refreshed: in the first window that begins
    /// after it, at the place in the window that `fraction` (0 to 1) gives.
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
