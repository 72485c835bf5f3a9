//! Whose call a message is, and how that is proved.
//!
//! Two ways are offered. Under [`Rule::Broker`] the property `user_id` counts: a broker that checks it against the
//! connection's user, as `RabbitMQ` does, lets nobody publish under another's name. Under [`Rule::Signed`] a desk that
//! publishes for many users signs each call:
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

use crate::message::Unreadable;
use crate::replay::{ReplayMemory, Tolerance};

const MS: Time = 1_000_000;
/// How far a desk's clock may be ahead of ours.
const MAX_AHEAD_MS: u64 = 30_000;
/// Names that a user may have, in bytes.
const MAX_USER_LEN: usize = 256;

/// Keys by their ids, and for how long a signature counts.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Keys {
    /// The keys.
    pub keys: BTreeMap<String, Vec<u8>>,
    /// A call signed longer ago is refused.
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

fn text<'a>(content: &'a Content, name: &str) -> Option<&'a str> {
    content.properties.headers.as_ref()?.get(name)?.as_str()
}

/// The text that a signature is over: each part with its length before it, so that no two messages have the same.
pub fn signed_text(content: &Content, queue: &str) -> Vec<u8> {
    let p = &content.properties;
    let header = |name| text(content, name).unwrap_or_default();
    let sent = p
        .headers
        .as_ref()
        .and_then(|h| h.get("pipithub-sent-ms"))
        .and_then(pipithub_amqp::FieldValue::as_i64)
        .unwrap_or(-1);
    let sent = sent.to_string();
    let parts = [
        "pipithub-v1",
        header("pipithub-key-id"),
        header("pipithub-user"),
        sent.as_str(),
        queue,
        p.message_id.as_deref().unwrap_or_default(),
        header("pipithub-class"),
        p.kind.as_deref().unwrap_or_default(),
        header("pipithub-function"),
        header("pipithub-key"),
        p.reply_to.as_deref().unwrap_or_default(),
        p.correlation_id.as_deref().unwrap_or_default(),
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

fn unhex(text: &str) -> Option<Vec<u8>> {
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

    /// The user of a message, folded; `None` where none is asked for. `again`: the broker says that it delivers it again.
    /// `now` is monotonic time, `wall_ms` the Unix time that it stands for.
    pub fn user(
        &mut self,
        content: &Content,
        queue: &str,
        again: bool,
        now: Time,
        wall_ms: u64,
    ) -> Result<Option<Arc<str>>, Unreadable> {
        let no = |why: &str| Err(Unreadable(why.to_string()));
        let named = text(content, "pipithub-user");
        let user = match &self.rule {
            Rule::None if named.is_some() => {
                return no("this queue takes no word on users: header pipithub-user");
            }
            Rule::None => return Ok(None),
            Rule::Broker => match content
                .properties
                .user_id
                .as_deref()
                .filter(|u| !u.is_empty())
            {
                None => return no("no user: property user_id is missing"),
                Some(user) if named.is_some_and(|n| n != user) => {
                    return no("header pipithub-user is not the user_id that the broker checked");
                }
                Some(user) => user,
            },
            Rule::Signed(keys) => {
                let Some(user) = named else {
                    return no("no user: header pipithub-user is missing");
                };
                let key = text(content, "pipithub-key-id").and_then(|id| keys.keys.get(id));
                let signature = text(content, "pipithub-signature").and_then(unhex);
                let (Some(key), Some(signature)) = (key, signature) else {
                    return no(
                        "no signature under a known key: pipithub-key-id, pipithub-signature",
                    );
                };
                let fits =
                    mac(key, content, queue).is_some_and(|m| m.verify_slice(&signature).is_ok());
                if !fits {
                    return no("the signature does not fit the message");
                }
                let headers = content.properties.headers.as_ref();
                let sent = headers
                    .and_then(|h| h.get("pipithub-sent-ms"))
                    .and_then(pipithub_amqp::FieldValue::as_i64);
                let Some(sent) = sent.and_then(|s| u64::try_from(s).ok()) else {
                    return no("a signed call needs header pipithub-sent-ms");
                };
                let tolerance = Tolerance {
                    behind_ms: keys.max_age / MS,
                    ahead_ms: MAX_AHEAD_MS,
                };
                if !tolerance.accepts(sent, wall_ms) {
                    return no("the signature is too old, or from the future");
                }
                let Some(id) = content
                    .properties
                    .message_id
                    .as_deref()
                    .filter(|id| !id.is_empty())
                else {
                    return no("a signed call needs a message_id");
                };
                if !self.replays.is_new(id, sent, now, wall_ms, tolerance) && !again {
                    return no(
                        "a signed call came a second time, and not from the broker's own doing",
                    );
                }
                user
            }
        };
        if user.len() > MAX_USER_LEN || user.chars().any(char::is_control) {
            return no("a user's name has up to 256 bytes and no control characters");
        }
        Ok(Some(fold(user).into()))
    }
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
