//! Translates the core's queries to LDAP searches, and the entries of responses to users.

#[cfg(test)]
mod tests;

use std::collections::BTreeSet;

use bytes::Bytes;
use chrono::{DateTime, TimeDelta};
use pipithub_directory::{DirectoryEntry, PersonId, Query};
use pipithub_ldap::client::Entry;
use pipithub_ldap::message::{Filter, SearchRequestScope};
use pipithub_ldap::{Search, dn, filter, sync};
use pipithub_settings::DirectoryConfig;

pub(super) const ENTRY_UUID: &str = "entryUUID";
pub(super) const MODIFY_TIMESTAMP: &str = "modifyTimestamp";
/// Requests no attributes (RFC 4511, 4.5.1.8).
const NO_ATTRIBUTES: &str = "1.1";
/// The number of entries in a page.
const PAGE_SIZE: u32 = 500;
/// The maximum number of user names that are read from one entry.
const MAX_USERS_PER_ENTRY: usize = 16;
/// How far before the present time the first poll for changes begins. It allows for a clock that is an hour ahead, and a
/// little more.
const FIRST_POLL_LOOKBACK: TimeDelta = TimeDelta::seconds(3_600 + 2);
const NANOSECONDS_PER_SECOND: u64 = 1_000_000_000;

/// The search for the state of a server: whether the base of its tree exists, and its change number.
pub(super) fn state_search(directory: &DirectoryConfig) -> Search {
    let mark = directory.change_number_attribute.clone();
    Search {
        base: directory.base.clone(),
        scope: SearchRequestScope::BaseObject,
        filter: filter::all(),
        attributes: vec![mark.unwrap_or_else(|| NO_ATTRIBUTES.into())],
        size_limit: 1,
        time_limit: 0,
        controls: Vec::new(),
    }
}

/// The search for one page of entries, from the page cookie on; `None` if the query needs the server's state only.
pub(super) fn entry_search(
    directory: &DirectoryConfig,
    query: &Query,
    page: Bytes,
) -> Option<Search> {
    let time_limit = u32::try_from(directory.lookups.timeout / NANOSECONDS_PER_SECOND)
        .unwrap_or(0)
        .saturating_add(1);
    Some(Search {
        base: directory.base.clone(),
        scope: SearchRequestScope::WholeSubtree,
        filter: entry_filter(directory, query)?,
        attributes: vec![
            directory.user_attribute.clone(),
            ENTRY_UUID.into(),
            MODIFY_TIMESTAMP.into(),
        ],
        size_limit: 0,
        time_limit,
        controls: vec![sync::paged(PAGE_SIZE, page)],
    })
}

fn entry_filter(directory: &DirectoryConfig, query: &Query) -> Option<Filter> {
    match query {
        Query::ServerState | Query::ChangedSince(None) => None,
        Query::Users(users) => {
            let names = users.iter().map(|user| local_name(directory, user));
            let configured = configured_filter(directory);
            Some(filter::any_of(
                &directory.user_attribute,
                names,
                configured.as_ref(),
            ))
        }
        Query::ChangedSince(Some(since)) => {
            let changed = filter::at_least(MODIFY_TIMESTAMP, since);
            let filters = [configured_filter(directory), Some(changed)];
            Some(filter::and(filters.into_iter().flatten().collect()))
        }
    }
}

/// The search that follows all changes by content synchronization, from the cookie on; `None` requests a full refresh.
pub(super) fn sync_search(directory: &DirectoryConfig, cookie: Option<Bytes>) -> Search {
    let any_user = || Filter::Present(directory.user_attribute.as_str().into());
    Search {
        base: directory.base.clone(),
        scope: SearchRequestScope::WholeSubtree,
        filter: configured_filter(directory).unwrap_or_else(any_user),
        attributes: vec![directory.user_attribute.clone(), ENTRY_UUID.into()],
        size_limit: 0,
        time_limit: 0,
        controls: vec![sync::request(cookie)],
    }
}

/// The directory's filter in the settings.
fn configured_filter(directory: &DirectoryConfig) -> Option<Filter> {
    directory
        .filter
        .as_deref()
        .and_then(|text| filter::parse(text).ok())
}

/// The name by which a directory knows a user: without the realm if the directory has exactly one realm.
fn local_name<'a>(directory: &DirectoryConfig, user: &'a str) -> &'a str {
    match (directory.lookups.realms.len(), user.rsplit_once('@')) {
        (1, Some((name, _))) => name,
        _ => user,
    }
}

/// The name by which requests refer to a user of an entry, folded: with the realm if the directory has exactly one realm.
fn full_name(directory: &DirectoryConfig, name: &str) -> String {
    match &directory.lookups.realms[..] {
        [realm] => format!("{}@{}", dn::fold(name), dn::fold(realm)),
        _ => dn::fold(name),
    }
}

/// Parses the change number of a server's copy from its mark attribute: a `contextCSN`, or a number that only grows.
pub(super) fn parse_change_number(text: &str) -> Option<u64> {
    let digits: String = text
        .split(['Z', '#'])
        .next()?
        .chars()
        .filter(char::is_ascii_digit)
        .collect();
    // A `contextCSN` has a time with microseconds. Without the century it fits into 64 bits.
    if digits.len() >= 20 {
        digits[2..20].parse().ok()
    } else {
        digits.parse().ok()
    }
}

/// The users that an entry names, [`MAX_USERS_PER_ENTRY`] at most. If any of them was requested, only the requested
/// ones are returned.
pub(super) fn users_of_entry(
    directory: &DirectoryConfig,
    entry: &Entry,
    requested: Option<&BTreeSet<&str>>,
) -> Vec<DirectoryEntry> {
    let person = entry
        .text(ENTRY_UUID)
        .map_or(PersonId::default(), |id| PersonId::from_uuid(id.as_bytes()));
    let names = entry
        .values(&directory.user_attribute)
        .filter_map(|value| std::str::from_utf8(value).ok());
    let mut users: Vec<String> = names.map(|name| full_name(directory, name)).collect();
    if let Some(requested) = requested
        && users.iter().any(|user| requested.contains(user.as_str()))
    {
        users.retain(|user| requested.contains(user.as_str()));
    }
    users.truncate(MAX_USERS_PER_ENTRY);
    users
        .into_iter()
        .map(|user| DirectoryEntry {
            user: user.into(),
            dn: entry.dn.clone(),
            person,
        })
        .collect()
}

/// The `modifyTimestamp` from which a directory is first polled for changes, as a generalized time (RFC 4517, 3.3.13).
///
/// It is an hour and two seconds before `wall_ms`, as this machine's wall clock may be ahead of the server's: a start in
/// the server's future would miss every change until then. Entries that are reported without having changed are
/// harmless.
pub fn first_poll_since(wall_ms: u64) -> String {
    let start_ms = i64::try_from(wall_ms)
        .unwrap_or(i64::MAX)
        .saturating_sub(FIRST_POLL_LOOKBACK.num_milliseconds());
    let start = DateTime::from_timestamp_millis(start_ms).unwrap_or_default();
    start.format("%Y%m%d%H%M%SZ").to_string()
}
