//! What a roster of a million users costs, and what a morning asks of a directory.

use std::collections::{BTreeMap, HashMap};
use std::hint::black_box;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use arc_swap::ArcSwap;
use pipithub_admission::{
    Admission, AdmissionSettings, Arrival, LimitRange, Output as Out, QuotaSettings, RejectReason,
    TenantQuota,
};
use pipithub_directory::snapshot::StoredRecord;
use pipithub_directory::{
    DailyPeak, Directory, DirectoryEntry, DirectorySettings, Input, Lifetimes, LookupRecord,
    LookupResult, Output, PersonId, Publisher, Query, Resolution, Roster, SearchId, SearchResponse,
    Settings, SyncEvent, TenantBase, TenantId, Time, User,
};
use pipithub_ldap::Dn;
use pipithub_scenario::random::SplitMix64;

use crate::process_usage::ProcessUsage;

const TENANTS: usize = 50;
const DAYS: u64 = 5;
const S: Time = 1_000_000_000;
const MS: Time = 1_000_000;

fn base(tenant: usize) -> Dn {
    Dn::parse(&format!("ou=t{tenant},dc=example")).unwrap_or_default()
}

fn name(n: usize) -> User {
    format!("caregiver{n:07}").into()
}

fn core(asking: DirectorySettings, max_users: usize, seed: u64) -> Directory {
    Directory::new(Settings {
        directories: vec![asking],
        tenants: (0..TENANTS)
            .map(|t| TenantBase {
                directory: 0,
                base: base(t),
            })
            .collect(),
        max_users,
        max_queue: 65_536,
        seed,
        wall_clock_offset_ms: 0,
    })
}

fn resident_bytes() -> f64 {
    ProcessUsage::of_this_process().resident_mib * 1_048_576.0
}

/// Looks users up for a while; nanoseconds of each look, from the shortest.
fn looks(
    shared: &ArcSwap<Roster>,
    names: &[User],
    count: usize,
    stop: Option<&AtomicBool>,
) -> Vec<u32> {
    let mut chance = SplitMix64::new(7);
    let mut times = Vec::with_capacity(count.min(1 << 24));
    while times.len() < count && stop.is_none_or(|s| !s.load(Ordering::Relaxed)) {
        let user = &names[chance.below(names.len())];
        let began = Instant::now();
        let view = shared.load().resolve(user, S);
        times.push(began.elapsed().as_nanos().min(u128::from(u32::MAX)) as u32);
        black_box(view);
    }
    times.sort_unstable();
    times
}

fn show(what: &str, times: &[u32]) {
    let at = |q: f64| times[((times.len() - 1) as f64 * q) as usize];
    println!(
        "{what:<34} p50 {:>6} ns  p99 {:>6} ns  p99.99 {:>7} ns  longest {:>8} ns  over 1 ms: {} of {}",
        at(0.5),
        at(0.99),
        at(0.9999),
        at(1.0),
        times.iter().filter(|t| **t > 1_000_000).count(),
        times.len()
    );
}

