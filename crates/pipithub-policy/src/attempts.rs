//! The end of an attempt, and what is learnt from it.
//!
//! Each outcome has one step: an answer confirms replicas and teaches run times, load times and the
//! worker's slowdown; a failed connection, an error and a rejection count against the worker, each
//! in its own way.

use std::collections::BTreeMap;

use crate::api::{AttemptFinished, Class, FunctionId, Outcome, ReplicaStatus, Time};
use crate::estimates::{Estimates, MAX_SAMPLE, RUN_TIME_GAIN};
use crate::front_end::FrontEnd;
use crate::load_reports::REPORT_LIFETIME;
use crate::state::{Answer, Attempt, FunctionState, PossibleExecution, WorkerState};
use crate::time::MAX_DURATION;
use crate::worker_table::WorkerGuard;

/// Weight of a new sample in the number of preferred workers that a function needs in a large
/// deployment.
const PREFERRED_WORKERS_GAIN: f64 = 0.3;
/// The most preferred workers of a function.
const MAX_PREFERRED_WORKERS: f64 = 64.0;
/// No answer is believed to tell of more requests of its function.
const MAX_FUNCTION_CONCURRENCY: u32 = 1_000;
/// Weight of a new sample in the requests of other front ends beside a replica: about the last
/// seven.
const OTHERS_IN_FLIGHT_GAIN: f64 = 0.15;
/// A worker that rejects an attempt is limited to this share of the attempts there.
const CONCURRENCY_DECREASE: f64 = 0.7;
/// Each answer raises the limit by so much.
const CONCURRENCY_INCREASE: f64 = 0.1;
/// In a large deployment without a report, a run longer than the mean weighs this much of one that
/// is shorter.
const UNREPORTED_RISE: f64 = 0.2;
/// The least that a run is taken to be of the expected one.
const MIN_SLOWDOWN_SAMPLE: f64 = 0.1;
/// The least slowdown by which a run is expected to end.
const MIN_EXPECTED_SLOWDOWN: f64 = 0.1;
/// A report of more requests in flight than this tells of a queue.
const MIN_REPORTED_QUEUE: f64 = 2.0;

/// An attempt that has ended, with what its outcome tells.
struct EndedAttempt<'a> {
    end: &'a AttemptFinished,
    attempt: &'a Attempt,
    now: Time,
    /// How long it took.
    elapsed: f64,
    /// How long it took over the expected run time.
    slowdown: f64,
    function_concurrency: Option<FunctionConcurrency>,
    relies_on_load_reports: bool,
}

/// The requests of a function that an attempt met at its worker.
#[derive(Clone, Copy)]
struct FunctionConcurrency {
    /// All of them, the attempt itself left out.
    met: u32,
    /// Those of other front ends.
    of_others: f64,
}

impl FrontEnd {
    /// Takes an ended attempt out of the worker's queue and learns from it; returns when and where
    /// it was sent, `None` where it is not known any more.
    pub(crate) fn record_attempt(&mut self, end: &AttemptFinished) -> Option<PossibleExecution> {
        let now = self.now;
        let relies_on_load_reports = self.relies_on_load_reports();
        let load_failed = end.replica_status == Some(ReplicaStatus::LoadFailed);
        if load_failed || end.replica_status == Some(ReplicaStatus::LoadStarted) {
            self.load_limiter.record_outcome(load_failed, now);
        }
        let mut worker = self.workers.get_mut(&end.worker)?;
        let attempt = worker.take_attempt(end, now)?;
        let execution = PossibleExecution {
            sent_at: attempt.sent_at,
            zone: worker.endpoint.zone.clone(),
            cell: worker.endpoint.cell,
        };
        if !end.outcome.never_ran() {
            let lost = lost_value(end, &attempt, &self.settings.classes[attempt.class], now);
            self.load_polls.record_lost_value(lost);
        }
        if let Some(zone) = self.silent_zones.get_mut(&worker.endpoint.zone) {
            zone.record_probe(end.outcome, attempt.sent_at, now);
        }
        let reports_concurrency = self.settings.loading.reports_concurrency;
        let function_concurrency = end
            .function_concurrency
            .filter(|_| reports_concurrency)
            .map(|met| FunctionConcurrency::new(met, &attempt));
        let elapsed = end.elapsed.min(MAX_DURATION) as f64;
        let ended = EndedAttempt {
            end,
            attempt: &attempt,
            now,
            elapsed,
            slowdown: (elapsed / attempt.run_time.max(1.0)).clamp(MIN_SLOWDOWN_SAMPLE, MAX_SAMPLE),
            function_concurrency,
            relies_on_load_reports,
        };
        ended.update_preferred_workers(&mut self.functions);
        // An attempt at an earlier process tells nothing of the present one.
        let same_process = worker
            .endpoint
            .started_at
            .is_none_or(|started_at| started_at <= attempt.sent_at);
        if same_process {
            ended.learn(&mut worker, &mut self.estimates, &mut self.functions);
        }
        Some(execution)
    }
}

