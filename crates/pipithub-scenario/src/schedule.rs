//! The times of the faults of a scenario, and of the actions that faults consist of.

/// A fault and when it is injected.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault<F> {
    /// The begin of the fault, in nanoseconds from the start of the scenario. A scenario of requests starts with its load.
    pub at: u64,
    /// How long the fault lasts, in nanoseconds.
    pub duration: u64,
    /// The fault.
    pub fault: F,
}

impl<F> ScheduledFault<F> {
    /// The end of the fault, in nanoseconds from the start of the scenario.
    pub fn end(&self) -> u64 {
        self.at + self.duration
    }
}

/// An action and when it is carried out.
#[derive(Clone, Debug)]
pub(crate) struct ScheduledAction<A> {
    /// Nanoseconds from the start of the scenario.
    pub(crate) at: u64,
    pub(crate) action: A,
}

/// Collects the actions of a scenario.
pub(crate) struct Timeline<A> {
    actions: Vec<ScheduledAction<A>>,
}

impl<A> Timeline<A> {
    /// A timeline without actions.
    pub(crate) fn new() -> Self {
        Timeline {
            actions: Vec::new(),
        }
    }

    /// Adds an action at a time in nanoseconds from the start of the scenario.
    pub(crate) fn add(&mut self, at: u64, action: A) {
        self.actions.push(ScheduledAction { at, action });
    }

    /// Adds one action for the beginning of a fault and one for its end.
    pub(crate) fn add_both<F>(&mut self, scheduled: &ScheduledFault<F>, start: A, end: A) {
        self.add(scheduled.at, start);
        self.add(scheduled.end(), end);
    }

    /// The actions by time; those of one time are in the order in which they were added.
    pub(crate) fn into_sorted(mut self) -> Vec<ScheduledAction<A>> {
        self.actions.sort_by_key(|scheduled| scheduled.at);
        self.actions
    }
}
