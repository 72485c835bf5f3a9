//! Hands each version of a roster to its readers.

use std::collections::VecDeque;
use std::sync::Arc;

use arc_swap::ArcSwap;

use crate::Roster;

/// Versions that are kept after their time.
const KEPT_MOST: usize = 1_024;

/// Where readers find the newest version.
///
/// A reader that holds a version when the next one takes its place must not be the one that frees it: that took over a
/// millisecond on the path of a call. The writer keeps each until nobody else has it, and frees it itself.
#[derive(Debug)]
pub struct Publisher {
    newest: Arc<ArcSwap<Roster>>,
    kept: VecDeque<Arc<Roster>>,
}

impl Publisher {
    /// Begins with a version.
    pub fn new(roster: &Roster) -> Self {
        Publisher {
            newest: Arc::new(ArcSwap::from_pointee(roster.clone())),
            kept: VecDeque::new(),
        }
    }

    /// Where readers look.
    pub fn newest(&self) -> Arc<ArcSwap<Roster>> {
        self.newest.clone()
    }

    /// Puts a version in place of the one before.
    pub fn publish(&mut self, roster: &Roster) {
        self.kept
            .push_back(self.newest.swap(Arc::new(roster.clone())));
        while self
            .kept
            .front()
            .is_some_and(|old| Arc::strong_count(old) == 1)
            || self.kept.len() > KEPT_MOST
        {
            self.kept.pop_front();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{Directory, Settings};

    #[test]
    fn a_version_outlives_its_readers_and_no_more() {
        let settings = Settings {
            directories: Vec::new(),
            tenants: Vec::new(),
            max_users: 1,
            max_queue: 1,
            seed: 1,
            wall_clock_offset_ms: 0,
        };
        let core = Directory::new(settings);
        let mut publisher = Publisher::new(core.roster());
        let read = publisher.newest().load_full();
        publisher.publish(core.roster());
        publisher.publish(core.roster());
        assert_eq!(Arc::strong_count(&read), 2, "the writer has it still");
        drop(read);
        publisher.publish(core.roster());
        assert_eq!(publisher.kept.len(), 0);
    }
}
