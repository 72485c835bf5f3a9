//! The progress of replication between a directory's servers, by the change numbers that they report.

use std::collections::VecDeque;

/// The maximum number of change numbers that are stored.
const MAX_OBSERVED: usize = 64;

/// A change number, and when a server first reported it.
struct ObservedChangeNumber {
    change_number: u64,
    first_seen_ms: i64,
}

/// Detects copies that lag behind, by the change numbers that all servers have reported.
#[derive(Default)]
pub(crate) struct ReplicationProgress {
    /// The newest change numbers in ascending order, at most [`MAX_OBSERVED`].
    observed: VecDeque<ObservedChangeNumber>,
}

impl ReplicationProgress {
    /// Records the change number of a server's copy at a time in milliseconds. If another copy was ahead of this one
    /// before, returns the time from which on this copy has been outdated: when a newer change was first observed.
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
