//! When what is known is asked for again ahead of a daily peak, so that the peak itself finds it fresh.

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
    /// When, in Unix milliseconds, a fact confirmed then is to be asked for again: in the first window that begins after
    /// it, at a place in the window that `share` (0 to 1) gives.
    pub fn refresh_time(self, confirmed: i64, share: f64) -> i64 {
        let ahead = self.lead_ms.clamp(1, DAY_MS - 1);
        let opens = self.starts_at_ms - ahead;
        let begun = confirmed.saturating_sub(opens).div_euclid(DAY_MS);
        let next = opens.saturating_add(begun.saturating_add(1).saturating_mul(DAY_MS));
        next.saturating_add((share.clamp(0.0, 1.0) * ahead as f64) as i64)
    }
}

#[cfg(test)]
mod tests;
