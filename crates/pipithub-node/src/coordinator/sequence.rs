//! Keeps endpoint events in order although the coordinator may repeat events or leave some out.

/// Decides for each event of the stream whether it is applied.
#[derive(Debug, Default)]
pub struct Sequence {
    /// The index of the last event that was applied.
    last: u64,
    /// The index of the event before which others were missing at the last reconnect; `None` if there was no such
    /// reconnect since an event was last applied. If events are missing before it again, the coordinator does not have
    /// them.
    gap: Option<u64>,
}

/// What to do with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Apply the event: no event is missing before it, or the missing ones are not needed or not available.
    Apply,
    /// Ignore the event: it was applied before.
    Skip,
    /// Events are missing before this one: reconnect, and request those after the last event that was applied.
    Reconnect,
}

impl Sequence {
    /// Creates a sequence that expects the event after `last`.
    pub fn after(last: u64) -> Self {
        Sequence { last, gap: None }
    }

    /// The index of the last event that was applied.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Decides what to do with the event of this index. `is_complete` tells whether the event lists every worker, so
    /// that no earlier event is needed.
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
