//! What directories said of users, as it is kept.

use std::sync::Arc;

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
    Several(Box<[LookupRecord]>),
}

impl LookupRecords {
    pub(crate) fn as_slice(&self) -> &[LookupRecord] {
        match self {
            LookupRecords::One(record) => std::slice::from_ref(record),
            LookupRecords::Several(records) => records,
        }
    }

    pub(crate) fn of(&self, directory: u16) -> Option<&LookupRecord> {
        self.as_slice().iter().find(|c| c.directory == directory)
    }

    /// The same with this claim in place of the directory's earlier one.
    pub(crate) fn with(&self, record: LookupRecord) -> LookupRecords {
        match self {
            LookupRecords::One(old) if old.directory == record.directory => {
                LookupRecords::One(record)
            }
            _ => {
                let others = self
                    .as_slice()
                    .iter()
                    .filter(|c| c.directory != record.directory)
                    .copied();
                LookupRecords::Several(others.chain([record]).collect())
            }
        }
    }
}
