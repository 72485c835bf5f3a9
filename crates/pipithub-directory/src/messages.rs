//! What happens to a directory core, and what it says is to be done.

use crate::record::{PersonId, User};
use crate::search::{DirectoryEntry, Query, SearchError, SearchId, SearchResponse};

/// What a followed directory says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SyncEvent {
    /// Everything is told from here on, or what changed since the last time.
    RefreshStarted {
        /// Everything.
        full: bool,
    },
    /// An entry is there, new or as it was.
    Entry(DirectoryEntry),
    /// An entry is gone.
    Deleted(PersonId),
    /// An entry has not changed.
    Unchanged(PersonId),
    /// What was to be told is told; the connection was good just now.
    RefreshDone,
    /// The connection was good just now.
    Heartbeat,
    /// The connection is gone.
    ConnectionLost,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Only time has passed; every other input does this too.
    Tick,
    /// A call's user is to be known, or known anew.
    LookUp {
        /// The user.
        user: User,
        /// Somebody waits.
        urgent: bool,
    },
    /// A search ended.
    SearchEnded {
        /// Which.
        search: SearchId,
        /// How.
        outcome: Result<SearchResponse, SearchError>,
    },
    /// News of a directory that is followed.
    Synchronization {
        /// The directory.
        directory: usize,
        /// What it says.
        event: SyncEvent,
    },
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Ask a server; one [`Input::SearchEnded`] is owed unless it is given up.
    Search {
        /// Its id.
        id: SearchId,
        /// The directory.
        directory: usize,
        /// Which of its servers.
        server: usize,
        /// What.
        query: Query,
    },
    /// Its answer is of no use any more.
    CancelSearch(SearchId),
    /// There is news of a user that was asked for: the roster holds it, or nobody can say.
    LookupFinished(User),
    /// A user is another tenant's now, or nobody's, or another person: what runs for them must end.
    UserMigrated(User),
}
