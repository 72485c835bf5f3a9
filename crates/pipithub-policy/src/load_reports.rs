//! Load reports of workers: the values that are kept of them, and when they are relied on.
//!
//! With few front ends, each one can estimate a worker's queue from its own attempts. With many front
//! ends these are too small a part of the queue, and load reports are used (`docs/design.md`, "What
//! was changed, and why").

use crate::api::{LoadReport, Settings, Time};
use crate::time::{MILLISECOND, decay};

/// The largest number of front ends with which a front end's own attempts are enough to estimate the
/// queues of the workers.
const MAX_FRONT_ENDS_WITHOUT_REPORTS: u32 = 8;
/// How long a load report, or a response, is fresh.
pub(crate) const REPORT_LIFETIME: Time = 700 * MILLISECOND;
/// The weight of a new report in the mean of the requests in flight.
const IN_FLIGHT_GAIN: f64 = 0.5;
/// The half-life of that mean. It is long because a function that puts load on a worker does so for a
/// long time.
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
    /// When the report was received; 0 if there was none.
    pub(crate) received_at: Time,
    /// The number of requests in flight at the worker; infinite after a poll that was not answered.
    pub(crate) in_flight: f64,
    /// The utilization of the worker's cores, from 0 to 1.
    pub(crate) cpu_utilization: f64,
    /// The mean of the requests in flight over a longer time.
    pub(crate) mean_in_flight: f64,
}

impl ReportedLoad {
    /// Whether the report is recent enough to represent the current load.
    pub(crate) fn is_fresh(&self, now: Time) -> bool {
        now <= self.received_at + REPORT_LIFETIME
    }

    /// The number of requests that the worker usually has in flight, at least one. It decays to one
    /// with the age of the last report.
    pub(crate) fn usual_in_flight(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.received_at);
        1.0 + (self.mean_in_flight - 1.0).max(0.0) * decay(age, IN_FLIGHT_HALF_LIFE)
    }

    /// Records a load report. `None` means that a poll was not answered, and counts as the highest
    /// load.
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
