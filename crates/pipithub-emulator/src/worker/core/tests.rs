//! Replicas, memory, loads, duplicates and slow start of a worker, in simulated time.

use super::*;

fn call(id: u64, function: &str) -> Incoming {
    Incoming {
        id,
        function: function.into(),
        ..Incoming::default()
    }
}

fn run(worker: &mut WorkerCore, until: Time) -> Vec<(Time, Happened)> {
    let mut all: Vec<_> = worker.take().into_iter().map(|h| (worker.now, h)).collect();
    while let Some(due) = worker.next_due().filter(|d| *d <= until) {
        worker.on_time(due);
        all.extend(worker.take().into_iter().map(|h| (due, h)));
    }
    worker.on_time(until);
    all.extend(worker.take().into_iter().map(|h| (until, h)));
    all
}

fn done(all: &[(Time, Happened)], wanted: u64) -> Option<(Time, Result<Met, Refused>)> {
    all.iter().find_map(|(t, h)| match h {
        Happened::Done { id, result, .. } if *id == wanted => Some((*t, *result)),
        _ => None,
    })
}

fn warm() -> WorkerSettings {
    WorkerSettings {
        initial_weight: 1.0,
        ..WorkerSettings::default()
    }
}

#[test]
fn a_call_loads_its_model_and_the_next_finds_it() {
    let mut w = WorkerCore::new(warm(), false, 0);
    w.call(0, call(1, "f"));
    w.call(100 * MS, call(2, "f"));
    let all = run(&mut w, 1_000 * MS);
    assert_eq!(
        done(&all, 1).map(|d| (d.0 / MS, d.1)),
        Some((560, Ok(Met::Began)))
    );
    assert_eq!(done(&all, 2).map(|d| d.1), Some(Ok(Met::Waited)));
    w.call(1_000 * MS, call(3, "f"));
    let all = run(&mut w, 2_000 * MS);
    assert_eq!(
        done(&all, 3).map(|d| (d.0 / MS, d.1)),
        Some((1_060, Ok(Met::Warm)))
    );
    run(&mut w, 12_000 * MS);
    assert_eq!(w.index(), []);
}

#[test]
fn memory_is_bounded_and_idle_copies_give_way() {
    let mut w = WorkerCore::new(
        WorkerSettings {
            memory_mb: 8_000.0,
            ..warm()
        },
        false,
        0,
    );
    w.call(0, call(1, "a"));
    w.call(0, call(2, "b"));
    w.call(0, call(3, "c"));
    assert_eq!(
        done(&run(&mut w, MS), 3).map(|d| d.1),
        Some(Err(Refused::NoMemory))
    );
    run(&mut w, 1_000 * MS);
    w.call(1_000 * MS, call(4, "c"));
    let all = run(&mut w, 2_000 * MS);
    assert_eq!(done(&all, 4).map(|d| d.1), Some(Ok(Met::Began)));
    assert!(w.memory_used() <= 8_000.0);
}

#[test]
fn a_failed_load_is_told_as_failed() {
    let mut w = WorkerCore::new(warm(), true, 0);
    w.call(0, call(1, "f"));
    w.order(0, 9, "f", 1);
    assert_eq!(w.take(), [Happened::Fetch("f".into())]);
    w.fetched(MS, "f", false);
    let all = w.take();
    assert!(
        all.contains(&Happened::Done {
            id: 1,
            result: Err(Refused::LoadFailed),
            alike: 0
        }),
        "{all:?}"
    );
    assert!(all.contains(&Happened::Ordered {
        id: 9,
        copies: 0,
        result: Err(Refused::LoadFailed)
    }));
}

#[test]
fn repeats_of_a_key_are_dropped_for_a_while() {
    let mut w = WorkerCore::new(warm(), false, 0);
    let keyed = |id| Incoming {
        key: Some("k".into()),
        ..call(id, "f")
    };
    w.call(0, keyed(1));
    run(&mut w, 1_000 * MS);
    w.call(1_000 * MS, keyed(2));
    assert!(run(&mut w, 2_000 * MS).iter().any(|(_, h)| *h
        == Happened::Ran {
            id: 2,
            dropped: true
        }));
    w.call(9_000 * MS, keyed(3));
    assert!(run(&mut w, 10_000 * MS).iter().any(|(_, h)| *h
        == Happened::Ran {
            id: 3,
            dropped: false
        }));
}

#[test]
fn a_cold_worker_is_slow_and_falls_over_when_it_is_sent_too_much() {
    let cold = WorkerSettings {
        overload_factor: 2.0,
        queue: 1_000,
        ..WorkerSettings::default()
    };
    let mut w = WorkerCore::new(cold.clone(), false, 0);
    // 33 calls a second when warm, 0.3 of it cold: 2 x 10 x 2 s = 40 calls, and slack.
    (0..40).for_each(|n| w.call(n * MS, call(n, "f")));
    assert!(
        !w.take()
            .iter()
            .any(|h| matches!(h, Happened::FellOver { .. }))
    );
    (40..50).for_each(|n| w.call(n * MS, call(n, "f")));
    assert!(
        w.take()
            .iter()
            .any(|h| matches!(h, Happened::FellOver { .. }))
    );
    let mut w = WorkerCore::new(cold, false, 0);
    w.call(0, call(1, "f"));
    let at = done(&run(&mut w, 5_000 * MS), 1).expect("served").0;
    assert!(at > 600 * MS, "{at}");
}
