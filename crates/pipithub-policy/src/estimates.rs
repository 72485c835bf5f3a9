//! Estimates of run times, load times and slowdowns.

use crate::api::{FunctionId, Time};
use crate::front_end::{FrontEnd, MILLISECOND};
use crate::state::WorkerState;

/// Run time, as a share of the aim, believed of a class before its first answer.
const INITIAL_RUN_TIME: f64 = 0.15;
/// Load time, as a multiple of the aim, believed before any load was seen or told.
const INITIAL_LOAD_TIME: f64 = 1.0;
/// Weight of a new sample in a function's run time: about its last twenty answers; and, in a large tier, of
/// one above the mean beside one below it.
pub(crate) const RUN_TIME_GAIN: f64 = 0.05;
/// A function's run time counts for no more than this multiple of its class's.
const MAX_RUN_TIME_FACTOR: f64 = 3.0;
/// Weight of a new sample in a worker's pace: about its last seven, so a slow-down shows in time.
pub(crate) const SLOWDOWN_GAIN: f64 = 0.15;
/// A pace that no answer refreshes goes half the way back to the usual in this time.
const SLOWDOWN_HALF_LIFE: Time = 3_000 * MILLISECOND;
/// No sample counts for more than this many times what was expected: one heavy call is no bad worker.
pub(crate) const MAX_SAMPLE: f64 = 4.0;

/// A stretch last heard of some time ago: it fades to the usual, so no bad spell is believed for ever.
pub(crate) fn faded(stretch: f64, age: Time) -> f64 {
    1.0 + (stretch - 1.0) * 0.5f64.powf(age as f64 / SLOWDOWN_HALF_LIFE as f64)
}

impl WorkerState {
    /// Takes in how far a run was stretched here, and beside how many own sends.
    pub(crate) fn record_slowdown(&mut self, ratio: f64, crowd: f64) {
        self.slowdown += SLOWDOWN_GAIN * (ratio - self.slowdown);
        self.concurrency += SLOWDOWN_GAIN * (crowd - self.concurrency);
    }

    /// What a run is stretched by with so many own sends there: the usual when empty, the pace seen at
    /// the queue it was seen with, and beyond that in proportion. An emptied worker is soon trusted.
    pub(crate) fn slowdown_at(&self, now: Time, sends: usize) -> f64 {
        let pace = faded(self.slowdown, now.saturating_sub(self.last_response_at));
        let part = sends as f64 / self.concurrency.max(2.0);
        if part > 1.0 {
            pace * part
        } else {
            pace.min(1.0) + (pace - pace.min(1.0)) * part
        }
    }
}

impl FrontEnd {
    /// What a run of the call takes at the usual pace, averaged from served answers.
    pub(crate) fn expected_run_time(&self, function: FunctionId, class: usize) -> f64 {
        // Capped, so that no estimate shuts a function out: what is never sent is never learnt again.
        let usual = self.class_run_times[class]
            .unwrap_or(self.settings.classes[class].latency_objective as f64 * INITIAL_RUN_TIME);
        self.functions
            .get(&function)
            .and_then(|p| p.run_time)
            .map_or(usual, |run| run.min(usual * MAX_RUN_TIME_FACTOR))
    }

    /// What a load takes: the told time at the store's present pace, else the longest seen.
    pub(crate) fn expected_load_time(&self, function: FunctionId, class: usize) -> f64 {
        let (program, stretch) = (self.functions.get(&function), self.load_slowdown());
        if let Some(told) = program.and_then(|p| p.declared_load_time) {
            return told as f64 * stretch;
        }
        let seen = program
            .and_then(|p| p.observed_load_time)
            .or(self.mean_load_time);
        seen.unwrap_or(self.settings.classes[class].latency_objective as f64 * INITIAL_LOAD_TIME)
            * stretch
    }

    pub(crate) fn record_load_time(&mut self, function: FunctionId, took: f64) {
        let Some(program) = self.functions.get_mut(&function) else {
            return;
        };
        let usual = program
            .declared_load_time
            .map(|t| t as f64)
            .or(program.observed_load_time)
            .or(self.mean_load_time);
        if let Some(usual) = usual.filter(|u| *u > 0.0) {
            let sample = (took / usual).clamp(0.5, 2.0 * MAX_SAMPLE);
            self.load_slowdown += 0.3 * (sample - self.load_slowdown);
            self.load_observed_at = self.now;
        }
        let mean = self.mean_load_time.get_or_insert(took);
        *mean += RUN_TIME_GAIN * (took - *mean);
        let seen = program.observed_load_time.get_or_insert(took);
        *seen = if took > *seen {
            took.min(*seen * 2.0)
        } else {
            *seen + 0.3 * (took - *seen)
        };
    }
}
