//! Handles arriving calls and carries out the decisions of admission.

use pipithub_policy::api::{Event, Request, RequestId, Time};

use super::Engine;
use super::admission::{Admission, AdmissionDecision};
use crate::call::{Call, Ticket, Trigger, function_id};
use crate::reply::FinalAnswer;

impl Engine {
    /// Joins a call to the pending request of its message, starts a request for it, or answers it at once. `rejection` is
    /// the answer to a call that must not run; `None` if it may run.
    ///
    /// The pending request is looked up first even if there is a rejection: a call that is running here must not be
    /// rejected as well.
    pub(super) fn receive(
        &mut self,
        now: Time,
        mut trigger: Trigger,
        rejection: Option<FinalAnswer>,
    ) {
        self.outputs.count_trigger(trigger.redelivered);
        let last_class = self.settings.policy.classes.len() - 1;
        trigger.call.class = trigger.call.class.min(last_class);
        if let Some(request) = self.request_to_join(&trigger) {
            return self.join(request, trigger.ticket);
        }
        let admission = Admission {
            settings: &self.settings,
            pending: &self.pending,
            draining: self.draining,
        };
        match admission.decide(&trigger, rejection) {
            AdmissionDecision::Start { timeout } => self.start_request(now, trigger, timeout),
            AdmissionDecision::Answer(answer) => self.answer_at_once(now, trigger, answer),
        }
    }

    fn start_request(&mut self, now: Time, trigger: Trigger, timeout: Time) {
        let message = trigger.message();
        let call = trigger.call;
        let function = function_id(&call.function);
        self.function_names
            .record_call(now, function, &call.function);
        let request = Request {
            id: self.pending.next_id(),
            expected_work: call.expected_work,
            memory_mb: call.memory_mb,
            replica_concurrency: call.replica_concurrency,
            class: call.class,
            load_time: call.load_time,
            function,
            timeout: Some(timeout),
        };
        self.pending
            .insert(trigger.ticket, message, call, now + timeout);
        self.decide(now, Event::Arrived(request));
    }

    /// Gives a final answer to a trigger that the decision module never sees. Its body is dropped at once, so that a
    /// call that is rejected for lack of memory takes none.
    fn answer_at_once(&mut self, now: Time, trigger: Trigger, answer: FinalAnswer) {
        let without_body = Call {
            class: trigger.call.class,
            ..Call::default()
        };
        let request = self
            .pending
            .insert(trigger.ticket, trigger.message(), without_body, now);
        self.answer(request, answer);
    }

    /// Replaces the lost delivery of a pending message by a new one.
    fn join(&mut self, request: RequestId, ticket: Ticket) {
        let Some(pending) = self.pending.replace_ticket(request, ticket) else {
            return;
        };
        self.outputs.joined(ticket, pending.reply().cloned());
    }
}
