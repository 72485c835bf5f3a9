//! Inputs and outputs of a [`crate::Directory`].

use crate::record::{PersonId, User};
use crate::search::{DirectoryEntry, Query, SearchError, SearchId, SearchResponse};

/// An event for the directory core.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Time has passed. Every other input has the effect of a tick too.
    Tick,
    /// The user of a request is to be looked up, or their records are to be refreshed.
    LookUp {
        /// The user's name, normalized as by [`pipithub_ldap::dn::fold`].
        user: User,
        /// Whether a request waits for the result.
        urgent: bool,
    },
    /// A search has ended.
    SearchEnded {
        /// The search, as [`Output::Search`] gave it.
        search: SearchId,
        /// The response, or why there is none.
        outcome: Result<SearchResponse, SearchError>,
    },
    /// A directory that is followed by content synchronization has reported an event.
    Synchronization {
        /// The directory's index in the settings.
        directory: usize,
        /// The event that was reported.
        event: SyncEvent,
    },
}

/// An event of content synchronization (RFC 4533) with a followed directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SyncEvent {
    /// The refresh stage has started.
    RefreshStarted {
        /// Whether the stage reports all entries; otherwise only those that have changed since the last stage.
        full: bool,
    },
    /// An entry exists. It may be new, changed or unchanged.
    Entry(DirectoryEntry),
    /// The entry of a person was deleted.
    Deleted(PersonId),
    /// The entry of a person has not changed.
    Unchanged(PersonId),
    /// The refresh stage is done, and the connection works.
    RefreshDone,
    /// The server has answered on the connection, which confirms all records of the directory.
    Heartbeat,
    /// The connection is lost.
    ConnectionLost,
}

/// An action that the caller executes for the directory core.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Start a search. It ends with exactly one [`Input::SearchEnded`], unless it is cancelled.
    Search {
        /// Identifies the search in later inputs and outputs.
        id: SearchId,
        /// The directory's index in the settings.
        directory: usize,
        /// The index of the server in that directory.
        server: usize,
        /// What to search for.
        query: Query,
    },
    /// Abandon a search, as its response is no longer needed.
    CancelSearch(SearchId),
    /// The look-up of a user has finished. The result is in the roster; if the roster has none, none was obtained.
    LookupFinished(User),
    /// A user now belongs to another tenant or to none, or the name belongs to another person. Requests that run for the
    /// user must end.
    UserMigrated(User),
}
