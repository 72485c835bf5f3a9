//! Consumers and their engines against the broker stand-in's core, without sockets: every byte and every loss of one is
//! in the test's hand.

mod bed;

use std::collections::BTreeMap;

use pipithub_amqp::{FieldTable, Method};
use pipithub_consumer::{Notice, Phase, Qos};
use pipithub_engine::policy::Outcome;
use pipithub_engine::{Input, Output};
use proptest::prelude::*;

use crate::bed::{Bed, MS, WALL, end, s};

#[test]
fn a_call_from_queue_to_worker_and_back() {
    let mut bed = Bed::new(1, 10, Qos::Channel);
    bed.publish("a", Bed::class("unsafe"));
    bed.settle();
    assert_eq!(bed.serve(Outcome::Served), ["a"]);
    assert_eq!(bed.verdicts(), [("a", vec!["served"])]);
    assert_eq!(bed.broker.depth("calls"), Some((0, 0)));
    assert_eq!(
        (
            bed.fronts[0].engine.pending_requests(),
            bed.fronts[0].consumer.in_flight()
        ),
        (0, 0)
    );
}

/// Delivered again after a step back, a message would look younger than the time for which workers drop its repeats.
#[test]
fn a_step_back_makes_no_message_that_comes_again_younger() {
    let mut bed = Bed::new(1, 10, Qos::Channel);
    bed.publish("k", |p| {
        Bed::class("keyed")(p);
        p.headers = p
            .headers
            .take()
            .map(|h| h.with("pipithub-sent-ms", WALL as i64));
    });
    bed.settle();
    bed.wall_step_ms = -3_600_000;
    bed.cut(0);
    bed.pass(3_000 * MS);
    let ages: Vec<_> = bed.fronts[0]
        .notices
        .iter()
        .filter_map(|notice| match notice {
            Notice::Trigger(trigger) => Some((trigger.redelivered, trigger.call.age)),
            _ => None,
        })
        .collect();
    let [(false, Some(first)), (true, Some(again))] = ages[..] else {
        panic!("delivered twice: {ages:?}")
    };
    assert!(
        first < MS && (10 * MS..=3_000 * MS).contains(&again),
        "{first} {again}"
    );
}

/// Killed in the middle of a call: an unsafe one may have run and is failed, a safe one is served.
#[test]
fn a_front_end_that_dies_leaves_its_calls_to_another() {
    let mut bed = Bed::new(2, 10, Qos::Channel);
    for (id, class) in [("s", "safe"), ("u", "unsafe"), ("k", "keyed")] {
        bed.publish(id, |p| {
            Bed::class(class)(p);
            p.headers = p
                .headers
                .take()
                .map(|h| h.with("pipithub-sent-ms", WALL as i64));
        });
    }
    bed.settle();
    let all: usize = bed.fronts.iter().map(|f| f.attempts.len()).sum();
    assert_eq!(all, 3);
    bed.kill(0);
    bed.kill(1);
    bed.settle();
    assert_eq!(bed.verdicts(), [("u", vec!["failed"])]);
    assert_eq!(bed.serve(Outcome::Served), ["k", "s"]);
    assert_eq!(
        bed.verdicts(),
        [
            ("k", vec!["served"]),
            ("s", vec!["served"]),
            ("u", vec!["failed"])
        ]
    );
}

