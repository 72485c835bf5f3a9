//! Keeps endpoint events in order, whatever the stream does to them.

/// What keeps the order of events, whatever the stream does to them.
#[derive(Debug, Default)]
pub struct Sequence {
    last: u64,
    /// The gap that was asked about before: what the coordinator does not have cannot be waited for.
    gap: Option<u64>,
}

/// What to do with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// It is the next one.
    Take,
    /// It was taken before.
    Skip,
    /// Events are missing before it: ask again from the last that was taken.
    Reconnect,
}

impl Sequence {
    /// Begins after this event.
    pub fn after(last: u64) -> Self {
        Sequence { last, gap: None }
    }

    /// The last event that was taken.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// What to do with the event of this number; `is_complete`: it holds every worker.
    pub fn step(&mut self, index: u64, is_complete: bool) -> Step {
        if index <= self.last {
            return Step::Skip;
        }
        if index > self.last + 1 && !is_complete && self.gap != Some(index) {
            self.gap = Some(index);
            return Step::Reconnect;
        }
        (self.last, self.gap) = (index, None);
        Step::Take
    }
}
