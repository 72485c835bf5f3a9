//! Ejection with a doubling ejection time, as shared by outlier detection, the ejection of zones and
//! the limit on loads.

use crate::api::Time;
use crate::time::MILLISECOND;

/// The first ejection time.
const BASE_EJECTION_TIME: Time = 500 * MILLISECOND;
/// How often the ejection time doubles at most.
const MAX_EJECTION_DOUBLINGS: u32 = 3;

/// Whether something is ejected, and how long the next ejection lasts.
///
/// Each ejection lasts twice as long as the one before; each success takes one doubling back.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ejection {
    /// Ejections that no success has taken back.
    count: u32,
    /// The end of the last ejection; 0 if there was none.
    until: Time,
    /// The start of the last ejection; 0 if there was none.
    since: Time,
}

impl Ejection {
    /// Ejects from now on, twice as long as the last time.
    pub(crate) fn eject(&mut self, now: Time) {
        self.since = now;
        let doublings = self.count.min(MAX_EJECTION_DOUBLINGS);
        self.until = now + (BASE_EJECTION_TIME << doublings);
        self.count = (self.count + 1).min(MAX_EJECTION_DOUBLINGS + 1);
    }

    /// Takes back one doubling of the ejection time.
    pub(crate) fn record_success(&mut self) {
        self.count = self.count.saturating_sub(1);
    }

    /// Whether the ejection time is over, or there was no ejection.
    pub(crate) fn is_over(&self, now: Time) -> bool {
        now >= self.until
    }

    /// Whether successes have taken back all ejections, or there was none.
    pub(crate) fn is_recovered(&self) -> bool {
        self.count == 0
    }

    /// The start of the last ejection; 0 if there was none.
    pub(crate) fn since(&self) -> Time {
        self.since
    }

    /// Whether an attempt that was sent at this time probes what was ejected.
    pub(crate) fn is_probe(&self, sent_at: Time) -> bool {
        sent_at >= self.until
    }
}
