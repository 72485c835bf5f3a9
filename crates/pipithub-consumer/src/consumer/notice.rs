//! What a consumer tells its shell.

use pipithub_engine::{Ticket, Time, Trigger};

use crate::message::Unreadable;

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
        why: Unreadable,
    },
}

/// Where the consumer stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No transport; one is wanted at this time.
    Idle(Time),
    /// The transport is up, the connection not yet.
    Connecting,
    /// The channel is being set up.
    Setup(u16),
    /// Deliveries come.
    Consuming(u16),
    /// The channel is up, nothing is consumed: there is no room, or the queue is missing until then.
    Paused(u16, Option<Time>),
    /// Stopped for good.
    Stopped,
}
