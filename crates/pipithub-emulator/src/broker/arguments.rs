//! The arguments of `queue.declare` that the broker understands.

use pipithub_amqp::{FieldTable, ShortStr, Time};

use super::core::NANOS_PER_MS;

/// The parsed arguments; others are ignored.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct QueueArguments {
    pub(super) message_ttl: Option<Time>,
    pub(super) dead_letter_exchange: Option<ShortStr>,
    pub(super) dead_letter_routing_key: Option<ShortStr>,
    pub(super) max_length: Option<usize>,
    pub(super) expires: Option<Time>,
}

impl QueueArguments {
    /// Reads the table; the error is the text that the client is sent.
    pub(super) fn parse(table: &FieldTable) -> Result<Self, String> {
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

fn non_negative(table: &FieldTable, key: &str) -> Result<Option<u64>, String> {
    let Some(value) = table.get(key) else {
        return Ok(None);
    };
    let number = value.as_i64().and_then(|number| u64::try_from(number).ok());
    let invalid = || format!("{key} must be a whole number that is not negative");
    number.map(Some).ok_or_else(invalid)
}

fn duration(table: &FieldTable, key: &str) -> Result<Option<Time>, String> {
    let ms = non_negative(table, key)?;
    Ok(ms.map(|ms| ms.saturating_mul(NANOS_PER_MS)))
}

fn text(table: &FieldTable, key: &str) -> Result<Option<ShortStr>, String> {
    let Some(value) = table.get(key) else {
        return Ok(None);
    };
    let text = value.as_str().map(ShortStr::truncated);
    text.map(Some)
        .ok_or_else(|| format!("{key} must be a text"))
}