/// A million users over 50 tenants.
#[expect(clippy::too_many_lines, reason = "not split yet; see the roadmap")]
pub(crate) fn roster(users: usize) {
    let names: Vec<User> = (0..users).map(name).collect();
    let before = resident_bytes();
    let mut core = core(DirectorySettings::default(), 2 * users, 1);
    // Names of their own, as they come from a directory, so that what they take is counted.
    let facts = (0..users).map(|n| {
        let result = LookupResult::Tenant(TenantId((n % TENANTS) as u16));
        StoredRecord {
            user: name(n),
            record: LookupRecord {
                directory: 0,
                result,
                person: PersonId(n as u64 + 1),
                confirmed_at_ms: 0,
                change_number: 1,
                refresh_jitter: n as u8,
                last_wanted_day: 0,
            },
        }
    });
    core.restore(0, facts.collect());
    let bytes = (resident_bytes() - before) / users as f64;
    println!(
        "{users} users of {TENANTS} tenants: {bytes:.0} bytes an entry, resident, the core's own indexes included"
    );
    let mut publisher = Publisher::new(core.roster());
    let shared = publisher.newest();
    let mut chance = SplitMix64::new(3);
    let order: Vec<usize> = (0..2_000_000).map(|_| chance.below(users)).collect();
    let roster = shared.load();
    let began = Instant::now();
    for n in &order {
        black_box(roster.resolve(&names[*n], S));
    }
    let all = began.elapsed().as_nanos() as f64 / order.len() as f64;
    // A call has its user's name at hand; here each is fetched from memory first.
    let began = Instant::now();
    let mut sum = 0;
    for n in &order {
        sum += usize::from(names[*n].as_bytes()[3]);
    }
    black_box(sum);
    let fetch = began.elapsed().as_nanos() as f64 / order.len() as f64;
    println!(
        "a look-up at random: {all:.0} ns in the mean, of these {fetch:.0} to fetch the name that is looked for"
    );
    drop(roster);
    show(
        "looks, nothing else",
        &looks(&shared, &names, 1_000_000, None),
    );
    let bases: Vec<Dn> = (0..TENANTS).map(base).collect();
    let stop = AtomicBool::new(false);
    let mut took = 0.0;
    let times = std::thread::scope(|scope| {
        let reader = scope.spawn(|| looks(&shared, &names, 1 << 27, Some(&stop)));
        let began = Instant::now();
        let mut out = Vec::new();
        let mut published = Instant::now();
        core.handle(
            S,
            Input::Synchronization {
                directory: 0,
                event: SyncEvent::RefreshStarted { full: true },
            },
            &mut out,
        );
        for n in 0..users {
            let user = name(n);
            let rdn = Dn::parse(&format!("uid={user}")).ok();
            let dn = bases[n % TENANTS].moved(rdn.as_ref(), Some(&bases[n % TENANTS]));
            let found = DirectoryEntry {
                user,
                dn,
                person: PersonId(n as u64 + 1),
            };
            core.handle(
                2 * S,
                Input::Synchronization {
                    directory: 0,
                    event: SyncEvent::Entry(found),
                },
                &mut out,
            );
            // As the gateway's shell does while more is waiting.
            if published.elapsed().as_millis() >= 20 {
                publisher.publish(core.roster());
                published = Instant::now();
            }
            out.clear();
        }
        core.handle(
            3 * S,
            Input::Synchronization {
                directory: 0,
                event: SyncEvent::RefreshDone,
            },
            &mut out,
        );
        publisher.publish(core.roster());
        took = began.elapsed().as_secs_f64();
        stop.store(true, Ordering::Relaxed);
        reader.join().unwrap_or_default()
    });
    show("looks while all are refreshed", &times);
    println!("the refresh took {took:.1} s");
}

fn entry(n: usize) -> Dn {
    base(n % TENANTS).moved(
        Dn::parse(&format!("uid=caregiver{n:07}")).ok().as_ref(),
        Some(&base(n % TENANTS)),
    )
}

/// Two mornings of 130 front ends, at a directory that answers in 5 ms.
pub(crate) fn morning(fronts: u64, users: usize, calls_each: usize) {
    const HOUR: Time = 3_600 * S;
    // The peak begins three hours after the start, and a day later.
    let (peak, length) = (3 * HOUR, HOUR);
    let mut chance = SplitMix64::new(11);
    let mut calls: Vec<Vec<(Time, usize)>> = vec![Vec::new(); fronts as usize];
    for day in 0..DAYS {
        for user in 0..users {
            for _ in 0..calls_each {
                let at = day * 24 * HOUR + peak + (chance.unit() * length as f64) as Time;
                calls[chance.below(fronts as usize)].push((at, user));
            }
        }
    }
    calls.iter_mut().for_each(|c| c.sort_unstable());
    println!(
        "{fronts} front ends, {users} users, {calls_each} calls each in an hour, {DAYS} days; facts fresh for two hours"
    );
    for (what, ours) in [("plain cache, two hours", false), ("directory core", true)] {
        let mut seconds: BTreeMap<Time, u64> = BTreeMap::new();
        let (mut waited, mut refused, mut asked) = (0u64, 0u64, 0u64);
        for (front, calls) in calls.iter().enumerate() {
            let mut note = |at: Time| *seconds.entry(at / S).or_default() += 1;
            if ours {
                let (w, r) = simulate(front as u64, calls, peak, &mut note, &mut asked);
                (waited, refused) = (waited + w, refused + r);
            } else {
                let mut known: HashMap<usize, Time> = HashMap::new();
                for (at, user) in calls {
                    if known.get(user).is_none_or(|since| at - since >= 2 * HOUR) {
                        known.insert(*user, *at);
                        note(*at);
                        asked += 1;
                        waited += 1;
                    }
                }
            }
        }
        let in_peak = |day: Time| {
            let from = (day * 24 * HOUR + peak) / S;
            let peak = seconds.range(from..from + length / S);
            (
                peak.clone().map(|s| *s.1).sum::<u64>(),
                peak.map(|s| *s.1).max().unwrap_or(0),
            )
        };
        let all: u64 = seconds.values().sum();
        let peaks: Vec<String> = (0..DAYS)
            .map(in_peak)
            .map(|(all, worst)| format!("{all} ({worst})"))
            .collect();
        println!(
            "{what:<24} searches {all}, users asked for {asked}; in each peak, with the worst second: {}; calls that waited \
             {waited}, refused {refused}",
            peaks.join(", ")
        );
    }
}

