//! Slow start: what a worker that has just started may be sent.
//!
//! A worker that warms up fails when it gets more than a multiple of its present capacity for a
//! while. Its capacity is not known: it is derived from what warm workers serve this front end. The
//! front ends share no count, so each spends only its part of the budget. `docs/design.md`, "A
//! cold worker's budget" and "Cold workers' budget", tells where the figures come from;
//! `tests/slow_start/` tests the rule.

use std::collections::VecDeque;

use crate::api::{SlowStart as SlowStartRules, Time};
use crate::hashing::{draw, mix};
use crate::statistics::{EventTimes, RunningMean};
use crate::time::MILLISECOND;
use crate::worker::WorkerState;
use crate::worker_table::WorkerTable;

/// The share of its part of a warming worker's budget that this front end spends, as chance must
/// not overdraw the sum over all front ends.
const BUDGET_SAFETY: f64 = 0.75;
/// The same share where that part is under one attempt in a window, so that attempts are drawn.
const DRAWN_BUDGET_SAFETY: f64 = 0.35;
/// How often in a window an attempt is drawn in that case.
const DRAWS_PER_WINDOW: Time = 2;
/// The time over which answers are counted to learn what a warm worker serves.
pub(crate) const RATE_WINDOW: Time = 4_000 * MILLISECOND;
/// The least that a warm worker is taken to serve, as a share of the arrivals for each ready worker:
/// retries increase the arrivals.
const MIN_RATE_SHARE: f64 = 0.25;

/// What this front end may send to workers that warm up.
#[derive(Debug, Default)]
pub(crate) struct SlowStart {
    rules: SlowStartRules,
    /// The seed of the draws for workers with a small budget.
    seed: u64,
    /// Requests that a warm worker serves this front end, for each nanosecond.
    warm_rate: f64,
    /// Its mean over a longer time.
    mean_warm_rate: RunningMean,
}

impl SlowStart {
    /// A state in which no worker was seen to serve anything.
    pub(crate) fn new(rules: SlowStartRules, seed: u64) -> Self {
        SlowStart {
            rules,
            seed,
            ..SlowStart::default()
        }
    }

    /// Whether a worker that may still be warming up can take a further attempt.
    ///
    /// Its capacity is judged by what warm workers serve this front end, and less for a worker of a
    /// smaller weight; rejected attempts would inflate it. A right to send must not be saved: when
    /// all front ends turn to a worker that was idle, all would use theirs at once. The price: a
    /// worker that few front ends want is used too little.
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
    /// One attempt from each of many front ends would exceed the budget, so each front end draws
    /// again in each slot of the window.
    fn draws_attempt(&self, worker: &WorkerState, started_at: Time, rate: f64, now: Time) -> bool {
        let slot = (self.rules.overload_window / DRAWS_PER_WINDOW).max(1);
        let slot_number = now / slot;
        let slot_start = now - now % slot;
        let draw = draw(self.seed ^ worker.hash() ^ mix(started_at ^ slot_number));
        let sent_in_slot = worker.recent_forwards.any_since(slot_start);
        !sent_in_slot && draw < DRAWN_BUDGET_SAFETY * rate * slot as f64
    }

    /// Learns what a warm worker serves this front end; the last figure stays where none is warm.
    ///
    /// The least is a share of this front end's requests for each worker, or of what was usually
    /// served if that is less.
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

/// When attempts were forwarded to one worker, within the window in which a worker that warms up may
/// be overloaded, as of the last attempt.
#[derive(Debug, Default)]
pub(crate) struct RecentForwards(VecDeque<Time>);

impl RecentForwards {
    /// Records an attempt and forgets those that are out of the window by now.
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
