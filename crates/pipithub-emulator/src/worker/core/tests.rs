//! Replicas, memory, loads, duplicates and slow start of a worker, in simulated time.

use pipithub_amqp::Time;

use super::super::settings::{NANOS_PER_MS, WorkerSettings};
use super::{InferenceRequest, Placement, Rejection, WorkerCore, WorkerEvent};

fn request(id: u64, function: &str) -> InferenceRequest {
    InferenceRequest {
        id,
        function: function.into(),
        ..InferenceRequest::default()
    }
}

fn run(worker: &mut WorkerCore, until: Time) -> Vec<(Time, WorkerEvent)> {
    let mut all: Vec<_> = worker
        .take_events()
        .into_iter()
        .map(|h| (worker.now, h))
        .collect();
    while let Some(due) = worker.next_due().filter(|d| *d <= until) {
        worker.on_time(due);
        all.extend(worker.take_events().into_iter().map(|h| (due, h)));
    }
    worker.on_time(until);
    all.extend(worker.take_events().into_iter().map(|h| (until, h)));
    all
}

fn done(all: &[(Time, WorkerEvent)], wanted: u64) -> Option<(Time, Result<Placement, Rejection>)> {
    all.iter().find_map(|(t, h)| match h {
        WorkerEvent::Finished { id, result, .. } if *id == wanted => Some((*t, *result)),
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
fn first_request_loads_the_model_for_the_next() {
    let mut worker = WorkerCore::new(warm(), false, 0);
    worker.receive(0, request(1, "f"));
    worker.receive(100 * NANOS_PER_MS, request(2, "f"));
    let all = run(&mut worker, 1_000 * NANOS_PER_MS);
    assert_eq!(
        done(&all, 1).map(|d| (d.0 / NANOS_PER_MS, d.1)),
        Some((560, Ok(Placement::BeganLoad)))
    );
    assert_eq!(done(&all, 2).map(|d| d.1), Some(Ok(Placement::AwaitedLoad)));
    worker.receive(1_000 * NANOS_PER_MS, request(3, "f"));
    let all = run(&mut worker, 2_000 * NANOS_PER_MS);
    assert_eq!(
        done(&all, 3).map(|d| (d.0 / NANOS_PER_MS, d.1)),
        Some((1_060, Ok(Placement::Warm)))
    );
    run(&mut worker, 12_000 * NANOS_PER_MS);
    assert_eq!(worker.index(), []);
}

#[test]
fn memory_is_bounded_and_idle_replicas_are_unloaded() {
    let mut worker = WorkerCore::new(
        WorkerSettings {
            memory_mb: 8_000.0,
            ..warm()
        },
        false,
        0,
    );
    worker.receive(0, request(1, "a"));
    worker.receive(0, request(2, "b"));
    worker.receive(0, request(3, "c"));
    assert_eq!(
        done(&run(&mut worker, NANOS_PER_MS), 3).map(|d| d.1),
        Some(Err(Rejection::OutOfMemory))
    );
    run(&mut worker, 1_000 * NANOS_PER_MS);
    worker.receive(1_000 * NANOS_PER_MS, request(4, "c"));
    let all = run(&mut worker, 2_000 * NANOS_PER_MS);
    assert_eq!(done(&all, 4).map(|d| d.1), Some(Ok(Placement::BeganLoad)));
    assert!(worker.used_memory_mb() <= 8_000.0);
}

#[test]
fn failed_load_fails_the_waiting_requests() {
    let mut worker = WorkerCore::new(warm(), true, 0);
    worker.receive(0, request(1, "f"));
    worker.load(0, 9, "f", 1);
    assert_eq!(worker.take_events(), [WorkerEvent::Fetch("f".into())]);
    worker.fetched(NANOS_PER_MS, "f", false);
    let all = worker.take_events();
    assert!(
        all.contains(&WorkerEvent::Finished {
            id: 1,
            result: Err(Rejection::LoadFailed),
            concurrency: 0
        }),
        "{all:?}"
    );
    assert!(all.contains(&WorkerEvent::CommandFinished {
        id: 9,
        replicas: 0,
        result: Err(Rejection::LoadFailed)
    }));
}

#[test]
fn duplicates_of_a_key_are_dropped_within_the_deduplication_window() {
    let mut worker = WorkerCore::new(warm(), false, 0);
    let keyed = |id| InferenceRequest {
        key: Some("k".into()),
        ..request(id, "f")
    };
    worker.receive(0, keyed(1));
    run(&mut worker, 1_000 * NANOS_PER_MS);
    worker.receive(1_000 * NANOS_PER_MS, keyed(2));
    assert!(
        run(&mut worker, 2_000 * NANOS_PER_MS)
            .iter()
            .any(|(_, h)| *h
                == WorkerEvent::Running {
                    id: 2,
                    dropped: true
                })
    );
    worker.receive(9_000 * NANOS_PER_MS, keyed(3));
    assert!(
        run(&mut worker, 10_000 * NANOS_PER_MS)
            .iter()
            .any(|(_, h)| *h
                == WorkerEvent::Running {
                    id: 3,
                    dropped: false
                })
    );
}

#[test]
fn worker_that_warms_up_is_slow_and_can_be_overloaded() {
    let cold = WorkerSettings {
        overload_factor: 2.0,
        queue: 1_000,
        ..WorkerSettings::default()
    };
    let mut worker = WorkerCore::new(cold.clone(), false, 0);
    // 33 calls a second when warm, 0.3 of it cold: 2 x 10 x 2 s = 40 calls, and slack.
    (0..40).for_each(|n| worker.receive(n * NANOS_PER_MS, request(n, "f")));
    assert!(
        !worker
            .take_events()
            .iter()
            .any(|h| matches!(h, WorkerEvent::Overloaded { .. }))
    );
    (40..50).for_each(|n| worker.receive(n * NANOS_PER_MS, request(n, "f")));
    assert!(
        worker
            .take_events()
            .iter()
            .any(|h| matches!(h, WorkerEvent::Overloaded { .. }))
    );
    let mut worker = WorkerCore::new(cold, false, 0);
    worker.receive(0, request(1, "f"));
    let at = done(&run(&mut worker, 5_000 * NANOS_PER_MS), 1)
        .expect("served")
        .0;
    assert!(at > 600 * NANOS_PER_MS, "{at}");
}
