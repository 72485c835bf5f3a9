//! Hands each version of a roster to its readers.

use std::collections::VecDeque;
use std::sync::Arc;

use arc_swap::ArcSwap;

use crate::Roster;

/// Versions that are kept after their time.
const MAX_RETIRED: usize = 1_024;

/// Where readers find the newest version.
///
/// A reader that holds a version when the next one takes its place must not be the one that frees it: that took over a
/// millisecond on the path of a call. The writer keeps each until nobody else has it, and frees it itself.
#[derive(Debug)]
pub struct Publisher {
    newest: Arc<ArcSwap<Roster>>,
    retired: VecDeque<Arc<Roster>>,
}

impl Publisher {
    /// Begins with a version.
    pub fn new(roster: &Roster) -> Self {
        Publisher {
            newest: Arc::new(ArcSwap::from_pointee(roster.clone())),
            retired: VecDeque::new(),
        }
    }

    /// Where readers look.
    pub fn newest(&self) -> Arc<ArcSwap<Roster>> {
        self.newest.clone()
    }

    /// Puts a version in place of the one before.
    pub fn publish(&mut self, roster: &Roster) {
        self.retired
            .push_back(self.newest.swap(Arc::new(roster.clone())));
        while self
            .retired
            .front()
            .is_some_and(|old| Arc::strong_count(old) == 1)
            || self.retired.len() > MAX_RETIRED
        {
            self.retired.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;
