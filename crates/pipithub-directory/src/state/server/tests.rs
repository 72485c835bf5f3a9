//! When the circuit breaker opens and closes, and how the concurrency limit grows.

use super::{Breaker, Server, ServerLimits};
use crate::settings::Backoff;
use crate::time::SECOND;

fn limits() -> ServerLimits {
    ServerLimits {
        failure_threshold: 3,
        backoff: Backoff {
            initial: SECOND,
            max: 8 * SECOND,
        },
        max_searches: 4,
    }
}

#[test]
fn consecutive_failures_open_the_breaker_and_backoffs_double_up_to_the_longest() {
    let limits = limits();
    let mut server = Server::new();
    server.record_failure(0, false, 0.5, &limits);
    server.record_failure(0, false, 0.5, &limits);
    assert!(server.has_capacity(&limits));
    server.record_response(0, 1, &limits);
    server.record_failure(0, false, 0.5, &limits);
    server.record_failure(0, false, 0.5, &limits);
    assert_eq!(server.breaker, Breaker::Closed, "a response between counts");
    server.record_failure(0, false, 0.5, &limits);
    let mut backoffs = Vec::new();
    for _ in 0..6 {
        let Breaker::Open { until, .. } = server.breaker else {
            panic!("open")
        };
        backoffs.push(until / SECOND);
        server.half_open();
        assert!(!server.has_capacity(&limits), "one probe, nothing else");
        server.record_failure(0, false, 0.5, &limits);
    }
    assert_eq!(backoffs, [1, 2, 4, 8, 8, 8]);
}

#[test]
fn the_concurrency_limit_of_a_server_that_is_back_grows_by_one() {
    let limits = limits();
    let mut server = Server::new();
    server.record_failure(0, true, 0.0, &limits);
    assert!(
        matches!(server.breaker, Breaker::Open { .. }),
        "its own report opens it at once"
    );
    server.record_response(0, 1, &limits);
    server.in_flight = 2;
    assert!(!server.has_capacity(&limits));
    server.record_response(0, 1, &limits);
    assert!(server.has_capacity(&limits));
}
