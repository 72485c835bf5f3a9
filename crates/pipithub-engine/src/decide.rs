//! The interface of whatever decides where calls run.

use pipithub_policy::FrontEnd;
use pipithub_policy::api::{Action, Event, Time, WorkerId};

/// A policy that decides where calls run: the decision module, or in scenarios a policy to compare it with.
pub trait Decide: std::fmt::Debug + Send {
    /// Handles one event and appends what is to be done about it to `actions`.
    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>);

    /// When work for a worker must have been written to it; [`Time::MAX`] where nothing limits that.
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
