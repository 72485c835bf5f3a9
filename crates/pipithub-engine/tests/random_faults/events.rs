//! The events of the simulation, in the order of simulated time.

use std::collections::BTreeMap;

use pipithub_engine::policy::Outcome;
use pipithub_engine::{AttemptId, Ticket, Time, Verdict};

use crate::broker::Content;

/// An attempt of one incarnation of a front end. The results of attempts of earlier incarnations are ignored.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct SimulatedAttempt {
    pub(crate) front_end: usize,
    pub(crate) incarnation: u32,
    pub(crate) id: AttemptId,
}

#[derive(Debug)]
pub(crate) enum Event {
    MessagePublished(Content),
    /// A call reaches its worker; its attempt ends with this outcome unless it is cancelled.
    CallArrived {
        attempt: SimulatedAttempt,
        message: usize,
        outcome: Outcome,
    },
    AttemptEnded {
        attempt: SimulatedAttempt,
        outcome: Outcome,
    },
    /// The answer to a ticket and its acknowledgement reach the broker; the confirmation may be lost on its way back.
    Committed {
        front_end: usize,
        connection: u32,
        ticket: Ticket,
        verdict: Verdict,
        confirmed: bool,
    },
    FrontEndKilled(usize),
    ConnectionLost(usize),
}

/// The events to come. Events of equal times happen in the order in which they were scheduled.
#[derive(Debug, Default)]
pub(crate) struct Schedule {
    events: BTreeMap<(Time, u64), Event>,
    count: u64,
}

impl Schedule {
    pub(crate) fn add(&mut self, at: Time, event: Event) {
        self.count += 1;
        self.events.insert((at, self.count), event);
    }

    pub(crate) fn next_at(&self) -> Option<Time> {
        self.events.first_key_value().map(|((at, _), _)| *at)
    }

    /// Removes and returns the next event if it is due.
    pub(crate) fn take_due(&mut self, now: Time) -> Option<Event> {
        self.next_at().filter(|at| *at <= now)?;
        self.events.pop_first().map(|(_, event)| event)
    }
}
