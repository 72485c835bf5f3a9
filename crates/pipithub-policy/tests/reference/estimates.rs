//! Estimates of run times, load times and slowdowns, from the answers that this front end has got.
//!
//! All are means that weigh a new sample by a fixed gain, with samples capped. A slowdown that
//! nothing refreshes decays to the usual, so that no slow period is believed for ever.

use pipithub_policy::api::{FunctionId, Time};

use super::front_end::FrontEnd;
use super::state::WorkerState;
use super::time::MILLISECOND;

/// Run time, as a share of the latency objective, believed of a class before its first answer.
const INITIAL_RUN_TIME: f64 = 0.15;
/// Load time, as a multiple of the latency objective, believed before any load was observed or
/// declared.
const INITIAL_LOAD_TIME: f64 = 1.0;
/// Weight of a new sample in a function's run time: about its last twenty answers.
pub(crate) const RUN_TIME_GAIN: f64 = 0.05;
/// A function's run time counts for no more than this multiple of its class's.
const MAX_RUN_TIME_FACTOR: f64 = 3.0;
/// Weight of a new sample in a worker's slowdown: about its last seven.
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
    /// Mean of the requests in flight that workers had reported before they answered.
    pub(crate) reported_in_flight: f64,
    /// Mean of how far runs were slowed down there.
    pub(crate) reported_slowdown: f64,
}

impl Estimates {
    /// The estimates before any answer.
    pub(crate) fn new(classes: usize) -> Self {
        Estimates {
            class_run_times: vec![None; classes],
            load_slowdown: 1.0,
            reported_in_flight: INITIAL_REPORTED_IN_FLIGHT,
            reported_slowdown: 1.0,
            ..Estimates::default()
        }
    }
}

impl FrontEnd {
    /// What a run of the function takes at a slowdown of 1. Capped, so that no estimate keeps a
    /// function out: what is never sent is never learnt again.
    pub(crate) fn expected_run_time(&self, function: FunctionId, class: usize) -> f64 {
        let objective = self.settings.classes[class].latency_objective as f64;
        let of_class =
            self.estimates.class_run_times[class].unwrap_or(objective * INITIAL_RUN_TIME);
        match self.functions.get(&function).and_then(|f| f.run_time) {
            Some(run_time) => run_time.min(of_class * MAX_RUN_TIME_FACTOR),
            None => of_class,
        }
    }

    /// What a load takes: the declared time at the store's present slowdown, else the longest
    /// observed.
    pub(crate) fn expected_load_time(&self, function: FunctionId, class: usize) -> f64 {
        let function = self.functions.get(&function);
        let slowdown = self.load_slowdown();
        if let Some(declared) = function.and_then(|function| function.declared_load_time) {
            return declared as f64 * slowdown;
        }
        let objective = self.settings.classes[class].latency_objective as f64;
        let observed = function
            .and_then(|function| function.observed_load_time)
            .or(self.estimates.mean_load_time)
            .unwrap_or(objective * INITIAL_LOAD_TIME);
        observed * slowdown
    }

    /// How long loads take beside the usual, from those that were observed.
    pub(crate) fn load_slowdown(&self) -> f64 {
        let age = self.now.saturating_sub(self.estimates.load_observed_at);
        decayed_slowdown(self.estimates.load_slowdown, age)
    }

    /// Takes in how long a load of a function took; nothing is learnt of a forgotten function.
    pub(crate) fn record_load_time(&mut self, function: FunctionId, load_time: f64) {
        let Some(function) = self.functions.get_mut(&function) else {
            return;
        };
        let estimates = &mut self.estimates;
        let usual = function
            .declared_load_time
            .map(|declared| declared as f64)
            .or(function.observed_load_time)
            .or(estimates.mean_load_time);
        if let Some(usual) = usual.filter(|usual| *usual > 0.0) {
            let sample = (load_time / usual).clamp(MIN_LOAD_SAMPLE, MAX_LOAD_SAMPLE);
            estimates.load_slowdown += LOAD_TIME_GAIN * (sample - estimates.load_slowdown);
            estimates.load_observed_at = self.now;
        }
        let mean = estimates.mean_load_time.get_or_insert(load_time);
        *mean += RUN_TIME_GAIN * (load_time - *mean);
        let observed = function.observed_load_time.get_or_insert(load_time);
        *observed = if load_time > *observed {
            load_time.min(*observed * MAX_LOAD_GROWTH)
        } else {
            *observed + LOAD_TIME_GAIN * (load_time - *observed)
        };
    }
}

impl WorkerState {
    /// Takes in how far a run was slowed down here, and beside how many attempts of this front end.
    pub(crate) fn record_slowdown(&mut self, slowdown: f64, concurrency: f64) {
        self.slowdown += SLOWDOWN_GAIN * (slowdown - self.slowdown);
        self.concurrency += SLOWDOWN_GAIN * (concurrency - self.concurrency);
    }

    /// What a run is slowed down by with this many attempts there: the usual when idle, the slowdown
    /// observed at the concurrency it was observed with, and beyond that in proportion.
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

/// A slowdown that was last observed some time ago, decayed to the usual.
fn decayed_slowdown(slowdown: f64, age: Time) -> f64 {
    1.0 + (slowdown - 1.0) * 0.5f64.powf(age as f64 / SLOWDOWN_HALF_LIFE as f64)
}
