//! Load reports of workers: what is taken from them, when they are relied on, and when a worker is
//! polled.
//!
//! Among few front ends each one's own attempts tell the queue of a worker; among many they are too
//! small a part of it, and the reports are taken in (`docs/design.md`, "What was changed, and
//! why").

use crate::api::{LoadReport, Settings, Time};
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
impl Settings {
    /// Whether load reports are relied on, as this front end's own attempts are too small a part of
    /// the workers' queues.
    pub(crate) fn relies_on_load_reports(&self) -> bool {
        self.front_ends > MAX_FRONT_ENDS_WITHOUT_REPORTS
    }
}

impl FrontEnd {
    /// Whether this front end relies on load reports.
    pub(crate) fn relies_on_load_reports(&self) -> bool {
        self.settings.relies_on_load_reports()
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

    /// Takes in a load report; `None`, after a poll that was not answered, counts as the worst load.
    pub(crate) fn record(&mut self, report: Option<LoadReport>, now: Time) {
        let reported = report
            .and_then(|report| report.in_flight)
            .filter(|in_flight| in_flight.is_finite());
        let mean_in_flight = match reported {
            Some(in_flight) if self.received_at > 0 => {
                let age = now.saturating_sub(self.received_at);
                let before = self.mean_in_flight * decay(age, IN_FLIGHT_HALF_LIFE);
                before + IN_FLIGHT_GAIN * (in_flight - before)
            }
            first => first.unwrap_or(self.mean_in_flight),
        };
        let report = report.unwrap_or(LoadReport {
            in_flight: Some(f64::INFINITY),
            ..LoadReport::default()
        });
        *self = ReportedLoad {
            received_at: now,
            in_flight: report.in_flight.unwrap_or(0.0),
            cpu_utilization: report.cpu_utilization.unwrap_or(0.0),
            mean_in_flight,
        };
    }
}
