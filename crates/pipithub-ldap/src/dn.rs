//! Distinguished names (RFC 4514) in a normalized form, in which equal names are equal strings.

use std::fmt;

use winnow::combinator::{alt, repeat, separated};
use winnow::error::ContextError;
use winnow::prelude::*;
use winnow::token::{any, one_of, take_while};

/// The maximum length of the text of a name, in bytes.
pub const MAX_LENGTH: usize = 8192;
/// The maximum number of relative distinguished names in a name.
pub const MAX_RDNS: usize = 128;
/// The maximum number of attributes in a relative distinguished name.
const MAX_RDN_ATTRIBUTES: usize = 16;
/// The maximum length of the part of an invalid text that the error quotes, in characters.
const MAX_QUOTED_LENGTH: usize = 80;

/// The text is not a distinguished name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("'{text}' is not a distinguished name: {reason}")]
pub struct InvalidDn {
    /// The beginning of the text.
    pub text: String,
    /// The error in it.
    pub reason: InvalidDnReason,
}

/// The error in a text that is not a distinguished name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidDnReason {
    /// It has more than [`MAX_LENGTH`] bytes.
    #[error("it is too long")]
    TooLong,
    /// It has more than [`MAX_RDNS`] relative distinguished names.
    #[error("it has too many parts")]
    TooManyRdns,
    /// It does not follow the grammar of RFC 4514.
    #[error("expected 'type=value' parts, separated by commas, with special characters escaped")]
    Syntax,
}

/// A distinguished name: a list of relative distinguished names (RDNs), from the RDN of the entry to the one next to the
/// root. Each RDN is normalized: its `type=value` pairs are sorted and in lower case, with single spaces, as
/// `caseIgnoreMatch` compares values (RFC 4518, with simple case folding).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Dn(Vec<Box<str>>);

impl Dn {
    /// Parses a name. An empty text is the name of the root.
    ///
    /// # Errors
    /// The text is not a distinguished name, or exceeds [`MAX_LENGTH`] or [`MAX_RDNS`].
    pub fn parse(text: &str) -> Result<Dn, InvalidDn> {
        let invalid = |reason| InvalidDn {
            text: text.chars().take(MAX_QUOTED_LENGTH).collect(),
            reason,
        };
        if text.len() > MAX_LENGTH {
            return Err(invalid(InvalidDnReason::TooLong));
        }
        if text.trim().is_empty() {
            return Ok(Dn::default());
        }
        let rdns: Vec<Vec<Attribute>> = separated(1.., rdn, separator(','))
            .parse(text.trim_start_matches(' '))
            .map_err(|_| invalid(InvalidDnReason::Syntax))?;
        if rdns.len() > MAX_RDNS {
            return Err(invalid(InvalidDnReason::TooManyRdns));
        }
        Ok(Dn(rdns.iter().map(|rdn| normalize_rdn(rdn)).collect()))
    }

    /// Whether the entry is `base` itself or in its subtree.
    pub fn is_within(&self, base: &Dn) -> bool {
        self.0.len() >= base.0.len() && self.0[self.0.len() - base.0.len()..] == base.0[..]
    }

    /// The number of relative distinguished names; 0 for the root.
    pub fn depth(&self) -> usize {
        self.0.len()
    }

    /// The name of the superior entry; `None` for the root.
    pub fn parent(&self) -> Option<Dn> {
        (!self.0.is_empty()).then(|| Dn(self.0[1..].to_vec()))
    }

    /// The relative distinguished name of the entry; `None` for the root.
    pub fn rdn(&self) -> Option<&str> {
        self.0.first().map(|rdn| &**rdn)
    }

    /// The name of the entry after a Modify DN operation (RFC 4511, 4.9), with a new RDN, a new superior entry, or
    /// both.
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

/// Normalizes a value: lower case, single spaces, and no spaces at the beginning and the end.
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

/// Escapes the special characters of a value, for use in the text of a name (RFC 4514, 2.4).
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

/// An attribute type with its value, a part of a relative distinguished name.
struct Attribute {
    attribute_type: String,
    value: String,
}

/// The normalized text of a relative distinguished name.
fn normalize_rdn(attributes: &[Attribute]) -> Box<str> {
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

/// Parses a separator with optional spaces around it, which some older software writes in names.
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

/// Parses a value in the form of `#` and its BER encoding in hexadecimal digits, which is not decoded.
fn hex_string(input: &mut &str) -> Result<String, ContextError> {
    ('#', take_while(2.., |c: char| c.is_ascii_hexdigit()))
        .take()
        .map(str::to_string)
        .parse_next(input)
}

/// Parses a value and decodes its escapes.
fn value(input: &mut &str) -> Result<String, ContextError> {
    let mut bytes: Vec<u8> = repeat(0.., character)
        .fold(Vec::new, |mut all: Vec<u8>, character: Vec<u8>| {
            all.extend(character);
            all
        })
        .parse_next(input)?;
    // Trailing spaces are not part of the value. Only at its end is it clear which spaces are trailing.
    while bytes.last() == Some(&b' ') {
        bytes.pop();
    }
    String::from_utf8(bytes).map_err(|_| ContextError::new())
}

/// Parses a character of a value, which may be escaped, into its bytes.
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
