//! Reconnects to the coordinator, partly in simulated time, and what is logged about them.

use std::fmt::Debug;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use pipithub_emulator::coordinator::{Behaviour, Coordinator, event};
use pipithub_node::coordinator::{StreamUpdate, follow};
use pipithub_platform::settings::Names;
use pipithub_platform::sse::MAX_DATA_BYTES;
use tokio::sync::watch;
use tokio::task::LocalSet;
use tokio::time::Instant;
use tracing::field::{Field, Visit};
use tracing::span::{Attributes, Id, Record};
use tracing::{Event, Level, Metadata, Subscriber};

/// Records when a line was logged: each attempt to connect ends with one.
#[derive(Clone, Default)]
struct LogTimeRecorder(Arc<Mutex<Vec<Instant>>>);

impl Subscriber for LogTimeRecorder {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.target() == "pipithub_node::coordinator"
    }
    fn new_span(&self, _: &Attributes<'_>) -> Id {
        Id::from_u64(1)
    }
    fn record(&self, _: &Id, _: &Record<'_>) {}
    fn record_follows_from(&self, _: &Id, _: &Id) {}
    fn event(&self, _: &Event<'_>) {
        self.0
            .lock()
            .expect("lock not poisoned")
            .push(Instant::now());
    }
    fn enter(&self, _: &Id) {}
    fn exit(&self, _: &Id) {}
}

/// The times between one front end's attempts to connect, while nothing listens at the address.
async fn reconnect_delays(seed: u64) -> Vec<Duration> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = listener.local_addr().expect("bound").to_string();
    drop(listener);
    let (_address_sender, followed) = watch::channel(address);
    let times = LogTimeRecorder::default();
    let _guard = tracing::subscriber::set_default(times.clone());
    let following = follow(followed, 0, Names::default(), seed, |_| {});
    let _ = tokio::time::timeout(
        Duration::from_secs(20),
        LocalSet::new().run_until(following),
    )
    .await;
    let times = times.0.lock().expect("lock not poisoned");
    times.windows(2).map(|pair| pair[1] - pair[0]).collect()
}

/// Hundreds of front ends may lose their coordinator at the same time; they must not all reconnect at the same time.
#[tokio::test(start_paused = true)]
async fn reconnect_backoff_is_jittered_by_each_front_ends_seed() {
    let (first, second) = (reconnect_delays(1).await, reconnect_delays(2).await);
    assert!(
        first.len() > 10 && second.len() > 10,
        "{first:?}, {second:?}"
    );
    for delays in [&first, &second] {
        for (i, delay) in delays.iter().enumerate() {
            let nominal = Duration::from_millis(50 << i.min(4));
            let tolerance = Duration::from_millis(2);
            assert!(
                *delay + tolerance >= nominal / 2 && *delay <= nominal * 3 / 2 + tolerance,
                "{i}: {delay:?}"
            );
        }
    }
    let differing = first
        .iter()
        .zip(&second)
        .filter(|(a, b)| a.abs_diff(**b) > Duration::from_millis(2))
        .count();
    assert!(
        differing * 2 > first.len().min(second.len()),
        "{first:?}, {second:?}"
    );
    assert_eq!(first, reconnect_delays(1).await, "the seed determines them");
}

/// Records the fields of each log line of level ERROR.
#[derive(Clone, Default)]
struct ErrorRecorder(Arc<Mutex<Vec<String>>>);

impl Visit for ErrorRecorder {
    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        if let Some(last) = self.0.lock().expect("lock not poisoned").last_mut() {
            last.push_str(&format!("{}={value:?} ", field.name()));
        }
    }
}

impl Subscriber for ErrorRecorder {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.target() == "pipithub_node::coordinator" && *metadata.level() == Level::ERROR
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

/// An operator must be able to see why a front end no longer follows the endpoint list, and since when.
#[tokio::test]
async fn unusable_events_are_counted_and_logged_with_place_and_reason() {
    let valid_host = serde_json::json!({"host": "w1", "dial": "127.0.0.1:1", "health": "SERVING"});
    let unknown_health = serde_json::json!({"host": "w2", "dial": "127.0.0.1:1", "health": "ODD"});
    let long = "x".repeat(MAX_DATA_BYTES + 1);
    let cases = [
        (
            event(2, false, &[valid_host.clone(), unknown_health]),
            "endpoints.hosts[1].health: unknown",
        ),
        (long, "event 2: data: more than 8192000 bytes"),
    ];
    for (text, reason) in cases {
        let coordinator = Coordinator::start(Behaviour::default()).expect("listens");
        coordinator.publish_text(1, "", &event(1, true, std::slice::from_ref(&valid_host)));
        let (errors, applied) = (
            ErrorRecorder::default(),
            std::cell::RefCell::new(Vec::new()),
        );
        let _guard = tracing::subscriber::set_default(errors.clone());
        let (_address_sender, followed) = watch::channel(coordinator.address().to_string());
        let logged = || errors.0.lock().expect("lock not poisoned").clone();
        let following = follow(followed, 0, Names::default(), 1, |update| {
            let StreamUpdate::Event(event) = update else {
                return;
            };
            applied.borrow_mut().push(event.index);
            coordinator.publish_text(2, &text, &text);
        });
        let logged_twice = async {
            while logged().len() < 2 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        let both = async {
            tokio::select! {
                () = following => {}
                () = logged_twice => {}
            }
        };
        let local = LocalSet::new();
        tokio::time::timeout(Duration::from_secs(60), local.run_until(both))
            .await
            .expect("logged twice");
        for (i, error) in logged()[..2].iter().enumerate() {
            assert!(
                error.contains(reason) && error.contains(&format!("unusable={} ", i + 1)),
                "{error}"
            );
        }
        assert_eq!(*applied.borrow(), [1], "the previous list stays in use");
    }
}

/// The kinds of updates that a front end gets while its coordinator is at `address`, until `count` of them have come or
/// ten attempts to connect have failed.
async fn updates_from(address: String, count: usize) -> Vec<StreamUpdate> {
    const MAX_ATTEMPTS: usize = 10;
    let (_address_sender, followed) = watch::channel(address);
    let attempts = LogTimeRecorder::default();
    let _guard = tracing::subscriber::set_default(attempts.clone());
    let updates = std::cell::RefCell::new(Vec::new());
    let following = follow(followed, 0, Names::default(), 1, |update| {
        updates.borrow_mut().push(update);
    });
    let ended = async {
        let failed = || attempts.0.lock().expect("lock not poisoned").len();
        while updates.borrow().len() < count && failed() < MAX_ATTEMPTS {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    let both = async {
        tokio::select! {
            () = following => {}
            () = ended => {}
        }
    };
    let local = LocalSet::new();
    tokio::time::timeout(Duration::from_secs(60), local.run_until(both))
        .await
        .expect("updates or failures come");
    updates.take()
}

/// Guards against a list that stays in use although the coordinator was asked again: a change counts as notified from the
/// request, not from its answer.
#[tokio::test]
async fn request_that_is_never_answered_is_reported() {
    // The system accepts connections for the listener; nothing reads them.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = listener.local_addr().expect("bound").to_string();
    let updates = updates_from(address, 2).await;
    assert_eq!(updates, [StreamUpdate::Requested, StreamUpdate::Requested]);
}

/// Guards against a lease that is cut short although the coordinator cannot have been asked.
#[tokio::test(start_paused = true)]
async fn refused_connection_is_not_reported_as_a_request() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = listener.local_addr().expect("bound").to_string();
    drop(listener);
    assert_eq!(updates_from(address, 1).await, []);
}
