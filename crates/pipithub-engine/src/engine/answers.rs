//! Final answers: each request gets one, and is forgotten once that is safe at its source.

use std::sync::Arc;

use pipithub_policy::api::{RequestId, Time};

use crate::call::{Call, Ticket};
use crate::output::Output;
use crate::reply::{Cause, Reply, Served, Verdict};

use super::Engine;

impl Engine {
    /// Gives the final answer of a request: the first is the only one.
    pub(super) fn answer(
        &mut self,
        request: RequestId,
        verdict: Verdict,
        cause: Cause,
        retry_after: Option<Time>,
        served: Option<Served>,
        out: &mut Vec<Output>,
    ) {
        let Some(pending) = self.pending.get_mut(&request).filter(|o| o.reply.is_none()) else {
            return;
        };
        let counter = match verdict {
            Verdict::Served => &mut self.stats.served,
            Verdict::Rejected => &mut self.stats.rejected,
            Verdict::Failed => &mut self.stats.failed,
        };
        *counter += 1;
        let (last, worker) = pending.last_attempt.clone().unzip();
        let reply = Reply {
            verdict,
            cause,
            retry_after,
            attempts: pending.attempts,
            last_outcome: last,
            worker,
            served,
        };
        let reply = Arc::new(reply);
        // The call's body is not needed any more, the answer's is.
        let bytes = reply.served.as_ref().map_or(0, |s| s.body.len());
        self.bytes = self.bytes - pending.bytes + bytes;
        pending.bytes = bytes;
        let kept = Call {
            body: Default::default(),
            ..(*pending.call).clone()
        };
        pending.call = Arc::new(kept);
        pending.reply = Some(reply.clone());
        if let Some(ticket) = pending.ticket {
            out.push(Output::Answer { ticket, reply });
        }
    }

    pub(super) fn settled(&mut self, now: Time, ticket: Ticket) {
        let Some(request) = self.tickets.remove(&ticket) else {
            return;
        };
        let Some(pending) = self.pending.remove(&request) else {
            return;
        };
        self.bytes -= pending.bytes;
        if let Some(identity) = &pending.identity {
            self.history.settle(identity, request, now);
        }
    }

    /// At its own timer a request has either been answered or has come to its end here too.
    pub(super) fn request_timer_expired(
        &mut self,
        now: Time,
        request: RequestId,
        out: &mut Vec<Output>,
    ) {
        let Some(pending) = self.pending.get(&request) else {
            return;
        };
        if pending.reply.is_none() && now + 2 * self.settings.policy.tick >= pending.deadline {
            // The module ends what it knows; what it does not know any more must not wait for ever.
            self.answer(
                request,
                Verdict::Failed,
                Cause::AttemptsEnded,
                None,
                None,
                out,
            );
        }
        self.release_expired_orphan(now, request);
    }

    /// Lets go of an answered request whose message did not come back in its time: it went elsewhere.
    pub(super) fn release_expired_orphan(&mut self, now: Time, request: RequestId) {
        let Some(pending) = self.pending.get(&request) else {
            return;
        };
        if pending.ticket.is_none() && pending.reply.is_some() && now >= pending.deadline {
            self.bytes -= pending.bytes;
            if let Some(identity) = &pending.identity {
                self.history.abandon(identity, request);
            }
            self.pending.remove(&request);
        }
    }
}
