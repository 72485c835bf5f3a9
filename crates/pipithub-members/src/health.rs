//! Local health, as in Lifeguard: who gets no answers from anybody, or wakes late, doubts itself before others.

use crate::Time;

/// The worst score.
const MAX_SCORE: u32 = 8;

/// How far this process should doubt its own probes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    /// 0 is sound; each point stretches own probes and suspicions by their usual length.
    pub(crate) fn score(self) -> u32 {
        self.score
    }

    /// A probe of ours got no answer, nor through others.
    pub(crate) fn probe_failed(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    /// A probe of ours was answered.
    pub(crate) fn probe_answered(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Others held us for dead, wrongly.
    pub(crate) fn declared_dead(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    /// We slept when we should not have: what we missed meanwhile says nothing of others.
    pub(crate) fn stalled(&mut self) {
        self.score = (self.score + 2).min(MAX_SCORE);
    }

    /// A usual length of time as it holds now.
    pub(crate) fn scaled(self, usual: Time) -> Time {
        usual.saturating_mul(Time::from(self.score) + 1)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_score_is_bounded_both_ways_and_stretches() {
        let mut health = LocalHealth::default();
        health.probe_answered();
        assert_eq!(health.scaled(100), 100);
        (0..100).for_each(|_| health.stalled());
        assert_eq!(health.scaled(100), 900);
        (0..100).for_each(|_| health.probe_answered());
        assert_eq!(health, LocalHealth::default());
    }
}
