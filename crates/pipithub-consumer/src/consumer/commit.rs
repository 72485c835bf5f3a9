//! Answers and acknowledgements. One transaction commits both or neither.

use std::sync::Arc;

use pipithub_amqp::{Code, Content, Fault, Method, Properties, ShortStr};
use pipithub_engine::Reply;

use super::{Consumer, DeadLetterTarget};
use crate::message::{self, MessageError, ReplyAddress};

/// No further transaction starts while more bytes than this wait to be written.
const MAX_OUTPUT: usize = 4 << 20;
/// The maximum number of answers in one transaction.
const MAX_BATCH: usize = 128;

/// The answer that settles a delivery.
#[derive(Debug)]
pub(super) enum Answer {
    Reply(Arc<Reply>),
    Unreadable {
        error: MessageError,
        content: Box<Content>,
    },
    Nothing,
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
        let has_output_room = self
            .endpoint
            .as_ref()
            .is_some_and(|endpoint| endpoint.output_len() <= MAX_OUTPUT);
        has_output_room && !self.blocked && self.committing.is_empty() && !self.pending.is_empty()
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
            Answer::Nothing => acknowledge,
            Answer::Reply(reply) => {
                let (properties, body) = message::answer(address, &reply);
                self.publish_answer(channel, address, properties, &body);
                acknowledge
            }
            Answer::Unreadable { error, content } => {
                let properties = message::answer_unreadable(address, &error);
                self.publish_answer(channel, address, properties, &[]);
                if self.publish_dead_letter(channel, &error, &content) {
                    return acknowledge;
                }
                Method::BasicReject {
                    delivery_tag: tag,
                    requeue: false,
                }
            }
        }
    }

    /// Publishes a copy of an unreadable message as a dead letter. Returns false if dead letters have no target, or if
    /// the exchange of the target is missing.
    fn publish_dead_letter(
        &mut self,
        channel: u16,
        error: &MessageError,
        content: &Content,
    ) -> bool {
        if self.dead_letter_exchange_missing {
            return false;
        }
        let Some(target) = self.settings.dead_letter.clone() else {
            return false;
        };
        let DeadLetterTarget {
            exchange,
            routing_key,
        } = target;
        let queue = &self.settings.queue;
        let properties = message::dead_letter(&content.properties, queue, error);
        self.publish(channel, &exchange, &routing_key, properties, &content.body);
        true
    }

    fn publish_answer(
        &mut self,
        channel: u16,
        address: &ReplyAddress,
        properties: Properties,
        body: &[u8],
    ) {
        if let Some(reply_to) = &address.reply_to {
            self.publish(channel, "", reply_to, properties, body);
        }
    }

    fn publish(
        &mut self,
        channel: u16,
        exchange: &str,
        routing_key: &str,
        properties: Properties,
        body: &[u8],
    ) {
        let method = Method::BasicPublish {
            exchange: ShortStr::truncated(exchange),
            routing_key: ShortStr::truncated(routing_key),
            mandatory: true,
            immediate: false,
        };
        if let Some(endpoint) = &mut self.endpoint
            && let Err(error) = endpoint.send_content(channel, method, properties, body)
        {
            endpoint.close(Fault::new(Code::InternalError, error.to_string()));
        }
    }
}
