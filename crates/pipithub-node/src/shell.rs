//! Sockets, time and signals around the core, on one thread.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::io::{self, Read};
use std::net::{Shutdown, SocketAddr};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::{Buf, BytesMut};
use pipithub_clock::{Clock, wall_ns};
use pipithub_engine::Time;
use pipithub_platform::config::NodeConfig;
use socket2::SockRef;
use tokio::io::Interest;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, watch};
use tokio::time::Instant;
use tracing::{debug, error, info};

use crate::coordinator;
use crate::core::Core;
use crate::effect::{ConnectionId, Effect};
use crate::sockets::{self, ConnectError, LOCAL_RETRY, LocalFaults, TransferEnd};

/// What is read at a time: more than a usual client sends in one breath, so that its close behind that is seen with it.
const READ: usize = 64 << 10;
/// How often a client whose connection is to be closed is read once more: all that it may have open, and some more.
const LAST_READS: usize = 16;
/// A buffer that has grown beyond this is let go once it is empty.
const KEPT: usize = 16 << 10;
/// The most that waits to be written on a connection: who does not read is cut off. So is who has more than [`KEPT`]
/// waiting while all together have more than this part of the memory: many that do not read must not fill it.
const UNWRITTEN_MOST: usize = 1 << 20;
const UNWRITTEN_PART: usize = 8;
/// How long a client whose connection is closed may take to read its last answers: some round trips of a slow network.
const LINGER: Duration = Duration::from_millis(250);
/// Connections of clients that may linger so at a time, beyond those that clients may have; newcomers beyond both, for
/// which others are about to be closed; and connections to workers that are about to be. All are among the descriptors
/// that the core keeps free; the process itself needs twelve of these.
const LINGERING_MOST: usize = 6;
const NEWCOMERS_MOST: usize = 3;
const CLOSING_MOST: usize = 3;
/// Before it ends, the process must have seen nothing new on its sockets for so long: long beside a turn of the loop.
const LAST_LOOK: Time = 20_000_000;
/// How long clients may take at the most to close their connections once the process is about to end.
const END: Duration = Duration::from_millis(15);
/// A configuration that cannot be read is looked at again after this, doubling, so often: somebody may be writing it. All
/// of it lies within the 4 s after SIGHUP in which the new coordinator is to be followed.
const LOOK_AGAIN: Duration = Duration::from_millis(50);
const LOOKS_MOST: u32 = 6;

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

/// What became of reading a connection.
enum Progress {
    /// All that there was is read.
    Drained,
    /// There may be more.
    More,
    /// The connection has ended.
    Ended,
}

/// One connection as the shell knows it.
struct Socket {
    side: Side,
    stream: TcpStream,
    unwritten: RefCell<BytesMut>,
    written: Cell<u64>,
    /// Nothing more is read; it ends once all is written.
    closing: Cell<bool>,
    /// It cannot be written any more.
    broken: Cell<bool>,
    /// This machine lacked something when it was last read or written.
    exhausted: Cell<bool>,
    /// What the core was last told of a worker that does not read.
    blocked: Cell<Option<u64>>,
    wake: Notify,
    slot: Slot,
}

impl Drop for Socket {
    fn drop(&mut self) {
        let left = self.unwritten.get_mut().len();
        self.slot
            .0
            .unwritten
            .set(self.slot.0.unwritten.get() - left);
    }
}

/// Descriptors of one side that are in use, those of connections that are closing or under way included.
#[derive(Default)]
struct Slots {
    used: Cell<usize>,
    freed: Notify,
    /// Bytes that wait to be written on all of them, and the most.
    unwritten: Cell<usize>,
    unwritten_most: usize,
}

/// One of them.
struct Slot(Rc<Slots>);

impl Slots {
    fn new(unwritten_most: usize) -> Rc<Self> {
        Rc::new(Slots {
            unwritten_most,
            ..Slots::default()
        })
    }

    fn take(self: &Rc<Self>) -> Slot {
        self.used.set(self.used.get() + 1);
        Slot(self.clone())
    }

