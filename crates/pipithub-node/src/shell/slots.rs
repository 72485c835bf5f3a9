//! Counts the file descriptors and the unwritten bytes of all connections from clients, or of all connections to
//! workers.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// What all connections to peers of one kind use together, including connections that are being established or closed.
#[derive(Default)]
pub(super) struct Slots {
    descriptors: Cell<usize>,
    descriptor_freed: Notify,
    unwritten_bytes: Cell<usize>,
    max_unwritten_bytes: usize,
}

/// One file descriptor in use. Dropping this frees it.
pub(super) struct Slot(Rc<Slots>);

impl Slots {
    /// Creates slots of which none is in use. At most `max_unwritten_bytes` may wait to be written on all connections
    /// together.
    pub(super) fn new(max_unwritten_bytes: usize) -> Rc<Self> {
        Rc::new(Slots {
            max_unwritten_bytes,
            ..Slots::default()
        })
    }

    /// Counts a descriptor as in use until the returned slot is dropped.
    pub(super) fn take(self: &Rc<Self>) -> Slot {
        self.descriptors.set(self.descriptors.get() + 1);
        Slot(self.clone())
    }

    /// Waits until fewer than `limit` descriptors are in use.
    pub(super) async fn wait_below(&self, limit: usize) {
        while self.descriptors.get() >= limit {
            self.descriptor_freed.notified().await;
        }
        if self.descriptors.get() + 1 < limit {
            // `notify_one` wakes one waiter only, and there is room for another.
            self.descriptor_freed.notify_one();
        }
    }
}

impl Slot {
    /// Adds to the bytes that wait to be written.
    pub(super) fn add_unwritten(&self, bytes: usize) {
        let unwritten = &self.0.unwritten_bytes;
        unwritten.set(unwritten.get() + bytes);
    }

    /// Subtracts from the bytes that wait to be written.
    pub(super) fn subtract_unwritten(&self, bytes: usize) {
        let unwritten = &self.0.unwritten_bytes;
        unwritten.set(unwritten.get() - bytes);
    }

    /// Whether more bytes wait on all connections to peers of this kind than are allowed.
    pub(super) fn exceeds_unwritten_limit(&self) -> bool {
        self.0.unwritten_bytes.get() > self.0.max_unwritten_bytes
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.descriptors.set(self.0.descriptors.get() - 1);
        self.0.descriptor_freed.notify_one();
    }
}
