//! Estimates of run times, load times and slowdowns.

use crate::api::{FunctionId, Time};
use crate::front_end::{FrontEnd, MS};
use crate::state::Node;

/// Run time, as a share of the aim, believed of a class before its first answer.
const FIRST_RUN: f64 = 0.15;
/// Load time, as a multiple of the aim, believed before any load was seen or told.
const FIRST_LOAD: f64 = 1.0;
/// Weight of a new sample in a function's run time: about its last twenty answers; and, in a large tier, of
/// one above the mean beside one below it.
pub(crate) const RUN_GAIN: f64 = 0.05;
/// A function's run time counts for no more than this multiple of its class's.
const RUN_MOST: f64 = 3.0;
/// Weight of a new sample in a worker's pace: about its last seven, so a slow-down shows in time.
pub(crate) const PACE_GAIN: f64 = 0.15;
/// A pace that no answer refreshes goes half the way back to the usual in this time.
const PACE_AGE: Time = 3_000 * MS;
/// No sample counts for more than this many times what was expected: one heavy call is no bad worker.
pub(crate) const SAMPLE_CAP: f64 = 4.0;

/// A stretch last heard of some time ago: it fades to the usual, so no bad spell is believed for ever.
pub(crate) fn faded(stretch: f64, age: Time) -> f64 {
    1.0 + (stretch - 1.0) * 0.5f64.powf(age as f64 / PACE_AGE as f64)
}

impl Node {
    /// Takes in how far a run was stretched here, and beside how many own sends.
    pub(crate) fn learn_pace(&mut self, ratio: f64, crowd: f64) {
        self.pace += PACE_GAIN * (ratio - self.pace);
        self.crowd += PACE_GAIN * (crowd - self.crowd);
    }

    /// What a run is stretched by with so many own sends there: the usual when empty, the pace seen at
    /// the queue it was seen with, and beyond that in proportion. An emptied worker is soon trusted.
    pub(crate) fn stretch(&self, now: Time, sends: usize) -> f64 {
        let pace = faded(self.pace, now.saturating_sub(self.heard));
        let part = sends as f64 / self.crowd.max(2.0);
        if part > 1.0 {
            pace * part
        } else {
            pace.min(1.0) + (pace - pace.min(1.0)) * part
        }
    }
}

impl FrontEnd {
    /// What a run of the call takes at the usual pace, averaged from served answers.
    pub(crate) fn run_of(&self, function: FunctionId, class: usize) -> f64 {
        // Capped, so that no estimate shuts a function out: what is never sent is never learnt again.
        let usual = self.class_run[class]
            .unwrap_or(self.s.classes[class].latency_objective as f64 * FIRST_RUN);
        self.programs
            .get(&function)
            .and_then(|p| p.run)
            .map_or(usual, |run| run.min(usual * RUN_MOST))
    }

    /// What a load takes: the told time at the store's present pace, else the longest seen.
    pub(crate) fn load_of(&self, function: FunctionId, class: usize) -> f64 {
        let (program, stretch) = (self.programs.get(&function), self.store_pace());
        if let Some(told) = program.and_then(|p| p.told_load) {
            return told as f64 * stretch;
        }
        let seen = program.and_then(|p| p.seen_load).or(self.load_mean);
        seen.unwrap_or(self.s.classes[class].latency_objective as f64 * FIRST_LOAD) * stretch
    }

    pub(crate) fn learn_load(&mut self, function: FunctionId, took: f64) {
        let Some(program) = self.programs.get_mut(&function) else {
            return;
        };
        let usual = program
            .told_load
            .map(|t| t as f64)
            .or(program.seen_load)
            .or(self.load_mean);
        if let Some(usual) = usual.filter(|u| *u > 0.0) {
            let sample = (took / usual).clamp(0.5, 2.0 * SAMPLE_CAP);
            self.load_stretch += 0.3 * (sample - self.load_stretch);
            self.load_heard = self.now;
        }
        let mean = self.load_mean.get_or_insert(took);
        *mean += RUN_GAIN * (took - *mean);
        let seen = program.seen_load.get_or_insert(took);
        *seen = if took > *seen {
            took.min(*seen * 2.0)
        } else {
            *seen + 0.3 * (took - *seen)
        };
    }
}
