//! AMQP consumers: connects each consumer to its broker and moves bytes, commands and notices.

use std::io;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use pipithub_amqp::Tuning;
use pipithub_clock::{Clock, wall_ms};
use pipithub_consumer::{Consumer, ConsumerSettings, Notice, Phase};
use pipithub_engine::{Input, SourceId, Time};
use pipithub_settings::{AmqpConfig, Config, QueueConfig};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tracing::{info, warn};

use crate::front_end::{SourceCommand, SourceHandle};

/// A broker that accepts no connection within this time counts as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Bytes that the buffer for input has room for at first.
const INPUT_BUFFER_BYTES: usize = 256 << 10;

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

/// A consumer with its end of the front end's channels.
pub(crate) struct ConsumerTask {
    consumer: Consumer,
    source: SourceId,
    queue: String,
    front_end: String,
    handle: SourceHandle,
    inputs: mpsc::Sender<Input>,
    clock: Clock,
}

async fn connect(address: &str) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
    let _ = stream.set_nodelay(true);
    Ok(stream)
}

impl ConsumerTask {
    /// A consumer without a connection.
    pub(crate) fn new(
        settings: ConsumerSettings,
        handle: SourceHandle,
        inputs: mpsc::Sender<Input>,
        clock: Clock,
        seed: u64,
    ) -> Self {
        ConsumerTask {
            source: settings.source,
            queue: settings.queue.clone(),
            front_end: settings.front_end.clone(),
            consumer: Consumer::new(settings, clock.now(), seed),
            handle,
            inputs,
            clock,
        }
    }

    /// Runs the consumer until it is shut down, at one address of the broker after the other.
    pub(crate) async fn run(mut self, addresses: Vec<String>) {
        let mut attempts = 0;
        loop {
            match self.consumer.phase() {
                Phase::Stopped => return,
                Phase::Idle(at) => {
                    if !self.wait_until(at).await {
                        continue;
                    }
                    let address = &addresses[attempts % addresses.len().max(1)];
                    attempts += 1;
                    self.connect_and_run(address).await;
                }
                // Only a connection that is up has another phase.
                _ => self.transport_lost("no transport"),
            }
        }
    }

    /// Waits until the given time while handling commands; false where the consumer was stopped meanwhile.
    async fn wait_until(&mut self, at: Time) -> bool {
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

    async fn connect_and_run(&mut self, address: &str) {
        match connect(address).await {
            Ok(stream) => {
                self.consumer.connected(self.clock.now());
                if let Err(error) = self.run_connection(stream).await {
                    self.transport_lost(&error.to_string());
                }
                self.forward_notices().await;
            }
            Err(error) => {
                warn!(front_end = self.front_end, queue = self.queue, address, %error, "broker not reached");
                self.transport_lost(&error.to_string());
            }
        }
    }

    fn transport_lost(&mut self, why: &str) {
        self.consumer.transport_lost(self.clock.now(), why);
    }

    fn handle_command(&mut self, command: Option<SourceCommand>) {
        let now = self.clock.now();
        match command {
            Some(SourceCommand::Answer(ticket, reply)) => self.consumer.answer(now, ticket, reply),
            Some(SourceCommand::Settle(ticket)) => self.consumer.acknowledge(now, ticket),
            // Without a front end there is nobody to hand a trigger to.
            Some(SourceCommand::Shutdown) | None => self.consumer.shutdown(now),
        }
    }

    /// Moves bytes until the connection ends.
    async fn run_connection(&mut self, mut stream: TcpStream) -> io::Result<()> {
        let (mut reader, mut writer) = stream.split();
        let mut input = BytesMut::with_capacity(INPUT_BUFFER_BYTES);
        let mut output = BytesMut::new();
        let mut front_end_gone = false;
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
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                    self.consumer.receive(self.clock.now(), wall_ms(), &input);
                    input.clear();
                }
                written = writer.write(&output), if !output.is_empty() => output.advance(written?),
                command = self.handle.commands.recv(), if !front_end_gone => {
                    front_end_gone = command.is_none();
                    self.handle_command(command);
                    while let Ok(command) = self.handle.commands.try_recv() {
                        self.handle_command(Some(command));
                    }
                }
                changed = self.handle.capacity.changed(), if !front_end_gone => {
                    front_end_gone |= changed.is_err();
                }
                () = self.clock.sleep_until(self.consumer.next_timeout()) => {
                    self.consumer.on_time(self.clock.now());
                }
            }
        }
    }

    /// Hands what the consumer reports to the engine or to the log.
    async fn forward_notices(&mut self) {
        while let Some(notice) = self.consumer.poll() {
            self.log_notice(&notice);
            let input = match notice {
                Notice::Trigger(trigger) => Input::Trigger(*trigger),
                Notice::Settled(ticket) => Input::Settled(ticket),
                Notice::Lost(_) => Input::SourceLost(self.source),
                _ => continue,
            };
            // Waits while the engine is behind: the broker then waits in turn.
            if self.inputs.send(input).await.is_err() {
                let now = self.clock.now();
                return self.consumer.shutdown(now);
            }
        }
    }

    fn log_notice(&self, notice: &Notice) {
        let (front_end, queue) = (&self.front_end, &self.queue);
        match notice {
            Notice::Trigger(_) | Notice::Settled(_) => {}
            Notice::Lost(why) => {
                warn!(front_end, queue, why, "connection to the broker lost");
            }
            Notice::Consuming => info!(front_end, queue, "consuming"),
            Notice::Cancelled => {
                warn!(
                    front_end,
                    queue, "the broker ended the consumer: is the queue gone?"
                );
            }
            Notice::Blocked(reason) => {
                warn!(
                    front_end,
                    queue,
                    ?reason,
                    "the broker has blocked or unblocked publishing"
                );
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
            }
            Notice::Unreadable { message_id, why } => {
                warn!(front_end, queue, ?message_id, %why, "a message that is no call");
            }
        }
    }
}
