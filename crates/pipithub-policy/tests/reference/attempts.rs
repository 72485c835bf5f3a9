//! The end of an attempt, and what is learnt from it.
//!
//! Each outcome has one step: an answer confirms replicas and teaches run times, load times and the
//! worker's slowdown; a failed connection, an error and a rejection count against the worker, each
//! in its own way.

use pipithub_policy::api::{AttemptFinished, Outcome, ReplicaStatus, Time};

use super::estimates::{MAX_SAMPLE, RUN_TIME_GAIN, SLOWDOWN_GAIN};
use super::front_end::FrontEnd;
use super::load_reports::REPORT_LIFETIME;
use super::service::is_connection_lost;
use super::state::{Answer, Attempt, PossibleExecution, WorkerState};
use super::time::MAX_DURATION;

/// Weight of a new sample in the number of preferred workers that a function needs in a large
/// deployment.
const PREFERRED_WORKERS_GAIN: f64 = 0.3;
/// The most preferred workers of a function.
const MAX_PREFERRED_WORKERS: f64 = 64.0;
/// The most requests of its function that an answer can report.
const MAX_FUNCTION_CONCURRENCY: u32 = 1_000;
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
/// A worker that reports more requests in flight than this has a queue.
const MIN_REPORTED_QUEUE: f64 = 2.0;

