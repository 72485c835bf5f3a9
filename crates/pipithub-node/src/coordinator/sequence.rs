//! The order of endpoint events, in spite of repeated and missing ones.

/// Decides for each event of the stream whether it is applied.
#[derive(Debug, Default)]
pub struct Sequence {
    last: u64,
    /// The event before which others were missing at the last reconnect: if they are missing again, the coordinator does
    /// not have them.
    gap: Option<u64>,
}

/// What to do with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Apply it: it is the next one.
    Apply,
    /// Ignore it: it was applied before.
    Skip,
    /// Events are missing before it: reconnect, and request those after the last that was applied.
    Reconnect,
}

impl Sequence {
    /// A sequence that expects the event after `last`.
    pub fn after(last: u64) -> Self {
        Sequence { last, gap: None }
    }

    /// The last event that was applied.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// What to do with the event of this index; `is_complete`: whether it lists every worker, so that no earlier event is
    /// needed.
    pub fn step(&mut self, index: u64, is_complete: bool) -> Step {
        if index <= self.last {
            return Step::Skip;
        }
        if index > self.last + 1 && !is_complete && self.gap != Some(index) {
            self.gap = Some(index);
            return Step::Reconnect;
        }
        (self.last, self.gap) = (index, None);
        Step::Apply
    }
}
