//! Notices of a consumer to its caller, and its phases.

use pipithub_amqp::Fault;
use pipithub_engine::{Ticket, Time, Trigger};

use super::DeadLetterFailure;
use crate::message::MessageError;

/// What happened at the broker, for the engine and the logs.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// A message arrived and was read as a call.
    Trigger(Box<Trigger>),
    /// The broker has committed the answer to a ticket, and its message is settled.
    Settled(Ticket),
    /// The connection is lost while the broker commits the answer to a ticket, so that it may be published or not.
    /// [`Lost`](Self::Lost) follows.
    AnswerUnconfirmed(Ticket),
    /// The connection was lost, for this reason; all pending tickets are invalid.
    Lost(String),
    /// The broker delivers messages from now on.
    Consuming,
    /// The broker cancelled the consumer, for example because its queue was deleted. It is started again after the
    /// backoff.
    Cancelled,
    /// The broker has blocked publishing, with its reason, or unblocked it (`None`).
    Blocked(Option<String>),
    /// An answer was returned, because the queue that it goes to does not exist. Its message is settled nevertheless.
    Returned {
        /// The queue that the answer was published to.
        reply_to: String,
        /// The correlation id of the answer.
        correlation_id: Option<String>,
    },
    /// A message could not be read as a call. It is answered with a rejection, or as failed if its call may have run.
    Unreadable {
        /// The id of the message, if it has one.
        message_id: Option<String>,
        /// The reason why it could not be read.
        error: MessageError,
        /// Whether the call may have run, as the message or another one with its signed id was delivered before.
        may_have_run: bool,
    },
    /// The broker has refused the body of an answer, and so its call is answered without it.
    BodyRefused {
        /// The size of the body.
        bytes: usize,
        /// The reason that the broker gave.
        fault: Fault,
    },
    /// There is no dead letter of a message that could not be read. The message is rejected, so that the broker passes it to
    /// the dead-letter exchange of the queue, if it has one.
    NotDeadLettered {
        /// The id of the message, if it has one.
        message_id: Option<String>,
        /// The reason why there is none.
        failure: DeadLetterFailure,
        /// The number of such messages since the start.
        count: u64,
    },
}

/// The step that a consumer has reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// There is no transport. One is to be opened at this time.
    Idle(Time),
    /// The transport is open, and the AMQP connection is being opened.
    Connecting,
    /// The channel is being set up, or the consumer on it.
    SettingUp {
        /// The number of the channel that is set up.
        channel: u16,
    },
    /// The broker delivers messages.
    Consuming {
        /// The number of the channel that deliveries come on.
        channel: u16,
    },
    /// The channel is open, but nothing is consumed: the engine has no capacity, or the queue is missing.
    Paused {
        /// The number of the open channel.
        channel: u16,
        /// Nothing is consumed before this time; `None` if only capacity is missing.
        resume_at: Option<Time>,
    },
    /// The consumer has shut down and does not start again.
    Stopped,
}
