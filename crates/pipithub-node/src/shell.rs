//! Sockets, time and signals around the core, on one thread.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use pipithub_clock::Clock;
use pipithub_engine::Time;
use pipithub_platform::config::NodeConfig;
use tokio::io::Interest;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, watch};
use tracing::{error, info, warn};

use crate::coordinator;
use crate::core::{ConnId, Core, Effect};

/// What is read at a time.
const READ: usize = 16 << 10;
/// The most that waits to be written on a connection: who does not read is cut off.
const UNWRITTEN_MOST: usize = 1 << 20;
/// How long a closing connection may take for its last bytes.
const LINGER: Duration = Duration::from_millis(250);

/// Why a front end could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The configuration cannot be read.
    #[error("configuration {place}: {reason}")]
    Config {
        /// The file.
        place: PathBuf,
        /// Place in it and reason.
        reason: String,
    },
    /// The address cannot be listened at.
    #[error("cannot listen at {address}: {reason}")]
    Listen {
        /// The address.
        address: String,
        /// The system's word.
        reason: io::Error,
    },
    /// The system does not give what is needed.
    #[error(transparent)]
    System(#[from] io::Error),
}

/// Which side a connection is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Side {
    Client,
    Worker,
}

/// One connection as the shell knows it.
struct Socket {
    stream: TcpStream,
    unwritten: RefCell<BytesMut>,
    written: Cell<u64>,
    /// Nothing more is read; it ends once all is written.
    closing: Cell<bool>,
    /// It cannot be written any more.
    broken: Cell<bool>,
    wake: Notify,
}

impl Socket {
    fn new(stream: TcpStream) -> Rc<Self> {
        let _ = stream.set_nodelay(true);
        Rc::new(Socket {
            stream,
            unwritten: RefCell::default(),
            written: Cell::new(0),
            closing: Cell::new(false),
            broken: Cell::new(false),
            wake: Notify::new(),
        })
    }

    /// Writes at once what the system takes, and keeps the rest.
    fn write(&self, bytes: &[u8]) {
        let mut unwritten = self.unwritten.borrow_mut();
        unwritten.extend_from_slice(bytes);
        if unwritten.len() > UNWRITTEN_MOST {
            self.broken.set(true);
        }
        self.flush(&mut unwritten);
        if !unwritten.is_empty() || self.broken.get() {
            self.wake.notify_one();
        }
    }

    fn flush(&self, unwritten: &mut BytesMut) {
        while !unwritten.is_empty() && !self.broken.get() {
            match self.stream.try_write(unwritten) {
                Ok(0) => self.broken.set(true),
                Ok(n) => {
                    self.written.set(self.written.get() + n as u64);
                    unwritten.advance(n);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => self.broken.set(true),
            }
        }
        if unwritten.is_empty() && unwritten.capacity() > READ {
            *unwritten = BytesMut::new();
        }
    }
}

/// The core and its sockets.
struct Shell {
    core: RefCell<Core>,
    sockets: RefCell<HashMap<ConnId, Rc<Socket>>>,
    clock: Clock,
    scratch: RefCell<Vec<u8>>,
    /// When the timer is set to go off, and how to set it anew.
    armed: Cell<Time>,
    rearm: Notify,
}

impl Shell {
    /// Lets the core take something in and does what comes of it.
    fn with(self: &Rc<Self>, act: impl FnOnce(&mut Core, Time)) {
        let now = self.clock.now();
        let mut effects = Vec::new();
        let due = {
            let mut core = self.core.borrow_mut();
            act(&mut core, now);
            core.effects(&mut effects);
            core.next_due()
        };
        for effect in effects {
            self.carry_out(effect);
        }
        if due < self.armed.get() {
            self.rearm.notify_one();
        }
    }

    fn carry_out(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Write { conn, bytes } => {
                if let Some(socket) = self.sockets.borrow().get(&conn) {
                    socket.write(&bytes);
                }
            }
            Effect::Close { conn } => {
                if let Some(socket) = self.sockets.borrow_mut().remove(&conn) {
                    socket.closing.set(true);
                    socket.wake.notify_one();
                }
            }
            Effect::Connect { conn, address, within } => {
                let shell = self.clone();
                tokio::task::spawn_local(async move {
                    let within = Duration::from_nanos(within);
                    match tokio::time::timeout(within, TcpStream::connect(&*address)).await {
                        Ok(Ok(stream)) => {
                            let socket = Socket::new(stream);
                            shell.sockets.borrow_mut().insert(conn, socket.clone());
                            shell.with(|core, now| core.worker_up(now, conn));
                            shell.pump(conn, Side::Worker, socket).await;
                        }
                        _ => shell.with(|core, now| core.worker_failed(now, conn)),
                    }
                });
            }
        }
    }

    /// Moves the bytes of one connection until it ends.
    async fn pump(self: &Rc<Self>, conn: ConnId, side: Side, socket: Rc<Socket>) {
        loop {
            let empty = socket.unwritten.borrow().is_empty();
            if socket.closing.get() || socket.broken.get() {
                break;
            }
            let interest = if empty { Interest::READABLE } else { Interest::READABLE | Interest::WRITABLE };
            let ready = tokio::select! {
                ready = socket.stream.ready(interest) => ready,
                () = socket.wake.notified() => continue,
            };
            let Ok(ready) = ready else { break };
            if ready.is_readable() && !self.read(conn, side, &socket) {
                break;
            }
            if ready.is_writable() {
                socket.flush(&mut socket.unwritten.borrow_mut());
            }
        }
        if socket.closing.get() {
            // The core has let go of it; its last words may still leave.
            let last = async {
                while !socket.unwritten.borrow().is_empty() && !socket.broken.get() {
                    if socket.stream.writable().await.is_err() {
                        break;
                    }
                    socket.flush(&mut socket.unwritten.borrow_mut());
                }
            };
            let _ = tokio::time::timeout(LINGER, last).await;
            return;
        }
        self.sockets.borrow_mut().remove(&conn);
        self.with(|core, now| match side {
            Side::Client => core.client_closed(now, conn),
            Side::Worker => core.worker_closed(now, conn, socket.written.get()),
        });
    }

