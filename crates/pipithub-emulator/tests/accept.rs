//! Accept loops after each kind of error.

use std::collections::VecDeque;
use std::io;
use std::time::Duration;

use pipithub_emulator::accept::next_connection;
use rustix::io::Errno;
use tokio::time::Instant;

/// A scripted listener that returns errors and then a connection.
struct Script {
    errors: VecDeque<Errno>,
    calls: usize,
}

impl Script {
    fn of(errors: impl IntoIterator<Item = Errno>) -> Self {
        Script {
            errors: errors.into_iter().collect(),
            calls: 0,
        }
    }

    fn accept(&mut self) -> io::Result<&'static str> {
        self.calls += 1;
        self.errors
            .pop_front()
            .map_or(Ok("connection"), |errno| Err(errno.into()))
    }

    /// Accepts once; returns the connection, if any, and the time that it took.
    async fn accept_next(&mut self) -> (Option<&'static str>, Duration) {
        let began = Instant::now();
        let accepted = next_connection(|| std::future::ready(self.accept())).await;
        (accepted, began.elapsed())
    }
}

#[tokio::test(start_paused = true)]
async fn lost_connections_are_skipped_without_delay() {
    let mut script = Script::of([Errno::CONNABORTED, Errno::PROTO, Errno::INTR].repeat(100));
    assert_eq!(
        script.accept_next().await,
        (Some("connection"), Duration::ZERO)
    );
    assert_eq!(script.calls, 301);
}

#[tokio::test(start_paused = true)]
async fn accept_is_retried_with_a_delay_while_descriptors_or_memory_are_exhausted() {
    for errno in [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM] {
        let mut script = Script::of([errno; 50]);
        let (accepted, waited) = script.accept_next().await;
        assert_eq!(
            (accepted, script.calls),
            (Some("connection"), 51),
            "{errno}"
        );
        assert!(
            waited >= Duration::from_millis(50),
            "{errno}: retried without a delay"
        );
        assert!(
            waited <= Duration::from_secs(5),
            "{errno}: retried with too long a delay: {waited:?}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn unusable_listener_ends_at_once() {
    let mut script = Script::of([Errno::BADF; 50]);
    assert_eq!(script.accept_next().await, (None, Duration::ZERO));
    assert_eq!(script.calls, 1);
}
