//! A virtual host of a broker without I/O: exchanges, queues, consumers, transactions, confirms, dead letters.
//!
//! It follows the specification and, where that is silent or brokers in use differ from it, `RabbitMQ`: `basic.qos` with
//! `global` counts over the channel, without it for consumers begun later; `x-message-ttl`, `x-dead-letter-exchange`,
//! `x-dead-letter-routing-key`, `x-max-length` and `x-expires` are taken as queue arguments.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use pipithub_amqp::{
    Code, Content, Event, Fault, FieldTable, FieldValue, Method, Properties, ShortStr, Time,
};
use pipithub_conformance::record::Seen;

/// A connection, as the shell numbers it.
pub type ConnectionId = u64;

/// What goes out on a connection.
#[derive(Clone, Debug, PartialEq)]
pub enum BrokerOutput {
    /// A method, with its content.
    Method(u16, Method, Option<Box<Content>>),
    /// The channel ends.
    CloseChannel(u16, Fault),
    /// The connection ends.
    Close(Fault),
}

/// The bounds of a broker.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Messages held in all queues; more are dropped (or dead-lettered) from the head of the longest.
    pub messages: usize,
    /// Queues and exchanges, each.
    pub entities: usize,
    /// Bytes of bodies held; at more, publishers are blocked.
    pub bytes: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            messages: 1_000_000,
            entities: 10_000,
            bytes: 1 << 30,
        }
    }
}

#[derive(Clone, Debug)]
struct Message {
    exchange: ShortStr,
    routing_key: ShortStr,
    properties: Properties,
    body: Bytes,
    redelivered: bool,
    expires: Option<Time>,
    /// Keeps the order of messages that come back.
    number: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Direct,
    Fanout,
    Topic,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Target {
    Queue(ShortStr),
    Exchange(ShortStr),
}

#[derive(Debug)]
struct Exchange {
    kind: Kind,
    durable: bool,
    auto_delete: bool,
    internal: bool,
    bindings: BTreeSet<(ShortStr, Target)>,
}

#[derive(Clone, Debug, Default, PartialEq)]
struct QueueArguments {
    ttl: Option<Time>,
    dead_exchange: Option<ShortStr>,
    dead_key: Option<ShortStr>,
    max_length: Option<usize>,
    expires: Option<Time>,
}

#[derive(Debug)]
struct Queue {
    durable: bool,
    auto_delete: bool,
    owner: Option<ConnectionId>,
    arguments: QueueArguments,
    messages: VecDeque<Message>,
    /// In the order of their turns.
    consumers: VecDeque<(ConnectionId, u16, ShortStr)>,
    had_consumers: bool,
    unused_since: Time,
}

#[derive(Debug)]
struct Consumer {
    queue: ShortStr,
    no_ack: bool,
    exclusive: bool,
    prefetch: u16,
    unacked: usize,
}

#[derive(Debug)]
struct Unacked {
    queue: ShortStr,
    message: Message,
    /// `None`: it was got by `basic.get`.
    consumer: Option<ShortStr>,
}

#[derive(Debug)]
enum Settle {
    Ack,
    /// Back to the queue, or to the dead letters.
    Reject {
        requeue: bool,
    },
}

#[derive(Debug, Default)]
struct Transaction {
    publishes: Vec<(Method, Content)>,
    settles: Vec<(u64, Settle)>,
    /// Tags that are settled in it already.
    taken: BTreeSet<u64>,
}

#[derive(Debug, Default)]
struct Channel {
    consumers: BTreeMap<ShortStr, Consumer>,
    unacked: BTreeMap<u64, Unacked>,
    next_tag: u64,
    prefetch: u16,
    prefetch_global: u16,
    transaction: Option<Transaction>,
    /// The number of the last publish to confirm.
    confirms: Option<u64>,
    stopped: bool,
}

#[derive(Debug, Default)]
struct Connection {
    channels: BTreeMap<u16, Channel>,
    /// Its output waits: it is sent no further messages.
    congested: bool,
    client: String,
    user: String,
}

/// A virtual host.
#[derive(Debug)]
pub struct Broker {
    bounds: Bounds,
    now: Time,
    exchanges: BTreeMap<ShortStr, Exchange>,
    queues: BTreeMap<ShortStr, Queue>,
    connections: BTreeMap<ConnectionId, Connection>,
    names: u64,
    numbers: u64,
    blocked: Option<String>,
    out: Vec<(ConnectionId, BrokerOutput)>,
    seen: Vec<Seen>,
    /// Queues that may have something for their consumers.
    stirred: BTreeSet<ShortStr>,
}

fn name(text: &str) -> ShortStr {
    ShortStr::truncated(text)
}

fn fault(code: Code, text: String, method: &Method) -> Fault {
    Fault::new(code, text).caused_by(method)
}

impl Default for Broker {
    fn default() -> Self {
        Broker::new(Bounds::default())
    }
}

impl Broker {
    /// An empty virtual host with the exchanges that the specification asks for.
    pub fn new(bounds: Bounds) -> Self {
        let standard = [
            ("", Kind::Direct),
            ("amq.direct", Kind::Direct),
            ("amq.fanout", Kind::Fanout),
            ("amq.topic", Kind::Topic),
        ];
        let exchange = |kind| Exchange {
            kind,
            durable: true,
            auto_delete: false,
            internal: false,
            bindings: BTreeSet::new(),
        };
        Broker {
            bounds,
            now: 0,
            exchanges: standard
                .into_iter()
                .map(|(n, kind)| (name(n), exchange(kind)))
                .collect(),
            queues: BTreeMap::new(),
            connections: BTreeMap::new(),
            names: 0,
            numbers: 0,
            blocked: None,
            out: Vec::new(),
            seen: Vec::new(),
            stirred: BTreeSet::new(),
        }
    }

    /// What goes out.
    pub fn take_outputs(&mut self) -> Vec<(ConnectionId, BrokerOutput)> {
        std::mem::take(&mut self.out)
    }

    /// What was seen on the sockets.
    pub fn take_seen(&mut self) -> Vec<Seen> {
        std::mem::take(&mut self.seen)
    }

