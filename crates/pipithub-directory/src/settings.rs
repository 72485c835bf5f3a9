//! The settings of the directories and of the look-ups in them.

use pipithub_ldap::Dn;

use crate::daily_peak::DailyPeak;
use crate::record::LookupResult;
use crate::time::{MILLISECOND, SECOND, Time};

/// The longest time for which users without a waiting request are collected for one search.
const MAX_BACKGROUND_DELAY: Time = 30 * SECOND;
/// The bounds of the interval at which a server's state is checked.
const MIN_STATE_CHECK_INTERVAL: Time = 50 * MILLISECOND;
const MAX_STATE_CHECK_INTERVAL: Time = 300 * SECOND;

/// The settings of a [`crate::Directory`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The directories; all inputs and outputs refer to them by their indexes here.
    pub directories: Vec<DirectorySettings>,
    /// The tenants, indexed by [`crate::TenantId`].
    pub tenants: Vec<TenantBase>,
    /// The maximum number of cached users; 0 is treated as 1.
    pub max_users: usize,
    /// The maximum number of queued users, in each queue of each directory; 0 is treated as 1.
    pub max_queue: usize,
    /// The seed of the jitter, which differs between front ends. Nothing else is random.
    pub seed: u64,
    /// The wall time in Unix milliseconds at time 0 of the caller's clock.
    pub wall_clock_offset_ms: i64,
}

/// The subtree of a directory that belongs to a tenant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantBase {
    /// The index of the directory.
    pub directory: usize,
    /// The base of the subtree, whose entries belong to the tenant. If subtrees are nested, the innermost one counts.
    pub base: Dn,
}

/// How users are looked up in a directory.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectorySettings {
    /// The number of servers; 0 is treated as 1.
    pub server_count: usize,
    /// The realms of the users that the directory contains. If there are none, it contains the users without a realm.
    pub realms: Vec<String>,
    /// How long the directory's results are valid.
    pub lifetimes: Lifetimes,
    /// The time, in nanoseconds, after which a search without a response has failed.
    pub timeout: Time,
    /// The shortest time, in nanoseconds, after which a search without a response is hedged at a second server. It is
    /// longer for servers that usually respond slowly.
    pub hedge_after: Time,
    /// The maximum number of users in one search.
    pub max_users_per_search: usize,
    /// The maximum number of searches in flight at one server.
    pub max_searches_per_server: usize,
    /// The maximum number of searches a second at all servers together.
    pub max_searches_per_second: f64,
    /// The number of consecutive failures that open a server's circuit breaker.
    pub failure_threshold: u32,
    /// How long the circuit breaker stays open.
    pub backoff: Backoff,
    /// The time, in nanoseconds, after which a second report confirms a change that a server without change numbers has
    /// reported.
    pub change_confirmation_delay: Time,
    /// The daily peak ahead of which records are refreshed; `None` if there is no such peak.
    pub daily_peak: Option<DailyPeak>,
    /// The interval in nanoseconds at which the directory is polled for changes; 0 disables polls.
    pub poll_interval: Time,
}

impl DirectorySettings {
    /// How long users without a waiting request are collected for one search.
    pub(crate) fn background_delay(&self) -> Time {
        (self.lifetimes.fresh / 16).min(MAX_BACKGROUND_DELAY)
    }

    /// The interval at which the state of a server without other searches is checked.
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

/// The exponential backoff during which a failing server is not used: it doubles with each failure. Jitter multiplies
/// each backoff by a factor from 0.5 to 1.5.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// The backoff after the first failure, in nanoseconds.
    pub initial: Time,
    /// The longest backoff, in nanoseconds.
    pub max: Time,
}

/// How long a directory's results are valid, in nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lifetimes {
    /// The age up to which a record that names a tenant is fresh. Up to three quarters of this age the record is used
    /// without a refresh. From a random age between these two on it is used and refreshed in the background. From twice
    /// this age on a request waits for the refresh for a bounded time, unless all servers are slow or unreachable.
    pub fresh: Time,
    /// The age from which on a record that names a tenant is no longer valid.
    pub max_stale: Time,
    /// The age from which on results that name no tenant, absent and ambiguous ones, are no longer valid. Such results
    /// are not refreshed before they expire.
    pub negative: Time,
}

impl Lifetimes {
    /// The age from which on a result is no longer valid.
    pub(crate) fn max_age(&self, result: LookupResult) -> Time {
        match result {
            LookupResult::Tenant(_) => self.max_stale,
            LookupResult::Absent | LookupResult::Ambiguous => self.negative,
        }
    }
}
