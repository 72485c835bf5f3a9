//! Messages that cannot be read as calls: their answers and dead letters, and the calls beside them.

use pipithub_amqp::Properties;
use pipithub_consumer::Qos;
use pipithub_engine::policy::Outcome;

use crate::client::CLIENT_USER;
use crate::test_bed::{TestBed, class, short};

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
