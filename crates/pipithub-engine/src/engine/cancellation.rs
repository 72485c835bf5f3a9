//! Requests that end because of their caller: it left, its source lost its connection, or its user migrated.

use pipithub_policy::api::{Event, RequestId, Time};

use super::Engine;
use crate::call::{SourceId, Ticket};
use crate::input::TenantUser;
use crate::output::Output;
use crate::pending::PendingRequest;
use crate::reply::{Cause, FinalAnswer, Verdict};

impl Engine {
    /// A caller has left: no answer is owed.
    pub(super) fn caller_cancelled(&mut self, now: Time, ticket: Ticket, out: &mut Vec<Output>) {
        if let Some(request) = self.pending.of_ticket(ticket) {
            self.abandon(now, request, out);
        }
    }

    /// Voids the tickets of a source. A request with an identity goes on until its deadline, for its message may be
    /// redelivered here. One without is cancelled, for nobody could be told of its end.
    pub(super) fn source_lost(&mut self, now: Time, source: SourceId, out: &mut Vec<Output>) {
        for ticket in self.pending.tickets_of(source) {
            let Some(request) = self.pending.void_ticket(ticket) else {
                continue;
            };
            match self.pending.get(request) {
                Some(pending) if pending.identity.is_some() => {
                    self.timers.set(pending.deadline.max(now), request.0);
                }
                _ => self.abandon(now, request, out),
            }
        }
    }

    /// Ends what is pending for a user as they were before `successor` took over the name. What was never forwarded is
    /// rejected. For the rest nothing is promised: it may have run for the former tenant, whose answer must not reach
    /// the user any more.
    pub(super) fn user_migrated(
        &mut self,
        now: Time,
        user: &str,
        successor: Option<TenantUser>,
        out: &mut Vec<Output>,
    ) {
        let former: Vec<RequestId> = self
            .pending
            .iter()
            .filter(|(_, pending)| is_of_former_user(pending, user, successor))
            .map(|(request, _)| request)
            .collect();
        for request in former {
            self.end_for_former_user(now, request, out);
        }
    }

    fn end_for_former_user(&mut self, now: Time, request: RequestId, out: &mut Vec<Output>) {
        let Some(pending) = self.pending.get(request) else {
            return;
        };
        match &pending.reply {
            None => {
                let answer = FinalAnswer::interrupted(pending.attempts, Cause::UserMigrated);
                self.end_early(now, request, answer, out);
            }
            // The answer was not given to anybody yet, and waits for a redelivery of its message.
            Some(reply) if reply.verdict == Verdict::Served && pending.ticket.is_none() => {
                self.abandon(now, request, out);
            }
            Some(_) => {}
        }
    }

    /// Gives the final answer of a request that the decision module still works on, and has that stop.
    pub(super) fn end_early(
        &mut self,
        now: Time,
        request: RequestId,
        answer: FinalAnswer,
        out: &mut Vec<Output>,
    ) {
        self.answer(request, answer, out);
        self.decide(now, Event::ClientCancelled { request }, out);
    }

    /// Ends a request to which no answer is owed any more.
    fn abandon(&mut self, now: Time, request: RequestId, out: &mut Vec<Output>) {
        let Some(pending) = self.release(request) else {
            return;
        };
        if pending.reply.is_none() {
            self.decide(now, Event::ClientCancelled { request }, out);
        }
    }
}

/// Whether a request was made by a user before `successor` took over the name. Calls of the successor may have arrived
/// before the engine was told of the migration.
fn is_of_former_user(pending: &PendingRequest, user: &str, successor: Option<TenantUser>) -> bool {
    let call = &pending.call;
    if call.user.as_deref() != Some(user) {
        return false;
    }
    let caller = call.tenant.map(|tenant| TenantUser {
        tenant,
        person: call.person,
    });
    successor.is_none() || caller != successor
}
