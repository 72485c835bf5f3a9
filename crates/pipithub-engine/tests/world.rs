//! Two engines, a broker and workers in one small world with random faults. Checked from outside: every message gets
//! exactly one final answer, no unsafe call runs twice, a keyed one has one effect, all within the client's time.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use pipithub_engine::policy::{
    Class, Endpoint, EndpointUpdate, Idempotency, Limits, LoadReport, Outcome, Settings, WorkerId,
};
use pipithub_engine::{
    AttemptId, AttemptResult, Call, Engine, EngineSettings, Input, Output, Served, SourceId,
    Ticket, Time, Trigger, Verdict,
};
use proptest::prelude::*;

const MS: Time = 1_000_000;
const WINDOW: Time = 2_500 * MS;
const CLIENT_TIMEOUT: Time = 2_000 * MS;

fn settings() -> EngineSettings {
    let class = |effect| Class {
        idempotency: effect,
        client_timeout: CLIENT_TIMEOUT,
        deduplication_window: WINDOW,
        ..Class::default()
    };
    EngineSettings {
        policy: Settings {
            front_ends: 2,
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

#[derive(Clone, Debug)]
struct Message {
    class: usize,
    published: Time,
    redelivered: bool,
    answers: Vec<(Verdict, Time)>,
    /// When its effect took place.
    effects: Vec<Time>,
}

#[derive(Debug)]
enum Occurrence {
    Publish(usize),
    /// A worker begins a call; then how it ends.
    Run(usize, u32, AttemptId, usize, Outcome),
    End(usize, u32, AttemptId, Outcome),
    /// A commit reaches the broker; the engine hears of it unless the word is lost.
    Commit(usize, u32, Ticket, Verdict, bool),
    Kill(usize),
    Lose(usize),
}

struct World {
    now: Time,
    random_state: u64,
    engines: Vec<Engine>,
    /// How often each engine was started: what belongs to an earlier incarnation is void.
    incarnation: Vec<u32>,
    connection: Vec<u32>,
    planned: BTreeMap<(Time, u64), Occurrence>,
    count: u64,
    queue: VecDeque<usize>,
    unacked: BTreeMap<Ticket, (usize, usize)>,
    messages: Vec<Message>,
    cancelled: Vec<(usize, u32, AttemptId)>,
    ended: Vec<(usize, u32, AttemptId)>,
    fault_percent: u64,
}

impl World {
    fn new(seed: u64, fault_percent: u64) -> Self {
        let mut world = World {
            now: 0,
            random_state: seed,
            engines: Vec::new(),
            incarnation: vec![0, 0],
            connection: vec![0, 0],
            planned: BTreeMap::new(),
            count: 0,
            queue: VecDeque::new(),
            unacked: BTreeMap::new(),
            messages: Vec::new(),
            cancelled: Vec::new(),
            ended: Vec::new(),
            fault_percent,
        };
        for which in 0..2 {
            let engine = world.engine(which);
            world.engines.push(engine);
        }
        world
    }

    fn chance(&mut self, below: u64) -> u64 {
        self.random_state = self
            .random_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.random_state >> 33) % below
    }

    fn engine(&mut self, which: usize) -> Engine {
        let mut engine = Engine::new(settings(), which as u64 + 1);
        let entry = |n: u32| Endpoint {
            worker: WorkerId::new(&format!("w{n}")),
            ..Endpoint::default()
        };
        let entries = (0..4).map(entry).collect();
        engine.handle(
            self.now,
            Input::Endpoints {
                update: EndpointUpdate::Cached,
                endpoints: entries,
            },
            &mut Vec::new(),
        );
        engine
    }

    fn plan(&mut self, after: Time, what: Occurrence) {
        self.count += 1;
        self.planned.insert((self.now + after, self.count), what);
    }

    fn input(&mut self, which: usize, input: Input) {
        let mut out = Vec::new();
        self.engines[which].handle(self.now, input, &mut out);
        for output in out {
            self.output(which, output);
        }
    }

    fn message_of(call: &Call) -> usize {
        call.idempotency_key
            .as_deref()
            .and_then(|k| k.parse().ok())
            .expect("every call here has its number as key")
    }

    fn output(&mut self, which: usize, output: Output) {
        let incarnation = self.incarnation[which];
        match output {
            Output::Forward {
                id, call, deadline, ..
            } => {
                assert!(deadline > self.now, "sent after its time");
                let message = Self::message_of(&call);
                let held = self.unacked.values().any(|held| *held == (which, message));
                assert!(
                    held,
                    "message {message} was sent by one that does not hold it"
                );
                let faulty = self.chance(100) < self.fault_percent;
                let outcome = match (faulty, self.chance(5)) {
                    (false, _) => Outcome::Served,
                    (true, 0) => Outcome::Unreachable,
                    (true, 1) => Outcome::Rejected,
                    (true, 2) => Outcome::Error,
                    (true, 3) => Outcome::ConnectionLost,
                    (true, _) => Outcome::TimedOut,
                };
                let travel = self.chance(30) * MS;
                self.plan(
                    travel,
                    Occurrence::Run(which, incarnation, id, message, outcome),
                );
                if outcome == Outcome::TimedOut {
                    let wait = deadline - self.now;
                    self.plan(wait, Occurrence::End(which, incarnation, id, outcome));
                }
            }
            Output::Cancel(id) => {
                // Withdrawn: what has reached the worker goes on there.
                self.cancelled.push((which, incarnation, id));
                self.plan(
                    0,
                    Occurrence::End(which, incarnation, id, Outcome::Cancelled),
                );
            }
            Output::Answer { ticket, reply } => {
                let after = self.chance(4) * MS;
                let heard = self.chance(200) >= self.fault_percent;
                let connection = self.connection[which];
                self.plan(
                    after,
                    Occurrence::Commit(which, connection, ticket, reply.verdict, heard),
                );
            }
            Output::Forget(ticket) => {
                self.unacked.remove(&ticket);
                self.input(which, Input::Settled(ticket));
            }
            Output::PollLoad(_)
            | Output::LoadFunction { .. }
            | Output::EvictFunction { .. }
            | Output::WatchEndpoints => {}
        }
    }

    /// The connection of an engine is gone: what it held goes back to the head of the queue.
    fn requeue(&mut self, which: usize) {
        self.connection[which] += 1;
        let back: Vec<_> = self
            .unacked
            .iter()
            .filter(|(_, (w, _))| *w == which)
            .map(|(t, m)| (*t, m.1))
            .collect();
        for (ticket, message) in back.into_iter().rev() {
            self.unacked.remove(&ticket);
            self.messages[message].redelivered = true;
            self.queue.push_front(message);
        }
    }

    fn occur(&mut self, what: Occurrence) {
        match what {
            Occurrence::Publish(class) => {
                self.queue.push_back(self.messages.len());
                let (answers, effects) = (Vec::new(), Vec::new());
                self.messages.push(Message {
                    class,
                    published: self.now,
                    redelivered: false,
                    answers,
                    effects,
                });
            }
            Occurrence::Run(which, incarnation, id, message, outcome) => {
                let runs = !outcome.never_ran()
                    && (outcome != Outcome::ConnectionLost || self.chance(2) == 0);
                if runs {
                    let effects = &mut self.messages[message].effects;
                    // Workers drop the repeats of a keyed call for a while.
                    let dropped = effects.first().is_some_and(|t| self.now < t + WINDOW);
                    if self.messages[message].class != 1 || !dropped {
                        self.messages[message].effects.push(self.now);
                    }
                }
                if outcome != Outcome::TimedOut {
                    let after = self.chance(200) * MS;
                    self.plan(after, Occurrence::End(which, incarnation, id, outcome));
                }
            }
            Occurrence::End(which, incarnation, id, outcome) => {
                if incarnation != self.incarnation[which]
                    || self.ended.contains(&(which, incarnation, id))
                {
                    return;
                }
                self.ended.push((which, incarnation, id));
                let served = (outcome == Outcome::Served).then(Served::default);
                let load = LoadReport::default();
                let end = AttemptResult {
                    id,
                    outcome,
                    elapsed: 50 * MS,
                    replica_status: None,
                    function_concurrency: None,
                    load_report: load,
                    served,
                };
                self.input(which, Input::AttemptFinished(end));
            }
            Occurrence::Commit(which, connection, ticket, verdict, heard) => {
                if connection != self.connection[which] {
                    return;
                }
                // Answer and ack take effect together.
                let (_, message) = self
                    .unacked
                    .remove(&ticket)
                    .expect("a ticket is settled once");
                self.messages[message].answers.push((verdict, self.now));
                if heard {
                    self.input(which, Input::Settled(ticket));
                } else {
                    self.requeue(which);
                    self.input(which, Input::SourceLost(SourceId(0)));
                }
            }
            Occurrence::Kill(which) => {
                self.incarnation[which] += 1;
                self.requeue(which);
                self.engines[which] = self.engine(which);
            }
            Occurrence::Lose(which) => {
                self.requeue(which);
                self.input(which, Input::SourceLost(SourceId(0)));
            }
        }
    }

    fn deliver(&mut self) {
        while !self.queue.is_empty() {
            let first = self.chance(2) as usize;
            let free = [first, 1 - first]
                .into_iter()
                .find(|w| self.engines[*w].capacity() > 0);
            let Some(which) = free else { return };
            let Some(message) = self.queue.pop_front() else {
                return;
            };
            self.count += 1;
            let ticket = Ticket {
                source: SourceId(0),
                number: self.count,
            };
            self.unacked.insert(ticket, (which, message));
            let Message {
                class,
                published,
                redelivered,
                ..
            } = self.messages[message];
            let age = self.now - published;
            let call = Call {
                function: format!("f{}", message % 3).into(),
                class,
                timeout: Some(CLIENT_TIMEOUT.saturating_sub(age)),
                age: Some(age),
                replica_concurrency: 4,
                idempotency_key: Some(message.to_string().into()),
                body: Bytes::from_static(b"x"),
                ..Call::default()
            };
            let identity = Some(message.to_string().into());
            let trigger = Trigger {
                ticket,
                identity,
                redelivered,
                deliveries: 0,
                call,
            };
            self.input(which, Input::Trigger(trigger));
        }
    }

    fn run(mut self) -> Self {
        for n in 0..60 {
            let class = self.chance(3) as usize;
            self.plan(n * 20 * MS, Occurrence::Publish(class));
        }
        for _ in 0..self.fault_percent / 5 {
            let (at, which) = (self.chance(1_500) * MS, self.chance(2) as usize);
            let what = if self.chance(2) == 0 {
                Occurrence::Kill(which)
            } else {
                Occurrence::Lose(which)
            };
            self.plan(at, what);
        }
        let end = 20_000 * MS;
        loop {
            let next_planned = self.planned.first_key_value().map(|((t, _), _)| *t);
            let due = self.engines.iter().filter_map(Engine::next_due).min();
            let next = next_planned.into_iter().chain(due).min().unwrap_or(end);
            if next >= end {
                return self;
            }
            self.now = self.now.max(next);
            match self.planned.first_entry().filter(|e| e.key().0 <= self.now) {
                Some(entry) => {
                    let what = entry.remove();
                    self.occur(what);
                }
                None => (0..2).for_each(|which| self.input(which, Input::Tick)),
            }
            self.deliver();
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    #[test]
    fn one_answer_each_and_no_effect_twice(seed in any::<u64>(), fault_percent in 0..60u64) {
        let world = World::new(seed, fault_percent).run();
        prop_assert_eq!(world.messages.len(), 60);
        for (number, message) in world.messages.iter().enumerate() {
            prop_assert_eq!(message.answers.len(), 1, "message {}: {:?}", number, message);
            let (verdict, at) = message.answers[0];
            if message.class > 0 {
                prop_assert!(message.effects.len() <= 1, "message {} ran twice: {:?}", number, message);
                // A refusal promises that another try is harmless.
                let harmless = message.class == 1 || message.effects.is_empty();
                prop_assert!(verdict != Verdict::Rejected || harmless, "message {}: {:?}", number, message);
            }
            prop_assert!(verdict != Verdict::Served || !message.effects.is_empty());
            // Lost connections may bring it back late, but then it is answered at once.
            if !message.redelivered {
                prop_assert!(at <= message.published + CLIENT_TIMEOUT, "message {} late: {:?}", number, message);
            }
        }
        for engine in &world.engines {
            prop_assert_eq!((engine.pending_requests(), engine.body_bytes(), engine.attempts_in_flight()), (0, 0, 0));
        }
    }

    #[test]
    fn equal_inputs_give_equal_outputs(seed in any::<u64>()) {
        let digest = |w: &World| format!("{:?}", w.messages);
        prop_assert_eq!(digest(&World::new(seed, 30).run()), digest(&World::new(seed, 30).run()));
    }
}