    /// Messages ready and not acknowledged in a queue.
    pub fn depth(&self, queue: &str) -> Option<(usize, usize)> {
        let queue = name(queue);
        let ready = self.queues.get(&queue)?.messages.len();
        let channels = self.connections.values().flat_map(|c| c.channels.values());
        let unacked = channels
            .flat_map(|c| c.unacked.values())
            .filter(|u| u.queue == queue)
            .count();
        Some((ready, unacked))
    }

    /// Declares a durable queue, as an operator would beforehand.
    pub fn declare(&mut self, queue: &str, arguments: &FieldTable) {
        let queue_name = name(queue);
        let arguments = Self::arguments(arguments).unwrap_or_default();
        let now = self.now;
        self.queues.entry(queue_name).or_insert_with(|| Queue {
            durable: true,
            auto_delete: false,
            owner: None,
            arguments,
            messages: VecDeque::new(),
            consumers: VecDeque::new(),
            had_consumers: false,
            unused_since: now,
        });
    }

    /// A connection is open; `client` is its name for the records, `user` whom it logged in as.
    pub fn connect(&mut self, id: ConnectionId, client: &str, user: &str) {
        let connection = Connection {
            client: client.to_string(),
            user: user.to_string(),
            ..Connection::default()
        };
        self.connections.insert(id, connection);
        if let Some(reason) = &self.blocked {
            let method = Method::ConnectionBlocked {
                reason: name(reason),
            };
            self.out.push((id, BrokerOutput::Method(0, method, None)));
        }
    }

    /// Its output waits to be written, or no longer does.
    pub fn set_congested(&mut self, now: Time, id: ConnectionId, congested: bool) {
        self.now = now;
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if std::mem::replace(&mut connection.congested, congested) && !congested {
            let queues = connection
                .channels
                .values()
                .flat_map(|c| c.consumers.values());
            self.stirred.extend(queues.map(|c| c.queue.clone()));
            self.deliver();
        }
    }

    /// Tells clients that publishes are not taken for now, or are again.
    pub fn set_blocked(&mut self, reason: Option<&str>) {
        self.blocked = reason.map(str::to_string);
        for id in self.connections.keys() {
            let method = match reason {
                Some(reason) => Method::ConnectionBlocked {
                    reason: name(reason),
                },
                None => Method::ConnectionUnblocked {},
            };
            self.out.push((*id, BrokerOutput::Method(0, method, None)));
        }
    }

    /// Whether publishers are to be held back.
    pub fn is_blocked(&self) -> bool {
        self.blocked.is_some()
    }

    /// A connection is gone: all that it had not acknowledged goes back.
    pub fn disconnect(&mut self, now: Time, id: ConnectionId) {
        self.now = now;
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let client = connection.client.clone();
        let channels: Vec<u16> = connection.channels.keys().copied().collect();
        channels
            .into_iter()
            .for_each(|channel| self.channel_gone(id, channel));
        self.connections.remove(&id);
        let owned: Vec<_> = self
            .queues
            .iter()
            .filter(|(_, q)| q.owner == Some(id))
            .map(|(n, _)| n.clone())
            .collect();
        owned.iter().for_each(|queue| self.delete_queue(queue));
        self.seen.push(Seen::ClientGone { client });
        self.deliver();
    }

    /// When [`Broker::on_time`] is due.
    pub fn next_timeout(&self) -> Option<Time> {
        let heads = self
            .queues
            .values()
            .filter_map(|q| q.messages.front()?.expires);
        let unused = self.queues.values().filter(|q| q.consumers.is_empty());
        let expiring = unused.filter_map(|q| Some(q.unused_since + q.arguments.expires?));
        heads.chain(expiring).min()
    }

    /// Lets expire what is due.
    pub fn on_time(&mut self, now: Time) {
        self.now = now;
        let due = |q: &Queue| {
            q.messages
                .front()
                .and_then(|m| m.expires)
                .is_some_and(|t| t <= now)
                || q.consumers.is_empty()
                    && q.arguments
                        .expires
                        .is_some_and(|e| q.unused_since + e <= now)
        };
        let names: Vec<_> = self
            .queues
            .iter()
            .filter(|(_, q)| due(q))
            .map(|(n, _)| n.clone())
            .collect();
        for queue in names {
            self.expire(&queue);
            let gone = |q: &Queue| {
                q.consumers.is_empty()
                    && q.arguments
                        .expires
                        .is_some_and(|e| q.unused_since + e <= now)
            };
            if self.queues.get(&queue).is_some_and(gone) {
                self.delete_queue(&queue);
            }
        }
        self.deliver();
    }

    /// Takes an event of a connection that is open.
    pub fn handle(&mut self, now: Time, id: ConnectionId, event: Event) {
        self.now = now;
        match event {
            Event::ChannelOpened { channel } => {
                if let Some(connection) = self.connections.get_mut(&id) {
                    connection.channels.insert(channel, Channel::default());
                }
            }
            Event::ChannelClosed { channel, .. } => {
                self.channel_gone(id, channel);
                if let Some(connection) = self.connections.get_mut(&id) {
                    connection.channels.remove(&channel);
                }
            }
            Event::Flow { channel, active } => {
                if let Some(c) = self.channel(id, channel) {
                    c.stopped = !active;
                    let queues: Vec<_> = c.consumers.values().map(|c| c.queue.clone()).collect();
                    self.stirred.extend(queues);
                }
            }
            Event::Method {
                channel,
                method,
                content,
            } => {
                if self.channel(id, channel).is_none() {
                    return;
                }
                if let Err(fault) = self.method(id, channel, method, content.map(|c| *c)) {
                    // Faults of these codes end the connection, all others the channel alone (specification 1.2).
                    let hard = [503u16, 530, 540, 501, 502, 504, 505, 541];
                    let out = if hard.contains(&fault.code) {
                        BrokerOutput::Close(fault)
                    } else {
                        self.channel_gone(id, channel);
                        if let Some(c) = self.connections.get_mut(&id) {
                            c.channels.remove(&channel);
                        }
                        BrokerOutput::CloseChannel(channel, fault)
                    };
                    self.out.push((id, out));
                }
            }
            Event::Closed { .. } => return self.disconnect(now, id),
            Event::Login { .. }
            | Event::OpenRequested { .. }
            | Event::Connected
            | Event::Blocked(_) => {}
        }
        self.deliver();
    }

