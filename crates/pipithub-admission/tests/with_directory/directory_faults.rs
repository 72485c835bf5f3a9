//! Calls while directory servers are slow, silent or wrong.

use std::collections::BTreeMap;

use pipithub_admission::RejectReason;
use pipithub_directory::{DirectoryEntry, PersonId, Resolution, TenantId, Time};

use crate::simulation::{MS, S, Search, Server, Simulation, dn, lifetimes};

/// 1,000 users call, of whom 300 are unknown. Their directory is up, slow just under its timeout, silent, rejecting, or
/// still loading. No known user is rejected.
#[test]
fn no_call_waits_longer_than_50_ms_whatever_the_directory_fault() {
    type Fault = fn(&mut Server);
    let faults: [(&str, Fault); 5] = [
        ("up", |_| {}),
        ("slow", |server| server.response_time = 1_990 * MS),
        ("silent", |server| server.answers = false),
        ("rejecting", |server| server.rejects = true),
        ("loading", |server| server.loaded = false),
    ];
    for (name, fault) in faults {
        let mut simulation = Simulation::new(&[2], |_, _| {});
        let users: Vec<String> = (0..1_000).map(|n| format!("u{n}")).collect();
        for user in &users {
            simulation.change_servers(0, |server| server.put(user, "north", 1));
        }
        for (n, user) in users[..700].iter().enumerate() {
            simulation.call(n as u64, user);
            simulation.run_until(simulation.now + MS);
        }
        simulation.run_until(600 * S);
        let before = (simulation.admitted.len(), simulation.rejected.len());
        assert_eq!(before, (700, 0), "{name}: before the fault");
        simulation.change_servers(0, fault);
        for (n, user) in users.iter().enumerate() {
            simulation.call(1_000 + n as u64, user);
            simulation.run_until(simulation.now + MS / 2);
        }
        simulation.run_until(simulation.now + 10 * S);
        assert!(
            simulation.longest_wait() <= 50 * MS,
            "{name}: {} ms",
            simulation.longest_wait() / MS
        );
        let served = simulation.admitted.range(1_000..).count();
        let expected = if name == "up" { 1_000 } else { 700 };
        assert_eq!(served, expected, "{name}: all known users are admitted");
        assert_eq!(
            served + simulation.rejected.len(),
            1_000,
            "{name}: every call is answered"
        );
        assert!(
            simulation
                .rejected
                .values()
                .all(|r| r.reason == RejectReason::UnknownUser),
            "{name}"
        );
    }
}

/// With a slow directory, every call of a known user with a stale record once waited 40 ms, although the record could
/// be used.
#[test]
fn known_users_do_not_wait_for_a_slow_directory() {
    let mut simulation = Simulation::new(&[1], |_, _| {});
    simulation.change_servers(0, |server| server.put("mai", "north", 1));
    simulation.call(0, "mai");
    simulation.run_until(S);
    simulation.change_servers(0, |server| server.response_time = 1_990 * MS);
    for n in 1..2_000 {
        simulation.call(n, "mai");
        simulation.run_until(simulation.now + S);
    }
    let waited = simulation
        .admitted
        .values()
        .filter(|a| a.waited > 0)
        .count();
    assert_eq!(simulation.admitted.len(), 2_000);
    assert!(waited <= 2, "{waited} calls waited");
    let age = match simulation.directory.roster().resolve("mai", simulation.now) {
        Resolution::Tenant { age, .. } => age,
        _ => Time::MAX,
    };
    assert!(
        age <= 2 * lifetimes().fresh,
        "the user is refreshed nevertheless: {} s",
        age / S
    );
}

#[test]
fn user_with_many_calls_is_looked_up_once() {
    let mut simulation = Simulation::new(&[2], |_, _| {});
    simulation.change_servers(0, |server| server.put("mai", "north", 1));
    for n in 0..1_000 {
        simulation.call(n, "mai");
    }
    simulation.run_until(S);
    assert_eq!(simulation.admitted.len(), 1_000);
    assert_eq!(
        simulation.servers[0]
            .iter()
            .map(|server| server
                .searches
                .iter()
                .filter(|search| search.users > 0)
                .count())
            .sum::<usize>(),
        1
    );
}

