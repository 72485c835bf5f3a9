//! Snapshots of the cached records, which preserve them across a restart.
//!
//! A snapshot ends with a message authentication code (HMAC-SHA256) over all bytes before it. A snapshot that was
//! changed, was written with another key or belongs to other directories is rejected completely. Records are stored with
//! their age, and the time since the snapshot was written is added when it is read, so that a restart does not make
//! records younger. That time is measured in wall time, as the monotonic clock is not comparable between processes; if
//! the wall clock was stepped meanwhile, the measured time is wrong by the step. A snapshot from the future shows that
//! the wall clock was stepped back: if the snapshot is ahead by up to a minute, it is treated as a minute old, otherwise
//! it is rejected.
//!
//! All numbers are big-endian. The header consists of the magic bytes, the version (two bytes), the fingerprint of the
//! directories (32 bytes), the Unix milliseconds at which the snapshot was written, and the number of records (eight
//! bytes each). Each record consists of the length of the user's name in two bytes, the name, directory and tenant in two
//! bytes each, then person, change number and age in milliseconds in eight bytes each.

mod reader;

use hmac::{Hmac, KeyInit, Mac};
use sha2::{Digest, Sha256};

use crate::record::{LookupRecord, LookupResult, User};
use crate::roster::{DirectoryStatus, Roster};
use crate::time::{Time, to_ms};

use self::reader::SnapshotReader;

const MAGIC: &[u8; 8] = b"pphroste";
const VERSION: u16 = 1;
const MAC_LENGTH: usize = 32;
const FINGERPRINT_LENGTH: usize = 32;
/// The length of the magic bytes and the version.
const PREFIX_LENGTH: usize = 8 + 2;
/// The offset of the number of records in the header.
const COUNT_OFFSET: usize = PREFIX_LENGTH + FINGERPRINT_LENGTH + 8;
const HEADER_LENGTH: usize = COUNT_OFFSET + 8;
/// The estimated length of a record, chosen so that nearly all snapshots need a single allocation.
const TYPICAL_RECORD_LENGTH: usize = 64;
/// How far in the future a snapshot may have been written. A snapshot from the future is treated as this old.
const MAX_AHEAD_MS: i64 = 60_000;

/// A user's record from a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRecord {
    /// The user's name, normalized as by [`pipithub_ldap::dn::fold`].
    pub user: User,
    /// The record, whose age includes the time from the writing to the reading of the snapshot.
    pub record: LookupRecord,
}

/// Why a snapshot is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The bytes are not a snapshot of the supported version.
    #[error("the data is not a snapshot of version {VERSION}")]
    NotASnapshot,
    /// The message authentication code does not match the contents and the key.
    #[error(
        "the authentication code does not match: the snapshot was changed, cut off, or written with another key"
    )]
    MacMismatch,
    /// The snapshot belongs to other directories or tenants.
    #[error("the snapshot was written for other directories or tenants")]
    OtherDirectories,
    /// The snapshot was written this many milliseconds in the future.
    #[error("it was written {0} ms ahead of now: a clock was set")]
    FromFuture(i64),
}

/// Computes the fingerprint that distinguishes one set of directories and tenants from another.
pub fn fingerprint<'a>(parts: impl Iterator<Item = &'a str>) -> [u8; FINGERPRINT_LENGTH] {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part.as_bytes());
    }
    hash.finalize().into()
}

/// Encodes a snapshot of all valid records that name a tenant. `wall_ms` is the present wall time in Unix milliseconds.
pub fn write(
    roster: &Roster,
    now: Time,
    wall_ms: i64,
    fingerprint: [u8; FINGERPRINT_LENGTH],
    key: &[u8],
) -> Vec<u8> {
    let expected_length = HEADER_LENGTH + roster.len() * TYPICAL_RECORD_LENGTH + MAC_LENGTH;
    let mut bytes = Vec::with_capacity(expected_length);
    bytes.extend(MAGIC);
    bytes.extend(VERSION.to_be_bytes());
    bytes.extend(fingerprint);
    bytes.extend(wall_ms.to_be_bytes());
    bytes.extend(0u64.to_be_bytes());
    let mut count = 0u64;
    for (user, records) in roster.users.iter() {
        for record in records.as_slice() {
            let status = roster.directories.get(record.directory_index());
            if status.is_some_and(|status| write_record(&mut bytes, status, now, user, record)) {
                count += 1;
            }
        }
    }
    bytes[COUNT_OFFSET..HEADER_LENGTH].copy_from_slice(&count.to_be_bytes());
    let mac = compute_mac(key, &bytes).finalize().into_bytes();
    bytes.extend(mac);
    bytes
}

