//! Final answers: each request gets one, and is forgotten once that is safe at its source.

use std::sync::Arc;

use pipithub_policy::api::{RequestId, Time};

use super::Engine;
use crate::call::Ticket;
use crate::output::Output;
use crate::pending::PendingRequest;
use crate::reply::{Cause, FinalAnswer, Reply, Verdict};

/// How many ticks before its deadline the timer of a request may expire and still count as its end.
const TICKS_BEFORE_DEADLINE: Time = 2;

impl Engine {
    /// Gives the final answer of a request; a second one is ignored.
    pub(super) fn answer(
        &mut self,
        request: RequestId,
        answer: FinalAnswer,
        out: &mut Vec<Output>,
    ) {
        let Some(pending) = self.pending.get_unanswered_mut(request) else {
            return;
        };
        let counter = match answer.verdict {
            Verdict::Served => &mut self.stats.served,
            Verdict::Rejected => &mut self.stats.rejected,
            Verdict::Failed => &mut self.stats.failed,
        };
        *counter += 1;
        let last_attempt = pending.last_attempt.clone();
        let reply = Arc::new(Reply {
            verdict: answer.verdict,
            cause: answer.cause,
            retry_after: answer.retry_after,
            attempts: pending.attempts,
            last_outcome: last_attempt.as_ref().map(|attempt| attempt.outcome),
            worker: last_attempt.map(|attempt| attempt.worker),
            served: answer.served,
        });
        let ticket = pending.ticket;
        self.pending.set_reply(request, &reply);
        if let Some(ticket) = ticket {
            out.push(Output::Answer { ticket, reply });
        }
    }

    /// The answer is safe at its source: the request is forgotten, its message remembered as settled.
    pub(super) fn settled(&mut self, now: Time, ticket: Ticket) {
        let Some(request) = self.pending.of_ticket(ticket) else {
            return;
        };
        let Some(pending) = self.pending.remove(request) else {
            return;
        };
        if let Some(identity) = &pending.identity {
            self.history.settle(identity, request, now);
        }
    }

    /// Forgets a request whose answer is not known to be safe.
    pub(super) fn release(&mut self, request: RequestId) -> Option<PendingRequest> {
        let pending = self.pending.remove(request)?;
        if let Some(identity) = &pending.identity {
            self.history.abandon(identity, request);
        }
        Some(pending)
    }

    /// The decision module answers a request by the time of its timer. What it has forgotten must not stay pending for
    /// ever, and fails here.
    pub(super) fn request_timer_expired(
        &mut self,
        now: Time,
        request: RequestId,
        out: &mut Vec<Output>,
    ) {
        let Some(pending) = self.pending.get(request) else {
            return;
        };
        let tolerance = TICKS_BEFORE_DEADLINE * self.settings.policy.tick;
        if pending.reply.is_none() && now + tolerance >= pending.deadline {
            self.answer(request, FinalAnswer::failed(Cause::AttemptsEnded), out);
        }
        self.release_orphan(now, request);
    }

    /// Forgets an answered request whose message was not redelivered here until its deadline: it went elsewhere.
    fn release_orphan(&mut self, now: Time, request: RequestId) {
        let Some(pending) = self.pending.get(request) else {
            return;
        };
        if pending.ticket.is_none() && pending.reply.is_some() && now >= pending.deadline {
            self.release(request);
        }
    }
}
