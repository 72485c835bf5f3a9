//! Admission of calls: what is known of their message, and whether they are to run.

use std::sync::Arc;

use pipithub_policy::api::{Event, Request, RequestId, Time};

use crate::call::{Call, Ticket, Trigger, function_id};
use crate::output::Output;
use crate::redelivery::{RedeliveryDecision, decide_unknown};
use crate::reply::{Cause, Verdict};

use super::{Engine, PendingRequest};

impl Engine {
    /// `refused`: it is not to run. What came before is looked up first all the same: a call that runs here, or was
    /// answered, must not be refused on top of that, and one that may have run elsewhere must not be called harmless.
    #[expect(clippy::too_many_lines, reason = "not split yet; see the roadmap")]
    pub(super) fn receive(
        &mut self,
        now: Time,
        trigger: Trigger,
        refused: Option<(Cause, Option<Time>)>,
        out: &mut Vec<Output>,
    ) {
        self.stats.triggers += 1;
        let Trigger {
            ticket,
            identity,
            redelivered,
            deliveries,
            mut call,
        } = trigger;
        call.class = call.class.min(self.settings.policy.classes.len() - 1);
        let (mut timeout, waited) = (call.timeout, call.waited);
        if redelivered {
            self.stats.redelivered += 1;
            let class = &self.settings.policy.classes[call.class];
            let margin = self.settings.answer_margin + 4 * self.settings.policy.tick;
            let known = identity.as_ref().and_then(|i| self.history.decide(i, now));
            let decision = known.unwrap_or_else(|| {
                decide_unknown(class, call.age, call.idempotency_key.is_some(), margin)
            });
            match decision {
                RedeliveryDecision::Join(request) => return self.join(request, ticket, out),
                RedeliveryDecision::Forget => return out.push(Output::Forget(ticket)),
                RedeliveryDecision::Run { .. } if deliveries > self.settings.max_deliveries => {
                    // A safe message that comes again and again may be what brings front ends down.
                    return self.answer_at_once(
                        now,
                        ticket,
                        identity,
                        Verdict::Failed,
                        Cause::TooManyDeliveries,
                        out,
                    );
                }
                RedeliveryDecision::Run { within: None } => {}
                RedeliveryDecision::Run { within: Some(left) } => {
                    timeout = Some(timeout.unwrap_or(class.client_timeout).min(left));
                }
                RedeliveryDecision::Fail => {
                    return self.answer_at_once(
                        now,
                        ticket,
                        identity,
                        Verdict::Failed,
                        Cause::MayHaveRunBefore,
                        out,
                    );
                }
            }
        } else if let Some(request) = identity.as_ref().and_then(|i| self.history.pending(i)) {
            // Not a repeat by its source's word, yet of the name of one that is open: a client that sent twice.
            // The earlier one keeps its answer and loses its name.
            if let Some(pending) = self.pending.get_mut(&request) {
                pending.identity = None;
            }
        }
        if let Some((cause, retry_after)) = refused {
            let request = self.insert(now, ticket, identity, Call::default());
            return self.answer(request, Verdict::Rejected, cause, retry_after, None, out);
        }
        if !self.settings.owners.allow(call.tenant, &call.function) {
            return self.answer_at_once(
                now,
                ticket,
                identity,
                Verdict::Rejected,
                Cause::OtherTenant,
                out,
            );
        }
        let bytes = call.body.len();
        if self.draining {
            return self.answer_at_once(
                now,
                ticket,
                identity,
                Verdict::Rejected,
                Cause::Draining,
                out,
            );
        }
        if self.pending.len() >= self.settings.max_pending
            || self.bytes + bytes > self.settings.max_body_bytes
        {
            return self.answer_at_once(
                now,
                ticket,
                identity,
                Verdict::Rejected,
                Cause::AtCapacity,
                out,
            );
        }
        let class = &self.settings.policy.classes[call.class];
        // Of a message that waited in its queue the client's time is partly over, whoever states it.
        let rest = class.client_timeout.saturating_sub(waited);
        let timeout = timeout.unwrap_or(rest).min(rest);
        let Some(left) = timeout
            .checked_sub(self.settings.answer_margin)
            .filter(|left| *left > 0)
        else {
            return self.answer_at_once(
                now,
                ticket,
                identity,
                Verdict::Rejected,
                Cause::TooLate,
                out,
            );
        };
        let function = function_id(&call.function);
        self.function_names
            .record_call(now, function, &call.function);
        let request = Request {
            id: self.next_request,
            expected_work: call.expected_work,
            memory_mb: call.memory_mb,
            replica_concurrency: call.replica_concurrency,
            class: call.class,
            load_time: call.load_time,
            function,
            timeout: Some(left),
        };
        self.insert(now + left, ticket, identity, call);
        self.decide(now, Event::Arrived(request), out);
    }

    /// Notes a new request under the next number.
    pub(super) fn insert(
        &mut self,
        deadline: Time,
        ticket: Ticket,
        identity: Option<Arc<str>>,
        call: Call,
    ) -> RequestId {
        let request = self.next_request;
        self.next_request += 1;
        if let Some(identity) = &identity {
            self.history.begin(identity, request);
        }
        let bytes = call.body.len();
        self.bytes += bytes;
        self.tickets.insert(ticket, request);
        let pending = PendingRequest {
            ticket: Some(ticket),
            identity,
            call: Arc::new(call),
            deadline,
            attempts: 0,
            last_attempt: None,
            reply: None,
            bytes,
        };
        self.pending.insert(request, pending);
        request
    }

    /// Gives a final answer to a trigger that the module never sees.
    pub(super) fn answer_at_once(
        &mut self,
        now: Time,
        ticket: Ticket,
        identity: Option<Arc<str>>,
        verdict: Verdict,
        cause: Cause,
        out: &mut Vec<Output>,
    ) {
        // The body is let go at once: what is refused for want of room must not take any.
        let request = self.insert(now, ticket, identity, Call::default());
        self.answer(request, verdict, cause, None, None, out);
    }

    /// A delivery takes the place of an earlier one of the same message.
    pub(super) fn join(&mut self, request: RequestId, ticket: Ticket, out: &mut Vec<Output>) {
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        self.stats.joined += 1;
        if let Some(old) = pending.ticket.replace(ticket) {
            self.tickets.remove(&old);
        }
        self.tickets.insert(ticket, request);
        if let Some(reply) = &pending.reply {
            out.push(Output::Answer {
                ticket,
                reply: reply.clone(),
            });
        }
    }
}
