//! The state of a virtual host, the expiry of its queues, and its outputs.

use std::collections::{BTreeMap, BTreeSet};

use pipithub_amqp::{Content, Fault, FieldTable, Method, ShortStr, Time};
use pipithub_conformance::record::Seen;

use super::arguments::QueueArguments;
use super::entities::{
    Channel, ChannelKey, Connection, ConnectionId, Exchange, ExchangeKind, ExchangeProperties,
    Queue, QueueProperties,
};

/// [`Time`] counts nanoseconds; the protocol gives durations in milliseconds.
pub(super) const NANOS_PER_MS: Time = 1_000_000;

/// An output for a connection.
#[derive(Clone, Debug, PartialEq)]
pub enum BrokerOutput {
    /// A method, with its content.
    Method {
        /// The channel; 0 for the connection itself.
        channel: u16,
        /// The method to send.
        method: Method,
        /// The content, of those methods that carry one.
        content: Option<Box<Content>>,
    },
    /// The broker closes the channel.
    CloseChannel {
        /// The number of the channel.
        channel: u16,
        /// The reason, which is sent to the client.
        fault: Fault,
    },
    /// The broker closes the connection.
    CloseConnection(Fault),
}

/// An output with the connection that it is for.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// The connection that it is for.
    pub connection: ConnectionId,
    /// What is sent on it.
    pub output: BrokerOutput,
}

/// The limits on what a broker holds.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The length of a queue without `x-max-length`, in messages. Beyond it the oldest message is dropped or
    /// dead-lettered.
    pub messages: usize,
    /// The number of queues, and that of exchanges; further ones are rejected.
    pub entities: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            messages: 1_000_000,
            entities: 10_000,
        }
    }
}

/// A virtual host without I/O: it takes events of connections and returns outputs and records.
#[derive(Debug)]
pub struct Broker {
    pub(super) bounds: Bounds,
    pub(super) now: Time,
    pub(super) exchanges: BTreeMap<ShortStr, Exchange>,
    pub(super) queues: BTreeMap<ShortStr, Queue>,
    pub(super) connections: BTreeMap<ConnectionId, Connection>,
    /// Queues that may have messages for their consumers.
    pub(super) pending_delivery: BTreeSet<ShortStr>,
    /// Why publishers are blocked; `None` while they are not.
    pub(super) blocked: Option<String>,
    pub(super) last_message_number: u64,
    /// The number of names generated so far.
    generated_names: u64,
    outputs: Vec<Outgoing>,
    records: Vec<Seen>,
}

impl Default for Broker {
    fn default() -> Self {
        Broker::new(Bounds::default())
    }
}

impl Broker {
    /// An empty virtual host with the exchanges that the specification asks for.
    pub fn new(bounds: Bounds) -> Self {
        Broker {
            bounds,
            now: 0,
            exchanges: standard_exchanges(),
            queues: BTreeMap::new(),
            connections: BTreeMap::new(),
            pending_delivery: BTreeSet::new(),
            blocked: None,
            last_message_number: 0,
            generated_names: 0,
            outputs: Vec::new(),
            records: Vec::new(),
        }
    }

    /// Takes the outputs since the last call, in order.
    pub fn take_outputs(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.outputs)
    }

    /// Takes the records since the last call.
    pub fn take_records(&mut self) -> Vec<Seen> {
        std::mem::take(&mut self.records)
    }

    /// How many messages of a queue are ready, and how many unacknowledged; `None` if there is no such queue.
    pub fn depth(&self, queue: &str) -> Option<(usize, usize)> {
        let queue = ShortStr::truncated(queue);
        let ready = self.queues.get(&queue)?.messages.len();
        let unacked = self
            .connections
            .values()
            .flat_map(|connection| connection.channels.values())
            .flat_map(|channel| channel.unacked.values())
            .filter(|unacked| unacked.queue == queue)
            .count();
        Some((ready, unacked))
    }

    /// Declares a durable queue, as an operator does before clients connect. An existing queue is kept.
    pub fn declare(&mut self, queue: &str, arguments: &FieldTable) {
        let properties = QueueProperties {
            durable: true,
            auto_delete: false,
            owner: None,
            arguments: QueueArguments::parse(arguments).unwrap_or_default(),
        };
        let now = self.now;
        self.queues
            .entry(ShortStr::truncated(queue))
            .or_insert_with(|| Queue::new(properties, now));
    }

    /// When [`Broker::on_time`] is due.
    pub fn next_timeout(&self) -> Option<Time> {
        let heads = self.queues.values().filter_map(Queue::head_expiry);
        let queues = self.queues.values().filter_map(Queue::own_expiry);
        heads.chain(queues).min()
    }

    /// Removes messages and queues that have expired, and delivers messages.
    pub fn on_time(&mut self, now: Time) {
        self.now = now;
        let due: Vec<ShortStr> = self
            .queues
            .iter()
            .filter(|(_, queue)| queue.head_has_expired(now) || queue.has_expired(now))
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            self.expire_messages(&name);
            if self
                .queues
                .get(&name)
                .is_some_and(|queue| queue.has_expired(now))
            {
                self.delete_queue(&name);
            }
        }
        self.deliver();
    }

    pub(super) fn channel(&mut self, at: ChannelKey) -> Option<&mut Channel> {
        self.connections
            .get_mut(&at.connection)?
            .channels
            .get_mut(&at.number)
    }

    /// The name of a connection in records; empty if the connection is unknown.
    pub(super) fn client_name(&self, connection: ConnectionId) -> String {
        self.connections
            .get(&connection)
            .map(|connection| connection.client.clone())
            .unwrap_or_default()
    }

    pub(super) fn generate_name(&mut self, prefix: &str) -> ShortStr {
        self.generated_names += 1;
        ShortStr::truncated(&format!("{prefix}-{}", self.generated_names))
    }

    pub(super) fn record(&mut self, seen: Seen) {
        self.records.push(seen);
    }

    pub(super) fn send(&mut self, at: ChannelKey, method: Method) {
        self.send_with_content(at, method, None);
    }

    pub(super) fn send_content(&mut self, at: ChannelKey, method: Method, content: Content) {
        self.send_with_content(at, method, Some(Box::new(content)));
    }

    fn send_with_content(&mut self, at: ChannelKey, method: Method, content: Option<Box<Content>>) {
        let output = BrokerOutput::Method {
            channel: at.number,
            method,
            content,
        };
        self.output(at.connection, output);
    }

    pub(super) fn output(&mut self, connection: ConnectionId, output: BrokerOutput) {
        self.outputs.push(Outgoing { connection, output });
    }
}

fn standard_exchanges() -> BTreeMap<ShortStr, Exchange> {
    let standard = |name, kind| {
        let properties = ExchangeProperties {
            kind,
            durable: true,
            auto_delete: false,
            internal: false,
        };
        (ShortStr::truncated(name), Exchange::new(properties))
    };
    BTreeMap::from([
        standard("", ExchangeKind::Direct),
        standard("amq.direct", ExchangeKind::Direct),
        standard("amq.fanout", ExchangeKind::Fanout),
        standard("amq.topic", ExchangeKind::Topic),
    ])
}
