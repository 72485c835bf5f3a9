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

fn run_until(worker: &mut WorkerCore, until: Time) -> Vec<(Time, WorkerEvent)> {
    let mut events: Vec<_> = worker
        .take_events()
        .into_iter()
        .map(|event| (worker.now, event))
        .collect();
    while let Some(due) = worker.next_due().filter(|due| *due <= until) {
        worker.on_time(due);
        events.extend(worker.take_events().into_iter().map(|event| (due, event)));
    }
    worker.on_time(until);
    events.extend(worker.take_events().into_iter().map(|event| (until, event)));
    events
}

fn outcome_of(
    events: &[(Time, WorkerEvent)],
    wanted: u64,
) -> Option<(Time, Result<Placement, Rejection>)> {
    events.iter().find_map(|(time, event)| match event {
        WorkerEvent::Finished { id, result, .. } if *id == wanted => Some((*time, *result)),
        _ => None,
    })
}

fn warm_settings() -> WorkerSettings {
    WorkerSettings {
        initial_weight: 1.0,
        ..WorkerSettings::default()
    }
}

#[test]
fn first_request_loads_the_model_for_the_next() {
    let mut worker = WorkerCore::new(warm_settings(), false, 0);
    worker.receive(0, request(1, "f"));
    worker.receive(100 * NANOS_PER_MS, request(2, "f"));
    let events = run_until(&mut worker, 1_000 * NANOS_PER_MS);
    assert_eq!(
        outcome_of(&events, 1).map(|d| (d.0 / NANOS_PER_MS, d.1)),
        Some((560, Ok(Placement::BeganLoad)))
    );
    assert_eq!(
        outcome_of(&events, 2).map(|d| d.1),
        Some(Ok(Placement::AwaitedLoad))
    );
    worker.receive(1_000 * NANOS_PER_MS, request(3, "f"));
    let events = run_until(&mut worker, 2_000 * NANOS_PER_MS);
    assert_eq!(
        outcome_of(&events, 3).map(|d| (d.0 / NANOS_PER_MS, d.1)),
        Some((1_060, Ok(Placement::Warm)))
    );
    run_until(&mut worker, 12_000 * NANOS_PER_MS);
    assert_eq!(worker.index(), []);
}

#[test]
fn memory_is_bounded_and_idle_replicas_are_unloaded() {
    let mut worker = WorkerCore::new(
        WorkerSettings {
            memory_mb: 8_000.0,
            ..warm_settings()
        },
        false,
        0,
    );
    worker.receive(0, request(1, "a"));
    worker.receive(0, request(2, "b"));
    worker.receive(0, request(3, "c"));
    assert_eq!(
        outcome_of(&run_until(&mut worker, NANOS_PER_MS), 3).map(|d| d.1),
        Some(Err(Rejection::OutOfMemory))
    );
    run_until(&mut worker, 1_000 * NANOS_PER_MS);
    worker.receive(1_000 * NANOS_PER_MS, request(4, "c"));
    let events = run_until(&mut worker, 2_000 * NANOS_PER_MS);
    assert_eq!(
        outcome_of(&events, 4).map(|d| d.1),
        Some(Ok(Placement::BeganLoad))
    );
    assert!(worker.used_memory_mb() <= 8_000.0);
}

#[test]
fn failed_load_fails_the_waiting_requests() {
    let mut worker = WorkerCore::new(warm_settings(), true, 0);
    worker.receive(0, request(1, "f"));
    worker.load(0, 9, "f", 1);
    assert_eq!(worker.take_events(), [WorkerEvent::Fetch("f".into())]);
    worker.fetched(NANOS_PER_MS, "f", false);
    let events = worker.take_events();
    assert!(
        events.contains(&WorkerEvent::Finished {
            id: 1,
            result: Err(Rejection::LoadFailed),
            concurrency: 0
        }),
        "{events:?}"
    );
    assert!(events.contains(&WorkerEvent::CommandFinished {
        id: 9,
        replicas: 0,
        result: Err(Rejection::LoadFailed)
    }));
}

#[test]
fn duplicates_of_a_key_are_dropped_within_the_deduplication_window() {
    let mut worker = WorkerCore::new(warm_settings(), false, 0);
    let keyed = |id| InferenceRequest {
        key: Some("k".into()),
        ..request(id, "f")
    };
    worker.receive(0, keyed(1));
    run_until(&mut worker, 1_000 * NANOS_PER_MS);
    worker.receive(1_000 * NANOS_PER_MS, keyed(2));
    assert!(
        run_until(&mut worker, 2_000 * NANOS_PER_MS)
            .iter()
            .any(|(_, event)| *event
                == WorkerEvent::Running {
                    id: 2,
                    dropped: true
                })
    );
    worker.receive(9_000 * NANOS_PER_MS, keyed(3));
    assert!(
        run_until(&mut worker, 10_000 * NANOS_PER_MS)
            .iter()
            .any(|(_, event)| *event
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
    // A warm worker serves 33 requests per second, this one 0.3 of that at its start, which is 10. With an overload
    // factor of 2 and a window of 2 s, the bound is 2 x 10 x 2 = 40 requests, and a slack of 2 comes on top.
    (0..40).for_each(|n| worker.receive(n * NANOS_PER_MS, request(n, "f")));
    assert!(
        !worker
            .take_events()
            .iter()
            .any(|event| matches!(event, WorkerEvent::Overloaded { .. }))
    );
    (40..50).for_each(|n| worker.receive(n * NANOS_PER_MS, request(n, "f")));
    assert!(
        worker
            .take_events()
            .iter()
            .any(|event| matches!(event, WorkerEvent::Overloaded { .. }))
    );
    let mut worker = WorkerCore::new(cold, false, 0);
    worker.receive(0, request(1, "f"));
    let at = outcome_of(&run_until(&mut worker, 5_000 * NANOS_PER_MS), 1)
        .expect("the request has ended")
        .0;
    assert!(at > 600 * NANOS_PER_MS, "{at}");
}
