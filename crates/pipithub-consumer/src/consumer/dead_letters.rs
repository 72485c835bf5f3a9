//! Dead letters: copies of unreadable messages, published to the exchange in the settings.
//!
//! A broker that refuses a copy closes the channel that it came on. So each copy is published in a transaction of its own, on
//! a channel of its own: a refusal ends neither the deliveries in flight nor the answers of other calls, and names the
//! message whose copy it was. Once the copy is committed, or is known to have no place, the message is answered and settled
//! on the consumer's channel.
//!
//! A copy that ends the connection, or the front end, brings its message back. Therefore only the first delivery of a message
//! is copied. Where there is no copy the message is rejected, and the broker passes it to the dead-letter exchange of the
//! queue, if it has one.

use std::collections::VecDeque;

use pipithub_amqp::{Content, Endpoint, Fault, Method, SendError, ShortStr};

use super::commit::{Answer, Settlement};
use super::side_channel::SideChannel;
use super::{Consumer, DeadLetterTarget, Notice};
use crate::message::{self, MessageError};

/// Why there is no dead letter of a message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DeadLetterFailure {
    /// The broker refused the copy, and closed its channel.
    #[error("refused by the broker: {0}")]
    Refused(Fault),
    /// No queue takes the copies.
    #[error("routed to no queue")]
    NotRouted,
    /// The message was delivered before, and its copy may have caused that.
    #[error("delivered before: an earlier copy may have been refused")]
    Redelivered,
    /// The copy could not be sent.
    #[error("not sent: {0}")]
    NotSent(SendError),
}

/// An unreadable message that is not settled yet.
#[derive(Debug)]
pub(super) struct UnreadableMessage {
    pub(super) ticket: u64,
    pub(super) redelivered: bool,
    pub(super) error: MessageError,
    pub(super) content: Box<Content>,
}

impl UnreadableMessage {
    /// Whether the call may have run, because the broker had delivered the message before, or because this front end has
    /// accepted a message with the same signed id. That it cannot be read here does not show that it could not be read
    /// there: a front end with other settings may have forwarded it.
    ///
    /// What the engine remembers of the identity of the message decides nothing here. Settings do not change while a front
    /// end runs, so a message that it has accepted itself stays readable, and one that is not must be another one.
    pub(super) fn may_have_run(&self) -> bool {
        self.redelivered || self.error == MessageError::Replayed
    }

    /// The notice that the message cannot be read.
    pub(super) fn notice(&self) -> Notice {
        let message_id = self.content.properties.message_id.as_deref();
        Notice::Unreadable {
            message_id: message_id.map(str::to_string),
            error: self.error.clone(),
            may_have_run: self.may_have_run(),
        }
    }
}

/// A dead letter whose transaction is being committed.
#[derive(Debug)]
struct Publishing {
    message: UnreadableMessage,
    /// The broker has returned it, as no queue takes it.
    is_returned: bool,
}

/// The messages that wait for their dead letters, and the channel for those.
#[derive(Debug, Default)]
pub(super) struct DeadLetters {
    /// At most as many as may be in flight.
    waiting: VecDeque<UnreadableMessage>,
    publishing: Option<Publishing>,
    channel: SideChannel,
}

impl DeadLetters {
    /// Whether the channel is the one for dead letters.
    pub(super) fn is_on(&self, channel: u16) -> bool {
        self.channel.is_on(channel)
    }
}

impl Consumer {
    /// Has a message that cannot be read answered and settled, with a dead letter of it if the settings give a place.
    pub(super) fn settle_unreadable(&mut self, message: UnreadableMessage) {
        if self.settings.dead_letter.is_none() {
            self.answer_unreadable(message, Settlement::Reject);
        } else if message.redelivered {
            self.give_up_dead_letter(message, DeadLetterFailure::Redelivered);
        } else {
            self.dead_letters.waiting.push_back(message);
            self.begin_dead_letter();
        }
    }

    /// Publishes the next dead letter, unless another one is being committed.
    pub(super) fn begin_dead_letter(&mut self) {
        let letters = &self.dead_letters;
        let is_due = letters.publishing.is_none() && !letters.waiting.is_empty();
        if !is_due || !self.may_publish_aside() {
            return;
        }
        match letters.channel {
            SideChannel::Closed => self.open_dead_letter_channel(),
            SideChannel::SettingUp(_) => {}
            SideChannel::Ready(channel) => self.publish_dead_letter(channel),
        }
    }

