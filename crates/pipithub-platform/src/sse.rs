//! Server-sent events, as far as the coordinator uses them: `id`, `data` and comments.

use bytes::Bytes;

use crate::line::LineFramer;
use crate::list::{MAX_ENDPOINT_BYTES, MAX_ENDPOINTS};

/// The most bytes of one event's data: the list reader's most workers, each of its most bytes. A reader holds them twice at
/// most, in its buffer and in the event.
pub const MAX_DATA_BYTES: usize = MAX_ENDPOINTS * MAX_ENDPOINT_BYTES;
/// What stands before the data on its line.
const FIELD: usize = "data: ".len();

/// An event is longer than allowed; nothing more can be read from its stream.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "event {}: data: more than {MAX_DATA_BYTES} bytes, which are {MAX_ENDPOINTS} workers of {MAX_ENDPOINT_BYTES} bytes",
    id.as_deref().unwrap_or("without an id")
)]
pub struct EventTooLong {
    /// Its `id`, where it came before the data.
    pub id: Option<String>,
}

/// One event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SseEvent {
    /// Its `id`, where it has one.
    pub id: Option<String>,
    /// Its `data`; several lines are joined by line feeds.
    pub data: String,
}

/// Reads events from a stream of bytes. An event counts once the empty line after it has come: what breaks off before
/// must not be taken for whole.
#[derive(Debug)]
pub struct SseReader {
    lines: LineFramer,
    event: SseEvent,
    begun: bool,
}

impl Default for SseReader {
    fn default() -> Self {
        SseReader {
            lines: LineFramer::new(MAX_DATA_BYTES + FIELD),
            event: SseEvent::default(),
            begun: false,
        }
    }
}

impl SseReader {
    /// Takes in what was read and appends the events that are whole.
    ///
    /// # Errors
    /// [`EventTooLong`] where an event has no end.
    pub fn push(&mut self, bytes: &[u8], events: &mut Vec<SseEvent>) -> Result<(), EventTooLong> {
        self.lines.push(bytes);
        while let Some(line) = self.lines.next_line().map_err(|_| self.too_long())? {
            self.line(&line, events)?;
        }
        Ok(())
    }

    fn line(&mut self, line: &Bytes, events: &mut Vec<SseEvent>) -> Result<(), EventTooLong> {
        let text = String::from_utf8_lossy(line);
        if text.is_empty() {
            let event = std::mem::take(&mut self.event);
            if std::mem::take(&mut self.begun) {
                events.push(event);
            }
            return Ok(());
        }
        let (field, value) = text.split_once(':').unwrap_or((&text, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => self.event.id = Some(value.to_string()),
            "data" => {
                if self.event.data.len() + value.len() > MAX_DATA_BYTES {
                    return Err(self.too_long());
                }
                if self.begun {
                    self.event.data.push('\n');
                }
                self.event.data.push_str(value);
                self.begun = true;
            }
            // Comments, which begin with the colon, and fields that nobody uses here.
            _ => {}
        }
        Ok(())
    }

    fn too_long(&self) -> EventTooLong {
        EventTooLong {
            id: self.event.id.clone(),
        }
    }
}
