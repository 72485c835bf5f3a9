//! Load reports of workers: what is taken from them, and when they are relied on.
//!
//! Among few front ends each one's own attempts tell the queue of a worker; among many they are too
//! small a part of it, and the reports are taken in (`docs/design.md`, "What was changed, and
//! why").

use crate::api::{LoadReport, Settings, Time};
use crate::time::{MILLISECOND, decay};

/// Among more front ends than this, a front end's own attempts tell too little of the queues.
const MAX_FRONT_ENDS_WITHOUT_REPORTS: u32 = 8;
/// A load report, or an answer, is fresh for this time.
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

/// The last load report of a worker.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReportedLoad {
    /// When it came; 0 where none has.
    pub(crate) received_at: Time,
    /// Requests in flight at the worker; infinite after a poll that was not answered.
    pub(crate) in_flight: f64,
    /// How busy its cores were, 0 to 1.
    pub(crate) cpu_utilization: f64,
    /// The mean of the requests in flight over a longer time.
    pub(crate) mean_in_flight: f64,
}

impl ReportedLoad {
    /// Whether it tells the present load.
    pub(crate) fn is_fresh(&self, now: Time) -> bool {
        now <= self.received_at + REPORT_LIFETIME
    }

    /// What the worker usually has in flight; one request where its reports are long past.
    pub(crate) fn usual_in_flight(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.received_at);
        1.0 + (self.mean_in_flight - 1.0).max(0.0) * decay(age, IN_FLIGHT_HALF_LIFE)
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
