//! Tests of directories that are followed by content synchronization.

use pipithub_directory::{
    Directory, DirectoryEntry, Output, PersonId, Resolution, Settings, SyncEvent, Time,
};

use crate::support::{
    HOUR, SECOND, directory_settings, directory_with, entry, numbered_user, synchronize, tenant,
    tenant_base, tick_until_idle,
};

/// Passes the entries of these users to the core, as events of a followed directory.
fn report_entries(
    core: &mut Directory,
    now: Time,
    directory: usize,
    users: impl Iterator<Item = u64>,
    entry_of: impl Fn(u64) -> DirectoryEntry,
) {
    for number in users {
        synchronize(core, now, directory, SyncEvent::Entry(entry_of(number)));
    }
}

#[test]
fn followed_directory_resolves_all_users_after_a_full_refresh() {
    let mut core = directory_with(100, |_| {});
    synchronize(&mut core, 0, 0, SyncEvent::RefreshStarted { full: true });
    synchronize(&mut core, 0, 0, SyncEvent::Entry(entry("mai", "north", 1)));
    synchronize(&mut core, 0, 0, SyncEvent::Entry(entry("lan", "south", 2)));
    assert_eq!(
        core.roster().resolve("nobody", SECOND),
        Resolution::Unknown,
        "the first refresh is not complete"
    );
    synchronize(&mut core, SECOND, 0, SyncEvent::RefreshDone);
    assert_eq!(
        core.roster().resolve("nobody", SECOND),
        Resolution::NoTenant
    );
    let migrated = SyncEvent::Entry(entry("mai", "south", 1));
    let outputs = synchronize(&mut core, 2 * SECOND, 0, migrated);
    assert!(outputs.contains(&Output::UserMigrated("mai".into())));
    assert_eq!(tenant(&core, "mai", 2 * SECOND), Some(1));
    let renamed = SyncEvent::Entry(entry("may", "south", 1));
    synchronize(&mut core, 3 * SECOND, 0, renamed);
    let (old_name, new_name) = (
        tenant(&core, "mai", 3 * SECOND),
        tenant(&core, "may", 3 * SECOND),
    );
    assert_eq!(
        (old_name, new_name),
        (None, Some(1)),
        "the user was renamed"
    );
    synchronize(&mut core, 4 * SECOND, 0, SyncEvent::Deleted(PersonId(2)));
    assert_eq!(
        core.roster().resolve("lan", 4 * SECOND),
        Resolution::NoTenant
    );
    // Heartbeats confirm all records. After the connection is lost, the records age from the last heartbeat on.
    synchronize(&mut core, 20 * HOUR, 0, SyncEvent::Heartbeat);
    assert_eq!(tenant(&core, "may", 20 * HOUR), Some(1));
    synchronize(&mut core, 21 * HOUR, 0, SyncEvent::ConnectionLost);
    assert_eq!(tenant(&core, "may", 31 * HOUR), Some(1));
    assert_eq!(tenant(&core, "may", 33 * HOUR), None, "expired");
    assert_eq!(
        core.roster().resolve("newcomer", 33 * HOUR),
        Resolution::Unknown,
        "the records are no longer known to be complete"
    );
}

/// A user that a full refresh does not report has no entry any more, although no event reports the deletion.
#[test]
fn users_missing_from_a_full_refresh_are_removed() {
    let north = |number| entry(&numbered_user(number), "north", number + 1);
    let mut core = directory_with(10_000, |_| {});
    synchronize(&mut core, 0, 0, SyncEvent::RefreshStarted { full: true });
    report_entries(&mut core, 0, 0, 0..5_000, north);
    synchronize(&mut core, SECOND, 0, SyncEvent::RefreshDone);
    synchronize(&mut core, 10 * SECOND, 0, SyncEvent::ConnectionLost);
    let second_refresh = 20 * SECOND;
    synchronize(
        &mut core,
        second_refresh,
        0,
        SyncEvent::RefreshStarted { full: true },
    );
    report_entries(&mut core, second_refresh, 0, 0..100, north);
    let done = 21 * SECOND;
    let mut outputs = synchronize(&mut core, done, 0, SyncEvent::RefreshDone);
    tick_until_idle(&mut core, done, &mut outputs);
    let remaining = (0..5_000)
        .filter(|number| tenant(&core, &numbered_user(*number), done).is_some())
        .count();
    assert_eq!(remaining, 100);
    let migrated = outputs
        .iter()
        .filter(|output| matches!(output, Output::UserMigrated(_)))
        .count();
    assert_eq!(migrated, 4_900);
}

/// A followed directory with the users of one unit, whose names begin with the prefix.
struct FollowedUnit {
    directory: usize,
    unit: &'static str,
    prefix: &'static str,
}

/// When full refreshes of two followed directories end at the same time, the sweep of one directory must not replace the
/// sweep of the other. Otherwise users that were deleted from the first directory would stay valid.
#[test]
fn simultaneous_full_refreshes_of_two_directories_both_remove_missing_users() {
    let mut core = Directory::new(Settings {
        directories: vec![directory_settings(); 2],
        tenants: vec![tenant_base(0, "north"), tenant_base(1, "south")],
        max_users: 20_000,
        max_queue: 100,
        seed: 3,
        wall_clock_offset_ms: 0,
    });
    let units =
        [(0, "north", "n"), (1, "south", "s")].map(|(directory, unit, prefix)| FollowedUnit {
            directory,
            unit,
            prefix,
        });
    let full = SyncEvent::RefreshStarted { full: true };
    for unit in &units {
        synchronize(&mut core, 0, unit.directory, full.clone());
        report_entries(&mut core, 0, unit.directory, 0..5_000, |number| {
            let person = 2 * number + unit.directory as u64 + 1;
            entry(&format!("{}{number}", unit.prefix), unit.unit, person)
        });
        synchronize(&mut core, 0, unit.directory, SyncEvent::RefreshDone);
    }
    for unit in &units {
        synchronize(&mut core, 20 * SECOND, unit.directory, full.clone());
    }
    let done = 21 * SECOND;
    for unit in &units {
        synchronize(&mut core, done, unit.directory, SyncEvent::RefreshDone);
    }
    tick_until_idle(&mut core, done, &mut Vec::new());
    let remaining = units.each_ref().map(|unit| {
        (0..5_000)
            .filter(|number| tenant(&core, &format!("{}{number}", unit.prefix), done).is_some())
            .count()
    });
    assert_eq!(remaining, [0, 0]);
}
