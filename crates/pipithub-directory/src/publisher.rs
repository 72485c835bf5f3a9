//! Hands each version of a roster to its readers.

use std::collections::VecDeque;
use std::sync::Arc;

use arc_swap::ArcSwap;

use crate::roster::Roster;

/// Versions that are retained after they were replaced.
const MAX_RETIRED: usize = 1_024;

/// Where readers find the newest version of a roster.
///
/// A reader that holds a version when the next one replaces it must not be the one that frees it: that took over a
/// millisecond on the path of a request. The writer retains each until nobody else has it, and frees it itself.
#[derive(Debug)]
pub struct Publisher {
    newest: Arc<ArcSwap<Roster>>,
    /// Replaced versions, the oldest first.
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

    /// Where readers load the newest version.
    pub fn newest(&self) -> Arc<ArcSwap<Roster>> {
        self.newest.clone()
    }

    /// Replaces the newest version.
    pub fn publish(&mut self, roster: &Roster) {
        let replaced = self.newest.swap(Arc::new(roster.clone()));
        self.retired.push_back(replaced);
        while self.retired.len() > MAX_RETIRED || self.oldest_is_unused() {
            self.retired.pop_front();
        }
    }

    /// Whether no reader has the oldest of the replaced versions any more.
    fn oldest_is_unused(&self) -> bool {
        self.retired
            .front()
            .is_some_and(|oldest| Arc::strong_count(oldest) == 1)
    }
}

#[cfg(test)]
mod tests;