#[expect(clippy::too_many_lines, reason = "not split yet; see the roadmap")]
fn simulate(
    front: u64,
    calls: &[(Time, usize)],
    peak: Time,
    note: &mut impl FnMut(Time),
    asked: &mut u64,
) -> (u64, u64) {
    let asking = DirectorySettings {
        lifetimes: Lifetimes {
            fresh: 7_200 * S,
            max_stale: 30 * 3_600 * S,
            negative: 30 * S,
        },
        daily_peak: Some(DailyPeak {
            starts_at_ms: (peak / MS) as i64,
            lead_ms: 1_800_000,
        }),
        ..DirectorySettings::default()
    };
    let mut core = core(asking, 100_000, front * 7919 + 1);
    let mut admission: Admission<u64> = Admission::new(AdmissionSettings {
        quotas: QuotaSettings {
            tenants: vec![TenantQuota::default(); TENANTS],
            class_weights: vec![1.0],
            limit: LimitRange { min: 1e6, max: 1e6 },
            max_queue_wait: 0,
        },
        max_identity_wait: 40 * MS,
        max_waiting: 4_096,
    });
    let mut answers: BTreeMap<(Time, u64), (SearchId, SearchResponse)> = BTreeMap::new();
    let (mut waited, mut refused, mut number) = (0, 0, 0u64);
    let (mut out, mut said) = (Vec::new(), Vec::new());
    let mut now = 0;
    let mut calls = calls.iter().peekable();
    let end = calls.clone().last().map_or(0, |c| c.0) + 10 * S;
    while now < end {
        let due = [
            calls.peek().map(|c| c.0),
            answers.keys().next().map(|k| k.0),
            core.next_due(now),
            admission.next_due(),
        ];
        let Some(next) = due.into_iter().flatten().min() else {
            break;
        };
        now = now.max(next);
        if let Some((_, (search, answer))) = answers
            .first_entry()
            .filter(|e| e.key().0 <= now)
            .map(std::collections::btree_map::OccupiedEntry::remove_entry)
        {
            core.handle(
                now,
                Input::SearchEnded {
                    search,
                    outcome: Ok(answer),
                },
                &mut out,
            );
        } else if let Some((at, user)) = calls.next_if(|c| c.0 <= now) {
            let arrival = Arrival {
                request: *at,
                user: Some(name(*user)),
                route_tenant: None,
                class: 0,
                remaining: 4 * S,
            };
            admission.arrive(now, core.roster(), arrival, &mut said);
        } else {
            core.handle(now, Input::Tick, &mut out);
            admission.tick(now, core.roster(), &mut said);
        }
        loop {
            let mut wants = Vec::new();
            for one in said.drain(..) {
                match one {
                    Out::Admit { admitted, .. } => waited += u64::from(admitted.waited > 0),
                    Out::Reject {
                        reason: RejectReason::UnknownUser,
                        ..
                    } => refused += 1,
                    Out::Reject { .. } => {}
                    Out::LookUp { user, urgent } => wants.push(Input::LookUp { user, urgent }),
                }
            }
            wants
                .into_iter()
                .for_each(|w| core.handle(now, w, &mut out));
            if out.is_empty() {
                break;
            }
            for one in out.drain(..) {
                match one {
                    Output::Search { id, query, .. } => {
                        note(now);
                        let users = if let Query::Users(users) = query {
                            users
                        } else {
                            Vec::new()
                        };
                        *asked += users.len() as u64;
                        let found = |user: User| {
                            let n: usize =
                                user.trim_start_matches("caregiver").parse().unwrap_or(0);
                            DirectoryEntry {
                                user,
                                dn: entry(n),
                                person: PersonId(n as u64 + 1),
                            }
                        };
                        let entries = users.into_iter().map(found).collect();
                        number += 1;
                        let answer = SearchResponse {
                            entries,
                            change_number: Some(1),
                            base_exists: true,
                            newest_modify_timestamp: None,
                        };
                        answers.insert((now + 5 * MS, number), (id, answer));
                    }
                    Output::LookupFinished(user) => {
                        admission.user_updated(now, core.roster(), &user, &mut said);
                    }
                    Output::CancelSearch(_) | Output::UserMigrated(_) => {}
                }
            }
        }
    }
    debug_assert!(matches!(
        core.roster().resolve("nobody", now),
        Resolution::Unknown
    ));
    (waited, refused)
}
