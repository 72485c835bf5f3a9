//! One search of the core that is in flight on a connection.

use std::collections::BTreeSet;

use bytes::Bytes;
use pipithub_clock::wall_ms;
use pipithub_directory::{Query, SearchError, SearchResponse};
use pipithub_ldap::client::Entry;
use pipithub_ldap::message::ResultCode;
use pipithub_ldap::{Client, Outcome, SearchId as LdapSearchId};
use pipithub_settings::DirectoryConfig;

use super::searches::{
    MODIFY_TIMESTAMP, entry_search, first_poll_since, parse_change_number, state_search,
    users_of_entry,
};

/// The maximum number of entries in a response; with more, it cannot be a response to the query.
const MAX_ENTRIES: usize = 100_000;

/// A search of the core, made by two LDAP searches: one for the server's state, then one for the entries, page by page.
pub(super) struct PendingSearch {
    query: Query,
    /// The search for the server's state, until it has ended.
    state_search: Option<LdapSearchId>,
    /// The search for the present page of entries; `None` if it has ended, or if the query needs no entries.
    entry_search: Option<LdapSearchId>,
    response: SearchResponse,
    /// The number of entries received so far.
    entries: usize,
}

impl PendingSearch {
    /// Begins both LDAP searches; `None` if the client has as many searches in flight as it may have.
    pub(super) fn begin(
        directory: &DirectoryConfig,
        client: &mut Client,
        query: Query,
    ) -> Option<Self> {
        let state_id = client.search(state_search(directory))?;
        let mut entry_id = None;
        if let Some(search) = entry_search(directory, &query, Bytes::new()) {
            entry_id = client.search(search);
            if entry_id.is_none() {
                client.abandon(state_id);
                return None;
            }
        }
        let newest_modify_timestamp =
            matches!(query, Query::ChangedSince(None)).then(|| first_poll_since(wall_ms()));
        Some(PendingSearch {
            query,
            state_search: Some(state_id),
            entry_search: entry_id,
            response: SearchResponse {
                newest_modify_timestamp,
                ..SearchResponse::default()
            },
            entries: 0,
        })
    }

    /// Whether an LDAP search that is in flight belongs to this search.
    pub(super) fn has(&self, id: LdapSearchId) -> bool {
        self.state_search == Some(id) || self.entry_search == Some(id)
    }

    /// Whether both LDAP searches have ended.
    pub(super) fn is_complete(&self) -> bool {
        self.state_search.is_none() && self.entry_search.is_none()
    }

    /// The response to the query, as far as it was received.
    pub(super) fn into_response(self) -> SearchResponse {
        self.response
    }

    /// Abandons the LDAP searches that are still in flight.
    pub(super) fn abandon(&self, client: &mut Client) {
        for id in [self.state_search, self.entry_search].into_iter().flatten() {
            client.abandon(id);
        }
    }

    /// Handles an entry of one of its LDAP searches. Fails if the response has too many entries.
    pub(super) fn handle_entry(
        &mut self,
        directory: &DirectoryConfig,
        id: LdapSearchId,
        entry: &Entry,
    ) -> Result<(), SearchError> {
        self.entries += 1;
        if self.entries > MAX_ENTRIES {
            return Err(SearchError::InvalidResponse);
        }
        if self.state_search == Some(id) {
            self.handle_base_entry(directory, entry);
        } else {
            self.handle_user_entry(directory, entry);
        }
        Ok(())
    }

    fn handle_base_entry(&mut self, directory: &DirectoryConfig, entry: &Entry) {
        self.response.base_exists = true;
        let marks = directory
            .change_number_attribute
            .iter()
            .flat_map(|attribute| entry.values(attribute));
        self.response.change_number = marks
            .filter_map(|value| parse_change_number(std::str::from_utf8(value).ok()?))
            .max();
    }

    fn handle_user_entry(&mut self, directory: &DirectoryConfig, entry: &Entry) {
        let requested: Option<BTreeSet<&str>> = match &self.query {
            Query::Users(users) => Some(users.iter().map(|user| &**user).collect()),
            _ => None,
        };
        let changed = entry.text(MODIFY_TIMESTAMP).filter(|_| requested.is_none());
        if let Some(changed) = changed {
            self.response.newest_modify_timestamp =
                Some(changed.to_string()).max(self.response.newest_modify_timestamp.take());
        }
        let users = users_of_entry(directory, entry, requested.as_ref());
        self.response.entries.extend(users);
    }

    /// Handles the end of one of its LDAP searches, and begins the next page if there is one.
    pub(super) fn handle_done(
        &mut self,
        directory: &DirectoryConfig,
        client: &mut Client,
        id: LdapSearchId,
        outcome: &Outcome,
    ) -> Result<(), SearchError> {
        check_result(directory, outcome)?;
        if self.state_search == Some(id) {
            self.state_search = None;
            return Ok(());
        }
        self.entry_search = None;
        let cookie = outcome.page.clone().filter(|cookie| !cookie.is_empty());
        if let Some(cookie) = cookie
            && let Some(next) = entry_search(directory, &self.query, cookie)
        {
            self.entry_search = Some(client.search(next).ok_or(SearchError::Unavailable)?);
        }
        Ok(())
    }
}

/// Maps the result code of an LDAP search to the core's errors.
fn check_result(directory: &DirectoryConfig, outcome: &Outcome) -> Result<(), SearchError> {
    match outcome.code {
        ResultCode::Success => Ok(()),
        // The base of the tree does not exist: `base_exists` stays false in the response.
        ResultCode::NoSuchObject => Ok(()),
        ResultCode::Referral => {
            let mut urls = outcome.referrals.iter();
            let server = urls.find_map(|url| server_of_url(directory, url));
            Err(SearchError::Referral(server))
        }
        ResultCode::InsufficientAccessRights
        | ResultCode::InvalidCredentials
        | ResultCode::StrongerAuthRequired
        | ResultCode::ConfidentialityRequired => Err(SearchError::Denied),
        _ => Err(SearchError::Unavailable),
    }
}

/// The index of the directory's server that a referral's URL names; `None` if the settings do not have it.
fn server_of_url(directory: &DirectoryConfig, url: &str) -> Option<usize> {
    let rest = url
        .strip_prefix("ldap://")
        .or(url.strip_prefix("ldaps://"))?;
    let host = rest.split(['/', '?']).next()?;
    directory
        .servers
        .iter()
        .position(|server| server.address == host)
}
