//! Consumers and their engines against the broker stand-in's core, without sockets: every byte and every loss of one is
//! in the test's hand.

use std::collections::BTreeMap;

use bytes::Bytes;
use pipithub_amqp::{
    Endpoint, Event, FieldTable, FieldValue, Login, Method, Properties, ShortStr, Tuning,
};
use pipithub_consumer::backoff::BackoffRange;
use pipithub_consumer::message::{ClassName, Route};
use pipithub_consumer::{Consumer, ConsumerSettings, DeadLetterTarget, Notice, Phase, Qos};
use pipithub_engine::policy::{
    Class, Endpoint as WorkerEndpoint, EndpointUpdate, Idempotency, Limits, LoadReport, Outcome,
    Settings, WorkerId,
};
use pipithub_engine::{
    AttemptId, AttemptResult, Engine, EngineSettings, Input, Output, Served, SourceId, Time,
};
use pipithub_standin::broker::{Broker, ConnId, Out};
use proptest::prelude::*;

const MS: Time = 1_000_000;
const WALL: u64 = 1_800_000_000_000;

fn s(text: &str) -> ShortStr {
    ShortStr::truncated(text)
}

/// The server's end of a connection.
struct Line {
    id: ConnId,
    endpoint: Endpoint,
}

impl Line {
    /// Takes the client's bytes, lets the broker act.
    fn receive(&mut self, now: Time, broker: &mut Broker, bytes: &[u8]) {
        self.endpoint.receive(now, bytes);
        while let Some(event) = self.endpoint.poll_event() {
            match event {
                Event::Login { .. } => self.endpoint.accept_login(),
                Event::OpenRequested { .. } => self.endpoint.accept_open(),
                Event::Connected => broker.connect(self.id, "test", "guest"),
                event => broker.handle(now, self.id, event),
            }
        }
    }

    fn out(&mut self, out: Out) {
        let _ = match out {
            Out::Method(channel, m, Some(c)) => {
                self.endpoint
                    .send_content(channel, m, c.properties, &c.body)
            }
            Out::Method(channel, m, None) => self.endpoint.send(channel, m),
            Out::CloseChannel(channel, fault) => {
                self.endpoint.close_channel(channel, fault);
                Ok(())
            }
            Out::Close(fault) => {
                self.endpoint.close(fault);
                Ok(())
            }
        };
    }
}

struct Front {
    consumer: Consumer,
    engine: Engine,
    line: Option<Line>,
    attempts: Vec<(AttemptId, String)>,
    notices: Vec<Notice>,
    life: u64,
}

struct Bed {
    now: Time,
    /// By how much the fronts' wall clock was stepped.
    wall_step_ms: i64,
    broker: Broker,
    next: ConnId,
    fronts: Vec<Front>,
    client: Endpoint,
    client_line: Line,
    /// Verdicts by correlation id.
    answers: BTreeMap<String, Vec<String>>,
    returned: usize,
    prefetch: u16,
    qos: Qos,
}

impl Bed {
    fn new(fronts: usize, prefetch: u16, qos: Qos) -> Self {
        let mut broker = Broker::default();
        broker.declare("calls", &FieldTable::new());
        broker.declare("answers", &FieldTable::new());
        broker.declare("dead", &FieldTable::new());
        let client = Endpoint::client(Login::default(), Tuning::default(), 0);
        let client_line = Line {
            id: 1,
            endpoint: Endpoint::server(Tuning::default(), 0),
        };
        let mut bed = Bed {
            now: 1,
            wall_step_ms: 0,
            broker,
            next: 2,
            fronts: Vec::new(),
            client,
            client_line,
            answers: BTreeMap::new(),
            returned: 0,
            prefetch,
            qos,
        };
        for which in 0..fronts {
            let front = bed.front(which, 0);
            bed.fronts.push(front);
        }
        bed.settle();
        bed.client.open_channel().expect("open");
        bed.settle();
        let consume = Method::BasicConsume {
            queue: s("answers"),
            consumer_tag: s("me"),
            no_local: false,
            no_ack: true,
            exclusive: false,
            no_wait: false,
            arguments: FieldTable::new(),
        };
        bed.client.send(1, consume).expect("open");
        bed.settle();
        bed
    }

