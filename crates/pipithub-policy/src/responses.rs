//! When a worker has responded, and its recent answers.

use std::collections::VecDeque;

use crate::api::Time;

/// An answer that a worker has served.
#[derive(Clone, Copy, Debug)]
struct Answer {
    at: Time,
    class: usize,
}

/// The responses of one worker to this front end.
#[derive(Debug, Default)]
pub(crate) struct Responses {
    /// The time of the last answer, rejection, or cancelled attempt that was recorded as slow; 0 if
    /// there was none.
    last_at: Time,
    /// The answers served within the time over which they are counted, in order.
    answers: VecDeque<Answer>,
}

impl Responses {
    /// Records an answer that was served.
    pub(crate) fn record_answer(&mut self, class: usize, now: Time) {
        self.record(now);
        self.answers.push_back(Answer { at: now, class });
    }

    /// Records a response other than an answer.
    pub(crate) fn record(&mut self, now: Time) {
        self.last_at = now;
    }

    /// The time of the last response; 0 if there was none.
    pub(crate) fn last_at(&self) -> Time {
        self.last_at
    }

    /// Whether there are answers that are still counted.
    pub(crate) fn has_answers(&self) -> bool {
        !self.answers.is_empty()
    }

    /// How many answers were served within the last `window`.
    pub(crate) fn answers_within(&self, window: Time, now: Time) -> usize {
        self.answers
            .iter()
            .filter(|answer| answer.at + window > now)
            .count()
    }

    /// How many answers to requests of a class were served after the time `time`.
    pub(crate) fn answers_after(&self, class: usize, time: Time) -> usize {
        self.answers
            .iter()
            .filter(|answer| answer.class == class && answer.at > time)
            .count()
    }

    /// Forgets the answers that are older than `max_age`.
    pub(crate) fn forget_older(&mut self, max_age: Time, now: Time) {
        self.answers.retain(|answer| answer.at + max_age >= now);
    }
}
