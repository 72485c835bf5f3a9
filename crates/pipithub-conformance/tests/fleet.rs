//! Runs the fleet checks on a compliant history, and on histories in which each rule is broken on purpose.

use pipithub_conformance::fleet::{
    Belief, Bounds, Claim, Disk, GenerationUse, History, Interval, Rule, Run, Time, check,
};

const SECOND: Time = 1_000_000_000;
const BOUNDS: Bounds = Bounds {
    detection: 5 * SECOND,
    convergence: 5 * SECOND,
};

fn run(name: &str, started: u64, ended: Option<u64>) -> Run {
    let (started, ended) = (started * SECOND, ended.map(|e| e * SECOND));
    Run {
        name: name.into(),
        started,
        ended,
        disk: Disk::Current,
        expected_generation: 1,
        paused: Vec::new(),
    }
}

fn claim(run: usize, at: u64, others: &[(&str, Belief)]) -> Claim {
    let others = others
        .iter()
        .map(|(name, belief)| (name.to_string(), *belief))
        .collect();
    Claim {
        at: at * SECOND,
        run,
        joined: true,
        generation: 1,
        disk: "kept".into(),
        others,
    }
}

fn generation_use(run: usize, generation: u64, first_seen: Time) -> GenerationUse {
    GenerationUse {
        run,
        generation,
        first_seen,
    }
}

fn disturbed(from: Time, until: Time) -> Interval {
    let (from, until) = (from * SECOND, until * SECOND);
    Interval { from, until }
}

/// A history of two members that run and a third that fails at 20 s. The two make claims at 10, 18, 30 and 40 s.
fn compliant() -> History {
    let mut history = History {
        runs: vec![run("a", 0, None), run("b", 0, None), run("c", 0, Some(20))],
        generations_used: vec![
            generation_use(0, 1, 0),
            generation_use(1, 1, 0),
            generation_use(2, 1, 0),
        ],
        end: 40 * SECOND,
        ..History::default()
    };
    for at in [10, 18, 30, 40] {
        let c = if at > 20 { Belief::Dead } else { Belief::Alive };
        history
            .claims
            .push(claim(0, at, &[("b", Belief::Alive), ("c", c)]));
        history
            .claims
            .push(claim(1, at, &[("a", Belief::Alive), ("c", c)]));
    }
    history
}

fn broken_rules(history: &History) -> Vec<Rule> {
    let mut rules: Vec<Rule> = check(history, BOUNDS).into_iter().map(|b| b.rule).collect();
    rules.dedup();
    rules
}

#[test]
fn a_compliant_history_breaks_no_rule() {
    assert_eq!(check(&compliant(), BOUNDS), vec![]);
}

#[test]
fn a_generation_used_twice_is_found() {
    let mut history = compliant();
    history.runs.push(run("c", 22, Some(23)));
    history
        .generations_used
        .push(generation_use(3, 1, 22 * SECOND));
    assert!(broken_rules(&history).contains(&Rule::UniqueGeneration));
}

#[test]
fn an_undetected_failure_is_found() {
    let mut history = compliant();
    history.claims[4].others.insert("c".into(), Belief::Alive);
    assert_eq!(broken_rules(&history), vec![Rule::FailureDetected]);
}

#[test]
fn a_false_positive_is_found_but_not_while_links_are_disturbed() {
    let mut history = compliant();
    history.claims[2].others.insert("b".into(), Belief::Dead);
    assert_eq!(broken_rules(&history), vec![Rule::NoFalsePositive]);
    history.disturbances.push(disturbed(16, 17));
    assert_eq!(broken_rules(&history), vec![]);
    history.disturbances = vec![disturbed(11, 12)];
    assert_eq!(broken_rules(&history), vec![Rule::NoFalsePositive]);
}

#[test]
fn an_unknown_member_is_found() {
    let mut history = compliant();
    history.claims[0].others.remove("b");
    assert_eq!(broken_rules(&history), vec![Rule::NoFalsePositive]);
}

#[test]
fn a_stale_disk_that_is_not_reported_is_found() {
    let mut history = compliant();
    history.runs.push(Run {
        disk: Disk::Stale,
        ..run("c", 31, None)
    });
    history
        .generations_used
        .push(generation_use(3, 2, 32 * SECOND));
    history.claims.truncate(6);
    let mut back = claim(3, 40, &[("a", Belief::Alive), ("b", Belief::Alive)]);
    (back.generation, back.disk) = (2, "kept".into());
    history.claims.extend([
        claim(0, 40, &[("b", Belief::Alive), ("c", Belief::Alive)]),
        claim(1, 40, &[("a", Belief::Alive), ("c", Belief::Alive)]),
    ]);
    history.claims.push(back);
    assert_eq!(broken_rules(&history), vec![Rule::StaleDiskReported]);
    history.claims.last_mut().unwrap().disk = "old".into();
    assert_eq!(broken_rules(&history), vec![]);
    history.claims.last_mut().unwrap().generation = 1;
    assert_eq!(broken_rules(&history), vec![Rule::StaleDiskReported]);
}

#[test]
fn two_runs_of_one_name_that_both_take_part_are_found() {
    let mut history = compliant();
    history.runs.push(run("a", 12, None));
    history
        .generations_used
        .push(generation_use(3, 2, 12 * SECOND));
    history
        .claims
        .push(claim(3, 40, &[("b", Belief::Alive), ("c", Belief::Dead)]));
    assert_eq!(broken_rules(&history), vec![Rule::SingleRunPerName]);
}

#[test]
fn a_fleet_that_does_not_converge_is_found() {
    let mut history = compliant();
    history.claims.last_mut().unwrap().joined = false;
    assert_eq!(broken_rules(&history), vec![Rule::Convergence]);
}