    fn channel(&mut self, id: ConnectionId, channel: u16) -> Option<&mut Channel> {
        self.connections.get_mut(&id)?.channels.get_mut(&channel)
    }

    fn send(&mut self, id: ConnectionId, channel: u16, method: Method) {
        self.out
            .push((id, BrokerOutput::Method(channel, method, None)));
    }

    // ---- methods ----

    fn method(
        &mut self,
        id: ConnectionId,
        channel: u16,
        m: Method,
        content: Option<Content>,
    ) -> Result<(), Fault> {
        match &m {
            Method::ExchangeDeclare { .. }
            | Method::ExchangeDelete { .. }
            | Method::ExchangeBind { .. }
            | Method::ExchangeUnbind { .. } => self.exchange_method(id, channel, m),
            Method::QueueDeclare { .. }
            | Method::QueueBind { .. }
            | Method::QueueUnbind { .. }
            | Method::QueuePurge { .. }
            | Method::QueueDelete { .. } => self.queue_method(id, channel, m),
            Method::BasicPublish { .. } => {
                self.publish_method(id, channel, m, content.unwrap_or_default())
            }
            Method::BasicAck { .. } | Method::BasicNack { .. } | Method::BasicReject { .. } => {
                self.settle_method(id, channel, m)
            }
            Method::TxSelect {}
            | Method::TxCommit {}
            | Method::TxRollback {}
            | Method::ConfirmSelect { .. } => self.mode_method(id, channel, m),
            _ => self.consume_method(id, channel, m),
        }
    }

    #[expect(clippy::too_many_lines, reason = "not split yet; see the roadmap")]
    fn exchange_method(&mut self, id: ConnectionId, channel: u16, m: Method) -> Result<(), Fault> {
        match &m {
            Method::ExchangeDeclare {
                exchange,
                kind,
                passive,
                durable,
                auto_delete,
                internal,
                no_wait,
                ..
            } => {
                let known = self.exchanges.get(exchange);
                if *passive && known.is_none() {
                    return Err(fault(
                        Code::NotFound,
                        format!("no exchange '{exchange}'"),
                        &m,
                    ));
                }
                if !*passive {
                    let kind = match &**kind {
                        "direct" => Kind::Direct,
                        "fanout" => Kind::Fanout,
                        "topic" => Kind::Topic,
                        other => {
                            return Err(fault(
                                Code::CommandInvalid,
                                format!("no exchange type '{other}'"),
                                &m,
                            ));
                        }
                    };
                    match known {
                        Some(e)
                            if (e.kind, e.durable, e.auto_delete, e.internal)
                                != (kind, *durable, *auto_delete, *internal) =>
                        {
                            let text =
                                format!("exchange '{exchange}' exists with other properties");
                            return Err(fault(Code::PreconditionFailed, text, &m));
                        }
                        Some(_) => {}
                        None if exchange.is_empty() || exchange.starts_with("amq.") => {
                            return Err(fault(
                                Code::AccessRefused,
                                "the name is reserved".into(),
                                &m,
                            ));
                        }
                        None if self.exchanges.len() >= self.bounds.entities => {
                            return Err(fault(
                                Code::ResourceError,
                                "too many exchanges".into(),
                                &m,
                            ));
                        }
                        None => {
                            let (durable, auto_delete, internal) =
                                (*durable, *auto_delete, *internal);
                            let new = Exchange {
                                kind,
                                durable,
                                auto_delete,
                                internal,
                                bindings: BTreeSet::new(),
                            };
                            self.exchanges.insert(exchange.clone(), new);
                        }
                    }
                }
                if !no_wait {
                    self.send(id, channel, Method::ExchangeDeclareOk {});
                }
            }
            Method::ExchangeDelete {
                exchange,
                if_unused,
                no_wait,
            } => {
                if exchange.is_empty() || exchange.starts_with("amq.") {
                    return Err(fault(
                        Code::AccessRefused,
                        "the exchange is the broker's own".into(),
                        &m,
                    ));
                }
                // To delete what is not there is no fault (RabbitMQ; the specification says 404).
                let used = self
                    .exchanges
                    .get(exchange)
                    .is_some_and(|e| !e.bindings.is_empty());
                if *if_unused && used {
                    return Err(fault(
                        Code::PreconditionFailed,
                        format!("exchange '{exchange}' is in use"),
                        &m,
                    ));
                }
                self.exchanges.remove(exchange);
                let target = Target::Exchange(exchange.clone());
                self.exchanges
                    .values_mut()
                    .for_each(|e| e.bindings.retain(|(_, t)| *t != target));
                if !no_wait {
                    self.send(id, channel, Method::ExchangeDeleteOk {});
                }
            }
            Method::ExchangeBind {
                destination,
                source,
                routing_key,
                no_wait,
                ..
            } => {
                if !self.exchanges.contains_key(destination) {
                    return Err(fault(
                        Code::NotFound,
                        format!("no exchange '{destination}'"),
                        &m,
                    ));
                }
                let target = Target::Exchange(destination.clone());
                self.bind(source, routing_key, target, &m)?;
                if !no_wait {
                    self.send(id, channel, Method::ExchangeBindOk {});
                }
            }
            Method::ExchangeUnbind {
                destination,
                source,
                routing_key,
                no_wait,
                ..
            } => {
                if let Some(e) = self.exchanges.get_mut(source) {
                    e.bindings
                        .remove(&(routing_key.clone(), Target::Exchange(destination.clone())));
                }
                if !no_wait {
                    self.send(id, channel, Method::ExchangeUnbindOk {});
                }
            }
            _ => {}
        }
        Ok(())
    }