    /// Reads once; whether the connection goes on.
    fn read(self: &Rc<Self>, conn: ConnId, side: Side, socket: &Socket) -> bool {
        let mut scratch = self.scratch.borrow_mut();
        match socket.stream.try_read(&mut scratch) {
            Ok(0) => false,
            Ok(n) => {
                let bytes = &scratch[..n];
                self.with(|core, now| match side {
                    Side::Client => core.client_bytes(now, conn, bytes),
                    Side::Worker => core.worker_bytes(now, conn, bytes),
                });
                true
            }
            Err(e) => matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted),
        }
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let conn = self.core.borrow_mut().number();
                    let socket = Socket::new(stream);
                    self.sockets.borrow_mut().insert(conn, socket.clone());
                    self.with(|core, now| core.client_opened(now, conn));
                    let shell = self.clone();
                    tokio::task::spawn_local(async move { shell.pump(conn, Side::Client, socket).await });
                }
                Err(error) => {
                    // Out of descriptors, most likely: those that close make room.
                    warn!(%error, "cannot accept");
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            }
        }
    }

    /// Tells the core that time has passed, until it is done.
    async fn time(self: &Rc<Self>) {
        loop {
            let due = self.core.borrow().next_due();
            self.armed.set(due);
            tokio::select! {
                () = self.clock.sleep_until(Some(due)) => {}
                () = self.rearm.notified() => continue,
            }
            self.armed.set(Time::MAX);
            self.with(|core, now| core.tick(now));
            if self.core.borrow().done(self.clock.now()) {
                return;
            }
        }
    }
}

fn load(path: &Path) -> Result<NodeConfig, StartError> {
    let fault = |reason: String| StartError::Config { place: path.to_path_buf(), reason };
    let text = std::fs::read_to_string(path).map_err(|e| fault(e.to_string()))?;
    NodeConfig::parse(&text).map_err(fault)
}

/// A front end that listens and has not begun to serve.
pub struct Node {
    config: NodeConfig,
    place: PathBuf,
    listener: TcpListener,
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl Node {
    /// Reads the configuration in a file and listens, at another address where one is given.
    ///
    /// # Errors
    /// [`StartError`] where it cannot start.
    pub async fn bind(path: &Path, listen: Option<String>) -> Result<Self, StartError> {
        let config = load(path)?;
        // From here on a signal is heard, though it is served later.
        let (terminate, interrupt) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
        let reload = signal(SignalKind::hangup())?;
        let address = listen.unwrap_or_else(|| config.listen.clone());
        let listener = TcpListener::bind(&*address).await;
        let listener = listener.map_err(|reason| StartError::Listen { address, reason })?;
        Ok(Node { config, place: path.to_path_buf(), listener, terminate, interrupt, reload })
    }

    /// Where it listens.
    ///
    /// # Errors
    /// As the system says.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until SIGTERM or Ctrl-C, and then until all that was taken is answered. On SIGHUP the configuration is
    /// read again. Must be run on a [`tokio::task::LocalSet`].
    pub async fn serve(self) {
        let Node { config, place, listener, mut terminate, mut interrupt, mut reload } = self;
        let clock = Clock::unix();
        let shell = Rc::new(Shell {
            core: RefCell::new(Core::new(clock.now(), &config)),
            sockets: RefCell::default(),
            clock,
            scratch: RefCell::new(vec![0; READ]),
            armed: Cell::new(Time::MAX),
            rearm: Notify::new(),
        });
        let last = config.known.last().map_or(0, |e| e.index);
        let (coordinator, followed) = watch::channel(config.coordinator.clone());
        let names = config.site.names.clone();
        let told = shell.clone();
        tokio::task::spawn_local(coordinator::follow(followed, last, names, move |event| {
            told.with(|core, now| core.list(now, &event));
        }));
        let address = listener.local_addr().map_or_else(|e| e.to_string(), |a| a.to_string());
        let accepting = tokio::task::spawn_local(shell.clone().accept(listener));
        info!(front_end = config.name, address, coordinator = config.coordinator, "front end up");
        let over = shell.time();
        tokio::pin!(over);
        loop {
            tokio::select! {
                () = &mut over => break,
                _ = terminate.recv() => shell.with(|core, now| core.stop(now)),
                _ = interrupt.recv() => shell.with(|core, now| core.stop(now)),
                _ = reload.recv() => match load(&place) {
                    Ok(fresh) => {
                        info!(coordinator = fresh.coordinator, "configuration read again");
                        coordinator.send_replace(fresh.coordinator);
                    }
                    Err(reason) => error!(%reason, "previous configuration stays in force"),
                },
            }
        }
        accepting.abort();
        let (stats, open) = (shell.core.borrow().stats(), shell.core.borrow().open());
        info!(front_end = config.name, open, ?stats, "front end down");
    }
}
