//! Server-sent events, as far as the coordinator uses them: `id`, `data` and comments.

use bytes::Bytes;

use crate::line::LineFramer;
use crate::list::{MAX_ENDPOINT_BYTES, MAX_ENDPOINTS};

/// The maximum size of the data of one event, in bytes: the largest event that [`crate::list`] accepts. A reader holds
/// the data at most twice, in its buffer and in the event.
pub const MAX_DATA_BYTES: usize = MAX_ENDPOINTS * MAX_ENDPOINT_BYTES;
/// The length of the field name and the separator before the data on a line.
const FIELD_NAME_BYTES: usize = "data: ".len();

/// An event is longer than allowed; nothing more can be read from its stream.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "event {}: data: more than {MAX_DATA_BYTES} bytes, which are {MAX_ENDPOINTS} workers of {MAX_ENDPOINT_BYTES} bytes",
    id.as_deref().unwrap_or("without an id")
)]
pub struct EventTooLong {
    /// The `id` of the event; `None` if it was not received before the data.
    pub id: Option<String>,
}

/// A complete event of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SseEvent {
    /// The `id` of the event; `None` if it has none.
    pub id: Option<String>,
    /// The `data` of the event; several lines are joined by line feeds.
    pub data: String,
}

/// Reads events from a stream of bytes. An event is complete once the empty line after it is received; an event that
/// breaks off before that is never returned.
#[derive(Debug)]
pub struct SseReader {
    lines: LineFramer,
    event: SseEvent,
    /// Whether the event has a `data` field so far.
    has_data: bool,
    /// Whether a comment or an event was completed since the last call of [`SseReader::take_completed`].
    has_completed: bool,
}

impl Default for SseReader {
    fn default() -> Self {
        SseReader {
            lines: LineFramer::new(MAX_DATA_BYTES + FIELD_NAME_BYTES),
            event: SseEvent::default(),
            has_data: false,
            has_completed: false,
        }
    }
}

impl SseReader {
    /// Reads bytes and returns the events that they complete, in order.
    ///
    /// # Errors
    /// Returns [`EventTooLong`] if an event is longer than [`MAX_DATA_BYTES`]. Events that were completed by the same
    /// bytes are lost then.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<SseEvent>, EventTooLong> {
        self.lines.push(bytes);
        let mut events = Vec::new();
        while let Some(line) = self.lines.next_line().map_err(|_| self.too_long())? {
            events.extend(self.read_line(&line)?);
        }
        Ok(events)
    }

    /// Whether a comment or an event was completed since the last call of this method. An incomplete event does not
    /// count, because its sender may have stopped in the middle of it.
    pub fn take_completed(&mut self) -> bool {
        std::mem::take(&mut self.has_completed)
    }

    /// Reads one line and returns the event that it completes; `None` if it completes none.
    fn read_line(&mut self, line: &Bytes) -> Result<Option<SseEvent>, EventTooLong> {
        let text = String::from_utf8_lossy(line);
        if text.is_empty() {
            let event = std::mem::take(&mut self.event);
            let has_data = std::mem::take(&mut self.has_data);
            self.has_completed |= has_data;
            return Ok(has_data.then_some(event));
        }
        let (field, value) = text.split_once(':').unwrap_or((&text, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => self.event.id = Some(value.to_string()),
            "data" => {
                if self.event.data.len() + value.len() > MAX_DATA_BYTES {
                    return Err(self.too_long());
                }
                if self.has_data {
                    self.event.data.push('\n');
                }
                self.event.data.push_str(value);
                self.has_data = true;
            }
            // A line that begins with a colon is a comment.
            "" => self.has_completed = true,
            // Other fields are ignored.
            _ => {}
        }
        Ok(None)
    }

    fn too_long(&self) -> EventTooLong {
        EventTooLong {
            id: self.event.id.clone(),
        }
    }
}
