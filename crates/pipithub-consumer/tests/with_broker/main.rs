//! Consumers and their engines against the core of the emulated broker, without sockets: the test controls every byte
//! and the loss of each connection.

mod answers;
mod client;
mod connection;
mod dead_letters;
mod equal_ids;
mod front_end;
mod redelivery;
mod test_bed;

use std::collections::BTreeMap;

use pipithub_amqp::FieldTable;
use pipithub_consumer::{Notice, Phase, Qos};
use pipithub_engine::policy::Outcome;
use pipithub_engine::{Input, Output};
use proptest::prelude::*;

use crate::front_end::attempt_result;
use crate::test_bed::{MS, TestBed, class, class_sent_at_start, short};

#[test]
fn call_is_forwarded_and_its_answer_published() {
    let mut bed = TestBed::new(1, 10, Qos::Channel);
    bed.publish("a", class("unsafe"));
    bed.run_until_idle();
    assert_eq!(bed.finish_attempts(Outcome::Served), ["a"]);
    assert_eq!(bed.verdicts(), [("a", vec!["served"])]);
    assert_eq!(bed.broker.depth("calls"), Some((0, 0)));
    assert_eq!(
        (
            bed.front_ends[0].engine.pending_requests(),
            bed.front_ends[0].consumer.in_flight()
        ),
        (0, 0)
    );
}

/// If a redelivered message looked younger after a step back, its call could run again after workers forgot its key.
#[test]
fn redelivered_message_looks_no_younger_after_the_wall_clock_steps_back() {
    let mut bed = TestBed::new(1, 10, Qos::Channel);
    bed.publish("k", class_sent_at_start("keyed"));
    bed.run_until_idle();
    bed.wall_step_ms = -3_600_000;
    bed.cut_connection(0);
    bed.advance(3_000 * MS);
    let ages: Vec<_> = bed.front_ends[0]
        .notices
        .iter()
        .filter_map(|notice| match notice {
            Notice::Trigger(trigger) => Some((trigger.redelivered, trigger.call.age)),
            _ => None,
        })
        .collect();
    let [(false, Some(first)), (true, Some(again))] = ages[..] else {
        panic!("not one delivery and one redelivery: {ages:?}")
    };
    assert!(
        first < MS && (10 * MS..=3_000 * MS).contains(&again),
        "{first} {again}"
    );
}

/// A non-idempotent call may have run when its front end was killed, and fails. The others run again.
#[test]
fn calls_of_killed_front_ends_are_served_again_or_fail_by_their_class() {
    let mut bed = TestBed::new(2, 10, Qos::Channel);
    for (id, class) in [("s", "safe"), ("u", "unsafe"), ("k", "keyed")] {
        bed.publish(id, class_sent_at_start(class));
    }
    bed.run_until_idle();
    let running: usize = bed
        .front_ends
        .iter()
        .map(|front_end| front_end.attempts.len())
        .sum();
    assert_eq!(running, 3);
    bed.kill(0);
    bed.kill(1);
    bed.run_until_idle();
    assert_eq!(bed.verdicts(), [("u", vec!["failed"])]);
    assert_eq!(bed.finish_attempts(Outcome::Served), ["k", "s"]);
    assert_eq!(
        bed.verdicts(),
        [
            ("k", vec!["served"]),
            ("s", vec!["served"]),
            ("u", vec!["failed"])
        ]
    );
}

/// The front end is killed after it sent the answer, before or after the commit reached the broker.
#[test]
fn front_end_killed_while_committing_an_answer_leaves_one_answer() {
    for commit_arrives in [false, true] {
        let mut bed = TestBed::new(1, 10, Qos::Channel);
        bed.publish("a", |_| {});
        bed.run_until_idle();
        let id = bed.front_ends[0].attempts.remove(0).id;
        let mut out = Vec::new();
        bed.front_ends[0].engine.handle(
            bed.now,
            Input::AttemptFinished(attempt_result(id, Outcome::Served)),
            &mut out,
        );
        let Some(Output::Answer { ticket, reply }) =
            out.into_iter().find(|o| matches!(o, Output::Answer { .. }))
        else {
            panic!("the engine gave no answer")
        };
        let now = bed.now;
        bed.front_ends[0].consumer.answer(now, ticket, reply);
        let bytes = bed.front_ends[0].consumer.take_output(now);
        // The connection is cut before the last byte of the commit, or after it.
        let arrived = if commit_arrives {
            bytes.len()
        } else {
            bytes.len() - 1
        };
        let connection = bed.front_ends[0].connection.as_mut();
        let connection = connection.expect("a connection");
        connection.receive(now, &mut bed.broker, &bytes[..arrived]);
        bed.kill(0);
        bed.run_until_idle();
        let again = bed.finish_attempts(Outcome::Served);
        assert_eq!(again.len(), usize::from(!commit_arrives));
        assert_eq!(
            bed.verdicts(),
            [("a", vec!["served"])],
            "commit arrives: {commit_arrives}"
        );
        assert_eq!(bed.broker.depth("calls"), Some((0, 0)));
    }
}

