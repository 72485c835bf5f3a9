//! A queue of what is to happen, ordered by time and then by insertion.

use std::collections::BTreeMap;

/// Events by the time in nanoseconds at which they are due.
#[derive(Debug)]
pub struct Schedule<T> {
    due: BTreeMap<(u64, u64), T>,
    inserted: u64,
}

impl<T> Default for Schedule<T> {
    fn default() -> Self {
        Schedule { due: BTreeMap::new(), inserted: 0 }
    }
}

impl<T> Schedule<T> {
    /// Adds an event.
    pub fn add(&mut self, at: u64, event: T) {
        self.inserted += 1;
        self.due.insert((at, self.inserted), event);
    }

    /// When the first event is due.
    pub fn next_due(&self) -> Option<u64> {
        self.due.keys().next().map(|(at, _)| *at)
    }

    /// Takes the first event that is due by `now`.
    pub fn take_due(&mut self, now: u64) -> Option<T> {
        let entry = self.due.first_entry().filter(|entry| entry.key().0 <= now)?;
        Some(entry.remove())
    }
}
