//! The queue class: declaring, binding, purging and deleting queues.

use pipithub_amqp::{Code, Fault, FieldTable, Method, ShortStr};

use super::arguments::QueueArguments;
use super::core::Broker;
use super::dispatch::{Reply, not_implemented};
use super::entities::{Binding, BindingTarget, ChannelKey, ConnectionId, Queue, QueueProperties};

/// The parameters of a `queue.declare`, except `no-wait`.
struct Declaration {
    queue: ShortStr,
    passive: bool,
    durable: bool,
    exclusive: bool,
    auto_delete: bool,
    arguments: FieldTable,
}

impl Broker {
    pub(super) fn queue_method(&mut self, at: ChannelKey, method: Method) -> Reply {
        match method {
            Method::QueueDeclare {
                queue,
                passive,
                durable,
                exclusive,
                auto_delete,
                no_wait,
                arguments,
            } => {
                let declaration = Declaration {
                    queue,
                    passive,
                    durable,
                    exclusive,
                    auto_delete,
                    arguments,
                };
                let reply = self.declare_queue(at.connection, declaration)?;
                Ok((!no_wait).then_some(reply))
            }
            Method::QueuePurge { queue, no_wait } => {
                let message_count = self.purge_queue(at.connection, &queue)?;
                Ok((!no_wait).then_some(Method::QueuePurgeOk { message_count }))
            }
            Method::QueueDelete {
                queue,
                if_unused,
                if_empty,
                no_wait,
            } => {
                self.require_deletable(at.connection, &queue, if_unused, if_empty)?;
                let message_count = self.delete_queue(&queue);
                Ok((!no_wait).then_some(Method::QueueDeleteOk { message_count }))
            }
            method => self.queue_binding_method(at, method),
        }
    }

    fn queue_binding_method(&mut self, at: ChannelKey, method: Method) -> Reply {
        match method {
            Method::QueueBind {
                queue,
                exchange,
                routing_key,
                no_wait,
                ..
            } => {
                self.usable_queue(at.connection, &queue)?;
                let target = BindingTarget::Queue(queue);
                self.bind(&exchange, Binding::new(routing_key, target))?;
                Ok((!no_wait).then_some(Method::QueueBindOk {}))
            }
            Method::QueueUnbind {
                queue,
                exchange,
                routing_key,
                ..
            } => {
                let target = BindingTarget::Queue(queue);
                self.unbind(&exchange, &Binding::new(routing_key, target));
                Ok(Some(Method::QueueUnbindOk {}))
            }
            method => Err(not_implemented(&method)),
        }
    }

    /// The queue of this name; a fault if there is none or it is exclusive to another connection.
    pub(super) fn usable_queue(
        &self,
        connection: ConnectionId,
        name: &ShortStr,
    ) -> Result<&Queue, Fault> {
        let Some(queue) = self.queues.get(name) else {
            let text = format!("no queue '{name}'");
            return Err(Fault::new(Code::NotFound, text));
        };
        let owner = queue.properties.owner;
        if owner.is_some_and(|owner| owner != connection) {
            let text = format!("queue '{name}' is exclusive to another connection");
            return Err(Fault::new(Code::ResourceLocked, text));
        }
        Ok(queue)
    }

    fn declare_queue(
        &mut self,
        connection: ConnectionId,
        declaration: Declaration,
    ) -> Result<Method, Fault> {
        let arguments = QueueArguments::parse(&declaration.arguments)
            .map_err(|error| Fault::new(Code::PreconditionFailed, error.to_string()))?;
        let properties = QueueProperties {
            durable: declaration.durable,
            auto_delete: declaration.auto_delete,
            owner: declaration.exclusive.then_some(connection),
            arguments,
        };
        let passive = declaration.passive;
        let mut name = declaration.queue;
        if name.is_empty() && !passive {
            name = self.generate_name("amq.gen");
        } else if passive || self.queues.contains_key(&name) {
            let existing = self.usable_queue(connection, &name)?;
            if !passive && existing.properties != properties {
                let text = format!("queue '{name}' exists with other properties");
                return Err(Fault::new(Code::PreconditionFailed, text));
            }
        } else if name.starts_with("amq.") {
            return Err(Fault::new(Code::AccessRefused, "the name is reserved"));
        }
        if !self.queues.contains_key(&name) {
            self.insert_queue(name.clone(), properties)?;
        }
        let queue = &self.queues[&name];
        Ok(Method::QueueDeclareOk {
            message_count: queue.messages.len() as u32,
            consumer_count: queue.consumers.len() as u32,
            queue: name,
        })
    }

    fn insert_queue(&mut self, name: ShortStr, properties: QueueProperties) -> Result<(), Fault> {
        if self.queues.len() >= self.bounds.entities {
            return Err(Fault::new(Code::ResourceError, "too many queues"));
        }
        self.queues.insert(name, Queue::new(properties, self.now));
        Ok(())
    }

    /// Drops all messages of a queue that are ready, and returns their number.
    fn purge_queue(&mut self, connection: ConnectionId, name: &ShortStr) -> Result<u32, Fault> {
        self.usable_queue(connection, name)?;
        let purged = self
            .queues
            .get_mut(name)
            .map(|queue| std::mem::take(&mut queue.messages).len());
        Ok(purged.unwrap_or(0) as u32)
    }

    /// Checks whether a `queue.delete` is allowed. Deleting an unknown queue succeeds, as in `RabbitMQ`.
    fn require_deletable(
        &self,
        connection: ConnectionId,
        name: &ShortStr,
        if_unused: bool,
        if_empty: bool,
    ) -> Result<(), Fault> {
        if !self.queues.contains_key(name) {
            return Ok(());
        }
        let queue = self.usable_queue(connection, name)?;
        if if_unused && !queue.consumers.is_empty() || if_empty && !queue.messages.is_empty() {
            let text = format!("queue '{name}' is in use");
            return Err(Fault::new(Code::PreconditionFailed, text));
        }
        Ok(())
    }

    /// Deletes a queue with its bindings and cancels its consumers. Returns the number of messages that were ready.
    pub(super) fn delete_queue(&mut self, name: &ShortStr) -> u32 {
        let Some(queue) = self.queues.remove(name) else {
            return 0;
        };
        for consumer in queue.consumers {
            // RabbitMQ's consumer cancel notification: the client learns that its queue no longer exists.
            let Some(channel) = self.channel(consumer.channel) else {
                continue;
            };
            channel.consumers.remove(&consumer.tag);
            let cancel = Method::BasicCancel {
                consumer_tag: consumer.tag,
                no_wait: true,
            };
            self.send(consumer.channel, cancel);
        }
        self.remove_bindings_to(&BindingTarget::Queue(name.clone()));
        queue.messages.len() as u32
    }
}
