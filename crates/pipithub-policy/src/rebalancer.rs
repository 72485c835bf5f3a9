//! When rounds of rebalancing begin, how many replicas they may replace, and how much demand there is
//! for a function at a worker.

use crate::api::Time;
use crate::hashing::mix;
use crate::time::MILLISECOND;

/// The share of the placed replicas that a round may replace (the paper's limit).
const MAX_REPLACED_SHARE: f64 = 1.0 / 15.0;
/// The largest number of replacements in a round, including those carried over from earlier rounds.
const MAX_ALLOWANCE: f64 = 2.0;
/// The interval between rounds (the paper's); a shorter keep-alive shortens it.
const MAX_INTERVAL: Time = 30_000 * MILLISECOND;
/// The shortest interval between rounds.
const MIN_INTERVAL: Time = 1_000 * MILLISECOND;
/// The number of placement misses of a function at a worker, within an interval, after which the
/// function is loaded there too.
const PLACEMENT_MISSES_TO_SPREAD: u32 = 2;
/// The number of intervals after which a function without requests is forgotten.
const FORGET_AFTER_INTERVALS: u64 = 6;

/// When rounds of rebalancing begin, and how many replicas they may replace.
#[derive(Debug, Default)]
pub(crate) struct Rebalancer {
    /// The time between two rounds.
    interval: Time,
    /// The time from which the next round is due; 0 before [`Rebalancer::start`].
    next_round_at: Time,
    /// The number of replicas that may be replaced now; what is not used is carried over to the next
    /// round.
    allowance: f64,
}

impl Rebalancer {
    /// Creates a rebalancer with the paper's interval, or the keep-alive of replicas if that is
    /// shorter.
    pub(crate) fn new(keep_alive: Time) -> Self {
        Rebalancer {
            interval: keep_alive.clamp(MIN_INTERVAL, MAX_INTERVAL),
            ..Rebalancer::default()
        }
    }

    /// Whether the first round has been scheduled.
    pub(crate) fn is_started(&self) -> bool {
        self.next_round_at != 0
    }

    /// Schedules the first round at a random time, so that front ends that start at the same time do
    /// not rebalance at the same time.
    pub(crate) fn start(&mut self, seed: u64, now: Time) {
        let half_interval = self.interval / 2;
        self.next_round_at = now + half_interval + mix(seed) % half_interval;
    }

    /// Whether a round is due; if so the next one is scheduled.
    pub(crate) fn begin_round_if_due(&mut self, now: Time) -> bool {
        let is_due = now >= self.next_round_at;
        if is_due {
            self.next_round_at = now + self.interval;
        }
        is_due
    }

    /// How long a function is remembered after its last request.
    pub(crate) fn function_lifetime(&self) -> Time {
        FORGET_AFTER_INTERVALS * self.interval
    }

    /// Adds the share of the `placed` replicas that a round may replace to the allowance.
    pub(crate) fn add_allowance(&mut self, placed: usize) {
        let earned = placed as f64 * MAX_REPLACED_SHARE;
        self.allowance = (self.allowance + earned).min(MAX_ALLOWANCE);
    }

    /// Whether a further replica may be replaced.
    pub(crate) fn may_replace(&self) -> bool {
        self.allowance >= 1.0
    }

    /// Counts a replica that was replaced.
    pub(crate) fn record_replacement(&mut self) {
        self.allowance -= 1.0;
    }
}

/// The demand for a function at one worker in the current interval; all times are in nanoseconds.
#[derive(Debug, Default)]
pub(crate) struct PlacementDemand {
    /// The run time that was admitted at the worker.
    admitted_run_time: f64,
    /// The run time that went to other workers because no replica was loaded at this one.
    missed_run_time: f64,
    /// The number of requests of which the run time was missed.
    placement_misses: u32,
    /// The least slack of these requests: the time left beyond the run until the latency objective.
    min_slack: f64,
}

impl PlacementDemand {
    /// Records run time that was admitted.
    pub(crate) fn record_admission(&mut self, run_time: f64) {
        self.admitted_run_time += run_time;
    }

    /// Records the run time of a request that went to another worker, and its slack.
    pub(crate) fn record_miss(&mut self, run_time: f64, slack: f64) {
        self.min_slack = if self.placement_misses == 0 {
            slack
        } else {
            self.min_slack.min(slack)
        };
        self.placement_misses += 1;
        self.missed_run_time += run_time;
    }

    /// Whether the function was missed often enough to be loaded at this worker too.
    pub(crate) fn has_enough_misses(&self) -> bool {
        self.placement_misses >= PLACEMENT_MISSES_TO_SPREAD
    }

    /// The run time that was admitted.
    pub(crate) fn admitted_run_time(&self) -> f64 {
        self.admitted_run_time
    }

    /// The run time that went to other workers.
    pub(crate) fn missed_run_time(&self) -> f64 {
        self.missed_run_time
    }

    /// The least slack among the misses.
    pub(crate) fn min_slack(&self) -> f64 {
        self.min_slack
    }

    /// Resets the run times and the misses. The least slack is kept until the next miss.
    pub(crate) fn begin_interval(&mut self) {
        self.admitted_run_time = 0.0;
        self.missed_run_time = 0.0;
        self.placement_misses = 0;
    }
}
