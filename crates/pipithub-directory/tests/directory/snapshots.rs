//! Snapshots: what they keep, and which of them are rejected.

use pipithub_directory::snapshot::{self, SnapshotError, StoredRecord};
use pipithub_directory::{Directory, LookupRecord, LookupResult, PersonId, TenantId, Time};

use crate::support::{HOUR, HOUR_MS, SECOND, directory_with};

const FINGERPRINT: [u8; 32] = [1; 32];
const KEY: &[u8] = b"sixteen bytes....";
/// When the snapshots were written.
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
            last_wanted_day: 0,
        },
    }
}

/// A directory that has these records.
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
fn snapshots_keep_ages_and_are_rejected_where_they_do_not_fit() {
    let core = restored(vec![stored("mai", 0), stored("lan", -11 * HOUR_MS)]);
    let bytes = snapshot::write(core.roster(), SECOND, WALL_MS, FINGERPRINT, KEY);
    let now = read(&bytes, WALL_MS, FINGERPRINT, KEY).expect("ours");
    assert_eq!(now.len(), 2);
    let later = read(&bytes, WALL_MS + 2 * HOUR_MS, FINGERPRINT, KEY).expect("ours");
    assert_eq!(
        later.iter().map(|record| &*record.user).collect::<Vec<_>>(),
        ["mai"],
        "the other is past its bound by now"
    );
    assert_eq!(
        later[0].record.confirmed_at_ms,
        -2 * HOUR_MS - 1_000,
        "nothing is younger for having been written down"
    );
    assert_eq!(
        read(&bytes, WALL_MS, [2; 32], KEY),
        Err(SnapshotError::OtherDirectories)
    );
    assert_eq!(
        read(&bytes, WALL_MS, FINGERPRINT, b"another key......"),
        Err(SnapshotError::SealMismatch)
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

/// A step back between the writing and the restart must not make records look as fresh as when they were written.
#[test]
fn records_of_a_snapshot_from_the_future_are_old() {
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
