//! Counters of searches and their results.

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Searches for users that were started; hedges are not counted.
    pub searches: u64,
    /// Users of those searches.
    pub searched_users: u64,
    /// Hedges that were started: second searches for the same users.
    pub hedged_searches: u64,
    /// Searches for a server's state and polls for changes that were started.
    pub probes: u64,
    /// Searches of any kind that ended with an error or timed out.
    pub failed_searches: u64,
    /// Look-ups that were dropped because their queue was full.
    pub dropped_lookups: u64,
    /// Responses with entries that were not searched for, and entries below no tenant's base.
    pub unexpected_entries: u64,
    /// Results that were older than the cached record, and responses of copies that lag behind another.
    pub outdated_results: u64,
    /// Changes of a user's tenant or person.
    pub migrated_users: u64,
}
