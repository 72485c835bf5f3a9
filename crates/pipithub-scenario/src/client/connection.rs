//! The connection of a queue client to its broker, which is reopened whenever it is lost.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use pipithub_amqp::{
    Content, Endpoint, Event, FieldTable, FieldValue, Login, Method, Properties, Tuning,
};
use pipithub_clock::{Clock, wall_ms};
use pipithub_consumer::identity::sign;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use super::{Answer, Publish, declare, short};

/// The delay before a new connection is opened.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// No further request is taken while at least this many bytes wait to be written.
const MAX_OUTPUT: usize = 1 << 20;
/// The delivery mode of messages that survive a restart of the broker.
const PERSISTENT: u8 = 2;

/// Connects to the broker whenever there is no connection, and publishes the requests that were not published yet.
pub(super) struct Connector {
    pub(super) address: String,
    pub(super) login: Login,
    pub(super) reply_queue: String,
    pub(super) clock: Clock,
    pub(super) sender: mpsc::Sender<Answer>,
}

/// Whether a connection is still used.
enum Flow {
    Continue,
    /// The receiver of answers was dropped.
    Abandoned,
    /// The broker closed the connection or its channel.
    Closed,
}

impl Connector {
    /// Connects again after each connection, until the sender of requests is dropped and all requests have been taken.
    pub(super) async fn run(self, mut requests: mpsc::Receiver<Publish>) {
        let mut unsent: VecDeque<Publish> = VecDeque::new();
        while !requests.is_closed() || !requests.is_empty() {
            if let Ok(stream) = TcpStream::connect(&self.address).await {
                // Whatever ended the connection, a new one is opened.
                let _ = self
                    .run_connection(stream, &mut requests, &mut unsent)
                    .await;
            }
            tokio::time::sleep(RECONNECT_DELAY).await;
        }
    }

    async fn run_connection(
        &self,
        mut stream: TcpStream,
        requests: &mut mpsc::Receiver<Publish>,
        unsent: &mut VecDeque<Publish>,
    ) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let (mut reader, mut writer) = stream.split();
        let clock = self.clock;
        let mut session = Session::new(self);
        let (mut input, mut output) = (BytesMut::new(), BytesMut::new());
        loop {
            match session.handle_events().await {
                Flow::Continue => {}
                Flow::Abandoned => return Ok(()),
                Flow::Closed => return writer.write_all(&session.take_output()).await,
            }
            session.publish_all(unsent);
            output.extend_from_slice(&session.take_output());
            tokio::select! {
                read = reader.read_buf(&mut input) => {
                    if read? == 0 {
                        return Ok(());
                    }
                    session.endpoint.receive(clock.now(), &input);
                    input.clear();
                }
                written = writer.write(&output), if !output.is_empty() => output.advance(written?),
                request = requests.recv(), if unsent.is_empty() && output.len() < MAX_OUTPUT => match request {
                    Some(request) => unsent.push_back(request),
                    None => std::future::pending().await,
                },
                () = clock.sleep_until(session.endpoint.next_timeout()) => session.endpoint.handle_timeout(clock.now()),
            }
        }
    }
}

/// The AMQP state of one connection.
struct Session<'a> {
    connector: &'a Connector,
    endpoint: Endpoint,
    /// The channel, once answers are consumed on it.
    channel: Option<u16>,
}

impl<'a> Session<'a> {
    fn new(connector: &'a Connector) -> Self {
        let now = connector.clock.now();
        let endpoint = Endpoint::client(connector.login.clone(), Tuning::default(), now);
        Session {
            connector,
            endpoint: endpoint.named("queue-client"),
            channel: None,
        }
    }

    fn take_output(&mut self) -> Bytes {
        self.endpoint.take_output(self.connector.clock.now())
    }