    fn bind(
        &mut self,
        source: &ShortStr,
        key: &ShortStr,
        target: Target,
        m: &Method,
    ) -> Result<(), Fault> {
        if source.is_empty() {
            return Err(fault(
                Code::AccessRefused,
                "the default exchange takes no bindings".into(),
                m,
            ));
        }
        let limit = self.bounds.entities;
        let Some(exchange) = self.exchanges.get_mut(source) else {
            return Err(fault(Code::NotFound, format!("no exchange '{source}'"), m));
        };
        if exchange.bindings.len() >= limit {
            return Err(fault(Code::ResourceError, "too many bindings".into(), m));
        }
        exchange.bindings.insert((key.clone(), target));
        Ok(())
    }

    fn arguments(table: &FieldTable) -> Result<QueueArguments, String> {
        let ms = |key: &str| match table.get(key) {
            None => Ok(None),
            Some(v) => match v.as_i64().and_then(|v| u64::try_from(v).ok()) {
                Some(ms) => Ok(Some(ms.saturating_mul(1_000_000))),
                None => Err(format!("{key} must be a whole number that is not negative")),
            },
        };
        let text = |key: &str| match table.get(key) {
            None => Ok(None),
            Some(v) => v
                .as_str()
                .map(|s| Some(name(s)))
                .ok_or(format!("{key} must be a text")),
        };
        let max_length = match table.get("x-max-length") {
            None => None,
            Some(v) => Some(
                v.as_i64()
                    .and_then(|v| usize::try_from(v).ok())
                    .ok_or("x-max-length must be a whole number that is not negative")?,
            ),
        };
        Ok(QueueArguments {
            ttl: ms("x-message-ttl")?,
            dead_exchange: text("x-dead-letter-exchange")?,
            dead_key: text("x-dead-letter-routing-key")?,
            max_length,
            expires: ms("x-expires")?,
        })
    }

    /// The queue, where this connection may use it.
    fn usable(&self, id: ConnectionId, queue: &ShortStr, m: &Method) -> Result<&Queue, Fault> {
        let Some(found) = self.queues.get(queue) else {
            return Err(fault(Code::NotFound, format!("no queue '{queue}'"), m));
        };
        if found.owner.is_some_and(|owner| owner != id) {
            let text = format!("queue '{queue}' is exclusive to another connection");
            return Err(fault(Code::ResourceLocked, text, m));
        }
        Ok(found)
    }

    #[expect(clippy::too_many_lines, reason = "not split yet; see the roadmap")]
    fn queue_method(&mut self, id: ConnectionId, channel: u16, m: Method) -> Result<(), Fault> {
        match &m {
            Method::QueueDeclare {
                queue,
                passive,
                durable,
                exclusive,
                auto_delete,
                no_wait,
                arguments,
            } => {
                let parsed = Self::arguments(arguments)
                    .map_err(|e| fault(Code::PreconditionFailed, e, &m))?;
                let mut queue = queue.clone();
                if queue.is_empty() && !passive {
                    self.names += 1;
                    queue = name(&format!("amq.gen-{}", self.names));
                } else if *passive || self.queues.contains_key(&queue) {
                    let found = self.usable(id, &queue, &m)?;
                    let same = found.durable == *durable
                        && found.auto_delete == *auto_delete
                        && found.owner.is_some() == *exclusive
                        && found.arguments == parsed;
                    if !passive && !same {
                        let text = format!("queue '{queue}' exists with other properties");
                        return Err(fault(Code::PreconditionFailed, text, &m));
                    }
                } else if queue.starts_with("amq.") {
                    return Err(fault(
                        Code::AccessRefused,
                        "the name is reserved".into(),
                        &m,
                    ));
                }
                if !self.queues.contains_key(&queue) {
                    if self.queues.len() >= self.bounds.entities {
                        return Err(fault(Code::ResourceError, "too many queues".into(), &m));
                    }
                    let new = Queue {
                        durable: *durable,
                        auto_delete: *auto_delete,
                        owner: exclusive.then_some(id),
                        arguments: parsed,
                        messages: VecDeque::new(),
                        consumers: VecDeque::new(),
                        had_consumers: false,
                        unused_since: self.now,
                    };
                    self.queues.insert(queue.clone(), new);
                }
                if !no_wait {
                    let found = &self.queues[&queue];
                    let (message_count, consumer_count) =
                        (found.messages.len() as u32, found.consumers.len() as u32);
                    self.send(
                        id,
                        channel,
                        Method::QueueDeclareOk {
                            queue,
                            message_count,
                            consumer_count,
                        },
                    );
                }
            }
            Method::QueueBind {
                queue,
                exchange,
                routing_key,
                no_wait,
                ..
            } => {
                self.usable(id, queue, &m)?;
                self.bind(exchange, routing_key, Target::Queue(queue.clone()), &m)?;
                if !no_wait {
                    self.send(id, channel, Method::QueueBindOk {});
                }
            }
            Method::QueueUnbind {
                queue,
                exchange,
                routing_key,
                ..
            } => {
                if let Some(e) = self.exchanges.get_mut(exchange) {
                    e.bindings
                        .remove(&(routing_key.clone(), Target::Queue(queue.clone())));
                }
                self.send(id, channel, Method::QueueUnbindOk {});
            }
            Method::QueuePurge { queue, no_wait } => {
                self.usable(id, queue, &m)?;
                let purged = self
                    .queues
                    .get_mut(queue)
                    .map(|q| std::mem::take(&mut q.messages).len());
                if !no_wait {
                    let message_count = purged.unwrap_or(0) as u32;
                    self.send(id, channel, Method::QueuePurgeOk { message_count });
                }
            }
            Method::QueueDelete {
                queue,
                if_unused,
                if_empty,
                no_wait,
            } => {
                let mut message_count = 0;
                if self.queues.contains_key(queue) {
                    let found = self.usable(id, queue, &m)?;
                    if *if_unused && !found.consumers.is_empty()
                        || *if_empty && !found.messages.is_empty()
                    {
                        return Err(fault(
                            Code::PreconditionFailed,
                            format!("queue '{queue}' is in use"),
                            &m,
                        ));
                    }
                    message_count = found.messages.len() as u32;
                    self.delete_queue(queue);
                }
                if !no_wait {
                    self.send(id, channel, Method::QueueDeleteOk { message_count });
                }
            }
            _ => {}
        }
        Ok(())
    }

