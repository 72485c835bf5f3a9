//! The checker of fleets against the history of a good day, and of each rule broken on purpose.

use pipithub_conformance::fleet::{Bounds, Claim, Disk, History, Rule, Run, Time, check};

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

fn claim(run: usize, at: u64, others: &[(&str, bool)]) -> Claim {
    let others = others.iter().map(|(n, d)| (n.to_string(), *d)).collect();
    Claim {
        at: at * SECOND,
        run,
        joined: true,
        generation: 1,
        disk: "kept".into(),
        others,
    }
}

/// Two that run, a third that dies at 20 s; claims at 10, 18, 30 and 40 s.
fn good() -> History {
    let mut history = History {
        runs: vec![run("a", 0, None), run("b", 0, None), run("c", 0, Some(20))],
        generations_used: vec![(0, 1, 0), (1, 1, 0), (2, 1, 0)],
        end: 40 * SECOND,
        ..History::default()
    };
    for at in [10, 18, 30, 40] {
        let dead = at > 20;
        history
            .claims
            .push(claim(0, at, &[("b", false), ("c", dead)]));
        history
            .claims
            .push(claim(1, at, &[("a", false), ("c", dead)]));
    }
    history
}

fn broken(history: &History) -> Vec<Rule> {
    let mut rules: Vec<Rule> = check(history, BOUNDS).into_iter().map(|b| b.rule).collect();
    rules.dedup();
    rules
}

#[test]
fn a_good_day_is_found_good() {
    assert_eq!(check(&good(), BOUNDS), vec![]);
}

#[test]
fn a_number_used_twice_is_found() {
    let mut history = good();
    history.runs.push(run("c", 22, Some(23)));
    history.generations_used.push((3, 1, 22 * SECOND));
    assert!(broken(&history).contains(&Rule::UniqueGeneration));
}

#[test]
fn a_dead_member_believed_alive_is_found() {
    let mut history = good();
    history.claims[4].others.insert("c".into(), false);
    assert_eq!(broken(&history), vec![Rule::FailureDetected]);
}

#[test]
fn a_living_member_held_for_dead_is_found_but_not_while_links_are_spoilt() {
    let mut history = good();
    history.claims[2].others.insert("b".into(), true);
    assert_eq!(broken(&history), vec![Rule::NoFalsePositive]);
    history.disturbances.push((16 * SECOND, 17 * SECOND));
    assert_eq!(broken(&history), vec![]);
    history.disturbances = vec![(11 * SECOND, 12 * SECOND)];
    assert_eq!(broken(&history), vec![Rule::NoFalsePositive]);
}

#[test]
fn a_member_that_was_never_heard_of_is_found() {
    let mut history = good();
    history.claims[0].others.remove("b");
    assert_eq!(broken(&history), vec![Rule::NoFalsePositive]);
}

#[test]
fn an_old_disk_that_is_believed_is_found() {
    let mut history = good();
    history.runs.push(Run {
        disk: Disk::Stale,
        ..run("c", 31, None)
    });
    history.generations_used.push((3, 2, 32 * SECOND));
    history.claims.truncate(6);
    let mut back = claim(3, 40, &[("a", false), ("b", false)]);
    (back.generation, back.disk) = (2, "kept".into());
    history.claims.extend([
        claim(0, 40, &[("b", false), ("c", false)]),
        claim(1, 40, &[("a", false), ("c", false)]),
    ]);
    history.claims.push(back);
    assert_eq!(broken(&history), vec![Rule::StaleDiskReported]);
    history.claims.last_mut().unwrap().disk = "old".into();
    assert_eq!(broken(&history), vec![]);
    history.claims.last_mut().unwrap().generation = 1;
    assert_eq!(broken(&history), vec![Rule::StaleDiskReported]);
}

#[test]
fn two_runs_of_one_name_that_both_take_part_are_found() {
    let mut history = good();
    history.runs.push(run("a", 12, None));
    history.generations_used.push((3, 2, 12 * SECOND));
    history
        .claims
        .push(claim(3, 40, &[("b", false), ("c", true)]));
    assert_eq!(broken(&history), vec![Rule::SingleRunPerName]);
}

#[test]
fn a_fleet_that_does_not_come_together_is_found() {
    let mut history = good();
    history.claims.last_mut().unwrap().joined = false;
    assert_eq!(broken(&history), vec![Rule::Convergence]);
}