/// Killed after the answer was published and before the commit reached the broker, or after: one answer either way.
#[test]
fn killed_between_answer_and_ack() {
    for reaches in [false, true] {
        let mut bed = Bed::new(1, 10, Qos::Channel);
        bed.publish("a", |_| {});
        bed.settle();
        let (id, _) = bed.fronts[0].attempts.remove(0);
        let mut out = Vec::new();
        bed.fronts[0].engine.handle(
            bed.now,
            Input::AttemptFinished(end(id, Outcome::Served)),
            &mut out,
        );
        let Some(Output::Answer { ticket, reply }) =
            out.into_iter().find(|o| matches!(o, Output::Answer { .. }))
        else {
            panic!("an answer")
        };
        let now = bed.now;
        bed.fronts[0].consumer.answer(now, ticket, reply);
        let bytes = bed.fronts[0].consumer.take_output(now);
        let (broker, line) = (
            &mut bed.broker,
            bed.fronts[0].line.as_mut().expect("a line"),
        );
        // Cut just before the commit's last byte, or right after it.
        let whole = if reaches {
            bytes.len()
        } else {
            bytes.len() - 1
        };
        line.receive(now, broker, &bytes[..whole]);
        bed.kill(0);
        bed.settle();
        let again = bed.serve(Outcome::Served);
        assert_eq!(again.len(), usize::from(!reaches));
        assert_eq!(
            bed.verdicts(),
            [("a", vec!["served"])],
            "reaches: {reaches}"
        );
        assert_eq!(bed.broker.depth("calls"), Some((0, 0)));
    }
}

#[test]
fn a_lost_connection_keeps_what_runs_and_answers_once() {
    let mut bed = Bed::new(1, 10, Qos::Channel);
    bed.publish("u", Bed::class("unsafe"));
    bed.settle();
    bed.cut(0);
    bed.pass(300 * MS);
    assert_eq!(
        bed.fronts[0].engine.stats().joined,
        1,
        "it came back to where it runs"
    );
    assert_eq!(bed.serve(Outcome::Served), ["u"]);
    assert_eq!(bed.verdicts(), [("u", vec!["served"])]);
}

#[test]
fn what_cannot_be_read_is_refused_and_kept_with_its_reason() {
    let mut bed = Bed::new(1, 10, Qos::Channel);
    bed.publish("bad", Bed::class("unheard-of"));
    bed.settle();
    assert_eq!(bed.verdicts(), [("bad", vec!["refused"])]);
    assert_eq!(
        (bed.broker.depth("calls"), bed.broker.depth("dead")),
        (Some((0, 0)), Some((1, 0)))
    );
}

#[test]
fn an_answer_without_its_queue_is_told_and_its_call_is_settled() {
    let mut bed = Bed::new(1, 10, Qos::Channel);
    bed.publish("a", |p| p.reply_to = Some(s("gone")));
    bed.publish("b", |p| p.reply_to = None);
    bed.settle();
    bed.serve(Outcome::Served);
    assert_eq!((bed.returned, bed.broker.depth("calls")), (1, Some((0, 0))));
}

#[test]
fn deliveries_follow_the_room_there_is() {
    for qos in [Qos::Channel, Qos::Consumer] {
        let mut bed = Bed::new(1, 8, qos);
        for n in 0..50 {
            bed.publish(&format!("{n}"), |_| {});
        }
        bed.settle();
        for _ in 0..50 {
            let held = bed.fronts[0].consumer.in_flight();
            assert!(held <= 8, "{held} held");
            bed.serve(Outcome::Served);
            bed.pass(60 * MS);
        }
        assert_eq!(bed.answers.len(), 50);
        assert!(bed.answers.values().all(|v| v.len() == 1), "{qos:?}");
    }
}

#[test]
fn a_blocked_broker_gets_no_publishes_until_it_takes_them() {
    let mut bed = Bed::new(1, 10, Qos::Channel);
    bed.publish("a", |_| {});
    bed.settle();
    bed.broker.set_blocked(Some("memory"));
    bed.settle();
    bed.serve(Outcome::Served);
    assert_eq!(bed.verdicts(), []);
    bed.broker.set_blocked(None);
    bed.settle();
    assert_eq!(bed.verdicts(), [("a", vec!["served"])]);
}

