//! Searches at a directory's servers: queries, responses, errors, and the searches that are in flight.

use std::collections::HashSet;

use pipithub_ldap::Dn;

use crate::record::{PersonId, User};
use crate::time::Time;

/// Identifies a search; ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SearchId(pub u64);

/// What a search is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Query {
    /// The entries of these users. The server's change number must be read before them, on the same connection.
    Users(Vec<User>),
    /// The state of the server: whether the base of its tree exists, and its change number.
    ServerState,
    /// The entries that were changed since this `modifyTimestamp`. `None` requests no entries, only a timestamp from which
    /// the next poll continues.
    ChangedSince(Option<String>),
}

impl Query {
    /// Whether the response contains only entries of users that were searched for. True for other queries.
    pub(crate) fn is_answered_by(&self, response: &SearchResponse) -> bool {
        let Query::Users(users) = self else {
            return true;
        };
        let requested: HashSet<&User> = users.iter().collect();
        response
            .entries
            .iter()
            .all(|entry| requested.contains(&entry.user))
    }
}

/// A user's entry in a directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryEntry {
    /// The user's name, normalized as by [`pipithub_ldap::dn::fold`], with the realm as users give it.
    pub user: User,
    /// The entry's distinguished name, which determines the tenant.
    pub dn: Dn,
    /// The person that the entry belongs to.
    pub person: PersonId,
}

/// The complete response to a search.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SearchResponse {
    /// The entries that were found.
    pub entries: Vec<DirectoryEntry>,
    /// The number of the newest change in the server's copy before the search; `None` if the server does not report it.
    pub change_number: Option<u64>,
    /// Whether the base of the tree exists. If not, the server may still be loading, and responds that no user exists.
    pub base_exists: bool,
    /// The newest `modifyTimestamp` of the entries, for the next poll; `None` if no entry has one.
    pub newest_modify_timestamp: Option<String>,
}

/// Why a search has no response. `pipithub tenants` prints the texts, which therefore do not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SearchError {
    /// No response came before the deadline.
    #[error("TimedOut")]
    TimedOut,
    /// The server could not be reached, or the connection ended.
    #[error("Lost")]
    ConnectionLost,
    /// The server reports that it cannot respond now, as it is busy, unavailable or at a limit.
    #[error("Unable")]
    Unavailable,
    /// The server rejects the credentials, or they lack the necessary rights.
    #[error("Denied")]
    Denied,
    /// The response does not match the query.
    #[error("Nonsense")]
    InvalidResponse,
    /// The server refers to another server: the directory's server with this index, or `None` if the settings do not have
    /// that server.
    #[error("Elsewhere({0:?})")]
    Referral(Option<usize>),
}

impl SearchError {
    /// Whether the circuit breaker opens at the first such error, because the server's own response shows that it cannot
    /// be used.
    pub(crate) fn opens_breaker(self) -> bool {
        match self {
            SearchError::TimedOut | SearchError::ConnectionLost => false,
            SearchError::Unavailable
            | SearchError::Denied
            | SearchError::InvalidResponse
            | SearchError::Referral(_) => true,
        }
    }
}

/// A search to start.
#[derive(Clone)]
pub(crate) struct SearchRequest {
    pub(crate) directory: usize,
    pub(crate) server: usize,
    pub(crate) query: Query,
    /// The number of earlier searches for the same users that had no result.
    pub(crate) attempts: u8,
}

/// A search that has not ended yet.
pub(crate) struct SearchInFlight {
    pub(crate) request: SearchRequest,
    pub(crate) started_at: Time,
    pub(crate) deadline: Time,
    /// When the search is hedged at a second server; `None` if it was hedged already or must not be.
    pub(crate) hedge_at: Option<Time>,
    /// The other search for the same users, if one of the two is a hedge of the other.
    pub(crate) hedge_partner: Option<SearchId>,
}
