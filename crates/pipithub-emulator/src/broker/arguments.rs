//! The arguments of `queue.declare` that the broker supports.

use std::fmt;

use pipithub_amqp::{FieldTable, ShortStr, Time};

use super::core::NANOS_PER_MS;

/// The parsed arguments; unknown ones are ignored. A field is `None` if the client does not give the argument.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct QueueArguments {
    pub(super) message_ttl: Option<Time>,
    pub(super) dead_letter_exchange: Option<ShortStr>,
    pub(super) dead_letter_routing_key: Option<ShortStr>,
    pub(super) max_length: Option<usize>,
    pub(super) expires: Option<Time>,
}

/// An argument with an invalid value. Its text is sent to the client.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum ArgumentError {
    /// The argument of this name must be a number.
    NotANumber(&'static str),
    /// The argument of this name must be a string.
    NotAString(&'static str),
}

impl fmt::Display for ArgumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ArgumentError::NotANumber(key) => {
                write!(f, "{key} must be a whole number that is not negative")
            }
            ArgumentError::NotAString(key) => write!(f, "{key} must be a text"),
        }
    }
}

impl std::error::Error for ArgumentError {}

impl QueueArguments {
    /// Parses the arguments of a declaration. Fails if a supported argument has a value of the wrong type.
    pub(super) fn parse(table: &FieldTable) -> Result<Self, ArgumentError> {
        let max_length = non_negative(table, "x-max-length")?;
        Ok(QueueArguments {
            message_ttl: duration(table, "x-message-ttl")?,
            dead_letter_exchange: text(table, "x-dead-letter-exchange")?,
            dead_letter_routing_key: text(table, "x-dead-letter-routing-key")?,
            max_length: max_length.map(|length| usize::try_from(length).unwrap_or(usize::MAX)),
            expires: duration(table, "x-expires")?,
        })
    }
}

fn non_negative(table: &FieldTable, key: &'static str) -> Result<Option<u64>, ArgumentError> {
    let Some(value) = table.get(key) else {
        return Ok(None);
    };
    let number = value.as_i64().and_then(|number| u64::try_from(number).ok());
    number.map(Some).ok_or(ArgumentError::NotANumber(key))
}

/// A duration, which is given in milliseconds.
fn duration(table: &FieldTable, key: &'static str) -> Result<Option<Time>, ArgumentError> {
    let ms = non_negative(table, key)?;
    Ok(ms.map(|ms| ms.saturating_mul(NANOS_PER_MS)))
}

fn text(table: &FieldTable, key: &'static str) -> Result<Option<ShortStr>, ArgumentError> {
    let Some(value) = table.get(key) else {
        return Ok(None);
    };
    let text = value.as_str().map(ShortStr::truncated);
    text.map(Some).ok_or(ArgumentError::NotAString(key))
}
