//! Requests that are not settled, by id and by ticket, with the memory that their bodies take.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use pipithub_policy::api::{Outcome, RequestId, Time, WorkerId};

use crate::call::{Call, SourceId, Ticket};
use crate::reply::Reply;

/// An attempt of a request that has ended.
#[derive(Clone, Debug)]
pub(crate) struct EndedAttempt {
    pub(crate) outcome: Outcome,
    pub(crate) worker: WorkerId,
}

/// A request that is not settled.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    /// `None` once its source is lost: the answer waits for a redelivery of the message.
    pub(crate) ticket: Option<Ticket>,
    pub(crate) identity: Option<Arc<str>>,
    pub(crate) call: Arc<Call>,
    pub(crate) deadline: Time,
    pub(crate) attempts: u32,
    pub(crate) last_attempt: Option<EndedAttempt>,
    /// The final answer, which is not yet known to be safe at the source.
    pub(crate) reply: Option<Arc<Reply>>,
    /// The bytes that this request is charged with: of its call until it has an answer, then of the answer.
    body_bytes: usize,
}

/// The requests that are not settled.
#[derive(Debug)]
pub(crate) struct PendingRequests {
    requests: BTreeMap<RequestId, PendingRequest>,
    by_ticket: BTreeMap<Ticket, RequestId>,
    next_id: RequestId,
    body_bytes: usize,
}

impl PendingRequests {
    pub(crate) fn new() -> Self {
        PendingRequests {
            requests: BTreeMap::new(),
            by_ticket: BTreeMap::new(),
            next_id: RequestId(1),
            body_bytes: 0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    /// The size of all bodies, of calls and of answers.
    pub(crate) fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    /// The id that the next request gets.
    pub(crate) fn next_id(&self) -> RequestId {
        self.next_id
    }

    pub(crate) fn insert(
        &mut self,
        ticket: Ticket,
        identity: Option<Arc<str>>,
        call: Call,
        deadline: Time,
    ) -> RequestId {
        let id = self.next_id;
        self.next_id.0 += 1;
        let body_bytes = call.body.len();
        self.body_bytes += body_bytes;
        self.by_ticket.insert(ticket, id);
        let request = PendingRequest {
            ticket: Some(ticket),
            identity,
            call: Arc::new(call),
            deadline,
            attempts: 0,
            last_attempt: None,
            reply: None,
            body_bytes,
        };
        self.requests.insert(id, request);
        id
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.requests.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&id)
    }

    /// The request, unless it has its final answer.
    pub(crate) fn get_unanswered_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.get_mut(id).filter(|request| request.reply.is_none())
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (RequestId, &PendingRequest)> {
        self.requests.iter().map(|(id, request)| (*id, request))
    }

    pub(crate) fn of_ticket(&self, ticket: Ticket) -> Option<RequestId> {
        self.by_ticket.get(&ticket).copied()
    }

    /// Gives a request the ticket of a later delivery; its former ticket is void.
    pub(crate) fn replace_ticket(
        &mut self,
        id: RequestId,
        ticket: Ticket,
    ) -> Option<&PendingRequest> {
        let request = self.requests.get_mut(&id)?;
        if let Some(former) = request.ticket.replace(ticket) {
            self.by_ticket.remove(&former);
        }
        self.by_ticket.insert(ticket, id);
        Some(request)
    }

    /// The tickets of a source, in their order.
    pub(crate) fn tickets_of(&self, source: SourceId) -> Vec<Ticket> {
        self.by_ticket
            .keys()
            .filter(|ticket| ticket.source == source)
            .copied()
            .collect()
    }

    /// Takes a ticket from its request, which stays pending without one.
    pub(crate) fn void_ticket(&mut self, ticket: Ticket) -> Option<RequestId> {
        let id = self.by_ticket.remove(&ticket)?;
        self.requests.get_mut(&id)?.ticket = None;
        Some(id)
    }

    /// Records the final answer. The body of the call is no longer needed from here on, that of the answer is.
    pub(crate) fn set_reply(&mut self, id: RequestId, reply: &Arc<Reply>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let body_bytes = reply.served.as_ref().map_or(0, |served| served.body.len());
        self.body_bytes = self.body_bytes - request.body_bytes + body_bytes;
        request.body_bytes = body_bytes;
        let without_body = Call {
            body: Bytes::new(),
            ..(*request.call).clone()
        };
        request.call = Arc::new(without_body);
        request.reply = Some(reply.clone());
    }

    pub(crate) fn remove(&mut self, id: RequestId) -> Option<PendingRequest> {
        let request = self.requests.remove(&id)?;
        self.body_bytes -= request.body_bytes;
        if let Some(ticket) = request.ticket {
            self.by_ticket.remove(&ticket);
        }
        Some(request)
    }
}
