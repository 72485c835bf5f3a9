//! The test bed: front ends with their consumers, a client and the broker's core, in simulated time.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use pipithub_amqp::{Content, FieldTable, Method, Properties, ShortStr};
use pipithub_consumer::identity::sign;
use pipithub_consumer::{DeadLetterFailure, Notice, Qos};
use pipithub_emulator::broker::{Broker, ConnectionId, Outgoing};
use pipithub_engine::Time;
use pipithub_engine::policy::Outcome;

use crate::client::{CALL_BODY, CLIENT_CONNECTION, Client};
use crate::front_end::{
    DeadLetterPlace, FrontEnd, IdentityRule, SIGNING_KEY, SIGNING_KEY_ID, StartOptions,
};

pub(crate) const MS: Time = 1_000_000;
/// The wall time at the start, in Unix milliseconds.
pub(crate) const WALL_MS: u64 = 1_800_000_000_000;
/// The steps in which time advances.
const TIME_STEP: Time = 5 * MS;

const DEFAULT_OPTIONS: StartOptions = StartOptions {
    number: 0,
    incarnation: 0,
    prefetch: 10,
    qos: Qos::Channel,
    declare: true,
    dead_letter: DeadLetterPlace {
        exchange: "",
        routing_key: "dead",
    },
    has_visit_class: false,
    identity: IdentityRule::None,
};

pub(crate) fn short(text: &str) -> ShortStr {
    ShortStr::truncated(text)
}

/// Gives a message a class.
pub(crate) fn class(class: &'static str) -> impl FnOnce(&mut Properties) {
    move |properties| properties.headers = Some(FieldTable::new().with("pipithub-class", class))
}

/// Gives a message a class, and the start of the test as its send time.
pub(crate) fn class_sent_at_start(name: &'static str) -> impl FnOnce(&mut Properties) {
    move |properties| {
        class(name)(properties);
        let headers = properties.headers.take().unwrap_or_default();
        properties.headers = Some(headers.with("pipithub-sent-ms", WALL_MS as i64));
    }
}

/// Gives a message a class, a user and the start of the test as its send time, and signs it.
pub(crate) fn signed_at_start(name: &'static str) -> impl FnOnce(&mut Properties) {
    move |properties| {
        class_sent_at_start(name)(properties);
        let headers = properties.headers.take().unwrap_or_default();
        let headers = headers
            .with("pipithub-user", "mai")
            .with("pipithub-key-id", SIGNING_KEY_ID);
        properties.headers = Some(headers.clone());
        let content = Content {
            properties: properties.clone(),
            body: Bytes::from_static(CALL_BODY),
        };
        let signature = sign(SIGNING_KEY, &content, "calls");
        properties.headers = Some(headers.with("pipithub-signature", signature.as_str()));
    }
}

pub(crate) struct TestBed {
    pub(crate) now: Time,
    /// By how much the wall clock of the front ends was stepped.
    pub(crate) wall_step_ms: i64,
    pub(crate) broker: Broker,
    pub(crate) front_ends: Vec<FrontEnd>,
    pub(crate) client: Client,
    /// The message ids of all calls that have arrived at a worker, as the workers have recorded them.
    pub(crate) arrived_at_workers: BTreeSet<String>,
    /// The number of calls that have arrived at a worker, by their bodies.
    pub(crate) arrivals_by_body: BTreeMap<Bytes, usize>,
    next_connection: ConnectionId,
}

impl TestBed {
    /// Starts front ends that consume from the queue `calls`, and a client that consumes from `answers`.
    pub(crate) fn new(front_ends: usize, prefetch: u16, qos: Qos) -> Self {
        let options = StartOptions {
            prefetch,
            qos,
            ..DEFAULT_OPTIONS
        };
        Self::start(front_ends, options, &FieldTable::new())
    }

    /// Starts two front ends while settings are changed: the second one alone knows the non-idempotent class `visit`.
    pub(crate) fn during_change_of_settings(prefetch: u16) -> Self {
        let options = |number| StartOptions {
            number,
            prefetch,
            has_visit_class: number == 1,
            ..DEFAULT_OPTIONS
        };
        Self::start_all(&[options(0), options(1)], &FieldTable::new())
    }

    /// Starts front ends that accept signed messages alone.
    pub(crate) fn with_signed_messages(front_ends: usize) -> Self {
        let options = StartOptions {
            identity: IdentityRule::Signed,
            ..DEFAULT_OPTIONS
        };
        Self::start(front_ends, options, &FieldTable::new())
    }

    /// Starts front ends that rely on others to declare their queue.
    pub(crate) fn without_declaration(front_ends: usize) -> Self {
        let options = StartOptions {
            declare: false,
            ..DEFAULT_OPTIONS
        };
        Self::start(front_ends, options, &FieldTable::new())
    }

