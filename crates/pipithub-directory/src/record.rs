//! The cached results of looking users up in directories.

use std::sync::Arc;

use crate::time::{Time, to_ms};

/// A tenant, by its index in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub u16);

/// A user's name as requests give it, normalized as by [`pipithub_ldap::dn::fold`].
pub type User = Arc<str>;

/// Distinguishes people who have the same user name at different times: the hash of the `entryUUID` of the person's
/// entry. 0 means that the person is not known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PersonId(pub u64);

impl PersonId {
    /// The person of the entry with this `entryUUID`, given in its text form.
    pub fn from_uuid(uuid: &[u8]) -> PersonId {
        // FNV-1a, then a multiplication that spreads the differences over all bits.
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
    /// The directory has one entry with the name, below this tenant's base.
    Tenant(TenantId),
    /// The directory has no entry with the name below any tenant's base.
    Absent,
    /// The directory has several entries with the name.
    Ambiguous,
}

impl LookupResult {
    /// Whether the result names a tenant.
    pub(crate) fn is_tenant(self) -> bool {
        matches!(self, LookupResult::Tenant(_))
    }
}

/// The result of a user's look-up in one directory, and when it was confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LookupRecord {
    /// The directory's index in the settings.
    pub directory: u16,
    /// The result that the directory reported.
    pub result: LookupResult,
    /// The person that the entry belongs to; [`PersonId::default`] if there is no single entry.
    pub person: PersonId,
    /// The time at which the result is known to have been true, in milliseconds on the caller's clock. It is negative if
    /// that was before the start of the process.
    pub confirmed_at_ms: i64,
    /// The number of the newest change in the server's copy; 0 if the server does not report it.
    pub change_number: u64,
    /// A random number, so that records that were confirmed together are refreshed at different times.
    pub refresh_jitter: u8,
    /// The day of the user's latest look-up for a request, as days since the Unix epoch modulo 256. Only one of the
    /// user's records is sure to hold the latest day.
    pub last_lookup_day: u8,
}

impl LookupRecord {
    /// The directory's index in the settings.
    pub(crate) fn directory_index(&self) -> usize {
        usize::from(self.directory)
    }

    /// The milliseconds since the record was confirmed.
    pub(crate) fn age_ms(&self, now: Time) -> i64 {
        to_ms(now).saturating_sub(self.confirmed_at_ms)
    }
}

/// All records of one user, at most one from each directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum LookupRecords {
    /// The record of a user who is in one directory only, as nearly all users are. It needs no allocation.
    One(LookupRecord),
    /// The records of a user from several directories.
    Several(Box<[LookupRecord]>),
}

impl LookupRecords {
    pub(crate) fn as_slice(&self) -> &[LookupRecord] {
        match self {
            LookupRecords::One(record) => std::slice::from_ref(record),
            LookupRecords::Several(records) => records,
        }
    }

    /// The record from one directory; `None` if there is none.
    pub(crate) fn of_directory(&self, directory: usize) -> Option<&LookupRecord> {
        self.as_slice()
            .iter()
            .find(|record| record.directory_index() == directory)
    }

    /// A copy of the records with this record added, in place of an earlier one from the same directory.
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
