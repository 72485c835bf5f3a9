//! Distinguished names (RFC 4514), normalised so that equal names are equal texts.

use std::fmt;

use winnow::combinator::{alt, repeat, separated};
use winnow::error::ContextError;
use winnow::prelude::*;
use winnow::token::{any, one_of, take_while};

/// Bytes that a name may have.
pub const MAX_LENGTH: usize = 8192;
/// Parts that a name may have.
pub const MAX_RDNS: usize = 128;

/// Why a text is no name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("'{text}' is no distinguished name: {reason}")]
pub struct InvalidDn {
    /// Its beginning.
    pub text: String,
    /// What is wrong.
    pub reason: &'static str,
}

/// A name: its parts from the innermost to the root, each as sorted `type=value` pairs, types and values in lower case,
/// inner spaces run together (as `caseIgnoreMatch` compares, RFC 4518, in ASCII and simple case folding).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Dn(Vec<Box<str>>);

impl Dn {
    /// Reads a name.
    pub fn parse(text: &str) -> Result<Dn, InvalidDn> {
        let invalid = |reason| InvalidDn {
            text: text.chars().take(80).collect(),
            reason,
        };
        if text.len() > MAX_LENGTH {
            return Err(invalid("it is too long"));
        }
        if text.trim().is_empty() {
            return Ok(Dn::default());
        }
        let parts: Vec<Vec<(String, String)>> = separated(1.., rdn, separator(','))
            .parse(text.trim_start_matches(' '))
            .map_err(|_| {
                invalid("parts are 'type=value', set apart by commas, special characters escaped")
            })?;
        if parts.len() > MAX_RDNS {
            return Err(invalid("it has too many parts"));
        }
        let part = |pairs: Vec<(String, String)>| {
            let mut pairs: Vec<String> = pairs
                .iter()
                .map(|(t, v)| format!("{}={}", fold(t), escaped(&fold(v))))
                .collect();
            pairs.sort();
            pairs.join("+").into_boxed_str()
        };
        Ok(Dn(parts.into_iter().map(part).collect()))
    }

    /// Whether it is the other name or lies below it.
    pub fn is_within(&self, base: &Dn) -> bool {
        self.0.len() >= base.0.len() && self.0[self.0.len() - base.0.len()..] == base.0[..]
    }

    /// Number of parts.
    pub fn depth(&self) -> usize {
        self.0.len()
    }

    /// The name above it.
    pub fn parent(&self) -> Option<Dn> {
        (!self.0.is_empty()).then(|| Dn(self.0[1..].to_vec()))
    }

    /// Its innermost part.
    pub fn rdn(&self) -> Option<&str> {
        self.0.first().map(|p| &**p)
    }

    /// The same innermost part under another name, or a new part there.
    pub fn moved(&self, rdn: Option<&Dn>, superior: Option<&Dn>) -> Dn {
        let mut parts: Vec<Box<str>> = Vec::new();
        match rdn {
            Some(rdn) => parts.extend(rdn.0.iter().cloned()),
            None => parts.extend(self.0.first().cloned()),
        }
        match superior {
            Some(superior) => parts.extend(superior.0.iter().cloned()),
            None => parts.extend(self.0.iter().skip(1).cloned()),
        }
        Dn(parts)
    }
}

impl fmt::Display for Dn {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.join(","))
    }
}

/// Folds case and runs of spaces.
pub fn fold(text: &str) -> String {
    let mut folded = String::with_capacity(text.len());
    for word in text.split(' ').filter(|w| !w.is_empty()) {
        if !folded.is_empty() {
            folded.push(' ');
        }
        folded.extend(word.chars().flat_map(char::to_lowercase));
    }
    folded
}

/// A value as it may stand in a name (RFC 4514, 2.4).
pub fn escaped(value: &str) -> String {
    let mut escaped = String::with_capacity(value.len());
    let last = value.chars().count().saturating_sub(1);
    for (n, c) in value.chars().enumerate() {
        match c {
            '"' | '+' | ',' | ';' | '<' | '>' | '\\' | '=' => escaped.extend(['\\', c]),
            '#' if n == 0 => escaped.push_str("\\#"),
            ' ' if n == 0 || n == last => escaped.push_str("\\20"),
            '\0' => escaped.push_str("\\00"),
            _ => escaped.push(c),
        }
    }
    escaped
}

fn separator(c: char) -> impl FnMut(&mut &str) -> Result<(), ContextError> {
    move |input| {
        (take_while(0.., ' '), c, take_while(0.., ' '))
            .void()
            .parse_next(input)
    }
}

fn rdn(input: &mut &str) -> Result<Vec<(String, String)>, ContextError> {
    separated(1..=16, attribute, separator('+')).parse_next(input)
}

fn attribute(input: &mut &str) -> Result<(String, String), ContextError> {
    let attribute_type: &str = take_while(1.., |c: char| {
        c.is_ascii_alphanumeric() || c == '-' || c == '.'
    })
    .parse_next(input)?;
    separator('=')(input)?;
    let value = alt((hex_string, value)).parse_next(input)?;
    Ok((attribute_type.to_string(), value))
}

/// `#` and the BER encoding in hexadecimal; kept as it is written.
fn hex_string(input: &mut &str) -> Result<String, ContextError> {
    ('#', take_while(2.., |c: char| c.is_ascii_hexdigit()))
        .take()
        .map(str::to_string)
        .parse_next(input)
}

fn value(input: &mut &str) -> Result<String, ContextError> {
    let mut bytes: Vec<u8> = repeat(0.., segment)
        .fold(Vec::new, |mut all: Vec<u8>, segment: Vec<u8>| {
            all.extend(segment);
            all
        })
        .parse_next(input)?;
    // Spaces at the end that are not escaped do not count; the parser cannot know which were the last.
    while bytes.last() == Some(&b' ') {
        bytes.pop();
    }
    String::from_utf8(bytes).map_err(|_| ContextError::new())
}

/// Bytes of a value: a character as it is, or an escaped one.
fn segment(input: &mut &str) -> Result<Vec<u8>, ContextError> {
    let escape = ('\\', alt((hex_pair, special)));
    let plain =
        any.verify(|c: &char| !matches!(c, '"' | '+' | ',' | ';' | '<' | '>' | '\\' | '\0'));
    let plain = plain.map(|c: char| c.to_string().into_bytes());
    alt((escape.map(|(_, b)| b), plain)).parse_next(input)
}

fn hex_pair(input: &mut &str) -> Result<Vec<u8>, ContextError> {
    let hex = take_while(2..=2, |c: char| c.is_ascii_hexdigit()).parse_next(input)?;
    u8::from_str_radix(hex, 16)
        .map(|b| vec![b])
        .map_err(|_| ContextError::new())
}

fn special(input: &mut &str) -> Result<Vec<u8>, ContextError> {
    one_of(['"', '+', ',', ';', '<', '>', '\\', ' ', '#', '='])
        .map(|c: char| vec![c as u8])
        .parse_next(input)
}
