//! Starts a node, serves until a signal, and shuts it down.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use pipithub_clock::{Clock, wall_ns};
use pipithub_engine::Time;
use pipithub_platform::config::{ConfigError, NodeConfig};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, watch};
use tracing::info;

use super::reload::{ConfigReloader, load_config};
use super::slots::Slots;
use super::socket::PeerKind;
use super::{READ_BUFFER_BYTES, Shell};
use crate::coordinator::{self, StreamUpdate};
use crate::core::Core;
use crate::sockets::LocalFaults;

/// The bytes that wait to be written to all clients together, and those to all workers together, may each take at most
/// the memory divided by this number: many peers that do not read must not exhaust it.
const UNWRITTEN_MEMORY_DIVISOR: usize = 8;
/// The least send buffer of a client's connection: it holds the longest answer, so that a client that reads gets each in one
/// write.
const MIN_CLIENT_SEND_BUFFER: usize = 32 << 10;
/// The process ends only once clients have been silent for this long, in nanoseconds, which is long compared with one
/// iteration of the event loop.
const QUIET_TIME: Time = 20_000_000;
/// The most time that clients have to close their connections once the process is about to end.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(15);

/// Why a front end could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The configuration file cannot be read.
    #[error("configuration {path}: {error}")]
    ReadConfig {
        /// The path of the file.
        path: PathBuf,
        /// The operating system's error.
        error: io::Error,
    },
    /// The configuration cannot be used.
    #[error("configuration {path}: {error}")]
    InvalidConfig {
        /// The path of the file.
        path: PathBuf,
        /// Where in the file the fault is, and what it is.
        error: ConfigError,
    },
    /// The front end cannot listen at the address.
    #[error("cannot listen at {address}: {reason}")]
    Listen {
        /// The address that was given or configured.
        address: String,
        /// The operating system's error.
        reason: io::Error,
    },
    /// Signal handlers cannot be installed.
    #[error(transparent)]
    System(#[from] io::Error),
}

impl Shell {
    /// Creates a shell around a new core.
    fn new(config: &NodeConfig) -> Self {
        let clock = Clock::unix();
        let max_unwritten = ((config.memory_mb as usize) << 20) / UNWRITTEN_MEMORY_DIVISOR;
        let core = Core::new(clock.now(), config);
        Shell {
            client_send_buffer: client_send_buffer(max_unwritten, core.max_client_connections()),
            core: Rc::new(RefCell::new(core)),
            sockets: RefCell::default(),
            clients: Slots::new(max_unwritten),
            workers: Slots::new(max_unwritten),
            lingering: Cell::new(0),
            local_faults: LocalFaults::default(),
            shutting_down: Cell::new(false),
            last_client_activity: Cell::new(clock.now()),
            written_workers: RefCell::default(),
            closing_clients: RefCell::default(),
            clock,
            read_buffer: RefCell::new(vec![0; READ_BUFFER_BYTES]),
            timer_due: Cell::new(Time::MAX),
            timer_changed: Notify::new(),
        }
    }

    /// Starts to follow the coordinator and to pass its events to the core; a new address of the coordinator may be
    /// sent on the returned channel.
    fn follow_coordinator(self: &Rc<Self>, config: &NodeConfig) -> watch::Sender<String> {
        let last = config.known_updates.last().map_or(0, |event| event.index);
        let (sender, address) = watch::channel(config.coordinator.clone());
        let shell = self.clone();
        let apply = move |update: StreamUpdate| {
            shell.update_core(|core, now| core.apply_stream_update(now, wall_ns(), &update));
        };
        self.update_core(Core::follow_coordinator);
        let names = config.site.names.clone();
        let follow = coordinator::follow(address, last, names, config.seed, apply);
        tokio::task::spawn_local(follow);
        sender
    }

    fn log_end(&self, name: &str) {
        let core = self.core.borrow();
        info!(
            front_end = name,
            open = core.pending_requests(),
            stats = ?core.stats(),
            local_faults = self.local_faults.count(),
            "front end down"
        );
    }

