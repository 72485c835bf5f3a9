//! Cancelled calls of one client whose work may go on at the workers.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use pipithub_engine::Time;

use crate::client_sessions::MAX_PENDING_CALLS;

/// The maximum number of cancelled calls of one connection that may still be at work: a client that always keeps
/// [`MAX_PENDING_CALLS`] open may cancel each of them after an eighth of its timeout.
pub const MAX_CANCELLED_CALLS: usize = 8 * MAX_PENDING_CALLS;

/// When the work of cancelled calls has ended at the latest.
///
/// A worker that was told to give up a call may finish the load that it has begun for it, and the run. Cancelling must not
/// let a client have more work done than waiting for the answers would, so each cancelled call counts until its timeout.
#[derive(Debug, Default)]
pub(crate) struct CancelledWork {
    /// The timeouts of the calls, the earliest first; at most [`MAX_CANCELLED_CALLS`] and [`MAX_PENDING_CALLS`].
    timeouts: BinaryHeap<Reverse<Time>>,
}

impl CancelledWork {
    /// Records a cancelled call that a worker may work on until `timeout`.
    pub(crate) fn record(&mut self, timeout: Time) {
        self.timeouts.push(Reverse(timeout));
    }

    /// Whether so many cancelled calls may be at work that no further call is admitted.
    pub(crate) fn is_full(&mut self, now: Time) -> bool {
        while self
            .timeouts
            .peek()
            .is_some_and(|earliest| earliest.0 <= now)
        {
            self.timeouts.pop();
        }
        self.timeouts.len() >= MAX_CANCELLED_CALLS
    }
}