    /// Starts two front ends that publish dead letters to a place of their own. The broker's dead letters of `calls` go to
    /// `rejected`.
    pub(crate) fn with_dead_letters_to(dead_letter: DeadLetterPlace) -> Self {
        let own_dead_letters = FieldTable::new()
            .with("x-dead-letter-exchange", "")
            .with("x-dead-letter-routing-key", "rejected");
        let options = StartOptions {
            dead_letter,
            declare: false,
            ..DEFAULT_OPTIONS
        };
        Self::start(2, options, &own_dead_letters)
    }

    fn start(front_ends: usize, options: StartOptions, calls_arguments: &FieldTable) -> Self {
        let options: Vec<StartOptions> = (0..front_ends)
            .map(|number| StartOptions { number, ..options })
            .collect();
        Self::start_all(&options, calls_arguments)
    }

    fn start_all(options: &[StartOptions], calls_arguments: &FieldTable) -> Self {
        let mut broker = Broker::default();
        for queue in ["answers", "dead", "rejected"] {
            broker.declare(queue, &FieldTable::new());
        }
        broker.declare("calls", calls_arguments);
        let now = 1;
        let mut bed = TestBed {
            now,
            wall_step_ms: 0,
            broker,
            front_ends: options
                .iter()
                .map(|options| FrontEnd::start(*options, now))
                .collect(),
            client: Client::new(),
            arrived_at_workers: BTreeSet::new(),
            arrivals_by_body: BTreeMap::new(),
            next_connection: CLIENT_CONNECTION + 1,
        };
        bed.run_until_idle();
        bed.client.open_channel();
        bed.run_until_idle();
        bed.client.consume_answers();
        bed.run_until_idle();
        bed
    }

    /// Transfers bytes and handles events until nothing more happens at the present time.
    pub(crate) fn run_until_idle(&mut self) {
        loop {
            let mut progressed = self.client.exchange(self.now, &mut self.broker);
            for number in 0..self.front_ends.len() {
                progressed |= self.step_front_end(number);
            }
            progressed |= self.deliver_broker_outputs();
            if !progressed {
                return;
            }
        }
    }

    /// Transfers bytes and handles events until the condition holds, which is looked at after each step.
    pub(crate) fn run_until(&mut self, condition: impl Fn(&TestBed) -> bool) {
        const MAX_ROUNDS: usize = 100;
        for _ in 0..MAX_ROUNDS {
            self.client.exchange(self.now, &mut self.broker);
            for number in 0..self.front_ends.len() {
                self.step_front_end(number);
                if condition(self) {
                    return;
                }
            }
            self.deliver_broker_outputs();
        }
        panic!("the condition does not come to hold");
    }

    /// Lets a front end send to the broker, whose response stays on its way. Returns whether anything happened.
    pub(crate) fn step_front_end(&mut self, number: usize) -> bool {
        let wall_ms = (WALL_MS + self.now / MS).saturating_add_signed(self.wall_step_ms);
        let front_end = &mut self.front_ends[number];
        let broker = &mut self.broker;
        if !front_end.connect(self.now, broker, &mut self.next_connection) {
            return false;
        }
        let progressed = front_end.step(self.now, wall_ms, broker);
        self.arrived_at_workers
            .extend(front_end.arrived_at_workers.drain(..));
        for body in front_end.arrived_bodies.drain(..) {
            *self.arrivals_by_body.entry(body).or_default() += 1;
        }
        progressed
    }

    /// The message ids of the calls of non-idempotent classes that were answered as rejected although they had arrived at
    /// a worker. Workers here never say that a call did not run.
    pub(crate) fn rejected_after_arrival(&self) -> Vec<&str> {
        self.answers()
            .iter()
            .filter(|(id, verdicts)| {
                let is_non_idempotent = id.starts_with("unsafe") || id.starts_with("visit");
                let is_rejected = verdicts.iter().any(|verdict| verdict == "refused");
                is_non_idempotent && is_rejected && self.arrived_at_workers.contains(*id)
            })
            .map(|(id, _)| id.as_str())
            .collect()
    }

    fn deliver_broker_outputs(&mut self) -> bool {
        let outputs = self.broker.take_outputs();
        let any = !outputs.is_empty();
        for Outgoing { connection, output } in outputs {
            let front_ends = self.front_ends.iter_mut();
            let mut connections = front_ends
                .filter_map(|front_end| front_end.connection.as_mut())
                .chain([&mut self.client.connection]);
            if let Some(receiver) = connections.find(|other| other.id == connection) {
                receiver.send(output);
            }
        }
        any
    }