    fn front(&self, which: usize, life: u64) -> Front {
        let class = |effect| Class {
            idempotency: effect,
            client_timeout: 4_000 * MS,
            deduplication_window: 10_000 * MS,
            ..Class::default()
        };
        let policy = Settings {
            tick: MS,
            classes: vec![
                class(Idempotency::Idempotent),
                class(Idempotency::WithKey),
                class(Idempotency::NonIdempotent),
            ],
            limits: Limits {
                cancel: true,
                ..Limits::default()
            },
            ..Settings::default()
        };
        let max_open = usize::from(self.prefetch);
        let settings = EngineSettings {
            policy,
            max_open,
            ..EngineSettings::default()
        };
        let mut engine = Engine::new(settings, which as u64);
        let entry = |n: u32| WorkerEndpoint {
            worker: WorkerId::new(&format!("w{n}")),
            ..WorkerEndpoint::default()
        };
        let workers = Input::Endpoints {
            update: EndpointUpdate::Cached,
            endpoints: (0..3).map(entry).collect(),
        };
        engine.handle(self.now, workers, &mut Vec::new());
        let consumer = ConsumerSettings {
            source: SourceId(0),
            front_end: format!("fe{which}"),
            login: Login::default(),
            tuning: Tuning::default(),
            queue: "calls".into(),
            declare: true,
            route: Route {
                function: Some("f".into()),
                lanes: 4,
                ..Route::default()
            },
            classes: vec![
                class_name("safe", false),
                class_name("keyed", true),
                class_name("unsafe", false),
            ],
            prefetch: self.prefetch,
            qos: self.qos,
            dead_letter: Some(DeadLetterTarget {
                exchange: String::new(),
                routing_key: "dead".into(),
            }),
            reconnect_backoff: BackoffRange {
                initial: 10 * MS,
                max: 100 * MS,
            },
            identity: Default::default(),
        };
        Front {
            consumer: Consumer::new(consumer, self.now, which as u64 * 100 + life),
            engine,
            line: None,
            attempts: Vec::new(),
            notices: Vec::new(),
            life,
        }
    }

    /// Lets everything happen that needs no time.
    fn settle(&mut self) {
        loop {
            let mut moved = false;
            let up = self.client.take_output(self.now);
            if !up.is_empty() {
                moved = true;
                self.client_line.receive(self.now, &mut self.broker, &up);
            }
            let down = self.client_line.endpoint.take_output(self.now);
            if !down.is_empty() {
                moved = true;
                self.client.receive(self.now, &down);
            }
            while let Some(event) = self.client.poll_event() {
                match event {
                    Event::Method {
                        method: Method::BasicDeliver { .. },
                        content: Some(content),
                        ..
                    } => {
                        let id = content
                            .properties
                            .correlation_id
                            .as_deref()
                            .unwrap_or("none")
                            .to_string();
                        let headers = content.properties.headers.expect("an answer has headers");
                        let verdict = headers.get("pipithub-verdict").and_then(FieldValue::as_str);
                        self.answers
                            .entry(id)
                            .or_default()
                            .push(verdict.expect("a verdict").to_string());
                    }
                    Event::Closed { fault, .. } => panic!("the client's connection: {fault}"),
                    _ => {}
                }
            }
            for which in 0..self.fronts.len() {
                moved |= self.move_front(which);
            }
            for (id, out) in self.broker.take_out() {
                moved = true;
                if id == 1 {
                    self.client_line.out(out);
                } else if let Some(line) = self
                    .fronts
                    .iter_mut()
                    .filter_map(|f| f.line.as_mut())
                    .find(|l| l.id == id)
                {
                    line.out(out);
                }
            }
            if !moved {
                return;
            }
        }
    }

