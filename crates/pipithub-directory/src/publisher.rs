//! Publishes each version of a roster to its readers.

use std::collections::VecDeque;
use std::sync::Arc;

use arc_swap::ArcSwap;

use crate::roster::Roster;

/// The maximum number of replaced versions that are retained, even if readers still use them.
const MAX_RETIRED: usize = 1_024;

/// Publishes the newest version of a roster, and frees the versions that were replaced.
///
/// A reader must not be the last owner of a replaced version, because freeing it takes over a millisecond, which would
/// delay a request. The writer therefore retains each replaced version until no reader uses it, and then frees it.
#[derive(Debug)]
pub struct Publisher {
    newest: Arc<ArcSwap<Roster>>,
    /// Replaced versions, the oldest first.
    retired: VecDeque<Arc<Roster>>,
}

impl Publisher {
    /// Creates a publisher whose newest version is this roster.
    pub fn new(roster: &Roster) -> Self {
        Publisher {
            newest: Arc::new(ArcSwap::from_pointee(roster.clone())),
            retired: VecDeque::new(),
        }
    }

    /// The shared pointer from which readers load the newest version.
    pub fn newest(&self) -> Arc<ArcSwap<Roster>> {
        self.newest.clone()
    }

    /// Replaces the newest version, and frees replaced versions that are no longer used.
    pub fn publish(&mut self, roster: &Roster) {
        let replaced = self.newest.swap(Arc::new(roster.clone()));
        self.retired.push_back(replaced);
        while self.retired.len() > MAX_RETIRED || self.oldest_is_unused() {
            self.retired.pop_front();
        }
    }

    /// Whether no reader uses the oldest replaced version any more.
    fn oldest_is_unused(&self) -> bool {
        self.retired
            .front()
            .is_some_and(|oldest| Arc::strong_count(oldest) == 1)
    }
}

#[cfg(test)]
mod tests;
