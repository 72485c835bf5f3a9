//! The end of an attempt, and what is learnt from it.
//!
//! Each outcome has its own step. An answer confirms replicas and updates the estimates of run
//! times, load times and the worker's slowdown. A failed connection, an error and a rejection count
//! against the worker, each in a different way.

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
/// The largest number of preferred workers of a function.
const MAX_PREFERRED_WORKERS: f64 = 64.0;
/// The largest concurrency of its function that an answer can report; larger values count as this.
const MAX_FUNCTION_CONCURRENCY: u32 = 1_000;
/// A rejection limits the worker to this share of this front end's attempts there, as counted when
/// the rejected one was sent.
const CONCURRENCY_DECREASE: f64 = 0.7;
/// Each answer raises the concurrency limit of its worker by this number of attempts.
const CONCURRENCY_INCREASE: f64 = 0.1;
/// In a large deployment, a sample above the mean run time has this share of the usual weight if
/// its answer carried no load report.
const UNREPORTED_RISE: f64 = 0.2;
/// The least sample of a slowdown; a faster run counts as this.
const MIN_SLOWDOWN_SAMPLE: f64 = 0.1;
/// The least slowdown from which the time of an answer is expected.
const MIN_EXPECTED_SLOWDOWN: f64 = 0.1;
/// A worker that reports more requests in flight than this has a queue.
const MIN_REPORTED_QUEUE: f64 = 2.0;

/// The requests of its function that were in flight at the worker when an attempt arrived there.
struct FunctionConcurrency {
    /// Requests of all front ends, without the attempt itself.
    met: u32,
    /// Requests of other front ends.
    of_others: f64,
}

impl FrontEnd {
    /// Removes an ended attempt from the worker's queue and learns from it. Returns when and where
    /// the attempt was sent; `None` if it is not known any more.
    pub(crate) fn record_attempt(&mut self, end: &AttemptFinished) -> Option<PossibleExecution> {
        match end.replica_status {
            Some(ReplicaStatus::LoadFailed) => self.record_load_outcome(true),
            Some(ReplicaStatus::LoadStarted) => self.record_load_outcome(false),
            _ => {}
        }
        let confirmed_at = self.endpoint_list_confirmed_at;
        let worker = self.workers.get_mut(&end.worker)?;
        let attempt = worker.take_attempt(end, self.now)?;
        if is_connection_lost(end.outcome) {
            worker.service.note_connection_lost(confirmed_at, self.now);
        }
        let endpoint = worker.endpoint.clone();
        self.record_lost_value(end, &attempt);
        self.record_zone_probe(&endpoint.zone, end.outcome, attempt.sent_at);
        self.update_preferred_workers(end, &attempt);
        // An attempt at an earlier process of the worker shows nothing about the present one.
        let same_process = endpoint
            .started_at
            .is_none_or(|started_at| started_at <= attempt.sent_at);
        if same_process {
            self.learn(end, &attempt);
        }
        Some(PossibleExecution {
            sent_at: attempt.sent_at,
            zone: attempt.zone,
            cell: attempt.cell,
        })
    }

    /// Records the share of its value that an attempt lost, unless it never ran.
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

    /// The requests of its function that an attempt met at the worker; `None` if the answer does
    /// not report them.
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

    /// Updates how many preferred workers the function needs in a large deployment: the requests of
    /// other front ends that the attempt met, times the preferred workers, as each is assumed to
    /// have the same number, over the concurrency of one replica.
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

    /// Learns from the outcome of an attempt at the worker's present process.
    fn learn(&mut self, end: &AttemptFinished, attempt: &Attempt) {
        match end.outcome {
            Outcome::Served => self.learn_from_answer(end, attempt),
            Outcome::Unreachable | Outcome::ConnectionLost => {
                self.record_connect_failure(&end.worker);
            }
            Outcome::Cancelled => self.learn_from_cancellation(end, attempt),
            Outcome::Rejected => self.learn_from_rejection(end, attempt),
            // The function is not loaded there: a replica that is still assumed would attract the
            // next request.
            Outcome::NotLoaded => self.forget_replicas(end, attempt),
            Outcome::Error if end.replica_status == Some(ReplicaStatus::LoadFailed) => {
                self.forget_replicas(end, attempt);
            }
            Outcome::Error => self.record_error(&end.worker, attempt),
            Outcome::TimedOut | Outcome::NotSent => {}
        }
    }

    /// Learns from an answer: it confirms the replicas and counts for the worker's health. If it
    /// included a load it updates the load time, otherwise the run time and the slowdown.
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
        // How much the queue that a worker had reported slows down a run there.
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

    /// Records the replicas that an answer has confirmed.
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
            // All of these requests ran at the same time, which takes this many replicas.
            let needed = (concurrency.met + 1).div_ceil(replica_concurrency);
            replicas.count = replicas.count.max(needed);
        }
    }

    /// Updates the run times of class and function. The more requests the worker had, by this front
    /// end's count or its load report, the less the answer counts: its time then shows the slowdown
    /// rather than the run alone.
    fn learn_run_time(&mut self, end: &AttemptFinished, attempt: &Attempt) {
        let elapsed = elapsed(end);
        let reported = end.load_report.in_flight;
        let concurrency = attempt.concurrency.max(reported.unwrap_or(0.0) / 2.0);
        let gain = RUN_TIME_GAIN * (2.0 / concurrency).min(1.0).powi(2);
        // Without a report, a long time more likely shows a queue of other front ends' requests
        // than a long run.
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

    /// Raises the slowdown if a cancelled attempt without a load took longer than the slowdown
    /// predicts: its run would have taken at least that time. Otherwise only the quick answers
    /// would count.
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

    /// Lowers the concurrency limit of a worker that has rejected an attempt.
    fn learn_from_rejection(&mut self, end: &AttemptFinished, attempt: &Attempt) {
        if let Some(worker) = self.workers.get_mut(&end.worker) {
            worker.concurrency_limit = (attempt.concurrency * CONCURRENCY_DECREASE).max(1.0);
            worker.last_response_at = self.now;
        }
    }

    /// Forgets the function's replicas at the worker, as none is loaded there.
    fn forget_replicas(&mut self, end: &AttemptFinished, attempt: &Attempt) {
        if let Some(worker) = self.workers.get_mut(&end.worker) {
            worker.replicas.remove(&attempt.function);
        }
    }
}

/// How long an attempt took, in nanoseconds, bounded.
fn elapsed(end: &AttemptFinished) -> f64 {
    end.elapsed.min(MAX_DURATION) as f64
}

/// The ratio of an attempt's time to its expected run time, bounded.
fn slowdown(end: &AttemptFinished, attempt: &Attempt) -> f64 {
    (elapsed(end) / attempt.run_time.max(1.0)).clamp(MIN_SLOWDOWN_SAMPLE, MAX_SAMPLE)
}

/// Whether the answer included a load: as it reports, or else judged by how long it took.
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
    /// Removes and returns an ended attempt; `None` if it is not known. Cancelled work may continue
    /// unseen: such an attempt stays in the queue until its predicted finish, so that the replay
    /// counts it.
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

    /// Records an answer: the worker is reachable, and its concurrency limit rises slightly.
    fn record_answer(&mut self, class: usize, now: Time) {
        self.health[class].record_success();
        self.last_response_at = now;
        self.consecutive_connect_failures = 0;
        self.concurrency_limit += CONCURRENCY_INCREASE;
        self.recent_answers.push_back(Answer { at: now, class });
    }
}
