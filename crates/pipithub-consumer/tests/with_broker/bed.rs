//! The test bed: front ends with their consumers, a client and the broker's core, in simulated time.

use std::collections::BTreeMap;

use bytes::Bytes;
use pipithub_amqp::{
    Endpoint, Event, FieldTable, FieldValue, Login, Method, Properties, ShortStr, Tuning,
};
use pipithub_consumer::backoff::BackoffRange;
use pipithub_consumer::message::{ClassName, Route};
use pipithub_consumer::{Consumer, ConsumerSettings, DeadLetterTarget, Notice, Phase, Qos};
use pipithub_emulator::broker::{Broker, BrokerOutput, ConnectionId};
use pipithub_engine::policy::{
    Class, Endpoint as WorkerEndpoint, EndpointUpdate, Idempotency, Limits, LoadReport, Outcome,
    Settings, WorkerId,
};
use pipithub_engine::{
    AttemptId, AttemptResult, Engine, EngineSettings, Input, Output, Served, SourceId, Time,
};

pub(crate) const MS: Time = 1_000_000;
pub(crate) const WALL: u64 = 1_800_000_000_000;

pub(crate) fn s(text: &str) -> ShortStr {
    ShortStr::truncated(text)
}

/// The server's end of a connection.
pub(crate) struct Line {
    pub(crate) id: ConnectionId,
    pub(crate) endpoint: Endpoint,
}

impl Line {
    /// Takes the client's bytes, lets the broker act.
    pub(crate) fn receive(&mut self, now: Time, broker: &mut Broker, bytes: &[u8]) {
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

    pub(crate) fn out(&mut self, out: BrokerOutput) {
        let _ = match out {
            BrokerOutput::Method(channel, m, Some(c)) => {
                self.endpoint
                    .send_content(channel, m, c.properties, &c.body)
            }
            BrokerOutput::Method(channel, m, None) => self.endpoint.send(channel, m),
            BrokerOutput::CloseChannel(channel, fault) => {
                self.endpoint.close_channel(channel, fault);
                Ok(())
            }
            BrokerOutput::Close(fault) => {
                self.endpoint.close(fault);
                Ok(())
            }
        };
    }
}

pub(crate) struct Front {
    pub(crate) consumer: Consumer,
    pub(crate) engine: Engine,
    pub(crate) line: Option<Line>,
    pub(crate) attempts: Vec<(AttemptId, String)>,
    pub(crate) notices: Vec<Notice>,
    pub(crate) life: u64,
}

pub(crate) struct Bed {
    pub(crate) now: Time,
    /// By how much the fronts' wall clock was stepped.
    pub(crate) wall_step_ms: i64,
    pub(crate) broker: Broker,
    pub(crate) next: ConnectionId,
    pub(crate) fronts: Vec<Front>,
    pub(crate) client: Endpoint,
    pub(crate) client_line: Line,
    /// Verdicts by correlation id.
    pub(crate) answers: BTreeMap<String, Vec<String>>,
    pub(crate) returned: usize,
    pub(crate) prefetch: u16,
    pub(crate) qos: Qos,
}

impl Bed {
    pub(crate) fn new(fronts: usize, prefetch: u16, qos: Qos) -> Self {
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

    pub(crate) fn front(&self, which: usize, life: u64) -> Front {
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
            max_pending: max_open,
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
    pub(crate) fn settle(&mut self) {
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
            for (id, out) in self.broker.take_outputs() {
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

    pub(crate) fn move_front(&mut self, which: usize) -> bool {
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
        front.consumer.set_capacity(now, front.engine.capacity());
        moved
    }

    pub(crate) fn pass(&mut self, length: Time) {
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

    pub(crate) fn publish(&mut self, id: &str, change: impl FnOnce(&mut Properties)) {
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

    pub(crate) fn class(class: &'static str) -> impl FnOnce(&mut Properties) {
        move |p| p.headers = Some(FieldTable::new().with("pipithub-class", class))
    }

    /// Ends all attempts that are out; their calls' names.
    pub(crate) fn serve(&mut self, outcome: Outcome) -> Vec<String> {
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

    pub(crate) fn cut(&mut self, which: usize) {
        if let Some(line) = self.fronts[which].line.take() {
            self.broker.disconnect(self.now, line.id);
        }
        self.fronts[which].consumer.transport_lost(self.now, "cut");
    }

    pub(crate) fn kill(&mut self, which: usize) {
        if let Some(line) = self.fronts[which].line.take() {
            self.broker.disconnect(self.now, line.id);
        }
        let life = self.fronts[which].life + 1;
        self.fronts[which] = self.front(which, life);
    }

    pub(crate) fn verdicts(&self) -> Vec<(&str, Vec<&str>)> {
        self.answers
            .iter()
            .map(|(k, v)| (k.as_str(), v.iter().map(String::as_str).collect()))
            .collect()
    }
}

pub(crate) fn class_name(name: &str, needs_key: bool) -> ClassName {
    ClassName {
        name: name.into(),
        needs_key,
    }
}

pub(crate) fn end(id: AttemptId, outcome: Outcome) -> AttemptResult {
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