    /// Whether the process may end: the shutdown is overdue, or all requests are answered, all answers are written, and
    /// clients have been silent for [`QUIET_TIME`], so that the operating system holds no unread request.
    fn is_finished(&self) -> bool {
        let (now, core) = (self.clock.now(), self.core.borrow());
        let written = || {
            self.sockets
                .borrow()
                .values()
                .all(|socket| socket.peer_kind() == PeerKind::Worker || !socket.has_unwritten())
        };
        let quiet =
            || now >= self.last_client_activity.get() + QUIET_TIME && self.lingering.get() == 0;
        core.shutdown_overdue(now) || core.is_drained(now) && quiet() && written()
    }

    /// Answers what clients have sent by now and closes their connections, so that they get these answers and no
    /// reset: the end of the process would reset every connection with unread input.
    async fn close_clients(self: &Rc<Self>) {
        self.shutting_down.set(true);
        self.update_core(|core, _| core.close_clients());
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, self.clients.wait_below(1)).await;
    }

    /// Calls [`Core::tick`] whenever it is due, until the process may end.
    async fn run_timer(self: &Rc<Self>) {
        loop {
            let due = self.core.borrow().next_due();
            self.timer_due.set(due);
            tokio::select! {
                () = self.clock.sleep_until(Some(due)) => {}
                () = self.timer_changed.notified() => continue,
            }
            self.timer_due.set(Time::MAX);
            self.update_core(Core::tick);
            if self.is_finished() {
                return;
            }
        }
    }
}

/// The send buffer of each client's connection, so that the buffers of all clients together take no more than what may wait for
/// them in this process.
fn client_send_buffer(max_unwritten: usize, max_clients: usize) -> usize {
    (max_unwritten / max_clients).max(MIN_CLIENT_SEND_BUFFER)
}

/// A front end that listens but does not serve yet.
pub struct Node {
    config: NodeConfig,
    path: PathBuf,
    listener: TcpListener,
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl Node {
    /// Reads the configuration file at `path` and listens at its address, or at `listen` if that is given.
    ///
    /// # Errors
    /// [`StartError`] if the file cannot be read or used, or the operating system refuses the listener or the signal
    /// handlers.
    pub async fn bind(path: &Path, listen: Option<String>) -> Result<Self, StartError> {
        // Signals are handled before the file is read, so that SIGHUP is not lost if the file is replaced after that.
        let (terminate, interrupt) = (
            signal(SignalKind::terminate())?,
            signal(SignalKind::interrupt())?,
        );
        let reload = signal(SignalKind::hangup())?;
        let config = load_config(path)?;
        let address = listen.unwrap_or_else(|| config.listen.clone());
        let listener = TcpListener::bind(&*address).await;
        let listener = listener.map_err(|reason| StartError::Listen { address, reason })?;
        Ok(Node {
            config,
            path: path.to_path_buf(),
            listener,
            terminate,
            interrupt,
            reload,
        })
    }

    /// The address that the front end listens at.
    ///
    /// # Errors
    /// The operating system's error if the address cannot be determined.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until SIGTERM or SIGINT, and then until the graceful shutdown is complete. At SIGHUP the configuration is
    /// read again. Must run within a [`tokio::task::LocalSet`].
    pub async fn serve(self) {
        self.serve_sharing(|_| {}).await;
    }

    /// Like [`Node::serve`], but first passes the core to `share`, for tests that compare its state.
    pub async fn serve_sharing(self, share: impl FnOnce(Rc<RefCell<Core>>)) {
        let Node {
            config,
            path,
            listener,
            mut terminate,
            mut interrupt,
            mut reload,
        } = self;
        let shell = Rc::new(Shell::new(&config));
        share(shell.core.clone());
        let coordinator = shell.follow_coordinator(&config);
        let mut reloader = ConfigReloader::new(path, coordinator);
        let address = listener
            .local_addr()
            .map_or_else(|error| error.to_string(), |address| address.to_string());
        let accepting = tokio::task::spawn_local(shell.clone().accept(listener));
        info!(
            front_end = config.name,
            address,
            coordinator = config.coordinator,
            "front end up"
        );
        let finished = shell.run_timer();
        tokio::pin!(finished);
        loop {
            tokio::select! {
                () = &mut finished => break,
                _ = terminate.recv() => shell.update_core(Core::begin_shutdown),
                _ = interrupt.recv() => shell.update_core(Core::begin_shutdown),
                _ = reload.recv() => reloader.reload(),
                () = reloader.retry() => {}
            }
        }
        accepting.abort();
        shell.close_clients().await;
        shell.log_end(&config.name);
    }
}