    fn delete_queue(&mut self, queue: &ShortStr) {
        let Some(found) = self.queues.remove(queue) else {
            return;
        };
        for (id, channel, tag) in found.consumers {
            // The consumer is told: its queue is gone.
            if let Some(c) = self.channel(id, channel) {
                c.consumers.remove(&tag);
                let cancel = Method::BasicCancel {
                    consumer_tag: tag,
                    no_wait: true,
                };
                self.send(id, channel, cancel);
            }
        }
        let target = Target::Queue(queue.clone());
        self.exchanges
            .values_mut()
            .for_each(|e| e.bindings.retain(|(_, t)| *t != target));
    }

    // ---- publishing ----

    fn publish_method(
        &mut self,
        id: ConnectionId,
        channel: u16,
        m: Method,
        content: Content,
    ) -> Result<(), Fault> {
        let Method::BasicPublish {
            exchange,
            immediate,
            ..
        } = &m
        else {
            return Ok(());
        };
        if *immediate {
            return Err(fault(
                Code::NotImplemented,
                "immediate is not offered".into(),
                &m,
            ));
        }
        let user = self.connections.get(&id).map_or("", |c| c.user.as_str());
        if let Some(claimed) = content.properties.user_id.as_deref().filter(|c| *c != user) {
            // As RabbitMQ checks it: nobody publishes under another's name.
            let text =
                format!("user_id property set to '{claimed}' but authenticated user was '{user}'");
            return Err(fault(Code::PreconditionFailed, text, &m));
        }
        match self.exchanges.get(exchange) {
            None => {
                return Err(fault(
                    Code::NotFound,
                    format!("no exchange '{exchange}'"),
                    &m,
                ));
            }
            Some(e) if e.internal => {
                return Err(fault(
                    Code::AccessRefused,
                    format!("exchange '{exchange}' is internal"),
                    &m,
                ));
            }
            Some(_) => {}
        }
        if let Some(text) = &content.properties.expiration
            && text.parse::<u32>().is_err()
        {
            return Err(fault(
                Code::PreconditionFailed,
                format!("expiration '{text}'"),
                &m,
            ));
        }
        let Some(c) = self.channel(id, channel) else {
            return Ok(());
        };
        if let Some(transaction) = &mut c.transaction {
            transaction.publishes.push((m, content));
            return Ok(());
        }
        let confirm = c.confirms.as_mut().map(|n| {
            *n += 1;
            *n
        });
        self.publish(id, channel, m, content);
        if let Some(delivery_tag) = confirm {
            self.send(
                id,
                channel,
                Method::BasicAck {
                    delivery_tag,
                    multiple: false,
                },
            );
        }
        Ok(())
    }

    fn publish(&mut self, id: ConnectionId, channel: u16, m: Method, content: Content) {
        let Method::BasicPublish {
            exchange,
            routing_key,
            mandatory,
            ..
        } = m
        else {
            return;
        };
        let Content { properties, body } = content;
        let queues = self.route(&exchange, &routing_key);
        self.note_published(id, &queues, &routing_key, &properties, body.len());
        if queues.is_empty() && mandatory {
            let method = Method::BasicReturn {
                reply_code: Code::NoRoute as u16,
                reply_text: name("NO_ROUTE"),
                exchange,
                routing_key,
            };
            let content = Some(Box::new(Content { properties, body }));
            self.out
                .push((id, BrokerOutput::Method(channel, method, content)));
            return;
        }
        self.numbers += 1;
        let number = self.numbers;
        let message = Message {
            exchange,
            routing_key,
            properties,
            body,
            redelivered: false,
            expires: None,
            number,
        };
        for queue in queues {
            self.enqueue(&queue, message.clone());
        }
    }

    fn note_published(
        &mut self,
        id: ConnectionId,
        queues: &BTreeSet<ShortStr>,
        key: &str,
        p: &Properties,
        size: usize,
    ) {
        let text = |s: &Option<ShortStr>| s.as_deref().map(str::to_string);
        let headers = p
            .headers
            .iter()
            .flat_map(pipithub_amqp::FieldTable::iter)
            .filter(|(n, _)| n.starts_with("pipithub-"));
        let told = |v: &FieldValue| match v {
            FieldValue::LongStr(b) => String::from_utf8_lossy(b).into_owned(),
            other => other.as_f64().map(|n| n.to_string()).unwrap_or_default(),
        };
        self.seen.push(Seen::Published {
            queues: queues
                .iter()
                .map(std::string::ToString::to_string)
                .collect(),
            routing_key: key.to_string(),
            message_id: text(&p.message_id),
            correlation_id: text(&p.correlation_id),
            reply_to: text(&p.reply_to),
            expiration_ms: p.expiration.as_ref().and_then(|e| e.parse().ok()),
            headers: headers.map(|(n, v)| (n.to_string(), told(v))).collect(),
            size: size as u64,
            client: self
                .connections
                .get(&id)
                .map(|c| c.client.clone())
                .unwrap_or_default(),
        });
    }

    /// The queues that a message reaches.
    fn route(&self, exchange: &ShortStr, key: &ShortStr) -> BTreeSet<ShortStr> {
        if exchange.is_empty() {
            return self.queues.keys().filter(|q| *q == key).cloned().collect();
        }
        let (mut queues, mut visited, mut open) =
            (BTreeSet::new(), BTreeSet::new(), vec![exchange.clone()]);
        while let Some(next) = open.pop() {
            let Some(found) = self.exchanges.get(&next) else {
                continue;
            };
            if !visited.insert(next) {
                continue;
            }
            for (pattern, target) in &found.bindings {
                let fits = match found.kind {
                    Kind::Direct => pattern == key,
                    Kind::Fanout => true,
                    Kind::Topic => topic_fits(pattern, key),
                };
                match target {
                    Target::Queue(queue) if fits => {
                        queues.insert(queue.clone());
                    }
                    Target::Exchange(exchange) if fits => open.push(exchange.clone()),
                    _ => {}
                }
            }
        }
        queues
    }

