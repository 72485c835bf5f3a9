//! Faults of a link.

use crate::Time;

/// How one direction of a link behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Link {
    /// Whether every message is lost.
    pub cut: bool,
    /// Delay of every message.
    pub delay: Time,
    /// Longest additional delay, drawn uniformly; a later message may therefore overtake an earlier one.
    pub jitter: Time,
    /// Probability that a message is lost.
    pub loss: f64,
    /// Probability that a message is delivered twice.
    pub duplication: f64,
}

impl Default for Link {
    fn default() -> Self {
        Link {
            cut: false,
            delay: 1_000_000,
            jitter: 500_000,
            loss: 0.0,
            duplication: 0.0,
        }
    }
}
