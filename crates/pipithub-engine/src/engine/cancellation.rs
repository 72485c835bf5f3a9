//! Requests that end because of their caller: it left, its source lost its connection, or its user migrated.

use pipithub_policy::api::{Event, RequestId, Time};

use crate::call::{SourceId, Ticket};
use crate::input::TenantUser;
use crate::output::Output;
use crate::reply::{Cause, Verdict};

use super::{Engine, PendingRequest};

impl Engine {
    /// Tickets of the source are void. A request that can be told again goes on, for its message may come back
    /// here; one that cannot is withdrawn, for nobody could be told of its end.
    pub(super) fn source_lost(&mut self, now: Time, source: SourceId, out: &mut Vec<Output>) {
        let of = |t: &Ticket| t.source == source;
        let lost: Vec<_> = self
            .tickets
            .iter()
            .filter(|(t, _)| of(t))
            .map(|(t, r)| (*t, *r))
            .collect();
        for (ticket, request) in lost {
            self.tickets.remove(&ticket);
            let Some(pending) = self.pending.get_mut(&request) else {
                continue;
            };
            pending.ticket = None;
            if pending.identity.is_none() {
                self.abandon(now, request, out);
            } else {
                self.timers.set(pending.deadline.max(now), request);
            }
        }
    }

    /// Ends what is open for a user who is not whose they were. What was never sent is refused. For the rest nothing is
    /// promised: it may have run for the old tenant, whose answer must not reach the user any more.
    pub(super) fn user_migrated(
        &mut self,
        now: Time,
        user: &str,
        side: Option<TenantUser>,
        out: &mut Vec<Output>,
    ) {
        // Calls that came after the move are the new side's already, though the word of it is handled only now.
        let is = |o: &PendingRequest| {
            o.call.tenant.map(|tenant| TenantUser {
                tenant,
                person: o.call.person,
            })
        };
        let of = |o: &PendingRequest| {
            o.call.user.as_deref() == Some(user) && (side.is_none() || is(o) != side)
        };
        let theirs: Vec<_> = self
            .pending
            .iter()
            .filter(|(_, o)| of(o))
            .map(|(id, _)| *id)
            .collect();
        for request in theirs {
            let Some(pending) = self.pending.get(&request) else {
                continue;
            };
            if pending
                .reply
                .as_ref()
                .is_some_and(|r| r.verdict != Verdict::Served)
            {
                continue;
            }
            if pending.reply.is_some() {
                // Served, but not yet told to anybody: its message is gone, and may come back.
                if pending.ticket.is_none() {
                    self.abandon(now, request, out);
                }
                continue;
            }
            let verdict = if pending.attempts == 0 {
                Verdict::Rejected
            } else {
                Verdict::Failed
            };
            self.answer(request, verdict, Cause::UserMigrated, None, None, out);
            self.decide(now, Event::ClientCancelled { request }, out);
        }
    }

    /// Ends a request to which no answer is owed any more.
    pub(super) fn abandon(&mut self, now: Time, request: RequestId, out: &mut Vec<Output>) {
        let Some(pending) = self.pending.remove(&request) else {
            return;
        };
        self.bytes -= pending.bytes;
        if let Some(ticket) = pending.ticket {
            self.tickets.remove(&ticket);
        }
        if let Some(identity) = &pending.identity {
            self.history.abandon(identity, request);
        }
        if pending.reply.is_none() {
            self.decide(now, Event::ClientCancelled { request }, out);
        }
    }
}
