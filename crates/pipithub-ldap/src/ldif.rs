//! Reads LDIF content records (RFC 2849), the format of the emulator's directory trees.

use crate::dn::{Dn, InvalidDn};

/// The maximum length of a text, in bytes.
const MAX_LENGTH: usize = 256 << 20;

/// A line is not valid LDIF.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {reason}")]
pub struct InvalidLdif {
    /// The number of the line, counted from 1.
    pub line: usize,
    /// The error in it.
    pub reason: InvalidLdifReason,
}

/// The error in a line of LDIF.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidLdifReason {
    /// The whole text is too large.
    #[error("the file is larger than {MAX_LENGTH} bytes")]
    TooLarge,
    /// The line has no colon.
    #[error("expected 'name: value'")]
    MissingColon,
    /// The value after `::` is not base64.
    #[error("invalid base64")]
    InvalidBase64,
    /// The value is given as a URL (`:<`).
    #[error("values by URL are not supported")]
    ValueByUrl,
    /// A continuation line follows an empty line or is the first one.
    #[error("continuation line without a line before it")]
    OrphanContinuation,
    /// The record is a change record.
    #[error("change records are not supported")]
    ChangeRecord,
    /// An entry begins with an attribute of this name instead of `dn`.
    #[error("expected 'dn' at the start of an entry, found '{0}'")]
    MissingDn(String),
    /// The distinguished name is not UTF-8.
    #[error("the distinguished name is not UTF-8")]
    DnNotUtf8,
    /// The distinguished name is malformed.
    #[error(transparent)]
    InvalidDn(#[from] InvalidDn),
    /// The version in the first line is not 1.
    #[error("only version 1 is supported")]
    UnsupportedVersion,
}

/// One value of an attribute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attribute {
    /// The attribute description, as in the file.
    pub name: String,
    /// The value, with base64 decoded.
    pub value: Vec<u8>,
}

/// An entry of the directory tree.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The distinguished name in normalized form.
    pub dn: Dn,
    /// The text of the distinguished name, as in the file.
    pub dn_text: String,
    /// The attribute values, in the order of the file.
    pub attributes: Vec<Attribute>,
}

/// Reads all entries of an LDIF text. Change records are rejected, and so are values that are given as a URL (`:<`),
/// which would make this process read other files.
///
/// # Errors
/// Fails at the first line that is not valid LDIF, or if the text is too large.
pub fn read(text: &str) -> Result<Vec<Record>, InvalidLdif> {
    if text.len() > MAX_LENGTH {
        return Err(InvalidLdif {
            line: 1,
            reason: InvalidLdifReason::TooLarge,
        });
    }
    let mut parser = Parser::default();
    for line in unfold(text)? {
        if !line.is_comment() {
            parser.parse_line(&line)?;
        }
    }
    Ok(parser.records)
}

/// A logical line, to which its continuation lines are joined.
struct Line {
    number: usize,
    text: String,
}

impl Line {
    fn is_comment(&self) -> bool {
        self.text.starts_with('#')
    }

    fn invalid(&self, reason: InvalidLdifReason) -> InvalidLdif {
        InvalidLdif {
            line: self.number,
            reason,
        }
    }

    /// Splits the line into a name and a value, and decodes base64.
    fn attribute(&self) -> Result<Attribute, InvalidLdif> {
        let (name, rest) = self
            .text
            .split_once(':')
            .ok_or_else(|| self.invalid(InvalidLdifReason::MissingColon))?;
        let value = if let Some(encoded) = rest.strip_prefix(':') {
            decode_base64(encoded.trim())
                .ok_or_else(|| self.invalid(InvalidLdifReason::InvalidBase64))?
        } else if rest.starts_with('<') {
            return Err(self.invalid(InvalidLdifReason::ValueByUrl));
        } else {
            rest.trim_start_matches(' ').as_bytes().to_vec()
        };
        Ok(Attribute {
            name: name.to_string(),
            value,
        })
    }
}

