//! AMQP consumers: connects each consumer to its broker and moves bytes, commands and notices.

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

use crate::front_end::{SourceCommand, SourceHandle};

/// A broker that accepts no connection within this time counts as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// A consumer's settings, from those of its broker and its queue.
pub(crate) fn consumer_settings(
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

struct ConsumerTask {
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
    let mut task = ConsumerTask {
        consumer,
        source,
        queue,
        front_end,
        handle,
        inputs,
        clock,
    };
    let mut attempts = 0;
    loop {
        match task.consumer.phase() {
            Phase::Stopped => return,
            Phase::Idle(at) => {
                if !task.wait_until(at).await {
                    continue;
                }
                let address = &addresses[attempts % addresses.len().max(1)];
                attempts += 1;
                let connected =
                    tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
                match connected.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into())) {
                    Ok(stream) => {
                        let _ = stream.set_nodelay(true);
                        let now = task.clock.now();
                        task.consumer.connected(now);
                        if let Err(error) = task.run_connection(stream).await {
                            task.consumer
                                .transport_lost(task.clock.now(), &error.to_string());
                        }
                        task.forward_notices().await;
                    }
                    Err(error) => {
                        warn!(front_end = task.front_end, queue = task.queue, address, %error, "broker not reached");
                        task.consumer
                            .transport_lost(task.clock.now(), &error.to_string());
                    }
                }
            }
            // Only a connection that is up has another phase.
            _ => task
                .consumer
                .transport_lost(task.clock.now(), "no transport"),
        }
    }
}

impl ConsumerTask {
    /// Waits until the given time while handling commands; false where the consumer was stopped meanwhile.
    async fn wait_until(&mut self, at: u64) -> bool {
        loop {
            tokio::select! {
                () = self.clock.sleep_until(Some(at)) => return true,
                command = self.handle.commands.recv() => {
                    self.handle_command(command);
                    if self.consumer.phase() == Phase::Stopped {
                        return false;
                    }
                }
            }
        }
    }

    fn handle_command(&mut self, command: Option<SourceCommand>) {
        let now = self.clock.now();
        match command {
            Some(SourceCommand::Answer(ticket, reply)) => self.consumer.answer(now, ticket, reply),
            Some(SourceCommand::Settle(ticket)) => self.consumer.acknowledge(now, ticket),
            // The front end is gone: nobody could be handed anything any more.
            Some(SourceCommand::Shutdown) | None => self.consumer.shutdown(now),
        }
    }

    /// Moves bytes until the connection ends.
    async fn run_connection(&mut self, mut stream: TcpStream) -> std::io::Result<()> {
        let (mut reader, mut writer) = stream.split();
        let mut input = BytesMut::with_capacity(256 << 10);
        let mut output = BytesMut::new();
        let mut stopped = false;
        loop {
            let capacity = *self.handle.capacity.borrow_and_update();
            self.consumer.set_capacity(self.clock.now(), capacity);
            self.forward_notices().await;
            output.extend_from_slice(&self.consumer.take_output(self.clock.now()));
            let closing = matches!(self.consumer.phase(), Phase::Idle(_));
            if output.is_empty() && (closing || self.consumer.is_over()) {
                let _ = writer.shutdown().await;
                return Ok(());
            }
            tokio::select! {
                read = reader.read_buf(&mut input), if !closing => {
                    if read? == 0 {
                        return Err(std::io::ErrorKind::UnexpectedEof.into());
                    }
                    self.consumer.receive(self.clock.now(), wall_ms(), &input);
                    input.clear();
                }
                wrote = writer.write(&output), if !output.is_empty() => output.advance(wrote?),
                command = self.handle.commands.recv(), if !stopped => {
                    stopped = command.is_none();
                    self.handle_command(command);
                    while let Ok(command) = self.handle.commands.try_recv() {
                        self.handle_command(Some(command));
                    }
                }
                changed = self.handle.capacity.changed(), if !stopped => stopped |= changed.is_err(),
                () = self.clock.sleep_until(self.consumer.next_timeout()) => {
                    self.consumer.on_time(self.clock.now());
                }
            }
        }
    }

    async fn forward_notices(&mut self) {
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
                    warn!(
                        front_end,
                        queue,
                        ?reason,
                        "the broker has blocked or unblocked publishing"
                    );
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
