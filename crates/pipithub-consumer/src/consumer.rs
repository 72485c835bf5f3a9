//! The state machine of one queue at one broker.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use pipithub_amqp::{
    Code, Content, Endpoint, Event, Fault, FieldTable, Login, Method, Properties, ShortStr, Tuning,
};
use pipithub_engine::{Call, Reply, SourceId, Ticket, Time, Trigger};

use crate::backoff::{Backoff, BackoffRange};
use crate::identity::{self, Identity};
use crate::latest_wall::LatestWall;
use crate::message::{self, Address, ArrivalTime, ClassName, Route, Unreadable};

const MS: Time = 1_000_000;
/// Bytes that wait to be written before no further transaction is begun.
const MAX_OUTPUT: usize = 4 << 20;
/// Answers and acks in one transaction.
const MAX_BATCH: usize = 128;
/// The limit on deliveries is changed no more often: each change is a round trip.
const MIN_QOS_INTERVAL: Time = 50 * MS;

/// How the limit on deliveries is set at the broker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Qos {
    /// Over the channel (`global`), changed while consuming. Quorum queues of `RabbitMQ` refuse it.
    #[default]
    Channel,
    /// For the consumer; to change it the consumer is cancelled and begun anew.
    Consumer,
}

/// Where copies of unreadable messages go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeadLetterTarget {
    /// The exchange; empty: the default one.
    pub exchange: String,
    /// The routing key.
    pub routing_key: String,
}

/// How a consumer is set up.
#[derive(Clone, Debug)]
pub struct ConsumerSettings {
    /// Its number among the engine's sources.
    pub source: SourceId,
    /// The front end's name, as the broker is told it.
    pub front_end: String,
    /// What it logs in with.
    pub login: Login,
    /// Limits to negotiate.
    pub tuning: Tuning,
    /// The queue.
    pub queue: String,
    /// Declare the queue (durable) where it is missing.
    pub declare: bool,
    /// What holds for its messages.
    pub route: Route,
    /// The classes, by their number.
    pub classes: Vec<ClassName>,
    /// Most deliveries held at a time.
    pub prefetch: u16,
    /// How the limit is set.
    pub qos: Qos,
    /// Where copies of unreadable messages go. Without it they are rejected, and the queue's own dead-letter exchange
    /// gets them.
    pub dead_letter: Option<DeadLetterTarget>,
    /// Waits between attempts to connect.
    pub reconnect_backoff: BackoffRange,
    /// How its messages prove whose they are.
    pub identity: identity::Rule,
}

/// What happened, for the engine and the logs.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// A call came in.
    Trigger(Box<Trigger>),
    /// Its answer is safe at the broker.
    Settled(Ticket),
    /// All open tickets are void.
    Lost(String),
    /// Deliveries may come from now on.
    Consuming,
    /// The broker ended the consumer, as when its queue is deleted; it is begun anew after a while.
    Cancelled,
    /// The broker takes no publishes, with its reason, or takes them again.
    Blocked(Option<String>),
    /// An answer could not be delivered: its queue is gone. Its message is settled all the same.
    Returned {
        /// The queue.
        reply_to: String,
        /// What ties the answer to its call.
        correlation_id: Option<String>,
    },
    /// A message was no call.
    Unreadable {
        /// Its id.
        message_id: Option<String>,
        /// Why.
        why: Unreadable,
    },
}

/// Where the consumer stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No transport; one is wanted at this time.
    Idle(Time),
    /// The transport is up, the connection not yet.
    Connecting,
    /// The channel is being set up.
    Setup(u16),
    /// Deliveries come.
    Consuming(u16),
    /// The channel is up, nothing is consumed: there is no room, or the queue is missing until then.
    Paused(u16, Option<Time>),
    /// Stopped for good.
    Stopped,
}

/// What settles a delivery, until it is committed.
#[derive(Debug)]
enum PendingAnswer {
    Answer(Arc<Reply>),
    Unreadable(Unreadable, Box<Content>),
    Nothing,
}

/// A delivery that is not settled.
#[derive(Debug)]
struct InFlight {
    tag: u64,
    address: Address,
}

/// A limit on deliveries, and when the broker was sent it.
#[derive(Clone, Copy, Debug, Default)]
struct AppliedLimit {
    count: u16,
    at: Time,
}