    fn enqueue(&mut self, queue: &ShortStr, mut message: Message) {
        let now = self.now;
        let Some(found) = self.queues.get_mut(queue) else {
            return;
        };
        let own = message
            .properties
            .expiration
            .as_ref()
            .and_then(|e| e.parse::<u64>().ok());
        let ttl = [own.map(|ms| ms * 1_000_000), found.arguments.ttl]
            .into_iter()
            .flatten()
            .min();
        message.expires = ttl.map(|ttl| now.saturating_add(ttl));
        found.messages.push_back(message);
        let most = found.arguments.max_length.unwrap_or(self.bounds.messages);
        let over = if found.messages.len() > most {
            found.messages.pop_front()
        } else {
            None
        };
        if let Some(over) = over {
            self.dead_letter(queue, over, "maxlen");
        }
        self.stirred.insert(queue.clone());
    }

    fn expire(&mut self, queue: &ShortStr) {
        let now = self.now;
        let mut dead = Vec::new();
        if let Some(found) = self.queues.get_mut(queue) {
            while found
                .messages
                .front()
                .and_then(|m| m.expires)
                .is_some_and(|t| t <= now)
            {
                dead.extend(found.messages.pop_front());
            }
        }
        dead.into_iter()
            .for_each(|message| self.dead_letter(queue, message, "expired"));
    }

    fn dead_letter(&mut self, queue: &ShortStr, mut message: Message, reason: &str) {
        let Some(arguments) = self.queues.get(queue).map(|q| q.arguments.clone()) else {
            return;
        };
        let Some(exchange) = arguments.dead_exchange else {
            return;
        };
        let mut headers = message.properties.headers.take().unwrap_or_default();
        let mut deaths = match headers.get("x-death") {
            Some(FieldValue::Array(deaths)) => deaths.clone(),
            _ => Vec::new(),
        };
        // A message that goes round in a circle by itself is dropped, as RabbitMQ does.
        let same = |d: &FieldValue| {
            matches!(d, FieldValue::Table(t) if t.get("queue").and_then(FieldValue::as_str) == Some(queue)
                && t.get("reason").and_then(FieldValue::as_str) == Some(reason))
        };
        if reason != "rejected" && deaths.iter().any(same) || deaths.len() >= 16 {
            return;
        }
        let death = FieldTable::new()
            .with("queue", &**queue)
            .with("reason", reason)
            .with("exchange", &*message.exchange)
            .with(
                "routing-keys",
                FieldValue::Array(vec![FieldValue::from(&*message.routing_key)]),
            )
            .with("count", 1i64);
        deaths.insert(0, FieldValue::Table(death));
        headers.insert(name("x-death"), FieldValue::Array(deaths));
        message.properties.headers = Some(headers);
        message.properties.expiration = None;
        message.redelivered = false;
        let key = arguments
            .dead_key
            .unwrap_or_else(|| message.routing_key.clone());
        for target in self.route(&exchange, &key) {
            let mut copy = message.clone();
            (copy.exchange, copy.routing_key) = (exchange.clone(), key.clone());
            self.enqueue(&target, copy);
        }
    }

    // ---- consuming ----

    #[expect(clippy::too_many_lines, reason = "not split yet; see the roadmap")]
    fn consume_method(&mut self, id: ConnectionId, channel: u16, m: Method) -> Result<(), Fault> {
        match &m {
            Method::BasicQos {
                prefetch_size,
                prefetch_count,
                global,
            } => {
                if *prefetch_size != 0 {
                    return Err(fault(
                        Code::NotImplemented,
                        "a prefetch in bytes is not offered".into(),
                        &m,
                    ));
                }
                if let Some(c) = self.channel(id, channel) {
                    if *global {
                        c.prefetch_global = *prefetch_count;
                    } else {
                        c.prefetch = *prefetch_count;
                    }
                    let queues: Vec<_> = c.consumers.values().map(|c| c.queue.clone()).collect();
                    self.stirred.extend(queues);
                }
                self.send(id, channel, Method::BasicQosOk {});
            }
            Method::BasicConsume {
                queue,
                consumer_tag,
                no_ack,
                exclusive,
                no_wait,
                ..
            } => {
                let found = self.usable(id, queue, &m)?;
                let held = found.consumers.iter().any(|(i, c, t)| {
                    let consumer = self
                        .connections
                        .get(i)
                        .and_then(|i| i.channels.get(c)?.consumers.get(t));
                    consumer.is_some_and(|c| c.exclusive)
                });
                if held || *exclusive && !found.consumers.is_empty() {
                    let text = format!("queue '{queue}' has an exclusive consumer");
                    return Err(fault(Code::AccessRefused, text, &m));
                }
                let mut tag = consumer_tag.clone();
                if tag.is_empty() {
                    self.names += 1;
                    tag = name(&format!("amq.ctag-{}", self.names));
                }
                let Some(c) = self.channel(id, channel) else {
                    return Ok(());
                };
                if c.consumers.contains_key(&tag) {
                    return Err(fault(
                        Code::NotAllowed,
                        format!("consumer tag '{tag}' is taken"),
                        &m,
                    ));
                }
                let prefetch = c.prefetch;
                let (queue, no_ack, exclusive) = (queue.clone(), *no_ack, *exclusive);
                let consumer = Consumer {
                    queue: queue.clone(),
                    no_ack,
                    exclusive,
                    prefetch,
                    unacked: 0,
                };
                c.consumers.insert(tag.clone(), consumer);
                if let Some(found) = self.queues.get_mut(&queue) {
                    found.consumers.push_back((id, channel, tag.clone()));
                    found.had_consumers = true;
                }
                if !no_wait {
                    self.send(id, channel, Method::BasicConsumeOk { consumer_tag: tag });
                }
                self.stirred.insert(queue);
            }
            Method::BasicCancel {
                consumer_tag,
                no_wait,
            } => {
                self.end_consumer(id, channel, consumer_tag);
                if !no_wait {
                    let consumer_tag = consumer_tag.clone();
                    self.send(id, channel, Method::BasicCancelOk { consumer_tag });
                }
            }
            Method::BasicGet { queue, no_ack } => {
                self.usable(id, queue, &m)?;
                self.expire(queue);
                let Some(found) = self.queues.get_mut(queue) else {
                    return Ok(());
                };
                let Some(message) = found.messages.pop_front() else {
                    self.send(id, channel, Method::BasicGetEmpty {});
                    return Ok(());
                };
                let message_count = found.messages.len() as u32;
                let Some(c) = self.channel(id, channel) else {
                    return Ok(());
                };
                c.next_tag += 1;
                let delivery_tag = c.next_tag;
                if !no_ack {
                    let unacked = Unacked {
                        queue: queue.clone(),
                        message: message.clone(),
                        consumer: None,
                    };
                    c.unacked.insert(delivery_tag, unacked);
                }
                let Message {
                    exchange,
                    routing_key,
                    properties,
                    body,
                    redelivered,
                    ..
                } = message;
                let got = Method::BasicGetOk {
                    delivery_tag,
                    redelivered,
                    exchange,
                    routing_key,
                    message_count,
                };
                let content = Some(Box::new(Content { properties, body }));
                self.out
                    .push((id, BrokerOutput::Method(channel, got, content)));
            }
            Method::BasicRecover { requeue } | Method::BasicRecoverAsync { requeue } => {
                if !requeue {
                    return Err(fault(
                        Code::NotImplemented,
                        "recover without requeue is not offered".into(),
                        &m,
                    ));
                }
                self.requeue_all(id, channel);
                if matches!(m, Method::BasicRecover { .. }) {
                    self.send(id, channel, Method::BasicRecoverOk {});
                }
            }
            Method::BasicCancelOk { .. } | Method::ChannelFlowOk { .. } => {}
            _ => {
                return Err(fault(
                    Code::NotImplemented,
                    format!("{} is not offered", m.name()),
                    &m,
                ));
            }
        }
        Ok(())
    }

