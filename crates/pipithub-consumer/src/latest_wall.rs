//! The wall time by a clock whose steps back are ignored for a day, so that a step back makes no message look younger.

use pipithub_engine::Time;

const NANOS_PER_MS: Time = 1_000_000;
/// A step back is not followed for this long. After that the clock is assumed to have been ahead before.
const STEP_BACK_WINDOW: Time = 24 * 3_600_000 * NANOS_PER_MS;

/// The wall time by the clock reading that was furthest ahead of monotonic time. Steps forward are followed at once,
/// steps back after a day.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatestWallTime {
    greatest: Option<Lead>,
}

/// By how much the wall clock is ahead of monotonic time.
#[derive(Clone, Copy, Debug)]
struct Lead {
    ms: i64,
    /// When the clock was last seen to be this far ahead.
    seen_at: Time,
}

impl LatestWallTime {
    /// Records a reading of the monotonic and the wall clock, and returns the latest wall time that `now` can be, in
    /// Unix milliseconds.
    pub fn observe(&mut self, now: Time, wall_ms: u64) -> u64 {
        let now_ms = to_signed(now / NANOS_PER_MS);
        let current = Lead {
            ms: to_signed(wall_ms).saturating_sub(now_ms),
            seen_at: now,
        };
        let is_valid = |earlier: &Lead| {
            earlier.ms > current.ms && now.saturating_sub(earlier.seen_at) <= STEP_BACK_WINDOW
        };
        let greatest = self.greatest.filter(is_valid).unwrap_or(current);
        self.greatest = Some(greatest);
        u64::try_from(now_ms.saturating_add(greatest.ms)).unwrap_or(0)
    }
}

fn to_signed(ms: u64) -> i64 {
    i64::try_from(ms).unwrap_or(i64::MAX)
}