/// One queue at one broker.
#[derive(Debug)]
pub struct Consumer {
    settings: ConsumerSettings,
    endpoint: Option<Endpoint>,
    phase: Phase,
    backoff: Backoff,
    tag: ShortStr,
    tag_count: u64,
    next_ticket: u64,
    in_flight: BTreeMap<u64, InFlight>,
    pending: VecDeque<(u64, PendingAnswer)>,
    /// Tickets of the transaction that is under way.
    committing: Vec<u64>,
    blocked: bool,
    capacity: usize,
    /// The limit on deliveries as last sent.
    applied_limit: AppliedLimit,
    shutting_down: bool,
    /// The exchange for dead letters is not there: a message that cannot be read must not end the channel again and
    /// again, so it is rejected instead.
    no_dead_letters: bool,
    notices: VecDeque<Notice>,
    identity: Identity,
    wall_ms: u64,
    latest_wall: LatestWall,
    latest_wall_ms: u64,
    now: Time,
}

impl Consumer {
    /// A consumer that wants a transport at once.
    pub fn new(settings: ConsumerSettings, now: Time, seed: u64) -> Self {
        let BackoffRange { initial, max } = settings.reconnect_backoff;
        Consumer {
            backoff: Backoff::new(initial, max, 10_000 * MS, seed),
            tag: ShortStr::truncated(&settings.front_end),
            capacity: usize::from(settings.prefetch),
            identity: Identity::new(settings.identity.clone()),
            settings,
            endpoint: None,
            phase: Phase::Idle(now),
            tag_count: 0,
            next_ticket: 1,
            in_flight: BTreeMap::new(),
            pending: VecDeque::new(),
            committing: Vec::new(),
            blocked: false,
            applied_limit: AppliedLimit::default(),
            shutting_down: false,
            no_dead_letters: false,
            notices: VecDeque::new(),
            wall_ms: 0,
            latest_wall: LatestWall::default(),
            latest_wall_ms: 0,
            now,
        }
    }

    /// Where it stands.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Deliveries that are not settled.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// The next notice.
    pub fn poll(&mut self) -> Option<Notice> {
        self.notices.pop_front()
    }

    /// A transport is up.
    pub fn connected(&mut self, now: Time) {
        if matches!(self.phase, Phase::Idle(_)) {
            self.now = now;
            let endpoint = Endpoint::client(self.settings.login.clone(), self.settings.tuning, now)
                .named(&self.settings.front_end);
            self.endpoint = Some(endpoint);
            self.phase = Phase::Connecting;
        }
    }

    /// No transport could be had, or the one there was is gone.
    pub fn transport_lost(&mut self, now: Time, why: &str) {
        self.now = now;
        match self.phase {
            Phase::Idle(_) => self.phase = Phase::Idle(now + self.backoff.down(now)),
            Phase::Stopped => {}
            _ => self.lost(why),
        }
    }

    /// All is void; a transport is wanted after a while.
    fn lost(&mut self, why: &str) {
        self.endpoint = None;
        self.void(why);
        self.phase = if self.shutting_down {
            Phase::Stopped
        } else {
            Phase::Idle(self.now + self.backoff.down(self.now))
        };
    }

    /// Tickets are void: what they stand for will be delivered again, unless its transaction had been done.
    fn void(&mut self, why: &str) {
        self.in_flight.clear();
        self.pending.clear();
        self.committing.clear();
        self.blocked = false;
        self.notices.push_back(Notice::Lost(why.to_string()));
    }

    /// Takes bytes as they came; `wall_ms` is the Unix time that `now` stands for.
    pub fn receive(&mut self, now: Time, wall_ms: u64, bytes: &[u8]) {
        (self.now, self.wall_ms) = (now, wall_ms);
        self.latest_wall_ms = self.latest_wall.observe(now, wall_ms);
        if let Some(endpoint) = &mut self.endpoint {
            endpoint.receive(now, bytes);
        }
        self.handle_events();
    }

    /// When [`Consumer::on_time`] is due; while idle, when a transport is wanted.
    pub fn next_timeout(&self) -> Option<Time> {
        let own = match self.phase {
            Phase::Paused(_, at) => at,
            Phase::Consuming(_) if self.delivery_limit() != self.applied_limit.count => {
                Some(self.applied_limit.at + MIN_QOS_INTERVAL)
            }
            _ => None,
        };
        [own, self.endpoint.as_ref().and_then(Endpoint::next_timeout)]
            .into_iter()
            .flatten()
            .min()
    }

    /// Does what is due.
    pub fn on_time(&mut self, now: Time) {
        self.now = now;
        if let Some(endpoint) = &mut self.endpoint {
            endpoint.on_time(now);
        }
        self.handle_events();
        if let Phase::Paused(channel, Some(at)) = self.phase
            && now >= at
        {
            self.phase = Phase::Paused(channel, None);
        }
        self.apply_capacity();
    }

