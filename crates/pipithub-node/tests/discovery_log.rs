//! What the log tells an operator about an outage of discovery: when it began, how old the list is, and how many events
//! were missed.

mod core_harness;

use std::fmt::Debug;
use std::sync::{Arc, Mutex};

use core_harness::{CoreHarness, MS};
use pipithub_emulator::coordinator::event;
use pipithub_node::coordinator::StreamUpdate;
use pipithub_platform::list;
use serde_json::json;
use tracing::field::{Field, Visit};
use tracing::span::{Attributes, Id, Record};
use tracing::{Event, Metadata, Subscriber};

/// Records the log lines about discovery, with their fields.
#[derive(Clone, Default)]
struct LogRecorder(Arc<Mutex<Vec<String>>>);

impl Visit for LogRecorder {
    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        if let Some(last) = self.0.lock().expect("lock not poisoned").last_mut() {
            last.push_str(&format!("{}={value:?} ", field.name()));
        }
    }
}

impl Subscriber for LogRecorder {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.target() == "pipithub_node::core::discovery_log"
    }
    fn new_span(&self, _: &Attributes<'_>) -> Id {
        Id::from_u64(1)
    }
    fn record(&self, _: &Id, _: &Record<'_>) {}
    fn record_follows_from(&self, _: &Id, _: &Id) {}
    fn event(&self, event: &Event<'_>) {
        self.0
            .lock()
            .expect("lock not poisoned")
            .push(String::new());
        event.record(&mut self.clone());
    }
    fn enter(&self, _: &Id) {}
    fn exit(&self, _: &Id) {}
}

impl LogRecorder {
    fn take(&self) -> Vec<String> {
        std::mem::take(&mut self.0.lock().expect("lock not poisoned"))
    }
}

#[test]
fn log_tells_when_the_list_is_out_of_reach_its_age_and_the_missed_events() {
    let lines = LogRecorder::default();
    let _guard = tracing::subscriber::set_default(lines.clone());
    let mut harness = CoreHarness::new();
    harness.core.follow_coordinator(harness.now);
    for _ in 0..5 {
        harness.advance(1_000 * MS);
        harness
            .core
            .apply_stream_update(harness.now, harness.now, &StreamUpdate::Current);
    }
    assert_eq!(
        lines.take(),
        [""; 0],
        "nothing is logged while the list is in reach"
    );

    harness.advance(11_900 * MS);
    let logged = lines.take();
    assert_eq!(
        logged.len(),
        2,
        "the start, and one report after 5 s: {logged:?}"
    );
    assert!(logged[0].contains("out of reach") && logged[0].contains("age_ms=2000"));
    assert!(logged[0].contains("last_event=1 "), "{}", logged[0]);
    assert!(logged[1].contains("still out of reach") && logged[1].contains("age_ms=7000"));
    let age = harness.core.endpoint_list_age(harness.now);
    assert_eq!(age, Some(11_900 * MS));

    // Neither a request for the stream ends an outage, nor do events before the stream has caught up.
    let host = json!({"host": "w1", "dial": "10.0.0.1:1", "site": "a", "health": "DRAINING"});
    let text = event(4, false, &[host]);
    let missed =
        list::parse(&text, &pipithub_platform::settings::Names::default()).expect("a valid event");
    for update in [StreamUpdate::Requested, StreamUpdate::Event(missed)] {
        harness
            .core
            .apply_stream_update(harness.now, harness.now, &update);
    }
    assert_eq!(lines.take(), [""; 0]);
    harness
        .core
        .apply_stream_update(harness.now, harness.now, &StreamUpdate::Current);
    let logged = lines.take();
    assert_eq!(logged.len(), 1, "{logged:?}");
    for part in ["in reach again", "out_of_reach_ms=11900", "missed_events=3"] {
        assert!(logged[0].contains(part), "{part}: {}", logged[0]);
    }
}

#[test]
fn log_tells_once_that_a_worker_fails_its_health_checks_and_once_that_it_passes_them_again() {
    let lines = LogRecorder::default();
    let _guard = tracing::subscriber::set_default(lines.clone());
    let mut harness = CoreHarness::new();
    harness.core.follow_coordinator(harness.now);
    let client = harness.connect_client();
    harness.advance(1_000 * MS);
    let mut logged = Vec::new();
    for (round, status) in [(0, "AILING"), (1, "AILING"), (2, "READY")] {
        harness.call(client, 1 + round, "view");
        let written = harness.written();
        let checks: Vec<_> = written
            .iter()
            .filter(|(_, line)| line.contains("ECHO"))
            .cloned()
            .collect();
        for (connection, line) in checks {
            let reference = line.split('"').nth(7).expect("a reference").to_string();
            let answer = format!("{{\"cmd\":\"{status}\",\"ref\":\"{reference}\"}}\n");
            harness
                .core
                .worker_bytes(harness.now, connection, answer.as_bytes());
        }
        harness.advance(2_000 * MS);
        logged.extend(lines.take());
    }
    // The first worker that is checked; health checks of the other one are not answered.
    let is_of_first_worker = |line: &&String| line.contains(r#"worker="w2""#);
    let count = |message: &str| {
        logged
            .iter()
            .filter(is_of_first_worker)
            .filter(|line| line.contains(message))
            .count()
    };
    assert_eq!(count("worker fails its health checks"), 1, "{logged:?}");
    assert_eq!(
        count("worker passes its health checks again"),
        1,
        "{logged:?}"
    );
}
