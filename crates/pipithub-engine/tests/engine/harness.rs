//! An engine with three workers and one source, on a clock that tests advance.

use std::sync::Arc;

use bytes::Bytes;
use pipithub_engine::policy::{
    Class, Endpoint, EndpointState, EndpointUpdate, Idempotency, Limits, LoadReport, Outcome,
    Settings, WorkerId,
};
use pipithub_engine::{
    AttemptId, AttemptResult, Call, Cause, Engine, EngineSettings, Input, MessageIdentity, Output,
    Reply, Served, SourceId, Ticket, Time, Trigger, Verdict,
};

pub(crate) const MS: Time = 1_000_000;
/// The source of all triggers.
pub(crate) const SOURCE: SourceId = SourceId(1);

/// The indexes of the classes in [`settings`].
pub(crate) const IDEMPOTENT: usize = 0;
pub(crate) const WITH_KEY: usize = 1;
pub(crate) const NON_IDEMPOTENT: usize = 2;

pub(crate) fn class(idempotency: Idempotency) -> Class {
    Class {
        idempotency,
        client_timeout: 4_000 * MS,
        deduplication_window: 3_000 * MS,
        late_answer_weight: 0.3,
        ..Class::default()
    }
}

pub(crate) fn settings() -> EngineSettings {
    EngineSettings {
        policy: Settings {
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
        },
        ..EngineSettings::default()
    }
}

pub(crate) struct Harness {
    pub(crate) engine: Engine,
    pub(crate) now: Time,
    out: Vec<Output>,
    tickets: u64,
}

impl Harness {
    pub(crate) fn new(settings: EngineSettings) -> Self {
        let mut harness = Harness {
            engine: Engine::new(settings, 7),
            now: 0,
            out: Vec::new(),
            tickets: 0,
        };
        let workers = ["w0", "w1", "w2"].map(ready).to_vec();
        harness.update_endpoints(EndpointUpdate::Snapshot, workers);
        harness
    }

    pub(crate) fn update_endpoints(&mut self, update: EndpointUpdate, endpoints: Vec<Endpoint>) {
        self.input(Input::Endpoints { update, endpoints });
    }

    pub(crate) fn input(&mut self, input: Input) -> Vec<Output> {
        self.engine.handle(self.now, input, &mut self.out);
        std::mem::take(&mut self.out)
    }

    /// A call of a class arrives; `change` adjusts its default trigger.
    pub(crate) fn trigger(
        &mut self,
        class: usize,
        change: impl FnOnce(&mut Trigger),
    ) -> (Ticket, Vec<Output>) {
        let trigger = self.new_trigger(class, change);
        (trigger.ticket, self.input(Input::Trigger(trigger)))
    }

    /// A call of a class arrives that must not run, because its tenant has used up its quota.
    pub(crate) fn reject(
        &mut self,
        class: usize,
        change: impl FnOnce(&mut Trigger),
    ) -> (Ticket, Vec<Output>) {
        let trigger = self.new_trigger(class, change);
        let ticket = trigger.ticket;
        let outputs = self.input(Input::Reject {
            trigger,
            cause: Cause::OverQuota,
            retry_after: None,
        });
        (ticket, outputs)
    }

    /// A trigger of a class with a new ticket; `change` adjusts its defaults.
    pub(crate) fn new_trigger(
        &mut self,
        class: usize,
        change: impl FnOnce(&mut Trigger),
    ) -> Trigger {
        self.tickets += 1;
        let ticket = Ticket {
            source: SOURCE,
            number: self.tickets,
        };
        let call = Call {
            function: "f".into(),
            class,
            replica_concurrency: 4,
            idempotency_key: Some("k".into()),
            body: Bytes::from_static(b"body"),
            ..Call::default()
        };
        let mut trigger = Trigger {
            ticket,
            identity: Some(MessageIdentity(1)),
            redelivered: false,
            deliveries: 0,
            call,
        };
        change(&mut trigger);
        trigger
    }

    /// The source loses its connection, which voids its tickets.
    pub(crate) fn lose_source(&mut self) -> Vec<Output> {
        self.input(Input::SourceLost(SOURCE))
    }

    /// An attempt ends with this outcome.
    pub(crate) fn finish_attempt(&mut self, id: AttemptId, outcome: Outcome) -> Vec<Output> {
        let served = (outcome == Outcome::Served).then(|| Served {
            status: 200,
            content_type: None,
            body: Bytes::from_static(b"yes"),
        });
        let result = AttemptResult {
            id,
            outcome,
            elapsed: 10 * MS,
            replica_status: None,
            function_concurrency: None,
            load_report: LoadReport::default(),
            served,
        };
        self.input(Input::AttemptFinished(result))
    }

    /// Advances the clock and returns the outputs of the timers that expire when they are due.
    pub(crate) fn advance(&mut self, length: Time) -> Vec<Output> {
        let until = self.now + length;
        let mut all = Vec::new();
        while let Some(due) = self.engine.next_due().filter(|due| *due <= until) {
            self.now = due.max(self.now);
            all.extend(self.input(Input::Tick));
        }
        self.now = until;
        all
    }

    /// Asserts that the engine holds no request, body or attempt any more.
    pub(crate) fn assert_nothing_left(&self) {
        assert_eq!(self.engine.pending_requests(), 0);
        assert_eq!(self.engine.body_bytes(), 0);
        assert_eq!(self.engine.attempts_in_flight(), 0);
    }
}

pub(crate) fn ready(worker: &str) -> Endpoint {
    Endpoint {
        worker: WorkerId::new(worker),
        ..Endpoint::default()
    }
}

pub(crate) fn removed(worker: &str) -> Endpoint {
    Endpoint {
        state: EndpointState::Removed,
        ..ready(worker)
    }
}

/// The attempts that outputs ask for.
pub(crate) fn forwarded(outputs: &[Output]) -> Vec<AttemptId> {
    let attempt = |output: &Output| match output {
        Output::Forward { id, .. } => Some(*id),
        _ => None,
    };
    outputs.iter().filter_map(attempt).collect()
}

/// The one attempt that outputs ask for.
pub(crate) fn only_forwarded(outputs: &[Output]) -> AttemptId {
    let [id] = forwarded(outputs)[..] else {
        panic!("not exactly one attempt: {outputs:?}")
    };
    id
}

/// The final answers that outputs give.
pub(crate) fn answers(outputs: &[Output]) -> Vec<(Ticket, Arc<Reply>)> {
    let answer = |output: &Output| match output {
        Output::Answer { ticket, reply } => Some((*ticket, reply.clone())),
        _ => None,
    };
    outputs.iter().filter_map(answer).collect()
}

/// The one final answer that outputs give.
pub(crate) fn only_answer(outputs: &[Output]) -> (Ticket, Arc<Reply>) {
    let mut all = answers(outputs);
    assert_eq!(all.len(), 1, "{outputs:?}");
    all.remove(0)
}

/// The verdicts and causes of the final answers that outputs give.
pub(crate) fn verdicts(outputs: &[Output]) -> Vec<(Verdict, Cause)> {
    answers(outputs)
        .iter()
        .map(|(_, reply)| (reply.verdict, reply.cause))
        .collect()
}
