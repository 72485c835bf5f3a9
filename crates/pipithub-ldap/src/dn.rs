//! Distinguished names (RFC 4514), normalised so that equal names have equal texts.

use std::fmt;

use winnow::combinator::{alt, repeat, separated};
use winnow::error::ContextError;
use winnow::prelude::*;
use winnow::token::{any, one_of, take_while};

/// The longest name, in bytes.
pub const MAX_LENGTH: usize = 8192;
/// The most relative distinguished names that a name may have.
pub const MAX_RDNS: usize = 128;
/// The most attributes that a relative distinguished name may have.
const MAX_RDN_ATTRIBUTES: usize = 16;
/// Characters of an invalid text that its error repeats.
const MAX_QUOTED_LENGTH: usize = 80;

/// Why a text is not a distinguished name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("'{text}' is no distinguished name: {reason}")]
pub struct InvalidDn {
    /// The beginning of the text.
    pub text: String,
    /// What is wrong with it.
    pub reason: &'static str,
}

/// A distinguished name: its relative distinguished names (RDNs) from the entry's own to the root's. Each is a text of
/// sorted `type=value` pairs in lower case, with runs of spaces reduced to one (as `caseIgnoreMatch` compares, RFC 4518,
/// with simple case folding).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Dn(Vec<Box<str>>);

impl Dn {
    /// Parses a name; an empty text is the root.
    pub fn parse(text: &str) -> Result<Dn, InvalidDn> {
        let invalid = |reason| InvalidDn {
            text: text.chars().take(MAX_QUOTED_LENGTH).collect(),
            reason,
        };
        if text.len() > MAX_LENGTH {
            return Err(invalid("it is too long"));
        }
        if text.trim().is_empty() {
            return Ok(Dn::default());
        }
        let rdns: Vec<Vec<Attribute>> = separated(1.., rdn, separator(','))
            .parse(text.trim_start_matches(' '))
            .map_err(|_| {
                invalid("parts are 'type=value', set apart by commas, special characters escaped")
            })?;
        if rdns.len() > MAX_RDNS {
            return Err(invalid("it has too many parts"));
        }
        Ok(Dn(rdns.iter().map(|rdn| normalise_rdn(rdn)).collect()))
    }

    /// Whether it is the base itself or lies in its subtree.
    pub fn is_within(&self, base: &Dn) -> bool {
        self.0.len() >= base.0.len() && self.0[self.0.len() - base.0.len()..] == base.0[..]
    }

    /// The number of relative distinguished names.
    pub fn depth(&self) -> usize {
        self.0.len()
    }

    /// The name of the superior entry; `None` for the root.
    pub fn parent(&self) -> Option<Dn> {
        (!self.0.is_empty()).then(|| Dn(self.0[1..].to_vec()))
    }

    /// The relative distinguished name of the entry itself.
    pub fn rdn(&self) -> Option<&str> {
        self.0.first().map(|rdn| &**rdn)
    }

    /// The name after a Modify DN operation (RFC 4511, 4.9): with a new RDN, under a new superior, or both.
    pub fn moved(&self, rdn: Option<&Dn>, superior: Option<&Dn>) -> Dn {
        let mut rdns: Vec<Box<str>> = Vec::new();
        match rdn {
            Some(rdn) => rdns.extend(rdn.0.iter().cloned()),
            None => rdns.extend(self.0.first().cloned()),
        }
        match superior {
            Some(superior) => rdns.extend(superior.0.iter().cloned()),
            None => rdns.extend(self.0.iter().skip(1).cloned()),
        }
        Dn(rdns)
    }
}

impl fmt::Display for Dn {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.join(","))
    }
}

/// Converts to lower case and reduces each run of spaces to one.
pub fn fold(text: &str) -> String {
    let mut folded = String::with_capacity(text.len());
    for word in text.split(' ').filter(|word| !word.is_empty()) {
        if !folded.is_empty() {
            folded.push(' ');
        }
        folded.extend(word.chars().flat_map(char::to_lowercase));
    }
    folded
}

