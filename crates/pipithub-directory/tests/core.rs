//! The directory core by itself: followed directories, days and peaks, bounds, snapshots.

use pipithub_directory::snapshot::StoredRecord;
use pipithub_directory::{
    DailyPeak, Directory, DirectoryEntry, DirectorySettings, Input, Lifetimes, LookupRecord,
    LookupResult, Output, PersonId, Query, Resolution, SearchResponse, Settings, SyncEvent,
    TenantBase, TenantId, Time, snapshot,
};
use pipithub_ldap::Dn;

const S: Time = 1_000_000_000;
const HOUR: Time = 3_600 * S;

fn dn(text: &str) -> Dn {
    Dn::parse(text).expect(text)
}

fn core(max_users: usize, change: impl FnOnce(&mut DirectorySettings)) -> Directory {
    let mut directory = DirectorySettings {
        lifetimes: Lifetimes {
            fresh: HOUR,
            max_stale: 12 * HOUR,
            negative: 30 * S,
        },
        ..DirectorySettings::default()
    };
    change(&mut directory);
    Directory::new(Settings {
        directories: vec![directory],
        tenants: ["north", "south"]
            .map(|ou| TenantBase {
                directory: 0,
                base: dn(&format!("ou={ou},dc=example")),
            })
            .to_vec(),
        max_users,
        max_queue: 10_000,
        seed: 3,
        wall_clock_offset_ms: 0,
    })
}

fn found(user: &str, ou: &str, person: u64) -> DirectoryEntry {
    DirectoryEntry {
        user: user.into(),
        dn: dn(&format!("uid={user},ou={ou},dc=example")),
        person: PersonId(person),
    }
}

fn stored(user: &str, record: LookupRecord) -> StoredRecord {
    StoredRecord {
        user: user.into(),
        record,
    }
}

fn told(core: &mut Directory, now: Time, event: SyncEvent) -> Vec<Output> {
    let mut out = Vec::new();
    core.handle(
        now,
        Input::Synchronization {
            directory: 0,
            event,
        },
        &mut out,
    );
    out
}

fn tenant(core: &Directory, user: &str, now: Time) -> Option<u16> {
    match core.roster().resolve(user, now) {
        Resolution::Tenant { tenant, .. } => Some(tenant.0),
        _ => None,
    }
}

/// Answers every search with everybody on the north side; when and how many were asked for.
fn run(
    core: &mut Directory,
    now: &mut Time,
    until: Time,
    mut out: Vec<Output>,
) -> Vec<(Time, usize)> {
    let mut asked = Vec::new();
    loop {
        for output in std::mem::take(&mut out) {
            if let Output::Search { id, query, .. } = output {
                let users = if let Query::Users(users) = query {
                    users
                } else {
                    Vec::new()
                };
                asked.push((*now, users.len()));
                let entries = users.iter().map(|u| found(u, "north", 1)).collect();
                let answer = SearchResponse {
                    entries,
                    change_number: Some(1),
                    base_exists: true,
                    newest_modify_timestamp: None,
                };
                core.handle(
                    *now,
                    Input::SearchEnded {
                        search: id,
                        outcome: Ok(answer),
                    },
                    &mut out,
                );
            }
        }
        if !out.is_empty() {
            continue;
        }
        let Some(due) = core.next_due(*now).filter(|d| *d <= until) else {
            break;
        };
        *now = due.max(*now);
        core.handle(*now, Input::Tick, &mut out);
    }
    *now = until;
    asked
}

