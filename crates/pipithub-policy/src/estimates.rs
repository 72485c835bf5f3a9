//! Estimates of run times and load times, from the answers that this front end has received.
//!
//! The estimates are means that weigh each new sample by a fixed gain. Samples are capped, so that one
//! heavy request does not make a worker look slow. The estimate of the store's slowdown decays to 1
//! when no load refreshes it, so that a slow period is not assumed to last for ever.

use std::collections::BTreeMap;

use crate::api::{Class, FunctionId, Request, Time};
use crate::load_reports::ReportedLoad;
use crate::slowdown;
use crate::time::MAX_DURATION;

/// The run time that is assumed for a class before its first answer, as a share of its latency
/// objective.
const INITIAL_RUN_TIME: f64 = 0.15;
/// The load time that is assumed before any load was observed or declared, as a multiple of the
/// latency objective.
const INITIAL_LOAD_TIME: f64 = 1.0;
/// The weight of a new sample in a function's run time: about the last twenty answers count.
pub(crate) const RUN_TIME_GAIN: f64 = 0.05;
/// A function's run time counts for no more than this multiple of its class's.
const MAX_RUN_TIME_FACTOR: f64 = 3.0;
/// The largest multiple of the expected time that a sample counts for, so that one heavy request does
/// not make a worker look slow.
pub(crate) const MAX_SAMPLE: f64 = 4.0;
/// The weight of a new sample in load times. It is large because there are few loads.
const LOAD_TIME_GAIN: f64 = 0.3;
/// The least share of the usual load time that a sample of the store's slowdown counts for.
const MIN_LOAD_SAMPLE: f64 = 0.5;
/// The largest multiple of the usual load time that a sample of the store's slowdown counts for.
const MAX_LOAD_SAMPLE: f64 = 2.0 * MAX_SAMPLE;
/// The largest factor by which one load increases the observed load time.
const MAX_LOAD_GROWTH: f64 = 2.0;
/// The requests in flight that are assumed at a worker with a queue before any report.
const INITIAL_REPORTED_IN_FLIGHT: f64 = 6.0;
/// The least slowdown by which the mean of the reported requests in flight is divided.
const MIN_REPORTED_SLOWDOWN: f64 = 0.1;
/// The weight of a new sample in the number of preferred workers that a function needs in a large
/// deployment.
const PREFERRED_WORKERS_GAIN: f64 = 0.3;
/// The largest number of preferred workers of a function.
const MAX_PREFERRED_WORKERS: f64 = 64.0;

/// The data and estimates of one function.
#[derive(Debug, Default)]
struct FunctionState {
    /// The number of requests that one replica runs at a time.
    replica_concurrency: u32,
    /// Memory of one replica, in MB.
    memory_mb: f64,
    /// The load time that requests declare, in nanoseconds; `None` if none has declared one.
    declared_load_time: Option<Time>,
    /// The observed load time in nanoseconds, which rises faster than it falls; `None` before the
    /// first load.
    observed_load_time: Option<f64>,
    /// The mean run time at a slowdown of 1, in nanoseconds; `None` before the first sample.
    run_time: Option<f64>,
    last_requested_at: Time,
    /// The number of preferred workers that the function needs in a large deployment, of one replica
    /// each; under 1 while no answer has reported the function's concurrency.
    preferred_workers: f64,
}

/// The estimates for a class.
#[derive(Debug)]
struct ClassEstimate {
    latency_objective: Time,
    /// The mean run time at a slowdown of 1, in nanoseconds; `None` before the first sample.
    run_time: Option<f64>,
}

/// Means over the answers of workers that had reported a queue.
#[derive(Debug, Default)]
struct ReportedQueues {
    /// The requests in flight that the workers had reported.
    in_flight: f64,
    /// The slowdown of runs at these workers.
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
    /// The factor on the weight if the sample is above the mean.
    pub(crate) rise_factor: f64,
}

/// The estimates over all workers, and the known functions.
#[derive(Debug, Default)]
pub(crate) struct Estimates {
    functions: BTreeMap<FunctionId, FunctionState>,
    classes: Vec<ClassEstimate>,
    /// The mean ratio of load times to the usual ones.
    load_slowdown: f64,
    /// When `load_slowdown` was last updated.
    load_observed_at: Time,
    /// The mean load time in nanoseconds, for functions without a declared or observed one; `None`
    /// before the first load.
    mean_load_time: Option<f64>,
    reported_queues: ReportedQueues,
}

