//! Calls of clients, from the line that asks for one to its answer.

use std::sync::Arc;

use pipithub_engine::policy::{Idempotency, Outcome, RequestId};
use pipithub_engine::{AttemptId, Call, Input, Reply, SourceId, Ticket, Time, Trigger, Verdict};
use pipithub_platform::client::{self, ClientCall, Fault};
use tracing::debug;

use super::Core;
use super::workers::without_answer;
use crate::desk::{BEYOND, Caller, OPEN_MOST};
use crate::effect::ConnectionId;

/// All clients are one source to the engine: each call's ticket is its own.
const CLIENTS: SourceId = SourceId(1);

impl Core {
    /// A client has ceased to wait. Whatever the settings say of cancelling, what has not left yet does not leave any more.
    pub(super) fn left(&mut self, now: Time, ticket: u64) {
        let ticket = Ticket {
            source: CLIENTS,
            number: ticket,
        };
        let request = self.engine.request(ticket);
        self.run(now, Input::CallerCancelled(ticket));
        self.abandon(now, request);
        self.settle(now);
    }

    /// Nobody waits for a request any more: attempts that have not left are taken back.
    pub(super) fn abandon(&mut self, now: Time, request: Option<RequestId>) {
        let Some(request) = request else { return };
        let of = AttemptId { request, number: 0 }..=AttemptId {
            request,
            number: u32::MAX,
        };
        let out: Vec<_> = self
            .out
            .range(of)
            .map(|(id, worker)| (*id, worker.clone()))
            .collect();
        for (id, worker) in out {
            if let Some(job) = self.pool.abandon(now, &worker, id) {
                let took = now.saturating_sub(job.began);
                self.attempt_ended(without_answer(id, Outcome::NotSent, took));
            }
        }
    }

    pub(super) fn call(&mut self, now: Time, connection: ConnectionId, call: ClientCall) {
        let Some(client) = self.desk.client(connection) else {
            return;
        };
        let invalid = |message: &str| Fault {
            id: Some(call.id),
            code: client::INVALID,
            message: message.into(),
        };
        if client.open.contains_key(&call.id) {
            return self.fault(connection, &invalid("id: in use"));
        }
        let (many, condemned) = (client.open.len() >= OPEN_MOST, client.condemned);
        if self.desk.knows(&call.call) {
            // Its namesake may be running: to call a further try harmless would be wrong.
            return self.fault(connection, &invalid("call: open already"));
        }
        if self.desk.may_have_run(now, &call.call) {
            // The same again of what must not run twice.
            return self.fault(connection, &invalid("call: has ended, and may have run"));
        }
        if many || condemned {
            // A client may count a call as over whose end has not come here yet, or be given up for what it sent before;
            // this one has not run.
            let limits = &self.site.policy.limits;
            let pushback =
                Some(limits.max_retry_after / 1_000_000).filter(|t| limits.retry_after && *t > 0);
            let message = if many {
                "too many calls open on this connection"
            } else {
                "this connection is about to be closed"
            };
            debug!(
                front_end = self.name,
                connection,
                call = call.call,
                message,
                "no call"
            );
            self.write(
                connection,
                client::error(Some(call.id), client::REFUSED, message, pushback),
            );
            if self.desk.fault(connection, BEYOND) {
                self.give_up(connection);
            }
            return;
        }
        if let Some(client) = self.desk.client(connection) {
            (client.active, client.spoke) = (now, true);
        }
        let once = self
            .site
            .policy
            .classes
            .get(call.class)
            .is_some_and(|c| c.idempotency == Idempotency::NonIdempotent);
        let number = self.desk.begin(Caller {
            connection,
            id: call.id,
            call: call.call.clone(),
            once,
        });
        let call = Call {
            function: Arc::from(call.function),
            class: call.class,
            timeout: Some(call.ttl),
            memory_mb: call.memory_mb,
            replica_concurrency: call.lanes,
            load_time: call.load_time,
            label: Some(Arc::from(call.call)),
            idempotency_key: call.key.map(Arc::from),
            body: call.body,
            ..Call::default()
        };
        let ticket = Ticket {
            source: CLIENTS,
            number,
        };
        let trigger = Trigger {
            ticket,
            identity: None,
            redelivered: false,
            deliveries: 0,
            call,
        };
        self.run(now, Input::Trigger(trigger));
    }

    pub(super) fn reply(&mut self, now: Time, ticket: u64, reply: &Arc<Reply>) {
        let Some(caller) = self.desk.end(now, ticket) else {
            return;
        };
        if caller.once && reply.attempts > 0 && reply.verdict != Verdict::Rejected {
            self.desk.note(now + self.give_up_most, &caller.call);
        }
        debug!(
            front_end = self.name,
            call = caller.call,
            verdict = reply.verdict.as_str(),
            cause = reply.cause.as_str(),
            attempts = reply.attempts,
            worker = reply.worker.as_ref().map(|w| &*w.0),
            last = ?reply.last_outcome,
            "answer"
        );
        let line = match (reply.verdict, &reply.served) {
            (Verdict::Served, Some(served)) => client::served(caller.id, &served.body),
            (Verdict::Rejected, _) => {
                let pushback = reply.retry_after.map(|t| t / 1_000_000);
                client::error(
                    Some(caller.id),
                    client::REFUSED,
                    reply.cause.as_str(),
                    pushback,
                )
            }
            _ => client::error(Some(caller.id), client::FAILED, reply.cause.as_str(), None),
        };
        self.write(caller.connection, line);
        self.retire_condemned(caller.connection);
    }
}
