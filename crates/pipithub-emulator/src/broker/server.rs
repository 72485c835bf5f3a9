//! The broker on sockets.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::{Buf, BytesMut};
use pipithub_amqp::{Code, Endpoint, Event, Fault, FieldTable, Method, Time, Tuning};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tracing::{debug, info};

use super::core::{Bounds, Broker, BrokerOutput, ConnectionId};
use crate::accept::next_connection;
use crate::clock::Clock;
use crate::recorder::Recorder;

/// A connection with more bytes than this to write gets no further messages until they are out.
const CONGESTED: usize = 4 << 20;
/// More connections than this are turned away.
const MOST_CONNECTIONS: usize = 4096;

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
    /// Where records go.
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

struct Mail {
    waiting: VecDeque<BrokerOutput>,
    bytes: usize,
    notify: Arc<Notify>,
    /// Ends the connection at once, without a word.
    cut: bool,
}

struct State {
    broker: Broker,
    mail: HashMap<ConnectionId, Mail>,
    next: ConnectionId,
}

struct Shared {
    settings: BrokerSettings,
    clock: Clock,
    state: Mutex<State>,
    timer: Notify,
    at: String,
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
    /// Starts one.
    pub async fn start(listen: SocketAddr, settings: BrokerSettings) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let mut broker = Broker::new(settings.bounds);
        settings
            .queues
            .iter()
            .for_each(|(queue, arguments)| broker.declare(queue, arguments));
        let state = State {
            broker,
            mail: HashMap::new(),
            next: 1,
        };
        let shared = Arc::new(Shared {
            settings,
            clock: Clock::default(),
            state: Mutex::new(state),
            timer: Notify::new(),
            at: address.to_string(),
        });
        let accept = tokio::spawn(accept(listener, shared.clone()));
        let timer = tokio::spawn(timer(shared.clone()));
        Ok(BrokerServer {
            address,
            shared,
            tasks: vec![accept, timer],
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Messages ready and not acknowledged in a queue.
    pub fn depth(&self, queue: &str) -> Option<(usize, usize)> {
        self.shared.lock().broker.depth(queue)
    }

    /// Drops all connections without a word, as a broker that dies does.
    pub fn cut_all(&self) {
        for mail in self.shared.lock().mail.values_mut() {
            mail.cut = true;
            mail.notify.notify_one();
        }
    }

    /// Tells clients that publishes are not taken, or are again.
    pub fn set_blocked(&self, reason: Option<&str>) {
        let mut state = self.shared.lock();
        state.broker.set_blocked(reason);
        self.shared.route(&mut state);
    }

    /// Where records go.
    pub fn recorder(&self) -> &Recorder {
        &self.shared.settings.recorder
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets the broker act and hands out what it says.
    fn act(&self, what: impl FnOnce(&mut Broker, Time)) {
        let now = self.clock.now();
        let mut state = self.lock();
        what(&mut state.broker, now);
        self.route(&mut state);
        drop(state);
        self.timer.notify_one();
    }

    fn route(&self, state: &mut State) {
        loop {
            state
                .broker
                .take_seen()
                .into_iter()
                .for_each(|seen| self.settings.recorder.note(&self.at, seen));
            let out = state.broker.take_outputs();
            if out.is_empty() {
                return;
            }
            for (id, out) in out {
                let Some(mail) = state.mail.get_mut(&id) else {
                    continue;
                };
                if let BrokerOutput::Method(_, _, content) = &out {
                    mail.bytes += 256 + content.as_ref().map_or(0, |c| c.body.len());
                }
                mail.waiting.push_back(out);
                mail.notify.notify_one();
                if mail.bytes > CONGESTED {
                    state.broker.set_congested(self.clock.now(), id, true);
                }
            }
        }
    }
}

async fn timer(shared: Arc<Shared>) {
    loop {
        let due = shared.lock().broker.next_timeout();
        tokio::select! {
            () = shared.clock.sleep_until(due) => shared.act(super::core::Broker::on_time),
            () = shared.timer.notified() => {}
        }
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    while let Some((stream, peer)) = next_connection(|| listener.accept()).await {
        let mut state = shared.lock();
        if state.mail.len() >= MOST_CONNECTIONS {
            info!(%peer, "turned away: too many connections");
            continue;
        }
        let id = state.next;
        state.next += 1;
        let notify = Arc::new(Notify::new());
        let mail = Mail {
            waiting: VecDeque::new(),
            bytes: 0,
            notify: notify.clone(),
            cut: false,
        };
        state.mail.insert(id, mail);
        drop(state);
        let shared = shared.clone();
        tokio::spawn(async move {
            let ended = Connection::new(&shared, id).serve(stream, &notify).await;
            debug!(%peer, ?ended, "connection over");
            shared.act(|broker, now| broker.disconnect(now, id));
            shared.lock().mail.remove(&id);
        });
    }
}

struct Connection<'a> {
    shared: &'a Shared,
    id: ConnectionId,
    endpoint: Endpoint,
    /// It has published: it is held back while the broker is blocked.
    publisher: bool,
    user: String,
}

impl<'a> Connection<'a> {
    fn new(shared: &'a Shared, id: ConnectionId) -> Self {
        let endpoint = Endpoint::server(shared.settings.tuning, shared.clock.now());
        Connection {
            shared,
            id,
            endpoint,
            publisher: false,
            user: String::new(),
        }
    }

    fn event(&mut self, event: Event) {
        let settings = &self.shared.settings;
        match event {
            Event::Login { user, password } => {
                let mut known = std::iter::once(&settings.login).chain(&settings.logins);
                if known.any(|(u, p)| (&user, &password) == (u, p)) {
                    self.user = user;
                    self.endpoint.accept_login();
                } else {
                    self.endpoint
                        .reject_login("ACCESS_REFUSED - login was refused");
                }
            }
            Event::OpenRequested { virtual_host } => {
                if *virtual_host == *settings.virtual_host {
                    self.endpoint.accept_open();
                } else {
                    let text = format!("NOT_ALLOWED - vhost {virtual_host} not found");
                    self.endpoint
                        .reject_open(Fault::new(Code::NotAllowed, text));
                }
            }
            Event::Connected => {
                let told = self.endpoint.peer_properties();
                let name = told
                    .get("connection_name")
                    .or(told.get("product"))
                    .and_then(|v| v.as_str());
                let client = format!("{}#{}", name.unwrap_or("client"), self.id);
                self.shared
                    .act(|broker, _| broker.connect(self.id, &client, &self.user));
            }
            event => {
                let publishes = matches!(
                    &event,
                    Event::Method {
                        method: Method::BasicPublish { .. },
                        ..
                    }
                );
                self.publisher |= publishes;
                self.shared
                    .act(|broker, now| broker.handle(now, self.id, event));
            }
        }
    }

    /// Moves the broker's words into the endpoint; false where the connection is cut.
    fn collect(&mut self) -> bool {
        while let Some(event) = self.endpoint.poll_event() {
            self.event(event);
        }
        let mut state = self.shared.lock();
        let Some(mail) = state.mail.get_mut(&self.id) else {
            return false;
        };
        if mail.cut {
            return false;
        }
        mail.bytes = 0;
        for out in std::mem::take(&mut mail.waiting) {
            // A channel that its peer has closed meanwhile takes nothing more: what was on its way is void.
            let sent = match out {
                BrokerOutput::Method(channel, method, Some(content)) => {
                    self.endpoint
                        .send_content(channel, method, content.properties, &content.body)
                }
                BrokerOutput::Method(channel, method, None) => self.endpoint.send(channel, method),
                BrokerOutput::CloseChannel(channel, fault) => {
                    self.endpoint.close_channel(channel, fault);
                    Ok(())
                }
                BrokerOutput::Close(fault) => {
                    self.endpoint.close(fault);
                    Ok(())
                }
            };
            if let Err(error) = sent {
                debug!(%error, "not sent");
            }
        }
        true
    }

    async fn serve(&mut self, mut stream: TcpStream, notify: &Notify) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let (mut reader, mut writer) = stream.split();
        let mut input = BytesMut::with_capacity(64 << 10);
        let mut output = BytesMut::new();
        loop {
            if !self.collect() {
                return Ok(());
            }
            let clock = self.shared.clock;
            output.extend_from_slice(&self.endpoint.take_output(clock.now()));
            if output.is_empty() {
                self.shared
                    .act(|broker, now| broker.set_congested(now, self.id, false));
            }
            if self.endpoint.is_closed() && output.is_empty() {
                return writer.shutdown().await;
            }
            let held = self.publisher && self.shared.lock().broker.is_blocked();
            tokio::select! {
                read = reader.read_buf(&mut input), if !held && !self.endpoint.is_closed() => {
                    if read? == 0 {
                        return Ok(());
                    }
                    self.endpoint.receive(clock.now(), &input);
                    input.clear();
                }
                wrote = writer.write(&output), if !output.is_empty() => output.advance(wrote?),
                () = notify.notified() => {}
                () = clock.sleep_until(self.endpoint.next_timeout()) => self.endpoint.on_time(clock.now()),
            }
        }
    }
}