#[test]
fn call_that_runs_while_its_connection_is_lost_is_joined_and_answered_once() {
    let mut bed = TestBed::new(1, 10, Qos::Channel);
    bed.publish("u", class("unsafe"));
    bed.run_until_idle();
    bed.cut_connection(0);
    bed.advance(300 * MS);
    assert_eq!(
        bed.front_ends[0].engine.stats().joined,
        1,
        "its redelivery joined it"
    );
    assert_eq!(bed.finish_attempts(Outcome::Served), ["u"]);
    assert_eq!(bed.verdicts(), [("u", vec!["served"])]);
}

#[test]
fn call_whose_answer_has_no_queue_is_settled_and_the_return_reported() {
    let mut bed = TestBed::new(1, 10, Qos::Channel);
    bed.publish("a", |p| p.reply_to = Some(short("missing")));
    bed.publish("b", |p| p.reply_to = None);
    bed.run_until_idle();
    bed.finish_attempts(Outcome::Served);
    assert_eq!(
        (bed.returned_answers(), bed.broker.depth("calls")),
        (1, Some((0, 0)))
    );
}

#[test]
fn deliveries_in_flight_stay_within_the_prefetch_count() {
    for qos in [Qos::Channel, Qos::Consumer] {
        let mut bed = TestBed::new(1, 8, qos);
        for n in 0..50 {
            bed.publish(&format!("{n}"), |_| {});
        }
        bed.run_until_idle();
        for _ in 0..50 {
            let in_flight = bed.front_ends[0].consumer.in_flight();
            assert!(in_flight <= 8, "{in_flight} in flight");
            bed.finish_attempts(Outcome::Served);
            bed.advance(60 * MS);
        }
        assert_eq!(bed.answers().len(), 50);
        assert!(bed.answers().values().all(|v| v.len() == 1), "{qos:?}");
    }
}

#[test]
fn answers_wait_while_the_broker_blocks_publishing() {
    let mut bed = TestBed::new(1, 10, Qos::Channel);
    bed.publish("a", |_| {});
    bed.run_until_idle();
    bed.broker.set_blocked(Some("memory"));
    bed.run_until_idle();
    bed.finish_attempts(Outcome::Served);
    assert_eq!(bed.verdicts(), []);
    bed.broker.set_blocked(None);
    bed.run_until_idle();
    assert_eq!(bed.verdicts(), [("a", vec!["served"])]);
}

#[test]
fn deleted_queue_is_consumed_again_once_it_is_declared() {
    let mut bed = TestBed::new(1, 10, Qos::Channel);
    bed.delete_calls_queue();
    assert!(bed.front_ends[0].notices.contains(&Notice::Cancelled));
    bed.advance(1_000 * MS);
    bed.broker.declare("calls", &FieldTable::new());
    bed.advance(1_000 * MS);
    bed.publish("a", |_| {});
    bed.run_until_idle();
    assert_eq!(bed.finish_attempts(Outcome::Served), ["a"]);
}

/// Guards against calls that ran and are never answered because the front end, while they run, consumes the deleted queue again
/// and so loses the channel of their deliveries.
#[test]
fn calls_that_run_while_their_queue_is_deleted_are_answered() {
    let mut bed = TestBed::without_declaration(2);
    for number in 0..6 {
        bed.publish(&format!("{number}"), class("unsafe"));
    }
    bed.run_until_idle();
    bed.delete_calls_queue();
    bed.advance(1_000 * MS);
    assert_eq!(bed.finish_attempts(Outcome::Served).len(), 6);
    assert_eq!(bed.answers().len(), 6);
    assert!(bed.answers().values().all(|v| *v == ["served"]));
    bed.broker.declare("calls", &FieldTable::new());
    bed.advance(1_000 * MS);
    bed.publish("after", |_| {});
    bed.run_until_idle();
    assert_eq!(bed.finish_attempts(Outcome::Served), ["after"]);
}

