//! The interface of policies that decide where calls run.

use pipithub_policy::FrontEnd;
use pipithub_policy::api::{Action, Event, Time, WorkerId};

/// A policy that decides where calls run: the decision module, or a baseline policy to compare it with.
pub trait Decide: std::fmt::Debug + Send {
    /// Handles one event and appends the actions to take to `actions`.
    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>);

    /// The time by which work for a worker must have been written to its connection; [`Time::MAX`] if there is no
    /// limit.
    fn lease_end(&self, _worker: &WorkerId) -> Time {
        Time::MAX
    }
}

impl Decide for FrontEnd {
    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        FrontEnd::handle(self, now, event, actions);
    }

    fn lease_end(&self, worker: &WorkerId) -> Time {
        FrontEnd::lease_end(self, worker)
    }
}