impl Estimates {
    /// Creates the estimates that hold before the first answer.
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

    /// Records the data that a request declares for its function.
    pub(crate) fn record_request(&mut self, request: &Request, now: Time) {
        let function = self.functions.entry(request.function).or_default();
        function.replica_concurrency = request.replica_concurrency;
        function.memory_mb = request.memory_mb.max(0.0);
        function.last_requested_at = now;
        if let Some(load_time) = request.load_time.filter(|time| *time > 0) {
            function.declared_load_time = Some(load_time.min(MAX_DURATION));
        }
    }

    /// Forgets the functions that were not requested within the last `forget_after`.
    pub(crate) fn forget_unrequested(&mut self, forget_after: Time, now: Time) {
        self.functions
            .retain(|_, function| function.last_requested_at + forget_after > now);
    }

    /// Whether a function was requested lately.
    pub(crate) fn knows(&self, function: FunctionId) -> bool {
        self.functions.contains_key(&function)
    }

    /// Memory of one replica of a function, in MB; 0 if it is not known.
    pub(crate) fn memory_mb(&self, function: FunctionId) -> f64 {
        self.functions
            .get(&function)
            .map_or(0.0, |function| function.memory_mb)
    }

    /// The number of a function's requests that one replica runs at a time; 1 if it is not known.
    pub(crate) fn replica_concurrency(&self, function: FunctionId) -> u32 {
        self.functions
            .get(&function)
            .map_or(1, |function| function.replica_concurrency.max(1))
    }

    /// The number of preferred workers that a function needs in a large deployment; under 1 while no
    /// answer has reported the function's concurrency.
    pub(crate) fn preferred_workers(&self, function: FunctionId) -> f64 {
        self.functions
            .get(&function)
            .map_or(0.0, |function| function.preferred_workers)
    }

    /// Records how many requests of other front ends were in flight at an attempt's worker.
    ///
    /// The same number is assumed at each of the function's preferred workers. The function needs
    /// enough preferred workers to run all of these requests with one replica each. A worker may also
    /// add replicas by itself, but has no further cores to run them.
    pub(crate) fn record_function_concurrency(&mut self, function: FunctionId, of_others: f64) {
        if let Some(function) = self.functions.get_mut(&function) {
            let preferred = function.preferred_workers.max(1.0);
            let needed = of_others * preferred / f64::from(function.replica_concurrency.max(1));
            function.preferred_workers = preferred
                + PREFERRED_WORKERS_GAIN * (needed.clamp(1.0, MAX_PREFERRED_WORKERS) - preferred);
        }
    }

    /// The expected run time of the function at a slowdown of 1, in nanoseconds.
    pub(crate) fn run_time(&self, function: FunctionId, class: usize) -> f64 {
        let class = &self.classes[class];
        // The run time is capped so that no estimate excludes a function forever: without forwarded
        // requests the estimate would never be corrected.
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

    /// The ratio of current load times to the usual ones, decayed towards 1 since the last load.
    pub(crate) fn load_slowdown(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.load_observed_at);
        slowdown::decayed(self.load_slowdown, age)
    }

    /// The expected load time in nanoseconds, at the store's current slowdown: from the declared time
    /// of the function, or else from its observed time, the mean of all functions or the latency
    /// objective.
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

    /// Records how long a load of a function took, in nanoseconds. Does nothing if the function is not
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

    /// Records the slowdown of a run at a worker that had reported a queue.
    pub(crate) fn record_reported_queue(&mut self, report: &ReportedLoad, slowdown: f64) {
        let queues = &mut self.reported_queues;
        queues.in_flight += RUN_TIME_GAIN * (report.in_flight - queues.in_flight);
        queues.slowdown += RUN_TIME_GAIN * (slowdown.max(1.0) - queues.slowdown);
    }

    /// The slowdown of a run that follows from the queue in a load report.
    pub(crate) fn reported_slowdown(&self, report: &ReportedLoad) -> f64 {
        let queues = &self.reported_queues;
        let parallel = (queues.in_flight / queues.slowdown.max(MIN_REPORTED_SLOWDOWN)).max(1.0);
        (report.in_flight + 1.0) / parallel
    }
}
