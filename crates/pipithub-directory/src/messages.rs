//! Inputs and outputs of a [`crate::Directory`].

use crate::record::{PersonId, User};
use crate::search::{DirectoryEntry, Query, SearchError, SearchId, SearchResponse};

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Only time has passed; every other input implies this too.
    Tick,
    /// The user of a request is to be looked up, or refreshed.
    LookUp {
        /// The user.
        user: User,
        /// Whether a request waits for the result.
        urgent: bool,
    },
    /// A search ended.
    SearchEnded {
        /// Which.
        search: SearchId,
        /// How.
        outcome: Result<SearchResponse, SearchError>,
    },
    /// An event of a directory that is followed by content synchronization.
    Synchronization {
        /// The directory.
        directory: usize,
        /// The event.
        event: SyncEvent,
    },
}

/// An event of content synchronization (RFC 4533) with a followed directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SyncEvent {
    /// The refresh stage has started.
    RefreshStarted {
        /// Whether all entries follow, or those alone that have changed since the last time.
        full: bool,
    },
    /// An entry exists, new, changed or as it was.
    Entry(DirectoryEntry),
    /// An entry was deleted.
    Deleted(PersonId),
    /// An entry has not changed.
    Unchanged(PersonId),
    /// The refresh stage is done; the connection was up just now.
    RefreshDone,
    /// The connection was up just now.
    Heartbeat,
    /// The connection is lost.
    ConnectionLost,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Search at a server; one [`Input::SearchEnded`] is owed unless the search is cancelled.
    Search {
        /// Its id.
        id: SearchId,
        /// The directory.
        directory: usize,
        /// Which of its servers.
        server: usize,
        /// What to search for.
        query: Query,
    },
    /// The response of a search is not needed any more.
    CancelSearch(SearchId),
    /// The look-up of a user has ended: the roster holds its result, or there is none to be had.
    LookupFinished(User),
    /// A user is another tenant's now, or none's, or another person: what runs for them must end.
    UserMigrated(User),
}
