//! Whose call a message is, and how that is proved.
//!
//! Two ways are offered. Under [`Rule::Broker`] the property `user_id` counts: a broker that checks it against the
//! connection's user, as RabbitMQ does, lets nobody publish under another's name. Under [`Rule::Signed`] a desk that
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

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::sync::Arc;

use hmac::{Hmac, KeyInit, Mac};
use pipithub_amqp::Content;
use pipithub_engine::Time;
use sha2::{Digest, Sha256};

use crate::message::Unreadable;

const MS: Time = 1_000_000;
/// How far a desk's clock may be ahead of ours.
const AHEAD_MOST_MS: u64 = 30_000;
/// Names that a user may have, in bytes.
const USER_MOST: usize = 256;
/// Signed messages remembered against replays.
const REMEMBERED_MOST: usize = 100_000;

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
        f.debug_struct("Keys").field("ids", &self.keys.keys()).field("max_age", &self.max_age).finish()
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
    seen: HashSet<Arc<str>>,
    order: VecDeque<(u64, Arc<str>)>,
}

fn text<'a>(content: &'a Content, name: &str) -> Option<&'a str> {
    content.properties.headers.as_ref()?.get(name)?.as_str()
}

/// The text that a signature is over: each part with its length before it, so that no two messages have the same.
pub fn signed_text(content: &Content, queue: &str) -> Vec<u8> {
    let p = &content.properties;
    let header = |name| text(content, name).unwrap_or_default();
    let sent =
        p.headers.as_ref().and_then(|h| h.get("pipithub-sent-ms")).and_then(|v| v.as_i64()).unwrap_or(-1);
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
    bytes.iter().flat_map(|b| b.iter()).map(|b| format!("{b:02x}")).collect()
}

fn unhex(text: &str) -> Option<Vec<u8>> {
    if !text.is_ascii() || !text.len().is_multiple_of(2) || text.len() > 128 {
        return None;
    }
    (0..text.len()).step_by(2).map(|at| u8::from_str_radix(&text[at..at + 2], 16).ok()).collect()
}

impl Identity {
    /// By a rule.
    pub fn new(rule: Rule) -> Self {
        Identity { rule, ..Identity::default() }
    }

    /// The user of a message, folded; `None` where none is asked for. `again`: the broker says that it delivers it again.
    pub fn user(
        &mut self,
        content: &Content,
        queue: &str,
        again: bool,
        wall_ms: u64,
    ) -> Result<Option<Arc<str>>, Unreadable> {
        let no = |why: &str| Err(Unreadable(why.to_string()));
        let named = text(content, "pipithub-user");
        let user = match &self.rule {
            Rule::None if named.is_some() => {
                return no("this queue takes no word on users: header pipithub-user");
            }
            Rule::None => return Ok(None),
            Rule::Broker => match content.properties.user_id.as_deref().filter(|u| !u.is_empty()) {
                None => return no("no user: property user_id is missing"),
                Some(user) if named.is_some_and(|n| n != user) => {
                    return no("header pipithub-user is not the user_id that the broker checked");
                }
                Some(user) => user,
            },
            Rule::Signed(keys) => {
                let Some(user) = named else { return no("no user: header pipithub-user is missing") };
                let key = text(content, "pipithub-key-id").and_then(|id| keys.keys.get(id));
                let signature = text(content, "pipithub-signature").and_then(unhex);
                let (Some(key), Some(signature)) = (key, signature) else {
                    return no("no signature under a known key: pipithub-key-id, pipithub-signature");
                };
                let fits = mac(key, content, queue).is_some_and(|m| m.verify_slice(&signature).is_ok());
                if !fits {
                    return no("the signature does not fit the message");
                }
                let headers = content.properties.headers.as_ref();
                let sent = headers.and_then(|h| h.get("pipithub-sent-ms")).and_then(|v| v.as_i64());
                let Some(sent) = sent.and_then(|s| u64::try_from(s).ok()) else {
                    return no("a signed call needs header pipithub-sent-ms");
                };
                let max_age = keys.max_age / MS;
                if sent > wall_ms.saturating_add(AHEAD_MOST_MS) || wall_ms.saturating_sub(sent) > max_age {
                    return no("the signature is too old, or from the future");
                }
                let Some(id) = content.properties.message_id.as_deref().filter(|id| !id.is_empty()) else {
                    return no("a signed call needs a message_id");
                };
                let id: Arc<str> = id.into();
                if !self.remember(id, wall_ms, max_age) && !again {
                    return no("a signed call came a second time, and not from the broker's own doing");
                }
                user
            }
        };
        if user.len() > USER_MOST || user.chars().any(char::is_control) {
            return no("a user's name has up to 256 bytes and no control characters");
        }
        Ok(Some(fold(user).into()))
    }

