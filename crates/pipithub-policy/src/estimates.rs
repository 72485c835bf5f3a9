//! Estimates of run times and load times, from the answers that this front end has received.
//!
//! All are means that weigh a new sample by a fixed gain, with samples capped: one heavy request
//! does not make a slow worker. The estimate of the store's slowdown returns to 1 when nothing
//! refreshes it, so that no slow period is believed for ever.

use std::collections::BTreeMap;

use crate::api::{Class, FunctionId, Request, Time};
use crate::load_reports::ReportedLoad;
use crate::slowdown;
use crate::time::MAX_DURATION;

/// Run time, as a share of the latency objective, believed of a class before its first answer.
const INITIAL_RUN_TIME: f64 = 0.15;
/// Load time, as a multiple of the latency objective, believed before any load was observed or
/// declared.
const INITIAL_LOAD_TIME: f64 = 1.0;
/// Weight of a new sample in a function's run time: about its last twenty answers.
pub(crate) const RUN_TIME_GAIN: f64 = 0.05;
/// A function's run time counts for no more than this multiple of its class's.
const MAX_RUN_TIME_FACTOR: f64 = 3.0;
/// No sample counts for more than this many times what was expected: one heavy request does not
/// make a slow worker.
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
/// The least slowdown that divides the requests in flight of reporting workers.
const MIN_REPORTED_SLOWDOWN: f64 = 0.1;
/// Weight of a new sample in the number of preferred workers that a function needs in a large
/// deployment.
const PREFERRED_WORKERS_GAIN: f64 = 0.3;
/// The largest number of preferred workers of a function.
const MAX_PREFERRED_WORKERS: f64 = 64.0;

/// A function as this front end knows it.
#[derive(Debug, Default)]
struct FunctionState {
    /// Requests that one replica runs at a time.
    replica_concurrency: u32,
    /// Memory of one replica, in MB.
    memory_mb: f64,
    /// The load time that requests declare.
    declared_load_time: Option<Time>,
    /// The longest load time observed, decaying.
    observed_load_time: Option<f64>,
    /// The mean run time at a slowdown of 1.
    run_time: Option<f64>,
    last_requested_at: Time,
    /// Preferred workers that it needs in a large deployment, of one replica each; under 1 while no
    /// answer has reported its concurrency.
    preferred_workers: f64,
}

/// What is estimated of a class.
#[derive(Debug)]
struct ClassEstimate {
    latency_objective: Time,
    /// The mean run time at a slowdown of 1.
    run_time: Option<f64>,
}

/// Means over answers of workers that had reported a queue.
#[derive(Debug, Default)]
struct ReportedQueues {
    /// The requests in flight that they reported.
    in_flight: f64,
    /// How far runs were slowed down there.
    slowdown: f64,
}

/// One run, as a sample of run times.
pub(crate) struct RunTimeSample {
    pub(crate) class: usize,
    pub(crate) function: FunctionId,
    /// How long the answer took, in nanoseconds.
    pub(crate) elapsed: f64,
    /// The run time that was expected, in nanoseconds.
    pub(crate) expected: f64,
    /// The weight of the sample.
    pub(crate) gain: f64,
    /// By how much the weight is less if the sample is above the mean.
    pub(crate) rise_factor: f64,
}

/// What is estimated over all workers, and what is known of functions.
#[derive(Debug, Default)]
pub(crate) struct Estimates {
    functions: BTreeMap<FunctionId, FunctionState>,
    classes: Vec<ClassEstimate>,
    /// Observed load times over the declared ones.
    load_slowdown: f64,
    /// When a load was last observed.
    load_observed_at: Time,
    /// Mean load time, for functions that declare none.
    mean_load_time: Option<f64>,
    reported_queues: ReportedQueues,
}

impl Estimates {
    /// The estimates before any answer.
    pub(crate) fn new(classes: &[Class]) -> Self {
        let classes = classes.iter().map(|class| ClassEstimate {
            latency_objective: class.latency_objective,
            run_time: None,
        });
        Estimates {
            classes: classes.collect(),
            load_slowdown: 1.0,
            reported_queues: ReportedQueues {
                in_flight: INITIAL_REPORTED_IN_FLIGHT,
                slowdown: 1.0,
            },
            ..Estimates::default()
        }
    }

    /// Records what a request declares of its function.
    pub(crate) fn record_request(&mut self, request: &Request, now: Time) {
        let function = self.functions.entry(request.function).or_default();
        function.replica_concurrency = request.replica_concurrency;
        function.memory_mb = request.memory_mb.max(0.0);
        function.last_requested_at = now;
        if let Some(load_time) = request.load_time.filter(|time| *time > 0) {
            function.declared_load_time = Some(load_time.min(MAX_DURATION));
        }
    }

    /// Forgets the functions that were not requested for this time.
    pub(crate) fn forget_unrequested(&mut self, forget_after: Time, now: Time) {
        self.functions
            .retain(|_, function| function.last_requested_at + forget_after > now);
    }

    /// Whether a function was requested lately.
    pub(crate) fn knows(&self, function: FunctionId) -> bool {
        self.functions.contains_key(&function)
    }

    /// Memory of one replica of a function, in MB; 0 where it is not known.
    pub(crate) fn memory_mb(&self, function: FunctionId) -> f64 {
        self.functions
            .get(&function)
            .map_or(0.0, |function| function.memory_mb)
    }

