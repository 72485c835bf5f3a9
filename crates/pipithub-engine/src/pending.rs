//! The requests that are not settled, by id, ticket and message, with the memory that their bodies take.

mod lost_deliveries;
mod request;

use std::collections::BTreeMap;
use std::sync::Arc;

use pipithub_policy::api::{RequestId, Time};

use self::lost_deliveries::LostDeliveries;
use crate::call::{Call, SourceId, SourceMessage, Ticket};
use crate::input::TenantUser;
use crate::reply::{FinalAnswer, Reply};

pub(crate) use request::{EndedAttempt, PendingRequest};

/// A final answer and the ticket that it goes to; without a ticket, the answer waits for a redelivery of the message.
#[derive(Debug)]
pub(crate) struct AnsweredRequest {
    pub(crate) ticket: Option<Ticket>,
    pub(crate) reply: Arc<Reply>,
}

/// The requests that are not settled.
#[derive(Debug)]
pub(crate) struct PendingRequests {
    requests: BTreeMap<RequestId, PendingRequest>,
    by_ticket: BTreeMap<Ticket, RequestId>,
    lost_deliveries: LostDeliveries,
    next_id: RequestId,
    body_bytes: usize,
}

impl PendingRequests {
    pub(crate) fn new() -> Self {
        PendingRequests {
            requests: BTreeMap::new(),
            by_ticket: BTreeMap::new(),
            lost_deliveries: LostDeliveries::default(),
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

    /// The request that a redelivery of the message joins; `None` if no request of the message has lost its delivery.
    pub(crate) fn awaiting_redelivery(&self, message: SourceMessage) -> Option<RequestId> {
        self.lost_deliveries.first_of(message)
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

    /// Removes the request of a ticket whose answer is safe at its source.
    pub(crate) fn settle(&mut self, ticket: Ticket) {
        if let Some(id) = self.of_ticket(ticket) {
            self.release(id);
        }
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

    /// Removes a request.
    pub(crate) fn release(&mut self, id: RequestId) -> Option<PendingRequest> {
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
