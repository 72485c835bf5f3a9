//! LDIF content records (RFC 2849): trees for stand-ins and for checks by hand.

use crate::dn::Dn;

/// Bytes that a file may have.
const MAX_LENGTH: usize = 256 << 20;

/// A line that is not as LDIF has it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {reason}")]
pub struct InvalidLdif {
    /// Which, from 1.
    pub line: usize,
    /// What is wrong.
    pub reason: String,
}

/// An entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its name.
    pub dn: Dn,
    /// Its name as written.
    pub written: String,
    /// Attributes and values in their order.
    pub attributes: Vec<(String, Vec<u8>)>,
}

/// Reads all entries of a file. Values by URL (`:<`) are refused: a tree must not have other files read.
pub fn read(text: &str) -> Result<Vec<Record>, InvalidLdif> {
    if text.len() > MAX_LENGTH {
        return Err(InvalidLdif {
            line: 1,
            reason: format!("a file has up to {MAX_LENGTH} bytes"),
        });
    }
    let mut lines: Vec<(usize, String)> = Vec::new();
    for (n, line) in text.lines().enumerate() {
        let line = line.strip_suffix('\r').unwrap_or(line);
        match (line.strip_prefix(' '), lines.last_mut()) {
            // A line that begins with a space goes on with the one before it; a comment may go on too.
            (Some(rest), Some((_, before))) if !before.is_empty() => before.push_str(rest),
            (Some(_), _) => {
                return Err(InvalidLdif {
                    line: n + 1,
                    reason: "nothing to go on with".into(),
                });
            }
            (None, _) => lines.push((n + 1, line.to_string())),
        }
    }
    lines.retain(|(_, l)| !l.starts_with('#'));
    let mut records: Vec<Record> = Vec::new();
    let mut in_record = false;
    for (number, line) in lines {
        let invalid = |reason: String| InvalidLdif {
            line: number,
            reason,
        };
        if line.is_empty() {
            in_record = false;
            continue;
        }
        let (name, rest) = line
            .split_once(':')
            .ok_or_else(|| invalid("neither 'name: value' nor empty".into()))?;
        let value = match (rest.strip_prefix(':'), rest.strip_prefix('<')) {
            (Some(encoded), _) => {
                decode_base64(encoded.trim()).ok_or_else(|| invalid("no base64".into()))?
            }
            (_, Some(_)) => return Err(invalid("values by URL are not read".into())),
            _ => rest.trim_start_matches(' ').as_bytes().to_vec(),
        };
        if name.eq_ignore_ascii_case("version") && records.is_empty() {
            if value != b"1" {
                return Err(invalid("version 1 is read".into()));
            }
            continue;
        }
        if in_record {
            if name.eq_ignore_ascii_case("changetype") {
                return Err(invalid("records of changes are not read".into()));
            }
            if let Some(record) = records.last_mut() {
                record.attributes.push((name.to_string(), value));
            }
            continue;
        }
        if !name.eq_ignore_ascii_case("dn") {
            return Err(invalid(format!(
                "an entry begins with 'dn', not with '{name}'"
            )));
        }
        let written = String::from_utf8(value).map_err(|_| invalid("a name is UTF-8".into()))?;
        let dn = Dn::parse(&written).map_err(|e| invalid(e.to_string()))?;
        records.push(Record {
            dn,
            written,
            attributes: Vec::new(),
        });
        in_record = true;
    }
    Ok(records)
}

/// Decodes base64 (RFC 4648, 4), padding needed.
fn decode_base64(text: &str) -> Option<Vec<u8>> {
    let digit = |b: u8| match b {
        b'A'..=b'Z' => Some(b - b'A'),
        b'a'..=b'z' => Some(b - b'a' + 26),
        b'0'..=b'9' => Some(b - b'0' + 52),
        b'+' => Some(62),
        b'/' => Some(63),
        _ => None,
    };
    let bytes = text.as_bytes();
    if !bytes.len().is_multiple_of(4) {
        return None;
    }
    let padding = bytes.iter().rev().take_while(|b| **b == b'=').count();
    if padding > 2 {
        return None;
    }
    let mut decoded = Vec::with_capacity(bytes.len() / 4 * 3);
    for (n, group) in bytes.chunks(4).enumerate() {
        let last = (n + 1) * 4 == bytes.len();
        let keep = if last { 4 - padding } else { 4 };
        let mut word = 0u32;
        for (at, b) in group.iter().enumerate() {
            word = word << 6 | if at < keep { u32::from(digit(*b)?) } else { 0 };
        }
        decoded.extend(&word.to_be_bytes()[1..keep]);
    }
    Some(decoded)
}
