//! Front ends as processes, while discovery is out of reach and workers drain.
//!
//! The incident: before a release, discovery was out of reach for every front end for longer than the platform's clocks for
//! silence. Workers began to drain just after that and stayed up. The front ends went on sending them calls and load commands,
//! 3,703 and 62 of them, past the notified time and the grace. The workers turned them away.
//!
//! How it came about: a front end that cannot reach the coordinator logs that and connects again, but nothing told its decisions
//! of it. The last endpoint list stayed in force without a limit of age, and a call that is turned away counts as a sign of a
//! full worker. What proved it: the log of each front end shows `last=1` throughout, so no event came after the first one; the
//! sends go on for the whole outage, longer than any call waits; and this test, with the same steps, shows the same sends.
#![cfg(target_os = "linux")]

use std::path::Path;
use std::time::Duration;

use pipithub_scenario::outage::{
    OutageKind, Plan, Rates, Rule, Settings, Step, TimedStep, Verdict, check, run,
};

/// Beyond the platform's own 50 ms, as the machine of the tests may be busy; the incident's sends went on for seconds.
const SLACK: Duration = Duration::from_millis(300);

const fn milliseconds(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// The steps of the incident: discovery gets out of reach, and 0.6 s later two of twelve workers begin to drain.
fn incident(kind: OutageKind) -> Plan {
    let begin = Step::BeginOutage {
        nodes: vec![0, 1, 2],
        kind,
    };
    let steps = [(1_000, begin), (1_600, Step::Drain(vec![3, 8]))];
    Plan {
        seed: 1,
        nodes: 3,
        workers: 12,
        rates: Rates {
            calls: 60,
            functions: 24,
        },
        settings: Settings {
            drain_grace: milliseconds(1_000),
            client_timeout: milliseconds(1_000),
            slow_start: milliseconds(5_000),
        },
        duration: milliseconds(10_000),
        steps: steps
            .map(|(at, step)| TimedStep {
                at: milliseconds(at),
                step,
            })
            .to_vec(),
    }
}

/// Seeds of the soak in CI; the long one is started by hand, with `pipithub outage`.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=6;
/// How many of them run at the same time.
const THREADS: usize = 3;

fn play(plan: &Plan) -> Verdict {
    let folder = tempfile::tempdir().expect("a folder");
    let binary = Path::new(env!("CARGO_BIN_EXE_pipithub"));
    let history = run(plan, binary, folder.path()).expect("played to its end");
    check(plan, &history, SLACK)
}

#[test]
fn draining_workers_get_no_new_work_while_discovery_is_out_of_reach() {
    for kind in [OutageKind::Refused, OutageKind::Unanswered] {
        let verdict = play(&incident(kind));
        let shown: Vec<_> = verdict.breaches.iter().take(5).collect();
        assert_eq!(
            (
                verdict.count(Rule::DrainedCall),
                verdict.count(Rule::DrainedLoadCommand)
            ),
            (0, 0),
            "{kind:?}: calls and load commands at draining workers, {} calls, {} served: {shown:#?}",
            verdict.calls,
            verdict.served
        );
        assert!(verdict.breaches.is_empty(), "{kind:?}: {shown:#?}");
        assert!(
            verdict.served_ratio() > 0.9,
            "{kind:?}: a service can go on serving, {} of {}",
            verdict.served,
            verdict.calls
        );
    }
}

#[test]
fn rules_are_kept_through_drawn_outages_beside_drains_restarts_and_faulty_workers() {
    let seeds: Vec<u64> = SEEDS.collect();
    let play_all = |seeds: &[u64]| -> Vec<(u64, Verdict)> {
        seeds
            .iter()
            .map(|seed| (*seed, play(&Plan::draw(*seed, true))))
            .collect()
    };
    let verdicts: Vec<(u64, Verdict)> = std::thread::scope(|scope| {
        let parts: Vec<_> = seeds
            .chunks(seeds.len() / THREADS)
            .map(|part| scope.spawn(move || play_all(part)))
            .collect();
        parts
            .into_iter()
            .flat_map(|part| part.join().expect("played"))
            .collect()
    });
    for (seed, verdict) in verdicts {
        let shown: Vec<_> = verdict.breaches.iter().take(5).collect();
        assert!(shown.is_empty(), "seed {seed}: {shown:#?}");
        assert!(
            verdict.calls > 0 && verdict.served_ratio() > 0.5,
            "seed {seed}"
        );
        assert!(
            verdict.health_checks > 0,
            "seed {seed}: the outage was noticed"
        );
    }
}
