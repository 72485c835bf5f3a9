//! Delays between retries.

use std::time::Duration;

/// Exponential backoff between two bounds.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    first: Duration,
    longest: Duration,
    next: Duration,
}

impl Default for Backoff {
    /// From 100 ms to 5 s: a disk that is full or broken is not kept busy, and one that recovers is used soon.
    fn default() -> Self {
        Backoff::new(Duration::from_millis(100), Duration::from_secs(5))
    }
}

impl Backoff {
    /// Starts at `first` and doubles up to `longest`.
    pub fn new(first: Duration, longest: Duration) -> Self {
        Backoff {
            first,
            longest,
            next: first,
        }
    }

    /// The delay before the next retry.
    pub fn next_delay(&mut self) -> Duration {
        let delay = self.next.min(self.longest);
        self.next = delay.saturating_mul(2);
        delay
    }

    /// Starts anew, after a success.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}