    /// Takes the bytes to write.
    pub fn take_output(&mut self, now: Time) -> Bytes {
        let output = self
            .endpoint
            .as_mut()
            .map(|e| e.take_output(now))
            .unwrap_or_default();
        // What was held back for want of room to write may go on.
        self.begin_commit();
        output
    }

    /// Whether the transport may be closed.
    pub fn is_over(&self) -> bool {
        self.endpoint.as_ref().is_none_or(Endpoint::is_over)
    }

    /// How many more deliveries the engine has room for.
    pub fn set_capacity(&mut self, now: Time, capacity: usize) {
        (self.now, self.capacity) = (now, capacity);
        self.apply_capacity();
    }

    /// Gives a trigger its final answer. Void tickets are passed over.
    pub fn answer(&mut self, now: Time, ticket: Ticket, reply: Arc<Reply>) {
        self.now = now;
        self.enqueue_answer(ticket.number, PendingAnswer::Answer(reply));
    }

    /// Settles a trigger without an answer.
    pub fn acknowledge(&mut self, now: Time, ticket: Ticket) {
        self.now = now;
        self.enqueue_answer(ticket.number, PendingAnswer::Nothing);
    }

    /// Takes no more deliveries; once all are settled the connection is closed.
    pub fn shutdown(&mut self, now: Time) {
        self.now = now;
        self.shutting_down = true;
        match self.phase {
            Phase::Idle(_) => self.phase = Phase::Stopped,
            Phase::Consuming(channel) => self.pause(channel, None),
            _ => {}
        }
        self.finish_shutdown();
    }

    fn finish_shutdown(&mut self) {
        if self.shutting_down && self.in_flight.is_empty() && !matches!(self.phase, Phase::Stopped)
        {
            if let Some(endpoint) = &mut self.endpoint {
                endpoint.close(Fault::new(Code::Success, "done"));
            }
            self.phase = Phase::Stopped;
        }
    }

    fn enqueue_answer(&mut self, ticket: u64, pending: PendingAnswer) {
        if self.in_flight.contains_key(&ticket) {
            self.pending.push_back((ticket, pending));
            self.begin_commit();
        }
    }

    fn channel(&self) -> Option<u16> {
        match self.phase {
            Phase::Setup(channel) | Phase::Consuming(channel) | Phase::Paused(channel, _) => {
                Some(channel)
            }
            _ => None,
        }
    }

    fn send(&mut self, method: Method) {
        let (Some(channel), Some(endpoint)) = (self.channel(), &mut self.endpoint) else {
            return;
        };
        if let Err(error) = endpoint.send(channel, method) {
            let why = error.to_string();
            endpoint.close(Fault::new(Code::InternalError, why));
        }
    }

    // ---- the limit on deliveries ----

    /// Deliveries to hold at most: those held, and as many more as there is room for.
    fn delivery_limit(&self) -> u16 {
        let most = usize::from(self.settings.prefetch.max(1));
        (self.in_flight.len() + self.capacity).clamp(1, most) as u16
    }

    fn apply_capacity(&mut self) {
        match self.phase {
            Phase::Consuming(channel) => {
                if self.capacity == 0 {
                    return self.pause(channel, None);
                }
                let limit = self.delivery_limit();
                // Small steps up are not worth a round trip; each step down is.
                let worth = limit < self.applied_limit.count
                    || limit == self.settings.prefetch
                    || limit >= self.applied_limit.count * 2;
                if self.settings.qos == Qos::Channel
                    && limit != self.applied_limit.count
                    && worth
                    && self.now >= self.applied_limit.at + MIN_QOS_INTERVAL
                {
                    self.send_limit(limit);
                }
            }
            // Begun again only with some room, or each message would begin and end a consumer.
            Phase::Paused(channel, None) if !self.shutting_down => {
                let enough = (usize::from(self.settings.prefetch) / 4).max(1);
                if self.capacity >= enough || self.in_flight.is_empty() && self.capacity > 0 {
                    self.consume(channel);
                }
            }
            _ => {}
        }
    }

    fn send_limit(&mut self, limit: u16) {
        self.applied_limit = AppliedLimit {
            count: limit,
            at: self.now,
        };
        let global = self.settings.qos == Qos::Channel;
        self.send(Method::BasicQos {
            prefetch_size: 0,
            prefetch_count: limit,
            global,
        });
    }

    fn pause(&mut self, channel: u16, until: Option<Time>) {
        let consumer_tag = self.tag.clone();
        self.send(Method::BasicCancel {
            consumer_tag,
            no_wait: false,
        });
        self.phase = Phase::Paused(channel, until);
    }

