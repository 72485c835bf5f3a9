//! Content synchronization with a followed directory: whose entry is whose, and how far a refresh has come.

use std::collections::HashMap;

use crate::record::{PersonId, User};

/// A refresh stage that has not ended.
#[derive(Clone, Copy)]
pub(crate) struct RefreshStage {
    pub(crate) started_at_ms: i64,
    /// All entries are part of it: those that are not are deleted.
    pub(crate) is_full: bool,
}

/// The state of the synchronization.
#[derive(Default)]
pub(crate) struct SyncState {
    /// The users by the persons whose entries are theirs.
    pub(crate) users: HashMap<PersonId, User>,
    /// The refresh stage in progress.
    pub(crate) refresh: Option<RefreshStage>,
}