/// Escapes a value for a name (RFC 4514, 2.4).
pub fn escaped(value: &str) -> String {
    let mut escaped = String::with_capacity(value.len());
    let last = value.chars().count().saturating_sub(1);
    for (index, c) in value.chars().enumerate() {
        match c {
            '"' | '+' | ',' | ';' | '<' | '>' | '\\' | '=' => escaped.extend(['\\', c]),
            '#' if index == 0 => escaped.push_str("\\#"),
            ' ' if index == 0 || index == last => escaped.push_str("\\20"),
            '\0' => escaped.push_str("\\00"),
            _ => escaped.push(c),
        }
    }
    escaped
}

/// An attribute type with a value: one pair of a relative distinguished name.
struct Attribute {
    attribute_type: String,
    value: String,
}

fn normalise_rdn(attributes: &[Attribute]) -> Box<str> {
    let mut pairs: Vec<String> = attributes
        .iter()
        .map(|attribute| {
            let value = escaped(&fold(&attribute.value));
            format!("{}={value}", fold(&attribute.attribute_type))
        })
        .collect();
    pairs.sort();
    pairs.join("+").into_boxed_str()
}

/// A separator with the spaces around it, which older writers of names add.
fn separator(c: char) -> impl FnMut(&mut &str) -> Result<(), ContextError> {
    move |input| {
        (take_while(0.., ' '), c, take_while(0.., ' '))
            .void()
            .parse_next(input)
    }
}

fn rdn(input: &mut &str) -> Result<Vec<Attribute>, ContextError> {
    separated(1..=MAX_RDN_ATTRIBUTES, attribute, separator('+')).parse_next(input)
}

fn attribute(input: &mut &str) -> Result<Attribute, ContextError> {
    let attribute_type: &str = take_while(1.., |c: char| {
        c.is_ascii_alphanumeric() || c == '-' || c == '.'
    })
    .parse_next(input)?;
    separator('=')(input)?;
    let value = alt((hex_string, value)).parse_next(input)?;
    Ok(Attribute {
        attribute_type: attribute_type.to_string(),
        value,
    })
}

/// `#` and the BER encoding of the value in hexadecimal; it stays as it is written.
fn hex_string(input: &mut &str) -> Result<String, ContextError> {
    ('#', take_while(2.., |c: char| c.is_ascii_hexdigit()))
        .take()
        .map(str::to_string)
        .parse_next(input)
}

/// A value, its escapes decoded.
fn value(input: &mut &str) -> Result<String, ContextError> {
    let mut bytes: Vec<u8> = repeat(0.., character)
        .fold(Vec::new, |mut all: Vec<u8>, character: Vec<u8>| {
            all.extend(character);
            all
        })
        .parse_next(input)?;
    // Spaces at the end are not part of a value; while it reads, the parser cannot tell which ones are the last.
    while bytes.last() == Some(&b' ') {
        bytes.pop();
    }
    String::from_utf8(bytes).map_err(|_| ContextError::new())
}

/// The bytes of one character of a value, escaped or not.
fn character(input: &mut &str) -> Result<Vec<u8>, ContextError> {
    let escape = ('\\', alt((hex_pair, special)));
    let plain =
        any.verify(|c: &char| !matches!(c, '"' | '+' | ',' | ';' | '<' | '>' | '\\' | '\0'));
    let plain = plain.map(|c: char| c.to_string().into_bytes());
    alt((escape.map(|(_, bytes)| bytes), plain)).parse_next(input)
}

fn hex_pair(input: &mut &str) -> Result<Vec<u8>, ContextError> {
    let hex = take_while(2..=2, |c: char| c.is_ascii_hexdigit()).parse_next(input)?;
    u8::from_str_radix(hex, 16)
        .map(|byte| vec![byte])
        .map_err(|_| ContextError::new())
}

fn special(input: &mut &str) -> Result<Vec<u8>, ContextError> {
    one_of(['"', '+', ',', ';', '<', '>', '\\', ' ', '#', '='])
        .map(|c: char| vec![c as u8])
        .parse_next(input)
}
