//! Whose request a message is, and how that is proved.
//!
//! Two ways are offered. Under [`Rule::Broker`] the property `user_id` counts: a broker that checks it against the
//! connection's user, as `RabbitMQ` does, lets nobody publish under another's name. Under [`Rule::Signed`] a publisher
//! that sends for many users signs each request:
//!
//! | header | meaning |
//! | --- | --- |
//! | `pipithub-user` | the user |
//! | `pipithub-key-id` | which key |
//! | `pipithub-sent-ms` | when, in Unix milliseconds; needed |
//! | `pipithub-signature` | HMAC-SHA256 in hexadecimal, over [`signed_text`] |
//!
//! What is signed covers all that decides what runs, for whom, and where its answer goes, with the body's digest.

use std::collections::BTreeMap;
use std::sync::Arc;

use hmac::{Hmac, KeyInit, Mac};
use pipithub_amqp::Content;
use pipithub_engine::Time;
use sha2::{Digest, Sha256};

use crate::message::{MessageError, message_id};
use crate::replay::{ReplayMemory, Tolerance};

const MS: Time = 1_000_000;
/// How far a publisher's clock may be ahead of ours.
const MAX_AHEAD_MS: u64 = 30_000;
/// Names that a user may have, in bytes.
const MAX_USER_LEN: usize = 256;

/// Keys by their ids, and for how long a signature counts.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Keys {
    /// The keys.
    pub keys: BTreeMap<String, Vec<u8>>,
    /// A request signed longer ago is rejected.
    pub max_age: Time,
}

impl std::fmt::Debug for Keys {
    /// Never shows a key.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Keys")
            .field("ids", &self.keys.keys())
            .field("max_age", &self.max_age)
            .finish()
    }
}

/// How a queue's messages prove whose they are.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Rule {
    /// They do not; one that names a user all the same is refused.
    #[default]
    None,
    /// By `user_id`, which the broker has checked.
    Broker,
    /// By a signature.
    Signed(Arc<Keys>),
}

/// Checks messages, and remembers signed ones against replays.
#[derive(Clone, Debug, Default)]
pub struct Identity {
    rule: Rule,
    replays: ReplayMemory,
}

fn header_text<'a>(content: &'a Content, name: &str) -> Option<&'a str> {
    content.properties.headers.as_ref()?.get(name)?.as_str()
}

/// The text that a signature is over: each part with its length before it, so that no two messages have the same.
pub fn signed_text(content: &Content, queue: &str) -> Vec<u8> {
    let properties = &content.properties;
    let header = |name| header_text(content, name).unwrap_or_default();
    let sent = sent_ms(content).unwrap_or(-1).to_string();
    let parts = [
        "pipithub-v1",
        header("pipithub-key-id"),
        header("pipithub-user"),
        sent.as_str(),
        queue,
        properties.message_id.as_deref().unwrap_or_default(),
        header("pipithub-class"),
        properties.kind.as_deref().unwrap_or_default(),
        header("pipithub-function"),
        header("pipithub-key"),
        properties.reply_to.as_deref().unwrap_or_default(),
        properties.correlation_id.as_deref().unwrap_or_default(),
    ];
    let mut all = Vec::new();
    for part in parts {
        all.extend((part.len() as u64).to_be_bytes());
        all.extend(part.as_bytes());
    }
    all.extend(Sha256::digest(&content.body));
    all
}

fn mac(key: &[u8], content: &Content, queue: &str) -> Option<Hmac<Sha256>> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).ok()?;
    mac.update(&signed_text(content, queue));
    Some(mac)
}

/// The signature of a message under a key, as its header has it.
pub fn sign(key: &[u8], content: &Content, queue: &str) -> String {
    let bytes = mac(key, content, queue).map(|m| m.finalize().into_bytes());
    bytes
        .iter()
        .flat_map(|b| b.iter())
        .map(|b| format!("{b:02x}"))
        .collect()
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    if !text.is_ascii() || !text.len().is_multiple_of(2) || text.len() > 128 {
        return None;
    }
    (0..text.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).ok())
        .collect()
}

impl Identity {
    /// By a rule.
    pub fn new(rule: Rule) -> Self {
        Identity {
            rule,
            ..Identity::default()
        }
    }

