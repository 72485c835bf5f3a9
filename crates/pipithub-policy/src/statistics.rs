//! Means, counts and sums that are updated with each sample.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;

use crate::api::Time;

/// A mean over the last samples. All samples have the same weight up to [`RunningMean::MAX_SAMPLES`];
/// after that the weight of older samples decays.
#[derive(Debug, Default)]
pub(crate) struct RunningMean {
    mean: f64,
    samples: u32,
}

impl RunningMean {
    /// The number of samples with the same weight before the weight of older samples decays.
    const MAX_SAMPLES: u32 = 400;

    /// Adds a sample.
    pub(crate) fn add(&mut self, sample: f64) {
        self.samples = (self.samples + 1).min(Self::MAX_SAMPLES);
        self.mean += (sample - self.mean) / f64::from(self.samples);
    }

    /// Limits a value to the mean; before the first sample the value is returned unchanged.
    pub(crate) fn cap(&self, value: f64) -> f64 {
        if self.samples == 0 {
            value
        } else {
            value.min(self.mean)
        }
    }
}

/// The times of past events, in ascending order.
#[derive(Debug, Default)]
pub(crate) struct EventTimes(VecDeque<Time>);

impl EventTimes {
    /// Adds an event, which must not be earlier than those added before.
    pub(crate) fn push(&mut self, time: Time) {
        self.0.push_back(time);
    }

    /// How many events happened at this time or later.
    pub(crate) fn since(&self, time: Time) -> usize {
        self.0.len() - self.0.partition_point(|event| *event < time)
    }

    /// Forgets the events before this time.
    pub(crate) fn forget_before(&mut self, time: Time) {
        self.0
            .drain(..self.0.partition_point(|event| *event < time));
    }
}

/// A sum of parts that all decay with the same half-life.
///
/// Because all parts decay alike, one sum as of one point in time is enough. The sum is an integer, so
/// that a part that was added can be subtracted again without a rounding error.
#[derive(Debug, Default)]
pub(crate) struct DecayingSum {
    half_life: Time,
    /// The time as of which the sum is kept, in half-lives since time 0.
    epoch: u64,
    /// The sum, in units of [`DecayingSum::UNIT`].
    sum: u128,
}

/// One part of a [`DecayingSum`], as of an integral number of half-lives since time 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DecayingPart {
    epoch: u64,
    value: u128,
}

impl DecayingSum {
    /// The integer that represents the value 1.
    const UNIT: f64 = (1u64 << 40) as f64;
    /// The largest value of a part; larger values count as this one, so that the sum cannot overflow.
    const MAX_VALUE: f64 = (1u64 << 24) as f64;
    /// The sum is moved to a later epoch after this number of half-lives.
    const MAX_EPOCHS_BEHIND: u64 = 32;

    /// Creates an empty sum, whose parts will decay with this half-life.
    pub(crate) fn new(half_life: Time) -> Self {
        DecayingSum {
            half_life: half_life.max(1),
            ..DecayingSum::default()
        }
    }

    /// The part for a value as of the time `at`; negative values count as 0.
    pub(crate) fn part(&self, at: Time, value: f64) -> DecayingPart {
        let half_life = self.half_life.max(1);
        let scale = ((at % half_life) as f64 / half_life as f64).exp2();
        DecayingPart {
            epoch: at / half_life,
            value: (value.clamp(0.0, Self::MAX_VALUE) * scale * Self::UNIT) as u128,
        }
    }

    /// The value of a part as of the sum's epoch.
    fn at_epoch(&self, part: DecayingPart) -> u128 {
        if part.epoch >= self.epoch {
            // Parts are added as of the current time, after which the sum is never further behind than
            // this limit.
            part.value << (part.epoch - self.epoch).min(Self::MAX_EPOCHS_BEHIND)
        } else {
            shift_right(part.value, self.epoch - part.epoch)
        }
    }

    /// Adds a part, which must be as of the current time.
    pub(crate) fn add(&mut self, part: DecayingPart) {
        if part.epoch >= self.epoch + Self::MAX_EPOCHS_BEHIND {
            self.sum = shift_right(self.sum, part.epoch - self.epoch);
            self.epoch = part.epoch;
        }
        self.sum += self.at_epoch(part);
    }

    /// Subtracts a part that was added.
    pub(crate) fn subtract(&mut self, part: DecayingPart) {
        self.sum = self.sum.saturating_sub(self.at_epoch(part));
    }

    /// The sum as of the time `now`.
    pub(crate) fn sum(&self, now: Time) -> f64 {
        let half_life = self.half_life.max(1);
        let age =
            now.saturating_sub(self.epoch.saturating_mul(half_life)) as f64 / half_life as f64;
        self.sum as f64 / Self::UNIT * (-age).exp2()
    }
}

/// Halves a value `by` times, rounding down.
fn shift_right(value: u128, by: u64) -> u128 {
    u32::try_from(by)
        .ok()
        .and_then(|by| value.checked_shr(by))
        .unwrap_or(0)
}
