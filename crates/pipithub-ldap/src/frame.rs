//! Splits a byte stream into messages, within limits that are checked before anything is decoded or allocated.

use bytes::{Buf, BytesMut};
use rasn_ldap::LdapMessage;

/// The deepest nesting of constructed values that a message may have. The deepest filter that is sent has six levels.
/// The decoder is recursive, so that without this limit a message of nothing but opening tags would exhaust the stack.
pub const MAX_DEPTH: usize = 48;

/// Why bytes are not a message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// The first byte is not the tag of a message.
    #[error("no LDAP message begins with byte {0:#04x}")]
    Start(u8),
    /// A length is not in the definite form, or takes too many bytes (RFC 4511, 5.1).
    #[error("the length of a message or value is not in the form that LDAP uses")]
    Length,
    /// The length that the message claims is over the limit.
    #[error("a message of {claimed} bytes; {limit} are taken")]
    TooLong {
        /// The length claimed.
        claimed: usize,
        /// The largest length accepted.
        limit: usize,
    },
    /// Values are nested too deeply.
    #[error("values are nested more than {MAX_DEPTH} deep")]
    TooDeep,
    /// A value reaches past the end of the one that contains it.
    #[error("a value is longer than what it stands in")]
    Overrun,
    /// The decoder rejected the content, for the reason given.
    #[error("{0}")]
    Content(String),
}

/// The tag and length that precede a value's content.
struct Header {
    /// Bytes of the tag and the length.
    header_length: usize,
    /// Bytes of the content.
    content_length: usize,
    /// Whether the content consists of further values.
    constructed: bool,
}

/// Reads a header; `None`: there are not enough bytes yet.
fn read_header(bytes: &[u8]) -> Result<Option<Header>, Malformed> {
    let Some(&first) = bytes.first() else {
        return Ok(None);
    };
    let mut position = 1;
    if first & 0x1f == 0x1f {
        // The long form of a tag; no tag of LDAP needs more than one byte in it.
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

/// Checks that values are nested within the limit and within each other, without recursion.
fn check_nesting(message: &[u8]) -> Result<(), Malformed> {
    // Where each constructed value around the present position ends.
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

/// Splits a stream into messages.
#[derive(Debug)]
pub struct Framer {
    buffer: BytesMut,
    limit: usize,
}

impl Framer {
    /// Accepts messages whose content has up to this many bytes.
    pub fn new(limit: usize) -> Self {
        Framer {
            buffer: BytesMut::new(),
            limit,
        }
    }

    /// Adds bytes from the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The number of bytes buffered that belong to messages not taken yet.
    pub fn waiting(&self) -> usize {
        self.buffer.len()
    }

    /// The next complete message.
    pub fn take(&mut self) -> Result<Option<LdapMessage>, Malformed> {
        match self.buffer.first() {
            None => return Ok(None),
            Some(0x30) => {}
            Some(other) => return Err(Malformed::Start(*other)),
        }
        let Some(header) = read_header(&self.buffer)? else {
            return Ok(None);
        };
        // Checked before the whole message has arrived: nothing is buffered for a length that is only claimed.
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

/// Encodes a message. Every message that this crate builds has an encoding; an empty result would be a fault in it.
pub fn encode(message: &LdapMessage) -> Vec<u8> {
    rasn::ber::encode(message).unwrap_or_default()
}