/// The share of its value that an attempt lost.
fn lost_value(end: &AttemptFinished, attempt: &Attempt, class: &Class, now: Time) -> f64 {
    if end.outcome != Outcome::Served {
        1.0
    } else if now > attempt.latency_objective {
        1.0 - class.late_answer_weight
    } else {
        0.0
    }
}

impl FunctionConcurrency {
    fn new(met: u32, attempt: &Attempt) -> Self {
        let met = met.min(MAX_FUNCTION_CONCURRENCY);
        FunctionConcurrency {
            met,
            of_others: (f64::from(met) + 1.0 - attempt.function_concurrency).max(0.0),
        }
    }
}

impl EndedAttempt<'_> {
    /// Takes in how many preferred workers the function needs: its requests that were met here, as
    /// many at each of its preferred workers, over what one replica runs. A worker adds replicas by
    /// itself too, but no cores to run them.
    fn update_preferred_workers(&self, functions: &mut BTreeMap<FunctionId, FunctionState>) {
        let Some(concurrency) = self
            .function_concurrency
            .filter(|_| self.relies_on_load_reports)
        else {
            return;
        };
        if let Some(function) = functions.get_mut(&self.attempt.function) {
            let preferred = function.preferred_workers.max(1.0);
            let needed =
                concurrency.of_others * preferred / f64::from(function.replica_concurrency.max(1));
            function.preferred_workers = preferred
                + PREFERRED_WORKERS_GAIN * (needed.clamp(1.0, MAX_PREFERRED_WORKERS) - preferred);
        }
    }

    /// Learns from the outcome; the attempt went to the process that runs now.
    fn learn(
        &self,
        worker: &mut WorkerGuard<'_>,
        estimates: &mut Estimates,
        functions: &mut BTreeMap<FunctionId, FunctionState>,
    ) {
        match self.end.outcome {
            Outcome::Served => self.learn_from_answer(worker, estimates, functions),
            Outcome::Unreachable | Outcome::ConnectionLost => {
                worker.record_connect_failure(self.now);
            }
            Outcome::Cancelled => self.learn_from_cancellation(worker),
            Outcome::Rejected => self.learn_from_rejection(worker),
            // What failed to load is not there: believed, it would draw the next request.
            Outcome::NotLoaded => {
                worker.replicas.remove(&self.attempt.function);
            }
            Outcome::Error if self.end.replica_status == Some(ReplicaStatus::LoadFailed) => {
                worker.replicas.remove(&self.attempt.function);
            }
            Outcome::Error => worker.record_error(self.now, self.attempt),
            Outcome::TimedOut | Outcome::NotSent => {}
        }
    }

    fn learn_from_answer(
        &self,
        worker: &mut WorkerGuard<'_>,
        estimates: &mut Estimates,
        functions: &mut BTreeMap<FunctionId, FunctionState>,
    ) {
        let function = functions.get_mut(&self.attempt.function);
        worker.record_answer(self.attempt.class, self.now);
        let replica_concurrency = function
            .as_ref()
            .map_or(1, |function| function.replica_concurrency.max(1));
        self.confirm_replicas(worker, replica_concurrency);
        let expected = self.attempt.run_time * worker.slowdown.max(MIN_EXPECTED_SLOWDOWN);
        if self.included_load(expected) {
            let awaited = self.end.replica_status == Some(ReplicaStatus::LoadAwaited);
            if let Some(function) = function.filter(|_| !awaited) {
                let load_time = (self.elapsed - expected).max(0.0);
                estimates.record_load_time(function, load_time, self.now);
            }
            return;
        }
        self.learn_reported_queue(worker, estimates);
        worker.record_slowdown(self.slowdown, self.attempt.concurrency);
        self.learn_run_time(estimates, function);
    }

    /// Notes the replicas that the answer has shown.
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
            // All of them ran at once.
            let needed = (concurrency.met + 1).div_ceil(replica_concurrency);
            replicas.count = replicas.count.max(needed);
        }
    }

    /// Whether the answer took a load, as it tells or else by how long it took.
    fn included_load(&self, expected: f64) -> bool {
        match self.end.replica_status {
            Some(ReplicaStatus::Warm) => false,
            Some(_) => true,
            None => {
                let may_include_load = self.attempt.cold_start || self.attempt.unconfirmed;
                may_include_load && self.elapsed > expected * MAX_SAMPLE
            }
        }
    }

    /// Learns how far a reported queue slows down a run.
    fn learn_reported_queue(&self, worker: &WorkerState, estimates: &mut Estimates) {
        let report = &worker.load_report;
        let had_report = report.received_at + REPORT_LIFETIME > self.attempt.sent_at;
        if report.in_flight > MIN_REPORTED_QUEUE && report.in_flight.is_finite() && had_report {
            let queues = &mut estimates.reported_queues;
            queues.in_flight += RUN_TIME_GAIN * (report.in_flight - queues.in_flight);
            queues.slowdown += RUN_TIME_GAIN * (self.slowdown.max(1.0) - queues.slowdown);
        }
    }

    /// Learns the run time of class and function. Answers from a worker with few requests, also as
    /// it reports, tell the run itself; what others add is its slowdown.
    fn learn_run_time(&self, estimates: &mut Estimates, function: Option<&mut FunctionState>) {
        let reported = self.end.load_report.in_flight;
        let concurrency = self.attempt.concurrency.max(reported.unwrap_or(0.0) / 2.0);
        let gain = RUN_TIME_GAIN * (2.0 / concurrency).min(1.0).powi(2);
        // Without a report, a long answer rather tells of the queue of the others than of a long
        // run.
        let rise = if self.relies_on_load_reports && reported.is_none() {
            UNREPORTED_RISE
        } else {
            1.0
        };
        let learn = |mean: &mut f64| {
            let sample = self.elapsed.min(*mean * MAX_SAMPLE);
            let weight = if sample > *mean { rise } else { 1.0 };
            *mean += gain * (sample - *mean) * weight;
        };
        learn(estimates.class_run_times[self.attempt.class].get_or_insert(self.elapsed));
        if let Some(function) = function {
            learn(function.run_time.get_or_insert(self.attempt.run_time));
        }
    }

    /// A cancelled run has taken so long at the least: else only the quick answers would teach.
    fn learn_from_cancellation(&self, worker: &mut WorkerState) {
        let may_include_load = self.attempt.cold_start || self.attempt.unconfirmed;
        if !may_include_load && self.slowdown > worker.slowdown {
            worker.record_slowdown(self.slowdown, self.attempt.concurrency);
            worker.last_response_at = self.now;
        }
    }

    fn learn_from_rejection(&self, worker: &mut WorkerState) {
        worker.concurrency_limit = (self.attempt.concurrency * CONCURRENCY_DECREASE).max(1.0);
        worker.last_response_at = self.now;
    }
}

impl WorkerState {
    /// Takes an ended attempt out of the queue. Cancelled work may go on unseen: the replay keeps
    /// it until its predicted finish.
    fn take_attempt(&mut self, end: &AttemptFinished, now: Time) -> Option<Attempt> {
        let position = self
            .in_flight
            .iter()
            .position(|a| a.request == end.request && a.number == end.attempt)?;
        let attempt = &mut self.in_flight[position];
        if end.outcome == Outcome::Cancelled && attempt.predicted_finish > now {
            attempt.cancelled = true;
            return Some(attempt.clone());
        }
        Some(self.in_flight.remove(position))
    }

    fn record_answer(&mut self, class: usize, now: Time) {
        self.health[class].record_success();
        self.last_response_at = now;
        self.consecutive_connect_failures = 0;
        self.concurrency_limit += CONCURRENCY_INCREASE;
        self.recent_answers.push_back(Answer { at: now, class });
    }
}
