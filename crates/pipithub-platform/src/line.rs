//! Lines with a bound: whoever writes without end must not fill the memory.

use bytes::{Bytes, BytesMut};

/// A buffer that has grown beyond this is let go once it is empty, so that one long line does not stay paid for.
const MAX_IDLE_BUFFER: usize = 8 << 10;

/// A line is longer than allowed; nothing more can be read from its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line of more than {max_bytes} bytes")]
pub struct TooLong {
    /// The bound, in bytes.
    pub max_bytes: usize,
}

/// Cuts a stream of bytes into lines at line feeds.
#[derive(Debug)]
pub struct LineFramer {
    buffer: BytesMut,
    /// Bytes at the front of the buffer that hold no line feed.
    scanned: usize,
    max_bytes: usize,
}

impl LineFramer {
    /// Lines of at most so many bytes, the line feed not counted.
    pub fn new(max_bytes: usize) -> Self {
        LineFramer {
            buffer: BytesMut::new(),
            scanned: 0,
            max_bytes,
        }
    }

    /// Takes in what was read. To keep the bound, call [`LineFramer::next_line`] until it has no more after each piece.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole line, without its line feed and a carriage return before it.
    ///
    /// # Errors
    /// [`TooLong`] where a line, whole or not, is longer than the bound.
    pub fn next_line(&mut self) -> Result<Option<Bytes>, TooLong> {
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
                Err(TooLong {
                    max_bytes: self.max_bytes,
                })
            } else {
                Ok(None)
            };
        };
        if end > self.max_bytes {
            return Err(TooLong {
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

    /// Whether a line has begun and not ended.
    pub fn partial(&self) -> bool {
        !self.buffer.is_empty()
    }
}
