//! Messages that cannot be read as calls: their answers and dead letters, and the calls beside them.

use std::collections::BTreeMap;

use pipithub_amqp::{Code, FieldTable, FieldValue, Method, Properties};
use pipithub_consumer::{DeadLetterFailure, Qos};
use pipithub_engine::policy::Outcome;

use crate::client::CLIENT_USER;
use crate::front_end::DeadLetterPlace;
use crate::test_bed::{MS, TestBed, class, short};

/// An exchange that exists and to which no client may publish.
const INTERNAL_EXCHANGE: &str = "internal";

#[test]
fn unreadable_message_is_rejected_and_published_as_a_dead_letter() {
    let mut bed = TestBed::new(1, 10, Qos::Channel);
    bed.publish("bad", class("unheard-of"));
    bed.run_until_idle();
    assert_eq!(bed.verdicts(), [("bad", vec!["refused"])]);
    assert_eq!(
        (bed.broker.depth("calls"), bed.broker.depth("dead")),
        (Some((0, 0)), Some((1, 0)))
    );
}

/// Makes a message unreadable that names its user, as the broker has checked it.
fn unknown_class_of_a_user(properties: &mut Properties) {
    class("unheard-of")(properties);
    properties.user_id = Some(short(CLIENT_USER));
}

/// Guards against a queue that is never answered again because the broker refuses the copy of a message under its user's
/// name.
#[test]
fn dead_letter_of_a_message_with_a_user_does_not_stop_the_queue() {
    let mut bed = TestBed::new(2, 10, Qos::Channel);
    bed.publish("before", |_| {});
    bed.publish("bad", unknown_class_of_a_user);
    bed.publish("after", |_| {});
    bed.run_until_idle();
    bed.finish_attempts(Outcome::Served);
    assert_eq!(
        bed.verdicts(),
        [
            ("after", vec!["served"]),
            ("bad", vec!["refused"]),
            ("before", vec!["served"])
        ]
    );
    assert_eq!(
        (bed.broker.depth("calls"), bed.broker.depth("dead")),
        (Some((0, 0)), Some((1, 0)))
    );
}

fn declare_internal_exchange(bed: &mut TestBed) {
    bed.client.send(Method::ExchangeDeclare {
        exchange: short(INTERNAL_EXCHANGE),
        kind: short("direct"),
        passive: false,
        durable: true,
        auto_delete: false,
        internal: true,
        no_wait: false,
        arguments: FieldTable::new(),
    });
    bed.run_until_idle();
}

/// Guards against calls of all others that are delivered again, or never answered, because the broker refuses the dead letter
/// of one message.
#[test]
fn refused_dead_letter_disturbs_no_call_and_its_message_is_rejected() {
    let places = [
        (INTERNAL_EXCHANGE, "dead", Some(Code::AccessRefused)),
        ("missing", "dead", Some(Code::NotFound)),
        ("", "missing", None),
    ];
    for (exchange, routing_key, code) in places {
        let mut bed = TestBed::with_dead_letters_to(DeadLetterPlace {
            exchange,
            routing_key,
        });
        declare_internal_exchange(&mut bed);
        let lost_before = bed.lost_connections();
        // These run while the copies are refused; delivered again, they would fail.
        for number in 0..4 {
            bed.publish(&format!("u{number}"), class("unsafe"));
        }
        for number in 0..3 {
            bed.publish(&format!("bad{number}"), class("unheard-of"));
        }
        bed.run_until_idle();
        assert_eq!(bed.finish_attempts(Outcome::Served).len(), 4, "{exchange}");
        for (id, verdicts) in bed.verdicts() {
            let expected = if id.starts_with('u') {
                "served"
            } else {
                "refused"
            };
            assert_eq!(verdicts, [expected], "{exchange}: {id}");
        }
        assert_eq!(bed.answers().len(), 7, "{exchange}");
        assert_eq!(bed.broker.depth("calls"), Some((0, 0)), "{exchange}");
        assert_eq!((bed.depth("dead"), bed.depth("rejected")), (0, 3));
        assert_eq!(bed.lost_connections(), lost_before, "{exchange}");
        let failures = bed.dead_letter_failures();
        assert_eq!(failures.len(), 3, "{exchange}: {failures:?}");
        for failure in failures {
            match (failure, code) {
                (DeadLetterFailure::Refused(fault), Some(code)) => {
                    assert_eq!(fault.code, code as u16);
                }
                (DeadLetterFailure::NotRouted, None) => {}
                (failure, _) => panic!("{exchange}: {failure}"),
            }
        }
    }
}

/// Guards against a copy or an answer that does not fit a frame: the broker closes the connection for it, and the message comes
/// again without end.
#[test]
fn message_whose_headers_nearly_fill_a_frame_is_answered_and_copied_without_them() {
    let huge_class = |properties: &mut Properties| {
        properties.headers =
            Some(FieldTable::new().with("pipithub-class", "c".repeat(70_000).as_str()));
    };
    let no_number = |properties: &mut Properties| {
        let headers = FieldTable::new()
            .with("pipithub-class", "safe")
            .with("pipithub-lanes", "n".repeat(130_900).as_str());
        properties.headers = Some(headers);
    };
    let mut bed = TestBed::new(2, 10, Qos::Channel);
    bed.publish("before", |_| {});
    bed.publish("class", huge_class);
    bed.publish("number", no_number);
    bed.publish("after", |_| {});
    bed.run_until_idle();
    bed.finish_attempts(Outcome::Served);
    assert_eq!(
        bed.verdicts(),
        [
            ("after", vec!["served"]),
            ("before", vec!["served"]),
            ("class", vec!["refused"]),
            ("number", vec!["refused"])
        ]
    );
    assert_eq!(
        (bed.lost_connections(), bed.dead_letter_failures()),
        (0, vec![])
    );
    let dead_letters = bed.take_messages("dead");
    let is_without_headers: BTreeMap<&str, bool> = dead_letters
        .iter()
        .map(|content| {
            let headers = content.properties.headers.as_ref().expect("headers");
            let reason = headers.get("pipithub-reason").and_then(FieldValue::as_str);
            assert!(reason.is_some_and(|reason| reason.len() < 300));
            let id = content.properties.message_id.as_deref().expect("an id");
            (id, headers.get("pipithub-original-headers").is_some())
        })
        .collect();
    let expected = BTreeMap::from([("class", false), ("number", true)]);
    assert_eq!(is_without_headers, expected);
}

/// Guards against a message that stops its queue without end because its copy ends the connection or the front end: only
/// the first delivery is copied, also by a front end that has restarted. As that one cannot know what happened to the first
/// delivery, the message is answered as failed.
#[test]
fn message_that_comes_again_is_answered_without_another_copy() {
    for is_copied_before in [false, true] {
        let mut bed = TestBed::with_dead_letters_to(DeadLetterPlace {
            exchange: "",
            routing_key: "dead",
        });
        bed.publish("bad", class("unheard-of"));
        if is_copied_before {
            bed.run_until(|bed| bed.depth("dead") == 1);
        } else {
            bed.run_until(TestBed::has_unreadable_message);
        }
        bed.kill(0);
        bed.kill(1);
        bed.advance(500 * MS);
        assert_eq!(bed.verdicts(), [("bad", vec!["failed"])]);
        assert_eq!(bed.broker.depth("calls"), Some((0, 0)));
        assert_eq!(bed.depth("dead"), usize::from(is_copied_before));
        assert_eq!(bed.depth("rejected"), 1);
        assert_eq!(
            bed.dead_letter_failures(),
            [DeadLetterFailure::Redelivered],
            "copied before: {is_copied_before}"
        );
    }
}
