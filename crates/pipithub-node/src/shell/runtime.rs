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
use pipithub_platform::list::EndpointEvent;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, watch};
use tracing::info;

use super::reload::{ConfigReloader, load};
use super::slots::Slots;
use super::socket::Side;
use super::{READ_BUFFER_BYTES, Shell};
use crate::coordinator;
use crate::core::Core;
use crate::sockets::LocalFaults;

/// Bytes that wait to be written on one side may take this part of the memory: many peers that do not read must not
/// fill it.
const UNWRITTEN_MEMORY_DIVISOR: usize = 8;
/// Before it ends, the process must have seen nothing new on its sockets for so long: long beside a turn of the loop.
const QUIET_TIME: Time = 20_000_000;
/// How long clients may take at the most to close their connections once the process is about to end.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(15);

/// Why a front end could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The configuration's file cannot be read.
    #[error("configuration {path}: {error}")]
    ReadConfig {
        /// The file.
        path: PathBuf,
        /// The system's reason.
        error: io::Error,
    },
    /// The configuration cannot be used.
    #[error("configuration {path}: {error}")]
    InvalidConfig {
        /// The file.
        path: PathBuf,
        /// Place in it and reason.
        error: ConfigError,
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

impl Shell {
    /// A shell around a new core.
    fn new(config: &NodeConfig) -> Self {
        let clock = Clock::unix();
        let max_unwritten = ((config.memory_mb as usize) << 20) / UNWRITTEN_MEMORY_DIVISOR;
        Shell {
            core: Rc::new(RefCell::new(Core::new(clock.now(), config))),
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

    /// Hands the coordinator's events to the core; through what is returned the coordinator's address may be changed.
    fn follow_coordinator(self: &Rc<Self>, config: &NodeConfig) -> watch::Sender<String> {
        let last = config.known_updates.last().map_or(0, |event| event.index);
        let (sender, address) = watch::channel(config.coordinator.clone());
        let shell = self.clone();
        let apply = move |event: EndpointEvent| {
            shell.update_core(|core, now| core.update_endpoints_at(now, wall_ns(), &event));
        };
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

    /// Whether the process may end: all that was taken is answered and written, and for a while nothing new was seen on
    /// any socket, so that no request stands unread in the system.
    fn is_finished(&self) -> bool {
        let (now, core) = (self.clock.now(), self.core.borrow());
        let written = || {
            self.sockets
                .borrow()
                .values()
                .all(|socket| socket.side() == Side::Worker || !socket.has_unwritten())
        };
        let quiet =
            || now >= self.last_client_activity.get() + QUIET_TIME && self.lingering.get() == 0;
        core.shutdown_overdue(now) || core.is_drained(now) && quiet() && written()
    }

    /// Answers what clients have sent by now and closes their connections, so that they read these answers and a clean
    /// end: the process's own end would reset each connection on which something stands unread.
    async fn close_clients(self: &Rc<Self>) {
        self.shutting_down.set(true);
        self.update_core(|core, _| core.close_clients());
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, self.clients.wait_below(1)).await;
    }

    /// Tells the core that time has passed, until it is done.
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

/// A front end that listens and has not begun to serve.
pub struct Node {
    config: NodeConfig,
    path: PathBuf,
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
        // From here on a signal is heard, though it is served later: a file replaced after it is read is read again.
        let (terminate, interrupt) = (
            signal(SignalKind::terminate())?,
            signal(SignalKind::interrupt())?,
        );
        let reload = signal(SignalKind::hangup())?;
        let config = load(path)?;
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
        self.serve_sharing(|_| {}).await;
    }

    /// As [`Node::serve`]; the core is shown to `share` before it serves, for tests that compare its state.
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