#[test]
fn a_deleted_queue_is_consumed_again_when_it_is_back() {
    let mut bed = Bed::new(1, 10, Qos::Channel);
    let delete = Method::QueueDelete {
        queue: s("calls"),
        if_unused: false,
        if_empty: false,
        no_wait: false,
    };
    bed.client.send(1, delete).expect("open");
    bed.settle();
    assert!(bed.fronts[0].notices.contains(&Notice::Cancelled));
    bed.pass(1_000 * MS);
    bed.broker.declare("calls", &FieldTable::new());
    bed.pass(1_000 * MS);
    bed.publish("a", |_| {});
    bed.settle();
    assert_eq!(bed.serve(Outcome::Served), ["a"]);
}

/// Its operators gave the queue a time to live and dead letters: declared plainly it would be refused for ever.
#[test]
fn a_queue_with_properties_of_its_own_is_taken_as_it_is() {
    let mut bed = Bed::new(1, 10, Qos::Channel);
    let delete = Method::QueueDelete {
        queue: s("calls"),
        if_unused: false,
        if_empty: false,
        no_wait: false,
    };
    bed.client.send(1, delete).expect("open");
    bed.settle();
    bed.broker
        .declare("calls", &FieldTable::new().with("x-message-ttl", 60_000i64));
    bed.cut(0);
    bed.pass(1_000 * MS);
    bed.publish("a", |_| {});
    bed.settle();
    assert_eq!(bed.serve(Outcome::Served), ["a"]);
}

#[test]
fn a_stopped_front_end_finishes_what_it_has() {
    let mut bed = Bed::new(2, 10, Qos::Channel);
    (0..8).for_each(|n| bed.publish(&format!("{n}"), |_| {}));
    bed.settle();
    let now = bed.now;
    bed.fronts[0].consumer.shutdown(now);
    bed.settle();
    let mine = bed.fronts[0].consumer.in_flight();
    assert!(mine > 0);
    bed.publish("late", |_| {});
    bed.settle();
    assert_eq!(bed.fronts[0].consumer.in_flight(), mine, "nothing new");
    bed.serve(Outcome::Served);
    assert_eq!(bed.fronts[0].consumer.phase(), Phase::Stopped);
    assert_eq!(bed.answers.len(), 9);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Kills, cuts and outcomes in any order: one answer each, and unsafe calls reach a worker once.
    #[test]
    fn any_order_of_troubles(steps in prop::collection::vec((0..8u8, 0..2usize), 1..40)) {
        let mut bed = Bed::new(2, 6, Qos::Channel);
        let mut sent: BTreeMap<String, usize> = BTreeMap::new();
        let mut count = 0;
        for (step, which) in steps {
            match step {
                0..=2 => {
                    count += 1;
                    let class = ["safe", "unsafe"][which];
                    bed.publish(&format!("{class}-{count}"), Bed::class(class));
                    bed.settle();
                }
                3 => bed.kill(which),
                4 => bed.cut(which),
                5 => bed.pass(20 * MS),
                6 => {
                    // What is out at a front end that dies right after has run all the same.
                    let names = bed.serve(Outcome::Served);
                    names.into_iter().for_each(|n| *sent.entry(n).or_default() += 1);
                }
                _ => {
                    let names = bed.serve(Outcome::ConnectionLost);
                    names.into_iter().for_each(|n| *sent.entry(n).or_default() += 1);
                }
            }
            bed.settle();
        }
        for _ in 0..20 {
            bed.pass(250 * MS);
            let names = bed.serve(Outcome::Served);
            names.into_iter().for_each(|n| *sent.entry(n).or_default() += 1);
        }
        prop_assert_eq!(bed.answers.len(), count);
        for (id, verdicts) in &bed.answers {
            prop_assert_eq!(verdicts.len(), 1, "{}: {:?}", id, verdicts);
        }
        for (name, runs) in sent {
            prop_assert!(runs <= 1 || !name.starts_with("unsafe"), "{} ran {} times", name, runs);
        }
        prop_assert_eq!(bed.broker.depth("calls"), Some((0, 0)));
    }
}