/// A queue that was declared again is consumed beside the calls that still run.
#[test]
fn queue_that_is_declared_again_is_consumed_while_calls_of_the_deleted_one_run() {
    let mut bed = TestBed::new(1, 10, Qos::Channel);
    bed.publish("before", class("unsafe"));
    bed.run_until_idle();
    bed.delete_calls_queue();
    bed.advance(1_000 * MS);
    bed.publish("after", |_| {});
    bed.run_until_idle();
    assert_eq!(bed.finish_attempts(Outcome::Served), ["after", "before"]);
    assert_eq!(bed.answers().len(), 2);
    assert_eq!(bed.lost_connections(), 0);
}

/// The broker rejects the declaration of a queue that exists with other arguments, such as a time to live.
#[test]
fn queue_with_other_arguments_than_declared_is_consumed_as_it_is() {
    let mut bed = TestBed::new(1, 10, Qos::Channel);
    bed.delete_calls_queue();
    bed.broker
        .declare("calls", &FieldTable::new().with("x-message-ttl", 60_000i64));
    bed.cut_connection(0);
    bed.advance(1_000 * MS);
    bed.publish("a", |_| {});
    bed.run_until_idle();
    assert_eq!(bed.finish_attempts(Outcome::Served), ["a"]);
}

#[test]
fn front_end_that_shuts_down_answers_its_calls_and_takes_no_more() {
    let mut bed = TestBed::new(2, 10, Qos::Channel);
    (0..8).for_each(|n| bed.publish(&format!("{n}"), |_| {}));
    bed.run_until_idle();
    let now = bed.now;
    bed.front_ends[0].consumer.shutdown(now);
    bed.run_until_idle();
    let in_flight = bed.front_ends[0].consumer.in_flight();
    assert!(in_flight > 0);
    bed.publish("late", |_| {});
    bed.run_until_idle();
    assert_eq!(
        bed.front_ends[0].consumer.in_flight(),
        in_flight,
        "nothing new"
    );
    bed.finish_attempts(Outcome::Served);
    assert_eq!(bed.front_ends[0].consumer.phase(), Phase::Stopped);
    assert_eq!(bed.answers().len(), 9);
}

/// Counts the attempts that ended, by call. A worker has run their calls, whatever happened to the front end.
fn count_runs(runs: &mut BTreeMap<String, usize>, finished: Vec<String>) {
    for id in finished {
        *runs.entry(id).or_default() += 1;
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// A non-idempotent call reaches a worker at most once, and is not rejected after it has, whichever front end reads its
    /// class.
    #[test]
    fn under_faults_in_any_order_each_call_gets_one_answer(steps in prop::collection::vec((0..10u8, 0..2usize), 1..40)) {
        let mut bed = TestBed::during_change_of_settings(6);
        let mut runs: BTreeMap<String, usize> = BTreeMap::new();
        let mut published = 0;
        for (step, number) in steps {
            let finished = match step {
                0..=2 => {
                    published += 1;
                    let name = ["safe", "unsafe"][number];
                    bed.publish(&format!("{name}-{published}"), class(name));
                    Vec::new()
                }
                3 => {
                    bed.kill(number);
                    Vec::new()
                }
                4 => {
                    bed.cut_connection(number);
                    Vec::new()
                }
                5 => {
                    bed.advance(20 * MS);
                    Vec::new()
                }
                6 => bed.finish_attempts(Outcome::Served),
                7 => {
                    published += 1;
                    bed.publish(&format!("bad-{published}"), class("unheard-of"));
                    Vec::new()
                }
                8 => {
                    published += 1;
                    bed.publish(&format!("visit-{published}"), class("visit"));
                    Vec::new()
                }
                _ => bed.finish_attempts(Outcome::ConnectionLost),
            };
            count_runs(&mut runs, finished);
            bed.run_until_idle();
        }
        for _ in 0..20 {
            bed.advance(250 * MS);
            count_runs(&mut runs, bed.finish_attempts(Outcome::Served));
        }
        prop_assert_eq!(bed.answers().len(), published);
        for (id, verdicts) in bed.answers() {
            prop_assert_eq!(verdicts.len(), 1, "{}: {:?}", id, verdicts);
        }
        for (id, runs) in runs {
            let is_idempotent = id.starts_with("safe");
            prop_assert!(runs <= 1 || is_idempotent, "{} ran {} times", id, runs);
        }
        prop_assert_eq!(bed.rejected_after_arrival(), Vec::<&str>::new());
        prop_assert_eq!(bed.broker.depth("calls"), Some((0, 0)));
    }
}
