//! Two front ends that consume from one broker and forward to four workers, in simulated time.

use bytes::Bytes;
use pipithub_engine::policy::{
    Class, Endpoint, EndpointUpdate, Idempotency, Limits, LoadReport, Outcome, Settings, WorkerId,
};
use pipithub_engine::{
    AttemptId, AttemptResult, Call, Engine, EngineSettings, Input, MessageIdentity, Output, Served,
    Ticket, Time, Trigger,
};

use crate::broker::{Broker, Content, Message, SOURCE};
use crate::events::{Event, Schedule, SimulatedAttempt};

const MS: Time = 1_000_000;
const DEDUPLICATION_WINDOW: Time = 2_500 * MS;
pub(crate) const CLIENT_TIMEOUT: Time = 2_000 * MS;
const END: Time = 20_000 * MS;

const FRONT_ENDS: usize = 2;
const WORKERS: usize = 4;
pub(crate) const MESSAGES: usize = 60;

/// The indexes of the classes in [`settings`].
pub(crate) const IDEMPOTENT: usize = 0;
pub(crate) const WITH_KEY: usize = 1;
const CLASSES: u64 = 3;
/// The part of the messages that are copies of earlier ones, in percent.
const COPY_PERCENT: u64 = 30;

fn settings() -> EngineSettings {
    let class = |idempotency| Class {
        idempotency,
        client_timeout: CLIENT_TIMEOUT,
        deduplication_window: DEDUPLICATION_WINDOW,
        ..Class::default()
    };
    EngineSettings {
        policy: Settings {
            front_ends: FRONT_ENDS as u32,
            tick: MS,
            classes: vec![
                class(Idempotency::Idempotent),
                class(Idempotency::WithKey),
                class(Idempotency::NonIdempotent),
            ],
            limits: Limits {
                cancel: true,
                max_attempts: 4,
                ..Limits::default()
            },
            ..Settings::default()
        },
        max_pending: 20,
        ..EngineSettings::default()
    }
}

/// Starts an engine that knows the workers from a cached list.
fn start_engine(front_end: usize, now: Time) -> Engine {
    let mut engine = Engine::new(settings(), front_end as u64 + 1);
    let endpoint = |number| Endpoint {
        worker: WorkerId::new(&format!("w{number}")),
        ..Endpoint::default()
    };
    let list = Input::Endpoints {
        update: EndpointUpdate::Cached,
        endpoints: (0..WORKERS).map(endpoint).collect(),
    };
    engine.handle(now, list, &mut Vec::new());
    engine
}

/// A linear congruential generator.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

struct FrontEnd {
    engine: Engine,
    /// The number of restarts of the engine.
    incarnation: u32,
    /// The number of the current connection to the broker, from 0.
    connection: u32,
}

pub(crate) struct Simulation {
    now: Time,
    random: Random,
    fault_percent: u64,
    front_ends: Vec<FrontEnd>,
    schedule: Schedule,
    broker: Broker,
    ended_attempts: Vec<SimulatedAttempt>,
}

impl Simulation {
    pub(crate) fn new(seed: u64, fault_percent: u64) -> Self {
        let front_end = |number| FrontEnd {
            engine: start_engine(number, 0),
            incarnation: 0,
            connection: 0,
        };
        Simulation {
            now: 0,
            random: Random(seed),
            fault_percent,
            front_ends: (0..FRONT_ENDS).map(front_end).collect(),
            schedule: Schedule::default(),
            broker: Broker::default(),
            ended_attempts: Vec::new(),
        }
    }

    pub(crate) fn messages(&self) -> &[Message] {
        self.broker.messages()
    }

    pub(crate) fn engines(&self) -> impl Iterator<Item = &Engine> {
        self.front_ends.iter().map(|front_end| &front_end.engine)
    }

    /// Publishes all messages, injects the faults, and runs until no event or timer is left before [`END`].
    pub(crate) fn run(mut self) -> Self {
        self.schedule_messages();
        self.schedule_faults();
        loop {
            let timer = self.engines().filter_map(Engine::next_due).min();
            let next = self.schedule.next_at().into_iter().chain(timer).min();
            let next = next.unwrap_or(END);
            if next >= END {
                return self;
            }
            self.now = self.now.max(next);
            match self.schedule.take_due(self.now) {
                Some(event) => self.handle_event(event),
                None => (0..FRONT_ENDS).for_each(|number| self.input(number, Input::Tick)),
            }
            self.deliver();
        }
    }

