//! AMQP consumers as a source of calls: connects each consumer to its broker, and transfers bytes, commands and notices
//! between them.

use std::io;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use pipithub_amqp::Tuning;
use pipithub_clock::{Clock, wall_ms};
use pipithub_consumer::message::MessageError;
use pipithub_consumer::{Consumer, ConsumerSettings, Notice, Phase};
use pipithub_engine::{Input, SourceId, Time};
use pipithub_settings::{AmqpConfig, Config, QueueConfig};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tracing::{info, warn};

use crate::front_end::{SourceCommand, SourceHandle};

/// A broker that does not accept a connection within this time counts as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// The initial capacity of the input buffer, in bytes.
const INPUT_BUFFER_BYTES: usize = 256 << 10;

/// The settings of a queue's consumer, assembled from those of its broker and its queue.
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

/// A consumer with its end of the channels to the front end.
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
    /// Creates a consumer; it connects when it runs.
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

    /// Runs the consumer until it is shut down, connecting to the broker's addresses in turn.
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
                // All other phases have a connection; without one the consumer has to reconnect.
                _ => self.transport_lost("no transport"),
            }
        }
    }

    /// Handles commands until the given time. Returns false if the consumer was stopped before.
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
                warn!(front_end = self.front_end, queue = self.queue, address, %error, "failed to connect to broker");
                self.transport_lost(&error.to_string());
            }
        }
    }

    fn transport_lost(&mut self, reason: &str) {
        self.consumer.transport_lost(self.clock.now(), reason);
    }

    fn handle_command(&mut self, command: Option<SourceCommand>) {
        let now = self.clock.now();
        match command {
            Some(SourceCommand::Answer(ticket, reply)) => self.consumer.answer(now, ticket, reply),
            // The channel closes when the front end has ended, and then no trigger can be handled any more.
            Some(SourceCommand::Shutdown) | None => self.consumer.shutdown(now),
        }
    }

    /// Transfers bytes and handles commands until the connection ends.
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
            if output.is_empty() && (closing || self.consumer.is_connection_closed()) {
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

    /// Forwards the consumer's notices to the engine, and logs those that concern the operator.
    async fn forward_notices(&mut self) {
        while let Some(notice) = self.consumer.poll() {
            self.log_notice(&notice);
            let input = match notice {
                Notice::Trigger(trigger) => Input::Trigger(*trigger),
                Notice::Settled(ticket) => Input::Settled(ticket),
                Notice::AnswerUnconfirmed(ticket) => Input::AnswerUnconfirmed(ticket),
                Notice::Lost(_) => Input::SourceLost(self.source),
                _ => continue,
            };
            // Waits while the engine's queue is full, which applies backpressure to the broker.
            if self.inputs.send(input).await.is_err() {
                let now = self.clock.now();
                return self.consumer.shutdown(now);
            }
        }
    }

    fn log_returned(&self, reply_to: &str, correlation_id: Option<&str>) {
        warn!(
            front_end = self.front_end,
            queue = self.queue,
            reply_to,
            ?correlation_id,
            "failed to deliver answer; the reply queue does not exist"
        );
    }

    fn log_unreadable(&self, message_id: Option<&str>, error: &MessageError, may_have_run: bool) {
        let (front_end, queue) = (&self.front_end, &self.queue);
        if may_have_run {
            warn!(
                front_end,
                queue,
                ?message_id,
                why = %error,
                "invalid message answered as failed, because its call may have run"
            );
        } else {
            warn!(front_end, queue, ?message_id, why = %error, "rejected invalid message");
        }
    }

    fn log_notice(&self, notice: &Notice) {
        let (front_end, queue) = (&self.front_end, &self.queue);
        match notice {
            Notice::Trigger(_) | Notice::Settled(_) | Notice::AnswerUnconfirmed(_) => {}
            Notice::Lost(reason) => {
                warn!(front_end, queue, why = reason, "connection to broker lost");
            }
            Notice::Consuming => info!(front_end, queue, "consumer started"),
            Notice::Cancelled => {
                warn!(
                    front_end,
                    queue, "consumer cancelled by broker; the queue may have been deleted"
                );
            }
            Notice::Blocked(Some(reason)) => {
                warn!(front_end, queue, reason, "publishing blocked by broker");
            }
            Notice::Blocked(None) => {
                warn!(front_end, queue, "publishing unblocked by broker");
            }
            Notice::Returned {
                reply_to,
                correlation_id,
            } => self.log_returned(reply_to, correlation_id.as_deref()),
            Notice::Unreadable {
                message_id,
                error,
                may_have_run,
            } => self.log_unreadable(message_id.as_deref(), error, *may_have_run),
            Notice::BodyRefused { bytes, fault } => {
                warn!(
                    front_end,
                    queue,
                    bytes,
                    why = %fault,
                    "answer refused by broker; its call is answered as failed"
                );
            }
            Notice::NotDeadLettered {
                message_id,
                failure,
                count,
            } => {
                warn!(
                    front_end,
                    queue,
                    ?message_id,
                    why = %failure,
                    count,
                    "no dead letter of invalid message; rejected to the queue's own dead-letter exchange"
                );
            }
        }
    }
}
