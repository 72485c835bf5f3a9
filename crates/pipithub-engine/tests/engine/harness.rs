//! An engine with three workers and a clock that tests move.

use std::sync::Arc;

use bytes::Bytes;
use pipithub_engine::policy::{
    Class, Endpoint, EndpointUpdate, Idempotency, Limits, LoadReport, Outcome, Settings, WorkerId,
};
use pipithub_engine::{
    AttemptId, AttemptResult, Call, Engine, EngineSettings, Input, Output, Reply, Served, SourceId,
    Ticket, Time, Trigger,
};

pub(crate) const MS: Time = 1_000_000;

pub(crate) const IDEMPOTENT: usize = 0;

pub(crate) const WITH_KEY: usize = 1;

pub(crate) const NON_IDEMPOTENT: usize = 2;

pub(crate) fn class(effect: Idempotency) -> Class {
    Class {
        idempotency: effect,
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
        let entry = |n: u32| Endpoint {
            worker: WorkerId::new(&format!("w{n}")),
            ..Endpoint::default()
        };
        harness.input(Input::Endpoints {
            update: EndpointUpdate::Snapshot,
            endpoints: (0..3).map(entry).collect(),
        });
        harness
    }

    pub(crate) fn input(&mut self, input: Input) -> Vec<Output> {
        self.engine.handle(self.now, input, &mut self.out);
        std::mem::take(&mut self.out)
    }

    pub(crate) fn trigger(
        &mut self,
        class: usize,
        change: impl FnOnce(&mut Trigger),
    ) -> (Ticket, Vec<Output>) {
        self.tickets += 1;
        let ticket = Ticket {
            source: SourceId(1),
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
            identity: Some("m".into()),
            redelivered: false,
            deliveries: 0,
            call,
        };
        change(&mut trigger);
        (ticket, self.input(Input::Trigger(trigger)))
    }

    pub(crate) fn end(&mut self, id: AttemptId, outcome: Outcome) -> Vec<Output> {
        let served = (outcome == Outcome::Served).then(|| Served {
            status: 200,
            content_type: None,
            body: Bytes::from_static(b"yes"),
        });
        let load = LoadReport::default();
        let end = AttemptResult {
            id,
            outcome,
            elapsed: 10 * MS,
            replica_status: None,
            function_concurrency: None,
            load_report: load,
            served,
        };
        self.input(Input::AttemptFinished(end))
    }

    /// Lets time pass, doing what falls due.
    pub(crate) fn pass(&mut self, length: Time) -> Vec<Output> {
        let until = self.now + length;
        let mut all = Vec::new();
        while let Some(due) = self.engine.next_due().filter(|due| *due <= until) {
            self.now = due.max(self.now);
            all.extend(self.input(Input::Tick));
        }
        self.now = until;
        all
    }
}

pub(crate) fn forwarded(out: &[Output]) -> Vec<AttemptId> {
    out.iter()
        .filter_map(|o| {
            if let Output::Forward { id, .. } = o {
                Some(*id)
            } else {
                None
            }
        })
        .collect()
}

pub(crate) fn answers(out: &[Output]) -> Vec<(Ticket, Arc<Reply>)> {
    let of = |o: &Output| match o {
        Output::Answer { ticket, reply } => Some((*ticket, reply.clone())),
        _ => None,
    };
    out.iter().filter_map(of).collect()
}

pub(crate) fn only_answer(out: &[Output]) -> (Ticket, Arc<Reply>) {
    let mut all = answers(out);
    assert_eq!(all.len(), 1, "{out:?}");
    all.remove(0)
}
