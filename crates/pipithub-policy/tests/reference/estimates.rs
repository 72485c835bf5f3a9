//! Estimates of run times, load times and slowdowns, from the answers that this front end has
//! received.
//!
//! Most are means to which each new sample contributes with a fixed weight, the gain, and samples
//! are capped. A slowdown that no new sample confirms decays to 1, so that a slow period does not
//! count for ever.

use pipithub_policy::api::{FunctionId, Time};

use super::front_end::FrontEnd;
use super::state::WorkerState;
use super::time::MILLISECOND;

/// Run time that is assumed for a class before its first answer, as a share of the latency
/// objective.
const INITIAL_RUN_TIME: f64 = 0.15;
/// Load time that is assumed before any load was observed or declared, as a multiple of the latency
/// objective.
const INITIAL_LOAD_TIME: f64 = 1.0;
/// Weight of a new sample in a run time: about the last twenty answers count.
pub(crate) const RUN_TIME_GAIN: f64 = 0.05;
/// The largest multiple of its class's run time that a function's run time counts as.
const MAX_RUN_TIME_FACTOR: f64 = 3.0;
/// Weight of a new sample in a worker's slowdown: about the last seven samples count.
pub(crate) const SLOWDOWN_GAIN: f64 = 0.15;
/// The time in which a slowdown that no answer confirms decays half the way to 1.
const SLOWDOWN_HALF_LIFE: Time = 3_000 * MILLISECOND;
/// The largest multiple of the expected time that a sample counts as: one request that takes long
/// does not make a worker slow.
pub(crate) const MAX_SAMPLE: f64 = 4.0;
/// Weight of a new sample in load times; it is large, as there are few loads.
const LOAD_TIME_GAIN: f64 = 0.3;
/// The least share of the usual load time that a load counts as.
const MIN_LOAD_SAMPLE: f64 = 0.5;
/// The largest multiple of the usual load time that a load counts as.
const MAX_LOAD_SAMPLE: f64 = 2.0 * MAX_SAMPLE;
/// The largest factor by which one load raises a function's observed load time.
const MAX_LOAD_GROWTH: f64 = 2.0;
/// Requests in flight that a reporting worker is assumed to have before any report.
const INITIAL_REPORTED_IN_FLIGHT: f64 = 6.0;

/// What is estimated over all workers.
#[derive(Debug, Default)]
pub(crate) struct Estimates {
    /// Mean run time of each class, in nanoseconds; `None` before its first answer.
    pub(crate) class_run_times: Vec<Option<f64>>,
    /// Mean ratio of observed load times to the usual ones.
    load_slowdown: f64,
    /// When a load was last observed.
    load_observed_at: Time,
    /// Mean load time of all functions, in nanoseconds, for those without one of their own; `None`
    /// before the first load.
    mean_load_time: Option<f64>,
    /// Mean number of requests in flight that workers with a queue had reported before they
    /// answered.
    pub(crate) reported_in_flight: f64,
    /// Mean slowdown of the runs that these workers answered.
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
    /// The expected run time of the function at a slowdown of 1, in nanoseconds. It is capped, so
    /// that a wrong estimate cannot keep all requests for the function from being sent: then no
    /// answer would correct it.
    pub(crate) fn expected_run_time(&self, function: FunctionId, class: usize) -> f64 {
        let objective = self.settings.classes[class].latency_objective as f64;
        let of_class =
            self.estimates.class_run_times[class].unwrap_or(objective * INITIAL_RUN_TIME);
        match self.functions.get(&function).and_then(|f| f.run_time) {
            Some(run_time) => run_time.min(of_class * MAX_RUN_TIME_FACTOR),
            None => of_class,
        }
    }

    /// The expected time of a load, in nanoseconds: the declared load time, or else the observed
    /// one, at the present slowdown of loads.
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

    /// The ratio of present load times to the usual ones, from the loads that were observed.
    pub(crate) fn load_slowdown(&self) -> f64 {
        let age = self.now.saturating_sub(self.estimates.load_observed_at);
        decayed_slowdown(self.estimates.load_slowdown, age)
    }

    /// Records how long a load of a function took, in nanoseconds; nothing is recorded for a
    /// function that was forgotten.
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
    /// Records the slowdown of a run at the worker, and the number of this front end's attempts
    /// there when the run's attempt was sent, itself included.
    pub(crate) fn record_slowdown(&mut self, slowdown: f64, concurrency: f64) {
        self.slowdown += SLOWDOWN_GAIN * (slowdown - self.slowdown);
        self.concurrency += SLOWDOWN_GAIN * (concurrency - self.concurrency);
    }

    /// The expected slowdown with this number of attempts at the worker: 1 or less when idle, the
    /// observed slowdown at the concurrency with which it was observed, and in proportion beyond.
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

/// A slowdown that was last observed `age` ago, decayed towards 1.
fn decayed_slowdown(slowdown: f64, age: Time) -> f64 {
    1.0 + (slowdown - 1.0) * 0.5f64.powf(age as f64 / SLOWDOWN_HALF_LIFE as f64)
}