/// The requests of a function that an attempt met at its worker.
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
        match end.replica_status {
            Some(ReplicaStatus::LoadFailed) => self.record_load_outcome(true),
            Some(ReplicaStatus::LoadStarted) => self.record_load_outcome(false),
            _ => {}
        }
        let worker = self.workers.get_mut(&end.worker)?;
        let attempt = worker.take_attempt(end, self.now)?;
        if is_connection_lost(end.outcome) {
            worker.service.connection_lost_at = self.now;
        }
        let endpoint = worker.endpoint.clone();
        self.record_lost_value(end, &attempt);
        self.record_zone_probe(&endpoint.zone, end.outcome, attempt.sent_at);
        self.update_preferred_workers(end, &attempt);
        // An attempt at an earlier process tells nothing of the present one.
        let same_process = endpoint
            .started_at
            .is_none_or(|started_at| started_at <= attempt.sent_at);
        if same_process {
            self.learn(end, &attempt);
        }
        Some(PossibleExecution {
            sent_at: attempt.sent_at,
            zone: endpoint.zone,
            cell: endpoint.cell,
        })
    }

    /// Takes in the share of its value that an attempt lost.
    fn record_lost_value(&mut self, end: &AttemptFinished, attempt: &Attempt) {
        if end.outcome.never_ran() {
            return;
        }
        let lost = if end.outcome != Outcome::Served {
            1.0
        } else if self.now > attempt.latency_objective {
            1.0 - self.settings.classes[attempt.class].late_answer_weight
        } else {
            0.0
        };
        self.mean_lost_value += RUN_TIME_GAIN * (lost - self.mean_lost_value);
    }

    /// The requests of its function that an attempt met, where answers tell.
    fn function_concurrency(
        &self,
        end: &AttemptFinished,
        attempt: &Attempt,
    ) -> Option<FunctionConcurrency> {
        if !self.settings.loading.reports_concurrency {
            return None;
        }
        let met = end.function_concurrency?.min(MAX_FUNCTION_CONCURRENCY);
        Some(FunctionConcurrency {
            met,
            of_others: (f64::from(met) + 1.0 - attempt.function_concurrency).max(0.0),
        })
    }

    /// Takes in how many preferred workers the function needs in a large deployment: its requests
    /// that were met here, as many at each of its preferred workers, over what one replica runs.
    fn update_preferred_workers(&mut self, end: &AttemptFinished, attempt: &Attempt) {
        if !self.relies_on_load_reports() {
            return;
        }
        let Some(concurrency) = self.function_concurrency(end, attempt) else {
            return;
        };
        let Some(function) = self.functions.get_mut(&attempt.function) else {
            return;
        };
        let preferred = function.preferred_workers.max(1.0);
        let needed =
            concurrency.of_others * preferred / f64::from(function.replica_concurrency.max(1));
        function.preferred_workers = preferred
            + PREFERRED_WORKERS_GAIN * (needed.clamp(1.0, MAX_PREFERRED_WORKERS) - preferred);
    }

    /// Learns from the outcome; the attempt went to the process that runs now.
    fn learn(&mut self, end: &AttemptFinished, attempt: &Attempt) {
        match end.outcome {
            Outcome::Served => self.learn_from_answer(end, attempt),
            Outcome::Unreachable | Outcome::ConnectionLost => {
                self.record_connect_failure(&end.worker);
            }
            Outcome::Cancelled => self.learn_from_cancellation(end, attempt),
            Outcome::Rejected => self.learn_from_rejection(end, attempt),
            // What failed to load is not there: believed, it would draw the next request.
            Outcome::NotLoaded => self.forget_replicas(end, attempt),
            Outcome::Error if end.replica_status == Some(ReplicaStatus::LoadFailed) => {
                self.forget_replicas(end, attempt);
            }
            Outcome::Error => self.record_error(&end.worker, attempt),
            Outcome::TimedOut | Outcome::NotSent => {}
        }
    }

    /// An answer confirms the replicas and counts for the worker's health. It teaches either the load
    /// time, where it included a load, or run time and slowdown.
    fn learn_from_answer(&mut self, end: &AttemptFinished, attempt: &Attempt) {
        let now = self.now;
        self.confirm_replicas(end, attempt);
        let Some(worker) = self.workers.get_mut(&end.worker) else {
            return;
        };
        worker.record_answer(attempt.class, now);
        let expected = attempt.run_time * worker.slowdown.max(MIN_EXPECTED_SLOWDOWN);
        let elapsed = elapsed(end);
        if included_load(end, attempt, expected) {
            if end.replica_status != Some(ReplicaStatus::LoadAwaited) {
                self.record_load_time(attempt.function, (elapsed - expected).max(0.0));
            }
            return;
        }
        let slowdown = slowdown(end, attempt);
        let report = worker.load_report;
        worker.record_slowdown(slowdown, attempt.concurrency);
        // How far a reported queue slows down a run.
        if report.in_flight > MIN_REPORTED_QUEUE
            && report.in_flight.is_finite()
            && report.received_at + REPORT_LIFETIME > attempt.sent_at
        {
            let means = &mut self.estimates;
            means.reported_in_flight +=
                RUN_TIME_GAIN * (report.in_flight - means.reported_in_flight);
            means.reported_slowdown +=
                RUN_TIME_GAIN * (slowdown.max(1.0) - means.reported_slowdown);
        }
        self.learn_run_time(end, attempt);
    }

    /// Notes the replicas that an answer has shown.
    fn confirm_replicas(&mut self, end: &AttemptFinished, attempt: &Attempt) {
        let concurrency = self.function_concurrency(end, attempt);
        let replica_concurrency = self
            .functions
            .get(&attempt.function)
            .map_or(1, |function| function.replica_concurrency.max(1));
        let Some(worker) = self.workers.get_mut(&end.worker) else {
            return;
        };
        let replicas = worker.replicas.entry(attempt.function).or_default();
        if !replicas.confirmed {
            replicas.ready_at = self.now;
        }
        replicas.count = replicas.count.max(1);
        replicas.confirmed = true;
        replicas.last_used_at = self.now;
        let Some(concurrency) = concurrency else {
            return;
        };
        replicas.others_in_flight +=
            SLOWDOWN_GAIN * (concurrency.of_others - replicas.others_in_flight);
        if end.replica_status == Some(ReplicaStatus::Warm) {
            // All of them ran at once.
            let needed = (concurrency.met + 1).div_ceil(replica_concurrency);
            replicas.count = replicas.count.max(needed);
        }
    }

    /// Learns the run time of class and function. Answers from a worker with few requests, also as
    /// it reports, tell the run itself; what others add is its slowdown.
    fn learn_run_time(&mut self, end: &AttemptFinished, attempt: &Attempt) {
        let elapsed = elapsed(end);
        let reported = end.load_report.in_flight;
        let concurrency = attempt.concurrency.max(reported.unwrap_or(0.0) / 2.0);
        let gain = RUN_TIME_GAIN * (2.0 / concurrency).min(1.0).powi(2);
        // Without a report, a long answer rather shows the queue of other front ends than a long
        // run.
        let rise = if self.relies_on_load_reports() && reported.is_none() {
            UNREPORTED_RISE
        } else {
            1.0
        };
        let learn = |mean: &mut f64| {
            let sample = elapsed.min(*mean * MAX_SAMPLE);
            let weight = if sample > *mean { rise } else { 1.0 };
            *mean += gain * (sample - *mean) * weight;
        };
        learn(self.estimates.class_run_times[attempt.class].get_or_insert(elapsed));
        if let Some(function) = self.functions.get_mut(&attempt.function) {
            learn(function.run_time.get_or_insert(attempt.run_time));
        }
    }

    /// A cancelled run has taken so long at the least: else only the quick answers would teach.
    fn learn_from_cancellation(&mut self, end: &AttemptFinished, attempt: &Attempt) {
        let slowdown = slowdown(end, attempt);
        let may_include_load = attempt.cold_start || attempt.unconfirmed;
        if let Some(worker) = self.workers.get_mut(&end.worker)
            && !may_include_load
            && slowdown > worker.slowdown
        {
            worker.record_slowdown(slowdown, attempt.concurrency);
            worker.last_response_at = self.now;
        }
    }

    /// A worker that rejects an attempt gets fewer at a time.
    fn learn_from_rejection(&mut self, end: &AttemptFinished, attempt: &Attempt) {
        if let Some(worker) = self.workers.get_mut(&end.worker) {
            worker.concurrency_limit = (attempt.concurrency * CONCURRENCY_DECREASE).max(1.0);
            worker.last_response_at = self.now;
        }
    }

    /// The function is not loaded there any more.
    fn forget_replicas(&mut self, end: &AttemptFinished, attempt: &Attempt) {
        if let Some(worker) = self.workers.get_mut(&end.worker) {
            worker.replicas.remove(&attempt.function);
        }
    }
}

