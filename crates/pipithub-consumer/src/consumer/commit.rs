//! Answers and acknowledgements. One transaction commits both or neither.

use std::sync::Arc;

use pipithub_amqp::{Code, Endpoint, Fault, Method, Properties, ShortStr};
use pipithub_engine::Reply;

use super::Consumer;
use crate::message::{self, MessageError, ReplyAddress};

/// No further transaction starts while more bytes than this wait to be written.
const MAX_OUTPUT: usize = 4 << 20;
/// The maximum number of answers in one transaction.
const MAX_BATCH: usize = 128;

/// The answer that settles a delivery.
#[derive(Debug)]
pub(super) enum Answer {
    Reply(Arc<Reply>),
    /// An answer without its body, which the broker refuses.
    BodyRefused(Arc<Reply>),
    Unreadable {
        error: MessageError,
        /// Whether the call may have run at an earlier delivery.
        may_have_run: bool,
        settlement: Settlement,
    },
}

/// How a message that cannot be read is settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Settlement {
    /// There is a dead letter of it.
    Acknowledge,
    /// There is none: the broker passes the message to the dead-letter exchange of the queue, if it has one.
    Reject,
}

/// An answer that is not committed yet.
#[derive(Debug)]
pub(super) struct PendingAnswer {
    ticket: u64,
    answer: Answer,
}

impl Consumer {
    pub(super) fn enqueue_answer(&mut self, ticket: u64, answer: Answer) {
        if self.in_flight.contains_key(&ticket) {
            self.pending.push_back(PendingAnswer { ticket, answer });
            self.begin_commit();
        }
    }

    /// Publishes pending answers, acknowledges their messages and commits both, unless a transaction is under way.
    pub(super) fn begin_commit(&mut self) {
        let Some(channel) = self.channel() else {
            return;
        };
        if !self.may_begin_commit() {
            return;
        }
        while self.committing.len() < MAX_BATCH {
            let Some(PendingAnswer { ticket, answer }) = self.pending.pop_front() else {
                break;
            };
            let Some(delivery) = self.in_flight.get(&ticket) else {
                continue;
            };
            let (tag, address) = (delivery.tag, delivery.address.clone());
            let settle = self.publish_pending(channel, tag, &address, answer);
            self.send(settle);
            self.committing.push(ticket);
        }
        if !self.committing.is_empty() {
            self.send(Method::TxCommit {});
        }
    }

    fn may_begin_commit(&self) -> bool {
        self.has_output_room()
            && !self.blocked
            && self.committing.is_empty()
            && !self.pending.is_empty()
    }

    /// Whether something may be published on a channel beside the consumer's.
    pub(super) fn may_publish_aside(&self) -> bool {
        let is_open = self.endpoint.as_ref().is_some_and(Endpoint::is_open);
        is_open && !self.blocked && self.has_output_room()
    }

    fn has_output_room(&self) -> bool {
        self.endpoint
            .as_ref()
            .is_some_and(|endpoint| endpoint.output_len() <= MAX_OUTPUT)
    }

    /// Publishes the answer to a delivery and returns the method that settles the delivery.
    fn publish_pending(
        &mut self,
        channel: u16,
        tag: u64,
        address: &ReplyAddress,
        answer: Answer,
    ) -> Method {
        let acknowledge = Method::BasicAck {
            delivery_tag: tag,
            multiple: false,
        };
        match answer {
            Answer::Reply(reply) => {
                let (properties, body) = message::answer(address, &reply);
                self.publish_answer(channel, address, properties, &body);
                acknowledge
            }
            Answer::BodyRefused(reply) => {
                let properties = message::answer_without_body(address, &reply);
                self.publish_answer(channel, address, properties, &[]);
                acknowledge
            }
            Answer::Unreadable {
                error,
                may_have_run,
                settlement,
            } => {
                let properties = message::answer_unreadable(address, &error, may_have_run);
                self.publish_answer(channel, address, properties, &[]);
                match settlement {
                    Settlement::Acknowledge => acknowledge,
                    Settlement::Reject => Method::BasicReject {
                        delivery_tag: tag,
                        requeue: false,
                    },
                }
            }
        }
    }

    fn publish_answer(
        &mut self,
        channel: u16,
        address: &ReplyAddress,
        properties: Properties,
        body: &[u8],
    ) {
        let (Some(reply_to), Some(endpoint)) = (&address.reply_to, &mut self.endpoint) else {
            return;
        };
        let method = Method::BasicPublish {
            exchange: ShortStr::default(),
            routing_key: reply_to.clone(),
            mandatory: true,
            immediate: false,
        };
        if let Err(error) = endpoint.send_content(channel, method, properties, body) {
            endpoint.close(Fault::new(Code::InternalError, error.to_string()));
        }
    }
}