    fn move_front(&mut self, which: usize) -> bool {
        let (now, broker, front) = (self.now, &mut self.broker, &mut self.fronts[which]);
        let wall_ms = (WALL + now / MS).saturating_add_signed(self.wall_step_ms);
        let mut moved = false;
        if let Phase::Idle(at) = front.consumer.phase() {
            if let Some(line) = front.line.take() {
                broker.disconnect(now, line.id);
            }
            if now < at {
                return moved;
            }
            front.consumer.connected(now);
            front.line = Some(Line {
                id: self.next,
                endpoint: Endpoint::server(Tuning::default(), now),
            });
            self.next += 1;
        }
        let up = front.consumer.take_output(now);
        if let Some(line) = &mut front.line {
            if !up.is_empty() {
                moved = true;
                line.receive(now, broker, &up);
            }
            let down = line.endpoint.take_output(now);
            if !down.is_empty() {
                moved = true;
                front.consumer.receive(now, wall_ms, &down);
            }
        }
        let mut out = Vec::new();
        while let Some(notice) = front.consumer.poll() {
            moved = true;
            match &notice {
                Notice::Trigger(trigger) => {
                    front
                        .engine
                        .handle(now, Input::Trigger((**trigger).clone()), &mut out);
                }
                Notice::Settled(ticket) => {
                    front.engine.handle(now, Input::Settled(*ticket), &mut out);
                }
                Notice::Lost(_) => {
                    front
                        .engine
                        .handle(now, Input::SourceLost(SourceId(0)), &mut out);
                }
                Notice::Returned { .. } => self.returned += 1,
                _ => {}
            }
            front.notices.push(notice);
        }
        front.engine.handle(now, Input::Tick, &mut out);
        for output in out {
            moved = true;
            match output {
                Output::Forward { id, call, .. } => {
                    let label = call.label.as_deref().unwrap_or("?").to_string();
                    front.attempts.push((id, label));
                }
                Output::Answer { ticket, reply } => front.consumer.answer(now, ticket, reply),
                Output::Forget(ticket) => front.consumer.acknowledge(now, ticket),
                Output::Cancel(id) => {
                    front.attempts.retain(|(a, _)| *a != id);
                    let end = end(id, Outcome::Cancelled);
                    front
                        .engine
                        .handle(now, Input::AttemptFinished(end), &mut Vec::new());
                }
                _ => {}
            }
        }
        front.consumer.set_capacity(now, front.engine.room());
        moved
    }

    fn pass(&mut self, length: Time) {
        let until = self.now + length;
        while self.now < until {
            self.now = (self.now + 5 * MS).min(until);
            for front in &mut self.fronts {
                front.consumer.on_time(self.now);
            }
            self.broker.on_time(self.now);
            self.settle();
        }
    }

    fn publish(&mut self, id: &str, change: impl FnOnce(&mut Properties)) {
        let headers = FieldTable::new().with("pipithub-class", "safe");
        let mut properties = Properties {
            message_id: Some(s(id)),
            correlation_id: Some(s(id)),
            reply_to: Some(s("answers")),
            headers: Some(headers),
            ..Properties::default()
        };
        change(&mut properties);
        let publish = Method::BasicPublish {
            exchange: s(""),
            routing_key: s("calls"),
            mandatory: true,
            immediate: false,
        };
        self.client
            .send_content(1, publish, properties, b"body")
            .expect("open");
    }

    fn class(class: &'static str) -> impl FnOnce(&mut Properties) {
        move |p| p.headers = Some(FieldTable::new().with("pipithub-class", class))
    }

    /// Ends all attempts that are out; their calls' names.
    fn serve(&mut self, outcome: Outcome) -> Vec<String> {
        let mut names = Vec::new();
        for front in &mut self.fronts {
            for (id, name) in std::mem::take(&mut front.attempts) {
                names.push(name);
                let mut out = Vec::new();
                front
                    .engine
                    .handle(self.now, Input::AttemptFinished(end(id, outcome)), &mut out);
                for output in out {
                    match output {
                        Output::Answer { ticket, reply } => {
                            front.consumer.answer(self.now, ticket, reply);
                        }
                        Output::Forward { id, call, .. } => {
                            front
                                .attempts
                                .push((id, call.label.as_deref().unwrap_or("?").to_string()));
                        }
                        _ => {}
                    }
                }
            }
        }
        self.settle();
        names.sort();
        names
    }

    fn cut(&mut self, which: usize) {
        if let Some(line) = self.fronts[which].line.take() {
            self.broker.disconnect(self.now, line.id);
        }
        self.fronts[which].consumer.transport_lost(self.now, "cut");
    }

    fn kill(&mut self, which: usize) {
        if let Some(line) = self.fronts[which].line.take() {
            self.broker.disconnect(self.now, line.id);
        }
        let life = self.fronts[which].life + 1;
        self.fronts[which] = self.front(which, life);
    }

    fn verdicts(&self) -> Vec<(&str, Vec<&str>)> {
        self.answers
            .iter()
            .map(|(k, v)| (k.as_str(), v.iter().map(String::as_str).collect()))
            .collect()
    }
}

fn class_name(name: &str, needs_key: bool) -> ClassName {
    ClassName {
        name: name.into(),
        needs_key,
    }
}

fn end(id: AttemptId, outcome: Outcome) -> AttemptResult {
    let served = (outcome == Outcome::Served).then(|| Served {
        status: 200,
        content_type: None,
        body: Bytes::from_static(b"done"),
    });
    AttemptResult {
        id,
        outcome,
        elapsed: 20 * MS,
        replica_status: None,
        function_concurrency: None,
        load_report: LoadReport::default(),
        served,
    }
}

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
            bed.fronts[0].engine.open(),
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
