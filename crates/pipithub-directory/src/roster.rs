//! What is known of users, and how it is weighed.

use std::collections::HashMap;
use std::sync::Arc;

use compact_str::CompactString;

use crate::persistent_map::PersistentMap;
use crate::record::{LookupRecord, LookupRecords, LookupResult, PersonId, TenantId};
use crate::settings::Lifetimes;
use crate::time::{MILLISECOND, Time, to_ms};

/// What to do about a fact beside using it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refresh {
    /// Nothing.
    NotNeeded,
    /// Ask again, without waiting.
    InBackground,
    /// Ask again and wait for the answer as long as may be; then use the fact.
    BeforeUse,
}

/// What a user is, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// A tenant's.
    Tenant {
        /// Whose.
        tenant: TenantId,
        /// Which person.
        person: PersonId,
        /// The age of the fact.
        age: Time,
        /// What to do beside using it.
        refresh: Refresh,
    },
    /// No tenant's.
    NoTenant,
    /// More than one tenant's, or several people's of one name: nobody may choose between them.
    Ambiguous,
    /// Not known: to be asked.
    Unknown,
}

/// What is known, at one time. Cloning shares everything.
#[derive(Clone, Debug)]
pub struct Roster {
    /// Names of up to 24 bytes stand in their place: to look one up fetches nothing more from memory.
    pub(crate) users: PersistentMap<CompactString, LookupRecords>,
    pub(crate) directories: Arc<[DirectoryStatus]>,
    pub(crate) realms: Arc<HashMap<Box<str>, Vec<u16>>>,
    /// Directories for names without a realm that any directory has.
    pub(crate) others: Arc<[u16]>,
}

/// What a roster knows of a directory itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DirectoryStatus {
    pub(crate) lifetimes: Lifetimes,
    /// It is followed, and what is known of it was complete then, in milliseconds.
    pub(crate) synchronized_at_ms: Option<i64>,
    /// None of its servers answers at its usual pace: to wait for one would be in vain.
    pub(crate) is_slow: bool,
}

impl Roster {
    /// How many users it holds.
    pub fn len(&self) -> usize {
        self.users.len()
    }

    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.users.is_empty()
    }

    /// The directories that may know a user: by realm where the name has one (`mai@north.example`), else those that take
    /// names without.
    pub fn directories_for(&self, user: &str) -> &[u16] {
        match user
            .rsplit_once('@')
            .and_then(|(_, realm)| self.realms.get(realm))
        {
            Some(directories) => directories,
            None if user.contains('@') => &[],
            None => &self.others,
        }
    }

    fn age(&self, record: &LookupRecord, now_ms: i64) -> Time {
        let synchronized_at_ms = self
            .directories
            .get(usize::from(record.directory))
            .and_then(|d| d.synchronized_at_ms);
        let confirmed = record
            .confirmed_at_ms
            .max(synchronized_at_ms.unwrap_or(i64::MIN));
        u64::try_from(now_ms.saturating_sub(confirmed))
            .unwrap_or(0)
            .saturating_mul(MILLISECOND)
    }

    /// What a user is now.
    ///
    /// One tenant's claim that is not past the hard bound decides, also while other directories have not answered: a
    /// directory that is down must not stall those that are up. Two claims that are not past it decide for nobody, however
    /// old one of them is: its directory may merely be out of reach, and to choose would let whoever creates an entry in
    /// the other have the user's calls.
    pub fn resolve(&self, user: &str, now: Time) -> Resolution {
        let now_ms = to_ms(now);
        let records = self
            .users
            .get(user)
            .map_or(&[][..], LookupRecords::as_slice);
        let mut found: Option<(LookupRecord, TenantId, Time, DirectoryStatus)> = None;
        let mut absent = 0;
        for record in records {
            let Some(status) = self.directories.get(usize::from(record.directory)) else {
                continue;
            };
            let age = self.age(record, now_ms);
            match record.result {
                LookupResult::Tenant(tenant) if age < status.lifetimes.max_stale => match found {
                    Some((_, other, ..)) if other != tenant => return Resolution::Ambiguous,
                    Some((.., known, _)) if known <= age => {}
                    _ => found = Some((*record, tenant, age, *status)),
                },
                LookupResult::Ambiguous if age < status.lifetimes.negative => {
                    return Resolution::Ambiguous;
                }
                LookupResult::Absent if age < status.lifetimes.negative => absent += 1,
                _ => {}
            }
        }
        if let Some((record, tenant, age, status)) = found {
            let lifetimes = status.lifetimes;
            let person = record.person;
            let early = lifetimes.fresh / 1024 * u64::from(record.refresh_jitter);
            let refresh = match age {
                a if a < lifetimes.fresh / 4 * 3 + early => Refresh::NotNeeded,
                a if a < lifetimes.fresh.saturating_mul(2) || status.is_slow => {
                    Refresh::InBackground
                }
                _ => Refresh::BeforeUse,
            };
            return Resolution::Tenant {
                tenant,
                person,
                age,
                refresh,
            };
        }
        let relevant = self.directories_for(user);
        // A directory that is followed and complete knows of everybody whom it does not name that they are not there.
        let complete = |d: &u16| {
            let status = &self.directories[usize::from(*d)];
            let age = |at: i64| {
                u64::try_from(now_ms.saturating_sub(at))
                    .unwrap_or(0)
                    .saturating_mul(MILLISECOND)
            };
            status
                .synchronized_at_ms
                .is_some_and(|at| age(at) < status.lifetimes.negative)
                && !records.iter().any(|c| c.directory == *d)
        };
        let known = absent + relevant.iter().filter(|d| complete(d)).count();
        if known >= relevant.len() {
            Resolution::NoTenant
        } else {
            Resolution::Unknown
        }
    }

    /// All claims on a user, with their ages, for operators.
    pub fn explain(&self, user: &str, now: Time) -> Vec<(LookupRecord, Time)> {
        let records = self
            .users
            .get(user)
            .map_or(&[][..], LookupRecords::as_slice);
        records
            .iter()
            .map(|c| (*c, self.age(c, to_ms(now))))
            .collect()
    }
}
