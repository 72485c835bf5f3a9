//! A directory's server: its circuit breaker, concurrency limit and response time.

use crate::settings::Backoff;
use crate::time::Time;

/// How much each search in flight raises a server's cost, as a fraction of its mean response time.
const IN_FLIGHT_WEIGHT: f64 = 1.0;
/// The weight of the newest response in the mean response time.
const NEWEST_WEIGHT: f64 = 0.2;
/// Added to the cost of a server whose copy lags behind, so that all other servers are preferred.
const LAGGING_COST: f64 = 1e18;
/// The minimum delay of a hedge as a multiple of the server's mean response time, so that searches at a server that is
/// always slow are not all hedged.
const HEDGE_DELAY_MULTIPLE: Time = 3;
/// The smallest factor by which jitter multiplies a backoff; the largest is greater by one.
const MIN_BACKOFF_FACTOR: f64 = 0.5;

/// The state of a server's circuit breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Breaker {
    /// Searches are sent to the server.
    Closed,
    /// The server is not used until the given time. If the probe after that time fails, the backoff doubles.
    Open { until: Time, backoff: Time },
    /// One probe is in flight, and nothing else is sent to the server.
    HalfOpen { backoff: Time },
}

/// The limits on the use of a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerLimits {
    /// The number of consecutive failures that open the circuit breaker.
    pub(crate) failure_threshold: u32,
    pub(crate) backoff: Backoff,
    /// The maximum number of searches in flight; 0 is treated as 1.
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
    /// The maximum number of searches in flight. It starts at one, also after an outage, rises by one with each response
    /// and halves with each failure, so that all front ends together do not overload a server that is back.
    concurrency_limit: f64,
    /// The number of searches in flight.
    pub(crate) in_flight: usize,
    /// The moving average of the response time in nanoseconds; `None` before the first response.
    mean_response_time: Option<f64>,
    consecutive_failures: u32,
    /// Whether the server's copy lags behind another server's.
    pub(crate) is_lagging: bool,
    /// When the server last responded; `None` before the first response.
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

    /// Whether the circuit breaker is closed, so that the server is in use.
    pub(crate) fn is_closed(&self) -> bool {
        self.breaker == Breaker::Closed
    }

    pub(crate) fn has_capacity(&self, limits: &ServerLimits) -> bool {
        let limit = (self.concurrency_limit as usize).clamp(1, limits.max_searches());
        self.is_closed() && self.in_flight < limit
    }

    /// The cost of a further search at the server; the server with the lowest cost is chosen.
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

    /// Whether the mean response time is within a limit. A server that has not responded yet is assumed to be fast.
    pub(crate) fn usually_responds_within(&self, limit: Time) -> bool {
        self.mean_response_time().is_none_or(|mean| mean <= limit)
    }

    /// How long a search waits for a response before it is hedged: several mean response times, at most half of the
    /// timeout, but at least `hedge_after`.
    pub(crate) fn hedge_delay(&self, hedge_after: Time, timeout: Time) -> Time {
        let mean = self.mean_response_time().unwrap_or(0);
        let slow_response = mean.saturating_mul(HEDGE_DELAY_MULTIPLE);
        hedge_after.max(slow_response.min(timeout / 2))
    }

    /// Removes a search from those in flight.
    pub(crate) fn end_search(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// When a probe is due; `None` if the circuit breaker is not open.
    pub(crate) fn probe_due(&self) -> Option<Time> {
        match self.breaker {
            Breaker::Open { until, .. } => Some(until),
            Breaker::Closed | Breaker::HalfOpen { .. } => None,
        }
    }

    /// Half-opens an open circuit breaker, as a probe was started.
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

    /// Records a failed search. With `opens_breaker` the circuit breaker opens even if the failure threshold is not
    /// reached. `jitter`, from 0 to 1, varies the backoff, so that front ends do not probe the server simultaneously.
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
        let jitter_factor = MIN_BACKOFF_FACTOR + jitter.clamp(0.0, 1.0);
        self.breaker = Breaker::Open {
            until: now.saturating_add((backoff as f64 * jitter_factor) as Time),
            backoff,
        };
        self.concurrency_limit = 1.0;
    }
}

#[cfg(test)]
mod tests;
