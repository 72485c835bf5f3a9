//! Slow start: how many attempts a worker that has just started may get.
//!
//! While a worker warms up, all front ends together must not send it more than it can take. Each
//! front end keeps to its own part of that budget, derived from what warm workers serve for it.

use pipithub_policy::api::Time;

use super::front_end::FrontEnd;
use super::hashing::{draw, mix};
use super::state::WorkerState;
use super::time::MILLISECOND;

/// The share of its part of a warming worker's budget that this front end spends, so that random
/// variation does not make all front ends together exceed the budget.
const BUDGET_SAFETY: f64 = 0.75;
/// The same share if that part is under one attempt in a window, so that attempts are drawn.
const DRAWN_BUDGET_SAFETY: f64 = 0.35;
/// How often in a window an attempt is drawn in that case.
const DRAWS_PER_WINDOW: Time = 2;
/// The time over which answers are counted to learn what a warm worker serves.
pub(crate) const RATE_WINDOW: Time = 4_000 * MILLISECOND;
/// The least that a warm worker is assumed to serve, as a share of the arrivals per ready worker.
/// It is a share only, as retries increase the arrivals.
const MIN_RATE_SHARE: f64 = 0.25;
/// A weight of 1 in the units in which weights are summed as whole numbers.
const WEIGHT_UNIT: f64 = (1u64 << 30) as f64;
/// The largest weight; larger ones count as this.
const MAX_WEIGHT: f64 = 1e6;

/// A mean over the last samples. While there are few, all have the same weight; later the weight of
/// old ones decays.
#[derive(Debug, Default)]
pub(crate) struct RunningMean {
    mean: f64,
    samples: u32,
}

impl RunningMean {
    /// The number of samples up to which all have the same weight.
    const MAX_SAMPLES: u32 = 400;

    /// Adds a sample.
    fn add(&mut self, sample: f64) {
        self.samples = (self.samples + 1).min(Self::MAX_SAMPLES);
        self.mean += (sample - self.mean) / f64::from(self.samples);
    }

    /// The value, or the mean if that is less; before the first sample always the value.
    fn cap(&self, value: f64) -> f64 {
        if self.samples == 0 {
            value
        } else {
            value.min(self.mean)
        }
    }
}

impl FrontEnd {
    /// Whether a worker that may still be warming up can take a further attempt.
    ///
    /// A right to send must not be saved: when all front ends turn to a worker that was idle, all
    /// would use theirs at once. If this front end's part is under one attempt in a window, it
    /// draws in each slot of the window whether it may send one.
    pub(crate) fn has_slow_start_budget(&self, worker: &WorkerState) -> bool {
        let (rules, now) = (&self.settings.slow_start, self.now);
        if rules.overload_window == 0 || rules.overload_factor <= 0.0 {
            return true;
        }
        let Some(started_at) = worker.endpoint.started_at else {
            return true;
        };
        if now >= started_at + rules.window {
            return true;
        }
        let age = now.saturating_sub(started_at) as f64 / rules.window.max(1) as f64;
        let capacity = rules.initial_weight + (1.0 - rules.initial_weight) * age;
        let rate = rules.overload_factor
            * capacity
            * self.warm_rate
            * self.relative_weight(worker).min(1.0);
        let budget = BUDGET_SAFETY * rate * rules.overload_window as f64;
        if budget < 1.0 {
            return self.draws_attempt(worker, started_at, rate);
        }
        let sent = worker
            .recent_sends
            .iter()
            .filter(|sent_at| **sent_at + rules.overload_window > now)
            .count();
        sent as f64 + 1.0 <= budget
    }

    /// Whether a worker whose budget is under one attempt in a window gets one now.
    fn draws_attempt(&self, worker: &WorkerState, started_at: Time, rate: f64) -> bool {
        let now = self.now;
        let slot = (self.settings.slow_start.overload_window / DRAWS_PER_WINDOW).max(1);
        let slot_start = now - now % slot;
        let last_sent_at = worker.recent_sends.back();
        let draw = draw(self.seed ^ worker.hash ^ mix(started_at ^ (now / slot)));
        last_sent_at.is_none_or(|sent_at| *sent_at < slot_start)
            && draw < DRAWN_BUDGET_SAFETY * rate * slot as f64
    }

    /// A worker's weight as a multiple of the mean weight of the ready workers that have one; 1 if
    /// it has none.
    fn relative_weight(&self, worker: &WorkerState) -> f64 {
        let own = weight_units(worker);
        let weights: Vec<u64> = self
            .ready_workers()
            .map(|(_, worker)| weight_units(worker))
            .filter(|units| *units > 0)
            .collect();
        let sum: u128 = weights.iter().copied().map(u128::from).sum();
        if own == 0 || sum == 0 {
            return 1.0;
        }
        own as f64 * weights.len() as f64 / sum as f64
    }

    /// Updates the rate at which a warm worker serves this front end. If no worker is warm, the
    /// last rate is kept.
    ///
    /// The rate is at least a share of this front end's arrivals per ready worker, or of the mean
    /// warm rate if that is less.
    pub(crate) fn update_warm_rate(&mut self) {
        let (now, window) = (self.now, self.settings.slow_start.window);
        let warm: Vec<usize> = self
            .ready_workers()
            .map(|(_, worker)| worker)
            .filter(|worker| worker.is_warm(now, window))
            .map(|worker| worker.answers_within_rate_window(now))
            .collect();
        if !warm.is_empty() {
            self.warm_rate = rate_per_worker(warm.iter().sum(), warm.len());
            self.mean_warm_rate.add(self.warm_rate);
        }
        let arrivals = self
            .arrivals
            .iter()
            .filter(|at| **at + RATE_WINDOW > now)
            .count();
        let ready = self.ready_workers().count();
        let usual = self.mean_warm_rate.cap(rate_per_worker(arrivals, ready));
        self.warm_rate = self.warm_rate.max(usual * MIN_RATE_SHARE);
    }
}

impl WorkerState {
    /// Whether the worker's slow start is over; a worker without a start time is warm.
    fn is_warm(&self, now: Time, window: Time) -> bool {
        let started_at = self.endpoint.started_at;
        started_at.is_none_or(|started_at| now >= started_at + window)
    }

    /// The number of answers within the last [`RATE_WINDOW`].
    fn answers_within_rate_window(&self, now: Time) -> usize {
        self.recent_answers
            .iter()
            .filter(|answer| answer.at + RATE_WINDOW > now)
            .count()
    }
}

/// A worker's weight as a whole number, so that sums do not depend on their order.
fn weight_units(worker: &WorkerState) -> u64 {
    (worker.endpoint.weight.clamp(0.0, MAX_WEIGHT) * WEIGHT_UNIT) as u64
}

/// The mean rate per worker, in requests per nanosecond, for this number of requests within
/// [`RATE_WINDOW`].
fn rate_per_worker(requests: usize, workers: usize) -> f64 {
    requests as f64 / workers.max(1) as f64 / RATE_WINDOW as f64
}
