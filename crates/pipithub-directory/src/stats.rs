//! Counters of searches and their results.

/// Counters since the core was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Searches for users that were started; hedges are not counted.
    pub searches: u64,
    /// Users of those searches.
    pub searched_users: u64,
    /// Hedges that were started: second searches for the same users.
    pub hedged_searches: u64,
    /// Searches that were started to check a server's state or to poll for changes.
    pub probes: u64,
    /// Searches of any kind that ended with an error or timed out.
    pub failed_searches: u64,
    /// Look-ups that were dropped because their queue was full.
    pub dropped_lookups: u64,
    /// Responses that were rejected because they hold entries that were not searched for, and entries below no tenant's
    /// base.
    pub unexpected_entries: u64,
    /// Results that were older than the cached record, and responses of servers whose copy lags behind another server's.
    pub outdated_results: u64,
    /// Changes of a cached user's tenant or person, including changes to no tenant or to several.
    pub migrated_users: u64,
}
