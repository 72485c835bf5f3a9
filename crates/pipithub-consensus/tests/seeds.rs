//! Consensus groups in simulated time: cuts, delays, crashes that lose what was not synced, pauses, clocks that differ in
//! offset and rate.

mod simulation;

use pipithub_consensus::{Command, Voter};
use rand::RngExt;

use simulation::{InjectedFault, MS, Simulation};

/// One drawn day; what it committed, and what was broken.
fn day(seed: u64, injected: InjectedFault) -> (Simulation, Vec<String>) {
    let voters = if seed.is_multiple_of(2) { 3 } else { 5 };
    let mut simulation = Simulation::new(seed, voters, 4, injected);
    simulation.run_for(2_000 * MS);
    for _ in 0..30 {
        simulation.inject_random_fault();
        let wait = simulation.net.rng.random_range(50..1_200) * MS;
        simulation.run_for(wait);
    }
    simulation.net.heal();
    for p in 0..simulation.clocks.len() {
        simulation.net.set_paused(p, false);
    }
    for n in 0..voters {
        if simulation.voters[n].core.is_none() {
            simulation.start(n);
        }
    }
    let before = simulation.granted;
    simulation.run_for(12_000 * MS);
    let mut violations = std::mem::take(&mut simulation.violations);
    if simulation.granted == before {
        violations.push("once all was mended nothing was granted".into());
    }
    let states: Vec<_> = simulation
        .voters
        .iter()
        .filter_map(|s| s.core.as_ref())
        .map(Voter::applied)
        .collect();
    let (least, most) = (
        states.iter().min().copied().unwrap_or(0),
        states.iter().max().copied().unwrap_or(0),
    );
    if states.len() < voters || least + 50 < most {
        violations.push(format!("voters stand at {states:?}"));
    }
    (simulation, violations)
}

#[test]
fn whatever_fails_one_leads_a_term_nothing_agreed_changes_and_no_lease_has_two_holders() {
    let mut granted = 0;
    for seed in 0..40 {
        let (simulation, violations) = day(seed, InjectedFault::None);
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
        granted += simulation.granted;
    }
    assert!(
        granted > 500,
        "{granted}: the days say nothing where nothing is granted"
    );
}

fn found(injected: InjectedFault, what: &str) -> bool {
    (0..60).any(|seed| {
        let run = std::panic::catch_unwind(|| day(seed, injected).1);
        // The engine itself gives up where it meets what cannot be.
        run.map_or(true, |violations| {
            violations.iter().any(|b| b.contains(what))
        })
    })
}

#[test]
fn forgotten_votes_are_found() {
    assert!(found(InjectedFault::ForgottenVotes, "both lead in term"));
}

#[test]
fn lost_entries_are_found() {
    assert!(found(InjectedFault::LostEntries, "and, at voter"));
}

#[test]
fn a_lease_that_is_relied_on_for_too_long_is_found() {
    assert!(found(InjectedFault::LongLeases, "is relied on by"));
}

#[test]
fn equal_seeds_give_equal_runs() {
    let told = |seed| day(seed, InjectedFault::None).0.committed;
    assert!(told(3) == told(3), "two runs of one seed differ");
}

#[test]
fn a_minority_answers_nothing_new_and_a_long_log_is_replaced_by_a_snapshot() {
    let mut simulation = Simulation::new(5, 3, 4, InjectedFault::None);
    simulation.run_for(3_000 * MS);
    let granted = simulation.granted;
    assert!(granted > 0);
    // Two of three are gone: nothing is granted, and what was granted runs out.
    simulation.crash(0);
    simulation.crash(1);
    simulation.run_for(2_000 * MS);
    let left = simulation.granted;
    simulation.run_for(5_000 * MS);
    assert_eq!(simulation.granted, left, "a minority granted leases");
    simulation.start(0);
    simulation.run_for(2_000 * MS);
    assert!(simulation.granted > left);
    // While one is away the others agree on more than a log may hold.
    for _ in 0..900 {
        for client in &mut simulation.clients {
            let _ = client.core.submit(Command::SetSettings {
                version: 1,
                digest: 0,
            });
        }
        simulation.run_for(100 * MS);
    }
    let entries: Vec<usize> = simulation
        .voters
        .iter()
        .map(|s| s.disk.entries.len())
        .collect();
    assert!(
        simulation.applied > 3_000 && entries.iter().all(|e| *e < 2_000),
        "{} {entries:?}",
        simulation.applied
    );
    simulation.start(1);
    simulation.run_for(5_000 * MS);
    let at: Vec<u64> = simulation
        .voters
        .iter()
        .map(|s| s.core.as_ref().unwrap().applied())
        .collect();
    assert!(
        at.iter().max().unwrap() - at.iter().min().unwrap() < 50,
        "{at:?}"
    );
    assert!(
        simulation.violations.is_empty(),
        "{:?}",
        simulation.violations
    );
}

/// A long run, by hand: `PIPITHUB_SEEDS=1000 cargo test --release -p pipithub-consensus -- --ignored`.
#[test]
#[ignore = "long: a command, not part of CI"]
fn many_days() {
    let seeds = std::env::var("PIPITHUB_SEEDS")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(1_000);
    for seed in 1_000..1_000 + seeds {
        let violations = day(seed, InjectedFault::None).1;
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
    }
}
