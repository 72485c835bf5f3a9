//! Publishing: the checks of `basic.publish`, routing to queues, and the records of publishes.

use std::collections::{BTreeMap, BTreeSet};

use pipithub_amqp::{Code, Content, Fault, FieldTable, FieldValue, Method, Properties, ShortStr};
use pipithub_conformance::record::Seen;

use super::core::{Broker, NANOS_PER_MS};
use super::dispatch::{Reply, not_implemented};
use super::entities::{ChannelKey, Message};
use super::exchange::no_exchange;

/// Headers whose names begin with this prefix are recorded.
const RECORDED_HEADERS: &str = "pipithub-";

/// A message that a client publishes.
#[derive(Debug)]
pub(super) struct Publication {
    pub(super) exchange: ShortStr,
    pub(super) routing_key: ShortStr,
    pub(super) mandatory: bool,
    pub(super) content: Content,
}

impl Broker {
    pub(super) fn publish_method(
        &mut self,
        at: ChannelKey,
        method: Method,
        content: Content,
    ) -> Reply {
        let Method::BasicPublish {
            exchange,
            routing_key,
            mandatory,
            immediate,
        } = method
        else {
            return Err(not_implemented(&method));
        };
        if immediate {
            return Err(Fault::new(Code::NotImplemented, "immediate is not offered"));
        }
        self.check_publication(at, &exchange, &content.properties)?;
        let publication = Publication {
            exchange,
            routing_key,
            mandatory,
            content,
        };
        let Some(channel) = self.channel(at) else {
            return Ok(None);
        };
        if let Some(transaction) = &mut channel.transaction {
            transaction.publications.push(publication);
            return Ok(None);
        }
        let confirm = channel.last_confirm.as_mut().map(|number| {
            *number += 1;
            *number
        });
        self.publish(at, publication);
        Ok(confirm.map(|delivery_tag| Method::BasicAck {
            delivery_tag,
            multiple: false,
        }))
    }

    fn check_publication(
        &self,
        at: ChannelKey,
        exchange: &ShortStr,
        properties: &Properties,
    ) -> Result<(), Fault> {
        let user = self
            .connections
            .get(&at.connection)
            .map_or("", |connection| connection.user.as_str());
        let user_id = properties.user_id.as_deref();
        if let Some(claimed) = user_id.filter(|claimed| *claimed != user) {
            // As in RabbitMQ, a client cannot publish under another user's name.
            let text =
                format!("user_id property set to '{claimed}' but authenticated user was '{user}'");
            return Err(Fault::new(Code::PreconditionFailed, text));
        }
        match self.exchanges.get(exchange) {
            None => return Err(no_exchange(exchange)),
            Some(found) if found.properties.internal => {
                let text = format!("exchange '{exchange}' is internal");
                return Err(Fault::new(Code::AccessRefused, text));
            }
            Some(_) => {}
        }
        if let Some(expiration) = &properties.expiration
            && expiration.parse::<u32>().is_err()
        {
            let text = format!("expiration '{expiration}'");
            return Err(Fault::new(Code::PreconditionFailed, text));
        }
        Ok(())
    }

    /// Appends a message to the queues that it is routed to. A mandatory message that is routed to none is returned.
    pub(super) fn publish(&mut self, at: ChannelKey, publication: Publication) {
        let queues = self.route(&publication.exchange, &publication.routing_key);
        self.record_published(at, &queues, &publication);
        if queues.is_empty() && publication.mandatory {
            let method = Method::BasicReturn {
                reply_code: Code::NoRoute as u16,
                reply_text: ShortStr::truncated("NO_ROUTE"),
                exchange: publication.exchange,
                routing_key: publication.routing_key,
            };
            self.send_content(at, method, publication.content);
            return;
        }
        self.last_message_number += 1;
        let message = Message {
            exchange: publication.exchange,
            routing_key: publication.routing_key,
            content: publication.content,
            redelivered: false,
            expires: None,
            number: self.last_message_number,
        };
        for queue in queues {
            self.enqueue(&queue, message.clone());
        }
    }

    fn record_published(
        &mut self,
        at: ChannelKey,
        queues: &BTreeSet<ShortStr>,
        publication: &Publication,
    ) {
        let Content { properties, body } = &publication.content;
        let text = |value: &Option<ShortStr>| value.as_deref().map(str::to_string);
        let expiration = properties.expiration.as_ref();
        let published = Seen::Published {
            queues: queues.iter().map(ToString::to_string).collect(),
            routing_key: publication.routing_key.to_string(),
            message_id: text(&properties.message_id),
            correlation_id: text(&properties.correlation_id),
            reply_to: text(&properties.reply_to),
            expiration_ms: expiration.and_then(|expiration| expiration.parse().ok()),
            headers: recorded_headers(properties),
            size: body.len() as u64,
            client: self.client_name(at.connection),
        };
        self.record(published);
    }

    /// Appends a message to a queue. If the queue is then too long, its oldest message is dead-lettered.
    pub(super) fn enqueue(&mut self, name: &ShortStr, mut message: Message) {
        let now = self.now;
        let Some(queue) = self.queues.get_mut(name) else {
            return;
        };
        let arguments = &queue.properties.arguments;
        let expiration = message.properties().expiration.as_ref();
        let own_ttl = expiration
            .and_then(|expiration| expiration.parse::<u64>().ok())
            .map(|ms| ms * NANOS_PER_MS);
        let ttl = [own_ttl, arguments.message_ttl].into_iter().flatten().min();
        let max_length = arguments.max_length.unwrap_or(self.bounds.messages);
        message.expires = ttl.map(|ttl| now.saturating_add(ttl));
        queue.messages.push_back(message);
        let overflow = (queue.messages.len() > max_length)
            .then(|| queue.messages.pop_front())
            .flatten();
        if let Some(oldest) = overflow {
            self.dead_letter(name, oldest, "maxlen");
        }
        self.pending_delivery.insert(name.clone());
    }
}

fn recorded_headers(properties: &Properties) -> BTreeMap<String, String> {
    let text = |value: &FieldValue| match value {
        FieldValue::LongStr(bytes) => String::from_utf8_lossy(bytes).into_owned(),
        other => other
            .as_f64()
            .map(|number| number.to_string())
            .unwrap_or_default(),
    };
    properties
        .headers
        .iter()
        .flat_map(FieldTable::iter)
        .filter(|(name, _)| name.starts_with(RECORDED_HEADERS))
        .map(|(name, value)| (name.to_string(), text(value)))
        .collect()
}