/// Appends a record if it names a tenant and is valid. Returns whether it was appended.
fn write_record(
    bytes: &mut Vec<u8>,
    status: &DirectoryStatus,
    now: Time,
    user: &str,
    record: &LookupRecord,
) -> bool {
    let LookupResult::Tenant(tenant) = record.result else {
        return false;
    };
    let age_ms = to_ms(now).saturating_sub(status.confirmed_at_ms(record));
    if age_ms >= to_ms(status.lifetimes.max_stale) {
        return false;
    }
    bytes.extend((user.len() as u16).to_be_bytes());
    bytes.extend(user.as_bytes());
    bytes.extend(record.directory.to_be_bytes());
    bytes.extend(tenant.0.to_be_bytes());
    bytes.extend(record.person.0.to_be_bytes());
    bytes.extend(record.change_number.to_be_bytes());
    bytes.extend(age_ms.max(0).to_be_bytes());
    true
}

/// Reads a snapshot, with the records' ages as of now. `wall_ms` is the present wall time in Unix milliseconds. `max_age`
/// returns the age from which on a directory's records are no longer valid, and `None` if the settings do not have the
/// directory. Records that are no longer valid or have no directory are left out.
///
/// # Errors
///
/// Fails if the bytes are not a snapshot, were not written with this key and for these directories, or were written more
/// than a minute in the future.
pub fn read(
    bytes: &[u8],
    now: Time,
    wall_ms: i64,
    fingerprint: [u8; FINGERPRINT_LENGTH],
    key: &[u8],
    max_age: impl Fn(u16) -> Option<Time>,
) -> Result<Vec<StoredRecord>, SnapshotError> {
    let contents = verify(bytes, key)?;
    let mut reader = SnapshotReader::new(contents);
    let header = reader.read_header().ok_or(SnapshotError::NotASnapshot)?;
    if header.fingerprint != fingerprint {
        return Err(SnapshotError::OtherDirectories);
    }
    let elapsed_ms = elapsed_ms(header.written_at_ms, wall_ms)?;
    let mut stored = Vec::new();
    for number in 0..header.record_count {
        let written = reader.read_record().ok_or(SnapshotError::NotASnapshot)?;
        let age_ms = written.age_ms.saturating_add(elapsed_ms);
        let max_age = max_age(written.directory);
        if max_age.is_some_and(|max_age| age_ms < to_ms(max_age)) {
            stored.push(StoredRecord {
                record: LookupRecord {
                    directory: written.directory,
                    result: LookupResult::Tenant(written.tenant),
                    person: written.person,
                    confirmed_at_ms: to_ms(now).saturating_sub(age_ms),
                    change_number: written.change_number,
                    refresh_jitter: number as u8,
                    last_lookup_day: 0,
                },
                user: written.user,
            });
        }
    }
    Ok(stored)
}

/// Verifies the prefix and the authentication code, and returns the bytes between them.
fn verify<'a>(bytes: &'a [u8], key: &[u8]) -> Result<&'a [u8], SnapshotError> {
    let has_prefix =
        bytes.starts_with(MAGIC) && bytes[MAGIC.len()..].starts_with(&VERSION.to_be_bytes());
    if bytes.len() < HEADER_LENGTH + MAC_LENGTH || !has_prefix {
        return Err(SnapshotError::NotASnapshot);
    }
    let (authenticated, expected) = bytes.split_at(bytes.len() - MAC_LENGTH);
    compute_mac(key, authenticated)
        .verify_slice(expected)
        .map_err(|_| SnapshotError::MacMismatch)?;
    Ok(&authenticated[PREFIX_LENGTH..])
}

fn compute_mac(key: &[u8], bytes: &[u8]) -> Hmac<Sha256> {
    // HMAC accepts keys of any length (RFC 2104), so this never fails.
    let mut mac =
        Hmac::<Sha256>::new_from_slice(key).unwrap_or_else(|_| Hmac::new(&Default::default()));
    mac.update(bytes);
    mac
}

/// The milliseconds since a snapshot was written; [`MAX_AHEAD_MS`] if it is slightly ahead of the wall clock.
fn elapsed_ms(written_at_ms: i64, wall_ms: i64) -> Result<i64, SnapshotError> {
    let elapsed_ms = wall_ms.saturating_sub(written_at_ms);
    if elapsed_ms < -MAX_AHEAD_MS {
        return Err(SnapshotError::FromFuture(elapsed_ms.saturating_neg()));
    }
    let is_ahead = elapsed_ms < 0;
    Ok(if is_ahead { MAX_AHEAD_MS } else { elapsed_ms })
}
