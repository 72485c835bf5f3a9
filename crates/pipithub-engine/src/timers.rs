//! Timers that the module asked for, in order of time and then of asking.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use pipithub_policy::api::Time;

#[derive(Debug, Default)]
pub(crate) struct Timers {
    heap: BinaryHeap<Reverse<(Time, u64, u64)>>,
    asked: u64,
}

impl Timers {
    pub(crate) fn set(&mut self, due: Time, token: u64) {
        self.asked += 1;
        self.heap.push(Reverse((due, self.asked, token)));
    }

    pub(crate) fn next(&self) -> Option<Time> {
        self.heap.peek().map(|Reverse((due, ..))| *due)
    }

    pub(crate) fn take_due(&mut self, now: Time) -> Option<u64> {
        self.next().filter(|due| *due <= now)?;
        self.heap.pop().map(|Reverse((_, _, token))| token)
    }
}
