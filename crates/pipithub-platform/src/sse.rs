//! Server-sent events, as far as the coordinator uses them: `id`, `data` and comments.

use bytes::Bytes;

use crate::line::{LineFramer, TooLong};

/// The most bytes of one event's data.
const DATA_MOST: usize = 1 << 20;

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
        SseReader { lines: LineFramer::new(DATA_MOST), event: SseEvent::default(), begun: false }
    }
}

impl SseReader {
    /// Takes in what was read and appends the events that are whole.
    ///
    /// # Errors
    /// [`TooLong`] where an event has no end.
    pub fn push(&mut self, bytes: &[u8], events: &mut Vec<SseEvent>) -> Result<(), TooLong> {
        self.lines.push(bytes);
        while let Some(line) = self.lines.next_line()? {
            self.line(&line, events)?;
        }
        Ok(())
    }

    fn line(&mut self, line: &Bytes, events: &mut Vec<SseEvent>) -> Result<(), TooLong> {
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
                if self.event.data.len() + value.len() > DATA_MOST {
                    return Err(TooLong { most: DATA_MOST });
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
}
