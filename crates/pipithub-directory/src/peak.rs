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
pub(crate) const DAY: i64 = 86_400_000;

impl DailyPeak {
    /// When, in Unix milliseconds, a fact confirmed then is to be asked for again: in the first window that begins after
    /// it, at a place in the window that `share` (0 to 1) gives.
    pub fn refresh_time(self, confirmed: i64, share: f64) -> i64 {
        let ahead = self.lead_ms.clamp(1, DAY - 1);
        let opens = self.starts_at_ms - ahead;
        let begun = confirmed.saturating_sub(opens).div_euclid(DAY);
        let next = opens.saturating_add(begun.saturating_add(1).saturating_mul(DAY));
        next.saturating_add((share.clamp(0.0, 1.0) * ahead as f64) as i64)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const HOUR: i64 = 3_600_000;

    #[test]
    fn slots_are_spread_over_the_next_window() {
        let peak = DailyPeak {
            starts_at_ms: 6 * HOUR,
            lead_ms: 2 * HOUR,
        };
        let day = 20_000 * DAY;
        assert_eq!(peak.refresh_time(day + HOUR, 0.0), day + 4 * HOUR);
        assert_eq!(peak.refresh_time(day + HOUR, 0.5), day + 5 * HOUR);
        // Confirmed within the window or in the peak: the next day's.
        assert_eq!(peak.refresh_time(day + 5 * HOUR, 0.0), day + DAY + 4 * HOUR);
        assert_eq!(peak.refresh_time(day + 4 * HOUR, 0.0), day + DAY + 4 * HOUR);
        assert_eq!(
            peak.refresh_time(day + 23 * HOUR, 1.0),
            day + DAY + 6 * HOUR
        );
        // A window over midnight.
        let early = DailyPeak {
            starts_at_ms: HOUR,
            lead_ms: 3 * HOUR,
        };
        assert_eq!(early.refresh_time(day + 21 * HOUR, 0.0), day + 22 * HOUR);
        assert_eq!(early.refresh_time(day, 0.0), day + 22 * HOUR);
        let _ = peak.refresh_time(i64::MIN, f64::NAN) + early.refresh_time(i64::MAX - 3 * DAY, 2.0);
    }
}
