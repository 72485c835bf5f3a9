//! Local health, as in Lifeguard: a process whose probes fail, or that is scheduled late, probes with longer
//! timeouts, because the fault may be in the process itself.

use crate::Time;

/// Upper bound of the score.
const MAX_SCORE: u32 = 8;
/// Points that a stall adds. It counts more than a failed probe, because answers that were missed during the stall say
/// nothing about other members.
const STALL_PENALTY: u32 = 2;

/// The score that Lifeguard calls the local health multiplier: 0 is healthy, [`MAX_SCORE`] the worst.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    /// The score. Each point extends the timeouts of this process's probes by their usual duration.
    pub(crate) fn score(self) -> u32 {
        self.score
    }

    /// Records a probe that was answered neither directly nor through other members.
    pub(crate) fn probe_failed(&mut self) {
        self.worsen(1);
    }

    /// Records an answer to a probe.
    pub(crate) fn probe_answered(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Records that other members declared this process dead although it runs.
    pub(crate) fn declared_dead(&mut self) {
        self.worsen(1);
    }

    /// Records that this process did not run while its timers were due.
    pub(crate) fn stalled(&mut self) {
        self.worsen(STALL_PENALTY);
    }

    /// A timeout, extended by the score.
    pub(crate) fn scaled(self, usual: Time) -> Time {
        usual.saturating_mul(Time::from(self.score) + 1)
    }

    fn worsen(&mut self, points: u32) {
        self.score = (self.score + points).min(MAX_SCORE);
    }
}

#[cfg(test)]
mod tests;
