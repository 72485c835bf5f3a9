//! Who decides where calls run.

use pipithub_policy::FrontEnd;
use pipithub_policy::api::{Action, Event, Time};

/// What decides for an engine: the decision module, or, in scenarios, a policy to compare it with.
pub trait Decide: std::fmt::Debug + Send {
    /// Takes one event and appends what to do about it.
    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>);
}

impl Decide for FrontEnd {
    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        FrontEnd::handle(self, now, event, actions);
    }
}