/// Joins continuation lines, which begin with a space, to the line before them. Comments may have continuation lines too.
fn unfold(text: &str) -> Result<Vec<Line>, InvalidLdif> {
    let mut lines: Vec<Line> = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let number = index + 1;
        let line = line.strip_suffix('\r').unwrap_or(line);
        let Some(continuation) = line.strip_prefix(' ') else {
            lines.push(Line {
                number,
                text: line.to_string(),
            });
            continue;
        };
        match lines.last_mut() {
            Some(previous) if !previous.text.is_empty() => previous.text.push_str(continuation),
            _ => {
                return Err(InvalidLdif {
                    line: number,
                    reason: InvalidLdifReason::OrphanContinuation,
                });
            }
        }
    }
    Ok(lines)
}

/// The state of the parser, with the records that were read so far.
#[derive(Default)]
struct Parser {
    records: Vec<Record>,
    /// Whether further attributes belong to the last record. An empty line ends the record.
    in_record: bool,
}

impl Parser {
    fn parse_line(&mut self, line: &Line) -> Result<(), InvalidLdif> {
        if line.text.is_empty() {
            self.in_record = false;
            return Ok(());
        }
        let attribute = line.attribute()?;
        if attribute.name.eq_ignore_ascii_case("version") && self.records.is_empty() {
            return check_version(line, &attribute);
        }
        if self.in_record {
            return self.add_attribute(line, attribute);
        }
        self.begin_record(line, attribute)
    }

    fn add_attribute(&mut self, line: &Line, attribute: Attribute) -> Result<(), InvalidLdif> {
        if attribute.name.eq_ignore_ascii_case("changetype") {
            return Err(line.invalid(InvalidLdifReason::ChangeRecord));
        }
        if let Some(record) = self.records.last_mut() {
            record.attributes.push(attribute);
        }
        Ok(())
    }

    fn begin_record(&mut self, line: &Line, attribute: Attribute) -> Result<(), InvalidLdif> {
        let Attribute { name, value } = attribute;
        if !name.eq_ignore_ascii_case("dn") {
            return Err(line.invalid(InvalidLdifReason::MissingDn(name)));
        }
        let dn_text =
            String::from_utf8(value).map_err(|_| line.invalid(InvalidLdifReason::DnNotUtf8))?;
        let dn = Dn::parse(&dn_text).map_err(|error| line.invalid(error.into()))?;
        self.records.push(Record {
            dn,
            dn_text,
            attributes: Vec::new(),
        });
        self.in_record = true;
        Ok(())
    }
}

fn check_version(line: &Line, attribute: &Attribute) -> Result<(), InvalidLdif> {
    if attribute.value == b"1" {
        Ok(())
    } else {
        Err(line.invalid(InvalidLdifReason::UnsupportedVersion))
    }
}

/// Decodes base64 with padding (RFC 4648, 4); `None` if the text is not valid.
fn decode_base64(text: &str) -> Option<Vec<u8>> {
    let digit = |byte: u8| match byte {
        b'A'..=b'Z' => Some(byte - b'A'),
        b'a'..=b'z' => Some(byte - b'a' + 26),
        b'0'..=b'9' => Some(byte - b'0' + 52),
        b'+' => Some(62),
        b'/' => Some(63),
        _ => None,
    };
    let bytes = text.as_bytes();
    if !bytes.len().is_multiple_of(4) {
        return None;
    }
    let padding = bytes.iter().rev().take_while(|byte| **byte == b'=').count();
    if padding > 2 {
        return None;
    }
    let mut decoded = Vec::with_capacity(bytes.len() / 4 * 3);
    for (index, group) in bytes.chunks(4).enumerate() {
        let is_last = (index + 1) * 4 == bytes.len();
        let kept_digits = if is_last { 4 - padding } else { 4 };
        let mut word = 0u32;
        for (place, byte) in group.iter().enumerate() {
            let bits = if place < kept_digits {
                u32::from(digit(*byte)?)
            } else {
                0
            };
            word = word << 6 | bits;
        }
        decoded.extend(&word.to_be_bytes()[1..kept_digits]);
    }
    Some(decoded)
}
