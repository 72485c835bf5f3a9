//! One request that is not settled.

use std::sync::Arc;

use bytes::Bytes;
use pipithub_policy::api::{Outcome, RequestId, Time, WorkerId};

use crate::call::{AttemptId, Call, SourceMessage, Ticket};
use crate::input::TenantUser;
use crate::reply::{FinalAnswer, Reply};

/// An attempt that has ended.
#[derive(Clone, Debug)]
pub(crate) struct EndedAttempt {
    pub(crate) outcome: Outcome,
    pub(crate) worker: WorkerId,
}

/// A request that is not settled: its answer is not known yet, or not yet known to be safe at its source.
///
/// The fields that the table of pending requests depends on (ticket, size of the body) change only through
/// the table.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    ticket: Option<Ticket>,
    message: Option<SourceMessage>,
    call: Arc<Call>,
    deadline: Time,
    attempts: u32,
    last_attempt: Option<EndedAttempt>,
    reply: Option<Arc<Reply>>,
    body_bytes: usize,
}

impl PendingRequest {
    pub(super) fn new(
        ticket: Ticket,
        message: Option<SourceMessage>,
        call: Call,
        deadline: Time,
    ) -> Self {
        PendingRequest {
            ticket: Some(ticket),
            message,
            body_bytes: call.body.len(),
            call: Arc::new(call),
            deadline,
            attempts: 0,
            last_attempt: None,
            reply: None,
        }
    }

    /// The ticket of the latest delivery; `None` once its source has lost its connection, so that the answer waits for
    /// a redelivery of the message.
    pub(crate) fn ticket(&self) -> Option<Ticket> {
        self.ticket
    }

    /// The message of the request; `None` if its source cannot identify it.
    pub(crate) fn message(&self) -> Option<SourceMessage> {
        self.message
    }

    /// The call; without its body once the request has its answer.
    pub(crate) fn call(&self) -> &Arc<Call> {
        &self.call
    }

    /// The time by which the request must have its answer.
    pub(crate) fn deadline(&self) -> Time {
        self.deadline
    }

    /// The number of attempts made.
    pub(crate) fn attempts(&self) -> u32 {
        self.attempts
    }

    /// The final answer, once there is one.
    pub(crate) fn reply(&self) -> Option<&Arc<Reply>> {
        self.reply.as_ref()
    }

    pub(crate) fn is_answered(&self) -> bool {
        self.reply.is_some()
    }

    /// The id of the attempt that would be made next.
    pub(crate) fn next_attempt_id(&self, request: RequestId) -> AttemptId {
        AttemptId {
            request,
            number: self.attempts,
        }
    }

    /// Counts a new attempt and returns its id.
    pub(crate) fn begin_attempt(&mut self, request: RequestId) -> AttemptId {
        let id = self.next_attempt_id(request);
        self.attempts += 1;
        id
    }

    /// The size in bytes of the body that is in memory for the request: the body of the call until the request has its
    /// answer, then the body of the answer.
    pub(super) fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    /// Whether the answer has waited for a redelivery until the deadline, which means that the message was redelivered
    /// elsewhere.
    pub(super) fn is_abandoned(&self, now: Time) -> bool {
        self.ticket.is_none() && self.is_answered() && now >= self.deadline
    }

    /// Whether the request was made by a user before `successor` took over the name. Calls of the successor may have
    /// arrived before the engine was told of the migration.
    pub(super) fn is_of_former_user(&self, user: &str, successor: Option<TenantUser>) -> bool {
        if self.call.user.as_deref() != Some(user) {
            return false;
        }
        let caller = self.call.tenant.map(|tenant| TenantUser {
            tenant,
            person: self.call.person,
        });
        successor.is_none() || caller != successor
    }

    /// Sets the ticket and returns the former one.
    pub(super) fn replace_ticket(&mut self, ticket: Option<Ticket>) -> Option<Ticket> {
        std::mem::replace(&mut self.ticket, ticket)
    }

    pub(super) fn record_ended_attempt(&mut self, attempt: EndedAttempt) {
        self.last_attempt = Some(attempt);
    }

    /// Records the final answer and drops the body of the call, which is no longer needed.
    pub(super) fn answer(&mut self, answer: FinalAnswer) -> Arc<Reply> {
        let last_attempt = self.last_attempt.as_ref();
        let reply = Arc::new(Reply {
            verdict: answer.verdict,
            cause: answer.cause,
            retry_after: answer.retry_after,
            attempts: self.attempts,
            last_outcome: last_attempt.map(|attempt| attempt.outcome),
            worker: last_attempt.map(|attempt| attempt.worker.clone()),
            served: answer.served,
        });
        self.body_bytes = reply.served.as_ref().map_or(0, |served| served.body.len());
        Arc::make_mut(&mut self.call).body = Bytes::new();
        self.reply = Some(reply.clone());
        reply
    }
}
