//! Admission and directory core together in simulated time, against scripted directory servers: what a morning can bring.

mod world;

use std::collections::BTreeMap;

use pipithub_admission::{
    Admission, AdmissionSettings, Completion, LimitRange, QuotaSettings, RejectReason,
    ServiceResult, TenantQuota,
};
use pipithub_directory::{Resolution, TenantId, Time};

use crate::world::{MS, S, Server, World, dn, lifetimes};

/// The morning peak with 3 of 10 users unknown, the directory up, slow just under its time-out, silent, refusing, or
/// loading: no call waits longer than 50 ms, no known user is refused.
#[test]
fn no_directory_trouble_makes_a_call_wait_longer_than_50_ms() {
    type Trouble = fn(&mut Server);
    let troubles: [(&str, Trouble); 5] = [
        ("up", |_| {}),
        ("slow", |s| s.takes = 1_990 * MS),
        ("silent", |s| s.answers = false),
        ("refusing", |s| s.refuses = true),
        ("loading", |s| s.loaded = false),
    ];
    for (name, trouble) in troubles {
        let mut world = World::new(&[2], |_, _| {});
        let users: Vec<String> = (0..1_000).map(|n| format!("u{n}")).collect();
        for user in &users {
            world.all(0, |s| s.put(user, "north", 1));
        }
        for (n, user) in users[..700].iter().enumerate() {
            world.call(n as u64, user);
            world.run(world.now + MS);
        }
        world.run(600 * S);
        let before = (world.admitted.len(), world.refused.len());
        assert_eq!(before, (700, 0), "{name}: a quiet evening");
        world.all(0, trouble);
        for (n, user) in users.iter().enumerate() {
            world.call(1_000 + n as u64, user);
            world.run(world.now + MS / 2);
        }
        world.run(world.now + 10 * S);
        assert!(
            world.longest_wait() <= 50 * MS,
            "{name}: {} ms",
            world.longest_wait() / MS
        );
        let served = world.admitted.range(1_000..).count();
        let expected = if name == "up" { 1_000 } else { 700 };
        assert_eq!(served, expected, "{name}: all who were known are served");
        assert_eq!(
            served + world.refused.len(),
            1_000,
            "{name}: every call is answered"
        );
        assert!(
            world
                .refused
                .values()
                .all(|r| r.0 == RejectReason::UnknownUser),
            "{name}"
        );
    }
}

/// With a directory that answers slowly, every call of a known user whose fact was past its best waited 40 ms in vain.
#[test]
fn known_users_do_not_wait_for_a_directory_that_is_slow_anyway() {
    let mut world = World::new(&[1], |_, _| {});
    world.all(0, |s| s.put("mai", "north", 1));
    world.call(0, "mai");
    world.run(S);
    world.all(0, |s| s.takes = 1_990 * MS);
    for n in 1..2_000 {
        world.call(n, "mai");
        world.run(world.now + S);
    }
    let waited = world.admitted.values().filter(|a| a.1 > 0).count();
    assert_eq!(world.admitted.len(), 2_000);
    assert!(waited <= 2, "{waited} calls waited");
    let age = match world.core.roster().resolve("mai", world.now) {
        Resolution::Tenant { age, .. } => age,
        _ => Time::MAX,
    };
    assert!(
        age <= 2 * lifetimes().fresh,
        "and it is asked for all the same: {} s",
        age / S
    );
}

#[test]
fn a_user_is_asked_for_once_however_many_call() {
    let mut world = World::new(&[2], |_, _| {});
    world.all(0, |s| s.put("mai", "north", 1));
    for n in 0..1_000 {
        world.call(n, "mai");
    }
    world.run(S);
    assert_eq!(world.admitted.len(), 1_000);
    assert_eq!(
        world.servers[0]
            .iter()
            .map(|s| s.asked.iter().filter(|a| a.1 > 0).count())
            .sum::<usize>(),
        1
    );
}

