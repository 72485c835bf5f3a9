//! Reads messages as calls, and writes final answers as messages.
//!
//! | property or header | meaning |
//! | --- | --- |
//! | `reply_to`, `correlation_id` | the queue that the answer goes to, and the id that it repeats |
//! | `message_id` | the client's id of the message; without it `reply_to` with `correlation_id` is, if present |
//! | `type` or `pipithub-class` | the class of the call |
//! | `pipithub-function` | the function or model to run |
//! | `pipithub-memory-mb`, `pipithub-lanes`, `pipithub-load-ms`, `pipithub-expected-ms` | properties of the function |
//! | `pipithub-key` | the key by which workers deduplicate the call |
//! | `expiration`, `pipithub-budget-ms` | the client timeout in milliseconds; the lesser of the two applies |
//! | `timestamp`, `pipithub-sent-ms` | when the message was sent, in Unix seconds or Unix milliseconds |
//!
//! The route of a queue may give defaults for the class, the function with its properties, and the client timeout. A
//! header takes precedence over the route.

mod dead_letter;
mod error;
mod identity;

use std::sync::Arc;

use bytes::Bytes;
use pipithub_amqp::{Content, FieldTable, FieldValue, Properties, ShortStr};
use pipithub_engine::{Call, Cause, MessageIdentity, Reply, Tenant, Time, Verdict};

pub use self::dead_letter::{dead_letter, dead_letter_without_headers};
pub use self::error::MessageError;

const MS: Time = 1_000_000;
/// The cap on all durations that are read or computed from a message: a day.
const MAX_DURATION_MS: u64 = 86_400_000;
/// If the clock of a sender is ahead by more than this, the age of its messages counts as unknown.
const MAX_SKEW_MS: u64 = 1_000;
/// The maximum length of the name of a function, in bytes.
const MAX_FUNCTION_LEN: usize = 200;
/// The maximum concurrency of a replica.
const MAX_REPLICA_CONCURRENCY: f64 = 65_536.0;

/// The defaults for the messages of a queue; what a message states takes precedence.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Route {
    /// The number of the class; `None` if each message must name its class.
    pub class: Option<usize>,
    /// The function to call; `None` if each message must name its function.
    pub function: Option<Arc<str>>,
    /// The memory that one replica takes, in MB.
    pub memory_mb: f64,
    /// The number of calls that one replica runs at a time; 0 counts as 1.
    pub replica_concurrency: u32,
    /// The usual time to load a replica, in nanoseconds; `None` if it is not known.
    pub load_time: Option<Time>,
    /// The expected run time of a call, in nanoseconds; `None` if it is not known.
    pub expected_work: Option<Time>,
    /// The client timeout, in nanoseconds; `None` leaves it to the class.
    pub client_timeout: Option<Time>,
    /// The tenant that the route belongs to; `None` if it belongs to none.
    pub tenant: Option<Tenant>,
}

/// A class of calls, as messages name it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassName {
    /// The name of the class in messages.
    pub name: String,
    /// Whether each call of the class needs an idempotency key.
    pub needs_key: bool,
}

/// A message that was read as a call.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedMessage {
    /// The call that the message asks for.
    pub call: Call,
    /// Identifies the message across its deliveries; `None` if no property identifies it.
    pub identity: Option<MessageIdentity>,
    /// The number of earlier deliveries; 0 if the broker does not count them.
    pub deliveries: u32,
}

/// The headers of a message, read as the types that they must have.
#[derive(Clone, Copy)]
struct Headers<'a>(Option<&'a FieldTable>);

impl<'a> Headers<'a> {
    fn get(self, name: &str) -> Option<&'a FieldValue> {
        self.0?.get(name)
    }

    fn number(self, name: &'static str) -> Result<Option<f64>, MessageError> {
        let Some(value) = self.get(name) else {
            return Ok(None);
        };
        let number = value
            .as_f64()
            .or_else(|| value.as_str().and_then(|s| s.trim().parse().ok()));
        match number.filter(|n| n.is_finite() && *n >= 0.0) {
            Some(number) => Ok(Some(number)),
            None => Err(MessageError::InvalidNumber { header: name }),
        }
    }

    /// Reads a number of milliseconds as a duration in nanoseconds, capped at [`MAX_DURATION_MS`].
    fn duration(self, name: &'static str) -> Result<Option<Time>, MessageError> {
        let millis = self.number(name)?;
        Ok(millis.map(|ms| (ms.min(MAX_DURATION_MS as f64) * MS as f64) as Time))
    }

    fn text(self, name: &'static str) -> Result<Option<&'a str>, MessageError> {
        let Some(value) = self.get(name) else {
            return Ok(None);
        };
        value
            .as_str()
            .map(Some)
            .ok_or(MessageError::NotText { header: name })
    }
}

/// When a message arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ArrivalTime {
    /// The wall time, in Unix milliseconds. The remaining client timeout is computed from it.
    pub wall_ms: u64,
    /// The wall time according to [`crate::LatestWallTime`], in Unix milliseconds. The age of a message is computed
    /// from it, so that a step back of the clock makes no message look younger.
    pub latest_wall_ms: u64,
}

