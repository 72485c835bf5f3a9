//! How the coordinator is asked again, in time that the test drives.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use pipithub_node::coordinator::follow;
use pipithub_platform::settings::Names;
use tokio::sync::watch;
use tokio::task::LocalSet;
use tokio::time::Instant;
use tracing::span::{Attributes, Id, Record};
use tracing::{Event, Metadata, Subscriber};

/// Notes when something was logged: each try ends with a line.
#[derive(Clone, Default)]
struct Times(Arc<Mutex<Vec<Instant>>>);

impl Subscriber for Times {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.target() == "pipithub_node::coordinator"
    }
    fn new_span(&self, _: &Attributes<'_>) -> Id {
        Id::from_u64(1)
    }
    fn record(&self, _: &Id, _: &Record<'_>) {}
    fn record_follows_from(&self, _: &Id, _: &Id) {}
    fn event(&self, _: &Event<'_>) {
        self.0.lock().expect("one thread").push(Instant::now());
    }
    fn enter(&self, _: &Id) {}
    fn exit(&self, _: &Id) {}
}

/// The waits between the tries of one front end, while nobody listens there.
async fn waits(seed: u64) -> Vec<Duration> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = listener.local_addr().expect("bound").to_string();
    drop(listener);
    let (_hold, followed) = watch::channel(address);
    let times = Times::default();
    let _guard = tracing::subscriber::set_default(times.clone());
    let following = follow(followed, 0, Names::default(), seed, |_| {});
    let _ = tokio::time::timeout(Duration::from_secs(20), LocalSet::new().run_until(following)).await;
    let times = times.0.lock().expect("one thread");
    times.windows(2).map(|pair| pair[1] - pair[0]).collect()
}

/// Hundreds lose their coordinator in one moment; they must not come back to it in step.
#[tokio::test(start_paused = true)]
async fn front_ends_that_lost_their_coordinator_together_do_not_ask_in_step() {
    let (one, other) = (waits(1).await, waits(2).await);
    assert!(one.len() > 10 && other.len() > 10, "{one:?}, {other:?}");
    for waits in [&one, &other] {
        for (i, wait) in waits.iter().enumerate() {
            let middle = Duration::from_millis(50 << i.min(4));
            let slack = Duration::from_millis(2);
            assert!(*wait + slack >= middle / 2 && *wait <= middle * 3 / 2 + slack, "{i}: {wait:?}");
        }
    }
    let apart = one.iter().zip(&other).filter(|(a, b)| a.abs_diff(**b) > Duration::from_millis(2)).count();
    assert!(apart * 2 > one.len().min(other.len()), "{one:?}, {other:?}");
    assert_eq!(one, waits(1).await, "and each by its own seed alone");
}