#[test]
fn a_followed_directory_is_known_whole() {
    let mut core = core(100, |_| {});
    told(&mut core, 0, SyncEvent::RefreshStarted { full: true });
    told(&mut core, 0, SyncEvent::Entry(found("mai", "north", 1)));
    told(&mut core, 0, SyncEvent::Entry(found("lan", "south", 2)));
    assert_eq!(
        core.roster().resolve("nobody", S),
        Resolution::Unknown,
        "not whole yet"
    );
    told(&mut core, S, SyncEvent::RefreshDone);
    assert_eq!(core.roster().resolve("nobody", S), Resolution::NoTenant);
    let out = told(&mut core, 2 * S, SyncEvent::Entry(found("mai", "south", 1)));
    assert!(out.contains(&Output::UserMigrated("mai".into())));
    assert_eq!(tenant(&core, "mai", 2 * S), Some(1));
    told(&mut core, 3 * S, SyncEvent::Entry(found("may", "south", 1)));
    assert_eq!(
        (tenant(&core, "mai", 3 * S), tenant(&core, "may", 3 * S)),
        (None, Some(1)),
        "renamed"
    );
    told(&mut core, 4 * S, SyncEvent::Deleted(PersonId(2)));
    assert_eq!(core.roster().resolve("lan", 4 * S), Resolution::NoTenant);
    // As long as the connection is good nothing ages; then it does, from the last good moment.
    told(&mut core, 20 * HOUR, SyncEvent::Heartbeat);
    assert_eq!(tenant(&core, "may", 20 * HOUR), Some(1));
    told(&mut core, 21 * HOUR, SyncEvent::ConnectionLost);
    assert_eq!(tenant(&core, "may", 31 * HOUR), Some(1));
    assert_eq!(tenant(&core, "may", 33 * HOUR), None, "past the hard bound");
    assert_eq!(
        core.roster().resolve("newcomer", 33 * HOUR),
        Resolution::Unknown,
        "no longer known whole"
    );
}

/// Who is not named in a whole telling is gone, though no word of that ever comes.
#[test]
fn what_a_refresh_does_not_name_is_gone() {
    let mut core = core(10_000, |_| {});
    told(&mut core, 0, SyncEvent::RefreshStarted { full: true });
    (0..5_000).for_each(|n| {
        drop(told(
            &mut core,
            0,
            SyncEvent::Entry(found(&format!("u{n}"), "north", n + 1)),
        ));
    });
    told(&mut core, S, SyncEvent::RefreshDone);
    told(&mut core, 10 * S, SyncEvent::ConnectionLost);
    told(&mut core, 20 * S, SyncEvent::RefreshStarted { full: true });
    (0..100).for_each(|n| {
        drop(told(
            &mut core,
            20 * S,
            SyncEvent::Entry(found(&format!("u{n}"), "north", n + 1)),
        ));
    });
    let mut out = told(&mut core, 21 * S, SyncEvent::RefreshDone);
    let mut now = 21 * S;
    while let Some(due) = core.next_due(now).filter(|d| *d <= 21 * S) {
        now = due;
        core.handle(now, Input::Tick, &mut out);
    }
    let left = (0..5_000)
        .filter(|n| tenant(&core, &format!("u{n}"), 21 * S).is_some())
        .count();
    assert_eq!(left, 100);
    assert_eq!(
        out.iter()
            .filter(|o| matches!(o, Output::UserMigrated(_)))
            .count(),
        4_900
    );
}

#[test]
fn known_users_are_asked_for_ahead_of_the_peak_in_few_searches() {
    let peak = DailyPeak {
        starts_at_ms: 6 * 3_600_000,
        lead_ms: 3_600_000,
    };
    let mut core = core(10_000, |d| d.daily_peak = Some(peak));
    let (mut now, mut out) = (0, Vec::new());
    for n in 0..500 {
        core.handle(
            now,
            Input::LookUp {
                user: format!("u{n}").into(),
                urgent: true,
            },
            &mut out,
        );
    }
    run(&mut core, &mut now, S, std::mem::take(&mut out));
    let asked = run(&mut core, &mut now, 6 * HOUR, Vec::new());
    let users: usize = asked.iter().map(|a| a.1).sum();
    assert!(users >= 490, "{users} of 500 were asked for anew");
    assert!(
        asked.iter().filter(|a| a.1 > 0).all(|a| a.0 >= 5 * HOUR),
        "within the hour before"
    );
    assert!(asked.len() <= 500 / 3, "{} searches", asked.len());
    let fresh = |n| matches!(core.roster().resolve(&format!("u{n}"), now), Resolution::Tenant { age, .. } if age <= HOUR + 60 * S);
    assert!((0..500).filter(|n| fresh(*n)).count() >= 490);
}

