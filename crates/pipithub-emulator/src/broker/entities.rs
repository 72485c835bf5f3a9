//! The entities of a virtual host: exchanges, queues, messages, and the connections with their channels.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use pipithub_amqp::{Content, Properties, ShortStr, Time};

use super::arguments::QueueArguments;
use super::transaction::Transaction;

/// The number of a connection; numbers are not reused.
pub type ConnectionId = u64;

/// Names a channel of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ChannelKey {
    pub(super) connection: ConnectionId,
    pub(super) number: u16,
}

/// Names a consumer of a channel.
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
    pub(super) expires: Option<Time>,
    /// Rises with each publish, so that a requeued message finds its former place.
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

/// What an exchange is declared with.
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

/// What a queue is declared with.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct QueueProperties {
    pub(super) durable: bool,
    pub(super) auto_delete: bool,
    /// The connection that an exclusive queue belongs to.
    pub(super) owner: Option<ConnectionId>,
    pub(super) arguments: QueueArguments,
}

#[derive(Debug)]
pub(super) struct Queue {
    pub(super) properties: QueueProperties,
    pub(super) messages: VecDeque<Message>,
    /// In the order of their turns.
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

    /// When its oldest message expires.
    pub(super) fn head_expiry(&self) -> Option<Time> {
        self.messages.front()?.expires
    }

    pub(super) fn head_has_expired(&self, now: Time) -> bool {
        self.head_expiry().is_some_and(|expires| expires <= now)
    }

    /// When the queue itself expires, while it has no consumers.
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
    /// `None`: it was fetched by `basic.get`.
    pub(super) consumer: Option<ShortStr>,
}

#[derive(Debug, Default)]
pub(super) struct Channel {
    pub(super) consumers: BTreeMap<ShortStr, Consumer>,
    pub(super) unacked: BTreeMap<u64, Unacked>,
    pub(super) last_delivery_tag: u64,
    /// The prefetch limit of each consumer that begins from now on; 0: none.
    pub(super) prefetch: u16,
    /// The prefetch limit over all consumers of the channel; 0: none.
    pub(super) prefetch_global: u16,
    pub(super) transaction: Option<Transaction>,
    /// In confirm mode, the number of the last publish.
    pub(super) last_confirm: Option<u64>,
    /// The client asked by `channel.flow` for no further content.
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
    /// Its output waits to be written: no further messages are delivered to it.
    pub(super) congested: bool,
    /// Its name in the records.
    pub(super) client: String,
    /// Whom it logged in as.
    pub(super) user: String,
}