    fn schedule_messages(&mut self) {
        for number in 0..MESSAGES {
            let class = self.random.below(CLASSES) as usize;
            let content = if number > 0 && self.random.below(100) < COPY_PERCENT {
                Content::CopyOf(self.random.below(number as u64) as usize)
            } else {
                Content::New { class }
            };
            let at = number as Time * 20 * MS;
            self.schedule.add(at, Event::MessagePublished(content));
        }
    }

    fn schedule_faults(&mut self) {
        for _ in 0..self.fault_percent / 5 {
            let at = self.random.below(1_500) * MS;
            let front_end = self.random.below(FRONT_ENDS as u64) as usize;
            let fault = if self.random.below(2) == 0 {
                Event::FrontEndKilled(front_end)
            } else {
                Event::ConnectionLost(front_end)
            };
            self.schedule.add(at, fault);
        }
    }

    fn input(&mut self, front_end: usize, input: Input) {
        let mut outputs = Vec::new();
        let engine = &mut self.front_ends[front_end].engine;
        engine.handle(self.now, input, &mut outputs);
        for output in outputs {
            self.handle_output(front_end, output);
        }
    }

    fn handle_output(&mut self, front_end: usize, output: Output) {
        match output {
            Output::Forward {
                id, call, deadline, ..
            } => self.forward(front_end, id, &call, deadline),
            Output::Cancel(id) => {
                // A call that was sent still runs at the worker.
                let attempt = self.attempt(front_end, id);
                let outcome = Outcome::Cancelled;
                self.schedule
                    .add(self.now, Event::AttemptEnded { attempt, outcome });
            }
            Output::Answer { ticket, reply } => {
                let at = self.now + self.random.below(4) * MS;
                let event = Event::Committed {
                    front_end,
                    connection: self.front_ends[front_end].connection,
                    ticket,
                    verdict: reply.verdict,
                    confirmed: self.random.below(200) >= self.fault_percent,
                };
                self.schedule.add(at, event);
            }
            Output::PollLoad(_)
            | Output::CheckHealth(_)
            | Output::LoadFunction { .. }
            | Output::EvictFunction { .. }
            | Output::WatchEndpoints => {}
        }
    }

    fn attempt(&self, front_end: usize, id: AttemptId) -> SimulatedAttempt {
        SimulatedAttempt {
            front_end,
            incarnation: self.front_ends[front_end].incarnation,
            id,
        }
    }

    fn forward(&mut self, front_end: usize, id: AttemptId, call: &Call, deadline: Time) {
        assert!(deadline > self.now, "forwarded after its deadline");
        let message = message_of(call);
        assert!(
            self.broker.has_delivered(front_end, message),
            "message {message} was forwarded by a front end that it is not delivered to"
        );
        let attempt = self.attempt(front_end, id);
        let outcome = self.draw_outcome();
        let arrival = self.now + self.random.below(30) * MS;
        let arrived = Event::CallArrived {
            attempt,
            message,
            outcome,
        };
        self.schedule.add(arrival, arrived);
        if outcome == Outcome::TimedOut {
            self.schedule
                .add(deadline, Event::AttemptEnded { attempt, outcome });
        }
    }