    /// Waits until fewer than so many are in use.
    async fn below(&self, most: usize) {
        while self.used.get() >= most {
            self.freed.notified().await;
        }
        if self.used.get() + 1 < most {
            // Others may wait too.
            self.freed.notify_one();
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.used.set(self.0.used.get() - 1);
        self.0.freed.notify_one();
    }
}

impl Socket {
    fn new(stream: TcpStream, side: Side, slot: Slot) -> Rc<Self> {
        let _ = stream.set_nodelay(true);
        Rc::new(Socket {
            side,
            stream,
            unwritten: RefCell::default(),
            written: Cell::new(0),
            closing: Cell::new(false),
            broken: Cell::new(false),
            exhausted: Cell::new(false),
            blocked: Cell::new(None),
            wake: Notify::new(),
            slot,
        })
    }

    /// Whether the peer is known to have closed its side, though nobody has read that far yet.
    fn peer_closed(&self) -> bool {
        let ready = std::pin::pin!(self.stream.ready(Interest::READABLE));
        let ready = ready.poll(&mut Context::from_waker(Waker::noop()));
        matches!(ready, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }

    /// Takes back bytes that the system has not taken, counted from the first ever written.
    fn unwrite(&self, at: u64, len: u64) {
        let mut unwritten = self.unwritten.borrow_mut();
        let (Some(at), len) = (at.checked_sub(self.written.get()), len as usize) else {
            return;
        };
        let at = at as usize;
        if at + len <= unwritten.len() {
            let mut rest = unwritten.split_off(at);
            rest.advance(len);
            unwritten.unsplit(rest);
            self.slot.0.unwritten.set(self.slot.0.unwritten.get() - len);
        }
    }

    /// Writes at once what the system takes, and keeps the rest. Behind what is kept nothing leaves here: the core takes
    /// back by what it was told of that, and a line that left meanwhile would count as never sent.
    fn write(&self, bytes: &[u8]) {
        let mut unwritten = self.unwritten.borrow_mut();
        let first = unwritten.is_empty();
        unwritten.extend_from_slice(bytes);
        self.slot
            .0
            .unwritten
            .set(self.slot.0.unwritten.get() + bytes.len());
        if first {
            self.flush(&mut unwritten);
        }
        let crowded =
            self.slot.0.unwritten.get() > self.slot.0.unwritten_most && unwritten.len() > KEPT;
        if crowded || unwritten.len() > UNWRITTEN_MOST {
            self.broken.set(true);
        }
        if !unwritten.is_empty() || self.broken.get() {
            self.wake.notify_one();
        }
    }

    fn flush(&self, unwritten: &mut BytesMut) {
        if self.broken.get() {
            return;
        }
        let (count, end) = sockets::write_now(unwritten, |bytes| self.stream.try_write(bytes));
        self.written.set(self.written.get() + count as u64);
        unwritten.advance(count);
        self.slot
            .0
            .unwritten
            .set(self.slot.0.unwritten.get() - count);
        match end {
            TransferEnd::Complete | TransferEnd::Blocked => {}
            TransferEnd::Exhausted => self.exhausted.set(true),
            TransferEnd::Ended => self.broken.set(true),
        }
        if unwritten.is_empty() && unwritten.capacity() > KEPT {
            *unwritten = BytesMut::new();
        }
    }
}

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