    /// Requests of a function that one replica runs at a time; 1 where it is not known.
    pub(crate) fn replica_concurrency(&self, function: FunctionId) -> u32 {
        self.functions
            .get(&function)
            .map_or(1, |function| function.replica_concurrency.max(1))
    }

    /// Preferred workers that a function needs in a large deployment; under 1 while no answer has
    /// reported its concurrency.
    pub(crate) fn preferred_workers(&self, function: FunctionId) -> f64 {
        self.functions
            .get(&function)
            .map_or(0.0, |function| function.preferred_workers)
    }

    /// Records how many requests of other front ends an attempt found beside itself.
    ///
    /// The function needs as many preferred workers as it has requests, alike at each of them, over
    /// what one replica runs. A worker adds replicas by itself too, but no cores to run them.
    pub(crate) fn record_function_concurrency(&mut self, function: FunctionId, of_others: f64) {
        if let Some(function) = self.functions.get_mut(&function) {
            let preferred = function.preferred_workers.max(1.0);
            let needed = of_others * preferred / f64::from(function.replica_concurrency.max(1));
            function.preferred_workers = preferred
                + PREFERRED_WORKERS_GAIN * (needed.clamp(1.0, MAX_PREFERRED_WORKERS) - preferred);
        }
    }

    /// What a run of the function takes at a slowdown of 1, in nanoseconds.
    pub(crate) fn run_time(&self, function: FunctionId, class: usize) -> f64 {
        let class = &self.classes[class];
        // Capped, so that no estimate excludes a function for good: what is never forwarded is
        // never learnt again.
        let of_class = class
            .run_time
            .unwrap_or(class.latency_objective as f64 * INITIAL_RUN_TIME);
        self.functions
            .get(&function)
            .and_then(|function| function.run_time)
            .map_or(of_class, |run_time| {
                run_time.min(of_class * MAX_RUN_TIME_FACTOR)
            })
    }

    /// Records a run time for the class and the function.
    pub(crate) fn record_run_time(&mut self, sample: &RunTimeSample) {
        let learn = |mean: &mut f64| {
            let elapsed = sample.elapsed.min(*mean * MAX_SAMPLE);
            let weight = if elapsed > *mean {
                sample.rise_factor
            } else {
                1.0
            };
            *mean += sample.gain * (elapsed - *mean) * weight;
        };
        learn(
            self.classes[sample.class]
                .run_time
                .get_or_insert(sample.elapsed),
        );
        if let Some(function) = self.functions.get_mut(&sample.function) {
            learn(function.run_time.get_or_insert(sample.expected));
        }
    }

    /// How long loads take beside the usual, from those that were observed.
    pub(crate) fn load_slowdown(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.load_observed_at);
        slowdown::decayed(self.load_slowdown, age)
    }

    /// What a load takes, in nanoseconds: the declared time at the store's present slowdown, else
    /// the longest observed.
    pub(crate) fn load_time(&self, function: FunctionId, class: usize, now: Time) -> f64 {
        let function = self.functions.get(&function);
        let slowdown = self.load_slowdown(now);
        if let Some(declared) = function.and_then(|function| function.declared_load_time) {
            return declared as f64 * slowdown;
        }
        let observed = function
            .and_then(|function| function.observed_load_time)
            .or(self.mean_load_time);
        observed.unwrap_or(self.classes[class].latency_objective as f64 * INITIAL_LOAD_TIME)
            * slowdown
    }

    /// Records how long a load of a function took, in nanoseconds; nothing if the function is not
    /// known.
    pub(crate) fn record_load_time(&mut self, function: FunctionId, elapsed: f64, now: Time) {
        let Some(function) = self.functions.get_mut(&function) else {
            return;
        };
        let usual = function
            .declared_load_time
            .map(|declared| declared as f64)
            .or(function.observed_load_time)
            .or(self.mean_load_time);
        if let Some(usual) = usual.filter(|usual| *usual > 0.0) {
            let sample = (elapsed / usual).clamp(MIN_LOAD_SAMPLE, MAX_LOAD_SAMPLE);
            self.load_slowdown += LOAD_TIME_GAIN * (sample - self.load_slowdown);
            self.load_observed_at = now;
        }
        let mean = self.mean_load_time.get_or_insert(elapsed);
        *mean += RUN_TIME_GAIN * (elapsed - *mean);
        let observed = function.observed_load_time.get_or_insert(elapsed);
        *observed = if elapsed > *observed {
            elapsed.min(*observed * MAX_LOAD_GROWTH)
        } else {
            *observed + LOAD_TIME_GAIN * (elapsed - *observed)
        };
    }

    /// Records how far a run was slowed down at a worker that had reported a queue.
    pub(crate) fn record_reported_queue(&mut self, report: &ReportedLoad, slowdown: f64) {
        let queues = &mut self.reported_queues;
        queues.in_flight += RUN_TIME_GAIN * (report.in_flight - queues.in_flight);
        queues.slowdown += RUN_TIME_GAIN * (slowdown.max(1.0) - queues.slowdown);
    }

    /// How far a run is slowed down by the queue of a load report.
    pub(crate) fn reported_slowdown(&self, report: &ReportedLoad) -> f64 {
        let queues = &self.reported_queues;
        let parallel = (queues.in_flight / queues.slowdown.max(MIN_REPORTED_SLOWDOWN)).max(1.0);
        (report.in_flight + 1.0) / parallel
    }
}
