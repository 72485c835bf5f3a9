//! When to try again: exponential, with full jitter, and back to the start after a while of health.

use pipithub_engine::Time;

/// Waits between tries that fail.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Time,
    most: Time,
    /// Health that lasts so long forgets the failures before it.
    healthy: Time,
    failures: u32,
    up_since: Option<Time>,
    random: u64,
}

impl Backoff {
    /// Waits from `first`, doubling to `most`; equal seeds wait equally.
    pub fn new(first: Time, most: Time, healthy: Time, seed: u64) -> Self {
        Backoff { first, most, healthy, failures: 0, up_since: None, random: seed | 1 }
    }

    /// The try worked.
    pub fn up(&mut self, now: Time) {
        self.up_since = Some(now);
    }

    /// It failed, or what worked broke: how long to wait. Half of the wait is chance, so that many clients of one
    /// broker do not come back in step; a connection that breaks as soon as it is up counts as a failure, so that
    /// a broker in trouble is not asked without pause.
    pub fn down(&mut self, now: Time) -> Time {
        if self.up_since.take().is_some_and(|up| now >= up + self.healthy) {
            self.failures = 0;
        }
        let wait = self.first.saturating_mul(1 << self.failures.min(20)).min(self.most);
        self.failures = self.failures.saturating_add(1);
        // xorshift64: chance enough for jitter.
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        wait / 2 + self.random % (wait / 2).max(1)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Time = 1_000_000;

    #[test]
    fn waits_double_to_their_bound_and_start_anew_after_health() {
        let mut backoff = Backoff::new(50 * MS, 5_000 * MS, 10_000 * MS, 7);
        let mut bound = 50 * MS;
        for _ in 0..100 {
            let wait = backoff.down(0);
            assert!((bound / 2..=bound).contains(&wait), "{wait} of {bound}");
            bound = (bound * 2).min(5_000 * MS);
        }
        // A connection that breaks at once does not start it anew.
        backoff.up(0);
        assert!(backoff.down(MS) >= 2_500 * MS);
        backoff.up(0);
        assert!(backoff.down(10_000 * MS) <= 50 * MS);
    }

    #[test]
    fn clients_do_not_wait_in_step() {
        let waits: std::collections::BTreeSet<Time> =
            (0..100).map(|seed| Backoff::new(50 * MS, 5_000 * MS, MS, seed * 77 + 1).down(0)).collect();
        assert!(waits.len() > 40, "{}", waits.len());
    }
}
