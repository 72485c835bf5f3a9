//! One socket with what waits to be written on it.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use bytes::{Buf, BytesMut};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::MAX_IDLE_BUFFER;
use super::slots::Slot;
use crate::sockets::{self, Transfer, TransferEnd};

/// The most bytes that wait to be written on one connection: a peer that does not read is cut off beyond it. A peer
/// with more than [`MAX_IDLE_BUFFER`] waiting is cut off too while all of its side together exceed their part of the
/// memory.
const MAX_UNWRITTEN: usize = 1 << 20;

/// Which side a connection is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Side {
    Client,
    Worker,
}

/// One connection as the shell knows it.
pub(super) struct Socket {
    pub(super) side: Side,
    pub(super) stream: TcpStream,
    pub(super) unwritten: RefCell<BytesMut>,
    pub(super) written: Cell<u64>,
    /// Nothing more is read; it ends once all is written.
    pub(super) closing: Cell<bool>,
    /// It cannot be written any more.
    pub(super) broken: Cell<bool>,
    /// This machine lacked something when it was last read or written.
    pub(super) exhausted: Cell<bool>,
    /// What was last reported to the core of a worker that does not read.
    pub(super) blocked: Cell<Option<u64>>,
    pub(super) wake: Notify,
    pub(super) slot: Slot,
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

impl Socket {
    pub(super) fn new(stream: TcpStream, side: Side, slot: Slot) -> Rc<Self> {
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
    pub(super) fn peer_closed(&self) -> bool {
        let ready = std::pin::pin!(self.stream.ready(Interest::READABLE));
        let ready = ready.poll(&mut Context::from_waker(Waker::noop()));
        matches!(ready, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }

    /// Takes back bytes that the system has not taken, counted from the first ever written.
    pub(super) fn cancel_write(&self, at: u64, len: u64) {
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

    /// Writes at once what the system takes, and keeps the rest. Behind what is kept nothing leaves here: the core
    /// takes back by what it was told of that, and a line that left meanwhile would count as never sent.
    pub(super) fn write(&self, bytes: &[u8]) {
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
        let crowded = self.slot.0.unwritten.get() > self.slot.0.max_unwritten
            && unwritten.len() > MAX_IDLE_BUFFER;
        if crowded || unwritten.len() > MAX_UNWRITTEN {
            self.broken.set(true);
        }
        if !unwritten.is_empty() || self.broken.get() {
            self.wake.notify_one();
        }
    }

    pub(super) fn flush(&self, unwritten: &mut BytesMut) {
        if self.broken.get() {
            return;
        }
        let Transfer { count, end } =
            sockets::write_now(unwritten, |bytes| self.stream.try_write(bytes));
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
        if unwritten.is_empty() && unwritten.capacity() > MAX_IDLE_BUFFER {
            *unwritten = BytesMut::new();
        }
    }
}