    fn open_dead_letter_channel(&mut self) {
        match self.endpoint.as_mut().map(Endpoint::open_channel) {
            Some(Ok(channel)) => self.dead_letters.channel = SideChannel::SettingUp(channel),
            Some(Err(error)) => {
                // Without a channel there is none for the others either.
                for message in std::mem::take(&mut self.dead_letters.waiting) {
                    let failure = DeadLetterFailure::NotSent(error);
                    self.give_up_dead_letter(message, failure);
                }
            }
            None => {}
        }
    }

    /// Handles that the channel for dead letters is open.
    pub(super) fn handle_dead_letter_channel_opened(&mut self, channel: u16) {
        self.send_on(channel, Method::TxSelect {});
    }

    /// Handles a method on the channel for dead letters.
    pub(super) fn handle_dead_letter_method(&mut self, channel: u16, method: &Method) {
        match method {
            Method::TxSelectOk {} => {
                self.dead_letters.channel = SideChannel::Ready(channel);
                self.begin_dead_letter();
            }
            Method::BasicReturn { .. } => {
                if let Some(publishing) = &mut self.dead_letters.publishing {
                    publishing.is_returned = true;
                }
            }
            Method::TxCommitOk {} => self.finish_dead_letter(),
            _ => {}
        }
    }

    /// Handles the end of the channel for dead letters. Its dead letter was refused; a channel that could not be set up
    /// counts as a refusal of the first one that waits, so that each end settles a message.
    pub(super) fn handle_dead_letter_channel_closed(&mut self, fault: Fault) {
        self.dead_letters.channel = SideChannel::Closed;
        let refused = match self.dead_letters.publishing.take() {
            Some(publishing) => Some(publishing.message),
            None => self.dead_letters.waiting.pop_front(),
        };
        if let Some(message) = refused {
            self.give_up_dead_letter(message, DeadLetterFailure::Refused(fault));
        }
        self.begin_dead_letter();
    }

    fn publish_dead_letter(&mut self, channel: u16) {
        let Some(message) = self.dead_letters.waiting.pop_front() else {
            return;
        };
        match self.send_dead_letter(channel, &message) {
            Ok(()) => {
                self.send_on(channel, Method::TxCommit {});
                self.dead_letters.publishing = Some(Publishing {
                    message,
                    is_returned: false,
                });
            }
            Err(error) => {
                self.give_up_dead_letter(message, DeadLetterFailure::NotSent(error));
                self.begin_dead_letter();
            }
        }
    }

    /// Sends the copy of a message, without the headers of the original if they do not fit a frame.
    fn send_dead_letter(
        &mut self,
        channel: u16,
        message: &UnreadableMessage,
    ) -> Result<(), SendError> {
        let (Some(endpoint), Some(target)) = (&mut self.endpoint, &self.settings.dead_letter)
        else {
            return Err(SendError::NotOpen);
        };
        let DeadLetterTarget {
            exchange,
            routing_key,
        } = target;
        let publish = Method::BasicPublish {
            exchange: ShortStr::truncated(exchange),
            routing_key: ShortStr::truncated(routing_key),
            mandatory: true,
            immediate: false,
        };
        let (original, body) = (&message.content.properties, &message.content.body);
        let queue = &self.settings.queue;
        let copy = message::dead_letter(original, queue, &message.error);
        match endpoint.send_content(channel, publish.clone(), copy, body) {
            Err(SendError::HeaderTooLarge { .. }) => {
                let copy = message::dead_letter_without_headers(original, queue, &message.error);
                endpoint.send_content(channel, publish, copy, body)
            }
            sent => sent,
        }
    }

    fn finish_dead_letter(&mut self) {
        let Some(Publishing {
            message,
            is_returned,
        }) = self.dead_letters.publishing.take()
        else {
            return;
        };
        if is_returned {
            self.give_up_dead_letter(message, DeadLetterFailure::NotRouted);
        } else {
            self.answer_unreadable(message, Settlement::Acknowledge);
        }
        self.begin_dead_letter();
    }

    /// Settles a message of which there is no dead letter.
    fn give_up_dead_letter(&mut self, message: UnreadableMessage, failure: DeadLetterFailure) {
        self.failed_dead_letters += 1;
        let message_id = message.content.properties.message_id.as_deref();
        self.notices.push_back(Notice::NotDeadLettered {
            message_id: message_id.map(str::to_string),
            failure,
            count: self.failed_dead_letters,
        });
        self.answer_unreadable(message, Settlement::Reject);
    }

    fn answer_unreadable(&mut self, message: UnreadableMessage, settlement: Settlement) {
        let may_have_run = message.may_have_run();
        let UnreadableMessage { ticket, error, .. } = message;
        let answer = Answer::Unreadable {
            error,
            may_have_run,
            settlement,
        };
        self.enqueue_answer(ticket, answer);
    }
}
