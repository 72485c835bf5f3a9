//! Messages that are delivered again, and that the front end which gets them then cannot read, or not as before.

use pipithub_amqp::{Properties, ShortStr};
use pipithub_consumer::{Notice, Qos};
use pipithub_engine::policy::Outcome;

use crate::front_end::MAX_SIGNATURE_AGE;
use crate::test_bed::{MS, TestBed, class, class_sent_at_start, signed_at_start};

/// Guards against a call that ran at a killed front end and is refused as unreadable by another one with other settings: its
/// client would try again, and it would take effect twice.
#[test]
fn call_that_ran_is_not_rejected_by_a_front_end_that_cannot_read_it() {
    let mut bed = TestBed::during_change_of_settings(10);
    for number in 0..4 {
        bed.publish(&format!("visit-{number}"), class("visit"));
    }
    bed.run_until_idle();
    let arrived = bed.arrived_at_workers.clone();
    assert_eq!(arrived.len(), 2, "half of the calls are read");
    bed.kill(1);
    bed.run_until_idle();
    for (id, verdicts) in bed.verdicts() {
        let expected = if arrived.contains(id) {
            "failed"
        } else {
            "refused"
        };
        assert_eq!(verdicts, [expected], "{id}");
    }
    assert_eq!(bed.answers().len(), 4);
    assert_eq!(bed.finish_attempts(Outcome::Served), [""; 0]);
}

/// Guards against a call that runs for longer than its signature is accepted: after a crash it was refused as unreadable,
/// although it had run, and ran again when its client tried again.
#[test]
fn signed_calls_that_outlast_their_signature_are_decided_by_their_class_after_a_crash() {
    let mut bed = TestBed::with_signed_messages(2);
    for class in ["safe", "keyed", "unsafe"] {
        bed.publish(class, signed_at_start(class));
    }
    bed.run_until_idle();
    assert_eq!(bed.arrived_at_workers.len(), 3);
    bed.advance(MAX_SIGNATURE_AGE + 300 * MS);
    bed.kill(0);
    bed.kill(1);
    bed.run_until_idle();
    assert_eq!(bed.verdicts(), [("unsafe", vec!["failed"])]);
    assert_eq!(bed.finish_attempts(Outcome::Served), ["keyed", "safe"]);
    let expected = [
        ("keyed", vec!["served"]),
        ("safe", vec!["served"]),
        ("unsafe", vec!["failed"]),
    ];
    assert_eq!(bed.verdicts(), expected);
}

/// Guards against a second answer, or none, for a call that still runs at the front end whose connection comes back after its
/// signature has become too old for a first delivery.
#[test]
fn signed_call_that_outlasts_its_signature_is_joined_when_its_connection_comes_back() {
    let mut bed = TestBed::with_signed_messages(1);
    bed.publish("unsafe", signed_at_start("unsafe"));
    bed.run_until_idle();
    bed.advance(MAX_SIGNATURE_AGE + 300 * MS);
    bed.cut_connection(0);
    bed.advance(300 * MS);
    assert_eq!(bed.verdicts(), []);
    assert_eq!(bed.front_ends[0].engine.stats().joined, 1);
    assert_eq!(bed.finish_attempts(Outcome::Served), ["unsafe"]);
    assert_eq!(bed.verdicts(), [("unsafe", vec!["served"])]);
}

