//! The shell around the core: sockets, timers and signals, on one thread.

mod connection;
mod listener;
mod reload;
mod runtime;
mod slots;
mod socket;

pub use self::runtime::{Node, StartError};

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use pipithub_clock::Clock;
use pipithub_engine::Time;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tracing::debug;

use self::slots::Slots;
use self::socket::{PeerKind, Socket};
use crate::core::Core;
use crate::effect::{ConnectionId, Effect};
use crate::sockets::{self, ConnectError, LocalFaults};

/// How many bytes are read at a time: more than a usual client sends at once, so that a close behind them is noticed in
/// the same read.
const READ_BUFFER_BYTES: usize = 64 << 10;
/// A write buffer that has grown beyond this many bytes is released once it is empty.
const MAX_IDLE_BUFFER: usize = 16 << 10;
/// How many client connections may linger after their close, and how many connections to workers may be closing, in
/// addition to the core's limits. Their descriptors are among those that the core reserves.
const MAX_LINGERING: usize = 6;
const MAX_CLOSING: usize = 3;

/// The core, its sockets and its timer.
struct Shell {
    core: Rc<RefCell<Core>>,
    sockets: RefCell<HashMap<ConnectionId, Rc<Socket>>>,
    clients: Rc<Slots>,
    workers: Rc<Slots>,
    /// How many bytes the operating system may hold for each client that does not read.
    client_send_buffer: usize,
    /// The number of client connections that linger after their close.
    lingering: Cell<usize>,
    local_faults: LocalFaults,
    /// Whether the process is about to end, so that every client may linger.
    shutting_down: Cell<bool>,
    /// When bytes were last read from a client or written to one, or a client last connected.
    last_client_activity: Cell<Time>,
    /// Connections to workers whose write buffers may have changed, and whose state must be reported to the core.
    written_workers: RefCell<Vec<ConnectionId>>,
    /// Clients whose connections are to be closed unless they have just sent a request.
    closing_clients: RefCell<Vec<ConnectionId>>,
    clock: Clock,
    read_buffer: RefCell<Vec<u8>>,
    /// When the running timer expires.
    timer_due: Cell<Time>,
    /// Wakes the timer when something is due earlier than `timer_due`.
    timer_changed: Notify,
}

impl Shell {
    /// Calls the core and carries out the resulting effects.
    fn update_core(self: &Rc<Self>, act: impl FnOnce(&mut Core, Time)) {
        let now = self.clock.now();
        act(&mut self.core.borrow_mut(), now);
        loop {
            let effects = self.core.borrow_mut().take_effects();
            for effect in effects {
                self.execute(effect);
            }
            // The state of the write buffers is known only once all effects are carried out.
            let (written_workers, closing_clients) =
                (self.written_workers.take(), self.closing_clients.take());
            if written_workers.is_empty() && closing_clients.is_empty() {
                break;
            }
            for connection in written_workers {
                self.report_blocked(now, connection);
            }
            for connection in closing_clients {
                self.close_client_if_idle(now, connection);
            }
        }
        if self.core.borrow().next_due() < self.timer_due.get() {
            self.timer_changed.notify_one();
        }
    }

    /// Reports to the core whether a worker does not read, and how many bytes the operating system has accepted for it.
    fn report_blocked(&self, now: Time, connection: ConnectionId) {
        let Some(socket) = self.sockets.borrow().get(&connection).cloned() else {
            return;
        };
        let blocked = socket.blocked_at();
        if socket.record_blocked_report(blocked) {
            self.core
                .borrow_mut()
                .worker_blocked(now, connection, blocked);
        }
    }

    fn execute(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Write { connection, bytes } => self.write(connection, &bytes),
            Effect::CancelWrite {
                connection,
                offset,
                length,
            } => {
                if let Some(socket) = self.sockets.borrow().get(&connection) {
                    socket.cancel_write(offset, length);
                    self.written_workers.borrow_mut().push(connection);
                }
            }
            Effect::CloseIfIdle { connection } => {
                self.closing_clients.borrow_mut().push(connection);
            }
            Effect::Close { connection } => {
                if let Some(socket) = self.sockets.borrow_mut().remove(&connection) {
                    socket.close();
                }
            }
            Effect::Connect {
                connection,
                address,
                timeout,
            } => {
                let connect = self.clone().connect(connection, address, timeout);
                tokio::task::spawn_local(connect);
            }
        }
    }

    fn write(&self, connection: ConnectionId, bytes: &[u8]) {
        let sockets = self.sockets.borrow();
        let Some(socket) = sockets.get(&connection) else {
            return;
        };
        match socket.peer_kind() {
            PeerKind::Worker => {
                if socket.peer_closed() {
                    // What is written now would be lost, and it would be unknown whether it ran.
                    socket.mark_broken();
                }
                self.written_workers.borrow_mut().push(connection);
            }
            PeerKind::Client => self.last_client_activity.set(self.clock.now()),
        }
        socket.write(bytes);
    }

    /// Connects to a worker, and serves the connection until it ends.
    async fn connect(self: Rc<Self>, connection: ConnectionId, address: String, timeout: Time) {
        let max_in_use = self.core.borrow().max_worker_connections() + MAX_CLOSING;
        let dial = async |dialled: &Cell<bool>| {
            self.workers.wait_below(max_in_use).await;
            dialled.set(true);
            let slot = self.workers.take();
            TcpStream::connect(&*address)
                .await
                .map(|stream| (stream, slot))
        };
        let timeout = Duration::from_nanos(timeout);
        match sockets::connect(timeout, dial, &self.local_faults).await {
            Ok((stream, slot)) => {
                let socket = Socket::new(stream, PeerKind::Worker, slot);
                self.sockets.borrow_mut().insert(connection, socket.clone());
                self.update_core(|core, now| core.worker_connected(now, connection));
                self.serve_connection(connection, socket).await;
            }
            Err(error) => {
                debug!(connection = connection.0, %error, "failed to connect to worker");
                let local_fault = matches!(error, ConnectError::Local);
                self.update_core(|core, now| core.worker_failed(now, connection, local_fault));
            }
        }
    }
}
