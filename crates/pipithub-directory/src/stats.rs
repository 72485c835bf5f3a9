//! Counters of what was done.

/// What was done since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Searches for users, without hedges.
    pub searches: u64,
    /// Users in them.
    pub searched_users: u64,
    /// Hedges: second searches for the same users.
    pub hedged_searches: u64,
    /// Searches for a server's state, and for what changed.
    pub probes: u64,
    /// Searches that failed.
    pub failed_searches: u64,
    /// Look-ups that found their queue full.
    pub dropped_lookups: u64,
    /// Responses with entries that were not searched for, and entries below no tenant's base.
    pub unexpected_entries: u64,
    /// Results older than what was known.
    pub outdated_results: u64,
    /// Users whose tenant or person changed.
    pub migrated_users: u64,
}
