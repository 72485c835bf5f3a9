//! Idempotency keys as workers see them.
//!
//! Workers deduplicate calls by the key alone. Clients choose their keys by themselves, so that those of two users may be
//! equal. A key is therefore sent with the user, or else the tenant, that it belongs to: it is *scoped*. Earlier versions
//! sent *plain* keys. A worker cannot tell that a plain and a scoped key are those of one call, so a call that was
//! forwarded with its plain key must not be forwarded with the scoped one while workers may still deduplicate it.

use pipithub_clock::Reading;

use crate::{MS, SECOND, Time};

/// The clocks of two front ends may differ by this much when keys change.
const MAX_CLOCK_SKEW: Time = 30 * SECOND;

/// Whose key it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyOwner<'a> {
    /// A user, by name. It stays the owner if the user moves to another tenant.
    User(&'a str),
    /// A tenant, by name, for calls without a user.
    Tenant(&'a str),
}

impl KeyOwner<'_> {
    /// The key as it is sent to workers. Keys of different owners are different.
    pub fn scoped_key(self, key: &str) -> String {
        let (kind, name) = match self {
            KeyOwner::User(name) => ("user", name),
            KeyOwner::Tenant(name) => ("tenant", name),
        };
        format!("{kind}:{}/{key}", escape_separator(name))
    }
}

/// Escapes a name so that it does not contain the separator of name and key.
fn escape_separator(name: &str) -> String {
    name.replace('%', "%25").replace('/', "%2F")
}

/// What becomes of a call with a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyDecision {
    /// It is sent with its plain key, as in earlier versions.
    SendPlain,
    /// It is sent with its scoped key.
    SendScoped,
    /// It is rejected, as an earlier one with its plain key may be the same call. The client may retry after this time,
    /// in nanoseconds.
    Reject {
        /// The time until scoped keys are sent.
        retry_after: Time,
    },
    /// It fails, as it may have run with its plain key and workers may not know the scoped one.
    Fail,
}

/// A call with a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyedCall {
    /// Whether the call must not run twice without its key.
    pub needs_key: bool,
    /// Whether the call may have been forwarded before.
    pub redelivered: bool,
    /// For how long after the arrival of a call of its class workers may deduplicate it: the client timeout and the
    /// deduplication window, in nanoseconds.
    pub lifetime: Time,
}

/// The change from plain keys to scoped ones, at a time that all front ends are given. All of them must run a version
/// that knows scoped keys by then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyChange {
    /// In nanoseconds of monotonic time, which may have begun after the change; `None` if keys were never plain.
    at: Option<i128>,
}

impl KeyChange {
    /// The change at a Unix time in milliseconds; `None` if keys were never plain. Later steps of the wall clock do not
    /// move it.
    pub fn new(since_ms: Option<u64>, reading: Reading) -> Self {
        let at = since_ms.map(|since_ms| {
            let ahead_ms = i128::from(since_ms) - i128::from(reading.wall_ms);
            i128::from(reading.now) + ahead_ms * i128::from(MS)
        });
        KeyChange { at }
    }

    /// Decides on a call that arrives now.
    pub fn decide(&self, now: Time, call: KeyedCall) -> KeyDecision {
        let Some(at) = self.at else {
            return KeyDecision::SendScoped;
        };
        let now = i128::from(now);
        let end = at + i128::from(call.lifetime) + 2 * i128::from(MAX_CLOCK_SKEW);
        if now < at {
            KeyDecision::SendPlain
        } else if now >= end || !call.needs_key {
            KeyDecision::SendScoped
        } else if call.redelivered {
            KeyDecision::Fail
        } else {
            let retry_after = Time::try_from(end - now).unwrap_or(Time::MAX);
            KeyDecision::Reject { retry_after }
        }
    }
}
