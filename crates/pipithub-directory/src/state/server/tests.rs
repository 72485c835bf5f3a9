//! Tests of the circuit breaker and the concurrency limit.

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
fn consecutive_failures_open_the_breaker_and_backoff_doubles_up_to_its_maximum() {
    let limits = limits();
    let mut server = Server::new();
    server.record_failure(0, false, 0.5, &limits);
    server.record_failure(0, false, 0.5, &limits);
    assert!(server.has_capacity(&limits));
    server.record_response(0, 1, &limits);
    server.record_failure(0, false, 0.5, &limits);
    server.record_failure(0, false, 0.5, &limits);
    assert_eq!(
        server.breaker,
        Breaker::Closed,
        "a response resets the count of consecutive failures"
    );
    server.record_failure(0, false, 0.5, &limits);
    let mut backoffs = Vec::new();
    for _ in 0..6 {
        let Breaker::Open { until, .. } = server.breaker else {
            panic!("the breaker is not open: {:?}", server.breaker)
        };
        backoffs.push(until / SECOND);
        server.half_open();
        assert!(
            !server.has_capacity(&limits),
            "only the probe is in flight while half-open"
        );
        server.record_failure(0, false, 0.5, &limits);
    }
    assert_eq!(backoffs, [1, 2, 4, 8, 8, 8]);
}

#[test]
fn concurrency_limit_grows_by_one_with_each_response_after_an_outage() {
    let limits = limits();
    let mut server = Server::new();
    server.record_failure(0, true, 0.0, &limits);
    assert!(
        matches!(server.breaker, Breaker::Open { .. }),
        "a failure with `opens_breaker` opens the breaker at once"
    );
    server.record_response(0, 1, &limits);
    server.in_flight = 2;
    assert!(!server.has_capacity(&limits));
    server.record_response(0, 1, &limits);
    assert!(server.has_capacity(&limits));
}
