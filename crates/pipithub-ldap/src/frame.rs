//! From bytes to messages, within bounds that are checked before anything is decoded or allocated.

use bytes::{Buf, BytesMut};
use rasn_ldap::LdapMessage;

/// Constructed values within each other that a message may have. A filter of the deepest kind we send has six; the
/// decoder recurses, so that a message of nothing but opening tags would use up the stack without this.
pub const MAX_DEPTH: usize = 48;

/// Bytes that are no message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// It does not begin as a message does.
    #[error("no LDAP message begins with byte {0:#04x}")]
    Start(u8),
    /// Its length is not in the definite form, or takes too many bytes (RFC 4511, 5.1).
    #[error("the length of a message or value is not in the form that LDAP uses")]
    Length,
    /// It claims to be too long.
    #[error("a message of {claimed} bytes; {limit} are taken")]
    TooLong {
        /// What it claims.
        claimed: usize,
        /// What is taken.
        limit: usize,
    },
    /// Values are nested too deep.
    #[error("values are nested more than {MAX_DEPTH} deep")]
    TooDeep,
    /// A value reaches past the one that it is in.
    #[error("a value is longer than what it stands in")]
    Overrun,
    /// The decoder says so.
    #[error("{0}")]
    Content(String),
}

/// A tag and length: bytes of both, the content's length, and whether it holds further values.
struct Header {
    header_length: usize,
    content_length: usize,
    constructed: bool,
}

/// Reads a head; `None`: there are not enough bytes yet.
fn read_header(bytes: &[u8]) -> Result<Option<Header>, Malformed> {
    let Some(&first) = bytes.first() else {
        return Ok(None);
    };
    let mut position = 1;
    if first & 0x1f == 0x1f {
        // No tag of LDAP needs this form with more than one byte.
        match bytes.get(1) {
            None => return Ok(None),
            Some(b) if b & 0x80 != 0 => return Err(Malformed::Length),
            Some(_) => position = 2,
        }
    }
    let Some(&short) = bytes.get(position) else {
        return Ok(None);
    };
    position += 1;
    let mut length = usize::from(short);
    if short & 0x80 != 0 {
        let count = usize::from(short & 0x7f);
        if count == 0 || count > 4 {
            return Err(Malformed::Length);
        }
        let Some(rest) = bytes.get(position..position + count) else {
            return Ok(None);
        };
        length = rest.iter().fold(0, |n, b| n << 8 | usize::from(*b));
        position += count;
    }
    Ok(Some(Header {
        header_length: position,
        content_length: length,
        constructed: first & 0x20 != 0,
    }))
}

/// Walks all values of a message without recursion.
fn check_nesting(message: &[u8]) -> Result<(), Malformed> {
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

/// Cuts a stream into messages.
#[derive(Debug)]
pub struct Framer {
    buffer: BytesMut,
    limit: usize,
}

impl Framer {
    /// Takes messages of up to this many bytes.
    pub fn new(limit: usize) -> Self {
        Framer {
            buffer: BytesMut::new(),
            limit,
        }
    }

    /// More bytes have come.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Bytes that wait for the rest of their message.
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
        // Before it is all here: nothing is kept for a length that is only claimed.
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
        let decoded = rasn::ber::decode(message).map_err(|e| Malformed::Content(e.to_string()));
        self.buffer.advance(message_length);
        decoded.map(Some)
    }
}

/// A message's bytes. What we build always has an encoding; an empty answer would be a fault of this crate.
pub fn encode(message: &LdapMessage) -> Vec<u8> {
    rasn::ber::encode(message).unwrap_or_default()
}
