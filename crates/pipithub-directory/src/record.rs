//! Results of looking a user up in a directory, as they are cached.

use std::sync::Arc;

use crate::time::{Time, to_ms};

/// A tenant, by its place in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub u16);

/// A user's name as requests give it, folded.
pub type User = Arc<str>;

/// Tells a person from another of the same name: their entry's `entryUUID`, hashed; 0: not known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PersonId(pub u64);

impl PersonId {
    /// Of the entry with this `entryUUID`, as text.
    pub fn from_uuid(uuid: &[u8]) -> PersonId {
        // FNV-1a, then a multiplication that spreads what differs over all bits.
        let hash = uuid.iter().fold(0xcbf2_9ce4_8422_2325u64, |hash, byte| {
            (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
        });
        PersonId(
            (hash ^ hash >> 29)
                .wrapping_mul(0xbf58_476d_1ce4_e5b9)
                .max(1),
        )
    }
}

/// The result of looking a user up in a directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LookupResult {
    /// One entry, below this tenant's base.
    Tenant(TenantId),
    /// No entry below any tenant's base.
    Absent,
    /// Several entries of the name.
    Ambiguous,
}

impl LookupResult {
    /// Whether it names a tenant.
    pub(crate) fn is_tenant(self) -> bool {
        matches!(self, LookupResult::Tenant(_))
    }
}

/// A user's look-up in one directory, and as of when its result is true.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LookupRecord {
    /// The directory.
    pub directory: u16,
    /// The result.
    pub result: LookupResult,
    /// The person whom the entry is of.
    pub person: PersonId,
    /// As of when it is true, in milliseconds on the caller's clock; what is older than the process is negative.
    pub confirmed_at_ms: i64,
    /// The newest change that the server's copy held; 0: the server does not give it.
    pub change_number: u64,
    /// Random: records that were confirmed together are not refreshed together.
    pub refresh_jitter: u8,
    /// The day on which the user was last wanted, modulo 256.
    pub last_wanted_day: u8,
}

impl LookupRecord {
    /// The directory's place in the settings.
    pub(crate) fn directory_index(&self) -> usize {
        usize::from(self.directory)
    }

    /// The milliseconds since it was confirmed.
    pub(crate) fn age_ms(&self, now: Time) -> i64 {
        to_ms(now).saturating_sub(self.confirmed_at_ms)
    }
}

/// All records of one user, one of each directory that has reported any.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum LookupRecords {
    /// Nearly all users are in one directory alone: their record needs no allocation of its own.
    One(LookupRecord),
    Several(Box<[LookupRecord]>),
}

impl LookupRecords {
    pub(crate) fn as_slice(&self) -> &[LookupRecord] {
        match self {
            LookupRecords::One(record) => std::slice::from_ref(record),
            LookupRecords::Several(records) => records,
        }
    }

    /// The record of a directory.
    pub(crate) fn of_directory(&self, directory: usize) -> Option<&LookupRecord> {
        self.as_slice()
            .iter()
            .find(|record| record.directory_index() == directory)
    }

    /// The same with this record in place of the directory's earlier one.
    pub(crate) fn with(&self, record: LookupRecord) -> LookupRecords {
        match self {
            LookupRecords::One(earlier) if earlier.directory == record.directory => {
                LookupRecords::One(record)
            }
            _ => {
                let others = self
                    .as_slice()
                    .iter()
                    .filter(|other| other.directory != record.directory)
                    .copied();
                LookupRecords::Several(others.chain([record]).collect())
            }
        }
    }
}
