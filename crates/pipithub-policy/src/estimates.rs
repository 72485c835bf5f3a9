//! Estimates of run times, load times and slowdowns, from the answers that this front end has got.
//!
//! All are means that weigh a new sample by a fixed gain, with samples capped: one heavy request is
//! no slow worker. Estimates of slowdowns return to the usual when nothing refreshes them, so that
//! no slow period is believed for ever.

use crate::api::{FunctionId, Time};
use crate::front_end::FrontEnd;
use crate::state::{FunctionState, WorkerState};
use crate::time::{MILLISECOND, decay};

/// Run time, as a share of the latency objective, believed of a class before its first answer.
const INITIAL_RUN_TIME: f64 = 0.15;
/// Load time, as a multiple of the latency objective, believed before any load was observed or
/// declared.
const INITIAL_LOAD_TIME: f64 = 1.0;
/// Weight of a new sample in a function's run time: about its last twenty answers.
pub(crate) const RUN_TIME_GAIN: f64 = 0.05;
/// A function's run time counts for no more than this multiple of its class's.
const MAX_RUN_TIME_FACTOR: f64 = 3.0;
/// Weight of a new sample in a worker's slowdown: about its last seven, so that a slowdown shows in
/// time.
pub(crate) const SLOWDOWN_GAIN: f64 = 0.15;
/// A slowdown that no answer refreshes goes half the way back to the usual in this time.
const SLOWDOWN_HALF_LIFE: Time = 3_000 * MILLISECOND;
/// No sample counts for more than this many times what was expected: one heavy request is no slow
/// worker.
pub(crate) const MAX_SAMPLE: f64 = 4.0;
/// Weight of a new sample in load times: loads are few, so each tells much.
const LOAD_TIME_GAIN: f64 = 0.3;
/// No load counts for less than this part of the expected time ...
const MIN_LOAD_SAMPLE: f64 = 0.5;
/// ... nor for more than this multiple of it.
const MAX_LOAD_SAMPLE: f64 = 2.0 * MAX_SAMPLE;
/// An observed load time at most doubles with one load.
const MAX_LOAD_GROWTH: f64 = 2.0;
/// Requests in flight believed of a reporting worker before any report.
const INITIAL_REPORTED_IN_FLIGHT: f64 = 6.0;

/// What is estimated over all workers.
#[derive(Debug, Default)]
pub(crate) struct Estimates {
    /// Mean run time of each class.
    pub(crate) class_run_times: Vec<Option<f64>>,
    /// Observed load times over the declared ones.
    load_slowdown: f64,
    /// When a load was last observed.
    load_observed_at: Time,
    /// Mean load time, for functions that declare none.
    mean_load_time: Option<f64>,
    pub(crate) reported_queues: ReportedQueues,
}

/// Means over answers of workers that had reported a queue.
#[derive(Debug, Default)]
pub(crate) struct ReportedQueues {
    /// The requests in flight that they reported.
    pub(crate) in_flight: f64,
    /// How far runs were slowed down there.
    pub(crate) slowdown: f64,
}

impl Estimates {
    /// The estimates before any answer.
    pub(crate) fn new(classes: usize) -> Self {
        Estimates {
            class_run_times: vec![None; classes],
            load_slowdown: 1.0,
            reported_queues: ReportedQueues {
                in_flight: INITIAL_REPORTED_IN_FLIGHT,
                slowdown: 1.0,
            },
            ..Estimates::default()
        }
    }

    /// Takes in how long a load of a function took.
    pub(crate) fn record_load_time(&mut self, function: &mut FunctionState, took: f64, now: Time) {
        let usual = function
            .declared_load_time
            .map(|declared| declared as f64)
            .or(function.observed_load_time)
            .or(self.mean_load_time);
        if let Some(usual) = usual.filter(|usual| *usual > 0.0) {
            let sample = (took / usual).clamp(MIN_LOAD_SAMPLE, MAX_LOAD_SAMPLE);
            self.load_slowdown += LOAD_TIME_GAIN * (sample - self.load_slowdown);
            self.load_observed_at = now;
        }
        let mean = self.mean_load_time.get_or_insert(took);
        *mean += RUN_TIME_GAIN * (took - *mean);
        let observed = function.observed_load_time.get_or_insert(took);
        *observed = if took > *observed {
            took.min(*observed * MAX_LOAD_GROWTH)
        } else {
            *observed + LOAD_TIME_GAIN * (took - *observed)
        };
    }
}

impl FrontEnd {
    /// What a run of the function takes at a slowdown of 1.
    pub(crate) fn expected_run_time(&self, function: FunctionId, class: usize) -> f64 {
        // Capped, so that no estimate keeps a function out: what is never sent is never learnt
        // again.
        let of_class = self.estimates.class_run_times[class]
            .unwrap_or(self.settings.classes[class].latency_objective as f64 * INITIAL_RUN_TIME);
        self.functions
            .get(&function)
            .and_then(|function| function.run_time)
            .map_or(of_class, |run_time| {
                run_time.min(of_class * MAX_RUN_TIME_FACTOR)
            })
    }

    /// How long loads take beside the usual, from those that were observed.
    pub(crate) fn load_slowdown(&self) -> f64 {
        let age = self.now.saturating_sub(self.estimates.load_observed_at);
        decayed_slowdown(self.estimates.load_slowdown, age)
    }

    /// What a load takes: the declared time at the store's present slowdown, else the longest
    /// observed.
    pub(crate) fn expected_load_time(&self, function: FunctionId, class: usize) -> f64 {
        let function = self.functions.get(&function);
        let slowdown = self.load_slowdown();
        if let Some(declared) = function.and_then(|function| function.declared_load_time) {
            return declared as f64 * slowdown;
        }
        let observed = function
            .and_then(|function| function.observed_load_time)
            .or(self.estimates.mean_load_time);
        observed
            .unwrap_or(self.settings.classes[class].latency_objective as f64 * INITIAL_LOAD_TIME)
            * slowdown
    }
}

impl WorkerState {
    /// Takes in how far a run was slowed down here, and beside how many attempts of this front end.
    pub(crate) fn record_slowdown(&mut self, slowdown: f64, concurrency: f64) {
        self.slowdown += SLOWDOWN_GAIN * (slowdown - self.slowdown);
        self.concurrency += SLOWDOWN_GAIN * (concurrency - self.concurrency);
    }

    /// What a run is slowed down by with so many attempts there: the usual when idle, the slowdown
    /// observed at the concurrency it was observed with, and beyond that in proportion. A worker
    /// that is idle again is soon trusted.
    pub(crate) fn slowdown_at(&self, now: Time, in_flight: usize) -> f64 {
        let age = now.saturating_sub(self.last_response_at);
        let slowdown = decayed_slowdown(self.slowdown, age);
        let part = in_flight as f64 / self.concurrency.max(2.0);
        if part > 1.0 {
            slowdown * part
        } else {
            slowdown.min(1.0) + (slowdown - slowdown.min(1.0)) * part
        }
    }
}

/// A slowdown that was last observed some time ago: it decays to the usual.
fn decayed_slowdown(slowdown: f64, age: Time) -> f64 {
    1.0 + (slowdown - 1.0) * decay(age, SLOWDOWN_HALF_LIFE)
}