    /// Handles all events of the connection, and forwards answers to their receiver.
    async fn handle_events(&mut self) -> Flow {
        while let Some(event) = self.endpoint.poll_event() {
            match event {
                Event::Connected => drop(self.endpoint.open_channel()),
                Event::ChannelOpened { channel } => self.consume_answers(channel),
                Event::Method {
                    channel,
                    method: Method::BasicConsumeOk { .. },
                    ..
                } => self.channel = Some(channel),
                Event::Method {
                    method: Method::BasicDeliver { .. },
                    content: Some(content),
                    ..
                } => {
                    let answer = read_answer(*content, self.connector.clock);
                    if self.connector.sender.send(answer).await.is_err() {
                        return Flow::Abandoned;
                    }
                }
                // The broker closes the channel over a publish that it rejects: a new connection is needed.
                Event::Closed { .. } | Event::ChannelClosed { .. } => return Flow::Closed,
                _ => {}
            }
        }
        Flow::Continue
    }

    fn consume_answers(&mut self, channel: u16) {
        let reply_queue = &self.connector.reply_queue;
        let consume = Method::BasicConsume {
            queue: short(reply_queue),
            consumer_tag: short("answers"),
            no_local: false,
            no_ack: true,
            exclusive: false,
            no_wait: false,
            arguments: FieldTable::new(),
        };
        // A send fails only on a closed channel, which an event reports.
        let _ = self.endpoint.send(channel, declare(reply_queue, false));
        let _ = self.endpoint.send(channel, consume);
    }

    fn publish_all(&mut self, unsent: &mut VecDeque<Publish>) {
        let Some(channel) = self.channel else { return };
        while let Some(request) = unsent.pop_front() {
            self.publish(channel, request);
        }
    }

    fn publish(&mut self, channel: u16, request: Publish) {
        let method = Method::BasicPublish {
            exchange: short(""),
            routing_key: short(&request.queue),
            mandatory: false,
            immediate: false,
        };
        let content = message(request, &self.connector.reply_queue);
        let _ = self
            .endpoint
            .send_content(channel, method, content.properties, &content.body);
    }
}

fn read_answer(content: Content, clock: Clock) -> Answer {
    let properties = content.properties;
    let headers = properties.headers.unwrap_or_default();
    let text = |name: &str| {
        headers
            .get(name)
            .and_then(FieldValue::as_str)
            .unwrap_or("")
            .to_string()
    };
    Answer {
        id: properties
            .correlation_id
            .as_deref()
            .unwrap_or_default()
            .to_string(),
        verdict: text("pipithub-verdict"),
        cause: text("pipithub-cause"),
        attempts: headers
            .get("pipithub-attempts")
            .and_then(FieldValue::as_i64)
            .unwrap_or(0),
        body: content.body,
        at: clock.now(),
    }
}

/// The message of a request, with a signature if the request is signed.
fn message(request: Publish, reply_queue: &str) -> Content {
    let message_id = request.message_id.as_ref().unwrap_or(&request.id);
    let properties = Properties {
        content_type: Some(short("application/json")),
        message_id: Some(short(message_id)),
        correlation_id: Some(short(&request.id)),
        reply_to: Some(short(reply_queue)),
        delivery_mode: Some(PERSISTENT),
        headers: Some(request_headers(&request)),
        user_id: request.user_id.as_deref().map(short),
        ..Properties::default()
    };
    let mut content = Content {
        properties,
        body: request.body.into(),
    };
    if let Some(signed) = &request.signed {
        let signature = sign(&signed.key, &content, &request.queue);
        let headers = content.properties.headers.take().unwrap_or_default();
        content.properties.headers = Some(headers.with("pipithub-signature", signature.as_str()));
    }
    content
}

fn request_headers(request: &Publish) -> FieldTable {
    let mut headers = FieldTable::new()
        .with("pipithub-class", request.class.as_str())
        .with("pipithub-function", request.function.as_str())
        .with("pipithub-sent-ms", wall_ms() as i64);
    if let Some(ms) = request.budget_ms {
        headers = headers.with("pipithub-budget-ms", ms as i64);
    }
    if request.memory_mb > 0 {
        headers = headers.with("pipithub-memory-mb", i64::from(request.memory_mb));
    }
    if request.lanes > 0 {
        headers = headers.with("pipithub-lanes", i64::from(request.lanes));
    }
    if let Some(signed) = &request.signed {
        headers = headers.with("pipithub-user", signed.user.as_str());
        headers = headers.with("pipithub-key-id", signed.key_id.as_str());
    }
    headers
}
