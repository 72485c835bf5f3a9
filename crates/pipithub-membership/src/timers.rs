//! The timers of the membership. Timers that are due at the same time fire in the order in which they were scheduled.

use std::collections::BTreeMap;

use crate::Time;
use crate::identity::Identity;

/// The action of a timer.
#[derive(Debug)]
pub(crate) enum Timer {
    /// Pass a timer of the SWIM engine back to it.
    Swim(foca::Timer<Identity>),
    /// Send the next round of join requests.
    SendJoinRequests,
    /// Join through the members that accepted the join request.
    CompleteJoin,
    /// Ask a member for members that this process does not know yet.
    Discover,
    /// Remove the members from the table that have been down for the retention period.
    ExpireDead,
}

/// Position of a timer in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    due: Time,
    /// Number of the timer in the order of scheduling.
    sequence: u64,
}

/// The pending timers of one process.
#[derive(Debug, Default)]
pub(crate) struct TimerQueue {
    pending: BTreeMap<TimerKey, Timer>,
    last_sequence: u64,
}

impl TimerQueue {
    /// Adds a timer that fires at the time `due`.
    pub(crate) fn schedule(&mut self, due: Time, timer: Timer) {
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        self.pending.insert(TimerKey { due, sequence }, timer);
    }

    /// When the next timer fires; `None` if none is pending.
    pub(crate) fn next_due(&self) -> Option<Time> {
        self.pending.first_key_value().map(|(key, _)| key.due)
    }

    /// Removes and returns the next timer that is due at `now`, if there is one.
    pub(crate) fn pop_due(&mut self, now: Time) -> Option<Timer> {
        let entry = self.pending.first_entry()?;
        (entry.key().due <= now).then(|| entry.remove())
    }

    /// Whether any pending timer matches.
    pub(crate) fn any(&self, matches: impl Fn(&Timer) -> bool) -> bool {
        self.pending.values().any(matches)
    }

    /// Cancels the timers that match.
    pub(crate) fn cancel(&mut self, matches: impl Fn(&Timer) -> bool) {
        self.pending.retain(|_, timer| !matches(timer));
    }

    /// Cancels all timers.
    pub(crate) fn cancel_all(&mut self) {
        self.pending.clear();
    }

    /// Postpones all timers by `delay` nanoseconds, which leaves their order unchanged.
    pub(crate) fn postpone_all(&mut self, delay: Time) {
        let pending = std::mem::take(&mut self.pending);
        let postponed = |(key, timer): (TimerKey, Timer)| {
            let due = key.due + delay;
            (TimerKey { due, ..key }, timer)
        };
        self.pending = pending.into_iter().map(postponed).collect();
    }
}
