//! Dead letters: copies of messages that cannot be read as calls.
//!
//! A copy is published under the login of the gateway, so it must not carry what a broker checks against that login, acts
//! on, or notes itself. Such a property or header stands in the copy under another name, with the prefix
//! `pipithub-original-`:
//!
//! | property or header | what a broker does with it |
//! | --- | --- |
//! | `user_id` | refuses the message unless it is the user of the connection |
//! | `expiration` | removes the message after that time; refuses what is not a number |
//! | `reply_to` of direct replies (`amq.rabbitmq.reply-to`) | refuses it without a consumer of direct replies |
//! | headers `CC`, `BCC` | routes the message to further queues |
//! | headers with the prefix `x-` | deaths, deliveries, delays and federation: recognizes cycles, counts, delays or drops the message |

use pipithub_amqp::{FieldTable, FieldValue, Properties, ShortStr};

use super::MessageError;

/// The prefix of headers that state what the original had, where the copy must not have it.
const ORIGINAL_PREFIX: &str = "pipithub-original-";
/// The prefix of headers that belong to brokers and their extensions.
const BROKER_PREFIX: &str = "x-";
/// Headers that route a copy of a message to further queues.
const ROUTING_HEADERS: [&str; 2] = ["CC", "BCC"];
/// The name of the pseudo-queue of direct replies, and the prefix of the names that stand for it.
const DIRECT_REPLY_QUEUE: &str = "amq.rabbitmq.reply-to";
/// The values of property `delivery_mode` that the specification knows.
const DELIVERY_MODES: std::ops::RangeInclusive<u8> = 1..=2;

/// The properties of a dead letter: the copy of a message that cannot be read as a call.
pub fn dead_letter(original: &Properties, queue: &str, error: &MessageError) -> Properties {
    let headers = copied_headers(original.headers.as_ref());
    Properties {
        headers: Some(add_own_headers(headers, original, queue, error)),
        user_id: None,
        expiration: None,
        cluster_id: None,
        reply_to: original
            .reply_to
            .clone()
            .filter(|reply_to| !is_direct_reply(reply_to)),
        delivery_mode: original
            .delivery_mode
            .filter(|mode| DELIVERY_MODES.contains(mode)),
        ..original.clone()
    }
}

/// The properties of a dead letter without the headers of the original, for headers that do not fit a frame together with
/// those that the gateway adds. Header `pipithub-original-headers` says so.
pub fn dead_letter_without_headers(
    original: &Properties,
    queue: &str,
    error: &MessageError,
) -> Properties {
    let stripped = Properties {
        headers: None,
        ..original.clone()
    };
    let mut copy = dead_letter(&stripped, queue, error);
    if let Some(headers) = &mut copy.headers {
        headers.insert(original_name("headers"), "too large to copy".into());
    }
    copy
}

/// The headers of the original. Those that a broker acts on have another name.
fn copied_headers(original: Option<&FieldTable>) -> FieldTable {
    let copied = |(name, value): (&ShortStr, &FieldValue)| {
        let name = if is_acted_on(name) {
            original_name(name)
        } else {
            name.clone()
        };
        (name, value.clone())
    };
    original
        .into_iter()
        .flat_map(FieldTable::iter)
        .map(copied)
        .collect()
}

/// Whether a broker acts on a header of this name, or the name would be taken for one that the gateway has added.
fn is_acted_on(name: &str) -> bool {
    ROUTING_HEADERS.contains(&name)
        || name.starts_with(BROKER_PREFIX)
        || name.starts_with(ORIGINAL_PREFIX)
}

fn original_name(name: &str) -> ShortStr {
    ShortStr::truncated(&format!("{ORIGINAL_PREFIX}{name}"))
}

/// Adds why the message became a dead letter, and the properties of the original that the copy does not have.
fn add_own_headers(
    headers: FieldTable,
    original: &Properties,
    queue: &str,
    error: &MessageError,
) -> FieldTable {
    let direct_reply = original
        .reply_to
        .as_ref()
        .filter(|reply_to| is_direct_reply(reply_to));
    let withheld = [
        ("user", original.user_id.as_ref()),
        ("expiration", original.expiration.as_ref()),
        ("reply-to", direct_reply),
    ];
    let mut headers = headers
        .with("pipithub-reason", error.to_string().as_str())
        .with("pipithub-queue", queue);
    for (name, value) in withheld {
        if let Some(value) = value {
            headers.insert(original_name(name), FieldValue::from(&**value));
        }
    }
    headers
}

fn is_direct_reply(reply_to: &str) -> bool {
    reply_to.starts_with(DIRECT_REPLY_QUEUE)
}
