//! Local health, as in Lifeguard: who gets no answers from anybody, or wakes late, doubts itself before others.

use crate::Time;

/// The worst score.
const WORST: u32 = 8;

/// How far this process should doubt its own probes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Health {
    score: u32,
}

impl Health {
    /// 0 is sound; each point stretches own probes and suspicions by their usual length.
    pub(crate) fn score(self) -> u32 {
        self.score
    }

    /// A probe of ours got no answer, nor through others.
    pub(crate) fn probe_failed(&mut self) {
        self.score = (self.score + 1).min(WORST);
    }

    /// A probe of ours was answered.
    pub(crate) fn probe_answered(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Others held us for dead, wrongly.
    pub(crate) fn was_doubted(&mut self) {
        self.score = (self.score + 1).min(WORST);
    }

    /// We slept when we should not have: what we missed meanwhile says nothing of others.
    pub(crate) fn overslept(&mut self) {
        self.score = (self.score + 2).min(WORST);
    }

    /// A usual length of time as it holds now.
    pub(crate) fn stretched(self, usual: Time) -> Time {
        usual.saturating_mul(Time::from(self.score) + 1)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_score_is_bounded_both_ways_and_stretches() {
        let mut health = Health::default();
        health.probe_answered();
        assert_eq!(health.stretched(100), 100);
        (0..100).for_each(|_| health.overslept());
        assert_eq!(health.stretched(100), 900);
        (0..100).for_each(|_| health.probe_answered());
        assert_eq!(health, Health::default());
    }
}