/// A mark of the broker proves nothing about who sent a message: forged, changed and foreign ones run nothing, join no call
/// and get one answer, however they are delivered. Neither does a message that is too old when it is delivered first.
#[test]
fn unproven_messages_run_nothing_when_they_are_delivered_again() {
    let changed = |properties: &mut Properties| {
        signed_at_start("safe")(properties);
        properties.reply_to = Some(ShortStr::truncated("answers"));
        properties.correlation_id = Some(ShortStr::truncated("changed"));
        properties.message_id = Some(ShortStr::truncated("another"));
    };
    for is_killed in [false, true] {
        let mut bed = TestBed::with_signed_messages(2);
        bed.publish("running", signed_at_start("unsafe"));
        bed.run_until_idle();
        bed.publish("unsigned", class_sent_at_start("safe"));
        bed.publish("changed", changed);
        // Names the id of the call that runs, without its signature.
        bed.publish("running-forged", |properties| {
            class_sent_at_start("safe")(properties);
            properties.message_id = Some(ShortStr::truncated("running"));
        });
        bed.run_until(TestBed::has_unreadable_message);
        for number in 0..2 {
            if is_killed {
                bed.kill(number);
            } else {
                bed.cut_connection(number);
            }
        }
        bed.advance(500 * MS);
        let arrived: Vec<&str> = bed.arrived_at_workers.iter().map(String::as_str).collect();
        assert_eq!(arrived, ["running"]);
        bed.finish_attempts(Outcome::Served);
        let expected = if is_killed { "failed" } else { "served" };
        assert_eq!(bed.answers()["running"], [expected]);
        for id in ["unsigned", "changed", "running-forged"] {
            let verdicts = &bed.answers()[id];
            assert_eq!(verdicts.len(), 1, "{id}: {verdicts:?}");
            assert_ne!(verdicts[0], "served", "{id}");
        }
        assert_eq!(bed.answers().len(), 4);
    }
    let mut bed = TestBed::with_signed_messages(1);
    bed.advance(MAX_SIGNATURE_AGE + 300 * MS);
    bed.publish("late", signed_at_start("unsafe"));
    bed.run_until_idle();
    assert_eq!(bed.verdicts(), [("late", vec!["refused"])]);
    assert!(bed.arrived_at_workers.is_empty());
}

/// Guards against a client that publishes a signed message twice, because it does not know whether the first one arrived, and
/// is told that the call did not run, which it may take as leave to sign it anew.
#[test]
fn signed_message_that_is_published_twice_is_not_rejected_while_its_call_runs() {
    for waited in [0, MAX_SIGNATURE_AGE + 300 * MS] {
        let mut bed = TestBed::with_signed_messages(1);
        bed.publish("unsafe", signed_at_start("unsafe"));
        bed.run_until_idle();
        bed.advance(waited);
        bed.publish("unsafe", signed_at_start("unsafe"));
        bed.run_until_idle();
        assert_eq!(bed.verdicts(), [("unsafe", vec!["failed"])]);
        assert_eq!(bed.finish_attempts(Outcome::Served), ["unsafe"]);
        assert_eq!(bed.verdicts(), [("unsafe", vec!["failed", "served"])]);
    }
}

/// Whether a front end has reported that the commit of an answer is unconfirmed.
fn reported_unconfirmed_answer(bed: &TestBed) -> bool {
    let mut notices = bed.front_ends[0].notices.iter();
    notices.any(|notice| matches!(notice, Notice::AnswerUnconfirmed(_)))
}

/// The connection is cut before the commit of an answer is sent, or before its confirmation arrives: the client gets one
/// answer either way, and the engine is told only of the commit that may have taken effect.
#[test]
fn answer_is_given_once_whether_its_commit_took_effect_or_not() {
    for is_committed in [false, true] {
        let mut bed = TestBed::new(1, 10, Qos::Channel);
        bed.publish("unsafe", class("unsafe"));
        bed.run_until_idle();
        if is_committed {
            let now = bed.now;
            bed.front_ends[0].finish_attempts(now, Outcome::Served);
            bed.step_front_end(0);
        }
        bed.cut_connection(0);
        bed.finish_attempts(Outcome::Served);
        bed.advance(300 * MS);
        assert_eq!(bed.verdicts(), [("unsafe", vec!["served"])]);
        assert_eq!(reported_unconfirmed_answer(&bed), is_committed);
        assert_eq!(bed.broker.depth("calls"), Some((0, 0)));
    }
}
