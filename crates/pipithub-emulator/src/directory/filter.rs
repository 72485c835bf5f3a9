//! Evaluation of search filters on entries.

use pipithub_ldap::dn;
use pipithub_ldap::message::{Filter, SubstringChoice};

use super::tree::Entry;

impl Entry {
    pub(super) fn matches(&self, filter: &Filter) -> bool {
        match filter {
            Filter::And(all) => all.to_vec().iter().all(|inner| self.matches(inner)),
            Filter::Or(any) => any.to_vec().iter().any(|inner| self.matches(inner)),
            Filter::Not(inner) => !self.matches(inner),
            Filter::Present(name) => {
                name.eq_ignore_ascii_case("objectClass") || !self.values(name).is_empty()
            }
            Filter::EqualityMatch(assertion) | Filter::ApproxMatch(assertion) => {
                let wanted = folded(&assertion.assertion_value);
                self.any_value(&assertion.attribute_desc, |value| value == wanted)
            }
            Filter::GreaterOrEqual(assertion) => {
                let wanted = folded(&assertion.assertion_value);
                self.any_value(&assertion.attribute_desc, |value| value >= wanted.as_str())
            }
            Filter::LessOrEqual(assertion) => {
                let wanted = folded(&assertion.assertion_value);
                self.any_value(&assertion.attribute_desc, |value| value <= wanted.as_str())
            }
            Filter::Substrings(filter) => self.any_value(&filter.r#type, |value| {
                let mut rest = value;
                filter
                    .substrings
                    .iter()
                    .all(|substring| take_substring(&mut rest, substring))
            }),
            _ => false,
        }
    }

    /// Whether the test holds for any value of the attribute. The values are folded for comparison.
    fn any_value(&self, name: &str, test: impl Fn(&str) -> bool) -> bool {
        self.values(name).iter().any(|value| test(&folded(value)))
    }
}

/// Matches a substring against the rest of a value and consumes the rest up to its end; false if there is no match.
fn take_substring(rest: &mut &str, substring: &SubstringChoice) -> bool {
    match substring {
        SubstringChoice::Initial(piece) => match rest.strip_prefix(folded(piece).as_str()) {
            Some(remainder) => {
                *rest = remainder;
                true
            }
            None => false,
        },
        SubstringChoice::Any(piece) => {
            let piece = folded(piece);
            match rest.find(&piece) {
                Some(position) => {
                    *rest = &rest[position + piece.len()..];
                    true
                }
                None => false,
            }
        }
        SubstringChoice::Final(piece) => rest.ends_with(folded(piece).as_str()),
        _ => false,
    }
}

fn folded(value: &[u8]) -> String {
    dn::fold(&String::from_utf8_lossy(value))
}
