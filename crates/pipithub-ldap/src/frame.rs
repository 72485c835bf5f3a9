//! Splits a byte stream into messages, whose size and nesting are checked before they are decoded.

use bytes::{Buf, BytesMut};
use rasn_ldap::LdapMessage;

/// The maximum nesting of constructed values in a message. The decoder is recursive, so without this limit a message of
/// nested tags could overflow the stack. The deepest filter that is sent has six levels.
pub const MAX_DEPTH: usize = 48;

/// Why bytes cannot be decoded as a message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// The first byte is not the tag of a message.
    #[error("byte {0:#04x} is not the start of an LDAP message")]
    Start(u8),
    /// A length is not in the definite form, or takes too many bytes (RFC 4511, 5.1).
    #[error("the length of a message or value is not in the definite form")]
    Length,
    /// The length in the message's header exceeds the limit.
    #[error("a message of {claimed} bytes exceeds the limit of {limit}")]
    TooLong {
        /// The length in the header, in bytes.
        claimed: usize,
        /// The largest length that is accepted, in bytes.
        limit: usize,
    },
    /// Values are nested too deeply.
    #[error("values are nested deeper than {MAX_DEPTH} levels")]
    TooDeep,
    /// A value ends after the value that contains it.
    #[error("a value is longer than the value that contains it")]
    Overrun,
    /// The content cannot be decoded, for the given reason.
    #[error("{0}")]
    Content(String),
}

/// The decoded tag and length of a value.
struct Header {
    /// The number of bytes of the tag and the length.
    header_length: usize,
    /// The number of bytes of the content.
    content_length: usize,
    /// Whether the content consists of further values.
    constructed: bool,
}

/// Decodes a header; `None` if the bytes end within it.
fn read_header(bytes: &[u8]) -> Result<Option<Header>, Malformed> {
    let Some(&first) = bytes.first() else {
        return Ok(None);
    };
    let mut position = 1;
    if first & 0x1f == 0x1f {
        // The long form of a tag. No tag of LDAP has more than one byte after the first.
        match bytes.get(1) {
            None => return Ok(None),
            Some(byte) if byte & 0x80 != 0 => return Err(Malformed::Length),
            Some(_) => position = 2,
        }
    }
    let Some(&first_length) = bytes.get(position) else {
        return Ok(None);
    };
    position += 1;
    let mut length = usize::from(first_length);
    if first_length & 0x80 != 0 {
        let count = usize::from(first_length & 0x7f);
        if count == 0 || count > 4 {
            return Err(Malformed::Length);
        }
        let Some(rest) = bytes.get(position..position + count) else {
            return Ok(None);
        };
        length = rest
            .iter()
            .fold(0, |length, byte| length << 8 | usize::from(*byte));
        position += count;
    }
    Ok(Some(Header {
        header_length: position,
        content_length: length,
        constructed: first & 0x20 != 0,
    }))
}

/// Checks, without recursion, that values are not nested too deeply and that each ends within the value that contains
/// it.
fn check_nesting(message: &[u8]) -> Result<(), Malformed> {
    // The end of each constructed value that contains the current position.
    let mut open_ends: Vec<usize> = Vec::with_capacity(8);
    let mut position = 0;
    while position < message.len() {
        while open_ends.last() == Some(&position) {
            open_ends.pop();
        }
        let end = open_ends.last().copied().unwrap_or(message.len());
        let Some(header) = read_header(&message[position..end])? else {
            return Err(Malformed::Overrun);
        };
        let content = position + header.header_length;
        if header.content_length > end - content {
            return Err(Malformed::Overrun);
        }
        if header.constructed {
            if open_ends.len() >= MAX_DEPTH {
                return Err(Malformed::TooDeep);
            }
            open_ends.push(content + header.content_length);
            position = content;
        } else {
            position = content + header.content_length;
        }
    }
    Ok(())
}

/// Decodes the messages in a stream of bytes.
#[derive(Debug)]
pub struct Framer {
    buffer: BytesMut,
    /// The largest accepted content of a message, in bytes.
    limit: usize,
}

impl Framer {
    /// Creates a framer that accepts messages whose content has up to `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Framer {
            buffer: BytesMut::new(),
            limit,
        }
    }

    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The number of buffered bytes.
    pub fn buffered_len(&self) -> usize {
        self.buffer.len()
    }

    /// Removes and returns the next message; `None` until it is complete.
    ///
    /// # Errors
    /// The message cannot be decoded or exceeds a limit. The connection must then be closed, because the boundaries of
    /// later messages are unknown.
    pub fn take(&mut self) -> Result<Option<LdapMessage>, Malformed> {
        match self.buffer.first() {
            None => return Ok(None),
            Some(0x30) => {}
            Some(other) => return Err(Malformed::Start(*other)),
        }
        let Some(header) = read_header(&self.buffer)? else {
            return Ok(None);
        };
        // Checked before the whole message has arrived, so that no peer can make this side buffer a message beyond the
        // limit.
        if header.content_length > self.limit {
            return Err(Malformed::TooLong {
                claimed: header.content_length,
                limit: self.limit,
            });
        }
        let message_length = header.header_length + header.content_length;
        if self.buffer.len() < message_length {
            return Ok(None);
        }
        let message = &self.buffer[..message_length];
        check_nesting(message)?;
        let decoded =
            rasn::ber::decode(message).map_err(|error| Malformed::Content(error.to_string()));
        self.buffer.advance(message_length);
        decoded.map(Some)
    }
}

/// Encodes a message. The result is empty if the encoder fails, which does not happen for messages that this crate
/// creates.
pub fn encode(message: &LdapMessage) -> Vec<u8> {
    rasn::ber::encode(message).unwrap_or_default()
}
