//! Ejection with a doubling ejection time, used by outlier detection, the ejection of zones and the
//! limit on loads.

use crate::api::Time;
use crate::time::MILLISECOND;

/// The first ejection time.
const BASE_EJECTION_TIME: Time = 500 * MILLISECOND;
/// How often the ejection time doubles at most.
const MAX_EJECTION_DOUBLINGS: u32 = 3;

/// Whether a target is ejected, and how long its next ejection lasts.
///
/// Each ejection lasts twice as long as the previous one, up to a limit; each success undoes one
/// doubling.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ejection {
    /// The number of ejections that no success has undone, up to a limit.
    count: u32,
    /// The end of the last ejection; 0 if there was none.
    until: Time,
    /// The start of the last ejection; 0 if there was none.
    since: Time,
}

impl Ejection {
    /// Ejects the target from now on, for the current ejection time, and doubles that time for the next
    /// ejection.
    pub(crate) fn eject(&mut self, now: Time) {
        self.since = now;
        let doublings = self.count.min(MAX_EJECTION_DOUBLINGS);
        self.until = now + (BASE_EJECTION_TIME << doublings);
        self.count = (self.count + 1).min(MAX_EJECTION_DOUBLINGS + 1);
    }

    /// Records a success, which undoes one doubling of the ejection time.
    pub(crate) fn record_success(&mut self) {
        self.count = self.count.saturating_sub(1);
    }

    /// Whether the ejection time is over, or there was no ejection.
    pub(crate) fn is_over(&self, now: Time) -> bool {
        now >= self.until
    }

    /// Whether successes have undone all ejections, or there was no ejection.
    pub(crate) fn is_recovered(&self) -> bool {
        self.count == 0
    }

    /// The start of the last ejection; 0 if there was none.
    pub(crate) fn since(&self) -> Time {
        self.since
    }

    /// Whether an attempt that was sent at this time is a probe of the target, because it was sent
    /// after the end of the last ejection.
    pub(crate) fn is_probe(&self, sent_at: Time) -> bool {
        sent_at >= self.until
    }
}
