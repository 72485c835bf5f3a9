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

/// How the key of a call is sent to workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyForm {
    /// As the client states it, as in earlier versions.
    Plain,
    /// Not at all: an earlier attempt may have had the plain key, and workers may still deduplicate it by that.
    Changing {
        /// The time until scoped keys are sent, in nanoseconds.
        remaining: Time,
    },
    /// With its owner.
    Scoped,
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

    /// The form of the key of a call that arrives now. `lifetime` is for how long after its arrival workers may
    /// deduplicate a call of its class: the client timeout and the deduplication window, in nanoseconds.
    pub fn form(&self, now: Time, lifetime: Time) -> KeyForm {
        let Some(at) = self.at else {
            return KeyForm::Scoped;
        };
        let now = i128::from(now);
        let end = at + i128::from(lifetime) + 2 * i128::from(MAX_CLOCK_SKEW);
        if now < at {
            KeyForm::Plain
        } else if now < end {
            let remaining = Time::try_from(end - now).unwrap_or(Time::MAX);
            KeyForm::Changing { remaining }
        } else {
            KeyForm::Scoped
        }
    }
}
