//! Load reports of workers: when they are relied on, how they are used, and when a worker is polled
//! before an attempt.
//!
//! With few front ends, each one can judge a worker's queue by its own attempts. With many, these
//! are too small a part of the queue, and load reports are relied on.

use pipithub_policy::api::{Action, LoadReport, RequestId, Time, WorkerId};

use super::front_end::FrontEnd;
use super::state::{PendingRequest, ReportedLoad, WorkerState};
use super::time::MILLISECOND;

/// With more front ends than this, load reports are relied on, as a front end's own attempts show
/// too little of the queues.
const MAX_FRONT_ENDS_WITHOUT_REPORTS: u32 = 8;
/// How long a load report or a response counts as fresh.
pub(crate) const REPORT_LIFETIME: Time = 700 * MILLISECOND;
/// Weight of a new report in the mean number of requests in flight.
const IN_FLIGHT_GAIN: f64 = 0.5;
/// The mean number of requests in flight decays by half in this time. It is long, as functions that
/// keep a worker busy do so for a long time.
const IN_FLIGHT_HALF_LIFE: Time = 20_000 * MILLISECOND;
/// A worker that reports a higher CPU utilization than this has a queue: it gets a request only if
/// no other worker takes it.
const MAX_CPU_UTILIZATION: f64 = 0.95;
/// Marks the timers of requests that wait for a load report; request ids are below it.
pub(crate) const POLL_TIMEOUT_TOKEN: u64 = 1 << 61;
/// How long a request waits for a load report.
const POLL_TIMEOUT: Time = 30 * MILLISECOND;
/// How often a request may wait for a load report.
const MAX_POLLS_PER_REQUEST: u32 = 3;
/// The part of a request's value that a poll saves, as a multiple of the probability that one
/// worker fails the request and the next one does not.
const POLL_SAVING: f64 = 0.2;

impl FrontEnd {
    /// Whether load reports are relied on.
    pub(crate) fn relies_on_load_reports(&self) -> bool {
        self.settings.front_ends > MAX_FRONT_ENDS_WITHOUT_REPORTS
    }

    /// Records a worker's load report, and routes the requests that waited for it. `None` counts as
    /// the highest load.
    pub(crate) fn record_load_report(
        &mut self,
        worker_id: &WorkerId,
        report: Option<LoadReport>,
        actions: &mut Vec<Action>,
    ) {
        if let Some(worker) = self.workers.get_mut(worker_id) {
            worker.record_load_report(report, self.now);
        }
        let waiting =
            self.pending_where(|pending| pending.polled_worker.as_ref() == Some(worker_id));
        for id in waiting {
            if let Some(pending) = self.pending.get_mut(&id) {
                pending.polled_worker = None;
            }
            self.route(id, actions);
        }
    }

    /// Whether a worker has to be polled before this request is sent there: neither its last report
    /// nor its last response is fresh, and a poll is worth its cost.
    pub(crate) fn needs_poll(&self, worker: &WorkerState, pending: &PendingRequest) -> bool {
        let last_heard_at = worker.load_report.received_at.max(worker.last_response_at);
        self.relies_on_load_reports()
            && self.now > REPORT_LIFETIME + last_heard_at
            && self.poll_is_worthwhile()
            && pending.load_polls < MAX_POLLS_PER_REQUEST
    }

    /// Whether a poll before an attempt saves more than it costs.
    ///
    /// An attempt shows the same as a poll, and a rejected attempt proves that nothing ran. So a
    /// poll can save only a part of the value that attempts lose, and less of it if attempts at the
    /// next worker lose much value too.
    fn poll_is_worthwhile(&self) -> bool {
        self.settings.limits.load_polls
            && self.mean_lost_value * (1.0 - self.mean_lost_value) * POLL_SAVING
                >= self.settings.costs.load_poll
    }

    /// Polls a worker for its load before a request is sent there; the request waits.
    pub(crate) fn poll_load(&mut self, id: RequestId, worker: WorkerId, actions: &mut Vec<Action>) {
        actions.push(Action::PollLoad {
            worker: worker.clone(),
        });
        actions.push(Action::SetTimer {
            after: POLL_TIMEOUT,
            token: id.0 | POLL_TIMEOUT_TOKEN,
        });
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.polled_worker = Some(worker);
            pending.load_polls += 1;
        }
    }

    /// Records the highest load for a worker that has not answered a poll in time.
    pub(crate) fn expire_poll(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let polled = self
            .pending
            .get(&id)
            .and_then(|pending| pending.polled_worker.clone());
        if let Some(worker) = polled {
            self.record_load_report(&worker, None, actions);
        }
    }

    /// The slowdown of a run at a worker by the queue that the worker has reported; 1 if the report
    /// is not fresh, or if a response has come since, which shows more.
    pub(crate) fn reported_slowdown(&self, worker: &WorkerState) -> f64 {
        let report = &worker.load_report;
        if self.now > report.received_at + REPORT_LIFETIME
            || worker.last_response_at >= report.received_at
            || !self.relies_on_load_reports()
        {
            return 1.0;
        }
        let estimates = &self.estimates;
        // The number of requests that a worker is estimated to run at once without a slowdown.
        let unslowed_concurrency =
            (estimates.reported_in_flight / estimates.reported_slowdown.max(0.1)).max(1.0);
        (report.in_flight + 1.0) / unslowed_concurrency
    }

    /// Whether the worker's cores are busy by a fresh load report.
    pub(crate) fn reports_busy_cores(&self, worker: &WorkerState) -> bool {
        let report = &worker.load_report;
        self.relies_on_load_reports()
            && self.now < report.received_at + REPORT_LIFETIME
            && report.cpu_utilization > MAX_CPU_UTILIZATION
    }

    /// The number of requests that a worker usually has in flight by its reports, at least 1; it
    /// decays to 1 as the last report gets older.
    pub(crate) fn usual_in_flight(&self, worker: &WorkerState) -> f64 {
        let report = &worker.load_report;
        let age = self.now.saturating_sub(report.received_at);
        1.0 + (report.mean_in_flight - 1.0).max(0.0) * decay(age)
    }
}

impl WorkerState {
    /// Replaces the last report. A report that does not state the requests in flight leaves their
    /// mean as it is; `None` counts as an infinite number of requests in flight.
    fn record_load_report(&mut self, report: Option<LoadReport>, now: Time) {
        let last = self.load_report;
        let reported = report
            .and_then(|report| report.in_flight)
            .filter(|in_flight| in_flight.is_finite());
        let mean_in_flight = match reported {
            Some(in_flight) if last.received_at > 0 => {
                let before = last.mean_in_flight * decay(now.saturating_sub(last.received_at));
                before + IN_FLIGHT_GAIN * (in_flight - before)
            }
            first => first.unwrap_or(last.mean_in_flight),
        };
        let (in_flight, cpu_utilization) = match report {
            Some(report) => (
                report.in_flight.unwrap_or(0.0),
                report.cpu_utilization.unwrap_or(0.0),
            ),
            None => (f64::INFINITY, 0.0),
        };
        self.load_report = ReportedLoad {
            received_at: now,
            in_flight,
            cpu_utilization,
            mean_in_flight,
        };
    }
}

/// The factor by which a mean number of requests in flight has decayed at this age.
fn decay(age: Time) -> f64 {
    0.5f64.powf(age as f64 / IN_FLIGHT_HALF_LIFE as f64)
}
