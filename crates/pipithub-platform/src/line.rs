//! Lines of bounded length, so that a peer that sends an endless line cannot exhaust the memory.

use bytes::{Bytes, BytesMut};

/// A buffer that has grown beyond this size, in bytes, is freed once it is empty, so that one long line does not hold
/// memory forever.
const MAX_IDLE_BUFFER: usize = 8 << 10;

/// A line is longer than allowed; nothing more can be read from its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line of more than {max_bytes} bytes")]
pub struct LineTooLong {
    /// The maximum length of a line, in bytes.
    pub max_bytes: usize,
}

/// Divides a stream of bytes into lines at line feeds.
#[derive(Debug)]
pub struct LineFramer {
    buffer: BytesMut,
    /// The number of bytes at the front of the buffer that are known to contain no line feed.
    scanned: usize,
    max_bytes: usize,
}

impl LineFramer {
    /// Creates a framer for lines of at most `max_bytes`, not counting the line feed.
    pub fn new(max_bytes: usize) -> Self {
        LineFramer {
            buffer: BytesMut::new(),
            scanned: 0,
            max_bytes,
        }
    }

    /// Appends bytes that were read. To bound the buffer, call [`LineFramer::next_line`] afterwards until it returns
    /// `None`.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete line, without its line feed and a carriage return before it; `None` if no
    /// line is complete.
    ///
    /// # Errors
    /// Returns [`LineTooLong`] if a line, complete or not, is longer than the maximum.
    pub fn next_line(&mut self) -> Result<Option<Bytes>, LineTooLong> {
        let found = self.buffer[self.scanned..]
            .iter()
            .position(|b| *b == b'\n')
            .map(|at| at + self.scanned);
        let Some(end) = found else {
            self.scanned = self.buffer.len();
            if self.buffer.is_empty() && self.buffer.capacity() > MAX_IDLE_BUFFER {
                self.buffer = BytesMut::new();
            }
            return if self.scanned > self.max_bytes {
                Err(LineTooLong {
                    max_bytes: self.max_bytes,
                })
            } else {
                Ok(None)
            };
        };
        if end > self.max_bytes {
            return Err(LineTooLong {
                max_bytes: self.max_bytes,
            });
        }
        self.scanned = 0;
        let mut line = self.buffer.split_to(end + 1).freeze();
        line.truncate(end);
        if line.last() == Some(&b'\r') {
            line.truncate(end - 1);
        }
        Ok(Some(line))
    }

    /// Whether part of a line is buffered, once [`LineFramer::next_line`] has returned `None`.
    pub fn has_partial_line(&self) -> bool {
        !self.buffer.is_empty()
    }
}
