//! Front ends run as processes while discovery is unreachable and workers drain.
//!
//! The incident: before a release, no front end could reach discovery for longer than the platform's timeouts for silence.
//! Shortly after the outage began, workers began to drain, and they stayed up. The front ends went on sending them 3,703 calls
//! and 62 load commands after the announced time and the drain grace. The workers rejected them.
//!
//! The cause: a front end that could not reach the coordinator logged this and reconnected, but did not report it to its decision
//! module. The last endpoint list stayed in force without an age limit, and a rejected call counted as a sign of a full worker.
//! The evidence: the log of each front end shows `last=1` throughout, so no event arrived after the first one; the sends
//! continued for the whole outage, longer than any call waits; and this test, with the same steps, showed the same sends.
#![cfg(target_os = "linux")]

use std::path::Path;
use std::time::Duration;

use pipithub_scenario::outage::{
    OutageKind, Plan, Rates, Rule, Settings, Step, TimedStep, Verdict, check, run,
};

/// The tolerance of time limits. It exceeds the platform's 50 ms because the test machine may be busy; in the incident the
/// sends continued for seconds.
const SLACK: Duration = Duration::from_millis(300);

const fn milliseconds(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// The steps of the incident: discovery becomes unreachable, and 0.6 s later two of twelve workers begin to drain.
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
            health_checks: true,
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

/// The seeds of the soak test in CI; a longer soak test is started by hand with `pipithub outage`.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=6;
/// The number of threads on which the seeds run.
const THREADS: usize = 3;

fn play(plan: &Plan) -> Verdict {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let binary = Path::new(env!("CARGO_BIN_EXE_pipithub"));
    let history = run(plan, binary, folder.path()).expect("the run is completed");
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
            "{kind:?}: calls are still served during the outage, {} of {}",
            verdict.served,
            verdict.calls
        );
    }
}

/// The steps of review case 10: discovery breaks off in the middle of an event while two workers begin to drain, and is asked
/// again in vain.
fn broken_event(kind: OutageKind) -> Plan {
    let mut plan = incident(kind);
    for timed in &mut plan.steps {
        timed.at = milliseconds(1_000);
    }
    plan.duration = milliseconds(5_000);
    plan
}

/// Guards against calls at draining workers after discovery was asked again: front ends went on with their list until 2 s after
/// the break, although a change counts as notified from the request.
#[test]
fn draining_workers_get_no_new_work_once_discovery_was_asked_again() {
    for kind in [OutageKind::BrokenEvent, OutageKind::BrokenEventUnanswered] {
        for plan in [
            broken_event(kind),
            broken_event(kind).without_health_checks(),
        ] {
            let verdict = play(&plan);
            let shown: Vec<_> = verdict.breaches.iter().take(5).collect();
            assert!(verdict.breaches.is_empty(), "{kind:?}: {shown:#?}");
            assert!(verdict.served > 0, "{kind:?}");
            assert!(
                !plan.settings.health_checks || verdict.served_ratio() > 0.9,
                "{kind:?}: calls are still served during the outage, {} of {}",
                verdict.served,
                verdict.calls
            );
        }
    }
}

/// Guards against new work for draining workers where no health check can show that they drain, and against front ends
/// that go on rejecting calls once discovery is back.
#[test]
fn without_health_checks_draining_workers_get_no_new_work_and_service_comes_back() {
    for kind in [OutageKind::Refused, OutageKind::Unanswered] {
        let mut plan = incident(kind).without_health_checks();
        plan.duration = milliseconds(12_000);
        plan.steps.push(TimedStep {
            at: milliseconds(7_500),
            step: Step::EndOutage {
                nodes: vec![0, 1, 2],
            },
        });
        let verdict = play(&plan);
        let shown: Vec<_> = verdict.breaches.iter().take(5).collect();
        assert!(verdict.breaches.is_empty(), "{kind:?}: {shown:#?}");
        assert_eq!(verdict.health_checks, 0, "{kind:?}");
        // Beside the 1.5 s before the first step calls are served, of 12 s, until at least 2.6 s (the silence of a stream since
        // its last comment, at 0 s or later, and the grace after the request that follows it; 3.85 s after a break, where
        // connections are refused) and again 1.5 s after discovery is back at the latest.
        assert!(
            verdict.served_ratio() > 0.5,
            "{kind:?}: {} of {}",
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
            .flat_map(|part| part.join().expect("the runs end without a panic"))
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
            "seed {seed}: the outage was noticed, so health checks were made"
        );
    }
}