/// One of two servers still tells the old place, for as long as it likes.
#[test]
fn a_moved_user_is_on_the_new_side_within_the_bound_though_a_replica_is_stale() {
    for seed in 0..50 {
        let mut world = World::seeded(&[2], seed, |_, _| {});
        world.all(0, |s| {
            s.mark = Some(10);
            s.put("mai", "north", 1);
        });
        world.call(0, "mai");
        world.run(S);
        assert_eq!(world.tenant("mai"), Some(0));
        let moved = world.now;
        let stale = (seed % 2) as usize;
        world.servers[0][1 - stale].mark = Some(11);
        world.servers[0][1 - stale].put("mai", "south", 1);
        // The stale one is the faster, and is asked first.
        world.servers[0][stale].takes = MS;
        world.servers[0][1 - stale].takes = 20 * MS;
        let mut call = 1;
        let mut new_since = None;
        while world.now < moved + 600 * S {
            world.call(call, "mai");
            // Others are asked for too, so that the front end hears of the newer mark.
            world.call(call + 1, &format!("x{call}"));
            call += 2;
            world.run(world.now + S);
            match world.tenant("mai") {
                Some(1) => new_since = new_since.or(Some(world.now)),
                side => assert!(
                    new_since.is_none(),
                    "seed {seed}: back to {side:?} at {}",
                    world.now / S
                ),
            }
        }
        let bound = 2 * lifetimes().fresh + 10 * S;
        assert!(
            new_since.is_some_and(|at| at <= moved + bound),
            "seed {seed}: {new_since:?}"
        );
        assert_eq!(
            world.changed.iter().filter(|c| &*c.1 == "mai").count(),
            1,
            "seed {seed}"
        );
    }
}

/// Without marks nothing tells the stale one from the other: a change must be told twice, a moment apart.
#[test]
fn without_marks_a_change_is_doubted_once() {
    let mut world = World::new(&[1], |_, _| {});
    world.all(0, |s| s.put("mai", "north", 1));
    world.call(0, "mai");
    world.run(61 * S);
    world.all(0, |s| s.put("mai", "south", 1));
    world.call(1, "mai");
    world.run(world.now + 4 * S);
    assert_eq!(world.tenant("mai"), Some(0), "said once");
    world.run(world.now + 5 * S);
    assert_eq!(world.tenant("mai"), Some(1), "said twice");
}

#[test]
fn a_name_that_was_given_to_another_person_is_a_change() {
    let mut world = World::new(&[1], |_, _| {});
    world.all(0, |s| {
        s.mark = Some(1);
        s.put("mai", "north", 1);
    });
    world.call(0, "mai");
    world.run(61 * S);
    world.all(0, |s| {
        s.mark = Some(3);
        s.put("mai", "north", 2);
    });
    world.call(1, "mai");
    world.run(world.now + 4 * S);
    assert_eq!((world.tenant("mai"), world.changed.len()), (Some(0), 1));
}

#[test]
fn two_tenants_that_claim_one_user_get_none_of_their_calls() {
    let mut world = World::new(&[1, 1], |_, _| {});
    world.all(0, |s| s.put("mai", "north", 1));
    world.all(1, |s| {
        s.put("mai", "south", 2);
        s.put("lan", "south", 3);
    });
    world.call(0, "mai");
    world.call(1, "lan");
    world.run(S);
    world.call(2, "mai");
    // The first answer may have come alone: from the second on nobody chooses.
    assert_eq!(
        world.refused.get(&2),
        Some(&(RejectReason::ClaimedTwice, 0))
    );
    assert_eq!(world.admitted.get(&1).map(|a| a.0), Some(TenantId(1)));
    // One directory out of reach does not make the other's claim the only one.
    world.all(0, |s| s.answers = false);
    world.run(300 * S);
    world.call(3, "mai");
    world.run(world.now + S);
    assert_eq!(
        world.refused.get(&3).map(|r| r.0),
        Some(RejectReason::ClaimedTwice)
    );
}

