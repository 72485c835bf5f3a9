//! The adaptive limit on requests in flight. It is cut when a request finds no worker, and grows slowly otherwise.

use super::settings::LimitRange;
use crate::{MS, Time};

/// The minimum time between cuts, so that requests that were in flight at the last cut can end before the next.
const MIN_CUT_INTERVAL: Time = 100 * MS;
/// The factor of a cut after a request beyond the quota of its tenant found no worker.
const CUT_FACTOR: f64 = 0.95;
/// The factor of a cut after a request within the quota of its tenant found no worker.
pub(super) const CUT_FACTOR_WITHIN_QUOTA: f64 = 0.8;
/// The relative growth of the limit per second.
const GROWTH_PER_SECOND: f64 = 0.03;
/// The maximum time that one step of growth accounts for, in seconds.
const MAX_GROWTH_SECONDS: f64 = 60.0;

/// The limit with its bounds. It starts at the maximum.
#[derive(Debug)]
pub(super) struct ConcurrencyLimit {
    min: f64,
    max: f64,
    current: f64,
    grown_at: Time,
    cut_at: Option<Time>,
}

impl ConcurrencyLimit {
    pub(super) fn new(range: LimitRange) -> Self {
        let (min, max) = (range.min.max(1.0), range.max.max(1.0));
        ConcurrencyLimit {
            min: min.min(max),
            max,
            current: max,
            grown_at: 0,
            cut_at: None,
        }
    }

    pub(super) fn current(&self) -> f64 {
        self.current
    }

    pub(super) fn grow(&mut self, now: Time) {
        let seconds = now.saturating_sub(self.grown_at) as f64 / 1e9;
        self.grown_at = self.grown_at.max(now);
        let growth = 1.0 + GROWTH_PER_SECOND * seconds.min(MAX_GROWTH_SECONDS);
        self.current = (self.current * growth).min(self.max);
    }

    pub(super) fn may_cut(&self, now: Time) -> bool {
        self.cut_at.is_none_or(|at| now >= at + MIN_CUT_INTERVAL)
    }

    /// Cuts the limit below the number of requests that were in flight, but not below its minimum.
    pub(super) fn cut(&mut self, now: Time, in_flight: usize, is_within_quota: bool) {
        let factor = if is_within_quota {
            CUT_FACTOR_WITHIN_QUOTA
        } else {
            CUT_FACTOR
        };
        self.cut_at = Some(now);
        self.current = (self.current.min(in_flight as f64) * factor).max(self.min);
    }
}
