//! A front end: an engine and its consumer, driven by the test bed.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use pipithub_amqp::{Login, Tuning};
use pipithub_consumer::backoff::BackoffRange;
use pipithub_consumer::identity::{Keys, Rule};
use pipithub_consumer::message::{ClassName, Route};
use pipithub_consumer::{Consumer, ConsumerSettings, DeadLetterTarget, Notice, Phase, Qos};
use pipithub_emulator::broker::{Broker, ConnectionId};
use pipithub_engine::policy::{
    Class, Endpoint, EndpointUpdate, Idempotency, Limits, LoadReport, Outcome, Settings, WorkerId,
};
use pipithub_engine::{
    AttemptId, AttemptResult, Call, Engine, EngineSettings, Input, Output, Served, SourceId, Time,
};

use crate::connection::ServerConnection;
use crate::test_bed::MS;

/// The user that front ends log in as.
const GATEWAY_USER: &str = "gateway";
const SOURCE: SourceId = SourceId(0);

/// The options with which a front end is started.
#[derive(Clone, Copy)]
pub(crate) struct StartOptions {
    pub(crate) number: usize,
    pub(crate) incarnation: u64,
    pub(crate) prefetch: u16,
    pub(crate) qos: Qos,
    /// Whether the front end declares its queue.
    pub(crate) declare: bool,
    pub(crate) dead_letter: DeadLetterPlace,
    /// Whether its settings have the class `visit`, which others lack while settings are changed one front end at a time.
    pub(crate) has_visit_class: bool,
    /// How messages prove their users.
    pub(crate) identity: IdentityRule,
}

/// The rule by which messages of a queue prove their users.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum IdentityRule {
    None,
    /// Signed with [`SIGNING_KEY`], at most [`MAX_SIGNATURE_AGE`] ago.
    Signed,
}

/// The key of the publisher that signs messages.
pub(crate) const SIGNING_KEY: &[u8] = b"a key of the desk";
/// The id of [`SIGNING_KEY`].
pub(crate) const SIGNING_KEY_ID: &str = "desk";
pub(crate) const MAX_SIGNATURE_AGE: Time = 1_000 * MS;

impl IdentityRule {
    fn settings(self) -> Rule {
        match self {
            IdentityRule::None => Rule::None,
            IdentityRule::Signed => Rule::Signed(Arc::new(Keys {
                keys: BTreeMap::from([(SIGNING_KEY_ID.to_string(), SIGNING_KEY.to_vec())]),
                max_age: MAX_SIGNATURE_AGE,
            })),
        }
    }
}

/// Where front ends publish dead letters.
#[derive(Clone, Copy)]
pub(crate) struct DeadLetterPlace {
    pub(crate) exchange: &'static str,
    pub(crate) routing_key: &'static str,
}

/// An attempt that has no result yet.
pub(crate) struct RunningAttempt {
    pub(crate) id: AttemptId,
    /// The message id of its call.
    message_id: String,
    /// The body of its call.
    pub(crate) body: Bytes,
}

impl RunningAttempt {
    fn new(id: AttemptId, call: &Call) -> Self {
        RunningAttempt {
            id,
            message_id: call.message_id.as_deref().unwrap_or("?").to_string(),
            body: call.body.clone(),
        }
    }
}

pub(crate) struct FrontEnd {
    pub(crate) options: StartOptions,
    pub(crate) consumer: Consumer,
    pub(crate) engine: Engine,
    pub(crate) connection: Option<ServerConnection>,
    pub(crate) attempts: Vec<RunningAttempt>,
    /// The message ids of the calls that have arrived at a worker since the test bed took them last.
    pub(crate) arrived_at_workers: Vec<String>,
    /// The bodies of these calls.
    pub(crate) arrived_bodies: Vec<Bytes>,
    pub(crate) notices: Vec<Notice>,
    /// The body that workers answer with; `None` if they repeat that of the call.
    pub(crate) served_body: Option<Bytes>,
}

impl FrontEnd {
    pub(crate) fn start(options: StartOptions, now: Time) -> Self {
        let seed = options.number as u64 * 100 + options.incarnation;
        FrontEnd {
            consumer: Consumer::new(consumer_settings(options), now, seed),
            engine: start_engine(options, now),
            options,
            connection: None,
            attempts: Vec::new(),
            arrived_at_workers: Vec::new(),
            arrived_bodies: Vec::new(),
            notices: Vec::new(),
            served_body: None,
        }
    }

    /// Opens a transport with the next connection id, if the consumer requests one. Returns whether there is a
    /// transport.
    pub(crate) fn connect(
        &mut self,
        now: Time,
        broker: &mut Broker,
        next_id: &mut ConnectionId,
    ) -> bool {
        let Phase::Idle(connect_at) = self.consumer.phase() else {
            return true;
        };
        self.disconnect(now, broker);
        if now < connect_at {
            return false;
        }
        self.consumer.connected(now);
        self.connection = Some(ServerConnection::new(*next_id, GATEWAY_USER, now));
        *next_id += 1;
        true
    }

    pub(crate) fn disconnect(&mut self, now: Time, broker: &mut Broker) {
        if let Some(connection) = self.connection.take() {
            broker.disconnect(now, connection.id);
        }
    }