/// A server that restarts answers for a while that nobody exists. Nobody must lose their tenant by that, and no newcomer
/// be taken for nobody.
#[test]
fn a_server_that_is_still_loading_is_not_believed() {
    let mut world = World::new(&[2], |_, d| d.lifetimes.negative = 60 * S);
    world.all(0, |s| {
        s.put("mai", "north", 1);
        s.put("lan", "south", 1);
    });
    world.call(0, "mai");
    world.run(61 * S);
    world.servers[0][0].loaded = false;
    world.servers[0][0].takes = MS;
    world.servers[0][1].takes = 10 * MS;
    world.call(1, "mai");
    world.call(2, "lan");
    world.run(world.now + S);
    assert_eq!(
        (world.tenant("mai"), world.tenant("lan")),
        (Some(0), Some(1))
    );
    assert_eq!(
        world.admitted.get(&2).map(|a| a.0),
        Some(TenantId(1)),
        "the other server was asked"
    );
}

/// A server that answers with entries nobody asked for: that it does not name a user means nothing.
#[test]
fn an_answer_of_other_entries_takes_nobody_their_tenant() {
    let mut world = World::new(&[1], |_, _| {});
    world.all(0, |s| {
        s.mark = Some(1);
        s.put("mai", "north", 1);
    });
    world.call(0, "mai");
    world.run(61 * S);
    let lan = vec![(dn("uid=lan,ou=south,dc=example"), 9)];
    world.wrong = Some(("lan".into(), lan));
    world.call(1, "mai");
    world.run(world.now + 4 * S);
    assert_eq!((world.tenant("mai"), world.tenant("lan")), (Some(0), None));
}

/// 130 front ends lose their directory for ten minutes in the morning; then it is back. They must not all ask at once.
#[test]
fn a_directory_that_is_back_meets_no_herd() {
    let mut asked: Vec<(Time, usize)> = Vec::new();
    for seed in 0..130u64 {
        let mut world = World::seeded(&[1], seed * 77 + 5, |_, _| {});
        let users: Vec<String> = (0..40)
            .map(|n| format!("u{}", (seed * 31 + n * 7) % 2_000))
            .collect();
        for user in &users {
            world.all(0, |s| s.put(user, "north", 1));
        }
        for (n, user) in users.iter().enumerate() {
            world.call(n as u64, user);
        }
        world.run(120 * S);
        world.all(0, |s| s.answers = false);
        let mut call = 1_000;
        while world.now < 840 * S {
            if world.now >= 720 * S {
                world.all(0, |s| s.answers = true);
            }
            for _ in 0..3 {
                world.call(call, &users[call as usize % users.len()]);
                call += 1;
            }
            world.run(world.now + S / 2);
        }
        assert!(world.core.is_reachable(0));
        asked.extend(world.servers[0][0].asked.iter().filter(|a| a.0 >= 720 * S));
    }
    let mut seconds: BTreeMap<Time, usize> = BTreeMap::new();
    asked
        .iter()
        .for_each(|(at, _)| *seconds.entry(at / S - 720).or_default() += 1);
    let first = seconds.range(..60).map(|s| *s.1).max().unwrap_or(0);
    // 130 front ends with 40 users each to refresh: asked one by one, at once, these were 5,200 searches.
    println!(
        "{first} searches in the worst second, {} in all",
        asked.len()
    );
    assert!(
        first <= 130,
        "{first} searches in the worst second: {seconds:?}"
    );
    assert!(
        asked.iter().map(|a| a.1).sum::<usize>() > 5_000,
        "and they do refresh"
    );
}

fn completion(tenant: TenantId, result: ServiceResult, service_time: Time) -> Completion {
    Completion {
        tenant,
        result,
        service_time,
    }
}

