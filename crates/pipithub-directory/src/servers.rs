//! Which of a directory's servers is asked: a breaker for each, a window that grows with success, shares by pace.

use crate::{Backoff, SearchId, Time};

/// A server counts as slower by this for each search that it has under way.
const OWN_WEIGHT: f64 = 1.0;
/// The newest answer's weight in the mean time.
const NEWEST: f64 = 0.2;

/// Whether a server is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Breaker {
    /// It is.
    Closed,
    /// It is not, until then; the wait after the next failure is twice the one that led here.
    Open { until: Time, wait: Time },
    /// One probe is under way.
    Trying { probe: SearchId, wait: Time },
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
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
    window: f64,
    pub out: usize,
    /// Mean time of its answers; `None`: it has given none.
    pace: Option<f64>,
    fails: u32,
    /// Its copy is behind that of another.
    pub behind: bool,
    /// When it answered last.
    pub heard: Option<Time>,
}

impl Server {
    pub(crate) fn new() -> Self {
        Server {
            breaker: Breaker::Closed,
            window: 1.0,
            out: 0,
            pace: None,
            fails: 0,
            behind: false,
            heard: None,
        }
    }

    pub(crate) fn has_room(&self, limits: &Limits) -> bool {
        self.breaker == Breaker::Closed
            && self.out < (self.window as usize).clamp(1, limits.max_searches.max(1))
    }

    /// The less, the sooner it is asked.
    pub(crate) fn cost(&self) -> f64 {
        let pace = self.pace.unwrap_or(0.0) * (1.0 + OWN_WEIGHT * self.out as f64);
        if self.behind { pace + 1e18 } else { pace }
    }

    /// The mean time of its answers.
    pub(crate) fn pace(&self) -> Option<Time> {
        self.pace.map(|p| p as Time)
    }

    pub(crate) fn answered(&mut self, now: Time, took: Time, limits: &Limits) {
        self.heard = Some(now);
        self.fails = 0;
        self.breaker = Breaker::Closed;
        self.window = (self.window + 1.0).min(limits.max_searches.max(1) as f64);
        let took = took as f64;
        self.pace = Some(self.pace.map_or(took, |p| p + NEWEST * (took - p)));
    }

    /// `hard`: it said itself that it is of no use now. `jitter` from 0 to 1 spreads the waits of many front ends.
    pub(crate) fn failed(&mut self, now: Time, hard: bool, jitter: f64, limits: &Limits) {
        self.fails = self.fails.saturating_add(1);
        self.window = (self.window / 2.0).max(1.0);
        let before = match self.breaker {
            Breaker::Closed if !hard && self.fails < limits.failure_threshold => return,
            Breaker::Closed => None,
            Breaker::Open { .. } => return,
            Breaker::Trying { wait, .. } => Some(wait),
        };
        let wait = before
            .map_or(limits.backoff.initial, |w| w.saturating_mul(2))
            .clamp(limits.backoff.initial, limits.backoff.max);
        let spread = (wait as f64 * (0.5 + jitter.clamp(0.0, 1.0))) as Time;
        self.breaker = Breaker::Open {
            until: now.saturating_add(spread),
            wait,
        };
        self.window = 1.0;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Time = 1_000_000_000;

    fn limits() -> Limits {
        Limits {
            failure_threshold: 3,
            backoff: Backoff {
                initial: S,
                max: 8 * S,
            },
            max_searches: 4,
        }
    }

    #[test]
    fn failures_in_a_row_open_it_and_waits_double_up_to_the_longest() {
        let limits = limits();
        let mut server = Server::new();
        server.failed(0, false, 0.5, &limits);
        server.failed(0, false, 0.5, &limits);
        assert!(server.has_room(&limits));
        server.answered(0, 1, &limits);
        server.failed(0, false, 0.5, &limits);
        server.failed(0, false, 0.5, &limits);
        assert_eq!(server.breaker, Breaker::Closed, "an answer between counts");
        server.failed(0, false, 0.5, &limits);
        let mut waits = Vec::new();
        for probe in 0..6 {
            let Breaker::Open { until, wait } = server.breaker else {
                panic!("open")
            };
            waits.push(until / S);
            server.breaker = Breaker::Trying {
                probe: SearchId(probe),
                wait,
            };
            assert!(!server.has_room(&limits), "one probe, nothing else");
            server.failed(0, false, 0.5, &limits);
        }
        assert_eq!(waits, [1, 2, 4, 8, 8, 8]);
    }

    #[test]
    fn a_server_that_is_back_is_asked_little_by_little() {
        let limits = limits();
        let mut server = Server::new();
        server.failed(0, true, 0.0, &limits);
        assert!(
            matches!(server.breaker, Breaker::Open { .. }),
            "its own word opens it at once"
        );
        server.answered(0, 1, &limits);
        server.out = 2;
        assert!(!server.has_room(&limits));
        server.answered(0, 1, &limits);
        assert!(server.has_room(&limits));
    }
}
