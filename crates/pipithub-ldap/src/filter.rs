//! Search filters (RFC 4515): built from values for searches, and parsed from the text in settings.
//!
//! The name of a user is put into a filter as an assertion value and never into filter text, so that no characters of
//! the name can change the filter.

use bytes::Bytes;
use rasn::types::SetOf;
use rasn_ldap::{AttributeValueAssertion, Filter, SubstringChoice, SubstringFilter};
use winnow::combinator::{alt, delimited, repeat, separated};
use winnow::error::ContextError;
use winnow::prelude::*;
use winnow::token::{any, take_while};

/// The maximum nesting of filters in a text.
const MAX_DEPTH: usize = 16;
/// The maximum length of a text, in bytes.
const MAX_LENGTH: usize = 8192;
/// The maximum number of operands of an `and` or `or`.
const MAX_OPERANDS: usize = 256;
/// The maximum number of segments, separated by asterisks, of an assertion value.
const MAX_SEGMENTS: usize = 64;
/// The maximum length of the part of an invalid text that the error quotes, in characters.
const MAX_QUOTED_LENGTH: usize = 80;

/// The text is not a supported filter. The field holds the beginning of the text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("'{0}' is not a filter according to RFC 4515 of up to {MAX_DEPTH} levels")]
pub struct InvalidFilter(pub String);

/// A filter for entries with `attribute=value`.
pub fn equal(attribute: &str, value: &str) -> Filter {
    Filter::EqualityMatch(assertion(attribute, value.as_bytes()))
}

/// A filter for entries with `attribute>=value`.
pub fn at_least(attribute: &str, value: &str) -> Filter {
    Filter::GreaterOrEqual(assertion(attribute, value.as_bytes()))
}

/// A filter that matches every entry, since every entry has an object class.
pub fn all() -> Filter {
    Filter::Present("objectClass".into())
}

/// A filter for entries that match all of `filters`.
pub fn and(filters: Vec<Filter>) -> Filter {
    Filter::And(SetOf::from_vec(filters))
}

/// A filter for entries that have any of `names` as a value of `attribute` and that match the filter `extra`, if there is
/// one.
pub fn any_of<'a>(
    attribute: &str,
    names: impl Iterator<Item = &'a str>,
    extra: Option<&Filter>,
) -> Filter {
    let mut names: Vec<Filter> = names.map(|name| equal(attribute, name)).collect();
    let names = if names.len() == 1 {
        names.remove(0)
    } else {
        Filter::Or(SetOf::from_vec(names))
    };
    match extra {
        Some(extra) => and(vec![extra.clone(), names]),
        None => names,
    }
}

fn assertion(attribute: &str, value: &[u8]) -> AttributeValueAssertion {
    AttributeValueAssertion::new(attribute.into(), Bytes::copy_from_slice(value).into())
}

/// Parses a filter. Extensible matches are not supported.
///
/// # Errors
/// The text is not a filter, or exceeds a limit on its length, nesting or number of operands.
pub fn parse(text: &str) -> Result<Filter, InvalidFilter> {
    let invalid = || InvalidFilter(text.chars().take(MAX_QUOTED_LENGTH).collect());
    if text.len() > MAX_LENGTH {
        return Err(invalid());
    }
    (|input: &mut &str| filter(input, MAX_DEPTH))
        .parse(text.trim())
        .map_err(|_| invalid())
}

/// Parses the rule `filter` of RFC 4515, with at most `depth` levels of nesting.
fn filter(input: &mut &str, depth: usize) -> Result<Filter, ContextError> {
    if depth == 0 {
        return Err(ContextError::new());
    }
    delimited(
        '(',
        |input: &mut &str| filter_component(input, depth - 1),
        ')',
    )
    .parse_next(input)
}

/// Parses the rule `filtercomp` of RFC 4515. Its operands have at most `depth` levels of nesting.
fn filter_component(input: &mut &str, depth: usize) -> Result<Filter, ContextError> {
    let list = |input: &mut &str| -> Result<Vec<Filter>, ContextError> {
        repeat(1..=MAX_OPERANDS, |input: &mut &str| filter(input, depth)).parse_next(input)
    };
    match input.chars().next() {
        Some('&') => ('&', list)
            .map(|(_, operands)| and(operands))
            .parse_next(input),
        Some('|') => ('|', list)
            .map(|(_, operands)| Filter::Or(SetOf::from_vec(operands)))
            .parse_next(input),
        Some('!') => {
            let negated = |input: &mut &str| filter(input, depth);
            ('!', negated)
                .map(|(_, operand)| Filter::Not(Box::new(operand)))
                .parse_next(input)
        }
        _ => item(input),
    }
}

/// Parses the rule `item` of RFC 4515, without extensible matches.
fn item(input: &mut &str) -> Result<Filter, ContextError> {
    let is_attribute = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '.' | ';');
    let attribute: &str = take_while(1.., is_attribute).parse_next(input)?;
    let relation = alt(("=", ">=", "<=", "~=")).parse_next(input)?;
    let segments: Vec<Vec<u8>> = separated(1..=MAX_SEGMENTS, value, '*').parse_next(input)?;
    if let [value] = &segments[..] {
        let assertion = assertion(attribute, value);
        return Ok(match relation {
            ">=" => Filter::GreaterOrEqual(assertion),
            "<=" => Filter::LessOrEqual(assertion),
            "~=" => Filter::ApproxMatch(assertion),
            _ => Filter::EqualityMatch(assertion),
        });
    }
    if relation != "=" {
        return Err(ContextError::new());
    }
    if !segments.iter().all(Vec::is_empty) {
        return Ok(substrings(attribute, segments));
    }
    // `attribute=*` is a presence filter; several asterisks without text between them are invalid.
    if segments.len() == 2 {
        Ok(Filter::Present(attribute.into()))
    } else {
        Err(ContextError::new())
    }
}

/// A substring filter with the segments between asterisks. The first or last segment is empty if the value begins or ends
/// with an asterisk.
fn substrings(attribute: &str, segments: Vec<Vec<u8>>) -> Filter {
    let last = segments.len() - 1;
    let choice = |(index, segment): (usize, Vec<u8>)| match index {
        _ if segment.is_empty() => None,
        0 => Some(SubstringChoice::Initial(segment.into())),
        index if index == last => Some(SubstringChoice::Final(segment.into())),
        _ => Some(SubstringChoice::Any(segment.into())),
    };
    let choices = segments
        .into_iter()
        .enumerate()
        .filter_map(choice)
        .collect();
    Filter::Substrings(SubstringFilter::new(attribute.into(), choices))
}

/// Parses an assertion value, or a segment of one, and decodes its escapes.
fn value(input: &mut &str) -> Result<Vec<u8>, ContextError> {
    let escape = ('\\', take_while(2..=2, |c: char| c.is_ascii_hexdigit())).verify_map(
        |(_, hex): (char, &str)| u8::from_str_radix(hex, 16).ok().map(|byte| vec![byte]),
    );
    let plain = any
        .verify(|c: &char| !matches!(c, '(' | ')' | '*' | '\\' | '\0'))
        .map(|c: char| c.to_string().into_bytes());
    repeat(0.., alt((escape, plain)))
        .fold(Vec::new, |mut all: Vec<u8>, segment: Vec<u8>| {
            all.extend(segment);
            all
        })
        .parse_next(input)
}
