//! The cached records of all users, and what a user is resolved to by them.

mod realms;

use std::sync::Arc;

use compact_str::CompactString;

use crate::persistent_map::PersistentMap;
use crate::record::{LookupRecord, LookupRecords, LookupResult, PersonId, TenantId};
use crate::settings::{DirectorySettings, Lifetimes};
use crate::time::{Time, from_ms, to_ms};

pub(crate) use self::realms::Realms;

/// What to do about a record beside using it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refresh {
    /// Nothing.
    NotNeeded,
    /// Look the user up again, without waiting for it.
    InBackground,
    /// Look the user up again and wait for the result as long as may be; then use the record.
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
        /// The age of the record that decides.
        age: Time,
        /// What to do beside using it.
        refresh: Refresh,
    },
    /// No tenant's.
    NoTenant,
    /// More than one tenant's, or several people's of one name: nobody may choose between them.
    Ambiguous,
    /// Not known: to be looked up.
    Unknown,
}

/// The tenant that a user belongs to, and the person that they are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Identity {
    tenant: TenantId,
    person: PersonId,
}

impl Resolution {
    /// The identity of a tenant's user.
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

/// What a roster knows of a directory itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DirectoryStatus {
    pub(crate) lifetimes: Lifetimes,
    /// The directory is followed, and its records were complete then, in milliseconds.
    pub(crate) synchronized_at_ms: Option<i64>,
    /// None of its servers responds as fast as usual: to wait for one would be in vain.
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

    /// As of when a record is true: a followed directory confirms all of its records together.
    pub(crate) fn confirmed_at_ms(&self, record: &LookupRecord) -> i64 {
        let synchronized_at_ms = self.synchronized_at_ms.unwrap_or(i64::MIN);
        record.confirmed_at_ms.max(synchronized_at_ms)
    }

    /// What is to be done about a tenant's record of this age.
    fn refresh(&self, age: Time, jitter: u8) -> Refresh {
        let fresh = self.lifetimes.fresh;
        let used_as_it_is = fresh / 4 * 3 + fresh / 1024 * u64::from(jitter);
        if age < used_as_it_is {
            Refresh::NotNeeded
        } else if age < fresh.saturating_mul(2) || self.is_slow {
            Refresh::InBackground
        } else {
            Refresh::BeforeUse
        }
    }
}

/// All records at one time. Cloning shares everything.
#[derive(Clone, Debug)]
pub struct Roster {
    /// Names of up to 24 bytes are stored in their place: to look one up fetches nothing more from memory.
    pub(crate) users: PersistentMap<CompactString, LookupRecords>,
    pub(crate) directories: Arc<[DirectoryStatus]>,
    realms: Arc<Realms>,
}

/// A tenant's record that is valid.
struct ValidRecord {
    tenant: TenantId,
    person: PersonId,
    age: Time,
    refresh: Refresh,
}

/// What a user's records add up to when they do not contradict each other.
struct Evidence {
    /// The newest valid record of a tenant.
    tenant: Option<ValidRecord>,
    /// How many directories have reported that the user is absent.
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
        self.realms.directories_for(user)
    }

    /// What a user is now.
    ///
    /// One tenant's record that is not past the hard bound decides, also while other directories have not responded: a
    /// directory that is down must not stall those that are up. Two tenants' records that are not past it are ambiguous,
    /// however old one of them is: its directory may merely be out of reach, and to choose would let whoever creates an
    /// entry in the other take over the user's requests.
    pub fn resolve(&self, user: &str, now: Time) -> Resolution {
        let now_ms = to_ms(now);
        let records = self.records(user);
        let Some(evidence) = self.weigh(records, now_ms) else {
            return Resolution::Ambiguous;
        };
        if let Some(record) = evidence.tenant {
            return Resolution::Tenant {
                tenant: record.tenant,
                person: record.person,
                age: record.age,
                refresh: record.refresh,
            };
        }
        let relevant = self.directories_for(user);
        let implied = relevant
            .iter()
            .filter(|directory| self.implies_absence(usize::from(**directory), records, now_ms));
        if evidence.absent + implied.count() >= relevant.len() {
            Resolution::NoTenant
        } else {
            Resolution::Unknown
        }
    }

    /// The record that a directory has of a user.
    pub(crate) fn record(&self, user: &str, directory: usize) -> Option<&LookupRecord> {
        self.users
            .get(user)
            .and_then(|records| records.of_directory(directory))
    }

    /// Changes the status of a directory. Versions that were cloned before do not show it.
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

    /// What records add up to; `None` where they are ambiguous.
    fn weigh(&self, records: &[LookupRecord], now_ms: i64) -> Option<Evidence> {
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
        Some(Evidence { tenant, absent })
    }

    /// Whether a directory that has no record of a user knows that there is no entry: one that is followed and complete
    /// knows of all its entries.
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