/// A server that restarts answers for a while that no user exists. Known users must not lose their tenant
/// because of it, and new ones must not count as unknown.
#[test]
fn answers_of_a_server_that_is_still_loading_are_ignored() {
    let mut simulation = Simulation::new(&[2], |_, d| d.lifetimes.negative = 60 * S);
    simulation.change_servers(0, |server| {
        server.put("mai", "north", 1);
        server.put("lan", "south", 1);
    });
    simulation.call(0, "mai");
    simulation.run_until(61 * S);
    simulation.servers[0][0].loaded = false;
    simulation.servers[0][0].response_time = MS;
    simulation.servers[0][1].response_time = 10 * MS;
    simulation.call(1, "mai");
    simulation.call(2, "lan");
    simulation.run_until(simulation.now + S);
    assert_eq!(
        (simulation.tenant("mai"), simulation.tenant("lan")),
        (Some(0), Some(1))
    );
    assert_eq!(
        simulation.admitted.get(&2).map(|a| a.tenant),
        Some(TenantId(1)),
        "the other server was asked"
    );
}

/// If a server answers with entries of other users only, this does not show that the requested user does not exist.
#[test]
fn answer_with_entries_of_other_users_removes_no_user_from_their_tenant() {
    let mut simulation = Simulation::new(&[1], |_, _| {});
    simulation.change_servers(0, |server| {
        server.change_number = Some(1);
        server.put("mai", "north", 1);
    });
    simulation.call(0, "mai");
    simulation.run_until(61 * S);
    simulation.other_entry = Some(DirectoryEntry {
        user: "lan".into(),
        dn: dn("uid=lan,ou=south,dc=example"),
        person: PersonId(9),
    });
    simulation.call(1, "mai");
    simulation.run_until(simulation.now + 4 * S);
    assert_eq!(
        (simulation.tenant("mai"), simulation.tenant("lan")),
        (Some(0), None)
    );
}

/// 130 front ends lose their directory for ten minutes. When it is back, they must not all search at once.
#[test]
fn directory_that_recovers_is_not_flooded_with_searches() {
    let mut searches: Vec<Search> = Vec::new();
    for seed in 0..130u64 {
        let mut simulation = Simulation::seeded(&[1], seed * 77 + 5, |_, _| {});
        let users: Vec<String> = (0..40)
            .map(|n| format!("u{}", (seed * 31 + n * 7) % 2_000))
            .collect();
        for user in &users {
            simulation.change_servers(0, |server| server.put(user, "north", 1));
        }
        for (n, user) in users.iter().enumerate() {
            simulation.call(n as u64, user);
        }
        simulation.run_until(120 * S);
        simulation.change_servers(0, |server| server.answers = false);
        let mut call = 1_000;
        while simulation.now < 840 * S {
            if simulation.now >= 720 * S {
                simulation.change_servers(0, |server| server.answers = true);
            }
            for _ in 0..3 {
                simulation.call(call, &users[call as usize % users.len()]);
                call += 1;
            }
            simulation.run_until(simulation.now + S / 2);
        }
        assert!(simulation.directory.is_reachable(0));
        searches.extend(
            simulation.servers[0][0]
                .searches
                .iter()
                .filter(|search| search.at >= 720 * S),
        );
    }
    let mut seconds: BTreeMap<Time, usize> = BTreeMap::new();
    for search in &searches {
        *seconds.entry(search.at / S - 720).or_default() += 1;
    }
    let worst = seconds
        .range(..60)
        .map(|(_, count)| *count)
        .max()
        .unwrap_or(0);
    // 130 front ends refresh 40 users each. With one search for each user, that would be 5,200 searches at once.
    println!(
        "{worst} searches in the worst second, {} in all",
        searches.len()
    );
    assert!(
        worst <= 130,
        "{worst} searches in the worst second: {seconds:?}"
    );
    assert!(
        searches.iter().map(|search| search.users).sum::<usize>() > 5_000,
        "users are refreshed"
    );
}
