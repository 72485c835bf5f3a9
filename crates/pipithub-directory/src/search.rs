//! Searches at a directory's servers: what is searched for, what comes back, and those that are in flight.

use std::collections::HashSet;

use pipithub_ldap::Dn;

use crate::record::{PersonId, User};
use crate::time::Time;

/// Identifies a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SearchId(pub u64);

/// What is searched for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Query {
    /// These users. The server's change number is to be read before them, on the same connection.
    Users(Vec<User>),
    /// The server's state: whether the base of its tree exists, and its change number.
    ServerState,
    /// What was changed since this `modifyTimestamp`; `None`: how far its timestamps have come.
    ChangedSince(Option<String>),
}

impl Query {
    /// Whether a response holds no entry of a user that was not searched for.
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
    /// The user's name, folded, with the realm as users give it.
    pub user: User,
    /// The entry's distinguished name.
    pub dn: Dn,
    /// Whose entry it is.
    pub person: PersonId,
}

/// A complete response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SearchResponse {
    /// The entries that were found.
    pub entries: Vec<DirectoryEntry>,
    /// The newest change that the server's copy held before it searched, where the server gives it.
    pub change_number: Option<u64>,
    /// The base of the tree exists. A server that is still loading responds that no user exists.
    pub base_exists: bool,
    /// The newest `modifyTimestamp` of the entries.
    pub newest_modify_timestamp: Option<String>,
}

/// Why a search has no response. The texts are part of what `pipithub tenants` prints, and stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SearchError {
    /// None came in time.
    #[error("TimedOut")]
    TimedOut,
    /// The server could not be reached, or the connection ended.
    #[error("Lost")]
    ConnectionLost,
    /// The server reports that it cannot respond now: busy, unavailable, limits.
    #[error("Unable")]
    Unavailable,
    /// The server denies the bind or the rights.
    #[error("Denied")]
    Denied,
    /// The response does not fit the query.
    #[error("Nonsense")]
    InvalidResponse,
    /// The server refers to another one: of the directory's servers, or one that is not in the settings.
    #[error("Elsewhere({0:?})")]
    Referral(Option<usize>),
}

impl SearchError {
    /// Whether the server itself shows that it is of no use now, so that its circuit breaker opens at once.
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

/// A search that is to be started.
#[derive(Clone)]
pub(crate) struct SearchRequest {
    pub(crate) directory: usize,
    pub(crate) server: usize,
    pub(crate) query: Query,
    /// How often its users were searched for before.
    pub(crate) attempts: u8,
}

/// A search that has not ended yet.
pub(crate) struct SearchInFlight {
    pub(crate) request: SearchRequest,
    pub(crate) started_at: Time,
    pub(crate) deadline: Time,
    /// When it is hedged at a second server; `None`: it was, or is not to be.
    pub(crate) hedge_at: Option<Time>,
    /// The other search for the same users, where one of both is a hedge.
    pub(crate) hedge_partner: Option<SearchId>,
}
