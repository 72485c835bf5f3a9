//! The times, with a resolution of one second, at which cached users are checked: they are refreshed ahead of a peak, or
//! removed.

use std::collections::BTreeMap;

use compact_str::CompactString;

use crate::time::{Time, from_ms};

/// The milliseconds of a second.
const SECOND_MS: i64 = 1_000;

/// A second on the caller's clock, which is the resolution of the wheel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WheelSecond(i64);

impl WheelSecond {
    /// The second that contains a time.
    pub(crate) fn of_ms(at_ms: i64) -> Self {
        WheelSecond(at_ms.div_euclid(SECOND_MS))
    }

    /// The first second that begins after a time.
    pub(crate) fn after_ms(at_ms: i64) -> Self {
        Self::of_ms(at_ms).plus(1)
    }

    pub(crate) fn plus(self, seconds: i64) -> Self {
        WheelSecond(self.0.saturating_add(seconds))
    }
}

/// Users by the second in which they are checked. Each cached user is scheduled once.
#[derive(Debug, Default)]
pub(crate) struct RefreshWheel {
    seconds: BTreeMap<WheelSecond, Vec<CompactString>>,
}

impl RefreshWheel {
    pub(crate) fn schedule(&mut self, second: WheelSecond, user: CompactString) {
        self.seconds.entry(second).or_default().push(user);
    }

    /// Removes and returns a user of the earliest second; `None` if no user is scheduled.
    pub(crate) fn pop_first(&mut self) -> Option<CompactString> {
        let mut first = self.seconds.first_entry()?;
        let user = first.get_mut().pop();
        if first.get().is_empty() {
            first.remove();
        }
        user
    }

    /// Removes and returns a user who is due in this second or was due earlier; `None` if there is none.
    pub(crate) fn pop_due(&mut self, second: WheelSecond) -> Option<CompactString> {
        let first = self.seconds.keys().next()?;
        if *first > second {
            return None;
        }
        self.pop_first()
    }

    /// When the next user is due; `None` if no user is scheduled.
    pub(crate) fn next_due(&self) -> Option<Time> {
        let first = self.seconds.keys().next()?;
        Some(from_ms(first.0.saturating_mul(SECOND_MS)))
    }
}

#[cfg(test)]
mod tests;
