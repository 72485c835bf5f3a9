//! The requests whose deliveries were lost, and which a redelivery of their message may join.

use std::collections::{BTreeMap, VecDeque};

use pipithub_policy::api::RequestId;

use crate::call::SourceMessage;

/// The pending requests whose deliveries were lost with a connection, by their messages.
///
/// A broker redelivers a message only after the channel of its earlier delivery has ended. So a request whose delivery
/// is still held is not in this index: a redelivery with the same identity belongs to another message. Copies of one
/// message have one identity, and each redelivery joins one of their requests.
#[derive(Debug, Default)]
pub(super) struct LostDeliveries {
    requests: BTreeMap<SourceMessage, VecDeque<RequestId>>,
}

impl LostDeliveries {
    /// Adds a request whose delivery was lost.
    pub(super) fn insert(&mut self, message: SourceMessage, request: RequestId) {
        self.requests.entry(message).or_default().push_back(request);
    }

    /// Removes a request that was joined or has ended.
    pub(super) fn remove(&mut self, message: SourceMessage, request: RequestId) {
        let Some(requests) = self.requests.get_mut(&message) else {
            return;
        };
        requests.retain(|known| *known != request);
        if requests.is_empty() {
            self.requests.remove(&message);
        }
    }

    /// The request that a redelivery of the message joins: the one whose delivery was lost first.
    pub(super) fn first_of(&self, message: SourceMessage) -> Option<RequestId> {
        self.requests.get(&message)?.front().copied()
    }
}