    /// Closes a client's connection, unless a request has come on it in this very moment.
    fn retire(&self, now: Time, connection: ConnectionId) {
        let Some(socket) = self.sockets.borrow().get(&connection).cloned() else {
            return;
        };
        let (mut bytes, mut core) = (vec![0; READ], self.core.borrow_mut());
        // From the system itself: the poller may not have told of the last bytes yet.
        let system = SockRef::from(&socket.stream);
        for _ in 0..LAST_READS {
            let (count, end) = sockets::read_now(&mut bytes, |buffer| (&*system).read(buffer));
            if socket.peer_closed() || end == TransferEnd::Ended {
                // Nobody waits for what it asked.
                break;
            }
            core.client_bytes(now, connection, &bytes[..count]);
            if end != TransferEnd::Complete {
                break;
            }
        }
        core.close_client_if_idle(now, connection);
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

    /// Moves the bytes of one connection until it ends.
    async fn pump(self: &Rc<Self>, connection: ConnectionId, socket: Rc<Socket>) {
        loop {
            let empty = socket.unwritten.borrow().is_empty();
            if socket.closing.get() || socket.broken.get() {
                break;
            }
            self.rest(&socket).await;
            let interest = if empty {
                Interest::READABLE
            } else {
                Interest::READABLE | Interest::WRITABLE
            };
            let ready = tokio::select! {
                ready = socket.stream.ready(interest) => ready,
                () = socket.wake.notified() => continue,
            };
            let Ok(ready) = ready else { break };
            if ready.is_readable() {
                match self.read(connection, &socket) {
                    Progress::Ended => break,
                    Progress::Drained => {}
                    // Whoever writes without end must not keep the others' closes from being seen.
                    Progress::More => tokio::task::yield_now().await,
                }
            }
            if ready.is_writable() && !empty {
                socket.flush(&mut socket.unwritten.borrow_mut());
                if socket.side == Side::Worker {
                    self.with(|_, _| self.touched.borrow_mut().push(connection));
                } else {
                    self.active.set(self.clock.now());
                }
            }
        }
        if socket.closing.get() {
            // The core has let go of it.
            let told = socket.written.get() > 0 || !socket.unwritten.borrow().is_empty();
            let room = self.ending.get() || self.lingering.get() < LINGERING_MOST;
            if socket.side == Side::Client && told && room {
                self.lingering.set(self.lingering.get() + 1);
                let _ = tokio::time::timeout(LINGER, self.linger(&socket)).await;
                self.lingering.set(self.lingering.get() - 1);
            }
            return;
        }
        self.sockets.borrow_mut().remove(&connection);
        self.with(|core, now| match socket.side {
            Side::Client => core.client_closed(now, connection),
            Side::Worker => core.worker_closed(now, connection, socket.written.get()),
        });
    }

    /// Waits for a moment where this machine lacked something when a connection was last read or written: that is tried
    /// again, as whoever is at the other end is not to blame.
    async fn rest(&self, socket: &Socket) {
        if socket.exhausted.take() {
            self.local_faults.note();
            tokio::time::sleep(LOCAL_RETRY).await;
        }
    }

    /// Sends a client its last answers, says that no more follow, and reads on until it has closed too: a close with input
    /// unread is a reset, which would destroy answers that the client has not read yet.
    async fn linger(&self, socket: &Socket) {
        while !socket.unwritten.borrow().is_empty() && !socket.broken.get() {
            self.rest(socket).await;
            if socket.stream.writable().await.is_err() {
                return;
            }
            socket.flush(&mut socket.unwritten.borrow_mut());
        }
        if socket.broken.get()
            || SockRef::from(&socket.stream)
                .shutdown(Shutdown::Write)
                .is_err()
        {
            return;
        }
        let mut waste = vec![0; KEPT];
        while socket.stream.readable().await.is_ok() {
            match socket.stream.try_read(&mut waste) {
                Ok(0) => return,
                Err(e)
                    if !matches!(
                        e.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted
                    ) =>
                {
                    return;
                }
                _ => {}
            }
        }
    }

    /// Reads what there is, up to a buffer full.
    fn read(self: &Rc<Self>, connection: ConnectionId, socket: &Socket) -> Progress {
        if socket.side == Side::Client && socket.peer_closed() {
            // However much of what it sent before is still unread.
            return Progress::Ended;
        }
        let mut scratch = self.scratch.borrow_mut();
        let (filled, end) =
            sockets::read_now(&mut scratch, |buffer| socket.stream.try_read(buffer));
        if end == TransferEnd::Exhausted {
            socket.exhausted.set(true);
        }
        // A client that has closed has gone: nothing that it asked for before is begun for nobody. What a worker said
        // before its close counts.
        if end == TransferEnd::Ended && (socket.side == Side::Client || filled == 0) {
            return Progress::Ended;
        }
        if filled == 0 {
            return Progress::Drained;
        }
        let bytes = &scratch[..filled];
        self.with(|core, now| match socket.side {
            Side::Client => core.client_bytes(now, connection, bytes),
            Side::Worker => core.worker_bytes(now, connection, bytes),
        });
        if socket.side == Side::Client {
            self.active.set(self.clock.now());
        }
        if end == TransferEnd::Complete {
            Progress::More
        } else {
            Progress::Drained
        }
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        let most = self.core.borrow().max_client_connections() + LINGERING_MOST + NEWCOMERS_MOST;
        let accept = async || {
            self.clients.below(most).await;
            listener.accept().await
        };
        let take = |(stream, _)| {
            let connection = self.core.borrow_mut().next_connection_id();
            let socket = Socket::new(stream, Side::Client, self.clients.take());
            self.active.set(self.clock.now());
            self.sockets.borrow_mut().insert(connection, socket.clone());
            self.with(|core, now| core.client_connected(now, connection));
            let shell = self.clone();
            tokio::task::spawn_local(async move { shell.pump(connection, socket).await });
        };
        sockets::accept_all(accept, take, &self.local_faults).await;
        // Nobody reaches this process any more: what it has taken is finished, and it ends.
        self.with(Core::begin_shutdown);
    }

    /// Whether the process may end: all that was taken is answered and written, and for a while nothing new was seen on
    /// any socket, so that no request stands unread in the system.
    fn over(&self) -> bool {
        let (now, core) = (self.clock.now(), self.core.borrow());
        let written = || {
            self.sockets
                .borrow()
                .values()
                .all(|s| s.side == Side::Worker || s.unwritten.borrow().is_empty())
        };
        let quiet = || now >= self.active.get() + LAST_LOOK && self.lingering.get() == 0;
        core.shutdown_overdue(now) || core.is_drained(now) && quiet() && written()
    }

    /// Answers what clients have sent by now and closes their connections, so that they read these answers and a clean
    /// end: the process's own end would reset each connection on which something stands unread.
    async fn end(self: &Rc<Self>) {
        self.ending.set(true);
        self.with(|core, _| core.close_clients());
        let _ = tokio::time::timeout(END, self.clients.below(1)).await;
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
            self.with(Core::tick);
            if self.over() {
                return;
            }
        }
    }
}

/// Waits until a time; for ever where there is none.
async fn at(time: Option<Instant>) {
    match time {
        Some(time) => tokio::time::sleep_until(time).await,
        None => std::future::pending().await,
    }
}

fn load(path: &Path) -> Result<NodeConfig, StartError> {
    let fault = |reason: String| StartError::Config {
        place: path.to_path_buf(),
        reason,
    };
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
        let unwritten_most = ((config.memory_mb as usize) << 20) / UNWRITTEN_PART;
        let core = Rc::new(RefCell::new(Core::new(clock.now(), &config)));
        share(core.clone());
        let shell = Rc::new(Shell {
            core,
            sockets: RefCell::default(),
            clients: Slots::new(unwritten_most),
            workers: Slots::new(unwritten_most),
            lingering: Cell::new(0),
            local_faults: LocalFaults::default(),
            ending: Cell::new(false),
            active: Cell::new(clock.now()),
            touched: RefCell::default(),
            retiring: RefCell::default(),
            clock,
            scratch: RefCell::new(vec![0; READ]),
            armed: Cell::new(Time::MAX),
            rearm: Notify::new(),
        });
        let last = config.known.last().map_or(0, |e| e.index);
        let (coordinator, followed) = watch::channel(config.coordinator.clone());
        let names = config.site.names.clone();
        let told = shell.clone();
        tokio::task::spawn_local(coordinator::follow(
            followed,
            last,
            names,
            config.seed,
            move |event| {
                told.with(|core, now| core.update_endpoints_at(now, wall_ns(), &event));
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
        let over = shell.time();
        tokio::pin!(over);
        // How often a configuration that could not be read was looked at, and when to look again.
        let (mut looks, mut again) = (0, None);
        loop {
            let look = tokio::select! {
                () = &mut over => break,
                _ = terminate.recv() => { shell.with(Core::begin_shutdown); false }
                _ = interrupt.recv() => { shell.with(Core::begin_shutdown); false }
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
                    if looks < LOOKS_MOST {
                        again = Some(Instant::now() + LOOK_AGAIN * 2u32.pow(looks));
                        looks += 1;
                    }
                }
            }
        }
        accepting.abort();
        shell.end().await;
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