/// The peak is in wall time: it had been counted from the wall time at the start for good.
#[test]
fn after_a_step_of_the_wall_clock_the_peak_is_where_the_wall_has_it() {
    let peak = DailyPeak {
        starts_at_ms: 6 * 3_600_000,
        lead_ms: 3_600_000,
    };
    let mut core = core(10_000, |d| d.daily_peak = Some(peak));
    let (mut now, mut out) = (S, Vec::new());
    core.set_wall_clock(now, 3 * 3_600_000 + 1_000);
    for n in 0..100 {
        core.handle(
            now,
            Input::LookUp {
                user: format!("u{n}").into(),
                urgent: true,
            },
            &mut out,
        );
    }
    run(&mut core, &mut now, 2 * S, std::mem::take(&mut out));
    let asked = run(&mut core, &mut now, 5 * HOUR, Vec::new());
    let asked: Vec<_> = asked.into_iter().filter(|(_, users)| *users > 0).collect();
    assert!(
        asked.iter().map(|(_, users)| users).sum::<usize>() >= 98,
        "{asked:?}"
    );
    assert!(
        asked
            .iter()
            .all(|(at, _)| (2 * HOUR..=3 * HOUR + 60 * S).contains(at)),
        "{asked:?}"
    );
}

#[test]
fn users_and_queues_are_bounded() {
    let mut core = core(50, |_| {});
    let (mut now, mut out) = (0, Vec::new());
    for n in 0..1_000 {
        core.handle(
            now,
            Input::LookUp {
                user: format!("u{n}").into(),
                urgent: true,
            },
            &mut out,
        );
        now += S / 10;
    }
    run(&mut core, &mut now, 200 * S, std::mem::take(&mut out));
    assert_eq!(core.roster().len(), 50);
    // All that nobody asks for again goes.
    run(&mut core, &mut now, 40 * HOUR, Vec::new());
    assert_eq!(core.roster().len(), 0);
}

#[test]
fn snapshots_are_taken_by_their_age_and_refused_where_they_are_not_ours() {
    let mut core = core(100, |_| {});
    let claim = |confirmed| LookupRecord {
        directory: 0,
        result: LookupResult::Tenant(TenantId(1)),
        person: PersonId(7),
        confirmed_at_ms: confirmed,
        change_number: 3,
        refresh_jitter: 0,
        last_wanted_day: 0,
    };
    core.restore(
        0,
        vec![
            stored("mai", claim(0)),
            stored("lan", claim(-11 * 3_600_000)),
        ],
    );
    let (of, key) = ([1; 32], &b"sixteen bytes...."[..]);
    let wall = 1_800_000_000_000;
    let bytes = snapshot::write(core.roster(), S, wall, of, key);
    let most = |d: u16| (d == 0).then_some(12 * HOUR);
    let read = |bytes: &[u8], wall, of, key: &[u8]| snapshot::read(bytes, 0, wall, of, key, most);
    let now = read(&bytes, wall, of, key).expect("ours");
    assert_eq!(now.len(), 2);
    let later = read(&bytes, wall + 2 * 3_600_000, of, key).expect("ours");
    assert_eq!(
        later.iter().map(|f| &*f.user).collect::<Vec<_>>(),
        ["mai"],
        "the other is past its bound by now"
    );
    assert_eq!(
        later[0].record.confirmed_at_ms,
        -2 * 3_600_000 - 1_000,
        "nothing is younger for having been written down"
    );
    assert_eq!(
        read(&bytes, wall, [2; 32], key),
        Err(snapshot::SnapshotError::OtherDirectories)
    );
    assert_eq!(
        read(&bytes, wall, of, b"another key......"),
        Err(snapshot::SnapshotError::SealMismatch)
    );
    assert!(matches!(
        read(&bytes, wall - 100_000, of, key),
        Err(snapshot::SnapshotError::FromFuture(_))
    ));
    for at in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[at] ^= 1;
        assert!(read(&changed, wall, of, key).is_err(), "byte {at}");
        assert!(read(&bytes[..at], wall, of, key).is_err(), "cut at {at}");
    }
}