    fn end_consumer(&mut self, id: ConnectionId, channel: u16, tag: &ShortStr) {
        let Some(consumer) = self
            .channel(id, channel)
            .and_then(|c| c.consumers.remove(tag))
        else {
            return;
        };
        let now = self.now;
        let Some(queue) = self.queues.get_mut(&consumer.queue) else {
            return;
        };
        queue
            .consumers
            .retain(|(i, c, t)| (*i, *c, t) != (id, channel, tag));
        queue.unused_since = now;
        if queue.auto_delete && queue.had_consumers && queue.consumers.is_empty() {
            self.delete_queue(&consumer.queue);
        }
    }

    fn settle_method(&mut self, id: ConnectionId, channel: u16, m: Method) -> Result<(), Fault> {
        let (tag, multiple, settle) = match &m {
            Method::BasicAck {
                delivery_tag,
                multiple,
            } => (*delivery_tag, *multiple, Settle::Ack),
            Method::BasicNack {
                delivery_tag,
                multiple,
                requeue,
            } => (
                *delivery_tag,
                *multiple,
                Settle::Reject { requeue: *requeue },
            ),
            Method::BasicReject {
                delivery_tag,
                requeue,
            } => (*delivery_tag, false, Settle::Reject { requeue: *requeue }),
            _ => return Ok(()),
        };
        let Some(c) = self.channel(id, channel) else {
            return Ok(());
        };
        let free = |t: &u64| c.transaction.as_ref().is_none_or(|x| !x.taken.contains(t));
        let tags: Vec<u64> = match (tag, multiple) {
            (0, true) => c.unacked.keys().copied().filter(free).collect(),
            (tag, true) => c
                .unacked
                .range(..=tag)
                .map(|(t, _)| *t)
                .filter(free)
                .collect(),
            (tag, false) => c
                .unacked
                .contains_key(&tag)
                .then_some(tag)
                .into_iter()
                .filter(free)
                .collect(),
        };
        if tags.is_empty() && !(multiple && tag == 0) {
            return Err(fault(
                Code::PreconditionFailed,
                format!("unknown delivery tag {tag}"),
                &m,
            ));
        }
        for tag in tags {
            let settle = match &settle {
                Settle::Ack => Settle::Ack,
                Settle::Reject { requeue } => Settle::Reject { requeue: *requeue },
            };
            match self
                .channel(id, channel)
                .and_then(|c| c.transaction.as_mut())
            {
                Some(transaction) => {
                    transaction.taken.insert(tag);
                    transaction.settles.push((tag, settle));
                }
                None => self.settle(id, channel, tag, settle),
            }
        }
        Ok(())
    }

    fn settle(&mut self, id: ConnectionId, channel: u16, tag: u64, settle: Settle) {
        let client = self
            .connections
            .get(&id)
            .map(|c| c.client.clone())
            .unwrap_or_default();
        let Some(c) = self.channel(id, channel) else {
            return;
        };
        let Some(Unacked {
            queue,
            message,
            consumer,
        }) = c.unacked.remove(&tag)
        else {
            return;
        };
        if let Some(consumer) = consumer.and_then(|t| c.consumers.get_mut(&t)) {
            consumer.unacked -= 1;
        }
        let queues: Vec<_> = c.consumers.values().map(|c| c.queue.clone()).collect();
        self.stirred.extend(queues);
        match settle {
            Settle::Ack => {
                let message_id = message.properties.message_id.as_deref().map(str::to_string);
                self.seen.push(Seen::Acked {
                    queue: queue.to_string(),
                    message_id,
                    client,
                });
            }
            Settle::Reject { requeue: true } => self.requeue(&queue, message),
            Settle::Reject { requeue: false } => self.dead_letter(&queue, message, "rejected"),
        }
    }

    /// Puts a message back where it was, for another delivery.
    fn requeue(&mut self, queue: &ShortStr, mut message: Message) {
        message.redelivered = true;
        let Some(found) = self.queues.get_mut(queue) else {
            return;
        };
        let at = found
            .messages
            .partition_point(|m| m.number < message.number);
        found.messages.insert(at, message);
        self.stirred.insert(queue.clone());
    }

    fn requeue_all(&mut self, id: ConnectionId, channel: u16) {
        let Some(c) = self.channel(id, channel) else {
            return;
        };
        c.consumers.values_mut().for_each(|c| c.unacked = 0);
        for (_, unacked) in std::mem::take(&mut c.unacked) {
            self.requeue(&unacked.queue, unacked.message);
        }
    }