    /// The user of a message, folded; `None` where none is asked for. `redelivered`: the broker says that it delivers it
    /// again. `now` is monotonic time, `wall_ms` the Unix time that it stands for.
    pub fn user(
        &mut self,
        content: &Content,
        queue: &str,
        redelivered: bool,
        now: Time,
        wall_ms: u64,
    ) -> Result<Option<Arc<str>>, MessageError> {
        let delivery = Delivery {
            content,
            queue,
            redelivered,
            now,
            wall_ms,
        };
        let user = match &self.rule {
            Rule::None if delivery.named_user().is_some() => {
                return Err(MessageError::UserNotAccepted);
            }
            Rule::None => return Ok(None),
            Rule::Broker => broker_user(&delivery)?,
            Rule::Signed(keys) => signed_user(&delivery, keys, &mut self.replays)?,
        };
        if user.len() > MAX_USER_LEN || user.chars().any(char::is_control) {
            return Err(MessageError::InvalidUser);
        }
        Ok(Some(fold(user).into()))
    }
}

/// A message as it was delivered.
struct Delivery<'a> {
    content: &'a Content,
    queue: &'a str,
    redelivered: bool,
    now: Time,
    wall_ms: u64,
}

impl<'a> Delivery<'a> {
    /// The user that its header names.
    fn named_user(&self) -> Option<&'a str> {
        header_text(self.content, "pipithub-user")
    }
}

/// The user that the broker has checked.
fn broker_user<'a>(delivery: &Delivery<'a>) -> Result<&'a str, MessageError> {
    let checked = delivery.content.properties.user_id.as_deref();
    let Some(user) = checked.filter(|user| !user.is_empty()) else {
        return Err(MessageError::MissingUserId);
    };
    if delivery.named_user().is_some_and(|named| named != user) {
        return Err(MessageError::UserMismatch);
    }
    Ok(user)
}

/// The user that a signature stands for.
fn signed_user<'a>(
    delivery: &Delivery<'a>,
    keys: &Keys,
    replays: &mut ReplayMemory,
) -> Result<&'a str, MessageError> {
    let Some(user) = delivery.named_user() else {
        return Err(MessageError::MissingUser);
    };
    check_signature(delivery, keys)?;
    let Some(sent_ms) = sent_ms(delivery.content).and_then(|ms| u64::try_from(ms).ok()) else {
        return Err(MessageError::MissingSendTime);
    };
    let tolerance = Tolerance {
        behind_ms: keys.max_age / MS,
        ahead_ms: MAX_AHEAD_MS,
    };
    if !tolerance.accepts(sent_ms, delivery.wall_ms) {
        return Err(MessageError::SignatureOutOfTime);
    }
    let Some(id) = message_id(&delivery.content.properties) else {
        return Err(MessageError::MissingMessageId);
    };
    let is_new = replays.is_new(id, sent_ms, delivery.now, delivery.wall_ms, tolerance);
    if !is_new && !delivery.redelivered {
        return Err(MessageError::Replayed);
    }
    Ok(user)
}

fn check_signature(delivery: &Delivery<'_>, keys: &Keys) -> Result<(), MessageError> {
    let content = delivery.content;
    let key = header_text(content, "pipithub-key-id").and_then(|id| keys.keys.get(id));
    let signature = header_text(content, "pipithub-signature").and_then(decode_hex);
    let (Some(key), Some(signature)) = (key, signature) else {
        return Err(MessageError::MissingSignature);
    };
    let mac = mac(key, content, delivery.queue);
    if mac.is_some_and(|mac| mac.verify_slice(&signature).is_ok()) {
        Ok(())
    } else {
        Err(MessageError::WrongSignature)
    }
}

/// When a message was sent, as its header says it in Unix milliseconds.
fn sent_ms(content: &Content) -> Option<i64> {
    let headers = content.properties.headers.as_ref()?;
    headers.get("pipithub-sent-ms")?.as_i64()
}

/// As directories compare names: case and runs of spaces do not count.
fn fold(user: &str) -> String {
    let words: Vec<&str> = user.split(' ').filter(|w| !w.is_empty()).collect();
    words
        .join(" ")
        .chars()
        .flat_map(char::to_lowercase)
        .collect()
}
