//! Sockets, time and signals around the core, on one thread.

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
use self::socket::{Side, Socket};
use crate::core::Core;
use crate::effect::{ConnectionId, Effect};
use crate::sockets::{self, ConnectError, LocalFaults};

/// What is read at a time: more than a usual client sends in one breath, so that its close behind that is seen with it.
const READ: usize = 64 << 10;
/// A buffer that has grown beyond this is let go once it is empty.
const KEPT: usize = 16 << 10;
/// Connections of clients that may linger so at a time, beyond those that clients may have; newcomers beyond both, for
/// which others are about to be closed; and connections to workers that are about to be. All are among the descriptors
/// that the core keeps free; the process itself needs twelve of these.
const LINGERING_MOST: usize = 6;
const CLOSING_MOST: usize = 3;

/// The core and its sockets.
struct Shell {
    core: Rc<RefCell<Core>>,
    sockets: RefCell<HashMap<ConnectionId, Rc<Socket>>>,
    clients: Rc<Slots>,
    workers: Rc<Slots>,
    lingering: Cell<usize>,
    local_faults: LocalFaults,
    /// The process is about to end: nothing more is accepted.
    ending: Cell<bool>,
    /// When something was last read from a client or written to one, or a client came.
    active: Cell<Time>,
    /// Connections to workers on which was written, and clients to be closed unless they have just asked for something.
    touched: RefCell<Vec<ConnectionId>>,
    retiring: RefCell<Vec<ConnectionId>>,
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
        act(&mut self.core.borrow_mut(), now);
        loop {
            self.core.borrow_mut().take_effects(&mut effects);
            for effect in effects.drain(..) {
                self.carry_out(effect);
            }
            // Only now is the buffers' state one that the core can reckon with.
            let (touched, retiring) = (self.touched.take(), self.retiring.take());
            if touched.is_empty() && retiring.is_empty() {
                break;
            }
            for connection in touched {
                self.tell_blocked(now, connection);
            }
            for connection in retiring {
                self.retire(now, connection);
            }
        }
        if self.core.borrow().next_due() < self.armed.get() {
            self.rearm.notify_one();
        }
    }

    /// Tells the core how far the system has taken what is written to a worker that does not read.
    fn tell_blocked(&self, now: Time, connection: ConnectionId) {
        let Some(socket) = self.sockets.borrow().get(&connection).cloned() else {
            return;
        };
        let blocked = (!socket.unwritten.borrow().is_empty()).then(|| socket.written.get());
        if socket.blocked.replace(blocked) != blocked {
            self.core
                .borrow_mut()
                .worker_blocked(now, connection, blocked);
        }
    }

    fn carry_out(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Write { connection, bytes } => {
                if let Some(socket) = self.sockets.borrow().get(&connection) {
                    if socket.side == Side::Worker {
                        if socket.peer_closed() {
                            // Whatever is written now would be lost, and nobody could say whether it ran.
                            socket.broken.set(true);
                        }
                        self.touched.borrow_mut().push(connection);
                    } else {
                        self.active.set(self.clock.now());
                    }
                    socket.write(&bytes);
                }
            }
            Effect::CancelWrite {
                connection,
                offset,
                length,
            } => {
                if let Some(socket) = self.sockets.borrow().get(&connection) {
                    socket.unwrite(offset, length);
                    self.touched.borrow_mut().push(connection);
                }
            }
            Effect::Retire { connection } => self.retiring.borrow_mut().push(connection),
            Effect::Close { connection } => {
                if let Some(socket) = self.sockets.borrow_mut().remove(&connection) {
                    socket.closing.set(true);
                    socket.wake.notify_one();
                }
            }
            Effect::Connect {
                connection,
                address,
                within,
            } => {
                let shell = self.clone();
                tokio::task::spawn_local(async move {
                    let within = Duration::from_nanos(within);
                    let most = shell.core.borrow().max_worker_connections() + CLOSING_MOST;
                    let dial = async |dialled: &Cell<bool>| {
                        shell.workers.below(most).await;
                        dialled.set(true);
                        let slot = shell.workers.take();
                        TcpStream::connect(&*address)
                            .await
                            .map(|stream| (stream, slot))
                    };
                    match sockets::connect(within, dial, &shell.local_faults).await {
                        Ok((stream, slot)) => {
                            let socket = Socket::new(stream, Side::Worker, slot);
                            shell
                                .sockets
                                .borrow_mut()
                                .insert(connection, socket.clone());
                            shell.with(|core, now| core.worker_connected(now, connection));
                            shell.pump(connection, socket).await;
                        }
                        Err(error) => {
                            debug!(connection, %error, "cannot connect");
                            let own = matches!(error, ConnectError::Local);
                            shell.with(|core, now| core.worker_failed(now, connection, own));
                        }
                    }
                });
            }
        }
    }
}
