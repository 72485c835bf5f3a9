//! Counts descriptors and unwritten bytes of one side, clients or workers.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// Descriptors of one side that are in use, those of connections that are closing or under way included.
#[derive(Default)]
pub(super) struct Slots {
    pub(super) used: Cell<usize>,
    pub(super) freed: Notify,
    /// Bytes that wait to be written on all of them, and the most.
    pub(super) unwritten: Cell<usize>,
    pub(super) max_unwritten: usize,
}

/// One of them.
pub(super) struct Slot(pub(super) Rc<Slots>);

impl Slots {
    pub(super) fn new(max_unwritten: usize) -> Rc<Self> {
        Rc::new(Slots {
            max_unwritten,
            ..Slots::default()
        })
    }

    pub(super) fn take(self: &Rc<Self>) -> Slot {
        self.used.set(self.used.get() + 1);
        Slot(self.clone())
    }

    /// Waits until fewer than so many are in use.
    pub(super) async fn wait_below(&self, most: usize) {
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
