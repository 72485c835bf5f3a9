//! What is known, kept over a restart.
//!
//! A snapshot is sealed with HMAC-SHA256 over everything in it: one that was changed, was written under another key, or
//! belongs to other directories is refused whole. Facts carry their age when written; the time since then is added, so
//! that nothing becomes younger by a restart. That time is wall time, the only one that outlives a process: where the wall
//! clock was stepped meanwhile it is wrong by the step. A snapshot from the future shows a step back. One from up to a
//! minute ahead is taken as a minute old; one from further ahead is refused.

use hmac::{Hmac, KeyInit, Mac};
use sha2::{Digest, Sha256};

use crate::facts::{LookupRecord, LookupResult, PersonId, TenantId, User, ms};
use crate::{Roster, Time};

const MAGIC: &[u8; 8] = b"pphroste";
const VERSION: u16 = 1;
const SEAL: usize = 32;
const HEAD: usize = 8 + 2 + 32 + 8 + 8;
/// A snapshot from further ahead than this is refused, and one from less far ahead is taken to be as old.
const AHEAD_MOST_MS: i64 = 60_000;

/// A user's record as a snapshot holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRecord {
    /// The user.
    pub user: User,
    /// What a directory said of them.
    pub record: LookupRecord,
}

/// Why a snapshot is not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// It is none.
    #[error("this is no snapshot of version {VERSION}")]
    NotASnapshot,
    /// Its seal does not fit.
    #[error("its seal does not fit: it was changed, cut off, or written under another key")]
    SealMismatch,
    /// It is of other directories or tenants.
    #[error("it was written for other directories or tenants")]
    OtherDirectories,
    /// It is from the future.
    #[error("it was written {0} ms ahead of now: a clock was set")]
    FromFuture(i64),
}

/// Tells one set of directories and tenants from another.
pub fn fingerprint<'a>(parts: impl Iterator<Item = &'a str>) -> [u8; 32] {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part.as_bytes());
    }
    hash.finalize().into()
}

fn seal(key: &[u8], bytes: &[u8]) -> Hmac<Sha256> {
    // Keys of any length are taken (RFC 2104); the error is for other kinds of MAC.
    let mut mac =
        Hmac::<Sha256>::new_from_slice(key).unwrap_or_else(|_| Hmac::new(&Default::default()));
    mac.update(bytes);
    mac
}

/// Writes what is known and not past its bound.
pub fn write(roster: &Roster, now: Time, wall_ms: i64, of: [u8; 32], key: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(HEAD + roster.len() * 64 + SEAL);
    out.extend(MAGIC);
    out.extend(VERSION.to_be_bytes());
    out.extend(of);
    out.extend(wall_ms.to_be_bytes());
    let count_at = out.len();
    out.extend(0u64.to_be_bytes());
    let mut count = 0u64;
    for (user, claims) in roster.users.iter() {
        for claim in claims.as_slice() {
            let Some(facts) = roster.directories.get(usize::from(claim.directory)) else {
                continue;
            };
            let LookupResult::Tenant(tenant) = claim.result else {
                continue;
            };
            let confirmed = claim
                .confirmed_at_ms
                .max(facts.followed.unwrap_or(i64::MIN));
            let age = ms(now).saturating_sub(confirmed);
            if age >= ms(facts.lifetimes.max_stale) {
                continue;
            }
            count += 1;
            out.extend((user.len() as u16).to_be_bytes());
            out.extend(user.as_bytes());
            out.extend(claim.directory.to_be_bytes());
            out.extend(tenant.0.to_be_bytes());
            out.extend(claim.person.0.to_be_bytes());
            out.extend(claim.change_number.to_be_bytes());
            out.extend(age.max(0).to_be_bytes());
        }
    }
    out[count_at..count_at + 8].copy_from_slice(&count.to_be_bytes());
    let tag = seal(key, &out).finalize().into_bytes();
    out.extend(tag);
    out
}

struct Bytes<'a>(&'a [u8]);

impl Bytes<'_> {
    fn take<const N: usize>(&mut self) -> Option<[u8; N]> {
        let (head, rest) = self.0.split_first_chunk::<N>()?;
        self.0 = rest;
        Some(*head)
    }

    fn text(&mut self) -> Option<User> {
        let length = usize::from(u16::from_be_bytes(self.take()?));
        let (head, rest) = self.0.split_at_checked(length)?;
        self.0 = rest;
        std::str::from_utf8(head).ok().map(Into::into)
    }
}

/// The milliseconds that have passed since a snapshot was written.
fn time_since(written_ms: i64, wall_ms: i64) -> Result<i64, SnapshotError> {
    let passed = wall_ms.saturating_sub(written_ms);
    if passed < -AHEAD_MOST_MS {
        return Err(SnapshotError::FromFuture(passed.saturating_neg()));
    }
    Ok(if passed < 0 { AHEAD_MOST_MS } else { passed })
}

/// Reads a snapshot: facts with their age by now. `tenants` and `directories` bound what it may name; facts older than
/// `most` are left out.
pub fn read(
    bytes: &[u8],
    now: Time,
    wall_ms: i64,
    of: [u8; 32],
    key: &[u8],
    most: impl Fn(u16) -> Option<Time>,
) -> Result<Vec<StoredRecord>, SnapshotError> {
    if bytes.len() < HEAD + SEAL || &bytes[..8] != MAGIC || bytes[8..10] != VERSION.to_be_bytes() {
        return Err(SnapshotError::NotASnapshot);
    }
    let (body, tag) = bytes.split_at(bytes.len() - SEAL);
    seal(key, body)
        .verify_slice(tag)
        .map_err(|_| SnapshotError::SealMismatch)?;
    let mut rest = Bytes(&body[10..]);
    let (Some(written_for), Some(at), Some(count)) = (rest.take::<32>(), rest.take(), rest.take())
    else {
        return Err(SnapshotError::NotASnapshot);
    };
    if written_for != of {
        return Err(SnapshotError::OtherDirectories);
    }
    let passed = time_since(i64::from_be_bytes(at), wall_ms)?;
    let mut facts = Vec::new();
    for number in 0..u64::from_be_bytes(count) {
        let fact = (|| {
            let user = rest.text()?;
            let directory = u16::from_be_bytes(rest.take()?);
            let told = LookupResult::Tenant(TenantId(u16::from_be_bytes(rest.take()?)));
            let person = PersonId(u64::from_be_bytes(rest.take()?));
            let mark = u64::from_be_bytes(rest.take()?);
            let age = i64::from_be_bytes(rest.take()?).saturating_add(passed);
            Some((
                user,
                LookupRecord {
                    directory,
                    result: told,
                    person,
                    change_number: mark,
                    confirmed_at_ms: ms(now).saturating_sub(age),
                    refresh_jitter: number as u8,
                    last_wanted_day: 0,
                },
                age,
            ))
        })();
        let (user, claim, age) = fact.ok_or(SnapshotError::NotASnapshot)?;
        if most(claim.directory).is_some_and(|most| age < ms(most)) {
            facts.push(StoredRecord {
                user,
                record: claim,
            });
        }
    }
    Ok(facts)
}
