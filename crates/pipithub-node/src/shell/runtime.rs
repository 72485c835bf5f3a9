//! Starts a node, serves until a signal, and shuts it down.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use pipithub_clock::{Clock, wall_ns};
use pipithub_engine::Time;
use pipithub_platform::config::NodeConfig;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, watch};
use tokio::time::Instant;
use tracing::{error, info};

use super::reload::{MAX_RELOAD_RETRIES, RELOAD_BACKOFF, at, load};
use super::slots::Slots;
use super::socket::Side;
use super::{READ_BUFFER_BYTES, Shell};
use crate::coordinator;
use crate::core::Core;
use crate::sockets::LocalFaults;

const UNWRITTEN_MEMORY_DIVISOR: usize = 8;
/// Before it ends, the process must have seen nothing new on its sockets for so long: long beside a turn of the loop.
const QUIET_TIME: Time = 20_000_000;
/// How long clients may take at the most to close their connections once the process is about to end.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(15);

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

impl Shell {
    /// Whether the process may end: all that was taken is answered and written, and for a while nothing new was seen on
    /// any socket, so that no request stands unread in the system.
    fn is_finished(&self) -> bool {
        let (now, core) = (self.clock.now(), self.core.borrow());
        let written = || {
            self.sockets
                .borrow()
                .values()
                .all(|s| s.side == Side::Worker || s.unwritten.borrow().is_empty())
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
            place: path.to_path_buf(),
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
            place,
            listener,
            mut terminate,
            mut interrupt,
            mut reload,
        } = self;
        let clock = Clock::unix();
        let max_unwritten = ((config.memory_mb as usize) << 20) / UNWRITTEN_MEMORY_DIVISOR;
        let core = Rc::new(RefCell::new(Core::new(clock.now(), &config)));
        share(core.clone());
        let shell = Rc::new(Shell {
            core,
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
        });
        let last = config.known_updates.last().map_or(0, |e| e.index);
        let (coordinator, followed) = watch::channel(config.coordinator.clone());
        let names = config.site.names.clone();
        let told = shell.clone();
        tokio::task::spawn_local(coordinator::follow(
            followed,
            last,
            names,
            config.seed,
            move |event| {
                told.update_core(|core, now| core.update_endpoints_at(now, wall_ns(), &event));
            },
        ));
        let address = listener
            .local_addr()
            .map_or_else(|e| e.to_string(), |a| a.to_string());
        let accepting = tokio::task::spawn_local(shell.clone().accept(listener));
        info!(
            front_end = config.name,
            address,
            coordinator = config.coordinator,
            "front end up"
        );
        let over = shell.run_timer();
        tokio::pin!(over);
        // How often a configuration that could not be read was looked at, and when to look again.
        let (mut looks, mut again) = (0, None);
        loop {
            let look = tokio::select! {
                () = &mut over => break,
                _ = terminate.recv() => { shell.update_core(Core::begin_shutdown); false }
                _ = interrupt.recv() => { shell.update_core(Core::begin_shutdown); false }
                _ = reload.recv() => { looks = 0; true }
                () = at(again) => true,
            };
            if !look {
                continue;
            }
            again = None;
            match load(&place) {
                Ok(fresh) => {
                    info!(coordinator = fresh.coordinator, "configuration read again");
                    // One that has not moved is not asked anew: each call for the list costs the fleet.
                    coordinator.send_if_modified(|now| {
                        let moved = *now != fresh.coordinator;
                        *now = fresh.coordinator;
                        moved
                    });
                }
                Err(reason) => {
                    error!(%reason, looks, "previous configuration stays in force");
                    if looks < MAX_RELOAD_RETRIES {
                        again = Some(Instant::now() + RELOAD_BACKOFF * 2u32.pow(looks));
                        looks += 1;
                    }
                }
            }
        }
        accepting.abort();
        shell.close_clients().await;
        let (stats, open) = (
            shell.core.borrow().stats(),
            shell.core.borrow().pending_requests(),
        );
        let local_faults = shell.local_faults.count();
        info!(
            front_end = config.name,
            open,
            ?stats,
            local_faults,
            "front end down"
        );
    }
}
