//! Calls of clients, from the line that asks for one to its answer.

use std::sync::Arc;

use pipithub_engine::policy::{Idempotency, Outcome, RequestId};
use pipithub_engine::{AttemptId, Call, Input, Reply, SourceId, Ticket, Time, Trigger, Verdict};
use pipithub_platform::client::{self, ClientCall, RequestError};
use tracing::debug;

use super::Core;
use super::workers::unanswered;
use crate::client_sessions::{EXCESS_CALL_SCORE, MAX_PENDING_CALLS, PendingCall};
use crate::effect::ConnectionId;

/// All clients are one source to the engine: each call's ticket is its own.
const CLIENTS: SourceId = SourceId(1);

impl Core {
    /// A client has ceased to wait. Whatever the settings say of cancelling, what has not left yet does not leave any more.
    pub(super) fn cancel_call(&mut self, now: Time, ticket: u64) {
        let ticket = Ticket {
            source: CLIENTS,
            number: ticket,
        };
        let request = self.engine.request(ticket);
        self.run(now, Input::CallerCancelled(ticket));
        self.abandon_attempts(now, request);
        self.settle(now);
    }

    /// Nobody waits for a request any more: attempts that have not left are taken back.
    pub(super) fn abandon_attempts(&mut self, now: Time, request: Option<RequestId>) {
        let Some(request) = request else { return };
        let of = AttemptId { request, number: 0 }..=AttemptId {
            request,
            number: u32::MAX,
        };
        let out: Vec<_> = self
            .in_flight
            .range(of)
            .map(|(id, worker)| (*id, worker.clone()))
            .collect();
        for (id, worker) in out {
            if let Some(request) = self.worker_pool.abandon(now, &worker, id) {
                let took = now.saturating_sub(request.began);
                self.attempt_ended(unanswered(id, Outcome::NotSent, took));
            }
        }
    }

    pub(super) fn begin_call(&mut self, now: Time, connection: ConnectionId, call: ClientCall) {
        let Some(client) = self.client_sessions.client(connection) else {
            return;
        };
        let invalid = |message: &str| RequestError {
            id: Some(call.id),
            code: client::INVALID_REQUEST,
            message: message.into(),
        };
        if client.pending_calls.contains_key(&call.id) {
            return self.answer_fault(connection, &invalid("id: in use"));
        }
        let (many, reading_stopped) = (
            client.pending_calls.len() >= MAX_PENDING_CALLS,
            client.reading_stopped,
        );
        if self.client_sessions.is_pending(&call.name) {
            // Its namesake may be running: to call a further try harmless would be wrong.
            return self.answer_fault(connection, &invalid("call: open already"));
        }
        if self.client_sessions.may_have_executed(now, &call.name) {
            // The same again of what must not run twice.
            return self.answer_fault(connection, &invalid("call: has ended, and may have run"));
        }
        if many || reading_stopped {
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
                call = call.name,
                message,
                "no call"
            );
            self.write(
                connection,
                client::error_line(Some(call.id), client::REJECTED, message, pushback),
            );
            if self
                .client_sessions
                .add_fault_score(connection, EXCESS_CALL_SCORE)
            {
                self.stop_reading(connection);
            }
            return;
        }
        if let Some(client) = self.client_sessions.client(connection) {
            (client.last_active, client.has_called) = (now, true);
        }
        let non_idempotent = self
            .site
            .policy
            .classes
            .get(call.class)
            .is_some_and(|c| c.idempotency == Idempotency::NonIdempotent);
        let number = self.client_sessions.begin_call(PendingCall {
            connection,
            id: call.id,
            name: call.name.clone(),
            non_idempotent,
        });
        let call = Call {
            function: Arc::from(call.function),
            class: call.class,
            timeout: Some(call.client_timeout),
            memory_mb: call.memory_mb,
            replica_concurrency: call.replica_concurrency,
            load_time: call.load_time,
            label: Some(Arc::from(call.name)),
            idempotency_key: call.idempotency_key.map(Arc::from),
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

    pub(super) fn answer_client(&mut self, now: Time, ticket: u64, reply: &Arc<Reply>) {
        let Some(pending) = self.client_sessions.end_call(now, ticket) else {
            return;
        };
        if pending.non_idempotent && reply.attempts > 0 && reply.verdict != Verdict::Rejected {
            self.client_sessions
                .record_executed(now + self.max_client_timeout, &pending.name);
        }
        debug!(
            front_end = self.name,
            call = pending.name,
            verdict = reply.verdict.as_str(),
            cause = reply.cause.as_str(),
            attempts = reply.attempts,
            worker = reply.worker.as_ref().map(|w| &*w.0),
            last = ?reply.last_outcome,
            "answer"
        );
        let line = match (reply.verdict, &reply.served) {
            (Verdict::Served, Some(served)) => client::result_line(pending.id, &served.body),
            (Verdict::Rejected, _) => {
                let pushback = reply.retry_after.map(|t| t / 1_000_000);
                client::error_line(
                    Some(pending.id),
                    client::REJECTED,
                    reply.cause.as_str(),
                    pushback,
                )
            }
            _ => client::error_line(Some(pending.id), client::FAILED, reply.cause.as_str(), None),
        };
        self.write(pending.connection, line);
        self.close_if_answered(pending.connection);
    }
}
