//! Delivering messages to the consumers of their queues, in turn.

use std::collections::BTreeMap;

use pipithub_amqp::{Method, ShortStr};
use pipithub_conformance::record::Seen;

use super::core::Broker;
use super::entities::{Connection, ConnectionId, ConsumerKey, Message, Unacked};

impl Broker {
    /// Delivers the messages of all queues with pending deliveries, as far as their consumers have capacity.
    pub(super) fn deliver(&mut self) {
        while let Some(queue) = self.pending_delivery.pop_first() {
            self.expire_messages(&queue);
            while self.deliver_next(&queue) {}
        }
    }

    /// Delivers the first message of a queue; false if there is no message or no consumer with capacity.
    fn deliver_next(&mut self, name: &ShortStr) -> bool {
        let Some(consumer) = self.next_consumer(name) else {
            return false;
        };
        let message = self
            .queues
            .get_mut(name)
            .and_then(|queue| queue.messages.pop_front());
        let Some(message) = message else {
            return false;
        };
        self.deliver_to(consumer, name, message);
        true
    }

    /// The next consumer in turn that has capacity; `None` if there is none, or the queue is empty.
    fn next_consumer(&mut self, name: &ShortStr) -> Option<ConsumerKey> {
        let queue = self.queues.get_mut(name)?;
        if queue.messages.is_empty() {
            return None;
        }
        for _ in 0..queue.consumers.len() {
            let key = queue.consumers.pop_front()?;
            queue.consumers.push_back(key.clone());
            if has_capacity(&self.connections, &key) {
                return Some(key);
            }
        }
        None
    }

    fn deliver_to(&mut self, key: ConsumerKey, queue: &ShortStr, message: Message) {
        let client = self.client_name(key.channel.connection);
        let Some(channel) = self.channel(key.channel) else {
            return;
        };
        let delivery_tag = channel.next_delivery_tag();
        if let Some(consumer) = channel.consumers.get_mut(&key.tag)
            && !consumer.no_ack
        {
            consumer.unacked += 1;
            let unacked = Unacked {
                queue: queue.clone(),
                message: message.clone(),
                consumer: Some(key.tag.clone()),
            };
            channel.unacked.insert(delivery_tag, unacked);
        }
        let properties = message.properties();
        self.record(Seen::Delivered {
            queue: queue.to_string(),
            message_id: properties.message_id.as_deref().map(str::to_string),
            correlation_id: properties.correlation_id.as_deref().map(str::to_string),
            redelivered: message.redelivered,
            client,
        });
        let method = Method::BasicDeliver {
            consumer_tag: key.tag,
            delivery_tag,
            redelivered: message.redelivered,
            exchange: message.exchange,
            routing_key: message.routing_key,
        };
        self.send_content(key.channel, method, message.content);
    }
}

/// Whether a consumer can be sent another message: its connection, its channel and its prefetch limit allow it.
fn has_capacity(connections: &BTreeMap<ConnectionId, Connection>, key: &ConsumerKey) -> bool {
    let Some(connection) = connections.get(&key.channel.connection) else {
        return false;
    };
    let Some(channel) = connection.channels.get(&key.channel.number) else {
        return false;
    };
    let Some(consumer) = channel.consumers.get(&key.tag) else {
        return false;
    };
    !connection.congested
        && !channel.flow_stopped
        && channel.has_capacity()
        && consumer.has_capacity()
}