    /// Whether it is new.
    fn remember(&mut self, id: Arc<str>, wall_ms: u64, max_age_ms: u64) -> bool {
        let old = |(at, _): &(u64, Arc<str>)| wall_ms.saturating_sub(*at) > max_age_ms + AHEAD_MOST_MS;
        while self.order.len() >= REMEMBERED_MOST || self.order.front().is_some_and(old) {
            if let Some((_, id)) = self.order.pop_front() {
                self.seen.remove(&id);
            }
        }
        if !self.seen.insert(id.clone()) {
            return false;
        }
        self.order.push_back((wall_ms, id));
        true
    }
}

/// As directories compare names: case and runs of spaces do not count.
fn fold(user: &str) -> String {
    let words: Vec<&str> = user.split(' ').filter(|w| !w.is_empty()).collect();
    words.join(" ").chars().flat_map(char::to_lowercase).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use bytes::Bytes;
    use pipithub_amqp::{FieldTable, Properties, ShortStr};

    const WALL: u64 = 1_800_000_000_000;

    fn rule() -> Rule {
        let keys = BTreeMap::from([("desk".to_string(), b"secret".to_vec())]);
        Rule::Signed(Arc::new(Keys { keys, max_age: 60_000 * MS }))
    }

    fn message(id: &str, sent: u64) -> Content {
        let headers = FieldTable::new()
            .with("pipithub-user", "Mai")
            .with("pipithub-key-id", "desk")
            .with("pipithub-function", "north-map")
            .with("pipithub-sent-ms", sent as i64);
        let properties = Properties {
            headers: Some(headers),
            message_id: Some(ShortStr::truncated(id)),
            reply_to: Some(ShortStr::truncated("answers")),
            ..Properties::default()
        };
        Content { properties, body: Bytes::from_static(b"body") }
    }

    fn signed(id: &str, sent: u64) -> Content {
        let mut content = message(id, sent);
        let signature = sign(b"secret", &content, "q");
        let headers = content.properties.headers.take().unwrap_or_default();
        content.properties.headers = Some(headers.with("pipithub-signature", signature.as_str()));
        content
    }

    #[test]
    fn a_signed_call_is_its_users_once() {
        let mut identity = Identity::new(rule());
        let call = signed("m", WALL - 10);
        assert_eq!(identity.user(&call, "q", false, WALL), Ok(Some("mai".into())));
        assert!(identity.user(&call, "q", false, WALL + 1).is_err(), "published a second time");
        assert!(identity.user(&call, "q", true, WALL + 1).is_ok(), "delivered again by the broker");
        assert!(identity.user(&signed("old", WALL - 60_001), "q", false, WALL).is_err());
        assert!(identity.user(&signed("new", WALL + 30_001), "q", false, WALL).is_err());
    }

    /// Each of these would let somebody have another's call run otherwise than it was meant.
    #[test]
    fn nothing_that_counts_can_be_changed_under_a_signature() {
        let changes: [fn(&mut Content); 8] = [
            |c| c.body = Bytes::from_static(b"other"),
            |c| c.properties.reply_to = Some(ShortStr::truncated("mine")),
            |c| c.properties.message_id = Some(ShortStr::truncated("other")),
            |c| c.properties.kind = Some(ShortStr::truncated("assign")),
            |c| set(c, "pipithub-user", "lan"),
            |c| set(c, "pipithub-function", "south-map"),
            |c| set(c, "pipithub-class", "assign"),
            |c| set(c, "pipithub-signature", "00"),
        ];
        for (n, change) in changes.into_iter().enumerate() {
            let mut call = signed("m", WALL);
            change(&mut call);
            assert!(Identity::new(rule()).user(&call, "q", false, WALL).is_err(), "change {n}");
        }
        assert!(Identity::new(rule()).user(&signed("m", WALL), "other-queue", false, WALL).is_err());
        assert!(Identity::new(rule()).user(&message("m", WALL), "q", false, WALL).is_err(), "unsigned");
    }

    fn set(content: &mut Content, name: &str, value: &str) {
        let headers = content.properties.headers.take().unwrap_or_default();
        let others = headers.iter().filter(|(n, _)| n.to_string() != name);
        let kept = others.fold(FieldTable::new(), |t, (n, v)| t.with(n, v.clone()));
        content.properties.headers = Some(kept.with(name, value));
    }

    #[test]
    fn the_brokers_word_counts_and_no_other() {
        let mut content = message("m", WALL);
        assert!(Identity::new(Rule::Broker).user(&content, "q", false, WALL).is_err(), "no user_id");
        content.properties.user_id = Some(ShortStr::truncated("lan"));
        assert!(
            Identity::new(Rule::Broker).user(&content, "q", false, WALL).is_err(),
            "and another in the header"
        );
        set(&mut content, "pipithub-user", "lan");
        assert_eq!(Identity::new(Rule::Broker).user(&content, "q", false, WALL), Ok(Some("lan".into())));
        assert!(Identity::new(Rule::None).user(&content, "q", false, WALL).is_err(), "a name nobody checked");
        content.properties.user_id = Some(ShortStr::truncated("x\u{7}"));
        set(&mut content, "pipithub-user", "x\u{7}");
        assert!(Identity::new(Rule::Broker).user(&content, "q", false, WALL).is_err());
    }
}
