//! Load reports of workers: what is taken from them, when they are relied on, and when a worker is
//! polled.
//!
//! Among few front ends each one's own attempts tell the queue of a worker; among many they are too
//! small a part of it, and the reports are taken in (`docs/design.md`, "What was changed, and
//! why").

use crate::api::{Action, LoadReport, RequestId, Time, WorkerId};
use crate::front_end::FrontEnd;
use crate::state::{ReportedLoad, WorkerState};
use crate::time::{MILLISECOND, decay};

/// Among more front ends than this, a front end's own attempts tell too little of the queues.
const MAX_FRONT_ENDS_WITHOUT_REPORTS: u32 = 8;
/// A load report, or an answer, is fresh for so long.
pub(crate) const REPORT_LIFETIME: Time = 700 * MILLISECOND;
/// Weight of a new report in the mean of the requests in flight.
const IN_FLIGHT_GAIN: f64 = 0.5;
/// That mean decays by half in this time: functions that load a worker do so for long.
pub(crate) const IN_FLIGHT_HALF_LIFE: Time = 20_000 * MILLISECOND;
/// Marks the timers of requests that wait for a load report; request ids stay far below.
pub(crate) const POLL_TIMEOUT_TOKEN: u64 = 1 << 61;
/// How long a request waits for a load report.
const POLL_TIMEOUT: Time = 30 * MILLISECOND;
/// How often a request may wait for one.
const MAX_POLLS_PER_REQUEST: u32 = 3;
/// What a poll saves of a request's value, as a multiple of the chance that one worker fails it and
/// the next does not.
const POLL_SAVING: f64 = 0.2;

impl FrontEnd {
    /// Takes in a worker's load report, the worst load where it gave none; requests that waited for
    /// it are routed.
    pub(crate) fn record_load_report(
        &mut self,
        worker: &WorkerId,
        report: Option<LoadReport>,
        actions: &mut Vec<Action>,
    ) {
        if let Some(mut worker) = self.workers.get_mut(worker) {
            worker.record_load_report(report, self.now);
        }
        for id in self.awaiting_load_report.remove(worker).unwrap_or_default() {
            if let Some(pending) = self.pending.get_mut(&id) {
                pending.polled_worker = None;
            }
            self.route(id, actions);
        }
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
        self.awaiting_load_report
            .entry(worker.clone())
            .or_default()
            .insert(id);
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.polled_worker = Some(worker);
            pending.load_polls += 1;
        }
    }

    /// Takes a worker that has not answered a poll in time for loaded.
    pub(crate) fn expire_poll(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let polled = self
            .pending
            .get(&id)
            .and_then(|pending| pending.polled_worker.clone());
        if let Some(worker) = polled {
            self.record_load_report(&worker, None, actions);
        }
    }

    /// Whether load reports are relied on: this front end's attempts are too small a part of the
    /// queues.
    pub(crate) fn relies_on_load_reports(&self) -> bool {
        self.settings.front_ends > MAX_FRONT_ENDS_WITHOUT_REPORTS
    }

    /// Whether a request that polled so often may poll once more.
    pub(crate) fn may_poll(&self, load_polls: u32) -> bool {
        self.poll_is_worthwhile() && load_polls < MAX_POLLS_PER_REQUEST
    }

    /// Whether a poll before an attempt saves more than it costs.
    ///
    /// An attempt tells the same, and a rejected one proves that nothing ran; so only a part of the
    /// value that attempts lose can be saved, the less the more is lost at the next worker too. In
    /// a large deployment each request met a worker without a fresh report, so that all polled for
    /// every request, whatever it cost. The price: where polls are dear, a silent worker is found
    /// by requests alone.
    fn poll_is_worthwhile(&self) -> bool {
        self.settings.limits.load_polls
            && self.mean_lost_value * (1.0 - self.mean_lost_value) * POLL_SAVING
                >= self.settings.costs.load_poll
    }

    /// How far a run at a worker is slowed down by the queue that a fresh report tells of; an
    /// answer since then tells more.
    pub(crate) fn reported_slowdown(&self, worker: &WorkerState) -> f64 {
        let report = &worker.load_report;
        if !report.is_fresh(self.now)
            || worker.last_response_at >= report.received_at
            || !self.relies_on_load_reports()
        {
            return 1.0;
        }
        let queues = &self.estimates.reported_queues;
        let at_once = (queues.in_flight / queues.slowdown.max(0.1)).max(1.0);
        (report.in_flight + 1.0) / at_once
    }

    /// What a worker usually has in flight by its reports; one request where they are long past.
    pub(crate) fn usual_in_flight(&self, worker: &WorkerState) -> f64 {
        let report = &worker.load_report;
        let age = self.now.saturating_sub(report.received_at);
        1.0 + (report.mean_in_flight - 1.0).max(0.0) * decay(age, IN_FLIGHT_HALF_LIFE)
    }
}

impl ReportedLoad {
    /// Whether it tells of the present load.
    pub(crate) fn is_fresh(&self, now: Time) -> bool {
        now <= self.received_at + REPORT_LIFETIME
    }
}

impl WorkerState {
    fn record_load_report(&mut self, report: Option<LoadReport>, now: Time) {
        let reported = report
            .and_then(|report| report.in_flight)
            .filter(|in_flight| in_flight.is_finite());
        let mean_in_flight = match reported {
            Some(in_flight) if self.load_report.received_at > 0 => {
                let age = now.saturating_sub(self.load_report.received_at);
                let before = self.load_report.mean_in_flight * decay(age, IN_FLIGHT_HALF_LIFE);
                before + IN_FLIGHT_GAIN * (in_flight - before)
            }
            first => first.unwrap_or(self.load_report.mean_in_flight),
        };
        let report = report.unwrap_or(LoadReport {
            in_flight: Some(f64::INFINITY),
            ..LoadReport::default()
        });
        self.load_report = ReportedLoad {
            received_at: now,
            in_flight: report.in_flight.unwrap_or(0.0),
            cpu_utilization: report.cpu_utilization.unwrap_or(0.0),
            mean_in_flight,
        };
    }
}
