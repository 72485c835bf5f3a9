//! A queue of events, ordered by time and then by insertion.

use std::collections::BTreeMap;

/// The position of an event in the queue. The derived order compares the time first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EventKey {
    due: u64,
    /// The number of the insertion, so that events due at the same time keep the order of their insertion.
    sequence: u64,
}

/// Events, ordered by the time in nanoseconds at which they are due.
#[derive(Debug)]
pub struct Schedule<T> {
    events: BTreeMap<EventKey, T>,
    inserted: u64,
}

impl<T> Default for Schedule<T> {
    fn default() -> Self {
        Schedule {
            events: BTreeMap::new(),
            inserted: 0,
        }
    }
}

impl<T> Schedule<T> {
    /// Adds an event that is due at a time.
    pub fn add(&mut self, due: u64, event: T) {
        self.inserted += 1;
        let sequence = self.inserted;
        self.events.insert(EventKey { due, sequence }, event);
    }

    /// When the first event is due; `None` if there are no events.
    pub fn next_due(&self) -> Option<u64> {
        self.events.keys().next().map(|key| key.due)
    }

    /// Removes and returns the first event if it is due by `now`.
    pub fn take_due(&mut self, now: u64) -> Option<T> {
        let entry = self
            .events
            .first_entry()
            .filter(|entry| entry.key().due <= now)?;
        Some(entry.remove())
    }
}
