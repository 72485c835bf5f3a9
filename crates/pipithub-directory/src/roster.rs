//! The cached records of all users, which resolve a user to a tenant.

mod realms;

use std::sync::Arc;

use compact_str::CompactString;

use crate::persistent_map::PersistentMap;
use crate::record::{LookupRecord, LookupRecords, LookupResult, PersonId, TenantId};
use crate::settings::{DirectorySettings, Lifetimes};
use crate::time::{Time, from_ms, to_ms};

pub(crate) use self::realms::Realms;

/// Whether a record that is used should be refreshed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refresh {
    /// The record is fresh and is used without a refresh.
    NotNeeded,
    /// Use the record now, and look the user up again in the background.
    InBackground,
    /// Look the user up again and wait for the result for a bounded time; if none comes, use the record.
    BeforeUse,
}

/// Which tenant a user belongs to, by the cached records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// The user belongs to a tenant.
    Tenant {
        /// The tenant that the user belongs to.
        tenant: TenantId,
        /// The person that the name refers to.
        person: PersonId,
        /// The age of the newest record that names the tenant, in nanoseconds.
        age: Time,
        /// Whether that record should be refreshed.
        refresh: Refresh,
    },
    /// The user belongs to no tenant.
    NoTenant,
    /// The valid records name several tenants, or a directory has several entries with the name. No choice between
    /// them is safe, so the user's requests are rejected.
    Ambiguous,
    /// No valid record names a tenant, but a directory may still contain the user, who is to be looked up.
    Unknown,
}

/// A user's tenant and person. If it changes, requests that run for the user must end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Identity {
    tenant: TenantId,
    person: PersonId,
}

impl Resolution {
    /// The user's tenant and person; `None` if the user does not resolve to one tenant.
    pub(crate) fn identity(&self) -> Option<Identity> {
        match self {
            Resolution::Tenant { tenant, person, .. } => Some(Identity {
                tenant: *tenant,
                person: *person,
            }),
            Resolution::NoTenant | Resolution::Ambiguous | Resolution::Unknown => None,
        }
    }
}

/// The properties of a directory that determine the validity and the refresh of its records.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DirectoryStatus {
    pub(crate) lifetimes: Lifetimes,
    /// When the records of a followed directory were last known to be complete, in milliseconds on the caller's clock;
    /// `None` if the directory is not followed or was never complete.
    pub(crate) synchronized_at_ms: Option<i64>,
    /// Whether no server of the directory is expected to respond while a request waits.
    pub(crate) is_slow: bool,
}

impl DirectoryStatus {
    fn new(settings: &DirectorySettings) -> Self {
        DirectoryStatus {
            lifetimes: settings.lifetimes,
            synchronized_at_ms: None,
            is_slow: false,
        }
    }

    /// When a record was last confirmed. A followed directory confirms all of its records together.
    pub(crate) fn confirmed_at_ms(&self, record: &LookupRecord) -> i64 {
        let synchronized_at_ms = self.synchronized_at_ms.unwrap_or(i64::MIN);
        record.confirmed_at_ms.max(synchronized_at_ms)
    }

    /// Whether a tenant's record of this age should be refreshed. The jitter of a record delays its refresh by up to a
    /// quarter of the fresh time.
    fn refresh(&self, age: Time, jitter: u8) -> Refresh {
        let fresh = self.lifetimes.fresh;
        let refresh_age = fresh / 4 * 3 + fresh / 1024 * u64::from(jitter);
        if age < refresh_age {
            Refresh::NotNeeded
        } else if age < fresh.saturating_mul(2) || self.is_slow {
            Refresh::InBackground
        } else {
            Refresh::BeforeUse
        }
    }
}

/// A version of all cached records. Cloning shares the records and is cheap.
#[derive(Clone, Debug)]
pub struct Roster {
    /// The records by the user's name. Names of up to 24 bytes are stored inline, which saves a memory access in each
    /// look-up.
    pub(crate) users: PersistentMap<CompactString, LookupRecords>,
    pub(crate) directories: Arc<[DirectoryStatus]>,
    realms: Arc<Realms>,
}

/// A record that names a tenant and has not expired.
struct ValidRecord {
    tenant: TenantId,
    person: PersonId,
    age: Time,
    refresh: Refresh,
}

/// The combined result of a user's valid records, which do not contradict each other.
struct CombinedRecords {
    /// The newest valid record that names a tenant.
    tenant: Option<ValidRecord>,
    /// The number of directories with a valid record that the user is absent.
    absent: usize,
}

