//! What is known of users, and how it is weighed.

use std::collections::HashMap;
use std::hash::BuildHasher;
use std::sync::Arc;

use compact_str::CompactString;

use crate::Time;
use crate::map::Map;

/// A tenant, by its place in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub u16);

/// A user's name as calls give it, folded.
pub type User = Arc<str>;

/// Tells a person from another of the same name: their entry's `entryUUID`, hashed; 0: not told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PersonId(pub u64);

impl PersonId {
    /// From the entry's id.
    pub fn from_uuid(uuid: &[u8]) -> PersonId {
        let hash = uuid.iter().fold(0xcbf2_9ce4_8422_2325u64, |h, b| {
            (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3)
        });
        PersonId(
            (hash ^ hash >> 29)
                .wrapping_mul(0xbf58_476d_1ce4_e5b9)
                .max(1),
        )
    }
}

/// What a directory says of a user.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LookupResult {
    /// One entry, below this tenant's base.
    Tenant(TenantId),
    /// No entry below any tenant's base.
    Absent,
    /// Several entries of the name.
    Ambiguous,
}

/// What a directory said of a user, and as of when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LookupRecord {
    /// Which directory.
    pub directory: u16,
    /// What it said.
    pub result: LookupResult,
    /// Of whom.
    pub person: PersonId,
    /// As of when it is true, in milliseconds on the caller's clock; what is older than the process is negative.
    pub confirmed_at_ms: i64,
    /// How far the server's own copy had come; 0: it does not tell.
    pub change_number: u64,
    /// By chance: facts that were told together are not asked for anew together.
    pub refresh_jitter: u8,
    /// The day on which the user was last wanted, modulo 256.
    pub last_wanted_day: u8,
}

/// All claims on one user.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum LookupRecords {
    One(LookupRecord),
    More(Box<[LookupRecord]>),
}

impl LookupRecords {
    pub(crate) fn as_slice(&self) -> &[LookupRecord] {
        match self {
            LookupRecords::One(claim) => std::slice::from_ref(claim),
            LookupRecords::More(claims) => claims,
        }
    }

    pub(crate) fn of(&self, directory: u16) -> Option<&LookupRecord> {
        self.as_slice().iter().find(|c| c.directory == directory)
    }

    /// The same with this claim in place of the directory's earlier one.
    pub(crate) fn with(&self, claim: LookupRecord) -> LookupRecords {
        match self {
            LookupRecords::One(old) if old.directory == claim.directory => {
                LookupRecords::One(claim)
            }
            _ => {
                let others = self
                    .as_slice()
                    .iter()
                    .filter(|c| c.directory != claim.directory)
                    .copied();
                LookupRecords::More(others.chain([claim]).collect())
            }
        }
    }
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
    pub(crate) users: Map<CompactString, LookupRecords>,
    pub(crate) directories: Arc<[Facts]>,
    pub(crate) realms: Arc<HashMap<Box<str>, Vec<u16>>>,
    /// Directories for names without a realm that any directory has.
    pub(crate) others: Arc<[u16]>,
}

/// What a roster knows of a directory itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Facts {
    pub(crate) lifetimes: Lifetimes,
    /// It is followed, and what is known of it was complete then, in milliseconds.
    pub(crate) followed: Option<i64>,
    /// None of its servers answers at its usual pace: to wait for one would be in vain.
    pub(crate) slow: bool,
}

const MS: Time = 1_000_000;

pub(crate) fn ms(now: Time) -> i64 {
    i64::try_from(now / MS).unwrap_or(i64::MAX)
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

    fn age(&self, claim: &LookupRecord, now_ms: i64) -> Time {
        let followed = self
            .directories
            .get(usize::from(claim.directory))
            .and_then(|d| d.followed);
        let confirmed = claim.confirmed_at_ms.max(followed.unwrap_or(i64::MIN));
        u64::try_from(now_ms.saturating_sub(confirmed))
            .unwrap_or(0)
            .saturating_mul(MS)
    }

    /// What a user is now.
    ///
    /// One tenant's claim that is not past the hard bound decides, also while other directories have not answered: a
    /// directory that is down must not stall those that are up. Two claims that are not past it decide for nobody, however
    /// old one of them is: its directory may merely be out of reach, and to choose would let whoever creates an entry in
    /// the other have the user's calls.
    pub fn resolve(&self, user: &str, now: Time) -> Resolution {
        let now_ms = ms(now);
        let claims = self
            .users
            .get(user)
            .map_or(&[][..], LookupRecords::as_slice);
        let mut found: Option<(LookupRecord, TenantId, Time, Facts)> = None;
        let mut absent = 0;
        for claim in claims {
            let Some(facts) = self.directories.get(usize::from(claim.directory)) else {
                continue;
            };
            let age = self.age(claim, now_ms);
            match claim.result {
                LookupResult::Tenant(tenant) if age < facts.lifetimes.max_stale => match found {
                    Some((_, other, ..)) if other != tenant => return Resolution::Ambiguous,
                    Some((.., known, _)) if known <= age => {}
                    _ => found = Some((*claim, tenant, age, *facts)),
                },
                LookupResult::Ambiguous if age < facts.lifetimes.negative => {
                    return Resolution::Ambiguous;
                }
                LookupResult::Absent if age < facts.lifetimes.negative => absent += 1,
                _ => {}
            }
        }
        if let Some((claim, tenant, age, facts)) = found {
            let lifetimes = facts.lifetimes;
            let person = claim.person;
            let early = lifetimes.fresh / 1024 * u64::from(claim.refresh_jitter);
            let refresh = match age {
                a if a < lifetimes.fresh / 4 * 3 + early => Refresh::NotNeeded,
                a if a < lifetimes.fresh.saturating_mul(2) || facts.slow => Refresh::InBackground,
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
            let facts = &self.directories[usize::from(*d)];
            let age = |at: i64| {
                u64::try_from(now_ms.saturating_sub(at))
                    .unwrap_or(0)
                    .saturating_mul(MS)
            };
            facts
                .followed
                .is_some_and(|at| age(at) < facts.lifetimes.negative)
                && !claims.iter().any(|c| c.directory == *d)
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
        let claims = self
            .users
            .get(user)
            .map_or(&[][..], LookupRecords::as_slice);
        claims.iter().map(|c| (*c, self.age(c, ms(now)))).collect()
    }
}

/// A place between 0 and 1 for a user that no other front end gives them.
pub(crate) fn share(user: &str, seed: u64) -> f64 {
    struct Fixed;
    impl BuildHasher for Fixed {
        type Hasher = std::hash::DefaultHasher;
        fn build_hasher(&self) -> Self::Hasher {
            std::hash::DefaultHasher::new()
        }
    }
    (Fixed.hash_one((user, seed)) >> 11) as f64 / (1u64 << 53) as f64
}