impl ArrivalTime {
    /// The time since `sent_ms` by the wall clock, in nanoseconds; 0 if the clock was stepped back beyond it.
    fn since(&self, sent_ms: u64) -> Time {
        self.wall_ms.saturating_sub(sent_ms).min(MAX_DURATION_MS) * MS
    }

    /// The maximum age of a message sent at `sent_ms`, in nanoseconds; `None` if that is more than [`MAX_SKEW_MS`]
    /// in the future.
    fn max_age(&self, sent_ms: u64) -> Option<Time> {
        let is_known = sent_ms <= self.latest_wall_ms.saturating_add(MAX_SKEW_MS);
        is_known.then(|| {
            self.latest_wall_ms
                .saturating_sub(sent_ms)
                .min(MAX_DURATION_MS)
                * MS
        })
    }
}

/// Reads a message as a call. `classes` are in the order of their numbers.
///
/// # Errors
///
/// Fails if the message lacks what a call needs, or a property or header cannot be read.
pub fn read(
    content: &Content,
    route: &Route,
    classes: &[ClassName],
    arrival: ArrivalTime,
) -> Result<ParsedMessage, MessageError> {
    let properties = &content.properties;
    let headers = Headers(properties.headers.as_ref());
    let class = class(properties, headers, route, classes)?;
    let function = function(headers, route)?;
    let client_timeout = client_timeout(properties, headers, route)?;
    let sent = SendTime::read(properties, headers)?;
    let waited = sent.latest_ms.map_or(0, |sent_ms| arrival.since(sent_ms));
    let message_id = message_id(properties);
    let needs_key = classes[class].needs_key;
    let key = key(headers, message_id, needs_key)?;
    let replica_concurrency = replica_concurrency(headers, route)?;
    let call = Call {
        function,
        class,
        timeout: client_timeout.map(|timeout| timeout.saturating_sub(waited)),
        waited,
        age: sent
            .earliest_ms
            .and_then(|sent_ms| arrival.max_age(sent_ms)),
        expected_work: headers
            .duration("pipithub-expected-ms")?
            .or(route.expected_work),
        memory_mb: headers
            .number("pipithub-memory-mb")?
            .unwrap_or(route.memory_mb),
        replica_concurrency,
        load_time: headers.duration("pipithub-load-ms")?.or(route.load_time),
        message_id: message_id
            .or(properties.correlation_id.as_deref())
            .map(Into::into),
        idempotency_key: key,
        content_type: properties.content_type.as_deref().map(Into::into),
        body: content.body.clone(),
        tenant: route.tenant,
        user: None,
        person: 0,
    };
    Ok(ParsedMessage {
        call,
        identity: identity::message_identity(content),
        deliveries: deliveries(headers),
    })
}

/// The number of calls that one replica runs at a time.
fn replica_concurrency(headers: Headers<'_>, route: &Route) -> Result<u32, MessageError> {
    let given = headers.number("pipithub-lanes")?;
    let concurrency = given.map_or(route.replica_concurrency, |given| {
        given.min(MAX_REPLICA_CONCURRENCY) as u32
    });
    Ok(concurrency.max(1))
}

/// The number of earlier deliveries; 0 if the broker does not count them.
fn deliveries(headers: Headers<'_>) -> u32 {
    let count = headers.get("x-delivery-count").and_then(FieldValue::as_i64);
    count.unwrap_or(0).clamp(0, i64::from(u32::MAX)) as u32
}

fn class(
    properties: &Properties,
    headers: Headers<'_>,
    route: &Route,
    classes: &[ClassName],
) -> Result<usize, MessageError> {
    let Some(name) = headers
        .text("pipithub-class")?
        .or(properties.kind.as_deref())
    else {
        return route.class.ok_or(MessageError::MissingClass);
    };
    if let Some(class) = classes.iter().position(|known| known.name == name) {
        return Ok(class);
    }
    // If the route gives the class, the property `type` may be used for something else.
    let by_property = headers.get("pipithub-class").is_none();
    let unknown = || MessageError::UnknownClass {
        name: error::shortened(name),
    };
    route.class.filter(|_| by_property).ok_or_else(unknown)
}

fn function(headers: Headers<'_>, route: &Route) -> Result<Arc<str>, MessageError> {
    match headers.text("pipithub-function")? {
        Some(name) if name.is_empty() || name.len() > MAX_FUNCTION_LEN => {
            Err(MessageError::InvalidFunction { bytes: name.len() })
        }
        Some(name) => Ok(name.into()),
        None => route.function.clone().ok_or(MessageError::MissingFunction),
    }
}

/// The client timeout, counted from when the message was sent.
fn client_timeout(
    properties: &Properties,
    headers: Headers<'_>,
    route: &Route,
) -> Result<Option<Time>, MessageError> {
    let budget = headers.duration("pipithub-budget-ms");
    let expiration = match &properties.expiration {
        None => None,
        Some(text) => match text.parse::<u64>() {
            Ok(ms) => Some(ms.min(MAX_DURATION_MS) * MS),
            Err(_) => {
                return Err(MessageError::InvalidExpiration {
                    text: text.to_string(),
                });
            }
        },
    };
    Ok([expiration, budget?]
        .into_iter()
        .flatten()
        .min()
        .or(route.client_timeout))
}