impl Roster {
    pub(crate) fn new(directories: &[DirectorySettings]) -> Self {
        Roster {
            users: PersistentMap::new(),
            directories: directories.iter().map(DirectoryStatus::new).collect(),
            realms: Arc::new(Realms::new(directories)),
        }
    }

    /// The number of users with records.
    pub fn len(&self) -> usize {
        self.users.len()
    }

    /// Whether no user has a record.
    pub fn is_empty(&self) -> bool {
        self.users.is_empty()
    }

    /// The directories that may contain a user, by their indexes in the settings: those of the name's realm if it has one
    /// (`mai@north.example`), otherwise those for names without a realm.
    pub fn directories_for(&self, user: &str) -> &[u16] {
        self.realms.directories_for(user)
    }

    /// Resolves a user by the records that are valid now.
    ///
    /// If the valid records name a single tenant, the user belongs to it, even if other directories have not responded
    /// yet: a directory that is down must not delay the users of others. If valid records name two tenants, the user is
    /// ambiguous, however old one of the records is. The directory of the older record may only be unreachable, and
    /// choosing the newer record would let anyone who can create an entry in the other directory take over the user's
    /// requests.
    pub fn resolve(&self, user: &str, now: Time) -> Resolution {
        let now_ms = to_ms(now);
        let records = self.records(user);
        let Some(combined) = self.combine(records, now_ms) else {
            return Resolution::Ambiguous;
        };
        if let Some(record) = combined.tenant {
            return Resolution::Tenant {
                tenant: record.tenant,
                person: record.person,
                age: record.age,
                refresh: record.refresh,
            };
        }
        let relevant = self.directories_for(user);
        let implied_absent = relevant
            .iter()
            .filter(|directory| self.implies_absence(usize::from(**directory), records, now_ms));
        if combined.absent + implied_absent.count() >= relevant.len() {
            Resolution::NoTenant
        } else {
            Resolution::Unknown
        }
    }

    /// The record of a user from one directory; `None` if there is none.
    pub(crate) fn record(&self, user: &str, directory: usize) -> Option<&LookupRecord> {
        self.users
            .get(user)
            .and_then(|records| records.of_directory(directory))
    }

    /// Changes the status of a directory. Versions that were cloned before are not affected.
    pub(crate) fn update_directory(
        &mut self,
        directory: usize,
        update: impl FnOnce(&mut DirectoryStatus),
    ) {
        let mut directories = self.directories.to_vec();
        update(&mut directories[directory]);
        self.directories = directories.into();
    }

    fn records(&self, user: &str) -> &[LookupRecord] {
        self.users
            .get(user)
            .map_or(&[][..], LookupRecords::as_slice)
    }

    /// Combines the valid records of a user; `None` if they make the user ambiguous.
    fn combine(&self, records: &[LookupRecord], now_ms: i64) -> Option<CombinedRecords> {
        let mut tenant: Option<ValidRecord> = None;
        let mut absent = 0;
        for record in records {
            let Some(status) = self.directories.get(record.directory_index()) else {
                continue;
            };
            let age = from_ms(now_ms.saturating_sub(status.confirmed_at_ms(record)));
            if age >= status.lifetimes.max_age(record.result) {
                continue;
            }
            match record.result {
                LookupResult::Ambiguous => return None,
                LookupResult::Absent => absent += 1,
                LookupResult::Tenant(found) => match &tenant {
                    Some(other) if other.tenant != found => return None,
                    Some(newer) if newer.age <= age => {}
                    _ => {
                        tenant = Some(ValidRecord {
                            tenant: found,
                            person: record.person,
                            age,
                            refresh: status.refresh(age, record.refresh_jitter),
                        });
                    }
                },
            }
        }
        Some(CombinedRecords { tenant, absent })
    }

    /// Whether a user without a record from a directory is known to be absent from it. This is so if the directory is
    /// followed and its records were complete recently, as then all of its entries have records.
    fn implies_absence(&self, directory: usize, records: &[LookupRecord], now_ms: i64) -> bool {
        let status = &self.directories[directory];
        let is_complete = status
            .synchronized_at_ms
            .is_some_and(|at_ms| from_ms(now_ms.saturating_sub(at_ms)) < status.lifetimes.negative);
        is_complete
            && !records
                .iter()
                .any(|record| record.directory_index() == directory)
    }
}
