//! Delays between retries.

use std::time::Duration;

/// Exponential backoff between two bounds, without random jitter.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    first: Duration,
    longest: Duration,
    next: Duration,
}

impl Default for Backoff {
    /// From 100 ms to 5 s: a full or broken disk is not kept busy, and one that has recovered is used soon.
    fn default() -> Self {
        Backoff::new(Duration::from_millis(100), Duration::from_secs(5))
    }
}

impl Backoff {
    /// Creates a backoff that starts at `first` and doubles with each delay, up to `longest`.
    pub fn new(first: Duration, longest: Duration) -> Self {
        Backoff {
            first,
            longest,
            next: first,
        }
    }

    /// Returns the delay before the next retry, and doubles the one after it.
    pub fn next_delay(&mut self) -> Duration {
        let delay = self.next.min(self.longest);
        self.next = delay.saturating_mul(2);
        delay
    }

    /// Returns to the first delay, after a success.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}