/// A step back between the writing and the restart must not make facts look as fresh as when they were written.
#[test]
fn facts_from_a_snapshot_of_the_future_are_old() {
    let mut core = core(100, |_| {});
    let claim = LookupRecord {
        directory: 0,
        result: LookupResult::Tenant(TenantId(1)),
        person: PersonId(7),
        confirmed_at_ms: 0,
        change_number: 3,
        refresh_jitter: 0,
        last_wanted_day: 0,
    };
    core.restore(0, vec![stored("mai", claim)]);
    let (of, key, wall) = ([1; 32], &b"sixteen bytes...."[..], 1_800_000_000_000);
    let bytes = snapshot::write(core.roster(), S, wall, of, key);
    let age = |wall| {
        let facts = snapshot::read(&bytes, 0, wall, of, key, |_| Some(12 * HOUR))?;
        Ok(-facts[0].record.confirmed_at_ms)
    };
    assert_eq!(age(wall), Ok(1_000));
    assert_eq!(age(wall + 5_000), Ok(6_000));
    assert_eq!(age(wall - 1), Ok(61_000));
    assert_eq!(age(wall - 60_000), Ok(61_000));
    assert_eq!(
        age(wall - 60_001),
        Err(snapshot::SnapshotError::FromFuture(60_001))
    );
    assert_eq!(
        age(wall - 3_600_000),
        Err(snapshot::SnapshotError::FromFuture(3_600_000))
    );
    assert_eq!(
        age(i64::MIN),
        Err(snapshot::SnapshotError::FromFuture(i64::MAX))
    );
}

/// Two followed directories were told whole in one moment: the second one's end lost the first one's, and whoever was gone
/// from that stayed, as fresh as the connection.
#[test]
fn refreshes_of_two_directories_do_not_lose_each_other() {
    let directory = DirectorySettings {
        lifetimes: Lifetimes {
            fresh: HOUR,
            max_stale: 12 * HOUR,
            negative: 30 * S,
        },
        ..DirectorySettings::default()
    };
    let mut core = Directory::new(Settings {
        directories: vec![directory; 2],
        tenants: vec![
            TenantBase {
                directory: 0,
                base: dn("ou=north,dc=example"),
            },
            TenantBase {
                directory: 1,
                base: dn("ou=south,dc=example"),
            },
        ],
        max_users: 20_000,
        max_queue: 100,
        seed: 3,
        wall_clock_offset_ms: 0,
    });
    let mut out = Vec::new();
    let mut tell = |core: &mut Directory, now, directory, event| {
        core.handle(now, Input::Synchronization { directory, event }, &mut out);
    };
    let sides = [(0, "north", "n"), (1, "south", "s")];
    for (directory, ou, name) in sides {
        tell(
            &mut core,
            0,
            directory,
            SyncEvent::RefreshStarted { full: true },
        );
        (0..5_000u64).for_each(|n| {
            tell(
                &mut core,
                0,
                directory,
                SyncEvent::Entry(found(
                    &format!("{name}{n}"),
                    ou,
                    2 * n + directory as u64 + 1,
                )),
            );
        });
        tell(&mut core, 0, directory, SyncEvent::RefreshDone);
    }
    sides.iter().for_each(|(directory, ..)| {
        tell(
            &mut core,
            20 * S,
            *directory,
            SyncEvent::RefreshStarted { full: true },
        );
    });
    sides
        .iter()
        .for_each(|(directory, ..)| tell(&mut core, 21 * S, *directory, SyncEvent::RefreshDone));
    let mut now = 21 * S;
    while let Some(due) = core.next_due(now).filter(|d| *d <= 21 * S) {
        now = due;
        core.handle(now, Input::Tick, &mut Vec::new());
    }
    let left = sides.iter().map(|(.., name)| {
        (0..5_000)
            .filter(|n| tenant(&core, &format!("{name}{n}"), now).is_some())
            .count()
    });
    assert_eq!(left.collect::<Vec<_>>(), [0, 0]);
}
