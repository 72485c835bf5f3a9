//! Reads and writes one connection until it ends.

use std::rc::Rc;
use std::time::Duration;

use pipithub_engine::Time;
use tokio::io::Interest;

use super::socket::{PeerKind, Socket};
use super::{MAX_LINGERING, READ_BUFFER_BYTES, Shell};
use crate::effect::ConnectionId;
use crate::sockets::{LOCAL_RETRY_DELAY, Transfer, TransferEnd};

/// The maximum number of full buffers that are read from a client before its connection is closed: more than all its
/// pending calls can take.
const MAX_FINAL_READS: usize = 16;
/// How long a client whose connection is being closed may take to read its last answers: some round trips of a slow
/// network.
const LINGER_TIMEOUT: Duration = Duration::from_millis(250);

/// The result of reading a connection once.
enum Progress {
    /// All available input was read.
    Drained,
    /// More input may be available.
    More,
    /// The connection has ended.
    Ended,
}

impl Shell {
    /// Reads what a client has sent by now, and closes its connection unless it has pending calls after that.
    pub(super) fn close_client_if_idle(&self, now: Time, connection: ConnectionId) {
        let Some(socket) = self.sockets.borrow().get(&connection).cloned() else {
            return;
        };
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        let mut core = self.core.borrow_mut();
        for _ in 0..MAX_FINAL_READS {
            let Transfer { count, end } = socket.read_unpolled(&mut buffer);
            if socket.peer_closed() || end == TransferEnd::Ended {
                // The client no longer waits for answers to what it sent.
                break;
            }
            core.client_bytes(now, connection, &buffer[..count]);
            if end != TransferEnd::Complete {
                break;
            }
        }
        core.close_client_if_idle(now, connection);
    }

    /// Reads and writes a connection until it ends, and then reports its end to the core.
    pub(super) async fn serve_connection(
        self: &Rc<Self>,
        connection: ConnectionId,
        socket: Rc<Socket>,
    ) {
        self.transfer_until_end(connection, &socket).await;
        if socket.is_closing() {
            // The core has already forgotten the connection.
            return self.linger_if_answered(&socket).await;
        }
        self.sockets.borrow_mut().remove(&connection);
        self.update_core(|core, now| match socket.peer_kind() {
            PeerKind::Client => core.client_closed(now, connection),
            PeerKind::Worker => core.worker_closed(now, connection, socket.written()),
        });
    }

    /// Reads and writes until the connection has ended, cannot be written any more or is to be closed.
    async fn transfer_until_end(self: &Rc<Self>, connection: ConnectionId, socket: &Socket) {
        loop {
            let has_unwritten = socket.has_unwritten();
            if socket.is_closing() || socket.is_broken() {
                return;
            }
            self.wait_for_local_resources(socket).await;
            let interest = if has_unwritten {
                Interest::READABLE | Interest::WRITABLE
            } else {
                Interest::READABLE
            };
            let ready = tokio::select! {
                ready = socket.ready(interest) => ready,
                () = socket.woken() => continue,
            };
            let Ok(ready) = ready else { return };
            if ready.is_readable() {
                match self.read(connection, socket) {
                    Progress::Ended => return,
                    Progress::Drained => {}
                    // A peer that writes without end must not delay the detection of other peers' closes.
                    Progress::More => tokio::task::yield_now().await,
                }
            }
            if ready.is_writable() && has_unwritten {
                self.flush(connection, socket);
            }
        }
    }

    /// Writes the waiting bytes, and records that the connection was written on.
    fn flush(self: &Rc<Self>, connection: ConnectionId, socket: &Socket) {
        socket.flush();
        match socket.peer_kind() {
            PeerKind::Worker => {
                self.update_core(|_, _| self.written_workers.borrow_mut().push(connection));
            }
            PeerKind::Client => self.last_client_activity.set(self.clock.now()),
        }
    }

    /// Gives a client to which something was written the time to read it, unless too many clients linger already.
    async fn linger_if_answered(&self, socket: &Socket) {
        let was_answered = socket.written() > 0 || socket.has_unwritten();
        let may_linger = self.shutting_down.get() || self.lingering.get() < MAX_LINGERING;
        if socket.peer_kind() == PeerKind::Client && was_answered && may_linger {
            self.lingering.set(self.lingering.get() + 1);
            let _ = tokio::time::timeout(LINGER_TIMEOUT, self.linger(socket)).await;
            self.lingering.set(self.lingering.get() - 1);
        }
    }

    /// Waits before the next read or write if the last one failed because this machine lacked a resource: it is
    /// retried, as the peer is not at fault.
    async fn wait_for_local_resources(&self, socket: &Socket) {
        if socket.take_exhausted() {
            self.local_faults.increment();
            tokio::time::sleep(LOCAL_RETRY_DELAY).await;
        }
    }

    /// Writes a client's last answers, shuts down the write side, and reads on until the client has closed too: a close
    /// with unread input is a reset, which would destroy answers that the client has not read yet.
    async fn linger(&self, socket: &Socket) {
        while socket.has_unwritten() && !socket.is_broken() {
            self.wait_for_local_resources(socket).await;
            if socket.ready(Interest::WRITABLE).await.is_err() {
                return;
            }
            socket.flush();
        }
        if !socket.is_broken() && socket.shut_down_write().is_ok() {
            socket.discard_input().await;
        }
    }

    /// Reads the available input, at most one full buffer, and passes it to the core.
    fn read(self: &Rc<Self>, connection: ConnectionId, socket: &Socket) -> Progress {
        if socket.peer_kind() == PeerKind::Client && socket.peer_closed() {
            // Input from before the close that is still unread is ignored: the client no longer waits for answers.
            return Progress::Ended;
        }
        let mut read_buffer = self.read_buffer.borrow_mut();
        let Transfer { count: filled, end } = socket.read(&mut read_buffer);
        // Calls that a client sent right before its close are not run, as it no longer waits for them. What a worker
        // answered before its close counts.
        if end == TransferEnd::Ended && (socket.peer_kind() == PeerKind::Client || filled == 0) {
            return Progress::Ended;
        }
        if filled == 0 {
            return Progress::Drained;
        }
        let bytes = &read_buffer[..filled];
        self.update_core(|core, now| match socket.peer_kind() {
            PeerKind::Client => core.client_bytes(now, connection, bytes),
            PeerKind::Worker => core.worker_bytes(now, connection, bytes),
        });
        if socket.peer_kind() == PeerKind::Client {
            self.last_client_activity.set(self.clock.now());
        }
        if end == TransferEnd::Complete {
            Progress::More
        } else {
            Progress::Drained
        }
    }
}
