//! The properties of a link.

use crate::Time;

/// The properties of one direction of a link. Times are in nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Link {
    /// Whether all messages are lost.
    pub cut: bool,
    /// Shortest delay of a message.
    pub delay: Time,
    /// Longest additional delay, drawn uniformly for each message. Messages may therefore overtake each other.
    pub jitter: Time,
    /// Probability that a message is lost, from 0 to 1.
    pub loss: f64,
    /// Probability that a message is delivered twice, from 0 to 1.
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
