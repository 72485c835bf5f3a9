//! Settings of the directories and of the look-ups made in them.

use pipithub_ldap::Dn;

use crate::daily_peak::DailyPeak;
use crate::record::LookupResult;
use crate::time::{MILLISECOND, SECOND, Time};

/// Users whom no request waits for are gathered into one search for no longer than this.
const MAX_BACKGROUND_DELAY: Time = 30 * SECOND;
/// Bounds of the interval at which a server's state is checked.
const MIN_STATE_CHECK_INTERVAL: Time = 50 * MILLISECOND;
const MAX_STATE_CHECK_INTERVAL: Time = 300 * SECOND;

/// What a [`crate::Directory`] is given at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The directories.
    pub directories: Vec<DirectorySettings>,
    /// The tenants, by [`crate::TenantId`].
    pub tenants: Vec<TenantBase>,
    /// Users that are cached at most.
    pub max_users: usize,
    /// Users that wait to be searched for at most, in each queue of each directory.
    pub max_queue: usize,
    /// Sets this front end's times apart from those of others; nothing else here is random.
    pub seed: u64,
    /// Unix milliseconds at time 0.
    pub wall_clock_offset_ms: i64,
}

/// A tenant's place in a directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantBase {
    /// The directory.
    pub directory: usize,
    /// Entries below it are this tenant's; of bases within each other the inner one counts.
    pub base: Dn,
}

/// How users are looked up in a directory.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectorySettings {
    /// How many servers it has.
    pub server_count: usize,
    /// Realms of the names that it knows; none: names without a realm.
    pub realms: Vec<String>,
    /// For how long its results are valid.
    pub lifetimes: Lifetimes,
    /// A search without a response by then has failed.
    pub timeout: Time,
    /// After this long without a response the search is hedged at a second server.
    pub hedge_after: Time,
    /// Users in one search.
    pub max_users_per_search: usize,
    /// Searches in flight at one server.
    pub max_searches_per_server: usize,
    /// Searches a second at all its servers together.
    pub max_searches_per_second: f64,
    /// Consecutive failures that open a server's circuit breaker.
    pub failure_threshold: u32,
    /// For how long the breaker stays open.
    pub backoff: Backoff,
    /// A server that gives no change number must report a change twice, this far apart.
    pub change_confirmation_delay: Time,
    /// A daily peak ahead of which records are refreshed.
    pub daily_peak: Option<DailyPeak>,
    /// Changes are polled for at this interval; 0: never.
    pub poll_interval: Time,
}

impl DirectorySettings {
    /// For how long users whom no request waits for are gathered into one search.
    pub(crate) fn background_delay(&self) -> Time {
        (self.lifetimes.fresh / 16).min(MAX_BACKGROUND_DELAY)
    }

    /// How often a server's state is checked that is not searched for anything else.
    pub(crate) fn state_check_interval(&self) -> Time {
        (self.lifetimes.fresh / 2).clamp(MIN_STATE_CHECK_INTERVAL, MAX_STATE_CHECK_INTERVAL)
    }
}

impl Default for DirectorySettings {
    fn default() -> Self {
        DirectorySettings {
            server_count: 1,
            realms: Vec::new(),
            lifetimes: Lifetimes {
                fresh: 600 * SECOND,
                max_stale: 12 * 3_600 * SECOND,
                negative: 30 * SECOND,
            },
            timeout: 2 * SECOND,
            hedge_after: 50 * MILLISECOND,
            max_users_per_search: 64,
            max_searches_per_server: 4,
            max_searches_per_second: 50.0,
            failure_threshold: 3,
            backoff: Backoff {
                initial: SECOND,
                max: 30 * SECOND,
            },
            change_confirmation_delay: SECOND,
            daily_peak: None,
            poll_interval: 0,
        }
    }
}

/// For how long a server that fails is not used, before jitter: twice as long after each further failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// After the first failure.
    pub initial: Time,
    /// At the longest.
    pub max: Time,
}

/// For how long a directory's results are valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lifetimes {
    /// A tenant's record is used as it is up to three quarters of this age. From a random age between that and this age
    /// on it is refreshed in the background while it is used, and from twice this age on a request waits a little for
    /// the refresh.
    pub fresh: Time,
    /// The hard bound: from this age on a tenant's record is as if it were not there.
    pub max_stale: Time,
    /// The bound of results that name no tenant: absent and ambiguous ones. They are never refreshed before it.
    pub negative: Time,
}

impl Lifetimes {
    /// The age from which on a result is not valid any more.
    pub(crate) fn max_age(&self, result: LookupResult) -> Time {
        match result {
            LookupResult::Tenant(_) => self.max_stale,
            LookupResult::Absent | LookupResult::Ambiguous => self.negative,
        }
    }
}
