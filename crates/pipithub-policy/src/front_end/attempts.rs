//! The end of an attempt, and the estimates that it updates.
//!
//! Each outcome has one step: an answer confirms replicas and gives a sample of run time, load time
//! and the worker's slowdown; a failed connection, an error and a rejection count against the worker,
//! each by its own rule.

use super::FrontEnd;
use crate::api::{AttemptFinished, Class, Outcome, ReplicaStatus, Time};
use crate::attempt::Attempt;
use crate::estimates::{Estimates, MAX_SAMPLE, RUN_TIME_GAIN, RunTimeSample};
use crate::load_reports::REPORT_LIFETIME;
use crate::pending_request::PossibleExecution;
use crate::time::MAX_DURATION;
use crate::worker::WorkerState;
use crate::worker_table::WorkerGuard;

/// The largest number of requests of its function in flight that an answer counts for.
const MAX_FUNCTION_CONCURRENCY: u32 = 1_000;
/// The weight of a new sample in the mean number of a function's requests that other front ends have
/// in flight at a worker: about the last seven samples count.
const OTHERS_IN_FLIGHT_GAIN: f64 = 0.15;
/// In a large deployment, a run longer than the mean has this share of the weight of a shorter run,
/// if the answer did not report the worker's requests in flight.
const UNREPORTED_RISE_FACTOR: f64 = 0.2;
/// The least ratio of elapsed to expected run time that a sample counts for.
const MIN_SLOWDOWN_SAMPLE: f64 = 0.1;
/// The least slowdown that is assumed of a run when a load is told apart from it in an answer's
/// elapsed time.
const MIN_EXPECTED_SLOWDOWN: f64 = 0.1;
/// A worker that reports more requests in flight than this has a queue.
const MIN_REPORTED_QUEUE: f64 = 2.0;

/// An attempt that has ended, with the values derived from its end.
struct EndedAttempt<'a> {
    end: &'a AttemptFinished,
    attempt: &'a Attempt,
    now: Time,
    /// How long the attempt took, in nanoseconds.
    elapsed: f64,
    /// The ratio of the elapsed time to the expected run time.
    slowdown: f64,
    function_concurrency: Option<FunctionConcurrency>,
    relies_on_load_reports: bool,
}

/// The requests of a function that were in flight at the worker when an attempt arrived there.
#[derive(Clone, Copy)]
struct FunctionConcurrency {
    /// The requests of all front ends, not counting the attempt itself.
    in_flight: u32,
    /// The requests of other front ends.
    of_others: f64,
}

/// Uses the settings, the workers, the estimates, the limits on loads, the load polls and the zones:
/// an outcome updates each of them but the settings.
impl FrontEnd {
    /// Removes an ended attempt from the worker's queue and updates the estimates. Returns when and
    /// where the attempt was sent; `None` if that is no longer known.
    pub(super) fn record_attempt(&mut self, end: &AttemptFinished) -> Option<PossibleExecution> {
        let now = self.now;
        let load_failed = end.replica_status == Some(ReplicaStatus::LoadFailed);
        if load_failed || end.replica_status == Some(ReplicaStatus::LoadStarted) {
            self.load_limiter.record_outcome(load_failed, now);
        }
        let confirmed_at = self.endpoint_list_lease.confirmed_at();
        let mut worker = self.workers.get_mut(&end.worker)?;
        let attempt = worker.attempts.finish(end, now)?;
        if matches!(end.outcome, Outcome::Unreachable | Outcome::ConnectionLost) {
            worker.service.record_connection_lost(confirmed_at, now);
        }
        let endpoint = worker.endpoint();
        let execution = PossibleExecution {
            sent_at: attempt.sent_at,
            zone: attempt.zone.clone(),
            cell: attempt.cell,
        };
        if !end.outcome.never_ran() {
            let lost = lost_value(end, &attempt, &self.settings.classes[attempt.class], now);
            self.load_polls.record_lost_value(lost);
        }
        self.zones
            .record_probe(&endpoint.zone, end.outcome, attempt.sent_at, now);
        let reports_concurrency = self.settings.loading.reports_concurrency;
        let function_concurrency = end
            .function_concurrency
            .filter(|_| reports_concurrency)
            .map(|in_flight| FunctionConcurrency::new(in_flight, &attempt));
        let elapsed = end.elapsed.min(MAX_DURATION) as f64;
        let expected = attempt.expected.run_time.max(1.0);
        let ended = EndedAttempt {
            end,
            attempt: &attempt,
            now,
            elapsed,
            slowdown: (elapsed / expected).clamp(MIN_SLOWDOWN_SAMPLE, MAX_SAMPLE),
            function_concurrency,
            relies_on_load_reports: self.settings.relies_on_load_reports(),
        };
        ended.update_preferred_workers(&mut self.estimates);
        // An attempt at an earlier process is no evidence about the current one.
        let same_process = endpoint
            .started_at
            .is_none_or(|started_at| started_at <= attempt.sent_at);
        if same_process {
            ended.learn(&mut worker, &mut self.estimates);
        }
        Some(execution)
    }
}

