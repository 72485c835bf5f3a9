//! Which user a message belongs to, and how it proves that.
//!
//! There are two ways. Under [`Rule::Broker`] the property `user_id` states the user. A broker that checks it against
//! the user of the connection, as `RabbitMQ` does, accepts no message under the name of another user. Under
//! [`Rule::Signed`] a publisher that sends for many users signs each message:
//!
//! | header | meaning |
//! | --- | --- |
//! | `pipithub-user` | the user |
//! | `pipithub-key-id` | the id of the key |
//! | `pipithub-sent-ms` | when the message was sent, in Unix milliseconds; required |
//! | `pipithub-signature` | HMAC-SHA256 in hexadecimal, over [`signed_text`] |
//!
//! The signature covers everything that determines what runs, for which user and where the answer goes, and the digest
//! of the body.

use std::collections::BTreeMap;
use std::sync::Arc;

use hmac::{Hmac, KeyInit, Mac};
use pipithub_amqp::Content;
use pipithub_engine::Time;
use sha2::{Digest, Sha256};

use crate::message::{MessageError, message_id};
use crate::replay::{ReplayMemory, SignedId, Tolerance};

const MS: Time = 1_000_000;
/// The maximum time that the clock of a publisher may be ahead.
const MAX_AHEAD_MS: u64 = 30_000;
/// The maximum length of the name of a user, in bytes.
const MAX_USER_LEN: usize = 256;

/// The keys that messages may be signed with.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Keys {
    /// The keys by their ids.
    pub keys: BTreeMap<String, Vec<u8>>,
    /// The maximum age of a signature at the first delivery, in nanoseconds; a message with an older one is rejected.
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

/// How messages of a queue prove which user they belong to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Rule {
    /// Messages have no user. One that names a user nevertheless is rejected.
    #[default]
    None,
    /// By the property `user_id`, which the broker has checked.
    Broker,
    /// By a signature with one of these keys.
    Signed(Arc<Keys>),
}

/// Verifies which user messages belong to, and remembers signed messages in order to recognize replays.
#[derive(Clone, Debug, Default)]
pub struct IdentityVerifier {
    rule: Rule,
    replays: ReplayMemory,
}

fn header_text<'a>(content: &'a Content, name: &str) -> Option<&'a str> {
    content.properties.headers.as_ref()?.get(name)?.as_str()
}

/// The text that is signed. Each part is preceded by its length, so that different messages have different texts.
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

/// Signs a message; returns the value of header `pipithub-signature`.
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

impl IdentityVerifier {
    /// Creates a verifier that applies a rule.
    pub fn new(rule: Rule) -> Self {
        IdentityVerifier {
            rule,
            ..IdentityVerifier::default()
        }
    }

    /// Returns the user of a message, in the form in which directories compare names; `None` under [`Rule::None`].
    ///
    /// `redelivered` is whether the broker marks the delivery as a redelivery: only then may a signed message arrive
    /// again, and at any age. `now` is monotonic time, and `wall_ms` is the wall time then, in Unix milliseconds.
    ///
    /// # Errors
    ///
    /// Fails if the message does not prove its user as the rule requires, or names one that the rule does not accept.
    pub fn verify_user(
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
    /// The user that the header of the message names.
    fn named_user(&self) -> Option<&'a str> {
        header_text(self.content, "pipithub-user")
    }
}

/// The user of a message whose `user_id` the broker has checked.
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

/// The user of a signed message.
fn signed_user<'a>(
    delivery: &Delivery<'a>,
    keys: &Keys,
    replays: &mut ReplayMemory,
) -> Result<&'a str, MessageError> {
    let Some(user) = delivery.named_user() else {
        return Err(MessageError::MissingUser);
    };
    let key_id = check_signature(delivery, keys)?;
    let Some(sent_ms) = sent_ms(delivery.content).and_then(|ms| u64::try_from(ms).ok()) else {
        return Err(MessageError::MissingSendTime);
    };
    let Some(message_id) = message_id(&delivery.content.properties) else {
        return Err(MessageError::MissingMessageId);
    };
    let id = SignedId {
        key_id,
        user,
        message_id,
    };
    // Looked up before the age is checked: the answer to an old replay must not say that the call never ran either.
    if !delivery.redelivered && replays.remembers(id) {
        return Err(MessageError::Replayed);
    }
    let tolerance = Tolerance {
        behind_ms: keys.max_age / MS,
        ahead_ms: MAX_AHEAD_MS,
    };
    // The age protects against a client that publishes a message again. A redelivery is the broker's doing, and how long the
    // call ran before does not make its message less authentic.
    if !delivery.redelivered && !tolerance.accepts(sent_ms, delivery.wall_ms) {
        return Err(MessageError::SignatureOutOfTime);
    }
    let is_new = replays.is_new(id, sent_ms, delivery.now, delivery.wall_ms, tolerance);
    if !is_new && !delivery.redelivered {
        return Err(MessageError::Replayed);
    }
    Ok(user)
}

/// Checks the signature of a message and returns the id of its key.
fn check_signature<'a>(delivery: &Delivery<'a>, keys: &Keys) -> Result<&'a str, MessageError> {
    let content = delivery.content;
    let key_id = header_text(content, "pipithub-key-id").unwrap_or_default();
    let key = keys.keys.get(key_id);
    let signature = header_text(content, "pipithub-signature").and_then(decode_hex);
    let (Some(key), Some(signature)) = (key, signature) else {
        return Err(MessageError::MissingSignature);
    };
    let mac = mac(key, content, delivery.queue);
    if mac.is_some_and(|mac| mac.verify_slice(&signature).is_ok()) {
        Ok(key_id)
    } else {
        Err(MessageError::WrongSignature)
    }
}

/// When a message was sent, according to its header, in Unix milliseconds.
fn sent_ms(content: &Content) -> Option<i64> {
    let headers = content.properties.headers.as_ref()?;
    headers.get("pipithub-sent-ms")?.as_i64()
}

/// Folds a name as directories compare names: case and runs of spaces make no difference.
fn fold(user: &str) -> String {
    let words: Vec<&str> = user.split(' ').filter(|w| !w.is_empty()).collect();
    words
        .join(" ")
        .chars()
        .flat_map(char::to_lowercase)
        .collect()
}
