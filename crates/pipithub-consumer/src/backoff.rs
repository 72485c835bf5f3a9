//! Exponential backoff with jitter between attempts to connect. It starts over after a connection that stayed healthy.

use pipithub_engine::Time;

/// Bounds of the backoff between attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffRange {
    /// The backoff after the first failure, in nanoseconds. It doubles with each further failure.
    pub initial: Time,
    /// The maximum backoff, in nanoseconds.
    pub max: Time,
}

/// The backoff between attempts to connect.
#[derive(Clone, Debug)]
pub struct Backoff {
    initial: Time,
    max: Time,
    /// A connection that stays up for this long resets the number of failures.
    healthy_after: Time,
    failures: u32,
    connected_since: Option<Time>,
    random: u64,
}

impl Backoff {
    /// Creates a backoff from `initial`, doubling to `max`, that is reset by a connection which stays up for
    /// `healthy_after`. Times are in nanoseconds; equal seeds give equal jitter.
    pub fn new(initial: Time, max: Time, healthy_after: Time, seed: u64) -> Self {
        Backoff {
            initial,
            max,
            healthy_after,
            failures: 0,
            connected_since: None,
            random: seed | 1,
        }
    }

    /// Records that a connection is up.
    pub fn connected(&mut self, now: Time) {
        self.connected_since = Some(now);
    }

    /// Records that an attempt failed or a connection was lost, and returns how long to wait before the next attempt.
    ///
    /// Half of the backoff is random, so that the clients of a server do not reconnect at the same moments. A
    /// connection that is lost soon after it came up does not reset the backoff, so that a faulty server is not
    /// contacted again without a pause.
    pub fn delay_after_failure(&mut self, now: Time) -> Time {
        if self
            .connected_since
            .take()
            .is_some_and(|up| now >= up + self.healthy_after)
        {
            self.failures = 0;
        }
        let wait = self
            .initial
            .saturating_mul(1 << self.failures.min(20))
            .min(self.max);
        self.failures = self.failures.saturating_add(1);
        // xorshift64 is random enough for jitter.
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        wait / 2 + self.random % (wait / 2).max(1)
    }
}