/// The share of the request's value that was lost with this attempt, from 0 to 1.
fn lost_value(end: &AttemptFinished, attempt: &Attempt, class: &Class, now: Time) -> f64 {
    if end.outcome != Outcome::Served {
        1.0
    } else if now > attempt.deadlines.latency_objective {
        1.0 - class.late_answer_weight
    } else {
        0.0
    }
}

impl FunctionConcurrency {
    fn new(in_flight: u32, attempt: &Attempt) -> Self {
        let in_flight = in_flight.min(MAX_FUNCTION_CONCURRENCY);
        FunctionConcurrency {
            in_flight,
            of_others: (f64::from(in_flight) + 1.0 - attempt.concurrency.of_function).max(0.0),
        }
    }
}

impl EndedAttempt<'_> {
    /// In a large deployment, updates the number of preferred workers that the function needs.
    fn update_preferred_workers(&self, estimates: &mut Estimates) {
        if let Some(concurrency) = self
            .function_concurrency
            .filter(|_| self.relies_on_load_reports)
        {
            estimates.record_function_concurrency(self.attempt.function, concurrency.of_others);
        }
    }

    /// Updates the estimates with the outcome of an attempt at the worker's current process.
    fn learn(&self, worker: &mut WorkerGuard<'_>, estimates: &mut Estimates) {
        match self.end.outcome {
            Outcome::Served => self.learn_from_answer(worker, estimates),
            Outcome::Unreachable | Outcome::ConnectionLost => {
                worker.record_connect_failure(self.now);
            }
            Outcome::Cancelled => self.learn_from_cancellation(worker),
            Outcome::Rejected => worker.record_rejection(self.attempt, self.now),
            // A function that failed to load is not there: if a replica were still assumed, it would
            // attract the next request.
            Outcome::NotLoaded => worker.replicas.remove(self.attempt.function),
            Outcome::Error if self.end.replica_status == Some(ReplicaStatus::LoadFailed) => {
                worker.replicas.remove(self.attempt.function);
            }
            Outcome::Error => {
                let mean_of_others = worker.mean_error_rate_of_others(self.attempt.class);
                worker
                    .outliers
                    .record_error(self.attempt, mean_of_others, self.now);
            }
            Outcome::TimedOut | Outcome::NotSent => {}
        }
    }

    fn learn_from_answer(&self, worker: &mut WorkerGuard<'_>, estimates: &mut Estimates) {
        let function = self.attempt.function;
        worker.record_answer(self.attempt.class, self.now);
        self.confirm_replicas(worker, estimates.replica_concurrency(function));
        let slowdown = worker.slowdown.factor().max(MIN_EXPECTED_SLOWDOWN);
        let expected = self.attempt.expected.run_time * slowdown;
        if self.included_load(expected) {
            if self.end.replica_status != Some(ReplicaStatus::LoadAwaited) {
                let load_time = (self.elapsed - expected).max(0.0);
                estimates.record_load_time(function, load_time, self.now);
            }
            return;
        }
        self.learn_reported_queue(worker, estimates);
        worker
            .slowdown
            .record(self.slowdown, self.attempt.concurrency.total);
        self.learn_run_time(estimates);
    }

    /// Records the replicas that the answer has confirmed.
    fn confirm_replicas(&self, worker: &mut WorkerGuard<'_>, replica_concurrency: u32) {
        let replicas = worker.replicas_of(self.attempt.function);
        if !replicas.confirmed {
            replicas.ready_at = self.now;
        }
        replicas.count = replicas.count.max(1);
        replicas.confirmed = true;
        replicas.last_used_at = self.now;
        let Some(concurrency) = self.function_concurrency else {
            return;
        };
        replicas.others_in_flight +=
            OTHERS_IN_FLIGHT_GAIN * (concurrency.of_others - replicas.others_in_flight);
        if self.end.replica_status == Some(ReplicaStatus::Warm) {
            // The request did not wait for a load: the worker ran it in parallel with those in flight,
            // so it has at least as many replicas as they need.
            let needed = (concurrency.in_flight + 1).div_ceil(replica_concurrency);
            replicas.count = replicas.count.max(needed);
        }
    }

    /// Whether the attempt may have waited for a load, by what was known when it was sent.
    fn may_include_load(&self) -> bool {
        self.attempt.expected.cold_start || self.attempt.expected.unconfirmed
    }

    /// Whether the elapsed time includes a load: as the answer states, or if it states nothing, as
    /// the elapsed time indicates.
    fn included_load(&self, expected: f64) -> bool {
        match self.end.replica_status {
            Some(ReplicaStatus::Warm) => false,
            Some(_) => true,
            None => self.may_include_load() && self.elapsed > expected * MAX_SAMPLE,
        }
    }

    /// Records how much a run was slowed down at a worker that had reported a queue.
    fn learn_reported_queue(&self, worker: &WorkerState, estimates: &mut Estimates) {
        let report = &worker.load_report;
        let had_report = report.received_at + REPORT_LIFETIME > self.attempt.sent_at;
        if report.in_flight > MIN_REPORTED_QUEUE && report.in_flight.is_finite() && had_report {
            estimates.record_reported_queue(report, self.slowdown);
        }
    }

    /// Updates the run times of the class and the function. An answer weighs the more, the fewer
    /// requests were in flight at the worker: the time that other requests add belongs to the
    /// worker's slowdown.
    fn learn_run_time(&self, estimates: &mut Estimates) {
        let reported = self.end.load_report.in_flight;
        let own = self.attempt.concurrency.total;
        let concurrency = own.max(reported.unwrap_or(0.0) / 2.0);
        // Without a report, a long time until the answer more likely means a queue of other front
        // ends' requests than a long run.
        let rise_factor = if self.relies_on_load_reports && reported.is_none() {
            UNREPORTED_RISE_FACTOR
        } else {
            1.0
        };
        estimates.record_run_time(&RunTimeSample {
            class: self.attempt.class,
            function: self.attempt.function,
            elapsed: self.elapsed,
            expected: self.attempt.expected.run_time,
            gain: RUN_TIME_GAIN * (2.0 / concurrency).min(1.0).powi(2),
            rise_factor,
        });
    }

    /// Records the slowdown of a cancelled attempt, whose run would have taken at least the elapsed
    /// time. Without it only the fast answers would be counted.
    fn learn_from_cancellation(&self, worker: &mut WorkerState) {
        if !self.may_include_load() && self.slowdown > worker.slowdown.factor() {
            worker
                .slowdown
                .record(self.slowdown, self.attempt.concurrency.total);
            worker.responses.record(self.now);
        }
    }
}