/// A fleet of places that each serve a call in 50 ms; the module refuses what would wait longer than 100 ms. Half of it is
/// lost at 12 s. Returns the share of the first tenant's calls that were served, and of the second's.
fn fleet_day(shared: bool, storm: usize) -> [f64; 2] {
    let mut world = World::new(&[1], |_, _| {});
    let quotas = QuotaSettings {
        tenants: vec![
            TenantQuota {
                max_queued: 64,
                ..TenantQuota::default()
            };
            2
        ],
        class_weights: vec![1.0],
        limit: LimitRange {
            min: 8.0,
            max: 400.0,
        },
        max_queue_wait: 20 * MS,
    };
    world.admission = Admission::new(AdmissionSettings {
        quotas,
        max_identity_wait: 40 * MS,
        max_waiting: 4_096,
    });
    world.all(0, |s| {
        s.put("mai", "north", 1);
        s.put("lan", "south", 1);
    });
    world.call(0, "mai");
    world.call(1, "lan");
    world.run(S);
    let mut held: BTreeMap<(Time, u64), TenantId> = BTreeMap::new();
    let mut busy: Vec<Time> = vec![0; 40];
    let (mut served, mut offered) = ([0u64; 2], [0u64; 2]);
    let mut call = 10;
    for ms in 0..30_000u64 {
        let now = S + ms * MS;
        world.run(now);
        if ms == 12_000 {
            busy.truncate(20);
        }
        // 160 calls a second of each; the fleet serves 800, then 400, and a share is half of that.
        let beat = ms % 25 < 4;
        let south = if (5_000..25_000).contains(&ms) {
            storm
        } else {
            1
        };
        for (tenant, user, count) in [
            (0, "mai", usize::from(beat)),
            (1, "lan", usize::from(beat) * south),
        ] {
            for _ in 0..count {
                if shared {
                    world.call(call, user);
                } else {
                    world.admitted.insert(call, (TenantId(tenant as u16), 0));
                }
                offered[tenant] += 1;
                call += 1;
            }
        }
        let ended: Vec<_> = held.range(..(now + 1, 0)).map(|(k, t)| (*k, *t)).collect();
        let mut out = Vec::new();
        for (key, tenant) in ended {
            held.remove(&key);
            if shared {
                world.admission.completed(
                    now,
                    world.core.roster(),
                    completion(tenant, ServiceResult::Served, 50 * MS),
                    &mut out,
                );
            }
            served[usize::from(tenant.0)] += 1;
        }
        world.handle_admission(std::mem::take(&mut out));
        while let Some((call, (tenant, _))) =
            world.admitted.range(10..).next().map(|(c, a)| (*c, *a))
        {
            world.admitted.remove(&call);
            let Some(place) = busy.iter_mut().min() else {
                break;
            };
            let begins = (*place).max(now);
            if begins > now + 100 * MS {
                if shared {
                    world.admission.completed(
                        now,
                        world.core.roster(),
                        completion(tenant, ServiceResult::NoWorkerInTime, 0),
                        &mut out,
                    );
                }
            } else {
                *place = begins + 50 * MS;
                held.insert((*place, call), tenant);
            }
            world.handle_admission(std::mem::take(&mut out));
        }
    }
    [0, 1].map(|t| served[t] as f64 / offered[t] as f64)
}

/// A tenant with ten times its share while half of the fleet is lost: the other is served as on a quiet day.
#[test]
fn a_storm_of_one_tenant_costs_the_other_less_than_two_points() {
    let [quiet, _] = fleet_day(true, 1);
    let [stormy, storm] = fleet_day(true, 13);
    let [without, _] = fleet_day(false, 13);
    println!(
        "served of the quiet tenant: quiet {quiet:.4}, storm {stormy:.4}, without shares {without:.4}; of the storm {storm:.4}"
    );
    assert!(quiet > 0.99, "{quiet}");
    assert!(
        quiet - stormy < 0.02,
        "quiet {quiet:.4}, stormy {stormy:.4}"
    );
    assert!(
        without < 0.9,
        "the day is a hard one: {without:.4} without shares"
    );
}
