//! Consensus groups in simulated time under random faults: partitions, delays, pauses, crashes that lose what was not
//! synced, and clocks that differ in offset and rate.

mod simulation;

use pipithub_consensus::Command;
use rand::RngExt;

use simulation::{InjectedFault, MS, Simulation};

const CLIENTS: usize = 4;
const FAULTS: usize = 30;
/// Largest number of entries by which a voter may be behind the others once all faults are over.
const MAX_LAG: u64 = 50;
/// Number of seeds of the long run, unless `PIPITHUB_SEEDS` gives another.
const DEFAULT_LONG_RUN_SEEDS: u64 = 1_000;

/// The number of entries by which the slowest running voter is behind the fastest one.
fn lag(simulation: &Simulation) -> u64 {
    let applied = simulation.applied_indexes();
    let first = applied.iter().min().copied().unwrap_or(0);
    let last = applied.iter().max().copied().unwrap_or(0);
    last - first
}

/// Runs a scenario of random faults. A failure to recover is also a violation: after all faults are over, no lease is
/// granted or a voter does not catch up.
fn run_scenario(seed: u64, injected: InjectedFault) -> Simulation {
    let voters = if seed.is_multiple_of(2) { 3 } else { 5 };
    let mut simulation = Simulation::new(seed, voters, CLIENTS, injected);
    simulation.run_for(2_000 * MS);
    for _ in 0..FAULTS {
        simulation.inject_random_fault();
        let wait = simulation.network.rng.random_range(50..1_200) * MS;
        simulation.run_for(wait);
    }
    simulation.end_all_faults();
    let granted_before = simulation.granted;
    simulation.run_for(12_000 * MS);
    if simulation.granted == granted_before {
        simulation
            .violations
            .push("no lease was granted after all faults were over".into());
    }
    let applied = simulation.applied_indexes();
    if applied.len() < voters || lag(&simulation) > MAX_LAG {
        simulation
            .violations
            .push(format!("voters have not caught up: {applied:?}"));
    }
    simulation
}

/// Whether any of 60 scenarios with this injected fault has a violation with this text, or makes the engine panic.
fn finds_violation(injected: InjectedFault, violation: &str) -> bool {
    (0..60).any(|seed| {
        // The engine itself panics where it detects an impossible state.
        let run = std::panic::catch_unwind(|| run_scenario(seed, injected).violations);
        run.map_or(true, |violations| {
            violations.iter().any(|text| text.contains(violation))
        })
    })
}

#[test]
fn random_faults_cause_no_second_leader_changed_entry_or_second_lease_holder() {
    let mut granted = 0;
    for seed in 0..40 {
        let simulation = run_scenario(seed, InjectedFault::None);
        let violations = &simulation.violations;
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
        granted += simulation.granted;
    }
    assert!(granted > 500, "only {granted} leases were granted");
}

#[test]
fn checks_find_forgotten_votes() {
    assert!(finds_violation(
        InjectedFault::ForgottenVotes,
        "both lead in term"
    ));
}

#[test]
fn checks_find_lost_entries() {
    assert!(finds_violation(InjectedFault::LostEntries, "and, at voter"));
}

#[test]
fn checks_find_leases_that_are_relied_on_after_their_expiry() {
    assert!(finds_violation(InjectedFault::ExtendedLeases, "is held by"));
}

#[test]
fn equal_seeds_give_equal_runs() {
    let committed = |seed| run_scenario(seed, InjectedFault::None).committed;
    assert!(committed(3) == committed(3), "two runs of one seed differ");
}

#[test]
fn minority_grants_no_lease() {
    let mut simulation = Simulation::new(5, 3, CLIENTS, InjectedFault::None);
    simulation.run_for(3_000 * MS);
    assert!(simulation.granted > 0);
    simulation.crash(0);
    simulation.crash(1);
    simulation.run_for(2_000 * MS);
    let granted = simulation.granted;
    simulation.run_for(5_000 * MS);
    assert_eq!(simulation.granted, granted, "a minority granted leases");
    simulation.start(0);
    simulation.run_for(2_000 * MS);
    assert!(simulation.granted > granted);
    assert!(
        simulation.violations.is_empty(),
        "{:?}",
        simulation.violations
    );
}

#[test]
fn long_log_is_replaced_by_a_snapshot_from_which_a_crashed_voter_catches_up() {
    let mut simulation = Simulation::new(5, 3, CLIENTS, InjectedFault::None);
    simulation.run_for(3_000 * MS);
    simulation.crash(1);
    // More entries than a log holds before it is compacted.
    for _ in 0..900 {
        for client in &mut simulation.clients {
            let _ = client.core.submit(Command::SetSettings {
                version: 1,
                digest: 0,
            });
        }
        simulation.run_for(100 * MS);
    }
    let stored_entries: Vec<usize> = simulation
        .voters
        .iter()
        .map(|voter| voter.disk.entries.len())
        .collect();
    assert!(
        simulation.applied > 3_000 && stored_entries.iter().all(|entries| *entries < 2_000),
        "{} applied, {stored_entries:?} stored",
        simulation.applied
    );
    simulation.start(1);
    simulation.run_for(5_000 * MS);
    let applied = simulation.applied_indexes();
    assert!(
        applied.len() == 3 && lag(&simulation) < MAX_LAG,
        "{applied:?}"
    );
    assert!(
        simulation.violations.is_empty(),
        "{:?}",
        simulation.violations
    );
}

/// A long run, to be started by hand: `PIPITHUB_SEEDS=1000 cargo test --release -p pipithub-consensus -- --ignored`.
#[test]
#[ignore = "takes long; run by hand, not in CI"]
fn random_faults_on_many_seeds_cause_no_violation() {
    let seeds = std::env::var("PIPITHUB_SEEDS")
        .ok()
        .and_then(|seeds| seeds.parse().ok())
        .unwrap_or(DEFAULT_LONG_RUN_SEEDS);
    for seed in 1_000..1_000 + seeds {
        let violations = run_scenario(seed, InjectedFault::None).violations;
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
    }
}