    fn consume(&mut self, channel: u16) {
        let limit = self.delivery_limit();
        self.phase = Phase::Setup(channel);
        self.send_limit(limit);
        // A new tag each time: a delivery for the last one may still be on its way.
        self.tag_count += 1;
        self.tag = ShortStr::truncated(&format!("{}-{}", self.settings.front_end, self.tag_count));
        self.send(Method::BasicConsume {
            queue: ShortStr::truncated(&self.settings.queue),
            consumer_tag: self.tag.clone(),
            no_local: false,
            no_ack: false,
            exclusive: false,
            no_wait: false,
            arguments: FieldTable::new(),
        });
    }

    // ---- events ----

    fn handle_events(&mut self) {
        while let Some(event) = self.endpoint.as_mut().and_then(Endpoint::poll_event) {
            match event {
                Event::Connected => {
                    if let Some(Ok(channel)) = self.endpoint.as_mut().map(Endpoint::open_channel) {
                        self.phase = Phase::Setup(channel);
                    }
                }
                Event::ChannelOpened { .. } => {
                    if self.settings.declare {
                        self.send(Method::QueueDeclare {
                            queue: ShortStr::truncated(&self.settings.queue),
                            passive: false,
                            durable: true,
                            exclusive: false,
                            auto_delete: false,
                            no_wait: false,
                            arguments: FieldTable::new(),
                        });
                    }
                    self.send(Method::TxSelect {});
                }
                Event::Method {
                    method, content, ..
                } => self.handle_method(method, content),
                Event::Blocked(reason) => {
                    self.blocked = reason.is_some();
                    self.notices.push_back(Notice::Blocked(reason));
                    self.begin_commit();
                }
                Event::ChannelClosed { fault, .. } => {
                    let missing = fault.code == Code::NotFound as u16 && fault.class_id == 60;
                    self.no_dead_letters |= missing && fault.method_id == 40;
                    // The queue is there with other properties than the plain ones: it is taken as it is.
                    let other = fault.code == Code::PreconditionFailed as u16;
                    if other && (fault.class_id, fault.method_id) == (50, 10) {
                        self.settings.declare = false;
                    }
                    // What goes wrong on this channel goes wrong on the next: the connection is begun anew, after a wait.
                    if let Some(endpoint) = &mut self.endpoint {
                        endpoint.close(fault);
                    }
                }
                Event::Closed { fault, .. } => {
                    if self.phase == Phase::Stopped {
                        continue;
                    }
                    self.void(&fault.to_string());
                    // The shell writes what is left and then tells that the transport is gone.
                    let next = self.now + self.backoff.down(self.now);
                    self.phase = if self.shutting_down {
                        Phase::Stopped
                    } else {
                        Phase::Idle(next)
                    };
                }
                Event::Login { .. } | Event::OpenRequested { .. } | Event::Flow { .. } => {}
            }
        }
    }

    fn handle_method(&mut self, method: Method, content: Option<Box<Content>>) {
        let Some(channel) = self.channel() else {
            return;
        };
        match (method, content) {
            (Method::TxSelectOk {}, _) => {
                if self.shutting_down {
                    return self.finish_shutdown();
                }
                if self.capacity == 0 {
                    self.backoff.up(self.now);
                    self.phase = Phase::Paused(channel, None);
                } else {
                    self.consume(channel);
                }
            }
            (Method::BasicConsumeOk { .. }, _) if matches!(self.phase, Phase::Setup(_)) => {
                self.phase = Phase::Consuming(channel);
                self.backoff.up(self.now);
                self.notices.push_back(Notice::Consuming);
                if self.shutting_down || self.capacity == 0 {
                    self.pause(channel, None);
                }
            }
            (Method::BasicCancel { consumer_tag, .. }, _) if consumer_tag == self.tag => {
                // Its queue is gone, or its node: what is held stays good. The queue may come back.
                self.notices.push_back(Notice::Cancelled);
                self.phase = Phase::Paused(channel, Some(self.now + self.backoff.down(self.now)));
            }
            (
                Method::BasicDeliver {
                    delivery_tag,
                    redelivered,
                    ..
                },
                Some(content),
            ) => {
                self.handle_delivery(delivery_tag, redelivered, *content);
            }
            (Method::BasicReturn { routing_key, .. }, Some(content)) => {
                let correlation_id = content
                    .properties
                    .correlation_id
                    .as_deref()
                    .map(str::to_string);
                self.notices.push_back(Notice::Returned {
                    reply_to: routing_key.to_string(),
                    correlation_id,
                });
            }
            (Method::TxCommitOk {}, _) => {
                for number in std::mem::take(&mut self.committing) {
                    if self.in_flight.remove(&number).is_some() {
                        let ticket = Ticket {
                            source: self.settings.source,
                            number,
                        };
                        self.notices.push_back(Notice::Settled(ticket));
                    }
                }
                self.begin_commit();
                self.apply_capacity();
                self.finish_shutdown();
            }
            _ => {}
        }
    }

