//! When to try again: exponential, with full jitter, and back to the start after a while of health.

use pipithub_engine::Time;

/// Bounds of the wait between attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffRange {
    /// The wait after the first failure; it doubles with each further one.
    pub initial: Time,
    /// It grows no further.
    pub max: Time,
}

/// Waits between attempts that fail.
#[derive(Clone, Debug)]
pub struct Backoff {
    initial: Time,
    max: Time,
    /// Health that lasts so long forgets the failures before it.
    healthy: Time,
    failures: u32,
    up_since: Option<Time>,
    random: u64,
}

impl Backoff {
    /// Waits from `initial`, doubling to `max`; equal seeds wait equally.
    pub fn new(initial: Time, max: Time, healthy: Time, seed: u64) -> Self {
        Backoff {
            initial,
            max,
            healthy,
            failures: 0,
            up_since: None,
            random: seed | 1,
        }
    }

    /// The try worked.
    pub fn up(&mut self, now: Time) {
        self.up_since = Some(now);
    }

    /// It failed, or what worked broke: how long to wait. Half of the wait is chance, so that many clients of one
    /// broker do not come back in step; a connection that breaks as soon as it is up counts as a failure, so that
    /// a broker in trouble is not asked without pause.
    pub fn down(&mut self, now: Time) -> Time {
        if self
            .up_since
            .take()
            .is_some_and(|up| now >= up + self.healthy)
        {
            self.failures = 0;
        }
        let wait = self
            .initial
            .saturating_mul(1 << self.failures.min(20))
            .min(self.max);
        self.failures = self.failures.saturating_add(1);
        // xorshift64: chance enough for jitter.
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        wait / 2 + self.random % (wait / 2).max(1)
    }
}
