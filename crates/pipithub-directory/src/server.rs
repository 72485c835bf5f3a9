//! Which of a directory's servers is asked: a breaker for each, a window that grows with success, shares by pace.

use crate::{Backoff, SearchId, Time};

/// A server counts as slower by this for each search that it has under way.
const IN_FLIGHT_WEIGHT: f64 = 1.0;
/// The newest answer's weight in the mean time.
const NEWEST_WEIGHT: f64 = 0.2;

/// Whether a server is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Breaker {
    /// It is.
    Closed,
    /// It is not, until then; the wait after the next failure is twice the one that led here.
    Open { until: Time, backoff: Time },
    /// One probe is under way.
    HalfOpen { probe: SearchId, backoff: Time },
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerLimits {
    /// Failures in a row that open the breaker.
    pub failure_threshold: u32,
    /// The first and the longest wait.
    pub backoff: Backoff,
    /// Searches at a time.
    pub max_searches: usize,
}

#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub breaker: Breaker,
    /// Searches that it may have under way: one after it was out of reach, doubled with each round that goes well, so that
    /// all front ends together do not push it over when it is back.
    concurrency_limit: f64,
    pub in_flight: usize,
    /// Mean time of its answers; `None`: it has given none.
    mean_response_time: Option<f64>,
    consecutive_failures: u32,
    /// Its copy is behind that of another.
    pub is_lagging: bool,
    /// When it answered last.
    pub last_response_at: Option<Time>,
}

impl Server {
    pub(crate) fn new() -> Self {
        Server {
            breaker: Breaker::Closed,
            concurrency_limit: 1.0,
            in_flight: 0,
            mean_response_time: None,
            consecutive_failures: 0,
            is_lagging: false,
            last_response_at: None,
        }
    }

    pub(crate) fn has_capacity(&self, limits: &ServerLimits) -> bool {
        self.breaker == Breaker::Closed
            && self.in_flight
                < (self.concurrency_limit as usize).clamp(1, limits.max_searches.max(1))
    }

    /// The less, the sooner it is asked.
    pub(crate) fn cost(&self) -> f64 {
        let mean_response_time = self.mean_response_time.unwrap_or(0.0)
            * (1.0 + IN_FLIGHT_WEIGHT * self.in_flight as f64);
        if self.is_lagging {
            mean_response_time + 1e18
        } else {
            mean_response_time
        }
    }

    /// The mean time of its answers.
    pub(crate) fn mean_response_time(&self) -> Option<Time> {
        self.mean_response_time.map(|p| p as Time)
    }

    pub(crate) fn record_response(
        &mut self,
        now: Time,
        response_time: Time,
        limits: &ServerLimits,
    ) {
        self.last_response_at = Some(now);
        self.consecutive_failures = 0;
        self.breaker = Breaker::Closed;
        self.concurrency_limit =
            (self.concurrency_limit + 1.0).min(limits.max_searches.max(1) as f64);
        let response_time = response_time as f64;
        self.mean_response_time = Some(
            self.mean_response_time
                .map_or(response_time, |p| p + NEWEST_WEIGHT * (response_time - p)),
        );
    }

    /// `opens_breaker`: it said itself that it is of no use now. `jitter` from 0 to 1 spreads the waits of many front ends.
    pub(crate) fn record_failure(
        &mut self,
        now: Time,
        opens_breaker: bool,
        jitter: f64,
        limits: &ServerLimits,
    ) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.concurrency_limit = (self.concurrency_limit / 2.0).max(1.0);
        let before = match self.breaker {
            Breaker::Closed
                if !opens_breaker && self.consecutive_failures < limits.failure_threshold =>
            {
                return;
            }
            Breaker::Closed => None,
            Breaker::Open { .. } => return,
            Breaker::HalfOpen { backoff, .. } => Some(backoff),
        };
        let backoff = before
            .map_or(limits.backoff.initial, |w| w.saturating_mul(2))
            .clamp(limits.backoff.initial, limits.backoff.max);
        let spread = (backoff as f64 * (0.5 + jitter.clamp(0.0, 1.0))) as Time;
        self.breaker = Breaker::Open {
            until: now.saturating_add(spread),
            backoff,
        };
        self.concurrency_limit = 1.0;
    }
}

#[cfg(test)]
mod tests;
