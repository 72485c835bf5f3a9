//! A connected socket, and the bytes that wait to be written on it.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::net::Shutdown;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use bytes::{Buf, BytesMut};
use socket2::SockRef;
use tokio::io::{Interest, Ready};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::MAX_IDLE_BUFFER;
use super::slots::Slot;
use crate::sockets::{self, Transfer, TransferEnd};

/// The maximum number of bytes that may wait to be written on one connection; a peer that does not read is disconnected
/// beyond it. While all connections to peers of one kind together exceed their part of the memory, those peers are
/// disconnected beyond [`MAX_IDLE_BUFFER`] already.
const MAX_UNWRITTEN: usize = 1 << 20;

/// The kind of peer that a connection leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PeerKind {
    Client,
    Worker,
}

/// A connected socket, its write buffer and how it is to end.
pub(super) struct Socket {
    peer_kind: PeerKind,
    stream: TcpStream,
    unwritten: RefCell<BytesMut>,
    /// The number of bytes that the operating system has accepted so far.
    written: Cell<u64>,
    /// Whether the connection is to end. Nothing more is read; a client may still be sent the waiting bytes.
    closing: Cell<bool>,
    /// Whether nothing more can be written.
    broken: Cell<bool>,
    /// Whether the last read or write failed because this machine lacked a resource.
    exhausted: Cell<bool>,
    /// The result of [`Socket::blocked_at`] that was last reported to the core.
    reported_blocked: Cell<Option<u64>>,
    wake: Notify,
    slot: Slot,
}

impl Drop for Socket {
    fn drop(&mut self) {
        self.slot.subtract_unwritten(self.unwritten.get_mut().len());
    }
}

impl Socket {
    pub(super) fn new(stream: TcpStream, peer_kind: PeerKind, slot: Slot) -> Rc<Self> {
        // A failure is harmless: without this option, answers only come later.
        let _ = stream.set_nodelay(true);
        Rc::new(Socket {
            peer_kind,
            stream,
            unwritten: RefCell::default(),
            written: Cell::new(0),
            closing: Cell::new(false),
            broken: Cell::new(false),
            exhausted: Cell::new(false),
            reported_blocked: Cell::new(None),
            wake: Notify::new(),
            slot,
        })
    }

    /// Limits how many bytes the operating system holds for a peer that does not read. What it does not hold waits in this
    /// process, where it is counted.
    pub(super) fn limit_send_buffer(&self, bytes: usize) {
        // A failure leaves the system's own limit.
        let _ = SockRef::from(&self.stream).set_send_buffer_size(bytes);
    }

    pub(super) fn peer_kind(&self) -> PeerKind {
        self.peer_kind
    }

    /// The number of bytes that the operating system has accepted since the connection was established.
    pub(super) fn written(&self) -> u64 {
        self.written.get()
    }

    pub(super) fn has_unwritten(&self) -> bool {
        !self.unwritten.borrow().is_empty()
    }

    pub(super) fn is_closing(&self) -> bool {
        self.closing.get()
    }

    pub(super) fn is_broken(&self) -> bool {
        self.broken.get()
    }

    /// Requests the end of the connection. Nothing more is read; a client may still be sent the waiting bytes.
    pub(super) fn close(&self) {
        self.closing.set(true);
        self.wake.notify_one();
    }

    /// Makes every later write fail.
    pub(super) fn mark_broken(&self) {
        self.broken.set(true);
    }

    /// Returns whether the last read or write failed because this machine lacked a resource, and resets it.
    pub(super) fn take_exhausted(&self) -> bool {
        self.exhausted.take()
    }

    /// How many bytes the operating system has accepted, if further bytes wait because the peer does not read; `None`
    /// if none wait.
    pub(super) fn blocked_at(&self) -> Option<u64> {
        self.has_unwritten().then(|| self.written.get())
    }

    /// Records the result of [`Socket::blocked_at`] that is reported to the core; returns whether it differs from the
    /// last report.
    pub(super) fn record_blocked_report(&self, blocked: Option<u64>) -> bool {
        self.reported_blocked.replace(blocked) != blocked
    }

