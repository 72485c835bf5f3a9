//! Expired, rejected and surplus messages, and the dead-letter exchange that they go to.

use pipithub_amqp::{FieldTable, FieldValue, ShortStr};

use super::core::Broker;
use super::entities::Message;

const DEATHS_HEADER: &str = "x-death";
/// A message that has been dead-lettered this often is dropped.
const MAX_DEATHS: usize = 16;
/// The reason for dead-lettering a message after a `basic.reject` or `basic.nack`.
pub(super) const REJECTED: &str = "rejected";

impl Broker {
    /// Removes expired messages from the head of a queue and dead-letters them.
    pub(super) fn expire_messages(&mut self, name: &ShortStr) {
        let now = self.now;
        let mut expired = Vec::new();
        if let Some(queue) = self.queues.get_mut(name) {
            while queue.head_has_expired(now) {
                expired.extend(queue.messages.pop_front());
            }
        }
        for message in expired {
            self.dead_letter(name, message, "expired");
        }
    }

    /// Publishes a message to the dead-letter exchange of its queue, or drops it if there is none.
    pub(super) fn dead_letter(&mut self, queue: &ShortStr, mut message: Message, reason: &str) {
        let Some(found) = self.queues.get(queue) else {
            return;
        };
        let arguments = &found.properties.arguments;
        let Some(exchange) = arguments.dead_letter_exchange.clone() else {
            return;
        };
        let routing_key = arguments
            .dead_letter_routing_key
            .clone()
            .unwrap_or_else(|| message.routing_key.clone());
        if !add_death(&mut message, queue, reason) {
            return;
        }
        message.content.properties.expiration = None;
        message.redelivered = false;
        for target in self.route(&exchange, &routing_key) {
            let copy = Message {
                exchange: exchange.clone(),
                routing_key: routing_key.clone(),
                ..message.clone()
            };
            self.enqueue(&target, copy);
        }
    }
}

/// Adds an entry to the `x-death` header of a message; false if the message must be dropped instead.
fn add_death(message: &mut Message, queue: &ShortStr, reason: &str) -> bool {
    let properties = &mut message.content.properties;
    let mut headers = properties.headers.take().unwrap_or_default();
    let mut deaths = match headers.get(DEATHS_HEADER) {
        Some(FieldValue::Array(deaths)) => deaths.clone(),
        _ => Vec::new(),
    };
    // A message that cycles between queues without a rejection is dropped, as RabbitMQ does.
    let is_cycle = reason != REJECTED && deaths.iter().any(|death| is_death(death, queue, reason));
    if is_cycle || deaths.len() >= MAX_DEATHS {
        return false;
    }
    let routing_keys = vec![FieldValue::from(&*message.routing_key)];
    let death = FieldTable::new()
        .with("queue", &**queue)
        .with("reason", reason)
        .with("exchange", &*message.exchange)
        .with("routing-keys", FieldValue::Array(routing_keys))
        .with("count", 1i64);
    deaths.insert(0, FieldValue::Table(death));
    headers.insert(
        ShortStr::truncated(DEATHS_HEADER),
        FieldValue::Array(deaths),
    );
    properties.headers = Some(headers);
    true
}

fn is_death(death: &FieldValue, queue: &ShortStr, reason: &str) -> bool {
    let FieldValue::Table(death) = death else {
        return false;
    };
    let is = |key: &str, wanted: &str| death.get(key).and_then(FieldValue::as_str) == Some(wanted);
    is("queue", queue) && is("reason", reason)
}
