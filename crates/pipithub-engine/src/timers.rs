//! The timers of the decision module and of requests without a source.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use pipithub_policy::api::Time;

/// A timer. Timers with equal times expire in the order in which they were set.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    due: Time,
    sequence: u64,
    token: u64,
}

/// The timers that have not expired, by the time at which they do.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    heap: BinaryHeap<Reverse<Timer>>,
    last_sequence: u64,
}

impl Timers {
    pub(crate) fn set(&mut self, due: Time, token: u64) {
        self.last_sequence += 1;
        self.heap.push(Reverse(Timer {
            due,
            sequence: self.last_sequence,
            token,
        }));
    }

    /// When the next timer is due; `None` if none is set.
    pub(crate) fn next_due(&self) -> Option<Time> {
        self.heap.peek().map(|Reverse(timer)| timer.due)
    }

    /// Removes the next timer if it is due, and returns its token.
    pub(crate) fn take_due(&mut self, now: Time) -> Option<u64> {
        self.next_due().filter(|due| *due <= now)?;
        self.heap.pop().map(|Reverse(timer)| timer.token)
    }
}