    /// Whether the peer is known to have closed its end of the connection, even if input from before the close is
    /// unread.
    pub(super) fn peer_closed(&self) -> bool {
        let ready = std::pin::pin!(self.stream.ready(Interest::READABLE));
        let ready = ready.poll(&mut Context::from_waker(Waker::noop()));
        matches!(ready, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }

    /// Waits until the stream is ready for one of these operations.
    pub(super) async fn ready(&self, interest: Interest) -> io::Result<Ready> {
        self.stream.ready(interest).await
    }

    /// Waits until bytes wait to be written, or the connection is to end.
    pub(super) async fn woken(&self) {
        self.wake.notified().await;
    }

    /// Withdraws bytes that the operating system has not accepted; `offset` counts from the first byte ever written. If
    /// the system has accepted a part of them, nothing is withdrawn.
    pub(super) fn cancel_write(&self, offset: u64, length: u64) {
        let mut unwritten = self.unwritten.borrow_mut();
        let Some(start) = offset.checked_sub(self.written.get()) else {
            return;
        };
        let (start, length) = (start as usize, length as usize);
        if start + length <= unwritten.len() {
            let mut rest = unwritten.split_off(start);
            rest.advance(length);
            unwritten.unsplit(rest);
            self.slot.subtract_unwritten(length);
        }
    }

    /// Writes as many bytes as the operating system accepts now, and keeps the rest. If bytes are already waiting,
    /// nothing is written here: the core withdraws lines according to the last report of the waiting bytes, and a line
    /// that was written since that report would count as never sent.
    pub(super) fn write(&self, bytes: &[u8]) {
        let mut unwritten = self.unwritten.borrow_mut();
        let was_empty = unwritten.is_empty();
        unwritten.extend_from_slice(bytes);
        self.slot.add_unwritten(bytes.len());
        if was_empty {
            self.flush_buffer(&mut unwritten);
        }
        let exceeds_memory =
            self.slot.exceeds_unwritten_limit() && unwritten.len() > MAX_IDLE_BUFFER;
        if exceeds_memory || unwritten.len() > MAX_UNWRITTEN {
            self.broken.set(true);
        }
        if !unwritten.is_empty() || self.broken.get() {
            self.wake.notify_one();
        }
    }

    /// Writes as many of the waiting bytes as the operating system accepts now.
    pub(super) fn flush(&self) {
        self.flush_buffer(&mut self.unwritten.borrow_mut());
    }

    fn flush_buffer(&self, unwritten: &mut BytesMut) {
        if self.broken.get() {
            return;
        }
        let Transfer { count, end } =
            sockets::write_now(unwritten, |bytes| self.stream.try_write(bytes));
        self.written.set(self.written.get() + count as u64);
        unwritten.advance(count);
        self.slot.subtract_unwritten(count);
        match end {
            TransferEnd::Complete | TransferEnd::Blocked => {}
            TransferEnd::Exhausted => self.exhausted.set(true),
            TransferEnd::Ended => self.broken.set(true),
        }
        if unwritten.is_empty() && unwritten.capacity() > MAX_IDLE_BUFFER {
            *unwritten = BytesMut::new();
        }
    }

    /// Reads the available bytes, as far as they fit into the buffer.
    pub(super) fn read(&self, buffer: &mut [u8]) -> Transfer {
        let transfer = sockets::read_now(buffer, |buffer| self.stream.try_read(buffer));
        if transfer.end == TransferEnd::Exhausted {
            self.exhausted.set(true);
        }
        transfer
    }

    /// Reads the available bytes directly from the operating system, as the poller may not have reported the last ones
    /// yet.
    pub(super) fn read_unpolled(&self, buffer: &mut [u8]) -> Transfer {
        let system = SockRef::from(&self.stream);
        sockets::read_now(buffer, |buffer| io::Read::read(&mut &*system, buffer))
    }

    /// Tells the peer that nothing more follows.
    pub(super) fn shut_down_write(&self) -> io::Result<()> {
        SockRef::from(&self.stream).shutdown(Shutdown::Write)
    }

    /// Reads and discards input until the peer has closed its end of the connection or the connection fails.
    pub(super) async fn discard_input(&self) {
        let mut discarded = vec![0; MAX_IDLE_BUFFER];
        while self.stream.readable().await.is_ok() {
            match self.stream.try_read(&mut discarded) {
                Ok(0) => return,
                Ok(_) => {}
                Err(error) if is_transient(&error) => {}
                Err(_) => return,
            }
        }
    }
}

/// Whether a read that failed with this error may be repeated.
fn is_transient(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted
    )
}
