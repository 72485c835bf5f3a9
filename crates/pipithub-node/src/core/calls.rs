//! Calls of clients, from the request to the final answer.

use crate::client_sessions::CallRejection;
use crate::core::NANOSECONDS_PER_MILLISECOND;
use std::ops::RangeInclusive;
use std::sync::Arc;

use pipithub_engine::policy::{Idempotency, Outcome, RequestId};
use pipithub_engine::{AttemptId, Call, Input, Reply, SourceId, Ticket, Time, Trigger, Verdict};
use pipithub_platform::client::{self, ClientCall, RequestError};
use tracing::debug;

use super::Core;
use super::workers::unanswered_attempt;
use crate::client_sessions::{EXCESS_CALL_SCORE, PendingCall};
use crate::effect::ConnectionId;

/// To the engine, all clients together are one source of calls; tickets distinguish the calls.
const CLIENT_SOURCE: SourceId = SourceId(1);

impl Core {
    /// Cancels a call that its client no longer awaits. Attempts that were not sent completely are withdrawn even if
    /// the settings forbid cancelling. Returns whether a worker may work on the call.
    pub(super) fn cancel_call(&mut self, now: Time, ticket: u64) -> bool {
        let ticket = Ticket {
            source: CLIENT_SOURCE,
            number: ticket,
        };
        let request = self.engine.request(ticket);
        let in_flight = self.count_in_flight(request);
        self.run(now, Input::CallerCancelled(ticket));
        let withdrawn = self.abandon_attempts(now, request);
        self.process_inputs(now);
        withdrawn < in_flight
    }

    fn count_in_flight(&self, request: Option<RequestId>) -> usize {
        request.map_or(0, |request| {
            self.in_flight.range(attempts_of(request)).count()
        })
    }

    /// Withdraws the attempts of a request that were not sent completely, as its answer is no longer awaited. Returns how
    /// many there were.
    pub(super) fn abandon_attempts(&mut self, now: Time, request: Option<RequestId>) -> usize {
        let Some(request) = request else { return 0 };
        let mut withdrawn = 0;
        let in_flight: Vec<_> = self
            .in_flight
            .range(attempts_of(request))
            .map(|(id, worker)| (*id, worker.clone()))
            .collect();
        for (id, worker) in in_flight {
            if let Some(request) = self.connection_pool.abandon(now, &worker, id) {
                let elapsed = now.saturating_sub(request.began);
                self.attempt_ended(unanswered_attempt(id, Outcome::NotSent, elapsed));
                withdrawn += 1;
            }
        }
        withdrawn
    }

    /// Gives a call to the engine, or rejects the call if it is not admitted.
    pub(super) fn begin_call(&mut self, now: Time, connection: ConnectionId, call: ClientCall) {
        let checked = self
            .client_sessions
            .check_call(now, connection, call.id, &call.name);
        if let Err(rejection) = checked {
            return self.reject_call(connection, &call, rejection);
        }
        if let Some(client) = self.client_sessions.client(connection) {
            client.last_active = now;
            client.has_sent_request = true;
        }
        let trigger = self.trigger(now, connection, call);
        self.run(now, Input::Trigger(trigger));
    }

    fn reject_call(
        &mut self,
        connection: ConnectionId,
        call: &ClientCall,
        rejection: CallRejection,
    ) {
        match rejection {
            CallRejection::Disconnected => {}
            CallRejection::IdInUse
            | CallRejection::AlreadyPending
            | CallRejection::MayHaveExecuted => {
                let error = RequestError {
                    id: Some(call.id),
                    code: client::INVALID_REQUEST,
                    message: rejection.to_string(),
                };
                self.answer_fault(connection, &error);
            }
            CallRejection::TooManyPending | CallRejection::Closing => {
                self.shed_call(connection, call, rejection);
                self.record_excess_call(connection);
            }
            // The connection stays open: on a new one, nothing would be known of what was cancelled.
            CallRejection::TooManyCancelled => self.shed_call(connection, call, rejection),
        }
    }

    /// Rejects a call that has not run; the client may retry it.
    fn shed_call(&mut self, connection: ConnectionId, call: &ClientCall, rejection: CallRejection) {
        let limits = &self.site.policy.limits;
        let retry_after = Some(limits.max_retry_after / NANOSECONDS_PER_MILLISECOND)
            .filter(|milliseconds| limits.retry_after && *milliseconds > 0);
        let message = rejection.to_string();
        debug!(
            front_end = self.name,
            connection = connection.0,
            call = call.name,
            message,
            "request rejected"
        );
        let line = client::error_line(Some(call.id), client::REJECTED, &message, retry_after);
        self.write(connection, line);
    }

    fn record_excess_call(&mut self, connection: ConnectionId) {
        if self
            .client_sessions
            .add_fault_score(connection, EXCESS_CALL_SCORE)
        {
            self.begin_closing(connection);
        }
    }

    /// Records a call as pending and returns its trigger for the engine.
    fn trigger(&mut self, now: Time, connection: ConnectionId, call: ClientCall) -> Trigger {
        let non_idempotent = self
            .site
            .policy
            .classes
            .get(call.class)
            .is_some_and(|class| class.idempotency == Idempotency::NonIdempotent);
        let number = self.client_sessions.begin_call(PendingCall {
            connection,
            id: call.id,
            name: call.name.clone(),
            non_idempotent,
            timeout: now + call.client_timeout,
        });
        let ticket = Ticket {
            source: CLIENT_SOURCE,
            number,
        };
        Trigger {
            ticket,
            identity: None,
            redelivered: false,
            deliveries: 0,
            call: engine_call(call),
        }
    }

    /// Sends a call's final answer to its client.
    pub(super) fn answer_client(&mut self, now: Time, ticket: u64, reply: &Arc<Reply>) {
        let Some(pending) = self.client_sessions.end_call(now, ticket) else {
            return;
        };
        if pending.non_idempotent && reply.attempts > 0 && reply.verdict != Verdict::Rejected {
            self.client_sessions.record_executed(&pending.name);
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
                let retry_after = reply
                    .retry_after
                    .map(|time| time / NANOSECONDS_PER_MILLISECOND);
                let cause = reply.cause.as_str();
                client::error_line(Some(pending.id), client::REJECTED, cause, retry_after)
            }
            _ => client::error_line(Some(pending.id), client::FAILED, reply.cause.as_str(), None),
        };
        self.write(pending.connection, line);
        self.close_if_answered(pending.connection);
    }
}

/// The ids that attempts of a request can have.
fn attempts_of(request: RequestId) -> RangeInclusive<AttemptId> {
    let with_number = |number| AttemptId { request, number };
    with_number(0)..=with_number(u32::MAX)
}

/// Converts a client's call to a call of the engine.
fn engine_call(call: ClientCall) -> Call {
    Call {
        function: Arc::from(call.function),
        class: call.class,
        timeout: Some(call.client_timeout),
        memory_mb: call.memory_mb,
        replica_concurrency: call.replica_concurrency,
        load_time: call.load_time,
        message_id: Some(Arc::from(call.name)),
        idempotency_key: call.idempotency_key.map(Arc::from),
        body: call.body,
        ..Call::default()
    }
}
