//! Acknowledging and rejecting deliveries, and requeueing.

use pipithub_amqp::{Code, Fault, Method, ShortStr};
use pipithub_conformance::record::Seen;

use super::core::Broker;
use super::dead_letter::REJECTED;
use super::dispatch::{Reply, not_implemented};
use super::entities::{Channel, ChannelKey, Message, Unacked};

/// How a client settles a delivery.
#[derive(Clone, Copy, Debug)]
pub(super) enum Settlement {
    Acknowledge,
    Reject {
        /// Whether the message returns to its queue instead of being dead-lettered.
        requeue: bool,
    },
}

/// A settlement with the tag of its delivery.
#[derive(Clone, Copy, Debug)]
pub(super) struct TagSettlement {
    pub(super) delivery_tag: u64,
    pub(super) settlement: Settlement,
}

impl Broker {
    pub(super) fn settle_method(&mut self, at: ChannelKey, method: &Method) -> Reply {
        let (delivery_tag, multiple, settlement) = match *method {
            Method::BasicAck {
                delivery_tag,
                multiple,
            } => (delivery_tag, multiple, Settlement::Acknowledge),
            Method::BasicNack {
                delivery_tag,
                multiple,
                requeue,
            } => (delivery_tag, multiple, Settlement::Reject { requeue }),
            Method::BasicReject {
                delivery_tag,
                requeue,
            } => (delivery_tag, false, Settlement::Reject { requeue }),
            _ => return Err(not_implemented(method)),
        };
        let Some(channel) = self.channel(at) else {
            return Ok(None);
        };
        let tags = tags_to_settle(channel, delivery_tag, multiple);
        // Tag 0 with `multiple` means all deliveries, even if there are none.
        if tags.is_empty() && !(multiple && delivery_tag == 0) {
            let text = format!("unknown delivery tag {delivery_tag}");
            return Err(Fault::new(Code::PreconditionFailed, text));
        }
        for delivery_tag in tags {
            let tag_settlement = TagSettlement {
                delivery_tag,
                settlement,
            };
            let transaction = self
                .channel(at)
                .and_then(|channel| channel.transaction.as_mut());
            match transaction {
                Some(transaction) => transaction.add_settlement(tag_settlement),
                None => self.settle(at, tag_settlement),
            }
        }
        Ok(None)
    }

    /// Executes a settlement.
    pub(super) fn settle(&mut self, at: ChannelKey, settlement: TagSettlement) {
        let client = self.client_name(at.connection);
        let Some(channel) = self.channel(at) else {
            return;
        };
        let Some(unacked) = channel.unacked.remove(&settlement.delivery_tag) else {
            return;
        };
        let Unacked {
            queue,
            message,
            consumer,
        } = unacked;
        if let Some(consumer) = consumer.and_then(|tag| channel.consumers.get_mut(&tag)) {
            consumer.unacked -= 1;
        }
        let queues: Vec<ShortStr> = channel.consumed_queues().collect();
        self.pending_delivery.extend(queues);
        match settlement.settlement {
            Settlement::Acknowledge => {
                let message_id = message.properties().message_id.as_deref();
                self.record(Seen::Acked {
                    queue: queue.to_string(),
                    message_id: message_id.map(str::to_string),
                    client,
                });
            }
            Settlement::Reject { requeue: true } => self.requeue(&queue, message),
            Settlement::Reject { requeue: false } => self.dead_letter(&queue, message, REJECTED),
        }
    }

    /// Returns a message to its former position in the queue, marked as redelivered.
    fn requeue(&mut self, name: &ShortStr, mut message: Message) {
        message.redelivered = true;
        let Some(queue) = self.queues.get_mut(name) else {
            return;
        };
        let position = queue
            .messages
            .partition_point(|other| other.number < message.number);
        queue.messages.insert(position, message);
        self.pending_delivery.insert(name.clone());
    }

    /// Requeues all unacknowledged messages of a channel.
    pub(super) fn requeue_all(&mut self, at: ChannelKey) {
        let Some(channel) = self.channel(at) else {
            return;
        };
        for consumer in channel.consumers.values_mut() {
            consumer.unacked = 0;
        }
        for unacked in std::mem::take(&mut channel.unacked).into_values() {
            self.requeue(&unacked.queue, unacked.message);
        }
    }
}

/// The tags of the deliveries that a method settles, except those that the open transaction has settled already.
fn tags_to_settle(channel: &Channel, delivery_tag: u64, multiple: bool) -> Vec<u64> {
    let is_open = |tag: &u64| {
        let transaction = channel.transaction.as_ref();
        transaction.is_none_or(|transaction| !transaction.settled.contains(tag))
    };
    let unacked = &channel.unacked;
    match (delivery_tag, multiple) {
        (0, true) => unacked.keys().copied().filter(is_open).collect(),
        (last, true) => unacked
            .range(..=last)
            .map(|(tag, _)| *tag)
            .filter(is_open)
            .collect(),
        (tag, false) => {
            let known = unacked.contains_key(&tag).then_some(tag);
            known.into_iter().filter(is_open).collect()
        }
    }
}
