//! Load reports of workers and polls for them.

use crate::api::{Action, LoadReport, Time, WorkerId};
use crate::front_end::{FrontEnd, MILLISECOND};
use crate::state::{ReportedLoad, WorkerState};

/// Among more front ends than this, own sends tell too little of the queues.
const MAX_FRONT_ENDS_WITHOUT_REPORTS: u32 = 8;
/// Word of a worker's load, or an answer from it, is fresh for so long.
pub(crate) const REPORT_LIFETIME: Time = 700 * MILLISECOND;
/// At a worker that tells of more calls than the average, this power of the average over its own is the share
/// of front ends that still begin there; the rest begin at one of so many next in the order. What it tells
/// sinks in by this weight and fades by half in this time: a crowd of functions lasts.
const IN_FLIGHT_GAIN: f64 = 0.5;
/// At a worker that tells of more calls than the average, this power of the average over its own is the share
/// of front ends that still begin there; the rest begin at one of so many next in the order. What it tells
/// sinks in by this weight and fades by half in this time: a crowd of functions lasts.
pub(crate) const IN_FLIGHT_HALF_LIFE: Time = 20_000 * MILLISECOND;
/// Marks the timers of calls that wait for a probe; how long they wait; how often for each call.
pub(crate) const POLL_TIMEOUT_TOKEN: u64 = 1 << 61;
/// Marks the timers of calls that wait for a probe; how long they wait; how often for each call.
pub(crate) const POLL_TIMEOUT: Time = 30 * MILLISECOND;
/// Marks the timers of calls that wait for a probe; how long they wait; how often for each call.
pub(crate) const MAX_POLLS_PER_REQUEST: u32 = 3;
/// What asking first saves of a call's worth, as a multiple of the chance that one worker fails it and the
/// next does not.
const POLL_SAVING: f64 = 0.2;

impl FrontEnd {
    /// Notes what a worker tells of its load, the worst where it keeps silent; calls that waited to hear it
    /// are placed.
    pub(crate) fn record_load_report(
        &mut self,
        worker: &WorkerId,
        load: Option<LoadReport>,
        actions: &mut Vec<Action>,
    ) {
        if let Some(mut node) = self.workers.get_mut(worker) {
            let usual = match load.and_then(|l| l.in_flight).filter(|h| h.is_finite()) {
                Some(held) if node.load_report.received_at > 0 => {
                    let age = self.now.saturating_sub(node.load_report.received_at) as f64;
                    let before = node.load_report.mean_in_flight
                        * 0.5f64.powf(age / IN_FLIGHT_HALF_LIFE as f64);
                    before + IN_FLIGHT_GAIN * (held - before)
                }
                held => held.unwrap_or(node.load_report.mean_in_flight),
            };
            let load = load.unwrap_or(LoadReport {
                in_flight: Some(f64::INFINITY),
                ..LoadReport::default()
            });
            let (held, busy) = (
                load.in_flight.unwrap_or(0.0),
                load.cpu_utilization.unwrap_or(0.0),
            );
            node.load_report = ReportedLoad {
                received_at: self.now,
                in_flight: held,
                cpu_utilization: busy,
                mean_in_flight: usual,
            };
        }
        for id in self.awaiting_load_report.remove(worker).unwrap_or_default() {
            self.pending
                .entry(id)
                .and_modify(|o| o.polled_worker = None);
            self.route(id, actions);
        }
    }

    /// Whether this front end's own sends are too small a part of the queues to tell of them.
    pub(crate) fn relies_on_load_reports(&self) -> bool {
        self.settings.front_ends > MAX_FRONT_ENDS_WITHOUT_REPORTS
    }

    /// Whether asking first pays. Trying a worker tells the same, and a call turned away proves that nothing
    /// ran; so only a part of what own sends lose can be saved, the less the more is lost at the next worker
    /// too. In a large tier each call met a worker that was not heard of lately, so that all asked for every
    /// call, whatever it cost. Harm: where asking is dear a silent worker is found by calls alone.
    pub(crate) fn poll_is_worthwhile(&self) -> bool {
        self.settings.limits.load_polls
            && self.mean_lost_value * (1.0 - self.mean_lost_value) * POLL_SAVING
                >= self.settings.costs.load_poll
    }

    /// How far fresh word of a worker's load stretches a run there; an own answer since tells more.
    pub(crate) fn reported_slowdown(&self, node: &WorkerState) -> f64 {
        let ReportedLoad {
            received_at: at,
            in_flight: held,
            ..
        } = node.load_report;
        if self.now > at + REPORT_LIFETIME
            || node.last_response_at >= at
            || !self.relies_on_load_reports()
        {
            return 1.0;
        }
        let at_once = (self.reported_queues.0 / self.reported_queues.1.max(0.1)).max(1.0);
        (held + 1.0) / at_once
    }
}