    /// Exchanges bytes with the broker and lets the engine handle the resulting notices. Returns whether anything
    /// happened.
    pub(crate) fn step(&mut self, now: Time, wall_ms: u64, broker: &mut Broker) -> bool {
        let exchanged = self.exchange(now, wall_ms, broker);
        let mut outputs = Vec::new();
        let noticed = self.handle_notices(now, &mut outputs);
        self.engine.handle(now, Input::Tick, &mut outputs);
        let has_outputs = !outputs.is_empty();
        for output in outputs {
            self.handle_output(now, output);
        }
        self.consumer.set_capacity(now, self.engine.capacity());
        exchanged || noticed || has_outputs
    }

    fn exchange(&mut self, now: Time, wall_ms: u64, broker: &mut Broker) -> bool {
        let sent = self.consumer.take_output(now);
        let Some(connection) = &mut self.connection else {
            return false;
        };
        if !sent.is_empty() {
            connection.receive(now, broker, &sent);
        }
        let received = connection.take_output(now);
        if !received.is_empty() {
            self.consumer.receive(now, wall_ms, &received);
        }
        !sent.is_empty() || !received.is_empty()
    }

    fn handle_notices(&mut self, now: Time, outputs: &mut Vec<Output>) -> bool {
        let before = self.notices.len();
        while let Some(notice) = self.consumer.poll() {
            let input = match &notice {
                Notice::Trigger(trigger) => Some(Input::Trigger((**trigger).clone())),
                Notice::Settled(ticket) => Some(Input::Settled(*ticket)),
                Notice::AnswerUnconfirmed(ticket) => Some(Input::AnswerUnconfirmed(*ticket)),
                Notice::Lost(_) => Some(Input::SourceLost(SOURCE)),
                _ => None,
            };
            if let Some(input) = input {
                self.engine.handle(now, input, outputs);
            }
            self.notices.push(notice);
        }
        self.notices.len() > before
    }

    fn handle_output(&mut self, now: Time, output: Output) {
        match output {
            Output::Forward { id, call, .. } => {
                let attempt = RunningAttempt::new(id, &call);
                self.arrived_at_workers.push(attempt.message_id.clone());
                self.arrived_bodies.push(attempt.body.clone());
                self.attempts.push(attempt);
            }
            Output::Answer { ticket, reply } => self.consumer.answer(now, ticket, reply),
            Output::Cancel(id) => {
                self.attempts.retain(|attempt| attempt.id != id);
                let cancelled = Input::AttemptFinished(attempt_result(id, Outcome::Cancelled));
                let mut outputs = Vec::new();
                self.engine.handle(now, cancelled, &mut outputs);
                for output in outputs {
                    self.handle_output(now, output);
                }
            }
            _ => {}
        }
    }

    /// Ends all attempts with an outcome and returns the message ids of their calls.
    pub(crate) fn finish_attempts(&mut self, now: Time, outcome: Outcome) -> Vec<String> {
        let mut message_ids = Vec::new();
        for attempt in std::mem::take(&mut self.attempts) {
            message_ids.push(attempt.message_id);
            let mut result = attempt_result(attempt.id, outcome);
            if let Some(served) = &mut result.served {
                served.body = self.served_body.clone().unwrap_or(attempt.body);
            }
            let finished = Input::AttemptFinished(result);
            let mut outputs = Vec::new();
            self.engine.handle(now, finished, &mut outputs);
            for output in outputs {
                self.handle_output(now, output);
            }
        }
        message_ids
    }
}

fn start_engine(options: StartOptions, now: Time) -> Engine {
    let class = |idempotency| Class {
        idempotency,
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
            class(Idempotency::NonIdempotent),
        ],
        limits: Limits {
            cancel: true,
            ..Limits::default()
        },
        ..Settings::default()
    };
    let settings = EngineSettings {
        policy,
        max_pending: usize::from(options.prefetch),
        ..EngineSettings::default()
    };
    let mut engine = Engine::new(settings, options.number as u64);
    let endpoint = |worker| Endpoint {
        worker: WorkerId::new(worker),
        ..Endpoint::default()
    };
    let workers = Input::Endpoints {
        update: EndpointUpdate::Cached,
        endpoints: ["w0", "w1", "w2"].map(endpoint).to_vec(),
    };
    engine.handle(now, workers, &mut Vec::new());
    engine
}

fn consumer_settings(options: StartOptions) -> ConsumerSettings {
    let class = |name: &str, needs_key| ClassName {
        name: name.into(),
        needs_key,
    };
    let mut classes = vec![
        class("safe", false),
        class("keyed", true),
        class("unsafe", false),
    ];
    if options.has_visit_class {
        classes.push(class("visit", false));
    }
    ConsumerSettings {
        source: SOURCE,
        front_end: format!("fe{}", options.number),
        login: Login::default(),
        tuning: Tuning::default(),
        queue: "calls".into(),
        declare: options.declare,
        route: Route {
            function: Some("f".into()),
            replica_concurrency: 4,
            ..Route::default()
        },
        classes,
        prefetch: options.prefetch,
        qos: options.qos,
        dead_letter: Some(DeadLetterTarget {
            exchange: options.dead_letter.exchange.into(),
            routing_key: options.dead_letter.routing_key.into(),
        }),
        reconnect_backoff: BackoffRange {
            initial: 10 * MS,
            max: 100 * MS,
        },
        identity: options.identity.settings(),
    }
}

pub(crate) fn attempt_result(id: AttemptId, outcome: Outcome) -> AttemptResult {
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
