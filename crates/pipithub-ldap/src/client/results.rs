//! The results of searches, and their conversion from the server's messages.

use bytes::Bytes;
use rasn_ldap::{Control, LdapResult, PartialAttribute, ResultCode, SearchResultEntry};

use crate::Dn;
use crate::dn::InvalidDn;
use crate::sync::{self, DoneValue, StateValue};

/// The maximum length of a server's diagnostic message, in characters; the rest is cut off.
const MAX_DIAGNOSTIC_LENGTH: usize = 200;
/// The maximum number of referrals of a result; further ones are dropped.
const MAX_REFERRALS: usize = 16;

/// An attribute of an entry with its values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attribute {
    /// The attribute description, as the server sent it.
    pub name: String,
    /// The values, in the order in which the server sent them.
    pub values: Vec<Bytes>,
}

/// An entry that a search returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The distinguished name of the entry.
    pub dn: Dn,
    /// The requested attributes that the entry has.
    pub attributes: Vec<Attribute>,
    /// The sync state control: how the entry differs from the client's copy. `None` if the search is not a content
    /// synchronization.
    pub state: Option<StateValue>,
}

impl Entry {
    /// The values of the attribute of this name, which is compared without regard to case.
    pub fn values(&self, name: &str) -> impl Iterator<Item = &[u8]> {
        self.attributes
            .iter()
            .filter(move |attribute| attribute.name.eq_ignore_ascii_case(name))
            .flat_map(|attribute| attribute.values.iter().map(|value| &value[..]))
    }

    /// The first value of the attribute of this name that is UTF-8; `None` if there is none.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.values(name)
            .find_map(|value| std::str::from_utf8(value).ok())
    }
}

/// The result of a search.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// The result code that the server sent.
    pub code: ResultCode,
    /// The server's diagnostic message, cut to 200 characters.
    pub message: String,
    /// The URLs of other servers that have the entries, at most 16.
    pub referrals: Vec<String>,
    /// The cookie of the next page: empty after the last page, `None` if the results are not paged.
    pub page: Option<Bytes>,
    /// The sync done control; `None` if the search was not a content synchronization.
    pub sync: Option<DoneValue>,
}

pub(super) fn read_entry(
    result: &SearchResultEntry,
    controls: Option<&Vec<Control>>,
) -> Result<Entry, InvalidDn> {
    Ok(Entry {
        dn: Dn::parse(&result.object_name.0)?,
        attributes: result.attributes.iter().map(read_attribute).collect(),
        state: sync::read_state(controls),
    })
}

fn read_attribute(attribute: &PartialAttribute) -> Attribute {
    let values = attribute.vals.to_vec();
    Attribute {
        name: attribute.r#type.0.clone(),
        values: values
            .into_iter()
            .map(|value| Bytes::copy_from_slice(value))
            .collect(),
    }
}

pub(super) fn read_outcome(result: LdapResult, controls: Option<&Vec<Control>>) -> Outcome {
    Outcome {
        code: result.result_code,
        message: result
            .diagnostic_message
            .0
            .chars()
            .take(MAX_DIAGNOSTIC_LENGTH)
            .collect(),
        referrals: result
            .referral
            .unwrap_or_default()
            .into_iter()
            .map(|url| url.0)
            .take(MAX_REFERRALS)
            .collect(),
        page: sync::read_paged(controls).map(|paged| paged.cookie),
        sync: sync::read_done(controls),
    }
}
