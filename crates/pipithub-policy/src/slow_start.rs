//! Slow start: how many attempts a worker that has just started may be sent.
//!
//! A worker that warms up fails when it is sent more than a multiple of its current capacity for a
//! while. Its capacity is not known; it is derived from the rate at which warm workers serve this
//! front end. The front ends share no counts, so each uses only its own part of the budget.
//! `docs/design.md`, "A cold worker's budget" and "Cold workers' budget", gives the sources of the
//! figures; `tests/slow_start/` tests the rule.

use std::collections::VecDeque;

use crate::api::{SlowStart as SlowStartRules, Time};
use crate::hashing::{draw, mix};
use crate::statistics::{EventTimes, RunningMean};
use crate::time::MILLISECOND;
use crate::worker::WorkerState;
use crate::worker_table::WorkerTable;

/// The share of its part of a warming worker's budget that this front end uses, so that random
/// fluctuations do not make all front ends together exceed the budget.
const BUDGET_SAFETY: f64 = 0.75;
/// The same share if that part is under one attempt in a window, so that attempts are decided by a
/// random draw.
const DRAWN_BUDGET_SAFETY: f64 = 0.35;
/// The number of draws in a window in that case.
const DRAWS_PER_WINDOW: Time = 2;
/// The time over which answers are counted to determine the rate that a warm worker serves.
pub(crate) const RATE_WINDOW: Time = 4_000 * MILLISECOND;
/// The least rate that a warm worker is assumed to serve, as a share of the arrivals for each ready
/// worker; it is below 1 because retries increase the arrivals.
const MIN_RATE_SHARE: f64 = 0.25;

/// The limits on what this front end may send to workers that warm up.
#[derive(Debug, Default)]
pub(crate) struct SlowStart {
    rules: SlowStartRules,
    /// The seed of the draws for workers with a small budget.
    seed: u64,
    /// The rate at which a warm worker serves this front end, in requests per nanosecond.
    warm_rate: f64,
    /// The mean of `warm_rate` over a longer time.
    mean_warm_rate: RunningMean,
}

impl SlowStart {
    /// Creates the state before any worker has served a request.
    pub(crate) fn new(rules: SlowStartRules, seed: u64) -> Self {
        SlowStart {
            rules,
            seed,
            ..SlowStart::default()
        }
    }

    /// Whether a worker that may still be warming up can take a further attempt.
    ///
    /// The worker's capacity is derived from the answers of warm workers, and reduced for a worker of
    /// a smaller weight; rejected attempts are not counted, as they would inflate it. An unused budget
    /// must not be saved: when all front ends turn to a worker that was idle, they would use their
    /// saved budgets at the same time. The drawback: a worker that few front ends use is used too
    /// little.
    pub(crate) fn allows(&self, worker: &WorkerState, workers: &WorkerTable, now: Time) -> bool {
        let rules = &self.rules;
        let may_be_overloaded = |started_at: &Time| {
            now < started_at + rules.window
                && rules.overload_window > 0
                && rules.overload_factor > 0.0
        };
        let Some(started_at) = worker.endpoint().started_at.filter(may_be_overloaded) else {
            return true;
        };
        let age = now.saturating_sub(started_at) as f64 / rules.window.max(1) as f64;
        let capacity = rules.initial_weight + (1.0 - rules.initial_weight) * age;
        let rate = rules.overload_factor
            * capacity
            * self.warm_rate
            * workers.relative_weight(worker).min(1.0);
        let budget = BUDGET_SAFETY * rate * rules.overload_window as f64;
        if budget >= 1.0 {
            let sent = worker
                .recent_forwards
                .count_within(rules.overload_window, now);
            return sent as f64 + 1.0 <= budget;
        }
        self.draws_attempt(worker, started_at, rate, now)
    }

    /// Whether a worker whose budget is under one attempt in a window gets one now.
    ///
    /// One attempt from each of many front ends would exceed the budget, so each front end makes a new
    /// random draw in each slot of the window.
    fn draws_attempt(&self, worker: &WorkerState, started_at: Time, rate: f64, now: Time) -> bool {
        let slot = (self.rules.overload_window / DRAWS_PER_WINDOW).max(1);
        let slot_number = now / slot;
        let slot_start = now - now % slot;
        let draw = draw(self.seed ^ worker.hash() ^ mix(started_at ^ slot_number));
        let sent_in_slot = worker.recent_forwards.any_since(slot_start);
        !sent_in_slot && draw < DRAWN_BUDGET_SAFETY * rate * slot as f64
    }

    /// Updates the rate at which a warm worker serves this front end; the last rate is kept while no
    /// worker is warm.
    ///
    /// The rate is at least [`MIN_RATE_SHARE`] of the arrivals for each ready worker, or of the mean
    /// rate if that is less.
    pub(crate) fn update_warm_rate(
        &mut self,
        workers: &mut WorkerTable,
        arrivals: &EventTimes,
        now: Time,
    ) {
        let ready = workers.ready_count();
        let warming = workers.started_since((now + 1).saturating_sub(self.rules.window));
        let warm = ready - warming;
        if warm > 0 {
            let served = self.served_by_warm_workers(workers, now);
            self.warm_rate = rate_per_worker(served, warm);
            self.mean_warm_rate.add(self.warm_rate);
        }
        let arrivals = arrivals.since((now + 1).saturating_sub(RATE_WINDOW));
        let usual = self.mean_warm_rate.cap(rate_per_worker(arrivals, ready));
        self.warm_rate = self.warm_rate.max(usual * MIN_RATE_SHARE);
    }

    fn served_by_warm_workers(&self, workers: &WorkerTable, now: Time) -> usize {
        let window = self.rules.window;
        let is_warm = |worker: &&WorkerState| {
            let started_at = worker.endpoint().started_at;
            worker.is_ready() && started_at.is_none_or(|started_at| now >= started_at + window)
        };
        workers
            .active()
            .filter(is_warm)
            .map(|worker| worker.responses.answers_within(RATE_WINDOW, now))
            .sum()
    }
}

/// The mean rate of one worker, in requests for each nanosecond, where `workers` have served
/// `requests` within [`RATE_WINDOW`].
fn rate_per_worker(requests: usize, workers: usize) -> f64 {
    requests as f64 / workers.max(1) as f64 / RATE_WINDOW as f64
}

/// The times of the attempts that were forwarded to one worker within the overload window before the
/// last attempt.
#[derive(Debug, Default)]
pub(crate) struct RecentForwards(VecDeque<Time>);

impl RecentForwards {
    /// Records an attempt, and forgets those that are older than the window.
    pub(crate) fn record(&mut self, overload_window: Time, now: Time) {
        self.0.retain(|sent_at| *sent_at + overload_window > now);
        self.0.push_back(now);
    }

    fn count_within(&self, window: Time, now: Time) -> usize {
        self.0
            .iter()
            .filter(|sent_at| **sent_at + window > now)
            .count()
    }

    fn any_since(&self, time: Time) -> bool {
        self.0.back().is_some_and(|sent_at| *sent_at >= time)
    }
}
