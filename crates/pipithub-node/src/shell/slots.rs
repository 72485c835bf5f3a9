//! Counts the descriptors and the unwritten bytes of one side, clients or workers.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// What all connections of one side use together, those that are being made or closed included.
#[derive(Default)]
pub(super) struct Slots {
    descriptors: Cell<usize>,
    descriptor_freed: Notify,
    unwritten_bytes: Cell<usize>,
    max_unwritten_bytes: usize,
}

/// One descriptor in use; it is free again when this is dropped.
pub(super) struct Slot(Rc<Slots>);

impl Slots {
    /// Nothing is in use. `max_unwritten_bytes` may wait to be written on all connections together.
    pub(super) fn new(max_unwritten_bytes: usize) -> Rc<Self> {
        Rc::new(Slots {
            max_unwritten_bytes,
            ..Slots::default()
        })
    }

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
    /// Counts bytes that begin to wait to be written.
    pub(super) fn add_unwritten(&self, bytes: usize) {
        let unwritten = &self.0.unwritten_bytes;
        unwritten.set(unwritten.get() + bytes);
    }

    /// Counts bytes that no longer wait to be written.
    pub(super) fn subtract_unwritten(&self, bytes: usize) {
        let unwritten = &self.0.unwritten_bytes;
        unwritten.set(unwritten.get() - bytes);
    }

    /// Whether more bytes wait on all connections of this side than may.
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
