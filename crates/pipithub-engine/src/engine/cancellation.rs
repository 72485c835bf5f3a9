//! Requests that end early because the caller left, the source lost its connection, the user migrated, or the engine
//! shuts down.

use pipithub_policy::api::{Event, Idempotency, RequestId, Time};

use super::Engine;
use crate::call::{SourceId, Ticket};
use crate::input::TenantUser;
use crate::pending::PendingRequest;
use crate::reply::{Cause, FinalAnswer, Verdict};

/// A request that ends before its attempts do, with the answer that it gets.
#[derive(Debug)]
struct EarlyEnd {
    request: RequestId,
    answer: FinalAnswer,
}

impl EarlyEnd {
    fn new(request: RequestId, pending: &PendingRequest, cause: Cause) -> Self {
        EarlyEnd {
            request,
            answer: FinalAnswer::interrupted(pending.attempts(), cause),
        }
    }
}

impl Engine {
    /// Ends a request whose caller has left. It gets no answer.
    pub(super) fn caller_cancelled(&mut self, now: Time, ticket: Ticket) {
        if let Some(request) = self.pending.of_ticket(ticket) {
            self.abandon(now, request);
        }
    }

    /// Handles that the answer of a ticket may or may not be safe at its source. If it is safe, the message does not come
    /// again, and a redelivery is that of a copy of the message, which its client published too.
    ///
    /// The copy may have run at another front end, or not. So neither the rejection nor the result of a call that must not
    /// run twice is given to it: the request ends, and a redelivery fails like that of an unknown message. Other calls may
    /// have the answer to a copy.
    pub(super) fn answer_unconfirmed(&mut self, ticket: Ticket) {
        let Some(request) = self.pending.of_ticket(ticket) else {
            return;
        };
        let class = self
            .pending
            .get(request)
            .map(|pending| pending.call().class);
        let class = class.and_then(|class| self.settings.policy.classes.get(class));
        if class.is_some_and(|class| class.idempotency == Idempotency::NonIdempotent) {
            self.pending.release(request);
        }
    }

    /// Voids the tickets of a source. A request whose message is identified stays pending until its deadline, because
    /// its message may be redelivered here. Any other request is cancelled, because its answer could not be delivered.
    pub(super) fn source_lost(&mut self, now: Time, source: SourceId) {
        for ticket in self.pending.tickets_of(source) {
            let Some(request) = self.pending.void_ticket(ticket) else {
                continue;
            };
            match self.pending.get(request) {
                Some(pending) if pending.message().is_some() => {
                    self.timers.set(pending.deadline().max(now), request.0);
                }
                _ => self.abandon(now, request),
            }
        }
    }

    /// Ends the requests that a user made before `successor` took over the name. Requests that were never forwarded are
    /// rejected. The others fail, because they may have run for the former tenant, whose answers must no longer reach
    /// the user.
    pub(super) fn user_migrated(&mut self, now: Time, user: &str, successor: Option<TenantUser>) {
        for request in self.pending.requests_of_former_user(user, successor) {
            self.end_for_former_user(now, request);
        }
    }

    fn end_for_former_user(&mut self, now: Time, request: RequestId) {
        let Some(pending) = self.pending.get(request) else {
            return;
        };
        match pending.reply() {
            None => {
                let end = EarlyEnd::new(request, pending, Cause::UserMigrated);
                self.end_early(now, end);
            }
            // The answer is not delivered yet and waits for a redelivery of its message.
            Some(reply) if reply.verdict == Verdict::Served && pending.ticket().is_none() => {
                self.abandon(now, request);
            }
            Some(_) => {}
        }
    }

    /// Ends a graceful shutdown: answers all pending requests. Requests that were never forwarded are rejected; the
    /// others fail, because they may have run.
    pub(super) fn answer_all(&mut self, now: Time) {
        self.draining = true;
        let unanswered: Vec<EarlyEnd> = self
            .pending
            .unanswered()
            .map(|(request, pending)| EarlyEnd::new(request, pending, Cause::Draining))
            .collect();
        for end in unanswered {
            self.end_early(now, end);
        }
    }

    /// Gives a request its final answer and has the decision module stop working on it.
    fn end_early(&mut self, now: Time, end: EarlyEnd) {
        self.answer(end.request, end.answer);
        self.decide(
            now,
            Event::ClientCancelled {
                request: end.request,
            },
        );
    }

    /// Ends a request that no longer needs an answer.
    fn abandon(&mut self, now: Time, request: RequestId) {
        let Some(pending) = self.pending.release(request) else {
            return;
        };
        if !pending.is_answered() {
            self.decide(now, Event::ClientCancelled { request });
        }
    }
}
