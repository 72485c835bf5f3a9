//! The basic class for consumers: quality of service, consuming, fetching single messages, recovery.

use pipithub_amqp::{Code, Fault, Method, ShortStr};

use super::core::Broker;
use super::dispatch::{Reply, not_implemented};
use super::entities::{ChannelKey, Consumer, ConsumerKey, Unacked};

/// The supported parameters of a `basic.consume`, except `no-wait`.
struct Subscription {
    queue: ShortStr,
    tag: ShortStr,
    no_ack: bool,
    exclusive: bool,
}

impl Broker {
    pub(super) fn consume_method(&mut self, at: ChannelKey, method: Method) -> Reply {
        match method {
            Method::BasicQos {
                prefetch_size,
                prefetch_count,
                global,
            } => {
                if prefetch_size != 0 {
                    let text = "a prefetch in bytes is not offered";
                    return Err(Fault::new(Code::NotImplemented, text));
                }
                self.set_prefetch(at, prefetch_count, global);
                Ok(Some(Method::BasicQosOk {}))
            }
            Method::BasicConsume {
                queue,
                consumer_tag,
                no_ack,
                exclusive,
                no_wait,
                ..
            } => {
                let subscription = Subscription {
                    queue,
                    tag: consumer_tag,
                    no_ack,
                    exclusive,
                };
                let consumer_tag = self.begin_consumer(at, subscription)?;
                Ok((!no_wait).then_some(Method::BasicConsumeOk { consumer_tag }))
            }
            Method::BasicCancel {
                consumer_tag,
                no_wait,
            } => {
                self.end_consumer(at, &consumer_tag);
                Ok((!no_wait).then_some(Method::BasicCancelOk { consumer_tag }))
            }
            Method::BasicGet { queue, no_ack } => self.get(at, queue, no_ack),
            Method::BasicRecover { requeue } => {
                self.recover(at, requeue)?;
                Ok(Some(Method::BasicRecoverOk {}))
            }
            Method::BasicRecoverAsync { requeue } => {
                self.recover(at, requeue)?;
                Ok(None)
            }
            Method::BasicCancelOk { .. } => Ok(None),
            method => Err(not_implemented(&method)),
        }
    }

    fn set_prefetch(&mut self, at: ChannelKey, count: u16, global: bool) {
        let Some(channel) = self.channel(at) else {
            return;
        };
        if global {
            channel.prefetch_global = count;
        } else {
            channel.prefetch = count;
        }
        let queues: Vec<ShortStr> = channel.consumed_queues().collect();
        self.pending_delivery.extend(queues);
    }

    /// Starts a consumer and returns its tag.
    fn begin_consumer(
        &mut self,
        at: ChannelKey,
        subscription: Subscription,
    ) -> Result<ShortStr, Fault> {
        let Subscription {
            queue,
            mut tag,
            no_ack,
            exclusive,
        } = subscription;
        self.check_exclusive(at, &queue, exclusive)?;
        if tag.is_empty() {
            tag = self.generate_name("amq.ctag");
        }
        let Some(channel) = self.channel(at) else {
            return Ok(tag);
        };
        if channel.consumers.contains_key(&tag) {
            let text = format!("consumer tag '{tag}' is taken");
            return Err(Fault::new(Code::NotAllowed, text));
        }
        let consumer = Consumer {
            queue: queue.clone(),
            no_ack,
            exclusive,
            prefetch: channel.prefetch,
            unacked: 0,
        };
        channel.consumers.insert(tag.clone(), consumer);
        if let Some(found) = self.queues.get_mut(&queue) {
            found.consumers.push_back(ConsumerKey {
                channel: at,
                tag: tag.clone(),
            });
            found.had_consumers = true;
        }
        self.pending_delivery.insert(queue);
        Ok(tag)
    }

    /// Checks that an exclusive consumer is the only one of its queue.
    fn check_exclusive(
        &self,
        at: ChannelKey,
        queue: &ShortStr,
        exclusive: bool,
    ) -> Result<(), Fault> {
        let consumers = &self.usable_queue(at.connection, queue)?.consumers;
        let is_exclusive = |key: &ConsumerKey| {
            let connection = self.connections.get(&key.channel.connection);
            connection
                .and_then(|connection| connection.channels.get(&key.channel.number))
                .and_then(|channel| channel.consumers.get(&key.tag))
                .is_some_and(|consumer| consumer.exclusive)
        };
        if consumers.iter().any(is_exclusive) || exclusive && !consumers.is_empty() {
            let text = format!("queue '{queue}' has an exclusive consumer");
            return Err(Fault::new(Code::AccessRefused, text));
        }
        Ok(())
    }

    /// Ends a consumer. An auto-delete queue is deleted with its last consumer.
    pub(super) fn end_consumer(&mut self, at: ChannelKey, tag: &ShortStr) {
        let Some(consumer) = self
            .channel(at)
            .and_then(|channel| channel.consumers.remove(tag))
        else {
            return;
        };
        let now = self.now;
        let Some(queue) = self.queues.get_mut(&consumer.queue) else {
            return;
        };
        queue
            .consumers
            .retain(|key| key.channel != at || key.tag != *tag);
        queue.unused_since = now;
        let is_unused = queue.had_consumers && queue.consumers.is_empty();
        if queue.properties.auto_delete && is_unused {
            self.delete_queue(&consumer.queue);
        }
    }

    /// Sends the first message of a queue as the reply to a `basic.get`.
    fn get(&mut self, at: ChannelKey, name: ShortStr, no_ack: bool) -> Reply {
        self.usable_queue(at.connection, &name)?;
        self.expire_messages(&name);
        let Some(queue) = self.queues.get_mut(&name) else {
            return Ok(None);
        };
        let Some(message) = queue.messages.pop_front() else {
            return Ok(Some(Method::BasicGetEmpty {}));
        };
        let message_count = queue.messages.len() as u32;
        let Some(channel) = self.channel(at) else {
            return Ok(None);
        };
        let delivery_tag = channel.next_delivery_tag();
        if !no_ack {
            let unacked = Unacked {
                queue: name,
                message: message.clone(),
                consumer: None,
            };
            channel.unacked.insert(delivery_tag, unacked);
        }
        let method = Method::BasicGetOk {
            delivery_tag,
            redelivered: message.redelivered,
            exchange: message.exchange,
            routing_key: message.routing_key,
            message_count,
        };
        self.send_content(at, method, message.content);
        Ok(None)
    }

    fn recover(&mut self, at: ChannelKey, requeue: bool) -> Result<(), Fault> {
        if !requeue {
            let text = "recover without requeue is not offered";
            return Err(Fault::new(Code::NotImplemented, text));
        }
        self.requeue_all(at);
        Ok(())
    }
}
