//! A directory's server: its circuit breaker, its concurrency limit, its response time.

use crate::settings::Backoff;
use crate::time::Time;

/// A server costs more by this part of its response time for each search that it has in flight.
const IN_FLIGHT_WEIGHT: f64 = 1.0;
/// The newest response's weight in the mean response time.
const NEWEST_WEIGHT: f64 = 0.2;
/// Added to the cost of a server whose copy lags behind: all others are preferred.
const LAGGING_COST: f64 = 1e18;
/// A search is hedged after this many mean response times at the soonest: a slow server alone is no reason to hedge.
const HEDGE_RESPONSE_TIMES: Time = 3;
/// The jitter of a backoff: from half of it to one and a half.
const MIN_BACKOFF_FRACTION: f64 = 0.5;

/// A circuit breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Breaker {
    /// The server is used.
    Closed,
    /// It is not used until then; the backoff after the next failure is twice the one that led here.
    Open { until: Time, backoff: Time },
    /// One probe is in flight.
    HalfOpen { backoff: Time },
}

/// What bounds the use of a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerLimits {
    /// Consecutive failures that open the breaker.
    pub(crate) failure_threshold: u32,
    pub(crate) backoff: Backoff,
    /// Searches in flight.
    pub(crate) max_searches: usize,
}

impl ServerLimits {
    fn max_searches(&self) -> usize {
        self.max_searches.max(1)
    }
}

/// The state of a server.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    breaker: Breaker,
    /// Searches that it may have in flight: one after it was out of reach, one more with each response, so that all front
    /// ends together do not overload it when it is back.
    concurrency_limit: f64,
    pub(crate) in_flight: usize,
    /// `None`: it has not responded yet.
    mean_response_time: Option<f64>,
    consecutive_failures: u32,
    /// Its copy is behind that of another server.
    pub(crate) is_lagging: bool,
    pub(crate) last_response_at: Option<Time>,
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

    /// Whether its breaker is closed.
    pub(crate) fn is_closed(&self) -> bool {
        self.breaker == Breaker::Closed
    }

    pub(crate) fn has_capacity(&self, limits: &ServerLimits) -> bool {
        let limit = (self.concurrency_limit as usize).clamp(1, limits.max_searches());
        self.is_closed() && self.in_flight < limit
    }

    /// The server of the lowest cost is searched at.
    pub(crate) fn cost(&self) -> f64 {
        let response_time = self.mean_response_time.unwrap_or(0.0);
        let cost = response_time * (1.0 + IN_FLIGHT_WEIGHT * self.in_flight as f64);
        if self.is_lagging {
            cost + LAGGING_COST
        } else {
            cost
        }
    }

    fn mean_response_time(&self) -> Option<Time> {
        self.mean_response_time.map(|mean| mean as Time)
    }

    /// Whether its mean response time is no longer than this; nothing is held against a server that has not responded.
    pub(crate) fn usually_responds_within(&self, limit: Time) -> bool {
        self.mean_response_time().is_none_or(|mean| mean <= limit)
    }

    /// How long a search waits for its response before it is hedged.
    pub(crate) fn hedge_delay(&self, hedge_after: Time, timeout: Time) -> Time {
        let usual = self.mean_response_time().unwrap_or(0);
        let slow_response = usual.saturating_mul(HEDGE_RESPONSE_TIMES);
        hedge_after.max(slow_response.min(timeout / 2))
    }

    /// A search is not in flight any more.
    pub(crate) fn end_search(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// When a probe is due; `None`: none is.
    pub(crate) fn probe_due(&self) -> Option<Time> {
        match self.breaker {
            Breaker::Open { until, .. } => Some(until),
            Breaker::Closed | Breaker::HalfOpen { .. } => None,
        }
    }

    /// A probe was started: nothing else is, until it has ended.
    pub(crate) fn half_open(&mut self) {
        if let Breaker::Open { backoff, .. } = self.breaker {
            self.breaker = Breaker::HalfOpen { backoff };
        }
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
        self.concurrency_limit = (self.concurrency_limit + 1.0).min(limits.max_searches() as f64);
        let newest = response_time as f64;
        let mean = self.mean_response_time.unwrap_or(newest);
        self.mean_response_time = Some(mean + NEWEST_WEIGHT * (newest - mean));
    }

    /// `opens_breaker`: the server itself shows that it is of no use now. `jitter` from 0 to 1 spreads the backoffs of
    /// many front ends.
    pub(crate) fn record_failure(
        &mut self,
        now: Time,
        opens_breaker: bool,
        jitter: f64,
        limits: &ServerLimits,
    ) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.concurrency_limit = (self.concurrency_limit / 2.0).max(1.0);
        let is_tolerated = !opens_breaker && self.consecutive_failures < limits.failure_threshold;
        match self.breaker {
            Breaker::Closed if is_tolerated => {}
            Breaker::Closed => self.open(now, limits.backoff.initial, jitter, limits),
            Breaker::HalfOpen { backoff } => {
                self.open(now, backoff.saturating_mul(2), jitter, limits);
            }
            Breaker::Open { .. } => {}
        }
    }

    fn open(&mut self, now: Time, backoff: Time, jitter: f64, limits: &ServerLimits) {
        let backoff = backoff.clamp(limits.backoff.initial, limits.backoff.max);
        let spread = MIN_BACKOFF_FRACTION + jitter.clamp(0.0, 1.0);
        self.breaker = Breaker::Open {
            until: now.saturating_add((backoff as f64 * spread) as Time),
            backoff,
        };
        self.concurrency_limit = 1.0;
    }
}

#[cfg(test)]
mod tests;
