//! Measures the time of one call in the engine, and in the decision module alone.
#![allow(missing_docs, reason = "criterion's macros make public functions")]

use std::time::Duration;

use bytes::Bytes;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use pipithub_engine::policy::{
    AttemptFinished, Class, Endpoint, EndpointUpdate, Event, Idempotency, Limits, LoadReport,
    Outcome, ReplicaStatus, Request, RequestId, Settings, WorkerId,
};
use pipithub_engine::{
    AttemptId, AttemptResult, Call, Engine, EngineSettings, Input, MessageIdentity, Output, Served,
    SourceId, Ticket, Time, Trigger, function_id,
};
use pipithub_policy::FrontEnd;
use pipithub_policy::api::Action;

const MILLISECOND: Time = 1_000_000;
const CALL_INTERVAL: Time = 2 * MILLISECOND;
const RUN_TIME: Time = MILLISECOND;
const SETTLE_TIME: Time = MILLISECOND / 10;
const CLIENT_TIMEOUT: Time = 4_000 * MILLISECOND;
/// The number of functions that are called in turn.
const FUNCTIONS: u64 = 16;

fn policy() -> Settings {
    Settings {
        tick: 1_000_000,
        classes: vec![Class {
            idempotency: Idempotency::Idempotent,
            ..Class::default()
        }],
        limits: Limits {
            cancel: true,
            ..Limits::default()
        },
        ..Settings::default()
    }
}

fn endpoints(workers: usize) -> Vec<Endpoint> {
    (0..workers)
        .map(|number| Endpoint {
            worker: WorkerId::new(&format!("10.0.0.{number}:80")),
            ..Endpoint::default()
        })
        .collect()
}

/// An engine that is given one call after another.
struct EngineBench {
    engine: Engine,
    outputs: Vec<Output>,
    now: Time,
    calls: u64,
}

impl EngineBench {
    fn new(workers: usize) -> Self {
        let settings = EngineSettings {
            policy: policy(),
            ..EngineSettings::default()
        };
        let mut engine = Engine::new(settings, 1);
        let mut outputs = Vec::new();
        let list = Input::Endpoints {
            update: EndpointUpdate::Snapshot,
            endpoints: endpoints(workers),
        };
        engine.handle(0, list, &mut outputs);
        EngineBench {
            engine,
            outputs,
            now: 0,
            calls: 0,
        }
    }

    fn next_trigger(&mut self) -> Trigger {
        self.calls += 1;
        let number = self.calls;
        Trigger {
            ticket: Ticket {
                source: SourceId(0),
                number,
            },
            identity: Some(MessageIdentity(number.into())),
            redelivered: false,
            deliveries: 0,
            call: Call {
                function: format!("f{}", number % FUNCTIONS).into(),
                replica_concurrency: 4,
                body: Bytes::from_static(b"x"),
                ..Call::default()
            },
        }
    }

    /// One call arrives, is forwarded, served and settled.
    fn run_call(&mut self) {
        self.now += CALL_INTERVAL;
        let trigger = self.next_trigger();
        let ticket = trigger.ticket;
        self.outputs.clear();
        self.handle(0, Input::Trigger(trigger));
        let forwarded = self.outputs.iter().find_map(|output| match output {
            Output::Forward { id, .. } => Some(*id),
            _ => None,
        });
        if let Some(id) = forwarded {
            self.handle(RUN_TIME, Input::AttemptFinished(served(id)));
        }
        self.handle(RUN_TIME + SETTLE_TIME, Input::Settled(ticket));
    }

    fn handle(&mut self, after: Time, input: Input) {
        self.engine
            .handle(self.now + after, input, &mut self.outputs);
    }
}

fn served(id: AttemptId) -> AttemptResult {
    AttemptResult {
        id,
        outcome: Outcome::Served,
        elapsed: RUN_TIME,
        replica_status: Some(ReplicaStatus::Warm),
        function_concurrency: Some(0),
        load_report: LoadReport::default(),
        served: Some(Served {
            status: 200,
            ..Served::default()
        }),
    }
}

/// The decision module alone, given the same calls.
struct ModuleBench {
    module: FrontEnd,
    actions: Vec<Action>,
    now: Time,
    calls: u64,
}

impl ModuleBench {
    fn new(workers: usize) -> Self {
        let mut module = FrontEnd::new(policy(), 1);
        let mut actions = Vec::new();
        let list = Event::Endpoints {
            update: EndpointUpdate::Snapshot,
            endpoints: endpoints(workers),
        };
        module.handle(0, list, &mut actions);
        ModuleBench {
            module,
            actions,
            now: 0,
            calls: 0,
        }
    }

    /// One call arrives, is forwarded and served.
    fn run_call(&mut self) {
        self.calls += 1;
        self.now += CALL_INTERVAL;
        self.actions.clear();
        let request = Request {
            id: RequestId(self.calls),
            function: function_id(&format!("f{}", self.calls % FUNCTIONS)),
            replica_concurrency: 4,
            timeout: Some(CLIENT_TIMEOUT),
            ..Request::default()
        };
        self.module
            .handle(self.now, Event::Arrived(request), &mut self.actions);
        let forwarded = self.actions.iter().find_map(|action| match action {
            Action::Forward { worker, .. } => Some(worker.clone()),
            _ => None,
        });
        if let Some(worker) = forwarded {
            let finished = AttemptFinished {
                request: RequestId(self.calls),
                attempt: 0,
                worker,
                outcome: Outcome::Served,
                elapsed: RUN_TIME,
                settled: true,
                replica_status: Some(ReplicaStatus::Warm),
                function_concurrency: Some(0),
                load_report: LoadReport::default(),
            };
            let event = Event::AttemptFinished(finished);
            self.module
                .handle(self.now + RUN_TIME, event, &mut self.actions);
        }
    }
}

fn one_call(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("one call, taken, sent, served, settled");
    for workers in [12, 66, 300] {
        group.bench_function(BenchmarkId::new("engine", workers), |bencher| {
            let mut bench = EngineBench::new(workers);
            bencher.iter(|| bench.run_call());
        });
        group.bench_function(BenchmarkId::new("module alone", workers), |bencher| {
            let mut bench = ModuleBench::new(workers);
            bencher.iter(|| bench.run_call());
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(20)
        .measurement_time(Duration::from_secs(1))
        .warm_up_time(Duration::from_millis(300));
    targets = one_call
}
criterion_main!(benches);
