//! The entities of a virtual host: exchanges, queues, messages, and the connections with their channels.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use pipithub_amqp::{Content, Properties, ShortStr, Time};

use super::arguments::QueueArguments;
use super::transaction::Transaction;

/// The number of a connection; numbers are not reused.
pub type ConnectionId = u64;

/// Identifies a channel of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ChannelKey {
    pub(super) connection: ConnectionId,
    pub(super) number: u16,
}

/// Identifies a consumer of a channel.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ConsumerKey {
    pub(super) channel: ChannelKey,
    pub(super) tag: ShortStr,
}

#[derive(Clone, Debug)]
pub(super) struct Message {
    pub(super) exchange: ShortStr,
    pub(super) routing_key: ShortStr,
    pub(super) content: Content,
    pub(super) redelivered: bool,
    /// When the message expires; `None` for never.
    pub(super) expires: Option<Time>,
    /// Increases with each publish, so that a requeued message returns to its former position.
    pub(super) number: u64,
}

impl Message {
    pub(super) fn properties(&self) -> &Properties {
        &self.content.properties
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExchangeKind {
    Direct,
    Fanout,
    Topic,
}

/// The properties that an exchange is declared with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ExchangeProperties {
    pub(super) kind: ExchangeKind,
    pub(super) durable: bool,
    pub(super) auto_delete: bool,
    pub(super) internal: bool,
}

/// The destination of a binding.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum BindingTarget {
    Queue(ShortStr),
    Exchange(ShortStr),
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Binding {
    pub(super) routing_key: ShortStr,
    pub(super) target: BindingTarget,
}

impl Binding {
    pub(super) fn new(routing_key: ShortStr, target: BindingTarget) -> Self {
        Binding {
            routing_key,
            target,
        }
    }
}

#[derive(Debug)]
pub(super) struct Exchange {
    pub(super) properties: ExchangeProperties,
    pub(super) bindings: BTreeSet<Binding>,
}

impl Exchange {
    pub(super) fn new(properties: ExchangeProperties) -> Self {
        Exchange {
            properties,
            bindings: BTreeSet::new(),
        }
    }
}

/// The properties that a queue is declared with.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct QueueProperties {
    pub(super) durable: bool,
    pub(super) auto_delete: bool,
    /// The connection that an exclusive queue belongs to; `None` if the queue is not exclusive.
    pub(super) owner: Option<ConnectionId>,
    pub(super) arguments: QueueArguments,
}

#[derive(Debug)]
pub(super) struct Queue {
    pub(super) properties: QueueProperties,
    pub(super) messages: VecDeque<Message>,
    /// The consumers of the queue; the first is the next in turn.
    pub(super) consumers: VecDeque<ConsumerKey>,
    pub(super) had_consumers: bool,
    pub(super) unused_since: Time,
}

impl Queue {
    pub(super) fn new(properties: QueueProperties, now: Time) -> Self {
        Queue {
            properties,
            messages: VecDeque::new(),
            consumers: VecDeque::new(),
            had_consumers: false,
            unused_since: now,
        }
    }

    /// When the first message of the queue expires; `None` if there is none or it never expires.
    pub(super) fn head_expiry(&self) -> Option<Time> {
        self.messages.front()?.expires
    }

    pub(super) fn head_has_expired(&self, now: Time) -> bool {
        self.head_expiry().is_some_and(|expires| expires <= now)
    }

    /// When the queue itself expires; `None` while it has consumers, or if it never expires.
    pub(super) fn own_expiry(&self) -> Option<Time> {
        if !self.consumers.is_empty() {
            return None;
        }
        Some(self.unused_since + self.properties.arguments.expires?)
    }

    pub(super) fn has_expired(&self, now: Time) -> bool {
        self.own_expiry().is_some_and(|expires| expires <= now)
    }
}

#[derive(Debug)]
pub(super) struct Consumer {
    pub(super) queue: ShortStr,
    pub(super) no_ack: bool,
    pub(super) exclusive: bool,
    pub(super) prefetch: u16,
    pub(super) unacked: usize,
}

impl Consumer {
    /// Whether its prefetch limit allows another delivery.
    pub(super) fn has_capacity(&self) -> bool {
        self.no_ack || self.prefetch == 0 || self.unacked < usize::from(self.prefetch)
    }
}

/// A message that was delivered and is not acknowledged yet.
#[derive(Debug)]
pub(super) struct Unacked {
    pub(super) queue: ShortStr,
    pub(super) message: Message,
    /// The consumer that it was delivered to; `None` if it was fetched by `basic.get`.
    pub(super) consumer: Option<ShortStr>,
}

#[derive(Debug, Default)]
pub(super) struct Channel {
    pub(super) consumers: BTreeMap<ShortStr, Consumer>,
    pub(super) unacked: BTreeMap<u64, Unacked>,
    pub(super) last_delivery_tag: u64,
    /// The prefetch limit of each consumer that starts from now on; 0 for no limit.
    pub(super) prefetch: u16,
    /// The prefetch limit over all consumers of the channel; 0 for no limit.
    pub(super) prefetch_global: u16,
    /// The open transaction; `None` if the channel is not transactional.
    pub(super) transaction: Option<Transaction>,
    /// The number of the last publish in confirm mode; `None` if the channel is not in confirm mode.
    pub(super) last_confirm: Option<u64>,
    /// Whether the client has stopped deliveries by `channel.flow`.
    pub(super) flow_stopped: bool,
}

impl Channel {
    pub(super) fn consumed_queues(&self) -> impl Iterator<Item = ShortStr> + '_ {
        self.consumers
            .values()
            .map(|consumer| consumer.queue.clone())
    }

    pub(super) fn next_delivery_tag(&mut self) -> u64 {
        self.last_delivery_tag += 1;
        self.last_delivery_tag
    }

    /// Whether the prefetch limit of the channel allows another delivery.
    pub(super) fn has_capacity(&self) -> bool {
        if self.prefetch_global == 0 {
            return true;
        }
        let delivered = self.unacked.values().filter(|u| u.consumer.is_some());
        delivered.count() < usize::from(self.prefetch_global)
    }
}

#[derive(Debug, Default)]
pub(super) struct Connection {
    pub(super) channels: BTreeMap<u16, Channel>,
    /// Whether too much output waits to be written, so that no further messages are delivered.
    pub(super) congested: bool,
    /// The name of the connection in records.
    pub(super) client: String,
    /// The user that the client logged in as.
    pub(super) user: String,
}
