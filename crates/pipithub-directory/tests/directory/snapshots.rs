//! Tests of snapshots: what they preserve, and when they are rejected.

use pipithub_directory::snapshot::{self, SnapshotError, StoredRecord};
use pipithub_directory::{Directory, LookupRecord, LookupResult, PersonId, TenantId, Time};

use crate::support::{HOUR, HOUR_MS, SECOND, directory_with};

const FINGERPRINT: [u8; 32] = [1; 32];
const KEY: &[u8] = b"sixteen bytes....";
/// The wall time at which the snapshots are written, in Unix milliseconds.
const WALL_MS: i64 = 1_800_000_000_000;

fn stored(user: &str, confirmed_at_ms: i64) -> StoredRecord {
    StoredRecord {
        user: user.into(),
        record: LookupRecord {
            directory: 0,
            result: LookupResult::Tenant(TenantId(1)),
            person: PersonId(7),
            confirmed_at_ms,
            change_number: 3,
            refresh_jitter: 0,
            last_lookup_day: 0,
        },
    }
}

/// A core that caches these records.
fn restored(records: Vec<StoredRecord>) -> Directory {
    let mut core = directory_with(100, |_| {});
    core.restore(0, records);
    core
}

fn max_age(directory: u16) -> Option<Time> {
    (directory == 0).then_some(12 * HOUR)
}

fn read(
    bytes: &[u8],
    wall_ms: i64,
    fingerprint: [u8; 32],
    key: &[u8],
) -> Result<Vec<StoredRecord>, SnapshotError> {
    snapshot::read(bytes, 0, wall_ms, fingerprint, key, max_age)
}

#[test]
fn snapshot_preserves_ages_and_is_rejected_if_changed_or_foreign() {
    let core = restored(vec![stored("mai", 0), stored("lan", -11 * HOUR_MS)]);
    let bytes = snapshot::write(core.roster(), SECOND, WALL_MS, FINGERPRINT, KEY);
    let now = read(&bytes, WALL_MS, FINGERPRINT, KEY).expect("a valid snapshot");
    assert_eq!(now.len(), 2);
    let later = read(&bytes, WALL_MS + 2 * HOUR_MS, FINGERPRINT, KEY).expect("a valid snapshot");
    assert_eq!(
        later.iter().map(|record| &*record.user).collect::<Vec<_>>(),
        ["mai"],
        "the other record has expired"
    );
    assert_eq!(
        later[0].record.confirmed_at_ms,
        -2 * HOUR_MS - 1_000,
        "the age includes the time since the snapshot was written"
    );
    assert_eq!(
        read(&bytes, WALL_MS, [2; 32], KEY),
        Err(SnapshotError::OtherDirectories)
    );
    assert_eq!(
        read(&bytes, WALL_MS, FINGERPRINT, b"another key......"),
        Err(SnapshotError::MacMismatch)
    );
    assert!(matches!(
        read(&bytes, WALL_MS - 100_000, FINGERPRINT, KEY),
        Err(SnapshotError::FromFuture(_))
    ));
    for at in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[at] ^= 1;
        let outcome = read(&changed, WALL_MS, FINGERPRINT, KEY);
        assert!(outcome.is_err(), "byte {at}");
        let outcome = read(&bytes[..at], WALL_MS, FINGERPRINT, KEY);
        assert!(outcome.is_err(), "cut at {at}");
    }
}

/// If the wall clock is stepped back between the writing and the reading of a snapshot, records must not appear fresher
/// than they are.
#[test]
fn snapshot_from_the_future_is_aged_by_a_minute_or_rejected() {
    let core = restored(vec![stored("mai", 0)]);
    let bytes = snapshot::write(core.roster(), SECOND, WALL_MS, FINGERPRINT, KEY);
    let age = |wall_ms| {
        let records = read(&bytes, wall_ms, FINGERPRINT, KEY)?;
        Ok(-records[0].record.confirmed_at_ms)
    };
    assert_eq!(age(WALL_MS), Ok(1_000));
    assert_eq!(age(WALL_MS + 5_000), Ok(6_000));
    assert_eq!(age(WALL_MS - 1), Ok(61_000));
    assert_eq!(age(WALL_MS - 60_000), Ok(61_000));
    assert_eq!(
        age(WALL_MS - 60_001),
        Err(SnapshotError::FromFuture(60_001))
    );
    assert_eq!(
        age(WALL_MS - HOUR_MS),
        Err(SnapshotError::FromFuture(3_600_000))
    );
    assert_eq!(age(i64::MIN), Err(SnapshotError::FromFuture(i64::MAX)));
}