    fn draw_outcome(&mut self) -> Outcome {
        let faulty = self.random.below(100) < self.fault_percent;
        match (faulty, self.random.below(5)) {
            (false, _) => Outcome::Served,
            (true, 0) => Outcome::Unreachable,
            (true, 1) => Outcome::Rejected,
            (true, 2) => Outcome::Error,
            (true, 3) => Outcome::ConnectionLost,
            (true, _) => Outcome::TimedOut,
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::MessagePublished(content) => self.broker.publish(content, self.now),
            Event::CallArrived {
                attempt,
                message,
                outcome,
            } => self.run_call(attempt, message, outcome),
            Event::AttemptEnded { attempt, outcome } => self.end_attempt(attempt, outcome),
            Event::Committed {
                front_end,
                connection,
                ticket,
                verdict,
                confirmed,
            } => {
                if connection != self.front_ends[front_end].connection {
                    return;
                }
                self.broker.commit(ticket, verdict, self.now);
                if confirmed {
                    self.input(front_end, Input::Settled(ticket));
                } else {
                    self.lose_connection(front_end);
                    self.input(front_end, Input::AnswerUnconfirmed(ticket));
                    self.input(front_end, Input::SourceLost(SOURCE));
                }
            }
            Event::FrontEndKilled(front_end) => {
                self.lose_connection(front_end);
                let killed = &mut self.front_ends[front_end];
                killed.incarnation += 1;
                killed.engine = start_engine(front_end, self.now);
            }
            Event::ConnectionLost(front_end) => {
                self.lose_connection(front_end);
                self.input(front_end, Input::SourceLost(SOURCE));
            }
        }
    }

    /// A worker runs a call, unless the outcome means that the call never ran. With a lost connection, it runs in half
    /// of the cases. Workers deduplicate calls of the class with keys.
    fn run_call(&mut self, attempt: SimulatedAttempt, message: usize, outcome: Outcome) {
        let runs = !outcome.never_ran()
            && (outcome != Outcome::ConnectionLost || self.random.below(2) == 0);
        if runs {
            let class = self.broker.message(message).class;
            let first_effect = self.broker.first_effect(message);
            let is_repeat = first_effect.is_some_and(|at| self.now < at + DEDUPLICATION_WINDOW);
            if class != WITH_KEY || !is_repeat {
                self.broker.record_effect(message, self.now);
            }
        }
        if outcome != Outcome::TimedOut {
            let at = self.now + self.random.below(200) * MS;
            self.schedule
                .add(at, Event::AttemptEnded { attempt, outcome });
        }
    }

    /// Reports the result of an attempt once, unless the front end was restarted in the meantime.
    fn end_attempt(&mut self, attempt: SimulatedAttempt, outcome: Outcome) {
        let current = self.front_ends[attempt.front_end].incarnation;
        if attempt.incarnation != current || self.ended_attempts.contains(&attempt) {
            return;
        }
        self.ended_attempts.push(attempt);
        let result = AttemptResult {
            id: attempt.id,
            outcome,
            elapsed: 50 * MS,
            replica_status: None,
            function_concurrency: None,
            load_report: LoadReport::default(),
            served: (outcome == Outcome::Served).then(Served::default),
        };
        self.input(attempt.front_end, Input::AttemptFinished(result));
    }

    fn lose_connection(&mut self, front_end: usize) {
        self.front_ends[front_end].connection += 1;
        self.broker.requeue(front_end);
    }

    /// Delivers the queued messages, each to a random front end that has capacity, until none has.
    fn deliver(&mut self) {
        while self.broker.has_queued() {
            let first = self.random.below(FRONT_ENDS as u64) as usize;
            let with_capacity = [first, 1 - first]
                .into_iter()
                .find(|number| self.front_ends[*number].engine.capacity() > 0);
            let Some(front_end) = with_capacity else {
                return;
            };
            let Some((ticket, message)) = self.broker.deliver_next(front_end) else {
                return;
            };
            let trigger = self.trigger(ticket, message);
            self.input(front_end, Input::Trigger(trigger));
        }
    }

    fn trigger(&self, ticket: Ticket, number: usize) -> Trigger {
        let message = self.broker.message(number);
        let age = self.now - message.published;
        let call = Call {
            function: format!("f{}", message.original % 3).into(),
            class: message.class,
            timeout: Some(CLIENT_TIMEOUT.saturating_sub(age)),
            age: Some(age),
            replica_concurrency: 4,
            idempotency_key: Some(message.original.to_string().into()),
            body: Bytes::from(number.to_string()),
            ..Call::default()
        };
        Trigger {
            ticket,
            identity: Some(MessageIdentity(message.original as u128)),
            redelivered: message.redelivered,
            deliveries: 0,
            call,
        }
    }
}

/// The number of the message that a call belongs to, which is its body.
fn message_of(call: &Call) -> usize {
    std::str::from_utf8(&call.body)
        .ok()
        .and_then(|number| number.parse().ok())
        .expect("the body of each call is the number of its message")
}