/// When a message was sent, in Unix milliseconds.
///
/// A timestamp is in whole seconds, so its message may have been sent up to a second later. The latest time that it
/// allows is used for the client timeout, which must not be cut short. The earliest is used for the age, which decides
/// whether a redelivered call may run again.
struct SendTime {
    earliest_ms: Option<u64>,
    latest_ms: Option<u64>,
}

impl SendTime {
    fn read(properties: &Properties, headers: Headers<'_>) -> Result<Self, MessageError> {
        let exact_ms = headers.number("pipithub-sent-ms")?.map(|ms| ms as u64);
        let second_ms = properties
            .timestamp
            .map(|seconds| seconds.saturating_mul(1000));
        Ok(SendTime {
            earliest_ms: exact_ms.or(second_ms),
            latest_ms: exact_ms.or(second_ms.map(|ms| ms.saturating_add(999))),
        })
    }
}

pub(crate) fn message_id(properties: &Properties) -> Option<&str> {
    properties.message_id.as_deref().filter(|id| !id.is_empty())
}

/// The idempotency key. If a class needs one and the message gives none, the id of the message is used, because every
/// delivery carries the same id.
fn key(
    headers: Headers<'_>,
    message_id: Option<&str>,
    is_needed: bool,
) -> Result<Option<Arc<str>>, MessageError> {
    let given = headers.text("pipithub-key")?;
    if given.is_some() || !is_needed {
        return Ok(given.map(Into::into));
    }
    match message_id {
        Some(id) => Ok(Some(id.into())),
        None => Err(MessageError::MissingKey),
    }
}

/// Where and how the answer to a message is published.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplyAddress {
    /// The queue that the answer goes to; `None` if the client wants no answer.
    pub reply_to: Option<ShortStr>,
    /// The correlation id that the answer repeats.
    pub correlation_id: Option<ShortStr>,
    /// The delivery mode of the message, which the answer repeats: 2 if it must survive a restart of the broker.
    pub delivery_mode: Option<u8>,
}

impl ReplyAddress {
    /// Reads the address from the properties of a message. The message id replaces a missing correlation id.
    pub fn from_properties(properties: &Properties) -> Self {
        ReplyAddress {
            reply_to: properties.reply_to.clone().filter(|r| !r.is_empty()),
            correlation_id: properties
                .correlation_id
                .clone()
                .or(properties.message_id.clone()),
            delivery_mode: properties.delivery_mode,
        }
    }
}

fn headers(verdict: &str, cause: &str, attempts: u32) -> FieldTable {
    FieldTable::new()
        .with("pipithub-verdict", verdict)
        .with("pipithub-cause", cause)
        .with("pipithub-attempts", i64::from(attempts))
}

/// The properties and body of the message that carries a final answer.
pub fn answer(address: &ReplyAddress, reply: &Reply) -> (Properties, Bytes) {
    let mut headers = headers(reply.verdict.as_str(), reply.cause.as_str(), reply.attempts);
    if let Some(after) = reply.retry_after {
        headers = headers.with(
            "pipithub-retry-after-ms",
            i64::try_from(after / MS).unwrap_or(i64::MAX),
        );
    }
    if let Some(worker) = &reply.worker {
        headers = headers.with("pipithub-worker", &*worker.0);
    }
    let (content_type, body) = match &reply.served {
        Some(served) => {
            headers = headers.with("pipithub-status", i64::from(served.status));
            (
                served.content_type.as_deref().map(ShortStr::truncated),
                served.body.clone(),
            )
        }
        None => (None, Bytes::new()),
    };
    (properties(address, headers, content_type), body)
}

/// The properties of the answer to a call that was served with a body which the broker refuses. The call has run, so it has
/// failed.
pub fn answer_without_body(address: &ReplyAddress, reply: &Reply) -> Properties {
    let headers = headers("failed", "answer-too-large", reply.attempts);
    properties(address, headers, None)
}

/// The properties of the answer to a message that cannot be read as a call. It is a rejection only if the call cannot have run
/// at an earlier delivery.
pub fn answer_unreadable(
    address: &ReplyAddress,
    error: &MessageError,
    may_have_run: bool,
) -> Properties {
    let (verdict, cause) = if may_have_run {
        (Verdict::Failed, Cause::MayHaveRunBefore.as_str())
    } else {
        (Verdict::Rejected, "unreadable")
    };
    let headers =
        headers(verdict.as_str(), cause, 0).with("pipithub-reason", error.to_string().as_str());
    properties(address, headers, None)
}

fn properties(
    address: &ReplyAddress,
    headers: FieldTable,
    content_type: Option<ShortStr>,
) -> Properties {
    Properties {
        content_type,
        headers: Some(headers),
        correlation_id: address.correlation_id.clone(),
        delivery_mode: address.delivery_mode,
        app_id: Some(ShortStr::truncated("pipithub")),
        ..Properties::default()
    }
}
