//! What a directory core is given at its start.

use pipithub_ldap::Dn;

use crate::daily_peak::DailyPeak;
use crate::time::{MILLISECOND, Time};

/// A tenant's place in a directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantBase {
    /// The directory.
    pub directory: usize,
    /// Entries below it are this tenant's; of bases within each other the inner one counts.
    pub base: Dn,
}

/// How long a server that fails is left alone, before jitter: twice as long after each further failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// After the first failure.
    pub initial: Time,
    /// At the longest.
    pub max: Time,
}

/// How a directory is asked.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectorySettings {
    /// How many servers it has.
    pub server_count: usize,
    /// Realms of the names that it knows; none: names without a realm.
    pub realms: Vec<String>,
    /// For how long what it says counts.
    pub lifetimes: Lifetimes,
    /// A search without an answer by then has failed.
    pub timeout: Time,
    /// After this long without an answer a second server is asked too.
    pub hedge_after: Time,
    /// Users in one search.
    pub max_users_per_search: usize,
    /// Searches at a time at one server.
    pub max_searches_per_server: usize,
    /// Searches a second at all its servers.
    pub max_searches_per_second: f64,
    /// Failures in a row after which a server is left alone.
    pub failure_threshold: u32,
    /// For how long it is left alone.
    pub backoff: Backoff,
    /// A server that tells no mark must say a change twice, this far apart.
    pub change_confirmation_delay: Time,
    /// A daily peak ahead of which facts are refreshed.
    pub daily_peak: Option<DailyPeak>,
    /// Every so often, ask for what was changed since; 0: never.
    pub poll_interval: Time,
}

impl Default for DirectorySettings {
    fn default() -> Self {
        const S: Time = 1_000 * MILLISECOND;
        DirectorySettings {
            server_count: 1,
            realms: Vec::new(),
            lifetimes: Lifetimes {
                fresh: 600 * S,
                max_stale: 12 * 3_600 * S,
                negative: 30 * S,
            },
            timeout: 2 * S,
            hedge_after: 50 * MILLISECOND,
            max_users_per_search: 64,
            max_searches_per_server: 4,
            max_searches_per_second: 50.0,
            failure_threshold: 3,
            backoff: Backoff {
                initial: S,
                max: 30 * S,
            },
            change_confirmation_delay: S,
            daily_peak: None,
            poll_interval: 0,
        }
    }
}

/// What a directory core is given at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The directories.
    pub directories: Vec<DirectorySettings>,
    /// The tenants, by [`TenantId`].
    pub tenants: Vec<TenantBase>,
    /// Users kept.
    pub max_users: usize,
    /// Users that wait to be asked for, at each directory.
    pub max_queue: usize,
    /// Its only chance: sets this front end's times apart from others'.
    pub seed: u64,
    /// Unix milliseconds at time 0.
    pub wall_clock_offset_ms: i64,
}

/// For how long what a directory said counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lifetimes {
    /// A positive fact is used up to three quarters of this age without more ado. From some age between that and the whole
    /// it is used while it is asked for again, and from twice this age on a call waits a little for the answer.
    pub fresh: Time,
    /// The hard bound: from this age on a positive fact is as if it were not there.
    pub max_stale: Time,
    /// The same for `Absent` and `Twice`: there is nothing between.
    pub negative: Time,
}
