//! Parses the header and the records of a snapshot whose authentication code has been verified.

use crate::record::{PersonId, TenantId, User};
use crate::snapshot::FINGERPRINT_LENGTH;

/// The header of a snapshot after the prefix.
pub(super) struct Header {
    pub(super) fingerprint: [u8; FINGERPRINT_LENGTH],
    pub(super) written_at_ms: i64,
    pub(super) record_count: u64,
}

/// A record as it is stored.
pub(super) struct WrittenRecord {
    pub(super) user: User,
    pub(super) directory: u16,
    pub(super) tenant: TenantId,
    pub(super) person: PersonId,
    pub(super) change_number: u64,
    /// The record's age in milliseconds when the snapshot was written.
    pub(super) age_ms: i64,
}

/// Reads a snapshot's contents from front to back. All methods return `None` if the contents end too early or a name is
/// not UTF-8.
pub(super) struct SnapshotReader<'a> {
    rest: &'a [u8],
}

impl<'a> SnapshotReader<'a> {
    /// Creates a reader of the contents, which begin with the fingerprint.
    pub(super) fn new(contents: &'a [u8]) -> Self {
        SnapshotReader { rest: contents }
    }

    pub(super) fn read_header(&mut self) -> Option<Header> {
        Some(Header {
            fingerprint: self.take()?,
            written_at_ms: i64::from_be_bytes(self.take()?),
            record_count: u64::from_be_bytes(self.take()?),
        })
    }

    pub(super) fn read_record(&mut self) -> Option<WrittenRecord> {
        Some(WrittenRecord {
            user: self.take_user()?,
            directory: u16::from_be_bytes(self.take()?),
            tenant: TenantId(u16::from_be_bytes(self.take()?)),
            person: PersonId(u64::from_be_bytes(self.take()?)),
            change_number: u64::from_be_bytes(self.take()?),
            age_ms: i64::from_be_bytes(self.take()?),
        })
    }

    fn take<const LENGTH: usize>(&mut self) -> Option<[u8; LENGTH]> {
        let (head, rest) = self.rest.split_first_chunk::<LENGTH>()?;
        self.rest = rest;
        Some(*head)
    }

    fn take_user(&mut self) -> Option<User> {
        let length = usize::from(u16::from_be_bytes(self.take()?));
        let (name, rest) = self.rest.split_at_checked(length)?;
        self.rest = rest;
        std::str::from_utf8(name).ok().map(Into::into)
    }
}
