//! The requests that are not settled, by id, ticket and message, with the memory that their bodies take.

mod lost_deliveries;
mod request;

use std::collections::BTreeMap;
use std::sync::Arc;

use pipithub_policy::api::{RequestId, Time};

use self::lost_deliveries::LostDeliveries;
use crate::call::{Call, SourceId, SourceMessage, Ticket};
use crate::input::TenantUser;
use crate::redelivery::{DeliveryHistory, RedeliveryDecision};
use crate::reply::{FinalAnswer, Reply};

pub(crate) use request::{EndedAttempt, PendingRequest};

/// A final answer and the ticket that it goes to; without a ticket, the answer waits for a redelivery of the message.
#[derive(Debug)]
pub(crate) struct AnsweredRequest {
    pub(crate) ticket: Option<Ticket>,
    pub(crate) reply: Arc<Reply>,
}

/// The requests that are not settled, and the history of the messages that started them.
#[derive(Debug)]
pub(crate) struct PendingRequests {
    requests: BTreeMap<RequestId, PendingRequest>,
    by_ticket: BTreeMap<Ticket, RequestId>,
    lost_deliveries: LostDeliveries,
    history: DeliveryHistory,
    next_id: RequestId,
    body_bytes: usize,
}

impl PendingRequests {
    /// Creates an empty table that remembers up to `max_settled` settled messages, each for `retention` nanoseconds.
    pub(crate) fn new(max_settled: usize, retention: Time) -> Self {
        PendingRequests {
            requests: BTreeMap::new(),
            by_ticket: BTreeMap::new(),
            lost_deliveries: LostDeliveries::default(),
            history: DeliveryHistory::new(max_settled, retention),
            next_id: RequestId(1),
            body_bytes: 0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    /// The size of all bodies, of calls and of answers, in bytes.
    pub(crate) fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    /// The id that the next request gets.
    pub(crate) fn next_id(&self) -> RequestId {
        self.next_id
    }

    /// What to do with a redelivered message whose earlier delivery was lost here, or that was settled here recently;
    /// `None` if the message is unknown.
    pub(crate) fn decide_redelivery(
        &self,
        message: SourceMessage,
        now: Time,
    ) -> Option<RedeliveryDecision> {
        if let Some(request) = self.lost_deliveries.of(message).next() {
            return Some(RedeliveryDecision::Join(request));
        }
        self.history
            .is_settled(message, now)
            .then_some(RedeliveryDecision::Settle)
    }

    /// Adds the request of a new message and returns its id.
    pub(crate) fn insert(
        &mut self,
        ticket: Ticket,
        message: Option<SourceMessage>,
        call: Call,
        deadline: Time,
    ) -> RequestId {
        let id = self.next_id;
        self.next_id.0 += 1;
        if let Some(message) = message {
            self.history.forget(message);
        }
        let request = PendingRequest::new(ticket, message, call, deadline);
        self.body_bytes += request.body_bytes();
        self.by_ticket.insert(ticket, id);
        self.requests.insert(id, request);
        id
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.requests.get(&id)
    }

    /// The request, unless it has its final answer.
    pub(crate) fn get_unanswered_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.requests
            .get_mut(&id)
            .filter(|request| !request.is_answered())
    }

    /// The requests without a final answer, in the order of their arrival.
    pub(crate) fn unanswered(&self) -> impl Iterator<Item = (RequestId, &PendingRequest)> {
        self.requests
            .iter()
            .filter(|(_, request)| !request.is_answered())
            .map(|(id, request)| (*id, request))
    }

    /// The requests that a user made before `successor` took over the name, in the order of their arrival.
    pub(crate) fn requests_of_former_user(
        &self,
        user: &str,
        successor: Option<TenantUser>,
    ) -> Vec<RequestId> {
        self.requests
            .iter()
            .filter(|(_, request)| request.is_of_former_user(user, successor))
            .map(|(id, _)| *id)
            .collect()
    }

    pub(crate) fn of_ticket(&self, ticket: Ticket) -> Option<RequestId> {
        self.by_ticket.get(&ticket).copied()
    }

    /// The tickets of a source, in their order.
    pub(crate) fn tickets_of(&self, source: SourceId) -> Vec<Ticket> {
        self.by_ticket
            .keys()
            .filter(|ticket| ticket.source == source)
            .copied()
            .collect()
    }

    /// Gives a request the ticket of a later delivery; its former ticket is void.
    pub(crate) fn replace_ticket(
        &mut self,
        id: RequestId,
        ticket: Ticket,
    ) -> Option<&PendingRequest> {
        let request = self.requests.get_mut(&id)?;
        if let Some(former) = request.replace_ticket(Some(ticket)) {
            self.by_ticket.remove(&former);
        }
        if let Some(message) = request.message() {
            self.lost_deliveries.remove(message, id);
        }
        self.by_ticket.insert(ticket, id);
        Some(request)
    }

    /// Removes a ticket from its request, which stays pending without one; `None` if no request has the ticket.
    pub(crate) fn void_ticket(&mut self, ticket: Ticket) -> Option<RequestId> {
        let id = self.by_ticket.remove(&ticket)?;
        let request = self.requests.get_mut(&id)?;
        request.replace_ticket(None);
        if let Some(message) = request.message() {
            self.lost_deliveries.insert(message, id);
        }
        Some(id)
    }

    /// Records how an attempt ended. Returns whether its request has ended: it has its final answer or was removed.
    pub(crate) fn record_ended_attempt(&mut self, id: RequestId, attempt: EndedAttempt) -> bool {
        let Some(request) = self.requests.get_mut(&id) else {
            return true;
        };
        request.record_ended_attempt(attempt);
        request.is_answered()
    }

    /// Records the final answer of a request; `None` if the request has one already or was removed.
    pub(crate) fn answer(&mut self, id: RequestId, answer: FinalAnswer) -> Option<AnsweredRequest> {
        let request = self.get_unanswered_mut(id)?;
        let body_bytes_before = request.body_bytes();
        let reply = request.answer(answer);
        let ticket = request.ticket();
        let body_bytes_after = request.body_bytes();
        self.body_bytes = self.body_bytes - body_bytes_before + body_bytes_after;
        Some(AnsweredRequest { ticket, reply })
    }

    /// Removes the request of a ticket whose answer is safe at its source, and records its message as settled.
    pub(crate) fn settle(&mut self, ticket: Ticket, now: Time) {
        let Some(id) = self.of_ticket(ticket) else {
            return;
        };
        let Some(request) = self.remove(id) else {
            return;
        };
        if let Some(message) = request.message() {
            self.history.settle(message, now);
        }
    }

    /// Removes a request whose answer is not known to be safe at its source.
    pub(crate) fn release(&mut self, id: RequestId) -> Option<PendingRequest> {
        self.remove(id)
    }

    /// Removes an answered request whose message was not redelivered here by the deadline, because it must have been
    /// redelivered elsewhere.
    pub(crate) fn release_if_abandoned(&mut self, id: RequestId, now: Time) {
        if self
            .get(id)
            .is_some_and(|request| request.is_abandoned(now))
        {
            self.release(id);
        }
    }

    fn remove(&mut self, id: RequestId) -> Option<PendingRequest> {
        let request = self.requests.remove(&id)?;
        self.body_bytes -= request.body_bytes();
        if let Some(ticket) = request.ticket() {
            self.by_ticket.remove(&ticket);
        } else if let Some(message) = request.message() {
            self.lost_deliveries.remove(message, id);
        }
        Some(request)
    }
}
