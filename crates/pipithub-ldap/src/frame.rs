//! From bytes to messages, within bounds that are checked before anything is decoded or allocated.

use bytes::{Buf, BytesMut};
use rasn_ldap::LdapMessage;

/// Constructed values within each other that a message may have. A filter of the deepest kind we send has six; the
/// decoder recurses, so that a message of nothing but opening tags would use up the stack without this.
pub const DEPTH_MOST: usize = 48;

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
    #[error("a message of {claimed} bytes; {most} are taken")]
    TooLong {
        /// What it claims.
        claimed: usize,
        /// What is taken.
        most: usize,
    },
    /// Values are nested too deep.
    #[error("values are nested more than {DEPTH_MOST} deep")]
    TooDeep,
    /// A value reaches past the one that it is in.
    #[error("a value is longer than what it stands in")]
    Overrun,
    /// The decoder says so.
    #[error("{0}")]
    Content(String),
}

/// A tag and length: bytes of both, the content's length, and whether it holds further values.
struct Head {
    size: usize,
    length: usize,
    constructed: bool,
}

/// Reads a head; `None`: there are not enough bytes yet.
fn head(bytes: &[u8]) -> Result<Option<Head>, Malformed> {
    let Some(&first) = bytes.first() else {
        return Ok(None);
    };
    let mut at = 1;
    if first & 0x1f == 0x1f {
        // No tag of LDAP needs this form with more than one byte.
        match bytes.get(1) {
            None => return Ok(None),
            Some(b) if b & 0x80 != 0 => return Err(Malformed::Length),
            Some(_) => at = 2,
        }
    }
    let Some(&short) = bytes.get(at) else {
        return Ok(None);
    };
    at += 1;
    let mut length = usize::from(short);
    if short & 0x80 != 0 {
        let count = usize::from(short & 0x7f);
        if count == 0 || count > 4 {
            return Err(Malformed::Length);
        }
        let Some(rest) = bytes.get(at..at + count) else {
            return Ok(None);
        };
        length = rest.iter().fold(0, |n, b| n << 8 | usize::from(*b));
        at += count;
    }
    Ok(Some(Head {
        size: at,
        length,
        constructed: first & 0x20 != 0,
    }))
}

/// Walks all values of a message without recursion.
fn nesting(message: &[u8]) -> Result<(), Malformed> {
    let mut ends: Vec<usize> = Vec::with_capacity(8);
    let mut at = 0;
    while at < message.len() {
        while ends.last() == Some(&at) {
            ends.pop();
        }
        let end = ends.last().copied().unwrap_or(message.len());
        let Some(head) = head(&message[at..end])? else {
            return Err(Malformed::Overrun);
        };
        let content = at + head.size;
        if head.length > end - content {
            return Err(Malformed::Overrun);
        }
        if head.constructed {
            if ends.len() >= DEPTH_MOST {
                return Err(Malformed::TooDeep);
            }
            ends.push(content + head.length);
            at = content;
        } else {
            at = content + head.length;
        }
    }
    Ok(())
}

/// Cuts a stream into messages.
#[derive(Debug)]
pub struct Framer {
    buffer: BytesMut,
    most: usize,
}

impl Framer {
    /// Takes messages of up to this many bytes.
    pub fn new(most: usize) -> Self {
        Framer {
            buffer: BytesMut::new(),
            most,
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

    /// The next whole message.
    pub fn take(&mut self) -> Result<Option<LdapMessage>, Malformed> {
        match self.buffer.first() {
            None => return Ok(None),
            Some(0x30) => {}
            Some(other) => return Err(Malformed::Start(*other)),
        }
        let Some(head) = head(&self.buffer)? else {
            return Ok(None);
        };
        // Before it is all here: nothing is kept for a length that is only claimed.
        if head.length > self.most {
            return Err(Malformed::TooLong {
                claimed: head.length,
                most: self.most,
            });
        }
        let whole = head.size + head.length;
        if self.buffer.len() < whole {
            return Ok(None);
        }
        let message = &self.buffer[..whole];
        nesting(message)?;
        let decoded = rasn::ber::decode(message).map_err(|e| Malformed::Content(e.to_string()));
        self.buffer.advance(whole);
        decoded.map(Some)
    }
}

/// A message's bytes. What we build always has an encoding; an empty answer would be a fault of this crate.
pub fn encode(message: &LdapMessage) -> Vec<u8> {
    rasn::ber::encode(message).unwrap_or_default()
}
