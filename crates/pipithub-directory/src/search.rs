//! What servers are asked, and what they answer.

use std::collections::HashSet;

use pipithub_ldap::Dn;

use crate::record::{PersonId, User};

/// Names a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SearchId(pub u64);

/// What is asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Query {
    /// These users. The server's mark is to be read before them, on the same connection.
    Users(Vec<User>),
    /// How the server stands: whether its tree is there, and its mark.
    ServerState,
    /// What was changed since this `modifyTimestamp`; `None`: how far its timestamps have come.
    ChangedSince(Option<String>),
}

impl Query {
    pub(crate) fn is_answered_wrongly(&self, answer: &SearchResponse) -> bool {
        let Query::Users(users) = self else {
            return false;
        };
        let asked: HashSet<&User> = users.iter().collect();
        answer.entries.iter().any(|f| !asked.contains(&f.user))
    }
}

/// An entry that a directory told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryEntry {
    /// Its user's name, folded, with the realm as users give it.
    pub user: User,
    /// Where it stands.
    pub dn: Dn,
    /// Who it is.
    pub person: PersonId,
}

/// A whole answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SearchResponse {
    /// The entries.
    pub entries: Vec<DirectoryEntry>,
    /// How far the server's copy had come before it searched, where it tells.
    pub change_number: Option<u64>,
    /// The base of the tree is there. A server that is still loading answers that nobody exists.
    pub base_exists: bool,
    /// The newest `modifyTimestamp` in it.
    pub newest_modify_timestamp: Option<String>,
}

/// Why there is no answer. The texts are part of what `pipithub tenants` prints, and stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SearchError {
    /// None came in time.
    #[error("TimedOut")]
    TimedOut,
    /// The server could not be reached, or the connection ended.
    #[error("Lost")]
    ConnectionLost,
    /// The server says that it cannot now: busy, unavailable, limits.
    #[error("Unable")]
    Unavailable,
    /// It refuses us: the bind, the rights.
    #[error("Denied")]
    Denied,
    /// What it said is no answer.
    #[error("Nonsense")]
    InvalidResponse,
    /// It says to ask elsewhere: at this one of the directory's servers, or at one that we do not know.
    #[error("Elsewhere({0:?})")]
    Referral(Option<usize>),
}
