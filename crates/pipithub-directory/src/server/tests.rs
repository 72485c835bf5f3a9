//! When the circuit breaker opens and closes, and how the window grows.

use super::{Breaker, Server, ServerLimits};
use crate::{Backoff, SearchId, Time};

const S: Time = 1_000_000_000;

fn limits() -> ServerLimits {
    ServerLimits {
        failure_threshold: 3,
        backoff: Backoff {
            initial: S,
            max: 8 * S,
        },
        max_searches: 4,
    }
}

#[test]
fn failures_in_a_row_open_it_and_waits_double_up_to_the_longest() {
    let limits = limits();
    let mut server = Server::new();
    server.record_failure(0, false, 0.5, &limits);
    server.record_failure(0, false, 0.5, &limits);
    assert!(server.has_capacity(&limits));
    server.record_response(0, 1, &limits);
    server.record_failure(0, false, 0.5, &limits);
    server.record_failure(0, false, 0.5, &limits);
    assert_eq!(server.breaker, Breaker::Closed, "an answer between counts");
    server.record_failure(0, false, 0.5, &limits);
    let mut backoffs = Vec::new();
    for probe in 0..6 {
        let Breaker::Open { until, backoff } = server.breaker else {
            panic!("open")
        };
        backoffs.push(until / S);
        server.breaker = Breaker::HalfOpen {
            probe: SearchId(probe),
            backoff,
        };
        assert!(!server.has_capacity(&limits), "one probe, nothing else");
        server.record_failure(0, false, 0.5, &limits);
    }
    assert_eq!(backoffs, [1, 2, 4, 8, 8, 8]);
}

#[test]
fn a_server_that_is_back_is_asked_little_by_little() {
    let limits = limits();
    let mut server = Server::new();
    server.record_failure(0, true, 0.0, &limits);
    assert!(
        matches!(server.breaker, Breaker::Open { .. }),
        "its own word opens it at once"
    );
    server.record_response(0, 1, &limits);
    server.in_flight = 2;
    assert!(!server.has_capacity(&limits));
    server.record_response(0, 1, &limits);
    assert!(server.has_capacity(&limits));
}