    pub(crate) fn advance(&mut self, duration: Time) {
        let until = self.now + duration;
        while self.now < until {
            self.now = (self.now + TIME_STEP).min(until);
            for front_end in &mut self.front_ends {
                front_end.consumer.on_time(self.now);
            }
            self.broker.on_time(self.now);
            self.run_until_idle();
        }
    }

    /// Publishes a call of an idempotent class; `change` alters the properties of its message.
    pub(crate) fn publish(&mut self, id: &str, change: impl FnOnce(&mut Properties)) {
        let headers = FieldTable::new().with("pipithub-class", "safe");
        let mut properties = Properties {
            message_id: Some(short(id)),
            correlation_id: Some(short(id)),
            reply_to: Some(short("answers")),
            headers: Some(headers),
            ..Properties::default()
        };
        change(&mut properties);
        self.client.publish(properties, CALL_BODY);
    }

    pub(crate) fn delete_calls_queue(&mut self) {
        self.client.send(Method::QueueDelete {
            queue: short("calls"),
            if_unused: false,
            if_empty: false,
            no_wait: false,
        });
        self.run_until_idle();
    }

    /// Ends all attempts with an outcome and returns the sorted message ids of their calls.
    pub(crate) fn finish_attempts(&mut self, outcome: Outcome) -> Vec<String> {
        let now = self.now;
        let front_ends = self.front_ends.iter_mut();
        let mut message_ids: Vec<String> = front_ends
            .flat_map(|front_end| front_end.finish_attempts(now, outcome))
            .collect();
        self.run_until_idle();
        message_ids.sort();
        message_ids
    }

    /// The same, with bodies of that size from the workers.
    pub(crate) fn finish_attempts_with_body(&mut self, bytes: usize) -> Vec<String> {
        for front_end in &mut self.front_ends {
            front_end.served_body = Some(vec![b'a'; bytes].into());
        }
        self.finish_attempts(Outcome::Served)
    }

    /// Cuts the connection of a front end, which notices it at once.
    pub(crate) fn cut_connection(&mut self, number: usize) {
        let front_end = &mut self.front_ends[number];
        front_end.disconnect(self.now, &mut self.broker);
        front_end.consumer.transport_lost(self.now, "cut");
    }

    /// Kills a front end and starts it again without its state.
    pub(crate) fn kill(&mut self, number: usize) {
        let killed = &mut self.front_ends[number];
        killed.disconnect(self.now, &mut self.broker);
        let options = StartOptions {
            incarnation: killed.options.incarnation + 1,
            ..killed.options
        };
        *killed = FrontEnd::start(options, self.now);
    }

    pub(crate) fn answers(&self) -> &BTreeMap<String, Vec<String>> {
        &self.client.answers
    }

    /// The verdicts of the answers, by message id.
    pub(crate) fn verdicts(&self) -> Vec<(&str, Vec<&str>)> {
        self.answers()
            .iter()
            .map(|(id, verdicts)| (id.as_str(), verdicts.iter().map(String::as_str).collect()))
            .collect()
    }

    /// Takes all messages that wait in a queue.
    pub(crate) fn take_messages(&mut self, queue: &str) -> Vec<Content> {
        for _ in 0..self.depth(queue) {
            self.client.send(Method::BasicGet {
                queue: short(queue),
                no_ack: true,
            });
        }
        self.run_until_idle();
        std::mem::take(&mut self.client.fetched)
    }

    /// Whether a front end has read a message that is not a call.
    pub(crate) fn has_unreadable_message(&self) -> bool {
        let mut notices = self.front_ends.iter().flat_map(|front| &front.notices);
        notices.any(|notice| matches!(notice, Notice::Unreadable { .. }))
    }

    /// The number of messages that wait in a queue.
    pub(crate) fn depth(&self, queue: &str) -> usize {
        self.broker.depth(queue).map_or(0, |(ready, _)| ready)
    }

    /// The notices of all front ends that a message has no dead letter, with the reasons.
    pub(crate) fn dead_letter_failures(&self) -> Vec<DeadLetterFailure> {
        let notices = self.front_ends.iter().flat_map(|front| &front.notices);
        notices
            .filter_map(|notice| match notice {
                Notice::NotDeadLettered { failure, .. } => Some(failure.clone()),
                _ => None,
            })
            .collect()
    }

    /// How often connections of front ends were lost.
    pub(crate) fn lost_connections(&self) -> usize {
        let notices = self.front_ends.iter().flat_map(|front| &front.notices);
        notices
            .filter(|notice| matches!(notice, Notice::Lost(_)))
            .count()
    }

    /// The number of answers that the broker returned to a front end.
    pub(crate) fn returned_answers(&self) -> usize {
        let notices = self.front_ends.iter().flat_map(|front| &front.notices);
        notices
            .filter(|notice| matches!(notice, Notice::Returned { .. }))
            .count()
    }
}
