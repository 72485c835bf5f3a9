//! Means, counts and sums that are kept up to date sample by sample.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;

use crate::api::Time;

/// A mean over the last samples: each weighs as much as the others while there are few, and fades
/// later.
#[derive(Debug, Default)]
pub(crate) struct RunningMean {
    mean: f64,
    samples: u32,
}

impl RunningMean {
    /// The number of samples that weigh alike before the oldest ones fade.
    const MAX_SAMPLES: u32 = 400;

    /// Takes in a sample.
    pub(crate) fn add(&mut self, sample: f64) {
        self.samples = (self.samples + 1).min(Self::MAX_SAMPLES);
        self.mean += (sample - self.mean) / f64::from(self.samples);
    }

    /// A value limited to the mean; before the first sample nothing limits it.
    pub(crate) fn cap(&self, value: f64) -> f64 {
        if self.samples == 0 {
            value
        } else {
            value.min(self.mean)
        }
    }
}

/// The times of past events, which come in order.
#[derive(Debug, Default)]
pub(crate) struct EventTimes(VecDeque<Time>);

impl EventTimes {
    /// Adds an event that is not earlier than any before it.
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

/// A sum of parts that each decay by half in the same time, whatever their age.
///
/// All parts decay alike, so that one sum is kept as of one point in time. It is an integer: what was
/// added can be subtracted again without a rounding error.
#[derive(Debug, Default)]
pub(crate) struct DecayingSum {
    half_life: Time,
    /// The number of half-lives since time 0 as of which the sum is kept.
    epoch: u64,
    /// The sum, in units of [`DecayingSum::UNIT`].
    sum: u128,
}

/// One part of a [`DecayingSum`], as of an integral number of half-lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DecayingPart {
    epoch: u64,
    value: u128,
}

impl DecayingSum {
    /// Values are kept as integral multiples of one part in this.
    const UNIT: f64 = (1u64 << 40) as f64;
    /// The largest value that a part counts for, so that the sum cannot overflow.
    const MAX_VALUE: f64 = (1u64 << 24) as f64;
    /// The sum is moved to a later epoch after this number of half-lives.
    const MAX_EPOCHS_BEHIND: u64 = 32;

    /// A sum without any part, whose parts decay by half in this time.
    pub(crate) fn new(half_life: Time) -> Self {
        DecayingSum {
            half_life: half_life.max(1),
            ..DecayingSum::default()
        }
    }

    /// A value as of a time, as a part; negative values count as zero.
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
            // Parts are added as of the present, and then the sum is never further behind than
            // this.
            part.value << (part.epoch - self.epoch).min(Self::MAX_EPOCHS_BEHIND)
        } else {
            shift_right(part.value, self.epoch - part.epoch)
        }
    }

    /// Adds a part; it must be as of the present.
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

    /// The sum as it has decayed by now.
    pub(crate) fn sum(&self, now: Time) -> f64 {
        let half_life = self.half_life.max(1);
        let age =
            now.saturating_sub(self.epoch.saturating_mul(half_life)) as f64 / half_life as f64;
        self.sum as f64 / Self::UNIT * (-age).exp2()
    }
}

/// Halves a value `by` times; 0 once nothing of it is left.
fn shift_right(value: u128, by: u64) -> u128 {
    u32::try_from(by)
        .ok()
        .and_then(|by| value.checked_shr(by))
        .unwrap_or(0)
}
