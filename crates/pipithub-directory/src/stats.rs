//! Counters of what was done.

/// What was done so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Searches for users.
    pub searches: u64,
    /// Users in them.
    pub searched_users: u64,
    /// Of the searches, second ones for the same users.
    pub hedged_searches: u64,
    /// Searches for a server's state, and for what changed.
    pub probes: u64,
    /// Searches that failed.
    pub failed_searches: u64,
    /// Wants for which there was no room.
    pub dropped_lookups: u64,
    /// Entries told that were not asked for, or are below no tenant's base.
    pub unexpected_entries: u64,
    /// Answers older than what was known.
    pub outdated_results: u64,
    /// Users who changed.
    pub migrated_users: u64,
}
