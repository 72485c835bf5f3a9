//! The channels between a front end and its sources of triggers.

use std::sync::Arc;

use pipithub_engine::{Reply, Ticket};
use tokio::sync::{mpsc, watch};

/// A command from the front end to one of its sources.
#[derive(Debug)]
pub(crate) enum SourceCommand {
    /// Send the final answer and settle the trigger. The source does both or neither.
    Answer(Ticket, Arc<Reply>),
    /// Accept no new triggers, and end when all pending ones are settled.
    Shutdown,
}

/// A source's end of its channels with the front end.
pub(crate) struct SourceHandle {
    /// The channel itself is unbounded, but the engine holds at most `max-open` triggers and sends one command for each.
    pub(crate) commands: mpsc::UnboundedReceiver<SourceCommand>,
    /// How many more triggers the front end accepts at present.
    pub(crate) capacity: watch::Receiver<usize>,
}

/// The front end's end of its channels with a source.
pub(super) struct Source {
    commands: mpsc::UnboundedSender<SourceCommand>,
    capacity: watch::Sender<usize>,
}

impl Source {
    /// Creates the channels of a new source and returns both ends.
    pub(super) fn new(capacity: usize) -> (Source, SourceHandle) {
        let (commands, commands_receiver) = mpsc::unbounded_channel();
        let (capacity, capacity_receiver) = watch::channel(capacity);
        let handle = SourceHandle {
            commands: commands_receiver,
            capacity: capacity_receiver,
        };
        (Source { commands, capacity }, handle)
    }

    /// Sends a command. It is dropped if the source has ended.
    pub(super) fn send(&self, command: SourceCommand) {
        let _ = self.commands.send(command);
    }

    /// Publishes how many more triggers the front end accepts.
    pub(super) fn set_capacity(&self, capacity: usize) {
        self.capacity
            .send_if_modified(|known| std::mem::replace(known, capacity) != capacity);
    }
}
