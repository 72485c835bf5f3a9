//! Timers of the membership, ordered by due time and, at one time, by when they were scheduled.

use std::collections::BTreeMap;

use crate::Time;
use crate::identity::Identity;

/// What is done when a timer fires.
#[derive(Debug)]
pub(crate) enum Timer {
    /// Hand the SWIM engine's own timer back to it.
    Swim(foca::Timer<Identity>),
    /// Send join requests to the seeds again.
    SendJoinRequests,
    /// Join through those who accepted a join request.
    CompleteJoin,
    /// Ask a member for further names.
    Discover,
    /// Remove dead members whose retention is over.
    ExpireDead,
}

/// Position in the queue; the sequence number keeps timers of equal due time in their order of scheduling.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    due: Time,
    sequence: u64,
}

/// The pending timers of one process.
#[derive(Debug, Default)]
pub(crate) struct TimerQueue {
    pending: BTreeMap<TimerKey, Timer>,
    last_sequence: u64,
}

impl TimerQueue {
    /// Adds a timer that fires at `due`.
    pub(crate) fn schedule(&mut self, due: Time, timer: Timer) {
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        self.pending.insert(TimerKey { due, sequence }, timer);
    }

    /// When the next timer fires.
    pub(crate) fn next_due(&self) -> Option<Time> {
        self.pending.first_key_value().map(|(key, _)| key.due)
    }

    /// Removes and returns the next timer if it is due at `now`.
    pub(crate) fn pop_due(&mut self, now: Time) -> Option<Timer> {
        let entry = self.pending.first_entry()?;
        (entry.key().due <= now).then(|| entry.remove())
    }

    /// Whether a timer that matches is pending.
    pub(crate) fn any(&self, matches: impl Fn(&Timer) -> bool) -> bool {
        self.pending.values().any(matches)
    }

    /// Cancels every timer that matches.
    pub(crate) fn cancel(&mut self, matches: impl Fn(&Timer) -> bool) {
        self.pending.retain(|_, timer| !matches(timer));
    }

    /// Cancels every timer.
    pub(crate) fn cancel_all(&mut self) {
        self.pending.clear();
    }

    /// Moves every timer later by the same time, in unchanged order.
    pub(crate) fn postpone_all(&mut self, by: Time) {
        let pending = std::mem::take(&mut self.pending);
        let postponed = |(key, timer): (TimerKey, Timer)| {
            let due = key.due + by;
            (TimerKey { due, ..key }, timer)
        };
        self.pending = pending.into_iter().map(postponed).collect();
    }
}
