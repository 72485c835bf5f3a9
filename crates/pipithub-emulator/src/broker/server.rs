//! The broker on a socket: accepts connections, distributes the broker's outputs to them and drives its timer.

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
use crate::credentials::Credentials;
use crate::recorder::Recorder;

/// A connection with more unwritten bytes than this gets no further messages until they are written.
const CONGESTION_BYTES: usize = 4 << 20;
/// The number of bytes that each method counts in addition to the body of its content.
const METHOD_BYTES: usize = 256;
/// The maximum number of connections; further ones are closed at once.
const MAX_CONNECTIONS: usize = 4096;

/// Settings of a broker.
#[derive(Clone)]
pub struct BrokerSettings {
    /// The user that may log in.
    pub login: Credentials,
    /// Further users that may log in.
    pub logins: Vec<Credentials>,
    /// The name of the only virtual host.
    pub virtual_host: String,
    /// The limits that the broker proposes to clients.
    pub tuning: Tuning,
    /// The limits on messages, queues and exchanges.
    pub bounds: Bounds,
    /// Durable queues that exist from the start, with their arguments.
    pub queues: Vec<(String, FieldTable)>,
    /// Records the traffic.
    pub recorder: Recorder,
}

impl Default for BrokerSettings {
    fn default() -> Self {
        BrokerSettings {
            login: Credentials::new("guest", "guest"),
            logins: Vec::new(),
            virtual_host: "/".into(),
            tuning: Tuning::default(),
            bounds: Bounds::default(),
            queues: Vec::new(),
            recorder: Recorder::none(),
        }
    }
}

/// The outputs that wait to be sent on a connection.
pub(super) struct Outbox {
    pub(super) outputs: VecDeque<BrokerOutput>,
    /// The size of the outputs that were added since the connection last took its outputs.
    pub(super) bytes: usize,
    /// Wakes the task of the connection.
    notify: Arc<Notify>,
    /// Whether the connection must be dropped without a closing handshake.
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

/// The state of the broker's tasks that is guarded by one lock.
pub(super) struct State {
    pub(super) broker: Broker,
    pub(super) outboxes: HashMap<ConnectionId, Outbox>,
    next_connection: ConnectionId,
}

/// The state that the broker's tasks share.
pub(super) struct Shared {
    pub(super) settings: BrokerSettings,
    pub(super) clock: Clock,
    state: Mutex<State>,
    /// Wakes the timer, as its due time may have changed.
    timer: Notify,
    /// The broker's address, which identifies it in records.
    address: String,
}

/// A running broker. Dropping it ends the broker and its connections.
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
    /// Starts a broker on an address. Fails if the address cannot be bound.
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

    /// How many messages of a queue are ready, and how many unacknowledged; `None` if there is no such queue.
    pub fn depth(&self, queue: &str) -> Option<(usize, usize)> {
        self.shared.lock().broker.depth(queue)
    }

    /// Drops all connections without a closing handshake, as a crash of the broker does.
    pub fn cut_all(&self) {
        for outbox in self.shared.lock().outboxes.values_mut() {
            outbox.cut = true;
            outbox.notify.notify_one();
        }
    }

    /// Blocks publishers for a reason, or unblocks them (`None`).
    pub fn set_blocked(&self, reason: Option<&str>) {
        let mut state = self.shared.lock();
        state.broker.set_blocked(reason);
        self.shared.distribute(&mut state);
    }

    /// The recorder of the traffic.
    pub fn recorder(&self) -> &Recorder {
        &self.shared.settings.recorder
    }
}

impl Shared {
    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Executes an action on the broker, then writes its records and distributes its outputs.
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
                self.settings.recorder.record(&self.address, seen);
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

    /// Registers a new connection; `None` if there are too many.
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
            info!(%peer, "rejected connection: too many connections");
            continue;
        };
        let shared = shared.clone();
        tokio::spawn(async move {
            let ended = BrokerConnection::new(&shared, id)
                .serve(stream, &notify)
                .await;
            debug!(%peer, ?ended, "connection ended");
            shared.act(|broker, now| broker.disconnect(now, id));
            shared.lock().outboxes.remove(&id);
        });
    }
}
