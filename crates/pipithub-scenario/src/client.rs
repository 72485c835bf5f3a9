//! A queue client: publishes calls and gathers their answers, over any number of lost connections.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use pipithub_amqp::{
    Content, Endpoint, Event, FieldTable, FieldValue, Login, Method, Properties, ShortStr, Time,
    Tuning,
};
use pipithub_clock::{Clock, wall_ms};
use pipithub_consumer::identity::sign;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Calls that wait to be published; a client that is further behind waits itself.
const WAITING: usize = 10_000;

/// A call to publish.
#[derive(Clone, Debug, Default)]
pub struct Publish {
    /// Names it.
    pub id: String,
    /// The queue.
    pub queue: String,
    /// Its class.
    pub class: String,
    /// The function.
    pub function: String,
    /// Milliseconds that it may take; `None`: as its class gives.
    pub budget_ms: Option<u64>,
    /// Memory and lanes of a copy; 0: not told.
    pub memory_mb: u32,
    /// Lanes of a copy; 0: not told.
    pub lanes: u32,
    /// Its body.
    pub body: Vec<u8>,
    /// The property `user_id`, which a broker may check.
    pub user_id: Option<String>,
    /// Whose call it is, and the key that signs it.
    pub signed: Option<Signed>,
}

/// A user's signature under a key.
#[derive(Clone, Debug, Default)]
pub struct Signed {
    /// The user.
    pub user: String,
    /// The key's id.
    pub key_id: String,
    /// The key.
    pub key: Vec<u8>,
}

/// A final answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The call's id.
    pub id: String,
    /// `served`, `refused` or `failed`.
    pub verdict: String,
    /// Why.
    pub cause: String,
    /// Attempts made.
    pub attempts: i64,
    /// The answer's body.
    pub body: bytes::Bytes,
    /// When it came, on the client's clock.
    pub at: Time,
}

