//! Local health, as in Lifeguard: a process whose probes all fail, or that runs late, doubts itself before others.

use crate::Time;

/// The worst score.
const MAX_SCORE: u32 = 8;
/// A stall counts more than a failed probe: what was missed meanwhile says nothing about others.
const STALL_PENALTY: u32 = 2;

/// How far this process should doubt its own probes; Lifeguard's local health multiplier.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    /// 0 is healthy; each point extends own probes by their usual duration.
    pub(crate) fn score(self) -> u32 {
        self.score
    }

    /// A probe was answered neither directly nor through others.
    pub(crate) fn probe_failed(&mut self) {
        self.worsen(1);
    }

    /// A probe was answered.
    pub(crate) fn probe_answered(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Others declared this process dead, wrongly.
    pub(crate) fn declared_dead(&mut self) {
        self.worsen(1);
    }

    /// This process did not run while its timers were due.
    pub(crate) fn stalled(&mut self) {
        self.worsen(STALL_PENALTY);
    }

    /// A usual duration, extended by the score.
    pub(crate) fn scaled(self, usual: Time) -> Time {
        usual.saturating_mul(Time::from(self.score) + 1)
    }

    fn worsen(&mut self, points: u32) {
        self.score = (self.score + points).min(MAX_SCORE);
    }
}

#[cfg(test)]
mod tests;
