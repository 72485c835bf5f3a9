//! Filters: built from values for searches, read from an operator's text for settings (RFC 4515).
//!
//! A user's name goes into a filter as a value of its own and never passes through text: whatever characters it has, it
//! can only be compared.

use bytes::Bytes;
use rasn::types::SetOf;
use rasn_ldap::{AttributeValueAssertion, Filter, SubstringChoice, SubstringFilter};
use winnow::combinator::{alt, delimited, repeat};
use winnow::error::ContextError;
use winnow::prelude::*;
use winnow::token::{any, take_while};

/// Filters within each other that a text may have.
const MAX_DEPTH: usize = 16;
/// Bytes that a text may have.
const MAX_LENGTH: usize = 8192;

/// Why a text is no filter.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("'{0}' is no filter as in RFC 4515 of up to {MAX_DEPTH} levels")]
pub struct InvalidFilter(pub String);

/// `attribute=value`.
pub fn equal(attribute: &str, value: &str) -> Filter {
    Filter::EqualityMatch(assertion(attribute, value.as_bytes()))
}

/// `attribute>=value`.
pub fn at_least(attribute: &str, value: &str) -> Filter {
    Filter::GreaterOrEqual(assertion(attribute, value.as_bytes()))
}

/// Everything that has an object class: all entries.
pub fn all() -> Filter {
    Filter::Present("objectClass".into())
}

/// All of these.
pub fn and(filters: Vec<Filter>) -> Filter {
    Filter::And(SetOf::from_vec(filters))
}

/// Any of these names, and the operator's own filter where there is one.
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

/// Reads an operator's filter.
pub fn parse(text: &str) -> Result<Filter, InvalidFilter> {
    let invalid = || InvalidFilter(text.chars().take(80).collect());
    if text.len() > MAX_LENGTH {
        return Err(invalid());
    }
    (|input: &mut &str| filter(input, MAX_DEPTH))
        .parse(text.trim())
        .map_err(|_| invalid())
}

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

fn filter_component(input: &mut &str, depth: usize) -> Result<Filter, ContextError> {
    let list = |input: &mut &str| -> Result<Vec<Filter>, ContextError> {
        repeat(1..=256, |input: &mut &str| filter(input, depth)).parse_next(input)
    };
    match input.chars().next() {
        Some('&') => ('&', list).map(|(_, l)| and(l)).parse_next(input),
        Some('|') => ('|', list)
            .map(|(_, l)| Filter::Or(SetOf::from_vec(l)))
            .parse_next(input),
        Some('!') => {
            let negated = |input: &mut &str| filter(input, depth);
            ('!', negated)
                .map(|(_, f)| Filter::Not(Box::new(f)))
                .parse_next(input)
        }
        _ => item(input),
    }
}

fn item(input: &mut &str) -> Result<Filter, ContextError> {
    let kind = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '.' | ';');
    let attribute: &str = take_while(1.., kind).parse_next(input)?;
    let relation = alt(("=", ">=", "<=", "~=")).parse_next(input)?;
    let segments: Vec<Vec<u8>> =
        winnow::combinator::separated(1..=64, value, '*').parse_next(input)?;
    if segments.len() == 1 {
        let assertion = assertion(attribute, &segments[0]);
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
    if segments.iter().all(Vec::is_empty) {
        return if segments.len() == 2 {
            Ok(Filter::Present(attribute.into()))
        } else {
            Err(ContextError::new())
        };
    }
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
    Ok(Filter::Substrings(SubstringFilter::new(
        attribute.into(),
        choices,
    )))
}

fn value(input: &mut &str) -> Result<Vec<u8>, ContextError> {
    let escape = ('\\', take_while(2..=2, |c: char| c.is_ascii_hexdigit()))
        .verify_map(|(_, hex): (char, &str)| u8::from_str_radix(hex, 16).ok().map(|b| vec![b]));
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