/// A client that is running; it ends when dropped.
pub struct QueueClient {
    /// Calls go in here.
    pub calls: mpsc::Sender<Publish>,
    /// Answers come out here.
    pub answers: mpsc::Receiver<Answer>,
    /// Its clock.
    pub clock: Clock,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for QueueClient {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl QueueClient {
    /// Starts one; answers come to the queue of this name, which it declares.
    pub fn start(address: &str, login: Login, reply_queue: &str) -> Self {
        let (calls, waiting) = mpsc::channel(WAITING);
        let (sender, answers) = mpsc::channel(WAITING);
        let clock = Clock::default();
        let shell = Connector {
            address: address.into(),
            login,
            reply_queue: reply_queue.into(),
            clock,
            sender,
        };
        let task = tokio::spawn(shell.run(waiting));
        QueueClient {
            calls,
            answers,
            clock,
            task,
        }
    }
}

struct Connector {
    address: String,
    login: Login,
    reply_queue: String,
    clock: Clock,
    sender: mpsc::Sender<Answer>,
}

fn short(text: &str) -> ShortStr {
    ShortStr::truncated(text)
}

/// The declaration of a durable queue.
pub fn declare(queue: &str, passive: bool) -> Method {
    Method::QueueDeclare {
        queue: short(queue),
        passive,
        durable: true,
        exclusive: false,
        auto_delete: false,
        no_wait: false,
        arguments: FieldTable::new(),
    }
}

impl Connector {
    async fn run(self, mut waiting: mpsc::Receiver<Publish>) {
        let mut unsent: VecDeque<Publish> = VecDeque::new();
        while !waiting.is_closed() || !waiting.is_empty() {
            if let Ok(stream) = TcpStream::connect(&self.address).await {
                let _ = self.connected(stream, &mut waiting, &mut unsent).await;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    async fn connected(
        &self,
        mut stream: TcpStream,
        waiting: &mut mpsc::Receiver<Publish>,
        unsent: &mut VecDeque<Publish>,
    ) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let (mut reader, mut writer) = stream.split();
        let clock = self.clock;
        let mut endpoint = Endpoint::client(self.login.clone(), Tuning::default(), clock.now())
            .named("queue-client");
        let (mut input, mut output) = (BytesMut::new(), BytesMut::new());
        let mut ready = None;
        loop {
            while let Some(event) = endpoint.poll_event() {
                match event {
                    Event::Connected => drop(endpoint.open_channel()),
                    Event::ChannelOpened { channel } => {
                        let _ = endpoint.send(channel, declare(&self.reply_queue, false));
                        let consume = Method::BasicConsume {
                            queue: short(&self.reply_queue),
                            consumer_tag: short("answers"),
                            no_local: false,
                            no_ack: true,
                            exclusive: false,
                            no_wait: false,
                            arguments: FieldTable::new(),
                        };
                        let _ = endpoint.send(channel, consume);
                    }
                    Event::Method {
                        channel,
                        method: Method::BasicConsumeOk { .. },
                        ..
                    } => ready = Some(channel),
                    Event::Method {
                        method: Method::BasicDeliver { .. },
                        content: Some(content),
                        ..
                    } => {
                        let p = content.properties;
                        let headers = p.headers.unwrap_or_default();
                        let text = |n: &str| {
                            headers
                                .get(n)
                                .and_then(FieldValue::as_str)
                                .unwrap_or("")
                                .to_string()
                        };
                        let answer = Answer {
                            id: p.correlation_id.as_deref().unwrap_or_default().to_string(),
                            verdict: text("pipithub-verdict"),
                            cause: text("pipithub-cause"),
                            attempts: headers
                                .get("pipithub-attempts")
                                .and_then(FieldValue::as_i64)
                                .unwrap_or(0),
                            body: content.body,
                            at: clock.now(),
                        };
                        if self.sender.send(answer).await.is_err() {
                            return Ok(());
                        }
                    }
                    // What the broker holds against a publish ends the channel: all begins anew.
                    Event::Closed { .. } | Event::ChannelClosed { .. } => {
                        writer.write_all(&endpoint.take_output(clock.now())).await?;
                        return Ok(());
                    }
                    _ => {}
                }
            }
            if let Some(channel) = ready {
                while let Some(call) = unsent.pop_front() {
                    self.publish(&mut endpoint, channel, call);
                }
            }
            output.extend_from_slice(&endpoint.take_output(clock.now()));
            tokio::select! {
                read = reader.read_buf(&mut input) => {
                    if read? == 0 {
                        return Ok(());
                    }
                    endpoint.receive(clock.now(), &input);
                    input.clear();
                }
                wrote = writer.write(&output), if !output.is_empty() => output.advance(wrote?),
                call = waiting.recv(), if unsent.is_empty() && output.len() < (1 << 20) => match call {
                    Some(call) => unsent.push_back(call),
                    None => std::future::pending().await,
                },
                () = clock.sleep_until(endpoint.next_timeout()) => endpoint.on_time(clock.now()),
            }
        }
    }

    fn publish(&self, endpoint: &mut Endpoint, channel: u16, call: Publish) {
        let mut headers = FieldTable::new()
            .with("pipithub-class", call.class.as_str())
            .with("pipithub-function", call.function.as_str())
            .with("pipithub-sent-ms", wall_ms() as i64);
        if let Some(ms) = call.budget_ms {
            headers = headers.with("pipithub-budget-ms", ms as i64);
        }
        if call.memory_mb > 0 {
            headers = headers.with("pipithub-memory-mb", i64::from(call.memory_mb));
        }
        if call.lanes > 0 {
            headers = headers.with("pipithub-lanes", i64::from(call.lanes));
        }
        if let Some(signed) = &call.signed {
            headers = headers.with("pipithub-user", signed.user.as_str());
            headers = headers.with("pipithub-key-id", signed.key_id.as_str());
        }
        let properties = Properties {
            content_type: Some(short("application/json")),
            message_id: Some(short(&call.id)),
            correlation_id: Some(short(&call.id)),
            reply_to: Some(short(&self.reply_queue)),
            delivery_mode: Some(2),
            headers: Some(headers),
            user_id: call.user_id.as_deref().map(short),
            ..Properties::default()
        };
        let mut content = Content {
            properties,
            body: call.body.into(),
        };
        if let Some(signed) = &call.signed {
            let signature = sign(&signed.key, &content, &call.queue);
            let headers = content.properties.headers.take().unwrap_or_default();
            content.properties.headers =
                Some(headers.with("pipithub-signature", signature.as_str()));
        }
        let method = Method::BasicPublish {
            exchange: short(""),
            routing_key: short(&call.queue),
            mandatory: false,
            immediate: false,
        };
        let _ = endpoint.send_content(channel, method, content.properties, &content.body);
    }
}

/// How many consumers a queue has; `None` where the broker cannot be asked or has no such queue.
pub async fn consumers(address: &str, login: Login, queue: &str) -> Option<u32> {
    let ask = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let clock = Clock::default();
        let mut endpoint = Endpoint::client(login, Tuning::default(), clock.now()).named("look");
        let mut input = BytesMut::new();
        loop {
            stream
                .write_all(&endpoint.take_output(clock.now()))
                .await
                .ok()?;
            while let Some(event) = endpoint.poll_event() {
                match event {
                    Event::Connected => drop(endpoint.open_channel()),
                    Event::ChannelOpened { channel } => {
                        endpoint.send(channel, declare(queue, true)).ok()?;
                    }
                    Event::Method {
                        method: Method::QueueDeclareOk { consumer_count, .. },
                        ..
                    } => {
                        return Some(consumer_count);
                    }
                    Event::Closed { .. } | Event::ChannelClosed { .. } => return None,
                    _ => {}
                }
            }
            if !endpoint.output_len().eq(&0) {
                continue;
            }
            if stream.read_buf(&mut input).await.ok()? == 0 {
                return None;
            }
            endpoint.receive(clock.now(), &input);
            input.clear();
        }
    };
    tokio::time::timeout(Duration::from_secs(5), ask)
        .await
        .ok()
        .flatten()
}
