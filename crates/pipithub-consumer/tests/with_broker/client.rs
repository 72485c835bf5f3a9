//! A client that publishes calls and consumes their answers.

use std::collections::BTreeMap;

use bytes::Bytes;
use pipithub_amqp::{
    Content, Endpoint, Event, FieldTable, FieldValue, Login, Method, Properties, Tuning,
};
use pipithub_emulator::broker::{Broker, ConnectionId};
use pipithub_engine::Time;

use crate::connection::ServerConnection;
use crate::test_bed::short;

pub(crate) const CLIENT_CONNECTION: ConnectionId = 1;
pub(crate) const CLIENT_USER: &str = "mai";
const CHANNEL: u16 = 1;
/// The body of each call.
pub(crate) const CALL_BODY: &[u8] = b"body";

pub(crate) struct Client {
    endpoint: Endpoint,
    pub(crate) connection: ServerConnection,
    /// The verdicts of the answers, by correlation id.
    pub(crate) answers: BTreeMap<String, Vec<String>>,
    /// The bodies of the answers of served calls, by correlation id.
    pub(crate) served_bodies: BTreeMap<String, Vec<Bytes>>,
    /// The messages that were fetched one by one.
    pub(crate) fetched: Vec<Content>,
}

impl Client {
    pub(crate) fn new() -> Self {
        Client {
            endpoint: Endpoint::client(Login::default(), Tuning::default(), 0),
            connection: ServerConnection::new(CLIENT_CONNECTION, CLIENT_USER, 0),
            answers: BTreeMap::new(),
            served_bodies: BTreeMap::new(),
            fetched: Vec::new(),
        }
    }

    pub(crate) fn open_channel(&mut self) {
        self.endpoint
            .open_channel()
            .expect("the connection is open");
    }

    pub(crate) fn send(&mut self, method: Method) {
        self.endpoint
            .send(CHANNEL, method)
            .expect("the channel is open");
    }

    pub(crate) fn consume_answers(&mut self) {
        self.send(Method::BasicConsume {
            queue: short("answers"),
            consumer_tag: short("me"),
            no_local: false,
            no_ack: true,
            exclusive: false,
            no_wait: false,
            arguments: FieldTable::new(),
        });
    }

    pub(crate) fn publish(&mut self, properties: Properties, body: &[u8]) {
        let publish = Method::BasicPublish {
            exchange: short(""),
            routing_key: short("calls"),
            mandatory: true,
            immediate: false,
        };
        self.endpoint
            .send_content(CHANNEL, publish, properties, body)
            .expect("the channel is open");
    }

    /// Exchanges the bytes that are ready. Returns whether there were any.
    pub(crate) fn exchange(&mut self, now: Time, broker: &mut Broker) -> bool {
        let sent = self.endpoint.take_output(now);
        if !sent.is_empty() {
            self.connection.receive(now, broker, &sent);
        }
        let received = self.connection.take_output(now);
        if !received.is_empty() {
            self.endpoint.receive(now, &received);
        }
        while let Some(event) = self.endpoint.poll_event() {
            match event {
                Event::Method {
                    method: Method::BasicDeliver { .. },
                    content: Some(content),
                    ..
                } => self.record_answer(*content),
                Event::Method {
                    method: Method::BasicGetOk { .. },
                    content: Some(content),
                    ..
                } => self.fetched.push(*content),
                Event::Closed { fault, .. } => {
                    panic!("the client's connection was closed: {fault}")
                }
                _ => {}
            }
        }
        !sent.is_empty() || !received.is_empty()
    }

    fn record_answer(&mut self, content: Content) {
        let properties = content.properties;
        let id = properties.correlation_id.as_deref().unwrap_or("none");
        let headers = properties.headers.expect("an answer has headers");
        let verdict = headers.get("pipithub-verdict").and_then(FieldValue::as_str);
        if verdict == Some("served") {
            let bodies = self.served_bodies.entry(id.to_string()).or_default();
            bodies.push(content.body);
        }
        self.answers
            .entry(id.to_string())
            .or_default()
            .push(verdict.expect("a verdict").to_string());
    }
}
