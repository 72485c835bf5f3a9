//! The decision module and the events that it has not handled yet.

use std::collections::VecDeque;

use pipithub_policy::api::{Action, Event, Time, WorkerId};

use crate::decide::Decide;

/// The response of the decision module to one event.
#[derive(Debug)]
pub(super) struct Decision {
    /// The actions to carry out, in order.
    pub(super) actions: Vec<Action>,
    /// The token of the timer that expired; `None` if the event was not the expiry of a timer.
    pub(super) expired_timer: Option<u64>,
}

/// The decision module with its queue of events. Events that arise while actions are carried out are queued, so that
/// the module sees every event after all actions of the event before it.
#[derive(Debug)]
pub(super) struct DecisionQueue {
    decider: Box<dyn Decide>,
    events: VecDeque<Event>,
    /// The empty buffer of the last decision, kept so that the next decision need not allocate one.
    spare_actions: Vec<Action>,
}

impl DecisionQueue {
    pub(super) fn new(decider: Box<dyn Decide>) -> Self {
        DecisionQueue {
            decider,
            events: VecDeque::new(),
            spare_actions: Vec::new(),
        }
    }

    pub(super) fn push(&mut self, event: Event) {
        self.events.push_back(event);
    }

    /// Has the module decide on the next event; `None` if there is none.
    pub(super) fn decide_next(&mut self, now: Time) -> Option<Decision> {
        let event = self.events.pop_front()?;
        let expired_timer = match &event {
            Event::Timer { token } => Some(*token),
            _ => None,
        };
        let mut actions = std::mem::take(&mut self.spare_actions);
        self.decider.handle(now, event, &mut actions);
        Some(Decision {
            actions,
            expired_timer,
        })
    }

    /// The time until which work may be written to a worker; see [`Decide::lease_end`].
    pub(super) fn lease_end(&self, worker: &WorkerId) -> Time {
        self.decider.lease_end(worker)
    }

    /// Takes back the buffer of a decision whose actions were carried out.
    pub(super) fn recycle(&mut self, mut actions: Vec<Action>) {
        actions.clear();
        self.spare_actions = actions;
    }
}
