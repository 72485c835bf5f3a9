//! Serves the broker on a socket: accepts connections, hands their outputs to them, keeps its timer.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use pipithub_amqp::{FieldTable, Time, Tuning};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tracing::{debug, info};

use super::connection::BrokerConnection;
use super::core::{Bounds, Broker, BrokerOutput, Outgoing};
use super::entities::ConnectionId;
use crate::accept::next_connection;
use crate::clock::Clock;
use crate::recorder::Recorder;

/// A connection with more bytes than this to write gets no further messages until they are out.
const CONGESTION_BYTES: usize = 4 << 20;
/// What a method counts towards that, beside its content.
const METHOD_BYTES: usize = 256;
/// More connections than this are rejected.
const MAX_CONNECTIONS: usize = 4096;

/// How a broker is set up.
#[derive(Clone)]
pub struct BrokerSettings {
    /// User and password.
    pub login: (String, String),
    /// Further users and their passwords.
    pub logins: Vec<(String, String)>,
    /// The virtual host.
    pub virtual_host: String,
    /// The limits it offers.
    pub tuning: Tuning,
    /// Its bounds.
    pub bounds: Bounds,
    /// Queues declared beforehand, with their arguments.
    pub queues: Vec<(String, FieldTable)>,
    /// Receives the records.
    pub recorder: Recorder,
}

impl Default for BrokerSettings {
    fn default() -> Self {
        BrokerSettings {
            login: ("guest".into(), "guest".into()),
            logins: Vec::new(),
            virtual_host: "/".into(),
            tuning: Tuning::default(),
            bounds: Bounds::default(),
            queues: Vec::new(),
            recorder: Recorder::none(),
        }
    }
}

/// What a connection has to be sent.
pub(super) struct Outbox {
    pub(super) outputs: VecDeque<BrokerOutput>,
    pub(super) bytes: usize,
    notify: Arc<Notify>,
    /// The connection is to end at once, without closing it properly.
    pub(super) cut: bool,
}

impl Outbox {
    fn new(notify: Arc<Notify>) -> Self {
        Outbox {
            outputs: VecDeque::new(),
            bytes: 0,
            notify,
            cut: false,
        }
    }

    fn push(&mut self, output: BrokerOutput) {
        if let BrokerOutput::Method { content, .. } = &output {
            let body_bytes = content.as_ref().map_or(0, |content| content.body.len());
            self.bytes += METHOD_BYTES + body_bytes;
        }
        self.outputs.push_back(output);
        self.notify.notify_one();
    }
}

/// What the broker's tasks share under one lock.
pub(super) struct State {
    pub(super) broker: Broker,
    pub(super) outboxes: HashMap<ConnectionId, Outbox>,
    next_connection: ConnectionId,
}

/// What the broker's tasks share.
pub(super) struct Shared {
    pub(super) settings: BrokerSettings,
    pub(super) clock: Clock,
    state: Mutex<State>,
    timer: Notify,
    /// The broker's address, as the records name it.
    address: String,
}

/// A broker that is running; it ends when dropped.
pub struct BrokerServer {
    address: SocketAddr,
    shared: Arc<Shared>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Drop for BrokerServer {
    fn drop(&mut self) {
        self.tasks.iter().for_each(tokio::task::JoinHandle::abort);
        self.cut_all();
    }
}

impl BrokerServer {
    /// Starts a broker that listens on this address.
    pub async fn start(listen: SocketAddr, settings: BrokerSettings) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let mut broker = Broker::new(settings.bounds);
        for (queue, arguments) in &settings.queues {
            broker.declare(queue, arguments);
        }
        let state = State {
            broker,
            outboxes: HashMap::new(),
            next_connection: 1,
        };
        let shared = Arc::new(Shared {
            settings,
            clock: Clock::default(),
            state: Mutex::new(state),
            timer: Notify::new(),
            address: address.to_string(),
        });
        let accept = tokio::spawn(accept(listener, shared.clone()));
        let timer = tokio::spawn(run_timer(shared.clone()));
        Ok(BrokerServer {
            address,
            shared,
            tasks: vec![accept, timer],
        })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The numbers of messages ready and not acknowledged in a queue.
    pub fn depth(&self, queue: &str) -> Option<(usize, usize)> {
        self.shared.lock().broker.depth(queue)
    }

    /// Drops all connections without closing them properly, as a broker that crashes does.
    pub fn cut_all(&self) {
        for outbox in self.shared.lock().outboxes.values_mut() {
            outbox.cut = true;
            outbox.notify.notify_one();
        }
    }

    /// Tells clients that publishes are not taken for now (`Some`), or are taken again.
    pub fn set_blocked(&self, reason: Option<&str>) {
        let mut state = self.shared.lock();
        state.broker.set_blocked(reason);
        self.shared.distribute(&mut state);
    }

    /// Receives the records.
    pub fn recorder(&self) -> &Recorder {
        &self.shared.settings.recorder
    }
}

impl Shared {
    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets the broker act, then writes its records and hands out its outputs.
    pub(super) fn act(&self, action: impl FnOnce(&mut Broker, Time)) {
        let now = self.clock.now();
        let mut state = self.lock();
        action(&mut state.broker, now);
        self.distribute(&mut state);
        drop(state);
        self.timer.notify_one();
    }

    fn distribute(&self, state: &mut State) {
        loop {
            for seen in state.broker.take_records() {
                self.settings.recorder.note(&self.address, seen);
            }
            let outputs = state.broker.take_outputs();
            if outputs.is_empty() {
                return;
            }
            for outgoing in outputs {
                self.put_into_outbox(state, outgoing);
            }
        }
    }

    fn put_into_outbox(&self, state: &mut State, outgoing: Outgoing) {
        let Outgoing { connection, output } = outgoing;
        let Some(outbox) = state.outboxes.get_mut(&connection) else {
            return;
        };
        outbox.push(output);
        if outbox.bytes > CONGESTION_BYTES {
            state
                .broker
                .set_congested(self.clock.now(), connection, true);
        }
    }

    /// Enters a new connection; `None` where there are too many.
    fn register(&self, notify: &Arc<Notify>) -> Option<ConnectionId> {
        let mut state = self.lock();
        if state.outboxes.len() >= MAX_CONNECTIONS {
            return None;
        }
        let id = state.next_connection;
        state.next_connection += 1;
        state.outboxes.insert(id, Outbox::new(notify.clone()));
        Some(id)
    }
}

async fn run_timer(shared: Arc<Shared>) {
    loop {
        let due = shared.lock().broker.next_timeout();
        tokio::select! {
            () = shared.clock.sleep_until(due) => shared.act(Broker::on_time),
            () = shared.timer.notified() => {}
        }
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    while let Some((stream, peer)) = next_connection(|| listener.accept()).await {
        let notify = Arc::new(Notify::new());
        let Some(id) = shared.register(&notify) else {
            info!(%peer, "turned away: too many connections");
            continue;
        };
        let shared = shared.clone();
        tokio::spawn(async move {
            let ended = BrokerConnection::new(&shared, id)
                .serve(stream, &notify)
                .await;
            debug!(%peer, ?ended, "connection over");
            shared.act(|broker, now| broker.disconnect(now, id));
            shared.lock().outboxes.remove(&id);
        });
    }
}