    fn channel_gone(&mut self, id: ConnectionId, channel: u16) {
        self.requeue_all(id, channel);
        let tags: Vec<_> = self
            .channel(id, channel)
            .map(|c| c.consumers.keys().cloned().collect())
            .unwrap_or_default();
        tags.iter()
            .for_each(|tag| self.end_consumer(id, channel, tag));
    }

    // ---- transactions and confirms ----

    fn mode_method(&mut self, id: ConnectionId, channel: u16, m: Method) -> Result<(), Fault> {
        let Some(c) = self.channel(id, channel) else {
            return Ok(());
        };
        let reply = match (&m, &mut c.transaction) {
            (Method::TxSelect {}, _) if c.confirms.is_some() => {
                return Err(fault(
                    Code::PreconditionFailed,
                    "the channel is in confirm mode".into(),
                    &m,
                ));
            }
            (Method::TxSelect {}, transaction) => {
                transaction.get_or_insert_default();
                Method::TxSelectOk {}
            }
            (Method::ConfirmSelect { .. }, Some(_)) => {
                return Err(fault(
                    Code::PreconditionFailed,
                    "the channel is transactional".into(),
                    &m,
                ));
            }
            (Method::ConfirmSelect { no_wait }, None) => {
                c.confirms.get_or_insert(0);
                if *no_wait {
                    return Ok(());
                }
                Method::ConfirmSelectOk {}
            }
            (_, None) => {
                return Err(fault(
                    Code::PreconditionFailed,
                    "the channel is not transactional".into(),
                    &m,
                ));
            }
            (Method::TxRollback {}, Some(transaction)) => {
                *transaction = Transaction::default();
                Method::TxRollbackOk {}
            }
            (_, Some(transaction)) => {
                // Publishes and settlements take effect together: nothing can come between them here.
                let Transaction {
                    publishes, settles, ..
                } = std::mem::take(transaction);
                for (method, content) in publishes {
                    self.publish(id, channel, method, content);
                }
                for (tag, settle) in settles {
                    self.settle(id, channel, tag, settle);
                }
                Method::TxCommitOk {}
            }
        };
        self.send(id, channel, reply);
        Ok(())
    }

    // ---- delivery ----

    /// Hands out what can be, consumers of a queue in turn.
    fn deliver(&mut self) {
        while let Some(queue) = self.stirred.pop_first() {
            self.expire(&queue);
            while self.deliver_one(&queue) {}
        }
    }

    fn deliver_one(&mut self, queue: &ShortStr) -> bool {
        let Some(found) = self.queues.get_mut(queue) else {
            return false;
        };
        if found.messages.is_empty() {
            return false;
        }
        for _ in 0..found.consumers.len() {
            let Some((id, channel, tag)) = found.consumers.pop_front() else {
                return false;
            };
            found.consumers.push_back((id, channel, tag.clone()));
            let Some(connection) = self.connections.get_mut(&id).filter(|c| !c.congested) else {
                continue;
            };
            let client = connection.client.clone();
            let Some(c) = connection.channels.get_mut(&channel).filter(|c| !c.stopped) else {
                continue;
            };
            let held = c.unacked.values().filter(|u| u.consumer.is_some()).count();
            if c.prefetch_global != 0 && held >= usize::from(c.prefetch_global) {
                continue;
            }
            let Some(consumer) = c.consumers.get_mut(&tag) else {
                continue;
            };
            if !consumer.no_ack
                && consumer.prefetch != 0
                && consumer.unacked >= usize::from(consumer.prefetch)
            {
                continue;
            }
            let Some(message) = found.messages.pop_front() else {
                return false;
            };
            c.next_tag += 1;
            let delivery_tag = c.next_tag;
            if !consumer.no_ack {
                consumer.unacked += 1;
                let unacked = Unacked {
                    queue: queue.clone(),
                    message: message.clone(),
                    consumer: Some(tag.clone()),
                };
                c.unacked.insert(delivery_tag, unacked);
            }
            let Message {
                exchange,
                routing_key,
                properties,
                body,
                redelivered,
                ..
            } = message;
            self.seen.push(Seen::Delivered {
                queue: queue.to_string(),
                message_id: properties.message_id.as_deref().map(str::to_string),
                correlation_id: properties.correlation_id.as_deref().map(str::to_string),
                redelivered,
                client,
            });
            let method = Method::BasicDeliver {
                consumer_tag: tag,
                delivery_tag,
                redelivered,
                exchange,
                routing_key,
            };
            let content = Some(Box::new(Content { properties, body }));
            self.out
                .push((id, BrokerOutput::Method(channel, method, content)));
            return true;
        }
        false
    }
}

/// Whether a key fits a topic pattern: `*` is one word, `#` any number of them.
fn topic_fits(pattern: &str, key: &str) -> bool {
    let key: Vec<&str> = key.split('.').collect();
    // Row by row over the pattern, so that many `#` cost no more than pattern times key.
    let mut reach = vec![false; key.len() + 1];
    reach[0] = true;
    for word in pattern.split('.') {
        if word == "#" {
            for i in 1..reach.len() {
                reach[i] |= reach[i - 1];
            }
        } else {
            for i in (1..reach.len()).rev() {
                reach[i] = reach[i - 1] && (word == "*" || word == key[i - 1]);
            }
            reach[0] = false;
        }
    }
    reach[key.len()]
}

#[cfg(test)]
mod tests {
    use super::topic_fits;

    #[test]
    fn topics_fit_as_the_specification_says() {
        for (pattern, key, fits) in [
            ("*.stock.#", "usd.stock", true),
            ("*.stock.#", "eur.stock.db", true),
            ("*.stock.#", "stock.nasdaq", false),
            ("#", "", true),
            ("#", "a", true),
            ("#", "a.b.c", true),
            ("a.*", "a", false),
            ("a.#.b", "a.b", true),
            ("a.#.b", "a.x.y.b", true),
            ("a.#.b", "a.x.y.c", false),
        ] {
            assert_eq!(topic_fits(pattern, key), fits, "{pattern} {key}");
        }
    }
}
