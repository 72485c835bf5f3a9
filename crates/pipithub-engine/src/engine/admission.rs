//! Admission of calls: what is known of their message, and whether they are to run.

use std::sync::Arc;

use pipithub_policy::api::{Event, Request, RequestId, Time};

use super::Engine;
use crate::call::{Call, Ticket, Trigger, function_id};
use crate::output::Output;
use crate::redelivery::{RedeliveryDecision, decide_unknown};
use crate::reply::{Cause, FinalAnswer};

/// How many ticks of the decision module may pass until the last attempt of a request has left. Workers must still
/// deduplicate it then.
const TICKS_UNTIL_LAST_ATTEMPT: Time = 4;

impl Engine {
    /// Starts a request for a call, joins the call to an earlier delivery of its message, or answers it at once.
    ///
    /// `rejection` is given where the call is not to run. What is known of its message is looked up first all the same:
    /// a call that runs here, or was answered, must not be rejected on top of that, and a rejection must not declare
    /// harmless what may have run elsewhere.
    pub(super) fn receive(
        &mut self,
        now: Time,
        mut trigger: Trigger,
        rejection: Option<FinalAnswer>,
        out: &mut Vec<Output>,
    ) {
        self.stats.triggers += 1;
        let last_class = self.settings.policy.classes.len() - 1;
        trigger.call.class = trigger.call.class.min(last_class);
        let mut run_within = None;
        if trigger.redelivered {
            self.stats.redelivered += 1;
            match self.decide_redelivery(now, &trigger) {
                RedeliveryDecision::Join(request) => {
                    return self.join(request, trigger.ticket, out);
                }
                RedeliveryDecision::Forget => return out.push(Output::Forget(trigger.ticket)),
                RedeliveryDecision::Run { .. }
                    if trigger.deliveries > self.settings.max_deliveries =>
                {
                    let answer = FinalAnswer::failed(Cause::TooManyDeliveries);
                    return self.answer_at_once(now, trigger, answer, out);
                }
                RedeliveryDecision::Run { within } => run_within = within,
                RedeliveryDecision::Fail => {
                    let answer = FinalAnswer::failed(Cause::MayHaveRunBefore);
                    return self.answer_at_once(now, trigger, answer, out);
                }
            }
        } else if let Some(identity) = &trigger.identity {
            self.release_identity(identity);
        }
        match self.admit(&trigger.call, run_within, rejection) {
            Ok(timeout) => self.start_request(now, trigger, timeout, out),
            Err(answer) => self.answer_at_once(now, trigger, answer, out),
        }
    }

    fn decide_redelivery(&self, now: Time, trigger: &Trigger) -> RedeliveryDecision {
        let identity = trigger.identity.as_ref();
        if let Some(decision) = identity.and_then(|identity| self.history.decide(identity, now)) {
            return decision;
        }
        let call = &trigger.call;
        let policy = &self.settings.policy;
        let margin = self.settings.answer_margin + TICKS_UNTIL_LAST_ATTEMPT * policy.tick;
        let has_key = call.idempotency_key.is_some();
        decide_unknown(&policy.classes[call.class], call.age, has_key, margin)
    }

    /// Takes an identity from the pending request that bears it. The source says that the new message is no redelivery:
    /// a client used one identity for two calls. The earlier call keeps its answer and loses its identity.
    fn release_identity(&mut self, identity: &str) {
        let bearer = self.history.pending(identity);
        if let Some(pending) = bearer.and_then(|request| self.pending.get_mut(request)) {
            pending.identity = None;
        }
    }

    /// The time in which a call must be answered, or the answer of a call that is not to run.
    fn admit(
        &self,
        call: &Call,
        run_within: Option<Time>,
        rejection: Option<FinalAnswer>,
    ) -> Result<Time, FinalAnswer> {
        if let Some(rejection) = rejection {
            return Err(rejection);
        }
        if !self.settings.owners.allow(call.tenant, &call.function) {
            return Err(FinalAnswer::rejected(Cause::OtherTenant));
        }
        if self.draining {
            return Err(FinalAnswer::rejected(Cause::Draining));
        }
        if !self.has_capacity_for(call.body.len()) {
            return Err(FinalAnswer::rejected(Cause::AtCapacity));
        }
        self.time_to_answer(call, run_within)
            .ok_or(FinalAnswer::rejected(Cause::TooLate))
    }

    fn has_capacity_for(&self, body_bytes: usize) -> bool {
        self.pending.len() < self.settings.max_pending
            && self.pending.body_bytes() + body_bytes <= self.settings.max_body_bytes
    }

    /// The time from now in which a call must be answered; `None` if none is left. The wait of a message in its queue
    /// counts, whoever states the timeout.
    fn time_to_answer(&self, call: &Call, run_within: Option<Time>) -> Option<Time> {
        let class = &self.settings.policy.classes[call.class];
        let rest_of_class = class.client_timeout.saturating_sub(call.waited);
        let mut timeout = call.timeout.unwrap_or(rest_of_class).min(rest_of_class);
        if let Some(run_within) = run_within {
            timeout = timeout.min(run_within);
        }
        timeout
            .checked_sub(self.settings.answer_margin)
            .filter(|time| *time > 0)
    }

    fn start_request(&mut self, now: Time, trigger: Trigger, timeout: Time, out: &mut Vec<Output>) {
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
        self.insert_pending(now + timeout, trigger.ticket, trigger.identity, call);
        self.decide(now, Event::Arrived(request), out);
    }

    /// Gives a final answer to a trigger that the decision module never sees. Its body is dropped at once: what is
    /// rejected for want of memory must not take any.
    fn answer_at_once(
        &mut self,
        now: Time,
        trigger: Trigger,
        answer: FinalAnswer,
        out: &mut Vec<Output>,
    ) {
        let without_body = Call::default();
        let request = self.insert_pending(now, trigger.ticket, trigger.identity, without_body);
        self.answer(request, answer, out);
    }

    fn insert_pending(
        &mut self,
        deadline: Time,
        ticket: Ticket,
        identity: Option<Arc<str>>,
        call: Call,
    ) -> RequestId {
        if let Some(identity) = &identity {
            self.history.begin(identity, self.pending.next_id());
        }
        self.pending.insert(ticket, identity, call, deadline)
    }

    /// Has a delivery take the place of an earlier one of the same message.
    fn join(&mut self, request: RequestId, ticket: Ticket, out: &mut Vec<Output>) {
        let Some(pending) = self.pending.replace_ticket(request, ticket) else {
            return;
        };
        self.stats.joined += 1;
        if let Some(reply) = &pending.reply {
            out.push(Output::Answer {
                ticket,
                reply: reply.clone(),
            });
        }
    }
}
