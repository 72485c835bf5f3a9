//! How far the copies of a directory have come, by the change numbers that its servers give.

use std::collections::VecDeque;

/// Change numbers that are remembered.
const MAX_OBSERVED: usize = 64;

/// A change number, and when it was first seen.
struct ObservedChangeNumber {
    change_number: u64,
    first_seen_ms: i64,
}

/// The change numbers seen so far, from the lowest to the highest.
#[derive(Default)]
pub(crate) struct ReplicationProgress {
    observed: VecDeque<ObservedChangeNumber>,
}

impl ReplicationProgress {
    /// Notes a server's change number. If another copy was further ahead before, since when this one is outdated, in
    /// milliseconds.
    pub(crate) fn observe(&mut self, change_number: u64, at_ms: i64) -> Option<i64> {
        let newest = self.observed.back().map(|newest| newest.change_number);
        if newest.is_none_or(|newest| change_number > newest) {
            if self.observed.len() >= MAX_OBSERVED {
                self.observed.pop_front();
            }
            self.observed.push_back(ObservedChangeNumber {
                change_number,
                first_seen_ms: at_ms,
            });
        }
        self.observed
            .iter()
            .find(|observed| observed.change_number > change_number)
            .map(|observed| observed.first_seen_ms)
    }
}

#[cfg(test)]
mod tests;