    fn handle_delivery(&mut self, tag: u64, redelivered: bool, content: Content) {
        let number = self.next_ticket;
        self.next_ticket += 1;
        self.in_flight.insert(
            number,
            InFlight {
                tag,
                address: Address::of(&content.properties),
            },
        );
        let ConsumerSettings {
            queue,
            route,
            classes,
            ..
        } = &self.settings;
        let arrival = ArrivalTime {
            wall_ms: self.wall_ms,
            latest_wall_ms: self.latest_wall_ms,
        };
        let read = message::read(&content, queue, route, classes, arrival).and_then(|read| {
            let user = self
                .identity
                .user(&content, queue, redelivered, self.now, self.wall_ms)?;
            Ok((read, user))
        });
        match read {
            Ok((read, user)) => {
                let ticket = Ticket {
                    source: self.settings.source,
                    number,
                };
                let trigger = Trigger {
                    ticket,
                    identity: read.identity,
                    redelivered,
                    deliveries: read.deliveries,
                    call: Call { user, ..read.call },
                };
                self.notices.push_back(Notice::Trigger(Box::new(trigger)));
            }
            Err(why) => {
                let message_id = content.properties.message_id.as_deref().map(str::to_string);
                self.notices.push_back(Notice::Unreadable {
                    message_id,
                    why: why.clone(),
                });
                self.enqueue_answer(number, PendingAnswer::Unreadable(why, Box::new(content)));
            }
        }
    }

    // ---- answers ----

    /// Publishes what is pending and acks its messages, in one transaction: done both or neither.
    fn begin_commit(&mut self) {
        let Some(channel) = self.channel() else {
            return;
        };
        let full = self
            .endpoint
            .as_ref()
            .is_none_or(|e| e.output_len() > MAX_OUTPUT);
        if self.blocked || !self.committing.is_empty() || self.pending.is_empty() || full {
            return;
        }
        while self.committing.len() < MAX_BATCH {
            let Some((ticket, pending)) = self.pending.pop_front() else {
                break;
            };
            let Some(InFlight { tag, address }) = self.in_flight.get(&ticket) else {
                continue;
            };
            let (tag, address) = (*tag, address.clone());
            let mut settle = Method::BasicAck {
                delivery_tag: tag,
                multiple: false,
            };
            match pending {
                PendingAnswer::Nothing => {}
                PendingAnswer::Answer(reply) => {
                    let (properties, body) = message::answer(&address, &reply);
                    self.publish_answer(channel, &address, properties, &body);
                }
                PendingAnswer::Unreadable(why, content) => {
                    self.publish_answer(
                        channel,
                        &address,
                        message::answer_unreadable(&address, &why),
                        &[],
                    );
                    match self
                        .settings
                        .dead_letter
                        .as_ref()
                        .filter(|_| !self.no_dead_letters)
                    {
                        Some(target) => {
                            let DeadLetterTarget {
                                exchange,
                                routing_key: key,
                            } = target.clone();
                            let queue = &self.settings.queue;
                            let properties = message::dead_letter(&content.properties, queue, &why);
                            self.publish(channel, &exchange, &key, properties, &content.body);
                        }
                        None => {
                            settle = Method::BasicReject {
                                delivery_tag: tag,
                                requeue: false,
                            }
                        }
                    }
                }
            }
            self.send(settle);
            self.committing.push(ticket);
        }
        if !self.committing.is_empty() {
            self.send(Method::TxCommit {});
        }
    }

    fn publish_answer(
        &mut self,
        channel: u16,
        address: &Address,
        properties: Properties,
        body: &[u8],
    ) {
        if let Some(reply_to) = &address.reply_to {
            self.publish(channel, "", reply_to, properties, body);
        }
    }

    fn publish(
        &mut self,
        channel: u16,
        exchange: &str,
        key: &str,
        properties: Properties,
        body: &[u8],
    ) {
        let method = Method::BasicPublish {
            exchange: ShortStr::truncated(exchange),
            routing_key: ShortStr::truncated(key),
            mandatory: true,
            immediate: false,
        };
        if let Some(endpoint) = &mut self.endpoint
            && let Err(error) = endpoint.send_content(channel, method, properties, body)
        {
            let why = error.to_string();
            endpoint.close(Fault::new(Code::InternalError, why));
        }
    }
}
