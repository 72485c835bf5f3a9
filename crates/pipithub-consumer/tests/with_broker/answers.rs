//! Answers with bodies that are too large for the broker.

use pipithub_consumer::{Notice, Qos};

use crate::connection::MAX_BODY;
use crate::test_bed::{TestBed, class};

/// The sizes of bodies that the broker has refused, as all front ends reported them.
fn refused_bodies(bed: &TestBed) -> Vec<usize> {
    let notices = bed.front_ends.iter().flat_map(|front| &front.notices);
    notices
        .filter_map(|notice| match notice {
            Notice::BodyRefused { bytes, .. } => Some(*bytes),
            _ => None,
        })
        .collect()
}

/// Guards against calls that are delivered again, or never answered, because the answer of another call is too large for the
/// broker.
#[test]
fn answer_that_the_broker_refuses_fails_its_own_call_alone() {
    let mut bed = TestBed::new(1, 10, Qos::Channel);
    bed.publish("large", class("safe"));
    bed.run_until_idle();
    let large = bed.front_ends[0].attempts.remove(0);
    // These are in flight while the large answer is refused; delivered again, they would fail.
    for number in 0..4 {
        bed.publish(&format!("u{number}"), class("unsafe"));
    }
    bed.run_until_idle();
    let others = std::mem::replace(&mut bed.front_ends[0].attempts, vec![large]);
    assert_eq!(bed.finish_attempts_with_body(MAX_BODY + 1), ["large"]);
    bed.front_ends[0].attempts = others;
    assert_eq!(bed.finish_attempts_with_body(4).len(), 4);
    for (id, verdicts) in bed.verdicts() {
        let expected = if id == "large" { "failed" } else { "served" };
        assert_eq!(verdicts, [expected], "{id}");
    }
    assert_eq!(bed.answers().len(), 5);
    assert_eq!(bed.broker.depth("calls"), Some((0, 0)));
    assert_eq!(bed.lost_connections(), 0);
    assert_eq!(refused_bodies(&bed), [MAX_BODY + 1]);
}

/// The limit of the broker is found by the first bodies of a size, and answers up to it are published once.
#[test]
fn limit_of_the_broker_is_learnt_from_trials() {
    let mut bed = TestBed::new(1, 10, Qos::Channel);
    let sizes = [
        (200_000, "served"),
        (MAX_BODY, "served"),
        (300_000, "served"),
        (MAX_BODY + 2, "failed"),
        (MAX_BODY + 1, "failed"),
        (MAX_BODY + 3, "failed"),
        (MAX_BODY, "served"),
    ];
    for (number, (bytes, verdict)) in sizes.into_iter().enumerate() {
        let id = number.to_string();
        bed.publish(&id, |_| {});
        bed.run_until_idle();
        assert_eq!(bed.finish_attempts_with_body(bytes), [id.as_str()]);
        assert_eq!(bed.answers()[&id], [verdict], "{bytes} bytes");
    }
    // What is larger than a refused body is not tried.
    assert_eq!(refused_bodies(&bed), [MAX_BODY + 2, MAX_BODY + 1]);
    assert_eq!(bed.lost_connections(), 0);
    assert_eq!(bed.depth("answers"), 0);
}
