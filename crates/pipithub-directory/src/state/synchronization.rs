//! The state of content synchronization with a followed directory.

use std::collections::HashMap;

use crate::record::{PersonId, User};

/// A refresh stage that is in progress.
#[derive(Clone, Copy)]
pub(crate) struct RefreshStage {
    /// When the stage started, in milliseconds on the caller's clock.
    pub(crate) started_at_ms: i64,
    /// Whether the stage reports all entries. An entry that a full stage does not report was deleted.
    pub(crate) is_full: bool,
}

/// The state of content synchronization with one directory.
#[derive(Default)]
pub(crate) struct SyncState {
    /// The users of the directory's entries, by the persons that the entries belong to.
    pub(crate) users: HashMap<PersonId, User>,
    /// The refresh stage in progress; `None` between stages.
    pub(crate) refresh: Option<RefreshStage>,
}
