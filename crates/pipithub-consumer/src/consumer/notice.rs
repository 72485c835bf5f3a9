//! What a consumer tells its shell.

use pipithub_engine::{Ticket, Time, Trigger};

use crate::message::MessageError;

/// What happened, for the engine and the logs.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// A request came in.
    Trigger(Box<Trigger>),
    /// Its answer is safe at the broker.
    Settled(Ticket),
    /// All open tickets are void.
    Lost(String),
    /// Deliveries may come from now on.
    Consuming,
    /// The broker ended the consumer, as when its queue is deleted; it is begun anew after a while.
    Cancelled,
    /// The broker takes no publishes, with its reason, or takes them again.
    Blocked(Option<String>),
    /// An answer could not be delivered: its queue is gone. Its message is settled all the same.
    Returned {
        /// The queue.
        reply_to: String,
        /// What ties the answer to its request.
        correlation_id: Option<String>,
    },
    /// A message was no request.
    Unreadable {
        /// Its id.
        message_id: Option<String>,
        /// Why.
        why: MessageError,
    },
}

/// The step that a consumer has reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// There is no transport; one is to be opened at this time.
    Idle(Time),
    /// The transport is open, the AMQP connection not yet.
    Connecting,
    /// The channel is being set up, or the consumer on it.
    SettingUp {
        /// The channel.
        channel: u16,
    },
    /// The broker delivers messages.
    Consuming {
        /// The channel.
        channel: u16,
    },
    /// The channel is open, but nothing is consumed: the engine has no capacity, or the queue is missing.
    Paused {
        /// The channel.
        channel: u16,
        /// Nothing is consumed before this time.
        resume_at: Option<Time>,
    },
    /// Stopped for good.
    Stopped,
}
