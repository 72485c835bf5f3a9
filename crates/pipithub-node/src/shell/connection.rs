//! Moves the bytes of one connection until it ends.

use std::io::{self, Read};
use std::net::Shutdown;
use std::rc::Rc;
use std::time::Duration;

use pipithub_engine::Time;
use socket2::SockRef;
use tokio::io::Interest;

use super::socket::{Side, Socket};
use super::{MAX_IDLE_BUFFER, MAX_LINGERING, READ_BUFFER_BYTES, Shell};
use crate::effect::ConnectionId;
use crate::sockets::{self, LOCAL_RETRY, Transfer, TransferEnd};

/// How often a client whose connection is to be closed is read once more: all that it may have open, and some more.
const MAX_FINAL_READS: usize = 16;
/// How long a client whose connection is closed may take to read its last answers: some round trips of a slow network.
const LINGER_TIMEOUT: Duration = Duration::from_millis(250);

/// What became of reading a connection.
enum Progress {
    /// All that there was is read.
    Drained,
    /// There may be more.
    More,
    /// The connection has ended.
    Ended,
}

impl Shell {
    /// Closes a client's connection, unless a request has come on it in this very moment.
    pub(super) fn close_client_if_idle(&self, now: Time, connection: ConnectionId) {
        let Some(socket) = self.sockets.borrow().get(&connection).cloned() else {
            return;
        };
        let (mut bytes, mut core) = (vec![0; READ_BUFFER_BYTES], self.core.borrow_mut());
        // From the system itself: the poller may not have told of the last bytes yet.
        let system = SockRef::from(&socket.stream);
        for _ in 0..MAX_FINAL_READS {
            let Transfer { count, end } =
                sockets::read_now(&mut bytes, |buffer| (&*system).read(buffer));
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

    /// Moves the bytes of one connection until it ends.
    pub(super) async fn serve_connection(
        self: &Rc<Self>,
        connection: ConnectionId,
        socket: Rc<Socket>,
    ) {
        self.transfer_until_end(connection, &socket).await;
        if socket.closing.get() {
            // The core has removed it already.
            return self.linger_if_owed(&socket).await;
        }
        self.sockets.borrow_mut().remove(&connection);
        self.update_core(|core, now| match socket.side {
            Side::Client => core.client_closed(now, connection),
            Side::Worker => core.worker_closed(now, connection, socket.written.get()),
        });
    }

    /// Reads and writes until the connection has ended, cannot be written any more or is to be closed.
    async fn transfer_until_end(self: &Rc<Self>, connection: ConnectionId, socket: &Socket) {
        loop {
            let nothing_to_write = socket.unwritten.borrow().is_empty();
            if socket.closing.get() || socket.broken.get() {
                return;
            }
            self.wait_for_local_resources(socket).await;
            let interest = if nothing_to_write {
                Interest::READABLE
            } else {
                Interest::READABLE | Interest::WRITABLE
            };
            let ready = tokio::select! {
                ready = socket.stream.ready(interest) => ready,
                () = socket.wake.notified() => continue,
            };
            let Ok(ready) = ready else { return };
            if ready.is_readable() {
                match self.read(connection, socket) {
                    Progress::Ended => return,
                    Progress::Drained => {}
                    // One peer that writes without end must not delay the detection of other peers' closes.
                    Progress::More => tokio::task::yield_now().await,
                }
            }
            if ready.is_writable() && !nothing_to_write {
                self.flush(connection, socket);
            }
        }
    }

    /// Writes what waits to be written.
    fn flush(self: &Rc<Self>, connection: ConnectionId, socket: &Socket) {
        socket.flush(&mut socket.unwritten.borrow_mut());
        match socket.side {
            Side::Worker => {
                self.update_core(|_, _| self.written_workers.borrow_mut().push(connection));
            }
            Side::Client => self.last_client_activity.set(self.clock.now()),
        }
    }

    /// Lets a client that was told something read it, unless too many do so already.
    async fn linger_if_owed(&self, socket: &Socket) {
        let was_told = socket.written.get() > 0 || !socket.unwritten.borrow().is_empty();
        let may_linger = self.shutting_down.get() || self.lingering.get() < MAX_LINGERING;
        if socket.side == Side::Client && was_told && may_linger {
            self.lingering.set(self.lingering.get() + 1);
            let _ = tokio::time::timeout(LINGER_TIMEOUT, self.linger(socket)).await;
            self.lingering.set(self.lingering.get() - 1);
        }
    }

    /// Waits for a moment where this machine lacked something when a connection was last read or written: that is tried
    /// again, as whoever is at the other end is not to blame.
    async fn wait_for_local_resources(&self, socket: &Socket) {
        if socket.exhausted.take() {
            self.local_faults.note();
            tokio::time::sleep(LOCAL_RETRY).await;
        }
    }

    /// Sends a client its last answers, says that no more follow, and reads on until it has closed too: a close with
    /// input unread is a reset, which would destroy answers that the client has not read yet.
    async fn linger(&self, socket: &Socket) {
        while !socket.unwritten.borrow().is_empty() && !socket.broken.get() {
            self.wait_for_local_resources(socket).await;
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
        let mut waste = vec![0; MAX_IDLE_BUFFER];
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
        let mut read_buffer = self.read_buffer.borrow_mut();
        let Transfer { count: filled, end } =
            sockets::read_now(&mut read_buffer, |buffer| socket.stream.try_read(buffer));
        if end == TransferEnd::Exhausted {
            socket.exhausted.set(true);
        }
        // Nothing that a client asked for before its close is begun: nobody waits for it. What a worker answered before
        // its close counts.
        if end == TransferEnd::Ended && (socket.side == Side::Client || filled == 0) {
            return Progress::Ended;
        }
        if filled == 0 {
            return Progress::Drained;
        }
        let bytes = &read_buffer[..filled];
        self.update_core(|core, now| match socket.side {
            Side::Client => core.client_bytes(now, connection, bytes),
            Side::Worker => core.worker_bytes(now, connection, bytes),
        });
        if socket.side == Side::Client {
            self.last_client_activity.set(self.clock.now());
        }
        if end == TransferEnd::Complete {
            Progress::More
        } else {
            Progress::Drained
        }
    }
}
