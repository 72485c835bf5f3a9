//! The timeout in the header is set when the request is written, and never exceeds the time that is left.

use pipithub_engine::policy::RequestId;
use pipithub_engine::{AttemptId, Call};
use pipithub_inference::{DeadlineReached, WorkerRequest, header, infer};

const MILLISECOND: u64 = 1_000_000;

fn request() -> WorkerRequest {
    infer(
        &Call {
            function: "f".into(),
            ..Call::default()
        },
        AttemptId {
            request: RequestId(1),
            number: 0,
        },
        "fe",
    )
}

fn timeouts(request: &WorkerRequest) -> Vec<&str> {
    request
        .headers
        .iter()
        .filter(|(name, _)| *name == header::TIMEOUT)
        .map(|(_, v)| v.as_str())
        .collect()
}

#[test]
fn request_that_waited_carries_the_time_left_when_it_is_written() {
    let mut request = request();
    assert_eq!(request.set_timeout(1_500 * MILLISECOND), Ok(()));
    assert_eq!(request.set_timeout(1_260 * MILLISECOND), Ok(()));
    assert_eq!(
        timeouts(&request),
        ["1260"],
        "the header occurs once, with the newer value"
    );
    assert_eq!(request.set_timeout(900 * MILLISECOND + 999_999), Ok(()));
    assert_eq!(timeouts(&request), ["900"], "never more than is left");
}

#[test]
fn request_with_less_than_a_millisecond_left_is_rejected() {
    for left in [0, 1, MILLISECOND - 1] {
        assert_eq!(
            request().set_timeout(left),
            Err(DeadlineReached),
            "{left} ns"
        );
    }
    let mut request = request();
    assert_eq!(request.set_timeout(MILLISECOND), Ok(()));
    assert_eq!(timeouts(&request), ["1"]);
}
