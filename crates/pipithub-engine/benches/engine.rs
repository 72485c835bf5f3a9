//! What one call costs in the engine, the module's part beside it.
#![allow(missing_docs, reason = "criterion's macros make public functions")]

use bytes::Bytes;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use pipithub_engine::policy::{
    AttemptFinished, Class, Endpoint, EndpointUpdate, Event, Idempotency, Limits, LoadReport,
    Outcome, ReplicaStatus, Request, RequestId, Settings, WorkerId,
};
use pipithub_engine::{
    AttemptResult, Call, Engine, EngineSettings, Input, Output, Served, SourceId, Ticket, Trigger,
    function_id,
};
use pipithub_policy::FrontEnd;
use pipithub_policy::api::Action;

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

fn entries(workers: usize) -> Vec<Endpoint> {
    (0..workers)
        .map(|n| Endpoint {
            worker: WorkerId::new(&format!("10.0.0.{n}:80")),
            ..Endpoint::default()
        })
        .collect()
}

#[expect(clippy::too_many_lines, reason = "not split yet; see the roadmap")]
fn costs(c: &mut Criterion) {
    let mut group = c.benchmark_group("one call, taken, sent, served, settled");
    for workers in [12usize, 66, 300] {
        group.bench_with_input(
            BenchmarkId::new("engine", workers),
            &workers,
            |b, workers| {
                let mut engine = Engine::new(
                    EngineSettings {
                        policy: policy(),
                        ..EngineSettings::default()
                    },
                    1,
                );
                let (mut out, mut now, mut number) = (Vec::new(), 0, 0u64);
                let list = Input::Endpoints {
                    update: EndpointUpdate::Snapshot,
                    endpoints: entries(*workers),
                };
                engine.handle(0, list, &mut out);
                b.iter(|| {
                    number += 1;
                    now += 2_000_000;
                    let ticket = Ticket {
                        source: SourceId(0),
                        number,
                    };
                    let function = format!("f{}", number % 16).into();
                    let call = Call {
                        function,
                        replica_concurrency: 4,
                        body: Bytes::from_static(b"x"),
                        ..Call::default()
                    };
                    let identity = Some(format!("m{number}").into());
                    let trigger = Trigger {
                        ticket,
                        identity,
                        redelivered: false,
                        deliveries: 0,
                        call,
                    };
                    out.clear();
                    engine.handle(now, Input::Trigger(trigger), &mut out);
                    let id = out.iter().find_map(|o| {
                        if let Output::Forward { id, .. } = o {
                            Some(*id)
                        } else {
                            None
                        }
                    });
                    if let Some(id) = id {
                        let served = Some(Served {
                            status: 200,
                            ..Served::default()
                        });
                        let note = Some(ReplicaStatus::Warm);
                        let (outcome, took, load) =
                            (Outcome::Served, 1_000_000, LoadReport::default());
                        let end = AttemptResult {
                            id,
                            outcome,
                            elapsed: took,
                            replica_status: note,
                            function_concurrency: Some(0),
                            load_report: load,
                            served,
                        };
                        engine.handle(now + 1_000_000, Input::AttemptFinished(end), &mut out);
                    }
                    engine.handle(now + 1_100_000, Input::Settled(ticket), &mut out);
                });
            },
        );
        group.bench_with_input(
            BenchmarkId::new("module alone", workers),
            &workers,
            |b, workers| {
                let mut front = FrontEnd::new(policy(), 1);
                let (mut out, mut now, mut number) = (Vec::new(), 0, 0u64);
                front.handle(
                    0,
                    Event::Endpoints {
                        update: EndpointUpdate::Snapshot,
                        endpoints: entries(*workers),
                    },
                    &mut out,
                );
                b.iter(|| {
                    number += 1;
                    now += 2_000_000;
                    out.clear();
                    let function = function_id(&format!("f{}", number % 16));
                    let call = Request {
                        id: RequestId(number),
                        function,
                        replica_concurrency: 4,
                        timeout: Some(4_000_000_000),
                        ..Request::default()
                    };
                    front.handle(now, Event::Arrived(call), &mut out);
                    let sent = out.iter().find_map(|a| {
                        if let Action::Forward { worker, .. } = a {
                            Some(worker.clone())
                        } else {
                            None
                        }
                    });
                    if let Some(worker) = sent {
                        let end = AttemptFinished {
                            request: RequestId(number),
                            attempt: 0,
                            worker,
                            outcome: Outcome::Served,
                            elapsed: 1_000_000,
                            settled: true,
                            replica_status: Some(ReplicaStatus::Warm),
                            function_concurrency: Some(0),
                            load_report: LoadReport::default(),
                        };
                        front.handle(now + 1_000_000, Event::AttemptFinished(end), &mut out);
                    }
                });
            },
        );
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(20).measurement_time(std::time::Duration::from_secs(1)).warm_up_time(std::time::Duration::from_millis(300));
    targets = costs
}
criterion_main!(benches);