/// How long an attempt took.
fn elapsed(end: &AttemptFinished) -> f64 {
    end.elapsed.min(MAX_DURATION) as f64
}

/// How long an attempt took over the expected run time.
fn slowdown(end: &AttemptFinished, attempt: &Attempt) -> f64 {
    (elapsed(end) / attempt.run_time.max(1.0)).clamp(MIN_SLOWDOWN_SAMPLE, MAX_SAMPLE)
}

/// Whether the answer took a load, as it tells or else by how long it took.
fn included_load(end: &AttemptFinished, attempt: &Attempt, expected: f64) -> bool {
    match end.replica_status {
        Some(ReplicaStatus::Warm) => false,
        Some(_) => true,
        None => {
            let may_include_load = attempt.cold_start || attempt.unconfirmed;
            may_include_load && elapsed(end) > expected * MAX_SAMPLE
        }
    }
}

impl WorkerState {
    /// Takes an ended attempt out of the queue. Cancelled work may go on unseen: the replay keeps
    /// it until its predicted finish.
    fn take_attempt(&mut self, end: &AttemptFinished, now: Time) -> Option<Attempt> {
        let position = self
            .in_flight
            .iter()
            .position(|attempt| attempt.request == end.request && attempt.number == end.attempt)?;
        let attempt = &mut self.in_flight[position];
        if end.outcome == Outcome::Cancelled && attempt.predicted_finish > now {
            attempt.cancelled = true;
            return Some(attempt.clone());
        }
        Some(self.in_flight.remove(position))
    }

    /// A worker that answers is reachable, and gets slightly more attempts at a time.
    fn record_answer(&mut self, class: usize, now: Time) {
        self.health[class].record_success();
        self.last_response_at = now;
        self.consecutive_connect_failures = 0;
        self.concurrency_limit += CONCURRENCY_INCREASE;
        self.recent_answers.push_back(Answer { at: now, class });
    }
}
