//! A consumer on its socket.

use std::time::Duration;

use bytes::{Buf, BytesMut};
use pipithub_amqp::Tuning;
use pipithub_clock::{Clock, wall_ms};
use pipithub_consumer::{Consumer, ConsumerSettings, Notice, Phase};
use pipithub_engine::{Input, SourceId};
use pipithub_settings::{AmqpConfig, Config, QueueConfig};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tracing::{info, warn};

use crate::front::{Order, SourceHandle};

/// A broker that takes no connection for so long is not there.
const CONNECT_MOST: Duration = Duration::from_secs(5);

/// What a consumer is given.
pub(crate) fn settings(
    config: &Config,
    broker: &AmqpConfig,
    queue: &QueueConfig,
    source: SourceId,
    front_end: &str,
) -> ConsumerSettings {
    ConsumerSettings {
        source,
        front_end: front_end.to_string(),
        login: broker.login.clone(),
        tuning: Tuning {
            heartbeat: broker.heartbeat,
            ..Tuning::default()
        },
        queue: queue.name.clone(),
        declare: queue.declare,
        route: queue.route.clone(),
        classes: config.classes.clone(),
        prefetch: queue.prefetch,
        qos: queue.qos,
        dead_letter: queue.dead_letter.clone(),
        reconnect_backoff: broker.reconnect_backoff,
        identity: queue.identity.clone(),
    }
}

struct Shell {
    consumer: Consumer,
    source: SourceId,
    queue: String,
    front_end: String,
    handle: SourceHandle,
    inputs: mpsc::Sender<Input>,
    clock: Clock,
}

/// Runs a consumer until it is stopped.
pub(crate) async fn run(
    settings: ConsumerSettings,
    addresses: Vec<String>,
    handle: SourceHandle,
    inputs: mpsc::Sender<Input>,
    clock: Clock,
    seed: u64,
) {
    let (source, queue, front_end) = (
        settings.source,
        settings.queue.clone(),
        settings.front_end.clone(),
    );
    let consumer = Consumer::new(settings, clock.now(), seed);
    let mut shell = Shell {
        consumer,
        source,
        queue,
        front_end,
        handle,
        inputs,
        clock,
    };
    let mut turn = 0;
    loop {
        match shell.consumer.phase() {
            Phase::Stopped => return,
            Phase::Idle(at) => {
                if !shell.wait(at).await {
                    continue;
                }
                let address = &addresses[turn % addresses.len().max(1)];
                turn += 1;
                let tried = tokio::time::timeout(CONNECT_MOST, TcpStream::connect(address)).await;
                match tried.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into())) {
                    Ok(stream) => {
                        let _ = stream.set_nodelay(true);
                        let now = shell.clock.now();
                        shell.consumer.connected(now);
                        if let Err(error) = shell.connected(stream).await {
                            shell
                                .consumer
                                .transport_lost(shell.clock.now(), &error.to_string());
                        }
                        shell.notices().await;
                    }
                    Err(error) => {
                        warn!(front_end = shell.front_end, queue = shell.queue, address, %error, "broker not reached");
                        shell
                            .consumer
                            .transport_lost(shell.clock.now(), &error.to_string());
                    }
                }
            }
            // Only a connection that is up has another phase.
            _ => shell
                .consumer
                .transport_lost(shell.clock.now(), "no transport"),
        }
    }
}

impl Shell {
    /// Waits until then while orders come; false where the consumer was stopped meanwhile.
    async fn wait(&mut self, at: u64) -> bool {
        loop {
            tokio::select! {
                () = self.clock.sleep_until(Some(at)) => return true,
                order = self.handle.orders.recv() => {
                    self.order(order);
                    if self.consumer.phase() == Phase::Stopped {
                        return false;
                    }
                }
            }
        }
    }

    fn order(&mut self, order: Option<Order>) {
        let now = self.clock.now();
        match order {
            Some(Order::Answer(ticket, reply)) => self.consumer.answer(now, ticket, reply),
            Some(Order::Forget(ticket)) => self.consumer.acknowledge(now, ticket),
            // The front end is gone: nobody could be handed anything any more.
            Some(Order::Stop) | None => self.consumer.shutdown(now),
        }
    }

    /// Moves bytes until the connection is over.
    async fn connected(&mut self, mut stream: TcpStream) -> std::io::Result<()> {
        let (mut reader, mut writer) = stream.split();
        let mut input = BytesMut::with_capacity(256 << 10);
        let mut output = BytesMut::new();
        let mut stopped = false;
        loop {
            let room = *self.handle.room.borrow_and_update();
            self.consumer.set_capacity(self.clock.now(), room);
            self.notices().await;
            output.extend_from_slice(&self.consumer.take_output(self.clock.now()));
            let over = matches!(self.consumer.phase(), Phase::Idle(_));
            if output.is_empty() && (over || self.consumer.is_over()) {
                let _ = writer.shutdown().await;
                return Ok(());
            }
            tokio::select! {
                read = reader.read_buf(&mut input), if !over => {
                    if read? == 0 {
                        return Err(std::io::ErrorKind::UnexpectedEof.into());
                    }
                    self.consumer.receive(self.clock.now(), wall_ms(), &input);
                    input.clear();
                }
                wrote = writer.write(&output), if !output.is_empty() => output.advance(wrote?),
                order = self.handle.orders.recv(), if !stopped => {
                    stopped = order.is_none();
                    self.order(order);
                    while let Ok(order) = self.handle.orders.try_recv() {
                        self.order(Some(order));
                    }
                }
                changed = self.handle.room.changed(), if !stopped => stopped |= changed.is_err(),
                () = self.clock.sleep_until(self.consumer.next_timeout()) => {
                    self.consumer.on_time(self.clock.now());
                }
            }
        }
    }

    async fn notices(&mut self) {
        while let Some(notice) = self.consumer.poll() {
            let (front_end, queue) = (&self.front_end, &self.queue);
            let input = match notice {
                Notice::Trigger(trigger) => Input::Trigger(*trigger),
                Notice::Settled(ticket) => Input::Settled(ticket),
                Notice::Lost(why) => {
                    warn!(front_end, queue, why, "connection to the broker lost");
                    Input::SourceLost(self.source)
                }
                Notice::Consuming => {
                    info!(front_end, queue, "consuming");
                    continue;
                }
                Notice::Cancelled => {
                    warn!(
                        front_end,
                        queue, "the broker ended the consumer: is the queue gone?"
                    );
                    continue;
                }
                Notice::Blocked(reason) => {
                    warn!(front_end, queue, ?reason, "the broker's word on publishes");
                    continue;
                }
                Notice::Returned {
                    reply_to,
                    correlation_id,
                } => {
                    warn!(
                        front_end,
                        queue,
                        reply_to,
                        ?correlation_id,
                        "an answer could not be delivered"
                    );
                    continue;
                }
                Notice::Unreadable { message_id, why } => {
                    warn!(front_end, queue, ?message_id, %why, "a message that is no call");
                    continue;
                }
            };
            // Waits while the engine is behind: the broker then waits in turn.
            if self.inputs.send(input).await.is_err() {
                let now = self.clock.now();
                return self.consumer.shutdown(now);
            }
        }
    }
}
